//! Running means of the latency of a workload's attempts.

use kitepass_time::Duration;

/// Running means of the latency of one workload's attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    /// The workload's latency target.
    pub(crate) target: Duration,
    /// Running mean of the latency.
    pub(crate) mean: Duration,
    /// Running mean of the absolute difference from the mean.
    pub(crate) deviation: Duration,
    /// Latency of an idle backend: the lowest value of the mean, which rises slowly towards the present one.
    pub(crate) idle_mean: Duration,
}

impl Latency {
    /// The state before anything is measured: a quarter of the latency target is expected.
    pub(crate) fn expected(target: Duration) -> Latency {
        let mean = target / 4;
        Latency { target, mean, deviation: mean / 4, idle_mean: mean }
    }

    /// Takes one measured latency in; `newest` is its weight in the running means, from 0 to 1.
    pub(crate) fn observe(&mut self, elapsed: Duration, newest: f64) {
        let difference = elapsed - self.mean;
        self.mean = self.mean + difference.mul_f64(newest);
        self.idle_mean =
            self.mean.min(self.idle_mean + (self.mean - self.idle_mean).mul_f64(newest * newest * newest));
        self.deviation =
            self.deviation + (difference.max(Duration::ZERO - difference) - self.deviation).mul_f64(newest);
    }

    /// The latency past which an attempt is overdue: so many deviations above the mean, at most the latency target.
    pub(crate) fn overdue(&self, deviations: f64) -> Duration {
        (self.mean + self.deviation.mul_f64(deviations)).min(self.target)
    }
}
