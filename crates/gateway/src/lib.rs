//! kitepass on sockets: clients, backends, discovery and the counter around the policy.
//!
//! A program of its own is [`run`] with a [`Launch`] read from the environment. Another program can make its own
//! [`Launch`], open a [`Server`], keep its [`Control`] and run it on a thread it can spare.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

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

/// Serves until told to end by SIGTERM or SIGINT, and reads the configuration again at SIGHUP. What keeps it from
/// starting or going on is one line of text.
pub fn run(launch: Launch) -> Result<(), String> {
    let server = Server::open(launch)?;
    server.heed_signals()?;
    server.run()
}
