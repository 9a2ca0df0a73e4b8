//! Checks a recorded history against the invariants that the control plane guarantees to operators and
//! gateways. It performs no I/O and knows nothing of the simulation or the state machine.

mod violation;

use crate::history::{
    AttemptId, ChangeId, Content, HistoryEvent, ItemName, ItemState, ResponseStatus, Write,
};
use crate::items::contradiction;
use std::collections::{BTreeMap, BTreeSet};
pub use violation::{Invariant, Violation};

/// Maximum number of reported violations of each invariant.
const MAX_VIOLATIONS_PER_INVARIANT: usize = 5;

/// All violations of a history, in order.
pub fn check_history(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut checker = Checker::default();
    for event in history {
        checker.check(event);
    }
    checker.check_rejected_changes();
    checker.violations
}

/// One attempt to send a change.
struct Attempt {
    change: ChangeId,
    started: i64,
    status: Option<ResponseStatus>,
}

/// The content that a version was first seen with, and where.
struct FirstContent {
    content: Content,
    source: String,
}

/// When and where a write was first shown or applied.
struct FirstSeen {
    at: i64,
    /// The read or gateway.
    source: String,
}

/// A read in progress.
struct PendingRead<'a> {
    started: i64,
    /// The lowest version of each item that the read may show.
    min_versions: BTreeMap<&'a ItemName, u64>,
}

/// The first observation of a version of a replica set.
#[derive(Clone, Copy)]
struct ReplicaSetObservation {
    digest: u64,
    node: usize,
}

/// A request to start or end the evacuation of a zone.
#[derive(Clone, Copy)]
struct EvacuationRequest<'a> {
    zone: &'a str,
    is_evacuated: bool,
    started: i64,
    /// When the request was answered or its operator turned to another process, whichever came first.
    ended: Option<i64>,
    is_confirmed: bool,
}

impl EvacuationRequest<'_> {
    /// Time after which a later confirmed request overrides this one: when it has ended for its operator. Until then an
    /// unconfirmed request may still take effect.
    fn overridable_from(&self) -> i64 {
        self.ended.unwrap_or(i64::MAX)
    }

    fn end(&mut self, at: i64) {
        self.ended.get_or_insert(at);
    }
}

