//! The ballots that an acceptor has promised, and how far they are covered by the floor on disk.

use super::records::BallotReservation;
use crate::protocol::Ballot;
use std::collections::BTreeMap;

/// How many rounds the floor written to disk is above the ballot that required the write. Promises in between need no
/// write of their own.
const RESERVED_ROUNDS: u64 = 1024;
/// The maximum number of promises kept per key. Beyond it, they are replaced by a higher floor for all keys.
pub(super) const MAX_PROMISES: usize = 1 << 16;

/// Promises by key, and a floor that applies to all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PromiseTable {
    /// No ballot below it is promised or accepted on any key.
    pub(super) floor: Ballot,
    /// The floor on disk. Promises up to it may be sent.
    persisted: Ballot,
    /// The floor whose write was requested last.
    requested: Ballot,
    /// Promises above the floor, by key.
    pub(super) by_key: BTreeMap<u64, Ballot>,
}

impl PromiseTable {
    /// The highest promise on any of the keys.
    pub(super) fn highest(&self, keys: &[u64]) -> Ballot {
        keys.iter().map(|key| self.promised(*key)).fold(self.floor, Ballot::max)
    }

    fn promised(&self, key: u64) -> Ballot {
        self.by_key.get(&key).map_or(self.floor, |ballot| self.floor.max(*ballot))
    }

    /// Promises not to accept any lower ballot on the keys.
    pub(super) fn promise(&mut self, ballot: Ballot, keys: &[u64]) {
        for key in keys {
            let promised = self.promised(*key).max(ballot);
            self.by_key.insert(*key, promised);
        }
        if self.by_key.len() > MAX_PROMISES {
            // Proposers with a ballot below the highest promise have to retry once.
            let highest = self.by_key.values().fold(self.floor, |floor, ballot| floor.max(*ballot));
            self.floor = highest;
            self.by_key.clear();
        }
    }

    /// Promises not to accept any ballot below the floor on any key.
    pub(super) fn raise_floor(&mut self, floor: Ballot) {
        self.floor = self.floor.max(floor);
    }

    /// Records a floor that an earlier incarnation has written to disk.
    pub(super) fn restore_reservation(&mut self, floor: Ballot) {
        self.persisted = self.persisted.max(floor);
        self.requested = self.requested.max(floor);
    }

    /// The reservation that must be on disk before a promise up to the ballot may be sent, if any.
    pub(super) fn reserve(&mut self, ballot: Ballot) -> Option<BallotReservation> {
        if ballot <= self.persisted {
            return None;
        }
        if ballot > self.requested {
            let round = ballot.round.saturating_add(RESERVED_ROUNDS);
            self.requested = Ballot { round, proposer: u64::MAX, ..ballot };
        }
        Some(BallotReservation(self.requested))
    }

    pub(super) fn reservation_persisted(&mut self, reservation: BallotReservation) {
        self.persisted = self.persisted.max(reservation.0);
    }
}
