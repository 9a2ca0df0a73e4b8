//! Joint consensus: the quorums while one replica set follows another.

use super::replica_set::is_spread;
use super::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_config::ItemStore;
use std::collections::BTreeSet;

/// The replica sets that count: the one in force, and the one that is being brought in, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointReplicaSets {
    /// The replica set in force.
    pub current: ReplicaSet,
    /// The one that follows it.
    pub incoming: Option<ReplicaSet>,
}

impl JointReplicaSets {
    /// As committed; none before the first replica set.
    pub fn load(item_store: &ItemStore) -> Option<JointReplicaSets> {
        let current = ReplicaSet::load(item_store, CURRENT)?;
        let incoming = ReplicaSet::load(item_store, INCOMING);
        Some(JointReplicaSets { current, incoming: None }.with_incoming(incoming))
    }

    /// With an incoming replica set that is committed, or that this process has accepted, if it is newer than the one in
    /// force.
    pub fn with_incoming(self, incoming: Option<ReplicaSet>) -> JointReplicaSets {
        let newer = incoming.filter(|incoming| incoming.version > self.current.version);
        JointReplicaSets { incoming: newer.or(self.incoming), current: self.current }
    }

    /// The membership epoch: twice the version in force, and one more while the next replica set is being brought in.
    pub fn epoch(&self) -> u64 {
        self.current.version * 2 + u64::from(self.incoming.is_some())
    }

    fn both(&self, is_quorum: impl Fn(&ReplicaSet) -> bool) -> bool {
        is_quorum(&self.current) && self.incoming.as_ref().is_none_or(is_quorum)
    }

    /// Whether what these replicas accepted is chosen: they are a majority of both sets, and spread over the regions and
    /// zones of both sets together.
    ///
    /// Invariant: what only one of the sets took for chosen, a read quorum of the other could miss. The same holds for
    /// readings and votes. The spread is that of both sets together: a set that lost its only replica outside of a region
    /// could not let its successor in if the writes had to be spread over that set alone.
    pub fn is_write_quorum(&self, accepted: &BTreeSet<String>) -> bool {
        let incoming = self.incoming.iter().flat_map(|incoming| &incoming.replicas);
        let replicas: Vec<Replica> = self.current.replicas.iter().chain(incoming).cloned().collect();
        self.is_lease_quorum(accepted) && is_spread(&replicas, accepted)
    }

    /// Whether these replicas are a read quorum of both sets.
    pub fn is_read_quorum(&self, responded: &BTreeSet<String>) -> bool {
        self.both(|replica_set| replica_set.is_read_quorum(responded))
    }

    /// Whether these replicas' votes are enough for a lease in both sets.
    pub fn is_lease_quorum(&self, votes: &BTreeSet<String>) -> bool {
        self.both(|replica_set| replica_set.is_lease_quorum(votes))
    }

    /// The newest of them.
    pub fn newest(&self) -> &ReplicaSet {
        self.incoming.as_ref().unwrap_or(&self.current)
    }

    /// Whether the replica of this name is in either.
    pub fn contains(&self, name: &str) -> bool {
        self.current.contains(name) || self.incoming.as_ref().is_some_and(|incoming| incoming.contains(name))
    }
}
