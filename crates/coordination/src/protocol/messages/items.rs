//! Messages that carry configuration items and bring a receiver up to date.

use super::Message;
use crate::protocol::framing::encode_message;
use crate::tombstones::ExpiredTombstone;
use bytes::Bytes;
use kitepass_config::{Item, ItemWithHistory, Kind, VersionDigest, MAX_OLDER_VERSIONS};
use std::sync::Arc;

/// The approximate size of the items in one message, so that no message occupies a connection for long.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// An item.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemMessage {
    /// The number of its [`Kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Its name, unique within its kind.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Its content; `None` for a tombstone.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    /// Older committed versions, lowest first. Sent only between control processes.
    #[prost(message, repeated, tag = "5")]
    pub older_versions: Vec<VersionMessage>,
}

/// An older version of an item, and the digest of its content.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VersionMessage {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The upper half of the content's digest.
    #[prost(fixed64, tag = "2")]
    pub high: u64,
    /// The lower half of it.
    #[prost(fixed64, tag = "3")]
    pub low: u64,
}

impl From<&VersionDigest> for VersionMessage {
    fn from(version: &VersionDigest) -> VersionMessage {
        let (high, low) = ((version.digest >> 64) as u64, version.digest as u64);
        VersionMessage { version: version.version, high, low }
    }
}

impl From<&VersionMessage> for VersionDigest {
    fn from(message: &VersionMessage) -> VersionDigest {
        let digest = u128::from(message.high) << 64 | u128::from(message.low);
        VersionDigest { version: message.version, digest }
    }
}

impl From<&Item> for ItemMessage {
    fn from(item: &Item) -> ItemMessage {
        ItemMessage::from(ItemWithHistory { item, older_versions: &[] })
    }
}

impl From<ItemWithHistory<'_>> for ItemMessage {
    fn from(entry: ItemWithHistory) -> ItemMessage {
        let Item { kind, name, version, value } = entry.item;
        ItemMessage {
            kind: *kind as u32,
            name: name.to_string(),
            version: *version,
            value: value.clone(),
            older_versions: entry.older_versions.iter().map(VersionMessage::from).collect(),
        }
    }
}

impl ItemMessage {
    /// Returns `None` for a kind that this software version does not know, so that the item is skipped.
    pub fn into_item(self) -> Option<Item> {
        let kind = Kind::from_u8(u8::try_from(self.kind).ok()?)?;
        Some(Item { kind, name: Arc::from(self.name), version: self.version, value: self.value })
    }

    /// Returns the item with its older versions, or `None` in the same case as [`ItemMessage::into_item`].
    pub fn into_entry(self) -> Option<(Item, Vec<VersionDigest>)> {
        // Bounded, so that a peer cannot make the receiver store an unlimited number of versions.
        let older_versions = self.older_versions.iter().take(MAX_OLDER_VERSIONS);
        let older_versions = older_versions.map(VersionDigest::from).collect();
        Some((self.into_item()?, older_versions))
    }
}

/// How the items of one message relate to complete changes. A receiver that acts on items does so at the end of a
/// change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Extent {
    /// A complete change, or the last part of one.
    Complete = 0,
    /// Part of a change that continues in the next message of items.
    Continued = 1,
    /// Part of a transfer of the data that the receiver is missing, bucket by bucket. It may contain parts of any
    /// number of changes. The transfer ends with a [`BucketDigests`] message that has [`BucketDigests::ends_transfer`]
    /// set.
    Transfer = 2,
}

impl Extent {
    /// The extent of the message at position `index` among the `count` messages that together carry items of this
    /// extent.
    pub fn for_message(self, index: usize, count: usize) -> Extent {
        if self == Extent::Complete && index + 1 < count {
            Extent::Continued
        } else {
            self
        }
    }
}

/// Committed items.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Items {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemMessage>,
    /// The relation of the items to complete changes.
    #[prost(enumeration = "Extent", tag = "2")]
    pub extent: i32,
}

impl Items {
    /// The message for a complete change.
    pub fn complete(items: Vec<ItemMessage>) -> Items {
        Items { items, extent: Extent::Complete.into() }
    }
}

/// Digests of all items of the sender, by bucket: anti-entropy with a single-level hash tree.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketDigests {
    /// One digest for each bucket.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// Ends a transfer: the sender has sent everything that the receiver was missing according to its digests, and the
    /// receiver need not reply with its own. If false, the receiver replies with its digests.
    #[prost(bool, tag = "2")]
    pub ends_transfer: bool,
}

/// Tombstones to purge, each of exactly this version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PurgeTombstones {
    /// The tombstones, without values.
    #[prost(message, repeated, tag = "1")]
    pub tombstones: Vec<ItemMessage>,
}

impl PurgeTombstones {
    /// The message that purges these tombstones.
    pub fn from_expired(expired: &[ExpiredTombstone]) -> PurgeTombstones {
        let to_message = |(kind, name, version): &ExpiredTombstone| ItemMessage {
            kind: *kind as u32,
            name: name.to_string(),
            version: *version,
            ..ItemMessage::default()
        };
        PurgeTombstones { tombstones: expired.iter().map(to_message).collect() }
    }

    /// The tombstones whose kinds this software version knows.
    pub fn into_expired(self) -> Vec<ExpiredTombstone> {
        let items = self.tombstones.into_iter().filter_map(ItemMessage::into_item);
        items.map(|item| (item.kind, item.name, item.version)).collect()
    }
}

/// Encodes the items of one change and appends them in as many messages as needed.
pub fn encode_items<'a>(items: impl Iterator<Item = &'a Item>, output: &mut Vec<u8>) {
    for message in batch_items(items, Extent::Complete) {
        encode_message(message, output);
    }
}

/// Splits items into as many messages as needed. `extent` is [`Extent::Complete`] if they are a complete change, or
/// [`Extent::Transfer`] if they are part of a transfer.
pub fn batch_items<'a>(items: impl Iterator<Item = &'a Item>, extent: Extent) -> Vec<Message> {
    let mut batches: Vec<Vec<ItemMessage>> = Vec::new();
    let mut bytes = MAX_BATCH_BYTES + 1;
    for item in items {
        if bytes > MAX_BATCH_BYTES {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += item.max_wire_bytes();
        batches.last_mut().into_iter().for_each(|batch| batch.push(ItemMessage::from(item)));
    }
    let count = batches.len();
    let message =
        |(index, items)| Message::Items(Items { items, extent: extent.for_message(index, count).into() });
    batches.into_iter().enumerate().map(message).collect()
}
