//! Transfers the differences between two stores in chunks.
//!
//! A chunk covers consecutive whole buckets, as many as fit. It is computed from a single state of the sender's store,
//! so after merging it the receiver has all items that these buckets contained at that time. If a connection breaks,
//! the buckets that were already transferred have equal hashes and are not sent again.

use super::hashes::{digest_of_hashes, BucketHashes};
use super::stored_item::StoredItem;
use super::{ItemStore, BUCKET_COUNT};
use crate::item::Item;
use crate::version_history::{ItemWithHistory, VersionDigest};

/// The differences in the buckets from the requested one up to, but not including, `next_bucket`.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk<T> {
    /// All items in those covered buckets that differ.
    pub items: Vec<T>,
    /// The first bucket that the chunk does not cover; [`BUCKET_COUNT`] if this is the last chunk.
    pub next_bucket: usize,
    /// A bitmap of the covered buckets that differ; empty if none do.
    pub differing_buckets: Vec<u8>,
    /// The digest of the sender's hashes of the covered buckets.
    pub digest: u64,
}

fn is_marked(bitmap: &[u8], bucket: usize) -> bool {
    bitmap.get(bucket / 8).is_some_and(|byte| byte >> (bucket % 8) & 1 == 1)
}

fn mark(bitmap: &mut [u8], bucket: usize) {
    bitmap[bucket / 8] |= 1 << (bucket % 8);
}

/// Computes the expected [`Chunk::digest`] of a completely received chunk. `received` are the bucket hashes of a store
/// that contains only the chunk's items. `requested` are the bucket hashes that the chunk was computed against.
pub fn chunk_digest(
    received: &[u64; BUCKET_COUNT],
    requested: &[u64],
    from_bucket: usize,
    next_bucket: usize,
    differing_buckets: &[u8],
) -> u64 {
    let covered = from_bucket.min(BUCKET_COUNT)..next_bucket.min(BUCKET_COUNT);
    let hash_of = |bucket: usize| {
        if is_marked(differing_buckets, bucket) {
            received[bucket]
        } else {
            requested.get(bucket).copied().unwrap_or_default()
        }
    };
    digest_of_hashes(covered.map(hash_of))
}

impl ItemStore {
    /// Returns the items in the buckets that differ from a peer's, starting at `from_bucket`. The chunk contains whole
    /// buckets of at most `max_bytes` in total, but at least one differing bucket if there is any. Buckets missing from
    /// `peer_hashes` are treated as different.
    pub fn chunk(&self, peer_hashes: &[u64], from_bucket: usize, max_bytes: usize) -> Chunk<&Item> {
        let mut chunk =
            self.chunk_by(&self.bucket_hashes, peer_hashes, from_bucket, max_bytes, |stored| &stored.item);
        chunk.items.retain(|item| item.kind.is_sent_to_gateways());
        chunk
    }

    /// Like [`ItemStore::chunk`], but for control planes: includes older versions and the items that gateways do not
    /// need, and compares [`ItemStore::history_bucket_hashes`].
    pub fn history_chunk(
        &self,
        peer_hashes: &[u64],
        from_bucket: usize,
        max_bytes: usize,
    ) -> Chunk<ItemWithHistory<'_>> {
        self.chunk_by(&self.history_bucket_hashes, peer_hashes, from_bucket, max_bytes, StoredItem::entry)
    }

    fn chunk_by<'a, T>(
        &'a self,
        own_hashes: &BucketHashes,
        peer_hashes: &[u64],
        from_bucket: usize,
        max_bytes: usize,
        to_content: impl Fn(&'a StoredItem) -> T,
    ) -> Chunk<T> {
        let own_hashes = own_hashes.as_array();
        let from_bucket = from_bucket.min(BUCKET_COUNT);
        let bucket_bytes = self.bucket_bytes();
        let (mut next_bucket, mut bytes) = (from_bucket, 0);
        let mut differing_buckets = vec![0; BUCKET_COUNT / 8];
        while next_bucket < BUCKET_COUNT {
            if peer_hashes.get(next_bucket) != Some(&own_hashes[next_bucket]) {
                if bytes > 0 && bytes + bucket_bytes[next_bucket] > max_bytes {
                    break;
                }
                bytes += bucket_bytes[next_bucket];
                mark(&mut differing_buckets, next_bucket);
            }
            next_bucket += 1;
        }
        let differing = self.stored_items().filter(|stored| is_marked(&differing_buckets, stored.bucket));
        let items = differing.map(to_content).collect();
        let digest = digest_of_hashes(own_hashes[from_bucket..next_bucket].iter().copied());
        if differing_buckets.iter().all(|byte| *byte == 0) {
            // An empty bitmap takes no space on the wire; usually no bucket differs.
            differing_buckets = Vec::new();
        }
        Chunk { items, next_bucket, differing_buckets, digest }
    }

    /// The approximate encoded size of each bucket's items and older versions, in bytes.
    fn bucket_bytes(&self) -> [usize; BUCKET_COUNT] {
        let mut bucket_bytes = [0; BUCKET_COUNT];
        for stored in self.stored_items() {
            let history_bytes = stored.older_versions.len() * size_of::<VersionDigest>();
            bucket_bytes[stored.bucket] += stored.item.max_wire_bytes() + history_bytes;
        }
        bucket_bytes
    }
}
