//! Per-tenant quotas: probabilistic admission against a shared usage count. No input or output; `docs/system.md` has
//! the design and the departures from it.
//!
//! The ordinary path: each second, on its own timer, a gateway reports to the shared count what each tenant offered
//! it, and reads the totals. `ratio = (actual - limit) / actual`, where `limit = rate x period + remaining burst`.
//! Each request is rejected with that probability, before a backend is selected.
//!
//! Departures, behind the draw. What passes it takes one of the tenant's grants, which the owner of the count hands
//! out: in advance where a gateway is offered many requests, one by one where it is offered few. They act where the
//! ratio cannot know yet, as when a demand many times the usual begins between two periods. While the count does not
//! answer, the last ratio stays valid for a while, and behind it stands this gateway's own share of the limit.

mod local_share;
mod tenant;
#[cfg(test)]
mod tests;

use crate::ids::RequestId;
use kitepass_coordination::protocol::{TenantTotal, TenantUsage, UsageTotals};
use kitepass_coordination::usage::{QuotaTolerance, RateLimit, COORDINATOR_TIMEOUT};
use kitepass_time::{Duration, Timestamp};
use local_share::{Isolation, LocalShare};
use std::collections::BTreeMap;
use std::sync::Arc;
use tenant::TenantQuota;

/// How often a gateway reports its usage and reads the totals.
pub const PERIOD: Duration = Duration::from_micros(1_000_000);
/// A request waits for a grant at most so long.
const GRANT_TIMEOUT: Duration = Duration::from_micros(400_000);
/// A tenant without requests is forgotten after so long.
const IDLE_TENANT_TIMEOUT: Duration = Duration::from_micros(30_000_000);
/// Tenants counted at most.
const MAX_TENANTS: usize = 65_536;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is within its tenant's quota.
    Admitted,
    /// It is beyond its tenant's quota.
    Rejected,
    /// It waits for a grant; [`Quota::take_decisions`] tells what becomes of it.
    Pending,
}

/// What became of a request that waited for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Whether it goes on; else it is rejected.
    pub is_admitted: bool,
}

/// The quotas of all tenants, as one gateway keeps them.
pub struct Quota {
    tenants: BTreeMap<Arc<str>, TenantQuota>,
    rng: oorandom::Rand64,
    live_gateways: usize,
    tolerance: QuotaTolerance,
    started_at: Timestamp,
    /// When the newest report that was answered had been sent.
    last_answered_report: Option<Timestamp>,
    grant_requests: Vec<TenantUsage>,
    decisions: Vec<Decision>,
}

