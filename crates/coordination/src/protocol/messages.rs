//! The messages between the system's own processes; [`frame`](crate::protocol::framing) carries them.

use super::framing::pack;
use crate::consensus::{Ballot, ProposalMessage};
use crate::tombstones::ExpiredTombstone;
use bytes::Bytes;
use kitepass_config::{Entry, Item, Kind, VersionDigest};
use std::sync::Arc;

/// Items go in messages of about so many bytes, so that no one message holds a connection for long.
const BATCH: usize = 256 * 1024;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub message: Option<Message>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "3")]
    Items(Items),
    /// Bucket hashes of what the sender holds: asks for what differs.
    #[prost(message, tag = "4")]
    BucketDigests(BucketDigests),
    #[prost(message, tag = "5")]
    AcceptRequest(AcceptRequest),
    #[prost(message, tag = "6")]
    AcceptResponse(AcceptResponse),
    #[prost(message, tag = "7")]
    PrepareRequest(PrepareRequest),
    #[prost(message, tag = "8")]
    PrepareResponse(PrepareResponse),
    #[prost(message, tag = "9")]
    LeaseRequest(LeaseRequest),
    #[prost(message, tag = "10")]
    LeaseVote(LeaseVote),
    #[prost(message, tag = "11")]
    SessionList(SessionList),
    #[prost(message, tag = "12")]
    UsageReport(UsageReport),
    #[prost(message, tag = "13")]
    UsageTotals(UsageTotals),
    #[prost(message, tag = "14")]
    MembershipUpdate(MembershipUpdate),
    #[prost(message, tag = "15")]
    Commit(Commit),
    #[prost(message, tag = "16")]
    PurgeTombstones(PurgeTombstones),
}

/// Who speaks: the first word on each connection, from both ends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub node_id: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub region: String,
    /// Drawn at each start: tells one life of a process from the next.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// A control process.
    #[prost(bool, tag = "6")]
    pub is_control_plane: bool,
    /// Where clients reach it; empty for a control process.
    #[prost(string, tag = "7")]
    pub client_address: String,
    /// A control process that may be relied on: it has caught up with enough of the core, and is in contact with it. A
    /// gateway: it has caught up once, so it has nothing to fear from one that is not current.
    #[prost(bool, tag = "8")]
    pub is_serving: bool,
    /// Its folder holds what it has acknowledged.
    #[prost(bool, tag = "9")]
    pub is_complete: bool,
    /// A control process' folder, by the number that was drawn when it was first written: with the station it names the
    /// seat. 0 for a gateway, and for a folder older than that.
    #[prost(fixed64, tag = "10")]
    pub replica_id: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// A gateway: it takes requests.
    #[prost(bool, tag = "2")]
    pub is_ready: bool,
    /// A control process: see [`Hello`].
    #[prost(bool, tag = "3")]
    pub is_serving: bool,
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// The term under which it does the duty now, or 0.
    #[prost(uint64, tag = "5")]
    pub coordinator_term: u64,
    /// Between control processes: a number that the sender gave to no other beat of its life, and the last one that it
    /// heard of the other, or 0; see [`crate::quorum_contact`].
    #[prost(fixed32, tag = "6")]
    pub sequence: u32,
    #[prost(fixed32, tag = "7")]
    pub echoed_sequence: u32,
    /// A control process that ends in order: its seat may go at once, before it is silent.
    #[prost(bool, tag = "8")]
    pub is_shutting_down: bool,
    /// A control process: all that it holds is on disk, and nothing is accepted there and undecided.
    #[prost(bool, tag = "12")]
    pub is_persisted: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemMessage {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// None where the item is dropped.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    /// Older decided versions, the lowest first. Between control processes alone.
    #[prost(message, repeated, tag = "5")]
    pub older_versions: Vec<VersionMessage>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VersionMessage {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The content's mark in two halves.
    #[prost(fixed64, tag = "2")]
    pub high: u64,
    #[prost(fixed64, tag = "3")]
    pub low: u64,
}

impl From<&Item> for ItemMessage {
    fn from(item: &Item) -> ItemMessage {
        ItemMessage::from(Entry { item, older_versions: &[] })
    }
}

impl From<Entry<'_>> for ItemMessage {
    fn from(entry: Entry) -> ItemMessage {
        let Item { kind, name, version, value } = entry.item;
        let older = |version_digest: &VersionDigest| VersionMessage {
            version: version_digest.version,
            high: (version_digest.digest >> 64) as u64,
            low: version_digest.digest as u64,
        };
        ItemMessage {
            kind: *kind as u32,
            name: name.to_string(),
            version: *version,
            value: value.clone(),
            older_versions: entry.older_versions.iter().map(older).collect(),
        }
    }
}

