//! kitepass' data plane: it takes clients' requests, rejects what exceeds a tenant's quota, and forwards the rest to
//! backends.
//!
//! [`quota`], [`load_balancer`], [`retry_budget`] and [`attempt`] decide, without input or output; [`request`] is a
//! request; [`server`] is the sockets and the clock around them, and [`control_session`] the session with the control
//! plane.

pub mod attempt;
pub mod cli;
pub mod control_session;
pub mod ids;
pub mod load_balancer;
pub mod quota;
pub mod request;
pub mod retry_budget;
pub mod server;
