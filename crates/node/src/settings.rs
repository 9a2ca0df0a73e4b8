//! The settings file: what it may say, and what holds where it says nothing.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// The variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "KITEPASS_NODE_FILE";

/// The most bytes that a settings file may have.
pub const MAX_SETTINGS_BYTES: u64 = 1 << 20;

const SCHEMA: &str = include_str!("../schema/settings.json");

/// Why settings were not taken.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The variable is not set, or not text.
    #[snafu(display("{SETTINGS_VARIABLE} does not name a settings file"))]
    Unnamed,
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file has more than [`MAX_SETTINGS_BYTES`].
    #[snafu(display("{}: more than {MAX_SETTINGS_BYTES} bytes", path.display()))]
    TooLong {
        /// The settings file.
        path: PathBuf,
    },
    /// The text is not UTF-8 or not TOML; `cause` tells the line.
    #[snafu(display("not TOML: {cause}"))]
    NotToml {
        /// What is wrong, and where.
        cause: String,
    },
    /// A field is missing, or holds what it must not.
    #[snafu(display("field {field}: {cause}"))]
    Field {
        /// The field, with the tables it is in: `carrier-api.address`.
        field: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The schema that is part of this program is broken: a fault of the program, not of the file.
    #[snafu(display("the schema of settings: {cause}"))]
    Schema {
        /// What is wrong.
        cause: String,
    },
}

/// A machine's settings. `station`, `ip`, `district`, `province` and `sidings` are needed; each other field
/// has a default, and fields that are not known are skipped.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The machine's name.
    #[serde(rename = "station")]
    pub node_id: String,
    /// The post that the machine serves in; empty by default.
    #[serde(rename = "post", default)]
    pub role: String,
    /// The machine's address.
    #[serde(rename = "ip")]
    pub address: Ipv4Addr,
    /// The district that the machine stands in.
    #[serde(rename = "district")]
    pub zone: String,
    /// The province that the district lies in.
    #[serde(rename = "province")]
    pub region: String,
    /// The first and the last port that the machine may listen on, both of them included; first <= last.
    #[serde(rename = "sidings")]
    pub peer_ports: (u16, u16),
    /// Where control machines are met first; none by default.
    #[serde(rename = "first-stops", default)]
    pub bootstrap_addresses: Vec<SocketAddr>,
    /// Whether this is the first run ever, with nothing to remember; `false` by default, so that a machine
    /// never takes a restart for a first run.
    #[serde(rename = "maiden-run", default)]
    pub is_first_start: bool,
    /// Whether the machine is on the roll from the start; `false` by default.
    #[serde(rename = "on-roll", default)]
    pub counts_toward_tolerance: bool,
    /// The folder on disk; none where there is no disk.
    #[serde(rename = "archive-dir")]
    pub data_dir: Option<PathBuf>,
    /// The time between heartbeats, `heartbeat-ms` in the file, never 0; 1.5 s by default.
    #[serde(rename = "heartbeat-ms", default = "heartbeat", deserialize_with = "ms")]
    pub heartbeat: Duration,
    /// The province of each district; empty by default.
    #[serde(rename = "districts", default)]
    pub zones: BTreeMap<String, String>,
    /// Where this machine listens, by service.
    #[serde(rename = "counters", default)]
    pub listeners: Listeners,
    /// What the machine may use, `weight-limits` in the file.
    #[serde(rename = "weight-limits", default)]
    pub limits: MachineLimits,
    /// What may be lost at once.
    #[serde(default)]
    pub tolerance: Tolerance,
    /// Times and ratios, `schedule-bounds` in the file.
    #[serde(rename = "schedule-bounds", default)]
    pub bounds: Bounds,
    /// The carrier's interface, `carrier-api` in the file; none by default.
    #[serde(rename = "carrier-api")]
    pub platform: Option<Platform>,
}

/// The addresses of services; each `None` where the machine has no such service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Listeners {
    /// Clients' entry.
    #[serde(rename = "front-counter")]
    pub client_api: Option<SocketAddr>,
    /// Readiness answers.
    pub readiness: Option<SocketAddr>,
    /// Talk between control machines.
    #[serde(rename = "control-desk")]
    pub operator_api: Option<SocketAddr>,
    /// Directory lookups.
    #[serde(rename = "directory-desk")]
    pub directory_api: Option<SocketAddr>,
}

/// What a machine may use. The defaults are a small control machine's.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct MachineLimits {
    /// Parts of one core; 0.3 by default.
    pub cpu_quota: f64,
    /// Cores that threads can run on; 1 by default.
    pub cores: u32,
    /// Memory in MB; 256 by default.
    pub memory_mb: u64,
    /// Open descriptors; 4096 by default.
    #[serde(rename = "handles")]
    pub file_descriptors: u64,
    /// The line in megabits a second; 1000 by default.
    #[serde(rename = "line-mbps")]
    pub link_mbps: f64,
    /// The disk in MB; 256 by default.
    pub disk_mb: u64,
}

