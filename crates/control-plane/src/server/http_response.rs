//! HTTP responses to clients of the operators' API and the directory API.

use super::connections::{ConnectionId, Role, ServerConnection};
use super::worker::{Job, MIN_OFFLOAD_BYTES};
use super::Server;
use crate::request::{redirect_location, Response, NO_QUORUM_REASON};
use kitepass_config::ConfigurationSnapshot;
use log::debug;
use std::fmt::Write;

const JSON: &str = "application/json";
const TEXT: &str = "text/plain";
/// Seconds after which a client may retry a request that could not be executed.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// An HTTP response before it is encoded.
pub(super) struct HttpResponse {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
    /// Additional header lines, each with its line ending.
    extra_headers: String,
}

impl HttpResponse {
    pub(super) fn json(body: impl Into<Vec<u8>>) -> HttpResponse {
        HttpResponse { status: 200, content_type: JSON, body: body.into(), extra_headers: String::new() }
    }

    pub(super) fn text(status: u16, body: impl Into<Vec<u8>>) -> HttpResponse {
        HttpResponse { status, content_type: TEXT, body: body.into(), extra_headers: String::new() }
    }

    /// Returns a 503 response: another control process, or this one later, may be able to execute the request.
    pub(super) fn unavailable(reason: &str) -> HttpResponse {
        HttpResponse::text(503, reason).retry_after(RETRY_AFTER_S)
    }

    pub(super) fn retry_after(mut self, seconds: u32) -> HttpResponse {
        let _ = write!(self.extra_headers, "Retry-After: {seconds}\r\n"); // writing to a string cannot fail
        self
    }

    pub(super) fn location(mut self, location: &str) -> HttpResponse {
        let _ = write!(self.extra_headers, "Location: {location}\r\n"); // writing to a string cannot fail
        self
    }

    fn reason_phrase(&self) -> &'static str {
        match self.status {
            200 => "OK",
            307 => "Temporary Redirect",
            413 => "Content Too Large",
            503 => "Service Unavailable",
            _ => "Refused",
        }
    }

    fn head(&self, closes_connection: bool) -> String {
        format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}{}\r\n",
            self.status,
            self.reason_phrase(),
            self.content_type,
            self.body.len(),
            self.extra_headers,
            if closes_connection { "Connection: close\r\n" } else { "" },
        )
    }
}

impl Server {
    /// Queues a response to a client, whose next request may be read from then on.
    pub(super) fn respond(&mut self, id: ConnectionId, response: &HttpResponse) {
        let now = self.clock.now();
        let is_shutting_down = self.is_shutting_down();
        let Some(connection) = self.connections.get_mut(id) else { return };
        let ServerConnection { transport, role: Role::ApiClient(client), .. } = connection else { return };
        client.awaits_response = false;
        client.waits_since = now;
        connection.last_active = now;
        connection.closes_after_flush |= client.closes_after_response || is_shutting_down;
        let head = response.head(connection.closes_after_flush);
        transport.output.extend_from_slice(head.as_bytes());
        transport.output.extend_from_slice(&response.body);
    }

    /// Queues the state machine's response for the client that waits for it. Returns false if there is no such client,
    /// or if the response has to be encoded by the worker first.
    pub(super) fn respond_to_request(&mut self, id: ConnectionId, response: Response) -> bool {
        let client = self.connections.get(id).and_then(ServerConnection::api_client);
        let Some(client) = client.filter(|client| client.awaits_response) else {
            // Invariant: a response whose client is gone, or already got one, must not answer a different request.
            debug!("event=response-without-client");
            return false;
        };
        let response = match response {
            Response::Done => HttpResponse::json("{}"),
            Response::Configuration(snapshot) => return self.send_configuration(id, snapshot),
            Response::Conflict(reason) => HttpResponse::text(409, reason),
            Response::Invalid(reason) => HttpResponse::text(400, reason),
            Response::Redirect(address) => self.redirect(&address, &client.target),
            Response::Unavailable(reason) => HttpResponse::unavailable(reason),
        };
        self.respond(id, &response);
        true
    }

    /// Queues the configuration for the client that waits for it. Returns false if it is long and has to be encoded by
    /// the worker first.
    fn send_configuration(&mut self, id: ConnectionId, snapshot: ConfigurationSnapshot) -> bool {
        if snapshot.estimated_json_bytes() >= MIN_OFFLOAD_BYTES {
            self.worker.submit(Job::EncodeConfiguration { client: id, snapshot });
            return false;
        }
        self.respond(id, &HttpResponse::json(snapshot.to_json()));
        true
    }

    /// Redirects a client to another control process, for the same target. All machines use the same ports.
    fn redirect(&self, address: &str, target: &[u8]) -> HttpResponse {
        let listener = self.settings.listeners.operator_api;
        match listener.and_then(|listener| redirect_location(address, listener.port(), target)) {
            Some(location) => HttpResponse::text(307, NO_QUORUM_REASON).location(&location),
            None => HttpResponse::unavailable(NO_QUORUM_REASON),
        }
    }
}
