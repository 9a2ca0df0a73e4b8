//! Load shedding: how far demand exceeds what all backends complete and have room for, and whom that rejects.

use crate::dispatch::{Gateway, NEWEST_WEIGHT, OVERDUE_DEVIATIONS, PERIOD};
use crate::interface::Host;
use crate::quota::excess;
use kitepass_time::Timestamp;

const QUEUE: f64 = 0.8; // idle latencies worth of completions that may be in flight beside those below
const MAX_CONCURRENT: f64 = 3.0; // attempts a backend may have in flight from all gateways; more is an overload

impl Gateway {
    /// Sends a request unless it is beyond its quota or drawn against the overload ratio.
    pub(crate) fn admit(&mut self, now: Timestamp, id: &str, beyond: bool, host: &mut impl Host) {
        let workload = self.requests[id].workload;
        // In an overload the requests with the highest value per time go first.
        let (value, time) = (self.config.workloads[workload].value, self.latencies[workload].mean.as_secs());
        let weight = value / time.max(f64::EPSILON);
        self.mean_weight += (weight - self.mean_weight) * NEWEST_WEIGHT;
        let overload = self.overload_ratio(now, workload).powf(weight / self.mean_weight);
        self.demand.add(now, PERIOD, f64::from(!beyond));
        if beyond || self.rng.rand_float() < overload {
            return self.give_up(id, host);
        }
        self.next_attempt(now, id, host);
    }

    /// The article's ratio for all backends, per idle latency: attempts wanted against completions and room.
    pub(crate) fn overload_ratio(&mut self, now: Timestamp, workload: usize) -> f64 {
        let idle_time = self.latencies.iter().map(|p| p.idle_mean).max().unwrap_or(PERIOD).ratio_to(PERIOD);
        let overdue = self.latencies[workload].overdue(OVERDUE_DEVIATIONS);
        let (mut live, mut load) = (0.0, 0.0);
        for backend in self.backends.values_mut() {
            // Attempts lost at an unresponsive backend are no load on the others: all are weighted by its record.
            let trust = backend.success_estimate(now, overdue, 0.0);
            load += trust * backend.in_flight.values().filter(|sent| now - **sent <= overdue).count() as f64;
            live += if backend.is_live() { trust } else { 0.0 };
        }
        let (wanted, completed) = (self.demand.at(now, PERIOD), self.completions.at(now, PERIOD));
        let room = (MAX_CONCURRENT * live / f64::from(self.config.gateways)).max(1.0)
            + QUEUE * idle_time * completed;
        self.mean_in_flight += (load - self.mean_in_flight) * NEWEST_WEIGHT;
        excess(idle_time * wanted, idle_time * completed + room - self.mean_in_flight)
    }
}
