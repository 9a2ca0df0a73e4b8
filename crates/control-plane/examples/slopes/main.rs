//! What the control plane's work costs as the system grows:
//! `cargo run --release -p kitepass-control-plane --example slopes`.
//!
//! Six state machines on a network and disks in memory, with simulated gateways that answer as a gateway's control session
//! does, at three sizes, each in a process of its own so that memory is told apart. All time is simulated but the
//! processor's, which is measured around the modules' calls, with packing and unpacking of messages. docs/CAPACITY.md
//! uses what it prints, by the names of its rows.

mod configuration;
mod control_plane;
mod deployment;
mod gateways;
mod measurements;
mod phases;
mod platform;
mod report;
mod simulation;

use deployment::Deployment;
use std::process::ExitCode;

/// The number of gateways that `--size` names, which stands for one of the sizes.
fn gateways_from_arguments() -> Option<usize> {
    let mut arguments = lexopt::Parser::from_env();
    let mut gateways = None;
    while let Ok(Some(argument)) = arguments.next() {
        if let lexopt::Arg::Long("size") = argument {
            gateways = arguments.value().ok().and_then(|value| value.to_string_lossy().parse().ok());
        }
    }
    gateways
}

fn main() -> ExitCode {
    let deployment = gateways_from_arguments().and_then(Deployment::with_gateways);
    if let Some(deployment) = deployment {
        phases::run_all(deployment);
        return ExitCode::SUCCESS;
    }
    match report::print_all() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}
