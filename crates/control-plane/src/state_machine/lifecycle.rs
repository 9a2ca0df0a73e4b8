//! Lifecycle of a replica: its state, and whether its disk holds everything that it has acknowledged.

use log::info;

/// State of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// No replica set is known.
    Uninitialized,
    /// A replica set is known, but changes committed while this process was down or disconnected have not been read
    /// yet.
    CatchingUp,
    /// Caught up and in contact with a majority. Requests and sessions are accepted.
    Serving,
    /// Caught up earlier, but no longer in contact with a majority. This replica may be missing committed changes, so
    /// it does not present its items as current. Gateways are notified and move to a serving replica if there is one.
    Isolated,
    /// Shutting down. No new requests or sessions are accepted.
    ShuttingDown,
}

impl ReplicaState {
    /// Name of the state in the operator API (field `standing` of `/v1/members`). These names are part of the API and
    /// must not change.
    pub fn wire_name(self) -> &'static str {
        match self {
            ReplicaState::Uninitialized => "blank",
            ReplicaState::CatchingUp => "behind",
            ReplicaState::Serving => "current",
            ReplicaState::Isolated => "apart",
            ReplicaState::ShuttingDown => "leaving",
        }
    }
}

/// Lifecycle state of this process. The replica state is changed only by [`Lifecycle::change_state`].
pub(super) struct Lifecycle {
    state: ReplicaState,
    is_complete: bool,
}

impl Lifecycle {
    pub(super) fn new(state: ReplicaState, is_complete: bool) -> Lifecycle {
        Lifecycle { state, is_complete }
    }

    pub(super) fn state(&self) -> ReplicaState {
        self.state
    }

    /// Whether the disk holds everything that this replica has acknowledged. A replica that lost its disk is incomplete
    /// until it has read the items of a majority and written them to disk.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    pub(super) fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }

    /// Transitions to another state. `items` is the number of items held, for the log.
    pub(super) fn change_state(&mut self, to: ReplicaState, items: usize) {
        if self.state != to {
            info!(
                "event=replica-state from={:?} to={to:?} items={items} complete={}",
                self.state, self.is_complete
            );
            self.state = to;
        }
    }
}
