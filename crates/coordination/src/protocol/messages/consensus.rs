//! Messages for consensus; [`crate::consensus`] describes their meaning.

use super::ItemMessage;
use bytes::Bytes;

/// Identifies one attempt at a proposal; a higher ballot takes precedence. A proposer never uses a ballot for a second
/// proposal.
///
/// Ballots are compared field by field in the order of declaration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Ballot {
    /// The proposer's membership epoch.
    ///
    /// Invariant: the epoch is compared first. After a change of the replica set, read quorums of an earlier epoch need
    /// not intersect write quorums of a later one, so no round of an earlier epoch may take precedence over a later
    /// epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The number of the attempt within the epoch.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// The proposer's incarnation. Never `u64::MAX`, which is reserved for the floors on disk.
    #[prost(fixed64, tag = "3")]
    pub proposer: u64,
}

/// An accepted proposal, as reported to a proposer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProposalMessage {
    /// The ballot under which it was accepted.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The proposal's items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
}

/// Phase 1, sent to a replica: requests a promise, and those of the replica's items that the sender does not have, in
/// chunks; see [`PrepareResponse`]. Without a ballot, it is only a read.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrepareRequest {
    /// Repeated in the response.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The bucket digests of the sender's items.
    #[prost(fixed64, repeated, tag = "2")]
    pub bucket_digests: Vec<u64>,
    /// The sender's incarnation; see [`AcceptRequest::incarnation`].
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The membership epoch by which the sender counts quorums, as committed.
    ///
    /// Invariant: the replica compares it with its own. A sender that knows only an older replica set would mistake a
    /// majority of that set for a majority of the current one.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Requests a promise not to accept any lower ballot on these keys.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// The keys of the proposal.
    #[prost(fixed64, repeated, tag = "6")]
    pub keys: Vec<u64>,
    /// Requests all accepted, uncommitted proposals, regardless of their keys.
    #[prost(bool, tag = "7")]
    pub wants_all_undecided: bool,
    /// Requests the accepted, uncommitted proposals that contain any version of an item with one of these
    /// [`name_key`](crate::consensus::name_key)s, in addition to those that contain one of `keys`.
    #[prost(fixed64, repeated, tag = "8")]
    pub watched_names: Vec<u64>,
    /// The first bucket of the requested chunk; initially 0.
    #[prost(uint32, tag = "10")]
    pub first_bucket: u32,
}

/// A replica's response to a [`PrepareRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrepareResponse {
    /// As in the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The items that differ in the covered buckets.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The replica's disk holds everything that it has acknowledged, so the replica counts toward a read quorum.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// The replica knows a replica set.
    #[prost(bool, tag = "4")]
    pub is_bootstrapped: bool,
    /// As in the request.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// The first covered bucket. All differences in the buckets from this one up to `next_bucket`, exclusive, are
    /// included, as of a single moment.
    #[prost(uint32, tag = "10")]
    pub first_bucket: u32,
    /// The first bucket of the next chunk. If it is past the last bucket, this was the last chunk.
    #[prost(uint32, tag = "11")]
    pub next_bucket: u32,
    /// The covered buckets that differ; see `kitepass_config::Chunk`.
    #[prost(bytes = "vec", tag = "12")]
    pub differing_buckets: Vec<u8>,
    /// The digest of the replica's items in the covered buckets.
    #[prost(fixed64, tag = "13")]
    pub digest: u64,
    /// The request was rejected: its epoch is older than the replica's, or a higher ballot was promised.
    #[prost(bool, tag = "6")]
    pub is_rejected: bool,
    /// The highest promised ballot, if it is the reason for the rejection.
    #[prost(message, optional, tag = "7")]
    pub ballot: Option<Ballot>,
    /// Proposals that the replica has accepted and that are not committed.
    #[prost(message, repeated, tag = "8")]
    pub accepted: Vec<ProposalMessage>,
    /// Changes that the replica has rejected.
    #[prost(message, repeated, tag = "9")]
    pub rejected: Vec<RejectedProposal>,
    /// The highest version of a replica set whose activation the replica has accepted and does not know to be
    /// committed, or 0. A replica accepts an activation only once it has everything that was committed under the
    /// previous replica set.
    #[prost(uint64, tag = "14")]
    pub activated_version: u64,
}

/// A change that was rejected because of its content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RejectedProposal {
    /// The ballot under which it was rejected.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The bytes of the change's ID, [`Proposal::change_id`](crate::consensus::Proposal::change_id).
    #[prost(bytes = "bytes", tag = "2")]
    pub proposal_id: Bytes,
}

/// Phase 2, sent to a replica: items that must be on disk before they are acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptRequest {
    /// Repeated in the response.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The proposal's items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The sender's incarnation. Request IDs start from 1 in each incarnation, so a response that repeats another
    /// incarnation belongs to an earlier request.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// See [`PrepareRequest::epoch`].
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// The ballot of the proposal.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// If not empty, the change with this ID is to be rejected rather than a proposal accepted, and `items` is empty.
    #[prost(bytes = "bytes", tag = "6")]
    pub rejected_proposal_id: Bytes,
    /// The keys of the change to reject.
    #[prost(fixed64, repeated, tag = "7")]
    pub keys: Vec<u64>,
    /// For the activation of a replica set: the bucket digests of the sender's items. Only a replica that has all of
    /// these items counts toward the write quorum.
    #[prost(fixed64, repeated, tag = "8")]
    pub bucket_digests: Vec<u64>,
    /// A replica has already accepted the proposal.
    #[prost(bool, tag = "9")]
    pub was_accepted_before: bool,
}

/// A replica's response to an [`AcceptRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptResponse {
    /// As in the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The replica's disk holds everything that it has acknowledged, so the replica counts toward the write quorum.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
    /// As in the request.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The request was rejected; see [`PrepareResponse::is_rejected`].
    #[prost(bool, tag = "4")]
    pub is_rejected: bool,
    /// The higher ballot that was promised, if it is the reason for the rejection.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// The request's ballot.
    #[prost(message, optional, tag = "6")]
    pub answered_ballot: Option<Ballot>,
}

/// Announces that a proposal is chosen. A replica that has accepted it merges its items into the item store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Commit {
    /// The bytes of the proposal's ID.
    #[prost(bytes = "bytes", tag = "1")]
    pub proposal_id: Bytes,
}
