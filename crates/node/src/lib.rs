//! What the operators intend of a machine: its settings file, and the shape of its log lines.
//!
//! The settings are TOML, in the file that the variable [`SETTINGS_VARIABLE`] names. [`Settings`] is that file once it
//! was checked against `schema/settings.json`; [`Watch`] tells of changes to it. [`log_to_stderr`] starts the
//! log, one line an event.
#![deny(missing_docs)]

mod logging;
pub mod process;
mod settings;
mod watch;

pub use logging::{level_from_env, log_to_stderr, pair, Pair, LOG_VARIABLE};
pub use settings::{
    Bounds, Error, Listeners, MachineLimits, Platform, Settings, Tolerance, MAX_SETTINGS_BYTES,
    SETTINGS_VARIABLE,
};
pub use watch::Watch;
