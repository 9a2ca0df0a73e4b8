//! The quota of one tenant: its usage in the current period, its rejection ratio and its grants.

use super::local_share::{Isolation, LocalShare};
use super::{Decision, GRANT_TIMEOUT, IDLE_TENANT_TIMEOUT, PERIOD};
use crate::ids::RequestId;
use kitepass_coordination::protocol::{TenantTotal, TenantUsage};
use kitepass_coordination::usage::RateLimit;
use kitepass_gateway_policy::excess;
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;

/// How long a ratio stays valid without new totals. Afterwards only grants or the local share decide.
const RATIO_VALIDITY: Duration = Duration::from_micros(3_000_000);
/// How long no further grants are requested after fewer were granted than requested. Meanwhile requests without a grant
/// are rejected at once.
const EXHAUSTED_TIME: Duration = Duration::from_micros(250_000);
/// How many consecutive idle periods of a tenant are still reported.
const REPORTED_IDLE_PERIODS: u32 = 1;
/// Weight of the latest period in the moving average of requests per period.
const EXPECTED_EWMA_WEIGHT: f64 = 0.4;
/// How many grants are held in advance, as a multiple of the expected requests.
const PREFETCH_FACTOR: f64 = 1.3;
/// Minimum number of expected requests per period for which grants are held in advance.
const MIN_EXPECTED_REQUESTS: f64 = 0.05;
/// How many grants may be held above the maximum before the excess is returned.
const RETURN_THRESHOLD: u32 = 2;
/// Maximum time between two totals that is taken into account for the remaining burst, in seconds.
const MAX_TOTALS_GAP_SECS: f64 = 3.0;

/// A grant request that has not been answered.
#[derive(Clone, Copy, Debug)]
struct GrantRequest {
    sent_at: Timestamp,
    requested: u32,
}

/// The quota of one tenant, as one gateway enforces it.
#[derive(Debug)]
pub(super) struct TenantQuota {
    rate_limit: RateLimit,
    /// Requests offered and forwarded in the current period.
    offered: u32,
    forwarded: u32,
    /// The probability with which a request is rejected.
    pub(super) rejection_ratio: f64,
    /// The estimated rest of the tenant's burst, computed from the totals received.
    remaining_burst: f64,
    totals_read_at: Option<Timestamp>,
    /// Grants received and not used.
    grants: u32,
    grant_request: Option<GrantRequest>,
    /// Requests that wait for a grant, in order of arrival.
    waiting: VecDeque<RequestId>,
    exhausted_until: Timestamp,
    /// Expected requests per period: a moving average.
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

    /// Counts a request, whether it is admitted or not.
    pub(super) fn record_request(&mut self, now: Timestamp, rate_limit: RateLimit) {
        self.rate_limit = rate_limit;
        self.last_request = now;
        self.idle_periods = 0;
        self.offered = self.offered.saturating_add(1);
    }

    /// Returns whether the ratio is recent enough to be used.
    pub(super) fn is_ratio_valid(&self, now: Timestamp) -> bool {
        self.totals_read_at.is_some_and(|read_at| now - read_at < RATIO_VALIDITY)
    }

    /// Returns whether the tenant must be kept.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        now - self.last_request < IDLE_TENANT_TIMEOUT || !self.waiting.is_empty()
    }

    /// Returns whether fewer grants than requested were received a moment ago.
    pub(super) fn is_exhausted(&self, now: Timestamp) -> bool {
        now < self.exhausted_until
    }

    pub(super) fn has_grants(&self) -> bool {
        self.grants > 0
    }

    /// Uses a grant for a request; always returns true.
    pub(super) fn take_grant(&mut self) -> bool {
        self.grants -= 1;
        self.forwarded = self.forwarded.saturating_add(1);
        true
    }

    /// Uses a token of the local share; returns whether there was one.
    pub(super) fn take_local(&mut self, now: Timestamp, isolation: Isolation) -> bool {
        let has_token = self.local_share.try_take(now, isolation, self.rate_limit);
        self.forwarded = self.forwarded.saturating_add(u32::from(has_token));
        has_token
    }

    /// Queues a request until a grant arrives. Returns the grant request to send, unless one is already in flight.
    pub(super) fn wait_for_grant(
        &mut self,
        now: Timestamp,
        tenant: &str,
        request: RequestId,
    ) -> Option<TenantUsage> {
        self.waiting.push_back(request);
        self.grant_request.is_none().then(|| self.request_grants(now, tenant))
    }

    /// Returns the grant request to send for the requests that still wait, if there are any.
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

    /// Ends a period; returns the usage to report, unless the tenant is idle.
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
        // Return unneeded grants so that other gateways can use them.
        let exceeds_threshold = self.grants > max_grants + RETURN_THRESHOLD;
        let returned = if exceeds_threshold { self.grants - max_grants } else { 0 };
        self.grants -= returned;
        // While a grant request is in flight, no other grants are requested.
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

    /// Receives the grants from the coordinator, and the share that it reserves for this gateway.
    pub(super) fn receive_grants(&mut self, now: Timestamp, total: &TenantTotal) {
        self.grants = self.grants.saturating_add(total.granted);
        self.local_share.set_reserved_share(now, f64::from(total.share));
    }

    /// Admits waiting requests in order of arrival while there are grants.
    pub(super) fn admit_waiting(&mut self, decisions: &mut Vec<Decision>) {
        while self.grants > 0 {
            let Some(request) = self.waiting.pop_front() else { return };
            self.take_grant();
            decisions.push(Decision { request, is_admitted: true });
        }
    }

    /// Takes the grant request in flight if the reply to a message sent at `sent_at` answers it; returns the number of
    /// grants requested.
    ///
    /// Invariant: a late reply to an earlier grant request, which has been given up, does not decide on requests that
    /// wait for the reply to the current one.
    pub(super) fn take_answered_grant_request(&mut self, sent_at: Timestamp) -> Option<u32> {
        let request = self.grant_request.take_if(|request| request.sent_at <= sent_at);
        request.map(|request| request.requested)
    }

    /// Rejects the waiting requests, because the quota is exhausted.
    pub(super) fn reject_waiting(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.exhausted_until = now + EXHAUSTED_TIME;
        let rejected = self.waiting.drain(..);
        decisions.extend(rejected.map(|request| Decision { request, is_admitted: false }));
    }

    /// Returns whether the grant request has been unanswered for too long.
    pub(super) fn has_overdue_grant_request(&self, now: Timestamp) -> bool {
        self.grant_request.is_some_and(|request| now - request.sent_at > GRANT_TIMEOUT)
    }

    /// Gives up the grant request: waiting requests are admitted from the local share or rejected.
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

    /// Computes the rejection ratio from the totals of all gateways in a period.
    pub(super) fn update_ratio(&mut self, now: Timestamp, total: &TenantTotal) {
        let RateLimit { rate, burst } = self.rate_limit;
        let gap =
            self.totals_read_at.map_or(PERIOD, |read_at| now - read_at).as_secs().min(MAX_TOTALS_GAP_SECS);
        // The burst regains what the rate leaves unused, and is reduced by what was forwarded beyond the rate.
        let forwarded = f64::from(total.forwarded) * gap;
        self.remaining_burst = (self.remaining_burst + rate * gap - forwarded).clamp(0.0, burst);
        let limit = rate * PERIOD.as_secs() + self.remaining_burst;
        self.rejection_ratio = excess(f64::from(total.offered), limit);
        self.totals_read_at = Some(now);
    }
}
