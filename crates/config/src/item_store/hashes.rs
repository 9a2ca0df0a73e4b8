//! Hashes that replicas compare to find out which of their items differ. Since processes of different releases compare
//! them, the hashed fields and their order must never change.

use super::BUCKET_COUNT;
use crate::item::Item;
use crate::version_history::VersionDigest;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// The XOR of the item hashes in each bucket; 0 for an empty bucket.
#[derive(Clone, Debug)]
pub(super) struct BucketHashes(Box<[u64; BUCKET_COUNT]>);

impl BucketHashes {
    pub(super) fn new() -> BucketHashes {
        BucketHashes(Box::new([0; BUCKET_COUNT]))
    }

    /// Adds an item's hash to a bucket, or removes it if it was added before.
    pub(super) fn toggle(&mut self, bucket: usize, hash: u64) {
        self.0[bucket] ^= hash;
    }

    pub(super) fn as_array(&self) -> &[u64; BUCKET_COUNT] {
        &self.0
    }

    /// A digest of all bucket hashes.
    pub(super) fn digest(&self) -> u64 {
        digest_of_hashes(self.0.iter().copied())
    }
}

/// Computes a digest of a sequence of hashes.
pub(super) fn digest_of_hashes(hashes: impl Iterator<Item = u64>) -> u64 {
    let bytes: Vec<u8> = hashes.flat_map(u64::to_le_bytes).collect();
    xxh3_64(&bytes)
}

/// Computes the hash of one version of an item.
pub(super) fn item_hash(item: &Item) -> u64 {
    if item.is_removed_backend() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    hasher.update(&[item.kind as u8, u8::from(item.is_set())]);
    hasher.update(&item.version.to_le_bytes());
    hasher.update(&(item.name.len() as u64).to_le_bytes());
    hasher.update(item.name.as_bytes());
    hasher.update(item.value.as_deref().unwrap_or_default());
    hasher.digest()
}

/// Computes the hash of an item including its older versions. `item_hash` is the hash of the newest version.
pub(super) fn history_hash(item_hash: u64, older_versions: &[VersionDigest]) -> u64 {
    if older_versions.is_empty() {
        return item_hash;
    }
    let mut hasher = Xxh3::new();
    hasher.update(&item_hash.to_le_bytes());
    for version_digest in older_versions {
        hasher.update(&version_digest.version.to_le_bytes());
        hasher.update(&version_digest.digest.to_le_bytes());
    }
    hasher.digest()
}

/// Returns the bucket of an item. It depends only on kind and name, so all versions of an item are in the same bucket.
pub(super) fn bucket_of(item: &Item) -> usize {
    let mut hasher = Xxh3::new();
    hasher.update(&[item.kind as u8]);
    hasher.update(item.name.as_bytes());
    hasher.digest() as usize % BUCKET_COUNT
}
