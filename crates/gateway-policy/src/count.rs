//! The count that gateways share: which request waits for it, when what was offered here is added, and what a
//! total tells of the other gateways.

use crate::dispatch::{Gateway, PERIOD};
use crate::interface::*;
use crate::quota::{CALM, NEAR, RECENT};
use crate::state::{RequestState, Tenant};
use kitepass_time::Timestamp;
use std::mem::take;

const SUM: i64 = CALM * RECENT; // periods for which a sum runs on under one name
const POOL_PART: f64 = 0.3; // part of a sparse tenant's token bucket that may be borrowed, as often as it fills

impl Gateway {
    /// The draw against the tenant's ratio; what is beyond the part here may borrow what others leave.
    pub(crate) fn decide(&mut self, now: Timestamp, id: &str, controls: bool, host: &mut impl Host) {
        let quota = self.requests[id].quota.clone();
        let decision = self.draw(now, &quota, controls, host);
        let Tenant { is_sparse: sparse, ref plan, .. } = self.tenants[&quota.tenant];
        let asks = self.tenants[&quota.tenant].is_unsure(quota.units, decision.exceeds);
        let left = self.requests[id].deadline - now;
        let time = self.config.counter_timeout.is_some_and(|timeout| left > timeout * 2);
        let fills = PERIOD.mul_f64(plan.burst / plan.rate / PERIOD.as_secs()).max(PERIOD);
        if !(asks && time && self.may_ask()) {
            return self.admit(now, id, decision.exceeds, host);
        }
        if !sparse {
            return self.add_to_sum(now, &quota.tenant, Some((id, quota.units)), host);
        }
        let name = format!("{}/.{}", quota.tenant, now.as_micros() / fills.as_micros());
        host.add_to_counter(&name, quota.units, fills * 2);
        self.wait(id, name, Units::default());
    }

    /// Adds what was offered and sent here since the last time to a tenant's sum; with it the units of a
    /// request that goes only if the total allows it, lest several gateways give what all see in the token bucket.
    pub(crate) fn add_to_sum(
        &mut self,
        now: Timestamp,
        tenant: &str,
        waits: Option<(&str, f64)>,
        host: &mut impl Host,
    ) {
        let (key, (id, units), number) =
            (tenant, waits.unwrap_or_default(), now.period_and_offset(PERIOD * SUM).0);
        let Some(tenant) = self.tenants.get_mut(key) else { return };
        tenant.unreported.forwarded += units;
        if tenant.sums.begin(number) {
            // The last one is read once more, as no one adds to it any longer; without it nothing is known.
            let last = format!("{key}.{}", number - 1);
            tenant.read_at = tenant.read_at.filter(|_| tenant.sums.contains(number - 1));
            if tenant.read_at.is_some() {
                host.add_to_counter(&last, 0.0, PERIOD * SUM * 2);
                self.peers.waiting.entry(last).or_default().push_back(Default::default());
            }
        }
        tenant.report_at = Timestamp::default();
        let (name, added) = (format!("{key}.{number}"), take(&mut tenant.unreported));
        host.add_to_counter(&name, added.packed(apart(&tenant.plan)), PERIOD * SUM * 2);
        self.wait(id, name, added);
    }

    /// Has what was offered here go to the counter at the period's end. Calls have a price: later if all is
    /// calm, and sooner only where much is sent in a beat or little is left, unless calls are lost.
    pub(crate) fn schedule_sum(&mut self, now: Timestamp, id: &str, host: &mut impl Host) {
        let (calm, largest) = (self.uses_controllers || self.hears_peers(now), self.config.max_units);
        let counts = |c: &&mut Tenant| !c.is_sparse && c.gateways > 1.0 && c.plan.rate > 0.0;
        let Some(c) = self.tenants.get_mut(id).filter(counts) else { return };
        let (limit, low) = (c.plan.rate * c.interval.as_secs(), NEAR * c.plan.burst);
        let usual = c.demand.last() + c.peer_demand() < NEAR * limit;
        let calm = calm || c.share(false) >= 1.0 && c.missed == 0 && c.tokens > low && usual;
        let often = c.is_counted && c.missed == 0 && (limit > NEAR * largest || c.tokens < low);
        let quarters = if often { 1 } else { CALM };
        let after = PERIOD / CALM * if calm { CALM * CALM } else { quarters };
        if self.config.counter_timeout.is_some() && (c.report_at <= now || now + after < c.report_at) {
            c.report_at = now + after;
            host.set_timer(&format!("period.{id}"), after);
        }
    }

