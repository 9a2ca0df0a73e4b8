//! The acceptor's records: what stands on disk, under which key, and what it means.
//!
//! | key | value | meaning |
//! | --- | --- | --- |
//! | `floor` | ballot | no promise above it was sent; after a restart nothing below it is accepted |
//! | `call:` and a proposal id | ballot, then the items as an [`Items`] message | accepted under the ballot, not known to be committed |
//! | `deny:` and a proposal id | ballot, then the proposal's keys, 8 bytes each | rejected under the ballot: not chosen below it |
//!
//! Ballots have 24 bytes: epoch, round and proposer, each big-endian; so are the keys.

use super::proposal::{Proposal, ProposalId};
use crate::protocol::{Ballot, Items};
use prost::Message as _;

/// The key of the floor's record.
pub(super) const FLOOR_KEY: &[u8] = b"floor";
/// What the key of an accepted proposal's record begins with; the proposal id follows.
const ACCEPTED_PREFIX: &[u8] = b"call:";
/// What the key of a rejected proposal's record begins with; the proposal id follows.
const REJECTED_PREFIX: &[u8] = b"deny:";

/// A key and a value for the durable store. An empty value deletes the record.
pub type Record = (Vec<u8>, Vec<u8>);

/// A floor for promises that must be on disk before a promise that it covers is sent; then
/// [`Acceptor::reservation_persisted`](super::Acceptor::reservation_persisted) is to be called.
///
/// One reservation covers many rounds, so that not every promise waits for the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[must_use]
pub struct BallotReservation(pub(super) Ballot);

impl BallotReservation {
    /// The floor's record.
    pub fn record(self) -> Record {
        (FLOOR_KEY.to_vec(), self.0.to_bytes().to_vec())
    }
}

/// What a record of an earlier incarnation was to the acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreOutcome {
    /// It is not one of the acceptor's records.
    Ignored,
    /// It was decoded, and the acceptor's state now includes it.
    Applied,
    /// It cannot be read.
    ///
    /// Invariant: a proposal may have been chosen by the acceptance that it stood for, so that whoever finds it must
    /// not go on with this disk as the same replica.
    Malformed,
}

/// A record that was read.
pub(super) enum AcceptorRecord {
    Floor(Ballot),
    Accepted { ballot: Ballot, proposal: Proposal },
    Rejected { ballot: Ballot, proposal_id: ProposalId, keys: Vec<u64> },
}

impl AcceptorRecord {
    /// Reads a record.
    ///
    /// # Errors
    /// [`RestoreOutcome::Ignored`] if the key is none of the acceptor's, [`RestoreOutcome::Malformed`] if the value cannot be read.
    pub(super) fn decode(key: &[u8], value: &[u8]) -> Result<AcceptorRecord, RestoreOutcome> {
        let record = if key == FLOOR_KEY {
            decode_floor(value)
        } else if let Some(proposal_id) = key.strip_prefix(REJECTED_PREFIX) {
            decode_rejected(proposal_id, value)
        } else if let Some(proposal_id) = key.strip_prefix(ACCEPTED_PREFIX) {
            decode_accepted(proposal_id, value)
        } else {
            return Err(RestoreOutcome::Ignored);
        };
        record.ok_or(RestoreOutcome::Malformed)
    }
}

fn decode_floor(value: &[u8]) -> Option<AcceptorRecord> {
    let (floor, rest) = Ballot::split_from_bytes(value)?;
    rest.is_empty().then_some(AcceptorRecord::Floor(floor))
}

fn decode_rejected(proposal_id: &[u8], value: &[u8]) -> Option<AcceptorRecord> {
    let (ballot, rest) = Ballot::split_from_bytes(value)?;
    let (keys, []) = rest.as_chunks::<8>() else { return None };
    let keys = keys.iter().map(|key| u64::from_be_bytes(*key)).collect();
    Some(AcceptorRecord::Rejected { ballot, proposal_id: ProposalId::from_bytes(proposal_id)?, keys })
}

fn decode_accepted(proposal_id: &[u8], value: &[u8]) -> Option<AcceptorRecord> {
    let (ballot, rest) = Ballot::split_from_bytes(value)?;
    let proposal = Proposal::from_messages(Items::decode(rest).ok()?.items)?;
    let is_of_this_key = proposal.proposal_id().0[..] == *proposal_id;
    is_of_this_key.then_some(AcceptorRecord::Accepted { ballot, proposal })
}

pub(super) fn accepted_record(ballot: Ballot, proposal: &Proposal) -> Record {
    let mut value = ballot.to_bytes().to_vec();
    Items::complete(proposal.to_messages()).encode_raw(&mut value);
    (accepted_key(proposal.proposal_id()), value)
}

pub(super) fn accepted_deletion(proposal_id: ProposalId) -> Record {
    (accepted_key(proposal_id), Vec::new())
}

pub(super) fn rejected_record(ballot: Ballot, proposal_id: ProposalId, keys: &[u64]) -> Record {
    let keys = keys.iter().flat_map(|key| key.to_be_bytes());
    let value = ballot.to_bytes().into_iter().chain(keys).collect();
    (rejected_key(proposal_id), value)
}

pub(super) fn rejected_deletion(proposal_id: ProposalId) -> Record {
    (rejected_key(proposal_id), Vec::new())
}

fn accepted_key(proposal_id: ProposalId) -> Vec<u8> {
    [ACCEPTED_PREFIX, &proposal_id.0].concat()
}

fn rejected_key(proposal_id: ProposalId) -> Vec<u8> {
    [REJECTED_PREFIX, &proposal_id.0].concat()
}
