//! The in-service gateway on sockets: clients, backends, discovery and the shared counter around the policy.
//!
//! The program `kitepass` calls [`run`] with a [`Launch`] read from the environment. Another program can
//! embed a gateway: it makes its own [`Launch`], opens a [`Server`], keeps its [`Control`] and runs it on a
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
pub use startup::Launch;

/// Serves until SIGTERM or SIGINT, and reloads the configuration at SIGHUP.
///
/// # Errors
/// What keeps the gateway from starting or going on, as one line of text.
pub fn run(launch: Launch) -> Result<(), String> {
    let server = Server::open(launch)?;
    server.register_signals()?;
    server.run()
}
