//! What a session reports to its owner: its state and the data received.

use kitepass_config::Item;
use kitepass_coordination::protocol::UsageTotals;
use kitepass_time::Timestamp;

/// The state of a session. Only `ControlSession::transition` changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// There is no session.
    Disconnected,
    /// The session is established and receives missing items; the time is that of the last ones received.
    Syncing(Timestamp),
    /// Everything that the control process holds has been received.
    Synced,
}

impl SessionState {
    /// Returns the name of the state as it is logged.
    pub(super) fn name(self) -> &'static str {
        match self {
            SessionState::Disconnected => "disconnected",
            SessionState::Syncing(_) => "syncing",
            SessionState::Synced => "synced",
        }
    }
}

/// The connections that the owner has to close after a tick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TickOutcome {
    /// The session's connection, which has timed out.
    pub should_close_session: bool,
    /// The candidate connection.
    pub should_close_candidate: bool,
}

/// The gateways that are considered live.
#[derive(Clone, Debug, Default)]
pub struct LiveGateways {
    /// The number of live gateways.
    pub count: usize,
    /// Their node ids, in order.
    pub node_ids: Vec<String>,
}

/// The data received in messages of the control process.
#[derive(Debug, Default)]
pub struct SessionUpdates {
    /// Items that are new or have changed.
    pub items: Vec<Item>,
    /// The live gateways, if a message contained them.
    pub live_gateways: Option<LiveGateways>,
    /// Replies to usage reports.
    pub totals: Vec<UsageTotals>,
    /// Whether the session has to be closed.
    pub should_close: bool,
}
