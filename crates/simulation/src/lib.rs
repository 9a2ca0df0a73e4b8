//! A deterministic simulation of the control plane: production state machines
//! ([`kitepass_control_plane::state_machine::StateMachine`]) and production gateway control sessions
//! ([`kitepass_data_plane::control_session::ControlSession`]) run on simulated machines, disks, links and
//! clocks. A seed determines a run completely.
//!
//! [`scenario`] generates the layout, the schedule of faults and the operators' behaviour from a seed.
//! [`simulation`] runs the scenario and records a [`history`], which [`checker`] checks for violated
//! invariants. [`run`] runs a scenario from start to end, and [`shrink`] removes the faults that a failing
//! scenario does not need. [`coverage`] counts the faults and events that occurred, and [`digest`] hashes a
//! run into one number.
//!
//! Only [`process`] calls the state machine. It passes on what a process would receive from its sockets, its
//! disk and its monotonic clock. The state machine never reads the wall clock, so wall clock steps need no
//! simulation; each machine's monotonic clock has its own offset and drift.

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
