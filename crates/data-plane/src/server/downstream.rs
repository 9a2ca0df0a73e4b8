//! Connections of clients: what a client sends is read here, and what it is to get is flushed.

use super::{Server, MAX_UNSENT_BYTES, READINESS_LISTENER};
use crate::ids::{ClientId, RequestId};
use crate::load_balancer::AttemptOutcome;
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::MessageKind;
use kitepass_net::poller::{self, ReadyEvent};
use kitepass_net::OwnedFd;
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};

/// What still comes of a body whose request was answered before it was complete is read and dropped for so long.
const DRAIN_TIMEOUT: Duration = Duration::from_micros(1_000_000);
/// A client whose request is not complete may be silent for so many times the idle time-out.
const REQUEST_IDLE_FACTOR: i64 = 4;

/// A client's connection.
pub(super) struct Client {
    pub(super) connection: Connection,
    pub(super) head_reader: HeadReader,
    /// The body that is being read, until it is complete.
    pub(super) body_reader: Option<Body>,
    /// The request under way.
    pub(super) request: Option<RequestId>,
    /// The rest of a body that nobody wants is read and dropped before the next request.
    pub(super) discards_body: bool,
    /// The connection is to be closed behind the response to the present request.
    pub(super) wants_close: bool,
    /// The last response has been written: no further request is read, and the connection is closed once it is sent.
    pub(super) is_closing: bool,
    /// Our side is closed, and what still comes is read and dropped for a while.
    ///
    /// Invariant: a socket that is closed with bytes unread is reset, and the response would be lost with it.
    pub(super) is_draining: bool,
    pub(super) is_readiness_check: bool,
    pub(super) last_active: Timestamp,
    /// When the first byte of a head arrived that is not complete.
    pub(super) head_began_at: Option<Timestamp>,
    /// The client has ended its sending.
    pub(super) has_ended_input: bool,
}

/// Why a client has used up its time.
#[derive(Clone, Copy)]
enum ClientTimeout {
    /// Its head takes too long.
    SlowHead,
    /// It has sent nothing for too long.
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
            wants_close: false,
            is_closing: false,
            is_draining: false,
            is_readiness_check,
            last_active: now,
            head_began_at: None,
            has_ended_input: false,
        }
    }

    /// Whether there is more to read from the socket, and room for it.
    fn has_more_to_read(&self) -> bool {
        !self.has_ended_input
            && !self.is_closing
            && self.connection.is_readable()
            && self.connection.input.len() < MAX_UNSENT_BYTES
    }

    /// Whether there may be more of the present request's body, in the buffer or in the socket.
    pub(super) fn has_input(&self) -> bool {
        !self.connection.input.is_empty() || self.connection.is_readable()
    }

    /// Whether more of a response may be written.
    pub(super) fn has_room(&self) -> bool {
        self.connection.unsent_bytes() < MAX_UNSENT_BYTES
    }

    fn timeout(&self, now: Timestamp, head: Duration, idle: Duration) -> Option<ClientTimeout> {
        let is_head_slow = self.head_began_at.is_some_and(|began| now - began > head);
        if is_head_slow && self.request.is_none() {
            return Some(ClientTimeout::SlowHead);
        }
        // A request that has come in full has a deadline of its own, however long that is.
        let is_clients_turn = self.request.is_none() || self.body_reader.is_some();
        let idle_timeout = match self.request {
            _ if self.is_draining => DRAIN_TIMEOUT,
            None => idle,
            Some(_) => idle * REQUEST_IDLE_FACTOR,
        };
        let is_idle = is_clients_turn && now - self.last_active > idle_timeout;
        (is_head_slow || is_idle).then_some(ClientTimeout::Idle)
    }
}

