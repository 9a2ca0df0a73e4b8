//! Connections to backends: opened or taken from the idle ones for an attempt, read, and kept or closed.

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

/// Bytes that are not acknowledged for so long end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_micros(1_500_000);
/// A connection to a backend of this region is to be established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_micros(250_000);
/// A connection to a backend of another region is to be established within this time.
const OTHER_REGION_CONNECT_TIMEOUT: Duration = Duration::from_micros(600_000);
/// An idle connection is closed after so long.
const IDLE_TIMEOUT: Duration = Duration::from_micros(8_000_000);
/// An idle connection is closed so long before the time that its backend tells.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_micros(1_000_000);
/// What another region adds to a service's usual latency.
const OTHER_REGION_LATENCY: Duration = Duration::from_micros(150_000);
/// An attempt is overdue after so many times its service's usual latency.
const OVERDUE_FACTOR: i64 = 5;
/// An attempt is overdue no sooner than this.
const MIN_OVERDUE_TIME: Duration = Duration::from_micros(500_000);

/// A connection to a backend.
pub(super) struct Upstream {
    pub(super) connection: Connection,
    pub(super) backend_id: Arc<str>,
    /// The attempt in flight on it.
    pub(super) attempt: Option<Attempt>,
    /// Whether a HEAD request was sent on it.
    had_head_request: bool,
    /// While it is idle: when it is closed.
    idle_until: Timestamp,
}

/// An attempt at a request, on a connection.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) began_at: Timestamp,
    /// Bytes of the body that were written to the connection.
    pub(super) body_bytes_written: u64,
    pub(super) is_chunked: bool,
    /// Whether all of the request was written to the connection.
    pub(super) is_request_finished: bool,
    pub(super) response: ResponseReader,
    pub(super) overdue_timer: Option<TimerKey>,
}

