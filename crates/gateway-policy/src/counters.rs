//! Counts: one that fades with time, and those that run on over all gateways.

use crate::interface::Units;
use kitepass_time::{Duration, Timestamp};

/// Stands for what was added within about the last `memory`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    count: f64,
    at: Timestamp,
}

impl DecayingCount {
    pub fn at(&mut self, now: Timestamp, memory: Duration) -> f64 {
        self.count *= (-(now - self.at).ratio_to(memory)).exp();
        self.at = now;
        self.count
    }

    pub fn add(&mut self, now: Timestamp, memory: Duration, amount: f64) {
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

/// One tenant's sum on the counter, over all gateways.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    number: i64,
    /// What this gateway has added to it,
    mine: Units,
    /// and what the others had by the last reading.
    seen: Units,
}

/// The last two sums of a tenant, by their numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sums([Sum; 2]);

impl Sums {
    fn at(&mut self, number: i64) -> Option<&mut Sum> {
        self.0.iter_mut().find(|sum| sum.number == number)
    }

    /// Begins a sum in place of the older one, unless it is known; whether it did.
    pub fn begin(&mut self, number: i64) -> bool {
        let new = self.at(number).is_none();
        if new {
            self.0[number.rem_euclid(2) as usize] = Sum { number, ..Sum::default() };
        }
        new
    }

    pub fn contains(&mut self, number: i64) -> bool {
        self.at(number).is_some()
    }

    /// This gateway has added to a sum.
    pub fn add(&mut self, number: i64, units: Units) {
        if let Some(sum) = self.at(number) {
            sum.mine.add(units);
        }
    }

    /// By how much what the others added to a sum has grown since its last reading; less than nothing was
    /// offered if the counter has lost its counts.
    pub fn take_growth(&mut self, number: i64, all: Units) -> Option<Units> {
        let sum = self.at(number)?;
        let others =
            Units { offered: all.offered - sum.mine.offered, forwarded: all.forwarded - sum.mine.forwarded };
        let seen = std::mem::replace(&mut sum.seen, others);
        Some(Units { offered: others.offered - seen.offered, forwarded: others.forwarded - seen.forwarded })
    }
}

/// Tells ids apart, alike at all gateways.
pub fn hash(id: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
