//! Connections to backends: opening, reuse, reading of responses, and closing.

use super::{Server, Timer, MAX_UNSENT_BYTES};
use crate::attempt::{
    InputState, ReadProgress, RequestState, ResponseContext, ResponseFailure, ResponseReader,
    MAX_BUFFERED_RESPONSE_BYTES,
};
use crate::ids::{RequestId, UpstreamId};
use crate::load_balancer::AttemptOutcome;
use crate::request::Request;
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::http::body::Head;
use kitepass_net::poller::ReadyEvent;
use kitepass_net::timer_wheel::TimerKey;
use kitepass_time::{Duration, Timestamp};
use log::debug;
use std::net::SocketAddr;
use std::sync::Arc;

/// A connection fails when sent data stays unacknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_micros(1_500_000);
/// Connect timeout for backends in the gateway's region.
const CONNECT_TIMEOUT: Duration = Duration::from_micros(250_000);
/// Connect timeout for backends in other regions.
const CROSS_REGION_CONNECT_TIMEOUT: Duration = Duration::from_micros(600_000);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_micros(8_000_000);
/// How long before the keep-alive timeout announced by the backend an idle connection is closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_micros(1_000_000);
/// Latency added to that of a service for backends in other regions.
const CROSS_REGION_LATENCY: Duration = Duration::from_micros(150_000);
/// Multiple of the service latency after which an attempt is overdue.
const OVERDUE_FACTOR: i64 = 5;
/// Minimum time before an attempt is overdue.
const MIN_OVERDUE_TIME: Duration = Duration::from_micros(500_000);

/// A connection to a backend.
pub(super) struct Upstream {
    pub(super) connection: Connection,
    pub(super) backend_id: Arc<str>,
    /// The attempt in flight.
    pub(super) attempt: Option<Attempt>,
    /// Whether a HEAD request has been sent on this connection.
    had_head_request: bool,
    /// When the connection is closed if it is still idle.
    idle_until: Timestamp,
}

/// An attempt to forward a request on a connection.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) started_at: Timestamp,
    /// Body bytes written to the connection.
    pub(super) body_bytes_written: u64,
    pub(super) is_chunked: bool,
    /// Whether the whole request has been written to the connection.
    pub(super) is_request_finished: bool,
    pub(super) response: ResponseReader,
    pub(super) overdue_timer: Option<TimerKey>,
}

impl Server {
    /// Starts an attempt at a backend. Returns false if no connection can be opened or no attempt is allowed.
    pub(super) fn send_attempt(&mut self, now: Timestamp, id: RequestId, backend_id: &Arc<str>) -> bool {
        let Some(backend) = self.load_balancer.get(backend_id) else { return false };
        let address = backend.address;
        let is_cross_region = self.load_balancer.region_of(&backend.zone) != self.settings.region;
        let connection = match self.take_idle_upstream(now, backend_id) {
            Some(idle) => Some(idle),
            None => self.open_upstream(now, backend_id, address, is_cross_region),
        };
        let Some(upstream_id) = connection else { return false };
        let upstream = self.upstreams.get_mut(&upstream_id).expect("opened or found above");
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !request.lifecycle.begin_attempt(upstream.connection.is_established()) {
            self.close_upstream(upstream_id);
            return false;
        }
        let time_left_ms = (request.info.deadline - now).as_micros() / 1000;
        request.write_attempt_head(backend_id, time_left_ms.max(1), &mut upstream.connection.output);
        request.upstream = Some(upstream_id);
        upstream.had_head_request |= request.is_head_request();
        upstream.attempt = Some(Attempt {
            request: id,
            started_at: now,
            body_bytes_written: 0,
            is_chunked: request.is_sent_chunked(),
            is_request_finished: false,
            response: ResponseReader::default(),
            overdue_timer: None,
        });
        self.set_overdue_timer(now, id, upstream_id, is_cross_region);
        self.forward_body(upstream_id);
        true
    }

