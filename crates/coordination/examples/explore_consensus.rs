//! The long form of the register's models: `register [STEPS] [SEEDS]`, the most steps of a model and the walks through
//! each system. It prints what was explored and how rivals fared, and ends with 1 if anything was found.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use consensus_model::{explore, walk_all, Race, Raced, Setup, CONFIRMED, SYSTEMS};
use std::process::ExitCode;

#[path = "../tests/consensus_model/mod.rs"]
mod consensus_model;

/// Attempts, restarts and lost answers.
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
    ("eras-one", (1, 1, 1)),
    ("eras-one", (2, 0, 0)),
    ("eras-two", (1, 1, 0)),
    ("eras-two", (2, 0, 0)),
    ("eras-apart", (1, 0, 0)),
];

/// Between which a pause after a refusal is drawn, and how often the upper one doubles.
const PAUSES: [((f64, f64), u32); 3] = [((20.0, 150.0), 0), ((0.0, 100.0), 0), ((0.0, 100.0), 3)];
const RACES: u64 = 2_000;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<u64>().ok());
    let (steps, seeds) = (args.next().unwrap_or(3_000_000) as usize, args.next().unwrap_or(10_000));
    let mut is_well = true;
    for (name, (attempts, restarts, lost)) in MODELS {
        let setup = Setup::named(name).bounds(attempts, restarts, lost, 4);
        let named = format!("{name} attempts={attempts} restarts={restarts} lost={lost}");
        is_well &= explore(&named, setup, steps, 3).found == [CONFIRMED].into();
    }
    for (name, ..) in SYSTEMS {
        let setup = Setup::named(name).bounds(60, 6, 200, 1);
        is_well &= walk_all(name, &setup, 0..seeds, 2_000).broken.is_empty();
    }
    for rivals in [2, 3, 8] {
        for round_trip in [0.2, 0.9, 55.0] {
            for (pause, doubles) in PAUSES {
                is_well &= race(rivals, round_trip, pause, doubles);
            }
        }
    }
    println!("well={is_well}");
    if is_well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn race(rivals: usize, round_trip: f64, pause: (f64, f64), doubles: u32) -> bool {
    let setup = Setup::rivals(rivals);
    let race = Race { round_trip, sync: 2.0, spread: 2.0 * round_trip + 10.0, pause, doubles };
    let raced: Vec<Raced> = (0..RACES).filter_map(|seed| race.run(&setup, seed)).collect();
    let told = |of: fn(&Raced) -> f64| {
        let mut times: Vec<f64> = raced.iter().map(of).collect();
        times.sort_by(f64::total_cmp);
        let at = |part: usize| times[(times.len() - 1) * part / 100];
        format!("p50={:.0} p99={:.0} most={:.0}", at(50), at(99), at(100))
    };
    let attempts = raced.iter().map(|raced| raced.attempts).max().unwrap_or_default();
    println!(
        "race rivals={rivals} round-trip-ms={round_trip} pause-ms={pause:?} doubles={doubles} races={} first {} all {} attempts={attempts}",
        raced.len(),
        told(|raced| raced.first),
        told(|raced| raced.all),
    );
    raced.len() as u64 == RACES
}
