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

/// Three replicas in three regions of two zones each.
fn three_replicas() -> Layout {
    Layout { replica_zones: vec![0, 2, 4], initial_replicas: vec![0, 1, 2], ..Layout::six_replicas() }
}

/// Time in which a successor that has started must have taken the place of a machine that is gone: `settle-s`.
const SETTLE_PERIOD: i64 = 4 * SECOND;
/// Time after which a machine that is gone must have left the replica set where no process has seen its successor come.
const ABANDONMENT_PERIOD: i64 = 40 * SECOND;
/// Time after a loss in which everything must be readable again.
const RECOVERY_PERIOD: i64 = 15 * SECOND;

/// Confirms a change, loses disks, and checks that the change is read back.
fn check_loss_is_survived(simulation: &mut Simulation, lost: &[usize], context: &str) {
    let kept = (0..).find(|replica| !lost.contains(replica)).expect("a replica is left");
    let write = [PlannedWrite::set(Kind::Service, "kept", 7)];
    let change = simulation.request_change(simulation.node_of(kept), &write);
    simulation.run_for(2 * SECOND);
    assert!(is_confirmed(simulation, change), "{context}: the change was not confirmed");
    simulation.lose_disks(lost, false, 1_300 * MILLISECOND);
    simulation.run_for(RECOVERY_PERIOD);
    let read = simulation.request(simulation.node_of(kept), Operation::Read);
    simulation.run_for(2 * SECOND);
    assert!(is_confirmed(simulation, read), "{context}: nothing can be read any more");
    assert_eq!(check_history(&simulation.history), [], "{context}");
}

fn replace(simulation: &mut Simulation, replica: usize, zone: usize, is_graceful: bool) {
    let restart_after = 1_300 * MILLISECOND;
    simulation.inject(&Fault::Replacement { replica, zone: Some(zone), is_graceful, restart_after });
    simulation.run_for(restart_after);
}

/// Guards against a machine that is gone for good and stays a member, because its successor is in another zone or region:
/// it counts towards every majority, and one lost disk then stops the others for good.
#[rstest]
fn a_successor_anywhere_takes_the_place_of_a_machine_that_is_gone(
    #[values(0, 1, 2, 3, 5)] zone: usize,
    #[values(false, true)] is_graceful: bool,
) {
    for seed in 0..6 {
        let mut simulation = simulate(seed, three_replicas());
        let removed = seed as usize % 3;
        replace(&mut simulation, removed, (zone + 2 * removed) % 6, is_graceful);
        simulation.run_for(SETTLE_PERIOD);
        let context = format!("seed {seed}");
        assert_eq!(simulation.replica_set_difference(), None, "{context}");
        check_loss_is_survived(&mut simulation, &[(removed + 1) % 3], &context);
    }
}

/// The same with six machines: two are replaced one after the other, and then a region is lost.
#[rstest]
#[case::in_the_other_zone_of_the_region([0, 2])]
#[case::in_another_region([2, 0])]
fn after_replacements_in_other_zones_the_loss_of_a_region_is_survived(#[case] zones: [usize; 2]) {
    for seed in 0..6 {
        let mut simulation = simulate(seed, Layout::six_replicas());
        for (removed, zone) in [1, 3].into_iter().zip(zones) {
            replace(&mut simulation, removed, zone, false);
            simulation.run_for(SETTLE_PERIOD);
            assert_eq!(simulation.replica_set_difference(), None, "seed {seed}");
        }
        check_loss_is_survived(&mut simulation, &[4, 5], &format!("seed {seed}"));
    }
}

/// All machines lose power while the successor joins, so none of them knows when it came.
#[test]
fn a_machine_that_is_gone_leaves_although_all_others_were_restarted() {
    for seed in 0..6 {
        let mut simulation = simulate(seed, three_replicas());
        replace(&mut simulation, 0, 1, false);
        simulation.run_for((300 + 200 * seed as i64) * MILLISECOND);
        simulation.inject(&Fault::PowerOutage { restart_after: 300 * MILLISECOND });
        simulation.run_for(ABANDONMENT_PERIOD);
        assert_eq!(simulation.replica_set_difference(), None, "seed {seed}");
        check_loss_is_survived(&mut simulation, &[1], &format!("seed {seed}"));
    }
}

/// A machine is gone for good and nobody comes in its place.
#[test]
fn a_machine_that_is_gone_leaves_without_a_successor() {
    for seed in 0..6 {
        let mut simulation = simulate(seed, Layout::six_replicas());
        simulation.inject(&Fault::Crash {
            replicas: vec![5],
            is_power_loss: true,
            restart_after: 3_600 * SECOND,
        });
        simulation.run_for(ABANDONMENT_PERIOD);
        check_loss_is_survived(&mut simulation, &[0, 1], &format!("seed {seed}"));
    }
}

/// A machine that says nothing for some seconds stays a member, wherever the others are: in zones of their own, two in a
/// zone, or all in one.
#[rstest]
#[case::three_regions(three_replicas())]
#[case::one_zone(Layout { replica_zones: vec![0; 3], zone_regions: vec![0], ..three_replicas() })]
#[case::two_in_a_zone(Layout {
    replica_zones: vec![0, 0, 1, 1, 2, 2],
    zone_regions: vec![0, 1, 2],
    initial_replicas: vec![0, 2, 4],
    ..Layout::six_replicas()
})]
fn a_short_silence_costs_no_machine_its_place(#[case] layout: Layout) {
    for seed in 0..6 {
        let mut simulation = simulate(seed, layout.clone());
        let replica = seed as usize % layout.replica_count();
        for duration in [2 * SECOND, 4 * SECOND, 8 * SECOND] {
            simulation.inject(&Fault::Pause { replica, duration });
            for _ in 0..(duration + 3 * SECOND) / (100 * MILLISECOND) {
                simulation.run_for(100 * MILLISECOND);
                assert_eq!(simulation.replica_set_difference(), None, "seed {seed}");
            }
        }
    }
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
