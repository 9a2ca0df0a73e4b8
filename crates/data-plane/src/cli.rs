//! Command-line interface.

use crate::server::{self, Server};
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use snafu::{OptionExt, Snafu};
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

/// Exit code when the gateway fails to start or stops on an error.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Parses the command line, runs the command and returns the exit code.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitepass-data-plane: {error}");
            error.exit_code()
        }
    }
}

/// Errors that end the program.
#[derive(Debug, Snafu)]
enum CliError {
    #[snafu(context(false), display("{source}"))]
    Usage { source: lexopt::Error },
    #[snafu(display("no settings file: name one with --settings or KITEPASS_NODE_FILE"))]
    NoSettings,
    #[snafu(display("no such command: {command}; see kitepass-data-plane --help"))]
    UnknownCommand { command: String },
    #[snafu(context(false), display("{source}"))]
    Server { source: server::Error },
}

impl CliError {
    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Usage { .. } | CliError::NoSettings | CliError::UnknownCommand { .. } => EXIT_USAGE,
            CliError::Server { .. } => EXIT_FAILED,
        })
    }
}

/// The command selected on the command line.
enum Command {
    Help,
    Version,
    Serve { settings_path: Option<PathBuf> },
}

fn parse_command_line() -> Result<Command, CliError> {
    let mut parser = lexopt::Parser::from_env();
    let (mut settings_path, mut command) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("settings") => settings_path = Some(PathBuf::from(parser.value()?)),
            Value(value) if command.is_none() => command = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_deref().unwrap_or("serve") {
        "serve" => Ok(Command::Serve { settings_path }),
        command => UnknownCommandSnafu { command }.fail(),
    }
}

fn run() -> Result<(), CliError> {
    match parse_command_line()? {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("kitepass-data-plane {}", env!("CARGO_PKG_VERSION")),
        Command::Serve { settings_path } => serve(settings_path)?,
    }
    Ok(())
}

fn serve(settings_path: Option<PathBuf>) -> Result<(), CliError> {
    kitepass_node::log_to_stderr(kitepass_node::level_from_env());
    let from_environment = || std::env::var_os(kitepass_node::SETTINGS_VARIABLE).map(PathBuf::from);
    let path = settings_path.or_else(from_environment).context(NoSettingsSnafu)?;
    Server::open(path)?.run()?;
    Ok(())
}
