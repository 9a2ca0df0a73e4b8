//! Choice of a backend by its spare capacity, success estimate and warm-up credit; what attempts teach of them.

use crate::dispatch::{Gateway, NEWEST_WEIGHT, OVERDUE_DEVIATIONS, PERIOD};
use crate::interface::{AttemptEnd, AttemptOutcome, BackendEntry, BackendStatus};
use crate::state::Backend;
use kitepass_time::{Duration, Timestamp};

const BUDGET_SHARE: f64 = 0.5; // share of the load that overloads a warming-up backend that it is sent at most
const OUTCOME_MEMORY: Duration = Duration::from_secs(5); // time constant of a backend's counts of successes and failures

impl Gateway {
    /// Takes in changes of the endpoint list; a complete list also removes the backends that it does not name.
    pub fn update_backends(&mut self, is_full: bool, entries: &[BackendEntry]) {
        self.backends.values_mut().filter(|_| is_full).for_each(|b| b.entry.status = BackendStatus::Removed);
        for entry in entries {
            let known = self.backends.entry(entry.id.clone()).or_default();
            if known.entry.started != entry.started {
                // It has restarted: its record is void, and the random credit keeps gateways from all sending at once.
                let (credit, as_of) = (self.rng.rand_float(), entry.started.unwrap_or_default());
                *known = Backend { credit, updated_at: as_of, ..Backend::default() };
            }
            known.entry = entry.clone();
        }
        self.backends.retain(|_, b| b.entry.status != BackendStatus::Removed || !b.in_flight.is_empty());
    }

    /// Draws one backend at random, with odds proportional to spare capacity times success estimate.
    pub(crate) fn select_backend(&mut self, now: Timestamp, id: &str) -> Option<String> {
        let slow_start = self.config.slow_start;
        let request = &self.requests[id];
        let latency = &self.latencies[request.workload];
        let (usual, overdue) = (latency.mean, latency.overdue(OVERDUE_DEVIATIONS));
        let idempotency = self.config.workloads[request.workload].idempotency;
        let fits =
            |b: &BackendEntry| request.first_backend.as_ref().is_none_or(|ran| idempotency.dedups(ran, b));
        let (mut speed, mut capacity, mut in_flight) = (0.0, 0.0, 0.0);
        for backend in self.backends.values().filter(|backend| backend.is_live()) {
            let warmth = slow_start.capacity(backend.entry.started, now);
            speed += backend.entry.weight / backend.slowdown.exp2() * warmth;
            capacity += backend.entry.weight * warmth;
            in_flight += 1.0 + backend.in_flight.len() as f64; // room for one more each, by its share
        }
        let taken = self.slow_start_done.at(now, slow_start.window) / capacity;
        let (mut cumulative_odds, mut sum) = (Vec::new(), 0.0);
        for (id, backend) in self.backends.iter_mut().filter(|(_, b)| b.is_live() && fits(&b.entry)) {
            let warmth = slow_start.capacity(backend.entry.started, now);
            if warmth < 1.0 {
                // Too much from all gateways overloads it: each bases its part on warm ones of its weight, or one core.
                let core = slow_start.window.ratio_to(usual) / f64::from(self.config.gateways);
                let budget =
                    BUDGET_SHARE * slow_start.multiple * warmth * core.max(backend.entry.weight * taken);
                let elapsed = (now - backend.updated_at).ratio_to(slow_start.window).min(1.0);
                backend.credit = (backend.credit + budget * elapsed).min(budget.max(1.0));
                backend.updated_at = now;
                if backend.credit < 1.0 {
                    continue;
                }
            }
            let share = backend.entry.weight / backend.slowdown.exp2() * warmth / speed;
            let room = (in_flight * share - backend.in_flight.len() as f64).max(share);
            let deviations: f64 = (0..3).map(|_| 2.0 * self.rng.rand_float() - 1.0).sum();
            sum += room * backend.success_estimate(now, overdue, deviations);
            cumulative_odds.push((id, sum));
        }
        let drawn = self.rng.rand_float() * sum;
        cumulative_odds.into_iter().find(|(_, up_to)| drawn <= *up_to).map(|(id, _)| id.clone())
    }

    /// Learns latencies and the backend's record from the end of an attempt.
    pub(crate) fn observe(&mut self, now: Timestamp, end: &AttemptEnd) {
        let Some(request) = self.requests.get(end.request_id) else { return };
        let (slow_start, went_well) = (self.config.slow_start, end.outcome == AttemptOutcome::Completed);
        let latency = &mut self.latencies[request.workload];
        let usual = latency.mean.max(Duration::from_micros(1));
        if end.outcome == AttemptOutcome::TimedOut {
            // A lost answer says little of the latency: it moves the mean by a bounded step.
            latency.observe(end.elapsed.min(latency.overdue(OVERDUE_DEVIATIONS) / 2), NEWEST_WEIGHT);
        }
        if went_well {
            latency.observe(end.elapsed, NEWEST_WEIGHT);
            self.completions.add(now, PERIOD, 1.0);
            self.slow_start_done.add(now, slow_start.window, 1.0);
        }
        let Some(backend) = self.backends.get_mut(end.backend) else { return };
        backend.in_flight.remove(end.request_id);
        let (gains, loses) = if went_well {
            (&mut backend.successes, &mut backend.failures)
        } else {
            (&mut backend.failures, &mut backend.successes)
        };
        if !matches!(end.outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            gains.add(now, OUTCOME_MEMORY, 1.0);
            loses.scale(0.5);
        }
        if went_well && slow_start.capacity(backend.entry.started, now) >= 1.0 {
            let ratio = end.elapsed.ratio_to(usual).log2().clamp(-1.0, 6.0);
            backend.slowdown += (ratio - backend.slowdown) / backend.successes.last().clamp(1.0, 8.0);
        }
        if backend.entry.status == BackendStatus::Removed && backend.in_flight.is_empty() {
            self.backends.remove(end.backend); // the next endpoint list may be far off
        }
    }
}

impl Backend {
    /// Whether it takes requests.
    pub(crate) fn is_live(&self) -> bool {
        self.entry.status == BackendStatus::Live
    }

    /// Its probability of success, so many deviations from the posterior's mean; overdue attempts count as failures.
    pub(crate) fn success_estimate(&mut self, now: Timestamp, overdue: Duration, deviations: f64) -> f64 {
        let late = self.in_flight.values().filter(|sent| now - **sent > overdue).count() as f64;
        let good = 1.0 + self.successes.at(now, OUTCOME_MEMORY) * (-late).exp2();
        let all = good + self.failures.at(now, OUTCOME_MEMORY) + late;
        let mean = good / all;
        (mean + deviations * (mean * (1.0 - mean) / (all + 1.0)).sqrt()).clamp(0.001, 1.0)
    }
}
