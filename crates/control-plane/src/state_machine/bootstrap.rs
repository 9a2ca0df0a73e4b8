//! The bootstrap of a system: at its very first start one process, the bootstrap node, gathers those that come and
//! makes them the first replica set.

use kitepass_time::{Duration, Timestamp};

/// The bootstrap node waits for others this long after the last that came.
const GATHER_QUIET: Duration = Duration::from_micros(900_000);
/// A bootstrap node that nobody has joined makes a replica set of itself alone after this time.
const MAX_GATHER_ALONE: Duration = Duration::from_micros(4_000_000);

/// What a process knows of the bootstrap that it takes part in.
pub(super) struct Bootstrap {
    is_first_start: bool,
    is_bootstrap_node: bool,
    started_at: Timestamp,
    newest_peer_at: Timestamp,
}

impl Bootstrap {
    /// `is_first_start` must be false for a process that holds any record.
    pub(super) fn new(now: Timestamp, is_first_start: bool, is_bootstrap_node: bool) -> Bootstrap {
        Bootstrap {
            is_first_start,
            is_bootstrap_node: is_bootstrap_node && is_first_start,
            started_at: now,
            newest_peer_at: now,
        }
    }

    /// When this process started.
    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Whether this process takes part in the bootstrap: its empty disk is complete as it is.
    pub(super) fn is_first_start(&self) -> bool {
        self.is_first_start
    }

    /// A replica set is known: whatever comes now is no bootstrap.
    pub(super) fn finish(&mut self) {
        self.is_first_start = false;
    }

    /// A peer connected that was not known.
    pub(super) fn peer_joined(&mut self, now: Timestamp) {
        self.newest_peer_at = now;
    }

    /// Whether this process is to make the first replica set now, if there is none.
    pub(super) fn should_bootstrap(&self, now: Timestamp, has_peers: bool) -> bool {
        let is_waiting_alone = !has_peers && now - self.started_at < MAX_GATHER_ALONE;
        self.is_bootstrap_node && !is_waiting_alone && now - self.newest_peer_at >= GATHER_QUIET
    }
}
