//! Computes the next replica set from the coordinator's observations of the replicas.

use super::{Distance, Replica, ReplicaSet};
use std::collections::{BTreeMap, BTreeSet};

/// The minimum number of replicas that must remain for a replica to be removed that has no successor.
const MIN_REPLICAS: usize = 3;

/// The coordinator's observations of the replicas. Except for `complete`, the sets contain replica names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservations {
    /// Replicas, including new ones, that currently respond and whose disk holds everything they have acknowledged.
    pub complete: BTreeSet<Replica>,
    /// Replicas that are shutting down gracefully.
    pub shutting_down: BTreeSet<String>,
    /// Replicas that have been unresponsive for long enough to be replaced by a successor.
    pub unresponsive: BTreeSet<String>,
    /// For replicas that are unresponsive or shutting down: the members that may be their successors, because they
    /// joined the replica set since, or earlier in the same zone.
    pub successors: BTreeMap<String, BTreeSet<String>>,
    /// Replicas that have been unresponsive for so long that they are removed without a successor.
    pub abandoned: BTreeSet<String>,
}

impl ReplicaObservations {
    fn is_gone(&self, replica: &Replica) -> bool {
        let name = replica.name();
        self.unresponsive.contains(&name) || self.shutting_down.contains(&name)
    }
}

/// A failure domain: all its replicas, including their disks, can be lost at once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FailureDomain {
    Zone,
    Region,
}

impl FailureDomain {
    fn of(self, replica: &Replica) -> &str {
        match self {
            FailureDomain::Zone => &replica.zone,
            FailureDomain::Region => &replica.region,
        }
    }
}

/// An operation that the remaining replicas can still perform after a loss.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Operation {
    Reads,
    Writes,
}

/// An operation that remains possible after the loss of a failure domain.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ToleratedLoss {
    domain: FailureDomain,
    /// The name of the lost zone or region.
    name: String,
    operation: Operation,
}

impl ReplicaSet {
    /// The replica set that should replace this one, if a change is needed.
    ///
    /// Invariant: its version is exactly one above this one's, so that of two replica sets computed from the same base
    /// only one can be committed.
    pub fn successor(&self, observed: &ReplicaObservations) -> Option<ReplicaSet> {
        let next = ReplicaSet { replicas: self.replicas.clone(), version: self.version + 1 };
        let next = next.with_new_replicas(observed);
        let next = self.without_replaced(next, observed);
        let next = next.without_shutting_down(observed);
        let next = next.without_abandoned(observed);
        (next.replicas != self.replicas).then_some(next)
    }

    /// Adds new replicas. A node has only one replica, the one with the currently observed disk and location; it
    /// replaces any earlier replica of the same node.
    fn with_new_replicas(mut self, observed: &ReplicaObservations) -> ReplicaSet {
        let stays = |replica: &&Replica| !observed.shutting_down.contains(&replica.name());
        for new_replica in observed.complete.iter().filter(stays) {
            self.replicas.retain(|replica| replica.node_id != new_replica.node_id);
            self.replicas.push(new_replica.clone());
        }
        self.replicas.sort();
        self
    }

    /// Removes the replicas that are gone and have been replaced. Each successor replaces one replica: one in its own
    /// zone if possible, otherwise one in its region, otherwise any.
    ///
    /// Invariant: a replica that has a successor does not stay a member, wherever the successor is. It would count
    /// toward every majority without ever being part of one, so the set would survive fewer losses than before.
    ///
    /// Invariant: an older member is no successor. Otherwise a short silence would cost a replica its place, and of two
    /// replicas lost together one would count as the replacement of the other.
    fn without_replaced(&self, mut next: ReplicaSet, observed: &ReplicaObservations) -> ReplicaSet {
        let mut used = BTreeSet::new();
        for distance in [Distance::SameZone, Distance::SameRegion, Distance::OtherRegion] {
            for lost in self.replicas.iter().filter(|replica| observed.is_gone(replica)) {
                let is_successor = |other: &&Replica| {
                    other.distance_to(lost) == distance
                        && !used.contains(&other.name())
                        && self.is_successor(other, lost, observed)
                };
                let successor = next.replicas.iter().find(is_successor).map(Replica::name);
                if let Some(successor) = successor.filter(|_| next.contains(&lost.name())) {
                    used.insert(successor);
                    next = next.without(&lost.name());
                }
            }
        }
        next
    }

