//! What a tenant may have: its token bucket and its share of a hard limit, its demand, and the draw of each request
//! against the ratio that follows from them. What is known of the other gateways comes from `count.rs` and
//! `peer_exchange.rs`.

use crate::counters::hash;
use crate::dispatch::{Gateway, PERIOD};
use crate::interface::*;
use crate::state::Tenant;
use kitepass_time::{Duration, Timestamp};
use std::mem::replace;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60); // time without use after which a tenant is forgotten
pub(crate) const NEAR: f64 = 0.5; // part of the quota up to which a tenant is calm
pub(crate) const CALM: i64 = 4; // periods to one count of a calm tenant
pub(crate) const RECENT: i64 = 2; // periods for which what is known of the others counts
const SPARSE_PART: f64 = 0.25; // part of the largest request: whose part of a token bucket holds less cannot be counted
const RESERVED_PART: f64 = 0.2; // part of a token bucket held back from what others draw unseen, where a sum tells of them
const INITIAL: f64 = 0.25; // part of its share of a hard limit that a gateway starts with, and never fills

impl Gateway {
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
            // An unseen tenant may pass its limit divided by the gateways. Its share of a hard limit
            // starts with the part that a full one lacks: an earlier run of this gateway may have spent all
            // that it had, and both together are no more than the share.
            let filled = INITIAL * plan.hard_burst + plan.hard_rate * (now - self.opened).as_secs();
            let hard_tokens = filled.min((1.0 - INITIAL) * plan.hard_burst) / gateways;
            let tokens = plan.burst * if hears { NEAR } else { 1.0 / gateways };
            let alone = self.config.max_peer_messages <= 0.0 && gateways > 1.0 && plan.rate > 0.0;
            let sparse = alone && tokens < SPARSE_PART * self.config.max_units;
            let (counted, updated_at) = (alone && !sparse, now);
            let interval = PERIOD / if counted { CALM } else { 1 };
            let mut tenant =
                Tenant { plan, gateways, interval, tokens, updated_at, hard_tokens, ..Tenant::default() };
            tenant.reserve =
                (RESERVED_PART * tenant.plan.burst).min(NEAR * self.config.max_units) * f64::from(counted);
            (tenant.is_counted, tenant.is_sparse) = (counted, sparse);
            self.tenants.insert(id.to_owned(), tenant);
        }
        let tenant = self.tenants.get_mut(id).expect("just met");
        // A counter that leaves most calls unanswered is silent for all, also those that seldom call.
        tenant.missed = if tenant.is_counted && self.peers.loss_rate > NEAR { RECENT } else { tenant.missed };
        tenant.update(now, hears);
        tenant
    }

    /// A tenant is forgotten only once its share of a hard limit is whole again.
    pub(crate) fn sweep_tenants(&mut self, now: Timestamp, host: &mut impl Host) {
        self.tenants.retain(|_, c| {
            let idle = now - c.updated_at;
            idle < IDLE_TIMEOUT || c.in_flight > 0 || c.plan.hard_rate * idle.as_secs() < c.plan.hard_burst
        });
        self.peers.by_hash.retain(|_, id| self.tenants.contains_key(id));
        if !self.tenants.is_empty() {
            host.set_timer("sweep.", IDLE_TIMEOUT);
        }
    }

    /// Books offered units and draws against the tenant's ratio, by the part here or as its controller.
    pub(crate) fn draw(
        &mut self,
        now: Timestamp,
        quota: &QuotaRequest,
        controls: bool,
        host: &mut impl Host,
    ) -> QuotaDecision {
        let (id, chance) = (&quota.tenant, self.rng.rand_float());
        let telling = self.hears_peers(now).then_some(self.peers.interval);
        let tenant = self.tenant(now, quota, host);
        if controls && !tenant.is_controlled {
            (tenant.is_controlled, tenant.tokens) = (true, tenant.plan.burst);
        }
        tenant.demand.add(now, tenant.interval, quota.units);
        tenant.unreported.offered += quota.units;
        let ratio = tenant.excess_ratio(quota.units, telling);
        self.schedule_sum(now, id, host);
        self.note_usage(id, Units { offered: quota.units, forwarded: 0.0 }, host);
        QuotaDecision { exceeds: chance < ratio, ratio }
    }

    /// Books an attempt with its tenant, and the units of a first one; false if a hard limit is in its way.
    pub(crate) fn reserve(&mut self, id: &str, host: &mut impl Host) -> bool {
        let request = &self.requests[id];
        let QuotaRequest { tenant: id, units, .. } = request.quota.clone();
        let (first, booked) = (request.attempts == 0, request.is_counted);
        let Some(tenant) = self.tenants.get_mut(&id) else { return false };
        // A hard limit holds whatever the others do: the whole request fits this gateway's own share.
        if first && tenant.plan.hard_rate > 0.0 && tenant.hard_tokens < units {
            return false;
        }
        tenant.hard_tokens -= if first { units } else { 0.0 };
        tenant.in_flight += 1;
        if first && (tenant.is_counted || !booked) {
            tenant.tokens -= units;
            tenant.unreported.forwarded += units * f64::from(!booked); // what was asked for is in the sum already
            self.note_usage(&id, Units { offered: 0.0, forwarded: units }, host);
        }
        true
    }
}

