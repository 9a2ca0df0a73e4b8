//! `kitepass-simulation`: runs the simulation of the control plane for given seeds.

use kitepass_simulation::coverage::Coverage;
use kitepass_simulation::run::{record_panics, run_scenario, RunResult};
use kitepass_simulation::scenario::{Plan, Scenario};
use kitepass_simulation::shrink::shrink;
use kitepass_simulation::simulation::ProcessLogger;
use lexopt::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

const HELP: &str = "\
Runs the deterministic simulation of the control plane. One seed is one run.

Usage:
  kitepass-simulation run [--seeds N] [--from K] [--jobs J] [--plan NAME]   runs many seeds and prints coverage counters
  kitepass-simulation replay --seed K [--plan NAME]                         runs one seed and prints its events
  kitepass-simulation shorten --seed K [--plan NAME]                        removes the faults that a failing seed doesn't need

Options:
  --seeds N      number of seeds to run (default: 100)
  --from K       first seed to run (default: 0)
  --jobs J       number of seeds to run in parallel (default: one per core)
  --seed K       seed to replay or shorten (default: 0)
  --plan NAME    calm, cuts, races, losses, away, disks, congestion, halves or all (default: all)
  --no-rivals    each version of an item is written by at most one change
  --digests      run: print a line `plan=NAME seed=K digest=HEX` for each seed, ordered by seed
  --logs         replay: also print the processes' log lines; shorten: also print the events and log lines of the
                 shortened run
  -h, --help     print this help

Examples:
  kitepass-simulation run --seeds 10000                  a long run of plan all
  kitepass-simulation run --seeds 20 --plan cuts --digests
  kitepass-simulation shorten --seed 17 --plan losses    prints the faults that make a seed fail
  kitepass-simulation replay --seed 17 --plan losses --logs

Exit status: 0 if no invariant was violated, 1 if one was, 2 if the arguments are invalid or --help is given.
";

/// Number of seeds that `run` executes by default.
const DEFAULT_SEEDS: u64 = 100;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}\n{HELP}"))]
    Arguments { source: lexopt::Error },
    #[snafu(display("unknown plan: {name}\n{HELP}"))]
    UnknownPlan { name: String },
    #[snafu(display("{HELP}"))]
    HelpRequested,
    #[snafu(display("{HELP}"))]
    MissingSubcommand,
}

/// The subcommand.
#[derive(Clone, Copy)]
enum Subcommand {
    Run,
    Replay,
    Shorten,
}

impl Subcommand {
    fn from_name(name: &str) -> Option<Subcommand> {
        match name {
            "run" => Some(Subcommand::Run),
            "replay" => Some(Subcommand::Replay),
            "shorten" => Some(Subcommand::Shorten),
            _ => None,
        }
    }
}

struct Options {
    plan: Plan,
    seeds: u64,
    first_seed: u64,
    jobs: Option<usize>,
    seed: u64,
    has_unique_versions: bool,
    prints_logs: bool,
    prints_digests: bool,
}

impl Options {
    /// Enables printing of the processes' log lines, if requested.
    fn start_logging(&self) {
        if self.prints_logs && log::set_logger(&ProcessLogger).is_ok() {
            log::set_max_level(log::LevelFilter::Debug);
        }
    }

    fn scenario(&self, seed: u64) -> Scenario {
        let scenario = self.plan.scenario(seed);
        if self.has_unique_versions {
            scenario.with_unique_versions()
        } else {
            scenario
        }
    }

    fn print_violations(&self, seed: u64, result: &RunResult) {
        for violation in &result.violations {
            println!("seed={seed} plan={} {violation}", self.plan.name());
        }
    }
}

fn parse_number(parser: &mut lexopt::Parser) -> Result<u64, Error> {
    parser.value().and_then(|value| value.parse()).context(ArgumentsSnafu)
}

fn parse_plan(parser: &mut lexopt::Parser) -> Result<Plan, Error> {
    let name = parser.value().context(ArgumentsSnafu)?.to_string_lossy().into_owned();
    Plan::from_name(&name).context(UnknownPlanSnafu { name })
}

