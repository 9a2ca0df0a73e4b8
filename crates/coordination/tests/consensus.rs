//! The register under all schedules of small systems, and under drawn ones of larger systems. The long form is
//! `cargo run --release -p kitepass-bond --example register`; the tests that take a defence out are in
//! `src/register/tests/faults.rs`.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use consensus_model::{explore, walk_all, Race, Setup, CONFIRMED, SYSTEMS};
use rstest::rstest;

mod consensus_model;

/// Whole, but where it says so: all schedules within the bounds, of so many attempts, restarts and lost answers.
#[rstest]
#[case::two_contents("pair", (2, 0, 0), 60_000)]
#[case::a_seat_starts_again("pair", (1, 2, 0), usize::MAX)]
#[case::answers_are_lost("pair", (1, 1, 2), usize::MAX)]
#[case::four_seats("four", (1, 1, 0), usize::MAX)]
#[case::five_seats("five", (1, 0, 1), usize::MAX)]
#[case::a_ring_of_three_calls("ring", (1, 0, 0), 150_000)]
#[case::the_same_content_in_two_calls("same", (1, 0, 0), 150_000)]
#[case::an_older_version_late("versions", (1, 0, 0), 150_000)]
#[case::a_call_that_becomes_invalid("spoiled", (1, 0, 0), 60_000)]
#[case::one_seat_after_another("eras-one", (1, 0, 0), usize::MAX)]
#[case::two_seats_after_two("eras-two", (1, 0, 0), usize::MAX)]
fn no_schedule_breaks_the_register(#[case] name: &str, #[case] bounds: (u8, u8, u8), #[case] most: usize) {
    let (attempts, restarts, lost) = bounds;
    let setup = Setup::named(name).bounds(attempts, restarts, lost, 16);
    let explored = explore(name, setup, most, 1);
    assert_eq!(explored.found, [CONFIRMED].into(), "{explored:?}");
    assert!(explored.whole || most < usize::MAX, "{explored:?}");
}

#[test]
fn no_drawn_walk_breaks_the_register() {
    for (name, ..) in SYSTEMS {
        let walked = walk_all(name, &Setup::named(name).bounds(60, 6, 200, 1), 0..500, 1_000);
        assert!(walked.broken.is_empty(), "{walked:?}");
        assert!(walked.confirmed > 0, "{walked:?}");
    }
}

/// Rivals for one version, on five seats: all have their answers long before an order's patience of 2.5 s ends.
#[rstest]
fn rivals_are_all_answered_in_time(#[values(0.2, 0.9, 55.0)] round_trip: f64) {
    let race = Race { round_trip, sync: 2.0, spread: 10.0, pause: (20.0, 150.0), doubles: 0 };
    for seed in 0..50 {
        let raced = race.run(&Setup::rivals(8), seed).expect("all end");
        assert!(raced.first < 1_000.0 && raced.all < 2_000.0 && raced.attempts < 20, "{seed} {raced:?}");
    }
}
