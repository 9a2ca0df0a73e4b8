//! The judgement itself: a good history passes, and each rule finds what breaks it.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_config::Kind;
use kitepass_simulation::history::{
    check_history, AnswerStatus, Content, HistoryEvent, Invariant, ItemName, Write,
};
use rstest::rstest;

fn line(name: &str) -> ItemName {
    (Kind::Service, name.to_owned())
}

fn part(name: &str, version: u64, call: u64) -> Write {
    Write { name: line(name), version, content: Content::Set(call) }
}

fn call(call: u64, parts: &[(&str, u64)]) -> HistoryEvent {
    HistoryEvent::Call {
        call,
        parts: parts.iter().map(|(name, version)| part(name, *version, call)).collect(),
    }
}

fn sent(sending: u64, call: u64) -> [HistoryEvent; 2] {
    [HistoryEvent::Sent { sending, call }, HistoryEvent::Began { at: sending as i64 * 10, sending }]
}

fn answered(sending: u64, call: u64, status: AnswerStatus) -> HistoryEvent {
    HistoryEvent::Answered { at: sending as i64 * 10 + 5, sending, call, node: 0, status }
}

fn read(at: i64, shown: &[(&str, u64, u64)]) -> [HistoryEvent; 2] {
    let shown = shown.iter().map(|(name, version, call)| (line(name), (*version, Content::Set(*call))));
    [
        HistoryEvent::ReadBegan { at, read: at as u64, node: 0 },
        HistoryEvent::ReadEnded { at: at + 1, read: at as u64, shown: shown.collect() },
    ]
}

fn in_force(gate: usize, part: Write) -> HistoryEvent {
    HistoryEvent::InForce { at: 0, gate, part }
}

/// Two calls, the first confirmed and read; the second refused by content.
fn good() -> Vec<HistoryEvent> {
    let mut seen = vec![call(1, &[("a", 3), ("b", 3)]), call(2, &[("a", 3)]), call(3, &[("a", 2)])];
    seen.extend(sent(1, 1));
    seen.push(answered(1, 1, AnswerStatus::Confirmed));
    seen.extend(sent(2, 2));
    seen.push(answered(2, 2, AnswerStatus::Taken));
    seen.push(HistoryEvent::Heard { sending: 2 });
    seen.extend(read(100, &[("a", 3, 1), ("b", 3, 1)]));
    seen.push(in_force(0, part("a", 3, 1)));
    seen.push(HistoryEvent::Duty { at: 0, nodes: vec![4] });
    seen.push(HistoryEvent::ReplicaSet { at: 0, node: 1, name: "now", version: 1, mark: 7 });
    seen.push(HistoryEvent::ZoneBegan { at: 0, order: 1, zone: "z".into(), on: true });
    seen.push(HistoryEvent::ZoneEnded { at: 1, order: 1, taken: true });
    seen.push(HistoryEvent::ZoneIs { at: 2, node: 0, zone: "z".into(), on: true });
    seen
}

#[test]
fn a_good_history_passes() {
    assert_eq!(check_history(&good()), []);
}

