//! Errors of the commands, and their exit codes.

use super::client;
use snafu::Snafu;
use std::path::PathBuf;

/// Why a command failed. The message is printed on one line, after the program's name.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum Error {
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    #[snafu(display("standard output: {source}"))]
    Output { source: std::io::Error },
    #[snafu(display("{}: {reason}", path.display()))]
    Invalid { path: PathBuf, reason: String },
    #[snafu(display("{source}"))]
    Call { source: client::Error },
    #[snafu(display("an answer that this program cannot read: {reason}"))]
    UnreadableResponse { reason: String },
    #[snafu(display("no settings file: name one with --settings or {}", kitepass_node::SETTINGS_VARIABLE))]
    NoSettings,
    #[snafu(display("{source}"))]
    Serve { source: crate::server::Error },
}

impl Error {
    /// Returns the exit code of the process. Operators' scripts rely on these codes, which `--help` documents.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Error::Usage { .. } | Error::File { .. } | Error::Output { .. } => 2,
            Error::Call { source: client::Error::Unavailable { .. } } => 3,
            Error::Call { source: client::Error::Rejected { .. } } => 1,
            Error::Invalid { .. } | Error::UnreadableResponse { .. } => 1,
            Error::NoSettings | Error::Serve { .. } => 1,
        }
    }

    /// Returns the error for a response that this program cannot parse.
    pub(super) fn unreadable(error: impl std::fmt::Display) -> Error {
        Error::UnreadableResponse { reason: error.to_string() }
    }
}
