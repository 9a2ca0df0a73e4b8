//! Errors of loading and parsing settings.

use super::{MAX_SETTINGS_BYTES, SETTINGS_VARIABLE};
use snafu::Snafu;
use std::path::PathBuf;

/// An error of loading or parsing settings. The messages are shown to operators.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum Error {
    /// The environment variable for the settings file is unset or empty.
    #[snafu(display("environment variable {SETTINGS_VARIABLE} is not set to the path of a settings file"))]
    PathNotSet,
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFailed {
        /// The settings file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is larger than [`MAX_SETTINGS_BYTES`].
    #[snafu(display("{}: larger than {MAX_SETTINGS_BYTES} bytes", path.display()))]
    TooLarge {
        /// The settings file.
        path: PathBuf,
    },
    /// The file is not valid UTF-8 or not valid TOML.
    #[snafu(display("not TOML: {cause}"))]
    InvalidToml {
        /// The parser's error, which includes the position.
        cause: String,
    },
    /// A field is missing or has an invalid value.
    #[snafu(display("field {field}: {cause}"))]
    InvalidField {
        /// The dotted path of the field, such as `carrier-api.address`.
        field: String,
        /// The reason why it is invalid.
        cause: String,
    },
    /// The embedded schema is invalid. This is a bug of the program, not an error in the file.
    #[snafu(display("embedded settings schema is invalid: {cause}"))]
    Schema {
        /// The reason why it is invalid.
        cause: String,
    },
}
