//! The control plane of kitepass. It stores the configuration durably and distributes it to all gateways, tracks the
//! members of the system, polls the platform's list of backends, and maintains the shared usage counts.
//!
//! [`state_machine`] makes the decisions and performs no I/O; [`server`] connects it to sockets, disk and clock.

pub mod cli;
pub mod endpoints;
pub mod request;
pub mod server;
pub mod state_machine;
