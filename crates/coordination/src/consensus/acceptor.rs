//! The acceptor: what one replica has promised and accepted.

use super::accepted::AcceptedProposals;
use super::error::{AcceptError, CapacityExceededSnafu, ConflictingSnafu, PromisedSnafu};
use super::promises::PromiseTable;
use super::proposal::{Proposal, ProposalId};
use super::proposer::{conflicting_item, is_committed};
use super::records::{
    accepted_deletion, accepted_record, AcceptorRecord, BallotReservation, Record, RestoreOutcome,
};
use super::rejected::RejectedProposals;
use super::safeguard::Safeguard;
use crate::protocol::Ballot;
use kitepass_config::{Item, ItemStore};
use std::collections::BTreeSet;

/// Accepted proposals that are not committed yet, and their bytes. Without these bounds whoever sends proposals that
/// are never committed would fill memory and disk.
pub(super) const MAX_ACCEPTED: usize = 512;
const MAX_ACCEPTED_BYTES: usize = 64 << 20;
/// These bounds are this many times wider for proposals that another replica has accepted before. Otherwise acceptors
/// that are full, each of other proposals, could resolve none of them.
const RESOLVE_FACTOR: usize = 4;

/// What was promised.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// The accepted, uncommitted proposals that touch any of the keys, as they were when the promise was given.
    ///
    /// Invariant: they are read together with the promise. Read later, one could have been committed in between, after
    /// the part of the item store that it belongs to was sent already.
    pub accepted: Vec<(Ballot, Proposal)>,
    /// If there is one, the response may leave only once its record is on disk: written for this response itself, even
    /// where the same record is being written for another one.
    pub reservation: Option<BallotReservation>,
}

/// What must be on disk, completely, before an acceptance is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct Acceptance {
    /// Those of the proposal are left out where it is committed already: its items need only be on disk.
    pub records: Vec<Record>,
    /// Its record is one of `records`.
    pub reservation: Option<BallotReservation>,
}

/// Why a proposal is to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptReason {
    /// No replica that responded to the proposer had accepted it.
    New,
    /// A replica had accepted it before: it is being resolved.
    Resolve,
}

/// One replica's acceptor for all consensus instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    pub(super) promises: PromiseTable,
    pub(super) accepted: AcceptedProposals,
    pub(super) rejected: RejectedProposals,
    /// The safeguard that a test has taken out.
    pub(super) disabled: Option<Safeguard>,
}

impl Acceptor {
    /// With an empty disk. What the disk holds is given to [`Acceptor::restore`].
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

    /// Takes over a record of an earlier incarnation. After the last one, [`Acceptor::commit_all`] is to be called.
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

    /// Invariant: a promise binds the next incarnation too. Which ballots the earlier one promised since the floor was
    /// written is not on disk; the floor lies above all of them.
    fn restore_floor(&mut self, floor: Ballot) {
        if self.is_enabled(Safeguard::PersistedFloor) {
            self.promises.raise_floor(floor);
        }
        self.promises.restore_reservation(floor);
    }

    /// A reservation's record is on disk.
    pub fn reservation_persisted(&mut self, reservation: BallotReservation) {
        self.promises.reservation_persisted(reservation);
    }

    /// From now on no ballot of an earlier membership epoch is accepted.
    ///
    /// Invariant: the replicas of a new epoch read only what write quorums held when they read. So a replica that
    /// answers such a reading, or accepts a change of the replica set, is fenced before it responds. If there is a
    /// reservation, nothing that rests on the fence may be sent before it is on disk.
    pub fn fence(&mut self, epoch: u64) -> Option<BallotReservation> {
        let lowest = Ballot { epoch, round: 0, proposer: 0 };
        self.promises.raise_floor(lowest);
        self.promises.reserve(lowest)
    }

    /// Phase 1: promises to accept nothing below the ballot on any of the keys.
    ///
    /// # Errors
    /// With the higher ballot that was promised before.
    pub fn prepare(&mut self, ballot: Ballot, keys: &[u64]) -> Result<Promise, Ballot> {
        if let Some(higher) = self.promise_above(ballot, keys) {
            return Err(higher);
        }
        self.promises.promise(ballot, keys);
        Ok(Promise { accepted: self.overlapping(keys), reservation: self.promises.reserve(ballot) })
    }

    /// The highest promise on any of the keys, if it is above a ballot.
    fn promise_above(&self, ballot: Ballot, keys: &[u64]) -> Option<Ballot> {
        let highest = self.promises.highest(keys);
        let is_above = if self.is_enabled(Safeguard::EpochFirst) {
            highest > ballot
        } else {
            (highest.round, highest.proposer) > (ballot.round, ballot.proposer)
        };
        is_above.then_some(highest)
    }

