//! Sessions and membership as they travel; see [`crate::sessions`].

/// A gateway that has a session.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    /// The node's name.
    #[prost(string, tag = "1")]
    pub node_id: String,
    /// The gateway's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Where clients reach it.
    #[prost(string, tag = "3")]
    pub client_address: String,
    /// The zone that it is in.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// It takes requests.
    #[prost(bool, tag = "5")]
    pub is_ready: bool,
}

/// All sessions of one control process; a later list replaces an earlier one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SessionList {
    /// Grows with each list of one incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The gateways.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

/// What a gateway has to know of the others and of the control plane.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembershipUpdate {
    /// How many gateways count as live, recently lost ones included.
    #[prost(uint32, tag = "1")]
    pub gateway_count: u32,
    /// Their node ids, sorted.
    #[prost(string, repeated, tag = "2")]
    pub node_ids: Vec<String>,
    /// Control processes: the addresses for the system's own messages.
    #[prost(string, repeated, tag = "3")]
    pub control_addresses: Vec<String>,
    /// Control processes: their zones, in the order of the addresses.
    #[prost(string, repeated, tag = "4")]
    pub control_zones: Vec<String>,
}
