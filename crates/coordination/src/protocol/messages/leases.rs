//! Messages for leases; see [`crate::lease`].

/// A candidate requests, renews or releases the lease of a role.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequest {
    /// The singleton role.
    #[prost(string, tag = "1")]
    pub role: String,
    /// The candidate's term. Terms order the leases of a role.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Repeated in the vote.
    #[prost(uint64, tag = "3")]
    pub request_id: u64,
    /// The candidate releases the lease or withdraws its request.
    #[prost(bool, tag = "4")]
    pub is_release: bool,
    /// The candidate holds the lease under this term and requests a renewal.
    #[prost(bool, tag = "5")]
    pub is_renewal: bool,
    /// The membership epoch by which the candidate counts votes. A voter that knows of a later epoch refuses.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}

/// A voter's response to a [`LeaseRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseVote {
    /// As in the request.
    #[prost(string, tag = "1")]
    pub role: String,
    /// As in the request.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Whether the voter votes for the candidate.
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    /// The highest term that the voter has seen.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The replica that the voter has voted for, or empty.
    #[prost(string, tag = "5")]
    pub holder: String,
    /// The voter's membership epoch. A candidate that sees a later epoch than its own is outdated.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}
