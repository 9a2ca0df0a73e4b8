//! Faults of the control plane that the simulation found, each as the case that brings it about.

use kitepass_config::Kind;
use kitepass_simulation::checker::{check_history, Violation};
use kitepass_simulation::gateway::Gateway;
use kitepass_simulation::history::{AttemptId, ResponseStatus};
use kitepass_simulation::operator::{Operation, PlannedWrite};
use kitepass_simulation::run::run_scenario;
use kitepass_simulation::scenario::{Fault, Layout, Plan, Scenario, MILLISECOND, SECOND};
use kitepass_simulation::simulation::Simulation;
use rstest::rstest;

/// Fault-free time in which the system is founded.
const BOOTSTRAP_PERIOD: i64 = 5 * SECOND;

fn simulate(seed: u64, layout: Layout) -> Simulation {
    let mut simulation = Simulation::new(&Scenario::without_operators(seed, layout, Vec::new()));
    simulation.run_until(BOOTSTRAP_PERIOD);
    simulation
}

fn is_confirmed(simulation: &Simulation, attempt: AttemptId) -> bool {
    simulation.status_of(attempt) == Some(ResponseStatus::Confirmed)
}

/// The violations of a history or a run, with the seed, for people.
fn describe(seed: u64, violations: Vec<Violation>) -> impl Iterator<Item = String> {
    violations.into_iter().map(move |violation| format!("seed {seed}: {violation}"))
}

/// Two changes of one version of an item with different contents are sent at once to two processes: at most one is
/// confirmed, and the other is rejected for good.
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

/// Sends 150 changes to the first replica, each with a version of its own, or fewer: until one of all is confirmed.
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

/// A process is killed and restarts while the others' disks take 3.5 s for a sync: what they persist for its earlier
/// incarnation does not count as replicas of what it writes now. Then power is lost everywhere, and its disk with it.
#[test]
fn acknowledgements_for_an_earlier_incarnation_do_not_count_for_the_next() {
    let (mut confirmed, mut violations) = (0, Vec::new());
    for seed in 0..10 {
        // Without gateways: they would give back what they were sent.
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
        // The worst moment: a replica is said to be persisted, and no other disk has got so far.
        send_changes(&mut simulation, &mut attempts, true);
        confirmed += attempts.iter().filter(|attempt| is_confirmed(&simulation, **attempt)).count();
        simulation.lose_disks(&[0], true, SECOND);
        simulation.heal();
        simulation.run_for(12 * SECOND);
        let read = simulation.request(simulation.node_of(3), Operation::Read);
        simulation.run_for(2 * SECOND);
        assert!(is_confirmed(&simulation, read), "seed {seed}: nothing is read back");
        violations.extend(describe(seed, check_history(&simulation.history)));
    }
    assert!(violations.is_empty(), "{confirmed} confirmed in all: {violations:#?}");
}

/// What a gateway acts on never goes away: every later read shows it.
#[test]
fn every_later_read_shows_what_a_gateway_applied() {
    let mut violations = Vec::new();
    for seed in [1, 7, 9, 10] {
        let result = run_scenario(&Plan::Away.scenario(seed).with_unique_versions(), false);
        violations.extend(describe(seed, result.violations));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Races, lost answers and changes that are sent again, under the faults of each plan.
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

/// Bound of the time from a change's confirmation until all gateways hold it, beyond what a congested link takes.
const DELIVERY_BOUND: i64 = 2 * SECOND;

/// A gateway's own link is congested, so that nothing comes for longer than the time-out of a heartbeat and no other control
/// process answers in time either: what is confirmed meanwhile reaches it as soon as the link lets it through.
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
        let behind: Vec<usize> =
            gateways.filter(|(_, gateway)| !holds_it(gateway)).map(|(number, _)| number).collect();
        assert!(behind.is_empty(), "seed {seed}: {behind:?} after {} ms", extra_latency / MILLISECOND);
    }
}
