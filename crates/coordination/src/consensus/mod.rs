//! One number, one content: a register for each version of each item, decided by ballots.
//!
//! What is decided is a [`Proposal`]: an operator's change with all its items, whole or not at all. A proposer first
//! reads (`PrepareRequest` carries a ballot and the call's keys; who answers promises to take nothing below it on these
//! keys, and tells what it has accepted on them), weighs what it heard ([`proposal_status`]), then has the call accepted
//! (`AcceptRequest`) under the same ballot. A call is chosen, and so decided, once one ballot of it is accepted by copies that
//! the cast calls safe. Readings and safe copies always have a seat in common, so of two contents for one key at most
//! one is ever chosen, whoever proposes, however often, and without a leader.
//!
//! Nothing here does input or output. What a promise or an acceptance rests on must be on disk before it is told:
//! [`Promise::reserve`] and [`Acceptance::records`] say what that is.

#[cfg(test)]
mod tests;

use crate::protocol::ItemMessage;
use kitepass_config::{Item, ItemStore, Kind, VersionStatus};
use prost::Message as _;
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, Xxh3Builder};

/// The record of the floor.
const FLOOR: &[u8] = b"floor";
/// What the key of an accepted call's record begins with; its mark follows.
const CALL: &[u8] = b"call:";
/// What the key of a denial's record begins with; the call's mark follows.
const DENIED: &[u8] = b"deny:";
/// The floor on disk lies so many rounds above the ballot that it was written for.
const AHEAD: u64 = 1024;
/// Promises that are kept one by one; beyond, the floor takes their place.
const MOST_PROMISES: usize = 1 << 16;
/// Accepted calls that are not decided yet, and their bytes. Danger: whoever sends calls that are never decided would
/// fill memory and disk.
const MOST_CALLS: usize = 512;
const MOST_BYTES: usize = 64 << 20;
/// Beyond these bounds, by so much, calls are taken that another accepted before. Danger: full acceptors that each
/// hold other calls could resolve none of them.
const AGAIN: usize = 4;
/// Denials that are kept, and their keys; beyond, the lowest go.
const MOST_DENIED: usize = 1_024;
const MOST_DENIED_KEYS: usize = 1 << 20;

/// A key and a value for disk. An empty value takes the record away.
pub type Record = (Vec<u8>, Vec<u8>);

/// The number of an attempt: a higher one prevails. It belongs to one attempt at one call: its proposer never uses it
/// for another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Ballot {
    /// Danger: after a change of the cast an earlier cast's readings need not meet a later one's copies, so that no
    /// round of an earlier era may prevail over a later era's.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// The proposer's life. Never `u64::MAX`, which floors have.
    #[prost(fixed64, tag = "3")]
    pub proposer: u64,
}

impl Ballot {
    /// The lowest ballot of a proposer above one that it has met.
    pub fn above(met: Ballot, epoch: u64, proposer: u64) -> Ballot {
        let round = if met.epoch < epoch { 1 } else { met.round.saturating_add(1) };
        Ballot { epoch: epoch.max(met.epoch), round, proposer }
    }

    fn to_bytes(self) -> [u8; 24] {
        let mut bytes = [0; 24];
        for (room, part) in bytes.chunks_exact_mut(8).zip([self.epoch, self.round, self.proposer]) {
            room.copy_from_slice(&part.to_be_bytes());
        }
        bytes
    }

    fn from_bytes(bytes: &[u8]) -> Option<(Ballot, &[u8])> {
        let (epoch, rest) = bytes.split_first_chunk::<8>()?;
        let (round, rest) = rest.split_first_chunk::<8>()?;
        let (proposer, rest) = rest.split_first_chunk::<8>()?;
        let [epoch, round, proposer] = [epoch, round, proposer].map(|part| u64::from_be_bytes(*part));
        Some((Ballot { epoch, round, proposer }, rest))
    }
}

/// By what a call is known: the hash of its sorted items, the same on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub [u8; 16]);

impl ProposalId {
    pub fn from_bytes(bytes: &[u8]) -> Option<ProposalId> {
        Some(ProposalId(bytes.try_into().ok()?))
    }
}

