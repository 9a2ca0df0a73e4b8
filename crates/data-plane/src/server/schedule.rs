//! Timing of the periodic work of the event loop.

use crate::quota::PERIOD;
use kitepass_time::{Duration, Timestamp};

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_micros(100_000);
/// Interval between checks of the settings file.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_micros(1_000_000);

/// When each kind of periodic work was last started.
pub(super) struct Schedule {
    last_tick: Timestamp,
    period_started_at: Timestamp,
    last_settings_check: Timestamp,
}

impl Schedule {
    /// Creates a schedule whose first tick is due immediately.
    pub(super) fn new(now: Timestamp) -> Schedule {
        Schedule { last_tick: Timestamp::default(), period_started_at: now, last_settings_check: now }
    }

    /// The time until the next tick.
    pub(super) fn until_tick(&self, now: Timestamp) -> Duration {
        (TICK_INTERVAL - (now - self.last_tick)).max(Duration::ZERO)
    }

    /// Returns true if a tick is due, and records its start.
    pub(super) fn start_tick_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.last_tick >= TICK_INTERVAL;
        if is_due {
            self.last_tick = now;
        }
        is_due
    }

    /// Returns true if the current period is over, and starts the next one. If the loop has fallen behind by more than a
    /// period, the next period starts now.
    pub(super) fn start_period_if_due(&mut self, now: Timestamp) -> bool {
        let elapsed = now - self.period_started_at;
        if elapsed < PERIOD {
            return false;
        }
        self.period_started_at = if elapsed > PERIOD * 2 { now } else { self.period_started_at + PERIOD };
        true
    }

    /// Whether a check of the settings file is due.
    pub(super) fn is_settings_check_due(&self, now: Timestamp) -> bool {
        now - self.last_settings_check >= SETTINGS_CHECK_INTERVAL
    }

    /// Records a check of the settings file.
    pub(super) fn record_settings_check(&mut self, now: Timestamp) {
        self.last_settings_check = now;
    }
}
