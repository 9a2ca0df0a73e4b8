//! Tests of the checker: it accepts a correct history and detects a violation of each invariant.

use kitepass_config::Kind;
use kitepass_simulation::checker::{check_history, Invariant};
use kitepass_simulation::history::{
    AttemptId, ChangeId, Content, HistoryEvent, ItemName, ItemState, ResponseStatus, Write,
};
use rstest::rstest;
use std::collections::BTreeMap;

fn service(name: &str) -> ItemName {
    ItemName::new(Kind::Service, name)
}

fn write(name: &str, version: u64, change: u64) -> Write {
    Write { item: service(name), version, content: Content::SetBy(ChangeId(change)) }
}

/// A change with its writes, given by the items' names and versions.
fn created(change: u64, writes: &[(&str, u64)]) -> HistoryEvent {
    let writes = writes.iter().map(|(name, version)| write(name, *version, change)).collect();
    HistoryEvent::ChangeCreated { change: ChangeId(change), writes }
}

fn sent(attempt: u64, change: u64) -> HistoryEvent {
    HistoryEvent::ChangeSent { attempt: AttemptId(attempt), change: ChangeId(change) }
}

fn started(attempt: u64, at: i64) -> HistoryEvent {
    HistoryEvent::ChangeStarted { at, attempt: AttemptId(attempt) }
}

fn sent_and_started(attempt: u64, change: u64) -> [HistoryEvent; 2] {
    [sent(attempt, change), started(attempt, attempt as i64 * 10)]
}

fn answered(attempt: u64, change: u64, status: ResponseStatus) -> HistoryEvent {
    let at = attempt as i64 * 10 + 5;
    HistoryEvent::ChangeAnswered {
        at,
        attempt: AttemptId(attempt),
        change: ChangeId(change),
        node: 0,
        status,
    }
}

fn received(attempt: u64) -> HistoryEvent {
    HistoryEvent::ResponseReceived { attempt: AttemptId(attempt) }
}

/// A read and its result, given by the items' names, their versions and the changes that wrote them.
fn read(at: i64, shown: &[(&str, u64, u64)]) -> [HistoryEvent; 2] {
    let read = AttemptId(at as u64);
    let items = shown.iter().map(|(name, version, change)| {
        (service(name), ItemState { version: *version, content: Content::SetBy(ChangeId(*change)) })
    });
    [
        HistoryEvent::ReadStarted { at, read, node: 0 },
        HistoryEvent::ReadCompleted { at: at + 1, read, items: items.collect() },
    ]
}

fn applied(gateway: usize, write: Write) -> HistoryEvent {
    HistoryEvent::WriteApplied { at: 0, gateway, write }
}

fn replica_set(node: usize, digest: u64) -> HistoryEvent {
    HistoryEvent::ReplicaSetObserved { at: 0, node, name: "now", version: 1, digest }
}

fn evacuation_observed(at: i64, zone: &str, is_evacuated: bool) -> HistoryEvent {
    HistoryEvent::EvacuationObserved { at, node: 0, zone: zone.to_owned(), is_evacuated }
}

/// The end of the evacuation of the zone `z`, which its operator gives up, and its evacuation by a confirmed request later.
fn evacuation_ended_by_nobody_and_started_again() -> Vec<HistoryEvent> {
    let (ended, started) = (AttemptId(2), AttemptId(3));
    let zone = || "z".to_owned();
    vec![
        HistoryEvent::EvacuationStarted { at: 3, request: ended, zone: zone(), is_evacuated: false },
        HistoryEvent::EvacuationAbandoned { at: 4, request: ended },
        HistoryEvent::EvacuationStarted { at: 5, request: started, zone: zone(), is_evacuated: true },
        HistoryEvent::EvacuationAnswered { at: 6, request: started, is_confirmed: true },
    ]
}

