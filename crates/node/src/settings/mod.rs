//! A node's settings file. The names that it uses are fixed by the deployment; they stand in the `serde` attributes
//! alone, and everything else uses the names of the fields.

mod bounds;
mod durations;
mod error;
mod schema;

pub use bounds::Bounds;
pub use error::Error;

use durations::millis;
use error::{InvalidFieldSnafu, InvalidTomlSnafu, PathNotSetSnafu, ReadFailedSnafu, TooLargeSnafu};
use serde::Deserialize;
use serde_json::Value;
use snafu::{ensure, OptionExt, ResultExt};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "KITEPASS_NODE_FILE";

/// The most bytes that a settings file may have.
pub const MAX_SETTINGS_BYTES: u64 = 1 << 20;

const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1500);
const DEFAULT_PLATFORM_RATE_PER_S: f64 = 50.0;
const DEFAULT_PLATFORM_DELAY_MS: u64 = 800;

/// A node's settings. Name, address, zone, region and peer ports are required; each other field has a default, and
/// unknown fields are skipped.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The node's name.
    #[serde(rename = "station")]
    pub node_id: String,
    /// The role of `deploy/system.toml` that the node serves in; empty by default.
    #[serde(rename = "post", default)]
    pub role: String,
    /// The node's address.
    #[serde(rename = "ip")]
    pub address: Ipv4Addr,
    /// The zone that the node is in.
    #[serde(rename = "district")]
    pub zone: String,
    /// The region that the zone is in.
    #[serde(rename = "province")]
    pub region: String,
    /// The first and the last port that the node may listen on for its peers, both included; first <= last.
    #[serde(rename = "sidings")]
    pub peer_ports: (u16, u16),
    /// Control plane nodes to contact first; none by default.
    #[serde(rename = "first-stops", default)]
    pub bootstrap_addresses: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks. `false` by default, so that a restart is
    /// never taken for a first start.
    #[serde(rename = "maiden-run", default)]
    pub is_first_start: bool,
    /// Whether the node counts toward the machines that [`FaultTolerance`] lets fail; `false` by default.
    #[serde(rename = "on-roll", default)]
    pub counts_toward_tolerance: bool,
    /// The folder on disk; `None` where there is no disk.
    #[serde(rename = "archive-dir")]
    pub data_dir: Option<PathBuf>,
    /// The interval of heartbeats, never 0; 1.5 s by default.
    #[serde(rename = "heartbeat-ms", default = "default_heartbeat", deserialize_with = "millis")]
    pub heartbeat: Duration,
    /// The region of each zone; empty by default.
    #[serde(rename = "districts", default)]
    pub zones: BTreeMap<String, String>,
    /// Where this node listens, by service.
    #[serde(rename = "counters", default)]
    pub listeners: Listeners,
    /// What the node may use of its machine.
    #[serde(rename = "weight-limits", default)]
    pub limits: ResourceLimits,
    /// What may fail at once.
    #[serde(default)]
    pub tolerance: FaultTolerance,
    /// Times and ratios.
    #[serde(rename = "schedule-bounds", default)]
    pub bounds: Bounds,
    /// The platform's API; `None` by default.
    #[serde(rename = "carrier-api")]
    pub platform: Option<PlatformApi>,
}

/// The addresses that a node's services listen on; each `None` where the node does not have the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Listeners {
    /// Clients' requests.
    #[serde(rename = "front-counter")]
    pub client_api: Option<SocketAddr>,
    /// Readiness probes.
    pub readiness: Option<SocketAddr>,
    /// Operators' requests.
    #[serde(rename = "control-desk")]
    pub operator_api: Option<SocketAddr>,
    /// Clients' look-ups of gateways.
    #[serde(rename = "directory-desk")]
    pub directory_api: Option<SocketAddr>,
}

