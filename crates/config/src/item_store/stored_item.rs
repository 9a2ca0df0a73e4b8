//! An item as the store holds it: with its older versions, and with hashes that are kept up to date.

use super::hashes::{bucket_of, history_hash, item_hash};
use crate::item::Item;
use crate::version_history::{
    merge_older_versions, ItemWithHistory, MergeOutcome, VersionDigest, VersionStatus, MAX_OLDER_VERSIONS,
};

#[derive(Clone, Debug)]
pub(super) struct StoredItem {
    pub(super) item: Item,
    pub(super) older_versions: Vec<VersionDigest>,
    /// Over the newest version.
    pub(super) hash: u64,
    /// Over the newest version and the older ones.
    pub(super) history_hash: u64,
    pub(super) bucket: usize,
}

impl StoredItem {
    pub(super) fn new(item: Item, older_versions: &[VersionDigest]) -> StoredItem {
        let (hash, bucket) = (item_hash(&item), bucket_of(&item));
        let mut stored = StoredItem { item, older_versions: Vec::new(), hash, history_hash: hash, bucket };
        stored.remember(older_versions);
        stored.history_hash = history_hash(hash, &stored.older_versions);
        stored
    }

    pub(super) fn entry(&self) -> ItemWithHistory<'_> {
        ItemWithHistory { item: &self.item, older_versions: &self.older_versions }
    }

    /// Merges another replica's newest version of the same item, and its older ones.
    pub(super) fn merge(&mut self, item: Item, older_versions: &[VersionDigest]) -> MergeOutcome {
        let is_newest = (item.version, &item.value) > (self.item.version, &self.item.value);
        if !is_newest && item.version == self.item.version && older_versions.is_empty() {
            return MergeOutcome::Unchanged;
        }
        let older = if is_newest { std::mem::replace(&mut self.item, item) } else { item };
        let gained_versions = self.remember(older_versions);
        let gained_older = self.remember(&[older.version_digest()]);
        if !is_newest && !gained_versions && !gained_older {
            return MergeOutcome::Unchanged;
        }
        self.hash = item_hash(&self.item);
        self.history_hash = history_hash(self.hash, &self.older_versions);
        if is_newest {
            MergeOutcome::NewestChanged
        } else {
            MergeOutcome::HistoryChanged
        }
    }

    /// Remembers older versions, for durable kinds alone; whether any was new. Their hash is for the caller to renew.
    fn remember(&mut self, versions: &[VersionDigest]) -> bool {
        self.item.kind.is_durable()
            && merge_older_versions(&mut self.older_versions, self.item.version, versions)
    }

    /// How a version of the same item compares with those that are committed.
    pub(super) fn version_status(&self, item: &Item) -> VersionStatus {
        let same_content = if item.version > self.item.version {
            return VersionStatus::Undecided;
        } else if item.version == self.item.version {
            item.value == self.item.value
        } else {
            let mut older_versions = self.older_versions.iter();
            match older_versions.find(|version_digest| version_digest.version == item.version) {
                Some(version_digest) => *version_digest == item.version_digest(),
                None if self.has_forgotten(item.version) => return VersionStatus::Pruned,
                None => return VersionStatus::Undecided,
            }
        };
        if same_content {
            VersionStatus::SameContent
        } else {
            VersionStatus::DifferentContent
        }
    }

    /// Whether a version is so old that it would not be remembered had it been committed.
    fn has_forgotten(&self, version: u64) -> bool {
        self.older_versions.len() == MAX_OLDER_VERSIONS && version < self.older_versions[0].version
    }
}
