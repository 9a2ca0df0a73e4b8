//! What may be observed of a replica set, so that another one follows.

use kitepass_coordination::membership::{Replica, ReplicaObservations, ReplicaSet};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StepKind {
    /// A newcomer in one zone.
    Joining,
    /// A newcomer in each zone.
    Filling,
    /// A node comes back with another disk.
    ReplacingLostDisk,
    /// A newcomer takes the place of an unresponsive replica.
    ReplacingUnresponsive,
    /// A replica shuts down.
    Leaving,
    /// A replica shuts down while a newcomer is in its zone.
    LeavingForSuccessor,
}

impl StepKind {
    /// The disk that is replaced is itself a loss.
    pub(super) fn is_replacing(self) -> bool {
        matches!(self, StepKind::ReplacingLostDisk | StepKind::ReplacingUnresponsive)
    }

    pub(super) fn is_leaving(self) -> bool {
        matches!(self, StepKind::Leaving | StepKind::LeavingForSuccessor)
    }
}

pub(super) struct Step {
    pub(super) kind: StepKind,
    pub(super) observations: ReplicaObservations,
}

/// Another node where a replica is.
fn newcomer(number: usize, place: &Replica) -> Replica {
    Replica {
        node_id: format!("{}new{number}", place.zone),
        address: String::new(),
        zone: place.zone.clone(),
        region: place.region.clone(),
        replica_id: 9,
    }
}

fn with(replicas: &BTreeSet<Replica>, more: impl IntoIterator<Item = Replica>) -> BTreeSet<Replica> {
    replicas.iter().cloned().chain(more).collect()
}

fn complete(complete: BTreeSet<Replica>) -> ReplicaObservations {
    ReplicaObservations { complete, ..ReplicaObservations::default() }
}

/// Steps from a replica set: who joins, whose disk was lost, who leaves, who is unresponsive with another in its place.
pub(super) fn steps(replica_set: &ReplicaSet) -> Vec<Step> {
    let all: BTreeSet<Replica> = replica_set.replicas.iter().cloned().collect();
    let mut one_per_zone = replica_set.replicas.clone();
    one_per_zone.sort_by_key(|replica| (replica.region.clone(), replica.zone.clone()));
    one_per_zone.dedup_by_key(|replica| (replica.region.clone(), replica.zone.clone()));
    let newcomers: Vec<Replica> = one_per_zone.iter().map(|place| newcomer(0, place)).collect();
    let mut steps = Vec::new();
    for newcomer in &newcomers {
        let observations = complete(with(&all, [newcomer.clone()]));
        steps.push(Step { kind: StepKind::Joining, observations });
    }
    steps.push(Step { kind: StepKind::Filling, observations: complete(with(&all, newcomers)) });
    for replica in &replica_set.replicas {
        steps.extend(steps_of(replica, &all));
    }
    steps
}

/// The steps that concern one replica.
fn steps_of(replica: &Replica, all: &BTreeSet<Replica>) -> [Step; 4] {
    let name = || [replica.name()].into();
    let rest: BTreeSet<Replica> = all.iter().filter(|other| *other != replica).cloned().collect();
    let replaced = Replica { replica_id: 2, ..replica.clone() };
    let newcomer = newcomer(1, replica);
    let replaced_disk = complete(with(&rest, [replaced]));
    let replaced_unresponsive = complete(with(&rest, [newcomer.clone()]));
    let leaving = complete(all.clone());
    let leaving_for_successor = complete(with(all, [newcomer]));
    [
        Step { kind: StepKind::ReplacingLostDisk, observations: replaced_disk },
        Step {
            kind: StepKind::ReplacingUnresponsive,
            observations: ReplicaObservations { unresponsive: name(), ..replaced_unresponsive },
        },
        Step {
            kind: StepKind::Leaving,
            observations: ReplicaObservations { shutting_down: name(), ..leaving },
        },
        Step {
            kind: StepKind::LeavingForSuccessor,
            observations: ReplicaObservations { shutting_down: name(), ..leaving_for_successor },
        },
    ]
}
