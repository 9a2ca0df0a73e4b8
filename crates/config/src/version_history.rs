//! Older decided versions of an item, and the form in which an item and these go to disk.

use crate::item::{Item, Kind};
use bytes::Bytes;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// So many older versions of an item are remembered.
pub const MAX_OLDER_VERSIONS: usize = 64;

/// One decided version of an item: its number, and by what its content is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionDigest {
    pub version: u64,
    /// The hash of the content, the same on every machine.
    pub digest: u128,
}

impl Item {
    pub fn version_digest(&self) -> VersionDigest {
        let mut hasher = Xxh3::new();
        hasher.update(&[u8::from(self.is_set())]);
        hasher.update(self.value.as_deref().unwrap_or_default());
        VersionDigest { version: self.version, digest: hasher.digest128() }
    }
}

/// An item with the older versions that are remembered of it, by their numbers, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry<'a> {
    pub item: &'a Item,
    pub older_versions: &'a [VersionDigest],
}

/// How an item of a call stands to what is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatus {
    /// Nothing is decided for this version.
    Undecided,
    /// It is decided with this content.
    SameContent,
    /// It is decided with another content.
    DifferentContent,
    /// It is below all that is remembered: it has no effect, and nobody can tell what it once said.
    Forgotten,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    Unchanged,
    /// Older versions alone: the record on disk changes, what is in force does not.
    HistoryChanged,
    /// The newest version.
    NewestChanged,
}

/// Puts `more` among the older versions and keeps the highest; whether that changed them. A union, so copies come
/// to agree in whatever order they hear of versions.
pub(crate) fn unite(past: &mut Vec<VersionDigest>, below: u64, more: &[VersionDigest]) -> bool {
    let was = past.clone();
    past.extend(more.iter().filter(|version_digest| version_digest.version < below));
    past.sort_unstable_by(|a, b| b.cmp(a));
    // Of one number two contents never are decided; should they be, all copies keep the same.
    past.dedup_by_key(|version_digest| version_digest.version);
    past.truncate(MAX_OLDER_VERSIONS);
    past.reverse();
    *past != was
}

/// The bit of a record's third part that tells of a value, and the one that tells of older versions.
const SET: u8 = 1;
const WITH_PAST: u8 = 2;

/// The key under which an item is kept on disk.
pub fn encode_key(kind: Kind, name: &str) -> Vec<u8> {
    let mut key = vec![kind as u8];
    key.extend_from_slice(name.as_bytes());
    key
}

/// The record of an item with its older versions. An empty value takes a record away.
pub fn encode_record(entry: Entry) -> (Vec<u8>, Vec<u8>) {
    let Entry { item, older_versions: past } = entry;
    let key = encode_key(item.kind, &item.name);
    // Of a backend that is gone nothing is kept.
    if item.kind == Kind::Backend && !item.is_set() {
        return (key, Vec::new());
    }
    let mut value = item.version.to_be_bytes().to_vec();
    value.push(if item.is_set() { SET } else { 0 } | if past.is_empty() { 0 } else { WITH_PAST });
    if !past.is_empty() {
        value.push(past.len() as u8);
        for version_digest in past {
            value.extend_from_slice(&version_digest.version.to_be_bytes());
            value.extend_from_slice(&version_digest.digest.to_be_bytes());
        }
    }
    value.extend_from_slice(item.value.as_deref().unwrap_or_default());
    (key, value)
}

/// Reads a record back, also one that was written before older versions were remembered; None for one that is no item.
pub fn decode_record(key: &[u8], value: &[u8]) -> Option<(Item, Vec<VersionDigest>)> {
    let (kind, name) = key.split_first()?;
    let kind = Kind::from_u8(*kind)?;
    let (version, rest) = value.split_first_chunk::<8>()?;
    let (flags, mut rest) = rest.split_first()?;
    let mut past = Vec::new();
    if flags & WITH_PAST != 0 {
        let (count, versions) = rest.split_first()?;
        rest = versions;
        for _ in 0..*count {
            let (version, after) = rest.split_first_chunk::<8>()?;
            let (digest, after) = after.split_first_chunk::<16>()?;
            past.push(VersionDigest {
                version: u64::from_be_bytes(*version),
                digest: u128::from_be_bytes(*digest),
            });
            rest = after;
        }
    }
    let item = Item {
        kind,
        name: Arc::from(std::str::from_utf8(name).ok()?),
        version: u64::from_be_bytes(*version),
        value: (flags & SET != 0).then(|| Bytes::copy_from_slice(rest)),
    };
    Some((item, past))
}
