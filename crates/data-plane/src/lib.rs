//! The kitepass data plane: a gateway that accepts client requests, enforces tenant quotas and forwards admitted
//! requests to backends.
//!
//! [`quota`], [`load_balancer`], [`retry_budget`] and [`attempt`] contain the decision logic and do no I/O. [`request`]
//! holds the state of a request. [`server`] runs the event loop with sockets and timers, and [`control_session`]
//! manages the session with the control plane.

pub mod attempt;
pub mod cli;
pub mod control_session;
pub mod ids;
pub mod load_balancer;
pub mod quota;
pub mod request;
pub mod retry_budget;
pub mod server;
