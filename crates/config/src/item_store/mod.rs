//! The store of all known items, with hashes for finding the differences between two stores.

mod chunks;
mod hashes;
mod stored_item;

use crate::item::{Item, Kind};
use crate::version_history::{ItemWithHistory, MergeOutcome, VersionDigest, VersionStatus};
use hashes::BucketHashes;
use std::collections::btree_map;
use std::collections::BTreeMap;
use std::sync::Arc;
use stored_item::StoredItem;

pub use chunks::{chunk_digest, Chunk};

/// The number of hash buckets used to compare stores. Both ends of a connection must use the same number.
pub const BUCKET_COUNT: usize = 256;

/// The newest known version of every item; removed items are kept as tombstones.
///
/// Invariant: a tombstone is kept as long as an older version of its item may still arrive, which would otherwise
/// restore the removed item. Tombstones of durable items are therefore removed only by [`ItemStore::purge`], once no
/// copy of an older version is left. For backends the oldest tombstones are dropped
/// ([`ItemStore::purge_oldest_tombstones`]); if a removed backend reappears, the platform's next report removes it.
///
/// When two versions of an item are merged, the higher version wins. Between different contents of the same version, a
/// value wins over a tombstone and the greater value in byte order wins over the other. All replicas therefore
/// converge, regardless of the order in which they receive items. The second rule is needed only for backends, since
/// consensus commits a single content for each version of a durable item.
///
/// For durable items, the digests of up to [`MAX_OLDER_VERSIONS`](crate::MAX_OLDER_VERSIONS) older committed versions
/// are kept to detect repeated changes. Data planes compare only the newest versions ([`ItemStore::bucket_hashes`]),
/// control planes also the older ones ([`ItemStore::history_bucket_hashes`]).
#[derive(Clone, Debug)]
pub struct ItemStore {
    /// The items by kind (see [`index_of`]) and name.
    items: [BTreeMap<Arc<str>, StoredItem>; Kind::ALL.len()],
    /// The highest version seen of each kind, indexed like `items`.
    highest_versions: [u64; Kind::ALL.len()],
    /// Hashes of the newest versions.
    bucket_hashes: BucketHashes,
    /// Hashes of the newest and the older versions.
    history_bucket_hashes: BucketHashes,
}

/// The position of a kind in [`Kind::ALL`].
fn index_of(kind: Kind) -> usize {
    kind as usize - 1
}

impl Default for ItemStore {
    fn default() -> ItemStore {
        ItemStore::new()
    }
}

impl ItemStore {
    /// Creates an empty store.
    pub fn new() -> ItemStore {
        ItemStore {
            items: Default::default(),
            highest_versions: [0; Kind::ALL.len()],
            bucket_hashes: BucketHashes::new(),
            history_bucket_hashes: BucketHashes::new(),
        }
    }

