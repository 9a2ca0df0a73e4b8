//! The count that gateways share: which command waits for it, when what was offered here is added, and what a
//! total tells of the other gateways.

use crate::dispatch::{Gateway, PERIOD};
use crate::interface::*;
use crate::quota::{CALM, LATELY, NEAR};
use crate::state::{Customer, State};
use kitepass_time::Timestamp;
use std::mem::take;

const SUM: i64 = CALM * LATELY; // periods for which a sum runs on under one name
const POOL: f64 = 0.3; // part of a sparse customer's store that may be borrowed, as often as it fills

impl Gateway {
    /// The draw against the customer's ratio; what is beyond the part here may borrow what others leave.
    pub(crate) fn decide(&mut self, now: Timestamp, id: &str, controls: bool, orders: &mut impl Orders) {
        let offer = self.commands[id].offer.clone();
        let verdict = self.draw(now, &offer, controls, orders);
        let Customer { sparse, ref terms, .. } = self.customers[&offer.customer];
        let asks = self.customers[&offer.customer].is_unsure(offer.units, verdict.beyond);
        let time = self.charter.counter.is_some_and(|patience| self.commands[id].until - now > patience * 2);
        let fills = PERIOD.times(terms.store / terms.rate / PERIOD.secs()).max(PERIOD);
        if !(asks && time && self.affords()) {
            return self.admit(now, id, verdict.beyond, orders);
        }
        if !sparse {
            return self.add_up(now, &offer.customer, Some((id, offer.units)), orders);
        }
        let name = format!("{}/.{}", offer.customer, now.micros() / fills.micros());
        orders.count(&name, offer.units, fills * 2);
        self.wait(id, name, Units::default());
    }

    /// Adds what was offered and sent here since the last time to a customer's sum; with it the units of a
    /// command that goes only if the total allows it, lest several gateways give what all see in the store.
    pub(crate) fn add_up(
        &mut self,
        now: Timestamp,
        customer: &str,
        waits: Option<(&str, f64)>,
        orders: &mut impl Orders,
    ) {
        let (key, (id, units), number) = (customer, waits.unwrap_or_default(), now.among(PERIOD * SUM).0);
        let Some(customer) = self.customers.get_mut(key) else { return };
        customer.period.sent += units;
        if customer.sums.begin(number) {
            // The last one is read once more, as no one adds to it any longer; without it nothing is known.
            let last = format!("{key}.{}", number - 1);
            customer.read = customer.read.filter(|_| customer.sums.knows(number - 1));
            if customer.read.is_some() {
                orders.count(&last, 0.0, PERIOD * SUM * 2);
                self.peers.waiting.entry(last).or_default().push_back(Default::default());
            }
        }
        customer.due = Timestamp::default();
        let (name, added) = (format!("{key}.{number}"), take(&mut customer.period));
        orders.count(&name, added.packed(apart(&customer.terms)), PERIOD * SUM * 2);
        self.wait(id, name, added);
    }

    /// Has what was offered here go to the counter at the period's end. Calls have a price: later if all is
    /// calm, and sooner only where much is sent in a beat or little is left, unless calls are lost.
    pub(crate) fn time(&mut self, now: Timestamp, id: &str, orders: &mut impl Orders) {
        let (calm, largest) = (self.many || self.hears(now), self.charter.largest);
        let counts = |c: &&mut Customer| !c.sparse && c.width > 1.0 && c.terms.rate > 0.0;
        let Some(c) = self.customers.get_mut(id).filter(counts) else { return };
        let (limit, low) = (c.terms.rate * c.beat.secs(), NEAR * c.terms.store);
        let usual = c.demand.last() + c.theirs() < NEAR * limit;
        let calm = calm || c.share(false) >= 1.0 && c.silent == 0 && c.store > low && usual;
        let often = c.counted && c.silent == 0 && (limit > NEAR * largest || c.store < low);
        let quarters = if often { 1 } else { CALM };
        let after = PERIOD / CALM * if calm { CALM * CALM } else { quarters };
        if self.charter.counter.is_some() && (c.due <= now || now + after < c.due) {
            c.due = now + after;
            orders.wake(&format!("period.{id}"), after);
        }
    }