impl Default for MachineLimits {
    fn default() -> MachineLimits {
        MachineLimits {
            cpu_quota: 0.3,
            cores: 1,
            memory_mb: 256,
            file_descriptors: 4096,
            link_mbps: 1000.0,
            disk_mb: 256,
        }
    }
}

/// How many may be lost at once; 1 of each by default.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Tolerance {
    /// Machines.
    #[serde(rename = "vehicles")]
    pub machines: u32,
    /// Districts.
    #[serde(rename = "districts")]
    pub zones: u32,
    /// Provinces.
    #[serde(rename = "provinces")]
    pub regions: u32,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance { machines: 1, zones: 1, regions: 1 }
    }
}

/// Times and ratios. In the file a name ends with the unit of its number (`-ms`, `-s`); here times are
/// durations. What is `None` by default has no value that is right everywhere: its reader chooses.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    /// `contact-ms`, 5 s by default.
    #[serde(rename = "contact-ms", deserialize_with = "ms")]
    pub contact: Duration,
    /// `settle-s`, 4 s by default.
    #[serde(rename = "settle-s", deserialize_with = "s")]
    pub settle: Duration,
    /// `clearance-ms`, 4 s by default.
    #[serde(rename = "clearance-ms", deserialize_with = "ms")]
    pub clearance: Duration,
    /// `courtesy-s`, 6 s by default.
    #[serde(rename = "courtesy-s", deserialize_with = "s")]
    pub shutdown_grace: Duration,
    /// `timetable-ms`, 4 s by default.
    #[serde(rename = "timetable-ms", deserialize_with = "ms")]
    pub configuration_delay: Duration,
    /// `retry-ratio`, 0.2 by default.
    pub retry_ratio: f64,
    /// `retry-window-s`, 10 s by default.
    #[serde(rename = "retry-window-s", deserialize_with = "s")]
    pub retry_window: Duration,
    /// `retry-margin`, a number of calls; 60 by default.
    pub retry_margin: f64,
    /// `quota-window-s`, 5 s by default.
    #[serde(rename = "quota-window-s", deserialize_with = "s")]
    pub quota_window: Duration,
    /// `quota-excess`, 0.1 by default.
    pub quota_excess: f64,
    /// `quota-margin`, a number of calls; 20 by default.
    pub quota_margin: f64,
    /// `cold-excess`, 1.5 by default.
    #[serde(rename = "cold-excess")]
    pub slow_start_excess: f64,
    /// `cold-margin`, a number of calls; 5 by default.
    #[serde(rename = "cold-margin")]
    pub slow_start_margin: f64,
    /// `evacuate-ms`, 5 s by default.
    #[serde(rename = "evacuate-ms", deserialize_with = "ms")]
    pub evacuation: Duration,
    /// `ttl_max_s`, 5 s by default.
    #[serde(rename = "ttl_max_s", deserialize_with = "s")]
    pub ttl_max: Duration,
    /// `sealed-off`, `false` by default.
    #[serde(rename = "sealed-off")]
    pub is_sealed_off: bool,
    /// `roster-lag-s`, `None` by default.
    #[serde(rename = "roster-lag-s", deserialize_with = "maybe_s")]
    pub endpoint_list_lag: Option<Duration>,
    /// `readdress-s`, `None` by default.
    #[serde(rename = "readdress-s", deserialize_with = "maybe_s")]
    pub readdress: Option<Duration>,
    /// `receipt-ms`, `None` by default.
    #[serde(rename = "receipt-ms", deserialize_with = "maybe_ms")]
    pub receipt: Option<Duration>,
    /// `missing-ms`, `None` by default.
    #[serde(rename = "missing-ms", deserialize_with = "maybe_ms")]
    pub missing: Option<Duration>,
    /// `return-ms`, `None` by default.
    #[serde(rename = "return-ms", deserialize_with = "maybe_ms")]
    pub return_after: Option<Duration>,
    /// `stretch-ms`, `None` by default.
    #[serde(rename = "stretch-ms", deserialize_with = "maybe_ms")]
    pub stretch: Option<Duration>,
    /// `recall-ms`, `None` by default.
    #[serde(rename = "recall-ms", deserialize_with = "maybe_ms")]
    pub recall: Option<Duration>,
    /// `recovery-s`, `None` by default.
    #[serde(rename = "recovery-s", deserialize_with = "maybe_s")]
    pub recovery: Option<Duration>,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact: Duration::from_secs(5),
            settle: Duration::from_secs(4),
            clearance: Duration::from_secs(4),
            shutdown_grace: Duration::from_secs(6),
            configuration_delay: Duration::from_secs(4),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_margin: 60.0,
            quota_window: Duration::from_secs(5),
            quota_excess: 0.1,
            quota_margin: 20.0,
            slow_start_excess: 1.5,
            slow_start_margin: 5.0,
            evacuation: Duration::from_secs(5),
            ttl_max: Duration::from_secs(5),
            is_sealed_off: false,
            endpoint_list_lag: None,
            readdress: None,
            receipt: None,
            missing: None,
            return_after: None,
            stretch: None,
            recall: None,
            recovery: None,
        }
    }
}

