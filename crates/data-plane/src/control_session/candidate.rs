//! A connection that is being opened to a control process, while there is no session or to replace the current one.
//!
//! Invariant: a session is given up only in favour of another one that has been established. If the gateway's own
//! network link is congested, no control process answers in time. Without its session the gateway would then have none
//! until the congestion ends, whereas an existing session still delivers its messages, late but in order.

use super::directory::Selection;
use kitepass_time::{Duration, Timestamp};

/// How long to wait for the peer's hello on a new connection. Each further attempt at the same address doubles the
/// time, up to [`MAX_TIMEOUT_DOUBLINGS`] times, because the gateway's own link may be slow.
const CONNECT_TIMEOUT: Duration = Duration::from_micros(1_400_000);
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Why the gateway opens a session with another control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// There is no session.
    Disconnected,
    /// The current control process has sent nothing for too long.
    Unresponsive,
    /// The current control process is isolated from the quorum.
    Isolated,
    /// Another control process is nearer.
    Nearer,
}

/// The outcome of a control process's hello on the candidate connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateOutcome {
    /// The connection is now the session. The owner closes the previous session's connection, if there is one.
    Promoted,
    /// The owner closes the connection.
    Rejected,
}

/// A connection that is being opened.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) address: String,
    pub(super) reason: Reason,
    deadline: Timestamp,
}

impl Candidate {
    /// A connection to the selected address that is opened now.
    pub(super) fn new(now: Timestamp, selection: Selection, reason: Reason) -> Candidate {
        let timeout = CONNECT_TIMEOUT * (1 << selection.earlier_failures.min(MAX_TIMEOUT_DOUBLINGS));
        Candidate { address: selection.address, reason, deadline: now + timeout }
    }

    /// Returns whether the connection has taken too long.
    pub(super) fn is_timed_out(&self, now: Timestamp) -> bool {
        now > self.deadline
    }
}
