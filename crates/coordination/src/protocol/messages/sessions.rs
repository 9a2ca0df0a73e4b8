//! Messages for gateway sessions and membership; see [`crate::sessions`].

/// A gateway that has a session.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    /// The node's name.
    #[prost(string, tag = "1")]
    pub node_id: String,
    /// The gateway's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The address at which clients reach it.
    #[prost(string, tag = "3")]
    pub client_address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Whether it accepts requests.
    #[prost(bool, tag = "5")]
    pub is_ready: bool,
}

/// All gateway sessions of one control process. A later list replaces an earlier one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SessionList {
    /// Increases with each list of one incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The gateways with a session.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

/// The gateways and control processes that a gateway needs to know.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembershipUpdate {
    /// The number of live gateways, including recently lost ones.
    #[prost(uint32, tag = "1")]
    pub gateway_count: u32,
    /// The sorted node IDs of these gateways.
    #[prost(string, repeated, tag = "2")]
    pub node_ids: Vec<String>,
    /// The control processes' addresses for internal messages.
    #[prost(string, repeated, tag = "3")]
    pub control_addresses: Vec<String>,
    /// The control processes' zones, in the order of the addresses.
    #[prost(string, repeated, tag = "4")]
    pub control_zones: Vec<String>,
}
