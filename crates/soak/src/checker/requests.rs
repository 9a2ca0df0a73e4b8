//! Rules about single requests: which response the client got, and where the request ran.

use super::incarnations::Incarnations;
use super::{Finding, Rule};
use crate::history::{Event, Micros, Record, RequestOutcome, RequestRecord, RouteKind, RunRecord};
use std::collections::HashMap;

/// Statuses of a gateway's own responses that mean the request did not run and may be retried. They do not say that the
/// request is invalid.
const RETRY_STATUSES: [u16; 4] = [408, 421, 429, 503];

pub(super) fn check(records: &[Record], incarnations: &Incarnations) -> Vec<Finding> {
    let mut runs: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    let mut requests: HashMap<&str, &RequestRecord> = HashMap::new();
    for record in records {
        match &record.event {
            Event::Run(run) => runs.entry(&run.id).or_default().push(run),
            Event::Request(request) => _ = requests.insert(&request.id, request),
            _ => {}
        }
    }
    let mut findings = Vec::new();
    for record in records {
        match &record.event {
            Event::Request(request) => {
                let runs = runs.get(&*request.id).map_or(&[][..], Vec::as_slice);
                findings.extend(check_request(record.at, request, runs, incarnations));
            }
            Event::Run(run) => findings.extend(check_run(record.at, run, requests.get(&*run.id).copied())),
            _ => {}
        }
    }
    findings
}

fn check_request(
    at: Micros,
    request: &RequestRecord,
    runs: &[&RunRecord],
    incarnations: &Incarnations,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |rule, detail: String| {
        findings.push(Finding::new(rule, at, &request.node, detail).with_request(&request.id));
    };
    let has_run = !runs.is_empty();
    let is_at_most_once = request.route == RouteKind::Once;
    if is_at_most_once && runs.len() > 1 {
        add(Rule::Doubled, format!("runs={}", runs.len()));
    }
    let is_disrupted = || {
        incarnations
            .at(&request.node, request.connected_at)
            .is_none_or(|(_, incarnation)| incarnation.is_disrupted(at))
    };
    match &request.outcome {
        RequestOutcome::Response { status, is_gateways_own: true, .. } => {
            if (300..500).contains(status) && !RETRY_STATUSES.contains(status) {
                add(Rule::Denied, format!("status={status}"));
            }
            if RETRY_STATUSES.contains(status) && is_at_most_once && has_run {
                add(Rule::Refused, format!("status={status}"));
            }
        }
        RequestOutcome::Broken => {
            let was_answered = runs.iter().any(|run| run.is_answered);
            if request.complete_at.is_some() && was_answered && !is_disrupted() {
                add(Rule::Lost, "a backend had responded".to_owned());
            }
        }
        RequestOutcome::TimedOut if request.complete_at.is_some() && !is_disrupted() => {
            add(Rule::Unanswered, "no response".to_owned());
        }
        RequestOutcome::Malformed => add(Rule::Mixed, "not a valid HTTP response".to_owned()),
        RequestOutcome::TimedOut | RequestOutcome::Response { .. } => {}
    }
    if let RequestOutcome::Response { status, is_intact: false, service, .. } = &request.outcome {
        add(Rule::Mixed, format!("status={status} service={service:?}"));
    }
    findings
}

fn check_run(at: Micros, run: &RunRecord, request: Option<&RequestRecord>) -> Option<Finding> {
    let finding =
        |rule, detail: &str| Finding::new(rule, at, &run.backend, detail.to_owned()).with_request(&run.id);
    let Some(request) = request else { return Some(finding(Rule::Unasked, "no client sent this request")) };
    if run.is_garbled && request.complete_at.is_some() {
        return Some(finding(Rule::Unasked, "the request body differs from what was sent"));
    }
    let is_expected_service = match request.route {
        RouteKind::Safe | RouteKind::Limited => run.service == "books",
        RouteKind::Once => run.service == "loans",
        RouteKind::Version => run.service.starts_with("version-"),
    };
    (!is_expected_service).then(|| finding(Rule::WrongService, &run.service))
}
