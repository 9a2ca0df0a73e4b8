//! Backend selection by spare capacity, success estimate and slow-start credit, all learnt from attempts.

use crate::dispatch::{Gateway, NEWEST_WEIGHT, OVERDUE_DEVIATIONS, PERIOD};
use crate::interface::{AttemptEnd, AttemptOutcome, BackendEntry, BackendStatus};
use crate::state::Backend;
use kitepass_time::{Duration, Timestamp};

const BUDGET_SHARE: f64 = 0.5; // fraction of the overload threshold that a backend in slow start is sent at most
const OUTCOME_DECAY: Duration = Duration::from_secs(5); // decay time constant of a backend's successes and failures

impl Gateway {
    /// Applies changes to the endpoint list; a full list also removes the backends that it doesn't contain.
    pub fn update_backends(&mut self, is_full: bool, entries: &[BackendEntry]) {
        self.backends.values_mut().filter(|_| is_full).for_each(|b| b.entry.status = BackendStatus::Removed);
        for entry in entries {
            let backend = self.backends.entry(entry.id.clone()).or_default();
            if backend.entry.started != entry.started {
                // Restarted: reset its statistics; random initial credit keeps the gateways from all sending at once.
                let (credit, as_of) = (self.rng.rand_float(), entry.started.unwrap_or_default());
                *backend = Backend { credit, updated_at: as_of, ..Backend::default() };
            }
            backend.entry = entry.clone();
        }
        self.backends.retain(|_, b| b.entry.status != BackendStatus::Removed || !b.in_flight.is_empty());
    }

    /// Selects a backend at random, with a weight of spare capacity times success estimate.
    pub(crate) fn select_backend(&mut self, now: Timestamp, id: &str) -> Option<String> {
        let slow_start = self.config.slow_start;
        let request = &self.requests[id];
        let latency = &self.latencies[request.workload];
        let (mean_latency, overdue) = (latency.mean, latency.overdue_after(OVERDUE_DEVIATIONS));
        let idempotency = self.config.workloads[request.workload].idempotency;
        let eligible = |b: &BackendEntry| {
            request.first_backend.as_ref().is_none_or(|first| idempotency.covers(first, b))
        };
        let (mut speed, mut capacity, mut in_flight) = (0.0, 0.0, 0.0);
        for backend in self.backends.values().filter(|backend| backend.is_live()) {
            let ramp_up = slow_start.capacity(backend.entry.started, now);
            speed += backend.entry.weight / backend.slowdown.exp2() * ramp_up;
            capacity += backend.entry.weight * ramp_up;
            in_flight += 1.0 + backend.in_flight.len() as f64; // room for one more attempt per backend, shared by speed
        }
        let completed = self.slow_start_completions.at(now, slow_start.window) / capacity;
        let (mut cumulative_odds, mut sum) = (Vec::new(), 0.0);
        for (id, backend) in self.backends.iter_mut().filter(|(_, b)| b.is_live() && eligible(&b.entry)) {
            let ramp_up = slow_start.capacity(backend.entry.started, now);
            if ramp_up < 1.0 {
                // Gateways could overload it together: each sends part of what warm ones of its weight, or a core, do.
                let core = slow_start.window.ratio_to(mean_latency) / f64::from(self.config.gateways);
                let budget =
                    BUDGET_SHARE * slow_start.multiple * ramp_up * core.max(backend.entry.weight * completed);
                let elapsed = (now - backend.updated_at).ratio_to(slow_start.window).min(1.0);
                backend.credit = (backend.credit + budget * elapsed).min(budget.max(1.0));
                backend.updated_at = now;
                if backend.credit < 1.0 {
                    continue;
                }
            }
            let share = backend.entry.weight / backend.slowdown.exp2() * ramp_up / speed;
            let room = (in_flight * share - backend.in_flight.len() as f64).max(share);
            let deviations: f64 = (0..3).map(|_| 2.0 * self.rng.rand_float() - 1.0).sum();
            sum += room * backend.success_estimate(now, overdue, deviations);
            cumulative_odds.push((id, sum));
        }
        let drawn = self.rng.rand_float() * sum;
        cumulative_odds.into_iter().find(|(_, up_to)| drawn <= *up_to).map(|(id, _)| id.clone())
    }

    pub(crate) fn record_outcome(&mut self, now: Timestamp, end: &AttemptEnd) {
        let Some(request) = self.requests.get(end.request_id) else { return };
        let (slow_start, succeeded) = (self.config.slow_start, end.outcome == AttemptOutcome::Completed);
        let latency = &mut self.latencies[request.workload];
        let mean_latency = latency.mean.max(Duration::from_micros(1));
        if end.outcome == AttemptOutcome::TimedOut {
            // A timeout says little about the latency, so its influence on the mean is bounded.
            latency.observe(end.elapsed.min(latency.overdue_after(OVERDUE_DEVIATIONS) / 2), NEWEST_WEIGHT);
        }
        if succeeded {
            latency.observe(end.elapsed, NEWEST_WEIGHT);
            self.completions.add(now, PERIOD, 1.0);
            self.slow_start_completions.add(now, slow_start.window, 1.0);
        }
        let Some(backend) = self.backends.get_mut(end.backend) else { return };
        backend.in_flight.remove(end.request_id);
        let (increased, halved) = if succeeded {
            (&mut backend.successes, &mut backend.failures)
        } else {
            (&mut backend.failures, &mut backend.successes)
        };
        if !matches!(end.outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            increased.add(now, OUTCOME_DECAY, 1.0);
            halved.scale(0.5);
        }
        if succeeded && slow_start.capacity(backend.entry.started, now) >= 1.0 {
            let ratio = end.elapsed.ratio_to(mean_latency).log2().clamp(-1.0, 6.0);
            backend.slowdown += (ratio - backend.slowdown) / backend.successes.value().clamp(1.0, 8.0);
        }
        if backend.entry.status == BackendStatus::Removed && backend.in_flight.is_empty() {
            self.backends.remove(end.backend); // the next endpoint list may arrive much later
        }
    }
}

impl Backend {
    pub(crate) fn is_live(&self) -> bool {
        self.entry.status == BackendStatus::Live
    }

    /// Success probability: posterior mean plus `deviations` standard deviations. Overdue attempts count as failures.
    pub(crate) fn success_estimate(&mut self, now: Timestamp, overdue: Duration, deviations: f64) -> f64 {
        let overdue_count = self.in_flight.values().filter(|sent| now - **sent > overdue).count() as f64;
        let successes = 1.0 + self.successes.at(now, OUTCOME_DECAY) * (-overdue_count).exp2();
        let total = successes + self.failures.at(now, OUTCOME_DECAY) + overdue_count;
        let mean = successes / total;
        (mean + deviations * (mean * (1.0 - mean) / (total + 1.0)).sqrt()).clamp(0.001, 1.0)
    }
}
