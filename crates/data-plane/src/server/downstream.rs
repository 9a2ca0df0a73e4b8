//! Client connections: reads requests and flushes responses.

use super::outcome_log::Outcome;
use super::{Server, MAX_UNSENT_BYTES, READINESS_LISTENER};
use crate::ids::{ClientId, RequestId};
use crate::load_balancer::AttemptOutcome;
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::MessageKind;
use kitepass_net::poller::{self, ReadyEvent};
use kitepass_net::{Errno, OwnedFd};
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};

/// How long the rest of a request body is read and discarded after an early response.
const DRAIN_TIMEOUT: Duration = Duration::from_micros(1_000_000);
/// Maximum number of request heads, and of parts of request bodies, that are read from one client before the others are
/// served.
const MAX_READS_PER_TURN: usize = 64;
/// Multiple of the idle timeout for which a client may pause while sending a request body or receiving a response.
const PENDING_IDLE_FACTOR: i64 = 4;

/// A client connection.
pub(super) struct Client {
    pub(super) connection: Connection,
    pub(super) head_reader: HeadReader,
    /// The reader of the current request body, until the body is complete.
    pub(super) body_reader: Option<Body>,
    /// The current request.
    pub(super) request: Option<RequestId>,
    /// The rest of the current body is read and discarded before the next request.
    pub(super) discards_body: bool,
    /// The connection is closed after the response to the current request.
    pub(super) close_after_response: bool,
    /// The last response has begun: no further request is read, and the connection is closed once the response is sent.
    pub(super) is_closing: bool,
    /// The sending side is shut down, and input is read and discarded until [`DRAIN_TIMEOUT`].
    ///
    /// Invariant: a socket is not closed with unread data, because this resets the connection and the client may lose the
    /// response.
    pub(super) is_draining: bool,
    pub(super) is_readiness_check: bool,
    pub(super) last_active: Timestamp,
    /// When the first byte of an incomplete head was received.
    pub(super) head_started_at: Option<Timestamp>,
    /// The client has closed its sending side.
    pub(super) has_reached_eof: bool,
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The request was aborted: its response broke off, or the gateway shuts down.
    Aborted,
    /// The last response was sent.
    Completed,
    /// The client closed its sending side.
    Gone,
    /// The client was idle for too long.
    Idle,
    /// The request body was malformed.
    Malformed,
    /// The gateway shuts down.
    ShutDown,
    /// The socket failed.
    Socket(Errno),
}

impl CloseReason {
    /// The reason's name in log lines.
    fn name(self) -> &'static str {
        match self {
            CloseReason::Aborted => "aborted",
            CloseReason::Completed => "completed",
            CloseReason::Gone => "gone",
            CloseReason::Idle => "idle",
            CloseReason::Malformed => "malformed",
            CloseReason::ShutDown => "shutdown",
            CloseReason::Socket(error) => error_label(error),
        }
    }

    /// Whether the connection could have been kept.
    fn is_decided_by_gateway(self) -> bool {
        matches!(self, CloseReason::Aborted | CloseReason::Idle | CloseReason::ShutDown)
    }
}

/// Why a client has timed out.
#[derive(Clone, Copy)]
enum ClientTimeout {
    /// The request head takes too long to arrive.
    SlowHead,
    /// The client has sent nothing for too long.
    Idle,
}

impl Client {
    fn new(socket: OwnedFd, is_readiness_check: bool, now: Timestamp) -> Client {
        Client {
            connection: Connection::from_accepted(socket),
            head_reader: HeadReader::default(),
            body_reader: None,
            request: None,
            discards_body: false,
            close_after_response: false,
            is_closing: false,
            is_draining: false,
            is_readiness_check,
            last_active: now,
            head_started_at: None,
            has_reached_eof: false,
        }
    }

    /// Whether the socket has more data and the input buffer has capacity for it.
    fn has_more_to_read(&self) -> bool {
        !self.has_reached_eof
            && !self.is_closing
            && self.connection.is_readable()
            && self.connection.input.len() < MAX_UNSENT_BYTES
    }

    /// Whether the client has left: it has closed its sending side, and waits for no response. Requests that it sent before
    /// may be unread. The response to a readiness check changes nothing, and is sent all the same.
    fn has_left(&self) -> bool {
        !self.is_readiness_check && (self.has_reached_eof || self.connection.is_read_closed())
    }

    /// Whether input may be available in the buffer or in the socket.
    pub(super) fn has_input(&self) -> bool {
        !self.connection.input.is_empty() || self.connection.is_readable()
    }

    /// Whether all output is sent.
    pub(super) fn is_flushed(&self) -> bool {
        self.connection.unsent_bytes() == 0
    }

    /// Whether a request may have arrived at the socket that the event loop has not read yet.
    pub(super) fn has_unread_input(&self) -> bool {
        let reads_requests = self.request.is_none() && !self.is_closing && !self.is_draining;
        reads_requests && self.connection.input.is_empty() && !self.connection.is_idle()
    }

