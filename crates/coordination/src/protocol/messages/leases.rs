//! Leases as they travel; see [`crate::lease`].

/// A candidate asks for the lease of a role, renews it, or releases it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequest {
    /// The singleton role.
    #[prost(string, tag = "1")]
    pub role: String,
    /// The candidate's term: orders the leases of a role.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Repeated in the vote.
    #[prost(uint64, tag = "3")]
    pub request_id: u64,
    /// The lease, or the request for it, is given up.
    #[prost(bool, tag = "4")]
    pub is_release: bool,
    /// The candidate holds the lease under this term, and renews it.
    #[prost(bool, tag = "5")]
    pub is_renewal: bool,
    /// The membership epoch by which the candidate counts votes: a voter that knows of a later one refuses.
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
    /// The voter votes for the candidate.
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    /// The highest term that the voter has seen.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The replica that holds the voter's vote, or nothing.
    #[prost(string, tag = "5")]
    pub holder: String,
    /// The voter's own membership epoch: a candidate that sees a later one is behind.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}
