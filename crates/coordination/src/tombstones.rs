//! When the tombstone of a removed item may be forgotten.
//!
//! **Invariant.** Nothing is left that could bring the removed item back.
//!
//! **Why.** A tombstone is forgotten once all replicas have had it on disk for a given time, by the coordinator's own
//! monotonic clock. A gateway that was away for half of that time begins anew from nothing, and so does a control process
//! that is no replica or was away. See `docs/control-catch-up.md`.

use kitepass_config::{ItemStore, Kind};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The kinds whose tombstones are forgotten. Evacuations are as few as zones, and their versions follow from the last.
const EXPIRING_KINDS: [Kind; 3] = [Kind::Route, Kind::Tenant, Kind::Service];
/// How many tombstones are forgotten at one time.
const MAX_EXPIRED: usize = 1_024;

/// How far a tombstone has come.
#[derive(Debug)]
struct Tombstone {
    version: u64,
    /// Since when it is known here.
    seen_at: Timestamp,
    /// Since when it is known to be on the disks of all replicas.
    persisted_at: Option<Timestamp>,
}

/// A tombstone that may be forgotten: the item's kind, its name, and the version that removed it.
pub type ExpiredTombstone = (Kind, Arc<str>, u64);

/// What the coordinator knows of tombstones. A new coordinator begins from nothing.
#[derive(Debug)]
pub struct TombstoneCollector {
    retention: Duration,
    tombstones: BTreeMap<(Kind, Arc<str>), Tombstone>,
    /// By replica, when it last had on disk all that is held here.
    persisted_at: BTreeMap<String, Timestamp>,
}

impl TombstoneCollector {
    /// Tombstones are forgotten once they have been on all disks for `retention`.
    pub fn new(retention: Duration) -> TombstoneCollector {
        TombstoneCollector { retention, tombstones: BTreeMap::new(), persisted_at: BTreeMap::new() }
    }

    /// The process has become the coordinator, or has ceased to be: what an earlier term knew of the replicas is outdated.
    pub fn clear(&mut self) {
        self.tombstones.clear();
        self.persisted_at.clear();
    }

    /// A replica says that it has on disk all that is held here.
    pub fn replica_persisted(&mut self, now: Timestamp, replica: &str) {
        self.persisted_at.insert(replica.to_owned(), now);
    }

    /// Tombstones that may be forgotten now; to be called every few seconds with the replicas of all sets that count.
    pub fn expired(
        &mut self,
        now: Timestamp,
        item_store: &ItemStore,
        replicas: &BTreeSet<String>,
    ) -> Vec<ExpiredTombstone> {
        self.persisted_at.retain(|replica, _| replicas.contains(replica));
        self.forget_outdated(item_store);
        let all_persisted_at = self.all_persisted_at(replicas);
        let mut expired = Vec::new();
        let items = EXPIRING_KINDS.iter().flat_map(|kind| item_store.items_of(*kind));
        for item in items.filter(|item| !item.is_set()) {
            let new = || Tombstone { version: item.version, seen_at: now, persisted_at: None };
            let tombstone = self.tombstones.entry((item.kind, item.name.clone())).or_insert_with(new);
            // Invariant: only what a replica reported after the tombstone was seen counts. This holds for replicas that
            // are new in the set too.
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

    /// Drops what is no tombstone any more, or one of another version.
    fn forget_outdated(&mut self, item_store: &ItemStore) {
        self.tombstones.retain(|(kind, name), tombstone| {
            let item = item_store.get(*kind, name);
            item.is_some_and(|item| !item.is_set() && item.version == tombstone.version)
        });
    }

    /// The moment at which the last of the replicas said that it has all on disk; none while one has not.
    fn all_persisted_at(&self, replicas: &BTreeSet<String>) -> Option<Timestamp> {
        let persisted_at = replicas.iter().map(|replica| self.persisted_at.get(replica));
        persisted_at.min().flatten().copied()
    }
}
