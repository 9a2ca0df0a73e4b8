//! Rules about the configuration: an acknowledged change comes into force, stays in force, and can be read.

use super::incarnations::Incarnations;
use super::{Finding, Rule};
use crate::history::{
    ChangeRecord, Event, Micros, ReadRecord, Record, RequestOutcome, RequestRecord, RouteKind,
};
use crate::stand_ins::operator::VERSION_ROUTE;
use std::collections::BTreeMap;

/// Time within which an acknowledged change must be in force on gateways in contact with the control plane. The system
/// promises 4 s; the rest is a margin for a busy machine.
const MAX_PROPAGATION_DELAY: Micros = 8_000_000;
/// A gateway counts as in contact with the control plane if neither it nor a control-plane process was started, signalled
/// or ended for this long.
const CONTACT_SETTLE_TIME: Micros = 15_000_000;

pub(super) fn check(records: &[Record], incarnations: &Incarnations) -> Vec<Finding> {
    let changes: Vec<&ChangeRecord> = records.iter().filter_map(|record| as_change(&record.event)).collect();
    let mut findings = check_observed_versions(records, &changes, incarnations);
    findings.extend(check_reads(records, &changes));
    for record in records {
        if let Some(ChangeRecord { item, version, refused: Some(status), .. }) = as_change(&record.event) {
            let detail = format!("item={item} version={version} status={status}");
            findings.push(Finding::new(Rule::ChangeRefused, record.at, "operator", detail));
        }
    }
    findings
}

fn as_change(event: &Event) -> Option<&ChangeRecord> {
    match event {
        Event::Change(change) => Some(change),
        _ => None,
    }
}

/// A response on the version route, which shows the version in force.
struct Observation<'a> {
    request: &'a RequestRecord,
    ended_at: Micros,
    version: u64,
}

fn check_observed_versions(
    records: &[Record],
    changes: &[&ChangeRecord],
    incarnations: &Incarnations,
) -> Vec<Finding> {
    let observations: Vec<Observation> =
        records.iter().filter_map(|record| observed_version(record, changes)).collect();
    let mut findings: Vec<Finding> = observations
        .iter()
        .filter_map(|observation| find_stale(observation, changes, incarnations))
        .collect();
    findings.extend(find_regressions(&observations, incarnations));
    findings
}

/// The newest version that the response's service can stand for; several versions forward to the same service.
fn observed_version<'a>(record: &'a Record, changes: &[&ChangeRecord]) -> Option<Observation<'a>> {
    let Event::Request(request) = &record.event else { return None };
    let RequestOutcome::Response { status: 200, service: Some(service), .. } = &request.outcome else {
        return None;
    };
    if request.route != RouteKind::Version {
        return None;
    }
    let is_possible =
        |change: &&&ChangeRecord| change.service.as_ref() == Some(service) && change.sent_at <= record.at;
    let version = changes.iter().filter(is_possible).map(|change| change.version).max()?;
    Some(Observation { request, ended_at: record.at, version })
}

fn find_stale(
    observation: &Observation,
    changes: &[&ChangeRecord],
    incarnations: &Incarnations,
) -> Option<Finding> {
    let sent_at = observation.request.sent_at;
    let is_newer_in_force = |change: &&&ChangeRecord| {
        let acknowledged_at = change.acknowledged_at.filter(|at| at + MAX_PROPAGATION_DELAY < sent_at);
        change.item == VERSION_ROUTE && change.version > observation.version && acknowledged_at.is_some()
    };
    let newer = changes.iter().find(is_newer_in_force)?;
    let node = &observation.request.node;
    if !incarnations.had_no_events(node, sent_at.saturating_sub(CONTACT_SETTLE_TIME), observation.ended_at) {
        return None;
    }
    let detail = format!("version={} acknowledged={}", observation.version, newer.version);
    Some(Finding::new(Rule::Stale, observation.ended_at, node, detail).with_request(&observation.request.id))
}

/// The versions observed on one incarnation of a gateway: when each response ended, and the newest version seen by then.
#[derive(Default)]
struct ObservedVersions(Vec<(Micros, u64)>);

impl ObservedVersions {
    fn newest_before(&self, at: Micros) -> u64 {
        let count = self.0.partition_point(|(ended_at, _)| *ended_at <= at);
        count.checked_sub(1).map_or(0, |last| self.0[last].1)
    }

    fn add(&mut self, ended_at: Micros, version: u64) {
        let newest = self.0.last().map_or(0, |(_, newest)| *newest);
        self.0.push((ended_at, newest.max(version)));
    }
}

fn find_regressions(observations: &[Observation], incarnations: &Incarnations) -> Vec<Finding> {
    let mut observed: BTreeMap<(&str, usize), ObservedVersions> = BTreeMap::new();
    let mut findings = Vec::new();
    for observation in observations {
        let request = observation.request;
        let Some((incarnation, _)) = incarnations.at(&request.node, request.connected_at) else { continue };
        let observed = observed.entry((&request.node, incarnation)).or_default();
        let newest = observed.newest_before(request.sent_at);
        if observation.version < newest {
            let detail = format!("version={} seen-before={newest}", observation.version);
            let finding = Finding::new(Rule::WentBack, observation.ended_at, &request.node, detail);
            findings.push(finding.with_request(&request.id));
        }
        observed.add(observation.ended_at, observation.version);
    }
    findings
}

fn check_reads(records: &[Record], changes: &[&ChangeRecord]) -> Vec<Finding> {
    let reads = records.iter().filter_map(|record| match &record.event {
        Event::Read(read) => Some((record.at, read)),
        _ => None,
    });
    reads.flat_map(|(at, read)| check_read(at, read, changes)).collect()
}

fn check_read(at: Micros, read: &ReadRecord, changes: &[&ChangeRecord]) -> Vec<Finding> {
    let Some(versions) = &read.versions else {
        return vec![Finding::new(Rule::NotRecovered, at, &read.node, "no configuration".to_owned())];
    };
    let allowed_delay = if read.is_final { 0 } else { MAX_PROPAGATION_DELAY };
    let mut acknowledged: BTreeMap<&str, u64> = BTreeMap::new();
    for change in changes.iter().filter(|change| change.version > 0) {
        if change.acknowledged_at.is_some_and(|at| at + allowed_delay <= read.sent_at) {
            let newest = acknowledged.entry(&change.item).or_default();
            *newest = change.version.max(*newest);
        }
    }
    let rule = if read.is_final { Rule::ChangeLost } else { Rule::OldRead };
    let older = acknowledged
        .into_iter()
        .filter(|(item, version)| versions.get(*item).is_none_or(|read| read < version));
    older
        .map(|(item, version)| {
            let detail = format!("item={item} acknowledged={version} read={:?}", versions.get(item));
            Finding::new(rule, at, &read.node, detail)
        })
        .collect()
}
