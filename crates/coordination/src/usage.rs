//! Usage counts and quota grants: counts the load of each tenant over all gateways per period, and decides how much of
//! it each gateway may forward.
//!
//! **Counts.** Each gateway reports the requests received in its last period, and receives the totals. The periods of
//! different gateways are not aligned, so a total is the sum of each gateway's most recent complete period.
//!
//! **Grants.** A quota applies to all gateways together in every time window, even if the load starts suddenly or moves
//! between gateways. Each tenant therefore has a token bucket that is filled at the tenant's rate, and a gateway
//! forwards only requests granted from it. Gateways with high load get a few requests in advance; those with low load
//! get them one by one. Requests that are granted but not used yet count as being in the bucket.
//!
//! **Partitions.** A gateway that cannot reach the coordinator uses its quota share, which depends half on its recent
//! load for the tenant and half on the number of gateways. The coordinator reserves these shares for the gateways that
//! it does not hear from.

#[cfg(test)]
mod tests;

use crate::protocol::{TenantTotal, TenantUsage, UsageReport, UsageTotals};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// How long a gateway's most recent period counts in the totals.
const PERIOD_VALIDITY: Duration = Duration::from_micros(1_700_000);
/// A gateway that has been silent for this long is assumed to use its quota share.
const GATEWAY_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// A gateway that has waited this long for a response from the coordinator uses its quota share. It is shorter than the
/// coordinator's timeout for gateways, which shortens the effect of losing the coordinator; the tolerance covers the
/// overlap.
pub const COORDINATOR_TIMEOUT: Duration = Duration::from_micros(1_300_000);
/// After this time, requests granted to a silent gateway are assumed to be used.
const GRANT_EXPIRY: Duration = Duration::from_micros(10_000_000);
/// How long the bucket of a tenant that no gateway reports is kept. It fills up meanwhile, and a full bucket grants
/// more than a new one would.
const IDLE_BUCKET_SECONDS: f64 = 60.0;
/// The fraction of the tolerance that a bucket can hold in addition to the burst.
const BUCKET_TOLERANCE_FRACTION: f64 = 0.6;
/// The fraction of the tolerance that a new coordinator's buckets start with. It comes out of the part of the tolerance
/// that buckets do not hold.
const INITIAL_TOLERANCE_FRACTION: f64 = 0.25;
/// The interval between two checks for silent gateways.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_micros(250_000);
/// The fraction of a bucket's capacity that is not granted in advance.
const PREFETCH_RESERVE_FRACTION: f64 = 0.4;
/// The number of tenants at which idle tenants are removed before another one is added.
const MAX_TENANTS: usize = 65_536;

/// A tenant's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second; 0 means no limit.
    pub rate: f64,
    /// Additional requests allowed in a burst.
    pub burst: f64,
}

/// How far the requests forwarded by all gateways together may exceed a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The window in which requests are counted, in seconds.
    pub window: f64,
    /// The permitted excess, as a fraction of what the limit allows in one window.
    pub excess: f64,
    /// The additional permitted excess, in requests.
    pub margin: f64,
}

impl QuotaTolerance {
    /// The number of requests that a bucket can hold in addition to the burst.
    pub fn allowance(self, rate_limit: RateLimit) -> f64 {
        BUCKET_TOLERANCE_FRACTION
            * (self.excess * (rate_limit.rate * self.window + rate_limit.burst) + self.margin)
    }
}

/// One gateway's use of one tenant's quota, in numbers of requests.
#[derive(Debug, Default)]
struct GatewayUsage {
    last_report_at: Timestamp,
    /// The end of the most recent period, and its counts. The default timestamp means that there is none.
    period_end: Timestamp,
    offered: f64,
    forwarded: f64,
    /// Granted requests that are not used yet.
    reserved: f64,
    /// The quota share that the gateway uses if it cannot reach the coordinator.
    share: f64,
}

impl GatewayUsage {
    fn has_recent_period(&self, now: Timestamp) -> bool {
        self.period_end != Timestamp::default() && now - self.period_end < PERIOD_VALIDITY
    }

