//! kitepass' data plane in the system: it takes clients' requests, refuses what is beyond a tenant's quota, and
//! sends the rest to backends.
//!
//! [`quota`], [`pick`], [`further`] and [`leg`] decide, without input or output; [`job`] holds a request; [`server`]
//! is the sockets and the clock around them, and [`link`] the session with the control plane.

pub mod command;
pub mod further;
pub mod job;
pub mod leg;
pub mod link;
pub mod pick;
pub mod quota;
pub mod server;
