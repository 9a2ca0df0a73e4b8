//! Why settings are rejected.

use super::{MAX_SETTINGS_BYTES, SETTINGS_VARIABLE};
use snafu::Snafu;
use std::path::PathBuf;

/// Why settings were rejected. Each text is shown to operators as it is.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum Error {
    /// The variable is unset or empty.
    #[snafu(display("{SETTINGS_VARIABLE} does not name a settings file"))]
    PathNotSet,
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFailed {
        /// The settings file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file has more than [`MAX_SETTINGS_BYTES`].
    #[snafu(display("{}: more than {MAX_SETTINGS_BYTES} bytes", path.display()))]
    TooLarge {
        /// The settings file.
        path: PathBuf,
    },
    /// The text is not UTF-8 or not TOML; `cause` names the line.
    #[snafu(display("not TOML: {cause}"))]
    InvalidToml {
        /// What is wrong, and where.
        cause: String,
    },
    /// A field is missing or its value is not allowed.
    #[snafu(display("field {field}: {cause}"))]
    InvalidField {
        /// The field with the tables that it is in, such as `carrier-api.address`.
        field: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The schema that is built into this program is invalid: a fault of the program, not of the file.
    #[snafu(display("the schema of settings: {cause}"))]
    Schema {
        /// What is wrong.
        cause: String,
    },
}
