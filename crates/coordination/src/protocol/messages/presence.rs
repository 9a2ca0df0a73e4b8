//! Who a process is, and that it is alive.

/// Who the sender is: the first message on each connection, from both ends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The node's name in the settings.
    #[prost(string, tag = "1")]
    pub node_id: String,
    /// Where other processes of the system reach it.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The zone that the node is in.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The region that the zone is in.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Drawn at each start: tells one run of a process from the next.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// A control process, not a gateway.
    #[prost(bool, tag = "6")]
    pub is_control_plane: bool,
    /// Where clients reach it; empty for a control process.
    #[prost(string, tag = "7")]
    pub client_address: String,
    /// A control process that may be relied on: it has caught up with a read quorum, and is in contact with a majority.
    /// A gateway: it has caught up once, so that it need not fear a control process that is behind.
    #[prost(bool, tag = "8")]
    pub is_serving: bool,
    /// Its disk holds what it has acknowledged.
    #[prost(bool, tag = "9")]
    pub is_complete: bool,
    /// Names a control process' disk: drawn when it was first written. With the node id it names the replica. 0 for a
    /// gateway, and for a disk that was written by a version before this field.
    #[prost(fixed64, tag = "10")]
    pub replica_id: u64,
}

/// The sender is alive. Sent every half second, and at once when something in it changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The digest of all items that the sender holds; between control processes, with their older versions.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// A gateway: it takes requests.
    #[prost(bool, tag = "2")]
    pub is_ready: bool,
    /// See [`Hello::is_serving`].
    #[prost(bool, tag = "3")]
    pub is_serving: bool,
    /// See [`Hello::is_complete`].
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// The lease term under which the sender is the coordinator now, or 0.
    #[prost(uint64, tag = "5")]
    pub coordinator_term: u64,
    /// Between control processes: a number that the sender gave to no other heartbeat of its incarnation; see
    /// [`crate::quorum_contact`].
    #[prost(fixed32, tag = "6")]
    pub sequence: u32,
    /// Between control processes: the last [`Heartbeat::sequence`] that the sender received from the receiver, or 0.
    #[prost(fixed32, tag = "7")]
    pub echoed_sequence: u32,
    /// A control process in a graceful shutdown: it may leave the replica set at once, before it is unresponsive.
    #[prost(bool, tag = "8")]
    pub is_shutting_down: bool,
    /// A control process: all that it holds is on disk, and no proposal is accepted there and uncommitted.
    #[prost(bool, tag = "12")]
    pub is_persisted: bool,
    /// A control process, to gateways: it is reading what it lacks, and may hold parts of changes.
    #[prost(bool, tag = "13")]
    pub is_transferring: bool,
}
