//! The program `kitepass`: one gateway, as its configuration says.

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
GET /healthz answers 200 once it has a list of backends. SIGTERM has it answer what it took and end; SIGHUP has
it read discovery and counter from the file again.

exit codes: 0 done; 1 the configuration cannot be taken, or the gateway cannot go on, with one line that says why
";

fn main() -> ExitCode {
    // Any other argument is ignored, as it always was: deployments that pass one must still start.
    for arg in std::env::args_os().skip(1) {
        let text = match arg.to_str() {
            Some("--help" | "-h") => HELP.to_owned(),
            Some("--version" | "-V") => format!("kitepass {}\n", env!("CARGO_PKG_VERSION")),
            _ => continue,
        };
        let _ = std::io::stdout().write_all(text.as_bytes()); // nobody may read it
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
