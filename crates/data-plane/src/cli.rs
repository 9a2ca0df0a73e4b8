//! The command line.

use crate::server::Server;
use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
kitepass-data-plane: the data plane of kitepass

usage:
  kitepass-data-plane [serve] [--settings FILE]   a gateway, by its settings file (or the variable KITEPASS_NODE_FILE)
  kitepass-data-plane --help | --version

KITEPASS_LOG sets how much is logged to standard error: error, warn, info (the default), debug.
It ends with 0 after SIGTERM, with 1 if it cannot start or go on, with 2 if the command line cannot be taken.
SIGTERM has it finish what it took and end; SIGHUP has it read the settings file again.
";

pub fn main() -> ExitCode {
    let (why, code) = match run() {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Fault::Usage(why)) => (why, 2),
        Err(Fault::Ended(why)) => (why, 1),
    };
    eprintln!("kitepass-data-plane: {why}");
    ExitCode::from(code)
}

enum Fault {
    /// The command line cannot be taken.
    Usage(String),
    /// The gateway could not start, or ended.
    Ended(String),
}

impl From<lexopt::Error> for Fault {
    fn from(error: lexopt::Error) -> Fault {
        Fault::Usage(error.to_string())
    }
}

fn run() -> Result<(), Fault> {
    let mut parser = lexopt::Parser::from_env();
    let (mut settings, mut verb) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            Long("version") | Short('V') => {
                println!("kitepass-data-plane {}", env!("CARGO_PKG_VERSION"));
                return Ok(());
            }
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Value(message) if verb.is_none() => verb = Some(message.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    match verb.as_deref().unwrap_or("serve") {
        "serve" => {
            kitepass_node::log_to_stderr(kitepass_node::level_from_env());
            let path =
                settings.or_else(|| std::env::var_os(kitepass_node::SETTINGS_VARIABLE).map(PathBuf::from));
            let none =
                || Fault::Usage("no settings file: name one with --settings or KITEPASS_NODE_FILE".into());
            let path = path.ok_or_else(none)?;
            Server::open(path).and_then(Server::run).map_err(|e| Fault::Ended(e.to_string()))
        }
        other => Err(Fault::Usage(format!("no such command: {other}; see kitepass-data-plane --help"))),
    }
}
