//! A connection that is being opened to a control process, while there is no session or beside one that is to be left.
//!
//! Invariant: a session is left only for another that has been established. Where the gateway's own network link is
//! congested, no control process answers in time, and a gateway that had left its session would have none at all for as
//! long as that lasts, while what the session still brings arrives late and in order.

use super::directory::Selection;
use kitepass_time::{Duration, Timestamp};

/// A connection that brings no hello for so long is given up. Each further one to the same address has twice the time, up to
/// [`MAX_TIMEOUT_DOUBLINGS`]: it may be the gateway's own link that is slow.
const CONNECT_TIMEOUT: Duration = Duration::from_micros(1_400_000);
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Why a session with another control process is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// There is no session.
    Disconnected,
    /// The session's control process has said nothing for too long.
    Unresponsive,
    /// The session's control process is isolated from the quorum.
    Isolated,
    /// Another control process is nearer.
    Nearer,
}

/// What a control process' hello on the connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateOutcome {
    /// The connection is the session now. The one before, if there is any, is to be closed.
    Promoted,
    /// The connection is to be closed.
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
    /// A connection to a selected address that is opened now.
    pub(super) fn new(now: Timestamp, selection: Selection, reason: Reason) -> Candidate {
        let timeout = CONNECT_TIMEOUT * (1 << selection.earlier_failures.min(MAX_TIMEOUT_DOUBLINGS));
        Candidate { address: selection.address, reason, deadline: now + timeout }
    }

    /// Whether it has taken too long.
    pub(super) fn is_timed_out(&self, now: Timestamp) -> bool {
        now > self.deadline
    }
}
