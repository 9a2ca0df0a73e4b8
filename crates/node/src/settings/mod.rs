//! The settings file of a node. Deployments determine the names in the file; `serde` attributes map them to the field
//! names used in the code.

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

/// The environment variable for the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "KITEPASS_NODE_FILE";

/// The maximum size of a settings file in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 1 << 20;

const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1500);
const DEFAULT_PLATFORM_RATE_PER_S: f64 = 50.0;
const DEFAULT_PLATFORM_DELAY_MS: u64 = 800;

/// The settings of a node. Node ID, address, zone, region and peer ports are required; all other fields have defaults.
/// Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The name of the node.
    #[serde(rename = "station")]
    pub node_id: String,
    /// The node's role as defined in `deploy/system.toml`; empty by default.
    #[serde(rename = "post", default)]
    pub role: String,
    /// The IP address of the node.
    #[serde(rename = "ip")]
    pub address: Ipv4Addr,
    /// The zone of the node.
    #[serde(rename = "district")]
    pub zone: String,
    /// The region of the zone.
    #[serde(rename = "province")]
    pub region: String,
    /// The range of ports on which the node may listen for its peers: the first and the last port, inclusive.
    #[serde(rename = "sidings")]
    pub peer_ports: (u16, u16),
    /// The control plane nodes to contact at startup; none by default.
    #[serde(rename = "first-stops", default)]
    pub bootstrap_addresses: Vec<SocketAddr>,
    /// Whether the whole system is started for the first time, with empty disks. `false` by default, so that a restart
    /// is never mistaken for a first start.
    #[serde(rename = "maiden-run", default)]
    pub is_first_start: bool,
    /// Whether the node counts as one of the machines whose failure [`FaultTolerance`] covers; `false` by default.
    #[serde(rename = "on-roll", default)]
    pub counts_toward_tolerance: bool,
    /// The directory for persistent data; `None` if the node has no disk.
    #[serde(rename = "archive-dir")]
    pub data_dir: Option<PathBuf>,
    /// The interval between heartbeats, never 0; 1.5 s by default.
    #[serde(rename = "heartbeat-ms", default = "default_heartbeat", deserialize_with = "millis")]
    pub heartbeat: Duration,
    /// The region of each zone, by zone; empty by default.
    #[serde(rename = "districts", default)]
    pub zones: BTreeMap<String, String>,
    /// The listen addresses of the node's services.
    #[serde(rename = "counters", default)]
    pub listeners: Listeners,
    /// The resources that the node may use.
    #[serde(rename = "weight-limits", default)]
    pub limits: ResourceLimits,
    /// The number of simultaneous failures that the system must tolerate.
    #[serde(default)]
    pub tolerance: FaultTolerance,
    /// Time limits and ratios of the deployment.
    #[serde(rename = "schedule-bounds", default)]
    pub bounds: Bounds,
    /// The API of the platform; `None` by default.
    #[serde(rename = "carrier-api")]
    pub platform: Option<PlatformApi>,
}

/// The listen addresses of a node's services; `None` for services that the node does not provide.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Listeners {
    /// The address for requests from clients.
    #[serde(rename = "front-counter")]
    pub client_api: Option<SocketAddr>,
    /// The address for readiness probes.
    pub readiness: Option<SocketAddr>,
    /// The address for requests from operators.
    #[serde(rename = "control-desk")]
    pub operator_api: Option<SocketAddr>,
    /// The address for gateway lookups by clients.
    #[serde(rename = "directory-desk")]
    pub directory_api: Option<SocketAddr>,
}

/// The resources of the machine that a node may use. The defaults suit a small control plane node.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct ResourceLimits {
    /// CPU time as a fraction of one core; 0.3 by default.
    pub cpu_quota: f64,
    /// The number of cores that threads can run on; 1 by default.
    pub cores: u32,
    /// Memory in megabytes; 256 by default.
    pub memory_mb: u64,
    /// The maximum number of open file descriptors; 4096 by default.
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

/// The number of simultaneous failures that the system must tolerate; 1 of each kind by default.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct FaultTolerance {
    /// The number of failed machines.
    #[serde(rename = "vehicles")]
    pub machines: u32,
    /// The number of failed zones.
    #[serde(rename = "districts")]
    pub zones: u32,
    /// The number of failed regions.
    #[serde(rename = "provinces")]
    pub regions: u32,
}

impl Default for FaultTolerance {
    fn default() -> FaultTolerance {
        FaultTolerance { machines: 1, zones: 1, regions: 1 }
    }
}

/// The API of the platform, which lists backends and accepts commands for them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformApi {
    /// The address of the API; required.
    pub address: SocketAddr,
    /// The maximum number of calls per second; 50 by default.
    #[serde(default = "default_platform_rate_per_s")]
    pub rate_per_s: f64,
    /// The time in milliseconds until the effect of a command is visible; 800 by default.
    #[serde(default = "default_platform_delay_ms")]
    pub delay_ms: u64,
}

// `serde` requires default values to be returned by functions.

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
    /// [`Error::InvalidToml`] if the text is not valid TOML, and [`Error::InvalidField`] if a field is missing or
    /// invalid.
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
    /// [`Error::ReadFailed`], [`Error::TooLarge`], and the errors of [`Settings::from_text`].
    pub fn load(path: &Path) -> Result<Settings, Error> {
        Settings::from_bytes(&read_file(path)?)
    }

    /// Reads the settings file at the path given by [`SETTINGS_VARIABLE`].
    ///
    /// # Errors
    ///
    /// [`Error::PathNotSet`] if the variable is unset or empty, and the errors of [`Settings::load`].
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

/// Reads a file of at most [`MAX_SETTINGS_BYTES`]. Without this limit, a device file or an oversized file in place of
/// the settings could exhaust the memory.
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).context(ReadFailedSnafu { path })?;
    file.take(MAX_SETTINGS_BYTES + 1).read_to_end(&mut bytes).context(ReadFailedSnafu { path })?;
    ensure!(bytes.len() as u64 <= MAX_SETTINGS_BYTES, TooLargeSnafu { path });
    Ok(bytes)
}
