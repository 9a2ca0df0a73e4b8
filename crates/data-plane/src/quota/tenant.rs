//! The quota of one tenant: its usage in the present period, the rejection ratio, and its grants.

use super::local_share::{Isolation, LocalShare};
use super::{Decision, GRANT_TIMEOUT, IDLE_TENANT_TIMEOUT, PERIOD};
use crate::ids::RequestId;
use kitepass_coordination::protocol::{TenantTotal, TenantUsage};
use kitepass_coordination::usage::RateLimit;
use kitepass_gateway_policy::excess;
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;

/// A ratio that the count has not renewed is valid for so long; then the local share alone decides.
const RATIO_VALIDITY: Duration = Duration::from_micros(3_000_000);
/// After a grant that fell short no more are requested for so long: what exceeds the grants is rejected at once.
const EXHAUSTED_TIME: Duration = Duration::from_micros(250_000);
/// Periods in a row, after its last request, in which a tenant's usage is still reported.
const REPORTED_IDLE_PERIODS: u32 = 1;
/// Weight of the newest period in the requests expected_requests of the next.
const EXPECTED_EWMA_WEIGHT: f64 = 0.4;
/// How many grants are held in advance, as a multiple of the requests expected_requests.
const PREFETCH_FACTOR: f64 = 1.3;
/// A tenant of which fewer requests a period are expected_requests has no grant held in advance.
const MIN_EXPECTED_REQUESTS: f64 = 0.05;
/// Grants that may be held beyond the target_grants before they are returned.
const RETURN_THRESHOLD: u32 = 2;
/// Longest time between two totals that counts for the remaining burst, in seconds.
const MAX_TOTALS_GAP_SECS: f64 = 3.0;

/// A request for grants that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct GrantRequest {
    sent_at: Timestamp,
    requested: u32,
}

/// The quota of one tenant, as one gateway keeps it.
#[derive(Debug)]
pub(super) struct TenantQuota {
    rate_limit: RateLimit,
    /// Requests offered and forwarded in the present period.
    offered: u32,
    forwarded: u32,
    /// The probability with which a request is rejected.
    pub(super) rejection_ratio: f64,
    /// Requests of the tenant's burst that are thought to be left, from the totals read.
    remaining_burst: f64,
    totals_read_at: Option<Timestamp>,
    /// Requests granted and not used.
    grants: u32,
    grant_request: Option<GrantRequest>,
    /// Requests that wait for a grant, in the order in which they came.
    waiting: VecDeque<RequestId>,
    exhausted_until: Timestamp,
    /// Requests expected_requests in a period, by the recent ones.
    expected_requests: f64,
    local_share: LocalShare,
    last_request: Timestamp,
    idle_periods: u32,
}

impl TenantQuota {
    pub(super) fn new(now: Timestamp, rate_limit: RateLimit, local_share: LocalShare) -> TenantQuota {
        TenantQuota {
            rate_limit,
            offered: 0,
            forwarded: 0,
            rejection_ratio: 0.0,
            remaining_burst: rate_limit.burst,
            totals_read_at: None,
            grants: 0,
            grant_request: None,
            waiting: VecDeque::new(),
            exhausted_until: Timestamp::default(),
            expected_requests: 0.0,
            local_share,
            last_request: now,
            idle_periods: 0,
        }
    }

    /// Counts a request, admitted or not.
    pub(super) fn record_request(&mut self, now: Timestamp, rate_limit: RateLimit) {
        self.rate_limit = rate_limit;
        self.last_request = now;
        self.idle_periods = 0;
        self.offered = self.offered.saturating_add(1);
    }

    /// Whether the ratio was renewed lately.
    pub(super) fn is_ratio_valid(&self, now: Timestamp) -> bool {
        self.totals_read_at.is_some_and(|read_at| now - read_at < RATIO_VALIDITY)
    }

