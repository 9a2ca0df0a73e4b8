//! Writes responses to clients, and closes connections after them.

use super::CloseState;
use crate::http::Message;
use crate::poll::{self, clear_and_shrink, ClientKey};
use crate::request::{RequestKey, State};
use crate::runtime::{Event, Phase, Runtime, Timer};
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::Duration;
use log::debug;
use rustix::net::Shutdown;
use std::io::Write;

/// How long a connection is still read after its last response. Closing a socket that holds unread bytes resets
/// the connection, and the client could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

impl Runtime {
    /// Forwards a backend's successful response to the client.
    pub(crate) fn forward_response(&mut self, key: RequestKey, response: &Message) {
        let Some((client, is_head_request)) =
            self.requests.get(key).map(|c| (c.client, c.parsed.is_head_request()))
        else {
            return;
        };
        self.write_response(
            client,
            200,
            |head| response.append_forwarded_fields(&[], head),
            if is_head_request { b"" } else { response.body() },
        );
    }

    /// Responds to a request that the policy has rejected or failed; `retry_in` becomes `Retry-After`.
    pub(crate) fn respond_with_failure(
        &mut self,
        key: RequestKey,
        is_rejected: bool,
        retry_in: Option<Duration>,
    ) {
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

    /// Writes a response of the gateway itself, with `text` as its body.
    pub(super) fn respond(&mut self, key: ClientKey, status: u16, retry_in: Option<Duration>, text: &str) {
        let write_fields = |head: &mut Vec<u8>| {
            if let Some(delay) = retry_in {
                let millis = (delay.as_micros() + 999) / 1000;
                let _ = write!(head, "Retry-After: {}.{:03}\r\n", millis / 1000, millis % 1000);
            }
            if !text.is_empty() {
                head.extend_from_slice(b"Content-Type: text/plain\r\n");
            }
        };
        self.write_response(key, status, write_fields, text.as_bytes());
    }

    /// Writes a response; `write_fields` adds its header fields.
    fn write_response(
        &mut self,
        key: ClientKey,
        status: u16,
        write_fields: impl FnOnce(&mut Vec<u8>),
        body: &[u8],
    ) {
        if self.phase == Phase::Closing {
            self.close(key, CloseState::AfterOutput);
        }
        let now = self.now();
        let Some(client) = self.clients.connections.get_mut(key) else { return };
        (client.last_response_at, client.has_responded) = (now, true);
        let output = &mut client.output;
        // Writing to memory cannot fail.
        let _ = write!(output, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        write_fields(output);
        if client.close_state != CloseState::Open {
            output.extend_from_slice(b"Connection: close\r\n");
        }
        let _ = write!(output, "Content-Length: {}\r\n\r\n", body.len());
        output.extend_from_slice(body);
        client.request = None;
        self.write_client(key);
        if self.clients.connections.get(key).is_some_and(|client| !client.input.is_empty()) {
            self.events.push_back(Event::Pipelined(key));
        }
    }

    /// Writes as much of the response as the socket accepts, and then closes the connection if it is to be closed.
    pub(super) fn write_client(&mut self, key: ClientKey) {
        // Without output the connection is not closed either, as its response may not be queued yet.
        let Some(client) = self.clients.connections.get_mut(key).filter(|c| !c.output.is_empty()) else {
            return;
        };
        match poll::write(&client.socket, &client.output, &mut client.written) {
            Ok(false) => {}
            Ok(true) => {
                clear_and_shrink(&mut client.output);
                client.written = 0;
                if client.close_state == CloseState::AfterOutput {
                    self.close(key, CloseState::Lingering);
                }
            }
            Err(error) => {
                debug!("writing a response failed: {error}");
                self.client_disconnected(key);
            }
        }
    }

    /// Advances the closing of a connection to the stage `to`.
    pub(super) fn close(&mut self, key: ClientKey, to: CloseState) {
        let until = self.now() + LINGER_TIMEOUT;
        let Some(client) = self.clients.connections.get_mut(key).filter(|c| c.close_state < to) else {
            return;
        };
        client.close_state = to;
        if to == CloseState::Lingering {
            let _ = rustix::net::shutdown(&client.socket, Shutdown::Write);
            self.schedule_timer(until, Timer::Linger(key));
        }
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
