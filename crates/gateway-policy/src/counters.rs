//! An exponentially decaying count, and one gateway's view of a tenant's shared sums on the counter service.

use crate::interface::Usage;
use kitepass_time::{Duration, Timestamp};

/// A count that decays exponentially; approximately the amount added within the last `time_constant`. Every call for
/// the same count must pass the same time constant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    count: f64,
    updated_at: Timestamp,
}

impl DecayingCount {
    /// Decays the count to `now` and returns it.
    pub(crate) fn at(&mut self, now: Timestamp, time_constant: Duration) -> f64 {
        self.count *= (-(now - self.updated_at).ratio_to(time_constant)).exp();
        self.updated_at = now;
        self.count
    }

    /// Decays the count to `now` and adds an amount.
    pub(crate) fn add(&mut self, now: Timestamp, time_constant: Duration, amount: f64) {
        self.count = self.at(now, time_constant) + amount;
    }

    /// The count as of the last call to `at` or `add`, without any decay since then.
    pub(crate) fn value(&self) -> f64 {
        self.count
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        self.count *= factor;
    }
}

/// A tenant's sum on the counter service for one time span; all gateways add to it.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// Number of the time span that the sum covers, the same at all gateways.
    number: i64,
    /// Usage that this gateway has added so far.
    own: Usage,
    /// Usage that the other gateways had added as of the last reading.
    others: Usage,
}

/// A tenant's two most recent sums: the current one and the previous one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums([Sum; 2]);

impl Sums {
    /// Returns the sum with this number if it is still kept.
    fn get_mut(&mut self, number: i64) -> Option<&mut Sum> {
        self.0.iter_mut().find(|sum| sum.number == number)
    }

    /// Starts the sum with this number, replacing the older one. Returns false if it was already started.
    pub(crate) fn begin(&mut self, number: i64) -> bool {
        let is_new = self.get_mut(number).is_none();
        if is_new {
            self.0[number.rem_euclid(2) as usize] = Sum { number, ..Sum::default() };
        }
        is_new
    }

    pub(crate) fn contains(&mut self, number: i64) -> bool {
        self.get_mut(number).is_some()
    }

    /// Records usage that this gateway has added to a sum; ignored for a sum that is no longer kept.
    pub(crate) fn add(&mut self, number: i64, usage: Usage) {
        if let Some(sum) = self.get_mut(number) {
            sum.own.add(usage);
        }
    }

    /// Records a sum's total, and returns the growth of the other gateways' usage since the last reading. Its `offered`
    /// is negative if the counter service has lost data. `None` for a sum that is no longer kept.
    pub(crate) fn record_total(&mut self, number: i64, total: Usage) -> Option<Usage> {
        let sum = self.get_mut(number)?;
        let others = Usage {
            offered: total.offered - sum.own.offered,
            forwarded: total.forwarded - sum.own.forwarded,
        };
        let previous = std::mem::replace(&mut sum.others, others);
        Some(Usage {
            offered: others.offered - previous.offered,
            forwarded: others.forwarded - previous.forwarded,
        })
    }
}

/// FNV-1a hash of a tenant's id. All gateways use it to identify the tenant in messages and to determine its
/// controller.
pub(crate) fn fnv1a(id: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
