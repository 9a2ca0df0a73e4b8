//! kitepass' data plane in the system: it takes clients' requests, refuses what is beyond a tenant's quota, and
//! sends the rest to backends.
//!
//! [`quota`], [`load_balancer`], [`retry_budget`] and [`attempt`] decide, without input or output; [`request`] holds a request; [`server`]
//! is the sockets and the clock around them, and [`control_session`] the session with the control plane.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

pub mod attempt;
pub mod cli;
pub mod control_session;
pub mod load_balancer;
pub mod quota;
pub mod request;
pub mod retry_budget;
pub mod server;
