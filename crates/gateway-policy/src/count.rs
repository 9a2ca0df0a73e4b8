//! Shared sums on the counter service: when a gateway adds its usage, which requests wait, how totals are used.

use crate::dispatch::{Gateway, PERIOD};
use crate::interface::{Host, Plan, QuotaDecision, Reading, Usage};
use crate::quota::{HISTORY, LOW_PERIODS, LOW_SHARE};
use crate::state::{RequestState, Tenant};
use kitepass_time::Timestamp;
use std::mem::take;

const SUM_PERIODS: i64 = LOW_PERIODS * HISTORY; // number of periods that one sum covers
const POOL_SHARE: f64 = 0.3; // fraction of a bucket that gateways with small shares of it use per fill time

impl Gateway {
    /// Applies the tenant's drop ratio, or asks the counter service if the usage known here is not enough to decide.
    pub(crate) fn decide(&mut self, now: Timestamp, id: &str, is_controller: bool, host: &mut impl Host) {
        let quota = self.requests[id].quota.clone();
        let decision = self.draw(now, &quota, is_controller, host);
        let Tenant { has_small_share: small_share, ref plan, .. } = self.tenants[&quota.tenant];
        let needs_counter = self.tenants[&quota.tenant].needs_counter(quota.units, decision.exceeds);
        let time_left = self.requests[id].deadline - now;
        let has_time = self.config.counter_timeout.is_some_and(|timeout| time_left > timeout * 2);
        let fill_time = PERIOD.mul_f64(plan.burst / plan.rate / PERIOD.as_secs()).max(PERIOD);
        if !(needs_counter && has_time && self.may_ask()) {
            return self.admit(now, id, decision.exceeds, host);
        }
        if !small_share {
            return self.add_to_sum(now, &quota.tenant, Some((id, quota.units)), host);
        }
        let name = format!("{}/.{}", quota.tenant, now.as_micros() / fill_time.as_micros());
        host.add_to_counter(&name, quota.units, fill_time * 2);
        self.await_answer(id, name, Usage::default());
    }

    /// Reports usage to the tenant's shared sum, with a waiting request's units so that no other gateway grants them.
    pub(crate) fn add_to_sum(
        &mut self,
        now: Timestamp,
        tenant: &str,
        waiting: Option<(&str, f64)>,
        host: &mut impl Host,
    ) {
        let (key, (id, units), number) =
            (tenant, waiting.unwrap_or_default(), now.period_and_offset(PERIOD * SUM_PERIODS).0);
        let Some(tenant) = self.tenants.get_mut(key) else { return };
        tenant.unreported.forwarded += units;
        if tenant.sums.begin(number) {
            // The previous sum is final now and is read one last time; if it is unknown, earlier readings are invalid.
            let previous = format!("{key}.{}", number - 1);
            tenant.read_at = tenant.read_at.filter(|_| tenant.sums.contains(number - 1));
            if tenant.read_at.is_some() {
                host.add_to_counter(&previous, 0.0, PERIOD * SUM_PERIODS * 2);
                self.peers.waiting.entry(previous).or_default().push_back(Default::default());
            }
        }
        tenant.report_at = Timestamp::default();
        let (name, added) = (format!("{key}.{number}"), take(&mut tenant.unreported));
        host.add_to_counter(&name, added.packed(packing_factor(&tenant.plan)), PERIOD * SUM_PERIODS * 2);
        self.await_answer(id, name, added);
    }

    /// Schedules the next report: later at low usage, as calls have a cost; sooner for a high limit or few tokens.
    pub(crate) fn schedule_report(&mut self, now: Timestamp, id: &str, host: &mut impl Host) {
        let (low_usage, largest) = (self.uses_controllers || self.has_updates(now), self.config.max_units);
        let is_reported = |t: &&mut Tenant| !t.has_small_share && t.gateways > 1.0 && t.plan.rate > 0.0;
        let Some(t) = self.tenants.get_mut(id).filter(is_reported) else { return };
        let (limit, low) = (t.plan.rate * t.interval.as_secs(), LOW_SHARE * t.plan.burst);
        let is_demand_low = t.demand.value() + t.peer_demand() < LOW_SHARE * limit;
        let low_usage =
            low_usage || t.share(false) >= 1.0 && t.missed == 0 && t.tokens > low && is_demand_low;
        let is_urgent = t.uses_counter && t.missed == 0 && (limit > LOW_SHARE * largest || t.tokens < low);
        let quarters = if is_urgent { 1 } else { LOW_PERIODS };
        let delay = PERIOD / LOW_PERIODS * if low_usage { LOW_PERIODS * LOW_PERIODS } else { quarters };
        if self.config.counter_timeout.is_some() && (t.report_at <= now || now + delay < t.report_at) {
            t.report_at = now + delay;
            host.set_timer(&format!("period.{id}"), delay);
        }
    }

