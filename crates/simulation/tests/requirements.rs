//! Regression tests for faults of the control plane that the simulation has found.

use kitepass_config::Kind;
use kitepass_simulation::checker::{check_history, Violation};
use kitepass_simulation::gateway::Gateway;
use kitepass_simulation::history::{AttemptId, ResponseStatus};
use kitepass_simulation::operator::{Operation, PlannedWrite};
use kitepass_simulation::run::run_scenario;
use kitepass_simulation::scenario::{Fault, Layout, Plan, Scenario, MILLISECOND, SECOND};
use kitepass_simulation::simulation::Simulation;
use rstest::rstest;

/// Fault-free time in which the system bootstraps.
const BOOTSTRAP_PERIOD: i64 = 5 * SECOND;

fn simulate(seed: u64, layout: Layout) -> Simulation {
    let mut simulation = Simulation::new(&Scenario::without_operators(seed, layout, Vec::new()));
    simulation.run_until(BOOTSTRAP_PERIOD);
    simulation
}

fn is_confirmed(simulation: &Simulation, attempt: AttemptId) -> bool {
    simulation.status_of(attempt) == Some(ResponseStatus::Confirmed)
}

/// Formats violations together with the seed.
fn describe(seed: u64, violations: Vec<Violation>) -> impl Iterator<Item = String> {
    violations.into_iter().map(move |violation| format!("seed {seed}: {violation}"))
}

/// Two changes write the same version of an item with different contents, and are sent to two processes at
/// the same time. At most one may be confirmed, and the other must be rejected permanently.
#[test]
fn at_most_one_of_two_contents_of_a_version_is_confirmed() {
    let mut both_confirmed = 0;
    for seed in 0..20 {
        let mut simulation = simulate(seed, Layout::six_replicas());
        let write = [PlannedWrite::set(Kind::Service, "l", 7)];
        let first_node = simulation.node_of(seed as usize % 6);
        let second_node = simulation.node_of((seed as usize + 1 + seed as usize / 6) % 6);
        let first = simulation.request_change(first_node, &write);
        let second = simulation.request_change(second_node, &write);
        simulation.run_for(3 * SECOND);
        let statuses = [simulation.status_of(first), simulation.status_of(second)];
        both_confirmed += usize::from(statuses == [Some(ResponseStatus::Confirmed); 2]);
        simulation.read_all_nodes();
        simulation.run_for(SECOND);
        let violations = check_history(&simulation.history);
        assert!(violations.is_empty() || both_confirmed > 0, "seed {seed}: {violations:?}");
        assert!(
            both_confirmed > 0 || statuses.contains(&Some(ResponseStatus::Conflict)),
            "seed {seed}: {statuses:?}"
        );
    }
    assert_eq!(both_confirmed, 0, "both were confirmed in {both_confirmed} of 20 seeds");
}

/// Sends up to 150 changes to the first replica, each with its own version. With `until_confirmed`, stops as
/// soon as any change is confirmed.
fn send_changes(simulation: &mut Simulation, attempts: &mut Vec<AttemptId>, until_confirmed: bool) {
    for _ in 0..150 {
        let version = attempts.len() as u64 + 1;
        let write = [PlannedWrite::set(Kind::Service, format!("l{version}"), version)];
        attempts.push(simulation.request_change(simulation.node_of(0), &write));
        simulation.run_for(20 * MILLISECOND);
        if until_confirmed && attempts.iter().any(|attempt| is_confirmed(simulation, *attempt)) {
            break;
        }
    }
}

