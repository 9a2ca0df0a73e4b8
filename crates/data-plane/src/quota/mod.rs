//! Per-tenant quotas: probabilistic admission based on shared usage counts, which the control plane's coordinator
//! keeps. This module does no I/O. `docs/system.md` describes the design and where this module extends it.
//!
//! The basic mechanism: once a second, on its own timer, each gateway reports to the coordinator how many requests each
//! tenant offered it, and receives the totals over all gateways. `ratio = (actual - limit) / actual`, where `limit =
//! rate x period + remaining burst`. Each request is rejected with that probability, before a backend is selected.
//!
//! The extensions: a request that is not rejected that way uses one of the tenant's grants. The coordinator hands them
//! out in advance to a gateway with many requests, and one by one to a gateway with few. Grants limit what the ratio
//! cannot reflect yet, for example load that rises to many times its usual level between two periods. While the
//! coordinator does not reply, the last ratio stays valid for a while, and the gateway's local share of the limit
//! replaces the grants.

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

/// How often a gateway reports its usage and receives the totals.
pub const PERIOD: Duration = Duration::from_micros(1_000_000);
/// How long a request waits for a grant at most.
const GRANT_TIMEOUT: Duration = Duration::from_micros(400_000);
/// How long a tenant without requests is remembered.
const IDLE_TENANT_TIMEOUT: Duration = Duration::from_micros(30_000_000);
/// Maximum number of tenants counted.
const MAX_TENANTS: usize = 65_536;

/// The immediate result for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is within its tenant's quota.
    Admitted,
    /// The request exceeds its tenant's quota.
    Rejected,
    /// The request waits for a grant; [`Quota::take_decisions`] will return the decision.
    Pending,
}

/// The decision on a request that waited for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Whether the request is admitted; otherwise it is rejected.
    pub is_admitted: bool,
}

/// The quotas of all tenants, as one gateway enforces them.
pub struct Quota {
    tenants: BTreeMap<Arc<str>, TenantQuota>,
    rng: oorandom::Rand64,
    live_gateways: usize,
    tolerance: QuotaTolerance,
    started_at: Timestamp,
    /// When the latest report that got a reply was sent.
    last_answered_report: Option<Timestamp>,
    grant_requests: Vec<TenantUsage>,
    decisions: Vec<Decision>,
}

impl Quota {
    /// Creates quotas without any tenants.
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

    /// Sets by how much the admitted requests may exceed the limit.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the number of live gateways.
    pub fn set_live_gateways(&mut self, live_gateways: usize) {
        self.live_gateways = live_gateways.max(1);
    }

    /// Returns the isolation of this gateway if no report has been answered for too long.
    fn isolation(&self, now: Timestamp) -> Option<Isolation> {
        let since =
            self.last_answered_report.map_or(self.started_at, |answered| answered + COORDINATOR_TIMEOUT);
        let isolation =
            Isolation { since, live_gateways: self.live_gateways as f64, tolerance: self.tolerance };
        (now >= since).then_some(isolation)
    }

    /// Decides whether a request is admitted. A rate of zero means no limit.
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
            return Admission::Rejected; // fail closed: uncounted requests would not be limited
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

    /// Starts counting a tenant, unless there are too many.
    fn ensure_tenant(&mut self, now: Timestamp, tenant: &Arc<str>, rate_limit: RateLimit) {
        if self.tenants.contains_key(tenant) || self.tenants.len() >= MAX_TENANTS {
            return;
        }
        let local_share = LocalShare::new(now, rate_limit, self.tolerance, self.live_gateways);
        self.tenants.insert(tenant.clone(), TenantQuota::new(now, rate_limit, local_share));
    }

    /// Ends a period; returns the usage to report to the coordinator.
    pub fn close_period(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        self.tenants.retain(|_, tenant_quota| tenant_quota.is_active(now));
        self.tenants
            .iter_mut()
            .filter_map(|(tenant, tenant_quota)| tenant_quota.close_period(tenant))
            .collect()
    }

    /// Takes the grant requests to send before the period ends.
    pub fn take_grant_requests(&mut self) -> Vec<TenantUsage> {
        std::mem::take(&mut self.grant_requests)
    }

    /// Takes the decisions on requests that waited for a grant.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Handles the coordinator's reply to a report that was sent at `sent_at`.
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

    /// Handles the reply to a grant request, for one tenant.
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

    /// Decides on requests whose grant has not arrived in time. To be called about ten times a second.
    pub fn tick(&mut self, now: Timestamp) {
        let is_overdue = |tenant_quota: &TenantQuota| tenant_quota.has_overdue_grant_request(now);
        if self.tenants.values().any(is_overdue) && self.isolation(now).is_none() {
            // The coordinator does not reply: the gateway counts as isolated at once, before the full timeout.
            self.last_answered_report = Some(now - COORDINATOR_TIMEOUT);
        }
        let isolation = self.isolation(now);
        for tenant_quota in self.tenants.values_mut().filter(|tenant_quota| is_overdue(tenant_quota)) {
            tenant_quota.give_up_grant_request(now, isolation, &mut self.decisions);
        }
    }

    /// Returns the number of tenants counted.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant is counted.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
