//! The in-service gateway on sockets: clients, backends, discovery and the shared counter around the policy.
//!
//! The program `kitepass` calls [`run`] with a [`StartupConfig`] read from the environment. Another program can
//! embed a gateway: it makes its own [`StartupConfig`], opens a [`Server`], keeps its [`Control`] and runs it on a
//! thread.

mod backends;
mod clients;

mod control;
mod counter;
mod discovery;
mod poll;
mod reload;
mod request;
mod request_head;
mod runtime;
mod server;
mod shutdown;
mod startup;

use kitepass_net::{http, timer_wheel};

pub use control::Control;
pub use reload::Addresses;
pub use server::Server;
pub use startup::StartupConfig;

/// Serves until SIGTERM or SIGINT, and reloads the configuration at SIGHUP.
///
/// # Errors
/// What keeps the gateway from starting or going on, as one line of text.
pub fn run(startup: StartupConfig) -> Result<(), String> {
    let server = Server::open(startup)?;
    server.register_signals()?;
    server.run()
}
