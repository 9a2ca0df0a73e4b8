//! Reads requests from clients.

use super::CloseState;
use crate::http::{Message, MessageKind, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::parsed_request::ParsedRequest;
use crate::poll::{self, ClientKey, ReadOutcome, ReadyEvent};
use crate::request::Request;
use crate::runtime::{Event, Phase, Runtime};
use log::debug;

/// The path of the readiness check.
const READINESS_PATH: &[u8] = b"/healthz";
/// The interim response to a request with `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How many bytes are read at most during a lingering close; the connection of a client that sends more is reset.
const MAX_LINGER_BYTES: usize = 256 * 1024;

impl Runtime {
    /// Handles the event of a ready socket.
    pub(crate) fn client_ready(&mut self, ready: ReadyEvent, key: ClientKey) {
        if ready.read && !self.read_client(key, ready.ended) {
            return self.client_disconnected(key);
        }
        if ready.write {
            self.write_client(key);
        }
        self.process_next_request(key);
    }

    /// Reads what a client has sent. Returns false if it has disconnected.
    fn read_client(&mut self, key: ClientKey, ended: bool) -> bool {
        let now = self.now();
        let Some(client) = self.clients.connections.get_mut(key) else { return true };
        if client.request.is_none() || client.input.is_empty() {
            client.input_received_at = now;
        }
        loop {
            if client.close_state == CloseState::Lingering {
                client.lingered_bytes += std::mem::take(&mut client.input).len();
                if client.lingered_bytes > MAX_LINGER_BYTES {
                    return true; // the rest stays unread until the linger time-out
                }
            }
            client.has_unread_input = client.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES;
            if client.has_unread_input {
                return true; // read later, when the input has room: limits the memory for each client
            }
            match poll::read(&client.socket, &mut self.read_buffer, &mut client.input, ended) {
                Ok(ReadOutcome::Bytes) => {}
                Ok(ReadOutcome::WouldBlock) => return true,
                Ok(ReadOutcome::EndOfStream) => return false,
                Err(error) => {
                    debug!("client connection lost: {error}");
                    return false;
                }
            }
        }
    }

    /// Drops a connection in any state, and reports its request to the policy as abandoned.
    pub(crate) fn client_disconnected(&mut self, key: ClientKey) {
        let Some(client) = self.clients.connections.remove(key) else { return };
        if let Some(request) = client.request {
            self.events.push_back(Event::ClientDisconnected(request));
        }
        if self.clients.has_pending_accept {
            self.accept_clients();
        }
    }

    /// Processes the next requests in a client's input while they are complete and none is in progress.
    pub(crate) fn process_next_request(&mut self, key: ClientKey) {
        let now = self.now();
        loop {
            let Some(client) = self.clients.connections.get_mut(key) else { return };
            if client.request.is_some() || client.close_state != CloseState::Open || !client.output.is_empty()
            {
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
                        client.message_started_at.get_or_insert(now);
                    }
                    if !client.continue_sent && client.reader.expects_continue(&client.input) {
                        client.continue_sent = true;
                        client.output.extend_from_slice(CONTINUE);
                        self.write_client(key);
                    }
                    return;
                }
                Err(error) => {
                    debug!("invalid message from a client: {error:?}");
                    self.close(key, CloseState::AfterOutput); // the start of its next message is unknown
                    self.respond(key, error.status(), None, &format!("{error:?}\n"));
                    return;
                }
            };
            client.continue_sent = false;
            client.message_started_at = None;
            if !message.is_persistent() || self.phase == Phase::Closing {
                self.close(key, CloseState::AfterOutput);
            }
            self.handle_message(key, message);
        }
    }

    /// Responds to a readiness check or an invalid request at once, and passes a valid request to the policy.
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
        let parsed = match ParsedRequest::parse(message, &self.config) {
            Ok(parsed) => parsed,
            Err(error) => {
                debug!("invalid request from a client: {error}");
                return self.respond(key, 400, None, &format!("{error}\n"));
            }
        };
        // Invariant: no two requests in progress have the same trace id, as a backend could confuse them. A client
        // may repeat its request on a new connection before the gateway has noticed that the old one is closed.
        if let Some(other) = self.requests.open_request(parsed.trace_id()).map(|request| request.client) {
            if self
                .clients
                .connections
                .get(other)
                .is_some_and(|client| !poll::is_closed_by_peer(&client.socket))
            {
                return self.respond(key, 400, None, "X-Trace-Id: still open elsewhere\n");
            }
            self.client_disconnected(other);
        }
        let is_full =
            self.clients.connections.len() > self.clients.max_served && !self.evict_idle_client(key);
        let Some(client) = self.clients.connections.get_mut(key) else { return };
        if is_full {
            self.close(key, CloseState::AfterOutput);
            return self.respond(key, 503, None, "too many connections\n");
        }
        // Invariant: the response must reach the client within its time limit, even if a timer fires late.
        let deadline = client.input_received_at + parsed.timeout - self.connection_settings.deadline_grace;
        let request = self.requests.insert(Request::new(key, parsed, deadline));
        client.request = Some(request);
        self.events.push_back(Event::RequestArrived(request));
    }
}
