//! kitepass' control plane: it keeps the configuration safe, brings it to every gateway, knows who is a member,
//! reads the platform's list of backends and holds the shared count.
//!
//! [`core`] decides, without input or output; [`server`] is the sockets, the disk and the clock around it.

pub mod command;
pub mod core;
pub mod order;
pub mod roster;
pub mod server;