/// An operator's change, with all its items.
#[derive(Clone, Debug)]
pub struct Proposal {
    items: Arc<[Item]>,
    proposal_id: ProposalId,
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

fn hashed(kind: Kind, name: &str, version: Option<u64>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&[kind as u8]);
    if let Some(version) = version {
        hasher.update(&version.to_le_bytes());
    }
    hasher.update(name.as_bytes());
    hasher.digest()
}

/// The key of an item's version. Two keys that fall together cost a retry, and nothing else.
pub fn key(item: &Item) -> u64 {
    hashed(item.kind, &item.name, Some(item.version))
}

fn name_key(item: &Item) -> u64 {
    hashed(item.kind, &item.name, None)
}

impl Proposal {
    /// Of two items with one version, the first in the given order counts: the second would have no effect.
    pub fn new(mut items: Vec<Item>) -> Proposal {
        items.sort_by(|a, b| (a.kind, &a.name, a.version).cmp(&(b.kind, &b.name, b.version)));
        items.dedup_by(|b, a| (a.kind, &a.name, a.version) == (b.kind, &b.name, b.version));
        let (mut hasher, mut bytes) = (Xxh3Builder::new().build(), 0);
        for item in &items {
            let value = item.value.as_deref().unwrap_or_default();
            hasher.update(&[item.kind as u8, u8::from(item.is_set())]);
            hasher.update(&item.version.to_le_bytes());
            hasher.update(&(item.name.len() as u64).to_le_bytes());
            hasher.update(item.name.as_bytes());
            hasher.update(&(value.len() as u64).to_le_bytes());
            hasher.update(value);
            bytes += item.name.len() + value.len() + 64;
        }
        let proposal_id = ProposalId(hasher.digest128().to_be_bytes());
        Proposal { keys: items.iter().map(key).collect(), items: items.into(), proposal_id, bytes }
    }

    /// By kind, name and edition.
    pub fn items(&self) -> &Arc<[Item]> {
        &self.items
    }

    pub fn proposal_id(&self) -> ProposalId {
        self.proposal_id
    }

    /// One for each item, in the items' order.
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    /// What it takes in memory, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn to_messages(&self) -> Vec<ItemMessage> {
        self.items.iter().map(ItemMessage::from).collect()
    }

    /// None where an item is of a kind that this version does not know: the call could not be kept whole.
    pub fn from_messages(messages: Vec<ItemMessage>) -> Option<Proposal> {
        messages.into_iter().map(ItemMessage::into_item).collect::<Option<Vec<Item>>>().map(Proposal::new)
    }
}

/// An accepted call on its way to whoever reads.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProposalMessage {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
}

impl ProposalMessage {
    pub fn new(ballot: Ballot, call: &Proposal) -> ProposalMessage {
        ProposalMessage { ballot, items: call.to_messages() }
    }

    pub fn into_proposal(self) -> Option<(Ballot, Proposal)> {
        Some((self.ballot, Proposal::from_messages(self.items)?))
    }
}

/// A floor that must be on disk before what it covers is told; then [`Acceptor::on_disk`] is to be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[must_use]
pub struct BallotReservation(Ballot);

impl BallotReservation {
    pub fn record(self) -> Record {
        (FLOOR.to_vec(), self.0.to_bytes().to_vec())
    }
}

/// What was promised.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// The accepted, undecided calls that touch any of the keys, as they were when the promise was given. Danger: told
    /// later they could have been settled meanwhile, behind what of the ledger is told already.
    pub accepted: Vec<(Ballot, Proposal)>,
    /// If there is one, the answer may leave only once its record is on disk: written for this answer itself, also where
    /// the same is being written for another.
    pub reservation: Option<BallotReservation>,
}

/// What must be on disk, whole, before an acceptance is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Acceptance {
    /// None are needed where the call is decided already: its items need only be on disk.
    pub records: Vec<Record>,
    /// Its record is one of `records`.
    pub reservation: Option<BallotReservation>,
}

#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AcceptError {
    /// To another proposer: the call may be tried again above it.
    #[snafu(display("a higher ballot was promised, of era {} and round {}", to.epoch, to.round))]
    Promised { to: Ballot },
    #[snafu(display("version {version} of {kind:?} {name:?} is decided with another content"))]
    Taken { kind: Kind, name: Arc<str>, version: u64 },
    #[snafu(display("too many calls are accepted and not decided"))]
    Full,
}

