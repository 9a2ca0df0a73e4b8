//! The replica sets: which replicas make up the core of the control plane, and which of them are a quorum.
//!
//! A replica is one disk of one node: a node that lost its disk comes back as another replica. Two configuration items
//! name the replica sets: [`CURRENT`], the one in force, and [`INCOMING`], one that is being brought in. They follow one
//! another by joint consensus, as in Raft (Ongaro, "Consensus: Bridging Theory and Practice", chapter 4.3): while one is
//! being brought in, write quorums, read quorums and lease quorums are needed of both.
//!
//! Raft needs majorities throughout. Here reads and writes differ: a read quorum is as small as it can be and
//! still meet each write quorum, and a write quorum has replicas in more than one zone and region, where there are
//! several; see [`ReplicaSet::is_read_quorum`] and [`ReplicaSet::is_write_quorum`].

mod joint;
mod replica;
mod replica_set;
mod succession;
#[cfg(test)]
mod tests;

pub use joint::JointReplicaSets;
pub use replica::Replica;
pub use replica_set::ReplicaSet;
pub use succession::ReplicaObservations;

/// The name of the item that holds the replica set in force.
pub const CURRENT: &str = "now";
/// The name of the item that holds the replica set that is being brought in.
pub const INCOMING: &str = "next";
