//! `kitepass-control-plane`: the control plane of kitepass, and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_control_plane::cli::main()
}
