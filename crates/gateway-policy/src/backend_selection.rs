//! Which backend an attempt goes to: the list, the room and the trust that each is thought to have, the credit of a warming-up
//! one, and what is learnt from the ends of attempts.

use crate::dispatch::{Gateway, NEWEST, OVERDUE, PERIOD};
use crate::interface::*;
use crate::state::Backend;
use kitepass_time::{Duration, Timestamp};

const BUDGET_PART: f64 = 0.5; // share of what tips a warming-up backend over that is used at most
const OUTCOME_MEMORY: Duration = Duration::from_secs(5); // how long a backend's good and bad ends count

impl Gateway {
    /// Changes of the list of backends; a whole list also tells what is gone.
    pub fn update_backends(&mut self, whole: bool, lines: &[BackendEntry]) {
        self.backends.values_mut().filter(|_| whole).for_each(|b| b.entry.status = BackendStatus::Removed);
        for line in lines {
            let known = self.backends.entry(line.id.clone()).or_default();
            if known.entry.started != line.started {
                // It has started, warming up: old praise and blame are void, and not all gateways begin at once.
                let (credit, as_of) = (self.rng.rand_float(), line.started.unwrap_or_default());
                *known = Backend { credit, updated_at: as_of, ..Backend::default() };
            }
            known.entry = line.clone();
        }
        self.backends.retain(|_, b| b.entry.status != BackendStatus::Removed || !b.in_flight.is_empty());
    }

    /// Draws one backend, odds in step with the room that each is thought to have.
    pub(crate) fn select_backend(&mut self, now: Timestamp, id: &str) -> Option<String> {
        let slow_start = self.config.slow_start;
        let request = &self.requests[id];
        let (usual, overdue) =
            (self.latencies[request.workload].mean, self.latencies[request.workload].overdue(OVERDUE));
        let idempotency = self.config.workloads[request.workload].idempotency;
        let fits =
            |b: &BackendEntry| request.first_backend.as_ref().is_none_or(|ran| idempotency.dedups(ran, b));
        let (mut speed, mut capacity, mut out) = (0.0, 0.0, 0.0);
        for backend in self.backends.values().filter(|backend| backend.is_live()) {
            let warmth = slow_start.capacity(backend.entry.started, now);
            speed += backend.entry.weight / backend.slowdown.exp2() * warmth;
            capacity += backend.entry.weight * warmth;
            out += 1.0 + backend.in_flight.len() as f64; // room for one more each, by its share
        }
        let taken = self.slow_start_done.at(now, slow_start.window) / capacity;
        let (mut odds, mut sum) = (Vec::new(), 0.0);
        for (id, backend) in self.backends.iter_mut().filter(|(_, b)| b.is_live() && fits(&b.entry)) {
            let warmth = slow_start.capacity(backend.entry.started, now);
            if warmth < 1.0 {
                // A warming-up backend falls over if all gateways together send too much: this one sends in step
                // with what warm ones of like size settle for it, or its part of what one core can do.
                let core = slow_start.window.ratio_to(usual) / f64::from(self.config.gateways);
                let budget =
                    BUDGET_PART * slow_start.multiple * warmth * core.max(backend.entry.weight * taken);
                let past = (now - backend.updated_at).ratio_to(slow_start.window).min(1.0);
                backend.credit = (backend.credit + budget * past).min(budget.max(1.0));
                backend.updated_at = now;
                if backend.credit < 1.0 {
                    continue;
                }
            }
            let share = backend.entry.weight / backend.slowdown.exp2() * warmth / speed;
            let room = (out * share - backend.in_flight.len() as f64).max(share);
            let bell: f64 = (0..3).map(|_| 2.0 * self.rng.rand_float() - 1.0).sum();
            sum += room * backend.success_estimate(now, overdue, bell);
            odds.push((id, sum));
        }
        let drawn = self.rng.rand_float() * sum;
        odds.into_iter().find(|(_, up_to)| drawn <= *up_to).map(|(id, _)| id.clone())
    }

    pub(crate) fn observe(&mut self, now: Timestamp, end: &AttemptEnd) {
        let Some(request) = self.requests.get(end.request_id) else { return };
        let (slow_start, went_well) = (self.config.slow_start, end.outcome == AttemptOutcome::Completed);
        let pace = &mut self.latencies[request.workload];
        let usual = pace.mean.max(Duration::from_micros(1));
        if end.outcome == AttemptOutcome::TimedOut {
            // Lost answers are no sign of long ones: they move the usual time slowly.
            pace.observe(end.elapsed.min(pace.overdue(OVERDUE) / 2), NEWEST);
        }
        if went_well {
            pace.observe(end.elapsed, NEWEST);
            self.completions.add(now, PERIOD, 1.0);
            self.slow_start_done.add(now, slow_start.window, 1.0);
        }
        let Some(backend) = self.backends.get_mut(end.backend) else { return };
        backend.in_flight.remove(end.request_id);
        let (by, against) = if went_well {
            (&mut backend.successes, &mut backend.failures)
        } else {
            (&mut backend.failures, &mut backend.successes)
        };
        if !matches!(end.outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            by.add(now, OUTCOME_MEMORY, 1.0);
            against.scale(0.5);
        }
        if went_well && slow_start.capacity(backend.entry.started, now) >= 1.0 {
            let ratio = end.elapsed.ratio_to(usual).log2().clamp(-1.0, 6.0);
            backend.slowdown += (ratio - backend.slowdown) / backend.successes.last().clamp(1.0, 8.0);
        }
        if backend.entry.status == BackendStatus::Removed && backend.in_flight.is_empty() {
            self.backends.remove(end.backend); // the list may bring no news for long
        }
    }
}

impl Backend {
    pub fn is_live(&self) -> bool {
        self.entry.status == BackendStatus::Live
    }

    /// Its chance of success, so many deviations from the posterior's mean; overdue attempts weigh like failures.
    pub fn success_estimate(&mut self, now: Timestamp, overdue: Duration, deviations: f64) -> f64 {
        let late = self.in_flight.values().filter(|sent| now - **sent > overdue).count() as f64;
        let good = 1.0 + self.successes.at(now, OUTCOME_MEMORY) * (-late).exp2();
        let all = good + self.failures.at(now, OUTCOME_MEMORY) + late;
        let mean = good / all;
        (mean + deviations * (mean * (1.0 - mean) / (all + 1.0)).sqrt()).clamp(0.001, 1.0)
    }
}
