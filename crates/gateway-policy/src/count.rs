//! The shared sums on the counter service: who waits for them, when usage is added, what a total tells.

use crate::dispatch::{Gateway, PERIOD};
use crate::interface::{Host, Plan, QuotaDecision, Reading, Units};
use crate::quota::{CALM_PERIODS, NEAR, RECENT};
use crate::state::{RequestState, Tenant};
use kitepass_time::Timestamp;
use std::mem::take;

const SUM_PERIODS: i64 = CALM_PERIODS * RECENT; // periods that one sum covers
const POOL_SHARE: f64 = 0.3; // share of a sparse tenant's token bucket that may be borrowed, as often as it fills

impl Gateway {
    /// Draws against the tenant's ratio, and asks the counter service where this gateway's share cannot tell.
    pub(crate) fn decide(&mut self, now: Timestamp, id: &str, controls: bool, host: &mut impl Host) {
        let quota = self.requests[id].quota.clone();
        let decision = self.draw(now, &quota, controls, host);
        let Tenant { is_sparse: sparse, ref plan, .. } = self.tenants[&quota.tenant];
        let is_unsure = self.tenants[&quota.tenant].is_unsure(quota.units, decision.exceeds);
        let time_left = self.requests[id].deadline - now;
        let has_time = self.config.counter_timeout.is_some_and(|timeout| time_left > timeout * 2);
        let fill_time = PERIOD.mul_f64(plan.burst / plan.rate / PERIOD.as_secs()).max(PERIOD);
        if !(is_unsure && has_time && self.may_ask()) {
            return self.admit(now, id, decision.exceeds, host);
        }
        if !sparse {
            return self.add_to_sum(now, &quota.tenant, Some((id, quota.units)), host);
        }
        let name = format!("{}/.{}", quota.tenant, now.as_micros() / fill_time.as_micros());
        host.add_to_counter(&name, quota.units, fill_time * 2);
        self.wait(id, name, Units::default());
    }

    /// Adds the usage here to a tenant's sum, and the units of a request that waits, lest two gateways give them.
    pub(crate) fn add_to_sum(
        &mut self,
        now: Timestamp,
        tenant: &str,
        waits: Option<(&str, f64)>,
        host: &mut impl Host,
    ) {
        let (key, (id, units), number) =
            (tenant, waits.unwrap_or_default(), now.period_and_offset(PERIOD * SUM_PERIODS).0);
        let Some(tenant) = self.tenants.get_mut(key) else { return };
        tenant.unreported.forwarded += units;
        if tenant.sums.begin(number) {
            // The previous sum is final now and read once more; without it earlier readings are void.
            let last = format!("{key}.{}", number - 1);
            tenant.read_at = tenant.read_at.filter(|_| tenant.sums.contains(number - 1));
            if tenant.read_at.is_some() {
                host.add_to_counter(&last, 0.0, PERIOD * SUM_PERIODS * 2);
                self.peers.waiting.entry(last).or_default().push_back(Default::default());
            }
        }
        tenant.report_at = Timestamp::default();
        let (name, added) = (format!("{key}.{number}"), take(&mut tenant.unreported));
        host.add_to_counter(&name, added.packed(packing_factor(&tenant.plan)), PERIOD * SUM_PERIODS * 2);
        self.wait(id, name, added);
    }

    /// Schedules the next report. Calls have a price: later if all is calm, sooner if much goes or little is left.
    pub(crate) fn schedule_sum(&mut self, now: Timestamp, id: &str, host: &mut impl Host) {
        let (is_calm, largest) = (self.uses_controllers || self.hears_peers(now), self.config.max_units);
        let is_reported = |t: &&mut Tenant| !t.is_sparse && t.gateways > 1.0 && t.plan.rate > 0.0;
        let Some(t) = self.tenants.get_mut(id).filter(is_reported) else { return };
        let (limit, low) = (t.plan.rate * t.interval.as_secs(), NEAR * t.plan.burst);
        let is_demand_low = t.demand.last() + t.peer_demand() < NEAR * limit;
        let is_calm = is_calm || t.share(false) >= 1.0 && t.missed == 0 && t.tokens > low && is_demand_low;
        let is_urgent = t.is_counted && t.missed == 0 && (limit > NEAR * largest || t.tokens < low);
        let quarters = if is_urgent { 1 } else { CALM_PERIODS };
        let after = PERIOD / CALM_PERIODS * if is_calm { CALM_PERIODS * CALM_PERIODS } else { quarters };
        if self.config.counter_timeout.is_some() && (t.report_at <= now || now + after < t.report_at) {
            t.report_at = now + after;
            host.set_timer(&format!("period.{id}"), after);
        }
    }

