//! A replica set and its quorums.

use super::Replica;
use kitepass_config::{Item, ItemStore, Kind};
use prost::Message as _;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The replicas that make up the core, in one version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaSet {
    /// The replicas, sorted.
    #[prost(message, repeated, tag = "1")]
    pub replicas: Vec<Replica>,
    /// The version of its item; each set is one version above the one that it follows.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

impl ReplicaSet {
    /// The replica set that is committed under [`CURRENT`](super::CURRENT) or [`INCOMING`](super::INCOMING).
    pub fn load(item_store: &ItemStore, name: &str) -> Option<ReplicaSet> {
        ReplicaSet::from_item(item_store.get(Kind::ReplicaSet, name)?)
    }

    /// None for a tombstone, or a value that is no replica set.
    pub fn from_item(item: &Item) -> Option<ReplicaSet> {
        ReplicaSet::decode(item.value.clone()?).ok()
    }

    /// The item of this name that holds it.
    pub fn to_item(&self, name: &str) -> Item {
        let value = Some(self.encode_to_vec().into());
        Item { kind: Kind::ReplicaSet, name: Arc::from(name), version: self.version, value }
    }

    /// Whether the replica of this name is in it.
    pub fn contains(&self, name: &str) -> bool {
        self.replicas.iter().any(|replica| replica.name() == name)
    }

    /// The least number of replicas of a write quorum and of a lease quorum.
    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// The least number of replicas of a read quorum: those that are left are fewer than any write quorum. Replicas that
    /// lost their disk can't be counted; they are other replicas now.
    pub fn read_quorum(&self) -> usize {
        self.replicas.len() + 1 - self.majority()
    }

    fn among<'a>(&'a self, names: &'a BTreeSet<String>) -> impl Iterator<Item = &'a Replica> {
        self.replicas.iter().filter(|replica| names.contains(&replica.name()))
    }

    /// Whether what these replicas accepted is chosen: they are a majority, and not all in one region or zone.
    ///
    /// Invariant: a write survives the loss of all disks of a zone or region at once, even if the others lose power
    /// meanwhile.
    pub fn is_write_quorum(&self, accepted: &BTreeSet<String>) -> bool {
        self.is_lease_quorum(accepted) && is_spread(&self.replicas, accepted)
    }

    /// Whether these replicas together know all that was ever acknowledged: they share a replica with each write quorum.
    pub fn is_read_quorum(&self, responded: &BTreeSet<String>) -> bool {
        self.among(responded).count() >= self.read_quorum()
    }

    /// Whether these replicas' votes are enough for a lease.
    pub fn is_lease_quorum(&self, votes: &BTreeSet<String>) -> bool {
        self.among(votes).count() >= self.majority()
    }

    /// Whether each majority of this one shares a replica with each majority of the other.
    pub fn majorities_intersect(&self, other: &ReplicaSet) -> bool {
        let names: BTreeSet<String> =
            self.replicas.iter().chain(&other.replicas).map(Replica::name).collect();
        self.majority() + other.majority() > names.len()
    }
}

/// Whether these replicas lie in more than one region and in more than one zone, where all of them do.
pub(super) fn is_spread(replicas: &[Replica], names: &BTreeSet<String>) -> bool {
    let is_spread_over = |domain: fn(&Replica) -> &str| {
        let domains: BTreeSet<&str> = replicas.iter().map(domain).collect();
        let named = replicas.iter().filter(|replica| names.contains(&replica.name()));
        domains.len() < 2 || named.map(domain).collect::<BTreeSet<&str>>().len() > 1
    };
    is_spread_over(|replica| &replica.region) && is_spread_over(|replica| &replica.zone)
}
