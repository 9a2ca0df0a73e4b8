//! A short form of each plan. The long one is the program: `kitepass-simulation run --seeds 10000`.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_simulation::coverage::Coverage;
use kitepass_simulation::run::play;
use kitepass_simulation::scenario::{Plan, Scenario};
use rstest::rstest;

fn without_rivals(plan: Plan, seed: u64) -> Scenario {
    let scenario = plan.scenario(seed);
    Scenario { workload: scenario.workload.without_rivals(), ..scenario }
}

/// No two callers use one version of an item.
#[rstest]
#[case(Plan::Calm)]
#[case(Plan::Races)]
#[case(Plan::Losses)]
#[case(Plan::Disks)]
#[case(Plan::All)]
fn without_rivals_no_rule_is_broken(#[case] plan: Plan) {
    for seed in 0..3 {
        let outcome = play(&without_rivals(plan, seed), false);
        assert_eq!(outcome.violations, [], "seed {seed}");
    }
}

/// One seed is one run.
#[test]
fn a_seed_plays_the_same_each_time() {
    let [one, two] = [0, 1].map(|_| play(&Plan::All.scenario(3), false));
    assert_eq!((one.coverage, one.violations), (two.coverage, two.violations));
}

/// Danger: a plan that brings nothing about passes. Each kind of trouble comes in a few seeds, and what it leads to.
#[test]
fn what_the_plans_are_for_comes_about() {
    let wanted = [
        "trouble-kill",
        "trouble-power",
        "trouble-dark",
        "trouble-disk-lost",
        "trouble-disks-lost-zone",
        "trouble-disks-lost-region",
        "trouble-disks-lost-and-dark",
        "trouble-freeze",
        "trouble-cut",
        "trouble-cut-mute",
        "trouble-cut-deaf",
        "trouble-cut-steward",
        "trouble-reset",
        "trouble-slow-link",
        "trouble-slow-disks",
        "trouble-disk-hangs",
        "trouble-disk-refuses",
        "trouble-leave",
        "trouble-replace-leaving",
        "trouble-replace-lost",
        "trouble-gate-falls",
        "trouble-answers-lost",
        "fell-at-answer",
        "fell-at-event",
        "answer-confirmed",
        "answer-invalid",
        "answer-unclear",
        "answer-lost",
        "resent",
        "task-race",
        "task-resend",
        "task-zone",
        "word-of-dead-life-after-next-began",
        "word-to-dead-life",
        "word-held-then-came",
        "word-lost-by-reset",
        "cast-next-seen",
    ];
    let mut coverage = Coverage::default();
    let mut missing: Vec<&str> = wanted.into();
    let losses = [10, 22, 0].map(|seed| (Plan::Losses, seed));
    let rest =
        [Plan::Cuts, Plan::Races, Plan::Disks, Plan::All].map(|plan| [(plan, 0), (plan, 1), (plan, 2)]);
    for (plan, seed) in losses.into_iter().chain(rest.into_iter().flatten()) {
        if !missing.is_empty() {
            coverage.join(&play(&plan.scenario(seed), false).coverage);
            missing.retain(|what| coverage.of(what) == 0);
        }
    }
    assert!(missing.is_empty(), "{missing:?} never came: {coverage}");
}