/// Why a call is to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptReason {
    /// Nobody was heard of who had accepted it.
    New,
    /// Another had accepted it: it is being resolved.
    Resolve,
}

/// What a record was to the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restored {
    /// None of its records.
    Other,
    Taken,
    /// One that cannot be read. Danger: what it stood for may have been chosen by it, so that whoever finds it must not
    /// go on with this folder.
    Garbled,
}

/// The defences, for tests that take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(not(test), allow(dead_code))]
pub(crate) enum Safeguard {
    /// A candidate on one of the keys is resolved first.
    Candidate,
    /// Also where it says the same on that key.
    SameContent,
    /// What can never be chosen stands in nobody's way.
    Void,
    /// After a restart nothing is taken that an earlier life may have promised away.
    Floor,
    /// The era is the first part of a ballot.
    EraFirst,
    /// Nothing is accepted below a promise.
    Promise,
    /// Nothing is accepted that is decided otherwise.
    Decided,
    /// A refusal for its content takes a call away from who had accepted it, and is remembered.
    Denial,
}

/// One seat's part: what it promised and accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Nothing below it is taken, on any key.
    floor: Ballot,
    /// The floor that is on disk, and the one that is to come there.
    reserved: Ballot,
    asked: Ballot,
    /// By key, where above the floor.
    promised: BTreeMap<u64, Ballot>,
    calls: BTreeMap<ProposalId, (Ballot, Proposal)>,
    /// Calls that were refused for their content, with their keys.
    denied: BTreeMap<ProposalId, (Ballot, Vec<u64>)>,
    denied_by_key: BTreeMap<u64, BTreeSet<ProposalId>>,
    denied_keys: usize,
    by_key: BTreeMap<u64, BTreeSet<ProposalId>>,
    by_name: BTreeMap<u64, BTreeSet<ProposalId>>,
    bytes: usize,
    out: Option<Safeguard>,
}

impl Default for Acceptor {
    fn default() -> Acceptor {
        Acceptor::new()
    }
}

impl Acceptor {
    /// With an empty folder. What the folder holds is given to [`Acceptor::restore`].
    pub fn new() -> Acceptor {
        let least = Ballot::default();
        Acceptor {
            floor: least,
            reserved: least,
            asked: least,
            promised: BTreeMap::new(),
            calls: BTreeMap::new(),
            denied: BTreeMap::new(),
            denied_by_key: BTreeMap::new(),
            denied_keys: 0,
            by_key: BTreeMap::new(),
            by_name: BTreeMap::new(),
            bytes: 0,
            out: None,
        }
    }

    #[cfg(test)]
    pub(crate) fn without(defence: Option<Safeguard>) -> Acceptor {
        Acceptor { out: defence, ..Acceptor::new() }
    }

    fn stands(&self, defence: Safeguard) -> bool {
        self.out != Some(defence)
    }

    /// Takes a record of an earlier life. After the last one, [`Acceptor::settle_all`].
    pub fn restore(&mut self, key: &[u8], value: &[u8]) -> Restored {
        if key == FLOOR {
            let Some((floor, [])) = Ballot::from_bytes(value) else { return Restored::Garbled };
            // Danger: what an earlier life promised between the last floor and its end is forgotten; the floor lies
            // above all of it.
            if self.stands(Safeguard::Floor) {
                self.floor = self.floor.max(floor);
            }
            self.reserved = self.reserved.max(floor);
            self.asked = self.asked.max(floor);
            return Restored::Taken;
        }
        if let Some(proposal_id) = key.strip_prefix(DENIED) {
            let read = || {
                let (ballot, rest) = Ballot::from_bytes(value)?;
                let (keys, []) = rest.as_chunks::<8>() else { return None };
                let keys = keys.iter().map(|key| u64::from_be_bytes(*key)).collect();
                Some((ProposalId::from_bytes(proposal_id)?, ballot, keys))
            };
            let Some((proposal_id, ballot, keys)) = read() else { return Restored::Garbled };
            self.insert_denial(ballot, proposal_id, keys);
            return Restored::Taken;
        }
        let Some(proposal_id) = key.strip_prefix(CALL) else { return Restored::Other };
        let read = || {
            let (ballot, rest) = Ballot::from_bytes(value)?;
            let call = Proposal::from_messages(crate::protocol::Items::decode(rest).ok()?.items)?;
            (call.proposal_id.0[..] == *proposal_id).then_some((ballot, call))
        };
        let Some((ballot, call)) = read() else { return Restored::Garbled };
        self.insert(ballot, call);
        Restored::Taken
    }

