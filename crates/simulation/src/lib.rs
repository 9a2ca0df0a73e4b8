//! The emulator of kitepass' control side: true cores ([`kitepass_control_plane::state_machine::StateMachine`]) and true gateways' links
//! ([`kitepass_data_plane::control_session::ControlSession`]) on machines, disks and links in memory, all by seed.
//!
//! [`scenario`] draws what a seed brings: the layout, the troubles with their moments, how operators behave. [`simulation`]
//! plays it and records a [`history`], which judges without looking at the world. [`process`] is the one place that
//! touches the core's interface. [`run`] plays a seed whole, and shortens one that fails. [`digest`] sums a run up
//! in one number.
//!
//! What a process is told is what its sockets, disk and steady clock would tell it: there is no time of day in the
//! core's interface, so a step of that has nothing to act on; each machine's steady clock begins where it will and
//! runs a little fast or slow.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

pub mod coverage;
pub mod digest;
pub mod disk;
pub mod gateway;
pub mod history;
pub mod network;
pub mod operator;
pub mod process;
pub mod rng;
pub mod run;
pub mod scenario;
pub mod simulation;
