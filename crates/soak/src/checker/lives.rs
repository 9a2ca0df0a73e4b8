//! The lives of the processes: when each began, what signals came, how it ended.

use crate::history::{Event, Micros, ProcessChange, Record, SignalKind};
use std::collections::BTreeMap;

/// A process from its start to its end.
#[derive(Clone, Debug, Default)]
pub(super) struct Life {
    pub(super) started_at: Micros,
    pub(super) signals: Vec<(Micros, SignalKind)>,
    /// A signal came before it had set its handlers.
    pub(super) was_signalled_too_early: bool,
    /// When it ended, and its exit code.
    pub(super) exit: Option<(Micros, Option<i32>)>,
}

impl Life {
    /// Whether a signal of this kind came, until then.
    pub(super) fn had_signal(&self, kind: SignalKind, until: Micros) -> bool {
        self.signals.iter().any(|(at, signal)| *signal == kind && *at <= until)
    }

    /// When it was first told to end.
    pub(super) fn told_to_end_at(&self) -> Option<Micros> {
        let mut told = self.signals.iter().filter(|(_, signal)| *signal == SignalKind::Terminate);
        told.next().map(|(at, _)| *at)
    }

    /// Whether it ended though nobody told it to.
    pub(super) fn ended_by_itself(&self) -> bool {
        if self.was_signalled_too_early {
            return false;
        }
        let ended_at = self.exit.map(|(at, _)| at);
        ended_at.is_some_and(|at| {
            !self.had_signal(SignalKind::Kill, at) && !self.had_signal(SignalKind::Terminate, at)
        })
    }

    /// Whether something other than an orderly end disturbed it, until then.
    pub(super) fn is_disturbed(&self, until: Micros) -> bool {
        self.had_signal(SignalKind::Kill, until)
            || self.had_signal(SignalKind::Freeze, until)
            || self.ended_by_itself()
    }
}

/// All lives by node id.
#[derive(Debug, Default)]
pub(super) struct Lives {
    by_node: BTreeMap<String, Vec<Life>>,
    /// When anything became of a control process.
    core_events: Vec<Micros>,
}

impl Lives {
    pub(super) fn of(records: &[Record]) -> Lives {
        let mut lives = Lives::default();
        for record in records {
            let Event::Process { node, change } = &record.event else { continue };
            if !node.starts_with("gateway") {
                lives.core_events.push(record.at);
            }
            let of_node = lives.by_node.entry(node.clone()).or_default();
            match (change, of_node.last_mut()) {
                (ProcessChange::Started { .. }, _) => {
                    of_node.push(Life { started_at: record.at, ..Life::default() });
                }
                (ProcessChange::Signalled(kind), Some(life)) => life.signals.push((record.at, *kind)),
                (ProcessChange::SignalledTooEarly(_), Some(life)) => life.was_signalled_too_early = true,
                (ProcessChange::Exited(code), Some(life)) => life.exit = Some((record.at, *code)),
                (_, None) => {}
            }
        }
        lives
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (&str, &Life)> {
        self.by_node.iter().flat_map(|(node, lives)| lives.iter().map(move |life| (&**node, life)))
    }

    /// The life in which a connection was accepted that stood at this time, and its number.
    pub(super) fn at(&self, node: &str, at: Micros) -> Option<(usize, &Life)> {
        let lives = self.by_node.get(node)?;
        let number = lives.partition_point(|life| life.started_at <= at).checked_sub(1)?;
        Some((number, &lives[number]))
    }

    /// Whether nothing became of this process or of a control process between these times.
    pub(super) fn is_calm(&self, node: &str, from: Micros, to: Micros) -> bool {
        let is_within = |at: Micros| (from..=to).contains(&at);
        let is_life_calm = |life: &Life| {
            !is_within(life.started_at)
                && !life.signals.iter().any(|(at, _)| is_within(*at))
                && !life.exit.is_some_and(|(at, _)| is_within(at))
        };
        let first_core_event = self.core_events.partition_point(|at| *at < from);
        let is_core_calm = self.core_events.get(first_core_event).is_none_or(|at| *at > to);
        is_core_calm && self.by_node.get(node).is_none_or(|lives| lives.iter().all(is_life_calm))
    }
}
