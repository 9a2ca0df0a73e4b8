//! All items known, with hashes that tell where two copies of a ledger differ.

mod chunks;

use crate::item::{Item, Kind};
use crate::version_history::{unite, Entry, MergeOutcome, VersionDigest, VersionStatus, MAX_OLDER_VERSIONS};
use std::collections::btree_map;
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

pub use chunks::{chunk_digest, Chunk};

/// How many buckets the items are spread over for comparing copies.
pub const BUCKETS: usize = 256;

/// All items known, dropped ones as tombstones. Danger: without its tombstone a late copy of an old version would bring a
/// dropped item back. So one of the configuration is taken out only by [`ItemStore::forget`], when no such copy is left;
/// of backends that are gone the oldest are: whoever reads the platform's list puts that right.
///
/// Merge is by item: the higher edition prevails; of equal editions that differ, the greater by (is set,
/// bytes), so that all copies come to agree in whatever order they hear of them. For durable kinds the register
/// lets one content alone be decided for an edition, so that only backends ever need the second rule.
///
/// Of durable kinds up to [`MAX_OLDER_VERSIONS`] older decided versions are remembered by their marks: a call that comes
/// again is known by them. Gateways compare copies by the newest versions alone ([`ItemStore::buckets`]), control
/// processes by the older ones too ([`ItemStore::whole_buckets`]).
#[derive(Clone, Debug)]
pub struct ItemStore {
    /// By kind, at `place(kind)`.
    items: [BTreeMap<Arc<str>, Kept>; Kind::ALL.len()],
    highest_version: [u64; Kind::ALL.len()],
    /// The xor of the hashes of a bucket's items; 0 for an empty one.
    buckets: Box<[u64; BUCKETS]>,
    /// The same over items with their older versions.
    whole: Box<[u64; BUCKETS]>,
}

#[derive(Clone, Debug)]
struct Kept {
    item: Item,
    past: Vec<VersionDigest>,
    hash: u64,
    whole: u64,
    bucket: usize,
}

impl Kept {
    fn entry(&self) -> Entry<'_> {
        Entry { item: &self.item, older_versions: &self.past }
    }
}

fn place(kind: Kind) -> usize {
    kind as usize - 1
}