    /// A reserve's record is on disk.
    pub fn reservation_persisted(&mut self, reserve: BallotReservation) {
        self.reserved = self.reserved.max(reserve.0);
    }

    /// What must be on disk before a promise up to a ballot is told, if anything.
    fn reserve(&mut self, ballot: Ballot) -> Option<BallotReservation> {
        if ballot <= self.reserved {
            return None;
        }
        if ballot > self.asked {
            self.asked = Ballot { round: ballot.round.saturating_add(AHEAD), proposer: u64::MAX, ..ballot };
        }
        Some(BallotReservation(self.asked))
    }

    fn promised(&self, key: u64) -> Ballot {
        self.promised.get(&key).map_or(self.floor, |ballot| self.floor.max(*ballot))
    }

    /// The highest promise on any of the keys, if it is above a ballot.
    fn above(&self, ballot: Ballot, keys: &[u64]) -> Option<Ballot> {
        let highest = keys.iter().map(|key| self.promised(*key)).fold(self.floor, Ballot::max);
        let is_above = match self.stands(Safeguard::EraFirst) {
            true => highest > ballot,
            false => (highest.round, highest.proposer) > (ballot.round, ballot.proposer),
        };
        is_above.then_some(highest)
    }

    fn promise(&mut self, ballot: Ballot, keys: &[u64]) {
        for key in keys {
            let promised = self.promised(*key).max(ballot);
            self.promised.insert(*key, promised);
        }
        if self.promised.len() > MOST_PROMISES {
            // Proposers below the highest of all begin again, once.
            self.floor = self.promised.values().fold(self.floor, |floor, ballot| floor.max(*ballot));
            self.promised.clear();
        }
    }

    /// From now on no ballot of an earlier era is taken. Danger: a cast that follows reads only what safe copies held
    /// when it read; who answers such a reading, or accepts a change of the cast, must be fenced by then.
    /// If there is a reserve, nothing that rests on the fence may be told before it is on disk.
    pub fn fence(&mut self, epoch: u64) -> Option<BallotReservation> {
        let least = Ballot { epoch, round: 0, proposer: 0 };
        self.floor = self.floor.max(least);
        self.reserve(least)
    }

    /// Promises to take nothing below the ballot on any of the keys, or tells the higher promise that stands.
    ///
    /// # Errors
    /// With the higher ballot that was promised.
    pub fn prepare(&mut self, ballot: Ballot, keys: &[u64]) -> Result<Promise, Ballot> {
        if let Some(higher) = self.above(ballot, keys) {
            return Err(higher);
        }
        self.promise(ballot, keys);
        Ok(Promise { accepted: self.overlapping(keys), reservation: self.reserve(ballot) })
    }

    /// Accepts a call, whole. The answer may leave only once the records are on disk.
    ///
    /// # Errors
    /// Where a higher ballot was promised on a key, a key is decided otherwise, or there is no room.
    pub fn accept(
        &mut self,
        ballot: Ballot,
        call: Proposal,
        bid: AcceptReason,
        item_store: &ItemStore,
    ) -> Result<Acceptance, AcceptError> {
        // Danger: whoever has read above this ballot did not hear of this call, and goes by its not being chosen.
        if let Some(to) = self.above(ballot, &call.keys).filter(|_| self.stands(Safeguard::Promise)) {
            return PromisedSnafu { to }.fail();
        }
        if let Some(item) = conflicting_item(&call, item_store).filter(|_| self.stands(Safeguard::Decided)) {
            return TakenSnafu { kind: item.kind, name: item.name.clone(), version: item.version }.fail();
        }
        let is_done = is_committed(&call, item_store);
        let times = if bid == AcceptReason::Resolve { AGAIN } else { 1 };
        let known = self.calls.get(&call.proposal_id).map_or(0, |(_, call)| call.bytes);
        let many = known == 0 && self.calls.len() >= MOST_CALLS * times;
        if !is_done && (many || self.bytes - known + call.bytes > MOST_BYTES * times) {
            return FullSnafu.fail();
        }
        self.promise(ballot, &call.keys);
        let reserve = self.reserve(ballot);
        let mut records: Vec<Record> = reserve.into_iter().map(BallotReservation::record).collect();
        if !is_done {
            let mut value = ballot.to_bytes().to_vec();
            crate::protocol::Items { items: call.to_messages() }.encode_raw(&mut value);
            records.push((encode_key(call.proposal_id), value));
            records.extend(self.remove_denial(call.proposal_id));
            self.insert(ballot, call);
        }
        Ok(Acceptance { records, reservation: reserve })
    }

