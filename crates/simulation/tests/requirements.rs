//! What the core owes: faults that were found by the emulator, each as the case that brings it about.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_config::Kind;
use kitepass_simulation::history::{check_history, AnswerStatus};
use kitepass_simulation::operator::Operation;
use kitepass_simulation::run::{play, scenario};
use kitepass_simulation::scenario::{Fault, Layout, Plan, Scenario, MILLI, SECOND};
use kitepass_simulation::simulation::Simulation;
use rstest::rstest;

/// Two calls with one item, one version and other contents, sent together to two processes: at most one is confirmed,
/// and the other is told so for good.
#[test]
fn of_two_contents_under_one_number_at_most_one_is_confirmed() {
    let mut both = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::new(&scenario(seed, Layout::six(), Vec::new()));
        simulation.run_to(5 * SECOND);
        let item = [((Kind::Service, "l".to_owned()), 7, true)];
        let (a, b) = (
            simulation.replica(seed as usize % 6),
            simulation.replica((seed as usize + 1 + seed as usize / 6) % 6),
        );
        let (_, one) = simulation.change(a, &item);
        let (_, two) = simulation.change(b, &item);
        simulation.run(3 * SECOND);
        let verdicts = [simulation.status(one), simulation.status(two)];
        both += usize::from(verdicts == [Some(AnswerStatus::Confirmed); 2]);
        simulation.read_back();
        simulation.run(SECOND);
        let violations = check_history(&simulation.history);
        assert!(violations.is_empty() || both > 0, "seed {seed}: {violations:?}");
        assert!(both > 0 || verdicts.contains(&Some(AnswerStatus::Taken)), "seed {seed}: {verdicts:?}");
    }
    assert_eq!(both, 0, "both were confirmed in {both} of 20 seeds");
}

/// A process is killed and begins anew while the others' disks take 3.5 s: what they kept for its earlier life is no
/// copy of what it writes now. Power is lost everywhere then, and its disk with it.
#[test]
fn copies_for_an_earlier_life_are_no_copies_of_what_the_next_one_writes() {
    let (mut confirmed, mut lost) = (0, Vec::new());
    for seed in 0..10 {
        // Without gateways: they would give back what they were told.
        let layout = Layout { gates: 0, ..Layout::six() };
        let mut simulation = Simulation::new(&scenario(seed, layout, Vec::new()));
        simulation.run_to(5 * SECOND);
        let slow = Fault::SlowDisks { replicas: (1..6).collect(), extra: 3_500 * MILLI, span: 100 * SECOND };
        simulation.fault(&slow);
        let (mut version, mut sent) = (0, Vec::new());
        for incarnation in 0..2 {
            for _ in 0..150 {
                version += 1;
                let item = [((Kind::Service, format!("l{version}")), version, true)];
                sent.push(simulation.change(simulation.replica(0), &item).1);
                simulation.run(20 * MILLI);
                // The worst moment: a copy is said to be there, and no other disk has got so far.
                if incarnation == 1
                    && sent.iter().any(|s| simulation.status(*s) == Some(AnswerStatus::Confirmed))
                {
                    break;
                }
            }
            if incarnation == 0 {
                simulation.fault(&Fault::Kill { replicas: vec![0], power: false, back: 100 * MILLI });
                simulation.run(1_500 * MILLI);
            }
        }
        confirmed += sent.iter().filter(|s| simulation.status(**s) == Some(AnswerStatus::Confirmed)).count();
        simulation.lose_disks(&[0], true, SECOND);
        simulation.calm();
        simulation.run(12 * SECOND);
        let read = simulation.ask(simulation.replica(3), Operation::Read);
        simulation.run(2 * SECOND);
        assert_eq!(
            simulation.status(read),
            Some(AnswerStatus::Confirmed),
            "seed {seed}: nothing is read back"
        );
        lost.extend(
            check_history(&simulation.history)
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    assert!(lost.is_empty(), "{confirmed} confirmed in all: {lost:#?}");
}

/// What a gateway acts on never goes away: nothing is in force that a later `Get` does not show.
#[test]
fn what_is_in_force_at_a_gateway_is_shown_by_every_later_read() {
    let mut violations = Vec::new();
    for seed in [1, 7, 9, 10] {
        let scenario = Plan::Away.scenario(seed);
        let scenario = Scenario { workload: scenario.workload.without_rivals(), ..scenario };
        violations.extend(
            play(&scenario, false)
                .violations
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Rivals, lost answers and repeated calls under each plan's troubles.
#[rstest]
#[case(Plan::Calm)]
#[case(Plan::Cuts)]
#[case(Plan::Races)]
#[case(Plan::Losses)]
#[case(Plan::Away)]
#[case(Plan::Disks)]
#[case(Plan::All)]
fn with_rivals_no_rule_is_broken(#[case] plan: Plan) {
    let mut violations = Vec::new();
    for seed in 0..2 {
        let outcome = play(&plan.scenario(seed), false);
        violations
            .extend(outcome.violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