    /// Handles the result of a call to the counter service.
    pub fn counter_answered(&mut self, now: Timestamp, name: &str, reading: Reading, host: &mut impl Host) {
        let (has_updates, Some((id, number))) = (self.has_updates(now), name.rsplit_once('.')) else {
            return;
        };
        let is_late = matches!(reading, Reading::Late(_)); // its request is decided; others may wait for the same name
        if let Some(tenant) = id.strip_suffix('/').filter(|_| !is_late).and_then(|id| self.tenants.get(id)) {
            let pool = POOL_SHARE * tenant.plan.burst.max(tenant.plan.rate * PERIOD.as_secs());
            let decision = |total| QuotaDecision { exceeds: total > pool, ratio: 0.0 };
            return self.resume(now, name, reading.total().map(decision), host);
        }
        let popped = if is_late { None } else { self.pop_waiting(name, reading.total().is_none()) };
        let ((request, added), number) = (popped.unwrap_or_default(), number.parse().unwrap_or(0));
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        tenant.update(now, has_updates);
        match reading {
            Reading::NotAdded if tenant.missed < HISTORY => tenant.unreported.add(added),
            Reading::NotAdded => {} // without the counter, each gateway uses only its own share and reports nothing
            _ => tenant.sums.add(number, added),
        }
        // With controllers, only the controller uses the total; otherwise several gateways would spend the same tokens.
        match reading.total().filter(|_| tenant.controlled_here || !self.uses_controllers) {
            Some(total) => tenant.observe_total(now, number, total, has_updates),
            None => tenant.missed += 1,
        }
        let (tokens, reserve, burst) = (tenant.tokens, tenant.reserve(false), tenant.plan.burst);
        let full = burst * tenant.share(false);
        self.schedule_report(now, id, host);
        let Some(waiting) = self.requests.get_mut(&request) else { return };
        waiting.is_charged = true;
        let exceeds = tokens < (waiting.quota.units + reserve).min(full); // a full bucket admits a request of any size
        self.set_state(&request, RequestState::Queued);
        self.admit(now, &request, exceeds, host);
    }
}

impl Tenant {
    /// Derives the other gateways' usage from the growth of the total since the last reading.
    fn observe_total(&mut self, now: Timestamp, number: i64, total: f64, has_updates: bool) {
        let (total_usage, (current, elapsed)) =
            (Usage::unpacked(total, packing_factor(&self.plan)), now.period_and_offset(PERIOD * SUM_PERIODS));
        let Some(growth) = self.sums.record_total(number, total_usage) else { return };
        // After the counter service loses its data, the total drops; only later growth counts.
        let forwarded = if growth.offered < 0.0 { 0.0 } else { growth.forwarded };
        // The previous sum is read just before the current one and uses the slack first; the current one gets the rest.
        let slack = if number == current { self.unfilled } else { self.unfilled.min(forwarded) };
        self.unfilled -= slack;
        let recent = (PERIOD * HISTORY).ratio_to(self.read_at.map_or(PERIOD, |read| now - read)).min(1.0);
        // Peers' updates are more recent than a reading.
        if !has_updates {
            self.peer_offered.add(now, PERIOD * HISTORY, growth.offered.max(0.0) * recent);
            self.peer_forwarded.add(now, PERIOD * HISTORY, forwarded * recent);
            // First reading: the sum's unspent part is left, or nothing if more than the limit was offered. After lost
            // calls, during which each gateway kept to its own share, the bucket just refills.
            let (burst, refill) = (self.plan.burst, self.plan.rate * elapsed.as_secs());
            let unspent = burst - (total_usage.forwarded - LOW_SHARE * refill).max(0.0);
            let remaining = if total_usage.offered > burst + refill { 0.0 } else { unspent };
            self.tokens = match self.read_at {
                None => remaining - self.unreported.forwarded,
                Some(_) if self.missed >= HISTORY => self.tokens,
                // Units beyond the quota were never taken from the bucket.
                Some(_) => (self.tokens + slack - forwarded).max(self.tokens.min(0.0)).min(burst),
            };
        }
        self.read_at = if number == current { Some(now) } else { self.read_at };
        self.missed = 0;
    }

    /// Whether to ask the counter service: each other gateway may have forwarded as much since the last reading.
    fn needs_counter(&self, units: f64, exceeds: bool) -> bool {
        let unseen_units = (self.gateways - 1.0) * (units + self.unreported.forwarded.max(0.0));
        let is_unclear = if exceeds { self.read_at.is_none() } else { self.tokens < units + unseen_units };
        self.has_small_share && exceeds || self.uses_counter && is_unclear
    }

    pub(crate) fn is_report_due(&self, now: Timestamp) -> bool {
        self.report_at != Timestamp::default() && now >= self.report_at && self.unreported.offered > 0.0
    }
}

/// The factor for `Usage::packed`: well above all units that can be forwarded while a sum is current.
fn packing_factor(plan: &Plan) -> f64 {
    10f64.powf((2.5 * (plan.rate * (PERIOD * SUM_PERIODS).as_secs() + plan.burst)).max(1.0).log10().ceil())
}