    pub fn counted(&mut self, now: Timestamp, name: &str, total: Total, orders: &mut impl Orders) {
        let (hears, Some((id, number))) = (self.hears(now), name.rsplit_once('.')) else { return };
        let late = matches!(total, Total::Late(_)); // its command has gone on, others may wait by that name
        if let Some(customer) = id.strip_suffix('/').filter(|_| !late).and_then(|id| self.customers.get(id)) {
            let pool = POOL * customer.terms.store.max(customer.terms.rate * PERIOD.secs());
            let verdict = |total| Verdict { beyond: total > pool, ratio: 0.0 };
            return self.resume(now, name, total.known().map(verdict), orders);
        }
        let next = if late { None } else { self.next(name, total.known().is_none()) };
        let ((command, added), number) = (next.unwrap_or_default(), number.parse().unwrap_or(0));
        let Some(customer) = self.customers.get_mut(id) else { return };
        customer.reckon(now, hears);
        match total {
            Total::NotAdded if customer.silent < LATELY => customer.period.add(added),
            Total::NotAdded => {} // in a silence each keeps to its part, and does not tell of it later
            _ => customer.sums.add(number, added),
        }
        // A controller reads what went by others' parts; reading it, these would be too bold.
        match total.known().filter(|_| customer.held || !self.many) {
            Some(total) => customer.learn(now, number, total, hears),
            None => customer.silent += 1,
        }
        let (store, lacks, full) = (customer.store, customer.reserve(false), customer.terms.store);
        let full = full * customer.share(false);
        self.time(now, id, orders);
        let Some(waits) = self.commands.get_mut(&command) else { return };
        waits.booked = true;
        let beyond = store < (waits.offer.units + lacks).min(full); // a full one gives a command of any size
        self.shift(&command, State::Held);
        self.admit(now, &command, beyond, orders);
    }
}

impl Customer {
    /// Takes in what a total tells of the others: its growth since the last one.
    fn learn(&mut self, now: Timestamp, number: i64, total: f64, hears: bool) {
        let (all, (running, since)) = (Units::unpacked(total, apart(&self.terms)), now.among(PERIOD * SUM));
        let Some(grown) = self.sums.read(number, all) else { return };
        // A counter that has lost its counts shows less than before: it is read on from there.
        let drawn = if grown.offered < 0.0 { 0.0 } else { grown.sent };
        // The last sum's end is read just before the new one: what is left of the slack is for that.
        let slack = if number == running { self.slack } else { self.slack.min(drawn) };
        self.slack -= slack;
        let lately = (PERIOD * LATELY).over(self.read.map_or(PERIOD, |read| now - read)).min(1.0);
        // What peers tell is newer than a reading.
        if !hears {
            self.told.add(now, PERIOD * LATELY, grown.offered.max(0.0) * lately);
            self.gone.add(now, PERIOD * LATELY, drawn * lately);
            // A first reading: of a customer that is offered more than its limit nothing is left, else what
            // the sum lacks of it. After a silence, in which each kept to its part, the rest fills again.
            let (store, filled) = (self.terms.store, self.terms.rate * since.secs());
            let left =
                if all.offered > store + filled { 0.0 } else { store - (all.sent - NEAR * filled).max(0.0) };
            self.store = match self.read {
                None => left - self.period.sent,
                Some(_) if self.silent >= LATELY => self.store,
                // What went beyond the quota has not drawn on it.
                Some(_) => (self.store + slack - drawn).max(self.store.min(0.0)).min(store),
            };
        }
        self.read = if number == running { Some(now) } else { self.read };
        self.silent = 0;
    }

    /// Whether the counter is asked before a command goes: each of the others may send as much as it, and as
    /// this gateway sent since the last count; what is beyond a part is not known to be beyond the whole.
    fn is_unsure(&self, units: f64, beyond: bool) -> bool {
        let unseen = (self.width - 1.0) * (units + self.period.sent.max(0.0));
        let counted = if beyond { self.read.is_none() } else { self.store < units + unseen };
        self.sparse && beyond || self.counted && counted
    }

    pub fn is_due(&self, now: Timestamp) -> bool {
        self.due != Timestamp::default() && now >= self.due && self.period.offered > 0.0
    }
}

/// One amount carries offered and sent units, set apart by far more than a period can send on.
fn apart(terms: &Plan) -> f64 {
    10f64.powf((2.5 * (terms.rate * (PERIOD * SUM).secs() + terms.store)).max(1.0).log10().ceil())
}
