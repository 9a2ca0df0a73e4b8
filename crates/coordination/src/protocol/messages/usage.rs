//! Usage counts and quota grants as they travel; see [`crate::usage`].

/// What a gateway reports of one tenant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantUsage {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests of the gateway's last period, rejected ones included.
    #[prost(uint32, tag = "2")]
    pub offered: u32,
    /// Those of them that were forwarded.
    #[prost(uint32, tag = "3")]
    pub forwarded: u32,
    /// Granted requests that the gateway has not used yet.
    #[prost(uint32, tag = "4")]
    pub reserved: u32,
    /// Requests that it needs granted at once.
    #[prost(uint32, tag = "5")]
    pub requested: u32,
    /// Granted requests that it returns.
    #[prost(uint32, tag = "6")]
    pub returned: u32,
    /// Requests that it would hold in advance, if plenty are left.
    #[prost(uint32, tag = "7")]
    pub prefetch: u32,
}

/// A gateway's counts of its last period, and the grants that it asks for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageReport {
    /// Repeated in the totals.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The gateway.
    #[prost(string, tag = "2")]
    pub node_id: String,
    /// By tenants. One whose counts are 0 asks for the totals alone.
    #[prost(message, repeated, tag = "3")]
    pub tenants: Vec<TenantUsage>,
    /// The gateway's incarnation.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Between two periods: grants are asked for, and the counts are not of a complete period.
    #[prost(bool, tag = "5")]
    pub is_mid_period: bool,
}

/// The totals of one tenant, and what the gateway is granted of its quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantTotal {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests of a period over all gateways.
    #[prost(float, tag = "2")]
    pub offered: f32,
    /// Those of them that were forwarded.
    #[prost(float, tag = "3")]
    pub forwarded: f32,
    /// Requests that are granted to the gateway, beside those that it had.
    #[prost(uint32, tag = "4")]
    pub granted: u32,
    /// The gateway's share of the rate limit for as long as it hears nothing more.
    #[prost(float, tag = "5")]
    pub share: f32,
}

/// The response to a [`UsageReport`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageTotals {
    /// As in the report.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The gateway that reported.
    #[prost(string, tag = "2")]
    pub node_id: String,
    /// By tenants, those with a rate limit.
    #[prost(message, repeated, tag = "3")]
    pub tenants: Vec<TenantTotal>,
    /// As in the report.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// As in the report.
    #[prost(bool, tag = "5")]
    pub is_mid_period: bool,
}
