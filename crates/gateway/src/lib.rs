//! A gateway on sockets: accepts clients, connects to backends, discovery and the counter service, and leaves
//! every decision about a request to the policy (`kitepass-gateway-policy`).
//!
//! The program `kitepass` calls [`run`] with a [`StartupConfig`] from the file that the environment names.
//! Another program can embed a gateway: it builds a [`StartupConfig`], opens a [`Server`], keeps its
//! [`Control`] and calls [`Server::run`] on a thread.

mod backends;
mod clients;

mod control;
mod counter;
mod discovery;
mod parsed_request;
mod poll;
mod reload;
mod request;
mod runtime;
mod server;
mod shutdown;
mod startup;

use kitepass_net::{http, timer_wheel};

pub use control::Control;
pub use reload::Addresses;
pub use server::Server;
pub use startup::StartupConfig;

/// Serves until SIGTERM or SIGINT, and reloads the configuration on SIGHUP.
///
/// # Errors
/// Why the gateway cannot start or cannot continue, as one line of text.
pub fn run(startup: StartupConfig) -> Result<(), String> {
    let server = Server::open(startup)?;
    server.register_signals()?;
    server.run()
}
