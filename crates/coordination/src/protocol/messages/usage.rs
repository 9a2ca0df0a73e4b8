//! Messages for usage counts and quota grants; see [`crate::usage`].

/// A gateway's report on one tenant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantUsage {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests received in the gateway's last period, including rejected ones.
    #[prost(uint32, tag = "2")]
    pub offered: u32,
    /// The number of those requests that were forwarded.
    #[prost(uint32, tag = "3")]
    pub forwarded: u32,
    /// Granted requests that the gateway has not used yet.
    #[prost(uint32, tag = "4")]
    pub reserved: u32,
    /// Requests that the gateway needs to have granted immediately.
    #[prost(uint32, tag = "5")]
    pub requested: u32,
    /// Granted requests that the gateway returns unused.
    #[prost(uint32, tag = "6")]
    pub returned: u32,
    /// Requests that the gateway would like to have granted in advance, if enough are left.
    #[prost(uint32, tag = "7")]
    pub prefetch: u32,
}

/// A gateway's counts of its last period, and the grants that it requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageReport {
    /// Repeated in the totals.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The gateway's node ID.
    #[prost(string, tag = "2")]
    pub node_id: String,
    /// One entry per tenant. An entry whose counts are all 0 only requests the totals.
    #[prost(message, repeated, tag = "3")]
    pub tenants: Vec<TenantUsage>,
    /// The gateway's incarnation.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Sent between the ends of two periods to request grants; the counts do not cover a complete period.
    #[prost(bool, tag = "5")]
    pub is_mid_period: bool,
}

/// The totals of one tenant, and the gateway's grant from its quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantTotal {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests received by all gateways in one period.
    #[prost(float, tag = "2")]
    pub offered: f32,
    /// The number of those requests that were forwarded.
    #[prost(float, tag = "3")]
    pub forwarded: f32,
    /// Requests granted to the gateway, in addition to those that it already had.
    #[prost(uint32, tag = "4")]
    pub granted: u32,
    /// The gateway's share of the rate limit, which applies while it cannot reach the coordinator.
    #[prost(float, tag = "5")]
    pub share: f32,
}

/// The response to a [`UsageReport`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageTotals {
    /// As in the report.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The node ID of the gateway that sent the report.
    #[prost(string, tag = "2")]
    pub node_id: String,
    /// One entry per tenant that has a rate limit.
    #[prost(message, repeated, tag = "3")]
    pub tenants: Vec<TenantTotal>,
    /// As in the report.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// As in the report.
    #[prost(bool, tag = "5")]
    pub is_mid_period: bool,
}