/// The same in every process and on every machine, as copies compare by it.
fn hash(item: &Item) -> u64 {
    // Backends that are gone are forgotten one day: whether a copy has done so must not show.
    if item.kind == Kind::Backend && !item.is_set() {
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

/// `hash` with the older versions.
fn whole(hash: u64, past: &[VersionDigest]) -> u64 {
    if past.is_empty() {
        return hash;
    }
    let mut hasher = Xxh3::new();
    hasher.update(&hash.to_le_bytes());
    for version_digest in past {
        hasher.update(&version_digest.version.to_le_bytes());
        hasher.update(&version_digest.digest.to_le_bytes());
    }
    hasher.digest()
}

/// One number for all buckets.
fn digest(buckets: &[u64; BUCKETS]) -> u64 {
    let mut bytes = [0; BUCKETS * 8];
    for (room, hash) in bytes.chunks_exact_mut(8).zip(buckets) {
        room.copy_from_slice(&hash.to_le_bytes());
    }
    xxh3_64(&bytes)
}

/// By kind and name alone, so that all versions of an item share a bucket.
fn bucket(item: &Item) -> usize {
    let mut hasher = Xxh3::new();
    hasher.update(&[item.kind as u8]);
    hasher.update(item.name.as_bytes());
    hasher.digest() as usize % BUCKETS
}

impl Default for ItemStore {
    fn default() -> ItemStore {
        ItemStore::new()
    }
}

impl ItemStore {
    pub fn new() -> ItemStore {
        let buckets = || Box::new([0; BUCKETS]);
        ItemStore {
            items: Default::default(),
            highest_version: [0; Kind::ALL.len()],
            buckets: buckets(),
            whole: buckets(),
        }
    }

    /// Takes what another copy knows of an item; whether that changed its newest version. An older one is remembered.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_with_history(item, &[]) == MergeOutcome::NewestChanged
    }

    /// Takes what another copy knows of an item and of its older versions.
    pub fn merge_with_history(&mut self, item: Item, past: &[VersionDigest]) -> MergeOutcome {
        let place = place(item.kind);
        self.highest_version[place] = self.highest_version[place].max(item.version);
        let keeps_past = item.kind.is_durable();
        let btree_map::Entry::Occupied(mut occupied) = self.items[place].entry(item.name.clone()) else {
            let mut older = Vec::new();
            if keeps_past {
                unite(&mut older, item.version, past);
            }
            let (hash, bucket) = (hash(&item), bucket(&item));
            let whole = whole(hash, &older);
            self.buckets[bucket] ^= hash;
            self.whole[bucket] ^= whole;
            let name = item.name.clone();
            self.items[place].insert(name, Kept { item, past: older, hash, whole, bucket });
            return MergeOutcome::NewestChanged;
        };
        let kept = occupied.get_mut();
        let is_news = (item.version, &item.value) > (kept.item.version, &kept.item.value);
        if !is_news && item.version == kept.item.version && past.is_empty() {
            return MergeOutcome::Unchanged;
        }
        let (mut version_digest, was) = (item.version_digest(), kept.hash);
        if is_news {
            version_digest = std::mem::replace(&mut kept.item, item).version_digest();
            kept.hash = hash(&kept.item);
            self.buckets[kept.bucket] ^= was ^ kept.hash;
        }
        let below = kept.item.version;
        let remembers = keeps_past
            && (unite(&mut kept.past, below, past) | unite(&mut kept.past, below, &[version_digest]));
        if !is_news && !remembers {
            return MergeOutcome::Unchanged;
        }
        self.whole[kept.bucket] ^= kept.whole;
        kept.whole = whole(kept.hash, &kept.past);
        self.whole[kept.bucket] ^= kept.whole;
        if is_news {
            MergeOutcome::NewestChanged
        } else {
            MergeOutcome::HistoryChanged
        }
    }

    /// How an item of a call stands to what is decided. Not for backends, of which the last word is always taken.
    pub fn version_status(&self, item: &Item) -> VersionStatus {
        let Some(kept) = self.items[place(item.kind)].get(&item.name) else {
            return VersionStatus::Undecided;
        };
        if kept.item.version < item.version {
            return VersionStatus::Undecided;
        }
        if kept.item.version == item.version {
            return if kept.item.value == item.value {
                VersionStatus::SameContent
            } else {
                VersionStatus::DifferentContent
            };
        }
        match kept.past.iter().find(|version_digest| version_digest.version == item.version) {
            Some(version_digest) if *version_digest == item.version_digest() => VersionStatus::SameContent,
            Some(_) => VersionStatus::DifferentContent,
            // Whether it was decided once is forgotten.
            None if kept.past.len() == MAX_OLDER_VERSIONS && item.version < kept.past[0].version => {
                VersionStatus::Forgotten
            }
            None => VersionStatus::Undecided,
        }
    }

    /// The older versions that are remembered of an item, the lowest first.
    pub fn older_versions(&self, kind: Kind, name: &str) -> &[VersionDigest] {
        self.items[place(kind)].get(name).map_or(&[], |kept| &kept.past)
    }

    /// The item with its older versions.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<Entry<'_>> {
        self.items[place(kind)].get(name).map(Kept::entry)
    }

    /// All items with their older versions, by kind and name.
    pub fn entries(&self) -> impl Iterator<Item = Entry<'_>> {
        self.kept().map(Kept::entry)
    }

    /// Whether an item of an operator's call has an effect: no version as high is known. To be asked before
    /// such an item is merged, as `merge` lets one of two equal editions win where a call must change nothing.
    pub fn is_newer(&self, item: &Item) -> bool {
        self.get(item.kind, &item.name).is_none_or(|known| known.version < item.version)
    }

    /// Merges an item of an operator's call, which only a higher edition lets have an effect; whether it had.
    pub fn apply(&mut self, item: Item) -> bool {
        self.is_newer(&item) && self.merge(item)
    }

    /// The item, be it set or dropped.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Item> {
        self.items[place(kind)].get(name).map(|kept| &kept.item)
    }

    /// The items of a kind, dropped ones too, by name.
    pub fn items_of(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items[place(kind)].values().map(|kept| &kept.item)
    }

    /// All items, dropped ones too, by kind and name.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.kept().map(|kept| &kept.item)
    }

    fn kept(&self) -> impl Iterator<Item = &Kept> {
        self.items.iter().flat_map(BTreeMap::values)
    }

    /// How many items are known, dropped ones too.
    pub fn len(&self) -> usize {
        self.items.iter().map(BTreeMap::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One number for all newest versions: equal for equal ledgers, and for others but by a rare chance.
    pub fn digest(&self) -> u64 {
        digest(&self.buckets)
    }

    /// The same with the older versions.
    pub fn history_digest(&self) -> u64 {
        digest(&self.whole)
    }

    /// A hash for each bucket of items; 0 for an empty one.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// As [`ItemStore::buckets`], with the older versions.
    pub fn history_buckets(&self) -> &[u64; BUCKETS] {
        &self.whole
    }

    /// The items in the buckets whose hash differs from another copy's. A bucket that `theirs` is too short
    /// for differs.
    pub fn differing<'a>(&'a self, theirs: &'a [u64]) -> impl Iterator<Item = &'a Item> {
        self.kept()
            .filter(move |kept| theirs.get(kept.bucket) != Some(&self.buckets[kept.bucket]))
            .map(|kept| &kept.item)
    }

    /// As [`ItemStore::differing`], with the older versions.
    pub fn history_differing<'a>(&'a self, theirs: &'a [u64]) -> impl Iterator<Item = Entry<'a>> {
        self.kept()
            .filter(move |kept| theirs.get(kept.bucket) != Some(&self.whole[kept.bucket]))
            .map(Kept::entry)
    }

    /// Forgets that an item was dropped, if that is what is known of it and by this very version; whether it was.
    pub fn purge(&mut self, kind: Kind, name: &str, version: u64) -> bool {
        let items = &mut self.items[place(kind)];
        if items.get(name).is_none_or(|kept| kept.item.is_set() || kept.item.version != version) {
            return false;
        }
        if let Some(kept) = items.remove(name) {
            self.buckets[kept.bucket] ^= kept.hash;
            self.whole[kept.bucket] ^= kept.whole;
        }
        true
    }

    /// Forgets the oldest dropped items of a kind, beyond so many. For kinds alone that somebody tells anew.
    pub fn purge_dropped(&mut self, kind: Kind, most: usize) {
        let items = &mut self.items[place(kind)];
        if items.len() <= most {
            return;
        }
        let mut dropped: Vec<(u64, Arc<str>)> = items
            .values()
            .filter(|kept| !kept.item.is_set())
            .map(|kept| (kept.item.version, kept.item.name.clone()))
            .collect();
        // By a quarter at a time, so that this is rare.
        if dropped.len() > most {
            dropped.sort();
            dropped.truncate(dropped.len() - most * 3 / 4);
            for (_, name) in dropped {
                if let Some(kept) = items.remove(&name) {
                    self.buckets[kept.bucket] ^= kept.hash;
                    self.whole[kept.bucket] ^= kept.whole;
                }
            }
        }
    }

    /// The highest edition known of a kind; 0 where there is none.
    pub fn highest_version(&self, kind: Kind) -> u64 {
        self.highest_version[place(kind)]
    }
}

#[cfg(test)]
mod forgetting {
    use super::*;

    /// Whether a copy has forgotten a backend that is gone does not show in its hashes, and what is kept is bounded.
    #[test]
    fn backends_that_are_gone_are_forgotten_without_a_trace() {
        let item = |n: u64, value: Option<&'static str>| Item {
            kind: Kind::Backend,
            name: format!("b{n}").into(),
            version: n + 1,
            value: value.map(bytes::Bytes::from),
        };
        let (mut one, mut two) = (ItemStore::new(), ItemStore::new());
        for n in 0..100 {
            one.merge(item(n, Some("{}")));
            one.merge(Item { version: 1_000 + n, ..item(n, None) });
        }
        for item_store in [&mut one, &mut two] {
            item_store.merge(item(200, Some("{}")));
        }
        assert_eq!(one.digest(), two.digest());
        one.purge_dropped(Kind::Backend, 40);
        assert_eq!((one.digest(), one.len()), (two.digest(), 31));
        assert!(one.get(Kind::Backend, "b99").is_some() && one.get(Kind::Backend, "b0").is_none());
    }
}
