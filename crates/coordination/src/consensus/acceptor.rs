//! The acceptor: the promises and accepted proposals of one replica.

use super::accepted::AcceptedProposals;
use super::error::{AcceptError, CapacityExceededSnafu, ConflictingSnafu, PromisedSnafu};
use super::promises::PromiseTable;
use super::proposal::{Proposal, ProposalId};
use super::proposer::{conflicting_item, is_committed};
use super::records::{
    accepted_deletion, accepted_record, AcceptorRecord, BallotReservation, Record, RestoreOutcome,
};
use super::rejected::RejectedChanges;
use super::safeguard::Safeguard;
use crate::protocol::Ballot;
use kitepass_config::{Item, ItemStore};
use std::collections::BTreeSet;

/// Limits on the number and total size of accepted proposals that are not committed yet. Without them, a client whose
/// proposals are never committed could fill memory and disk.
pub(super) const MAX_ACCEPTED: usize = 512;
const MAX_ACCEPTED_BYTES: usize = 64 << 20;
/// The factor by which the limits are raised for proposals that another replica has already accepted. Without it,
/// acceptors that are each full of different proposals could resolve none of them.
const RESOLVE_FACTOR: usize = 4;

/// The result of a successful prepare request.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// The accepted, uncommitted proposals that contain any of the keys, as of the moment of the promise.
    ///
    /// Invariant: they are read atomically with the promise. If they were read later, one of them could have been
    /// committed in between, after the part of the item store that contains its items had already been sent.
    pub accepted: Vec<(Ballot, Proposal)>,
    /// If present, the response must not be sent before this reservation's record is on disk. The write must have been
    /// issued for this response, even if an identical record is already being written for another response.
    pub reservation: Option<BallotReservation>,
}

/// The records that must be on disk before an acceptance is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct Acceptance {
    /// The records to write. If the proposal is already committed, they include none for the proposal itself: its
    /// committed items must be on disk instead.
    pub records: Vec<Record>,
    /// The reservation whose record is included in `records`, if any.
    pub reservation: Option<BallotReservation>,
}

/// Why a proposer asks an acceptor to accept a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptReason {
    /// No replica that responded to the proposer had accepted the proposal before.
    New,
    /// A replica had accepted the proposal before, and it is now being resolved.
    Resolve,
}

/// One replica's acceptor for all consensus instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    pub(super) promises: PromiseTable,
    pub(super) accepted: AcceptedProposals,
    pub(super) rejected: RejectedChanges,
    /// The safeguard that a test has disabled.
    pub(super) disabled: Option<Safeguard>,
}

impl Acceptor {
    /// Creates an acceptor without any records. Existing records are loaded with [`Acceptor::restore`].
    pub fn new() -> Acceptor {
        Acceptor::default()
    }

    #[cfg(test)]
    pub(crate) fn without(safeguard: Option<Safeguard>) -> Acceptor {
        Acceptor { disabled: safeguard, ..Acceptor::new() }
    }

