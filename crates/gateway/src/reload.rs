//! Reload: a running gateway takes up new addresses of discovery and the counter. The rest of a new
//! configuration is ignored, and an invalid one changes nothing.

use crate::server::Server;
use crate::startup::Launch;
use log::{error, info, warn};
use std::net::SocketAddr;

/// The addresses that a running gateway can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the shared counter listens; `None` for a gateway without one.
    pub counter: Option<SocketAddr>,
}

impl Server {
    /// Reads the configuration's file again and takes up its addresses.
    pub(crate) fn reload(&mut self) {
        let Some(path) = &self.origin else { return warn!("nothing to read again: it came from no file") };
        match Launch::read(path) {
            Ok(launch) => self.update_addresses(launch.addresses),
            Err(error) => error!("the old configuration stays: {error}"),
        }
    }

    /// Connects to discovery and the counter at other addresses.
    pub(crate) fn update_addresses(&mut self, addresses: Addresses) {
        info!("discovery at {}, counter at {:?}", addresses.discovery, addresses.counter);
        self.watch.move_to(addresses.discovery, &mut self.runtime);
        self.runtime.move_counter(addresses.counter);
    }
}
