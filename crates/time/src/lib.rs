//! Points in time and durations for the load balancer's decisions.
//!
//! [`Timestamp`] and [`Duration`] are signed 64-bit counts of microseconds. They are separate types so that they cannot
//! be confused: only the sums and differences defined here are meaningful. They differ from the types of `std::time`:
//!
//! * Decisions get the time as a parameter and never read a clock, so that they can be tested and simulated. A
//!   [`Timestamp`] counts from an origin that the host chooses, and can be compared only with timestamps of the same
//!   clock.
//! * A duration can be negative, for example the time until the deadline of a request that is late.
//! * Operators saturate at the largest and smallest values (about 292,000 years) instead of panicking, so that a
//!   duration from a setting or a message cannot crash a process.

use std::ops::{Add, Div, Mul, Sub};

const MICROS_PER_SEC: i64 = 1_000_000;

/// A point in time: microseconds since the origin of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(i64);

/// The time between two points in microseconds; negative if the second point is earlier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(i64);

impl Timestamp {
    /// The timestamp this many microseconds after the clock's origin.
    pub const fn from_micros(micros: i64) -> Self {
        Timestamp(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Locates the timestamp in a sequence of equal periods, the first of which starts at the clock's origin. Returns
    /// the number of the period and the time since its start. A period below one microsecond counts as one microsecond.
    pub fn period_and_offset(self, period: Duration) -> (i64, Duration) {
        let period_micros = period.0.max(1);
        (self.0.div_euclid(period_micros), Duration(self.0.rem_euclid(period_micros)))
    }
}

impl From<std::time::Duration> for Duration {
    fn from(duration: std::time::Duration) -> Self {
        Duration(duration.as_micros() as i64)
    }
}

impl Duration {
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);

    /// A duration of this many microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Duration(micros)
    }

    /// A duration of this many seconds. Unlike the operators this does not saturate: it is meant for constants and
    /// validated settings.
    pub const fn from_secs(secs: i64) -> Self {
        Duration(secs * MICROS_PER_SEC)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The duration in seconds, with a fractional part.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC as f64
    }

    /// The ratio of this duration to another; `f64::MAX` if the other is zero.
    pub fn ratio_to(self, other: Duration) -> f64 {
        if other.0 == 0 {
            return f64::MAX;
        }
        self.0 as f64 / other.0 as f64
    }

    /// Multiplies the duration by a factor and rounds towards zero. Saturates; zero if the factor is NaN.
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as i64)
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Add for Duration {
    type Output = Duration;

    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl Sub for Duration {
    type Output = Duration;

    fn sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Mul<i64> for Duration {
    type Output = Duration;

    fn mul(self, factor: i64) -> Duration {
        Duration(self.0.saturating_mul(factor))
    }
}

/// Rounds towards zero. A divisor below 1 counts as 1.
impl Div<i64> for Duration {
    type Output = Duration;

    fn div(self, divisor: i64) -> Duration {
        Duration(self.0 / divisor.max(1))
    }
}
