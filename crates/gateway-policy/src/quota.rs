//! A tenant's quota: its token bucket, share of the hard limit, demand, and the drop ratio computed from them.

use crate::counters::fnv1a;
use crate::dispatch::{Gateway, PERIOD};
use crate::interface::{Host, QuotaDecision, QuotaRequest, Usage};
use crate::state::Tenant;
use kitepass_time::{Duration, Timestamp};
use std::mem::replace;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60); // a tenant without requests for this long is removed
pub(crate) const LOW_SHARE: f64 = 0.5; // fraction below which a tenant's usage, or another amount, counts as low
pub(crate) const LOW_PERIODS: i64 = 4; // periods between reports for a tenant with low usage
pub(crate) const HISTORY: i64 = 2; // periods over which the other gateways' usage is remembered
const SMALL_SHARE: f64 = 0.25; // below this fraction of the largest request, a bucket share is small
const RESERVED_SHARE: f64 = 0.2; // fraction of a token bucket reserved for other gateways' unknown usage
const INITIAL_SHARE: f64 = 0.25; // fraction of its hard-limit share that a gateway starts with; the rest is its maximum

impl Gateway {
    /// Returns the tenant's state, updated to `now`; creates it for an unknown tenant.
    pub(crate) fn tenant(
        &mut self,
        now: Timestamp,
        quota: &QuotaRequest,
        host: &mut impl Host,
    ) -> &mut Tenant {
        let (has_updates, plan) = (self.has_updates(now), self.config.plans[quota.plan].clone());
        if self.tenants.is_empty() {
            host.set_timer("sweep.", IDLE_TIMEOUT);
        }
        let (id, gateways) = (quota.tenant.as_str(), f64::from(quota.gateways));
        if !self.tenants.contains_key(id) {
            self.peers.by_hash.insert(fnv1a(id) as u32, id.to_owned());
            // A new tenant gets an equal share of the token bucket. Its hard-limit share starts with the part that an
            // earlier incarnation of this gateway cannot have spent, so that both together stay within the share.
            let filled = INITIAL_SHARE * plan.hard_burst + plan.hard_rate * (now - self.opened_at).as_secs();
            let hard_tokens = filled.min((1.0 - INITIAL_SHARE) * plan.hard_burst) / gateways;
            let tokens = plan.burst * if has_updates { LOW_SHARE } else { 1.0 / gateways };
            let without_peers = self.config.max_peer_messages <= 0.0 && gateways > 1.0 && plan.rate > 0.0;
            let has_small_share = without_peers && tokens < SMALL_SHARE * self.config.max_units;
            let (uses_counter, updated_at) = (without_peers && !has_small_share, now);
            let interval = PERIOD / if uses_counter { LOW_PERIODS } else { 1 };
            let mut tenant =
                Tenant { plan, gateways, interval, tokens, updated_at, hard_tokens, ..Tenant::default() };
            tenant.reserve = (RESERVED_SHARE * tenant.plan.burst).min(LOW_SHARE * self.config.max_units)
                * f64::from(uses_counter);
            (tenant.uses_counter, tenant.has_small_share) = (uses_counter, has_small_share);
            self.tenants.insert(id.to_owned(), tenant);
        }
        let tenant = self.tenants.get_mut(id).expect("inserted above if it was missing");
        // While most calls to the counter service fail, tenants that rarely call it don't rely on it either.
        tenant.missed =
            if tenant.uses_counter && self.peers.loss_rate > LOW_SHARE { HISTORY } else { tenant.missed };
        tenant.update(now, has_updates);
        tenant
    }

    /// Removes idle tenants, but only once their share of the hard limit has refilled.
    pub(crate) fn sweep_tenants(&mut self, now: Timestamp, host: &mut impl Host) {
        self.tenants.retain(|_, t| {
            let idle = now - t.updated_at;
            idle < IDLE_TIMEOUT || t.in_flight > 0 || t.plan.hard_rate * idle.as_secs() < t.plan.hard_burst
        });
        self.peers.by_hash.retain(|_, id| self.tenants.contains_key(id));
        if !self.tenants.is_empty() {
            host.set_timer("sweep.", IDLE_TIMEOUT);
        }
    }

    /// Counts the offered units and decides at random by the drop ratio, for this gateway's share or as controller.
    pub(crate) fn draw(
        &mut self,
        now: Timestamp,
        quota: &QuotaRequest,
        is_controller: bool,
        host: &mut impl Host,
    ) -> QuotaDecision {
        let (id, sample) = (&quota.tenant, self.rng.rand_float());
        let update_interval = self.has_updates(now).then_some(self.peers.interval);
        let tenant = self.tenant(now, quota, host);
        if is_controller && !tenant.controlled_here {
            (tenant.controlled_here, tenant.tokens) = (true, tenant.plan.burst);
        }
        tenant.demand.add(now, tenant.interval, quota.units);
        tenant.unreported.offered += quota.units;
        let ratio = tenant.excess_ratio(quota.units, update_interval);
        self.schedule_report(now, id, host);
        self.record_usage(id, Usage { offered: quota.units, forwarded: 0.0 }, host);
        QuotaDecision { exceeds: sample < ratio, ratio }
    }

