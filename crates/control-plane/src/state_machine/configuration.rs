//! The committed items, and what is derived from them: the replica sets in force and the tenants' rate limits.

use super::host_homes::HostHomes;
use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind, MergeOutcome, Tenant, VersionDigest};
use kitepass_coordination::membership::{JointReplicaSets, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::usage::RateLimit;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Dropped backends that are remembered. A stale copy that brings one back is corrected by the next reading of the
/// platform's list.
const MAX_DROPPED_BACKENDS: usize = 4_096;

/// An item and the digests of its older versions.
pub(super) type ItemWithHistory = (Item, Vec<VersionDigest>);

/// Items that a merge has changed.
#[derive(Default)]
pub(super) struct MergedItems {
    /// Items of which a newer version came: gateways are told.
    pub(super) newer: Vec<Item>,
    /// Those, and items of which older versions alone became known: both go to disk.
    pub(super) changed: Vec<Item>,
}

/// The committed configuration as this replica knows it.
pub(super) struct Configuration {
    item_store: ItemStore,
    rate_limits: BTreeMap<String, RateLimit>,
    homes: HostHomes,
}

impl Configuration {
    pub(super) fn new(item_store: ItemStore) -> Configuration {
        let mut configuration =
            Configuration { item_store, rate_limits: BTreeMap::new(), homes: HostHomes::default() };
        let item_store = &configuration.item_store;
        let sources = item_store.items_of(Kind::Tenant).chain(item_store.items_of(Kind::Route));
        let sources: Vec<Item> = sources.cloned().collect();
        configuration.update_derived(&sources);
        configuration
    }

    pub(super) fn item_store(&self) -> &ItemStore {
        &self.item_store
    }

    pub(super) fn rate_limit(&self, tenant: &str) -> Option<RateLimit> {
        self.rate_limits.get(tenant).copied()
    }

    /// The home regions of all routes of a host, or none where they differ.
    pub(super) fn home_regions(&self, host: &str) -> &[Arc<str>] {
        self.homes.of_host(host)
    }

    /// Merges committed items with their older versions.
    pub(super) fn merge(&mut self, items: Vec<ItemWithHistory>) -> MergedItems {
        let mut merged = MergedItems::default();
        for (item, history) in items {
            match self.item_store.merge_with_history(item.clone(), &history) {
                MergeOutcome::Unchanged => continue,
                MergeOutcome::HistoryChanged => {}
                MergeOutcome::NewestChanged => merged.newer.push(item.clone()),
            }
            merged.changed.push(item);
        }
        self.update_derived(&merged.newer);
        merged
    }

    /// Brings what is derived from items up to date with these.
    fn update_derived(&mut self, items: &[Item]) {
        self.update_rate_limits(items);
        items.iter().filter(|item| item.kind == Kind::Route).for_each(|item| self.homes.update(item));
    }

    fn update_rate_limits(&mut self, items: &[Item]) {
        for item in items.iter().filter(|item| item.kind == Kind::Tenant) {
            match Tenant::from_item(item) {
                Some(tenant) => {
                    let limit = RateLimit { rate: tenant.rate, burst: tenant.burst };
                    self.rate_limits.insert(item.name.to_string(), limit);
                }
                None => _ = self.rate_limits.remove(&*item.name),
            }
        }
    }

    /// Forgets a dropped item. False if another version of it stands.
    pub(super) fn purge_tombstone(&mut self, kind: Kind, name: &str, version: u64) -> bool {
        self.item_store.purge(kind, name, version)
    }

    /// Keeps the number of dropped backends in bounds.
    pub(super) fn purge_backend_tombstones(&mut self) {
        self.item_store.purge_oldest_tombstones(Kind::Backend, MAX_DROPPED_BACKENDS);
    }

    /// Drops all items but the replica sets, and gives the dropped ones.
    pub(super) fn discard_all_but_replica_sets(&mut self) -> Vec<Item> {
        let (replica_sets, discarded): (Vec<&Item>, Vec<&Item>) =
            self.item_store.items().partition(|item| item.kind == Kind::ReplicaSet);
        let discarded = discarded.into_iter().cloned().collect();
        let mut item_store = ItemStore::new();
        for item in replica_sets {
            let history = self.item_store.older_versions(item.kind, &item.name);
            item_store.merge_with_history(item.clone(), history);
        }
        self.item_store = item_store;
        self.rate_limits.clear();
        self.homes = HostHomes::default();
        discarded
    }

    /// The item that evacuates a zone, or takes that back: one version above the one that stands.
    pub(super) fn evacuation_item(&self, zone: &str, is_on: bool) -> Item {
        let known = self.item_store.get(Kind::Evacuation, zone);
        let version = known.map_or(0, |item| item.version) + 1;
        let value = is_on.then(|| Bytes::from_static(b"1"));
        Item { kind: Kind::Evacuation, name: zone.into(), version, value }
    }

    /// Whether a zone is evacuated.
    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.item_store.get(Kind::Evacuation, zone).is_some_and(Item::is_set)
    }

    /// The replica set in force.
    pub(super) fn replica_set(&self) -> Option<ReplicaSet> {
        ReplicaSet::load(&self.item_store, CURRENT)
    }

    /// The replica set in force, and the one that is being brought in.
    pub(super) fn joint_replica_sets(&self) -> Option<JointReplicaSets> {
        JointReplicaSets::load(&self.item_store)
    }

    /// The membership epoch, or 0 where no replica set is known.
    pub(super) fn epoch(&self) -> u64 {
        self.joint_replica_sets().map_or(0, |sets| sets.epoch())
    }

    /// Whether the replica of this name is a member, or none is known to be.
    pub(super) fn is_member_or_unknown(&self, name: &str) -> bool {
        self.joint_replica_sets().is_none_or(|sets| sets.contains(name))
    }

    /// Whether the replica of this name is known not to be a member.
    pub(super) fn is_known_non_member(&self, name: &str) -> bool {
        !self.is_member_or_unknown(name)
    }

    /// Whether copies at these replicas are enough for a write.
    pub(super) fn is_write_quorum(&self, copies: &BTreeSet<String>) -> bool {
        self.joint_replica_sets().is_some_and(|sets| sets.is_write_quorum(copies))
    }

    /// Whether answers of these replicas are enough for a reading. `activated_version` is the highest version of a replica
    /// set that any of them has accepted as the one in force.
    ///
    /// Assumption: whoever accepted that a replica set is in force holds all that was committed under the one before, and
    /// nothing is committed under the one before alone any more. So a read quorum of the one before is not needed then.
    /// Why it matters: the loss of a replica right after the replacement of another may leave too few of the earlier set
    /// for a read quorum of it, ever.
    pub(super) fn is_read_quorum(&self, heard: &BTreeSet<String>, activated_version: u64) -> bool {
        self.joint_replica_sets().is_some_and(|sets| match &sets.incoming {
            Some(incoming) if incoming.version == activated_version => incoming.is_read_quorum(heard),
            _ => sets.is_read_quorum(heard),
        })
    }

    /// Addresses of the members of both replica sets.
    pub(super) fn member_addresses(&self) -> impl Iterator<Item = String> + '_ {
        let sets =
            [CURRENT, INCOMING].into_iter().filter_map(|name| ReplicaSet::load(&self.item_store, name));
        sets.flat_map(|set| set.replicas).map(|replica| replica.address)
    }
}
