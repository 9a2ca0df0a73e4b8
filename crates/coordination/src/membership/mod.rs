//! Replica sets: the replicas that form the core of the control plane, and their quorums.
//!
//! A replica is one disk of one node: a node that has lost its disk comes back as a different replica. Two
//! configuration items hold the replica sets: [`CURRENT`] the one in force, and [`INCOMING`] the one that will replace
//! it. Changes use joint consensus, as in Raft (Ongaro, "Consensus: Bridging Theory and Practice", section 4.3): during
//! a change, write, read and lease quorums of both sets are required.
//!
//! Raft uses majorities throughout. Here, read and write quorums differ. A read quorum is the smallest number of
//! replicas that intersects every write quorum. A write quorum additionally spans more than one zone and region, if
//! there are several; see [`ReplicaSet::is_read_quorum`] and [`ReplicaSet::is_write_quorum`].

mod joint;
mod replica;
mod replica_set;
mod succession;
#[cfg(test)]
mod tests;

pub use joint::JointReplicaSets;
pub use replica::{Distance, Replica};
pub use replica_set::ReplicaSet;
pub use succession::ReplicaObservations;

/// The name of the item that holds the replica set in force.
pub const CURRENT: &str = "now";
/// The name of the item that holds the incoming replica set.
pub const INCOMING: &str = "next";
