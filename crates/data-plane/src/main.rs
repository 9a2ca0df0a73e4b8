//! `kitepass-data-plane`: kitepass' data plane in the system.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_data_plane::cli::main()
}
