//! Lifecycle of a replica: its state, and whether its disk is complete.

use log::info;

/// State of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// No replica set is known.
    Uninitialized,
    /// A replica set is known, but changes that were committed while this process was down may not have been read yet.
    CatchingUp,
    /// Caught up, and in contact with a majority as of the last evaluation. Requests and sessions are accepted.
    Serving,
    /// Caught up earlier, but has lost contact with a majority and has not caught up again since. This replica may be
    /// missing committed changes, so it does not present its items as current. Its heartbeats say that it is not
    /// serving, so that gateways move to a replica that is.
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

/// Lifecycle of this process's replica. The state is changed only by [`Lifecycle::change_state`].
pub(super) struct Lifecycle {
    state: ReplicaState,
    /// See [`Lifecycle::is_complete`].
    is_complete: bool,
}

impl Lifecycle {
    pub(super) fn new(state: ReplicaState, is_complete: bool) -> Lifecycle {
        Lifecycle { state, is_complete }
    }

    pub(super) fn state(&self) -> ReplicaState {
        self.state
    }

    /// Whether the disk is complete: it holds everything that this replica has acknowledged. The disk is incomplete
    /// after it was lost, after malformed records were found on it, or after this replica has discarded its items. It
    /// remains so until this replica has read the items of a read quorum and written them to disk.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    pub(super) fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }

    /// Changes the state and logs the change. `items` is the number of items that this replica holds.
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
