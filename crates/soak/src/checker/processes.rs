//! Rules about processes: how they exit, and whether the gateways are ready at the end.

use super::incarnations::{Incarnation, Incarnations};
use super::{Finding, Rule};
use crate::history::{Event, Micros, Record};
use crate::topology::SHUTDOWN_GRACE_S;

/// Time within which a process must exit after SIGTERM: the grace period of its settings, and 12 s for a busy machine.
const MAX_EXIT_DELAY: Micros = (SHUTDOWN_GRACE_S + 12) * 1_000_000;

pub(super) fn check(records: &[Record], incarnations: &Incarnations) -> Vec<Finding> {
    let end = records.last().map_or(0, |record| record.at);
    let mut findings: Vec<Finding> = incarnations
        .all()
        .filter_map(|(node, incarnation)| check_incarnation(node, incarnation, end))
        .collect();
    for record in records {
        if let Event::FinalReadiness { node, is_ready: false } = &record.event {
            findings.push(Finding::new(Rule::NotRecovered, record.at, node, "not ready".to_owned()));
        }
    }
    findings
}

fn check_incarnation(node: &str, incarnation: &Incarnation, end: Micros) -> Option<Finding> {
    let (ended_at, code) = incarnation.exit.unwrap_or((end, None));
    if incarnation.exited_unexpectedly() {
        return Some(Finding::new(Rule::EndedByItself, ended_at, node, format!("code={code:?}")));
    }
    let terminate_sent_at = incarnation.terminate_sent_at()?;
    if incarnation.is_disrupted(ended_at) {
        return None;
    }
    if ended_at > terminate_sent_at + MAX_EXIT_DELAY {
        let seconds = (ended_at - terminate_sent_at) / 1_000_000;
        return Some(Finding::new(Rule::LateEnd, ended_at, node, format!("seconds={seconds}")));
    }
    let is_clean = code == Some(0) || incarnation.was_ended_by_early_signal() || incarnation.exit.is_none();
    (!is_clean).then(|| Finding::new(Rule::UncleanEnd, ended_at, node, format!("code={code:?}")))
}
