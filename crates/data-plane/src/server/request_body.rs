//! The body of a request: read from its client, buffered or streamed, and forwarded with its attempt.

use super::response::write_chunk;
use super::upstream::Attempt;
use super::{Server, MAX_UNSENT_BYTES};
use crate::ids::{ClientId, RequestId, UpstreamId};
use crate::request::{Request, MAX_BUFFERED_BODY_BYTES};
use kitepass_net::connection::{error_label, Connection};
use kitepass_time::Timestamp;

/// Bytes that the bodies of all requests may take together.
const MAX_BUFFERED_BYTES_OF_ALL: usize = 64 * 1024 * 1024;

impl Server {
    /// Reads on in a request's body; true if what follows in the client's input may be read.
    pub(super) fn read_body(&mut self, now: Timestamp, id: ClientId, request_id: RequestId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let Some(request) = self.requests.get_mut(&request_id) else { return false };
        if request.is_body_complete {
            return false;
        }
        let Some(body_reader) = &mut client.body_reader else { return false };
        let room = (2 * MAX_BUFFERED_BODY_BYTES).saturating_sub(request.body.len());
        let buffered_before = request.body.len();
        let unread_before = client.connection.input.len();
        let Ok(is_complete) = body_reader.read(&mut client.connection.input, &mut request.body, room) else {
            self.close_client(id, "malformed");
            return false;
        };
        client.last_active = now;
        self.buffered_body_bytes += request.body.len() - buffered_before;
        request.is_body_complete = is_complete;
        if is_complete {
            client.body_reader = None;
        }
        if let Some(status) = self.body_rejection(request_id) {
            self.reject(now, request_id, status);
            return false;
        }
        self.forward_or_start(now, request_id);
        // What was forwarded has made room for more that stands here already.
        let Some(client) = self.clients.get(&id) else { return false };
        let Some(request) = self.requests.get(&request_id) else { return false };
        let unread = client.connection.input.len();
        let has_progressed = unread < unread_before || request.body.len() < buffered_before;
        let has_room = request.body.len() < 2 * MAX_BUFFERED_BODY_BYTES;
        has_progressed && !request.is_body_complete && unread > 0 && has_room
    }

    /// The status with which a request is rejected whose body is too long, or for which there is no memory.
    fn body_rejection(&self, id: RequestId) -> Option<u16> {
        let request = self.requests.get(&id)?;
        let length = request.body_offset + request.body.len() as u64;
        if length > request.info.routing_table.limits.max_body_bytes {
            return Some(413);
        }
        let is_out_of_memory = self.buffered_body_bytes > MAX_BUFFERED_BYTES_OF_ALL;
        (is_out_of_memory && request.upstream.is_none()).then_some(503)
    }

    /// Forwards what has come of a body with the attempt in flight, or starts the first attempt.
    fn forward_or_start(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.upstream {
            None if request.is_ready_to_send() => self.start_next_attempt(now, id),
            None => {}
            Some(upstream) => self.forward_body(upstream),
        }
    }

    /// Forwards what has come of a request's body, as far as the connection takes it.
    pub(super) fn forward_body(&mut self, id: UpstreamId) {
        loop {
            let Some(upstream) = self.upstreams.get_mut(&id) else { return };
            let mut sending = None;
            if let Some(attempt) = &mut upstream.attempt {
                let Some(request) = self.requests.get_mut(&attempt.request) else { return };
                let dropped = write_body(attempt, request, &mut upstream.connection);
                self.buffered_body_bytes -= dropped.min(self.buffered_body_bytes);
                sending = Some(request);
            }
            let unsent_before = upstream.connection.unsent_bytes();
            let flushed = upstream.connection.flush();
            let has_sent = upstream.connection.unsent_bytes() < unsent_before;
            if let Some(request) = sending.filter(|_| has_sent) {
                request.lifecycle.bytes_written();
            }
            match flushed {
                // All is sent: what was held back for want of room may follow.
                Ok(true) if self.has_body_to_forward(id) => {}
                Ok(_) => return,
                // A response may have come before the connection broke.
                Err(error) => return self.read_upstream(self.clock.now(), id, Some(error_label(error))),
            }
        }
    }

    /// Whether bytes of the body are buffered that the attempt on a connection has not sent.
    fn has_body_to_forward(&self, id: UpstreamId) -> bool {
        let attempt = self.upstreams.get(&id).and_then(|upstream| upstream.attempt.as_ref());
        let Some(attempt) = attempt.filter(|attempt| !attempt.is_request_finished) else { return false };
        let request = self.requests.get(&attempt.request);
        request.is_some_and(|request| {
            request.body_offset + request.body.len() as u64 > attempt.body_bytes_written
        })
    }
}

/// Writes to a connection what it has room for of a request's body. The number of bytes that are dropped from the
/// buffer, as the body is too long to be kept for a retry.
fn write_body(attempt: &mut Attempt, request: &mut Request, connection: &mut Connection) -> usize {
    if attempt.is_request_finished || connection.unsent_bytes() >= MAX_UNSENT_BYTES {
        return 0;
    }
    let new = &request.body[(attempt.body_bytes_written - request.body_offset) as usize..];
    if attempt.is_chunked {
        write_chunk(new, &mut connection.output);
    } else {
        connection.output.extend_from_slice(new);
    }
    attempt.body_bytes_written += new.len() as u64;
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
