//! Running means of the latency of a workload.

use kitepass_time::Duration;

/// Running means of what a workload's attempts take.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    pub target: Duration,
    pub mean: Duration,
    pub deviation: Duration,
    /// The least that the mean has been, rising slowly.
    pub idle_mean: Duration,
}

impl Latency {
    /// Before anything is measured, a quarter of the latency target is expected.
    pub fn expected(target: Duration) -> Latency {
        let mean = target / 4;
        Latency { target, mean, deviation: mean / 4, idle_mean: mean }
    }

    /// Takes one time in, by the weight of the newest.
    pub fn observe(&mut self, took: Duration, newest: f64) {
        let off = took - self.mean;
        self.mean = self.mean + off.mul_f64(newest);
        self.idle_mean =
            self.mean.min(self.idle_mean + (self.mean - self.idle_mean).mul_f64(newest * newest * newest));
        self.deviation = self.deviation + (off.max(Duration::ZERO - off) - self.deviation).mul_f64(newest);
    }

    /// A time that is past the mean by so many deviations, and no later than the latency target.
    pub fn overdue(&self, deviations: f64) -> Duration {
        (self.mean + self.deviation.mul_f64(deviations)).min(self.target)
    }
}
