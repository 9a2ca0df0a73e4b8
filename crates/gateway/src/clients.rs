//! Client connections: requests in, one at a time on each, and answers out.

use crate::http::{Message, MessageKind, MessageReader, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::poll::{self, clear_and_shrink, ClientKey, ReadOutcome, ReadyEvent, Source};
use crate::request::{Request, RequestKey, State};
use crate::request_head::RequestHead;
use crate::runtime::{Event, Phase, Runtime, Timer};
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};
use rustix::fd::OwnedFd;
use rustix::net::Shutdown;
use slotmap::SlotMap;
use std::io::Write;

const READINESS_PATH: &[u8] = b"/healthz";
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How long a connection that is being closed is read on, so that its last answer arrives: closing a socket
/// with something unread in it resets it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// So much of what comes behind a last answer is read; whoever goes on gets a reset, not our time.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// A connection's first message is complete in this time, a later one in this time from its first byte, and an
/// answer is taken in it: whoever sends byte by byte, or nothing, holds a place no longer.
const MESSAGE_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// A connection on which nothing comes is kept for so long: some clients ask once, or never, and do not let go.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often connections are looked through for the two above.
const SWEEP_INTERVAL: Duration = Duration::from_micros(250_000);

pub(crate) struct Client {
    socket: OwnedFd,
    input: Vec<u8>,
    reader: MessageReader,
    /// When what stands in the input had come.
    received_at: Timestamp,
    /// When it was let in or had its last answer,
    since: Timestamp,
    /// and when the message that is not complete yet began.
    message_begun_at: Option<Timestamp>,
    /// It has had an answer.
    has_been_answered: bool,
    /// What was read since nothing more is said.
    lingered_bytes: usize,
    /// The socket may hold more than the input takes for now.
    has_unread_input: bool,
    request: Option<RequestKey>,
    output: Vec<u8>,
    written: usize,
    closing: Closing,
    continue_sent: bool,
}

/// How far a connection's end has come. `Runtime::close` alone changes it, and never back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    No,
    /// Once its output is written.
    After,
    /// Nothing more is said; what comes is dropped.
    Lingering,
}

pub(crate) struct Clients {
    all: SlotMap<ClientKey, Client>,
    listener: Option<OwnedFd>,
    /// From so many on, requests are turned away and their connections closed;
    max_served: usize,
    /// beyond so many, no further client is let in.
    max_accepted: usize,
    /// Somebody may be waiting to be let in.
    has_pending_accept: bool,
}

