//! Tombstones: the record of a drop, kept until every replica holds it, and the doubt about what a process holds that
//! was away for so long that tombstones may have been forgotten meanwhile.

use kitepass_config::ItemStore;
use kitepass_coordination::tombstones::{ExpiredTombstone, TombstoneCollector};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// A tombstone is forgotten once every replica has held it on disk for this time.
const TOMBSTONE_AGE: Duration = Duration::from_micros(3_600_000_000);
/// Tombstones are looked through no more often.
const COLLECTION_INTERVAL: Duration = Duration::from_micros(2_000_000);

/// When tombstones may be forgotten, and whether what is held here is still to be trusted.
pub(super) struct Tombstones {
    collector: TombstoneCollector,
    age: Duration,
    last_collection_at: Timestamp,
    last_contact_at: Timestamp,
    may_be_stale: bool,
}

impl Tombstones {
    /// `holds_items`: whether anything is held from before this start.
    pub(super) fn new(now: Timestamp, holds_items: bool) -> Tombstones {
        Tombstones {
            collector: TombstoneCollector::new(TOMBSTONE_AGE),
            age: TOMBSTONE_AGE,
            last_collection_at: now,
            last_contact_at: now,
            may_be_stale: holds_items,
        }
    }

    pub(super) fn set_retention(&mut self, age: Duration) {
        self.age = age;
        self.collector = TombstoneCollector::new(age);
    }

    /// The replica of this name has all that this one holds on disk.
    pub(super) fn replica_persisted(&mut self, now: Timestamp, name: &str) {
        self.collector.replica_persisted(now, name);
    }

    /// Another process is coordinator, or nobody: what was seen so far counts no longer.
    pub(super) fn clear(&mut self) {
        self.collector.clear();
    }

    /// Whether tombstones are to be looked through now; that time is noted.
    pub(super) fn start_collection_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.last_collection_at >= COLLECTION_INTERVAL;
        if is_due {
            self.last_collection_at = now;
        }
        is_due
    }

    /// Tombstones that all these replicas have held for long enough.
    pub(super) fn expired(
        &mut self,
        now: Timestamp,
        item_store: &ItemStore,
        replicas: &BTreeSet<String>,
    ) -> Vec<ExpiredTombstone> {
        self.collector.expired(now, item_store, replicas)
    }

    /// This process serves and is in contact with a majority: what it holds is what all hold.
    pub(super) fn contact_confirmed(&mut self, now: Timestamp) {
        self.last_contact_at = now;
        self.may_be_stale = false;
    }

    /// This process is not in contact. After half a tombstone's age what it holds is in doubt.
    pub(super) fn contact_missing(&mut self, now: Timestamp, holds_items: bool) {
        if (now - self.last_contact_at).as_micros() > self.age.as_micros() / 2 {
            self.may_be_stale |= holds_items;
        }
    }

    /// Whether this process holds what it held before it was away for long, and has yet to be found a member.
    pub(super) fn may_be_stale(&self) -> bool {
        self.may_be_stale
    }

    /// What was in doubt is discarded.
    pub(super) fn discarded(&mut self) {
        self.may_be_stale = false;
    }
}
