//! Reading clients' requests.

use super::CloseState;
use crate::http::{Message, MessageKind, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::poll::{self, ClientKey, ReadOutcome, ReadyEvent};
use crate::request::Request;
use crate::request_head::RequestHead;
use crate::runtime::{Event, Phase, Runtime};
use log::debug;

/// The path that tells whether the gateway is ready to serve.
const READINESS_PATH: &[u8] = b"/healthz";
/// The interim response to a request with `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The most bytes that are read after the last answer; a client that sends more has its connection reset.
const MAX_LINGER_BYTES: usize = 256 * 1024;

impl Runtime {
    /// Serves a connection whose socket has become ready.
    pub(crate) fn client_ready(&mut self, ready: ReadyEvent, key: ClientKey) {
        if ready.read && !self.read_client(key, ready.ended) {
            return self.client_disconnected(key);
        }
        if ready.write {
            self.write_client(key);
        }
        self.process_next_request(key);
    }

    /// Reads what a client has sent; false if it has disconnected.
    fn read_client(&mut self, key: ClientKey, ended: bool) -> bool {
        let now = self.now();
        let Some(client) = self.clients.all.get_mut(key) else { return true };
        if client.request.is_none() || client.input.is_empty() {
            client.input_received_at = now;
        }
        loop {
            if client.close_state == CloseState::Lingering {
                client.lingered_bytes += std::mem::take(&mut client.input).len();
                if client.lingered_bytes > MAX_LINGER_BYTES {
                    return true; // left unread until the linger time-out
                }
            }
            client.has_unread_input = client.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES;
            if client.has_unread_input {
                return true; // read once there is room, so that no client fills the memory
            }
            match poll::read(&client.socket, &mut self.read_buffer, &mut client.input, ended) {
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
    pub(crate) fn process_next_request(&mut self, key: ClientKey) {
        let now = self.now();
        loop {
            let Some(client) = self.clients.all.get_mut(key) else { return };
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
                    debug!("a client's message: {error:?}");
                    self.close(key, CloseState::AfterOutput); // where its next message would begin is unknown
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
        if let Some(other) = self.requests.open_request(head.trace_id()).map(|request| request.client) {
            if self.clients.all.get(other).is_some_and(|client| !poll::is_closed_by_peer(&client.socket)) {
                return self.respond(key, 400, None, "X-Trace-Id: still open elsewhere\n");
            }
            self.client_disconnected(other);
        }
        let is_full = self.clients.all.len() > self.clients.max_served && !self.evict_idle_client(key);
        let Some(client) = self.clients.all.get_mut(key) else { return };
        if is_full {
            self.close(key, CloseState::AfterOutput);
            return self.respond(key, 503, None, "too many connections\n");
        }
        // Invariant: the answer must reach the client before its time is up, however late a timer fires.
        let deadline = client.input_received_at + head.timeout - self.connection_settings.deadline_grace;
        let request = self.requests.insert(Request::new(key, head, deadline));
        client.request = Some(request);
        self.events.push_back(Event::RequestArrived(request));
    }
}
