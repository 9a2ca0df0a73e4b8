//! A history that keeps all rules, and for each rule the change that breaks it. A rule that is taken out fails its case.

use super::*;
use crate::history::{
    ChangeRecord, Event, ProcessChange, ReadRecord, RequestOutcome, RequestRecord, ResourceSample, RouteKind,
    RunRecord, SignalKind,
};
use rstest::rstest;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

fn record(second: u64, event: Event) -> Record {
    Record { at: second * SECOND, event }
}

fn process(second: u64, node: &str, change: ProcessChange) -> Record {
    record(second, Event::Process { node: node.to_owned(), change })
}

fn started(second: u64, node: &str) -> Record {
    process(second, node, ProcessChange::Started { is_disk_lost: false })
}

fn signalled(second: u64, kind: SignalKind) -> Record {
    process(second, "gateway-1", ProcessChange::Signalled(kind))
}

fn exited(second: u64, code: Option<i32>) -> Record {
    process(second, "gateway-1", ProcessChange::Exited(code))
}

fn response(status: u16, service: Option<&str>) -> RequestOutcome {
    RequestOutcome::Response {
        status,
        is_gateways_own: service.is_none(),
        is_intact: true,
        service: service.map(str::to_owned),
    }
}

fn request(second: u64, id: &str, route: RouteKind, outcome: RequestOutcome) -> Record {
    let sent_at = second * SECOND;
    record(
        second,
        Event::Request(RequestRecord {
            id: id.to_owned(),
            node: "gateway-1".to_owned(),
            route,
            connected_at: sent_at,
            sent_at,
            complete_at: Some(sent_at),
            outcome,
        }),
    )
}

fn run(second: u64, id: &str, service: &str) -> Record {
    record(
        second,
        Event::Run(RunRecord {
            id: id.to_owned(),
            backend: "b1".to_owned(),
            service: service.to_owned(),
            tenant: None,
            began_at: second * SECOND,
            is_garbled: false,
            is_answered: true,
        }),
    )
}

fn change(second: u64, version: u64, service: &str) -> Record {
    record(
        second,
        Event::Change(ChangeRecord {
            item: "version".to_owned(),
            version,
            service: Some(service.to_owned()),
            sent_at: second * SECOND,
            acknowledged_at: Some(second * SECOND),
            refused: None,
        }),
    )
}

fn read(second: u64, version: u64, is_final: bool) -> Record {
    let versions = Some(BTreeMap::from([("version".to_owned(), version)]));
    let node = "control-1".to_owned();
    record(second, Event::Read(ReadRecord { node, sent_at: second * SECOND, versions, is_final }))
}

fn observed(second: u64, id: &str, service: &str) -> [Record; 2] {
    [run(second, id, service), request(second, id, RouteKind::Version, response(200, Some(service)))]
}

/// One of each, and all is well.
fn clean_history() -> Vec<Record> {
    let mut records = vec![started(0, "control-1"), started(0, "gateway-1"), change(1, 1, "version-1")];
    records
        .extend([run(20, "t1", "books"), request(20, "t1", RouteKind::Safe, response(200, Some("books")))]);
    records
        .extend([run(21, "t2", "loans"), request(21, "t2", RouteKind::Once, response(200, Some("loans")))]);
    records.extend(observed(30, "t3", "version-1"));
    records.push(change(31, 2, "version-2"));
    records.extend(observed(60, "t4", "version-2"));
    records.push(read(61, 2, false));
    records.push(request(62, "t5", RouteKind::Once, response(503, None)));
    records.push(request(63, "t6", RouteKind::Safe, RequestOutcome::Broken));
    records.push(read(70, 2, true));
    records.push(record(71, Event::FinalReadiness { node: "gateway-1".to_owned(), is_ready: true }));
    records.extend([signalled(72, SignalKind::Terminate), exited(75, Some(0))]);
    records
}