    /// Takes up that a call is refused for its content: what was accepted of it below this ballot can never be chosen.
    /// Danger: a seat that was not heard may have accepted it in an earlier try, and would bring it in force after
    /// its caller was told that it is refused. So a refusal is told once safe copies of it are on disk.
    ///
    /// # Errors
    /// Where a higher ballot was promised on a key.
    pub fn reject(
        &mut self,
        ballot: Ballot,
        proposal_id: ProposalId,
        keys: &[u64],
    ) -> Result<Acceptance, AcceptError> {
        if let Some(to) = self.above(ballot, keys) {
            return PromisedSnafu { to }.fail();
        }
        self.promise(ballot, keys);
        let reserve = self.reserve(ballot);
        let mut records: Vec<Record> = reserve.into_iter().map(BallotReservation::record).collect();
        if !self.stands(Safeguard::Denial) {
            return Ok(Acceptance { records, reservation: reserve });
        }
        if self.calls.contains_key(&proposal_id) {
            self.remove(proposal_id);
            records.push((encode_key(proposal_id), Vec::new()));
        }
        self.remove_denial(proposal_id);
        while self.denied.len() >= MOST_DENIED || self.denied_keys + keys.len() > MOST_DENIED_KEYS {
            let lowest = self
                .denied
                .iter()
                .min_by_key(|(_, (ballot, _))| *ballot)
                .map(|(proposal_id, _)| *proposal_id);
            let Some(lowest) = lowest else { break };
            records.extend(self.remove_denial(lowest));
        }
        self.insert_denial(ballot, proposal_id, keys.to_vec());
        let keys = keys.iter().flat_map(|key| key.to_be_bytes());
        records.push((denial_key(proposal_id), ballot.to_bytes().into_iter().chain(keys).collect()));
        Ok(Acceptance { records, reservation: reserve })
    }

    fn insert_denial(&mut self, ballot: Ballot, proposal_id: ProposalId, keys: Vec<u64>) {
        self.remove_denial(proposal_id);
        self.denied_keys += keys.len();
        keys.iter().for_each(|key| _ = self.denied_by_key.entry(*key).or_default().insert(proposal_id));
        self.denied.insert(proposal_id, (ballot, keys));
    }

    /// With the record that takes its record away, if there was one.
    fn remove_denial(&mut self, proposal_id: ProposalId) -> Option<Record> {
        let (_, keys) = self.denied.remove(&proposal_id)?;
        self.denied_keys -= keys.len();
        keys.iter().for_each(|key| unindex(&mut self.denied_by_key, *key, proposal_id));
        Some((denial_key(proposal_id), Vec::new()))
    }

