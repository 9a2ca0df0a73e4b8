//! Client connections: reads requests, one at a time on each connection, and writes the answers.

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

/// The path that tells whether the gateway is ready to serve.
const READINESS_PATH: &[u8] = b"/healthz";
/// The interim response to a request with `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// For how long a connection that is being closed is still read, so that its last answer arrives: closing a
/// socket that holds unread bytes resets the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The most bytes that are read after the last answer; a client that sends more has its connection reset.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// How long a connection's first message may take from its acceptance, a later one from its first byte, and
/// an answer until the client has taken it: a client that is slower, or silent, loses its connection.
const MESSAGE_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// How long a connection without any request is kept: some clients send one request, or none, and never
/// disconnect.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often connections are checked for the two time-outs above.
const SWEEP_INTERVAL: Duration = Duration::from_micros(250_000);

/// A client's connection.
pub(crate) struct Client {
    socket: OwnedFd,
    /// Bytes that have been read and not parsed yet.
    input: Vec<u8>,
    reader: MessageReader,
    /// When the bytes in the input arrived.
    received_at: Timestamp,
    /// When it was accepted or, later, had its last answer.
    since: Timestamp,
    /// When the message that is not complete yet began.
    message_begun_at: Option<Timestamp>,
    /// Whether it has had an answer.
    has_been_answered: bool,
    /// How many bytes were read since its last answer was written.
    lingered_bytes: usize,
    /// Whether the socket may hold more bytes than the input has room for.
    has_unread_input: bool,
    /// The request that is being served.
    request: Option<RequestKey>,
    /// The answer, of which the first `written` bytes have gone to the socket.
    output: Vec<u8>,
    written: usize,
    closing: Closing,
    /// Whether the request that is being read has had its interim response.
    continue_sent: bool,
}

/// How far the closing of a connection has come. Only `Runtime::close` changes it, and only forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    /// The connection stays open.
    No,
    /// It closes once its output is written.
    AfterOutput,
    /// Nothing more is written, and what is read is dropped.
    Lingering,
}

/// All client connections, and the listener that accepts them.
pub(crate) struct Clients {
    all: SlotMap<ClientKey, Client>,
    /// `None` once no further clients are accepted.
    listener: Option<OwnedFd>,
    /// Above so many connections, requests are rejected and their connections closed.
    max_served: usize,
    /// Above so many connections, no further client is accepted.
    max_accepted: usize,
    /// Whether a client may be waiting to be accepted.
    has_pending_accept: bool,
}

impl Clients {
    /// No clients yet. Requests are rejected above `max_served` connections, and no client is accepted above
    /// `max_accepted`.
    pub(crate) fn new(listener: OwnedFd, max_served: usize, max_accepted: usize) -> Clients {
        Clients {
            all: SlotMap::with_key(),
            listener: Some(listener),
            max_served,
            max_accepted,
            has_pending_accept: false,
        }
    }

