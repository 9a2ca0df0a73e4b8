//! What a kind of work usually takes, as running means.

use kitepass_time::Duration;

/// What a kind of work usually takes, as running means.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub contract: Duration,
    pub mean: Duration,
    pub deviation: Duration,
    /// The least that the mean has been, rising slowly.
    pub idle: Duration,
}

impl Pace {
    pub fn expecting(mean: Duration, contract: Duration) -> Pace {
        Pace { contract, mean, deviation: mean / 4, idle: mean }
    }

    /// Takes one time in, by the weight of the newest.
    pub fn learn(&mut self, took: Duration, newest: f64) {
        let off = took - self.mean;
        self.mean = self.mean + off.times(newest);
        self.idle = self.mean.min(self.idle + (self.mean - self.idle).times(newest * newest * newest));
        self.deviation = self.deviation + (off.max(Duration::ZERO - off) - self.deviation).times(newest);
    }

    /// A time that is past the mean by so many deviations, and no later than the contract.
    pub fn past(&self, deviations: f64) -> Duration {
        (self.mean + self.deviation.times(deviations)).min(self.contract)
    }
}
