//! Measures the turns of the event loop, postpones liveness checks after a long turn, and bounds the age of input.
//!
//! A control process uses a single thread for the loop, so every connection waits for the current turn to end. Work
//! that grows with the size of a request is offloaded ([`super::worker`]); what remains on the loop takes well under a
//! second for the longest request, in any build. Heartbeats that arrive during a turn stay unread, so quorum contact
//! and the liveness of peers must not be checked before they have been read.

use kitepass_time::{Duration, Timestamp};
use log::warn;

/// Turns that take longer than this are logged and counted.
pub(super) const LONG_TURN_THRESHOLD: Duration = Duration::from_micros(500_000);
/// Liveness must not be checked if the sockets may have been read longer ago than this.
const MAX_READ_AGE: Duration = Duration::from_micros(100_000);
/// Maximum time for which a liveness check is postponed because of unread input. A peer that sends continuously must
/// not prevent the check.
const MAX_CHECK_DELAY: Duration = Duration::from_micros(500_000);

/// Measures each turn, from the return of the poller to the next wait.
#[derive(Debug, Default)]
pub(super) struct TurnMonitor {
    started: Timestamp,
    ended: Timestamp,
    /// Input that is read in this turn arrived after this.
    input_arrived_after: Timestamp,
    /// Input that is read in the next turn arrives after this.
    next_input_arrives_after: Timestamp,
    longest_turn: Duration,
    long_turn_count: u64,
    /// Since when the sockets may contain unread input that arrived during a long turn.
    unread_since: Option<Timestamp>,
}

impl TurnMonitor {
    /// Records the start of a turn, when the poller has returned. `is_all_reported` says whether it has reported all sockets
    /// that were ready.
    pub(super) fn turn_started(&mut self, now: Timestamp, is_all_reported: bool) {
        self.input_arrived_after = self.next_input_arrives_after;
        if is_all_reported {
            // The process may stand still at any point after the poller has looked at the sockets, and that was after the
            // end of the previous turn.
            self.next_input_arrives_after = self.ended;
        }
        self.started = now;
    }

    /// Returns a time after which any input has arrived that is read in this turn, as it would have been read in an earlier
    /// turn otherwise. If the process stood still, or was slow, the input may be as old as this.
    pub(super) fn input_arrived_after(&self) -> Timestamp {
        self.input_arrived_after
    }

    /// Returns whether the liveness of peers and quorum contact may be checked now. After a long turn, all sockets have
    /// to be read first; `has_unread_input` means that a socket had more input than was read in this turn.
    pub(super) fn may_check_liveness(&mut self, now: Timestamp, has_unread_input: bool) -> bool {
        if now - self.started > MAX_READ_AGE {
            self.unread_since.get_or_insert(now);
        } else if !has_unread_input {
            self.unread_since = None;
        }
        let may_check_liveness = self.unread_since.is_none_or(|since| now - since >= MAX_CHECK_DELAY);
        if may_check_liveness {
            self.unread_since = None;
        }
        may_check_liveness
    }

    /// Records the end of a turn, when all its work is done.
    pub(super) fn turn_ended(&mut self, now: Timestamp) {
        self.ended = now;
        let duration = now - self.started;
        self.longest_turn = self.longest_turn.max(duration);
        if duration > LONG_TURN_THRESHOLD {
            self.long_turn_count += 1;
            warn!("event=long-turn ms={} count={}", duration.as_micros() / 1000, self.long_turn_count);
        }
    }

    /// Returns the duration of the longest turn of this incarnation.
    pub(super) fn longest_turn(&self) -> Duration {
        self.longest_turn
    }

    /// Returns how many turns of this incarnation took longer than [`LONG_TURN_THRESHOLD`].
    pub(super) fn long_turn_count(&self) -> u64 {
        self.long_turn_count
    }
}

#[cfg(test)]
mod tests;
