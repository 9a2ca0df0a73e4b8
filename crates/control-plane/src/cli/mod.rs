//! The command line: runs a control process, or an operator's command against a running system.

mod apply;
mod arguments;
mod change_file;
mod check;
mod client;
mod diff;
mod error;
mod evacuate;
mod get;
mod help;
mod members;
mod output;
mod serve;

use arguments::Arguments;
use error::{Error, UsageSnafu};
use output::print;
use snafu::OptionExt;
use std::ffi::OsString;
use std::process::ExitCode;

/// A subcommand.
struct Command {
    name: &'static str,
    /// Names of its positional arguments, all of which are required.
    arguments: &'static [&'static str],
    /// Names of the options that it accepts.
    options: &'static [&'static str],
    help: &'static str,
    run: fn(&Arguments) -> Result<(), Error>,
}

static COMMANDS: [Command; 7] = [
    Command { name: "serve", arguments: &[], options: &["settings"], help: help::SERVE, run: serve::run },
    Command { name: "get", arguments: &[], options: &["at", "out"], help: help::GET, run: get::run },
    Command { name: "apply", arguments: &["FILE"], options: &["at"], help: help::APPLY, run: apply::run },
    Command {
        name: "check",
        arguments: &["FILE"],
        options: &["against"],
        help: help::CHECK,
        run: check::run,
    },
    Command { name: "diff", arguments: &["FILE"], options: &["at"], help: help::DIFF, run: diff::run },
    Command {
        name: "evacuate",
        arguments: &["start|end", "ZONE"],
        options: &["at"],
        help: help::EVACUATE,
        run: evacuate::run,
    },
    Command {
        name: "members",
        arguments: &[],
        options: &["at", "json"],
        help: help::MEMBERS,
        run: members::run,
    },
];

/// The command that runs if none is named.
const DEFAULT_COMMAND: &str = "serve";

/// Runs the command named by the process arguments, and returns its exit code.
pub fn main() -> ExitCode {
    match run(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of the output has closed the pipe, which is not a failure.
        Err(Error::Output { source }) if source.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kitepass-control-plane: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: impl Iterator<Item = OsString>) -> Result<(), Error> {
    let mut arguments = Arguments::parse(arguments)
        .map_err(|error| Error::Usage { reason: format!("{error}; see kitepass-control-plane --help") })?;
    if arguments.wants_version {
        return print(&format!("kitepass-control-plane {}\n", env!("CARGO_PKG_VERSION")));
    }
    let named = (!arguments.values.is_empty()).then(|| arguments.values.remove(0));
    let name = match &named {
        Some(name) => name,
        None if arguments.wants_help => return print(help::PROGRAM),
        None => DEFAULT_COMMAND,
    };
    let command = COMMANDS.iter().find(|command| command.name == name);
    let command = command.with_context(|| UsageSnafu {
        reason: format!("no such command: {name}; see kitepass-control-plane --help"),
    })?;
    if arguments.wants_help {
        return print(command.help);
    }
    command.check_usage(&arguments)?;
    (command.run)(&arguments)
}

impl Command {
    /// Checks that the command accepts the given arguments and options.
    fn check_usage(&self, arguments: &Arguments) -> Result<(), Error> {
        let unexpected = arguments.options.iter().find(|option| !self.options.contains(*option));
        if let Some(option) = unexpected {
            return self.usage_error(&format!("--{option} is not for this command"));
        }
        if let Some(missing) = self.arguments.get(arguments.values.len()) {
            return self.usage_error(&format!("{missing} is missing"));
        }
        if let Some(extra) = arguments.values.get(self.arguments.len()) {
            return self.usage_error(&format!("unexpected argument {extra:?}"));
        }
        Ok(())
    }

    fn usage_error(&self, reason: &str) -> Result<(), Error> {
        let name = self.name;
        UsageSnafu { reason: format!("{name}: {reason}; see kitepass-control-plane {name} --help") }.fail()
    }
}
