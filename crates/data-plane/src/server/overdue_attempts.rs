//! Attempts whose response is overdue: they stay in flight while another backend is tried.

use super::outcome_log::Outcome;
use super::Server;
use crate::attempt::{OverdueAttempt, ResponseClass};
use crate::ids::{RequestId, UpstreamId};
use crate::load_balancer::AttemptOutcome;
use kitepass_time::{Duration, Timestamp};

impl Server {
    /// Starts another attempt beside an overdue one of an idempotent request, if another backend is available.
    pub(super) fn attempt_overdue(&mut self, now: Timestamp, id: RequestId, upstream_id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&upstream_id) else { return };
        let backend_id = upstream.backend_id.clone();
        let Some(attempt) = upstream.attempt.as_mut().filter(|attempt| attempt.request == id) else { return };
        attempt.overdue_timer = None;
        let Some(next_backend) = self.select_backend(now, id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.lifecycle.attempt_overdue() {
            OverdueAttempt::Awaited => {
                let outcome = AttemptOutcome::Abandoned;
                return self.load_balancer.attempt_ended(now, &next_backend, outcome, Duration::ZERO);
            }
            OverdueAttempt::Abandoned => {
                self.fail_attempt(now, upstream_id, AttemptOutcome::Broken, "overdue");
            }
            OverdueAttempt::Kept => {
                request.upstream = None;
                request.overdue_upstreams.push(upstream_id);
                self.load_balancer.record_overdue_attempt(now, &backend_id);
            }
        }
        self.outcome_log.record(Outcome::AttemptOverdue);
        self.start_attempt(now, id, Some(next_backend));
    }

    /// Makes an overdue attempt that has received its response, completely or more than is buffered, the current one if the
    /// response decides the request. Returns false if the attempt has failed instead.
    pub(super) fn resume_overdue_attempt(&mut self, now: Timestamp, id: UpstreamId) -> bool {
        let Some(class) = self.response_class(id) else { return false };
        let Some(request) = self.request_on_mut(id) else { return false };
        if !request.lifecycle.resume_overdue_attempt(class) {
            self.fail_upstream(now, id, class.outcome(), "overdue");
            return false;
        }
        let replaced = request.upstream;
        request.remove_attempt(id);
        request.upstream = Some(id);
        if let Some(replaced) = replaced {
            self.abandon_attempt(now, replaced, AttemptOutcome::Abandoned);
        }
        true
    }

    /// The class of the response on a connection, once its head has been read.
    fn response_class(&self, id: UpstreamId) -> Option<ResponseClass> {
        let head = self.upstreams.get(&id)?.attempt.as_ref()?.response.head.as_ref()?;
        Some(ResponseClass::of(head, self.request_on(id)?.lifecycle.is_idempotent()))
    }
}