fn parse_arguments() -> Result<(Subcommand, Options), Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut subcommand: Option<String> = None;
    let mut options = Options {
        plan: Plan::All,
        seeds: DEFAULT_SEEDS,
        first_seed: 0,
        jobs: None,
        seed: 0,
        has_unique_versions: false,
        prints_logs: false,
        prints_digests: false,
    };
    while let Some(argument) = parser.next().context(ArgumentsSnafu)? {
        match argument {
            Value(name) if subcommand.is_none() => subcommand = Some(name.to_string_lossy().into_owned()),
            Long("seeds") => options.seeds = parse_number(&mut parser)?,
            Long("from") => options.first_seed = parse_number(&mut parser)?,
            Long("jobs") => options.jobs = Some(parse_number(&mut parser)? as usize),
            Long("seed") => options.seed = parse_number(&mut parser)?,
            Long("plan") => options.plan = parse_plan(&mut parser)?,
            Long("logs") => options.prints_logs = true,
            Long("digests") => options.prints_digests = true,
            Long("no-rivals") => options.has_unique_versions = true,
            Short('h') | Long("help") => return HelpRequestedSnafu.fail(),
            other => return Err(other.unexpected()).context(ArgumentsSnafu),
        }
    }
    let subcommand = subcommand.as_deref().and_then(Subcommand::from_name).context(MissingSubcommandSnafu)?;
    Ok((subcommand, options))
}

/// The combined results of a run's seeds.
#[derive(Default)]
struct Summary {
    coverage: Coverage,
    /// The number of seeds that violated each invariant.
    violations: BTreeMap<String, u64>,
    failed: u64,
    /// Keyed by seed, so that the output order does not depend on the number of jobs.
    digests: BTreeMap<u64, u64>,
}

impl Summary {
    fn add(&mut self, seed: u64, result: &RunResult) {
        self.coverage.merge(&result.coverage);
        self.failed += u64::from(!result.violations.is_empty());
        self.digests.insert(seed, result.digest);
        for invariant in result.violated_invariants() {
            *self.violations.entry(format!("{invariant:?}")).or_default() += 1;
        }
    }

    fn print(&self, options: &Options) {
        let Options { seeds, first_seed, plan, prints_digests, .. } = options;
        let plan = plan.name();
        if *prints_digests {
            for (seed, digest) in &self.digests {
                println!("plan={plan} seed={seed} digest={digest:016x}");
            }
        }
        print!("{}", self.coverage);
        for (invariant, seeds) in &self.violations {
            println!("violated={invariant} seeds={seeds}");
        }
        println!("plan={plan} seeds={seeds} from={first_seed} failed={}", self.failed);
    }
}

/// Runs a range of seeds in parallel. Returns true if none violated an invariant.
fn run_seeds(options: &Options) -> bool {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let next_seed = AtomicU64::new(options.first_seed);
    let summary = Mutex::new(Summary::default());
    let run_next_seeds = || loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= options.first_seed + options.seeds {
            return;
        }
        let result = run_scenario(&options.scenario(seed), false);
        let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
        options.print_violations(seed, &result);
        summary.add(seed, &result);
    };
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.unwrap_or(cores).max(1) {
            scope.spawn(run_next_seeds);
        }
    });
    let summary = summary.into_inner().unwrap_or_else(PoisonError::into_inner);
    summary.print(options);
    summary.failed == 0
}

/// Runs one seed and prints its events. Returns true if it violated no invariant.
fn replay(options: &Options) -> bool {
    let scenario = options.scenario(options.seed);
    options.start_logging();
    println!("layout={:?}", scenario.layout);
    let result = run_scenario(&scenario, true);
    print!("{}", result.coverage);
    options.print_violations(options.seed, &result);
    result.violations.is_empty()
}

/// Removes the faults that a failing seed does not need and runs the shortened scenario. Returns true if it
/// violates no invariant.
fn shorten(options: &Options) -> bool {
    let scenario = options.scenario(options.seed);
    let invariants = run_scenario(&scenario, false).violated_invariants();
    let shortened = if invariants.is_empty() { scenario } else { shrink(&scenario, &invariants) };
    println!("layout={:?}", shortened.layout);
    for scheduled in &shortened.faults {
        println!("t={:.6} {}", scheduled.at as f64 / 1e6, scheduled.fault);
    }
    options.start_logging();
    let result = run_scenario(&shortened, options.prints_logs);
    options.print_violations(options.seed, &result);
    result.violations.is_empty()
}

fn main() -> ExitCode {
    let (subcommand, options) = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    record_panics();
    let is_success = match subcommand {
        Subcommand::Run => run_seeds(&options),
        Subcommand::Replay => replay(&options),
        Subcommand::Shorten => shorten(&options),
    };
    if is_success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
