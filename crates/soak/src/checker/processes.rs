//! Rules about processes: how they end, and whether all is well again at the end.

use super::lives::{Life, Lives};
use super::{Finding, Rule};
use crate::history::{Event, Micros, Record};
use crate::topology::GRACE_S;

/// A process ends within its grace and this, which a busy machine may need.
const LATE_AFTER: Micros = (GRACE_S + 12) * 1_000_000;

pub(super) fn check(records: &[Record], lives: &Lives) -> Vec<Finding> {
    let end = records.last().map_or(0, |record| record.at);
    let mut findings: Vec<Finding> =
        lives.all().filter_map(|(node, life)| check_life(node, life, end)).collect();
    for record in records {
        if let Event::FinalReadiness { node, is_ready: false } = &record.event {
            findings.push(Finding::new(Rule::NotRecovered, record.at, node, "not ready".to_owned()));
        }
    }
    findings
}

fn check_life(node: &str, life: &Life, end: Micros) -> Option<Finding> {
    let (ended_at, code) = life.exit.unwrap_or((end, None));
    if life.ended_by_itself() {
        return Some(Finding::new(Rule::EndedByItself, ended_at, node, format!("code={code:?}")));
    }
    let told_at = life.told_to_end_at()?;
    if life.is_disturbed(ended_at) {
        return None;
    }
    if ended_at > told_at + LATE_AFTER {
        let seconds = (ended_at - told_at) / 1_000_000;
        return Some(Finding::new(Rule::LateEnd, ended_at, node, format!("seconds={seconds}")));
    }
    let is_clean = code == Some(0) || life.was_signalled_too_early || life.exit.is_none();
    (!is_clean).then(|| Finding::new(Rule::UncleanEnd, ended_at, node, format!("code={code:?}")))
}