    /// Schedules the time at which an attempt becomes overdue, if the request allows another attempt and has enough time
    /// left for it.
    fn set_overdue_timer(
        &mut self,
        now: Timestamp,
        id: RequestId,
        upstream_id: UpstreamId,
        is_cross_region: bool,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(upstream) = self.upstreams.get_mut(&upstream_id) else { return };
        let Some(attempt) = &mut upstream.attempt else { return };
        let is_last = request.lifecycle.attempts_sent() + 1 >= request.info.route.max_attempts;
        if is_last || !request.lifecycle.is_idempotent() {
            return;
        }
        let cross_region_latency = if is_cross_region { CROSS_REGION_LATENCY } else { Duration::ZERO };
        let latency = self.load_balancer.service_latency(&request.info.service) + cross_region_latency;
        let overdue_after = (latency * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        if request.info.deadline - now > overdue_after + latency {
            let timer = self.timers.schedule(now + overdue_after, Timer::Overdue(id, upstream_id));
            attempt.overdue_timer = Some(timer);
        }
    }

    /// Takes a usable idle connection to a backend, and closes the unusable ones that it finds first.
    fn take_idle_upstream(&mut self, now: Timestamp, backend_id: &str) -> Option<UpstreamId> {
        while let Some(id) = self.idle_connections.pop(backend_id) {
            let is_usable = |upstream: &Upstream| upstream.connection.is_idle() && now < upstream.idle_until;
            if self.upstreams.get(&id).is_some_and(is_usable) {
                return Some(id);
            }
            self.close_upstream(id);
        }
        None
    }

    /// Opens a connection to a backend and schedules its connect timeout.
    fn open_upstream(
        &mut self,
        now: Timestamp,
        backend_id: &Arc<str>,
        address: SocketAddr,
        is_cross_region: bool,
    ) -> Option<UpstreamId> {
        let id = UpstreamId(self.allocate_id());
        let connection = Connection::connect(&self.poller, &address, id.0, TCP_USER_TIMEOUT).ok()?;
        let upstream = Upstream {
            connection,
            backend_id: backend_id.clone(),
            attempt: None,
            had_head_request: false,
            idle_until: now + IDLE_TIMEOUT,
        };
        self.upstreams.insert(id, upstream);
        let timeout = if is_cross_region { CROSS_REGION_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        self.timers.schedule(now + timeout, Timer::Connect(id));
        Some(id)
    }

    /// Handles the expiry of a connect timeout.
    pub(super) fn connect_timed_out(&mut self, now: Timestamp, id: UpstreamId) {
        if self.upstreams.get(&id).is_some_and(|upstream| !upstream.connection.is_established()) {
            self.fail_upstream(now, id, AttemptOutcome::Unreachable, "connect-timeout");
        }
    }

    /// Sends request data and reads response data on a connection. `event` is `None` if there was no socket event but
    /// data may be available.
    pub(super) fn process_upstream(&mut self, id: UpstreamId, event: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let was_established = upstream.connection.is_established();
        if let Some(event) = event {
            if let Err(error) = upstream.connection.handle_event(event) {
                return self.fail_upstream(now, id, AttemptOutcome::Unreachable, error_label(error));
            }
        }
        if !was_established && upstream.connection.is_established() {
            let attempt = upstream.attempt.as_ref();
            if let Some(request) = attempt.and_then(|attempt| self.requests.get_mut(&attempt.request)) {
                request.lifecycle.connected();
            }
        }
        self.forward_body(id);
        // This is determined first, because `resume_body_read` serves the client, which may free output capacity.
        let is_client_full = self.request_on(id).is_some_and(|request| !self.may_read_response(request));
        self.resume_body_read(id);
        if !is_client_full {
            self.read_upstream(now, id, None);
        }
    }

    /// The request whose attempt is in flight on a connection.
    pub(super) fn request_on(&self, id: UpstreamId) -> Option<&Request> {
        let attempt = self.upstreams.get(&id)?.attempt.as_ref()?;
        self.requests.get(&attempt.request)
    }

    /// The request whose attempt is in flight on a connection, for changes.
    pub(super) fn request_on_mut(&mut self, id: UpstreamId) -> Option<&mut Request> {
        let attempt = self.upstreams.get(&id)?.attempt.as_ref()?;
        self.requests.get_mut(&attempt.request)
    }

    /// Whether more of a response may be read: it is not being streamed, or the client's output buffer has capacity.
    fn may_read_response(&self, request: &Request) -> bool {
        request.lifecycle.state() != RequestState::Responding
            || self.clients.get(&request.info.client).is_some_and(|client| client.has_capacity())
    }

    /// Reads more of a streamed body from the client if the connection has output capacity for it.
    fn resume_body_read(&mut self, id: UpstreamId) {
        let Some(request) = self.request_on(id) else { return };
        if request.is_body_complete || !request.lifecycle.is_in_flight() {
            return;
        }
        let client_id = request.info.client;
        let has_input = self.clients.get(&client_id).is_some_and(|client| client.has_input());
        let has_capacity = self.upstreams[&id].connection.unsent_bytes() < MAX_UNSENT_BYTES;
        if has_input && has_capacity {
            self.process_client(client_id, None);
        }
    }

    /// Reads response data from a backend. `write_error` is the reason if writing to the connection failed. Data received
    /// before that failure is still processed.
    pub(super) fn read_upstream(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        write_error: Option<&'static str>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let read_result = upstream.connection.read_available(&mut self.read_buffer, MAX_UNSENT_BYTES);
        let (input_state, error) = match (read_result, write_error) {
            (Ok(_), Some(write_error)) => (InputState::Broken, write_error),
            (Ok(true), None) => (InputState::Ended, ""),
            (Ok(false), None) => (InputState::Open, ""),
            (Err(error), _) => (InputState::Broken, error_label(error)),
        };
        let Some(attempt) = &mut upstream.attempt else {
            // Without an attempt, any received data belongs to no request.
            if input_state != InputState::Open || !upstream.connection.input.is_empty() {
                self.close_upstream(id);
            }
            return;
        };
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let is_overdue = request.is_overdue(id);
        let context = ResponseContext {
            request_id: request.id(),
            is_head_request: request.is_head_request(),
            had_head_request: upstream.had_head_request,
            max_buffered_bytes: MAX_BUFFERED_RESPONSE_BYTES,
        };
        match attempt.response.read(context, &mut upstream.connection.input, input_state) {
            ReadProgress::Partial => {}
            ReadProgress::Complete | ReadProgress::BufferFull
                if is_overdue && !self.resume_overdue_attempt(now, id) =>
            {
                return;
            }
            ReadProgress::Complete => return self.response_complete(now, id, input_state),
            ReadProgress::BufferFull => self.stream_response(now, id),
            ReadProgress::Failed(failure) => {
                let is_premature_end =
                    matches!(failure, ResponseFailure::Closed | ResponseFailure::Truncated);
                let is_connection_error = is_premature_end && input_state == InputState::Broken;
                let why = if is_connection_error { error } else { failure.as_str() };
                return self.fail_upstream(now, id, AttemptOutcome::Broken, why);
            }
        }
        self.schedule_upstream_read(id);
    }

    /// Schedules another read if the socket has more data, as the poller reports no further event for it.
    fn schedule_upstream_read(&mut self, id: UpstreamId) {
        let has_capacity = self.request_on(id).is_some_and(|request| self.may_read_response(request));
        let is_readable = |upstream: &Upstream| upstream.connection.is_readable();
        if has_capacity && self.upstreams.get(&id).is_some_and(is_readable) {
            self.readable_upstreams.insert(id); // no recursion, as the stack would grow with the response
        }
    }

    /// Keeps a connection for reuse after a complete response, unless the response ends it or the maximum number of idle
    /// connections is reached.
    pub(super) fn keep_idle_or_close(&mut self, now: Timestamp, id: UpstreamId, head: &Head) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let idle_time = head.keep_alive_secs().map_or(IDLE_TIMEOUT, |secs| {
            IDLE_TIMEOUT.min(Duration::from_micros(secs as i64 * 1_000_000) - KEEP_ALIVE_MARGIN)
        });
        let has_capacity = self.idle_connections.has_capacity(&upstream.backend_id);
        if head.is_persistent() && idle_time > Duration::ZERO && has_capacity {
            upstream.idle_until = now + idle_time;
            self.idle_connections.push(upstream.backend_id.clone(), id);
        } else {
            self.close_upstream(id);
        }
    }

    /// Closes a failed connection and continues its request.
    pub(super) fn fail_upstream(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        outcome: AttemptOutcome,
        why: &'static str,
    ) {
        let was_overdue = self.request_on(id).is_some_and(|request| request.is_overdue(id));
        let Some(request_id) = self.fail_attempt(now, id, outcome, why) else { return };
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let next = if was_overdue {
            request.lifecycle.overdue_attempt_failed(!outcome.states_not_executed())
        } else {
            request.lifecycle.attempt_failed()
        };
        self.continue_request(now, request_id, next);
    }

    /// Closes a connection and ends its attempt as failed. Returns the request that the attempt belonged to.
    pub(super) fn fail_attempt(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        outcome: AttemptOutcome,
        why: &'static str,
    ) -> Option<RequestId> {
        let upstream = self.upstreams.get_mut(&id)?;
        let is_established = upstream.connection.is_established();
        let attempt = upstream.attempt.take();
        if let Some(attempt) = &attempt {
            let outcome = if is_established { outcome } else { AttemptOutcome::Unreachable };
            let backend_id = upstream.backend_id.clone();
            debug!("event=attempt-failed backend={backend_id} why={why} established={is_established}");
            self.attempt_ended(now, &backend_id, attempt, outcome);
        }
        self.close_upstream(id);
        let request_id = attempt?.request;
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.remove_attempt(id);
        }
        Some(request_id)
    }

