//! `kitepass-control-plane`: kitepass' control plane, and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_control_plane::cli::main()
}
