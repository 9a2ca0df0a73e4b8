//! Operators: which operations they choose, and when they give up.

use crate::history::{AttemptId, ChangeId, Content, ItemName, Write};
use crate::items::{service_name, to_items, SERVICE_COUNT, SHARED_PLACE};
use crate::process::OperatorRequest;
use crate::rng::Rng;
use crate::scenario::Workload;
use kitepass_config::Kind;
use std::collections::{BTreeMap, VecDeque};

/// Time after which an operator without a response tries another process. Microseconds.
pub const RESPONSE_TIMEOUT: i64 = 1_000_000;
/// Maximum number of attempts of one operation.
const MAX_ATTEMPTS: u32 = 30;
/// Number of recent versions that operators remember of each item.
const MAX_REMEMBERED_VERSIONS: usize = 6;
/// Number of zones that operators evacuate: the first ones of the layout.
const EVACUATED_ZONES: usize = 2;
/// Percentage of racing changes that write the same items as the original change; the others write only its
/// first item.
const IDENTICAL_RACE_PERCENT: u64 = 70;

/// An operation of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads all items.
    Read,
    /// Sends a change.
    Change(ChangeId),
    /// Starts or ends the evacuation of a zone.
    Evacuation {
        /// The zone.
        zone: String,
        /// True to evacuate the zone, false to end its evacuation.
        is_evacuated: bool,
    },
}

/// The reason for an operation, as counted in the coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// A new change.
    Change,
    /// A change that races with another one for the same versions.
    Race,
    /// One of two changes of different items that are valid alone and invalid together.
    Contradiction,
    /// A confirmed change that is sent again.
    Resend,
    /// A read.
    Read,
    /// The start or end of an evacuation.
    Evacuation,
}

impl OperationKind {
    /// The name in the coverage counters.
    pub fn name(self) -> &'static str {
        match self {
            OperationKind::Change => "change",
            OperationKind::Race => "race",
            OperationKind::Contradiction => "contradiction",
            OperationKind::Resend => "resend",
            OperationKind::Read => "read",
            OperationKind::Evacuation => "evacuation",
        }
    }
}

/// An operator with its current operation.
#[derive(Default)]
pub struct Operator {
    /// The operation in progress.
    pub operation: Option<Operation>,
    /// The number of failed attempts so far.
    pub failed_attempts: u32,
    /// The attempt whose response the operator waits for.
    pub awaited_attempt: Option<AttemptId>,
}

impl Operator {
    /// Records a failed attempt. Returns true if the operator tries again.
    pub fn attempt_failed(&mut self) -> bool {
        self.failed_attempts += 1;
        self.failed_attempts < MAX_ATTEMPTS
    }
}

/// A planned write. Its content is determined by the change that it becomes part of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedWrite {
    /// The item.
    pub item: ItemName,
    /// The item's version after the write.
    pub version: u64,
    /// True to set the item, false to delete it.
    pub is_set: bool,
}

impl PlannedWrite {
    /// Sets an item.
    pub fn set(kind: Kind, name: impl Into<String>, version: u64) -> PlannedWrite {
        PlannedWrite { item: ItemName::new(kind, name), version, is_set: true }
    }

    /// Deletes an item.
    pub fn delete(kind: Kind, name: impl Into<String>, version: u64) -> PlannedWrite {
        PlannedWrite { is_set: false, ..PlannedWrite::set(kind, name, version) }
    }
}

/// The changes generated so far, shared by all operators.
#[derive(Default)]
pub struct ChangeRegistry {
    /// All generated changes. Their ids start at 1.
    changes: BTreeMap<ChangeId, Vec<Write>>,
    /// Changes whose confirmation reached an operator.
    confirmed: Vec<ChangeId>,
    /// Changes that are still to be sent to race with an earlier one.
    racing_changes: VecDeque<ChangeId>,
    /// For each change of a contradicting pair, the other one.
    contradictions: BTreeMap<ChangeId, ChangeId>,
    newest_version: u64,
    /// Recently used versions of each item, sorted.
    recent_versions: BTreeMap<ItemName, Vec<u64>>,
}

impl ChangeRegistry {
    /// The number of generated changes.
    pub fn change_count(&self) -> usize {
        self.changes.len()
    }

    /// The number of racing changes that no operator has taken yet.
    pub fn racing_change_count(&self) -> usize {
        self.racing_changes.len()
    }

    /// The changes generated after the first `count` ones, with their writes.
    pub fn changes_since(&self, count: usize) -> impl Iterator<Item = (ChangeId, &[Write])> {
        let changes = self.changes.range(ChangeId(count as u64 + 1)..);
        changes.map(|(change, writes)| (*change, writes.as_slice()))
    }

    /// Records that an operator received a change's confirmation.
    pub fn add_confirmed(&mut self, change: ChangeId) {
        self.confirmed.push(change);
    }

    /// The request for an operation.
    ///
    /// # Panics
    ///
    /// If the operation is a change that is not in this registry.
    pub fn to_request(&self, operation: &Operation) -> OperatorRequest {
        match operation {
            Operation::Read => OperatorRequest::Read,
            Operation::Change(change) => OperatorRequest::Change(to_items(&self.changes[change])),
            Operation::Evacuation { zone, is_evacuated } => {
                OperatorRequest::Evacuation { zone: zone.clone(), is_evacuated: *is_evacuated }
            }
        }
    }

