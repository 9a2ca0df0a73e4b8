//! Writes of records to disk, and the steps that must wait until they are durable.

use super::records::{Record, RecordedVote};
use super::Action;
use kitepass_coordination::consensus::BallotReservation;
use kitepass_coordination::protocol::{AcceptResponse, LeaseVote, PrepareResponse};
use std::collections::BTreeMap;

/// The step to take once a write is on disk.
pub(super) enum PendingWrite {
    /// Send the response to an accept request.
    Accept { node_id: String, response: AcceptResponse, reservation: Option<BallotReservation> },
    /// Send the response to a prepare request. The reservation covers its promised ballot.
    Promise { node_id: String, response: PrepareResponse, reservation: BallotReservation },
    /// Send a lease vote.
    Vote { node_id: String, recorded: RecordedVote, vote: LeaseVote },
    /// Mark this disk as complete.
    Completeness,
    /// No step depends on the write.
    Nothing,
}

/// Writes in flight, by the request id that identifies them in [`Action::Persist`], and records deferred to the next
/// write.
#[derive(Default)]
pub(super) struct Persistence {
    in_flight: BTreeMap<u64, PendingWrite>,
    deferred: Vec<Record>,
}

impl Persistence {
    /// Defers records to the next write, or to the next tick if there is no write before it.
    pub(super) fn defer(&mut self, records: impl IntoIterator<Item = Record>) {
        self.deferred.extend(records);
    }

    pub(super) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Writes the deferred records, followed by these. `then` is the step to take once they are on disk.
    pub(super) fn write(&mut self, request_id: u64, records: Vec<Record>, then: PendingWrite) -> Action {
        let mut batch = std::mem::take(&mut self.deferred);
        batch.extend(records);
        self.in_flight.insert(request_id, then);
        Action::Persist(request_id, batch)
    }

    /// Records that a write is on disk, and returns the step that waited for it. Writes complete in order, so an
    /// earlier write that is still in flight was dropped by the store, and the step that waited for it is discarded.
    pub(super) fn write_completed(&mut self, request_id: u64) -> Option<PendingWrite> {
        let then = self.in_flight.remove(&request_id);
        self.in_flight = self.in_flight.split_off(&request_id);
        then
    }

    /// Whether no write is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether the record that marks this disk as complete is being written.
    pub(super) fn is_writing_completeness(&self) -> bool {
        self.in_flight.values().any(|then| matches!(then, PendingWrite::Completeness))
    }
}
