//! When the event loop does what it does at intervals.

use crate::quota::PERIOD;
use kitepass_time::{Duration, Timestamp};

/// How often the loop ticks.
const TICK_INTERVAL: Duration = Duration::from_micros(100_000);
/// How often the settings file is looked at.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_micros(1_000_000);

/// When the loop last did what it does at intervals.
pub(super) struct Schedule {
    last_tick: Timestamp,
    period_began: Timestamp,
    settings_checked: Timestamp,
}

impl Schedule {
    /// The first tick is due at once.
    pub(super) fn new(now: Timestamp) -> Schedule {
        Schedule { last_tick: Timestamp::default(), period_began: now, settings_checked: now }
    }

    /// The time that is left until the next tick.
    pub(super) fn until_tick(&self, now: Timestamp) -> Duration {
        (TICK_INTERVAL - (now - self.last_tick)).max(Duration::ZERO)
    }

    /// Whether the next tick is due; it counts as done then.
    pub(super) fn is_tick_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.last_tick >= TICK_INTERVAL;
        if is_due {
            self.last_tick = now;
        }
        is_due
    }

    /// Whether a period is over; a loop that was held up for long begins a new one.
    pub(super) fn is_period_over(&mut self, now: Timestamp) -> bool {
        let elapsed = now - self.period_began;
        if elapsed < PERIOD {
            return false;
        }
        self.period_began = if elapsed > PERIOD * 2 { now } else { self.period_began + PERIOD };
        true
    }

    /// Whether the settings file is to be looked at.
    pub(super) fn is_settings_check_due(&self, now: Timestamp) -> bool {
        now - self.settings_checked >= SETTINGS_CHECK_INTERVAL
    }

    /// The settings file has been looked at.
    pub(super) fn settings_checked(&mut self, now: Timestamp) {
        self.settings_checked = now;
    }
}