/// A history with a change that is confirmed and read, and a second one that is rejected for writing the same
/// version with different content.
fn correct_history() -> Vec<HistoryEvent> {
    let mut history =
        vec![created(1, &[("a", 3), ("b", 3)]), created(2, &[("a", 3)]), created(3, &[("a", 2)])];
    history.extend(sent_and_started(1, 1));
    history.push(answered(1, 1, ResponseStatus::Confirmed));
    history.extend(sent_and_started(2, 2));
    history.push(answered(2, 2, ResponseStatus::Conflict));
    history.push(received(2));
    history.extend(read(100, &[("a", 3, 1), ("b", 3, 1)]));
    history.push(applied(0, write("a", 3, 1)));
    history.push(HistoryEvent::LeaseHeld { at: 0, nodes: vec![4] });
    history.push(replica_set(1, 7));
    let (request, zone) = (AttemptId(1), "z".to_owned());
    history.push(HistoryEvent::EvacuationStarted { at: 0, request, zone, is_evacuated: true });
    history.push(HistoryEvent::EvacuationAnswered { at: 1, request, is_confirmed: true });
    history.push(evacuation_observed(2, "z", true));
    history
}

/// A history in which one read shows items of these kinds and names, each written by a confirmed change of its own.
fn reading(items: &[(Kind, &str)]) -> Vec<HistoryEvent> {
    let mut history = Vec::new();
    let mut shown = BTreeMap::new();
    for (number, (kind, name)) in (1..).zip(items) {
        let (item, change) = (ItemName::new(*kind, *name), ChangeId(number));
        let content = Content::SetBy(change);
        let write = Write { item: item.clone(), version: number, content };
        history.push(HistoryEvent::ChangeCreated { change, writes: vec![write] });
        history.extend(sent_and_started(number, number));
        history.push(answered(number, number, ResponseStatus::Confirmed));
        shown.insert(item, ItemState { version: number, content });
    }
    let read = AttemptId(1_000);
    history.push(HistoryEvent::ReadStarted { at: 1_000, read, node: 0 });
    history.push(HistoryEvent::ReadCompleted { at: 1_001, read, items: shown });
    history
}

#[test]
fn items_that_are_valid_together_pass() {
    let items = [
        (Kind::Service, "l0"),
        (Kind::Service, "l1"),
        (Kind::Route, "r0-l0"),
        (Kind::Route, "r1-l0"),
        (Kind::Route, "p0-l0"),
        (Kind::Route, "p0-l1"),
        (Kind::Tenant, "t0-k0"),
        (Kind::Tenant, "t0-k1"),
    ];
    assert_eq!(check_history(&reading(&items)), []);
}

#[rstest]
#[case::one_key_of_two_tenants(&[(Kind::Tenant, "t0-k0"), (Kind::Tenant, "t1-k0")])]
#[case::two_routes_in_one_place(&[(Kind::Service, "l0"), (Kind::Route, "p0-l0"), (Kind::Route, "p1-l0")])]
#[case::a_route_to_no_service(&[(Kind::Service, "l1"), (Kind::Route, "r0-l0")])]
fn items_that_are_invalid_together_are_detected(#[case] items: &[(Kind, &str)]) {
    let violations = check_history(&reading(items));
    let invariants: Vec<Invariant> = violations.iter().map(|violation| violation.invariant).collect();
    assert_eq!(invariants, [Invariant::ValidTogether], "{violations:?}");
}

#[test]
fn a_correct_history_passes() {
    assert_eq!(check_history(&correct_history()), []);
}

