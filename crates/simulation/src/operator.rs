//! Operators: what they ask for next, and when they give up.

use crate::history::{AttemptId, ChangeId, Content, ItemName, Write};
use crate::items::{service_name, to_items, SERVICE_COUNT};
use crate::process::OperatorRequest;
use crate::rng::Rng;
use crate::scenario::Workload;
use kitepass_config::Kind;
use std::collections::{BTreeMap, VecDeque};

/// An operator that gets no answer for so long tries another process. Microseconds.
pub const RESPONSE_TIMEOUT: i64 = 1_000_000;
/// Attempts of one operation, at most.
const MAX_ATTEMPTS: u32 = 30;
/// Versions of an item that operators remember.
const MAX_REMEMBERED_VERSIONS: usize = 6;
/// Zones that operators evacuate: the first ones.
const EVACUATED_ZONES: usize = 2;
/// A change has an identical rival so often, and else one that writes its first item. Percent.
const IDENTICAL_RACE_PERCENT: u64 = 70;

/// What an operator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// To see all items.
    Read,
    /// To make a change.
    Change(ChangeId),
    /// To evacuate a zone, or to end that.
    Evacuation {
        /// Which zone.
        zone: String,
        /// Whether it is to be evacuated.
        is_evacuated: bool,
    },
}

/// Why an operation was chosen; counted in the coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// A new change.
    Change,
    /// A change that races with another one of the same versions.
    Race,
    /// A confirmed change once more.
    Resend,
    /// A read.
    Read,
    /// An evacuation or its end.
    Evacuation,
}

impl OperationKind {
    /// Its name in the coverage.
    pub fn name(self) -> &'static str {
        match self {
            OperationKind::Change => "change",
            OperationKind::Race => "race",
            OperationKind::Resend => "resend",
            OperationKind::Read => "read",
            OperationKind::Evacuation => "evacuation",
        }
    }
}

/// One operator, with the operation that it has under way.
#[derive(Default)]
pub struct Operator {
    /// What it wants done.
    pub operation: Option<Operation>,
    /// Attempts that failed so far.
    pub failed_attempts: u32,
    /// The attempt whose answer it waits for.
    pub awaited_attempt: Option<AttemptId>,
}

impl Operator {
    /// Counts a failed attempt. True if it tries again.
    pub fn attempt_failed(&mut self) -> bool {
        self.failed_attempts += 1;
        self.failed_attempts < MAX_ATTEMPTS
    }
}

/// A write that an operator plans: its content is the change's that it becomes part of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedWrite {
    /// The item.
    pub item: ItemName,
    /// The version that it gets.
    pub version: u64,
    /// Whether it is set or deleted.
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

/// What all operators know together.
#[derive(Default)]
pub struct ChangeRegistry {
    /// All changes that were made up. They are numbered from 1 on.
    changes: BTreeMap<ChangeId, Vec<Write>>,
    /// Those that an operator knows to be confirmed.
    confirmed: Vec<ChangeId>,
    /// Changes that are to race with one that was just made up.
    racing_changes: VecDeque<ChangeId>,
    newest_version: u64,
    /// Versions of each item that were used lately, in order.
    recent_versions: BTreeMap<ItemName, Vec<u64>>,
}

impl ChangeRegistry {
    /// How many changes were made up.
    pub fn change_count(&self) -> usize {
        self.changes.len()
    }

    /// How many changes wait for an operator that races with them.
    pub fn racing_change_count(&self) -> usize {
        self.racing_changes.len()
    }

    /// The changes from the given count on, with their writes.
    pub fn changes_since(&self, count: usize) -> impl Iterator<Item = (ChangeId, &[Write])> {
        let changes = self.changes.range(ChangeId(count as u64 + 1)..);
        changes.map(|(change, writes)| (*change, writes.as_slice()))
    }

    /// An operator got a confirmation.
    pub fn add_confirmed(&mut self, change: ChangeId) {
        self.confirmed.push(change);
    }

    /// What is sent for an operation.
    ///
    /// # Panics
    ///
    /// If the operation is a change of another registry.
    pub fn to_request(&self, operation: &Operation) -> OperatorRequest {
        match operation {
            Operation::Read => OperatorRequest::Read,
            Operation::Change(change) => OperatorRequest::Change(to_items(&self.changes[change])),
            Operation::Evacuation { zone, is_evacuated } => {
                OperatorRequest::Evacuation { zone: zone.clone(), is_evacuated: *is_evacuated }
            }
        }
    }

    /// Makes a change up.
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

    /// What an operator wants next.
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
        let writes = self.plan_writes(workload, rng);
        let change = self.add_change(&writes);
        if rng.chance(workload.race_percent) {
            self.add_racing_changes(&writes, rng);
        }
        (Operation::Change(change), OperationKind::Change)
    }

    /// Makes one or two changes up that write the same versions as another one.
    fn add_racing_changes(&mut self, writes: &[PlannedWrite], rng: &mut Rng) {
        for _ in 0..1 + rng.below(2) {
            let racing_change = if rng.chance(IDENTICAL_RACE_PERCENT) { writes } else { &writes[..1] };
            let racing_change = self.add_change(racing_change);
            self.racing_changes.push_back(racing_change);
        }
    }

    /// Draws the writes of a change: one or two items of one service, which has two routes and two tenants.
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
