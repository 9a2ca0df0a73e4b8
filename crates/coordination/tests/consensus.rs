//! Consensus under all schedules of small systems, and under random schedules of larger systems. For an extended run, use
//! `cargo run --release -p kitepass-coordination --example explore_consensus`. The tests that disable a safeguard are in
//! `src/consensus/tests/faults.rs`.

use consensus_model::{explore, run_random_walks, Race, Setup, CONFIRMED, SYSTEMS};
use rstest::rstest;

mod consensus_model;

/// Explores a system within bounds on attempts per proposer, restarts and lost responses: completely, or up to
/// `max_steps` steps if that is not `usize::MAX`.
#[rstest]
#[case::two_different_contents("pair", (2, 0, 0), 60_000)]
#[case::replica_restarts("pair", (1, 2, 0), usize::MAX)]
#[case::lost_responses("pair", (1, 1, 2), usize::MAX)]
#[case::four_replicas("four", (1, 1, 0), usize::MAX)]
#[case::five_replicas("five", (1, 0, 1), usize::MAX)]
#[case::a_cycle_of_three_conflicting_proposals("ring", (1, 0, 0), 150_000)]
#[case::the_same_content_in_two_proposals("same", (1, 0, 0), 150_000)]
#[case::a_delayed_older_version("versions", (1, 0, 0), 150_000)]
#[case::a_proposal_that_becomes_invalid("spoiled", (1, 0, 0), 60_000)]
#[case::one_replica_after_another("epochs-one", (1, 0, 0), usize::MAX)]
#[case::two_replicas_after_two("epochs-two", (1, 0, 0), usize::MAX)]
fn no_schedule_violates_a_property(
    #[case] name: &str,
    #[case] bounds: (u8, u8, u8),
    #[case] max_steps: usize,
) {
    let (attempts, restarts, lost) = bounds;
    let setup = Setup::named(name).bounds(attempts, restarts, lost, 16);
    let explored = explore(name, setup, max_steps, 1);
    assert_eq!(explored.found, [CONFIRMED].into(), "{explored:?}");
    assert!(explored.is_complete || max_steps < usize::MAX, "{explored:?}");
}

#[test]
fn no_random_walk_violates_a_property() {
    for system in SYSTEMS {
        let setup = Setup::named(system.name).bounds(60, 6, 200, 1);
        let walked = run_random_walks(system.name, &setup, 0..500, 1_000);
        assert!(walked.broken.is_empty(), "{walked:?}");
        assert!(walked.confirmed > 0, "{walked:?}");
    }
}

/// Eight proposers that compete for one version on five replicas all have their final results well before an operator's
/// request times out after 2.5 s.
#[rstest]
fn competing_proposers_get_results_before_the_request_timeout(#[values(0.2, 0.9, 55.0)] round_trip: f64) {
    let race = Race { round_trip, sync: 2.0, spread: 10.0, backoff: (20.0, 150.0), doublings: 0 };
    for seed in 0..50 {
        let result =
            race.run(&Setup::competing_proposers(8), seed).expect("no proposer runs out of attempts");
        assert!(result.first < 1_000.0 && result.all < 2_000.0 && result.attempts < 20, "{seed} {result:?}");
    }
}
