//! What the system's own processes say to each other, and what follows from it. Nothing here does input or
//! output, and time is passed in: a test drives all of it.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`protocol`] | the messages |
//! | [`protocol::framing`] | how they go over a connection, long ones in pieces |
//! | [`membership`] | who the core is, and how many copies make a write safe and a reading whole |
//! | [`quorum_contact`] | whom of the core a process hears, and who of it heard this process, as of when |
//! | [`catch_up_queue`] | who of many that came is told what it lacks next, in bounds |
//! | [`lease`] | single duties: claimed of a majority, left before they end |
//! | [`consensus`] | one number, one content: the ballots by which a change is decided |
//! | [`sessions`] | who is a member: the sessions of each control process, and how long a lost one counts |
//! | [`tombstones`] | when a drop may be forgotten |
//! | [`usage`] | what tenants asked of all gateways, period by period, and how a quota is shared out |

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

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
