//! The on-disk record of an item and its older versions. Integers are big-endian.
//!
//! * Key: the number of the kind (u8), then the name (UTF-8).
//! * Value: version (u64); flags (u8, see [`FLAG_SET`] and [`FLAG_HAS_OLDER_VERSIONS`]); if there are older versions,
//!   their count (u8) and for each its version (u64) and digest (u128); then the item's value, empty for a removed item.
//!
//! Writing an empty record value deletes the record from the store.

use crate::item::{Item, Kind};
use crate::version_history::{ItemWithHistory, VersionDigest};
use bytes::Bytes;
use std::sync::Arc;

/// Record flag: the item is set rather than removed.
const FLAG_SET: u8 = 1;
/// Record flag: older versions follow. Records written by earlier releases never have it.
const FLAG_HAS_OLDER_VERSIONS: u8 = 2;

/// Encodes the key of an item's record.
pub fn encode_key(kind: Kind, name: &str) -> Vec<u8> {
    let mut key = vec![kind as u8];
    key.extend_from_slice(name.as_bytes());
    key
}

/// Encodes the record of an item and its older versions. Returns its key and value; the value is empty for a removed
/// backend, which is not stored.
pub fn encode_record(entry: ItemWithHistory) -> (Vec<u8>, Vec<u8>) {
    let ItemWithHistory { item, older_versions } = entry;
    let key = encode_key(item.kind, &item.name);
    if item.is_removed_backend() {
        return (key, Vec::new());
    }
    let mut flags = 0;
    if item.is_set() {
        flags |= FLAG_SET;
    }
    if !older_versions.is_empty() {
        flags |= FLAG_HAS_OLDER_VERSIONS;
    }
    let mut value = item.version.to_be_bytes().to_vec();
    value.push(flags);
    if !older_versions.is_empty() {
        // There are at most `MAX_OLDER_VERSIONS`, which fits in a byte.
        value.push(older_versions.len() as u8);
        for version_digest in older_versions {
            value.extend_from_slice(&version_digest.version.to_be_bytes());
            value.extend_from_slice(&version_digest.digest.to_be_bytes());
        }
    }
    value.extend_from_slice(item.value.as_deref().unwrap_or_default());
    (key, value)
}

/// Decodes a record into an item and its older versions. Also accepts records written by releases that did not store
/// older versions. Returns `None` if the record is not an item's.
pub fn decode_record(key: &[u8], value: &[u8]) -> Option<(Item, Vec<VersionDigest>)> {
    let (kind, name) = key.split_first()?;
    let kind = Kind::from_u8(*kind)?;
    let (version, rest) = value.split_first_chunk::<8>()?;
    let (flags, rest) = rest.split_first()?;
    let (older_versions, content) =
        if flags & FLAG_HAS_OLDER_VERSIONS != 0 { decode_older_versions(rest)? } else { (Vec::new(), rest) };
    let item = Item {
        kind,
        name: Arc::from(std::str::from_utf8(name).ok()?),
        version: u64::from_be_bytes(*version),
        value: (flags & FLAG_SET != 0).then(|| Bytes::copy_from_slice(content)),
    };
    Some((item, older_versions))
}

/// Decodes the count and the older versions. Returns the versions and the remaining bytes.
fn decode_older_versions(bytes: &[u8]) -> Option<(Vec<VersionDigest>, &[u8])> {
    let (count, mut rest) = bytes.split_first()?;
    let mut older_versions = Vec::new();
    for _ in 0..*count {
        let (version, after_version) = rest.split_first_chunk::<8>()?;
        let (digest, after_digest) = after_version.split_first_chunk::<16>()?;
        older_versions.push(VersionDigest {
            version: u64::from_be_bytes(*version),
            digest: u128::from_be_bytes(*digest),
        });
        rest = after_digest;
    }
    Some((older_versions, rest))
}
