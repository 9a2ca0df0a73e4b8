//! Consensus under all schedules of small systems, and under random ones of larger systems. The long form is
//! `cargo run --release -p kitepass-coordination --example explore_consensus`; the tests that take a safeguard out are in
//! `src/consensus/tests/faults.rs`.

use consensus_model::{explore, run_random_walks, Race, Setup, CONFIRMED, SYSTEMS};
use rstest::rstest;

mod consensus_model;

/// Completely, but where it says so: all schedules within the bounds, of so many attempts, restarts and lost responses.
#[rstest]
#[case::two_contents("pair", (2, 0, 0), 60_000)]
#[case::a_replica_restarts("pair", (1, 2, 0), usize::MAX)]
#[case::responses_are_lost("pair", (1, 1, 2), usize::MAX)]
#[case::four_replicas("four", (1, 1, 0), usize::MAX)]
#[case::five_replicas("five", (1, 0, 1), usize::MAX)]
#[case::a_ring_of_three_proposals("ring", (1, 0, 0), 150_000)]
#[case::the_same_content_in_two_proposals("same", (1, 0, 0), 150_000)]
#[case::an_older_version_late("versions", (1, 0, 0), 150_000)]
#[case::a_proposal_that_becomes_invalid("spoiled", (1, 0, 0), 60_000)]
#[case::one_replica_after_another("epochs-one", (1, 0, 0), usize::MAX)]
#[case::two_replicas_after_two("epochs-two", (1, 0, 0), usize::MAX)]
fn no_schedule_breaks_consensus(#[case] name: &str, #[case] bounds: (u8, u8, u8), #[case] max_steps: usize) {
    let (attempts, restarts, lost) = bounds;
    let setup = Setup::named(name).bounds(attempts, restarts, lost, 16);
    let explored = explore(name, setup, max_steps, 1);
    assert_eq!(explored.found, [CONFIRMED].into(), "{explored:?}");
    assert!(explored.is_complete || max_steps < usize::MAX, "{explored:?}");
}

#[test]
fn no_random_walk_breaks_consensus() {
    for system in SYSTEMS {
        let setup = Setup::named(system.name).bounds(60, 6, 200, 1);
        let walked = run_random_walks(system.name, &setup, 0..500, 1_000);
        assert!(walked.broken.is_empty(), "{walked:?}");
        assert!(walked.confirmed > 0, "{walked:?}");
    }
}

/// Rivals for one version, on five replicas: all have their answers long before an operator's request times out at 2.5 s.
#[rstest]
fn rivals_are_all_answered_in_time(#[values(0.2, 0.9, 55.0)] round_trip: f64) {
    let race = Race { round_trip, sync: 2.0, spread: 10.0, backoff: (20.0, 150.0), doublings: 0 };
    for seed in 0..50 {
        let result = race.run(&Setup::competing_proposers(8), seed).expect("all end");
        assert!(result.first < 1_000.0 && result.all < 2_000.0 && result.attempts < 20, "{seed} {result:?}");
    }
}
