//! What the data plane's tables cost as the system grows:
//! `cargo run --release -p kitepass-data-plane --example tables`.
//!
//! The real control session, routing table, load balancer and quota at three sizes, each in a process of its own so
//! that memory is told apart: microseconds a call, and resident memory. `docs/CAPACITY.md` uses what it prints.

mod fixtures;
mod gateway;
mod measurements;
mod report;

use fixtures::{Size, SIZES};
use std::process::ExitCode;

/// Prints a figure of a table, whose name and row stand in `row` with a tab between them.
fn print_row(row: &str, figure: f64) {
    println!("{row}\t{figure}");
}

fn measure(size: Size) {
    let mut tables = gateway::build(size);
    measurements::measure_session(&mut tables, size);
    measurements::measure_changes(&mut tables, size);
    measurements::measure_requests(&mut tables, size);
    measurements::measure_periods(&mut tables);
}

/// The size that the command line asks for, by its number of gateways.
fn wanted_size() -> Option<Size> {
    let mut arguments = lexopt::Parser::from_env();
    let mut gateways = None;
    while let Ok(Some(argument)) = arguments.next() {
        if let lexopt::Arg::Long("size") = argument {
            gateways = arguments.value().ok().and_then(|value| value.to_string_lossy().parse::<usize>().ok());
        }
    }
    SIZES.into_iter().find(|size| Some(size.gateways) == gateways)
}

fn main() -> ExitCode {
    if let Some(size) = wanted_size() {
        measure(size);
        return ExitCode::SUCCESS;
    }
    match report::print_report() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tables: {error}");
            ExitCode::FAILURE
        }
    }
}
