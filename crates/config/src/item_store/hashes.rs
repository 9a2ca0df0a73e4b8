//! Hashes by which replicas find out where their items differ. They are compared between processes and machines, so
//! what is hashed, and in which order, never changes.

use super::BUCKET_COUNT;
use crate::item::Item;
use crate::version_history::VersionDigest;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// For each bucket, the xor of the hashes of its items; 0 for an empty bucket.
#[derive(Clone, Debug)]
pub(super) struct BucketHashes(Box<[u64; BUCKET_COUNT]>);

impl BucketHashes {
    pub(super) fn new() -> BucketHashes {
        BucketHashes(Box::new([0; BUCKET_COUNT]))
    }

    /// Adds an item's hash to its bucket, or takes it out again.
    pub(super) fn toggle(&mut self, bucket: usize, hash: u64) {
        self.0[bucket] ^= hash;
    }

    pub(super) fn as_array(&self) -> &[u64; BUCKET_COUNT] {
        &self.0
    }

    /// One number for all buckets.
    pub(super) fn digest(&self) -> u64 {
        digest_of_hashes(self.0.iter().copied())
    }
}

/// One number for a sequence of hashes.
pub(super) fn digest_of_hashes(hashes: impl Iterator<Item = u64>) -> u64 {
    let bytes: Vec<u8> = hashes.flat_map(u64::to_le_bytes).collect();
    xxh3_64(&bytes)
}

/// The hash of an item's newest version.
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

/// The hash of an item with its older versions; `item_hash` is that of the newest one.
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

/// The bucket of an item: by kind and name alone, so that all versions of an item share one.
pub(super) fn bucket_of(item: &Item) -> usize {
    let mut hasher = Xxh3::new();
    hasher.update(&[item.kind as u8]);
    hasher.update(item.name.as_bytes());
    hasher.digest() as usize % BUCKET_COUNT
}
