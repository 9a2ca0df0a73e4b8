//! A new configuration while the gateway runs: where discovery and the counter are reached. Nothing else of it
//! is taken up, and one that cannot be taken changes nothing.

use crate::server::Server;
use crate::startup::Launch;
use log::{error, info, warn};
use std::net::SocketAddr;

/// What a gateway that runs can take up anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
}

impl Server {
    /// Reads the file that the configuration came from.
    pub(crate) fn reload(&mut self) {
        let Some(path) = &self.origin else { return warn!("nothing to read again: it came from no file") };
        match Launch::read(path) {
            Ok(launch) => self.take_up(launch.addresses),
            Err(error) => error!("the old configuration stays: {error}"),
        }
    }

    pub(crate) fn take_up(&mut self, addresses: Addresses) {
        info!("discovery at {}, counter at {:?}", addresses.discovery, addresses.counter);
        self.watch.move_to(addresses.discovery, &mut self.runtime);
        self.runtime.move_counter(addresses.counter);
    }
}
