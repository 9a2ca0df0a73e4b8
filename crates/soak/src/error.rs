//! Why a soak cannot begin or go on. What it finds about the system is no error but a finding.

use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a soak ends before its time.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file or folder of the soak's own cannot be used; a full disk is one reason.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The soak's folder holds something: data of an earlier soak would pass for the system's.
    #[snafu(display("{}: is not empty; name another --folder", folder.display()))]
    FolderNotEmpty {
        /// The folder.
        folder: PathBuf,
    },
    /// An address that the soak needs is in use.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A program is not there or cannot be started.
    #[snafu(display("cannot start {}: {source}; build it, or name its folder with --programs", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The system did not come up.
    #[snafu(display("{condition} not within {seconds} s; the logs are in {}", folder.display()))]
    WaitTimeout {
        /// What did not happen.
        condition: &'static str,
        /// How long was waited.
        seconds: u64,
        /// The soak's folder.
        folder: PathBuf,
    },
    /// A process of the system ended while it came up.
    #[snafu(display("a process ended by itself while the system came up; the logs are in {}", folder.display()))]
    ExitedDuringStartup {
        /// The soak's folder.
        folder: PathBuf,
    },
    /// Signal handlers cannot be set.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
    /// A history file has a line that is none of its records.
    #[snafu(display("{}, line {line}: {source}", path.display()))]
    History {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// SIGINT or SIGTERM has come.
    #[snafu(display("interrupted"))]
    Interrupted,
}
