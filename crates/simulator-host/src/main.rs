//! Runs in-service gateways for the simulator: reads events from standard input and writes actions to standard output.

mod decode;
mod host;
mod message;
mod reply;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitepass-simulator-host: {error}");
            ExitCode::FAILURE
        }
    }
}
