//! The messages, by subject; [`framing`](super::framing) carries them.
//!
//! A field that is missing on the wire has its type's default: messages of an older version lack the newer fields.

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

/// What a frame holds: one message. A message of a kind that this version does not know is read as none.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The message.
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub message: Option<Message>,
}

/// All messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
    /// Who the sender is.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The sender is alive, and what state it is in.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Committed items.
    #[prost(message, tag = "3")]
    Items(Items),
    /// Digests of what the sender holds: asks for the items that differ.
    #[prost(message, tag = "4")]
    BucketDigests(BucketDigests),
    /// Phase 2 of consensus, to a replica.
    #[prost(message, tag = "5")]
    AcceptRequest(AcceptRequest),
    /// A replica's response to it.
    #[prost(message, tag = "6")]
    AcceptResponse(AcceptResponse),
    /// Phase 1 of consensus, or a reading without a ballot, to a replica.
    #[prost(message, tag = "7")]
    PrepareRequest(PrepareRequest),
    /// A replica's response to it.
    #[prost(message, tag = "8")]
    PrepareResponse(PrepareResponse),
    /// A candidate asks for a lease, renews it or releases it.
    #[prost(message, tag = "9")]
    LeaseRequest(LeaseRequest),
    /// A voter's response to it.
    #[prost(message, tag = "10")]
    LeaseVote(LeaseVote),
    /// The sessions of a control process.
    #[prost(message, tag = "11")]
    SessionList(SessionList),
    /// What a gateway was offered, and what it asks for of its tenants' quotas.
    #[prost(message, tag = "12")]
    UsageReport(UsageReport),
    /// What all gateways were offered, and what is granted.
    #[prost(message, tag = "13")]
    UsageTotals(UsageTotals),
    /// What a gateway has to know of the others and of the control plane.
    #[prost(message, tag = "14")]
    MembershipUpdate(MembershipUpdate),
    /// A proposal is chosen.
    #[prost(message, tag = "15")]
    Commit(Commit),
    /// Tombstones that are forgotten.
    #[prost(message, tag = "16")]
    PurgeTombstones(PurgeTombstones),
}
