//! Computes the next replica set from the coordinator's observations of the replicas.

use super::{Replica, ReplicaSet};
use std::collections::BTreeSet;

/// The minimum number of replicas that must remain for a replica that is shutting down to be removed.
const MIN_REPLICAS: usize = 3;

/// The coordinator's observations of the replicas. Except for `complete`, the sets contain replica names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservations {
    /// Replicas, including new ones, that currently respond and whose disk holds everything they have acknowledged.
    pub complete: BTreeSet<Replica>,
    /// Replicas that are shutting down gracefully.
    pub shutting_down: BTreeSet<String>,
    /// Replicas that have been unresponsive for a long time.
    pub unresponsive: BTreeSet<String>,
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

    /// Removes the unresponsive replicas that have been replaced: those in whose zone another replica responds now. Of
    /// two replicas lost together, one may be found unresponsive slightly before the other. The other one must not
    /// count as its replacement, or the new set could not be put into force once both are known to be lost.
    fn without_replaced(&self, mut next: ReplicaSet, observed: &ReplicaObservations) -> ReplicaSet {
        let is_unresponsive = |replica: &Replica| observed.unresponsive.contains(&replica.name());
        for lost in self.replicas.iter().filter(|replica| is_unresponsive(replica)) {
            let replaces = |other: &Replica| {
                other.zone == lost.zone && !is_unresponsive(other) && observed.complete.contains(other)
            };
            if next.replicas.len() > 1 && next.replicas.iter().any(replaces) {
                next = next.without(&lost.name());
            }
        }
        next
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
