//! What every process of the system needs as a node:
//!
//! - [`Settings`]: the settings file, TOML, which the variable [`SETTINGS_VARIABLE`] names and which is checked against
//!   `schema/settings.json`. [`SettingsWatcher`] notices its changes.
//! - [`log_to_stderr`]: the log, one line an event.
//! - [`process`]: signals, and the process' incarnation.

mod logging;
pub mod process;
mod settings;
mod watch;

pub use logging::{level_from_env, log_field, log_to_stderr, LogField, LOG_VARIABLE};
pub use settings::{
    Bounds, Error, FaultTolerance, Listeners, PlatformApi, ResourceLimits, Settings, MAX_SETTINGS_BYTES,
    SETTINGS_VARIABLE,
};
pub use watch::SettingsWatcher;