impl Clients {
    pub(crate) fn new(listener: OwnedFd, max_served: usize, max_accepted: usize) -> Clients {
        Clients {
            all: SlotMap::with_key(),
            listener: Some(listener),
            max_served,
            max_accepted,
            has_pending_accept: false,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl Runtime {
    /// Lets clients in, as far as there is room.
    pub(crate) fn accept_clients(&mut self) {
        while let Some(listener) = &self.clients.listener {
            self.clients.has_pending_accept = true;
            if self.clients.all.len() > self.clients.max_accepted {
                return; // the next connection that ends makes room
            }
            match poll::accept(listener) {
                Ok(Some(socket)) => {
                    let key = self.add_client(socket);
                    if self.clients.all.len() > self.clients.max_accepted {
                        self.close_an_idle_client(key);
                    }
                }
                Ok(None) => {
                    self.clients.has_pending_accept = false;
                    return;
                }
                Err(error) => {
                    // Trying again at once would spin for as long as there are no descriptors.
                    warn!("cannot let a client in: {error}");
                    self.close_an_idle_client(ClientKey::default());
                    return self.wake_at(self.now() + Duration::from_micros(10_000), Timer::AcceptClients);
                }
            }
        }
    }

    fn add_client(&mut self, socket: OwnedFd) -> ClientKey {
        let now = self.now();
        let key = self.clients.all.insert(Client {
            socket,
            input: Vec::new(),
            reader: MessageReader::default(),
            received_at: now,
            since: now,
            message_begun_at: None,
            has_been_answered: false,
            lingered_bytes: 0,
            has_unread_input: false,
            request: None,
            output: Vec::new(),
            written: 0,
            closing: Closing::No,
            continue_sent: false,
        });
        if let Err(error) = self.poll.add(&self.clients.all[key].socket, Source::Client(key)) {
            warn!("a client cannot be watched: {error}");
            self.clients.all.remove(key);
        }
        key
    }

    /// Makes room for a client. Only reached when all places are taken, so that looking at each is bounded.
    fn close_an_idle_client(&mut self, newcomer: ClientKey) -> bool {
        let now = self.now();
        // The one that has rested longest, and none that was let in just now: its request is on its way. One that
        // has sent a request which nobody has read yet is not idle: closing it would lose that.
        for _ in 0..4 {
            let can_be_closed = |client: &Client| client.is_idle() || client.is_overdue(now);
            let candidates =
                self.clients.all.iter_mut().filter(|(key, c)| *key != newcomer && can_be_closed(c));
            let Some((key, client)) = candidates.min_by_key(|(_, client)| client.received_at) else {
                return false;
            };
            if poll::is_quiet(&client.socket) {
                return self.clients.all.remove(key).is_some();
            }
            client.received_at = now;
        }
        false
    }

    pub(crate) fn close_listener(&mut self) {
        self.accept_clients();
        self.clients.listener = None;
    }

    /// Ends connections on which nothing is under way; the others end with their next answer.
    pub(crate) fn close_idle_clients(&mut self) {
        let keys: Vec<_> = self.clients.all.keys().collect();
        for key in keys {
            self.client_ready(
                ReadyEvent { source: Source::Client(key), read: true, write: false, ended: true },
                key,
            );
            if self.clients.all.get(key).is_some_and(Client::is_idle) {
                self.close(key, Closing::Lingering);
            }
        }
    }

    /// Lets go of connections that have been waited for long enough.
    pub(crate) fn sweep_clients(&mut self) {
        let now = self.now();
        self.wake_at(now + SWEEP_INTERVAL, Timer::SweepClients);
        let overdue: Vec<_> =
            self.clients.all.iter().filter(|(_, c)| c.is_overdue(now)).map(|(key, _)| key).collect();
        for key in overdue {
            let Some(client) = self.clients.all.get(key) else { continue };
            if client.message_begun_at.is_some() && client.output.is_empty() {
                self.close(key, Closing::After);
                self.respond(key, 408, None, "");
            } else if !client.output.is_empty() || poll::is_quiet(&client.socket) {
                self.client_disconnected(key);
            }
        }
    }

    pub(crate) fn client_ready(&mut self, ready: ReadyEvent, key: ClientKey) {
        if ready.read && !self.read_client(key, ready.ended) {
            return self.client_disconnected(key);
        }
        if ready.write {
            self.write_client(key);
        }
        self.next_command(key);
    }

    /// Reads what a client has sent; false if it has gone.
    fn read_client(&mut self, key: ClientKey, ended: bool) -> bool {
        let now = self.now();
        let Some(client) = self.clients.all.get_mut(key) else { return true };
        if client.request.is_none() || client.input.is_empty() {
            client.received_at = now;
        }
        loop {
            if client.closing == Closing::Lingering {
                client.lingered_bytes += std::mem::take(&mut client.input).len();
                if client.lingered_bytes > MAX_LINGER_BYTES {
                    return true; // left unread, for its time to run out
                }
            }
            client.has_unread_input = client.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES;
            if client.has_unread_input {
                return true; // it is read on once there is room: nobody fills the memory
            }
            match poll::read(&client.socket, &mut self.scratch, &mut client.input, ended) {
                Ok(ReadOutcome::Bytes) => {}
                Ok(ReadOutcome::WouldBlock) => return true,
                Ok(ReadOutcome::EndOfStream) => return false,
                Err(error) => {
                    debug!("a client's connection broke: {error}");
                    return false;
                }
            }
        }
    }

    /// Drops a connection, whatever it is doing.
    pub(crate) fn client_disconnected(&mut self, key: ClientKey) {
        let Some(client) = self.clients.all.remove(key) else { return };
        if let Some(request) = client.request {
            self.events.push_back(Event::ClientDisconnected(request));
        }
        if self.clients.has_pending_accept {
            self.accept_clients();
        }
    }

    /// Takes the next request off a client's input, if it is there and nothing else is under way.
    pub(crate) fn next_command(&mut self, key: ClientKey) {
        let now = self.now();
        loop {
            let Some(client) = self.clients.all.get_mut(key) else { return };
            if client.request.is_some() || client.closing != Closing::No || !client.output.is_empty() {
                return;
            }
            let message = match client.reader.next(MessageKind::Request, &mut client.input, false) {
                Ok(Some(message)) => message,
                Ok(None) if client.has_unread_input => {
                    if !self.read_client(key, true) {
                        return self.client_disconnected(key);
                    }
                    continue;
                }
                Ok(None) => {
                    if client.reader.has_partial_message(&client.input) {
                        client.message_begun_at.get_or_insert(now);
                    }
                    if !client.continue_sent && client.reader.expects_continue(&client.input) {
                        client.continue_sent = true;
                        client.output.extend_from_slice(CONTINUE);
                        self.write_client(key);
                    }
                    return;
                }
                Err(error) => {
                    debug!("a client's message: {error:?}");
                    self.close(key, Closing::After); // nobody knows where its next message would begin
                    self.respond(key, error.status(), None, &format!("{error:?}\n"));
                    return;
                }
            };
            client.continue_sent = false;
            client.message_begun_at = None;
            if !message.is_persistent() || self.phase == Phase::Closing {
                self.close(key, Closing::After);
            }
            self.handle_message(key, message);
        }
    }

    fn handle_message(&mut self, key: ClientKey, message: Message) {
        if message.start_line_part(1) == READINESS_PATH {
            let ready = self.phase == Phase::Serving;
            return self.respond(
                key,
                if ready { 200 } else { 503 },
                None,
                if ready { "ready\n" } else { "" },
            );
        }
        let head = match RequestHead::read(message, &self.config) {
            Ok(head) => head,
            Err(error) => {
                debug!("a client's command: {error}");
                return self.respond(key, 400, None, &format!("{error}\n"));
            }
        };
        // The id of a request that is open elsewhere: a backend would take one for the other. A client that has
        // gone, and whose end has not been read yet, may have sent its request once more.
        if let Some(other) = self.requests.open_request(head.trace()).map(|request| request.client) {
            if self.clients.all.get(other).is_some_and(|client| !poll::has_ended(&client.socket)) {
                return self.respond(key, 400, None, "X-Trace-Id: still open elsewhere\n");
            }
            self.client_disconnected(other);
        }
        let is_full = self.clients.all.len() > self.clients.max_served && !self.close_an_idle_client(key);
        let Some(client) = self.clients.all.get_mut(key) else { return };
        if is_full {
            self.close(key, Closing::After);
            return self.respond(key, 503, None, "too many connections\n");
        }
        // The answer must be out and through before the client's time is up, however late a timer fires.
        let deadline = client.received_at + head.expires - self.carriage.answer_slack;
        let request = self.requests.insert(Request::new(key, head, deadline));
        client.request = Some(request);
        self.events.push_back(Event::RequestArrived(request));
    }

    /// Passes a backend's good answer on.
    pub(crate) fn complete(&mut self, key: RequestKey, answer: &Message) {
        let Some((client, to_head)) = self.requests.get(key).map(|c| (c.client, c.head.is_head())) else {
            return;
        };
        self.answer(
            client,
            200,
            |head| answer.append_forwarded_fields(&[], head),
            if to_head { b"" } else { answer.body() },
        );
    }

    /// A final answer of our own.
    pub(crate) fn answer_failure(&mut self, key: RequestKey, is_rejected: bool, retry_in: Option<Duration>) {
        let Some(request) = self.requests.get(key) else { return };
        let status = match (is_rejected, request.attempts, request.last_outcome) {
            (true, 0, _) => 429,
            (true, ..) => 503,
            (false, _, Some(AttemptOutcome::TimedOut)) => 504,
            (false, ..) => 502,
        };
        let client = request.client;
        self.requests.set_state(key, State::Finished);
        self.respond(client, status, retry_in, "");
    }

    fn respond(&mut self, key: ClientKey, status: u16, retry_in: Option<Duration>, text: &str) {
        let write_fields = |head: &mut Vec<u8>| {
            if let Some(delay) = retry_in {
                let millis = (delay.as_micros() + 999) / 1000;
                let _ = write!(head, "Retry-After: {}.{:03}\r\n", millis / 1000, millis % 1000);
            }
            if !text.is_empty() {
                head.extend_from_slice(b"Content-Type: text/plain\r\n");
            }
        };
        self.answer(key, status, write_fields, text.as_bytes());
    }

    fn answer(&mut self, key: ClientKey, status: u16, write_fields: impl FnOnce(&mut Vec<u8>), body: &[u8]) {
        if self.phase == Phase::Closing {
            self.close(key, Closing::After);
        }
        let now = self.now();
        let Some(client) = self.clients.all.get_mut(key) else { return };
        (client.since, client.has_been_answered) = (now, true);
        let output = &mut client.output;
        // Writing to memory cannot fail.
        let _ = write!(output, "HTTP/1.1 {status} {}\r\n", reason(status));
        write_fields(output);
        if client.closing != Closing::No {
            output.extend_from_slice(b"Connection: close\r\n");
        }
        let _ = write!(output, "Content-Length: {}\r\n\r\n", body.len());
        output.extend_from_slice(body);
        client.request = None;
        self.write_client(key);
        if self.clients.all.get(key).is_some_and(|client| !client.input.is_empty()) {
            self.events.push_back(Event::Pipelined(key));
        }
    }

    fn write_client(&mut self, key: ClientKey) {
        // With nothing to write there is nothing to close after either: the answer may be still to come.
        let Some(client) = self.clients.all.get_mut(key).filter(|c| !c.output.is_empty()) else { return };
        match poll::write(&client.socket, &client.output, &mut client.written) {
            Ok(false) => {}
            Ok(true) => {
                clear_and_shrink(&mut client.output);
                client.written = 0;
                if client.closing == Closing::After {
                    self.close(key, Closing::Lingering);
                }
            }
            Err(error) => {
                debug!("an answer could not be written: {error}");
                self.client_disconnected(key);
            }
        }
    }

    fn close(&mut self, key: ClientKey, to: Closing) {
        let until = self.now() + LINGER_TIMEOUT;
        let Some(client) = self.clients.all.get_mut(key).filter(|client| client.closing < to) else { return };
        client.closing = to;
        if to == Closing::Lingering {
            let _ = rustix::net::shutdown(&client.socket, Shutdown::Write);
            self.wake_at(until, Timer::Linger(key));
        }
    }
}

impl Client {
    fn is_quiet(&self) -> bool {
        self.request.is_none() && self.output.is_empty() && self.closing == Closing::No
    }

    fn is_idle(&self) -> bool {
        self.is_quiet() && !self.reader.has_partial_message(&self.input)
    }

    /// Whether it has been waited for long enough: for its message, for its taking an answer, or for a next request.
    fn is_overdue(&self, now: Timestamp) -> bool {
        if self.request.is_some() || self.closing == Closing::Lingering {
            return false;
        }
        let (since, time) = match self.message_begun_at {
            _ if !self.output.is_empty() => (self.since, MESSAGE_TIMEOUT),
            Some(message_begun_at) => {
                (if self.has_been_answered { message_begun_at } else { self.since }, MESSAGE_TIMEOUT)
            }
            None => (self.since, IDLE_TIMEOUT),
        };
        now - since > time
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
