//! Responses of this gateway's own, and what all responses to clients have in common.

use super::downstream::Client;
use super::Server;
use crate::ids::ClientId;

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Refused",
    }
}

impl Server {
    /// Writes a response of this gateway's own, without a body, for a client.
    pub(super) fn respond(&mut self, id: ClientId, status: u16, retry_after_ms: Option<u64>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        self.rejection_log.record(status, self.configuration.route_count());
        let mut head = format!("HTTP/1.1 {status} {}\r\nContent-Length: 0\r\n", reason_phrase(status));
        if let Some(millis) = retry_after_ms {
            head.push_str(&format!("Retry-After: {}\r\n", millis as f64 / 1000.0));
        }
        // The rest of a body that nobody wants may be long.
        let has_unread_body = client.body_reader.as_ref().is_some_and(|body| !body.is_complete());
        client.wants_close |= has_unread_body && status != 200;
        self.finish_head(id, head);
    }

    /// Writes the rest of a response's head, with the fields that tell whether the connection stays open.
    pub(super) fn finish_head(&mut self, id: ClientId, mut head: String) {
        let is_shutting_down = self.shutdown_began.is_some();
        let idle_secs = self.configuration.limits().idle_timeout_ms / 1000;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.is_closing |= client.wants_close || is_shutting_down;
        head.push_str(&connection_fields(client, idle_secs));
        client.connection.output.extend_from_slice(head.as_bytes());
    }
}

fn connection_fields(client: &Client, idle_secs: u32) -> String {
    if client.is_closing {
        "Connection: close\r\n\r\n".to_owned()
    } else {
        format!("Keep-Alive: timeout={}\r\n\r\n", idle_secs.max(1))
    }
}