/// The rules that a history breaks, each once.
fn violated_rules(mut records: Vec<Record>) -> Vec<Rule> {
    records.sort_by_key(|record| record.at);
    let mut rules: Vec<Rule> = check(&records).into_iter().map(|finding| finding.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// The records, with what a request of this id ended with replaced.
fn with_outcome(id: &str, outcome: RequestOutcome) -> Vec<Record> {
    let mut records = clean_history();
    for record in &mut records {
        if let Event::Request(request) = &mut record.event {
            if request.id == id {
                request.outcome = outcome.clone();
            }
        }
    }
    records
}

fn with(more: impl IntoIterator<Item = Record>) -> Vec<Record> {
    clean_history().into_iter().chain(more).collect()
}

fn without_end(more: impl IntoIterator<Item = Record>) -> Vec<Record> {
    let mut records = clean_history();
    records.truncate(records.len() - 2);
    records.extend(more);
    records
}

fn sample(second: u64, memory_kib: u64, descriptors: u64) -> Record {
    record(
        second,
        Event::Sample(ResourceSample {
            node: "gateway-1".to_owned(),
            memory_kib,
            descriptors,
            threads: 1,
            processor_ms: 0,
            log_bytes: 0,
            disk_bytes: 0,
        }),
    )
}

#[test]
fn a_clean_history_has_no_findings() {
    assert_eq!(check(&clean_history()), Vec::new());
}

#[rstest]
#[case::denied(with_outcome("t1", response(404, None)), Rule::Denied)]
#[case::redirected(with_outcome("t1", response(302, None)), Rule::Denied)]
#[case::malformed(with_outcome("t1", RequestOutcome::Malformed), Rule::Mixed)]
#[case::doubled(with([run(22, "t2", "loans")]), Rule::Doubled)]
#[case::refused(with([run(62, "t5", "loans")]), Rule::Refused)]
#[case::nobodys(with([run(62, "t9", "loans")]), Rule::Unasked)]
#[case::wrong_service(with([run(20, "t1", "loans")]), Rule::WrongService)]
#[case::lost(with([run(63, "t6", "books")]), Rule::Lost)]
#[case::unanswered(with_outcome("t6", RequestOutcome::TimedOut), Rule::Unanswered)]
#[case::stale(with(observed(61, "t7", "version-1")), Rule::Stale)]
#[case::old_read(with([read(62, 1, false)]), Rule::OldRead)]
#[case::lost_change(with([read(70, 1, true)]), Rule::ChangeLost)]
#[case::ended(without_end([exited(72, Some(1))]), Rule::EndedByItself)]
#[case::unclean(without_end([signalled(72, SignalKind::Terminate), exited(73, Some(1))]), Rule::UncleanEnd)]
#[case::late(without_end([signalled(72, SignalKind::Terminate), exited(99, Some(0))]), Rule::LateEnd)]
#[case::memory(with([sample(70, 1 << 20, 10)]), Rule::Resources)]
#[case::descriptors(with([sample(70, 10, 5_000)]), Rule::Resources)]
fn each_rule_is_found_broken(#[case] records: Vec<Record>, #[case] rule: Rule) {
    let rules = violated_rules(records);
    assert!(rules.contains(&rule), "{rules:?}");
}

/// No process can catch a signal before its first instruction.
#[test]
fn a_signal_before_the_handlers_are_set_may_end_a_process() {
    let early = process(72, "gateway-1", ProcessChange::SignalledTooEarly(SignalKind::Reload));
    assert_eq!(violated_rules(without_end([early.clone(), exited(72, None)])), []);
    assert_eq!(violated_rules(without_end([early, exited(72, Some(1))])), [Rule::EndedByItself]);
    let caught = signalled(72, SignalKind::Reload);
    assert_eq!(violated_rules(without_end([caught, exited(72, None)])), [Rule::EndedByItself]);
}

#[test]
fn a_mixed_response_is_found() {
    let outcome = RequestOutcome::Response {
        status: 200,
        is_gateways_own: false,
        is_intact: false,
        service: Some("books".to_owned()),
    };
    assert_eq!(violated_rules(with_outcome("t1", outcome)), [Rule::Mixed]);
}

#[test]
fn a_garbled_body_is_found() {
    let mut garbled = run(21, "t2", "loans");
    if let Event::Run(run) = &mut garbled.event {
        run.is_garbled = true;
    }
    assert!(violated_rules(with([garbled])).contains(&Rule::Unasked));
}

#[test]
fn a_gateway_that_goes_back_is_found_in_the_same_life_only() {
    // Too soon after the change for it to be stale.
    let back = |more: Vec<Record>| {
        let again = [observed(33, "t7", "version-2"), observed(35, "t8", "version-1")].into_iter().flatten();
        violated_rules(with(again.chain(more)))
    };
    assert_eq!(back(Vec::new()), [Rule::WentBack]);
    let restart = vec![signalled(34, SignalKind::Kill), exited(34, None), started(34, "gateway-1")];
    assert_eq!(back(restart), []);
}

#[test]
fn a_stale_gateway_is_excused_while_it_or_a_control_process_is_disturbed() {
    let old = || observed(61, "t7", "version-1").into_iter();
    let core = process(55, "control-1", ProcessChange::Signalled(SignalKind::Freeze));
    assert!(!violated_rules(with(old().chain([core]))).contains(&Rule::Stale));
    assert!(!violated_rules(with(old().chain([signalled(55, SignalKind::Freeze)]))).contains(&Rule::Stale));
}

#[rstest]
#[case::killed(SignalKind::Kill)]
#[case::frozen(SignalKind::Freeze)]
fn what_a_killed_or_frozen_gateway_breaks_off_is_not_lost(#[case] kind: SignalKind) {
    let records = with([run(63, "t6", "books"), signalled(62, kind)]);
    assert!(!violated_rules(records).contains(&Rule::Lost));
}

/// A process may accept a connection before its start is recorded.
#[test]
fn a_connection_belongs_to_the_incarnation_that_had_not_ended() {
    let restart = [signalled(5, SignalKind::Kill), exited(6, None), started(9, "gateway-1")];
    let mut early = request(20, "t8", RouteKind::Safe, RequestOutcome::Broken);
    if let Event::Request(request) = &mut early.event {
        request.connected_at = 9 * SECOND - 20;
    }
    let lost = || with(restart.clone().into_iter().chain([run(20, "t8", "books"), early.clone()]));
    assert_eq!(violated_rules(lost()), [Rule::Lost]);
    let killed = lost().into_iter().chain([signalled(19, SignalKind::Kill)]).collect();
    assert_eq!(violated_rules(killed), []);
}

#[test]
fn a_refused_change_and_a_process_that_does_not_recover_are_found() {
    let mut refused = change(40, 3, "version-3");
    if let Event::Change(change) = &mut refused.event {
        (change.acknowledged_at, change.refused) = (None, Some(409));
    }
    assert_eq!(violated_rules(with([refused])), [Rule::ChangeRefused]);
    let not_ready = record(71, Event::FinalReadiness { node: "gateway-1".to_owned(), is_ready: false });
    assert_eq!(violated_rules(with([not_ready])), [Rule::NotRecovered]);
    let (node, versions) = ("control-1".to_owned(), None);
    let unread = record(70, Event::Read(ReadRecord { node, sent_at: 0, versions, is_final: true }));
    assert_eq!(violated_rules(with([unread])), [Rule::NotRecovered]);
}

#[rstest]
#[case::within(250, false)]
#[case::beyond(400, true)]
fn runs_beyond_the_quota_are_found(#[case] runs: usize, #[case] is_found: bool) {
    let limited = (0..runs).flat_map(|number| {
        let id = format!("q{number}");
        let mut limited = run(50, &id, "books");
        if let Event::Run(run) = &mut limited.event {
            run.tenant = Some("school".to_owned());
        }
        [limited, request(50, &id, RouteKind::Limited, response(200, Some("books")))]
    });
    assert_eq!(violated_rules(with(limited)).contains(&Rule::QuotaExceeded), is_found);
}

#[rstest]
#[case::level(|_| 20_000, |_| 40, false)]
#[case::memory(|second| 20_000 + second * second * 40, |_| 40, true)]
#[case::descriptors(|_| 20_000, |second| 20 + second * second / 4, true)]
fn growth_without_end_is_found(
    #[case] memory: fn(u64) -> u64,
    #[case] descriptors: fn(u64) -> u64,
    #[case] is_found: bool,
) {
    let samples = (2..70).map(|second| sample(second, memory(second), descriptors(second)));
    assert_eq!(violated_rules(with(samples)).contains(&Rule::Resources), is_found);
}