    /// Ends the attempt in flight on a connection, if any, with the given outcome, and closes the connection.
    pub(super) fn abandon_attempt(&mut self, now: Timestamp, id: UpstreamId, outcome: AttemptOutcome) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            let backend_id = upstream.backend_id.clone();
            if let Some(attempt) = upstream.attempt.take() {
                self.attempt_ended(now, &backend_id, &attempt, outcome);
            }
        }
        self.close_upstream(id);
    }

    /// Cancels the timer of an ended attempt and reports its outcome to the load balancer.
    fn attempt_ended(
        &mut self,
        now: Timestamp,
        backend_id: &str,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        if let Some(timer) = attempt.overdue_timer {
            self.timers.cancel(timer);
        }
        self.load_balancer.attempt_ended(now, backend_id, outcome, now - attempt.started_at);
    }

    /// Closes a connection and removes it from the idle connections.
    pub(super) fn close_upstream(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.remove(&id) else { return };
        self.idle_connections.remove(&upstream.backend_id, id);
    }

    /// Closes connections whose idle timeout has expired.
    pub(super) fn close_idle_upstreams(&mut self, now: Timestamp) {
        let is_expired = |upstream: &Upstream| upstream.attempt.is_none() && now >= upstream.idle_until;
        let expired: Vec<UpstreamId> =
            self.upstreams.iter().filter(|(_, upstream)| is_expired(upstream)).map(|(id, _)| *id).collect();
        for id in expired {
            self.close_upstream(id);
        }
    }
}
