//! The attempts of a request: which backend each goes to, what follows one that failed, and how the request ends
//! without a backend's response.

use super::request_head::QUOTA_RETRY_MS;
use super::Server;
use crate::attempt::NextStep;
use crate::ids::{ClientId, RequestId, UpstreamId};
use crate::load_balancer::{AttemptOutcome, SelectionRequest};
use kitepass_time::{Duration, Timestamp};
use std::sync::Arc;

/// Backends that are tried for one request at most, those that could not be reached included.
const MAX_BACKENDS_TRIED: usize = 6;
/// Milliseconds after which a client may retry a request that no backend took; up to [`RETRY_JITTER_MS`] more are
/// drawn, so that clients do not all come at once.
const MIN_RETRY_MS: u64 = 200;
const RETRY_JITTER_MS: u64 = 300;

impl Server {
    /// Starts a request's next attempt, or rejects the request.
    pub(super) fn start_next_attempt(&mut self, now: Timestamp, id: RequestId) {
        let backend = self.select_backend(now, id);
        self.start_attempt(now, id, backend);
    }

    /// Selects the backend for a request's next attempt, if one may be made and some backend can take it. A retry
    /// counts against the budget.
    pub(super) fn select_backend(&mut self, now: Timestamp, id: RequestId) -> Option<Arc<str>> {
        let request = self.requests.get(&id)?;
        let info = &request.info;
        let is_exhausted = request.tried_backends.len() >= MAX_BACKENDS_TRIED;
        if info.deadline <= now || is_exhausted || !request.lifecycle.may_attempt() {
            return None;
        }
        let is_retry = request.lifecycle.attempts_sent() > 0;
        if is_retry && !self.retry_budget.try_acquire(now, &info.service, self.live_gateways) {
            return None;
        }
        let idle_connections = &self.idle_connections;
        let selection = SelectionRequest {
            service: &info.service,
            allowed_regions: [
                &info.route.home_regions,
                info.tenant.as_ref().map_or(&[], |tenant| &tenant.home_regions),
            ],
            tried_backends: &request.tried_backends,
            has_idle_connection: &|backend_id| idle_connections.contains(backend_id),
        };
        self.load_balancer.select(now, &selection)
    }

    /// Sends a request to the backend that was selected, or to the next where no connection can be opened. Where
    /// there is none the request is rejected.
    pub(super) fn start_attempt(&mut self, now: Timestamp, id: RequestId, mut backend: Option<Arc<str>>) {
        while let Some(backend_id) = backend {
            let Some(request) = self.requests.get_mut(&id) else { return };
            request.tried_backends.push(backend_id.clone());
            if self.send_attempt(now, id, &backend_id) {
                return;
            }
            self.load_balancer.attempt_ended(now, &backend_id, AttemptOutcome::Unreachable, Duration::ZERO);
            backend = self.select_backend(now, id);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let status = request.lifecycle.rejection_status();
        self.reject(now, id, status);
    }

    /// Rejects a request with a status.
    pub(super) fn reject(&mut self, now: Timestamp, id: RequestId, status: u16) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let next = request.lifecycle.reject(status);
        self.finish_without_response(now, id, next);
    }

    /// A request goes on behind an attempt that brought no response for its client.
    pub(super) fn continue_request(&mut self, now: Timestamp, id: RequestId, next: NextStep) {
        match next {
            NextStep::Retry => self.start_next_attempt(now, id),
            next => self.finish_without_response(now, id, next),
        }
    }

    /// A request ends without a backend's response, if `next` says so.
    pub(super) fn finish_without_response(&mut self, now: Timestamp, id: RequestId, next: NextStep) {
        let Some(request) = self.requests.get(&id) else { return };
        let client = request.info.client;
        let status = match next {
            NextStep::Reject(status) => status,
            NextStep::Abort => return self.close_client(client, "aborted"),
            _ => return,
        };
        let retry_after_ms = match status {
            429 => Some(QUOTA_RETRY_MS),
            503 => Some(MIN_RETRY_MS + self.rng.rand_range(0..RETRY_JITTER_MS)),
            _ => None,
        };
        self.remove_request(id, AttemptOutcome::Abandoned);
        self.release_client(now, client);
        self.respond(client, status, retry_after_ms);
        self.flush_client(client);
        self.serve_next_request(client);
    }

    /// A client's request has its final response: the next one may come.
    pub(super) fn release_client(&mut self, now: Timestamp, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request = None;
        client.last_active = now;
        client.discards_body = client.body_reader.is_some();
    }

    /// The next request may stand in a client's input already.
    pub(super) fn serve_next_request(&mut self, id: ClientId) {
        let may_have_more =
            |client: &super::Client| !client.connection.input.is_empty() || client.has_ended_input;
        if self.clients.get(&id).is_some_and(may_have_more) {
            self.serve_client(id, None);
        }
    }

    /// Forgets a request; an attempt that is still in flight is ended with the given outcome.
    pub(super) fn remove_request(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let now = self.clock.now();
        let Some(mut request) = self.requests.remove(&id) else { return };
        request.lifecycle.client_disconnected();
        self.buffered_body_bytes -= request.body.len().min(self.buffered_body_bytes);
        if let Some(upstream) = request.upstream {
            self.abandon_attempt(now, upstream, outcome);
        }
    }

    /// A request's time is over.
    pub(super) fn deadline_expired(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let next = request.lifecycle.deadline_expired();
        self.finish_without_response(now, id, next);
    }

    /// An idempotent request's attempt takes too long: another takes its place, if some backend can take it.
    pub(super) fn attempt_overdue(&mut self, now: Timestamp, id: RequestId, upstream_id: UpstreamId) {
        let attempt = self.upstreams.get_mut(&upstream_id).and_then(|upstream| upstream.attempt.as_mut());
        let Some(attempt) = attempt.filter(|attempt| attempt.request == id) else { return };
        attempt.overdue_timer = None;
        // Invariant: a backend that is at work is not given up where no other can take its place.
        let Some(backend) = self.select_backend(now, id) else { return };
        if self.requests.get_mut(&id).is_some_and(|r| r.lifecycle.abandon_overdue_attempt()) {
            self.fail_attempt(now, upstream_id, AttemptOutcome::Broken, "overdue");
            self.start_attempt(now, id, Some(backend));
        } else {
            self.load_balancer.attempt_ended(now, &backend, AttemptOutcome::Abandoned, Duration::ZERO);
        }
    }
}
