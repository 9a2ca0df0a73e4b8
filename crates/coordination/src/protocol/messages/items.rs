//! Configuration items as they travel, and the messages that bring a receiver up to date.

use super::Message;
use crate::protocol::framing::encode_message;
use crate::tombstones::ExpiredTombstone;
use bytes::Bytes;
use kitepass_config::{Item, ItemWithHistory, Kind, VersionDigest, MAX_OLDER_VERSIONS};
use std::sync::Arc;

/// About how many bytes of items go in one message, so that no message occupies a connection for long.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// An item.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemMessage {
    /// The number of its [`Kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Its name among those of its kind.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Its content; none for a tombstone.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    /// Older committed versions, the lowest first. Between control processes alone.
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
    /// None for a kind that this version does not know: the item is skipped, not taken for one of another kind.
    pub fn into_item(self) -> Option<Item> {
        let kind = Kind::from_u8(u8::try_from(self.kind).ok()?)?;
        Some(Item { kind, name: Arc::from(self.name), version: self.version, value: self.value })
    }

    /// The item with its older versions; none as in [`ItemMessage::into_item`].
    pub fn into_entry(self) -> Option<(Item, Vec<VersionDigest>)> {
        // Bounded: a list without end would make the receiver keep memory for it.
        let older_versions = self.older_versions.iter().take(MAX_OLDER_VERSIONS);
        let older_versions = older_versions.map(VersionDigest::from).collect();
        Some((self.into_item()?, older_versions))
    }
}

/// How the items of one message stand to whole changes. A receiver that acts on items does so where a change ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Extent {
    /// A whole change, or the last part of one.
    Complete = 0,
    /// More of the same change follows in the next message of items.
    Continued = 1,
    /// Part of what the receiver lacks, by buckets: parts of any number of changes. The end is a [`BucketDigests`] that
    /// wants a reply.
    Transfer = 2,
}

impl Extent {
    /// The extent of one of `count` messages that carry items of this extent together.
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
    /// Where a change ends; see [`Extent`].
    #[prost(enumeration = "Extent", tag = "2")]
    pub extent: i32,
}

impl Items {
    /// A whole change.
    pub fn complete(items: Vec<ItemMessage>) -> Items {
        Items { items, extent: Extent::Complete.into() }
    }
}

/// Digests of all items that the sender holds, by buckets, as in anti-entropy with a hash tree of one level.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketDigests {
    /// One digest for each bucket.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// The sender has taken what the receiver had and still differs: the receiver may take what follows.
    #[prost(bool, tag = "2")]
    pub ends_transfer: bool,
}

/// Tombstones that are forgotten, each of exactly this version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PurgeTombstones {
    /// The tombstones, without values.
    #[prost(message, repeated, tag = "1")]
    pub tombstones: Vec<ItemMessage>,
}

impl PurgeTombstones {
    /// The message that names these tombstones.
    pub fn from_expired(expired: &[ExpiredTombstone]) -> PurgeTombstones {
        let to_message = |(kind, name, version): &ExpiredTombstone| ItemMessage {
            kind: *kind as u32,
            name: name.to_string(),
            version: *version,
            ..ItemMessage::default()
        };
        PurgeTombstones { tombstones: expired.iter().map(to_message).collect() }
    }

    /// Those of kinds that this version knows.
    pub fn into_expired(self) -> Vec<ExpiredTombstone> {
        let items = self.tombstones.into_iter().filter_map(ItemMessage::into_item);
        items.map(|item| (item.kind, item.name, item.version)).collect()
    }
}

/// Appends the items of one change in as many messages as they need.
pub fn encode_items<'a>(items: impl Iterator<Item = &'a Item>, into: &mut Vec<u8>) {
    for message in batch_items(items, Extent::Complete) {
        encode_message(message, into);
    }
}

/// Items in as many messages as they need: a whole change, where `extent` is [`Extent::Complete`], or part of a transfer.
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
