//! The command line.

use crate::server::Server;
use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
course: the data plane of kitepass

usage:
  course [serve] [--settings FILE]   a gateway, by its settings file (or the variable KITEPASS_NODE_FILE)
  course --help | --version

KITEPASS_LOG sets how much is logged to standard error: error, warn, info (the default), debug.
SIGTERM has it finish what it took and end; SIGHUP has it read the settings file again.
";

pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("course: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut parser = lexopt::Parser::from_env();
    let (mut settings, mut verb) = (None, None);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            Long("version") | Short('V') => {
                println!("course {}", env!("CARGO_PKG_VERSION"));
                return Ok(());
            }
            Long("settings") => settings = Some(PathBuf::from(parser.value().map_err(|e| e.to_string())?)),
            Value(word) if verb.is_none() => verb = Some(word.string().map_err(|e| e.to_string())?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match verb.as_deref().unwrap_or("serve") {
        "serve" => {
            kitepass_intent::log_to_stderr(kitepass_intent::level_from_env());
            let path = settings.or_else(|| std::env::var_os(kitepass_intent::VARIABLE).map(PathBuf::from));
            let path = path.ok_or("no settings file: name one with --settings or KITEPASS_NODE_FILE")?;
            Server::open(path).and_then(Server::run).map_err(|e| e.to_string())
        }
        other => Err(format!("no such command: {other}; see course --help")),
    }
}
