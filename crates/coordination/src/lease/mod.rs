//! Leases for singleton roles (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency"): the process that has a role holds a lease that a majority of the replicas voted for, and stops before it
//! expires.
//!
//! **Assumptions.** Monotonic clocks of two machines run apart by less than [`SAFETY_MARGIN`] in a lease's duration; a
//! wall clock is not used, as setting it must neither end a lease nor prolong one. A holder counts from the moment at
//! which it asked, a voter from the moment at which it voted, which is later.
//!
//! **Invariant.** At no moment do two processes hold the lease of one role.
//!
//! **Why.** Votes are identified by the names of replicas and counted within a membership epoch, where two majorities
//! share a replica, which does not vote for two candidates at once. In an odd epoch a majority of both replica sets is
//! needed (see [`JointReplicaSets`](crate::membership::JointReplicaSets)). Over a change of the replica set:
//!
//! - A voter that knows of a later epoch refuses a request of an earlier one. So a lease of an earlier epoch was asked
//!   for before the next replica set was committed.
//! - Where majorities of the two replica sets need not share a replica, each voter votes for nothing but renewals for one
//!   [`LEASE_DURATION`] after it learns that the next replica set is committed. By the end of it such a lease has expired.

mod candidate;
#[cfg(test)]
mod tests;
mod voter;

pub use candidate::LeaseCandidate;
pub use voter::LeaseVoter;

use kitepass_time::Duration;

/// For how long a vote binds its voter.
pub const LEASE_DURATION: Duration = Duration::from_micros(2_000_000);
/// The holder stops this much before its lease ends: monotonic clocks may run apart a little, and one turn of its event
/// loop may take long.
pub const SAFETY_MARGIN: Duration = Duration::from_micros(300_000);
/// Time after which a holder asks for a renewal, and after which a request that fell short is released.
const RENEWAL_INTERVAL: Duration = Duration::from_micros(500_000);
