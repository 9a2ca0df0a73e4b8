//! What a soak has come to: findings a line each, and a table or JSON of figures.

use crate::checker::Finding;
use crate::history::{Event, ProcessChange, Record, RequestOutcome};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The figures of a soak, and its findings.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed of its plan.
    pub seed: u64,
    /// Processes of the system.
    pub processes: usize,
    /// Seconds that it took.
    pub seconds: u64,
    /// Steps of its plan.
    pub steps: usize,
    /// Requests by how they ended.
    pub requests: BTreeMap<String, u64>,
    /// Runs at backends.
    pub runs: u64,
    /// Starts of processes.
    pub starts: u64,
    /// Changes that were acknowledged.
    pub changes_acknowledged: u64,
    /// Changes that were given up.
    pub changes_given_up: u64,
    /// The slowest of 99 in 100 responses with status 200, in milliseconds. Reported, not judged.
    pub p99_ms: u64,
    /// The most memory that one process had, in KiB.
    pub peak_memory_kib: u64,
    /// The most descriptors that one process had.
    pub peak_descriptors: u64,
    /// What broke a rule.
    pub findings: Vec<Finding>,
}

impl Report {
    /// The report of a history that was judged.
    pub fn new(
        seed: u64,
        processes: usize,
        steps: usize,
        records: &[Record],
        findings: Vec<Finding>,
    ) -> Report {
        let mut report = Report {
            seed,
            processes,
            seconds: records.last().map_or(0, |record| record.at / 1_000_000),
            steps,
            requests: BTreeMap::new(),
            runs: 0,
            starts: 0,
            changes_acknowledged: 0,
            changes_given_up: 0,
            p99_ms: 0,
            peak_memory_kib: 0,
            peak_descriptors: 0,
            findings,
        };
        let mut latencies = Vec::new();
        for record in records {
            report.count(record, &mut latencies);
        }
        latencies.sort_unstable();
        report.p99_ms = latencies.get(latencies.len() * 99 / 100).copied().unwrap_or(0);
        report
    }

    fn count(&mut self, record: &Record, latencies: &mut Vec<u64>) {
        match &record.event {
            Event::Request(request) => {
                *self.requests.entry(outcome_name(&request.outcome)).or_default() += 1;
                if matches!(request.outcome, RequestOutcome::Response { status: 200, .. }) {
                    latencies.push((record.at - request.sent_at) / 1_000);
                }
            }
            Event::Run(_) => self.runs += 1,
            Event::Process { change: ProcessChange::Started { .. }, .. } => self.starts += 1,
            Event::Change(change) if change.acknowledged_at.is_some() => self.changes_acknowledged += 1,
            Event::Change(_) => self.changes_given_up += 1,
            Event::Sample(sample) => {
                self.peak_memory_kib = self.peak_memory_kib.max(sample.memory_kib);
                self.peak_descriptors = self.peak_descriptors.max(sample.descriptors);
            }
            _ => {}
        }
    }

    /// A line of `key=value` a finding.
    pub fn finding_lines(&self) -> Vec<String> {
        let line = |finding: &Finding| {
            let request = finding.request.as_deref().unwrap_or("none");
            let second = finding.at as f64 / 1e6;
            let (rule, node, detail) = (finding.rule, &finding.node, &finding.detail);
            format!(
                "event=finding rule={rule:?} seed={} second={second:.3} node={node} request={request} detail={detail:?}",
                self.seed
            )
        };
        self.findings.iter().map(line).collect()
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "seed {}: {} processes, {} s, {} steps, {} starts, {} runs, {} changes acknowledged, {} given up\n",
            self.seed,
            self.processes,
            self.seconds,
            self.steps,
            self.starts,
            self.runs,
            self.changes_acknowledged,
            self.changes_given_up
        );
        for (outcome, count) in &self.requests {
            let _ = writeln!(text, "  {outcome:<20} {count:>9}");
        }
        let _ = writeln!(
            text,
            "  p99 {} ms, most memory of a process {} KiB, most descriptors {}\n  findings: {}",
            self.p99_ms,
            self.peak_memory_kib,
            self.peak_descriptors,
            self.findings.len()
        );
        text
    }
}

fn outcome_name(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Response { status, is_gateways_own: true, .. } => format!("{status} by a gateway"),
        RequestOutcome::Response { status, .. } => format!("{status}"),
        RequestOutcome::Broken => "no response".to_owned(),
        RequestOutcome::Malformed => "malformed".to_owned(),
        RequestOutcome::TimedOut => "timed out".to_owned(),
    }
}
