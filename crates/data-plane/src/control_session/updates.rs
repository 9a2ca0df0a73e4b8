//! What a session tells its owner: how far it has come, and what it has brought.

use kitepass_config::Item;
use kitepass_coordination::protocol::UsageTotals;
use kitepass_time::Timestamp;

/// How far the session has come. `ControlSession::transition` alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// There is no session.
    Disconnected,
    /// The session is established, and brings what is missing here; since the last of it.
    Syncing(Timestamp),
    /// All that the control process holds has come.
    Synced,
}

impl SessionState {
    /// The state's name as it is logged.
    pub(super) fn name(self) -> &'static str {
        match self {
            SessionState::Disconnected => "disconnected",
            SessionState::Syncing(_) => "syncing",
            SessionState::Synced => "synced",
        }
    }
}

/// What the owner is to close after a tick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TickOutcome {
    /// The session's connection, which brings nothing any more.
    pub should_close_session: bool,
    /// The candidate connection.
    pub should_close_candidate: bool,
}

/// The gateways that count as live.
#[derive(Clone, Debug, Default)]
pub struct LiveGateways {
    /// How many there are.
    pub count: usize,
    /// Their node ids, in order.
    pub node_ids: Vec<String>,
}

/// What messages of the control process have brought.
#[derive(Debug, Default)]
pub struct SessionUpdates {
    /// Items that are new or changed.
    pub items: Vec<Item>,
    /// The gateways that count as live, if that was told.
    pub live_gateways: Option<LiveGateways>,
    /// Answers to usage reports.
    pub totals: Vec<UsageTotals>,
    /// Whether the session is to be closed.
    pub should_close: bool,
}