impl Quota {
    /// Quotas without any tenant.
    pub fn new(now: Timestamp, seed: u64, tolerance: QuotaTolerance) -> Quota {
        Quota {
            tenants: BTreeMap::new(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            live_gateways: 1,
            tolerance,
            started_at: now,
            last_answered_report: None,
            grant_requests: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Takes the bound on what may pass beyond the limit.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// Takes the number of gateways that count as live.
    pub fn set_live_gateways(&mut self, live_gateways: usize) {
        self.live_gateways = live_gateways.max(1);
    }

    /// The isolation of this gateway from the count, if no report has been answered for long.
    fn isolation(&self, now: Timestamp) -> Option<Isolation> {
        let since =
            self.last_answered_report.map_or(self.started_at, |answered| answered + COORDINATOR_TIMEOUT);
        let isolation =
            Isolation { since, live_gateways: self.live_gateways as f64, tolerance: self.tolerance };
        (now >= since).then_some(isolation)
    }

    /// Whether a request is admitted. A rate of zero is no limit.
    pub fn admit(
        &mut self,
        now: Timestamp,
        tenant: &Arc<str>,
        rate_limit: RateLimit,
        request: RequestId,
    ) -> Admission {
        if rate_limit.rate <= 0.0 {
            return Admission::Admitted;
        }
        let isolation = self.isolation(now);
        self.ensure_tenant(now, tenant, rate_limit);
        let Some(tenant_quota) = self.tenants.get_mut(tenant) else {
            return Admission::Rejected; // fail closed: what is not counted would pass without limit
        };
        tenant_quota.record_request(now, rate_limit);
        if tenant_quota.is_ratio_valid(now) && self.rng.rand_float() < tenant_quota.rejection_ratio {
            return Admission::Rejected;
        }
        let is_admitted = match isolation {
            _ if tenant_quota.has_grants() => tenant_quota.take_grant(),
            Some(isolation) => tenant_quota.take_local(now, isolation),
            None if tenant_quota.is_exhausted(now) => false,
            None => {
                self.grant_requests.extend(tenant_quota.wait_for_grant(now, tenant, request));
                return Admission::Pending;
            }
        };
        if is_admitted {
            Admission::Admitted
        } else {
            Admission::Rejected
        }
    }

    /// Counts a tenant from now on, unless there are too many.
    fn ensure_tenant(&mut self, now: Timestamp, tenant: &Arc<str>, rate_limit: RateLimit) {
        if self.tenants.contains_key(tenant) || self.tenants.len() >= MAX_TENANTS {
            return;
        }
        let local_share = LocalShare::new(now, rate_limit, self.tolerance, self.live_gateways);
        self.tenants.insert(tenant.clone(), TenantQuota::new(now, rate_limit, local_share));
    }

    /// Ends a period: the usage to report to the count.
    pub fn close_period(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        self.tenants.retain(|_, tenant_quota| tenant_quota.is_active(now));
        self.tenants
            .iter_mut()
            .filter_map(|(tenant, tenant_quota)| tenant_quota.close_period(tenant))
            .collect()
    }

    /// Takes the requests for grants that are to be sent before the period ends.
    pub fn take_grant_requests(&mut self) -> Vec<TenantUsage> {
        std::mem::take(&mut self.grant_requests)
    }

    /// Takes the decisions on requests that waited for a grant.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// The count has answered a report that was sent at `sent_at`.
    pub fn apply_totals(&mut self, now: Timestamp, sent_at: Timestamp, totals: &UsageTotals) {
        self.last_answered_report = self.last_answered_report.max(Some(sent_at));
        for total in &totals.tenants {
            if totals.is_mid_period {
                self.apply_grant(now, sent_at, total);
            } else if let Some(tenant_quota) = self.tenants.get_mut(total.tenant.as_str()) {
                tenant_quota.receive_grants(now, total);
                tenant_quota.admit_waiting(&mut self.decisions);
                tenant_quota.update_ratio(now, total);
            }
        }
    }

    /// The answer to a request for grants, for one tenant.
    fn apply_grant(&mut self, now: Timestamp, sent_at: Timestamp, total: &TenantTotal) {
        let Some(tenant_quota) = self.tenants.get_mut(total.tenant.as_str()) else { return };
        tenant_quota.receive_grants(now, total);
        tenant_quota.admit_waiting(&mut self.decisions);
        let Some(requested) = tenant_quota.take_answered_grant_request(sent_at) else { return };
        if total.granted < requested {
            tenant_quota.reject_waiting(now, &mut self.decisions);
        } else {
            self.grant_requests.extend(tenant_quota.request_more_grants(now, &total.tenant));
        }
    }

    /// To be called about ten times a second: decides on requests whose grant does not come.
    pub fn tick(&mut self, now: Timestamp) {
        let is_overdue = |tenant_quota: &TenantQuota| tenant_quota.has_overdue_grant_request(now);
        if self.tenants.values().any(is_overdue) && self.isolation(now).is_none() {
            // Nothing is answered: this gateway is isolated from now on, not only after the whole time.
            self.last_answered_report = Some(now - COORDINATOR_TIMEOUT);
        }
        let isolation = self.isolation(now);
        for tenant_quota in self.tenants.values_mut().filter(|tenant_quota| is_overdue(tenant_quota)) {
            tenant_quota.give_up_grant_request(now, isolation, &mut self.decisions);
        }
    }

    /// The number of tenants counted.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is counted.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
