//! `kitepass-data-plane`: kitepass' data plane in the system.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_data_plane::cli::main()
}
