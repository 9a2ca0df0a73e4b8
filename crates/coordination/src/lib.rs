//! Coordination between the processes of the system: wire messages, consensus, membership, leases, gateway sessions and
//! usage counts.
//!
//! This crate does no I/O and takes the current time as an argument, so tests can control both.
//!
//! | module | contents |
//! | --- | --- |
//! | [`protocol`] | message types and their framing |
//! | [`consensus`] | agreement on the content of each version of each configuration item |
//! | [`membership`] | replica sets and their quorums |
//! | [`quorum_contact`] | whether a majority of the replicas has recently heard from this process |
//! | [`lease`] | leases for singleton roles |
//! | [`sessions`] | gateway membership |
//! | [`catch_up_queue`] | scheduling of the chunks sent to receivers that are catching up |
//! | [`tombstones`] | when the tombstone of a removed item can be purged |
//! | [`usage`] | usage counts and quota grants |

// The models in `tests/` are also compiled into the unit tests, where they refer to this crate by its name.
#[cfg(test)]
extern crate self as kitepass_coordination;

pub mod catch_up_queue;
pub mod consensus;
pub mod lease;
pub mod membership;
pub mod protocol;
pub mod quorum_contact;
pub mod sessions;
pub mod tombstones;
pub mod usage;