    /// Whether the tenant is to be remembered.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        now - self.last_request < IDLE_TENANT_TIMEOUT || !self.waiting.is_empty()
    }

    /// Whether a grant fell short a moment ago.
    pub(super) fn is_exhausted(&self, now: Timestamp) -> bool {
        now < self.exhausted_until
    }

    pub(super) fn has_grants(&self) -> bool {
        self.grants > 0
    }

    /// Uses a grant; true, as a request is admitted by it.
    pub(super) fn take_grant(&mut self) -> bool {
        self.grants -= 1;
        self.forwarded = self.forwarded.saturating_add(1);
        true
    }

    /// Uses a token of this gateway's own share; whether there was one.
    pub(super) fn take_local(&mut self, now: Timestamp, isolation: Isolation) -> bool {
        let has_token = self.local_share.try_take(now, isolation, self.rate_limit);
        self.forwarded = self.forwarded.saturating_add(u32::from(has_token));
        has_token
    }

    /// A request waits for a grant; the request for grants to send, if none is on its way.
    pub(super) fn wait_for_grant(
        &mut self,
        now: Timestamp,
        tenant: &str,
        request: RequestId,
    ) -> Option<TenantUsage> {
        self.waiting.push_back(request);
        self.grant_request.is_none().then(|| self.request_grants(now, tenant))
    }

    /// The request for grants to send for those that still wait, if any do.
    pub(super) fn request_more_grants(&mut self, now: Timestamp, tenant: &str) -> Option<TenantUsage> {
        (!self.waiting.is_empty()).then(|| self.request_grants(now, tenant))
    }

    fn request_grants(&mut self, now: Timestamp, tenant: &str) -> TenantUsage {
        let requested = self.waiting.len() as u32;
        self.grant_request = Some(GrantRequest { sent_at: now, requested });
        TenantUsage {
            tenant: tenant.to_owned(),
            reserved: self.grants,
            requested,
            prefetch: 1 + (self.expected_requests / 4.0) as u32,
            ..TenantUsage::default()
        }
    }

    /// Ends a period: the usage to report, unless the tenant is idle.
    pub(super) fn close_period(&mut self, tenant: &str) -> Option<TenantUsage> {
        self.expected_requests += (f64::from(self.offered) - self.expected_requests) * EXPECTED_EWMA_WEIGHT;
        if self.offered == 0 {
            self.idle_periods += 1;
            if self.idle_periods > REPORTED_IDLE_PERIODS && self.grants == 0 {
                return None;
            }
        }
        let offered = std::mem::take(&mut self.offered);
        let forwarded = std::mem::take(&mut self.forwarded);
        let target_grants = (self.expected_requests * PREFETCH_FACTOR).floor() as u32;
        let max_grants = if self.expected_requests > MIN_EXPECTED_REQUESTS { target_grants + 1 } else { 0 };
        // Grants that are not needed are returned, for the other gateways.
        let exceeds_threshold = self.grants > max_grants + RETURN_THRESHOLD;
        let returned = if exceeds_threshold { self.grants - max_grants } else { 0 };
        self.grants -= returned;
        // While a request for grants is on its way no others are asked for.
        let may_request = self.grant_request.is_none();
        let requested = if may_request { target_grants.saturating_sub(self.grants) } else { 0 };
        let prefetch = if may_request { max_grants.saturating_sub(self.grants + requested) } else { 0 };
        Some(TenantUsage {
            tenant: tenant.to_owned(),
            offered,
            forwarded,
            reserved: self.grants,
            requested,
            returned,
            prefetch,
        })
    }

    /// Takes what the count's owner grants, and the share that it reserves for this gateway.
    pub(super) fn receive_grants(&mut self, now: Timestamp, total: &TenantTotal) {
        self.grants = self.grants.saturating_add(total.granted);
        self.local_share.set_reserved_share(now, f64::from(total.share));
    }

    /// Admits those that wait, first come first served, as far as there are grants.
    pub(super) fn admit_waiting(&mut self, decisions: &mut Vec<Decision>) {
        while self.grants > 0 {
            let Some(request) = self.waiting.pop_front() else { return };
            self.take_grant();
            decisions.push(Decision { request, is_admitted: true });
        }
    }

    /// The number of grants requested, if an answer to what was sent at `sent_at` answers the request on its way.
    ///
    /// Invariant: a late answer to an earlier request, given up since, decides nothing for those that wait for the
    /// answer to this one.
    pub(super) fn take_answered_grant_request(&mut self, sent_at: Timestamp) -> Option<u32> {
        let request = self.grant_request.take_if(|request| request.sent_at <= sent_at);
        request.map(|request| request.requested)
    }

    /// Rejects those that wait, as the quota is exhausted.
    pub(super) fn reject_waiting(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.exhausted_until = now + EXHAUSTED_TIME;
        let rejected = self.waiting.drain(..);
        decisions.extend(rejected.map(|request| Decision { request, is_admitted: false }));
    }

    /// Whether a request for grants has been without an answer for too long.
    pub(super) fn has_overdue_grant_request(&self, now: Timestamp) -> bool {
        self.grant_request.is_some_and(|request| now - request.sent_at > GRANT_TIMEOUT)
    }

    /// Gives up the request for grants: those that wait are admitted by the local share, or rejected.
    pub(super) fn give_up_grant_request(
        &mut self,
        now: Timestamp,
        isolation: Option<Isolation>,
        decisions: &mut Vec<Decision>,
    ) {
        self.grant_request = None;
        while let Some(request) = self.waiting.pop_front() {
            let is_admitted = isolation.is_some_and(|isolation| self.take_local(now, isolation));
            decisions.push(Decision { request, is_admitted });
        }
    }

    /// Computes the rejection ratio from a period's totals of all gateways.
    pub(super) fn update_ratio(&mut self, now: Timestamp, total: &TenantTotal) {
        let RateLimit { rate, burst } = self.rate_limit;
        let gap =
            self.totals_read_at.map_or(PERIOD, |read_at| now - read_at).as_secs().min(MAX_TOTALS_GAP_SECS);
        // The burst is refilled by what the rate leaves, and used by what was forwarded beyond it.
        let forwarded = f64::from(total.forwarded) * gap;
        self.remaining_burst = (self.remaining_burst + rate * gap - forwarded).clamp(0.0, burst);
        let limit = rate * PERIOD.as_secs() + self.remaining_burst;
        self.rejection_ratio = excess(f64::from(total.offered), limit);
        self.totals_read_at = Some(now);
    }
}
