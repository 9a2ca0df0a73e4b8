//! Configuration reload: a running gateway applies new addresses of discovery and the counter service. The
//! other fields of the new configuration are ignored, and an invalid configuration changes nothing.

use crate::server::Server;
use crate::startup::StartupConfig;
use log::{error, info, warn};
use std::net::SocketAddr;

/// The addresses that can be changed while a gateway runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the counter service; `None` for a gateway without one.
    pub counter: Option<SocketAddr>,
}

impl Server {
    /// Reads the configuration file again and applies its addresses.
    pub(crate) fn reload(&mut self) {
        let Some(path) = &self.config_path else { return warn!("cannot reload: no configuration file") };
        match StartupConfig::from_file(path) {
            Ok(startup) => self.update_addresses(startup.addresses),
            Err(error) => error!("the old configuration stays: {error}"),
        }
    }

    /// Switches discovery and the counter service to other addresses.
    pub(crate) fn update_addresses(&mut self, addresses: Addresses) {
        info!("discovery at {}, counter at {:?}", addresses.discovery, addresses.counter);
        self.watch.set_address(addresses.discovery, &mut self.runtime);
        self.runtime.set_counter_address(addresses.counter);
    }
}
