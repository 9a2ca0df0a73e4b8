//! The result of a soak test: one line per finding, and statistics as a table or as JSON.

use crate::checker::Finding;
use crate::history::{Event, ProcessChange, Record, RequestOutcome};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The statistics and findings of a soak test.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed of the plan.
    pub seed: u64,
    /// Number of processes in the system under test.
    pub processes: usize,
    /// Duration in seconds.
    pub seconds: u64,
    /// Number of steps in the plan.
    pub steps: usize,
    /// Number of requests by outcome.
    pub requests: BTreeMap<String, u64>,
    /// Number of runs at backends.
    pub runs: u64,
    /// Number of process starts.
    pub starts: u64,
    /// Number of configuration changes that were acknowledged.
    pub changes_acknowledged: u64,
    /// Number of configuration changes that were rejected or abandoned.
    pub changes_given_up: u64,
    /// The 99th percentile of the latency of responses with status 200, in milliseconds. No rule checks it.
    pub p99_ms: u64,
    /// The highest resident memory of a single process, in KiB.
    pub peak_memory_kib: u64,
    /// The highest number of open file descriptors of a single process.
    pub peak_descriptors: u64,
    /// The violations of rules.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Summarizes a history and its findings.
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

    /// Formats each finding as one line of `key=value` pairs.
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

    /// Formats the statistics as a table for reading.
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
            "  p99 {} ms, peak memory of a process {} KiB, peak descriptors {}\n  findings: {}",
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
