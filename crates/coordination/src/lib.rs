//! What the system's own processes say to each other, and what follows from it. Nothing here does input or
//! output, and time is passed in: a test drives all of it.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`words`] | the messages |
//! | [`frame`] | how they go over a connection, long ones in pieces |
//! | [`cast`] | who the core is, and how many copies make a write safe and a reading whole |
//! | [`contact`] | whom of the core a process hears, and who of it heard this process, as of when |
//! | [`feed`] | who of many that came is told what it lacks next, in bounds |
//! | [`lease`] | single duties: claimed of a majority, left before they end |
//! | [`register`] | one number, one content: the ballots by which a change is decided |
//! | [`session`] | who is a member: the sessions of each control process, and how long a lost one counts |
//! | [`tomb`] | when a drop may be forgotten |
//! | [`count`] | what tenants asked of all gateways, period by period, and how a quota is shared out |

#[cfg(test)]
extern crate self as kitepass_coordination;

pub mod cast;
pub mod contact;
pub mod count;
pub mod feed;
pub mod frame;
pub mod lease;
pub mod register;
pub mod session;
pub mod tomb;
pub mod words;
