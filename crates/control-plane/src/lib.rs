//! kitepass' control plane: it keeps the configuration safe, brings it to every gateway, knows who is a member,
//! reads the platform's list of backends and holds the shared usage counts.
//!
//! [`state_machine`] decides, without input or output; [`server`] is the sockets, the disk and the clock around it.

pub mod cli;
pub mod endpoints;
pub mod request;
pub mod server;
// Until the issue "Readable code 2" has reached this module.
#[allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#[allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]
pub mod state_machine;
