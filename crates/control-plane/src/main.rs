//! `kitepass-control-plane`: kitepass' control plane, and the operators' commands.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_control_plane::cli::main()
}
