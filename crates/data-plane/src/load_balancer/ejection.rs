//! Ejection of backends that fail: they get no attempts for a time that doubles with each failure in a row.

use super::AttemptOutcome;
use kitepass_time::{Duration, Timestamp};

/// Ejection after a first failure.
const BASE_EJECTION_TIME: Duration = Duration::from_micros(400_000);
/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_micros(6_400_000);
/// Ejection of a backend that rejected a request.
const REJECTION_EJECTION_TIME: Duration = Duration::from_micros(80_000);
/// Ejection of a backend that says that it closes its connections.
const CLOSING_EJECTION_TIME: Duration = Duration::from_micros(200_000);
/// A backend that cannot be reached is ejected for so many times the usual time.
const UNREACHABLE_FACTOR: i64 = 3;
/// The ejection time doubles so often at most.
const MAX_DOUBLINGS: u32 = 4;
/// Cost of an ejected backend, in seconds, above that of any other one.
const EJECTED_COST: f64 = 1e6;
/// What each second that is left of an ejection adds to the cost.
const COST_PER_REMAINING_SECOND: f64 = 1e3;

/// Whether a backend is ejected, and how often it failed in a row.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    until: Timestamp,
    consecutive_failures: u32,
}

impl Ejection {
    /// Whether the backend is ejected.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        self.until > now
    }

    /// What the ejection adds to the backend's cost: the sooner it ends, the less.
    pub(super) fn cost(&self, now: Timestamp) -> f64 {
        if self.is_active(now) {
            EJECTED_COST + (self.until - now).as_secs() * COST_PER_REMAINING_SECOND
        } else {
            0.0
        }
    }

    /// Takes in how an attempt ended.
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

    /// The backend says that it closes its connections.
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
