//! Messages that identify a process and report that it is alive.

/// The sender's identity: the first message on each connection, sent by both sides.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The node's name in its settings.
    #[prost(string, tag = "1")]
    pub node_id: String,
    /// The address at which other processes of the system reach the sender.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The node's zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The region of the zone.
    #[prost(string, tag = "4")]
    pub region: String,
    /// A random number generated at each start. It distinguishes one run of a process from the next.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// Whether the sender is a control process rather than a gateway.
    #[prost(bool, tag = "6")]
    pub is_control_plane: bool,
    /// The address at which clients reach a gateway; empty for a control process.
    #[prost(string, tag = "7")]
    pub client_address: String,
    /// For a control process: it is reliable, because it has caught up with a read quorum and is in contact with a
    /// majority. For a gateway: it has caught up once, so it may also connect to a control process that is not serving.
    #[prost(bool, tag = "8")]
    pub is_serving: bool,
    /// The sender's disk holds everything that it has acknowledged.
    #[prost(bool, tag = "9")]
    pub is_complete: bool,
    /// Identifies a control process's disk: a random ID, generated when the disk was first written. Together with the
    /// node ID it identifies the replica. 0 for a gateway, and for a disk written by a version without this field.
    #[prost(fixed64, tag = "10")]
    pub replica_id: u64,
}

/// Reports that the sender is alive. Sent every half second, and immediately when any of its fields changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The digest of all items of the sender. Between control processes it includes the older versions.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// For a gateway: it accepts requests.
    #[prost(bool, tag = "2")]
    pub is_ready: bool,
    /// See [`Hello::is_serving`].
    #[prost(bool, tag = "3")]
    pub is_serving: bool,
    /// See [`Hello::is_complete`].
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// The lease term under which the sender is currently the coordinator, or 0.
    #[prost(uint64, tag = "5")]
    pub coordinator_term: u64,
    /// Between control processes: a number that is unique among the heartbeats of the sender's incarnation; see
    /// [`crate::quorum_contact`].
    #[prost(fixed32, tag = "6")]
    pub sequence: u32,
    /// Between control processes: the last [`Heartbeat::sequence`] that the sender received from the receiver, or 0.
    #[prost(fixed32, tag = "7")]
    pub echoed_sequence: u32,
    /// For a control process: it is shutting down gracefully, and may be removed from the replica set before it becomes
    /// unresponsive.
    #[prost(bool, tag = "8")]
    pub is_shutting_down: bool,
    /// For a control process: all its data is on disk, and it has no accepted proposal that is uncommitted.
    #[prost(bool, tag = "12")]
    pub is_persisted: bool,
    /// From a control process to gateways: it is reading missing data, and may have only parts of some changes.
    #[prost(bool, tag = "13")]
    pub is_transferring: bool,
}
