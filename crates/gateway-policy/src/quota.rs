//! A tenant's quota: token bucket, share of the hard limit, demand, and the drop ratio that follows from them.

use crate::counters::hash;
use crate::dispatch::{Gateway, PERIOD};
use crate::interface::{Host, QuotaDecision, QuotaRequest, Units};
use crate::state::Tenant;
use kitepass_time::{Duration, Timestamp};
use std::mem::replace;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60); // a tenant without use for this long is forgotten
pub(crate) const NEAR: f64 = 0.5; // share of the quota up to which a tenant is calm
pub(crate) const CALM_PERIODS: i64 = 4; // periods between two reports of a calm tenant
pub(crate) const RECENT: i64 = 2; // periods for which usage of the other gateways is remembered
const SPARSE_SHARE: f64 = 0.25; // share of the largest request: a tenant with a smaller share of its bucket is sparse
const RESERVED_SHARE: f64 = 0.2; // share of a token bucket held back for what other gateways take unseen
const INITIAL_SHARE: f64 = 0.25; // share of its part of a hard limit that a gateway starts with, and never fills

impl Gateway {
    /// The tenant's record brought up to `now`; a new one if it is unknown.
    pub(crate) fn tenant(
        &mut self,
        now: Timestamp,
        quota: &QuotaRequest,
        host: &mut impl Host,
    ) -> &mut Tenant {
        let (hears, plan) = (self.hears_peers(now), self.config.plans[quota.plan].clone());
        if self.tenants.is_empty() {
            host.set_timer("sweep.", IDLE_TIMEOUT);
        }
        let (id, gateways) = (quota.tenant.as_str(), f64::from(quota.gateways));
        if !self.tenants.contains_key(id) {
            self.peers.by_hash.insert(hash(id) as u32, id.to_owned());
            // An unseen tenant gets its limit divided by the gateways. Its share of a hard limit starts with what
            // a full one lacks: an earlier incarnation may have spent all, and both must not exceed the share.
            let filled = INITIAL_SHARE * plan.hard_burst + plan.hard_rate * (now - self.opened).as_secs();
            let hard_tokens = filled.min((1.0 - INITIAL_SHARE) * plan.hard_burst) / gateways;
            let tokens = plan.burst * if hears { NEAR } else { 1.0 / gateways };
            let alone = self.config.max_peer_messages <= 0.0 && gateways > 1.0 && plan.rate > 0.0;
            let sparse = alone && tokens < SPARSE_SHARE * self.config.max_units;
            let (counted, updated_at) = (alone && !sparse, now);
            let interval = PERIOD / if counted { CALM_PERIODS } else { 1 };
            let mut tenant =
                Tenant { plan, gateways, interval, tokens, updated_at, hard_tokens, ..Tenant::default() };
            tenant.reserve =
                (RESERVED_SHARE * tenant.plan.burst).min(NEAR * self.config.max_units) * f64::from(counted);
            (tenant.is_counted, tenant.is_sparse) = (counted, sparse);
            self.tenants.insert(id.to_owned(), tenant);
        }
        let tenant = self.tenants.get_mut(id).expect("just met");
        // If the counter service leaves most calls unanswered, tenants that seldom call go without it too.
        tenant.missed = if tenant.is_counted && self.peers.loss_rate > NEAR { RECENT } else { tenant.missed };
        tenant.update(now, hears);
        tenant
    }

    /// Forgets idle tenants, but only once their share of a hard limit is full again.
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

    /// Counts offered units and draws against the tenant's ratio, by this gateway's share or as its controller.
    pub(crate) fn draw(
        &mut self,
        now: Timestamp,
        quota: &QuotaRequest,
        controls: bool,
        host: &mut impl Host,
    ) -> QuotaDecision {
        let (id, chance) = (&quota.tenant, self.rng.rand_float());
        let update_interval = self.hears_peers(now).then_some(self.peers.interval);
        let tenant = self.tenant(now, quota, host);
        if controls && !tenant.is_controlled {
            (tenant.is_controlled, tenant.tokens) = (true, tenant.plan.burst);
        }
        tenant.demand.add(now, tenant.interval, quota.units);
        tenant.unreported.offered += quota.units;
        let ratio = tenant.excess_ratio(quota.units, update_interval);
        self.schedule_sum(now, id, host);
        self.record_usage(id, Units { offered: quota.units, forwarded: 0.0 }, host);
        QuotaDecision { exceeds: chance < ratio, ratio }
    }

