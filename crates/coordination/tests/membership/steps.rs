//! The observations of a replica set that lead to a next replica set.

use kitepass_coordination::membership::{Replica, ReplicaObservations, ReplicaSet};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StepKind {
    /// A new replica appears in one zone.
    Joining,
    /// New replicas appear in all zones at the same time.
    Filling,
    /// A node returns with an empty disk.
    ReplacingLostDisk,
    /// A new replica replaces an unresponsive one in its zone.
    ReplacingUnresponsive,
    /// A new replica in another zone replaces an unresponsive one.
    ReplacingUnresponsiveElsewhere,
    /// A replica that has been unresponsive for very long is removed without a successor.
    RemovingAbandoned,
    /// A replica shuts down.
    Leaving,
    /// A replica shuts down, and a new replica in its zone succeeds it.
    LeavingForSuccessor,
}

impl StepKind {
    /// Whether the step replaces a replica that is lost.
    pub(super) fn is_replacing(self) -> bool {
        matches!(
            self,
            StepKind::ReplacingLostDisk
                | StepKind::ReplacingUnresponsive
                | StepKind::ReplacingUnresponsiveElsewhere
                | StepKind::RemovingAbandoned
        )
    }

    pub(super) fn is_leaving(self) -> bool {
        matches!(self, StepKind::Leaving | StepKind::LeavingForSuccessor)
    }
}

/// No replica without a successor leaves a set of this size.
pub(super) const MIN_REPLICAS: usize = 3;

/// A step to a next replica set, caused by these observations.
pub(super) struct Step {
    pub(super) kind: StepKind,
    pub(super) observations: ReplicaObservations,
}

/// A new replica at the location of an existing one.
fn new_replica(number: usize, location: &Replica) -> Replica {
    Replica {
        node_id: format!("{}new{number}", location.zone),
        address: String::new(),
        zone: location.zone.clone(),
        region: location.region.clone(),
        replica_id: 9,
    }
}

fn with_added(replicas: &BTreeSet<Replica>, more: impl IntoIterator<Item = Replica>) -> BTreeSet<Replica> {
    replicas.iter().cloned().chain(more).collect()
}

fn observe_complete(complete: BTreeSet<Replica>) -> ReplicaObservations {
    ReplicaObservations { complete, ..ReplicaObservations::default() }
}

/// All tested steps from a replica set: replicas that are added, replaced or removed.
pub(super) fn steps(replica_set: &ReplicaSet) -> Vec<Step> {
    let all: BTreeSet<Replica> = replica_set.replicas.iter().cloned().collect();
    let mut one_per_zone = replica_set.replicas.clone();
    one_per_zone.sort_by_key(|replica| (replica.region.clone(), replica.zone.clone()));
    one_per_zone.dedup_by_key(|replica| (replica.region.clone(), replica.zone.clone()));
    let new_replicas: Vec<Replica> = one_per_zone.iter().map(|location| new_replica(0, location)).collect();
    let mut steps = Vec::new();
    for new_replica in &new_replicas {
        let observations = observe_complete(with_added(&all, [new_replica.clone()]));
        steps.push(Step { kind: StepKind::Joining, observations });
    }
    steps.push(Step {
        kind: StepKind::Filling,
        observations: observe_complete(with_added(&all, new_replicas)),
    });
    for replica in &replica_set.replicas {
        steps.extend(steps_for(replica, &all));
        steps.extend(one_per_zone.iter().filter(|location| location.zone != replica.zone).map(|location| {
            replacing_unresponsive(StepKind::ReplacingUnresponsiveElsewhere, replica, location, &all)
        }));
        if all.len() > MIN_REPLICAS {
            steps.push(removing_abandoned(replica, &all));
        }
    }
    steps
}

fn without(replica: &Replica, all: &BTreeSet<Replica>) -> BTreeSet<Replica> {
    all.iter().filter(|other| *other != replica).cloned().collect()
}

/// A new replica at the location of `location` replaces an unresponsive one.
fn replacing_unresponsive(
    kind: StepKind,
    replica: &Replica,
    location: &Replica,
    all: &BTreeSet<Replica>,
) -> Step {
    let complete = with_added(&without(replica, all), [new_replica(1, location)]);
    let unresponsive = [replica.name()].into();
    Step { kind, observations: ReplicaObservations { unresponsive, ..observe_complete(complete) } }
}

fn removing_abandoned(replica: &Replica, all: &BTreeSet<Replica>) -> Step {
    let names: BTreeSet<String> = [replica.name()].into();
    let observations = ReplicaObservations {
        unresponsive: names.clone(),
        abandoned: names,
        ..observe_complete(without(replica, all))
    };
    Step { kind: StepKind::RemovingAbandoned, observations }
}

/// The steps that replace or remove one replica.
fn steps_for(replica: &Replica, all: &BTreeSet<Replica>) -> [Step; 4] {
    let name = || [replica.name()].into();
    let rest = without(replica, all);
    let replaced = Replica { replica_id: 2, ..replica.clone() };
    let new_replica = new_replica(1, replica);
    let replaced_disk = observe_complete(with_added(&rest, [replaced]));
    let leaving = observe_complete(all.clone());
    let leaving_for_successor = observe_complete(with_added(all, [new_replica]));
    [
        Step { kind: StepKind::ReplacingLostDisk, observations: replaced_disk },
        replacing_unresponsive(StepKind::ReplacingUnresponsive, replica, replica, all),
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
