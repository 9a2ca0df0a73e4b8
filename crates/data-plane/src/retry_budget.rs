//! The retry budget of each service: a fraction of this gateway's own requests, plus its share of a fixed margin.
//!
//! Only the margin is divided among the gateways, so the limit holds for the sum over all of them without
//! communication. This module does no I/O.

use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Number of slots into which a window is divided for counting.
const SLOTS_PER_WINDOW: i64 = 20;
/// The fraction of the allowed retries that is used, because windows slide and requests may get lost on the way.
const BUDGET_SAFETY_FACTOR: f64 = 0.8;

/// The limits for all gateways together: in every window, at most `ratio` retries per request, plus `margin` retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed in a window in addition to the ratio, for all gateways together.
    pub margin: f64,
}

/// The counts of one slot of a window.
struct Slot {
    /// The slot's number, counted from the clock's origin.
    number: i64,
    requests: u32,
    retries: u32,
}

/// The slots of a service's current window, oldest first.
#[derive(Default)]
struct ServiceWindow {
    slots: VecDeque<Slot>,
}

/// Counts the requests and retries of each service, and decides whether another retry is allowed.
pub struct RetryBudget {
    limits: RetryLimits,
    services: BTreeMap<Arc<str>, ServiceWindow>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget { limits, services: BTreeMap::new() }
    }

    /// Sets new limits; existing counts are kept.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Advances the service's window to the current slot and returns it.
    fn advance_window(&mut self, now: Timestamp, service: &Arc<str>) -> &mut ServiceWindow {
        let number = now.period_and_offset(self.limits.window / SLOTS_PER_WINDOW).0;
        let window = self.services.entry(service.clone()).or_default();
        while window.slots.front().is_some_and(|slot| slot.number <= number - SLOTS_PER_WINDOW) {
            window.slots.pop_front();
        }
        if window.slots.back().is_none_or(|slot| slot.number < number) {
            window.slots.push_back(Slot { number, requests: 0, retries: 0 });
        }
        window
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Timestamp, service: &Arc<str>) {
        self.advance_window(now, service).current_slot().requests += 1;
    }

    /// Returns whether this gateway, one of `gateways`, may make another retry, and counts it if so.
    pub fn try_acquire(&mut self, now: Timestamp, service: &Arc<str>, gateways: usize) -> bool {
        let RetryLimits { ratio, margin, .. } = self.limits;
        let window = self.advance_window(now, service);
        let (requests, retries) = window.totals();
        let is_allowed =
            retries + 1.0 <= BUDGET_SAFETY_FACTOR * (ratio * requests + margin / gateways.max(1) as f64);
        window.current_slot().retries += u32::from(is_allowed);
        is_allowed
    }
}

impl ServiceWindow {
    fn current_slot(&mut self) -> &mut Slot {
        self.slots.back_mut().expect("an advanced window has the current slot")
    }

    /// Returns the requests and retries in the window.
    fn totals(&self) -> (f64, f64) {
        self.slots.iter().fold((0.0, 0.0), |(requests, retries), slot| {
            (requests + f64::from(slot.requests), retries + f64::from(slot.retries))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_of_all_gateways_stay_within_the_limits_in_every_window() {
        let limits = RetryLimits { ratio: 0.2, window: Duration::from_secs(10), margin: 60.0 };
        let service: Arc<str> = "l".into();
        let mut gateways: Vec<RetryBudget> = (0..10).map(|_| RetryBudget::new(limits)).collect();
        let mut rng = oorandom::Rand64::new(7);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        // Nearly every request fails, and the load rises and falls.
        for millis in 0..60_000i64 {
            let now = Timestamp::from_micros(millis * 1000);
            let millis_per_request = if millis / 7_000 % 2 == 0 { 2 } else { 20 };
            if rng.rand_range(0..millis_per_request) == 0 {
                let gateway = &mut gateways[rng.rand_range(0..10) as usize];
                gateway.record_request(now, &service);
                requests.push(millis);
                if gateway.try_acquire(now, &service, 10) {
                    retries.push(millis);
                }
            }
        }
        assert!(retries.len() > 1000, "{}", retries.len());
        for end in (10_000..60_000).step_by(100) {
            let within =
                |all: &[i64]| all.iter().filter(|at| (end - 10_000..end).contains(*at)).count() as f64;
            assert!(within(&retries) <= 0.2 * within(&requests) + 60.0, "window ending at {end}");
        }
    }
}
