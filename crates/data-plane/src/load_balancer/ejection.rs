//! Ejection of failing backends: they get no attempts for a time that doubles with each consecutive failure.

use super::AttemptOutcome;
use kitepass_time::{Duration, Timestamp};

/// Ejection time after the first failure.
const BASE_EJECTION_TIME: Duration = Duration::from_micros(400_000);
/// Maximum ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_micros(6_400_000);
/// Ejection time of a backend that rejected a request.
const REJECTION_EJECTION_TIME: Duration = Duration::from_micros(80_000);
/// Ejection time of a backend that announced that it closes its connections.
const CLOSING_EJECTION_TIME: Duration = Duration::from_micros(200_000);
/// Factor on the ejection time of an unreachable backend.
const UNREACHABLE_FACTOR: i64 = 3;
/// How often the ejection time doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// Cost of an ejected backend, in seconds, which exceeds that of any other backend.
const EJECTED_COST: f64 = 1e6;
/// Additional cost for each remaining second of an ejection.
const COST_PER_REMAINING_SECOND: f64 = 1e3;

/// The ejection state of a backend.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    until: Timestamp,
    consecutive_failures: u32,
}

impl Ejection {
    /// Returns whether the backend is ejected.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        self.until > now
    }

    /// Returns what the ejection adds to the backend's cost: the sooner it ends, the less.
    pub(super) fn cost(&self, now: Timestamp) -> f64 {
        if self.is_active(now) {
            EJECTED_COST + (self.until - now).as_secs() * COST_PER_REMAINING_SECOND
        } else {
            0.0
        }
    }

    /// Records the outcome of an attempt.
    pub(super) fn attempt_ended(&mut self, now: Timestamp, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Completed => *self = Ejection::default(),
            AttemptOutcome::Rejected => self.extend_until(now + REJECTION_EJECTION_TIME),
            AttemptOutcome::Misdirected => self.until = now + MAX_EJECTION_TIME,
            AttemptOutcome::Unreachable => self.eject(now, BASE_EJECTION_TIME * UNREACHABLE_FACTOR),
            AttemptOutcome::Broken => self.eject(now, BASE_EJECTION_TIME),
            AttemptOutcome::Failed | AttemptOutcome::Abandoned => {}
        }
    }

    /// Records that the backend announced that it closes its connections.
    pub(super) fn record_connection_close(&mut self, now: Timestamp) {
        self.extend_until(now + CLOSING_EJECTION_TIME);
    }

    fn extend_until(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    fn eject(&mut self, now: Timestamp, base: Duration) {
        let time = base * (1 << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
        self.until = now + time.min(MAX_EJECTION_TIME);
    }
}
