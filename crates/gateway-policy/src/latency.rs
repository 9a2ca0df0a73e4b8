//! Moving averages of the attempt latency per workload.

use kitepass_time::Duration;

/// Exponential moving averages of the latency of one workload's attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    /// The workload's latency target.
    pub(crate) target: Duration,
    /// Moving average of the latency.
    pub(crate) mean: Duration,
    /// Moving average of the absolute deviation from the mean.
    pub(crate) mean_deviation: Duration,
    /// Estimated latency without load: the minimum of the mean, rising slowly towards the current mean.
    pub(crate) idle_mean: Duration,
}

impl Latency {
    /// The initial state, before any measurement: assumes a quarter of the latency target.
    pub(crate) fn initial(target: Duration) -> Latency {
        let mean = target / 4;
        Latency { target, mean, mean_deviation: mean / 4, idle_mean: mean }
    }

    /// Adds one latency sample with a weight from 0 to 1 in the moving averages.
    pub(crate) fn observe(&mut self, elapsed: Duration, weight: f64) {
        let difference = elapsed - self.mean;
        self.mean = self.mean + difference.mul_f64(weight);
        self.idle_mean =
            self.mean.min(self.idle_mean + (self.mean - self.idle_mean).mul_f64(weight * weight * weight));
        self.mean_deviation = self.mean_deviation
            + (difference.max(Duration::ZERO - difference) - self.mean_deviation).mul_f64(weight);
    }

    /// The latency above which an attempt is overdue: the mean plus `deviations` mean deviations, at most the latency
    /// target.
    pub(crate) fn overdue_after(&self, deviations: f64) -> Duration {
        (self.mean + self.mean_deviation.mul_f64(deviations)).min(self.target)
    }
}
