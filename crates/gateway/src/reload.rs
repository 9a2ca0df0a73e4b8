//! Reload: a running gateway takes up new addresses of discovery and the counter. The rest of a new
//! configuration is ignored, and an invalid one changes nothing.

use crate::server::Server;
use crate::startup::StartupConfig;
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
        let Some(path) = &self.config_path else { return warn!("cannot reload: no configuration file") };
        match StartupConfig::from_file(path) {
            Ok(startup) => self.update_addresses(startup.addresses),
            Err(error) => error!("the old configuration stays: {error}"),
        }
    }

    /// Connects to discovery and the counter at other addresses.
    pub(crate) fn update_addresses(&mut self, addresses: Addresses) {
        info!("discovery at {}, counter at {:?}", addresses.discovery, addresses.counter);
        self.watch.set_address(addresses.discovery, &mut self.runtime);
        self.runtime.set_counter_address(addresses.counter);
    }
}
