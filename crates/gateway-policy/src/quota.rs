//! What a customer may have: its store and its share of a hard ceiling, its demand, and the draw of each command
//! against the ratio that follows from them. What is known of the other gateways comes from `count.rs` and
//! `peers.rs`.

use crate::counters::hash;
use crate::dispatch::{Gateway, PERIOD};
use crate::interface::*;
use crate::state::Customer;
use kitepass_time::{Duration, Timestamp};
use std::mem::replace;

const KEPT: Duration = Duration::from_secs(60); // time without use after which a customer is forgotten
pub(crate) const NEAR: f64 = 0.5; // part of the quota up to which a customer is calm
pub(crate) const CALM: i64 = 4; // periods to one count of a calm customer
pub(crate) const LATELY: i64 = 2; // periods for which what is known of the others counts
const SPARSE: f64 = 0.25; // part of the largest command: whose part of a store holds less cannot be counted
const HELD: f64 = 0.2; // part of a store held back from what others draw unseen, where a sum tells of them
const FIRST: f64 = 0.25; // part of its share of a hard ceiling that a gateway starts with, and never fills

impl Gateway {
    pub(crate) fn know(&mut self, now: Timestamp, offer: &Offer, orders: &mut impl Orders) -> &mut Customer {
        let (hears, terms) = (self.hears(now), self.charter.plans[offer.plan].clone());
        if self.customers.is_empty() {
            orders.wake("sweep.", KEPT);
        }
        let (id, width) = (offer.customer.as_str(), f64::from(offer.width));
        if !self.customers.contains_key(id) {
            self.peers.marks.insert(hash(id) as u32, id.to_owned());
            // An unseen customer may pass its limit divided by the gateways. Its share of a hard ceiling
            // starts with the part that a full one lacks: an earlier life of this gateway may have spent all
            // that it had, and both together are no more than the share.
            let filled = FIRST * terms.ceiling_depth + terms.ceiling_rate * (now - self.opened).secs();
            let ceiling = filled.min((1.0 - FIRST) * terms.ceiling_depth) / width;
            let store = terms.store * if hears { NEAR } else { 1.0 / width };
            let alone = self.charter.peer_messages <= 0.0 && width > 1.0 && terms.rate > 0.0;
            let sparse = alone && store < SPARSE * self.charter.largest;
            let (counted, as_of) = (alone && !sparse, now);
            let beat = PERIOD / if counted { CALM } else { 1 };
            let mut met = Customer { terms, width, beat, store, as_of, ceiling, ..Customer::default() };
            met.reserve = (HELD * met.terms.store).min(NEAR * self.charter.largest) * f64::from(counted);
            (met.counted, met.sparse) = (counted, sparse);
            self.customers.insert(id.to_owned(), met);
        }
        let customer = self.customers.get_mut(id).expect("just met");
        // A counter that leaves most calls unanswered is silent for all, also those that seldom call.
        customer.silent = if customer.counted && self.peers.lost > NEAR { LATELY } else { customer.silent };
        customer.reckon(now, hears);
        customer
    }

    /// A customer is forgotten only once its share of a ceiling is whole again.
    pub(crate) fn forget(&mut self, now: Timestamp, orders: &mut impl Orders) {
        self.customers.retain(|_, c| {
            let idle = now - c.as_of;
            idle < KEPT || c.out > 0 || c.terms.ceiling_rate * idle.secs() < c.terms.ceiling_depth
        });
        self.peers.marks.retain(|_, id| self.customers.contains_key(id));
        if !self.customers.is_empty() {
            orders.wake("sweep.", KEPT);
        }
    }

    /// Books offered units and draws against the customer's ratio, by the part here or as its controller.
    pub(crate) fn draw(
        &mut self,
        now: Timestamp,
        offer: &Offer,
        controls: bool,
        orders: &mut impl Orders,
    ) -> Verdict {
        let (id, chance) = (&offer.customer, self.chance.rand_float());
        let telling = self.hears(now).then_some(self.peers.telling);
        let customer = self.know(now, offer, orders);
        if controls && !customer.held {
            (customer.held, customer.store) = (true, customer.terms.store);
        }
        customer.demand.add(now, customer.beat, offer.units);
        customer.period.offered += offer.units;
        let ratio = customer.ratio(offer.units, telling);
        self.time(now, id, orders);
        self.note(id, Units { offered: offer.units, sent: 0.0 }, orders);
        Verdict { beyond: chance < ratio, ratio }
    }