    /// Whether no client is connected.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl Runtime {
    /// Accepts clients as far as there is room.
    pub(crate) fn accept_clients(&mut self) {
        while let Some(listener) = &self.clients.listener {
            self.clients.has_pending_accept = true;
            if self.clients.all.len() > self.clients.max_accepted {
                return; // the next connection that closes makes room
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
                    // Without a pause the loop would spin for as long as no descriptor is free.
                    warn!("cannot let a client in: {error}");
                    self.close_an_idle_client(ClientKey::default());
                    return self.wake_at(self.now() + Duration::from_micros(10_000), Timer::AcceptClients);
                }
            }
        }
    }

    /// Adds an accepted connection and watches its socket.
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

    /// Closes an idle or overdue connection to make room for `newcomer`; false if there is none. Called only
    /// when all places are taken, so that the search is bounded.
    fn close_an_idle_client(&mut self, newcomer: ClientKey) -> bool {
        let now = self.now();
        // The one that has been idle longest goes, and never the one just accepted: its request is on its
        // way. Invariant: a connection whose socket holds an unread request is not closed; the request would
        // be lost.
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

    /// Accepts the clients that are waiting already, and no others from then on.
    pub(crate) fn close_listener(&mut self) {
        self.accept_clients();
        self.clients.listener = None;
    }

    /// Closes connections without a request in progress; the others close after their next answer.
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

    /// Closes connections that have exceeded their time-outs, and sets the timer that does so again.
    pub(crate) fn sweep_clients(&mut self) {
        let now = self.now();
        self.wake_at(now + SWEEP_INTERVAL, Timer::SweepClients);
        let overdue: Vec<_> =
            self.clients.all.iter().filter(|(_, c)| c.is_overdue(now)).map(|(key, _)| key).collect();
        for key in overdue {
            let Some(client) = self.clients.all.get(key) else { continue };
            if client.message_begun_at.is_some() && client.output.is_empty() {
                self.close(key, Closing::AfterOutput);
                self.respond(key, 408, None, "");
            } else if !client.output.is_empty() || poll::is_quiet(&client.socket) {
                self.client_disconnected(key);
            }
        }
    }

    /// Serves a connection whose socket has become ready.
    pub(crate) fn client_ready(&mut self, ready: ReadyEvent, key: ClientKey) {
        if ready.read && !self.read_client(key, ready.ended) {
            return self.client_disconnected(key);
        }
        if ready.write {
            self.write_client(key);
        }
        self.next_request(key);
    }

    /// Reads what a client has sent; false if it has disconnected.
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
                    return true; // left unread until the linger time-out
                }
            }
            client.has_unread_input = client.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES;
            if client.has_unread_input {
                return true; // read once there is room, so that no client fills the memory
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

    /// Drops a connection in whatever state it is, and reports its request as abandoned.
    pub(crate) fn client_disconnected(&mut self, key: ClientKey) {
        let Some(client) = self.clients.all.remove(key) else { return };
        if let Some(request) = client.request {
            self.events.push_back(Event::ClientDisconnected(request));
        }
        if self.clients.has_pending_accept {
            self.accept_clients();
        }
    }

    /// Takes the next request off a client's input if it is complete and no other is in progress.
    pub(crate) fn next_request(&mut self, key: ClientKey) {
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
                    self.close(key, Closing::AfterOutput); // where its next message would begin is unknown
                    self.respond(key, error.status(), None, &format!("{error:?}\n"));
                    return;
                }
            };
            client.continue_sent = false;
            client.message_begun_at = None;
            if !message.is_persistent() || self.phase == Phase::Closing {
                self.close(key, Closing::AfterOutput);
            }
            self.handle_message(key, message);
        }
    }

    /// Answers a readiness check or an invalid request at once, and passes a valid request on to the policy.
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
                debug!("a client's request: {error}");
                return self.respond(key, 400, None, &format!("{error}\n"));
            }
        };
        // Invariant: a trace id is open once at a time; a backend would take one request for the other. A
        // client that has disconnected, without our having read that yet, may have sent its request again.
        if let Some(other) = self.requests.open_request(head.trace()).map(|request| request.client) {
            if self.clients.all.get(other).is_some_and(|client| !poll::has_ended(&client.socket)) {
                return self.respond(key, 400, None, "X-Trace-Id: still open elsewhere\n");
            }
            self.client_disconnected(other);
        }
        let is_full = self.clients.all.len() > self.clients.max_served && !self.close_an_idle_client(key);
        let Some(client) = self.clients.all.get_mut(key) else { return };
        if is_full {
            self.close(key, Closing::AfterOutput);
            return self.respond(key, 503, None, "too many connections\n");
        }
        // Invariant: the answer must reach the client before its time is up, however late a timer fires.
        let deadline = client.received_at + head.expires - self.carriage.answer_slack;
        let request = self.requests.insert(Request::new(key, head, deadline));
        client.request = Some(request);
        self.events.push_back(Event::RequestArrived(request));
    }

    /// Forwards a backend's successful answer to the client.
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

    /// Answers a request that the policy has rejected or given up; `retry_in` becomes `Retry-After`.
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

    /// Writes an answer of the gateway's own, with `text` as its body.
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

    /// Writes an answer; `write_fields` adds its header fields.
    fn answer(&mut self, key: ClientKey, status: u16, write_fields: impl FnOnce(&mut Vec<u8>), body: &[u8]) {
        if self.phase == Phase::Closing {
            self.close(key, Closing::AfterOutput);
        }
        let now = self.now();
        let Some(client) = self.clients.all.get_mut(key) else { return };
        (client.since, client.has_been_answered) = (now, true);
        let output = &mut client.output;
        // Writing to memory cannot fail.
        let _ = write!(output, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
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

    /// Writes as much of the answer as the socket takes, and closes the connection behind it where that is
    /// due.
    fn write_client(&mut self, key: ClientKey) {
        // Without output, nothing is closed either: the answer may be still to come.
        let Some(client) = self.clients.all.get_mut(key).filter(|c| !c.output.is_empty()) else { return };
        match poll::write(&client.socket, &client.output, &mut client.written) {
            Ok(false) => {}
            Ok(true) => {
                clear_and_shrink(&mut client.output);
                client.written = 0;
                if client.closing == Closing::AfterOutput {
                    self.close(key, Closing::Lingering);
                }
            }
            Err(error) => {
                debug!("an answer could not be written: {error}");
                self.client_disconnected(key);
            }
        }
    }

    /// Moves the closing of a connection on to `to`.
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
    /// Whether no request is in progress and nothing is left to write.
    fn is_quiet(&self) -> bool {
        self.request.is_none() && self.output.is_empty() && self.closing == Closing::No
    }

    /// Whether nothing is in progress, not even a message that is being read.
    fn is_idle(&self) -> bool {
        self.is_quiet() && !self.reader.has_partial_message(&self.input)
    }

    /// Whether it has exceeded a time-out: for its message, for taking an answer, or for a next request.
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

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
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
