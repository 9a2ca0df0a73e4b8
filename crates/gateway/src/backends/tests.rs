//! Tests of how failures and responses map to outcomes.

use super::failure::Progress::{FullyWritten, NotConnected, PartlyAnswered, PartlyWritten};
use super::failure::{response_outcome, Failure, FailureCause};
use crate::http::{MessageKind, MessageReader, ParseError};
use kitepass_gateway_policy::AttemptOutcome;
use rustix::io::Errno;

#[test]
fn only_an_attempt_that_cannot_have_run_is_reported_as_not_run() {
    let refused = FailureCause::ConnectionError(Errno::CONNREFUSED);
    let reset = FailureCause::ConnectionError(Errno::CONNRESET);
    let nonsense = FailureCause::ParseError(ParseError::Malformed("nonsense"));
    for (progress, cause, outcome) in [
        (NotConnected, refused, AttemptOutcome::Unreachable),
        (NotConnected, FailureCause::TimedOut, AttemptOutcome::Unreachable),
        (NotConnected, FailureCause::NotSendable, AttemptOutcome::NotSent),
        (PartlyWritten, reset, AttemptOutcome::Unreachable),
        (PartlyWritten, FailureCause::TimedOut, AttemptOutcome::Unreachable),
        (FullyWritten, reset, AttemptOutcome::ConnectionLost),
        (FullyWritten, FailureCause::Closed, AttemptOutcome::ConnectionLost),
        (FullyWritten, FailureCause::TimedOut, AttemptOutcome::TimedOut),
        (PartlyAnswered, FailureCause::TimedOut, AttemptOutcome::TimedOut),
        (PartlyAnswered, FailureCause::Closed, AttemptOutcome::ConnectionLost),
        (PartlyAnswered, nonsense, AttemptOutcome::Failed),
    ] {
        assert_eq!(Failure { progress, cause }.outcome(), outcome, "{progress:?} {cause:?}");
    }
}

#[test]
fn a_response_maps_to_the_outcome_that_the_protocol_gives() {
    for (text, outcome) in [
        ("200 OK", AttemptOutcome::Completed),
        ("500 No", AttemptOutcome::Failed),
        ("503 No", AttemptOutcome::Failed),
        ("503 No\r\nX-Never-Ran: 0", AttemptOutcome::Failed),
        ("503 No\r\nX-Never-Ran: 1", AttemptOutcome::Rejected),
        ("504 No\r\nx-never-ran: 1", AttemptOutcome::Rejected),
        ("500 No\r\nX-Never-Ran: 1", AttemptOutcome::Failed),
        ("204 None", AttemptOutcome::Failed),
    ] {
        let mut input = format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        let response =
            MessageReader::default().next(MessageKind::Response { to_head: false }, &mut input, false);
        assert_eq!(response_outcome(&response.unwrap().unwrap()), outcome, "{text}");
    }
}
