//! Mutation tests: each safeguard is disabled once, and the models and random walks of `tests/consensus_model` must
//! detect the resulting fault.

use super::super::acceptor::Acceptor;
use super::super::proposer::proposal_status_without;
use super::super::safeguard::Safeguard;
use consensus_model::{explore, run_random_walks, ReplicaSetSafeguard, Setup, CONFIRMED};
use rstest::rstest;

#[path = "../../../tests/consensus_model/mod.rs"]
mod consensus_model;

fn without(safeguard: Safeguard, setup: Setup) -> Setup {
    // The model takes function pointers, which cannot capture, so each safeguard needs its own pair.
    macro_rules! with_disabled {
        ($($name:ident)*) => {
            match safeguard {
                $(Safeguard::$name => setup.with_algorithm(
                    || Acceptor::without(Some(Safeguard::$name)),
                    |proposal, observed, item_store| {
                        proposal_status_without(proposal, observed, item_store, Some(Safeguard::$name))
                    },
                ),)*
            }
        };
    }
    with_disabled!(ResolveFirst ResolveSameContent IgnoreConflicting PersistedFloor EpochFirst Promise CommittedContent Rejection)
}

/// Detected by exploring all schedules of two competing proposers on three replicas, one of which may restart.
#[rstest]
#[case::resolve_first(Safeguard::ResolveFirst, 0)]
#[case::promise(Safeguard::Promise, 0)]
#[case::persisted_floor(Safeguard::PersistedFloor, 1)]
fn exploration_detects_a_disabled_safeguard(#[case] safeguard: Safeguard, #[case] restarts: u8) {
    let setup = without(safeguard, Setup::named("pair").bounds(1, restarts, 0, 16));
    let explored = explore(&format!("pair without {safeguard:?}"), setup, usize::MAX, 1);
    assert!(explored.found.contains("one content per version"), "{explored:?}");
}

/// Detected by random walks.
#[rstest]
#[case::ignore_conflicting(Safeguard::IgnoreConflicting, "epochs-five", "all proposals can be resolved")]
#[case::epoch_first(Safeguard::EpochFirst, "epochs-five", "one content per version")]
#[case::rejection(Safeguard::Rejection, "spoiled", "results are correct")]
#[case::resolve_first(Safeguard::ResolveFirst, "ring", "chosen proposals are observed")]
#[case::promise(Safeguard::Promise, "ring", "one content per version")]
fn random_walks_detect_a_disabled_safeguard(
    #[case] safeguard: Safeguard,
    #[case] system: &str,
    #[case] property: &str,
) {
    let setup = without(safeguard, Setup::named(system).bounds(60, 6, 200, 1));
    let walked = run_random_walks(&format!("{system} without {safeguard:?}"), &setup, 0..2_000, 1_000);
    assert!(walked.broken.contains_key(property), "{walked:?}");
}

#[rstest]
#[case::resolve_all(ReplicaSetSafeguard::ResolveAll)]
#[case::hold_all(ReplicaSetSafeguard::HoldAll)]
#[case::fence(ReplicaSetSafeguard::Fence)]
fn random_walks_detect_a_disabled_replica_set_safeguard(#[case] safeguard: ReplicaSetSafeguard) {
    let is_detected = ["epochs-one", "epochs-apart", "epochs-five"].into_iter().any(|system| {
        let setup = Setup::named(system).bounds(60, 6, 200, 1).without(safeguard);
        let walked = run_random_walks(&format!("{system} without {safeguard:?}"), &setup, 0..2_000, 1_000);
        walked.broken.contains_key("chosen proposals are observed")
    });
    assert!(is_detected);
}

/// Safeguards that are redundant: no model or walk fails without them. That nothing committed with different content is
/// accepted already follows from resolving first and from the promises;
/// `settled_proposals_are_dropped_from_memory_and_disk` tests this safeguard directly. Resolving proposals with the
/// same content first merely avoids an exception to the rule.
#[rstest]
#[case::committed_content(Safeguard::CommittedContent)]
#[case::resolve_same_content(Safeguard::ResolveSameContent)]
fn redundant_safeguards_can_be_disabled(#[case] safeguard: Safeguard) {
    let setup = without(safeguard, Setup::named("same").bounds(1, 0, 0, 16));
    let explored = explore(&format!("same without {safeguard:?}"), setup, 60_000, 1);
    assert_eq!(explored.found, [CONFIRMED].into(), "{explored:?}");
    for system in ["same", "ring", "versions", "epochs-five"] {
        let setup = without(safeguard, Setup::named(system).bounds(60, 6, 200, 1));
        let walked = run_random_walks(&format!("{system} without {safeguard:?}"), &setup, 0..200, 1_000);
        assert!(walked.broken.is_empty(), "{walked:?}");
    }
}
