//! What two stores differ in, in chunks: whole buckets, in order, as many as fit. A chunk is computed at once, so after
//! merging it the receiver holds all that the sender held of these buckets then; buckets that were transferred before
//! a connection broke are equal afterwards and not sent again.

use super::hashes::{digest_of_hashes, BucketHashes};
use super::stored_item::StoredItem;
use super::{ItemStore, BUCKET_COUNT};
use crate::item::Item;
use crate::version_history::{ItemWithHistory, VersionDigest};

/// One chunk: what differs in the buckets from the one that was asked for up to `next_bucket`.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk<T> {
    /// All items of the covered buckets that differ.
    pub items: Vec<T>,
    /// The first bucket that is not covered; [`BUCKET_COUNT`] when all are.
    pub next_bucket: usize,
    /// A bitmap of the covered buckets that differ; empty if none does.
    pub differing_buckets: Vec<u8>,
    /// Over the sender's hashes of the covered buckets.
    pub digest: u64,
}

fn is_marked(bitmap: &[u8], bucket: usize) -> bool {
    bitmap.get(bucket / 8).is_some_and(|byte| byte >> (bucket % 8) & 1 == 1)
}

fn mark(bitmap: &mut [u8], bucket: usize) {
    bitmap[bucket / 8] |= 1 << (bucket % 8);
}

/// What [`Chunk::digest`] must be if a chunk was received completely: `received` are the hashes of a store that holds
/// the chunk's items and nothing else, `requested` those that the chunk was computed against.
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
    /// The items of buckets that differ from another store's, from a bucket on: whole buckets of at most `max_bytes`
    /// in all, but at least one that differs. A bucket that `their_hashes` is too short for differs.
    pub fn chunk(&self, their_hashes: &[u64], from_bucket: usize, max_bytes: usize) -> Chunk<&Item> {
        self.chunk_by(&self.bucket_hashes, their_hashes, from_bucket, max_bytes, |stored| &stored.item)
    }

    /// As [`ItemStore::chunk`], by [`ItemStore::history_bucket_hashes`] and with the older versions.
    pub fn history_chunk(
        &self,
        their_hashes: &[u64],
        from_bucket: usize,
        max_bytes: usize,
    ) -> Chunk<ItemWithHistory<'_>> {
        self.chunk_by(&self.history_bucket_hashes, their_hashes, from_bucket, max_bytes, StoredItem::entry)
    }

    fn chunk_by<'a, T>(
        &'a self,
        own_hashes: &BucketHashes,
        their_hashes: &[u64],
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
            if their_hashes.get(next_bucket) != Some(&own_hashes[next_bucket]) {
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
            // The usual case, which takes no bytes on the wire.
            differing_buckets = Vec::new();
        }
        Chunk { items, next_bucket, differing_buckets, digest }
    }

    /// The size of each bucket's content. Bytes.
    fn bucket_bytes(&self) -> [usize; BUCKET_COUNT] {
        let mut bucket_bytes = [0; BUCKET_COUNT];
        for stored in self.stored_items() {
            let history_bytes = stored.older_versions.len() * size_of::<VersionDigest>();
            bucket_bytes[stored.bucket] += stored.item.max_wire_bytes() + history_bytes;
        }
        bucket_bytes
    }
}
