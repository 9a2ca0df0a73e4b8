//! The ballots that an acceptor has promised, and what of them is on disk.

use super::records::BallotReservation;
use crate::protocol::Ballot;
use std::collections::BTreeMap;

/// How many rounds the floor that is written to disk lies above the ballot that made the write necessary: promises in
/// between need no write of their own.
const RESERVED_ROUNDS: u64 = 1024;
/// Promises that are kept by key; beyond this, a higher floor takes their place.
pub(super) const MAX_PROMISES: usize = 1 << 16;

/// Promises by key, over a floor that holds for all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PromiseTable {
    /// Nothing below it is promised or accepted, on any key.
    pub(super) floor: Ballot,
    /// The floor that is on disk: promises up to it may be sent.
    persisted: Ballot,
    /// The floor that was last requested to be written.
    requested: Ballot,
    /// By key, where above the floor.
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

    /// Promises to accept nothing below the ballot on the keys.
    pub(super) fn promise(&mut self, ballot: Ballot, keys: &[u64]) {
        for key in keys {
            let promised = self.promised(*key).max(ballot);
            self.by_key.insert(*key, promised);
        }
        if self.by_key.len() > MAX_PROMISES {
            // Proposers below the highest promise have to retry once.
            let highest = self.by_key.values().fold(self.floor, |floor, ballot| floor.max(*ballot));
            self.floor = highest;
            self.by_key.clear();
        }
    }

    /// Promises to accept nothing below the ballot on any key.
    pub(super) fn raise_floor(&mut self, floor: Ballot) {
        self.floor = self.floor.max(floor);
    }

    /// A floor stands on disk already, from an earlier incarnation.
    pub(super) fn restore_reservation(&mut self, floor: Ballot) {
        self.persisted = self.persisted.max(floor);
        self.requested = self.requested.max(floor);
    }

    /// What must be on disk before a promise up to the ballot is sent, if anything.
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
