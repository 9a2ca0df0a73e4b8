//! Hosts kitepass gateways on the simulator's wire: standard input in, standard output out.

mod decode;
mod host;
mod message;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("kitepass-simulator-host: {trouble}");
            ExitCode::FAILURE
        }
    }
}