impl ItemMessage {
    /// None for a kind that this version does not know: it is passed over, not taken for another.
    pub fn into_item(self) -> Option<Item> {
        let kind = Kind::from_u8(u8::try_from(self.kind).ok()?)?;
        Some(Item { kind, name: Arc::from(self.name), version: self.version, value: self.value })
    }

    /// The item with its older versions.
    pub fn into_entry(self) -> Option<(Item, Vec<VersionDigest>)> {
        let older = |message: &VersionMessage| VersionDigest {
            version: message.version,
            digest: u128::from(message.high) << 64 | u128::from(message.low),
        };
        // Danger: a list without end would make us keep memory for it.
        let past = self.older_versions.iter().take(kitepass_config::MAX_OLDER_VERSIONS).map(older).collect();
        Some((self.into_item()?, past))
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Items {
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketDigests {
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// The sender has taken what the other had and still differs: the other may take in what follows.
    #[prost(bool, tag = "2")]
    pub wants_reply: bool,
}

/// Items to be kept on disk before they are acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptRequest {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The asker's life. Tickets begin anew in each: an answer that repeats another life's is not for this one.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// See [`PrepareRequest`].
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// The ballot under which the call is proposed.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// Not the call is proposed but that it is denied: the items are left out, and these are its mark and its keys.
    #[prost(bytes = "bytes", tag = "6")]
    pub rejects: Bytes,
    #[prost(fixed64, repeated, tag = "7")]
    pub keys: Vec<u64>,
    /// For a cast that is to be in force: what its writer holds, by buckets. Only who holds all of it is a copy.
    #[prost(fixed64, repeated, tag = "8")]
    pub bucket_digests: Vec<u64>,
    /// Somebody has accepted it before.
    #[prost(bool, tag = "9")]
    pub was_accepted_before: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AcceptResponse {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The one that answers counts as a copy: its folder is full.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
    /// The asker's life, as it was told.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Nothing was accepted: see [`PrepareResponse`].
    #[prost(bool, tag = "4")]
    pub is_rejected: bool,
    /// The higher ballot that was promised, where that is why.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    /// The ballot that this answers.
    #[prost(message, optional, tag = "6")]
    pub answered_ballot: Option<Ballot>,
}

/// Asks a control process for what it holds and the asker does not, in pieces: see [`PrepareResponse`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrepareRequest {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(fixed64, repeated, tag = "2")]
    pub bucket_digests: Vec<u64>,
    /// The asker's life: see [`AcceptRequest`].
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The era by whose casts the asker counts, as decided. Danger: one that knows of an older cast alone would take an
    /// old majority for one in force.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Asks for the promise to accept nothing below this ballot for these keys. None: a reading alone.
    #[prost(message, optional, tag = "5")]
    pub ballot: Option<Ballot>,
    #[prost(fixed64, repeated, tag = "6")]
    pub keys: Vec<u64>,
    /// All calls that are accepted and undecided are to be told, whatever their keys.
    #[prost(bool, tag = "7")]
    pub wants_all_undecided: bool,
    /// The bucket to go on with; 0 at first.
    #[prost(uint32, tag = "10")]
    pub first_bucket: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct PrepareResponse {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// The answerer knows of a core.
    #[prost(bool, tag = "4")]
    pub is_bootstrapped: bool,
    /// The asker's life, as it was told.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// The buckets from this one up to `next` are covered: what differs in them is here, as it was held in one moment.
    /// Whoever has taken it asks on at `next`, until that is past the last bucket.
    #[prost(uint32, tag = "10")]
    pub first_bucket: u32,
    #[prost(uint32, tag = "11")]
    pub next_bucket: u32,
    /// See `tenet::Piece`.
    #[prost(bytes = "vec", tag = "12")]
    pub differing_buckets: Vec<u8>,
    #[prost(fixed64, tag = "13")]
    pub digest: u64,
    /// No reading and no promise: the asker counts by an older era, or a higher ballot was promised.
    #[prost(bool, tag = "6")]
    pub is_rejected: bool,
    /// The highest ballot promised, where that is why.
    #[prost(message, optional, tag = "7")]
    pub ballot: Option<Ballot>,
    /// Calls that are accepted here and undecided.
    #[prost(message, repeated, tag = "8")]
    pub accepted: Vec<ProposalMessage>,
    /// Calls that are denied here.
    #[prost(message, repeated, tag = "9")]
    pub rejected: Vec<RejectedProposal>,
    /// The edition of a cast that was accepted here to be in force and is not known to be, or 0: all that was decided under
    /// the cast before is held here.
    #[prost(uint64, tag = "14")]
    pub activated_version: u64,
}

/// A call, by its mark, that was refused for its content under a ballot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RejectedProposal {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(bytes = "bytes", tag = "2")]
    pub proposal_id: Bytes,
}

/// Drops that are forgotten, each of exactly this version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PurgeTombstones {
    #[prost(message, repeated, tag = "1")]
    pub tombstones: Vec<ItemMessage>,
}

impl PurgeTombstones {
    pub fn from_expired(due: &[ExpiredTombstone]) -> PurgeTombstones {
        let drop = |(kind, name, version): &ExpiredTombstone| ItemMessage {
            kind: *kind as u32,
            name: name.to_string(),
            version: *version,
            ..ItemMessage::default()
        };
        PurgeTombstones { tombstones: due.iter().map(drop).collect() }
    }

