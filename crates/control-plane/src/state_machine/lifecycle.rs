//! How far a control process may be relied on: its state, and whether its disk holds all that it acknowledged.

use log::info;

/// How far a process may be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It knows of no replica set.
    Uninitialized,
    /// It knows of a replica set, and has yet to read what was committed while it was away.
    CatchingUp,
    /// It has caught up and is in contact with a majority: it accepts requests and sessions.
    Serving,
    /// It had caught up, and too few replicas have proved lately that they hear it. It cannot know of all that is
    /// committed, so it hands nothing out as current; gateways are told, and move to a better replica if there is one.
    Isolated,
    /// It is shutting down: nothing new is accepted.
    ShuttingDown,
}

impl ReplicaState {
    /// The state's name in what operators' calls answer (`standing` of `/v1/members`). Never renamed: operators' tools
    /// read it.
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

/// The state of this process. [`Lifecycle::change_state`] alone changes it.
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

    /// Whether the disk holds all that this replica acknowledged. A replica that lost its disk is incomplete until it has
    /// read, and written, what a majority holds.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    pub(super) fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }

    /// Moves to another state; `items` is the number of items held, for the log.
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
