//! What two copies differ in, in pieces: whole buckets, in order, as many as fit. A piece is worked out in one turn, so
//! that whoever has merged it holds all that the other held of these buckets then; buckets that came before a break are
//! equal after it and not sent again.

use super::{ItemStore, Kept, BUCKETS};
use crate::item::Item;
use crate::version_history::Entry;
use xxhash_rust::xxh3::xxh3_64;

/// One piece: what differs in the buckets from the one that was asked for up to `next`.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk<T> {
    pub items: Vec<T>,
    /// The first bucket that is not covered; [`BUCKETS`] when all are.
    pub next_bucket: usize,
    /// A bit for each covered bucket that differs: all that is held in it is among the items.
    pub differing_buckets: Vec<u8>,
    /// Over the hashes of the covered buckets, as they are here.
    pub digest: u64,
}

fn bit(differs: &[u8], bucket: usize) -> bool {
    differs.get(bucket / 8).is_some_and(|byte| byte >> (bucket % 8) & 1 == 1)
}

fn over(hashes: impl Iterator<Item = u64>) -> u64 {
    xxh3_64(&hashes.flat_map(u64::to_le_bytes).collect::<Vec<u8>>())
}

/// What [`Chunk::digest`] must be if a piece has come whole: `given` are the hashes of a ledger that holds the piece's
/// items and nothing else, `sent` those that the piece was worked out against.
pub fn chunk_digest(given: &[u64; BUCKETS], sent: &[u64], from: usize, next: usize, differs: &[u8]) -> u64 {
    let covered = from.min(BUCKETS)..next.min(BUCKETS);
    let hash = |bucket: usize| match bit(differs, bucket) {
        true => given[bucket],
        false => sent.get(bucket).copied().unwrap_or_default(),
    };
    over(covered.map(hash))
}

impl ItemStore {
    /// The items of buckets that differ from another copy's, from a bucket on: whole buckets of at most `most` bytes in
    /// all, but one that differs at least. A bucket that `theirs` is too short for differs.
    pub fn chunk(&self, theirs: &[u64], from: usize, most: usize) -> Chunk<&Item> {
        self.cut(&self.buckets, theirs, from, most, |kept| &kept.item)
    }

    /// As [`ItemStore::piece`], by [`ItemStore::whole_buckets`] and with the older versions.
    pub fn history_chunk(&self, theirs: &[u64], from: usize, most: usize) -> Chunk<Entry<'_>> {
        self.cut(&self.whole, theirs, from, most, Kept::entry)
    }

    fn cut<'a, T>(
        &'a self,
        mine: &[u64; BUCKETS],
        theirs: &[u64],
        from: usize,
        most: usize,
        of: impl Fn(&'a Kept) -> T,
    ) -> Chunk<T> {
        let from = from.min(BUCKETS);
        let mut sizes = [0; BUCKETS];
        for kept in self.kept() {
            sizes[kept.bucket] += kept.item.wire_bytes() + std::mem::size_of_val(kept.past.as_slice());
        }
        let (mut next, mut size, mut differs) = (from, 0, vec![0; BUCKETS / 8]);
        while next < BUCKETS {
            if theirs.get(next) != Some(&mine[next]) {
                if size > 0 && size + sizes[next] > most {
                    break;
                }
                size += sizes[next];
                differs[next / 8] |= 1 << (next % 8);
            }
            next += 1;
        }
        let items = self.kept().filter(|kept| bit(&differs, kept.bucket)).map(of).collect();
        let digest = over(mine[from..next].iter().copied());
        if size == 0 && differs.iter().all(|byte| *byte == 0) {
            differs = Vec::new(); // mostly so, and then it takes no room
        }
        Chunk { items, next_bucket: next, differing_buckets: differs, digest }
    }
}
