//! Client of the counter service, which keeps sums that gateways share. Calls are pipelined on one connection and
//! answered in order. A call that times out is reported as unknown; a response that still comes is matched to the
//! call by its position and reported as late.

use crate::http::{Message, MessageKind, MessageReader, MAX_BODY_BYTES};
use crate::poll::{self, ReadOutcome, ReadyEvent, Source};
use crate::runtime::{Event, Runtime, Timer};
use crate::timer_wheel::TimerKey;
use kitepass_gateway_policy::Reading;
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};
use rustix::fd::OwnedFd;
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;

/// The maximum number of connections: the newest, and those that are closing.
const MAX_CONNECTIONS: usize = 4;

/// A call that adds an amount to one sum on the counter service.
struct Call {
    /// When the call times out.
    deadline: Timestamp,
    /// The name of the sum.
    name: String,
    /// The query of the request target: the amount, and how long the sum is kept.
    query: String,
}

/// A connection to the counter service.
struct Connection {
    /// Distinguishes its events from those of other connections.
    id: u32,
    socket: OwnedFd,
    is_connected: bool,
    /// Whether no further calls are sent on it, as its address was replaced or it has stalled. It stays open
    /// for pending responses.
    is_closing: bool,
    /// Until when a closing connection stays open for late responses.
    drain_deadline: Timestamp,
    /// When it was opened.
    opened_at: Timestamp,
    /// When the last response arrived, or when calls were last written while none was pending.
    last_active_at: Timestamp,
    reader: MessageReader,
    /// Bytes that were read but not parsed yet.
    input: Vec<u8>,
    /// Encoded calls; the first `written` bytes have been written to the socket.
    output: Vec<u8>,
    written: usize,
    /// The calls in its output that have had no response, in order.
    calls: VecDeque<Call>,
    /// How many of these, from the front, have been reported to the policy as unknown.
    reported_unknown: usize,
}

/// The calls and connections to the counter service.
pub(crate) struct Counter {
    /// `None` for a gateway without a counter service.
    address: Option<SocketAddr>,
    /// The newest connection is last, after those that are closing.
    connections: Vec<Connection>,
    /// Calls that are not in any connection's output yet, in order.
    unsent: VecDeque<Call>,
    /// The timer for the next time-out, with its time.
    timer: Option<(Timestamp, TimerKey)>,
    /// The id of the newest connection.
    last_connection_id: u32,
    /// When the newest connection was opened, until it is established.
    connecting_since: Option<Timestamp>,
}

impl Counter {
    /// Starts without calls or connections.
    pub(crate) fn new(address: Option<SocketAddr>) -> Counter {
        Counter {
            address,
            connections: Vec::new(),
            unsent: VecDeque::new(),
            timer: None,
            last_connection_id: 0,
            connecting_since: None,
        }
    }

    /// When the next call times out or the next closing connection has to be dropped.
    fn next_deadline(&self) -> Option<Timestamp> {
        let pending =
            self.connections.iter().flat_map(|connection| connection.calls.get(connection.reported_unknown));
        let closing = self
            .connections
            .iter()
            .filter(|connection| connection.is_closing)
            .map(|connection| connection.drain_deadline);
        pending.chain(self.unsent.front()).map(|call| call.deadline).chain(closing).min()
    }
}

impl Runtime {
    /// Adds `amount` to a sum on the counter service, which keeps the sum for `keep`. An event reports the total.
    pub(crate) fn call_counter(&mut self, name: &str, amount: f64, keep: Duration) {
        let (Some(_), Some(timeout)) = (self.counter.address, self.config.counter_timeout) else {
            return self
                .events
                .push_back(Event::CounterAnswered { name: name.to_owned(), total: Reading::NotAdded });
        };
        let query = format!("?by={amount}&expire_ms={}", (keep.as_micros() / 1000).max(1));
        let deadline = self.now() + timeout;
        self.counter.unsent.push_back(Call { deadline, name: name.to_owned(), query });
        self.schedule_call_timeout();
        self.connect_counter(timeout);
        self.write_counter_calls();
    }

    /// Sends further calls to another address. Calls in flight are not repeated: their connection stays open for
    /// the responses.
    pub(crate) fn set_counter_address(&mut self, address: Option<SocketAddr>) {
        if address == self.counter.address {
            return;
        }
        let drain_deadline = self.now() + self.config.counter_timeout.unwrap_or_default();
        self.counter.address = address;
        self.counter.connecting_since = None;
        self.counter.connections.iter_mut().for_each(|connection| {
            (connection.is_closing, connection.drain_deadline) = (true, drain_deadline)
        });
        self.drop_closing_connections();
        self.schedule_call_timeout();
        let Some(timeout) = self.config.counter_timeout.filter(|_| address.is_some()) else {
            return self.fail_unsent_calls();
        };
        if !self.counter.unsent.is_empty() {
            self.connect_counter(timeout);
        }
    }

