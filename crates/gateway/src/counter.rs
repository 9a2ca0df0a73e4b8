//! The counter: calls written one behind another on one connection, answers in their order. A call that gets
//! no answer in its time is reported so; its late answer is told from the others' by its place, and told as late.

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

/// Connections at once: the newest, and those that part.
const MAX_CONNECTIONS: usize = 4;

struct Call {
    due: Timestamp,
    name: String,
    /// Its amount and the rest of its target.
    target_suffix: String,
}

struct Connection {
    number: u32,
    socket: OwnedFd,
    connected: bool,
    /// No more calls go to it, as its address was given up or it has fallen silent: it brings what it owes,
    is_closing: bool,
    /// and what comes late, until then.
    until: Timestamp,
    begun: Timestamp,
    /// When it last brought an answer, or was last written to with nothing to answer.
    active_at: Timestamp,
    reader: MessageReader,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Calls put into its output, in the order of their answers.
    calls: VecDeque<Call>,
    /// Of these, so many have had their time: the policy has been told so, and nobody waits for an answer.
    reported_late: usize,
}

pub struct Counter {
    address: Option<SocketAddr>,
    /// The newest is last; before it, those that part.
    connections: Vec<Connection>,
    /// Calls that have been put nowhere yet, in the order they were made.
    unsent: VecDeque<Call>,
    /// Set while somebody waits for an answer.
    timer: Option<(Timestamp, TimerKey)>,
    begun: u32,
    /// When a connection was last begun, until it is made.
    tried: Option<Timestamp>,
}

impl Counter {
    pub fn new(address: Option<SocketAddr>) -> Counter {
        Counter {
            address,
            connections: Vec::new(),
            unsent: VecDeque::new(),
            timer: None,
            begun: 0,
            tried: None,
        }
    }

    fn due(&self) -> Option<Timestamp> {
        let sent = self.connections.iter().flat_map(|link| link.calls.get(link.reported_late));
        let parting = self.connections.iter().filter(|link| link.is_closing).map(|link| link.until);
        sent.chain(self.unsent.front()).map(|call| call.due).chain(parting).min()
    }
}

impl Runtime {
    /// Adds to a number on the counter.
    pub fn call(&mut self, name: &str, amount: f64, keep: Duration) {
        let (Some(_), Some(patience)) = (self.counter.address, self.config.counter_timeout) else {
            return self
                .events
                .push_back(Event::CounterAnswered { name: name.to_owned(), total: Reading::NotAdded });
        };
        let rest = format!("?by={amount}&expire_ms={}", (keep.as_micros() / 1000).max(1));
        let due = self.now() + patience;
        self.counter.unsent.push_back(Call { due, name: name.to_owned(), target_suffix: rest });
        self.wait_for_calls();
        self.open_link(patience);
        self.write_calls();
    }

    /// Calls go to another address from now on. Those on the way are not sent again: the connection that has
    /// them brings their answers yet.
    pub fn move_counter(&mut self, address: Option<SocketAddr>) {
        if address == self.counter.address {
            return;
        }
        let until = self.now() + self.config.counter_timeout.unwrap_or_default();
        self.counter.address = address;
        self.counter.tried = None;
        self.counter.connections.iter_mut().for_each(|link| (link.is_closing, link.until) = (true, until));
        self.drop_parted();
        self.wait_for_calls();
        let Some(patience) = self.config.counter_timeout.filter(|_| address.is_some()) else {
            return self.fail_unsent();
        };
        if !self.counter.unsent.is_empty() {
            self.open_link(patience);
        }
    }

