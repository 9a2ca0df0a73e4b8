//! Request bodies: reading from the client, buffering or streaming, and forwarding to a backend.

use super::downstream::CloseReason;
use super::response::write_chunk;
use super::upstream::Attempt;
use super::{Server, MAX_UNSENT_BYTES};
use crate::ids::{ClientId, RequestId, UpstreamId};
use crate::request::{Request, MAX_BUFFERED_BODY_BYTES};
use kitepass_net::connection::{error_label, Connection};
use kitepass_time::Timestamp;

/// Maximum total bytes buffered for the bodies of all requests.
const MAX_TOTAL_BUFFERED_BODY_BYTES: usize = 64 * 1024 * 1024;

impl Server {
    /// Reads more of a request body. Returns true if processing of the client's input may continue.
    pub(super) fn read_body(&mut self, now: Timestamp, id: ClientId, request_id: RequestId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let Some(request) = self.requests.get_mut(&request_id) else { return false };
        if request.is_body_complete {
            return false;
        }
        let Some(body_reader) = &mut client.body_reader else { return false };
        let capacity = (2 * MAX_BUFFERED_BODY_BYTES).saturating_sub(request.body.len());
        let buffered_before = request.body.len();
        let unread_before = client.connection.input.len();
        let Ok(is_complete) = body_reader.read(&mut client.connection.input, &mut request.body, capacity)
        else {
            self.close_client(id, CloseReason::Malformed);
            return false;
        };
        client.last_active = now;
        self.buffered_body_bytes += request.body.len() - buffered_before;
        request.is_body_complete = is_complete;
        if is_complete {
            client.body_reader = None;
        }
        if let Some(status) = self.body_rejection_status(request_id) {
            self.reject(now, request_id, status);
            return false;
        }
        self.forward_body_or_start_attempt(now, request_id);
        // Forwarding may have freed buffer space for input that has already been received.
        let Some(client) = self.clients.get(&id) else { return false };
        let Some(request) = self.requests.get(&request_id) else { return false };
        let unread = client.connection.input.len();
        let has_progressed = unread < unread_before || request.body.len() < buffered_before;
        let has_capacity = request.body.len() < 2 * MAX_BUFFERED_BODY_BYTES;
        has_progressed && !request.is_body_complete && unread > 0 && has_capacity
    }

    /// The rejection status if the body exceeds the size limit or all bodies together exceed the memory limit.
    fn body_rejection_status(&self, id: RequestId) -> Option<u16> {
        let request = self.requests.get(&id)?;
        let length = request.body_offset + request.body.len() as u64;
        if length > request.info.routing_table.limits.max_body_bytes {
            return Some(413);
        }
        let is_over_memory_limit = self.buffered_body_bytes > MAX_TOTAL_BUFFERED_BODY_BYTES;
        (is_over_memory_limit && request.upstream.is_none()).then_some(503)
    }

    /// Forwards the received part of a body if an attempt is in flight, or starts the first attempt if possible.
    fn forward_body_or_start_attempt(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.upstream {
            None if request.is_ready_to_send() => self.start_next_attempt(now, id),
            None => {}
            Some(upstream) => self.forward_body(upstream),
        }
    }

    /// Forwards the received part of a request body until the connection blocks.
    pub(super) fn forward_body(&mut self, id: UpstreamId) {
        loop {
            let Some(upstream) = self.upstreams.get_mut(&id) else { return };
            let mut sending_request = None;
            if let Some(attempt) = &mut upstream.attempt {
                let Some(request) = self.requests.get_mut(&attempt.request) else { return };
                let dropped = write_body(attempt, request, &mut upstream.connection);
                self.buffered_body_bytes -= dropped.min(self.buffered_body_bytes);
                sending_request = Some(request);
            }
            let unsent_before = upstream.connection.unsent_bytes();
            let flushed = upstream.connection.flush();
            let has_sent_bytes = upstream.connection.unsent_bytes() < unsent_before;
            let is_current = |request: &&mut Request| request.upstream == Some(id);
            if let Some(request) = sending_request.filter(|request| has_sent_bytes && is_current(request)) {
                request.lifecycle.bytes_written();
            }
            match flushed {
                // All output is sent, so body data that exceeded the output limit can follow.
                Ok(true) if self.has_unsent_body(id) => {}
                Ok(_) => return,
                // The backend may have sent a response before the connection failed.
                Err(error) => return self.read_upstream(self.clock.now(), id, Some(error_label(error))),
            }
        }
    }

    /// Whether the attempt on a connection has not yet written all buffered body bytes.
    fn has_unsent_body(&self, id: UpstreamId) -> bool {
        let attempt = self.upstreams.get(&id).and_then(|upstream| upstream.attempt.as_ref());
        let Some(attempt) = attempt.filter(|attempt| !attempt.is_request_finished) else { return false };
        let request = self.requests.get(&attempt.request);
        request.is_some_and(|request| {
            request.body_offset + request.body.len() as u64 > attempt.body_bytes_written
        })
    }
}

/// Writes buffered body bytes to a connection, unless its output is at the limit. Returns the number of bytes discarded
/// from the buffer because the body is too long to be kept for a retry.
fn write_body(attempt: &mut Attempt, request: &mut Request, connection: &mut Connection) -> usize {
    if attempt.is_request_finished || connection.unsent_bytes() >= MAX_UNSENT_BYTES {
        return 0;
    }
    let unsent = &request.body[(attempt.body_bytes_written - request.body_offset) as usize..];
    if attempt.is_chunked {
        write_chunk(unsent, &mut connection.output);
    } else {
        connection.output.extend_from_slice(unsent);
    }
    attempt.body_bytes_written += unsent.len() as u64;
    if request.is_body_complete {
        attempt.is_request_finished = true;
        if attempt.is_chunked {
            connection.output.extend_from_slice(b"0\r\n\r\n");
        }
        return 0;
    }
    if request.body.len() < MAX_BUFFERED_BODY_BYTES {
        return 0;
    }
    let dropped = request.body.len();
    request.body_offset += dropped as u64;
    request.lifecycle.body_dropped();
    request.body.clear();
    dropped
}