    /// Connects if there is no connection for new calls, but at most once within the call time-out while that
    /// fails.
    fn connect_counter(&mut self, timeout: Duration) {
        let now = self.now();
        let counter = &mut self.counter;
        let Some(address) =
            counter.address.filter(|_| counter.connections.iter().all(|connection| connection.is_closing))
        else {
            return;
        };
        if counter.connecting_since.is_some_and(|connecting_since| now - connecting_since < timeout) {
            return;
        }
        counter.connecting_since = Some(now);
        counter.last_connection_id = counter.last_connection_id.wrapping_add(1);
        let id = counter.last_connection_id;
        match self.poller.connect(&address, Source::Counter(id)) {
            Ok(socket) => counter.connections.push(Connection {
                id,
                socket,
                is_connected: false,
                is_closing: false,
                drain_deadline: now,
                opened_at: now,
                last_active_at: now,
                reader: MessageReader::default(),
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                calls: VecDeque::new(),
                reported_unknown: 0,
            }),
            Err(error) => {
                debug!("counter: connect failed: {error}");
                self.fail_unsent_calls();
            }
        }
    }

    /// Handles the event of a ready socket.
    pub(crate) fn counter_ready(&mut self, ready: ReadyEvent, id: u32) {
        let Some(position) = self.counter.connections.iter().position(|connection| connection.id == id)
        else {
            return;
        };
        let connection = &mut self.counter.connections[position];
        if ready.write && !connection.is_connected {
            if let Err(error) = poll::connect_result(&connection.socket) {
                return self.drop_counter_connection(position, &format!("connect failed: {error}"));
            }
            connection.is_connected = true;
            self.counter.connecting_since = None;
        }
        if ready.read {
            self.read_counter(position, ready.ended);
        }
        if ready.write {
            self.write_counter_calls();
        }
    }

    /// Moves unsent calls to the newest connection's output, and writes as much as the sockets accept.
    fn write_counter_calls(&mut self) {
        let now = self.now();
        // In reverse, so that dropping a connection does not shift those that are still to be visited.
        for position in (0..self.counter.connections.len()).rev() {
            let counter = &mut self.counter;
            let connection = &mut counter.connections[position];
            if !connection.is_connected {
                continue;
            }
            if connection.calls.is_empty() {
                connection.last_active_at = now;
            }
            if let Some(host) = counter.address.filter(|_| !connection.is_closing) {
                for call in counter.unsent.drain(..) {
                    let Call { name, query, .. } = &call;
                    // Writing to memory cannot fail.
                    let _ = write!(
                        connection.output,
                        "POST /counters/{name}{query} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n"
                    );
                    connection.calls.push_back(call);
                }
            }
            match poll::write(&connection.socket, &connection.output, &mut connection.written) {
                Ok(true) => {
                    poll::clear_and_shrink(&mut connection.output);
                    connection.written = 0;
                }
                Ok(false) => {}
                Err(error) => self.drop_counter_connection(position, &format!("connection lost: {error}")),
            }
        }
    }

    /// Reads responses and reports their totals.
    fn read_counter(&mut self, position: usize, ended: bool) {
        loop {
            let connection = &mut self.counter.connections[position];
            let outcome = poll::read(&connection.socket, &mut self.read_buffer, &mut connection.input, ended);
            let is_end_of_stream = outcome == Ok(ReadOutcome::EndOfStream);
            if let Err(reason) = self.handle_responses(position, is_end_of_stream) {
                return self.drop_counter_connection(position, reason);
            }
            match outcome {
                Ok(ReadOutcome::Bytes) => {}
                Ok(ReadOutcome::WouldBlock) => return self.drop_closing_connections(),
                Ok(ReadOutcome::EndOfStream) => return self.drop_counter_connection(position, "closed"),
                Err(error) => return self.drop_counter_connection(position, &format!("broken: {error}")),
            }
        }
    }

