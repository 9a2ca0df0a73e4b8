//! The `kitepass-soak` program; see `--help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_node::log_to_stderr(log_level());
    kitepass_soak::cli::main(std::env::args_os().skip(1))
}

/// The log level from the environment; warnings if it sets none.
fn log_level() -> log::LevelFilter {
    let is_set = std::env::var_os(kitepass_node::LOG_VARIABLE).is_some();
    if is_set {
        kitepass_node::level_from_env()
    } else {
        log::LevelFilter::Warn
    }
}