    pub fn counter_answered(&mut self, now: Timestamp, name: &str, total: Reading, host: &mut impl Host) {
        let (hears, Some((id, number))) = (self.hears_peers(now), name.rsplit_once('.')) else { return };
        let late = matches!(total, Reading::Late(_)); // its request has gone on, others may wait by that name
        if let Some(tenant) = id.strip_suffix('/').filter(|_| !late).and_then(|id| self.tenants.get(id)) {
            let pool = POOL_PART * tenant.plan.burst.max(tenant.plan.rate * PERIOD.as_secs());
            let decision = |total| QuotaDecision { exceeds: total > pool, ratio: 0.0 };
            return self.resume(now, name, total.known().map(decision), host);
        }
        let next = if late { None } else { self.next_waiting(name, total.known().is_none()) };
        let ((request, added), number) = (next.unwrap_or_default(), number.parse().unwrap_or(0));
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        tenant.update(now, hears);
        match total {
            Reading::NotAdded if tenant.missed < RECENT => tenant.unreported.add(added),
            Reading::NotAdded => {} // in a silence each keeps to its part, and does not tell of it later
            _ => tenant.sums.add(number, added),
        }
        // A controller reads what went by others' parts; reading it, these would be too bold.
        match total.known().filter(|_| tenant.is_controlled || !self.uses_controllers) {
            Some(total) => tenant.observe_total(now, number, total, hears),
            None => tenant.missed += 1,
        }
        let (store, lacks, full) = (tenant.tokens, tenant.reserve(false), tenant.plan.burst);
        let full = full * tenant.share(false);
        self.schedule_sum(now, id, host);
        let Some(waits) = self.requests.get_mut(&request) else { return };
        waits.is_counted = true;
        let beyond = store < (waits.quota.units + lacks).min(full); // a full one gives a request of any size
        self.set_state(&request, RequestState::Queued);
        self.admit(now, &request, beyond, host);
    }
}

impl Tenant {
    /// Takes in what a total tells of the others: its growth since the last one.
    fn observe_total(&mut self, now: Timestamp, number: i64, total: f64, hears: bool) {
        let (all, (running, since)) =
            (Units::unpacked(total, apart(&self.plan)), now.period_and_offset(PERIOD * SUM));
        let Some(grown) = self.sums.take_growth(number, all) else { return };
        // A counter that has lost its counts shows less than before: it is read on from there.
        let drawn = if grown.offered < 0.0 { 0.0 } else { grown.forwarded };
        // The last sum's end is read just before the new one: what is left of the slack is for that.
        let slack = if number == running { self.unfilled } else { self.unfilled.min(drawn) };
        self.unfilled -= slack;
        let lately = (PERIOD * RECENT).ratio_to(self.read_at.map_or(PERIOD, |read| now - read)).min(1.0);
        // What peers tell is newer than a reading.
        if !hears {
            self.peer_offered.add(now, PERIOD * RECENT, grown.offered.max(0.0) * lately);
            self.peer_sent.add(now, PERIOD * RECENT, drawn * lately);
            // A first reading: of a tenant that is offered more than its limit nothing is left, else what
            // the sum lacks of it. After a silence, in which each kept to its part, the rest fills again.
            let (store, filled) = (self.plan.burst, self.plan.rate * since.as_secs());
            let unspent = store - (all.forwarded - NEAR * filled).max(0.0);
            let left = if all.offered > store + filled { 0.0 } else { unspent };
            self.tokens = match self.read_at {
                None => left - self.unreported.forwarded,
                Some(_) if self.missed >= RECENT => self.tokens,
                // What went beyond the quota has not drawn on it.
                Some(_) => (self.tokens + slack - drawn).max(self.tokens.min(0.0)).min(store),
            };
        }
        self.read_at = if number == running { Some(now) } else { self.read_at };
        self.missed = 0;
    }

    /// Whether the counter is asked before a request goes: each of the others may send as much as it, and as
    /// this gateway sent since the last count; what is beyond a part is not known to be beyond the whole.
    fn is_unsure(&self, units: f64, beyond: bool) -> bool {
        let unseen = (self.gateways - 1.0) * (units + self.unreported.forwarded.max(0.0));
        let counted = if beyond { self.read_at.is_none() } else { self.tokens < units + unseen };
        self.is_sparse && beyond || self.is_counted && counted
    }

    pub fn is_report_due(&self, now: Timestamp) -> bool {
        self.report_at != Timestamp::default() && now >= self.report_at && self.unreported.offered > 0.0
    }
}

/// One amount carries offered and sent units, set apart by far more than a period can send on.
fn apart(plan: &Plan) -> f64 {
    10f64.powf((2.5 * (plan.rate * (PERIOD * SUM).as_secs() + plan.burst)).max(1.0).log10().ceil())
}