/// The state derived from the events so far.
#[derive(Default)]
struct Checker<'a> {
    changes: BTreeMap<ChangeId, &'a [Write]>,
    /// The changes that contain each write.
    changes_by_write: BTreeMap<&'a Write, Vec<ChangeId>>,
    /// The highest version at which an operator deleted each item.
    deletions: BTreeMap<&'a ItemName, u64>,
    attempts: BTreeMap<AttemptId, Attempt>,
    attempts_by_change: BTreeMap<ChangeId, Vec<AttemptId>>,
    statuses: BTreeMap<ChangeId, BTreeSet<ResponseStatus>>,
    /// Time of each change's first confirmation.
    confirmed: BTreeMap<ChangeId, i64>,
    /// Changes that were rejected permanently.
    rejected: BTreeSet<ChangeId>,
    contents: BTreeMap<(&'a ItemName, u64), FirstContent>,
    /// The highest version of each item that was confirmed, shown or applied.
    min_versions: BTreeMap<&'a ItemName, u64>,
    reads: BTreeMap<AttemptId, PendingRead<'a>>,
    /// Writes that were shown by a read or applied by a gateway.
    visible: BTreeMap<Write, FirstSeen>,
    /// The versions of the items that each gateway has applied.
    gateways: BTreeMap<usize, BTreeMap<&'a ItemName, u64>>,
    replica_sets: BTreeMap<(&'static str, u64), ReplicaSetObservation>,
    evacuations: BTreeMap<AttemptId, EvacuationRequest<'a>>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn check(&mut self, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::ChangeCreated { change, writes } => self.change_created(*change, writes),
            HistoryEvent::ChangeSent { attempt, change } => self.change_sent(*attempt, *change),
            HistoryEvent::AttemptUndelivered { attempt } => _ = self.attempts.remove(attempt),
            HistoryEvent::ChangeStarted { at, attempt } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.started = *at;
                }
            }
            HistoryEvent::ChangeAnswered { at, attempt, change, node, status } => {
                self.change_answered(*at, *attempt, *change, *node, *status);
            }
            HistoryEvent::ResponseReceived { attempt } => self.response_received(*attempt),
            HistoryEvent::ReadStarted { at, read, .. } => {
                let pending_read = PendingRead { started: *at, min_versions: self.min_versions.clone() };
                self.reads.insert(*read, pending_read);
            }
            HistoryEvent::ReadCompleted { at, read, items } => self.read_completed(*at, *read, items),
            HistoryEvent::WriteApplied { at, gateway, write } => self.write_applied(*at, *gateway, write),
            HistoryEvent::GatewayRestarted { gateway } => _ = self.gateways.remove(gateway),
            HistoryEvent::ReplicaSetObserved { at, node, name, version, digest } => {
                let observed = ReplicaSetObservation { digest: *digest, node: *node };
                self.replica_set_observed(*at, name, *version, observed);
            }
            HistoryEvent::LeaseHeld { at, nodes } => {
                if nodes.len() > 1 {
                    self.report(Invariant::SingleLeaseHolder, *at, format!("{nodes:?}"));
                }
            }
            HistoryEvent::EvacuationStarted { at, request, zone, is_evacuated } => {
                let (is_evacuated, started) = (*is_evacuated, *at);
                let evacuation =
                    EvacuationRequest { zone, is_evacuated, started, ended: None, is_confirmed: false };
                self.evacuations.insert(*request, evacuation);
            }
            HistoryEvent::EvacuationAnswered { at, request, is_confirmed } => {
                if let Some(evacuation) = self.evacuations.get_mut(request) {
                    evacuation.end(*at);
                    evacuation.is_confirmed = *is_confirmed;
                }
            }
            HistoryEvent::EvacuationAbandoned { at, request } => {
                if let Some(evacuation) = self.evacuations.get_mut(request) {
                    evacuation.end(*at);
                }
            }
            HistoryEvent::EvacuationObserved { at, node, zone, is_evacuated } => {
                self.evacuation_observed(*at, *node, zone, *is_evacuated);
            }
            HistoryEvent::DeadlineMissed { at, description } => {
                self.report(Invariant::Deadlines, *at, description.clone());
            }
        }
    }

    fn report(&mut self, invariant: Invariant, at: i64, description: String) {
        let reported = self.violations.iter().filter(|violation| violation.invariant == invariant);
        if reported.count() < MAX_VIOLATIONS_PER_INVARIANT {
            self.violations.push(Violation { invariant, at, description });
        }
    }

    fn change_created(&mut self, change: ChangeId, writes: &'a [Write]) {
        self.changes.insert(change, writes);
        for write in writes {
            self.changes_by_write.entry(write).or_default().push(change);
            if write.content == Content::Deleted {
                let deletion = self.deletions.entry(&write.item).or_default();
                *deletion = (*deletion).max(write.version);
            }
        }
    }

    fn change_sent(&mut self, attempt: AttemptId, change: ChangeId) {
        self.attempts.insert(attempt, Attempt { change, started: i64::MAX, status: None });
        self.attempts_by_change.entry(change).or_default().push(attempt);
    }

    fn change_answered(
        &mut self,
        at: i64,
        attempt: AttemptId,
        change: ChangeId,
        node: usize,
        status: ResponseStatus,
    ) {
        self.statuses.entry(change).or_default().insert(status);
        let started = self.attempts.get_mut(&attempt).map_or(at, |attempt| {
            attempt.status = Some(status);
            attempt.started
        });
        match status {
            ResponseStatus::Confirmed => {
                self.confirmed.entry(change).or_insert(at);
                for write in self.changes.get(&change).copied().unwrap_or_default() {
                    self.check_content(at, write, format!("change {change} confirmed at s{node}"));
                    self.raise_min_version(&write.item, write.version);
                }
            }
            ResponseStatus::Conflict => _ = self.rejected.insert(change),
            ResponseStatus::Invalid => {
                if let Some(since) = self.confirmed.get(&change).filter(|since| **since < started) {
                    let since = *since as f64 / 1e6;
                    let description =
                        format!("change {change} was confirmed at {since:.6} and later rejected by s{node}");
                    self.report(Invariant::RejectedStaysOut, at, description);
                }
            }
            ResponseStatus::Unknown => {}
        }
    }

    /// A 400 that reaches the operator is final if no other attempt of the change can still be confirmed.
    fn response_received(&mut self, attempt: AttemptId) {
        let Some(Attempt { change, status: Some(ResponseStatus::Invalid), .. }) = self.attempts.get(&attempt)
        else {
            return;
        };
        let attempts = self.attempts_by_change.get(change).into_iter().flatten();
        let mut attempts = attempts.filter_map(|attempt| self.attempts.get(attempt));
        if attempts.all(|attempt| attempt.status == Some(ResponseStatus::Invalid)) {
            self.rejected.insert(*change);
        }
    }

    /// Checks that a version has the content that it was first seen with.
    fn check_content(&mut self, at: i64, write: &'a Write, source: String) {
        let first = FirstContent { content: write.content, source: source.clone() };
        let known = self.contents.entry((&write.item, write.version)).or_insert(first);
        if known.content != write.content {
            let description = format!(
                "{} r{}: {:?} from {}, but {:?} from {source}",
                write.item, write.version, known.content, known.source, write.content
            );
            self.report(Invariant::OneContentPerVersion, at, description);
        }
    }

    fn raise_min_version(&mut self, item: &'a ItemName, version: u64) {
        let min_version = self.min_versions.entry(item).or_default();
        *min_version = (*min_version).max(version);
    }

    /// A write was shown by a read or applied by a gateway.
    fn write_visible(&mut self, at: i64, write: &Write, source: &str) {
        let Some((created_write, _)) = self.changes_by_write.get_key_value(write) else {
            let description =
                format!("{} r{} {:?} at {source} was never sent", write.item, write.version, write.content);
            return self.report(Invariant::KnownOrigin, at, description);
        };
        let created_write = *created_write;
        let first_seen = || FirstSeen { at, source: source.to_owned() };
        self.visible.entry(write.clone()).or_insert_with(first_seen);
        self.check_content(at, created_write, source.to_owned());
        self.raise_min_version(&created_write.item, created_write.version);
    }

    /// True if a read may omit an item of which it should show at least this version, because a deletion with
    /// the same or a higher version was sent.
    fn may_be_deleted(&self, item: &ItemName, version: u64) -> bool {
        self.deletions.get(item).is_some_and(|deletion| *deletion >= version)
    }

    /// True if the read result for an item is older than this version.
    fn lacks_version(&self, shown: Option<&ItemState>, item: &ItemName, version: u64) -> bool {
        match shown {
            Some(state) if state.version > 0 => state.version < version,
            _ => version > 0 && !self.may_be_deleted(item, version),
        }
    }

    fn read_completed(&mut self, at: i64, read: AttemptId, items: &'a BTreeMap<ItemName, ItemState>) {
        let Some(PendingRead { started, min_versions }) = self.reads.remove(&read) else { return };
        for (item, min_version) in min_versions {
            let shown = items.get(item);
            if self.lacks_version(shown, item, min_version) {
                let shown = shown.map_or("nothing".to_owned(), |state| format!("r{}", state.version));
                let started = started as f64 / 1e6;
                let description = format!(
                    "{item}: r{min_version} was confirmed or visible before read {read} started at {started:.6}, which shows {shown}"
                );
                self.report(Invariant::NoLostWrite, at, description);
            }
        }
        if let Some(description) = contradiction(items) {
            self.report(Invariant::ValidTogether, at, format!("read {read}: {description}"));
        }
        let mut changes = BTreeSet::new();
        for (item, state) in items {
            let write = Write { item: item.clone(), version: state.version, content: state.content };
            self.write_visible(at, &write, &format!("read {read}"));
            if let Content::SetBy(change) = state.content {
                changes.insert(change);
            }
        }
        for change in changes {
            self.check_atomicity(at, read, items, change);
        }
    }

    /// A read that shows one write of a change must show all its writes, or later ones.
    fn check_atomicity(
        &mut self,
        at: i64,
        read: AttemptId,
        items: &BTreeMap<ItemName, ItemState>,
        change: ChangeId,
    ) {
        for write in self.changes.get(&change).copied().unwrap_or_default() {
            if self.lacks_version(items.get(&write.item), &write.item, write.version) {
                let description = format!(
                    "read {read} shows change {change} but not its write of {} r{}",
                    write.item, write.version
                );
                self.report(Invariant::Atomicity, at, description);
            }
        }
    }

    fn write_applied(&mut self, at: i64, gateway: usize, write: &'a Write) {
        let versions = self.gateways.entry(gateway).or_default();
        let before = versions.insert(&write.item, write.version).unwrap_or(0);
        if write.version < before {
            let description =
                format!("g{gateway}: {} went back from r{before} to r{}", write.item, write.version);
            self.report(Invariant::MonotonicGateways, at, description);
        }
        self.write_visible(at, write, &format!("g{gateway}"));
    }

    fn replica_set_observed(
        &mut self,
        at: i64,
        name: &'static str,
        version: u64,
        observed: ReplicaSetObservation,
    ) {
        let first = *self.replica_sets.entry((name, version)).or_insert(observed);
        if first.digest != observed.digest {
            let description = format!(
                "replica set {name} version {version} differs between s{} and s{}",
                first.node, observed.node
            );
            self.report(Invariant::OneReplicaSetPerVersion, at, description);
        }
    }

    /// The final state of a zone must be one that a request asked for and that no later confirmed request
    /// overrides. Initially, no zone is evacuated.
    fn evacuation_observed(&mut self, at: i64, node: usize, zone: &str, is_evacuated: bool) {
        let requests: Vec<EvacuationRequest> =
            self.evacuations.values().filter(|request| request.zone == zone).copied().collect();
        let is_overridden = |overridable_from: i64| {
            let mut opposite = requests.iter().filter(|request| request.is_evacuated != is_evacuated);
            opposite.any(|request| request.is_confirmed && request.started > overridable_from)
        };
        let initial = (!is_evacuated).then_some(-1);
        let requested = requests.iter().filter(|request| request.is_evacuated == is_evacuated);
        if requested.map(EvacuationRequest::overridable_from).chain(initial).all(is_overridden) {
            let description = format!(
                "zone {zone} has evacuated={is_evacuated} at s{node}, against the confirmed requests"
            );
            self.report(Invariant::EvacuationsPersist, at, description);
        }
    }

    /// Runs at the end of the history, when all rejections are known.
    fn check_rejected_changes(&mut self) {
        let rejected = std::mem::take(&mut self.rejected);
        for change in &rejected {
            if let Some(confirmed) = self.confirmed.get(change).copied() {
                let description = format!(
                    "change {change} received contradictory responses: {:?}",
                    self.statuses.get(change)
                );
                self.report(Invariant::RejectedStaysOut, confirmed, description);
            }
        }
        for (write, first_seen) in std::mem::take(&mut self.visible) {
            let changes = &self.changes_by_write[&write];
            if changes.iter().all(|change| rejected.contains(change)) {
                let description = format!(
                    "{} r{} of rejected changes {changes:?} at {}",
                    write.item, write.version, first_seen.source
                );
                self.report(Invariant::RejectedStaysOut, first_seen.at, description);
            }
        }
    }
}
