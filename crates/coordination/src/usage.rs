//! Usage counts and quota grants: what each tenant asked of all gateways, period by period, and who may forward how much
//! of it.
//!
//! **Counts.** A gateway reports what it was offered in its last period, and reads the totals. The periods of gateways do
//! not begin together, so that the total of a period is the sum of each gateway's newest complete one.
//!
//! **Grants.** A quota binds over all gateways in every window, however suddenly a load begins and wherever it moves. So
//! there is a token bucket for each tenant, filled at the tenant's rate, and a gateway forwards only what it was granted
//! from it: a few requests in advance where it is offered many, one by one where it is offered few. What gateways have
//! been granted and not used counts as being in the bucket.
//!
//! **Partitions.** A gateway that hears nothing of the coordinator goes by its quota share: half by what it was offered of
//! the tenant lately, half by the number of gateways. The coordinator leaves that share to the gateways that it does not
//! hear.

#[cfg(test)]
mod tests;

use crate::protocol::{TenantTotal, TenantUsage, UsageReport, UsageTotals};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// How long a gateway's newest period counts in the totals.
const PERIOD_VALIDITY: Duration = Duration::from_micros(1_700_000);
/// A gateway that has not been heard for this long is assumed to go by its quota share.
const GATEWAY_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// A gateway that has waited this long for an answer goes by its quota share. This is shorter than the coordinator's
/// time-out for gateways: the tolerance covers the overlap, and the loss of a coordinator is felt for a shorter time.
pub const COORDINATOR_TIMEOUT: Duration = Duration::from_micros(1_300_000);
/// What a silent gateway was granted is assumed to be used up after this time.
const GRANT_EXPIRY: Duration = Duration::from_micros(10_000_000);
/// How many seconds a bucket that no gateway reports to is kept. It fills meanwhile, and a full one grants more than a new
/// one would.
const IDLE_BUCKET_SECONDS: f64 = 60.0;
/// The part of the tolerance that a bucket holds beside the burst.
const TOLERANCE_IN_BUCKET: f64 = 0.6;
/// The part of the tolerance that a new coordinator's buckets begin with: some of what is left beside the part above.
const INITIAL_TOLERANCE: f64 = 0.25;
/// Time between two evaluations of which gateways are silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_micros(250_000);
/// The part of a full bucket below which nothing is granted in advance.
const PREFETCH_RESERVE: f64 = 0.4;
/// With this many tenants, those that nobody reports any more are forgotten before another is added.
const MAX_TENANTS: usize = 65_536;

/// A tenant's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests a second; no limit at 0.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
}

/// By how much the forwarded requests of all gateways together may exceed a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The window in which requests are counted, in seconds.
    pub window: f64,
    /// The excess as a part of what a window allows.
    pub excess: f64,
    /// The excess on top of that, in requests.
    pub margin: f64,
}

impl QuotaTolerance {
    /// Requests that a bucket holds on top of the burst.
    pub fn allowance(self, rate_limit: RateLimit) -> f64 {
        TOLERANCE_IN_BUCKET * (self.excess * (rate_limit.rate * self.window + rate_limit.burst) + self.margin)
    }
}

/// What is known of one gateway's use of one tenant's quota; numbers of requests.
#[derive(Debug, Default)]
struct GatewayUsage {
    last_asked_at: Timestamp,
    /// The end of the newest period, and what it had. The default stands for none.
    period_end: Timestamp,
    offered: f64,
    forwarded: f64,
    /// Granted and not used.
    reserved: f64,
    /// The quota share that it goes by if it is partitioned from the coordinator.
    share: f64,
}

impl GatewayUsage {
    fn has_recent_period(&self, now: Timestamp) -> bool {
        self.period_end != Timestamp::default() && now - self.period_end < PERIOD_VALIDITY
    }

    fn update(&mut self, now: Timestamp, usage: &TenantUsage, is_mid_period: bool) {
        self.last_asked_at = now;
        self.reserved = f64::from(usage.reserved);
        if !is_mid_period {
            self.period_end = now;
            self.offered = f64::from(usage.offered);
            self.forwarded = f64::from(usage.forwarded);
        }
    }
}

/// One tenant's token bucket, and the gateways that use it.
#[derive(Debug)]
struct TenantBucket {
    /// Requests that can be granted.
    tokens: f64,
    filled_at: Timestamp,
    gateways: BTreeMap<String, GatewayUsage>,
}

impl TenantBucket {
    fn new(now: Timestamp, tokens: f64) -> TenantBucket {
        TenantBucket { tokens, filled_at: now, gateways: BTreeMap::new() }
    }

    fn expire_gateways(&mut self, now: Timestamp) {
        self.gateways.retain(|_, gateway| now - gateway.last_asked_at < GRANT_EXPIRY);
    }

    /// Adds what has flowed in since the last time, up to `capacity` beside what gateways have reserved.
    fn fill(&mut self, now: Timestamp, rate: f64, returned: f64, capacity: f64) {
        let reserved: f64 = self.gateways.values().map(|gateway| gateway.reserved).sum();
        let elapsed = (now - self.filled_at).as_secs();
        self.filled_at = now;
        let most = capacity - reserved;
        self.tokens = (self.tokens + rate * elapsed + returned).min(most.max(0.0));
    }

    /// Takes out what is requested, as far as there is, and of a well-filled bucket what is asked for in advance.
    ///
    /// What is held in advance is out of the others' reach: so the bucket keeps a reserve of it.
    fn grant(&mut self, usage: &TenantUsage, capacity: f64) -> f64 {
        let requested = f64::from(usage.requested).min(self.tokens.floor()).max(0.0);
        self.tokens -= requested;
        let plenty = self.tokens - PREFETCH_RESERVE * capacity;
        let prefetched = f64::from(usage.prefetch).min(plenty.floor()).max(0.0);
        self.tokens -= prefetched;
        requested + prefetched
    }

