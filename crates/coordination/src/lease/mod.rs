//! Leases for singleton roles (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
//! Cache Consistency"): the process that performs a role holds a lease granted by a majority of the replicas, and stops
//! before the lease expires.
//!
//! **Assumptions.** The monotonic clocks of two machines drift apart by less than [`SAFETY_MARGIN`] during one lease
//! duration. Wall clocks are not used, because setting them must neither end nor extend a lease. The holder measures
//! the lease from the time of its request, a voter from the later time of its vote.
//!
//! **Invariant.** At most one process holds the lease of a role at any time.
//!
//! **Why it holds.** Votes are identified by replica names and counted within one membership epoch, in which any two
//! majorities share a replica. That replica does not vote for two candidates at the same time. In an odd epoch, a
//! majority of both replica sets is required (see [`JointReplicaSets`](crate::membership::JointReplicaSets)). During a
//! change of the replica set:
//!
//! - A voter that knows of a later epoch refuses requests of an earlier one. A lease of an earlier epoch was therefore
//!   requested before the next replica set was committed.
//! - If majorities of the two replica sets need not intersect, each voter grants only renewals for one
//!   [`LEASE_DURATION`] after it learns that the next replica set is committed. By then, all leases of the earlier
//!   epoch have expired.

mod candidate;
#[cfg(test)]
mod tests;
mod voter;

pub use candidate::LeaseCandidate;
pub use voter::LeaseVoter;

use kitepass_time::Duration;

/// How long a vote is binding for its voter.
pub const LEASE_DURATION: Duration = Duration::from_micros(2_000_000);
/// How long before the end of its lease the holder stops. This allows for clock drift and for a long iteration of the
/// holder's event loop.
pub const SAFETY_MARGIN: Duration = Duration::from_micros(300_000);
/// The interval after which a holder requests a renewal, and a candidate withdraws a request without enough votes.
const RENEWAL_INTERVAL: Duration = Duration::from_micros(500_000);
