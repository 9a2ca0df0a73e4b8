//! One kitepass gateway, as its configuration says.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::io::Write;
use std::process::ExitCode;

const HELP: &str = "\
kitepass: a gateway that keeps quotas for a shared API

usage:
  BALANCER_CONFIG=FILE kitepass
  kitepass --help | --version

BALANCER_CONFIG names the configuration, one JSON file; docs/gateway.md lists its fields.
RUST_LOG sets how much is logged to standard error: error (the default), info, debug.
GET /healthz answers 200 once it has a list of backends. SIGTERM has it answer what it took and end; SIGHUP has
it read discovery and counter from the file again.

exit codes: 0 done; 1 the configuration cannot be taken, or the gateway cannot go on, with one line that says why
";

fn main() -> ExitCode {
    // Any other argument is passed over, as ever: a deployment that gives one must come up again.
    for arg in std::env::args_os().skip(1) {
        let said = match arg.to_str() {
            Some("--help" | "-h") => HELP.to_owned(),
            Some("--version" | "-V") => format!("kitepass {}\n", env!("CARGO_PKG_VERSION")),
            _ => continue,
        };
        let _ = std::io::stdout().write_all(said.as_bytes()); // nobody may read it
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match kitepass_gateway::Launch::from_env().and_then(kitepass_gateway::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("kitepass: {wrong}");
            ExitCode::FAILURE
        }
    }
}
