//! Load shedding: how far demand exceeds the backends' throughput and free capacity, and which requests to reject.

use crate::dispatch::{Gateway, NEWEST_WEIGHT, OVERDUE_DEVIATIONS, PERIOD};
use crate::interface::Host;
use crate::quota::excess;
use kitepass_time::Timestamp;

const QUEUE_FACTOR: f64 = 0.8; // extra attempts allowed in flight, in units of the completions per idle latency
const MAX_CONCURRENT: f64 = 3.0; // attempts in flight per backend, over all gateways, that are always allowed

impl Gateway {
    /// Sends a request unless it exceeds its quota or is shed at random with the overload ratio.
    pub(crate) fn admit(&mut self, now: Timestamp, id: &str, exceeds_quota: bool, host: &mut impl Host) {
        let workload = self.requests[id].workload;
        // In an overload, requests with a higher value per second of latency are less likely to be shed.
        let (value, time) = (self.config.workloads[workload].value, self.latencies[workload].mean.as_secs());
        let value_rate = value / time.max(f64::EPSILON);
        self.mean_value_rate += (value_rate - self.mean_value_rate) * NEWEST_WEIGHT;
        let overload = self.overload_ratio(now, workload).powf(value_rate / self.mean_value_rate);
        self.demand.add(now, PERIOD, f64::from(!exceeds_quota));
        if exceeds_quota || self.rng.rand_float() < overload {
            return self.reject_or_fail(id, host);
        }
        self.next_attempt(now, id, host);
    }

    /// The article's drop ratio for all backends, per idle latency: attempts wanted vs. completions and free capacity.
    pub(crate) fn overload_ratio(&mut self, now: Timestamp, workload: usize) -> f64 {
        let idle_time = self.latencies.iter().map(|l| l.idle_mean).max().unwrap_or(PERIOD).ratio_to(PERIOD);
        let overdue = self.latencies[workload].overdue_after(OVERDUE_DEVIATIONS);
        let (mut live_backends, mut load) = (0.0, 0.0);
        for backend in self.backends.values_mut() {
            // Attempts on an unresponsive backend don't load the others: its success estimate weights them.
            let score = backend.success_estimate(now, overdue, 0.0);
            load += score * backend.in_flight.values().filter(|sent| now - **sent <= overdue).count() as f64;
            live_backends += if backend.is_live() { score } else { 0.0 };
        }
        let (wanted, completed) = (self.demand.at(now, PERIOD), self.completions.at(now, PERIOD));
        let room = (MAX_CONCURRENT * live_backends / f64::from(self.config.gateways)).max(1.0)
            + QUEUE_FACTOR * idle_time * completed;
        self.mean_in_flight += (load - self.mean_in_flight) * NEWEST_WEIGHT;
        excess(idle_time * wanted, idle_time * completed + room - self.mean_in_flight)
    }
}