    /// Whether the last response is sent. A response that is streamed is sent only once its request has ended, although
    /// the output buffer may be empty before.
    fn has_sent_last_response(&self) -> bool {
        self.is_closing && self.request.is_none() && self.is_flushed()
    }

    /// Whether the output buffer has capacity for more of a response.
    pub(super) fn has_capacity(&self) -> bool {
        self.connection.unsent_bytes() < MAX_UNSENT_BYTES
    }

    fn timeout(&self, now: Timestamp, head: Duration, idle: Duration) -> Option<ClientTimeout> {
        let is_head_slow = self.head_started_at.is_some_and(|began| now - began > head);
        if is_head_slow && self.request.is_none() {
            return Some(ClientTimeout::SlowHead);
        }
        // Once a request has been received in full, only its deadline applies.
        let is_waiting_for_client = self.request.is_none() || self.body_reader.is_some();
        let idle_timeout = if self.is_draining {
            DRAIN_TIMEOUT
        } else if self.request.is_some() || !self.is_flushed() {
            idle * PENDING_IDLE_FACTOR
        } else {
            idle
        };
        let is_idle = is_waiting_for_client && now - self.last_active > idle_timeout;
        (is_head_slow || is_idle && !self.has_unread_input()).then_some(ClientTimeout::Idle)
    }
}

impl Server {
    /// Accepts all pending connections of a listener.
    pub(super) fn accept(&mut self, token: u64) {
        loop {
            let Some(listener) = self.listeners.iter().find(|listener| listener.token == token) else {
                return;
            };
            let socket = match poller::accept(&listener.socket) {
                Ok(Some(socket)) => socket,
                Ok(None) => return,
                Err(error) => return warn!("event=accept-failed why={}", error_label(error)),
            };
            let id = ClientId(self.allocate_id());
            if self.poller.add(&socket, id.0).is_err() {
                continue;
            }
            let client = Client::new(socket, token == READINESS_LISTENER, self.clock.now());
            // It is read once the poller has reported its state, because the client may have left already.
            self.clients.insert(id, client);
        }
    }

