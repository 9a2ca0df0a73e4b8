//! A replica set and its quorums.

use super::Replica;
use kitepass_config::{Item, ItemStore, Kind};
use prost::Message as _;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One version of the set of replicas that form the core of the control plane.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaSet {
    /// The replicas, sorted.
    #[prost(message, repeated, tag = "1")]
    pub replicas: Vec<Replica>,
    /// The version of the configuration item. Each replica set's version is one above that of the set it replaces.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

impl ReplicaSet {
    /// Loads the replica set committed under [`CURRENT`](super::CURRENT) or [`INCOMING`](super::INCOMING).
    pub fn load(item_store: &ItemStore, name: &str) -> Option<ReplicaSet> {
        ReplicaSet::from_item(item_store.get(Kind::ReplicaSet, name)?)
    }

    /// Returns `None` for a tombstone, or if the value is not a valid replica set.
    pub fn from_item(item: &Item) -> Option<ReplicaSet> {
        ReplicaSet::decode(item.value.clone()?).ok()
    }

    /// The configuration item of this name that holds the replica set.
    pub fn to_item(&self, name: &str) -> Item {
        let value = Some(self.encode_to_vec().into());
        Item { kind: Kind::ReplicaSet, name: Arc::from(name), version: self.version, value }
    }

    /// Whether the set contains the replica of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.replicas.iter().any(|replica| replica.name() == name)
    }

    /// The minimum size of a write quorum and of a lease quorum.
    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// The minimum size of a read quorum: the remaining replicas are too few to be a write quorum. Replicas that have
    /// lost their disks do not count, because they are different replicas now.
    pub fn read_quorum(&self) -> usize {
        self.replicas.len() + 1 - self.majority()
    }

    fn replicas_named<'a>(&'a self, names: &'a BTreeSet<String>) -> impl Iterator<Item = &'a Replica> {
        self.replicas.iter().filter(|replica| names.contains(&replica.name()))
    }

    /// Whether a proposal accepted by these replicas is chosen: they must be a majority, and not all in one region or
    /// zone.
    ///
    /// Invariant: a write survives the simultaneous loss of all disks of a zone or region, even if the other replicas
    /// lose power at the same time.
    pub fn is_write_quorum(&self, accepted: &BTreeSet<String>) -> bool {
        self.is_lease_quorum(accepted) && spans_failure_domains(&self.replicas, accepted)
    }

    /// Whether these replicas together know every acknowledged write: they intersect every write quorum.
    pub fn is_read_quorum(&self, responded: &BTreeSet<String>) -> bool {
        self.replicas_named(responded).count() >= self.read_quorum()
    }

    /// Whether votes of these replicas are enough for a lease.
    pub fn is_lease_quorum(&self, votes: &BTreeSet<String>) -> bool {
        self.replicas_named(votes).count() >= self.majority()
    }

    /// Whether every majority of this set intersects every majority of the other.
    pub fn majorities_intersect(&self, other: &ReplicaSet) -> bool {
        let names: BTreeSet<String> =
            self.replicas.iter().chain(&other.replicas).map(Replica::name).collect();
        self.majority() + other.majority() > names.len()
    }
}

/// Whether the named replicas span more than one region and more than one zone, if all replicas together do.
pub(super) fn spans_failure_domains(replicas: &[Replica], names: &BTreeSet<String>) -> bool {
    let spans_multiple = |domain: fn(&Replica) -> &str| {
        let domains: BTreeSet<&str> = replicas.iter().map(domain).collect();
        let named_replicas = replicas.iter().filter(|replica| names.contains(&replica.name()));
        domains.len() < 2 || named_replicas.map(domain).collect::<BTreeSet<&str>>().len() > 1
    };
    spans_multiple(|replica| &replica.region) && spans_multiple(|replica| &replica.zone)
}