/// A process is killed and restarted while the other nodes' disks take 3.5 s to sync. Records that they
/// persist for its previous incarnation must not count as copies of what it writes afterwards. Then all
/// machines lose power, and the process's disk is lost.
#[test]
fn acknowledgements_for_an_earlier_incarnation_do_not_count_for_the_next() {
    let (mut confirmed, mut violations) = (0, Vec::new());
    for seed in 0..10 {
        // No gateways, because they would send back the items that they have received.
        let layout = Layout { gateway_count: 0, ..Layout::six_replicas() };
        let mut simulation = simulate(seed, layout);
        simulation.inject(&Fault::SlowDisks {
            replicas: (1..6).collect(),
            extra_latency: 3_500 * MILLISECOND,
            duration: 100 * SECOND,
        });
        let mut attempts = Vec::new();
        send_changes(&mut simulation, &mut attempts, false);
        simulation.inject(&Fault::Crash {
            replicas: vec![0],
            is_power_loss: false,
            restart_after: 100 * MILLISECOND,
        });
        simulation.run_for(1_500 * MILLISECOND);
        // Disks are lost at the worst time: as soon as a write is reported as persisted, although no other
        // disk has reached it.
        send_changes(&mut simulation, &mut attempts, true);
        confirmed += attempts.iter().filter(|attempt| is_confirmed(&simulation, **attempt)).count();
        simulation.lose_disks(&[0], true, SECOND);
        simulation.heal();
        simulation.run_for(12 * SECOND);
        let read = simulation.request(simulation.node_of(3), Operation::Read);
        simulation.run_for(2 * SECOND);
        assert!(is_confirmed(&simulation, read), "seed {seed}: the read was not completed");
        violations.extend(describe(seed, check_history(&simulation.history)));
    }
    assert!(violations.is_empty(), "{confirmed} changes confirmed in total: {violations:#?}");
}

/// Guards against reads that miss a write which a gateway has already applied.
#[test]
fn every_later_read_shows_what_a_gateway_applied() {
    let mut violations = Vec::new();
    for seed in [1, 7, 9, 10] {
        let result = run_scenario(&Plan::Away.scenario(seed).with_unique_versions(), false);
        violations.extend(describe(seed, result.violations));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Concurrent writes of the same versions, lost responses and resent changes, under the faults of each plan.
#[rstest]
#[case(Plan::Calm)]
#[case(Plan::Cuts)]
#[case(Plan::Races)]
#[case(Plan::Losses)]
#[case(Plan::Away)]
#[case(Plan::Disks)]
#[case(Plan::All)]
fn no_invariant_is_violated_with_version_races(#[case] plan: Plan) {
    let mut violations = Vec::new();
    for seed in 0..2 {
        let result = run_scenario(&plan.scenario(seed), false);
        violations.extend(describe(seed, result.violations));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Maximum time from a change's confirmation until all gateways hold it, in addition to the latency of a
/// congested link.
const DELIVERY_BOUND: i64 = 2 * SECOND;

/// A gateway's link is so congested that no message arrives within the heartbeat timeout, and no other
/// control process responds in time either. Changes confirmed meanwhile must reach the gateway as soon as the
/// link lets them through.
#[test]
fn a_gateway_behind_a_congested_link_keeps_its_session() {
    for seed in 0..20 {
        let mut simulation = simulate(seed, Layout::six_replicas());
        let extra_latency = 1_800 * MILLISECOND + seed as i64 * 200 * MILLISECOND;
        simulation.inject(&Fault::GatewayCongestion { gateway: 0, extra_latency, duration: 30 * SECOND });
        simulation.run_for(3 * SECOND);
        let write = [PlannedWrite::set(Kind::Service, "l", 7)];
        let attempt = simulation.request_change(simulation.node_of(0), &write);
        simulation.run_for(SECOND);
        assert!(is_confirmed(&simulation, attempt), "seed {seed}");
        simulation.run_for(extra_latency + DELIVERY_BOUND);
        let holds_it = |gateway: &Gateway| gateway.item_store().get(Kind::Service, "l").is_some();
        let gateways = simulation.gateways().iter().enumerate();
        let lagging: Vec<usize> =
            gateways.filter(|(_, gateway)| !holds_it(gateway)).map(|(number, _)| number).collect();
        assert!(
            lagging.is_empty(),
            "seed {seed}: gateways {lagging:?} lack the change; extra latency {} ms",
            extra_latency / MILLISECOND
        );
    }
}
