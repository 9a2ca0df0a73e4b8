//! The acceptor's records on disk: their keys, values and meaning.
//!
//! | key | value | meaning |
//! | --- | --- | --- |
//! | `floor` | ballot | no promise above it has been sent; after a restart, no ballot below it is accepted |
//! | `call:` and a proposal ID | ballot, then the items as an [`Items`] message | accepted under the ballot, not known to be committed |
//! | `deny:` and a proposal ID | ballot, then the proposal's keys, 8 bytes each | rejected under the ballot: not chosen below it |
//!
//! A ballot takes 24 bytes: epoch, round and proposer, each big-endian. Keys are big-endian as well.

use super::proposal::{Proposal, ProposalId};
use crate::protocol::{Ballot, Items};
use prost::Message as _;

/// The key of the floor record.
pub(super) const FLOOR_KEY: &[u8] = b"floor";
/// The prefix of an accepted proposal's key; the proposal ID follows.
const ACCEPTED_PREFIX: &[u8] = b"call:";
/// The prefix of a rejected proposal's key; the proposal ID follows.
const REJECTED_PREFIX: &[u8] = b"deny:";

/// A key and a value for durable storage. An empty value deletes the record.
pub type Record = (Vec<u8>, Vec<u8>);

/// A floor for promises. It must be on disk before a promise that it covers is sent; once it is,
/// [`Acceptor::reservation_persisted`](super::Acceptor::reservation_persisted) must be called.
///
/// One reservation covers many rounds, so that most promises need not wait for the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[must_use]
pub struct BallotReservation(pub(super) Ballot);

impl BallotReservation {
    /// The floor record.
    pub fn record(self) -> Record {
        (FLOOR_KEY.to_vec(), self.0.to_bytes().to_vec())
    }
}

/// The result of loading a record with [`Acceptor::restore`](super::Acceptor::restore).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreOutcome {
    /// The record does not belong to the acceptor.
    Ignored,
    /// The record was decoded and applied to the acceptor's state.
    Applied,
    /// The record cannot be decoded.
    ///
    /// Invariant: the lost acceptance may have been part of the quorum that chose a proposal. The process must
    /// therefore not continue as the same replica with this disk.
    Malformed,
}

/// A decoded record.
pub(super) enum AcceptorRecord {
    Floor(Ballot),
    Accepted { ballot: Ballot, proposal: Proposal },
    Rejected { ballot: Ballot, proposal_id: ProposalId, keys: Vec<u64> },
}

impl AcceptorRecord {
    /// Decodes a record.
    ///
    /// # Errors
    /// Returns [`RestoreOutcome::Ignored`] if the key does not belong to the acceptor, and
    /// [`RestoreOutcome::Malformed`] if the value cannot be decoded.
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
