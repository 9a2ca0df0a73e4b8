//! Runs a few seeds of each plan. Longer runs use the program: `kitepass-simulation run --seeds 10000`.

use kitepass_simulation::coverage::Coverage;
use kitepass_simulation::run::run_scenario;
use kitepass_simulation::scenario::{Plan, Scenario};
use rstest::rstest;

fn scenario_with_unique_versions(plan: Plan, seed: u64) -> Scenario {
    plan.scenario(seed).with_unique_versions()
}

/// Each version of an item is written by at most one change.
#[rstest]
#[case(Plan::Calm)]
#[case(Plan::Races)]
#[case(Plan::Losses)]
#[case(Plan::Disks)]
#[case(Plan::Congestion)]
#[case(Plan::Halves)]
#[case(Plan::All)]
fn no_invariant_is_violated_with_unique_versions(#[case] plan: Plan) {
    for seed in 0..3 {
        let result = run_scenario(&scenario_with_unique_versions(plan, seed), false);
        assert_eq!(result.violations, [], "seed {seed}");
    }
}

#[test]
fn a_seed_always_gives_the_same_run() {
    let [one, two] = [0, 1].map(|_| run_scenario(&Plan::All.scenario(3), false));
    assert_eq!((one.coverage, one.violations), (two.coverage, two.violations));
}

/// A plan whose faults never occurred would pass all other tests. This test checks that each kind of fault,
/// and each of its expected effects, occurs within a few seeds.
#[test]
fn plans_inject_each_fault_and_cause_its_effects() {
    let expected = [
        "fault-crash",
        "fault-power-loss",
        "fault-power-outage",
        "fault-disk-loss",
        "fault-disk-loss-zone",
        "fault-disk-loss-region",
        "fault-disk-loss-with-power-outage",
        "fault-pause",
        "fault-partition",
        "fault-partition-outgoing",
        "fault-partition-incoming",
        "fault-split-replicas",
        "fault-lease-holder-partition",
        "fault-connection-reset",
        "fault-slow-link",
        "fault-slow-disks",
        "fault-disk-hang",
        "fault-disk-refusal",
        "fault-graceful-shutdown",
        "fault-graceful-replacement",
        "fault-replacement",
        "replaced-in-another-zone",
        "replaced-in-another-region",
        "fault-gateway-restart",
        "fault-gateway-congestion",
        "fault-answer-loss",
        "crashed-at-confirmation",
        "crashed-after-events",
        "answer-confirmed",
        "answer-invalid",
        "answer-unknown",
        "answer-lost",
        "request-retried",
        "operation-race",
        "operation-contradiction",
        "contradicting-changes-at-once",
        "operation-resend",
        "operation-evacuation",
        "message-from-dead-process-after-restart",
        "message-to-dead-process",
        "blocked-message-delivered",
        "message-lost-by-reset",
        "replica-set-next-seen",
    ];
    let mut coverage = Coverage::default();
    let mut missing: Vec<&str> = expected.into();
    let losses = [2, 15, 0].map(|seed| (Plan::Losses, seed));
    let others = [Plan::Cuts, Plan::Races, Plan::Disks, Plan::Congestion, Plan::Halves, Plan::All]
        .map(|plan| [(plan, 0), (plan, 1), (plan, 2)]);
    for (plan, seed) in losses.into_iter().chain(others.into_iter().flatten()) {
        if !missing.is_empty() {
            coverage.merge(&run_scenario(&plan.scenario(seed), false).coverage);
            missing.retain(|name| coverage.get(name) == 0);
        }
    }
    assert!(missing.is_empty(), "{missing:?} never occurred: {coverage}");
}
