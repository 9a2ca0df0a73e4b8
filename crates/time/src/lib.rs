//! A point in time and a span of time, in whole microseconds; the two cannot be mixed up.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::ops::{Add, Div, Mul, Sub};

/// A point on the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(i64);

/// The time between two points; below zero if the second came first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(i64);

impl Timestamp {
    pub const fn from_micros(micros: i64) -> Self {
        Timestamp(micros)
    }
    pub const fn micros(self) -> i64 {
        self.0
    }
}

impl Duration {
    pub const ZERO: Duration = Duration(0);
    pub const fn from_micros(micros: i64) -> Self {
        Duration(micros)
    }
    pub const fn from_secs(secs: i64) -> Self {
        Duration(secs * 1_000_000)
    }
    pub const fn micros(self) -> i64 {
        self.0
    }
    /// This span as a multiple of another; of an empty one, the greatest there is.
    pub fn over(self, other: Duration) -> f64 {
        if other.0 == 0 {
            return f64::MAX;
        }
        self.0 as f64 / other.0 as f64
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub fn times(self, factor: f64) -> Duration {
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
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}
impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
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
impl Div<i64> for Duration {
    type Output = Duration;
    fn div(self, parts: i64) -> Duration {
        Duration(self.0 / parts.max(1))
    }
}

impl Timestamp {
    /// The number of the span that runs of those that follow on one another, and how much of it is past.
    pub fn among(self, spans: Duration) -> (i64, Duration) {
        let each = spans.0.max(1);
        (self.0.div_euclid(each), Duration(self.0.rem_euclid(each)))
    }
}
