//! Checks a history that satisfies all rules, and for each rule a modified history that violates it, so that removing a rule
//! makes its case fail.

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

/// A history with events of all kinds that satisfies all rules.
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

/// The rules that a history violates, each listed once.
fn violated_rules(mut records: Vec<Record>) -> Vec<Rule> {
    records.sort_by_key(|record| record.at);
    let mut rules: Vec<Rule> = check(&records).into_iter().map(|finding| finding.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// The clean history, with another outcome for the request with this id.
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

fn with_records(more: impl IntoIterator<Item = Record>) -> Vec<Record> {
    clean_history().into_iter().chain(more).collect()
}

fn with_final_exit(more: impl IntoIterator<Item = Record>) -> Vec<Record> {
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
#[case::doubled(with_records([run(22, "t2", "loans")]), Rule::Doubled)]
#[case::refused(with_records([run(62, "t5", "loans")]), Rule::Refused)]
#[case::unsent(with_records([run(62, "t9", "loans")]), Rule::Unasked)]
#[case::wrong_service(with_records([run(20, "t1", "loans")]), Rule::WrongService)]
#[case::lost(with_records([run(63, "t6", "books")]), Rule::Lost)]
#[case::unanswered(with_outcome("t6", RequestOutcome::TimedOut), Rule::Unanswered)]
#[case::stale(with_records(observed(61, "t7", "version-1")), Rule::Stale)]
#[case::old_read(with_records([read(62, 1, false)]), Rule::OldRead)]
#[case::lost_change(with_records([read(70, 1, true)]), Rule::ChangeLost)]
#[case::exited_unexpectedly(with_final_exit([exited(72, Some(1))]), Rule::EndedByItself)]
#[case::unclean_exit(with_final_exit([signalled(72, SignalKind::Terminate), exited(73, Some(1))]), Rule::UncleanEnd)]
#[case::late_exit(with_final_exit([signalled(72, SignalKind::Terminate), exited(99, Some(0))]), Rule::LateEnd)]
#[case::memory(with_records([sample(70, 1 << 20, 10)]), Rule::Resources)]
#[case::descriptors(with_records([sample(70, 10, 5_000)]), Rule::Resources)]
fn each_rule_reports_its_violation(#[case] records: Vec<Record>, #[case] rule: Rule) {
    let rules = violated_rules(records);
    assert!(rules.contains(&rule), "{rules:?}");
}

/// A signal can reach a process before it has installed its handlers; the signal then ends it, which is no fault of the
/// program.
#[test]
fn a_signal_before_the_handlers_are_installed_may_end_a_process() {
    let early = process(72, "gateway-1", ProcessChange::SignalledTooEarly(SignalKind::Reload));
    assert_eq!(violated_rules(with_final_exit([early.clone(), exited(72, None)])), []);
    assert_eq!(violated_rules(with_final_exit([early, exited(72, Some(1))])), [Rule::EndedByItself]);
    let caught = signalled(72, SignalKind::Reload);
    assert_eq!(violated_rules(with_final_exit([caught, exited(72, None)])), [Rule::EndedByItself]);
}

#[test]
fn a_response_that_is_not_intact_is_reported() {
    let outcome = RequestOutcome::Response {
        status: 200,
        is_gateways_own: false,
        is_intact: false,
        service: Some("books".to_owned()),
    };
    assert_eq!(violated_rules(with_outcome("t1", outcome)), [Rule::Mixed]);
}

#[test]
fn a_corrupted_request_body_is_reported() {
    let mut garbled = run(21, "t2", "loans");
    if let Event::Run(run) = &mut garbled.event {
        run.is_garbled = true;
    }
    assert!(violated_rules(with_records([garbled])).contains(&Rule::Unasked));
}

#[test]
fn a_version_regression_is_reported_only_within_one_incarnation() {
    // Too soon after the change for the old version to count as stale.
    let rules_after_regression = |more: Vec<Record>| {
        let observations =
            [observed(33, "t7", "version-2"), observed(35, "t8", "version-1")].into_iter().flatten();
        violated_rules(with_records(observations.chain(more)))
    };
    assert_eq!(rules_after_regression(Vec::new()), [Rule::WentBack]);
    let restart = vec![signalled(34, SignalKind::Kill), exited(34, None), started(34, "gateway-1")];
    assert_eq!(rules_after_regression(restart), []);
}

#[test]
fn a_stale_gateway_is_not_reported_soon_after_a_process_event() {
    let stale_response = || observed(61, "t7", "version-1").into_iter();
    let control_plane_event = process(55, "control-1", ProcessChange::Signalled(SignalKind::Freeze));
    assert!(
        !violated_rules(with_records(stale_response().chain([control_plane_event]))).contains(&Rule::Stale)
    );
    assert!(!violated_rules(with_records(stale_response().chain([signalled(55, SignalKind::Freeze)])))
        .contains(&Rule::Stale));
}

#[rstest]
#[case::killed(SignalKind::Kill)]
#[case::frozen(SignalKind::Freeze)]
fn a_response_cut_off_by_killing_or_freezing_the_gateway_is_not_lost(#[case] kind: SignalKind) {
    let records = with_records([run(63, "t6", "books"), signalled(62, kind)]);
    assert!(!violated_rules(records).contains(&Rule::Lost));
}

/// A process may accept a connection before its start is recorded, so the start time must not decide which incarnation a
/// connection belongs to.
#[test]
fn a_connection_belongs_to_the_first_incarnation_that_had_not_ended() {
    let restart = [signalled(5, SignalKind::Kill), exited(6, None), started(9, "gateway-1")];
    let mut early = request(20, "t8", RouteKind::Safe, RequestOutcome::Broken);
    if let Event::Request(request) = &mut early.event {
        request.connected_at = 9 * SECOND - 20;
    }
    let lost = || with_records(restart.clone().into_iter().chain([run(20, "t8", "books"), early.clone()]));
    assert_eq!(violated_rules(lost()), [Rule::Lost]);
    let killed = lost().into_iter().chain([signalled(19, SignalKind::Kill)]).collect();
    assert_eq!(violated_rules(killed), []);
}

#[test]
fn a_rejected_change_and_a_process_that_does_not_recover_are_reported() {
    let mut refused = change(40, 3, "version-3");
    if let Event::Change(change) = &mut refused.event {
        (change.acknowledged_at, change.refused) = (None, Some(409));
    }
    assert_eq!(violated_rules(with_records([refused])), [Rule::ChangeRefused]);
    let not_ready = record(71, Event::FinalReadiness { node: "gateway-1".to_owned(), is_ready: false });
    assert_eq!(violated_rules(with_records([not_ready])), [Rule::NotRecovered]);
    let (node, versions) = ("control-1".to_owned(), None);
    let unread = record(70, Event::Read(ReadRecord { node, sent_at: 0, versions, is_final: true }));
    assert_eq!(violated_rules(with_records([unread])), [Rule::NotRecovered]);
}

#[rstest]
#[case::within(250, false)]
#[case::beyond(400, true)]
fn runs_beyond_the_quota_are_reported(#[case] runs: usize, #[case] is_reported: bool) {
    let limited = (0..runs).flat_map(|number| {
        let id = format!("q{number}");
        let mut limited = run(50, &id, "books");
        if let Event::Run(run) = &mut limited.event {
            run.tenant = Some("school".to_owned());
        }
        [limited, request(50, &id, RouteKind::Limited, response(200, Some("books")))]
    });
    assert_eq!(violated_rules(with_records(limited)).contains(&Rule::QuotaExceeded), is_reported);
}

#[rstest]
#[case::level(|_| 20_000, |_| 40, false)]
#[case::memory(|second| 20_000 + second * second * 40, |_| 40, true)]
#[case::descriptors(|_| 20_000, |second| 20 + second * second / 4, true)]
fn unbounded_growth_is_reported(
    #[case] memory: fn(u64) -> u64,
    #[case] descriptors: fn(u64) -> u64,
    #[case] is_reported: bool,
) {
    let samples = (2..70).map(|second| sample(second, memory(second), descriptors(second)));
    assert_eq!(violated_rules(with_records(samples)).contains(&Rule::Resources), is_reported);
}
