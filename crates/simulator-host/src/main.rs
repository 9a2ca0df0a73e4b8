//! Hosts kitepass gateways on the simulator's wire: standard input in, standard output out.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

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
