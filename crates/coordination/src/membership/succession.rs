//! Which replica set follows another one, by what the coordinator observes of the replicas.

use super::{Replica, ReplicaSet};
use std::collections::BTreeSet;

/// Replicas that shut down gracefully are left out only while at least this many stay.
const MIN_REPLICAS: usize = 3;

/// What the coordinator observes of the replicas as it works out the next replica set. All but `complete` are names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservations {
    /// Replicas that respond now and whose disk holds what it has acknowledged, newcomers included.
    pub complete: BTreeSet<Replica>,
    /// Those that are in a graceful shutdown.
    pub shutting_down: BTreeSet<String>,
    /// Those that have been unresponsive for long.
    pub unresponsive: BTreeSet<String>,
}

/// What is lost at once, all its disks included.
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

/// What the replicas that are left after a loss can still do.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Service {
    Reads,
    Writes,
}

/// A loss that a replica set tolerates.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ToleratedLoss {
    domain: FailureDomain,
    /// The zone or region that is lost.
    place: String,
    service: Service,
}

impl ReplicaSet {
    /// The replica set that should follow this one, if another should.
    ///
    /// Invariant: it is exactly one version above this one, so that of two that are worked out from one set only one can
    /// be committed.
    pub fn successor(&self, observed: &ReplicaObservations) -> Option<ReplicaSet> {
        let next = ReplicaSet { replicas: self.replicas.clone(), version: self.version + 1 };
        let next = next.with_newcomers(observed);
        let next = self.without_replaced(next, observed);
        let next = next.without_shutting_down(observed);
        (next.replicas != self.replicas).then_some(next)
    }

    /// A node has one replica: that of the disk, and at the place, with which it is observed now.
    fn with_newcomers(mut self, observed: &ReplicaObservations) -> ReplicaSet {
        let stays = |replica: &&Replica| !observed.shutting_down.contains(&replica.name());
        for newcomer in observed.complete.iter().filter(stays) {
            self.replicas.retain(|replica| replica.node_id != newcomer.node_id);
            self.replicas.push(newcomer.clone());
        }
        self.replicas.sort();
        self
    }

    /// An unresponsive replica is left out only where the zone has another one that responds now: a newcomer has taken its
    /// place. Of two that were lost together one is found unresponsive a moment before the other, which must not pass for its
    /// replacement: the set without the first could not be put in force once the second is known to be lost.
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

    /// Leaves out those that shut down, unless too few would be left, or the rest would tolerate less than now. Such a
    /// one stays in the set until a newcomer takes its place: replicas that shut down one after another would otherwise
    /// leave a set that the next loss ends.
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

    /// Whether it tolerates all that `before` does, but for losses of places that the replica of this name had alone.
    fn tolerates_as_much_as(&self, before: &ReplicaSet, name: &str) -> bool {
        let others = before.without(name);
        let has_others = |loss: &ToleratedLoss| {
            others.replicas.iter().any(|replica| loss.domain.of(replica) == loss.place)
        };
        let tolerated = self.tolerated_losses();
        before.tolerated_losses().iter().filter(|loss| has_others(loss)).all(|loss| tolerated.contains(loss))
    }

    fn without(&self, name: &str) -> ReplicaSet {
        let replicas = self.replicas.iter().filter(|replica| replica.name() != name).cloned().collect();
        ReplicaSet { replicas, version: self.version }
    }

    /// The losses of a whole zone or region after which the rest is still a read quorum or a write quorum.
    fn tolerated_losses(&self) -> BTreeSet<ToleratedLoss> {
        let mut tolerated = BTreeSet::new();
        for domain in [FailureDomain::Region, FailureDomain::Zone] {
            let places: BTreeSet<&str> = self.replicas.iter().map(|replica| domain.of(replica)).collect();
            for place in places {
                let rest = self.replicas.iter().filter(|replica| domain.of(replica) != place);
                let rest: BTreeSet<String> = rest.map(Replica::name).collect();
                let loss = |service| ToleratedLoss { domain, place: place.to_owned(), service };
                if self.is_read_quorum(&rest) {
                    tolerated.insert(loss(Service::Reads));
                }
                if self.is_write_quorum(&rest) {
                    tolerated.insert(loss(Service::Writes));
                }
            }
        }
        tolerated
    }
}
