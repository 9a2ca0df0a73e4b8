//! The emulator of kitepass' control side: true cores ([`kitepass_control_plane::core::Core`]) and true gateways' links
//! ([`kitepass_data_plane::link::Link`]) on machines, disks and links in memory, all by seed.
//!
//! [`plan`] draws what a seed brings: the layout, the troubles with their moments, how operators behave. [`world`]
//! plays it and records a [`history`], which judges without looking at the world. [`drive`] is the one place that
//! touches the core's interface. [`trial`] plays a seed whole, and shortens one that fails. [`digest`] sums a run up
//! in one number.
//!
//! What a process is told is what its sockets, disk and steady clock would tell it: there is no time of day in the
//! core's interface, so a step of that has nothing to act on; each machine's steady clock begins where it will and
//! runs a little fast or slow.

pub mod chance;
pub mod digest;
pub mod disk;
pub mod drive;
pub mod gate;
pub mod history;
pub mod operator;
pub mod plan;
pub mod tally;
pub mod trial;
pub mod wire;
pub mod world;
