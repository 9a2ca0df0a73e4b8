//! The messages, by subject. [`framing`](super::framing) describes how they are sent.
//!
//! A field that is missing in an encoded message has its type's default value, since older versions do not send newer
//! fields.

mod consensus;
mod items;
mod leases;
mod presence;
mod sessions;
mod usage;

pub use consensus::{
    AcceptRequest, AcceptResponse, Ballot, Commit, PrepareRequest, PrepareResponse, ProposalMessage,
    RejectedProposal,
};
pub use items::{
    batch_items, encode_items, BucketDigests, Extent, ItemMessage, Items, PurgeTombstones, VersionMessage,
};
pub use leases::{LeaseRequest, LeaseVote};
pub use presence::{Heartbeat, Hello};
pub use sessions::{Member, MembershipUpdate, SessionList};
pub use usage::{TenantTotal, TenantUsage, UsageReport, UsageTotals};

/// The encoded form of one message. A message of an unknown type is decoded as `None`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The message.
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub message: Option<Message>,
}

/// All message types.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
    /// The sender's identity.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The sender is alive, and its current state.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Committed items.
    #[prost(message, tag = "3")]
    Items(Items),
    /// Digests of the sender's items; requests the items that differ.
    #[prost(message, tag = "4")]
    BucketDigests(BucketDigests),
    /// Phase 2 of consensus, sent to a replica.
    #[prost(message, tag = "5")]
    AcceptRequest(AcceptRequest),
    /// A replica's response to it.
    #[prost(message, tag = "6")]
    AcceptResponse(AcceptResponse),
    /// Phase 1 of consensus, or a read if it has no ballot, sent to a replica.
    #[prost(message, tag = "7")]
    PrepareRequest(PrepareRequest),
    /// A replica's response to it.
    #[prost(message, tag = "8")]
    PrepareResponse(PrepareResponse),
    /// A candidate requests, renews or releases a lease.
    #[prost(message, tag = "9")]
    LeaseRequest(LeaseRequest),
    /// A voter's response to it.
    #[prost(message, tag = "10")]
    LeaseVote(LeaseVote),
    /// The gateway sessions of a control process.
    #[prost(message, tag = "11")]
    SessionList(SessionList),
    /// A gateway's load and the quota that it requests for its tenants.
    #[prost(message, tag = "12")]
    UsageReport(UsageReport),
    /// The load of all gateways, and the quota that is granted.
    #[prost(message, tag = "13")]
    UsageTotals(UsageTotals),
    /// The gateways and control processes that a gateway needs to know.
    #[prost(message, tag = "14")]
    MembershipUpdate(MembershipUpdate),
    /// A proposal is chosen.
    #[prost(message, tag = "15")]
    Commit(Commit),
    /// Tombstones to purge.
    #[prost(message, tag = "16")]
    PurgeTombstones(PurgeTombstones),
}
