//! A count that fades with time.

use crate::clock::{Moment, Span};

/// Stands for what was added within about the last `memory`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    count: f64,
    at: Moment,
}

impl Tally {
    pub fn at(&mut self, now: Moment, memory: Span) -> f64 {
        self.count *= (-(now - self.at).over(memory)).exp();
        self.at = now;
        self.count
    }

    pub fn add(&mut self, now: Moment, memory: Span, amount: f64) {
        self.count = self.at(now, memory) + amount;
    }

    /// What it came to when it was last looked at.
    pub fn last(&self) -> f64 {
        self.count
    }

    pub fn scale(&mut self, factor: f64) {
        self.count *= factor;
    }
}