    /// Phase 2: accepts a proposal with all its items. The response may leave only once the records are on disk.
    ///
    /// # Errors
    /// If a higher ballot was promised on a key, a key is committed with other content, or the bounds are reached.
    pub fn accept(
        &mut self,
        ballot: Ballot,
        proposal: Proposal,
        reason: AcceptReason,
        item_store: &ItemStore,
    ) -> Result<Acceptance, AcceptError> {
        self.check_acceptable(ballot, &proposal, item_store)?;
        let is_committed = is_committed(&proposal, item_store);
        if !is_committed && !self.has_capacity(&proposal, reason) {
            return CapacityExceededSnafu.fail();
        }
        let mut acceptance = self.promise_durably(ballot, proposal.keys());
        if !is_committed {
            acceptance.records.push(accepted_record(ballot, &proposal));
            acceptance.records.extend(self.rejected.remove(proposal.proposal_id()));
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
        // Invariant: a proposer that has prepared a higher ballot here did not learn of this proposal, and relies on its
        // not being chosen.
        if self.is_enabled(Safeguard::Promise) {
            if let Some(to) = self.promise_above(ballot, proposal.keys()) {
                return PromisedSnafu { to }.fail();
            }
        }
        if self.is_enabled(Safeguard::CommittedContent) {
            if let Some(item) = conflicting_item(proposal, item_store) {
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

    /// Promises the ballot, with the record that has to be on disk for it.
    fn promise_durably(&mut self, ballot: Ballot, keys: &[u64]) -> Acceptance {
        self.promises.promise(ballot, keys);
        let reservation = self.promises.reserve(ballot);
        let records = reservation.into_iter().map(BallotReservation::record).collect();
        Acceptance { records, reservation }
    }

    /// Records that a proposal is rejected for its content: what was accepted of it below this ballot can never be
    /// chosen.
    ///
    /// Invariant: a rejection is reported to the operator only once a write quorum has it on disk. A replica that did not
    /// respond may have accepted the proposal in an earlier attempt; resolved by another proposer, it would take effect
    /// after it was reported to be rejected.
    ///
    /// # Errors
    /// If a higher ballot was promised on a key.
    pub fn reject(
        &mut self,
        ballot: Ballot,
        proposal_id: ProposalId,
        keys: &[u64],
    ) -> Result<Acceptance, AcceptError> {
        if let Some(to) = self.promise_above(ballot, keys) {
            return PromisedSnafu { to }.fail();
        }
        let mut rejection = self.promise_durably(ballot, keys);
        if !self.is_enabled(Safeguard::Rejection) {
            return Ok(rejection);
        }
        if self.accepted.remove(proposal_id) {
            rejection.records.push(accepted_deletion(proposal_id));
        }
        rejection.records.extend(self.rejected.add(ballot, proposal_id, keys));
        Ok(rejection)
    }

    /// The rejected proposals that touch any of the keys, by their ids, with the ballots of their rejections.
    pub fn rejections(&self, keys: &[u64]) -> impl Iterator<Item = (ProposalId, Ballot)> + '_ {
        self.rejected.overlapping(keys)
    }

    /// Forgets all accepted and rejected proposals, but no promise. For a process that is no replica: nobody counts on
    /// what it accepted. The records delete theirs.
    pub fn discard_accepted(&mut self) -> Vec<Record> {
        let mut records = self.remove_accepted(self.accepted.ids());
        records.extend(self.rejected.clear());
        records
    }

    /// The accepted, uncommitted proposals that touch any of the keys, in the order of their ids.
    pub fn overlapping(&self, keys: &[u64]) -> Vec<(Ballot, Proposal)> {
        self.accepted.overlapping(keys)
    }

    /// All accepted, uncommitted proposals.
    pub fn pending(&self) -> impl Iterator<Item = (Ballot, &Proposal)> {
        self.accepted.iter()
    }

    /// An accepted, uncommitted proposal.
    pub fn get(&self, proposal_id: ProposalId) -> Option<(Ballot, &Proposal)> {
        self.accepted.get(proposal_id)
    }

    /// Learns: drops the proposals that are committed, or can never be, now that the item store has `changed`.
    ///
    /// Invariant: the records, which delete those of the proposals, are written with the changed items' records or after
    /// them. The other way round, a loss of power between the two would forget what was chosen.
    pub fn commit<'a>(
        &mut self,
        item_store: &ItemStore,
        changed: impl IntoIterator<Item = &'a Item>,
    ) -> Vec<Record> {
        if self.accepted.is_empty() {
            return Vec::new();
        }
        self.remove_resolved(item_store, self.accepted.with_names_of(changed))
    }

    /// As [`Acceptor::commit`], whatever has changed.
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

    /// Whether a proposal is committed, or can never be.
    fn is_resolved(&self, proposal: &Proposal, item_store: &ItemStore) -> bool {
        let drops_conflicting = self.is_enabled(Safeguard::IgnoreConflicting);
        is_committed(proposal, item_store)
            || drops_conflicting && conflicting_item(proposal, item_store).is_some()
    }

    fn remove_accepted(&mut self, ids: BTreeSet<ProposalId>) -> Vec<Record> {
        for proposal_id in &ids {
            self.accepted.remove(*proposal_id);
        }
        ids.into_iter().map(accepted_deletion).collect()
    }
}