    /// Connects if there is no connection; where none comes up, not again within a call's time.
    fn open_link(&mut self, patience: Duration) {
        let now = self.now();
        let counter = &mut self.counter;
        let Some(address) =
            counter.address.filter(|_| counter.connections.iter().all(|link| link.is_closing))
        else {
            return;
        };
        if counter.tried.is_some_and(|tried| now - tried < patience) {
            return;
        }
        counter.tried = Some(now);
        counter.begun = counter.begun.wrapping_add(1);
        let number = counter.begun;
        match self.poll.connect(&address, Source::Counter(number)) {
            Ok(socket) => counter.connections.push(Connection {
                number,
                socket,
                connected: false,
                is_closing: false,
                until: now,
                begun: now,
                active_at: now,
                reader: MessageReader::default(),
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                calls: VecDeque::new(),
                reported_late: 0,
            }),
            Err(error) => {
                debug!("counter: no connection: {error}");
                self.fail_unsent();
            }
        }
    }

    pub fn counter_ready(&mut self, ready: ReadyEvent, number: u32) {
        let Some(place) = self.counter.connections.iter().position(|link| link.number == number) else {
            return;
        };
        let link = &mut self.counter.connections[place];
        if ready.write && !link.connected {
            if let Err(error) = poll::connect_result(&link.socket) {
                return self.drop_link(place, &format!("no connection: {error}"));
            }
            link.connected = true;
            self.counter.tried = None;
        }
        if ready.read {
            self.read_totals(place, ready.ended);
        }
        if ready.write {
            self.write_calls();
        }
    }

    fn write_calls(&mut self) {
        let now = self.now();
        // From the last on, so that one that is dropped moves none that is still to come.
        for place in (0..self.counter.connections.len()).rev() {
            let counter = &mut self.counter;
            let link = &mut counter.connections[place];
            if !link.connected {
                continue;
            }
            if link.calls.is_empty() {
                link.active_at = now;
            }
            if let Some(host) = counter.address.filter(|_| !link.is_closing) {
                for call in counter.unsent.drain(..) {
                    let Call { name, target_suffix: rest, .. } = &call;
                    // Writing to memory cannot fail.
                    let _ = write!(
                        link.output,
                        "POST /counters/{name}{rest} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n"
                    );
                    link.calls.push_back(call);
                }
            }
            match poll::write(&link.socket, &link.output, &mut link.written) {
                Ok(true) => {
                    poll::clear_and_shrink(&mut link.output);
                    link.written = 0;
                }
                Ok(false) => {}
                Err(error) => self.drop_link(place, &format!("broke: {error}")),
            }
        }
    }

    fn read_totals(&mut self, place: usize, ended: bool) {
        let now = self.now();
        loop {
            let link = &mut self.counter.connections[place];
            let came = poll::read(&link.socket, &mut self.scratch, &mut link.input, ended);
            loop {
                let kind = MessageKind::Response { to_head: false };
                match link.reader.next(kind, &mut link.input, came == Ok(ReadOutcome::EndOfStream)) {
                    Ok(Some(answer)) => {
                        link.active_at = now;
                        let Some(call) = link.calls.pop_front() else {
                            return self.drop_link(place, "an answer to no call");
                        };
                        let number = total(&answer);
                        let late = link.reported_late > 0;
                        link.reported_late -= usize::from(late);
                        let total = match (number, answer.status()) {
                            (Some(number), _) if late => Reading::Late(number),
                            (Some(number), _) => Reading::Known(number),
                            (None, 400 | 404 | 503) => Reading::NotAdded,
                            (None, _) => Reading::Unknown,
                        };
                        if !late || number.is_some() {
                            self.events.push_back(Event::CounterAnswered { name: call.name, total });
                        }
                        // A good answer without a number: the amount is added, the total unknown, and whose
                        // answer comes next on that connection is anybody's guess.
                        if number.is_none() && answer.status() == 200 {
                            return self.drop_link(place, "an answer without a number");
                        }
                        if !answer.is_persistent() {
                            return self.drop_link(place, "closed");
                        }
                    }
                    Ok(None) if link.input.len() > MAX_BODY_BYTES => {
                        return self.drop_link(place, "an answer too large");
                    }
                    Ok(None) => break,
                    Err(fault) => {
                        warn!("counter: an answer that is none: {fault:?}");
                        return self.drop_link(place, "answers are lost");
                    }
                }
            }
            match came {
                Ok(ReadOutcome::Bytes) => {}
                Ok(ReadOutcome::WouldBlock) => return self.drop_parted(),
                Ok(ReadOutcome::EndOfStream) => return self.drop_link(place, "closed"),
                Err(error) => return self.drop_link(place, &format!("broke: {error}")),
            }
        }
    }

