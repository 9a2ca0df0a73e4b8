//! All known items, with hashes that tell where two stores differ.

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

/// How many buckets the items are spread over for comparing stores. Both ends of a connection go by it.
pub const BUCKET_COUNT: usize = 256;

/// All known items, removed ones as tombstones.
///
/// Invariant: without its tombstone a removed item would be brought back by a late copy of an old version. So the
/// tombstone of a durable item is taken out only by [`ItemStore::purge`], when no such copy is left. Of backends the
/// oldest tombstones are dropped ([`ItemStore::purge_oldest_tombstones`]): the platform's next report corrects what that brings
/// back.
///
/// Items are merged one by one: the higher version wins; of equal versions that differ, the greater by (is set, bytes).
/// So all replicas converge, in whatever order they learn of items. Consensus commits one content alone for a version of
/// a durable item, so only backends ever need the second rule.
///
/// Of durable items up to [`MAX_OLDER_VERSIONS`](crate::MAX_OLDER_VERSIONS) older committed versions are remembered by
/// their digests, so that a repeated change is recognized. Data planes compare stores by the newest versions alone
/// ([`ItemStore::bucket_hashes`]), control planes by the older ones too ([`ItemStore::history_bucket_hashes`]).
#[derive(Clone, Debug)]
pub struct ItemStore {
    /// By kind (at its [`index_of`]), then by name.
    items: [BTreeMap<Arc<str>, StoredItem>; Kind::ALL.len()],
    /// By kind, as `items`.
    highest_versions: [u64; Kind::ALL.len()],
    /// Over the newest versions.
    bucket_hashes: BucketHashes,
    /// Over the newest versions and the older ones.
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
    /// An empty store.
    pub fn new() -> ItemStore {
        ItemStore {
            items: Default::default(),
            highest_versions: [0; Kind::ALL.len()],
            bucket_hashes: BucketHashes::new(),
            history_bucket_hashes: BucketHashes::new(),
        }
    }

    /// Merges an item that another replica holds; whether that changed its newest version. An older one is remembered.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_with_history(item, &[]) == MergeOutcome::NewestChanged
    }

    /// Merges an item that another replica holds, and its older versions.
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

    /// Whether an item of an operator's change has an effect: no version as high is known. To be asked before such an
    /// item is merged, as `merge` lets one of two equal versions win where a change must have no effect.
    pub fn is_newer(&self, item: &Item) -> bool {
        self.get(item.kind, &item.name).is_none_or(|known| known.version < item.version)
    }

    /// Merges an item of an operator's change if its version is higher than the known one; whether it was.
    pub fn apply(&mut self, item: Item) -> bool {
        self.is_newer(&item) && self.merge(item)
    }

    /// How an item of a change compares with what is committed. Not for backends: their last report always wins.
    pub fn version_status(&self, item: &Item) -> VersionStatus {
        let stored = self.items[index_of(item.kind)].get(&item.name);
        stored.map_or(VersionStatus::Undecided, |stored| stored.version_status(item))
    }

    /// The item, be it set or removed.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Item> {
        self.items[index_of(kind)].get(name).map(|stored| &stored.item)
    }

    /// The item with its older versions.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<ItemWithHistory<'_>> {
        self.items[index_of(kind)].get(name).map(StoredItem::entry)
    }

    /// The older versions of an item that are remembered, by ascending number.
    pub fn older_versions(&self, kind: Kind, name: &str) -> &[VersionDigest] {
        self.items[index_of(kind)].get(name).map_or(&[], |stored| &stored.older_versions)
    }

    /// The items of a kind, removed ones too, by name.
    pub fn items_of(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items[index_of(kind)].values().map(|stored| &stored.item)
    }

    /// All items, removed ones too, by kind and name.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.stored_items().map(|stored| &stored.item)
    }

    /// All items with their older versions, by kind and name.
    pub fn entries(&self) -> impl Iterator<Item = ItemWithHistory<'_>> {
        self.stored_items().map(StoredItem::entry)
    }

    fn stored_items(&self) -> impl Iterator<Item = &StoredItem> {
        self.items.iter().flat_map(BTreeMap::values)
    }

    /// How many items are known, removed ones too.
    pub fn len(&self) -> usize {
        self.items.iter().map(BTreeMap::len).sum()
    }

    /// Whether no item is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The highest version known of a kind; 0 where there is none.
    pub fn highest_version(&self, kind: Kind) -> u64 {
        self.highest_versions[index_of(kind)]
    }

    /// One number for all newest versions: equal for equal stores, and different for others but for hash collisions.
    pub fn digest(&self) -> u64 {
        self.bucket_hashes.digest()
    }

    /// As [`ItemStore::digest`], over the older versions too.
    pub fn history_digest(&self) -> u64 {
        self.history_bucket_hashes.digest()
    }

    /// A hash over the newest versions of each bucket's items; 0 for an empty bucket.
    pub fn bucket_hashes(&self) -> &[u64; BUCKET_COUNT] {
        self.bucket_hashes.as_array()
    }

    /// As [`ItemStore::bucket_hashes`], over the older versions too.
    pub fn history_bucket_hashes(&self) -> &[u64; BUCKET_COUNT] {
        self.history_bucket_hashes.as_array()
    }

    /// The items in the buckets whose hash differs from another store's. A bucket that `their_hashes` is too short for
    /// differs.
    pub fn differing_items<'a>(&'a self, their_hashes: &'a [u64]) -> impl Iterator<Item = &'a Item> {
        let own_hashes = self.bucket_hashes();
        self.stored_items()
            .filter(move |stored| their_hashes.get(stored.bucket) != Some(&own_hashes[stored.bucket]))
            .map(|stored| &stored.item)
    }

    /// As [`ItemStore::differing_items`], by [`ItemStore::history_bucket_hashes`] and with the older versions.
    pub fn differing_entries<'a>(
        &'a self,
        their_hashes: &'a [u64],
    ) -> impl Iterator<Item = ItemWithHistory<'a>> {
        let own_hashes = self.history_bucket_hashes();
        self.stored_items()
            .filter(move |stored| their_hashes.get(stored.bucket) != Some(&own_hashes[stored.bucket]))
            .map(StoredItem::entry)
    }

    /// Purges an item's tombstone, if the newest version known of it is a removal with this number; whether it was.
    pub fn purge(&mut self, kind: Kind, name: &str, version: u64) -> bool {
        let is_this_tombstone =
            self.get(kind, name).is_some_and(|item| !item.is_set() && item.version == version);
        if is_this_tombstone {
            self.forget(kind, name);
        }
        is_this_tombstone
    }

    /// Purges the oldest tombstones of a kind where there are more than `max_tombstones`. Three quarters of that many
    /// are left, so that this is rare. Only for kinds whose items are reported again.
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
            self.forget(kind, &name);
        }
    }

    /// Takes an item out, with all that is known of it.
    fn forget(&mut self, kind: Kind, name: &str) {
        if let Some(stored) = self.items[index_of(kind)].remove(name) {
            self.bucket_hashes.toggle(stored.bucket, stored.hash);
            self.history_bucket_hashes.toggle(stored.bucket, stored.history_hash);
        }
    }
}