    /// The calls that touch any of the keys and are denied, by their marks.
    pub fn rejections(&self, keys: &[u64]) -> impl Iterator<Item = (ProposalId, Ballot)> + '_ {
        let marks: BTreeSet<ProposalId> =
            keys.iter().filter_map(|key| self.denied_by_key.get(key)).flatten().copied().collect();
        marks.into_iter().map(|proposal_id| (proposal_id, self.denied[&proposal_id].0))
    }

    fn insert(&mut self, ballot: Ballot, call: Proposal) {
        let known = self.calls.insert(call.proposal_id, (ballot, call.clone()));
        if known.is_some() {
            return;
        }
        self.bytes += call.bytes;
        for (item, key) in call.items.iter().zip(call.keys.iter()) {
            self.by_key.entry(*key).or_default().insert(call.proposal_id);
            self.by_name.entry(name_key(item)).or_default().insert(call.proposal_id);
        }
    }

    fn remove(&mut self, proposal_id: ProposalId) {
        let Some((_, call)) = self.calls.remove(&proposal_id) else { return };
        self.bytes -= call.bytes;
        for (item, key) in call.items.iter().zip(call.keys.iter()) {
            unindex(&mut self.by_key, *key, proposal_id);
            unindex(&mut self.by_name, name_key(item), proposal_id);
        }
    }

    /// Forgets all calls, but for no promise. For a process that has no seat: nobody counts on what it accepted. Gives the
    /// records that take theirs away.
    pub fn discard_accepted(&mut self) -> Vec<Record> {
        let marks: Vec<ProposalId> = self.calls.keys().copied().collect();
        marks.iter().for_each(|proposal_id| self.remove(*proposal_id));
        let mut records: Vec<Record> =
            marks.into_iter().map(|proposal_id| (encode_key(proposal_id), Vec::new())).collect();
        let denied: Vec<ProposalId> = self.denied.keys().copied().collect();
        records.extend(denied.into_iter().filter_map(|proposal_id| self.remove_denial(proposal_id)));
        records
    }

    /// The accepted, undecided calls that touch any of the keys, by their marks.
    pub fn overlapping(&self, keys: &[u64]) -> Vec<(Ballot, Proposal)> {
        let marks: BTreeSet<ProposalId> =
            keys.iter().filter_map(|key| self.by_key.get(key)).flatten().copied().collect();
        marks.iter().map(|proposal_id| self.calls[proposal_id].clone()).collect()
    }

    /// All accepted, undecided calls.
    pub fn pending(&self) -> impl Iterator<Item = (Ballot, &Proposal)> {
        self.calls.values().map(|(ballot, call)| (*ballot, call))
    }

    /// An accepted, undecided call.
    pub fn get(&self, proposal_id: ProposalId) -> Option<(Ballot, &Proposal)> {
        self.calls.get(&proposal_id).map(|(ballot, call)| (*ballot, call))
    }

    /// Drops calls that are decided, or can never be, now that the ledger has `changed`. Gives the records that take
    /// theirs away: to be kept with the changed items' records or after them. Danger: the other way round a loss of
    /// power between the two would forget what was chosen.
    pub fn commit<'a>(
        &mut self,
        item_store: &ItemStore,
        changed: impl IntoIterator<Item = &'a Item>,
    ) -> Vec<Record> {
        if self.calls.is_empty() {
            return Vec::new();
        }
        let near = |item: &Item| self.by_name.get(&name_key(item));
        let marks: BTreeSet<ProposalId> = changed.into_iter().filter_map(near).flatten().copied().collect();
        self.settle_these(item_store, marks)
    }

    /// As [`Acceptor::settle`], whatever has changed.
    pub fn commit_all(&mut self, item_store: &ItemStore) -> Vec<Record> {
        let marks = self.calls.keys().copied().collect();
        self.settle_these(item_store, marks)
    }

    fn settle_these(&mut self, item_store: &ItemStore, mut marks: BTreeSet<ProposalId>) -> Vec<Record> {
        let is_over = |call: &Proposal| {
            is_committed(call, item_store)
                || self.stands(Safeguard::Void) && conflicting_item(call, item_store).is_some()
        };
        marks.retain(|proposal_id| is_over(&self.calls[proposal_id].1));
        marks.iter().for_each(|proposal_id| self.remove(*proposal_id));
        marks.into_iter().map(|proposal_id| (encode_key(proposal_id), Vec::new())).collect()
    }
}

fn unindex(index: &mut BTreeMap<u64, BTreeSet<ProposalId>>, key: u64, proposal_id: ProposalId) {
    if let Some(marks) = index.get_mut(&key) {
        marks.remove(&proposal_id);
        if marks.is_empty() {
            index.remove(&key);
        }
    }
}

fn encode_key(proposal_id: ProposalId) -> Vec<u8> {
    [CALL, &proposal_id.0].concat()
}

fn denial_key(proposal_id: ProposalId) -> Vec<u8> {
    [DENIED, &proposal_id.0].concat()
}

/// The item of a call that is decided with another content, if there is one: the call can never be chosen.
pub fn conflicting_item<'a>(call: &'a Proposal, item_store: &ItemStore) -> Option<&'a Item> {
    call.items.iter().find(|item| item_store.version_status(item) == VersionStatus::DifferentContent)
}

