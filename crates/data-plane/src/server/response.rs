//! Delivery of backend responses to clients.

use super::upstream::{Attempt, Upstream};
use super::Server;
use crate::attempt::{self, ConnectionState, InputState, NextStep, RequestState, ResponseClass};
use crate::ids::{ClientId, RequestId, UpstreamId};
use crate::load_balancer::AttemptOutcome;
use kitepass_net::http::body::Head;
use kitepass_time::Timestamp;

impl Server {
    /// Handles the complete response to the attempt on a connection.
    pub(super) fn response_complete(&mut self, now: Timestamp, id: UpstreamId, input_state: InputState) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let Some(mut attempt) = upstream.attempt.take() else { return };
        if let Some(timer) = attempt.overdue_timer {
            self.timers.cancel(timer);
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let head = attempt.response.head.take().expect("complete with its body");
        let was_sent = matches!(request.lifecycle.state(), RequestState::Sent | RequestState::Responding);
        let class = if was_sent {
            ResponseClass::of(&head, request.lifecycle.is_idempotent())
        } else {
            ResponseClass::Invalid
        };
        let next = request.lifecycle.response_complete(class);
        request.upstream = None;
        let elapsed = now - attempt.started_at;
        self.load_balancer.attempt_ended(now, &upstream.backend_id, class.outcome(), elapsed);
        if head.has_connection_option(b"close") {
            self.load_balancer.record_connection_close(now, &upstream.backend_id);
        }
        let connection_state = connection_state(upstream, &attempt, input_state);
        if attempt::may_reuse_connection(class, connection_state) {
            self.keep_idle_or_close(now, id, &head);
        } else {
            self.close_upstream(id);
        }
        let (request, body) = (attempt.request, attempt.response.body);
        match next {
            NextStep::StreamLast => self.finish_streaming(now, request, &body),
            NextStep::Deliver => self.deliver_response(now, request, &head, &body),
            NextStep::RetryOrDeliver => self.retry_or_deliver(now, request, &head, &body),
            next => self.continue_request(now, request, next),
        }
    }

    /// Retries a request after a backend's error response, or delivers that response if no further attempt can be made.
    fn retry_or_deliver(&mut self, now: Timestamp, id: RequestId, head: &Head, body: &[u8]) {
        let Some(request) = self.requests.get(&id) else { return };
        let time_left = request.info.deadline - now;
        let has_time = time_left > self.load_balancer.service_latency(&request.info.service);
        let backend = if has_time { self.select_backend(now, id) } else { None };
        if backend.is_some() {
            self.start_attempt(now, id, backend);
        } else if self.requests.get_mut(&id).is_some_and(|r| r.lifecycle.deliver_error_response()) {
            self.deliver_response(now, id, head, body);
        }
    }

    /// Delivers a complete backend response to the client.
    fn deliver_response(&mut self, now: Timestamp, id: RequestId, head: &Head, body: &[u8]) {
        let Some(request) = self.requests.get(&id) else { return };
        let client_id = request.info.client;
        let has_no_body = request.is_head_request() || matches!(head.status(), 204 | 304);
        let framing = if has_no_body { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        self.remove_request(id, AttemptOutcome::Abandoned);
        self.write_response_head(client_id, head, framing);
        self.finish_client_request(now, client_id);
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        client.connection.output.extend_from_slice(body);
        self.flush_client(client_id);
        self.read_next_request(client_id);
    }

    /// Writes the head of a backend response, with the framing and connection fields replaced by the gateway's.
    fn write_response_head(&mut self, id: ClientId, head: &Head, framing: String) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.close_after_response |= client.body_reader.is_some();
        let output = &mut client.connection.output;
        output.extend_from_slice(b"HTTP/1.1 ");
        for part in [head.start_line_part(1), b" ", head.start_line_part(2), b"\r\n"] {
            output.extend_from_slice(part);
        }
        head.append_forwarded_fields(&[], output);
        self.finish_response_head(id, framing);
    }

    /// Starts or continues streaming a response that exceeds the buffer. Once its head has been written, the request can
    /// no longer be retried.
    pub(super) fn stream_response(&mut self, now: Timestamp, id: UpstreamId) {
        let Some(Upstream { attempt: Some(attempt), .. }) = self.upstreams.get_mut(&id) else { return };
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let head = attempt.response.head.as_ref().expect("its body has begun");
        let class = ResponseClass::of(head, request.lifecycle.is_idempotent());
        let next = request.lifecycle.response_exceeds_buffer(class);
        let client_id = request.info.client;
        let body = std::mem::take(&mut attempt.response.body);
        match next {
            NextStep::StreamFirst => {
                let head = attempt.response.head.take().expect("its body has begun");
                self.write_response_head(client_id, &head, "Transfer-Encoding: chunked\r\n".to_owned());
                let attempt = self.upstreams.get_mut(&id).and_then(|upstream| upstream.attempt.as_mut());
                attempt.expect("the attempt is in flight").response.head = Some(head);
            }
            NextStep::StreamMore => {}
            // The response must not be delivered.
            next => {
                let request = self.fail_attempt(now, id, AttemptOutcome::Broken, "invalid-response");
                return request.into_iter().for_each(|request| self.continue_request(now, request, next));
            }
        }
        if let Some(client) = self.clients.get_mut(&client_id) {
            write_chunk(&body, &mut client.connection.output);
        }
        self.flush_client(client_id);
    }

    /// Writes the end of a streamed response to the client.
    fn finish_streaming(&mut self, now: Timestamp, id: RequestId, body: &[u8]) {
        let Some(request) = self.requests.get(&id) else { return };
        let client_id = request.info.client;
        self.remove_request(id, AttemptOutcome::Abandoned);
        self.finish_client_request(now, client_id);
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        write_chunk(body, &mut client.connection.output);
        client.connection.output.extend_from_slice(b"0\r\n\r\n");
        self.flush_client(client_id);
        self.read_next_request(client_id);
    }
}

/// The unfinished input and output of a connection after the response to an attempt.
fn connection_state(upstream: &Upstream, attempt: &Attempt, input_state: InputState) -> ConnectionState {
    ConnectionState {
        input_state,
        unread_bytes: upstream.connection.input.len(),
        unsent_bytes: upstream.connection.unsent_bytes(),
        is_request_finished: attempt.is_request_finished,
    }
}

/// Appends `bytes` as a chunk. Writes nothing for empty input, as an empty chunk would end the body.
pub(super) fn write_chunk(bytes: &[u8], output: &mut Vec<u8>) {
    if !bytes.is_empty() {
        output.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        output.extend_from_slice(bytes);
        output.extend_from_slice(b"\r\n");
    }
}