    /// Sets one timer for all: most calls are answered long before, and a timer for each would wake for nothing.
    fn wait_for_calls(&mut self) {
        let Some(due) = self.counter.due() else { return };
        // A connection that parts may be waited for longer than a call that is made meanwhile.
        if let Some((_, later)) = self.counter.timer.take_if(|(set, _)| due < *set) {
            self.timers.cancel(later);
        }
        if self.counter.timer.is_none() {
            self.counter.timer = Some((due, self.timers.schedule(due, Timer::CounterCalls)));
        }
    }

    /// Some calls' time may be up.
    pub fn calls_due(&mut self) {
        let now = self.now();
        let allowed = self.carriage.connect_within;
        let patience = self.config.counter_timeout.unwrap_or(allowed).min(allowed);
        let counter = &mut self.counter;
        counter.timer = None;
        let room = counter.connections.len() < MAX_CONNECTIONS;
        for link in &mut counter.connections {
            let told = link.reported_late;
            while let Some(call) = link.calls.get(link.reported_late).filter(|call| call.due <= now) {
                self.events
                    .push_back(Event::CounterAnswered { name: call.name.clone(), total: Reading::Unknown });
                link.reported_late += 1;
            }
            // A machine that has gone silent never ends its connections, one connection can stall while others
            // do not, and behind an answer that does not go on no other will come: a new one finds out. A
            // counter that is only slow is still heard over the old ones, of which there are not many.
            let stuck = link.reader.has_partial_message(&link.input) || now - link.active_at > patience * 4;
            if link.reported_late > told && stuck && room && !link.is_closing {
                (link.is_closing, link.until) = (true, link.active_at + allowed * 8);
                // In this order: the next call of a name must not be answered before these are told of.
                for call in link.calls.iter().skip(link.reported_late) {
                    self.events.push_back(Event::CounterAnswered {
                        name: call.name.clone(),
                        total: Reading::Unknown,
                    });
                }
                link.reported_late = link.calls.len();
            }
        }
        // What nobody waits for any more is not sent.
        while let Some(call) = counter.unsent.pop_front_if(|call| call.due <= now) {
            self.events.push_back(Event::CounterAnswered { name: call.name, total: Reading::NotAdded });
        }
        if let Some(place) =
            self.counter.connections.iter().position(|l| !l.connected && now - l.begun > allowed)
        {
            self.drop_link(place, "silent");
        }
        self.drop_parted();
        self.wait_for_calls();
    }

    /// Drops the connections that part and owe nothing that anybody waits for, nor may bring it late.
    fn drop_parted(&mut self) {
        let now = self.at;
        let owes =
            |link: &Connection| link.connected && (link.reported_late < link.calls.len() || now < link.until);
        self.counter.connections.retain(|link| !link.is_closing || owes(link));
    }

    /// Gives a connection up. Whether the calls written to it were added is not known; the others were not, and
    /// wait for the next one, unless none comes up.
    fn drop_link(&mut self, place: usize, why: &str) {
        debug!("counter: {why}");
        let link = self.counter.connections.remove(place);
        for call in link.calls.into_iter().skip(link.reported_late) {
            self.events.push_back(Event::CounterAnswered { name: call.name, total: Reading::Unknown });
        }
        if !link.connected && !link.is_closing {
            self.fail_unsent();
        }
    }

    fn fail_unsent(&mut self) {
        let unsent = self.counter.unsent.drain(..);
        self.events
            .extend(unsent.map(|call| Event::CounterAnswered { name: call.name, total: Reading::NotAdded }));
    }
}

fn total(answer: &Message) -> Option<f64> {
    let text = std::str::from_utf8(answer.body()).ok().filter(|_| answer.status() == 200)?;
    text.trim().parse::<f64>().ok().filter(|total| total.is_finite())
}