    fn is_enabled(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// Loads a record written by an earlier incarnation. After the last record, [`Acceptor::commit_all`] must be
    /// called.
    pub fn restore(&mut self, key: &[u8], value: &[u8]) -> RestoreOutcome {
        match AcceptorRecord::decode(key, value) {
            Ok(AcceptorRecord::Floor(floor)) => self.restore_floor(floor),
            Ok(AcceptorRecord::Accepted { ballot, proposal }) => self.accepted.insert(ballot, proposal),
            Ok(AcceptorRecord::Rejected { ballot, proposal_id, keys }) => {
                self.rejected.insert(ballot, proposal_id, keys);
            }
            Err(restored) => return restored,
        }
        RestoreOutcome::Applied
    }

    /// Invariant: promises remain binding after a restart. The ballots that the earlier incarnation promised after
    /// writing the floor are not on disk individually, but the floor is above all of them.
    fn restore_floor(&mut self, floor: Ballot) {
        if self.is_enabled(Safeguard::PersistedFloor) {
            self.promises.raise_floor(floor);
        }
        self.promises.restore_reservation(floor);
    }

    /// Records that a reservation's record is on disk.
    pub fn reservation_persisted(&mut self, reservation: BallotReservation) {
        self.promises.reservation_persisted(reservation);
    }

    /// Rejects all ballots of earlier membership epochs from now on.
    ///
    /// Invariant: the replicas of a new epoch know only the state that write quorums of the old epoch had accepted by
    /// the time it was read. A replica must therefore be fenced before it answers such a read or accepts a change of
    /// the replica set. If a reservation is returned, no response that depends on the fence may be sent before its
    /// record is on disk.
    pub fn fence(&mut self, epoch: u64) -> Option<BallotReservation> {
        let lowest = Ballot { epoch, round: 0, proposer: 0 };
        self.promises.raise_floor(lowest);
        self.promises.reserve(lowest)
    }

    /// Phase 1: promises not to accept any lower ballot on any of the keys.
    ///
    /// # Errors
    /// Returns the higher ballot if one has already been promised.
    pub fn prepare(&mut self, ballot: Ballot, keys: &[u64]) -> Result<Promise, Ballot> {
        if let Some(higher) = self.promise_above(ballot, keys) {
            return Err(higher);
        }
        self.promises.promise(ballot, keys);
        Ok(Promise { accepted: self.overlapping(keys), reservation: self.promises.reserve(ballot) })
    }

    /// The highest promise on any of the keys, if it is above the given ballot.
    fn promise_above(&self, ballot: Ballot, keys: &[u64]) -> Option<Ballot> {
        let highest = self.promises.highest(keys);
        let is_above = if self.is_enabled(Safeguard::EpochFirst) {
            highest > ballot
        } else {
            (highest.round, highest.proposer) > (ballot.round, ballot.proposer)
        };
        is_above.then_some(highest)
    }

    /// Phase 2: accepts a proposal with all its items. The response must not be sent before the returned records are on
    /// disk.
    ///
    /// # Errors
    /// Fails if a higher ballot was promised on one of the keys, if an item's version is committed with different
    /// content, or if a limit is reached.
    pub fn accept(
        &mut self,
        ballot: Ballot,
        proposal: Proposal,
        reason: AcceptReason,
        item_store: &ItemStore,
    ) -> Result<Acceptance, AcceptError> {
        self.check_acceptable(ballot, &proposal, item_store)?;
        let is_committed = is_committed(proposal.items().iter(), item_store);
        if !is_committed && !self.has_capacity(&proposal, reason) {
            return CapacityExceededSnafu.fail();
        }
        let mut acceptance = self.promise_and_reserve(ballot, proposal.keys());
        if !is_committed {
            acceptance.records.push(accepted_record(ballot, &proposal));
            acceptance.records.extend(self.rejected.remove(proposal.change_id()));
            self.accepted.insert(ballot, proposal);
        }
        Ok(acceptance)
    }

    fn check_acceptable(
        &self,
        ballot: Ballot,
        proposal: &Proposal,
        item_store: &ItemStore,
    ) -> Result<(), AcceptError> {
        // Invariant: a proposer that has prepared a higher ballot here was not told of this proposal, and relies on it
        // not being chosen.
        if self.is_enabled(Safeguard::Promise) {
            if let Some(to) = self.promise_above(ballot, proposal.keys()) {
                return PromisedSnafu { to }.fail();
            }
        }
        if self.is_enabled(Safeguard::CommittedContent) {
            if let Some(item) = conflicting_item(proposal.items().iter(), item_store) {
                let (kind, name, version) = (item.kind, item.name.clone(), item.version);
                return ConflictingSnafu { kind, name, version }.fail();
            }
        }
        Ok(())
    }

    fn has_capacity(&self, proposal: &Proposal, reason: AcceptReason) -> bool {
        let factor = if reason == AcceptReason::Resolve { RESOLVE_FACTOR } else { 1 };
        let known_bytes = self.get(proposal.proposal_id()).map_or(0, |(_, known)| known.bytes());
        let is_known = known_bytes > 0;
        let bytes = self.accepted.bytes - known_bytes + proposal.bytes();
        (is_known || self.accepted.len() < MAX_ACCEPTED * factor) && bytes <= MAX_ACCEPTED_BYTES * factor
    }

    /// Promises the ballot, and returns the reservation record that must be on disk first, if any.
    fn promise_and_reserve(&mut self, ballot: Ballot, keys: &[u64]) -> Acceptance {
        self.promises.promise(ballot, keys);
        let reservation = self.promises.reserve(ballot);
        let records = reservation.into_iter().map(BallotReservation::record).collect();
        Acceptance { records, reservation }
    }

    /// Rejects a change because of its content: acceptances of any proposal of it below this ballot can no longer lead to
    /// it being chosen. `keys` are those of the change's items.
    ///
    /// Invariant: a rejection is reported to the operator only after a write quorum has it on disk. Otherwise, a
    /// replica that did not respond might have accepted the proposal in an earlier attempt. If another proposer then
    /// resolved the proposal, it would take effect after it had been reported as rejected.
    ///
    /// # Errors
    /// Fails if a higher ballot was promised on one of the keys.
    pub fn reject(
        &mut self,
        ballot: Ballot,
        change_id: ProposalId,
        keys: &[u64],
    ) -> Result<Acceptance, AcceptError> {
        if let Some(to) = self.promise_above(ballot, keys) {
            return PromisedSnafu { to }.fail();
        }
        let mut rejection = self.promise_and_reserve(ballot, keys);
        if !self.is_enabled(Safeguard::Rejection) {
            return Ok(rejection);
        }
        for proposal_id in self.accepted.of_change(change_id, keys) {
            self.accepted.remove(proposal_id);
            rejection.records.push(accepted_deletion(proposal_id));
        }
        rejection.records.extend(self.rejected.add(ballot, change_id, keys));
        Ok(rejection)
    }

    /// The IDs of the rejected changes that contain any of the keys, with the ballots of their rejections.
    pub fn rejections(&self, keys: &[u64]) -> impl Iterator<Item = (ProposalId, Ballot)> + '_ {
        self.rejected.overlapping(keys)
    }