/// Whether all that a call says is decided, or too old to have an effect.
pub fn is_committed(call: &Proposal, item_store: &ItemStore) -> bool {
    call.items.iter().all(|item| {
        matches!(item_store.version_status(item), VersionStatus::SameContent | VersionStatus::Forgotten)
    })
}

/// The accepted calls that a proposer heard of, each with the highest ballot it was told with. What was heard while
/// others were resolved stays heard: chains of calls go up in ballots, and so have an end.
pub type ObservedProposals = BTreeMap<ProposalId, (Ballot, Proposal)>;

/// Takes up what a reading told.
pub fn observe(seen: &mut ObservedProposals, calls: impl IntoIterator<Item = (Ballot, Proposal)>) {
    for (ballot, call) in calls {
        let known = seen.entry(call.proposal_id).or_insert((ballot, call));
        known.0 = known.0.max(ballot);
    }
}

/// What of it may still be chosen: a denial, wherever it was heard, tells that a call was not chosen below its ballot and
/// never will be.
pub fn possibly_chosen(seen: &ObservedProposals, denied: &BTreeMap<ProposalId, Ballot>) -> ObservedProposals {
    let lives = |proposal_id: &ProposalId, ballot: &Ballot| {
        denied.get(proposal_id).is_none_or(|denial| denial < ballot)
    };
    let living = seen.iter().filter(|(proposal_id, (ballot, _))| lives(proposal_id, ballot));
    living.map(|(proposal_id, accepted)| (*proposal_id, accepted.clone())).collect()
}

/// How a call stands after a reading.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStatus {
    /// All it says is decided: it is confirmed.
    Committed,
    /// An item's version is decided with another content. Final: no part of the call ever takes effect.
    Conflicting(Item),
    /// This call may have been chosen on one of the keys: it is resolved first, then all begins again.
    BlockedBy(ProposalId),
    /// It was accepted somewhere and may be chosen already: it is proposed whatever there is to say against it.
    AlreadyAccepted,
    /// Nobody was heard of who had accepted it: it is judged, then proposed.
    New,
}

/// How a call stands after a reading over all its keys, with all that was heard merged into the ledger.
pub fn proposal_status(call: &Proposal, seen: &ObservedProposals, item_store: &ItemStore) -> ProposalStatus {
    weigh(call, seen, item_store, None)
}

pub(crate) fn weigh(
    call: &Proposal,
    seen: &ObservedProposals,
    item_store: &ItemStore,
    out: Option<Safeguard>,
) -> ProposalStatus {
    if let Some(item) = conflicting_item(call, item_store) {
        return ProposalStatus::Conflicting(item.clone());
    }
    if is_committed(call, item_store) {
        return ProposalStatus::Committed;
    }
    // Danger: a call that can never be chosen would stand in the others' way for ever.
    let is_void =
        |call: &Proposal| out != Some(Safeguard::Void) && conflicting_item(call, item_store).is_some();
    let mut candidates: BTreeMap<u64, (Ballot, ProposalId)> = BTreeMap::new();
    for (ballot, other) in seen.values().filter(|(_, call)| !is_void(call)) {
        for key in other.keys.iter() {
            let candidate = candidates.entry(*key).or_insert((*ballot, other.proposal_id));
            *candidate = (*candidate).max((*ballot, other.proposal_id));
        }
    }
    let open = |(item, _): &(&Item, &u64)| item_store.version_status(item) == VersionStatus::Undecided;
    let keys = call.items.iter().zip(call.keys.iter()).filter(open);
    let says_same = |item: &Item, proposal_id: &ProposalId| seen[proposal_id].1.items.contains(item);
    let before = keys
        .filter_map(|(item, key)| candidates.get(key).map(|candidate| (item, candidate)))
        .filter(|(_, (_, proposal_id))| *proposal_id != call.proposal_id)
        .filter(|(item, (_, proposal_id))| {
            out != Some(Safeguard::SameContent) || !says_same(item, proposal_id)
        })
        .map(|(_, candidate)| candidate)
        .max();
    match before {
        Some((_, proposal_id)) if out != Some(Safeguard::Candidate) => {
            ProposalStatus::BlockedBy(*proposal_id)
        }
        _ if seen.contains_key(&call.proposal_id) => ProposalStatus::AlreadyAccepted,
        _ => ProposalStatus::New,
    }
}