    /// Handles all complete responses in a connection's input.
    ///
    /// # Errors
    /// The reason why the connection cannot be used any more.
    fn handle_responses(&mut self, position: usize, is_end_of_stream: bool) -> Result<(), &'static str> {
        loop {
            let connection = &mut self.counter.connections[position];
            let kind = MessageKind::Response { to_head: false };
            match connection.reader.next(kind, &mut connection.input, is_end_of_stream) {
                Ok(Some(response)) => self.handle_response(position, &response)?,
                Ok(None) if connection.input.len() > MAX_BODY_BYTES => return Err("response too large"),
                Ok(None) => return Ok(()),
                Err(error) => {
                    warn!("counter: invalid response: {error:?}");
                    return Err("response stream out of sync");
                }
            }
        }
    }

    /// Reports the response to a connection's oldest pending call.
    ///
    /// # Errors
    /// The reason why the connection cannot be used any more.
    fn handle_response(&mut self, position: usize, response: &Message) -> Result<(), &'static str> {
        let now = self.now();
        let connection = &mut self.counter.connections[position];
        connection.last_active_at = now;
        let call = connection.calls.pop_front().ok_or("response without a pending call")?;
        let value = total(response);
        let is_late = connection.reported_unknown > 0;
        connection.reported_unknown -= usize::from(is_late);
        let total = match (value, response.status()) {
            (Some(value), _) if is_late => Reading::Late(value),
            (Some(value), _) => Reading::Known(value),
            (None, 400 | 404 | 503) => Reading::NotAdded,
            (None, _) => Reading::Unknown,
        };
        if !is_late || value.is_some() {
            self.events.push_back(Event::CounterAnswered { name: call.name, total });
        }
        // Status 200 without a number: the amount was added, but the total is unknown, and later responses on
        // this connection cannot be matched to calls.
        if value.is_none() && response.status() == 200 {
            return Err("response without a number");
        }
        if !response.is_persistent() {
            return Err("closed");
        }
        Ok(())
    }

    /// Schedules one timer for all calls: nearly all calls are answered in time, so timers for each would be
    /// wasted work.
    fn schedule_call_timeout(&mut self) {
        let Some(due) = self.counter.next_deadline() else { return };
        // The timer may be that of a closing connection, which is due later than the time-out of a new call.
        if let Some((_, later_timer)) = self.counter.timer.take_if(|(scheduled, _)| due < *scheduled) {
            self.timers.cancel(later_timer);
        }
        if self.counter.timer.is_none() {
            self.counter.timer = Some((due, self.timers.schedule(due, Timer::CounterCalls)));
        }
    }

    /// Reports calls that have timed out, and replaces a connection that has stalled.
    pub(crate) fn expire_counter_calls(&mut self) {
        let now = self.now();
        let connect_timeout = self.connection_settings.connect_timeout;
        let timeout = self.config.counter_timeout.unwrap_or(connect_timeout).min(connect_timeout);
        let counter = &mut self.counter;
        counter.timer = None;
        let can_replace = counter.connections.len() < MAX_CONNECTIONS;
        for connection in &mut counter.connections {
            let previously_reported = connection.reported_unknown;
            while let Some(call) =
                connection.calls.get(connection.reported_unknown).filter(|call| call.deadline <= now)
            {
                self.events
                    .push_back(Event::CounterAnswered { name: call.name.clone(), total: Reading::Unknown });
                connection.reported_unknown += 1;
            }
            // A connection can stall because the host has disappeared without closing it, because of a network
            // fault on this connection alone, or because a response stays incomplete. A new connection works in
            // all cases in which the service can be reached. A service that is only slow still answers on the
            // old connections, whose number is limited.
            let is_stalled = connection.reader.has_partial_message(&connection.input)
                || now - connection.last_active_at > timeout * 4;
            if connection.reported_unknown > previously_reported
                && is_stalled
                && can_replace
                && !connection.is_closing
            {
                (connection.is_closing, connection.drain_deadline) =
                    (true, connection.last_active_at + connect_timeout * 8);
                // Invariant: these are reported before the response to any later call for the same sum.
                for call in connection.calls.iter().skip(connection.reported_unknown) {
                    self.events.push_back(Event::CounterAnswered {
                        name: call.name.clone(),
                        total: Reading::Unknown,
                    });
                }
                connection.reported_unknown = connection.calls.len();
            }
        }
        // A call that has timed out before it was sent is dropped.
        while let Some(call) = counter.unsent.pop_front_if(|call| call.deadline <= now) {
            self.events.push_back(Event::CounterAnswered { name: call.name, total: Reading::NotAdded });
        }
        if let Some(position) = self
            .counter
            .connections
            .iter()
            .position(|c| !c.is_connected && now - c.opened_at > connect_timeout)
        {
            self.drop_counter_connection(position, "connect timed out");
        }
        self.drop_closing_connections();
        self.schedule_call_timeout();
    }

    /// Drops the closing connections that have no pending call and whose time for late responses is over.
    fn drop_closing_connections(&mut self) {
        let now = self.event_time;
        let may_receive = |connection: &Connection| {
            connection.is_connected
                && (connection.reported_unknown < connection.calls.len() || now < connection.drain_deadline)
        };
        self.counter.connections.retain(|connection| !connection.is_closing || may_receive(connection));
    }

    /// Drops a connection. Whether the calls written to it took effect is unknown. Unsent calls had no effect;
    /// they wait for the next connection, or fail if this one could not be established.
    fn drop_counter_connection(&mut self, position: usize, reason: &str) {
        debug!("counter: {reason}");
        let connection = self.counter.connections.remove(position);
        for call in connection.calls.into_iter().skip(connection.reported_unknown) {
            self.events.push_back(Event::CounterAnswered { name: call.name, total: Reading::Unknown });
        }
        if !connection.is_connected && !connection.is_closing {
            self.fail_unsent_calls();
        }
    }

    /// Reports all unsent calls as not added.
    fn fail_unsent_calls(&mut self) {
        let unsent = self.counter.unsent.drain(..);
        self.events
            .extend(unsent.map(|call| Event::CounterAnswered { name: call.name, total: Reading::NotAdded }));
    }
}

/// The total in a successful response, if it has one.
fn total(response: &Message) -> Option<f64> {
    let text = std::str::from_utf8(response.body()).ok().filter(|_| response.status() == 200)?;
    text.trim().parse::<f64>().ok().filter(|total| total.is_finite())
}
