//! Overload: how far the attempts asked for are past what the fleet settles and has room for, and which requests are
//! refused for it.

use crate::dispatch::{Gateway, NEWEST, OVERDUE, PERIOD};
use crate::interface::Host;
use crate::quota::excess;
use kitepass_time::Timestamp;

const QUEUE: f64 = 0.8; // times of an idle backend that attempts may be out for beside those
const MAX_CONCURRENT: f64 = 3.0; // attempts a backend may have from all gateways, more is an overload

impl Gateway {
    /// The draw of a request against the fleet's ratio.
    pub(crate) fn admit(&mut self, now: Timestamp, id: &str, beyond: bool, host: &mut impl Host) {
        let workload = self.requests[id].workload;
        // In an overload the requests that are worth most for their time go first.
        let (value, time) = (self.config.workloads[workload].value, self.latencies[workload].mean.as_secs());
        let weight = value / time.max(f64::EPSILON);
        self.mean_worth += (weight - self.mean_worth) * NEWEST;
        let overload = self.overload_ratio(now, workload).powf(weight / self.mean_worth);
        self.demand.add(now, PERIOD, f64::from(!beyond));
        if beyond || self.rng.rand_float() < overload {
            return self.give_up(id, host);
        }
        self.next_attempt(now, id, host);
    }

    /// The article's ratio for the fleet, over an idle backend's time: attempts wanted against settled and room.
    pub(crate) fn overload_ratio(&mut self, now: Timestamp, workload: usize) -> f64 {
        let time = self.latencies.iter().map(|p| p.idle_mean).max().unwrap_or(PERIOD).ratio_to(PERIOD);
        let overdue = self.latencies[workload].overdue(OVERDUE);
        let (mut live, mut out) = (0.0, 0.0);
        for backend in self.backends.values_mut() {
            // Attempts lost at a backend that answers nothing are no load on the others: all count by its record.
            let faith = backend.success_estimate(now, overdue, 0.0);
            out += faith * backend.in_flight.values().filter(|sent| now - **sent <= overdue).count() as f64;
            live += if backend.is_live() { faith } else { 0.0 };
        }
        let (wanted, settled) = (self.demand.at(now, PERIOD), self.completions.at(now, PERIOD));
        let room =
            (MAX_CONCURRENT * live / f64::from(self.config.gateways)).max(1.0) + QUEUE * time * settled;
        self.mean_in_flight += (out - self.mean_in_flight) * NEWEST;
        excess(time * wanted, time * settled + room - self.mean_in_flight)
    }
}