impl Tenant {
    /// Brings the token bucket, the share of the hard limit and the demand up to now.
    pub fn update(&mut self, now: Timestamp, hears: bool) {
        let plan = self.plan.clone();
        let past = now - replace(&mut self.updated_at, now);
        let (share, part) = (self.share(hears), self.own_share());
        // By a reading the others draw what they forwarded of late, at most their part of the limit.
        let theirs =
            (plan.rate * past.as_secs() + self.tokens.max(0.0)) * (1.0 - part) * f64::from(share >= 1.0);
        let drawn = (self.peer_sent.last() - self.peer_sent.at(now, PERIOD * RECENT)).min(theirs).max(0.0);
        let filled = self.tokens + plan.rate * share * past.as_secs();
        self.tokens = (filled - drawn).max(self.tokens.min(0.0)).min(plan.burst * share);
        self.unfilled = (self.unfilled + filled - self.tokens).min(plan.burst);
        let hard_tokens = self.hard_tokens * self.gateways + plan.hard_rate * past.as_secs();
        self.hard_tokens = hard_tokens.min((1.0 - INITIAL) * plan.hard_burst) / self.gateways;
        self.demand.at(now, self.interval);
        self.peer_offered.at(now, PERIOD * RECENT);
    }

    /// The article's ratio for one request: (actual - limit) / actual, never below zero.
    fn excess_ratio(&self, units: f64, telling: Option<Duration>) -> f64 {
        let (plan, share) = (&self.plan, self.share(telling.is_some()));
        let out = 1.0 + f64::from(self.in_flight) / share;
        let legs_ratio =
            if plan.max_in_flight > 0 { excess(out, f64::from(plan.max_in_flight)) } else { 0.0 };
        // A full token bucket, or share of one, gives a request of any size.
        if plan.rate <= 0.0 || self.tokens >= plan.burst * share {
            return legs_ratio;
        }
        let others = self.peer_demand() * f64::from(share >= 1.0);
        // What peers may have forwarded since they notified is no longer in the token bucket.
        let store = self.tokens - telling.map_or(0.0, |telling| others.min(plan.rate) * telling.as_secs());
        // What the token bucket cannot hold is beyond the quota: chance is too coarse where requests are large.
        if store < units + self.reserve(telling.is_some()) {
            return 1.0;
        }
        excess(self.demand.last() + others, plan.rate * share * self.interval.as_secs() + store)
            .max(legs_ratio)
    }

    /// Books units forwarded inside the quota; below zero, units given back.
    pub fn spend(&mut self, units: f64) {
        self.tokens -= units;
        self.unreported.forwarded += units;
    }

    /// Units of the token bucket that are left for what others draw unseen.
    pub fn reserve(&self, hears: bool) -> f64 {
        self.reserve * f64::from(self.share(hears) >= 1.0)
    }

    /// What the others were offered of late in a beat.
    pub fn peer_demand(&self) -> f64 {
        self.peer_offered.last() * self.interval.ratio_to(PERIOD * RECENT)
    }

    /// The part of the quota that this gateway may give: all of it with a current reading or news of peers.
    /// Guards against a silent or crowded counter; hurts a tenant that moves here just then.
    pub fn share(&self, hears: bool) -> f64 {
        f64::max(self.own_share(), f64::from(self.read_at.is_some() && self.missed < RECENT || hears))
    }

    /// This gateway's part of the quota.
    fn own_share(&self) -> f64 {
        (1.0 / self.gateways).max(f64::from(self.is_controlled))
    }
}

/// The article's ratio: the part of what is offered that is beyond the limit, from 0 to 1.
pub fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}