#[rstest]
#[case::an_older_version_is_read(read(200, &[("a", 2, 3), ("b", 3, 1)]).into(), Invariant::NoLostWrite)]
#[case::a_read_omits_an_item(read(200, &[("b", 3, 1)]).into(), Invariant::NoLostWrite)]
#[case::a_read_is_behind_a_gateway(
    [vec![created(4, &[("c", 1)]), applied(1, write("c", 1, 4))], read(200, &[("a", 3, 1), ("b", 3, 1)]).into()].concat(),
    Invariant::NoLostWrite
)]
#[case::a_read_is_behind_an_earlier_one(
    [vec![created(4, &[("c", 1)])], read(200, &[("a", 3, 1), ("b", 3, 1), ("c", 1, 4)]).into(), read(300, &[("a", 3, 1), ("b", 3, 1)]).into()].concat(),
    Invariant::NoLostWrite
)]
#[case::another_content_is_confirmed(
    [vec![created(4, &[("a", 3)])], sent_and_started(4, 4).into(), vec![answered(4, 4, ResponseStatus::Confirmed)]].concat(),
    Invariant::OneContentPerVersion
)]
#[case::another_content_is_applied(
    vec![created(4, &[("a", 3)]), applied(0, write("a", 3, 4))],
    Invariant::OneContentPerVersion
)]
#[case::a_rejected_change_is_applied(vec![applied(0, write("a", 3, 2))], Invariant::RejectedStaysOut)]
#[case::a_confirmed_change_is_rejected(
    [sent_and_started(5, 1).to_vec(), vec![answered(5, 1, ResponseStatus::Invalid)]].concat(),
    Invariant::RejectedStaysOut
)]
#[case::a_rejected_change_is_confirmed(
    [sent_and_started(5, 2).to_vec(), vec![answered(5, 2, ResponseStatus::Confirmed)]].concat(),
    Invariant::RejectedStaysOut
)]
#[case::an_invalid_change_is_applied(
    [vec![created(4, &[("c", 1)])], sent_and_started(5, 4).into(), vec![
        answered(5, 4, ResponseStatus::Invalid), received(5), applied(0, write("c", 1, 4)),
    ]].concat(),
    Invariant::RejectedStaysOut
)]
#[case::a_write_that_was_never_sent_is_applied(vec![applied(0, write("a", 9, 1))], Invariant::KnownOrigin)]
#[case::a_read_shows_part_of_a_change(
    [vec![created(4, &[("c", 4), ("d", 4)])], read(200, &[("a", 3, 1), ("b", 3, 1), ("c", 4, 4)]).into()].concat(),
    Invariant::Atomicity
)]
#[case::a_gateway_returns_to_an_older_version(vec![applied(0, write("a", 2, 3))], Invariant::MonotonicGateways)]
#[case::two_lease_holders(
    vec![HistoryEvent::LeaseHeld { at: 0, nodes: vec![1, 2] }],
    Invariant::SingleLeaseHolder
)]
#[case::two_replica_sets_of_a_version(vec![replica_set(2, 8)], Invariant::OneReplicaSetPerVersion)]
#[case::an_evacuation_is_undone(vec![evacuation_observed(9, "z", false)], Invariant::EvacuationsPersist)]
#[case::an_abandoned_request_undoes_a_later_evacuation(
    [evacuation_ended_by_nobody_and_started_again(), vec![evacuation_observed(9, "z", false)]].concat(),
    Invariant::EvacuationsPersist
)]
#[case::a_zone_is_evacuated_without_a_request(
    vec![evacuation_observed(9, "y", true)],
    Invariant::EvacuationsPersist
)]
#[case::a_deadline_is_missed(
    vec![HistoryEvent::DeadlineMissed { at: 0, description: "late".to_owned() }],
    Invariant::Deadlines
)]
fn each_violation_is_found(#[case] more: Vec<HistoryEvent>, #[case] invariant: Invariant) {
    let mut history = correct_history();
    history.extend(more);
    let violations = check_history(&history);
    assert!(violations.iter().any(|violation| violation.invariant == invariant), "{violations:?}");
}

/// A change with a 400 response may still be confirmed by another pending attempt, and a gateway that
/// restarts loses its state.
#[test]
fn histories_within_the_invariants_pass() {
    let mut history = correct_history();
    history.push(created(4, &[("c", 1)]));
    history.push(sent(4, 4));
    history.extend(sent_and_started(5, 4));
    history.extend([answered(5, 4, ResponseStatus::Invalid), received(5)]);
    history.extend([started(4, 90), answered(4, 4, ResponseStatus::Confirmed)]);
    history.extend([HistoryEvent::GatewayRestarted { gateway: 0 }, applied(0, write("a", 3, 1))]);
    // The read may omit the item because a deletion was sent.
    let deletion = Write { item: service("b"), version: 5, content: Content::Deleted };
    history.push(HistoryEvent::ChangeCreated { change: ChangeId(6), writes: vec![deletion] });
    history.extend(read(200, &[("a", 3, 1), ("c", 1, 4)]));
    assert_eq!(check_history(&history), []);
}
