//! `kitepass-simulation`: plays the control side's emulator by seeds.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_simulation::coverage::Coverage;
use kitepass_simulation::run::{note_panics, play, shorten, RunResult};
use kitepass_simulation::scenario::{Plan, Scenario};
use kitepass_simulation::simulation::ProcessLogger;
use lexopt::prelude::*;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const HELP: &str = "\
kitepass-simulation run [--seeds N] [--from K] [--jobs J] [--plan NAME]   plays many seeds, and tells what came about how often
kitepass-simulation replay --seed K [--plan NAME]                         plays one, with its events
kitepass-simulation shorten --seed K [--plan NAME]                        leaves out what a failing one does not need

With --digests a run also prints a line `plan=NAME seed=K digest=HEX` for each seed, in the seeds' order.

With --logs a replay prints what the processes log, too, and a shortening replays what is left.
With --no-rivals no two callers use one version of an item.
Plans: calm, cuts, races, losses, away, disks, all (the default).
";

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}\n{HELP}"))]
    Arguments { source: lexopt::Error },
    #[snafu(display("there is no plan of this name: {name}\n{HELP}"))]
    NoPlan { name: String },
    #[snafu(display("{HELP}"))]
    NoVerb,
}

#[derive(Default)]
struct Arguments {
    verb: String,
    plan: Option<Plan>,
    seeds: Option<u64>,
    from: u64,
    jobs: Option<usize>,
    seed: u64,
    no_rivals: bool,
    logs: bool,
    digests: bool,
}

impl Arguments {
    fn begin_logs(&self) {
        if self.logs && log::set_logger(&ProcessLogger).is_ok() {
            log::set_max_level(log::LevelFilter::Debug);
        }
    }

    fn scenario(&self, plan: Plan, seed: u64) -> Scenario {
        let scenario = plan.scenario(seed);
        let workload = if self.no_rivals { scenario.workload.without_rivals() } else { scenario.workload };
        Scenario { workload, ..scenario }
    }
}

fn number(parser: &mut lexopt::Parser) -> Result<u64, Error> {
    parser.value().and_then(|value| value.parse()).context(ArgumentsSnafu)
}

fn asked() -> Result<Arguments, Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut asked = Arguments::default();
    while let Some(arg) = parser.next().context(ArgumentsSnafu)? {
        match arg {
            Value(verb) if asked.verb.is_empty() => asked.verb = verb.to_string_lossy().into_owned(),
            Long("seeds") => asked.seeds = Some(number(&mut parser)?),
            Long("from") => asked.from = number(&mut parser)?,
            Long("jobs") => asked.jobs = Some(number(&mut parser)? as usize),
            Long("seed") => asked.seed = number(&mut parser)?,
            Long("plan") => {
                let name = parser.value().context(ArgumentsSnafu)?.to_string_lossy().into_owned();
                asked.plan = Some(Plan::named(&name).ok_or(Error::NoPlan { name })?);
            }
            Long("logs") => asked.logs = true,
            Long("digests") => asked.digests = true,
            Long("no-rivals") => asked.no_rivals = true,
            Short('h') | Long("help") => return NoVerbSnafu.fail(),
            other => return Err(other.unexpected()).context(ArgumentsSnafu),
        }
    }
    Ok(asked)
}

fn tell(seed: u64, plan: Plan, outcome: &RunResult) {
    for violation in &outcome.violations {
        println!("seed={seed} plan={} {violation}", plan.name());
    }
}

/// The outcomes of all seeds of a run.
#[derive(Default)]
struct Summary {
    coverage: Coverage,
    /// Seeds that broke each rule.
    invariants: BTreeMap<String, u64>,
    failed: u64,
    /// By seed, so that they come in order whatever the number of jobs.
    digests: BTreeMap<u64, u64>,
}

impl Summary {
    fn add(&mut self, seed: u64, outcome: &RunResult) {
        self.coverage.join(&outcome.coverage);
        self.failed += u64::from(!outcome.violations.is_empty());
        self.digests.insert(seed, outcome.digest);
        for invariant in outcome.invariants() {
            *self.invariants.entry(format!("{invariant:?}")).or_default() += 1;
        }
    }
}

/// True if no seed broke a rule.
fn run(asked: &Arguments, plan: Plan) -> bool {
    let seeds = asked.seeds.unwrap_or(100);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicU64::new(asked.from);
    let sum = Mutex::new(Summary::default());
    std::thread::scope(|scope| {
        for _ in 0..asked.jobs.unwrap_or(cores).max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= asked.from + seeds {
                    return;
                }
                let outcome = play(&asked.scenario(plan, seed), false);
                let mut sum = sum.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                tell(seed, plan, &outcome);
                sum.add(seed, &outcome);
            });
        }
    });
    let Summary { coverage, invariants, failed, digests } =
        sum.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    if asked.digests {
        for (seed, digest) in digests {
            println!("plan={} seed={seed} digest={digest:016x}", plan.name());
        }
    }
    print!("{coverage}");
    for (invariant, times) in invariants {
        println!("broken={invariant} seeds={times}");
    }
    println!("plan={} seeds={seeds} from={} failed={failed}", plan.name(), asked.from);
    failed == 0
}

fn main() -> ExitCode {
    let asked = match asked() {
        Ok(asked) => asked,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    note_panics();
    let plan = asked.plan.unwrap_or(Plan::All);
    let scenario = asked.scenario(plan, asked.seed);
    let well = match asked.verb.as_str() {
        "run" => run(&asked, plan),
        "replay" => {
            asked.begin_logs();
            println!("layout={:?}", scenario.layout);
            let outcome = play(&scenario, true);
            print!("{}", outcome.coverage);
            tell(asked.seed, plan, &outcome);
            outcome.violations.is_empty()
        }
        "shorten" => {
            let invariants = play(&scenario, false).invariants();
            let short = if invariants.is_empty() { scenario } else { shorten(&scenario, &invariants) };
            println!("layout={:?}", short.layout);
            for (at, fault) in &short.faults {
                println!("t={:.6} {fault}", *at as f64 / 1e6);
            }
            asked.begin_logs();
            let outcome = play(&short, asked.logs);
            tell(asked.seed, plan, &outcome);
            outcome.violations.is_empty()
        }
        _ => {
            eprintln!("{HELP}");
            return ExitCode::from(2);
        }
    };
    if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
