//! What a seed does stays as it is: a few seeds of each plan, by the digests of their runs.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_simulation::run::play;
use kitepass_simulation::scenario::Plan;

/// One line for each seed, as `kitepass-simulation run --digests` prints it.
const DIGESTS: &str = include_str!("golden/digests.txt");
const SEEDS_OF_A_PLAN: usize = 3;

/// The plan and the seed that a line is about.
fn run_of(line: &str) -> (Plan, u64) {
    let mut values = line.split(' ').map(|field| field.split_once('=').expect("name=value").1);
    let plan = values.next().and_then(Plan::named).expect("a plan's name");
    let seed = values.next().and_then(|seed| seed.parse().ok()).expect("a seed");
    (plan, seed)
}

fn line_of(plan: Plan, seed: u64) -> String {
    let digest = play(&plan.scenario(seed), false).digest;
    format!("plan={} seed={seed} digest={digest:016x}", plan.name())
}

#[test]
fn each_plan_is_covered() {
    for plan in Plan::ALL {
        let seeds = DIGESTS.lines().filter(|line| run_of(line).0 == plan).count();
        assert_eq!(seeds, SEEDS_OF_A_PLAN, "plan {}", plan.name());
    }
}

#[test]
fn digests_are_the_golden_ones() {
    let played = std::thread::scope(|scope| {
        let play_line = |line| scope.spawn(move || line_of(run_of(line).0, run_of(line).1));
        let threads: Vec<_> = DIGESTS.lines().map(play_line).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect::<Vec<String>>()
    });
    let golden: Vec<&str> = DIGESTS.lines().collect();
    assert_eq!(played, golden);
}