/// What a node may use of its machine. The defaults are a small control plane node's.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct ResourceLimits {
    /// The part of one core; 0.3 by default.
    pub cpu_quota: f64,
    /// The cores that threads can run on; 1 by default.
    pub cores: u32,
    /// Memory in megabytes; 256 by default.
    pub memory_mb: u64,
    /// Open file descriptors; 4096 by default.
    #[serde(rename = "handles")]
    pub file_descriptors: u64,
    /// Network bandwidth in megabits per second; 1000 by default.
    #[serde(rename = "line-mbps")]
    pub link_mbps: f64,
    /// Disk space in megabytes; 256 by default.
    pub disk_mb: u64,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits {
            cpu_quota: 0.3,
            cores: 1,
            memory_mb: 256,
            file_descriptors: 4096,
            link_mbps: 1000.0,
            disk_mb: 256,
        }
    }
}

/// How many failures at once the system has to survive; 1 of each kind by default.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines.
    #[serde(rename = "vehicles")]
    pub machines: u32,
    /// Zones.
    #[serde(rename = "districts")]
    pub zones: u32,
    /// Regions.
    #[serde(rename = "provinces")]
    pub regions: u32,
}

impl Default for FaultTolerance {
    fn default() -> FaultTolerance {
        FaultTolerance { machines: 1, zones: 1, regions: 1 }
    }
}

/// The platform's API, which lists backends and takes orders for them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformApi {
    /// The address that it listens on; required.
    pub address: SocketAddr,
    /// The most calls per second; 50 by default.
    #[serde(default = "default_platform_rate_per_s")]
    pub rate_per_s: f64,
    /// The time in milliseconds until an order shows; 800 by default.
    #[serde(default = "default_platform_delay_ms")]
    pub delay_ms: u64,
}

// `serde` takes defaults from functions.

fn default_heartbeat() -> Duration {
    DEFAULT_HEARTBEAT
}

fn default_platform_rate_per_s() -> f64 {
    DEFAULT_PLATFORM_RATE_PER_S
}

fn default_platform_delay_ms() -> u64 {
    DEFAULT_PLATFORM_DELAY_MS
}

impl Settings {
    /// Parses settings from TOML.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidToml`] names the line, [`Error::InvalidField`] the field.
    pub fn from_text(text: &str) -> Result<Settings, Error> {
        let value: Value = toml::from_str(text).map_err(invalid_toml)?;
        schema::check(&value)?;
        let settings: Settings = serde_path_to_error::deserialize(value).map_err(|error| {
            InvalidFieldSnafu { field: error.path().to_string(), cause: error.inner().to_string() }.build()
        })?;
        let (first, last) = settings.peer_ports;
        ensure!(
            first <= last,
            InvalidFieldSnafu { field: "sidings", cause: format!("{first} is above {last}") }
        );
        Ok(settings)
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Those of [`Settings::from_text`], and [`Error::ReadFailed`] and [`Error::TooLarge`], which name the path.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        Settings::from_bytes(&read_file(path)?)
    }

    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// [`Error::PathNotSet`] where the variable is unset or empty, and those of [`Settings::load`].
    pub fn from_env() -> Result<Settings, Error> {
        let path = std::env::var_os(SETTINGS_VARIABLE).filter(|path| !path.is_empty());
        let path = path.context(PathNotSetSnafu)?;
        Settings::load(Path::new(&path))
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Settings, Error> {
        let text = std::str::from_utf8(bytes).map_err(invalid_toml)?;
        Settings::from_text(text)
    }
}

fn invalid_toml(error: impl Display) -> Error {
    InvalidTomlSnafu { cause: error.to_string().trim_end() }.build()
}

/// Reads a file, but no more than [`MAX_SETTINGS_BYTES`]: a device or a runaway file in the place of the settings
/// would otherwise fill the memory.
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).context(ReadFailedSnafu { path })?;
    file.take(MAX_SETTINGS_BYTES + 1).read_to_end(&mut bytes).context(ReadFailedSnafu { path })?;
    ensure!(bytes.len() as u64 <= MAX_SETTINGS_BYTES, TooLargeSnafu { path });
    Ok(bytes)
}
