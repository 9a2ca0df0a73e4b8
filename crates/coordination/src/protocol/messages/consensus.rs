//! Consensus as it travels; what the messages mean is in [`crate::consensus`].

use super::ItemMessage;
use bytes::Bytes;

/// The number of one attempt at one proposal; a higher one prevails. Its proposer never uses it for another proposal.
///
/// The order of the fields is that of the comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Ballot {
    /// The membership epoch that the proposer counts by.
    ///
    /// Invariant: it is compared first. After a change of the replica set, read quorums of an earlier epoch need not
    /// meet write quorums of a later one, so that no round of an earlier epoch may prevail over a later epoch's.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The number of the attempt within the epoch.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// The proposer's incarnation. Never `u64::MAX`, which the floors on disk have.
    #[prost(fixed64, tag = "3")]
    pub proposer: u64,
}

/// An accepted proposal on its way to a proposer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProposalMessage {
    /// The ballot under which it was accepted.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The proposal's items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
}

/// Phase 1, to a replica: asks for a promise, and for what the replica holds and the sender does not, in chunks; see
/// [`PrepareResponse`]. Without a ballot it is a reading alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrepareRequest {
    /// Repeated in the response.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Digests of what the sender holds.
    #[prost(fixed64, repeated, tag = "2")]
    pub bucket_digests: Vec<u64>,
    /// The sender's incarnation: see [`AcceptRequest`].
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The membership epoch that the sender counts by, as it is committed.
    ///
    /// Invariant: the replica compares it with its own. A sender that knows only of an older replica set would take a
    /// majority of that one for a majority of the one in force.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Asks for the promise to accept nothing below this ballot on these keys.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// The keys of the proposal.
    #[prost(fixed64, repeated, tag = "6")]
    pub keys: Vec<u64>,
    /// All accepted, uncommitted proposals are to be reported, whatever their keys.
    #[prost(bool, tag = "7")]
    pub wants_all_undecided: bool,
    /// The bucket to continue with; 0 at first.
    #[prost(uint32, tag = "10")]
    pub first_bucket: u32,
}

/// A replica's response to a [`PrepareRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrepareResponse {
    /// As in the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The items that differ in the buckets that are covered.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The replica's disk holds what it has acknowledged: it counts toward a read quorum.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// The replica knows of a replica set.
    #[prost(bool, tag = "4")]
    pub is_bootstrapped: bool,
    /// As in the request.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// The buckets from this one up to `next_bucket` are covered: what differs in them is here, as it was at one moment.
    #[prost(uint32, tag = "10")]
    pub first_bucket: u32,
    /// The bucket to continue with, unless it is past the last one.
    #[prost(uint32, tag = "11")]
    pub next_bucket: u32,
    /// Which of the covered buckets differ; see `kitepass_config::Chunk`.
    #[prost(bytes = "vec", tag = "12")]
    pub differing_buckets: Vec<u8>,
    /// The digest of what the replica holds in the covered buckets.
    #[prost(fixed64, tag = "13")]
    pub digest: u64,
    /// Neither a read nor a promise: the request's epoch is older than the replica's, or a higher ballot was promised.
    #[prost(bool, tag = "6")]
    pub is_rejected: bool,
    /// The highest ballot that was promised, where that is why.
    #[prost(message, optional, tag = "7")]
    pub ballot: Option<Ballot>,
    /// Proposals that are accepted here and not committed.
    #[prost(message, repeated, tag = "8")]
    pub accepted: Vec<ProposalMessage>,
    /// Proposals that are rejected here.
    #[prost(message, repeated, tag = "9")]
    pub rejected: Vec<RejectedProposal>,
    /// The highest version of a replica set whose activation is accepted here and not known to be committed, or 0. A
    /// replica accepts an activation only once it holds all that was committed under the replica set before.
    #[prost(uint64, tag = "14")]
    pub activated_version: u64,
}

/// A proposal that was rejected for its content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RejectedProposal {
    /// The ballot under which it was rejected.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The bytes of the proposal's id.
    #[prost(bytes = "bytes", tag = "2")]
    pub proposal_id: Bytes,
}

/// Phase 2, to a replica: items to be written to disk before they are acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptRequest {
    /// Repeated in the response.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The proposal's items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The sender's incarnation. Request ids start from 1 in each, so a response that repeats another incarnation answers
    /// an earlier one.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// See [`PrepareRequest::epoch`].
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// The ballot under which the proposal is proposed.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// If not empty, the proposal of this id is to be rejected, not accepted: the items are left out.
    #[prost(bytes = "bytes", tag = "6")]
    pub rejected_proposal_id: Bytes,
    /// The keys of the proposal that is to be rejected.
    #[prost(fixed64, repeated, tag = "7")]
    pub keys: Vec<u64>,
    /// For a replica set that is to be in force: digests of what the sender holds. Only a replica that holds all of it
    /// counts toward the write quorum.
    #[prost(fixed64, repeated, tag = "8")]
    pub bucket_digests: Vec<u64>,
    /// A replica has accepted the proposal before.
    #[prost(bool, tag = "9")]
    pub was_accepted_before: bool,
}

/// A replica's response to an [`AcceptRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptResponse {
    /// As in the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The replica counts toward the write quorum: its disk holds what it has acknowledged.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
    /// As in the request.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Nothing was accepted: see [`PrepareResponse::is_rejected`].
    #[prost(bool, tag = "4")]
    pub is_rejected: bool,
    /// The higher ballot that was promised, where that is why.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// The request's ballot.
    #[prost(message, optional, tag = "6")]
    pub answered_ballot: Option<Ballot>,
}

/// A proposal is chosen: a replica that has accepted it merges it into its items.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Commit {
    /// The bytes of the proposal's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub proposal_id: Bytes,
}
