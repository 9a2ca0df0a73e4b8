//! An exponentially decaying count, and the sums on the counter service as one gateway knows them.

use crate::interface::Units;
use kitepass_time::{Duration, Timestamp};

/// A count that decays exponentially: roughly what was added within the last `memory`, the time constant that the
/// caller passes (always the same one for one count).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    count: f64,
    at: Timestamp,
}

impl DecayingCount {
    /// Decays the count to `now` and returns it.
    pub(crate) fn at(&mut self, now: Timestamp, memory: Duration) -> f64 {
        self.count *= (-(now - self.at).ratio_to(memory)).exp();
        self.at = now;
        self.count
    }

    /// Decays the count to `now` and adds an amount.
    pub(crate) fn add(&mut self, now: Timestamp, memory: Duration, amount: f64) {
        self.count = self.at(now, memory) + amount;
    }

    /// The count as of the last call of `at` or `add`, without decay since.
    pub(crate) fn last(&self) -> f64 {
        self.count
    }

    /// Multiplies the count by a factor.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.count *= factor;
    }
}

/// One sum of a tenant on the counter service, to which all gateways add.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// Number of the span of periods that the sum covers, the same at all gateways.
    number: i64,
    /// Units that this gateway has added.
    own: Units,
    /// Units that the other gateways had added by the last reading.
    others: Units,
}

/// The two newest sums of a tenant: the running one and its predecessor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums([Sum; 2]);

impl Sums {
    /// The sum with this number, if it is one of the two.
    fn at(&mut self, number: i64) -> Option<&mut Sum> {
        self.0.iter_mut().find(|sum| sum.number == number)
    }

    /// Begins the sum with this number in place of the older one, and returns true; false if it had begun already.
    pub(crate) fn begin(&mut self, number: i64) -> bool {
        let is_new = self.at(number).is_none();
        if is_new {
            self.0[number.rem_euclid(2) as usize] = Sum { number, ..Sum::default() };
        }
        is_new
    }

    /// Whether the sum with this number is one of the two.
    pub(crate) fn contains(&mut self, number: i64) -> bool {
        self.at(number).is_some()
    }

    /// Notes units that this gateway has added to a sum; ignored for a sum that is no longer kept.
    pub(crate) fn add(&mut self, number: i64, units: Units) {
        if let Some(sum) = self.at(number) {
            sum.own.add(units);
        }
    }

    /// Takes in a sum's total `all` and returns how much the other gateways' units have grown since the last reading;
    /// `offered` is negative if the counter has lost its counts. None for a sum that is no longer kept.
    pub(crate) fn take_growth(&mut self, number: i64, all: Units) -> Option<Units> {
        let sum = self.at(number)?;
        let others =
            Units { offered: all.offered - sum.own.offered, forwarded: all.forwarded - sum.own.forwarded };
        let before = std::mem::replace(&mut sum.others, others);
        Some(Units {
            offered: others.offered - before.offered,
            forwarded: others.forwarded - before.forwarded,
        })
    }
}

/// FNV-1a hash of an id, the same at all gateways: peers name a tenant by it and derive its controller from it.
pub(crate) fn hash(id: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
