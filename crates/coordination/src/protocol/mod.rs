//! The protocol between the system's own processes: the messages, and how they travel over a connection.
//!
//! Processes of two versions talk to each other during an upgrade, so that tags, types and the frame format never
//! change; `tests/golden.rs` pins the bytes.

pub mod framing;
mod messages;

pub use framing::{encode_message, MessageDecoder};
pub use messages::{
    batch_items, encode_items, AcceptRequest, AcceptResponse, Ballot, BucketDigests, Commit, Envelope,
    Extent, Heartbeat, Hello, ItemMessage, Items, LeaseRequest, LeaseVote, Member, MembershipUpdate, Message,
    PrepareRequest, PrepareResponse, ProposalMessage, PurgeTombstones, RejectedProposal, SessionList,
    TenantTotal, TenantUsage, UsageReport, UsageTotals, VersionMessage,
};
