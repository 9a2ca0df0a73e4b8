//! Digests of the older committed versions of an item, which are kept to detect repeated changes.

use crate::item::Item;
use xxhash_rust::xxh3::Xxh3;

/// The maximum number of older versions kept for an item.
pub const MAX_OLDER_VERSIONS: usize = 64;

/// The number and the content digest of a committed version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionDigest {
    /// The version number.
    pub version: u64,
    /// The XXH3-128 hash of whether the item is set and of its value. It is the same on every machine.
    pub digest: u128,
}

impl Item {
    /// Returns the item's version and the digest of its content.
    pub fn version_digest(&self) -> VersionDigest {
        let mut hasher = Xxh3::new();
        hasher.update(&[u8::from(self.is_set())]);
        hasher.update(self.value.as_deref().unwrap_or_default());
        VersionDigest { version: self.version, digest: hasher.digest128() }
    }
}

/// An item and its known older versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ItemWithHistory<'a> {
    /// The newest version.
    pub item: &'a Item,
    /// The older versions, by ascending number.
    pub older_versions: &'a [VersionDigest],
}

/// The result of comparing an item of a change request with the committed versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatus {
    /// No content is known to be committed for this version.
    Undecided,
    /// The version is committed with the same content.
    SameContent,
    /// The version is committed with different content.
    DifferentContent,
    /// The version is lower than all versions kept. It has no effect, and whether and with which content it was
    /// committed is no longer known.
    Pruned,
}

/// The effect of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing changed.
    Unchanged,
    /// Only the older versions changed. This affects the record on disk but not the active configuration.
    HistoryChanged,
    /// The newest version changed.
    NewestChanged,
}

/// Adds the versions in `added` that are lower than `newest` to the older versions and keeps only the highest
/// [`MAX_OLDER_VERSIONS`]. Returns whether the older versions changed. Since this is a set union, replicas converge
/// regardless of the order in which they receive versions.
pub(crate) fn merge_older_versions(
    older_versions: &mut Vec<VersionDigest>,
    newest: u64,
    added: &[VersionDigest],
) -> bool {
    let before = older_versions.clone();
    older_versions.extend(added.iter().filter(|version_digest| version_digest.version < newest));
    older_versions.sort_unstable_by(|a, b| b.cmp(a));
    // A version is never committed with two contents. If it were, all replicas would still keep the same one.
    older_versions.dedup_by_key(|version_digest| version_digest.version);
    older_versions.truncate(MAX_OLDER_VERSIONS);
    older_versions.reverse();
    *older_versions != before
}