    fn update(&mut self, now: Timestamp, usage: &TenantUsage, is_mid_period: bool) {
        self.last_report_at = now;
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
    /// The number of requests that can be granted.
    tokens: f64,
    filled_at: Timestamp,
    gateways: BTreeMap<String, GatewayUsage>,
}

impl TenantBucket {
    fn new(now: Timestamp, tokens: f64) -> TenantBucket {
        TenantBucket { tokens, filled_at: now, gateways: BTreeMap::new() }
    }

    fn expire_gateways(&mut self, now: Timestamp) {
        self.gateways.retain(|_, gateway| now - gateway.last_report_at < GRANT_EXPIRY);
    }

    /// Adds the tokens accrued since the last call and those returned by the gateway. The tokens and the gateways'
    /// unused grants together are limited to `capacity`.
    fn fill(&mut self, now: Timestamp, rate: f64, returned: f64, capacity: f64) {
        let reserved: f64 = self.gateways.values().map(|gateway| gateway.reserved).sum();
        let elapsed = (now - self.filled_at).as_secs();
        self.filled_at = now;
        let most = capacity - reserved;
        self.tokens = (self.tokens + rate * elapsed + returned).min(most.max(0.0));
    }

    /// Grants the requested number of tokens as far as available, and tokens in advance if the bucket is full enough.
    ///
    /// Tokens granted in advance are not available to other gateways, so the bucket keeps a reserve.
    fn grant(&mut self, usage: &TenantUsage, capacity: f64) -> f64 {
        let requested = f64::from(usage.requested).min(self.tokens.floor()).max(0.0);
        self.tokens -= requested;
        let available = self.tokens - PREFETCH_RESERVE_FRACTION * capacity;
        let prefetched = f64::from(usage.prefetch).min(available.floor()).max(0.0);
        self.tokens -= prefetched;
        requested + prefetched
    }

    fn sum_of_recent_periods(&self, now: Timestamp, count: fn(&GatewayUsage) -> f64) -> f64 {
        self.gateways.values().filter(|gateway| gateway.has_recent_period(now)).map(count).sum()
    }
}

/// The coordinator's usage counts and token buckets of all tenants.
pub struct UsageCounts {
    tenants: BTreeMap<String, TenantBucket>,
    last_heard: BTreeMap<String, Timestamp>,
    tolerance: QuotaTolerance,
    /// The live gateways that are silent, the total number of live gateways, and when these were last determined.
    silent_gateways: Vec<String>,
    live_count: usize,
    silence_checked_at: Timestamp,
}

impl UsageCounts {
    /// Creates empty counts. They are rebuilt from the gateways' reports within one period.
    ///
    /// New buckets start almost empty, because an earlier coordinator may just have granted everything.
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

    /// Processes a gateway's report, and returns the totals and grants.
    ///
    /// `live` contains the node IDs of the live gateways, and `rate_limit` returns a tenant's limit. Tenants without a
    /// limit are left out.
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

    /// Records that a gateway has reported. Silent gateways are determined only occasionally, because doing so for each
    /// report would cost time quadratic in the number of gateways.
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
        let initial_tokens = INITIAL_TOLERANCE_FRACTION / BUCKET_TOLERANCE_FRACTION * allowance;
        let equal_share = 1.0 / self.live_count.max(1) as f64;
        let new_bucket = || TenantBucket::new(now, initial_tokens);
        let bucket = self.tenants.entry(usage.tenant.clone()).or_insert_with(new_bucket);
        bucket.expire_gateways(now);
        let gateway = bucket.gateways.entry(report.node_id.clone()).or_default();
        gateway.update(now, usage, report.is_mid_period);
        let share_of =
            |node_id: &String| bucket.gateways.get(node_id).map_or(equal_share, |gateway| gateway.share);
        let reachable_share = (1.0 - self.silent_gateways.iter().map(share_of).sum::<f64>()).max(0.0);
        bucket.fill(now, rate_limit.rate * reachable_share, f64::from(usage.returned), capacity);
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

    /// Removes tenants that no gateway reports, and gateways that are gone.
    pub fn expire(&mut self, now: Timestamp) {
        self.tenants.retain(|_, bucket| {
            bucket.expire_gateways(now);
            !bucket.gateways.is_empty() || (now - bucket.filled_at).as_secs() < IDLE_BUCKET_SECONDS
        });
        self.last_heard.retain(|_, at| now - *at < GRANT_EXPIRY);
    }

    /// The number of tenants that are tracked.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is tracked.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
