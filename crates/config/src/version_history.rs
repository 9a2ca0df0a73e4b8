//! Older committed versions of an item: known by a digest of their content, so that a repeated change is recognized.

use crate::item::Item;
use xxhash_rust::xxh3::Xxh3;

/// How many older versions of an item are remembered.
pub const MAX_OLDER_VERSIONS: usize = 64;

/// One committed version of an item: its number and the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionDigest {
    /// The version's number.
    pub version: u64,
    /// XXH3-128 over whether the item is set and over its value; the same on every machine.
    pub digest: u128,
}

impl Item {
    /// The item's version and the digest of its content.
    pub fn version_digest(&self) -> VersionDigest {
        let mut hasher = Xxh3::new();
        hasher.update(&[u8::from(self.is_set())]);
        hasher.update(self.value.as_deref().unwrap_or_default());
        VersionDigest { version: self.version, digest: hasher.digest128() }
    }
}

/// An item with the older versions of it that are remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ItemWithHistory<'a> {
    /// The newest version.
    pub item: &'a Item,
    /// The older ones, by ascending number.
    pub older_versions: &'a [VersionDigest],
}

/// How an item of a change compares with the versions that are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatus {
    /// Nothing is committed for this version.
    Undecided,
    /// It is committed with this content.
    SameContent,
    /// It is committed with another content.
    DifferentContent,
    /// It is below all versions that are remembered: it has no effect, and its content is no longer known.
    Pruned,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing.
    Unchanged,
    /// Older versions alone: the record on disk changes, what is in force does not.
    HistoryChanged,
    /// The newest version.
    NewestChanged,
}

/// Adds those of `added` that are below the version `newest` to the older versions, and keeps the highest
/// [`MAX_OLDER_VERSIONS`]; whether that changed them. This is a union of sets, so replicas converge in whatever order
/// they learn of versions.
pub(crate) fn merge_older_versions(
    older_versions: &mut Vec<VersionDigest>,
    newest: u64,
    added: &[VersionDigest],
) -> bool {
    let before = older_versions.clone();
    older_versions.extend(added.iter().filter(|version_digest| version_digest.version < newest));
    older_versions.sort_unstable_by(|a, b| b.cmp(a));
    // Two contents are never committed for one number; were they, all replicas would keep the same one.
    older_versions.dedup_by_key(|version_digest| version_digest.version);
    older_versions.truncate(MAX_OLDER_VERSIONS);
    older_versions.reverse();
    *older_versions != before
}