#[rstest]
#[case::an_older_version_is_read(read(200, &[("a", 2, 3), ("b", 3, 1)]).into(), Invariant::Lost)]
#[case::nothing_is_read(read(200, &[("b", 3, 1)]).into(), Invariant::Lost)]
#[case::a_read_goes_behind_a_gateway(
    [vec![call(4, &[("c", 1)]), in_force(1, part("c", 1, 4))], read(200, &[("a", 3, 1), ("b", 3, 1)]).into()].concat(),
    Invariant::Lost
)]
#[case::a_read_goes_behind_another(
    [vec![call(4, &[("c", 1)])], read(200, &[("a", 3, 1), ("b", 3, 1), ("c", 1, 4)]).into(), read(300, &[("a", 3, 1), ("b", 3, 1)]).into()].concat(),
    Invariant::Lost
)]
#[case::another_content_is_confirmed(
    [vec![call(4, &[("a", 3)])], sent(4, 4).into(), vec![answered(4, 4, AnswerStatus::Confirmed)]].concat(),
    Invariant::TwoContents
)]
#[case::another_content_is_in_force(vec![call(4, &[("a", 3)]), in_force(0, part("a", 3, 4))], Invariant::TwoContents)]
#[case::what_was_refused_is_in_force(vec![in_force(0, part("a", 3, 2))], Invariant::RefusedYetThere)]
#[case::what_was_confirmed_is_refused(
    [sent(5, 1).to_vec(), vec![answered(5, 1, AnswerStatus::Invalid)]].concat(),
    Invariant::RefusedYetThere
)]
#[case::what_was_refused_is_confirmed(
    [sent(5, 2).to_vec(), vec![answered(5, 2, AnswerStatus::Confirmed)]].concat(),
    Invariant::RefusedYetThere
)]
#[case::an_invalid_call_is_in_force(
    [vec![call(4, &[("c", 1)])], sent(5, 4).into(), vec![
        answered(5, 4, AnswerStatus::Invalid), HistoryEvent::Heard { sending: 5 }, in_force(0, part("c", 1, 4)),
    ]].concat(),
    Invariant::RefusedYetThere
)]
#[case::what_nobody_sent_is_in_force(vec![in_force(0, part("a", 9, 1))], Invariant::OutOfNowhere)]
#[case::half_a_call_is_read(
    [vec![call(4, &[("c", 4), ("d", 4)])], read(200, &[("a", 3, 1), ("b", 3, 1), ("c", 4, 4)]).into()].concat(),
    Invariant::NotWhole
)]
#[case::a_gateway_goes_back(vec![in_force(0, part("a", 2, 3))], Invariant::WentBack)]
#[case::two_do_the_duty(vec![HistoryEvent::Duty { at: 0, nodes: vec![1, 2] }], Invariant::TwoDoTheDuty)]
#[case::two_casts(vec![HistoryEvent::ReplicaSet { at: 0, node: 2, name: "now", version: 1, mark: 8 }], Invariant::TwoCasts)]
#[case::an_evacuation_is_undone(vec![HistoryEvent::ZoneIs { at: 9, node: 0, zone: "z".into(), on: false }], Invariant::ZoneUndone)]
#[case::a_zone_is_evacuated_by_nobody(
    vec![HistoryEvent::ZoneIs { at: 9, node: 0, zone: "y".into(), on: true }],
    Invariant::ZoneUndone
)]
#[case::a_bound_is_missed(vec![HistoryEvent::Late { at: 0, what: "late".into() }], Invariant::Late)]
fn each_rule_finds_what_breaks_it(#[case] more: Vec<HistoryEvent>, #[case] invariant: Invariant) {
    let mut seen = good();
    seen.extend(more);
    let violations = check_history(&seen);
    assert!(violations.iter().any(|violation| violation.invariant == invariant), "{violations:?}");
}

/// What the rules allow: an open sending of a refused call may still do it, and a gateway that begins anew has nothing.
#[test]
fn what_is_allowed_passes() {
    let mut seen = good();
    seen.push(call(4, &[("c", 1)]));
    seen.push(HistoryEvent::Sent { sending: 4, call: 4 });
    seen.extend(sent(5, 4));
    seen.extend([answered(5, 4, AnswerStatus::Invalid), HistoryEvent::Heard { sending: 5 }]);
    seen.extend([HistoryEvent::Began { at: 90, sending: 4 }, answered(4, 4, AnswerStatus::Confirmed)]);
    seen.extend([HistoryEvent::GateBegan { gate: 0 }, in_force(0, part("a", 3, 1))]);
    // A drop that stands explains why nothing is read.
    let drop = Write { name: line("b"), version: 5, content: Content::Dropped };
    seen.push(HistoryEvent::Call { call: 6, parts: vec![drop] });
    seen.extend(read(200, &[("a", 3, 1), ("c", 1, 4)]));
    assert_eq!(check_history(&seen), []);
}
