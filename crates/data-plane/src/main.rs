//! The `kitepass-data-plane` program: a gateway of the kitepass data plane.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_data_plane::cli::main()
}