    /// Takes in the result of a call to the counter service.
    pub fn counter_answered(&mut self, now: Timestamp, name: &str, total: Reading, host: &mut impl Host) {
        let (hears, Some((id, number))) = (self.hears_peers(now), name.rsplit_once('.')) else { return };
        let late = matches!(total, Reading::Late(_)); // its request has gone on; others may wait for the same name
        if let Some(tenant) = id.strip_suffix('/').filter(|_| !late).and_then(|id| self.tenants.get(id)) {
            let pool = POOL_SHARE * tenant.plan.burst.max(tenant.plan.rate * PERIOD.as_secs());
            let decision = |total| QuotaDecision { exceeds: total > pool, ratio: 0.0 };
            return self.resume(now, name, total.known().map(decision), host);
        }
        let next = if late { None } else { self.next_waiting(name, total.known().is_none()) };
        let ((request, added), number) = (next.unwrap_or_default(), number.parse().unwrap_or(0));
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        tenant.update(now, hears);
        match total {
            Reading::NotAdded if tenant.missed < RECENT => tenant.unreported.add(added),
            Reading::NotAdded => {} // without the counter each keeps to its share and reports none of it
            _ => tenant.sums.add(number, added),
        }
        // Only a controller uses the sum where there are controllers; the others would give too much by it.
        match total.known().filter(|_| tenant.is_controlled || !self.uses_controllers) {
            Some(total) => tenant.observe_total(now, number, total, hears),
            None => tenant.missed += 1,
        }
        let (tokens, reserve, burst) = (tenant.tokens, tenant.reserve(false), tenant.plan.burst);
        let full = burst * tenant.share(false);
        self.schedule_sum(now, id, host);
        let Some(waits) = self.requests.get_mut(&request) else { return };
        waits.is_counted = true;
        let beyond = tokens < (waits.quota.units + reserve).min(full); // a full one admits any size
        self.set_state(&request, RequestState::Queued);
        self.admit(now, &request, beyond, host);
    }
}

impl Tenant {
    /// Learns the other gateways' usage from a total's growth since the last one.
    fn observe_total(&mut self, now: Timestamp, number: i64, total: f64, hears: bool) {
        let (all, (running, since)) =
            (Units::unpacked(total, packing_factor(&self.plan)), now.period_and_offset(PERIOD * SUM_PERIODS));
        let Some(grown) = self.sums.take_growth(number, all) else { return };
        // A counter service that lost its sums shows less than before: only later growth counts.
        let drawn = if grown.offered < 0.0 { 0.0 } else { grown.forwarded };
        // The previous sum is read just before the new one, which gets what is left of the slack.
        let slack = if number == running { self.unfilled } else { self.unfilled.min(drawn) };
        self.unfilled -= slack;
        let lately = (PERIOD * RECENT).ratio_to(self.read_at.map_or(PERIOD, |read| now - read)).min(1.0);
        // Updates from peers are newer than a reading.
        if !hears {
            self.peer_offered.add(now, PERIOD * RECENT, grown.offered.max(0.0) * lately);
            self.peer_sent.add(now, PERIOD * RECENT, drawn * lately);
            // First reading: nothing is left of a quota that is offered more than its limit, else what the sum
            // leaves of it. After lost calls, in which each kept to its share, the rest refills.
            let (burst, refill) = (self.plan.burst, self.plan.rate * since.as_secs());
            let unspent = burst - (all.forwarded - NEAR * refill).max(0.0);
            let left = if all.offered > burst + refill { 0.0 } else { unspent };
            self.tokens = match self.read_at {
                None => left - self.unreported.forwarded,
                Some(_) if self.missed >= RECENT => self.tokens,
                // Units beyond the quota were not taken from the bucket.
                Some(_) => (self.tokens + slack - drawn).max(self.tokens.min(0.0)).min(burst),
            };
        }
        self.read_at = if number == running { Some(now) } else { self.read_at };
        self.missed = 0;
    }

    /// Whether a request needs the counter service: other gateways may have forwarded as much as this one unseen.
    fn is_unsure(&self, units: f64, beyond: bool) -> bool {
        let unseen = (self.gateways - 1.0) * (units + self.unreported.forwarded.max(0.0));
        let counted = if beyond { self.read_at.is_none() } else { self.tokens < units + unseen };
        self.is_sparse && beyond || self.is_counted && counted
    }

    /// Whether the time to report has come and there is something to report.
    pub(crate) fn is_report_due(&self, now: Timestamp) -> bool {
        self.report_at != Timestamp::default() && now >= self.report_at && self.unreported.offered > 0.0
    }
}

/// The factor of `Units::packed`: far more than can be forwarded while a sum runs.
fn packing_factor(plan: &Plan) -> f64 {
    10f64.powf((2.5 * (plan.rate * (PERIOD * SUM_PERIODS).as_secs() + plan.burst)).max(1.0).log10().ceil())
}
