//! Facilities shared by all processes of the system:
//!
//! - [`Settings`]: the settings file in TOML format, whose path is given by the environment variable
//!   [`SETTINGS_VARIABLE`]. It is validated against `schema/settings.json`. [`SettingsWatcher`] detects changes to it.
//! - [`log_to_stderr`]: the log, with one line per event.
//! - [`process`]: signal handling, and the incarnation number of a process.

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
