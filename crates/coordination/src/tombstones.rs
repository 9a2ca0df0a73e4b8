//! Decides when the tombstone of a removed item can be purged.
//!
//! **Invariant.** After the purge, no process holds data that could restore the removed item.
//!
//! **Why it holds.** A tombstone is purged once all replicas have had it on disk for the retention time, measured by
//! the coordinator's monotonic clock. A gateway that was disconnected for half of that time discards its data and
//! starts from an empty configuration. So does a control process that is not a replica or was disconnected. See
//! `docs/control-catch-up.md`.

use kitepass_config::{ItemStore, Kind};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The kinds of items whose tombstones are purged. Evacuations are left out: there are only as many as there are zones,
/// and each new version is derived from the previous one.
const EXPIRING_KINDS: [Kind; 3] = [Kind::Route, Kind::Tenant, Kind::Service];
/// The maximum number of tombstones purged at once.
const MAX_EXPIRED: usize = 1_024;

/// The state of a tombstone.
#[derive(Debug)]
struct Tombstone {
    version: u64,
    /// When the coordinator first saw it.
    seen_at: Timestamp,
    /// When it became known to be on the disks of all replicas.
    persisted_at: Option<Timestamp>,
}

/// A tombstone that can be purged: the item's kind, its name, and the version of the tombstone.
pub type ExpiredTombstone = (Kind, Arc<str>, u64);

/// The coordinator's knowledge about tombstones. A new coordinator starts without any.
#[derive(Debug)]
pub struct TombstoneCollector {
    retention: Duration,
    tombstones: BTreeMap<(Kind, Arc<str>), Tombstone>,
    /// When each replica last reported that all items held here are on its disk.
    persisted_at: BTreeMap<String, Timestamp>,
}

impl TombstoneCollector {
    /// Creates a collector. Tombstones can be purged once they have been on all disks for `retention`.
    pub fn new(retention: Duration) -> TombstoneCollector {
        TombstoneCollector { retention, tombstones: BTreeMap::new(), persisted_at: BTreeMap::new() }
    }

    /// Clears all state when the process becomes the coordinator or ceases to be it, since information about the
    /// replicas from an earlier term is outdated.
    pub fn clear(&mut self) {
        self.tombstones.clear();
        self.persisted_at.clear();
    }

    /// Records that a replica reported having all items held here on its disk.
    pub fn replica_persisted(&mut self, now: Timestamp, replica: &str) {
        self.persisted_at.insert(replica.to_owned(), now);
    }

    /// Returns the tombstones that can be purged now. Should be called every few seconds, with the replicas of all
    /// current replica sets.
    pub fn expired(
        &mut self,
        now: Timestamp,
        item_store: &ItemStore,
        replicas: &BTreeSet<String>,
    ) -> Vec<ExpiredTombstone> {
        self.persisted_at.retain(|replica, _| replicas.contains(replica));
        self.drop_outdated(item_store);
        let all_persisted_at = self.all_persisted_at(replicas);
        let mut expired = Vec::new();
        let items = EXPIRING_KINDS.iter().flat_map(|kind| item_store.items_of(*kind));
        for item in items.filter(|item| !item.is_set()) {
            let new = || Tombstone { version: item.version, seen_at: now, persisted_at: None };
            let tombstone = self.tombstones.entry((item.kind, item.name.clone())).or_insert_with(new);
            // Invariant: only reports received after the tombstone was first seen count, including those of replicas
            // that are new in a set.
            let Some(all_persisted_at) = all_persisted_at.filter(|at| *at > tombstone.seen_at) else {
                continue;
            };
            let persisted_at = *tombstone.persisted_at.get_or_insert(now.max(all_persisted_at));
            if now - persisted_at >= self.retention && expired.len() < MAX_EXPIRED {
                expired.push((item.kind, item.name.clone(), item.version));
            }
        }
        expired
    }

    /// Drops entries whose item is no longer a tombstone or has another version.
    fn drop_outdated(&mut self, item_store: &ItemStore) {
        self.tombstones.retain(|(kind, name), tombstone| {
            let item = item_store.get(*kind, name);
            item.is_some_and(|item| !item.is_set() && item.version == tombstone.version)
        });
    }

    /// The oldest of the replicas' latest reports, or `None` if any replica has not reported yet.
    fn all_persisted_at(&self, replicas: &BTreeSet<String>) -> Option<Timestamp> {
        let persisted_at = replicas.iter().map(|replica| self.persisted_at.get(replica));
        persisted_at.min().flatten().copied()
    }
}
