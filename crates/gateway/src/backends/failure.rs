//! What the end of an attempt means for the policy: whether the request may have run, and who is to blame.

use crate::http::{Message, ParseError};
use kitepass_gateway_policy::AttemptOutcome;
use rustix::io::Errno;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The connection was not up yet.
    NotConnected,
    /// Some of the message, or none of it, had been written.
    PartlyWritten,
    /// All of the message had been written, and nothing of an answer had come.
    FullyWritten,
    /// An answer had begun.
    PartlyAnswered,
}

/// Why an attempt came no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureCause {
    /// The connection was refused or reset, or could not be opened.
    ConnectionError(Errno),
    /// The backend closed the connection.
    Closed,
    /// The time for the connection or for the answer ran out.
    TimedOut,
    /// The answer is not valid HTTP, or does not go on.
    ParseError(ParseError),
    /// Nothing is to be sent any more: the backend is draining or has been removed, the client has left, or
    /// no descriptor is free for a connection.
    NotSendable,
}

/// An attempt that ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) progress: Progress,
    pub(super) cause: FailureCause,
}

impl Failure {
    /// What the failure means for the policy. A backend begins to work on a request when its last byte has
    /// come, so an attempt that failed before that cannot have run.
    pub(super) fn outcome(self) -> AttemptOutcome {
        match (self.progress, self.cause) {
            // The backend is not to blame.
            (Progress::NotConnected, FailureCause::NotSendable) => AttemptOutcome::NotSent,
            (Progress::NotConnected | Progress::PartlyWritten, _) => AttemptOutcome::Unreachable,
            (_, FailureCause::TimedOut) => AttemptOutcome::TimedOut,
            (_, FailureCause::ParseError(_)) => AttemptOutcome::Failed,
            (..) => AttemptOutcome::ConnectionLost,
        }
    }
}

/// What a complete response means for the policy. A backend that did not run the request says so with status
/// 503 or 504 and `X-Never-Ran: 1`.
pub(super) fn response_outcome(response: &Message) -> AttemptOutcome {
    match response.status() {
        200 => AttemptOutcome::Completed,
        503 | 504 if response.field("x-never-ran") == Some(b"1") => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}
