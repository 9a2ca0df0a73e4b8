//! Overload: how far the legs asked for are past what the fleet settles and has room for, and which commands are
//! refused for it.

use crate::dispatch::{Gateway, NEWEST, OVERDUE, PERIOD};
use crate::interface::Orders;
use crate::quota::excess;
use kitepass_time::Timestamp;

const QUEUE: f64 = 0.8; // times of an idle backend that legs may be out for beside those
const ABREAST: f64 = 3.0; // legs a backend may have from all gateways, more is an overload

impl Gateway {
    /// The draw of a command against the fleet's ratio.
    pub(crate) fn admit(&mut self, now: Timestamp, id: &str, beyond: bool, orders: &mut impl Orders) {
        let workload = self.commands[id].workload;
        // In an overload the commands that are worth most for their time go first.
        let (value, time) = (self.charter.workloads[workload].value, self.paces[workload].mean.secs());
        let weight = value / time.max(f64::EPSILON);
        self.weight += (weight - self.weight) * NEWEST;
        let pressure = self.pressure(now, workload).powf(weight / self.weight);
        self.wanted.add(now, PERIOD, f64::from(!beyond));
        if beyond || self.chance.rand_float() < pressure {
            return self.give_up(id, orders);
        }
        self.advance(now, id, orders);
    }

    /// The article's ratio for the fleet, over an idle backend's time: legs wanted against settled and room.
    pub(crate) fn pressure(&mut self, now: Timestamp, workload: usize) -> f64 {
        let time = self.paces.iter().map(|p| p.idle).max().unwrap_or(PERIOD).over(PERIOD);
        let overdue = self.paces[workload].past(OVERDUE);
        let (mut live, mut out) = (0.0, 0.0);
        for b in self.backends.values_mut() {
            // Legs lost at a backend that answers nothing are no load on the others: all count by its record.
            let faith = b.trust(now, overdue, 0.0);
            out += faith * b.out.values().filter(|sent| now - **sent <= overdue).count() as f64;
            live += if b.is_live() { faith } else { 0.0 };
        }
        let (wanted, settled) = (self.wanted.at(now, PERIOD), self.settled.at(now, PERIOD));
        let room = (ABREAST * live / f64::from(self.charter.gateways)).max(1.0) + QUEUE * time * settled;
        self.abroad += (out - self.abroad) * NEWEST;
        excess(time * wanted, time * settled + room - self.abroad)
    }
}
