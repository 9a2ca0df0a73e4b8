//! A point in time and a span of time, in whole microseconds; the two cannot be mixed up.

use std::ops::{Add, Div, Mul, Sub};

/// A point on the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i64);

/// The time between two points; below zero if the second came first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Moment {
    pub const fn from_micros(micros: i64) -> Self {
        Moment(micros)
    }
    pub const fn micros(self) -> i64 {
        self.0
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const fn from_micros(micros: i64) -> Self {
        Span(micros)
    }
    pub const fn from_secs(secs: i64) -> Self {
        Span(secs * 1_000_000)
    }
    pub const fn micros(self) -> i64 {
        self.0
    }
    /// This span as a multiple of another; of an empty one, the greatest there is.
    pub fn over(self, other: Span) -> f64 {
        if other.0 == 0 {
            return f64::MAX;
        }
        self.0 as f64 / other.0 as f64
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as i64)
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}
impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}
impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}
impl Mul<i64> for Span {
    type Output = Span;
    fn mul(self, factor: i64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}
impl Div<i64> for Span {
    type Output = Span;
    fn div(self, parts: i64) -> Span {
        Span(self.0 / parts.max(1))
    }
}

impl Moment {
    /// The number of the span that runs of those that follow on one another, and how much of it is past.
    pub fn among(self, spans: Span) -> (i64, Span) {
        let each = spans.0.max(1);
        (self.0.div_euclid(each), Span(self.0.rem_euclid(each)))
    }
}