    /// Merges an item received from another replica. Returns whether its newest version changed. If the item is older
    /// than the known version, it is added to the older versions.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_with_history(item, &[]) == MergeOutcome::NewestChanged
    }

    /// Merges an item and its older versions received from another replica.
    pub fn merge_with_history(&mut self, item: Item, older_versions: &[VersionDigest]) -> MergeOutcome {
        let index = index_of(item.kind);
        self.highest_versions[index] = self.highest_versions[index].max(item.version);
        match self.items[index].entry(item.name.clone()) {
            btree_map::Entry::Vacant(vacant) => {
                let stored = vacant.insert(StoredItem::new(item, older_versions));
                self.bucket_hashes.toggle(stored.bucket, stored.hash);
                self.history_bucket_hashes.toggle(stored.bucket, stored.history_hash);
                MergeOutcome::NewestChanged
            }
            btree_map::Entry::Occupied(mut occupied) => {
                let stored = occupied.get_mut();
                let (hash_before, history_hash_before) = (stored.hash, stored.history_hash);
                let outcome = stored.merge(item, older_versions);
                self.bucket_hashes.toggle(stored.bucket, hash_before ^ stored.hash);
                self.history_bucket_hashes.toggle(stored.bucket, history_hash_before ^ stored.history_hash);
                outcome
            }
        }
    }

    /// The version after the known one of an item; 1 if the item is unknown.
    pub fn next_version(&self, kind: Kind, name: &str) -> u64 {
        self.get(kind, name).map_or(0, |item| item.version) + 1
    }

    /// Whether an item of a change request has an effect, which requires a higher version than the known one. Must be
    /// checked before merging such an item: between equal versions `merge` picks a winner, but a change request must
    /// not replace a version that is already known.
    pub fn is_newer(&self, item: &Item) -> bool {
        self.get(item.kind, &item.name).is_none_or(|known| known.version < item.version)
    }

    /// Merges an item of a change request if its version is higher than the known one. Returns whether it was.
    pub fn apply(&mut self, item: Item) -> bool {
        self.is_newer(&item) && self.merge(item)
    }

    /// Compares an item of a change request with the committed versions. Not for backends, for which the last report
    /// always wins.
    pub fn version_status(&self, item: &Item) -> VersionStatus {
        let stored = self.items[index_of(item.kind)].get(&item.name);
        stored.map_or(VersionStatus::Undecided, |stored| stored.version_status(item))
    }

    /// Returns an item, which may be a tombstone.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Item> {
        self.items[index_of(kind)].get(name).map(|stored| &stored.item)
    }

    /// Returns an item, which may be a tombstone, with its older versions.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<ItemWithHistory<'_>> {
        self.items[index_of(kind)].get(name).map(StoredItem::entry)
    }

    /// Returns the known older versions of an item, by ascending version.
    pub fn older_versions(&self, kind: Kind, name: &str) -> &[VersionDigest] {
        self.items[index_of(kind)].get(name).map_or(&[], |stored| &stored.older_versions)
    }

    /// Returns all items of a kind, including tombstones, sorted by name.
    pub fn items_of(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items[index_of(kind)].values().map(|stored| &stored.item)
    }

    /// Returns all items, including tombstones, sorted by kind and name.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.stored_items().map(|stored| &stored.item)
    }

    /// Returns all items, including tombstones, with their older versions, sorted by kind and name.
    pub fn entries(&self) -> impl Iterator<Item = ItemWithHistory<'_>> {
        self.stored_items().map(StoredItem::entry)
    }

    fn stored_items(&self) -> impl Iterator<Item = &StoredItem> {
        self.items.iter().flat_map(BTreeMap::values)
    }

    /// The number of items, including tombstones.
    pub fn len(&self) -> usize {
        self.items.iter().map(BTreeMap::len).sum()
    }

    /// Whether the store contains no items, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The highest version seen of any item of a kind; 0 if there was none.
    pub fn highest_version(&self, kind: Kind) -> u64 {
        self.highest_versions[index_of(kind)]
    }

    /// A digest of all newest versions. Stores with equal contents have equal digests; stores with different contents
    /// have different digests, barring hash collisions.
    pub fn digest(&self) -> u64 {
        self.bucket_hashes.digest()
    }

    /// Like [`ItemStore::digest`], but includes the older versions.
    pub fn history_digest(&self) -> u64 {
        self.history_bucket_hashes.digest()
    }

    /// The hash of each bucket over the newest versions of its items; 0 for an empty bucket.
    pub fn bucket_hashes(&self) -> &[u64; BUCKET_COUNT] {
        self.bucket_hashes.as_array()
    }

    /// Like [`ItemStore::bucket_hashes`], but includes the older versions.
    pub fn history_bucket_hashes(&self) -> &[u64; BUCKET_COUNT] {
        self.history_bucket_hashes.as_array()
    }

    /// Returns the items in the buckets whose hash differs from a peer's. Buckets missing from `peer_hashes` are
    /// treated as different.
    pub fn differing_items<'a>(&'a self, peer_hashes: &'a [u64]) -> impl Iterator<Item = &'a Item> {
        let own_hashes = self.bucket_hashes();
        self.stored_items()
            .filter(move |stored| peer_hashes.get(stored.bucket) != Some(&own_hashes[stored.bucket]))
            .map(|stored| &stored.item)
    }

    /// Like [`ItemStore::differing_items`], but includes older versions and compares
    /// [`ItemStore::history_bucket_hashes`].
    pub fn differing_entries<'a>(
        &'a self,
        peer_hashes: &'a [u64],
    ) -> impl Iterator<Item = ItemWithHistory<'a>> {
        let own_hashes = self.history_bucket_hashes();
        self.stored_items()
            .filter(move |stored| peer_hashes.get(stored.bucket) != Some(&own_hashes[stored.bucket]))
            .map(StoredItem::entry)
    }

    /// Removes an item's tombstone if its version is `version`. Returns whether it did. Does nothing if the item is set
    /// or has another version.
    pub fn purge(&mut self, kind: Kind, name: &str, version: u64) -> bool {
        let is_this_tombstone =
            self.get(kind, name).is_some_and(|item| !item.is_set() && item.version == version);
        if is_this_tombstone {
            self.remove(kind, name);
        }
        is_this_tombstone
    }

    /// Removes the oldest tombstones of a kind if there are more than `max_tombstones`. Keeps three quarters of that
    /// number, so that purging is rare. Only for kinds whose items are reported again.
    pub fn purge_oldest_tombstones(&mut self, kind: Kind, max_tombstones: usize) {
        let items = &self.items[index_of(kind)];
        if items.len() <= max_tombstones {
            return;
        }
        let tombstones = items.values().map(|stored| &stored.item).filter(|item| !item.is_set());
        let mut tombstones: Vec<(u64, Arc<str>)> =
            tombstones.map(|item| (item.version, item.name.clone())).collect();
        if tombstones.len() <= max_tombstones {
            return;
        }
        tombstones.sort();
        tombstones.truncate(tombstones.len() - max_tombstones * 3 / 4);
        for (_, name) in tombstones {
            self.remove(kind, &name);
        }
    }

    /// Removes an item and its older versions.
    fn remove(&mut self, kind: Kind, name: &str) {
        if let Some(stored) = self.items[index_of(kind)].remove(name) {
            self.bucket_hashes.toggle(stored.bucket, stored.hash);
            self.history_bucket_hashes.toggle(stored.bucket, stored.history_hash);
        }
    }
}
