//! The program `kitepass`: runs one gateway from a configuration file.

use std::io::Write;
use std::process::ExitCode;

/// What `--help` prints.
const HELP: &str = "\
kitepass: a gateway that keeps quotas for a shared API

usage:
  BALANCER_CONFIG=FILE kitepass
  kitepass --help | --version

BALANCER_CONFIG names the configuration, one JSON file; docs/gateway.md lists its fields.
RUST_LOG sets how much is logged to standard error: error (the default), info, debug.
GET /healthz returns 200 once the gateway has a list of backends. On SIGTERM it finishes the accepted requests and
exits; on SIGHUP it reads the addresses of discovery and counter from the file again.

exit codes: 0 success; 1 invalid configuration or fatal error, explained in one line on standard error
";

fn main() -> ExitCode {
    // Other arguments are ignored: existing deployments that pass one must still start.
    for arg in std::env::args_os().skip(1) {
        let text = match arg.to_str() {
            Some("--help" | "-h") => HELP.to_owned(),
            Some("--version" | "-V") => format!("kitepass {}\n", env!("CARGO_PKG_VERSION")),
            _ => continue,
        };
        let _ = std::io::stdout().write_all(text.as_bytes()); // the reader may have closed the pipe
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match kitepass_gateway::StartupConfig::from_env().and_then(kitepass_gateway::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitepass: {error}");
            ExitCode::FAILURE
        }
    }
}