    fn sum_of_recent_periods(&self, now: Timestamp, count: fn(&GatewayUsage) -> f64) -> f64 {
        self.gateways.values().filter(|gateway| gateway.has_recent_period(now)).map(count).sum()
    }
}

/// The usage counts and buckets of all tenants, as the coordinator holds them.
pub struct UsageCounts {
    tenants: BTreeMap<String, TenantBucket>,
    last_heard: BTreeMap<String, Timestamp>,
    tolerance: QuotaTolerance,
    /// The live gateways that are not heard, of how many live ones, and when that was evaluated.
    silent_gateways: Vec<String>,
    live_count: usize,
    silence_checked_at: Timestamp,
}

impl UsageCounts {
    /// Counts begin empty, and are rebuilt from the reports: after one period each gateway has reported.
    ///
    /// Buckets begin with next to nothing, as an earlier coordinator may have granted all there was a moment ago.
    pub fn new(tolerance: QuotaTolerance) -> UsageCounts {
        UsageCounts {
            tenants: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            tolerance,
            silent_gateways: Vec::new(),
            live_count: 0,
            silence_checked_at: Timestamp::default(),
        }
    }

    /// Takes a gateway's report, and gives the totals with what is granted.
    ///
    /// `live` are the node ids of the gateways that count as live; `rate_limit` gives a tenant's limit. Tenants without
    /// one are left out.
    pub fn record(
        &mut self,
        now: Timestamp,
        report: &UsageReport,
        live: &[String],
        rate_limit: impl Fn(&str) -> Option<RateLimit>,
    ) -> UsageTotals {
        self.report_received(now, &report.node_id, live);
        let mut totals = Vec::with_capacity(report.tenants.len());
        for usage in &report.tenants {
            if let Some(rate_limit) = rate_limit(&usage.tenant).filter(|rate_limit| rate_limit.rate > 0.0) {
                totals.push(self.record_tenant(now, report, usage, rate_limit));
            }
        }
        UsageTotals {
            request_id: report.request_id,
            node_id: report.node_id.clone(),
            tenants: totals,
            incarnation: report.incarnation,
            is_mid_period: report.is_mid_period,
        }
    }

    /// Which gateways are silent is evaluated now and then only: at each report, the effort would grow with the square of
    /// the number of gateways.
    fn report_received(&mut self, now: Timestamp, node_id: &str, live: &[String]) {
        let last_heard = self.last_heard.insert(node_id.to_owned(), now);
        let was_heard = last_heard.is_some_and(|at| now - at < GATEWAY_TIMEOUT);
        let is_check_due = now - self.silence_checked_at >= SILENCE_CHECK_INTERVAL;
        if was_heard && !is_check_due && self.live_count == live.len() {
            return;
        }
        let is_silent =
            |node_id: &&String| self.last_heard.get(*node_id).is_none_or(|at| now - *at >= GATEWAY_TIMEOUT);
        self.silent_gateways = live.iter().filter(is_silent).cloned().collect();
        self.live_count = live.len();
        self.silence_checked_at = now;
    }

    fn record_tenant(
        &mut self,
        now: Timestamp,
        report: &UsageReport,
        usage: &TenantUsage,
        rate_limit: RateLimit,
    ) -> TenantTotal {
        if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(&usage.tenant) {
            self.expire(now);
        }
        let allowance = self.tolerance.allowance(rate_limit);
        let capacity = rate_limit.burst + allowance;
        let initial_tokens = INITIAL_TOLERANCE / TOLERANCE_IN_BUCKET * allowance;
        let equal_share = 1.0 / self.live_count.max(1) as f64;
        let new_bucket = || TenantBucket::new(now, initial_tokens);
        let bucket = self.tenants.entry(usage.tenant.clone()).or_insert_with(new_bucket);
        bucket.expire_gateways(now);
        let gateway = bucket.gateways.entry(report.node_id.clone()).or_default();
        gateway.update(now, usage, report.is_mid_period);
        let share_of =
            |node_id: &String| bucket.gateways.get(node_id).map_or(equal_share, |gateway| gateway.share);
        let heard_share = (1.0 - self.silent_gateways.iter().map(share_of).sum::<f64>()).max(0.0);
        bucket.fill(now, rate_limit.rate * heard_share, f64::from(usage.returned), capacity);
        let granted = bucket.grant(usage, capacity);
        let offered = bucket.sum_of_recent_periods(now, |gateway| gateway.offered);
        let forwarded = bucket.sum_of_recent_periods(now, |gateway| gateway.forwarded);
        let gateway = bucket.gateways.entry(report.node_id.clone()).or_default();
        gateway.reserved += granted;
        if !report.is_mid_period || gateway.share == 0.0 {
            gateway.share = (gateway.offered / offered.max(1.0) + equal_share) / 2.0;
        }
        TenantTotal {
            tenant: usage.tenant.clone(),
            offered: offered as f32,
            forwarded: forwarded as f32,
            granted: granted as u32,
            share: gateway.share as f32,
        }
    }

    /// Forgets tenants that nobody reports, and gateways that are gone.
    pub fn expire(&mut self, now: Timestamp) {
        self.tenants.retain(|_, bucket| {
            bucket.expire_gateways(now);
            !bucket.gateways.is_empty() || (now - bucket.filled_at).as_secs() < IDLE_BUCKET_SECONDS
        });
        self.last_heard.retain(|_, at| now - *at < GRANT_EXPIRY);
    }

    /// The number of tenants that are counted.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is counted.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
