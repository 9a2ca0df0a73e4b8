//! kitepass' control plane: it keeps the configuration safe, brings it to every gateway, knows who is a member,
//! reads the platform's list of backends and holds the shared usage counts.
//!
//! [`state_machine`] decides, without input or output; [`server`] is the sockets, the disk and the clock around it.

pub mod cli;
pub mod endpoints;
pub mod request;
pub mod server;
pub mod state_machine;
