//! The store's representation of an item, with its older versions and cached hashes.

use super::hashes::{bucket_of, history_hash, item_hash};
use crate::item::Item;
use crate::version_history::{
    merge_older_versions, ItemWithHistory, MergeOutcome, VersionDigest, VersionStatus, MAX_OLDER_VERSIONS,
};

#[derive(Clone, Debug)]
pub(super) struct StoredItem {
    pub(super) item: Item,
    pub(super) older_versions: Vec<VersionDigest>,
    /// The hash of the newest version as compared with gateways; 0 if the item is not sent to them.
    pub(super) hash: u64,
    /// The hash of the newest and the older versions.
    pub(super) history_hash: u64,
    pub(super) bucket: usize,
}

impl StoredItem {
    pub(super) fn new(item: Item, older_versions: &[VersionDigest]) -> StoredItem {
        let bucket = bucket_of(&item);
        let mut stored = StoredItem { item, older_versions: Vec::new(), hash: 0, history_hash: 0, bucket };
        stored.add_older_versions(older_versions);
        stored.update_hashes();
        stored
    }

    pub(super) fn entry(&self) -> ItemWithHistory<'_> {
        ItemWithHistory { item: &self.item, older_versions: &self.older_versions }
    }

    /// Merges another replica's newest version of the same item, and its older versions.
    pub(super) fn merge(&mut self, item: Item, older_versions: &[VersionDigest]) -> MergeOutcome {
        let is_newest = (item.version, &item.value) > (self.item.version, &self.item.value);
        if !is_newest && item.version == self.item.version && older_versions.is_empty() {
            return MergeOutcome::Unchanged;
        }
        let older = if is_newest { std::mem::replace(&mut self.item, item) } else { item };
        let has_new_versions = self.add_older_versions(older_versions);
        let is_older_new = self.add_older_versions(&[older.version_digest()]);
        if !is_newest && !has_new_versions && !is_older_new {
            return MergeOutcome::Unchanged;
        }
        self.update_hashes();
        if is_newest {
            MergeOutcome::NewestChanged
        } else {
            MergeOutcome::HistoryChanged
        }
    }

    fn update_hashes(&mut self) {
        let newest_hash = item_hash(&self.item);
        self.hash = if self.item.kind.is_sent_to_gateways() { newest_hash } else { 0 };
        self.history_hash = history_hash(newest_hash, &self.older_versions);
    }

    /// Adds older versions if the item's kind is durable. Returns whether any of them was new. The caller must update
    /// the hashes.
    fn add_older_versions(&mut self, versions: &[VersionDigest]) -> bool {
        self.item.kind.is_durable()
            && merge_older_versions(&mut self.older_versions, self.item.version, versions)
    }

    /// Compares a version of the same item with the committed versions.
    pub(super) fn version_status(&self, item: &Item) -> VersionStatus {
        let same_content = if item.version > self.item.version {
            return VersionStatus::Undecided;
        } else if item.version == self.item.version {
            item.value == self.item.value
        } else {
            let mut older_versions = self.older_versions.iter();
            match older_versions.find(|version_digest| version_digest.version == item.version) {
                Some(version_digest) => *version_digest == item.version_digest(),
                None if self.is_pruned(item.version) => return VersionStatus::Pruned,
                None => return VersionStatus::Undecided,
            }
        };
        if same_content {
            VersionStatus::SameContent
        } else {
            VersionStatus::DifferentContent
        }
    }

    /// Whether a version is so old that it would have been pruned from `older_versions` if it had been committed.
    fn is_pruned(&self, version: u64) -> bool {
        self.older_versions.len() == MAX_OLDER_VERSIONS && version < self.older_versions[0].version
    }
}
