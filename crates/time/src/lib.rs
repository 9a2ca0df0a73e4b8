//! Points in time and durations, as the load balancer's decisions use them.
//!
//! [`Timestamp`] and [`Duration`] are both signed 64-bit counts of microseconds, and two types so that they cannot be
//! mixed up: their difference or sum has a meaning only as the operators here define it. They differ from those of
//! `std::time` on purpose:
//!
//! * A decision is given the time as a value and never reads a clock, so that it can be tested and simulated. A
//!   [`Timestamp`] counts from an origin that the host chooses, and is comparable only with those of the same clock.
//! * A duration can be negative: "until the deadline" of a request that is late.
//! * Operators saturate at the greatest and the smallest value (some 292,000 years) instead of panicking: a duration that
//!   was read off a setting or off the wire cannot crash a process.

use std::ops::{Add, Div, Mul, Sub};

const MICROS_PER_SEC: i64 = 1_000_000;

/// A point in time on the host's clock. Microseconds since the clock's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(i64);

/// The time between two points. Microseconds; negative where the second point is the earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(i64);

impl Timestamp {
    /// The point this many microseconds after the clock's origin.
    pub const fn from_micros(micros: i64) -> Self {
        Timestamp(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Where the point lies in a sequence of equal periods, the first of which begins at the clock's origin: the number
    /// of its period, and how much of that has passed. A period below a microsecond counts as one.
    pub fn period_and_offset(self, period: Duration) -> (i64, Duration) {
        let period_micros = period.0.max(1);
        (self.0.div_euclid(period_micros), Duration(self.0.rem_euclid(period_micros)))
    }
}

impl Duration {
    /// No time at all.
    pub const ZERO: Duration = Duration(0);

    /// A duration of this many microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Duration(micros)
    }

    /// A duration of this many seconds. Unlike the operators this does not saturate: it is for constants and for
    /// settings that are checked before.
    pub const fn from_secs(secs: i64) -> Self {
        Duration(secs * MICROS_PER_SEC)
    }

    /// The whole duration in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The whole duration in seconds, with fractions.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC as f64
    }

    /// This duration as a multiple of another; `f64::MAX` if the other is zero.
    pub fn ratio_to(self, other: Duration) -> f64 {
        if other.0 == 0 {
            return f64::MAX;
        }
        self.0 as f64 / other.0 as f64
    }

    /// This duration multiplied by a factor, rounded towards zero. Saturates; zero if the factor is not a number.
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

/// A divisor below 1 counts as 1. Rounds towards zero.
impl Div<i64> for Duration {
    type Output = Duration;

    fn div(self, divisor: i64) -> Duration {
        Duration(self.0 / divisor.max(1))
    }
}
