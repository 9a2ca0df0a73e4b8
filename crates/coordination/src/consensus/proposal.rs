//! Proposals: the values to agree on, their IDs and their keys.

use crate::protocol::{Ballot, ItemMessage, ProposalMessage};
use kitepass_config::{Item, Kind};
use std::cmp::Ordering;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, Xxh3Builder};

/// The estimated memory overhead of an item, in addition to its name and value.
const ITEM_OVERHEAD_BYTES: usize = 64;

/// Identifies a proposal by its content: a hash of its sorted items that is the same on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub [u8; 16]);

impl ProposalId {
    /// Returns `None` unless there are exactly 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<ProposalId> {
        Some(ProposalId(bytes.try_into().ok()?))
    }
}

/// All items of one operator's change. A proposal is chosen completely or not at all.
///
/// Two proposals are equal if their IDs are equal.
#[derive(Clone, Debug)]
pub struct Proposal {
    items: Arc<[Item]>,
    proposal_id: ProposalId,
    change_id: ProposalId,
    keys: Arc<[u64]>,
    bytes: usize,
}

impl PartialEq for Proposal {
    fn eq(&self, other: &Proposal) -> bool {
        self.proposal_id == other.proposal_id
    }
}

impl Eq for Proposal {}

impl Hash for Proposal {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.proposal_id.hash(state);
    }
}

impl Proposal {
    /// Creates a proposal. Of several items with the same kind, name and version, only the first is kept, since the
    /// others would have no effect.
    pub fn new(mut items: Vec<Item>) -> Proposal {
        items.sort_by(compare_versions);
        items.dedup_by(|later, earlier| compare_versions(later, earlier).is_eq());
        let proposal_id = hash_items(items.iter());
        let has_reservations = !items.iter().all(is_of_change);
        let change = items.iter().filter(|item| is_of_change(item));
        let change_id = if has_reservations { hash_items(change) } else { proposal_id };
        Proposal {
            proposal_id,
            change_id,
            keys: items.iter().map(key).collect(),
            bytes: items.iter().map(memory_bytes).sum(),
            items: items.into(),
        }
    }

    /// The items, sorted by kind, name and version.
    pub fn items(&self) -> &Arc<[Item]> {
        &self.items
    }

    /// The hash of the items.
    pub fn proposal_id(&self) -> ProposalId {
        self.proposal_id
    }

    /// The keys of the consensus instances that the proposal takes part in: one per item, in the order of the items.
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    /// The items of the operator's change, without the reservations that the proposer has added.
    pub fn change(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(|item| is_of_change(item))
    }

    /// The hash of the items of the operator's change. It is the same for all proposals of the change, whatever versions
    /// of the registers they claim.
    pub fn change_id(&self) -> ProposalId {
        self.change_id
    }

    /// The keys of the items of the operator's change.
    pub fn change_keys(&self) -> Vec<u64> {
        self.change().map(key).collect()
    }

    /// The items that claim registers; see [`kitepass_config::Reservations`].
    pub fn reservations(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(|item| item.kind == Kind::Reservation)
    }

    /// The approximate memory size of the proposal.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The items as wire messages.
    pub fn to_messages(&self) -> Vec<ItemMessage> {
        self.items.iter().map(ItemMessage::from).collect()
    }

    /// Returns `None` if an item has a kind that this software version does not know, since the proposal could not be
    /// stored completely.
    pub fn from_messages(messages: Vec<ItemMessage>) -> Option<Proposal> {
        let items: Option<Vec<Item>> = messages.into_iter().map(ItemMessage::into_item).collect();
        items.map(Proposal::new)
    }
}

impl ProposalMessage {
    /// Creates the message for an accepted proposal and the ballot under which it was accepted.
    pub fn new(ballot: Ballot, proposal: &Proposal) -> ProposalMessage {
        ProposalMessage { ballot, items: proposal.to_messages() }
    }

    /// Returns `None` in the same case as [`Proposal::from_messages`].
    pub fn into_proposal(self) -> Option<(Ballot, Proposal)> {
        Some((self.ballot, Proposal::from_messages(self.items)?))
    }
}

/// Whether an item is part of the operator's change, rather than a reservation that the proposer has added.
fn is_of_change(item: &Item) -> bool {
    item.kind != Kind::Reservation
}

/// The key of an item's version, which identifies a consensus instance. A collision of two keys only causes a retry.
pub fn key(item: &Item) -> u64 {
    hash_name(item.kind, &item.name, Some(item.version))
}

/// A hash of an item's kind and name, the same for all its versions.
pub fn name_key(item: &Item) -> u64 {
    hash_name(item.kind, &item.name, None)
}

fn hash_name(kind: Kind, name: &str, version: Option<u64>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&[kind as u8]);
    if let Some(version) = version {
        hasher.update(&version.to_le_bytes());
    }
    hasher.update(name.as_bytes());
    hasher.digest()
}

fn compare_versions(one: &Item, other: &Item) -> Ordering {
    (one.kind, &one.name, one.version).cmp(&(other.kind, &other.name, other.version))
}

/// Lengths precede names and values, so that different lists of items never produce the same hash input.
fn hash_items<'a>(items: impl Iterator<Item = &'a Item>) -> ProposalId {
    let mut hasher = Xxh3Builder::new().build();
    for item in items {
        let value = item.value.as_deref().unwrap_or_default();
        hasher.update(&[item.kind as u8, u8::from(item.is_set())]);
        hasher.update(&item.version.to_le_bytes());
        hasher.update(&(item.name.len() as u64).to_le_bytes());
        hasher.update(item.name.as_bytes());
        hasher.update(&(value.len() as u64).to_le_bytes());
        hasher.update(value);
    }
    ProposalId(hasher.digest128().to_be_bytes())
}

fn memory_bytes(item: &Item) -> usize {
    let value = item.value.as_deref().unwrap_or_default();
    item.name.len() + value.len() + ITEM_OVERHEAD_BYTES
}
