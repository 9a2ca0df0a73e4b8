//! Counts that fade with time, sums that others add to, and running means. What is drawn from them is decided
//! elsewhere.

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

/// A sum on the counter to which several hosts add, as one of them knows it. It goes by a new name from one window
/// to the next, and begins at nothing under each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    window: Option<i64>,
    added: f64,
    /// What is to go with the next call; below zero, what was added and is to be taken off.
    pub owed: f64,
    /// What the others had added under this name at the last reading, once there was one.
    pub others: Option<f64>,
    /// Calls in a row that brought no total.
    silent: i64,
}

impl Account {
    /// Whether there is a reading, and fewer calls in a row than that have brought none since.
    pub fn is_read(&self, silent: i64) -> bool {
        self.others.is_some() && self.silent < silent
    }

    /// A call that added `amount` has ended; without a total, the amount may have been added or never was. Returns
    /// what the others have added since the last reading.
    pub fn ended(&mut self, window: i64, amount: f64, total: Option<f64>, never: bool) -> f64 {
        if self.window < Some(window) {
            (self.window, self.added, self.others) = (Some(window), 0.0, self.others.map(|_| 0.0));
        }
        *(if never { &mut self.owed } else { &mut self.added }) += amount;
        let Some(total) = total.filter(|_| self.window == Some(window)) else {
            self.silent += 1;
            return 0.0;
        };
        let others = (total - self.added).max(0.0);
        let since = self.others.map_or(0.0, |last| others - last);
        (self.others, self.silent) = (Some(others), 0);
        since
    }
}

/// How long things of one kind take: running means.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub mean: Span,
    pub deviation: Span,
    /// The least that the mean has been, rising slowly.
    pub idle: Span,
}

impl Pace {
    pub fn expecting(mean: Span) -> Pace {
        Pace { mean, deviation: mean / 4, idle: mean }
    }

    /// Moves the means towards one more time by `weight`.
    pub fn learn(&mut self, took: Span, weight: f64) {
        let off = took - self.mean;
        self.mean = self.mean + off.times(weight);
        self.idle = self.mean.min(self.idle + (self.mean - self.idle).times(weight * weight * weight));
        self.deviation = self.deviation + (off.max(Span::ZERO - off) - self.deviation).times(weight);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_others_add_to_an_account_is_what_is_not_from_here() {
        let mut account = Account::default();
        assert_eq!(account.ended(-1, 4.0, Some(4.0), false), 0.0, "the first reading tells of no change");
        assert_eq!(account.ended(-1, 2.0, Some(9.0), false), 3.0);
        // One that may have been added and one that never was: only the former is in the next total.
        assert_eq!(account.ended(-1, 1.0, None, false), 0.0);
        assert_eq!((account.ended(-1, 5.0, None, true), account.owed, account.silent), (0.0, 5.0, 2));
        assert_eq!(account.ended(-1, 5.0, Some(17.0), false), 2.0);
        // Added for a command that did not go, and taken off again.
        assert_eq!(account.ended(-1, -4.0, Some(13.0), false), 0.0);
        // Under the next name all begins at nothing, and a late answer under the last one tells nothing.
        assert_eq!(account.ended(0, 2.0, Some(5.0), false), 3.0);
        assert_eq!((account.ended(-1, 1.0, Some(99.0), false), account.others), (0.0, Some(3.0)));
        // A counter that has lost its sums takes nothing off what others sent on.
        assert_eq!((account.ended(0, 1.0, Some(1.0), false), account.others), (-3.0, Some(0.0)));
    }
}