    /// Charges an attempt to its tenant, with units only for the first one; false if that would exceed the hard limit.
    pub(crate) fn reserve_attempt(&mut self, id: &str, host: &mut impl Host) -> bool {
        let request = &self.requests[id];
        let QuotaRequest { tenant: id, units, .. } = request.quota.clone();
        let (is_first, is_charged) = (request.attempts == 0, request.is_charged);
        let Some(tenant) = self.tenants.get_mut(&id) else { return false };
        // Invariant: every gateway stays within its own share, so the hard limit holds without coordination.
        if is_first && tenant.plan.hard_rate > 0.0 && tenant.hard_tokens < units {
            return false;
        }
        tenant.hard_tokens -= if is_first { units } else { 0.0 };
        tenant.in_flight += 1;
        if is_first && (tenant.uses_counter || !is_charged) {
            tenant.tokens -= units;
            tenant.unreported.forwarded += units * f64::from(!is_charged); // otherwise the shared sum has them
            self.record_usage(&id, Usage { offered: 0.0, forwarded: units }, host);
        }
        true
    }
}

impl Tenant {
    /// Refills the token bucket and the hard-limit share, and decays the demand, up to `now`.
    pub(crate) fn update(&mut self, now: Timestamp, has_updates: bool) {
        let plan = self.plan.clone();
        let time = now - replace(&mut self.updated_at, now);
        let (share, own_share) = (self.share(has_updates), self.own_share());
        // Between readings, the other gateways are assumed to keep forwarding at their recent rate, up to their share.
        let peer_limit =
            (plan.rate * time.as_secs() + self.tokens.max(0.0)) * (1.0 - own_share) * f64::from(share >= 1.0);
        let drawn = (self.peer_forwarded.value() - self.peer_forwarded.at(now, PERIOD * HISTORY))
            .min(peer_limit)
            .max(0.0);
        let filled = self.tokens + plan.rate * share * time.as_secs();
        self.tokens = (filled - drawn).max(self.tokens.min(0.0)).min(plan.burst * share);
        self.unfilled = (self.unfilled + filled - self.tokens).min(plan.burst);
        let hard_tokens = self.hard_tokens * self.gateways + plan.hard_rate * time.as_secs();
        self.hard_tokens = hard_tokens.min((1.0 - INITIAL_SHARE) * plan.hard_burst) / self.gateways;
        self.demand.at(now, self.interval);
        self.peer_offered.at(now, PERIOD * HISTORY);
    }

    /// The article's drop ratio for one request: (actual - limit) / actual, at least zero.
    fn excess_ratio(&self, units: f64, update_interval: Option<Duration>) -> f64 {
        let (plan, share) = (&self.plan, self.share(update_interval.is_some()));
        let in_flight = 1.0 + f64::from(self.in_flight) / share;
        let in_flight_ratio =
            if plan.max_in_flight > 0 { excess(in_flight, f64::from(plan.max_in_flight)) } else { 0.0 };
        // A full token bucket, or a full share of it, admits a request of any size.
        if plan.rate <= 0.0 || self.tokens >= plan.burst * share {
            return in_flight_ratio;
        }
        let others = self.peer_demand() * f64::from(share >= 1.0);
        // Units that peers may have forwarded since their last update are subtracted.
        let tokens = self.tokens - update_interval.map_or(0.0, |time| others.min(plan.rate) * time.as_secs());
        // Without enough tokens the request is always rejected: a random drop is too coarse for large requests.
        if tokens < units + self.reserve(update_interval.is_some()) {
            return 1.0;
        }
        excess(self.demand.value() + others, plan.rate * share * self.interval.as_secs() + tokens)
            .max(in_flight_ratio)
    }

    /// Takes forwarded units from the token bucket; a negative number returns units.
    pub(crate) fn spend(&mut self, units: f64) {
        self.tokens -= units;
        self.unreported.forwarded += units;
    }

    /// Units of the token bucket reserved for usage at other gateways that is not yet known here.
    pub(crate) fn reserve(&self, has_updates: bool) -> f64 {
        self.reserve * f64::from(self.share(has_updates) >= 1.0)
    }

    /// Units recently offered to the other gateways, per interval.
    pub(crate) fn peer_demand(&self) -> f64 {
        self.peer_offered.value() * self.interval.ratio_to(PERIOD * HISTORY)
    }

    /// The usable share of the quota: all of it if the other gateways' recent usage is known, otherwise the own share.
    pub(crate) fn share(&self, has_updates: bool) -> f64 {
        f64::max(self.own_share(), f64::from(self.read_at.is_some() && self.missed < HISTORY || has_updates))
    }

    /// This gateway's equal share of the quota, or all of it if it is the tenant's controller.
    fn own_share(&self) -> f64 {
        (1.0 / self.gateways).max(f64::from(self.controlled_here))
    }
}

/// The article's drop ratio: the fraction of the actual amount that exceeds the limit, from 0 to 1.
pub fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}
