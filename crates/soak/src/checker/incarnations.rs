//! The incarnations of the processes: when each started, which signals it was sent, and how it ended.

use crate::history::{Event, Micros, ProcessChange, Record, SignalKind};
use std::collections::BTreeMap;

/// A process from a start to the next exit.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnation {
    pub(super) started_at: Micros,
    pub(super) signals: Vec<(Micros, SignalKind)>,
    /// It was sent a signal before it had installed its handlers.
    was_signalled_before_handlers: bool,
    /// When it ended, and its exit code; no code if a signal ended it.
    pub(super) exit: Option<(Micros, Option<i32>)>,
}

impl Incarnation {
    /// Whether it had been sent a signal of this kind by `until`.
    pub(super) fn had_signal(&self, kind: SignalKind, until: Micros) -> bool {
        self.signals.iter().any(|(at, signal)| *signal == kind && *at <= until)
    }

    /// When it was first sent SIGTERM.
    pub(super) fn terminate_sent_at(&self) -> Option<Micros> {
        let mut terminations = self.signals.iter().filter(|(_, signal)| *signal == SignalKind::Terminate);
        terminations.next().map(|(at, _)| *at)
    }

    /// Whether a signal ended it that was sent before it had installed its handlers. An exit code rules that out.
    pub(super) fn was_ended_by_early_signal(&self) -> bool {
        self.was_signalled_before_handlers && matches!(self.exit, Some((_, None)))
    }

    /// Whether it ended without having been sent a signal that ends it.
    pub(super) fn exited_unexpectedly(&self) -> bool {
        if self.was_ended_by_early_signal() {
            return false;
        }
        let ended_at = self.exit.map(|(at, _)| at);
        ended_at.is_some_and(|at| {
            !self.had_signal(SignalKind::Kill, at) && !self.had_signal(SignalKind::Terminate, at)
        })
    }

    /// Whether it had been killed or frozen by `until`, or exited unexpectedly. An orderly exit is no disruption.
    pub(super) fn is_disrupted(&self, until: Micros) -> bool {
        self.had_signal(SignalKind::Kill, until)
            || self.had_signal(SignalKind::Freeze, until)
            || self.exited_unexpectedly()
    }
}

/// The incarnations of all processes.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    by_node: BTreeMap<String, Vec<Incarnation>>,
    /// When a control-plane process was started, signalled or ended, in order of time.
    control_plane_events: Vec<Micros>,
}

impl Incarnations {
    pub(super) fn from_records(records: &[Record]) -> Incarnations {
        let mut incarnations = Incarnations::default();
        for record in records {
            let Event::Process { node, change } = &record.event else { continue };
            if !node.starts_with("gateway") {
                incarnations.control_plane_events.push(record.at);
            }
            let node_incarnations = incarnations.by_node.entry(node.clone()).or_default();
            match (change, node_incarnations.last_mut()) {
                (ProcessChange::Started { .. }, _) => {
                    node_incarnations.push(Incarnation { started_at: record.at, ..Incarnation::default() });
                }
                (ProcessChange::Signalled(kind), Some(incarnation)) => {
                    incarnation.signals.push((record.at, *kind))
                }
                (ProcessChange::SignalledTooEarly(_), Some(incarnation)) => {
                    incarnation.was_signalled_before_handlers = true
                }
                (ProcessChange::Exited(code), Some(incarnation)) => {
                    incarnation.exit = Some((record.at, *code))
                }
                (_, None) => {}
            }
        }
        incarnations
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (&str, &Incarnation)> {
        self.by_node.iter().flat_map(|(node, incarnations)| {
            incarnations.iter().map(move |incarnation| (&**node, incarnation))
        })
    }

    /// The incarnation that accepted a connection, and its number: the first that had not ended by `connected_at`.
    ///
    /// The start times are of no use here: a process may accept a connection before its start is recorded. Its end, however,
    /// is always recorded before the next start.
    pub(super) fn at(&self, node: &str, connected_at: Micros) -> Option<(usize, &Incarnation)> {
        let incarnations = self.by_node.get(node)?;
        let had_ended =
            |incarnation: &Incarnation| incarnation.exit.is_some_and(|(ended_at, _)| ended_at < connected_at);
        let number = incarnations.partition_point(had_ended);
        Some((number, incarnations.get(number)?))
    }

    /// Whether neither this process nor a control-plane process was started, signalled or ended between these times.
    pub(super) fn had_no_events(&self, node: &str, from: Micros, to: Micros) -> bool {
        let is_within = |at: Micros| (from..=to).contains(&at);
        let is_incarnation_quiet = |incarnation: &Incarnation| {
            !is_within(incarnation.started_at)
                && !incarnation.signals.iter().any(|(at, _)| is_within(*at))
                && !incarnation.exit.is_some_and(|(at, _)| is_within(at))
        };
        let first_control_plane_event = self.control_plane_events.partition_point(|at| *at < from);
        let is_control_plane_quiet =
            self.control_plane_events.get(first_control_plane_event).is_none_or(|at| *at > to);
        is_control_plane_quiet
            && self.by_node.get(node).is_none_or(|incarnations| incarnations.iter().all(is_incarnation_quiet))
    }
}