    /// Whether a replica of the next set may be the successor of one that is gone: it responds, and it joins with the
    /// next set or has joined since the other one was lost. A node's new disk replaces only its earlier disk.
    fn is_successor(&self, other: &Replica, lost: &Replica, observed: &ReplicaObservations) -> bool {
        let is_available = observed.complete.contains(other) && !observed.is_gone(other);
        let is_joining = self.replicas.iter().all(|replica| replica.node_id != other.node_id);
        let has_joined =
            observed.successors.get(&lost.name()).is_some_and(|names| names.contains(&other.name()));
        is_available && (is_joining || has_joined)
    }

    /// Removes the replicas that have been unresponsive for very long, unless too few would remain. Quorums of the
    /// remaining set are smaller, so it survives every loss that this set would survive without those replicas.
    fn without_abandoned(mut self, observed: &ReplicaObservations) -> ReplicaSet {
        for name in &observed.abandoned {
            if self.contains(name) && self.replicas.len() > MIN_REPLICAS {
                self = self.without(name);
            }
        }
        self
    }

    /// Removes the replicas that are shutting down, unless too few would remain or the remaining set would tolerate
    /// fewer losses. A replica that cannot be removed stays until a new one replaces it. Otherwise, replicas that shut
    /// down one after another could leave a set that does not survive the next loss.
    fn without_shutting_down(mut self, observed: &ReplicaObservations) -> ReplicaSet {
        for name in &observed.shutting_down {
            if !self.contains(name) {
                continue;
            }
            let rest = self.without(name);
            if rest.replicas.len() >= MIN_REPLICAS && rest.tolerates_as_much_as(&self, name) {
                self = rest;
            }
        }
        self
    }

    /// Whether this set tolerates all losses that `before` does, except for the loss of a zone or region whose only
    /// replica in `before` is the one called `name`.
    fn tolerates_as_much_as(&self, before: &ReplicaSet, name: &str) -> bool {
        let others = before.without(name);
        let has_others =
            |loss: &ToleratedLoss| others.replicas.iter().any(|replica| loss.domain.of(replica) == loss.name);
        let tolerated = self.tolerated_losses();
        before.tolerated_losses().iter().filter(|loss| has_others(loss)).all(|loss| tolerated.contains(loss))
    }

    fn without(&self, name: &str) -> ReplicaSet {
        let replicas = self.replicas.iter().filter(|replica| replica.name() != name).cloned().collect();
        ReplicaSet { replicas, version: self.version }
    }

    /// The losses of a whole zone or region after which the remaining replicas are still a read or write quorum.
    fn tolerated_losses(&self) -> BTreeSet<ToleratedLoss> {
        let mut tolerated = BTreeSet::new();
        for domain in [FailureDomain::Region, FailureDomain::Zone] {
            let names: BTreeSet<&str> = self.replicas.iter().map(|replica| domain.of(replica)).collect();
            for name in names {
                let rest = self.replicas.iter().filter(|replica| domain.of(replica) != name);
                let rest: BTreeSet<String> = rest.map(Replica::name).collect();
                let loss = |operation| ToleratedLoss { domain, name: name.to_owned(), operation };
                if self.is_read_quorum(&rest) {
                    tolerated.insert(loss(Operation::Reads));
                }
                if self.is_write_quorum(&rest) {
                    tolerated.insert(loss(Operation::Writes));
                }
            }
        }
        tolerated
    }
}
