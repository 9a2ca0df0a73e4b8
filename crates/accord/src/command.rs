//! The command line: the control process itself, and what an operator asks of a running system.

use crate::server::Server;
use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
accord: the control plane of kitepass

usage:
  accord [serve] [--settings FILE]   a control process, by its settings file (or the variable KITEPASS_NODE_FILE)
  accord --help | --version
";

pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("accord: {why}");
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
                println!("accord {}", env!("CARGO_PKG_VERSION"));
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
        other => Err(format!("no such command: {other}; see accord --help")),
    }
}