    /// Reads from and writes to a client connection. `event` is `None` if there was no socket event but input may be
    /// available.
    pub(super) fn process_client(&mut self, id: ClientId, event: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(event) = event {
            if let Err(error) = client.connection.handle_event(event) {
                return self.close_client(id, CloseReason::Socket(error));
            }
        }
        let mut remaining_reads = MAX_READS_PER_TURN;
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            match client.connection.read_available(&mut self.read_buffer, MAX_UNSENT_BYTES) {
                Ok(has_reached_eof) => client.has_reached_eof |= has_reached_eof,
                Err(error) => return self.close_client(id, CloseReason::Socket(error)),
            }
            if client.is_draining {
                return self.discard_input(id);
            }
            if client.has_left() && client.request.is_some() {
                // The client no longer waits for the response.
                return self.close_client(id, CloseReason::Gone);
            }
            // Invariant: a request is started only if its client is still there when it is read. The process may have stood
            // still since the request arrived.
            if client.has_left() {
                break;
            }
            self.read_client(now, id, &mut remaining_reads);
            if remaining_reads == 0 {
                self.resumable_clients.insert(id);
                break;
            }
            // The poller reports no further event for data that a read left in the socket.
            if !self.clients.get(&id).is_some_and(Client::has_more_to_read) {
                break;
            }
        }
        self.flush_client(id);
        let is_gone = |client: &Client| client.has_left() || client.has_reached_eof;
        if self.clients.get(&id).is_some_and(|client| is_gone(client) && client.request.is_none()) {
            self.close_client(id, CloseReason::Gone);
        }
    }

    /// Discards the input of a client that has been sent its last response.
    fn discard_input(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.input.clear();
        if client.has_reached_eof {
            self.close_client(id, CloseReason::Completed);
        } else if client.connection.is_readable() {
            self.resumable_clients.insert(id);
        }
    }

    /// Sends buffered output to a client until the socket blocks.
    pub(super) fn flush_client(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let was_full = !client.has_capacity();
        let unsent_before = client.connection.unsent_bytes();
        let flushed = client.connection.flush();
        if client.connection.unsent_bytes() < unsent_before {
            client.last_active = self.clock.now();
        }
        match flushed {
            Ok(true) if client.is_draining => {}
            Ok(true) if client.has_sent_last_response() => self.finish_client(id),
            Ok(_) if was_full && client.request.is_none() && client.has_capacity() => {
                self.resumable_clients.insert(id);
            }
            Ok(_) => {
                // A streamed response can continue, as the output buffer has capacity again. The event loop does so, as the
                // stack would grow with the response otherwise.
                let request = client.request.and_then(|request| self.requests.get(&request));
                let upstream = request.and_then(|request| request.upstream);
                if let Some(upstream) = upstream.filter(|_| was_full && client.has_capacity()) {
                    self.readable_upstreams.insert(upstream);
                }
            }
            Err(error) => self.close_client(id, CloseReason::Socket(error)),
        }
    }

    /// Closes a connection whose last response is sent. If the client may still be sending a body, its rest is read first.
    fn finish_client(&mut self, id: ClientId) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.body_reader.is_some() && !client.has_reached_eof {
            self.start_draining(id);
        } else {
            self.close_client(id, CloseReason::Completed);
        }
    }

    /// Shuts down the sending side of a connection after its last response, while the client may still be sending.
    fn start_draining(&mut self, id: ClientId) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.is_draining = true;
        client.last_active = now;
        if client.connection.shutdown_write().is_err() {
            return self.close_client(id, CloseReason::Completed);
        }
        self.process_client(id, None); // the poller reports no event for data already in the socket
    }

    /// Closes a client connection without a request once all of its output is sent.
    pub(super) fn close_client_after_flush(&mut self, id: ClientId, reason: CloseReason) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.is_flushed() {
            return self.close_client(id, reason);
        }
        client.is_closing = true;
    }

    /// Closes a client connection and abandons its request. A response that is not sent yet is lost.
    pub(super) fn close_client(&mut self, id: ClientId, reason: CloseReason) {
        let Some(client) = self.clients.remove(&id) else { return };
        debug!("event=client-closed why={}", reason.name());
        let is_response_due = client.request.is_some() || client.connection.unsent_bytes() > 0;
        if is_response_due && reason.is_decided_by_gateway() {
            let is_shutting_down = self.shutdown_started_at.is_some();
            self.outcome_log.record(Outcome::Cut { reason: reason.name(), is_shutting_down });
        }
        if let Some(request) = client.request {
            self.remove_request(request, AttemptOutcome::Abandoned);
        }
    }

    /// Closes the connections of clients that have timed out.
    pub(super) fn close_idle_clients(&mut self, now: Timestamp) {
        let limits = self.configuration.limits();
        let head = Duration::from_micros(i64::from(limits.head_timeout_ms) * 1000);
        let idle = Duration::from_micros(i64::from(limits.idle_timeout_ms) * 1000);
        let timed_out: Vec<(ClientId, ClientTimeout)> = self
            .clients
            .iter()
            .filter_map(|(id, client)| Some((*id, client.timeout(now, head, idle)?)))
            .collect();
        for (id, timeout) in timed_out {
            match timeout {
                ClientTimeout::Idle => self.close_client(id, CloseReason::Idle),
                ClientTimeout::SlowHead => {
                    self.clients.get_mut(&id).expect("listed above").close_after_response = true;
                    self.write_local_response(id, 408, None);
                    self.flush_client(id);
                }
            }
        }
    }

    /// Processes a client's input: request heads while there is no current request, else the body of that request. Each head
    /// and each part of a body takes one of the remaining reads.
    fn read_client(&mut self, now: Timestamp, id: ClientId, remaining_reads: &mut usize) {
        while let Some(client) = self.clients.get(&id).filter(|client| !client.is_closing) {
            if *remaining_reads == 0 {
                return;
            }
            *remaining_reads -= 1;
            let may_continue = match client.request {
                _ if client.discards_body => self.discard_body(id),
                Some(request) => self.read_body(now, id, request),
                // `flush_client` continues once the client has read enough of its responses.
                None if !client.has_capacity() => false,
                None => self.read_head(now, id),
            };
            if !may_continue {
                return;
            }
        }
    }

    /// Reads and discards the rest of a body. Returns true once it is complete.
    fn discard_body(&mut self, id: ClientId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let Some(body_reader) = &mut client.body_reader else { return false };
        let mut dropped = Vec::new();
        match body_reader.read(&mut client.connection.input, &mut dropped, usize::MAX) {
            Ok(false) => false,
            Ok(true) => {
                client.discards_body = false;
                client.body_reader = None;
                true
            }
            Err(_) => {
                self.close_client(id, CloseReason::Malformed);
                false
            }
        }
    }

    /// Reads a request head. Returns true if it is complete and the following input may be read.
    fn read_head(&mut self, now: Timestamp, id: ClientId) -> bool {
        let max_head_bytes = self.configuration.limits().max_head_bytes;
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let input = &mut client.connection.input;
        match client.head_reader.next(MessageKind::Request, input, max_head_bytes) {
            Ok(None) => {
                let has_begun = client.head_reader.has_partial_head(input);
                client.head_started_at = has_begun.then(|| client.head_started_at.unwrap_or(now));
                false
            }
            Err(error) => {
                client.close_after_response = true;
                self.write_local_response(id, error.status(), None);
                false
            }
            Ok(Some((head, framing))) => {
                client.head_started_at = None;
                client.last_active = now;
                client.close_after_response |= !head.is_persistent();
                client.body_reader = Some(Body::new(framing));
                self.handle_request_head(now, id, head, framing);
                true
            }
        }
    }
}