impl Server {
    /// Sends a request to a backend. False if no connection can be opened, or no attempt may be made.
    pub(super) fn send_attempt(&mut self, now: Timestamp, id: RequestId, backend_id: &Arc<str>) -> bool {
        let Some(backend) = self.load_balancer.get(backend_id) else { return false };
        let address = backend.address;
        let is_in_other_region = self.load_balancer.region_of(&backend.zone) != self.settings.region;
        let connection = match self.take_idle_upstream(now, backend_id) {
            Some(idle) => Some(idle),
            None => self.open_upstream(now, backend_id, address, is_in_other_region),
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
            began_at: now,
            body_bytes_written: 0,
            is_chunked: request.is_sent_chunked(),
            is_request_finished: false,
            response: ResponseReader::default(),
            overdue_timer: None,
        });
        self.set_overdue_timer(now, id, upstream_id, is_in_other_region);
        self.forward_body(upstream_id);
        true
    }

    /// Has an attempt replaced that takes too long, if another may be made and there is time for it.
    fn set_overdue_timer(
        &mut self,
        now: Timestamp,
        id: RequestId,
        upstream_id: UpstreamId,
        is_in_other_region: bool,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(upstream) = self.upstreams.get_mut(&upstream_id) else { return };
        let Some(attempt) = &mut upstream.attempt else { return };
        let is_last = request.lifecycle.attempts_sent() + 1 >= request.info.route.max_attempts;
        if is_last || !request.lifecycle.is_idempotent() {
            return;
        }
        let distance = if is_in_other_region { OTHER_REGION_LATENCY } else { Duration::ZERO };
        let latency = self.load_balancer.service_latency(&request.info.service) + distance;
        let overdue_after = (latency * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        if request.info.deadline - now > overdue_after + latency {
            let timer = self.timers.schedule(now + overdue_after, Timer::Overdue(id, upstream_id));
            attempt.overdue_timer = Some(timer);
        }
    }

    /// Takes an idle connection to a backend that is still fit for use; those that are not are closed.
    fn take_idle_upstream(&mut self, now: Timestamp, backend_id: &str) -> Option<UpstreamId> {
        while let Some(id) = self.idle_connections.pop(backend_id) {
            let is_fit = |upstream: &Upstream| upstream.connection.is_quiet() && now < upstream.idle_until;
            if self.upstreams.get(&id).is_some_and(is_fit) {
                return Some(id);
            }
            self.close_upstream(id);
        }
        None
    }

    /// Opens a connection to a backend.
    fn open_upstream(
        &mut self,
        now: Timestamp,
        backend_id: &Arc<str>,
        address: SocketAddr,
        is_in_other_region: bool,
    ) -> Option<UpstreamId> {
        let id = UpstreamId(self.allocate_id());
        let connection = Connection::connect(&self.poller, &address, id.0, UNACKNOWLEDGED_TIMEOUT).ok()?;
        let upstream = Upstream {
            connection,
            backend_id: backend_id.clone(),
            attempt: None,
            had_head_request: false,
            idle_until: now + IDLE_TIMEOUT,
        };
        self.upstreams.insert(id, upstream);
        let timeout = if is_in_other_region { OTHER_REGION_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        self.timers.schedule(now + timeout, Timer::Connect(id));
        Some(id)
    }

    /// The time for establishing a connection is over.
    pub(super) fn connect_timed_out(&mut self, now: Timestamp, id: UpstreamId) {
        if self.upstreams.get(&id).is_some_and(|upstream| !upstream.connection.is_established()) {
            self.lose_upstream(now, id, AttemptOutcome::Unreachable, "connect-timeout");
        }
    }

    /// Sends on a connection what there is of a request, and reads what its backend sends. `event` is none where no
    /// event has come, but there may be something to read.
    pub(super) fn serve_upstream(&mut self, id: UpstreamId, event: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let was_established = upstream.connection.is_established();
        if let Some(event) = event {
            if let Err(error) = upstream.connection.handle_event(event) {
                return self.lose_upstream(now, id, AttemptOutcome::Unreachable, error_label(error));
            }
        }
        if !was_established && upstream.connection.is_established() {
            let attempt = upstream.attempt.as_ref();
            if let Some(request) = attempt.and_then(|attempt| self.requests.get_mut(&attempt.request)) {
                request.lifecycle.connected();
            }
        }
        self.forward_body(id);
        // Whether the client takes more is to be known before its own turn, which may make room.
        let is_client_full = self.request_on(id).is_some_and(|request| !self.client_has_room(request));
        self.read_more_of_body(id);
        if !is_client_full {
            self.read_upstream(now, id, None);
        }
    }

    /// The request whose attempt is on a connection.
    fn request_on(&self, id: UpstreamId) -> Option<&Request> {
        let attempt = self.upstreams.get(&id)?.attempt.as_ref()?;
        self.requests.get(&attempt.request)
    }

    /// Whether more of a request's response may be read: it is not streamed, or its client takes more of it.
    fn client_has_room(&self, request: &Request) -> bool {
        request.lifecycle.state() != RequestState::Responding
            || self.clients.get(&request.info.client).is_some_and(|client| client.has_room())
    }

    /// A connection may have room again for a body that is streamed: has more of it read from the client.
    fn read_more_of_body(&mut self, id: UpstreamId) {
        let Some(request) = self.request_on(id) else { return };
        if request.is_body_complete || !request.lifecycle.is_in_flight() {
            return;
        }
        let client_id = request.info.client;
        let has_input = self.clients.get(&client_id).is_some_and(|client| client.has_input());
        let has_room = self.upstreams[&id].connection.unsent_bytes() < MAX_UNSENT_BYTES;
        if has_input && has_room {
            self.serve_client(client_id, None);
        }
    }

    /// Reads what a backend sends. `broken` says why the connection broke, if writing to it failed; what came before
    /// counts nonetheless.
    pub(super) fn read_upstream(&mut self, now: Timestamp, id: UpstreamId, broken: Option<&'static str>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let filled = upstream.connection.read_available(&mut self.read_buffer, MAX_UNSENT_BYTES);
        let (input_state, broken_why) = match (filled, broken) {
            (Ok(_), Some(why)) => (InputState::Broken, why),
            (Ok(true), None) => (InputState::Ended, ""),
            (Ok(false), None) => (InputState::Open, ""),
            (Err(error), _) => (InputState::Broken, error_label(error)),
        };
        let Some(attempt) = &mut upstream.attempt else {
            // Nothing is expected here: whatever came belongs to no request.
            if input_state != InputState::Open || !upstream.connection.input.is_empty() {
                self.close_upstream(id);
            }
            return;
        };
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let context = ResponseContext {
            request_id: request.id(),
            is_head_request: request.is_head_request(),
            had_head_request: upstream.had_head_request,
            max_buffered_bytes: MAX_BUFFERED_RESPONSE_BYTES,
        };
        match attempt.response.read(context, &mut upstream.connection.input, input_state) {
            ReadProgress::Partial => {}
            ReadProgress::Complete => return self.response_complete(now, id, input_state),
            ReadProgress::BufferFull => self.stream_response(now, id),
            ReadProgress::Failed(failure) => {
                let is_cut = matches!(failure, ResponseFailure::Closed | ResponseFailure::Truncated);
                let is_broken = is_cut && input_state == InputState::Broken;
                let why = if is_broken { broken_why } else { failure.as_str() };
                return self.lose_upstream(now, id, AttemptOutcome::Broken, why);
            }
        }
        self.read_upstream_again(id);
    }

    /// Has a connection read once more that has more to read, of which no further event tells.
    fn read_upstream_again(&mut self, id: UpstreamId) {
        let has_room = self.request_on(id).is_some_and(|request| self.client_has_room(request));
        let is_readable = |upstream: &Upstream| upstream.connection.is_readable();
        if has_room && self.upstreams.get(&id).is_some_and(is_readable) {
            self.unread_upstreams.push(id); // not from here: the stack would grow with the response
        }
    }

    /// Keeps a connection idle behind a complete response, unless it is to be closed by its head, or there are enough.
    pub(super) fn make_idle(&mut self, now: Timestamp, id: UpstreamId, head: &Head) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let idle_time = head.keep_alive_secs().map_or(IDLE_TIMEOUT, |secs| {
            IDLE_TIMEOUT.min(Duration::from_micros(secs as i64 * 1_000_000) - KEEP_ALIVE_MARGIN)
        });
        let has_room = self.idle_connections.has_room(&upstream.backend_id);
        if head.is_persistent() && idle_time > Duration::ZERO && has_room {
            upstream.idle_until = now + idle_time;
            self.idle_connections.push(upstream.backend_id.clone(), id);
        } else {
            self.close_upstream(id);
        }
    }

    /// A connection is lost, and its request goes on without it.
    fn lose_upstream(&mut self, now: Timestamp, id: UpstreamId, outcome: AttemptOutcome, why: &'static str) {
        let Some(request_id) = self.fail_attempt(now, id, outcome, why) else { return };
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let next = request.lifecycle.attempt_failed();
        self.continue_request(now, request_id, next);
    }

    /// Closes a connection, and ends the attempt on it; the request whose attempt it was.
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
            request.upstream = None;
        }
        Some(request_id)
    }

    /// Ends the attempt in flight on a connection, if any, and closes the connection.
    pub(super) fn abandon_attempt(&mut self, now: Timestamp, id: UpstreamId, outcome: AttemptOutcome) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            let backend_id = upstream.backend_id.clone();
            if let Some(attempt) = upstream.attempt.take() {
                self.attempt_ended(now, &backend_id, &attempt, outcome);
            }
        }
        self.close_upstream(id);
    }

    /// An attempt is over: its timer is taken back, and the load balancer learns how it ended.
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
        self.load_balancer.attempt_ended(now, backend_id, outcome, now - attempt.began_at);
    }

    /// Closes a connection.
    pub(super) fn close_upstream(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.remove(&id) else { return };
        self.idle_connections.remove(&upstream.backend_id, id);
    }

    /// Closes the connections that have been idle for too long.
    pub(super) fn close_idle_upstreams(&mut self, now: Timestamp) {
        let is_expired = |upstream: &Upstream| upstream.attempt.is_none() && now >= upstream.idle_until;
        let expired: Vec<UpstreamId> =
            self.upstreams.iter().filter(|(_, upstream)| is_expired(upstream)).map(|(id, _)| *id).collect();
        for id in expired {
            self.close_upstream(id);
        }
    }
}
