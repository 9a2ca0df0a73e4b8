//! What a backend's response means for its request, its backend and its connection.

use super::InputState;
use crate::load_balancer::AttemptOutcome;
use kitepass_net::http::body::Head;

/// What a response means, by its head alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request was executed and succeeded.
    Success,
    /// The backend failed on an idempotent request.
    ServerError,
    /// Any other response of the backend's own; it goes to the client as it is.
    Other,
    /// The backend says that it did not execute the request.
    NotExecuted(AttemptOutcome),
    /// Not a response of the backend's own to this request.
    Invalid,
}

impl ResponseClass {
    /// Classifies a response by its head.
    pub fn of(head: &Head, is_idempotent: bool) -> ResponseClass {
        match head.status() {
            421 => ResponseClass::NotExecuted(AttemptOutcome::Misdirected),
            _ if head.field("x-not-delivered").is_some() => {
                ResponseClass::NotExecuted(AttemptOutcome::Rejected)
            }
            200..=299 if head.field("x-postmark").is_none() || head.field("content-encoding").is_some() => {
                ResponseClass::Invalid
            }
            200..=299 => ResponseClass::Success,
            // They promise that the request was not executed, and only `x-not-delivered` does so for a backend.
            408 | 429 | 503 => ResponseClass::Invalid,
            500..=599 if is_idempotent => ResponseClass::ServerError,
            _ => ResponseClass::Other,
        }
    }

    /// What the load balancer learns of the backend by it.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            ResponseClass::Success | ResponseClass::Other => AttemptOutcome::Completed,
            ResponseClass::ServerError => AttemptOutcome::Failed,
            ResponseClass::NotExecuted(outcome) => outcome,
            ResponseClass::Invalid => AttemptOutcome::Broken,
        }
    }
}

/// What stands on a connection behind a complete response.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// Whether the backend may still send.
    pub input_state: InputState,
    /// Bytes received behind the response.
    pub unread_bytes: usize,
    /// Bytes of the request not yet written to the socket.
    pub unsent_bytes: usize,
    /// Whether the request's body was handed to the connection in full.
    pub is_request_finished: bool,
}

/// Whether a connection may be kept idle for another request, after a complete response of the given class.
///
/// Invariant: bytes behind a response belong to no request, an unsent rest of a body would be taken for the next
/// request, and a connection that has ended takes none.
pub fn may_reuse_connection(class: ResponseClass, connection_state: ConnectionState) -> bool {
    class != ResponseClass::Invalid
        && connection_state.input_state == InputState::Open
        && connection_state.unread_bytes == 0
        && connection_state.unsent_bytes == 0
        && connection_state.is_request_finished
}
