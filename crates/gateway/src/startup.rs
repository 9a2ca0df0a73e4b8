//! The start-up configuration of a gateway.

use crate::reload::Addresses;
use crate::runtime::{Phase, Runtime};
use kitepass_gateway_config::ConnectionSettings;
use kitepass_gateway_policy::GatewayConfig;
use kitepass_time::Duration;
use rustix::process::{getrlimit, Resource};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything that a gateway needs to start.
#[derive(Debug)]
pub struct StartupConfig {
    /// The gateway's name, for the log.
    pub name: String,
    /// The address on which it accepts clients.
    pub listen: SocketAddr,
    /// The addresses of discovery and the counter service.
    pub addresses: Addresses,
    /// The seed of the policy's random number generator.
    pub seed: u64,
    /// How many file descriptors it may open at most.
    pub max_descriptors: usize,
    /// The policy's settings.
    pub config: GatewayConfig,
    /// Time limits of connections and responses.
    pub connection_settings: ConnectionSettings,
    /// The last known list of backends, in discovery's format, used until discovery answers; null if there is
    /// none.
    pub initial_backends: Value,
    /// The file that this was read from, for reloads.
    pub config_path: Option<PathBuf>,
}

/// How long a starting gateway waits for discovery before it serves with its initial list.
pub(crate) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// The smallest descriptor limit that a gateway can serve with.
const MIN_DESCRIPTORS: u64 = 64;

impl StartupConfig {
    /// Reads the configuration that `BALANCER_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, or an error of [`StartupConfig::from_file`].
    pub fn from_env() -> Result<StartupConfig, String> {
        let path = std::env::var_os("BALANCER_CONFIG");
        let path = path.ok_or("BALANCER_CONFIG: expected a file's path; see kitepass --help")?;
        StartupConfig::from_file(Path::new(&path))
    }

    /// Reads and parses a configuration file.
    ///
    /// # Errors
    /// The file cannot be read, or an error of [`StartupConfig::from_json`]; begins with the file's path.
    pub fn from_file(path: &Path) -> Result<StartupConfig, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut startup =
            StartupConfig::from_json(&text).map_err(|error| format!("{}: {error}", path.display()))?;
        startup.config_path = Some(path.to_owned());
        Ok(startup)
    }

    /// Parses a configuration from JSON text.
    ///
    /// # Errors
    /// Names the first field that is missing or invalid, and what was expected.
    pub fn from_json(text: &str) -> Result<StartupConfig, String> {
        let root: Value = serde_json::from_str(text).map_err(|error| format!("expected JSON, {error}"))?;
        let (mut config, connection_settings) =
            kitepass_gateway_config::from_value("settings", &root["settings"])?;
        if config.gateway_index >= config.gateways {
            return Err("settings.Me: expected a number below ReplicasOfMe".to_owned());
        }
        // Gateways on sockets do not know each other's addresses; they share only the counter service.
        config.max_peer_messages = 0.0;
        let seed = root["seed"].as_str().and_then(|seed| u64::from_str_radix(seed, 16).ok());
        let max_descriptors = match &root["limits"]["sockets"] {
            Value::Null => u64::MAX,
            found => found
                .as_u64()
                .filter(|limit| *limit >= MIN_DESCRIPTORS)
                .ok_or_else(|| format!("limits.sockets: expected a whole number from {MIN_DESCRIPTORS}"))?,
        };
        let descriptor_limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let initial_backends = &root["known"];
        if !initial_backends.is_null() && !initial_backends["instances"].is_array() {
            return Err("known.instances: expected an array".to_owned());
        }
        Ok(StartupConfig {
            name: root["name"].as_str().ok_or("name: expected text")?.to_owned(),
            listen: parse_address(&root, "listen")?.ok_or("listen: expected an address and a port")?,
            addresses: Addresses {
                discovery: parse_address(&root, "discovery")?
                    .ok_or("discovery: expected an address and a port")?,
                counter: parse_address(&root, "counter")?,
            },
            seed: seed.ok_or("seed: expected up to 16 hex digits")?,
            max_descriptors: max_descriptors.min(descriptor_limit).min(1 << 16) as usize,
            config,
            connection_settings,
            initial_backends: initial_backends.clone(),
            config_path: None,
        })
    }
}

impl Runtime {
    /// Starts to serve with the initial list, as discovery has not answered in time. Without a live backend on
    /// that list, the gateway keeps waiting for discovery.
    pub(crate) fn use_initial_list(&mut self) {
        if self.phase == Phase::Starting && self.backends.has_live_backend() {
            self.phase = Phase::Serving;
        }
    }
}

/// Parses the address in a field; `None` if the field is missing or null.
///
/// # Errors
/// The field is not an address with a port.
fn parse_address(root: &Value, key: &str) -> Result<Option<SocketAddr>, String> {
    match &root[key] {
        Value::Null => Ok(None),
        found => {
            let address = found.as_str().and_then(|text| text.parse().ok());
            address.map(Some).ok_or_else(|| format!("{key}: expected an address and a port, found {found}"))
        }
    }
}
