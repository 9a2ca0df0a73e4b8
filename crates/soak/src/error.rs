//! Errors of the soak test itself. Faults of the system under test are findings, not errors.

use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a soak test cannot start or continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file or folder of the soak test cannot be read or written, for example because the disk is full.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The folder is not empty: the system under test would take over the data of an earlier soak test.
    #[snafu(display("{} is not empty; choose another --folder", folder.display()))]
    FolderNotEmpty {
        /// The folder.
        folder: PathBuf,
    },
    /// An address that the soak test needs cannot be bound, usually because it is in use.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A program is missing or cannot be started.
    #[snafu(display("cannot start {}: {source}; build it, or set its folder with --programs", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A condition on the system under test was not met in time, at startup or during recovery.
    #[snafu(display("timed out after {seconds} s waiting until {condition}; the logs are in {}", folder.display()))]
    WaitTimeout {
        /// The condition, as a clause that completes "waiting until".
        condition: &'static str,
        /// The time limit in seconds.
        seconds: u64,
        /// The soak test's folder.
        folder: PathBuf,
    },
    /// A process of the system under test exited during startup.
    #[snafu(display("a process exited unexpectedly during startup; the logs are in {}", folder.display()))]
    ExitedDuringStartup {
        /// The soak test's folder.
        folder: PathBuf,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install the signal handlers: {source}"))]
    Signals {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A line of a history file is not a valid record.
    #[snafu(display("{}, line {line}: {source}", path.display()))]
    History {
        /// The file.
        path: PathBuf,
        /// The line number, from 1.
        line: usize,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The soak test received SIGINT or SIGTERM.
    #[snafu(display("interrupted"))]
    Interrupted,
}