    /// Reserves an attempt with its tenant, and units for a first one; false if the hard limit has no room.
    pub(crate) fn reserve(&mut self, id: &str, host: &mut impl Host) -> bool {
        let request = &self.requests[id];
        let QuotaRequest { tenant: id, units, .. } = request.quota.clone();
        let (is_first, is_counted) = (request.attempts == 0, request.is_counted);
        let Some(tenant) = self.tenants.get_mut(&id) else { return false };
        // Invariant: a hard limit holds whatever other gateways do, as each keeps to its own share.
        if is_first && tenant.plan.hard_rate > 0.0 && tenant.hard_tokens < units {
            return false;
        }
        tenant.hard_tokens -= if is_first { units } else { 0.0 };
        tenant.in_flight += 1;
        if is_first && (tenant.is_counted || !is_counted) {
            tenant.tokens -= units;
            tenant.unreported.forwarded += units * f64::from(!is_counted); // else the sum has them
            self.record_usage(&id, Units { offered: 0.0, forwarded: units }, host);
        }
        true
    }
}

impl Tenant {
    /// Brings the token bucket, the share of the hard limit and the demand up to now.
    pub(crate) fn update(&mut self, now: Timestamp, hears: bool) {
        let plan = self.plan.clone();
        let time = now - replace(&mut self.updated_at, now);
        let (share, own) = (self.share(hears), self.own_share());
        // After a reading the others are thought to take what they forwarded lately, at most their share.
        let theirs =
            (plan.rate * time.as_secs() + self.tokens.max(0.0)) * (1.0 - own) * f64::from(share >= 1.0);
        let drawn = (self.peer_sent.last() - self.peer_sent.at(now, PERIOD * RECENT)).min(theirs).max(0.0);
        let filled = self.tokens + plan.rate * share * time.as_secs();
        self.tokens = (filled - drawn).max(self.tokens.min(0.0)).min(plan.burst * share);
        self.unfilled = (self.unfilled + filled - self.tokens).min(plan.burst);
        let hard_tokens = self.hard_tokens * self.gateways + plan.hard_rate * time.as_secs();
        self.hard_tokens = hard_tokens.min((1.0 - INITIAL_SHARE) * plan.hard_burst) / self.gateways;
        self.demand.at(now, self.interval);
        self.peer_offered.at(now, PERIOD * RECENT);
    }

    /// The article's ratio for one request: (actual - limit) / actual, never below zero.
    fn excess_ratio(&self, units: f64, update_interval: Option<Duration>) -> f64 {
        let (plan, share) = (&self.plan, self.share(update_interval.is_some()));
        let in_flight = 1.0 + f64::from(self.in_flight) / share;
        let in_flight_ratio =
            if plan.max_in_flight > 0 { excess(in_flight, f64::from(plan.max_in_flight)) } else { 0.0 };
        // A full token bucket, or a full share of one, admits a request of any size.
        if plan.rate <= 0.0 || self.tokens >= plan.burst * share {
            return in_flight_ratio;
        }
        let others = self.peer_demand() * f64::from(share >= 1.0);
        // What peers may have forwarded since their last update is no longer in the token bucket.
        let tokens = self.tokens - update_interval.map_or(0.0, |time| others.min(plan.rate) * time.as_secs());
        // What the bucket cannot hold is rejected for certain: a draw is too coarse where requests are large.
        if tokens < units + self.reserve(update_interval.is_some()) {
            return 1.0;
        }
        excess(self.demand.last() + others, plan.rate * share * self.interval.as_secs() + tokens)
            .max(in_flight_ratio)
    }

    /// Takes forwarded units out of the token bucket; a negative number gives units back.
    pub(crate) fn spend(&mut self, units: f64) {
        self.tokens -= units;
        self.unreported.forwarded += units;
    }

    /// Units of the token bucket held back for what other gateways take unseen.
    pub(crate) fn reserve(&self, hears: bool) -> f64 {
        self.reserve * f64::from(self.share(hears) >= 1.0)
    }

    /// Units offered to the other gateways lately, per interval.
    pub(crate) fn peer_demand(&self) -> f64 {
        self.peer_offered.last() * self.interval.ratio_to(PERIOD * RECENT)
    }

    /// The share of the quota that may be given here: all with recent news of other gateways, else its own share.
    pub(crate) fn share(&self, hears: bool) -> f64 {
        f64::max(self.own_share(), f64::from(self.read_at.is_some() && self.missed < RECENT || hears))
    }

    /// This gateway's equal share of the quota; all of it if it is the tenant's controller.
    fn own_share(&self) -> f64 {
        (1.0 / self.gateways).max(f64::from(self.is_controlled))
    }
}

/// The article's drop ratio: the share of the actual amount that is beyond the limit, from 0 to 1.
pub fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}
