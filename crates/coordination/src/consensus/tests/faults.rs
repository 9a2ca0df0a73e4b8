//! Deliberate faults: each defence is taken out once, and the models and walks of `crates/bond/tests` must miss it.

use super::super::{weigh, Acceptor, Safeguard};
use consensus_model::{explore, walk_all, Handover, Setup, CONFIRMED};
use rstest::rstest;

#[path = "../../../tests/consensus_model/mod.rs"]
mod consensus_model;

fn without(defence: Safeguard, setup: Setup) -> Setup {
    macro_rules! by {
        ($($name:ident)*) => {
            match defence {
                $(Safeguard::$name => setup.by(
                    || Acceptor::without(Some(Safeguard::$name)),
                    |call, seen, item_store| weigh(call, seen, item_store, Some(Safeguard::$name)),
                ),)*
            }
        };
    }
    by!(Candidate SameContent Void Floor EraFirst Promise Decided Denial)
}

/// Found by all schedules of two rivals on three seats, one of which may start again.
#[rstest]
#[case::candidate(Safeguard::Candidate, 0)]
#[case::promise(Safeguard::Promise, 0)]
#[case::floor(Safeguard::Floor, 1)]
fn a_model_misses(#[case] defence: Safeguard, #[case] restarts: u8) {
    let setup = without(defence, Setup::named("pair").bounds(1, restarts, 0, 16));
    let explored = explore(&format!("pair without {defence:?}"), setup, usize::MAX, 1);
    assert!(explored.found.contains("one content a number"), "{explored:?}");
}

/// Found by drawn walks.
#[rstest]
#[case::void(Safeguard::Void, "eras-five", "all can be resolved")]
#[case::era_first(Safeguard::EraFirst, "eras-five", "one content a number")]
#[case::denial(Safeguard::Denial, "spoiled", "answers are true")]
#[case::candidate(Safeguard::Candidate, "ring", "what was chosen is found")]
#[case::promise(Safeguard::Promise, "ring", "one content a number")]
fn walks_miss(#[case] defence: Safeguard, #[case] system: &str, #[case] property: &str) {
    let setup = without(defence, Setup::named(system).bounds(60, 6, 200, 1));
    let walked = walk_all(&format!("{system} without {defence:?}"), &setup, 0..2_000, 1_000);
    assert!(walked.broken.contains_key(property), "{walked:?}");
}

#[rstest]
#[case::reading(Handover::Reading)]
#[case::holding(Handover::Holding)]
#[case::fence(Handover::Fence)]
fn walks_miss_in_a_change_of_the_cast(#[case] defence: Handover) {
    let broke = ["eras-one", "eras-apart", "eras-five"].into_iter().any(|system| {
        let setup = Setup::named(system).bounds(60, 6, 200, 1).without(defence);
        let walked = walk_all(&format!("{system} without {defence:?}"), &setup, 0..2_000, 1_000);
        walked.broken.contains_key("what was chosen is found")
    });
    assert!(broke);
}

/// What no model or walk misses, as something else holds it already. That nothing decided otherwise is accepted stands
/// behind the candidates and promises: `what_is_over_is_dropped_from_memory_and_disk` tests it by itself. That a call
/// with the same content is resolved first as well only spares the rule an exception.
#[rstest]
#[case::decided(Safeguard::Decided)]
#[case::same_content(Safeguard::SameContent)]
fn nothing_misses(#[case] defence: Safeguard) {
    let setup = without(defence, Setup::named("same").bounds(1, 0, 0, 16));
    let explored = explore(&format!("same without {defence:?}"), setup, 60_000, 1);
    assert_eq!(explored.found, [CONFIRMED].into(), "{explored:?}");
    for system in ["same", "ring", "versions", "eras-five"] {
        let setup = without(defence, Setup::named(system).bounds(60, 6, 200, 1));
        let walked = walk_all(&format!("{system} without {defence:?}"), &setup, 0..200, 1_000);
        assert!(walked.broken.is_empty(), "{walked:?}");
    }
}