    /// Discards all accepted and rejected proposals but keeps all promises, and returns the records that delete them
    /// from disk. For a process that is not a replica: no quorum depends on the proposals that it has accepted.
    pub fn discard_accepted(&mut self) -> Vec<Record> {
        let mut records = self.remove_accepted(self.accepted.ids());
        records.extend(self.rejected.clear());
        records
    }

    /// The accepted, uncommitted proposals that contain any of the keys, ordered by ID.
    pub fn overlapping(&self, keys: &[u64]) -> Vec<(Ballot, Proposal)> {
        self.accepted.overlapping(keys)
    }

    /// The accepted, uncommitted proposals that contain any version of an item with any of these
    /// [`name_key`](super::name_key)s, ordered by ID.
    pub fn overlapping_names(&self, name_keys: &[u64]) -> Vec<(Ballot, Proposal)> {
        self.accepted.overlapping_names(name_keys)
    }

    /// All accepted, uncommitted proposals.
    pub fn pending(&self) -> impl Iterator<Item = (Ballot, &Proposal)> {
        self.accepted.iter()
    }

    /// The accepted, uncommitted proposal with this ID.
    pub fn get(&self, proposal_id: ProposalId) -> Option<(Ballot, &Proposal)> {
        self.accepted.get(proposal_id)
    }

    /// Learns of committed items: drops the accepted proposals that are committed or can no longer be chosen, now that
    /// the item store contains `changed`. Returns the records that delete the proposals from disk.
    ///
    /// Invariant: the returned records are written together with the records of the changed items, or after them. In
    /// the opposite order, a power loss between the two writes would lose a chosen proposal.
    pub fn commit<'a>(
        &mut self,
        item_store: &ItemStore,
        changed: impl IntoIterator<Item = &'a Item>,
    ) -> Vec<Record> {
        if self.accepted.is_empty() {
            return Vec::new();
        }
        self.remove_resolved(item_store, self.accepted.with_any_version_of(changed))
    }

    /// Like [`Acceptor::commit`], but checks all accepted proposals.
    pub fn commit_all(&mut self, item_store: &ItemStore) -> Vec<Record> {
        self.remove_resolved(item_store, self.accepted.ids())
    }

    fn remove_resolved(
        &mut self,
        item_store: &ItemStore,
        mut candidates: BTreeSet<ProposalId>,
    ) -> Vec<Record> {
        candidates.retain(|proposal_id| {
            self.get(*proposal_id).is_some_and(|(_, proposal)| self.is_resolved(proposal, item_store))
        });
        self.remove_accepted(candidates)
    }

    /// Whether a proposal is committed or can no longer be chosen.
    fn is_resolved(&self, proposal: &Proposal, item_store: &ItemStore) -> bool {
        let drops_conflicting = self.is_enabled(Safeguard::IgnoreConflicting);
        is_committed(proposal.items().iter(), item_store)
            || drops_conflicting && conflicting_item(proposal.items().iter(), item_store).is_some()
    }

    fn remove_accepted(&mut self, ids: BTreeSet<ProposalId>) -> Vec<Record> {
        for proposal_id in &ids {
            self.accepted.remove(*proposal_id);
        }
        ids.into_iter().map(accepted_deletion).collect()
    }
}
