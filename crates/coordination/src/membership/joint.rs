//! Joint consensus: the quorums during a change from one replica set to the next.

use super::replica_set::spans_failure_domains;
use super::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_config::ItemStore;
use std::collections::BTreeSet;

/// The replica sets whose quorums are required: the current one and, during a change, the incoming one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointReplicaSets {
    /// The replica set in force.
    pub current: ReplicaSet,
    /// The replica set that will replace it, if a change is in progress.
    pub incoming: Option<ReplicaSet>,
}

impl JointReplicaSets {
    /// Loads the committed replica sets. Returns `None` before the first one is committed.
    pub fn load(item_store: &ItemStore) -> Option<JointReplicaSets> {
        let current = ReplicaSet::load(item_store, CURRENT)?;
        let incoming = ReplicaSet::load(item_store, INCOMING);
        Some(JointReplicaSets { current, incoming: None }.with_incoming(incoming))
    }

    /// Adds an incoming replica set that is committed, or that this process has accepted, if it is newer than the
    /// current one.
    pub fn with_incoming(self, incoming: Option<ReplicaSet>) -> JointReplicaSets {
        let newer = incoming.filter(|incoming| incoming.version > self.current.version);
        JointReplicaSets { incoming: newer.or(self.incoming), current: self.current }
    }

    /// The membership epoch: twice the version of the current replica set, plus one while a change is in progress.
    pub fn epoch(&self) -> u64 {
        self.current.version * 2 + u64::from(self.incoming.is_some())
    }

    fn is_quorum_of_both(&self, is_quorum: impl Fn(&ReplicaSet) -> bool) -> bool {
        is_quorum(&self.current) && self.incoming.as_ref().is_none_or(is_quorum)
    }

    /// Whether a proposal accepted by these replicas is chosen: they must be a majority of both sets, and span the
    /// regions and zones of the two sets combined.
    ///
    /// Invariant: a proposal that only one of the sets considers chosen could be missed by a read quorum of the other.
    /// The same applies to read quorums and lease quorums. The spread is required over the combined sets: if a set has
    /// lost its only replica outside of a region and writes had to span the regions of that set alone, no replica set
    /// could replace it.
    pub fn is_write_quorum(&self, accepted: &BTreeSet<String>) -> bool {
        let incoming = self.incoming.iter().flat_map(|incoming| &incoming.replicas);
        let replicas: Vec<Replica> = self.current.replicas.iter().chain(incoming).cloned().collect();
        self.is_lease_quorum(accepted) && spans_failure_domains(&replicas, accepted)
    }

    /// Whether these replicas are a read quorum of both sets.
    pub fn is_read_quorum(&self, responded: &BTreeSet<String>) -> bool {
        self.is_quorum_of_both(|replica_set| replica_set.is_read_quorum(responded))
    }

    /// Whether votes of these replicas are enough for a lease in both sets.
    pub fn is_lease_quorum(&self, votes: &BTreeSet<String>) -> bool {
        self.is_quorum_of_both(|replica_set| replica_set.is_lease_quorum(votes))
    }

    /// The newer of the two replica sets.
    pub fn newest(&self) -> &ReplicaSet {
        self.incoming.as_ref().unwrap_or(&self.current)
    }

    /// Whether either set contains the replica of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.current.contains(name) || self.incoming.as_ref().is_some_and(|incoming| incoming.contains(name))
    }
}
