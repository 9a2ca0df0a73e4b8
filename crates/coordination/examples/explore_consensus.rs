//! Extended exploration of the consensus models: `explore_consensus [STEPS] [SEEDS]`. `STEPS` is the maximum number of
//! steps per model, and `SEEDS` the number of random walks per system. Prints what was explored and how long competing
//! proposers took, and exits with status 1 if a property was violated.

use consensus_model::{explore, run_random_walks, Race, RaceResult, Setup, CONFIRMED, SYSTEMS};
use std::process::ExitCode;

#[path = "../tests/consensus_model/mod.rs"]
mod consensus_model;

const DEFAULT_STEPS: u64 = 3_000_000;
const DEFAULT_SEEDS: u64 = 10_000;
const STEPS_PER_WALK: usize = 2_000;
const THREADS: usize = 3;

/// The systems with their limits on attempts, restarts and lost responses.
const MODELS: [(&str, (u8, u8, u8)); 18] = [
    ("pair", (1, 3, 3)),
    ("pair", (2, 0, 0)),
    ("pair", (2, 1, 0)),
    ("four", (1, 2, 1)),
    ("five", (1, 1, 1)),
    ("ring", (1, 0, 0)),
    ("ring", (1, 1, 0)),
    ("ring", (2, 0, 0)),
    ("same", (1, 0, 0)),
    ("same", (1, 1, 0)),
    ("versions", (1, 0, 0)),
    ("spoiled", (1, 0, 0)),
    ("spoiled", (2, 0, 0)),
    ("epochs-one", (1, 1, 1)),
    ("epochs-one", (2, 0, 0)),
    ("epochs-two", (1, 1, 0)),
    ("epochs-two", (2, 0, 0)),
    ("epochs-apart", (1, 0, 0)),
];

/// The range of the random backoff after a rejection, in milliseconds, and how many times its upper bound doubles.
const BACKOFFS: [((f64, f64), u32); 3] = [((20.0, 150.0), 0), ((0.0, 100.0), 0), ((0.0, 100.0), 3)];
const RACES: u64 = 2_000;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<u64>().ok());
    let steps = args.next().unwrap_or(DEFAULT_STEPS) as usize;
    let seeds = args.next().unwrap_or(DEFAULT_SEEDS);
    let mut has_passed = explore_all(steps);
    has_passed &= walk_all_systems(seeds);
    has_passed &= run_all_races();
    println!("passed={has_passed}");
    if has_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Whether all properties held.
fn explore_all(steps: usize) -> bool {
    let mut has_passed = true;
    for (name, (attempts, restarts, lost_responses)) in MODELS {
        let setup = Setup::named(name).bounds(attempts, restarts, lost_responses, 4);
        let label = format!("{name} attempts={attempts} restarts={restarts} lost_responses={lost_responses}");
        has_passed &= explore(&label, setup, steps, THREADS).found == [CONFIRMED].into();
    }
    has_passed
}

/// Whether all properties held.
fn walk_all_systems(seeds: u64) -> bool {
    let mut has_passed = true;
    for system in SYSTEMS {
        let setup = Setup::named(system.name).bounds(60, 6, 200, 1);
        has_passed &= run_random_walks(system.name, &setup, 0..seeds, STEPS_PER_WALK).broken.is_empty();
    }
    has_passed
}

/// Whether all proposers received a final result.
fn run_all_races() -> bool {
    let mut has_passed = true;
    for proposers in [2, 3, 8] {
        for round_trip in [0.2, 0.9, 55.0] {
            for (backoff, doublings) in BACKOFFS {
                let spread = 2.0 * round_trip + 10.0;
                let race = Race { round_trip, sync: 2.0, spread, backoff, doublings };
                has_passed &= run_races(proposers, &race);
            }
        }
    }
    has_passed
}

fn run_races(proposers: usize, race: &Race) -> bool {
    let setup = Setup::competing_proposers(proposers);
    let results: Vec<RaceResult> = (0..RACES).filter_map(|seed| race.run(&setup, seed)).collect();
    let summary = |time: fn(&RaceResult) -> f64| {
        let mut times: Vec<f64> = results.iter().map(time).collect();
        times.sort_by(f64::total_cmp);
        let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
        format!("p50={:.0} p99={:.0} max={:.0}", percentile(50), percentile(99), percentile(100))
    };
    let attempts = results.iter().map(|result| result.attempts).max().unwrap_or_default();
    println!(
        "race proposers={proposers} round-trip-ms={} backoff-ms={:?} doublings={} races={} first {} all {} attempts={attempts}",
        race.round_trip,
        race.backoff,
        race.doublings,
        results.len(),
        summary(|result| result.first),
        summary(|result| result.all),
    );
    results.len() as u64 == RACES
}
