//! Maps the end of an attempt to an outcome for the policy: whether the request may have run, and whether the
//! backend is at fault.

use crate::http::{Message, ParseError};
use kitepass_gateway_policy::AttemptOutcome;
use rustix::io::Errno;

/// How far an attempt had progressed when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The connection was not established yet.
    NotConnected,
    /// The message had not been written completely, or not at all.
    PartlyWritten,
    /// The whole message had been written, and no part of a response had been received.
    FullyWritten,
    /// A part of the response had been received.
    PartlyAnswered,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureCause {
    /// The connection was refused or reset, or could not be opened.
    ConnectionError(Errno),
    /// The backend closed the connection.
    Closed,
    /// The connect or the response timed out.
    TimedOut,
    /// The response is not valid HTTP, or it stalled.
    ParseError(ParseError),
    /// The attempt must not or cannot be sent: the backend is draining or was removed, the client has
    /// disconnected, or no descriptor is free for a connection.
    NotSendable,
}

/// An attempt that ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) progress: Progress,
    pub(super) cause: FailureCause,
}

impl Failure {
    /// The outcome to report to the policy. A backend runs a request only after its last byte has arrived, so an
    /// attempt that failed before cannot have run.
    pub(super) fn outcome(self) -> AttemptOutcome {
        match (self.progress, self.cause) {
            // Not the fault of the backend.
            (Progress::NotConnected, FailureCause::NotSendable) => AttemptOutcome::NotSent,
            (Progress::NotConnected | Progress::PartlyWritten, _) => AttemptOutcome::Unreachable,
            (_, FailureCause::TimedOut) => AttemptOutcome::TimedOut,
            (_, FailureCause::ParseError(_)) => AttemptOutcome::Failed,
            (..) => AttemptOutcome::ConnectionLost,
        }
    }
}

/// The outcome of a complete response. With status 503 or 504 and `X-Never-Ran: 1`, a backend reports that it did
/// not run the request.
pub(super) fn response_outcome(response: &Message) -> AttemptOutcome {
    match response.status() {
        200 => AttemptOutcome::Completed,
        503 | 504 if response.field("x-never-ran") == Some(b"1") => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}
