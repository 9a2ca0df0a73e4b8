//! A deterministic simulation of the control plane: real state machines
//! ([`kitepass_control_plane::state_machine::StateMachine`]) and real gateways' control sessions
//! ([`kitepass_data_plane::control_session::ControlSession`]) on simulated machines, disks, links and clocks. One seed is
//! one run.
//!
//! [`scenario`] draws what a seed brings: the layout, the faults with their times, and how operators behave.
//! [`simulation`] runs it and records a [`history`], which [`checker`] checks for violated invariants. [`run`] runs a
//! scenario to its end, and [`shrink`] removes the faults that a failing one does not need. [`coverage`] counts what came
//! up, and [`digest`] sums a run up in one number.
//!
//! [`process`] is the one place that touches the state machine's interface. A process gets what its sockets, its disk and
//! its steady clock would deliver. There is no time of day in that interface, so a step of it could change nothing; each
//! machine's steady clock starts at another time and runs a little fast or slow.

pub mod checker;
pub mod coverage;
pub mod digest;
pub mod disk;
pub mod gateway;
pub mod history;
pub mod items;
pub mod network;
pub mod operator;
pub mod process;
pub mod rng;
pub mod run;
pub mod scenario;
pub mod shrink;
pub mod simulation;