impl Server {
    /// Accepts all connections that wait at a listener.
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
            self.clients.insert(id, client);
            self.serve_client(id, None);
        }
    }

    /// Reads what a client sends and sends what it is to get. `event` is none where no event has come, but there may
    /// be something to read.
    pub(super) fn serve_client(&mut self, id: ClientId, event: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(event) = event {
            if let Err(error) = client.connection.handle_event(event) {
                return self.close_client(id, error_label(error));
            }
        }
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            match client.connection.read_available(&mut self.read_buffer, MAX_UNSENT_BYTES) {
                Ok(has_ended) => client.has_ended_input |= has_ended,
                Err(error) => return self.close_client(id, error_label(error)),
            }
            if client.is_draining {
                client.connection.input.clear();
                if client.has_ended_input {
                    return self.close_client(id, "done");
                }
                if client.connection.is_readable() {
                    continue;
                }
                return;
            }
            if client.has_ended_input && client.request.is_some() {
                // Nobody waits for the response any longer.
                return self.close_client(id, "gone");
            }
            self.read_client(now, id);
            // No further event tells of what a read left in the socket.
            if !self.clients.get(&id).is_some_and(Client::has_more_to_read) {
                break;
            }
        }
        self.flush_client(id);
        if self.clients.get(&id).is_some_and(|client| client.has_ended_input && client.request.is_none()) {
            self.close_client(id, "gone");
        }
    }

    /// Sends what a client is to get, as far as the socket takes it.
    pub(super) fn flush_client(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let was_full = !client.has_room();
        match client.connection.flush() {
            Ok(true) if client.is_draining => {}
            Ok(true) if client.is_closing && client.body_reader.is_some() && !client.has_ended_input => {
                self.begin_draining(id);
            }
            Ok(true) if client.is_closing => self.close_client(id, "done"),
            Ok(_) => {
                // There is room again for a response that is streamed.
                let request = client.request.and_then(|request| self.requests.get(&request));
                let upstream = request.and_then(|request| request.upstream);
                if let Some(upstream) = upstream.filter(|_| was_full && self.clients[&id].has_room()) {
                    self.serve_upstream(upstream, None);
                }
            }
            Err(error) => self.close_client(id, error_label(error)),
        }
    }

    /// Closes our side of a connection whose last response is sent while the client still sends.
    fn begin_draining(&mut self, id: ClientId) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.is_draining = true;
        client.last_active = now;
        if client.connection.shutdown_write().is_err() {
            return self.close_client(id, "done");
        }
        self.serve_client(id, None); // no further event tells of what stands in its socket
    }

    /// Closes a client's connection; its request is abandoned.
    pub(super) fn close_client(&mut self, id: ClientId, why: &'static str) {
        let Some(client) = self.clients.remove(&id) else { return };
        debug!("event=client-closed why={why}");
        if let Some(request) = client.request {
            self.remove_request(request, AttemptOutcome::Abandoned);
        }
    }

    /// Closes the connections of clients that have used up their time.
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
                ClientTimeout::Idle => self.close_client(id, "idle"),
                ClientTimeout::SlowHead => {
                    self.clients.get_mut(&id).expect("listed above").wants_close = true;
                    self.respond(id, 408, None);
                    self.flush_client(id);
                }
            }
        }
    }

    /// Reads what a client has sent: heads while no request is under way, else the body of the one that is.
    fn read_client(&mut self, now: Timestamp, id: ClientId) {
        while let Some(client) = self.clients.get(&id).filter(|client| !client.is_closing) {
            let may_go_on = match client.request {
                _ if client.discards_body => self.discard_body(id),
                Some(request) => self.read_body(now, id, request),
                None => self.read_head(now, id),
            };
            if !may_go_on {
                return;
            }
        }
    }

    /// Reads and drops the rest of a body; true if it is complete.
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
                self.close_client(id, "malformed");
                false
            }
        }
    }

    /// Reads a head; true if it is complete, and what follows it may be read.
    fn read_head(&mut self, now: Timestamp, id: ClientId) -> bool {
        let max_head_bytes = self.configuration.limits().max_head_bytes;
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let input = &mut client.connection.input;
        match client.head_reader.next(MessageKind::Request, input, max_head_bytes) {
            Ok(None) => {
                let has_begun = client.head_reader.has_partial_head(input);
                client.head_began_at = has_begun.then(|| client.head_began_at.unwrap_or(now));
                false
            }
            Err(error) => {
                client.wants_close = true;
                self.respond(id, error.status(), None);
                false
            }
            Ok(Some((head, framing))) => {
                client.head_began_at = None;
                client.last_active = now;
                client.wants_close |= !head.is_persistent();
                client.body_reader = Some(Body::new(framing));
                self.receive_head(now, id, head, framing);
                true
            }
        }
    }
}