/// The carrier's interface.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// Where it answers; needed.
    pub address: SocketAddr,
    /// The most calls a second; 50 by default.
    #[serde(default = "rate")]
    pub rate_per_s: f64,
    /// How long an order takes until it shows, in ms; 800 by default.
    #[serde(default = "delay")]
    pub delay_ms: u64,
}

impl Settings {
    /// Reads settings from TOML.
    ///
    /// # Errors
    /// [`Error::NotToml`] names the line, [`Error::Field`] the field.
    pub fn from_text(text: &str) -> Result<Settings, Error> {
        let value: Value =
            toml::from_str(text).map_err(|e| NotTomlSnafu { cause: e.to_string().trim_end() }.build())?;
        check(&value)?;
        let settings: Settings = serde_path_to_error::deserialize(value)
            .map_err(|e| FieldSnafu { field: e.path().to_string(), cause: e.inner().to_string() }.build())?;
        let (first, last) = settings.peer_ports;
        ensure!(first <= last, FieldSnafu { field: "sidings", cause: format!("{first} is above {last}") });
        Ok(settings)
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// Those of [`Settings::from_text`]; and [`Error::Unreadable`] and [`Error::TooLong`], which name the path.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        Settings::from_bytes(&read(path)?)
    }

    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// [`Error::Unnamed`] where the variable is unset or empty; and those of [`Settings::load`].
    pub fn from_env() -> Result<Settings, Error> {
        let path =
            std::env::var_os(SETTINGS_VARIABLE).filter(|path| !path.is_empty()).context(UnnamedSnafu)?;
        Settings::load(Path::new(&path))
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Settings, Error> {
        let text = std::str::from_utf8(bytes).map_err(|e| NotTomlSnafu { cause: e.to_string() }.build())?;
        Settings::from_text(text)
    }
}

/// Reads the file's bytes, no more than [`MAX_SETTINGS_BYTES`]. Danger: a device or a runaway file in the place of
/// the settings would fill the memory.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).context(UnreadableSnafu { path })?;
    file.take(MAX_SETTINGS_BYTES + 1).read_to_end(&mut bytes).context(UnreadableSnafu { path })?;
    ensure!(bytes.len() as u64 <= MAX_SETTINGS_BYTES, TooLongSnafu { path });
    Ok(bytes)
}

/// Holds the value against the schema; gives the first thing that is wrong. The schema is compiled for each
/// call: files are read seldom, and a schema that is kept would be memory held for nothing.
fn check(value: &Value) -> Result<(), Error> {
    let schema: Value =
        serde_json::from_str(SCHEMA).map_err(|e| SchemaSnafu { cause: e.to_string() }.build())?;
    let schema =
        jsonschema::validator_for(&schema).map_err(|e| SchemaSnafu { cause: e.to_string() }.build())?;
    schema.validate(value).map_err(|e| {
        let at = e.instance_path().as_str().trim_start_matches('/').replace('/', ".");
        let field = if at.is_empty() { "(top)".to_owned() } else { at };
        FieldSnafu { field, cause: e.to_string() }.build()
    })
}

fn heartbeat() -> Duration {
    Duration::from_millis(1500)
}

fn rate() -> f64 {
    50.0
}

fn delay() -> u64 {
    800
}

/// A time of so many parts of a second. The schema keeps it from 0 to a number that a duration holds; what
/// comes past the schema all the same is an error and no panic.
fn time<'de, D: Deserializer<'de>>(d: D, parts: f64) -> Result<Duration, D::Error> {
    let number = f64::deserialize(d)?;
    Duration::try_from_secs_f64(number / parts).map_err(serde::de::Error::custom)
}

fn ms<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    time(d, 1e3)
}

fn s<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    time(d, 1.0)
}

fn maybe_ms<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
    time(d, 1e3).map(Some)
}

fn maybe_s<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
    time(d, 1.0).map(Some)
}