    pub fn into_expired(self) -> Vec<ExpiredTombstone> {
        let items = self.tombstones.into_iter().filter_map(ItemMessage::into_item);
        items.map(|item| (item.kind, item.name, item.version)).collect()
    }
}

/// A call is decided: who has accepted it takes it up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Commit {
    #[prost(bytes = "bytes", tag = "1")]
    pub proposal_id: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequest {
    #[prost(string, tag = "1")]
    pub role: String,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub request_id: u64,
    #[prost(bool, tag = "4")]
    pub is_release: bool,
    /// The claimant holds the duty under this term, and renews.
    #[prost(bool, tag = "5")]
    pub is_renewal: bool,
    /// The era by whose casts the claimant counts the votes: a voter that knows of a later one refuses.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseVote {
    #[prost(string, tag = "1")]
    pub role: String,
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    /// The highest term that the voter has heard of.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Who holds it, by the voter.
    #[prost(string, tag = "5")]
    pub holder: String,
    /// The voter's own era: a claimant that hears of a later one is behind.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub node_id: String,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub client_address: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(bool, tag = "5")]
    pub is_ready: bool,
}

/// All sessions of one control process; a later list replaces an earlier one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SessionList {
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantUsage {
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests offered in the gateway's period, refused ones too, and of them those sent on.
    #[prost(uint32, tag = "2")]
    pub offered: u32,
    #[prost(uint32, tag = "3")]
    pub forwarded: u32,
    /// Requests of the tenant's allowance that the gateway holds, and how many more it would have.
    #[prost(uint32, tag = "4")]
    pub reserved: u32,
    #[prost(uint32, tag = "5")]
    pub requested: u32,
    /// Requests that it gives back: it holds fewer by now.
    #[prost(uint32, tag = "6")]
    pub returned: u32,
    /// Requests that it would hold in advance, if there is plenty.
    #[prost(uint32, tag = "7")]
    pub prefetch: u32,
}

/// A gateway's adds to the counts of its last period. Adding zero reads alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageReport {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(string, tag = "2")]
    pub node_id: String,
    #[prost(message, repeated, tag = "3")]
    pub tenants: Vec<TenantUsage>,
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Between two periods: it asks for more, and adds nothing.
    #[prost(bool, tag = "5")]
    pub is_mid_period: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantTotal {
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests of a period over all gateways.
    #[prost(float, tag = "2")]
    pub offered: f32,
    #[prost(float, tag = "3")]
    pub forwarded: f32,
    /// Requests of the allowance that the gateway holds from now on, beside those that it held.
    #[prost(uint32, tag = "4")]
    pub granted: u32,
    /// The gateway's part of the limit for as long as it hears nothing more.
    #[prost(float, tag = "5")]
    pub share: f32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageTotals {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(string, tag = "2")]
    pub node_id: String,
    #[prost(message, repeated, tag = "3")]
    pub tenants: Vec<TenantTotal>,
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    #[prost(bool, tag = "5")]
    pub is_mid_period: bool,
}

/// What a gateway is told of the others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembershipUpdate {
    /// How many gateways count as live, recently lost ones included.
    #[prost(uint32, tag = "1")]
    pub gateway_count: u32,
    /// Their stations, in order.
    #[prost(string, repeated, tag = "2")]
    pub node_ids: Vec<String>,
    /// Control processes: address for the system's own words, and district.
    #[prost(string, repeated, tag = "3")]
    pub control_addresses: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    pub control_districts: Vec<String>,
}

/// Appends items in as many words as they need.
pub fn pack_items<'a>(items: impl Iterator<Item = &'a Item>, into: &mut Vec<u8>) {
    batches(items).into_iter().for_each(|message| pack(message, into));
}

/// Items in as many words as they need.
pub fn batches<'a>(items: impl Iterator<Item = &'a Item>) -> Vec<Message> {
    let (mut batch, mut size, mut messages) = (Vec::new(), 0, Vec::new());
    for item in items {
        size += item.wire_bytes();
        batch.push(ItemMessage::from(item));
        if size > BATCH {
            messages.push(Message::Items(Items { items: std::mem::take(&mut batch) }));
            size = 0;
        }
    }
    if !batch.is_empty() {
        messages.push(Message::Items(Items { items: batch }));
    }
    messages
}
