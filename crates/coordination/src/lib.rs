//! What the processes of the system agree on, and how: the messages between them, consensus, membership, leases, sessions
//! and usage counts.
//!
//! Nothing here does input or output, and time is passed in, so that tests drive all of it.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`protocol`] | the messages, and how they travel over a connection |
//! | [`consensus`] | which content each version of each configuration item has |
//! | [`membership`] | the replica sets, and their quorums |
//! | [`quorum_contact`] | whether a majority of the replicas has heard a process lately |
//! | [`lease`] | leases for singleton roles |
//! | [`sessions`] | which gateways are members |
//! | [`catch_up_queue`] | who of those that catch up is sent a chunk next |
//! | [`tombstones`] | when the tombstone of a removed item may be forgotten |
//! | [`usage`] | usage counts and quota grants |

// The models in `tests/` are compiled into the unit tests too, and name this crate.
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
