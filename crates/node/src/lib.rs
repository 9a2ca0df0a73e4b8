//! What the operators intend of a machine: its settings file, and the shape of its log lines.
//!
//! The settings are TOML, in the file that the variable [`VARIABLE`] names. [`Settings`] is that file once it
//! was checked against `schema/settings.json`; [`Watch`] tells of changes to it. [`log_to_stderr`] starts the
//! log, one line an event.
#![deny(missing_docs)]

mod logging;
pub mod process;
mod settings;
mod watch;

pub use logging::{level_from_env, log_to_stderr, pair, Pair, LOG_VARIABLE};
pub use settings::{Bounds, Carrier, Counters, Error, Machine, Settings, Tolerance, MOST_BYTES, VARIABLE};
pub use watch::Watch;
