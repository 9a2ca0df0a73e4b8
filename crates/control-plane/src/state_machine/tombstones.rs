//! Tombstones mark deleted items and are purged once every replica has stored them. A process that was out of contact
//! for so long that tombstones may have been purged meanwhile must treat its items as potentially stale.

use kitepass_config::ItemStore;
use kitepass_coordination::tombstones::{ExpiredTombstone, TombstoneCollector};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// A tombstone is purged once every replica has held it on disk for this long.
const TOMBSTONE_RETENTION: Duration = Duration::from_micros(3_600_000_000);
/// Minimum interval between two searches for expired tombstones.
const COLLECTION_INTERVAL: Duration = Duration::from_micros(2_000_000);

/// Decides when tombstones may be purged, and whether the local items may be stale.
pub(super) struct Tombstones {
    collector: TombstoneCollector,
    retention: Duration,
    last_collection_at: Timestamp,
    last_contact_at: Timestamp,
    may_be_stale: bool,
}

impl Tombstones {
    /// `holds_items` is whether any items were restored from disk. Those may be stale.
    pub(super) fn new(now: Timestamp, holds_items: bool) -> Tombstones {
        Tombstones {
            collector: TombstoneCollector::new(TOMBSTONE_RETENTION),
            retention: TOMBSTONE_RETENTION,
            last_collection_at: now,
            last_contact_at: now,
            may_be_stale: holds_items,
        }
    }

    pub(super) fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
        self.collector = TombstoneCollector::new(retention);
    }

    /// Records that the named replica holds all items of this replica on disk.
    pub(super) fn replica_persisted(&mut self, now: Timestamp, name: &str) {
        self.collector.replica_persisted(now, name);
    }

    /// Discards the recorded observations, because this process is not the active coordinator.
    pub(super) fn clear(&mut self) {
        self.collector.clear();
    }

    /// Whether the next search for expired tombstones is due. If so, the collection interval restarts.
    pub(super) fn start_collection_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.last_collection_at >= COLLECTION_INTERVAL;
        if is_due {
            self.last_collection_at = now;
        }
        is_due
    }

    /// Tombstones that all of these replicas have held for the retention time.
    pub(super) fn expired(
        &mut self,
        now: Timestamp,
        item_store: &ItemStore,
        replicas: &BTreeSet<String>,
    ) -> Vec<ExpiredTombstone> {
        self.collector.expired(now, item_store, replicas)
    }

    /// Records that this process is serving and in contact with a majority, so that its items are up to date.
    pub(super) fn contact_confirmed(&mut self, now: Timestamp) {
        self.last_contact_at = now;
        self.may_be_stale = false;
    }

    /// Records that this process is not in contact. After half of the retention time, its items may be stale.
    pub(super) fn contact_missing(&mut self, now: Timestamp, holds_items: bool) {
        if (now - self.last_contact_at).as_micros() > self.retention.as_micros() / 2 {
            self.may_be_stale |= holds_items;
        }
    }

    /// Whether the local items date from before a restart or a long loss of contact, and have not been confirmed since.
    pub(super) fn may_be_stale(&self) -> bool {
        self.may_be_stale
    }

    /// Records that the potentially stale items were discarded.
    pub(super) fn discarded(&mut self) {
        self.may_be_stale = false;
    }
}
