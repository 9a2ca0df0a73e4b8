//! The protocol between the processes of the system: message types and their framing.
//!
//! During an upgrade, processes of two versions communicate with each other. Tags, field types and the frame format
//! therefore never change; `tests/golden.rs` checks the encoded bytes.

pub mod framing;
mod messages;

pub use framing::{encode_message, MessageDecoder};
pub use messages::{
    batch_items, encode_items, AcceptRequest, AcceptResponse, Ballot, BucketDigests, Commit, Envelope,
    Extent, Heartbeat, Hello, ItemMessage, Items, LeaseRequest, LeaseVote, Member, MembershipUpdate, Message,
    PrepareRequest, PrepareResponse, ProposalMessage, PurgeTombstones, RejectedProposal, SessionList,
    TenantTotal, TenantUsage, UsageReport, UsageTotals, VersionMessage,
};