    /// Generates a change with the given writes.
    pub fn add_change(&mut self, writes: &[PlannedWrite]) -> ChangeId {
        let change = ChangeId(self.changes.len() as u64 + 1);
        let to_write = |planned: &PlannedWrite| Write {
            item: planned.item.clone(),
            version: planned.version,
            content: if planned.is_set { Content::SetBy(change) } else { Content::Deleted },
        };
        self.changes.insert(change, writes.iter().map(to_write).collect());
        for write in writes {
            self.remember_version(write);
        }
        change
    }

    fn remember_version(&mut self, write: &PlannedWrite) {
        self.newest_version = self.newest_version.max(write.version);
        let versions = self.recent_versions.entry(write.item.clone()).or_default();
        if !versions.contains(&write.version) {
            versions.push(write.version);
            versions.sort();
            if versions.len() > MAX_REMEMBERED_VERSIONS {
                versions.remove(0);
            }
        }
    }

    /// Draws an operator's next operation.
    pub fn next_operation(
        &mut self,
        workload: &Workload,
        zones: &[String],
        rng: &mut Rng,
    ) -> (Operation, OperationKind) {
        if let Some(racing_change) = self.racing_changes.pop_front() {
            return (Operation::Change(racing_change), OperationKind::Race);
        }
        if rng.chance(workload.read_percent) {
            return (Operation::Read, OperationKind::Read);
        }
        if rng.chance(workload.evacuation_percent) {
            let zone = zones[rng.below(zones.len().min(EVACUATED_ZONES))].clone();
            let is_evacuated = rng.chance(50);
            return (Operation::Evacuation { zone, is_evacuated }, OperationKind::Evacuation);
        }
        if rng.chance(workload.resend_percent) {
            if let Some(change) = rng.choose(&self.confirmed) {
                return (Operation::Change(*change), OperationKind::Resend);
            }
        }
        if rng.chance(workload.contradiction_percent) {
            let change = self.add_contradicting_changes(rng);
            return (Operation::Change(change), OperationKind::Contradiction);
        }
        let writes = self.plan_writes(workload, rng);
        let change = self.add_change(&writes);
        if rng.chance(workload.race_percent) {
            self.add_racing_changes(&writes, rng);
        }
        (Operation::Change(change), OperationKind::Change)
    }

    /// Generates one or two changes that write the same versions as the given writes.
    fn add_racing_changes(&mut self, writes: &[PlannedWrite], rng: &mut Rng) {
        for _ in 0..1 + rng.below(2) {
            let racing_change = if rng.chance(IDENTICAL_RACE_PERCENT) { writes } else { &writes[..1] };
            let racing_change = self.add_change(racing_change);
            self.racing_changes.push_back(racing_change);
        }
    }

    /// The change that contradicts this one, if it is one of a contradicting pair.
    pub fn contradicting_change(&self, change: ChangeId) -> Option<ChangeId> {
        self.contradictions.get(&change).copied()
    }

    /// Generates two changes that are invalid together, and returns the first one. The other one is sent by the next
    /// operator.
    fn add_contradicting_changes(&mut self, rng: &mut Rng) -> ChangeId {
        let number = rng.below(SERVICE_COUNT);
        let service = service_name(number);
        let version = self.newest_version + rng.in_range(1..4) as u64;
        let set = |kind, name: String| PlannedWrite::set(kind, name, version);
        let mut pair = match rng.below(3) {
            0 => [0, 1].map(|n| vec![set(Kind::Tenant, format!("t{n}-k{number}"))]),
            1 => [
                vec![set(Kind::Route, format!("r{}-{service}", rng.below(2)))],
                vec![PlannedWrite::delete(Kind::Service, service, version)],
            ],
            _ => [0, 1].map(|n| vec![set(Kind::Route, format!("{SHARED_PLACE}{n}-{service}"))]),
        };
        if rng.chance(50) {
            pair.reverse();
        }
        let [first, second] = pair.map(|writes| self.add_change(&writes));
        self.contradictions.extend([(first, second), (second, first)]);
        self.racing_changes.push_back(second);
        first
    }

    /// Draws the writes of a change. It writes one or two items that belong to one service, which has two
    /// routes and two tenants.
    fn plan_writes(&self, workload: &Workload, rng: &mut Rng) -> Vec<PlannedWrite> {
        let number = rng.below(SERVICE_COUNT);
        let service = service_name(number);
        let route = format!("r{}-{service}", rng.below(2));
        let tenant = format!("t{}-k{number}", rng.below(2));
        let mut version = self.newest_version + rng.in_range(1..4) as u64;
        if rng.chance(workload.stale_version_percent) {
            let versions = self.recent_versions.get(&ItemName::new(Kind::Service, service.as_str()));
            let recent = versions.and_then(|versions| rng.choose(versions)).copied();
            version = recent.unwrap_or(version).saturating_sub(rng.below(2) as u64).max(1);
        }
        let set_service = PlannedWrite::set(Kind::Service, service.as_str(), version);
        match rng.below(10) {
            0..=4 => vec![set_service],
            5 | 6 => vec![set_service, PlannedWrite::set(Kind::Route, route, version)],
            7 => vec![PlannedWrite::set(Kind::Tenant, tenant, version), set_service],
            8 => vec![PlannedWrite::delete(Kind::Route, route, version)],
            _ => vec![PlannedWrite::delete(Kind::Service, service, version)],
        }
    }
}
