//! Checks that seeds give the same runs across versions of the code, by comparing the digests of a few seeds
//! of each plan.

use kitepass_simulation::run::run_scenario;
use kitepass_simulation::scenario::Plan;

/// One line per seed, in the format of `kitepass-simulation run --digests`.
const DIGESTS: &str = include_str!("golden/digests.txt");
const SEEDS_PER_PLAN: usize = 3;

/// The plan and seed of a line.
fn parse_line(line: &str) -> (Plan, u64) {
    let mut values = line.split(' ').map(|field| field.split_once('=').expect("name=value").1);
    let plan = values.next().and_then(Plan::from_name).expect("plan name");
    let seed = values.next().and_then(|seed| seed.parse().ok()).expect("seed number");
    (plan, seed)
}

fn digest_line(plan: Plan, seed: u64) -> String {
    let digest = run_scenario(&plan.scenario(seed), false).digest;
    format!("plan={} seed={seed} digest={digest:016x}", plan.name())
}

#[test]
fn every_plan_is_covered() {
    for plan in Plan::ALL {
        let seeds = DIGESTS.lines().filter(|line| parse_line(line).0 == plan).count();
        assert_eq!(seeds, SEEDS_PER_PLAN, "plan {}", plan.name());
    }
}

#[test]
fn digests_equal_the_golden_ones() {
    let digests = std::thread::scope(|scope| {
        let start_run = |line| scope.spawn(move || digest_line(parse_line(line).0, parse_line(line).1));
        let threads: Vec<_> = DIGESTS.lines().map(start_run).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the run must not panic"))
            .collect::<Vec<String>>()
    });
    let golden: Vec<&str> = DIGESTS.lines().collect();
    assert_eq!(digests, golden);
}
