//! The committed items and the state derived from them: active replica sets, rate limits of tenants, home regions of
//! hosts.

use super::home_regions::HomeRegions;
use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind, MergeOutcome, Tenant, VersionDigest};
use kitepass_coordination::membership::{JointReplicaSets, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::usage::RateLimit;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of tombstones kept for backends. If a stale copy restores a backend whose tombstone was purged, the
/// next read of the platform's endpoint list deletes it again.
const MAX_BACKEND_TOMBSTONES: usize = 4_096;

/// An item with the digests of its older versions.
pub(super) type ItemWithHistory = (Item, Vec<VersionDigest>);

/// Result of a merge.
#[derive(Default)]
pub(super) struct MergedItems {
    /// Items whose newest version changed. They are sent to gateways.
    pub(super) newer: Vec<Item>,
    /// All changed items, including those that only gained older versions. They are written to disk.
    pub(super) changed: Vec<Item>,
}

/// The committed configuration known to this replica.
pub(super) struct Configuration {
    item_store: ItemStore,
    rate_limits: BTreeMap<String, RateLimit>,
    home_regions: HomeRegions,
}

impl Configuration {
    pub(super) fn new(item_store: ItemStore) -> Configuration {
        let mut configuration =
            Configuration { item_store, rate_limits: BTreeMap::new(), home_regions: HomeRegions::default() };
        let item_store = &configuration.item_store;
        let sources = item_store.items_of(Kind::Tenant).chain(item_store.items_of(Kind::Route));
        let sources: Vec<Item> = sources.cloned().collect();
        configuration.update_derived_state(&sources);
        configuration
    }

    pub(super) fn item_store(&self) -> &ItemStore {
        &self.item_store
    }

    pub(super) fn rate_limit(&self, tenant: &str) -> Option<RateLimit> {
        self.rate_limits.get(tenant).copied()
    }

    /// The home regions shared by all routes of a host, or an empty slice if the routes differ.
    pub(super) fn home_regions(&self, host: &str) -> &[Arc<str>] {
        self.home_regions.for_host(host)
    }

    /// Merges committed items and the digests of their older versions.
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
        self.update_derived_state(&merged.newer);
        merged
    }

    /// Updates the derived state after a change of these items.
    fn update_derived_state(&mut self, items: &[Item]) {
        self.update_rate_limits(items);
        items.iter().filter(|item| item.kind == Kind::Route).for_each(|item| self.home_regions.update(item));
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

    /// Purges the tombstone of a deleted item. Returns false if the item's current version is a different one.
    pub(super) fn purge_tombstone(&mut self, kind: Kind, name: &str, version: u64) -> bool {
        self.item_store.purge(kind, name, version)
    }

    /// Purges the oldest backend tombstones above [`MAX_BACKEND_TOMBSTONES`].
    pub(super) fn purge_backend_tombstones(&mut self) {
        self.item_store.purge_oldest_tombstones(Kind::Backend, MAX_BACKEND_TOMBSTONES);
    }

    /// Discards all items except the replica sets. Returns the discarded items.
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
        self.home_regions = HomeRegions::default();
        discarded
    }

    /// The item that starts or ends the evacuation of a zone, with the version after the current one.
    pub(super) fn evacuation_item(&self, zone: &str, is_on: bool) -> Item {
        let version = self.item_store.next_version(Kind::Evacuation, zone);
        let value = is_on.then(|| Bytes::from_static(b"1"));
        Item { kind: Kind::Evacuation, name: zone.into(), version, value }
    }

    /// The current replica set.
    pub(super) fn replica_set(&self) -> Option<ReplicaSet> {
        ReplicaSet::load(&self.item_store, CURRENT)
    }

    /// The current replica set, and the incoming one during a replica set change.
    pub(super) fn joint_replica_sets(&self) -> Option<JointReplicaSets> {
        JointReplicaSets::load(&self.item_store)
    }

    /// The membership epoch, or 0 if no replica set is known.
    pub(super) fn epoch(&self) -> u64 {
        self.joint_replica_sets().map_or(0, |sets| sets.epoch())
    }

    /// Whether the named replica is a member. Also true if no replica set is known.
    pub(super) fn is_member_or_unknown(&self, name: &str) -> bool {
        self.joint_replica_sets().is_none_or(|sets| sets.contains(name))
    }

    /// Whether a replica set is known and the named replica is not a member.
    pub(super) fn is_known_non_member(&self, name: &str) -> bool {
        !self.is_member_or_unknown(name)
    }

    /// Whether the replicas that hold a copy form a write quorum.
    pub(super) fn is_write_quorum(&self, copies: &BTreeSet<String>) -> bool {
        self.joint_replica_sets().is_some_and(|sets| sets.is_write_quorum(copies))
    }

    /// Whether the replicas that responded form a read quorum. `activated_version` is the highest version of a replica
    /// set whose activation any of them has accepted.
    ///
    /// During a replica set change, a read needs a read quorum of both sets until the activation of the incoming one
    /// has been accepted, and of the incoming set alone from then on.
    ///
    /// Assumption: a replica that accepted the activation holds everything committed under the previous set, and
    /// nothing more is committed under the previous set alone. The exception is needed because losing a replica right
    /// after another one was replaced may leave the previous set without a read quorum for good.
    pub(super) fn is_read_quorum(&self, responders: &BTreeSet<String>, activated_version: u64) -> bool {
        self.joint_replica_sets().is_some_and(|sets| match &sets.incoming {
            Some(incoming) if incoming.version == activated_version => incoming.is_read_quorum(responders),
            _ => sets.is_read_quorum(responders),
        })
    }

    /// Addresses of the members of the current and the incoming replica set.
    pub(super) fn member_addresses(&self) -> impl Iterator<Item = String> + '_ {
        let sets =
            [CURRENT, INCOMING].into_iter().filter_map(|name| ReplicaSet::load(&self.item_store, name));
        sets.flat_map(|set| set.replicas).map(|replica| replica.address)
    }
}
