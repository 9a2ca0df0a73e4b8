//! Attempts to forward a request: backend selection, retries, and local responses when no backend response is delivered.

use super::downstream::CloseReason;
use super::request_head::QUOTA_RETRY_MS;
use super::Server;
use crate::attempt::NextStep;
use crate::ids::{ClientId, RequestId};
use crate::load_balancer::{AttemptOutcome, SelectionRequest};
use kitepass_time::{Duration, Timestamp};
use std::sync::Arc;

/// Maximum number of backends tried per request, including unreachable ones.
const MAX_TRIED_BACKENDS: usize = 6;
/// Minimum `Retry-After` for a request that no backend accepted, in milliseconds. A random delay below
/// [`RETRY_JITTER_MS`] is added so that clients do not all retry at once.
const MIN_RETRY_MS: u64 = 200;
const RETRY_JITTER_MS: u64 = 300;

impl Server {
    /// Starts the next attempt of a request, or rejects the request if none can be made.
    pub(super) fn start_next_attempt(&mut self, now: Timestamp, id: RequestId) {
        let backend = self.select_backend(now, id);
        self.start_attempt(now, id, backend);
    }

    /// Selects the backend for the next attempt of a request, if another attempt is allowed and a backend is available.
    /// A retry consumes retry budget.
    pub(super) fn select_backend(&mut self, now: Timestamp, id: RequestId) -> Option<Arc<str>> {
        let request = self.requests.get(&id)?;
        let info = &request.info;
        let is_exhausted = request.tried_backends.len() >= MAX_TRIED_BACKENDS;
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

    /// Sends a request to the selected backend, or to another one if no connection can be opened. Rejects the request if
    /// no backend remains, unless an overdue attempt is still in flight.
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
        if request.lifecycle.awaits_overdue_attempt() {
            return;
        }
        let status = request.lifecycle.rejection_status();
        self.reject(now, id, status);
    }

    /// Rejects a request with the given status.
    pub(super) fn reject(&mut self, now: Timestamp, id: RequestId, status: u16) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let next = request.lifecycle.reject(status);
        self.finish_with_local_response(now, id, next);
    }

    /// Continues a request after an attempt without a response for the client: retries it, or ends it.
    pub(super) fn continue_request(&mut self, now: Timestamp, id: RequestId, next: NextStep) {
        match next {
            NextStep::Retry => self.start_next_attempt(now, id),
            next => self.finish_with_local_response(now, id, next),
        }
    }

    /// Ends a request with a local response, or by closing the client connection, if `next` requires it.
    pub(super) fn finish_with_local_response(&mut self, now: Timestamp, id: RequestId, next: NextStep) {
        let Some(request) = self.requests.get(&id) else { return };
        let client = request.info.client;
        let status = match next {
            NextStep::Reject(status) => status,
            NextStep::Abort => return self.close_client(client, CloseReason::Aborted),
            _ => return,
        };
        let retry_after_ms = match status {
            429 => Some(QUOTA_RETRY_MS),
            503 => Some(MIN_RETRY_MS + self.rng.rand_range(0..RETRY_JITTER_MS)),
            _ => None,
        };
        self.remove_request(id, AttemptOutcome::Abandoned);
        self.finish_client_request(now, client);
        self.write_local_response(client, status, retry_after_ms);
        self.flush_client(client);
        self.read_next_request(client);
    }

    /// Clears a client's current request after its final response, so that the next one can be read.
    pub(super) fn finish_client_request(&mut self, now: Timestamp, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request = None;
        client.last_active = now;
        client.discards_body = client.body_reader.is_some();
    }

    /// Schedules the next request if it may already be in the input buffer.
    pub(super) fn read_next_request(&mut self, id: ClientId) {
        let may_have_more =
            |client: &super::Client| !client.connection.input.is_empty() || client.has_reached_eof;
        if self.clients.get(&id).is_some_and(may_have_more) {
            self.resumable_clients.insert(id); // no recursion, as the stack would grow with the requests sent ahead
        }
    }

    /// Removes a request. Its attempts in flight are ended with the given outcome.
    pub(super) fn remove_request(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let now = self.clock.now();
        let Some(mut request) = self.requests.remove(&id) else { return };
        request.lifecycle.client_disconnected();
        self.buffered_body_bytes -= request.body.len().min(self.buffered_body_bytes);
        for upstream in request.upstream.into_iter().chain(request.overdue_upstreams) {
            self.abandon_attempt(now, upstream, outcome);
        }
    }

    /// Handles the expiry of a request's deadline.
    pub(super) fn deadline_expired(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let next = request.lifecycle.deadline_expired();
        self.finish_with_local_response(now, id, next);
    }
}
