//! The clock that a process' timers and periods follow.

use kitepass_time::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The wall clock at the start, advanced by the monotonic clock from there on. Processes so number periods alike,
/// and a wall clock that is set while they run moves no timer.
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
    /// A clock that is set to the wall clock as it is now.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_micros_at_start = since_epoch.map_or(0, |duration| duration.as_micros() as i64);
        Clock { started: Instant::now(), wall_micros_at_start }
    }

    /// The time, in steps of a microsecond; it never goes back.
    pub fn now(&self) -> Timestamp {
        let elapsed_micros = self.started.elapsed().as_micros() as i64;
        Timestamp::from_micros(self.wall_micros_at_start + elapsed_micros)
    }
}
