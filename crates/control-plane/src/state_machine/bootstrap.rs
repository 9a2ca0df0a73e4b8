//! Cluster bootstrap: on the first start of a cluster, one process, the bootstrap node, waits for its peers to connect
//! and creates the first replica set from them.

use kitepass_time::{Duration, Timestamp};

/// The bootstrap node creates the replica set once no new peer has connected for this long.
const PEER_DISCOVERY_QUIET_PERIOD: Duration = Duration::from_micros(900_000);
/// A bootstrap node without any peers creates a single-node replica set after this long.
const SINGLE_NODE_BOOTSTRAP_DELAY: Duration = Duration::from_micros(4_000_000);

/// Bootstrap state of one process.
pub(super) struct Bootstrap {
    is_first_start: bool,
    is_bootstrap_node: bool,
    started_at: Timestamp,
    last_peer_joined_at: Timestamp,
}

impl Bootstrap {
    /// `is_first_start` must be false if this process has any state on disk.
    pub(super) fn new(now: Timestamp, is_first_start: bool, is_bootstrap_node: bool) -> Bootstrap {
        Bootstrap {
            is_first_start,
            is_bootstrap_node: is_bootstrap_node && is_first_start,
            started_at: now,
            last_peer_joined_at: now,
        }
    }

    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Whether this process takes part in the bootstrap. If so, its empty disk counts as complete.
    pub(super) fn is_first_start(&self) -> bool {
        self.is_first_start
    }

    /// Ends the bootstrap because a replica set is known.
    pub(super) fn finish(&mut self) {
        self.is_first_start = false;
    }

    /// Records that an unknown peer has connected.
    pub(super) fn peer_joined(&mut self, now: Timestamp) {
        self.last_peer_joined_at = now;
    }

    /// Whether this process should create the first replica set now, provided that none exists.
    pub(super) fn should_bootstrap(&self, now: Timestamp, has_peers: bool) -> bool {
        let is_waiting_for_peers = !has_peers && now - self.started_at < SINGLE_NODE_BOOTSTRAP_DELAY;
        self.is_bootstrap_node
            && !is_waiting_for_peers
            && now - self.last_peer_joined_at >= PEER_DISCOVERY_QUIET_PERIOD
    }
}
