//! Parses and executes the command line.

use crate::history::read_history;
use crate::report::Report;
use crate::run::{self, Options};
use crate::topology::{MAX_PROCESSES, MIN_PROCESSES};
use crate::{checker, error};
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
kitepass-soak: runs the control plane and the data plane under seeded faults and checks what clients and backends saw

  kitepass-soak run [--seed N] [--minutes M] [--processes P] [--programs DIR] [--folder DIR] [--json] [--keep]
  kitepass-soak plan [--seed N] [--minutes M] [--processes P]     prints the steps that run would execute
  kitepass-soak check FILE [--json]                               checks the history of an earlier run again

--minutes: duration of fault injection, without startup and recovery (default 1).
--processes: processes of the system under test, 6 to 240 (default 6).
--programs: folder with kitepass-control-plane and kitepass-data-plane (default target/release).
--folder: folder for settings, logs, data and the history; must be empty. Without it a temporary folder is used,
which is removed if there are no findings, unless --keep is given.
KITEPASS_LOG=info logs each step.

Exit codes: 0 no findings, 1 findings, 2 invalid command line, 3 the soak test itself failed.
";

const EXIT_FINDINGS: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 3;
const DEFAULT_PROGRAMS: &str = "target/release";

/// The parsed command line.
#[derive(Debug)]
enum Command {
    Run(Arguments),
    Plan(Arguments),
    Check(PathBuf, Arguments),
    Help,
}

#[derive(Debug)]
struct Arguments {
    seed: u64,
    minutes: f64,
    processes: usize,
    programs: PathBuf,
    folder: Option<PathBuf>,
    is_json: bool,
    keeps_folder: bool,
}

impl Default for Arguments {
    fn default() -> Arguments {
        Arguments {
            seed: 1,
            minutes: 1.0,
            processes: MIN_PROCESSES,
            programs: DEFAULT_PROGRAMS.into(),
            folder: None,
            is_json: false,
            keeps_folder: false,
        }
    }
}

impl Arguments {
    fn options(&self) -> Options {
        Options {
            seed: self.seed,
            duration: Duration::from_secs_f64(self.minutes * 60.0),
            processes: self.processes,
            programs: self.programs.clone(),
            folder: self.folder.clone().unwrap_or_else(|| run::default_folder(self.seed)),
        }
    }
}

fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let (mut parsed, mut positionals) = (Arguments::default(), Vec::new());
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("seed") => parsed.seed = parser.value()?.parse()?,
            Long("minutes") => parsed.minutes = parser.value()?.parse_with(parse_minutes)?,
            Long("processes") => parsed.processes = parser.value()?.parse_with(parse_processes)?,
            Long("programs") => parsed.programs = parser.value()?.into(),
            Long("folder") => parsed.folder = Some(parser.value()?.into()),
            Long("json") => parsed.is_json = true,
            Long("keep") => parsed.keeps_folder = true,
            Value(positional) => positionals.push(positional.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let positionals: Vec<&str> = positionals.iter().map(String::as_str).collect();
    match positionals[..] {
        ["run"] => Ok(Command::Run(parsed)),
        ["plan"] => Ok(Command::Plan(parsed)),
        ["check", file] => Ok(Command::Check(file.into(), parsed)),
        _ => Err("expected run, plan or check FILE; see --help".into()),
    }
}

fn parse_minutes(text: &str) -> Result<f64, String> {
    let minutes: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    let is_valid = (0.0..=24.0 * 60.0).contains(&minutes);
    is_valid.then_some(minutes).ok_or_else(|| "not between 0 and 1440 (one day)".to_owned())
}

fn parse_processes(text: &str) -> Result<usize, String> {
    let processes: usize = text.parse().map_err(|_| "not a number".to_owned())?;
    let is_valid = (MIN_PROCESSES..=MAX_PROCESSES).contains(&processes);
    is_valid.then_some(processes).ok_or_else(|| format!("not between {MIN_PROCESSES} and {MAX_PROCESSES}"))
}

/// Runs the program with these arguments, without the program's name.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let command = match parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("kitepass-soak: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match execute(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("kitepass-soak: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn execute(command: Command) -> Result<ExitCode, error::Error> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Plan(arguments) => {
            for step in run::plan(&arguments.options()).steps {
                println!("{:>9} ms  {:?}", step.at_ms, step.action);
            }
        }
        Command::Check(file, arguments) => {
            let records = read_history(&file)?;
            let report =
                Report::new(arguments.seed, arguments.processes, 0, &records, checker::check(&records));
            return Ok(print_report(&report, arguments.is_json));
        }
        Command::Run(arguments) => return soak(&arguments),
    }
    Ok(ExitCode::SUCCESS)
}

fn soak(arguments: &Arguments) -> Result<ExitCode, error::Error> {
    let options = arguments.options();
    let report = run::run(&options)?;
    let code = print_report(&report, arguments.is_json);
    let is_clean = report.findings.is_empty();
    if is_clean && arguments.folder.is_none() && !arguments.keeps_folder {
        run::remove_folder(&options.folder)?;
    } else {
        eprintln!("history and logs: {}", options.folder.display());
    }
    Ok(code)
}

fn print_report(report: &Report, is_json: bool) -> ExitCode {
    report.finding_lines().iter().for_each(|line| eprintln!("{line}"));
    if is_json {
        println!("{}", serde_json::to_string(report).expect("all map keys of a report are strings"));
    } else {
        print!("{}", report.table());
    }
    if report.findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FINDINGS)
    }
}