    /// Books a leg with its customer, and the units of a first one; false if a hard ceiling is in its way.
    pub(crate) fn book(&mut self, id: &str, orders: &mut impl Orders) -> bool {
        let command = &self.commands[id];
        let Offer { customer: id, units, .. } = command.offer.clone();
        let (first, booked) = (command.legs == 0, command.booked);
        let Some(customer) = self.customers.get_mut(&id) else { return false };
        // A hard ceiling holds whatever the others do: the whole command fits this gateway's own share.
        if first && customer.terms.ceiling_rate > 0.0 && customer.ceiling < units {
            return false;
        }
        customer.ceiling -= if first { units } else { 0.0 };
        customer.out += 1;
        if first && (customer.counted || !booked) {
            customer.store -= units;
            customer.period.sent += units * f64::from(!booked); // what was asked for is in the sum already
            self.note(&id, Units { offered: 0.0, sent: units }, orders);
        }
        true
    }
}

impl Customer {
    /// Brings the store, the share of the ceiling and the demand up to now.
    pub fn reckon(&mut self, now: Timestamp, hears: bool) {
        let terms = self.terms.clone();
        let past = now - replace(&mut self.as_of, now);
        let (share, part) = (self.share(hears), self.part());
        // By a reading the others draw what they sent on of late, at most their part of the limit.
        let theirs =
            (terms.rate * past.secs() + self.store.max(0.0)) * (1.0 - part) * f64::from(share >= 1.0);
        let drawn = (self.gone.last() - self.gone.at(now, PERIOD * LATELY)).min(theirs).max(0.0);
        let filled = self.store + terms.rate * share * past.secs();
        self.store = (filled - drawn).max(self.store.min(0.0)).min(terms.store * share);
        self.slack = (self.slack + filled - self.store).min(terms.store);
        let ceiling = self.ceiling * self.width + terms.ceiling_rate * past.secs();
        self.ceiling = ceiling.min((1.0 - FIRST) * terms.ceiling_depth) / self.width;
        self.demand.at(now, self.beat);
        self.told.at(now, PERIOD * LATELY);
    }

    /// The article's ratio for one command: (actual - limit) / actual, never below zero.
    fn ratio(&self, units: f64, telling: Option<Duration>) -> f64 {
        let (terms, share) = (&self.terms, self.share(telling.is_some()));
        let out = 1.0 + f64::from(self.out) / share;
        let legs_ratio = if terms.legs_out > 0 { excess(out, f64::from(terms.legs_out)) } else { 0.0 };
        // A full store, or share of one, gives a command of any size.
        if terms.rate <= 0.0 || self.store >= terms.store * share {
            return legs_ratio;
        }
        let others = self.theirs() * f64::from(share >= 1.0);
        // What peers may have sent on since they told is no longer in the store.
        let store = self.store - telling.map_or(0.0, |telling| others.min(terms.rate) * telling.secs());
        // What the store cannot hold is beyond the quota: chance is too coarse where commands are large.
        if store < units + self.reserve(telling.is_some()) {
            return 1.0;
        }
        excess(self.demand.last() + others, terms.rate * share * self.beat.secs() + store).max(legs_ratio)
    }

    /// Books units sent on inside the quota; below zero, units given back.
    pub fn spend(&mut self, units: f64) {
        self.store -= units;
        self.period.sent += units;
    }

    /// Units of the store that are left for what others draw unseen.
    pub fn reserve(&self, hears: bool) -> f64 {
        self.reserve * f64::from(self.share(hears) >= 1.0)
    }

    /// What the others were offered of late in a beat.
    pub fn theirs(&self) -> f64 {
        self.told.last() * self.beat.over(PERIOD * LATELY)
    }

    /// The part of the quota that this gateway may give: all of it with a current reading or told by peers.
    /// Guards against a silent or crowded counter; hurts a customer that moves here just then.
    pub fn share(&self, hears: bool) -> f64 {
        f64::max(self.part(), f64::from(self.read.is_some() && self.silent < LATELY || hears))
    }

    /// This gateway's part of the quota.
    fn part(&self) -> f64 {
        (1.0 / self.width).max(f64::from(self.held))
    }
}

/// The article's ratio: the part of what is offered that is beyond the limit, from 0 to 1.
pub fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}
