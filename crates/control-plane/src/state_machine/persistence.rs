//! Records on their way to disk, and what may be done only once they are there.

use super::records::{Record, RecordedVote};
use super::Action;
use kitepass_coordination::consensus::BallotReservation;
use kitepass_coordination::protocol::{AcceptResponse, LeaseVote, PrepareResponse};
use std::collections::BTreeMap;

/// What waits until records are on disk.
pub(super) enum PendingWrite {
    /// The answer to an accept request.
    Accept { node_id: String, response: AcceptResponse, reservation: Option<BallotReservation> },
    /// The answer to a prepare request, and the reservation that covers its promise.
    Promise { node_id: String, response: PrepareResponse, reservation: BallotReservation },
    /// A lease vote.
    Vote { node_id: String, recorded: RecordedVote, vote: LeaseVote },
    /// That this disk is complete.
    Completeness,
    /// Nothing waits.
    Nothing,
}

/// Writes in flight, by the request id under which the disk reports them, and records that can wait for the next
/// write.
#[derive(Default)]
pub(super) struct Persistence {
    in_flight: BTreeMap<u64, PendingWrite>,
    deferred: Vec<Record>,
}

impl Persistence {
    /// Records that go to disk with the next write, or at the next tick.
    pub(super) fn defer(&mut self, records: impl IntoIterator<Item = Record>) {
        self.deferred.extend(records);
    }

    pub(super) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Sends records to disk, behind all that were deferred; `then` waits for them.
    pub(super) fn write(&mut self, request_id: u64, records: Vec<Record>, then: PendingWrite) -> Action {
        let mut batch = std::mem::take(&mut self.deferred);
        batch.extend(records);
        self.in_flight.insert(request_id, then);
        Action::Persist(request_id, batch)
    }

    /// A write is on disk; returns what waited for it. Writes complete in order, so an earlier one that is still
    /// in flight was dropped by the store: what waited for it is given up.
    pub(super) fn write_completed(&mut self, request_id: u64) -> Option<PendingWrite> {
        let then = self.in_flight.remove(&request_id);
        self.in_flight = self.in_flight.split_off(&request_id);
        then
    }

    /// Whether no write is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether the record that this disk is complete is being written.
    pub(super) fn is_writing_completeness(&self) -> bool {
        self.in_flight.values().any(|then| matches!(then, PendingWrite::Completeness))
    }
}
