//! The clock that a process uses for timers and periodic work.

use kitepass_time::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts at the current wall-clock time and then advances with the monotonic clock. Processes therefore
/// agree on the numbering of periods, and changing the system's wall clock does not move any timer.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    wall_micros_at_start: i64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock set to the current wall-clock time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_micros_at_start = since_epoch.map_or(0, |duration| duration.as_micros() as i64);
        Clock { started: Instant::now(), wall_micros_at_start }
    }

    /// The current time in microseconds. Never goes backwards.
    pub fn now(&self) -> Timestamp {
        let elapsed_micros = self.started.elapsed().as_micros() as i64;
        Timestamp::from_micros(self.wall_micros_at_start + elapsed_micros)
    }
}
