//! What the operators intend of a machine: its settings file, and the shape of its log lines.
//!
//! The settings are TOML, in the file that the variable [`SETTINGS_VARIABLE`] names. [`Settings`] is that file once it
//! was checked against `schema/settings.json`; [`Watch`] tells of changes to it. [`log_to_stderr`] starts the
//! log, one line an event.
#![deny(missing_docs)]
// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

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
