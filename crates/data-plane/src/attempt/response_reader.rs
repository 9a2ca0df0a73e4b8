//! Reads the response to an attempt from a backend's connection.

use kitepass_net::http::body::{Body, Head, HeadReader};
use kitepass_net::http::MessageKind;

/// Maximum length of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of a response that are buffered before any of them is sent to the client; a longer response is streamed.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Whether further input can follow what has been received on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InputState {
    /// More input may arrive.
    Open,
    /// The peer has closed its sending side in an orderly way.
    Ended,
    /// The connection failed, for example by a reset. A response received before that may be complete, but the failure
    /// does not mark the end of a body without a length.
    Broken,
}

/// Why a connection delivers no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFailure {
    /// The input ended before a head was complete.
    Closed,
    /// The bytes are not a valid HTTP/1.1 response, or its head is too long.
    Malformed,
    /// The response does not name the request that it belongs to.
    MissingRequestId,
    /// A response to another request arrived on a connection that has carried a HEAD request, so that its end cannot be
    /// determined.
    AmbiguousStaleResponse,
    /// The input ended before the body was complete.
    Truncated,
}

impl ResponseFailure {
    /// Returns the reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseFailure::Closed => "closed",
            ResponseFailure::Malformed => "malformed",
            ResponseFailure::MissingRequestId => "missing-request-id",
            ResponseFailure::AmbiguousStaleResponse => "surplus-beside-head",
            ResponseFailure::Truncated => "truncated",
        }
    }
}

/// How much of a response has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// The response is incomplete.
    Partial,
    /// The response is complete.
    Complete,
    /// The buffer is full: the response has to be streamed.
    BufferFull,
    /// No valid response will follow.
    Failed(ResponseFailure),
}

/// The request that a response is read for, and the history of its connection.
#[derive(Clone, Copy, Debug)]
pub struct ResponseContext<'a> {
    /// The request's id, which the backend repeats in its response.
    pub request_id: &'a [u8],
    /// Whether the request is a HEAD request, whose response has no body.
    pub is_head_request: bool,
    /// Whether a HEAD request has ever been sent on the connection.
    pub had_head_request: bool,
    /// Bytes of the body that are buffered; a longer response is streamed.
    pub max_buffered_bytes: usize,
}

/// Parses the response to an attempt as it arrives.
#[derive(Debug, Default)]
pub struct ResponseReader {
    head_reader: HeadReader,
    /// The head, once it is complete.
    pub head: Option<Head>,
    body_reader: Option<Body>,
    /// Bytes of the body that have been read and not yet sent to the client.
    pub body: Vec<u8>,
    /// Whether the current response belongs to an earlier request; its bytes are read and discarded.
    is_stale: bool,
}

impl ResponseReader {
    /// Parses as much of the received input as possible.
    pub fn read(
        &mut self,
        context: ResponseContext,
        input: &mut Vec<u8>,
        input_state: InputState,
    ) -> ReadProgress {
        loop {
            if self.head.is_none() {
                match self.read_head(context, input) {
                    Err(failure) => return ReadProgress::Failed(failure),
                    Ok(true) => {}
                    Ok(false) if input_state != InputState::Open => {
                        return ReadProgress::Failed(ResponseFailure::Closed)
                    }
                    Ok(false) => return ReadProgress::Partial,
                }
            }
            let length_before = input.len();
            let is_complete = match self.read_body(context, input, input_state) {
                Err(failure) => return ReadProgress::Failed(failure),
                Ok(is_complete) => is_complete,
            };
            if self.is_stale {
                self.body.clear();
                if is_complete {
                    self.head = None;
                    continue;
                }
                if input.len() < length_before && !input.is_empty() {
                    continue;
                }
            }
            return match (is_complete, input_state) {
                (true, _) => ReadProgress::Complete,
                (false, InputState::Ended | InputState::Broken) => {
                    ReadProgress::Failed(ResponseFailure::Truncated)
                }
                _ if self.body.len() >= context.max_buffered_bytes => ReadProgress::BufferFull,
                _ => ReadProgress::Partial,
            };
        }
    }

    /// Reads a head; returns whether it is complete.
    fn read_head(&mut self, context: ResponseContext, input: &mut Vec<u8>) -> Result<bool, ResponseFailure> {
        let kind = MessageKind::Response { to_head: context.is_head_request };
        let read = self.head_reader.next(kind, input, MAX_HEAD_BYTES);
        let Some((head, framing)) = read.map_err(|_| ResponseFailure::Malformed)? else { return Ok(false) };
        // The backend may first send a stale response to an earlier request.
        let responds_to = head.field("x-try-id").ok_or(ResponseFailure::MissingRequestId)?;
        self.is_stale = responds_to != context.request_id;
        if self.is_stale && (context.is_head_request || context.had_head_request) {
            // Invariant: the end of a response depends on the method of the request that it answers. With the wrong
            // method, bytes of its body would be taken for the next response.
            return Err(ResponseFailure::AmbiguousStaleResponse);
        }
        self.body_reader = Some(Body::new(framing));
        self.head = Some(head);
        self.body.clear();
        Ok(true)
    }

    /// Reads more of the body; returns whether it is complete.
    fn read_body(
        &mut self,
        context: ResponseContext,
        input: &mut Vec<u8>,
        input_state: InputState,
    ) -> Result<bool, ResponseFailure> {
        let body_reader = self.body_reader.as_mut().expect("set with the head");
        let capacity = (2 * context.max_buffered_bytes).saturating_sub(self.body.len());
        let is_complete =
            body_reader.read(input, &mut self.body, capacity).map_err(|_| ResponseFailure::Malformed)?;
        // Invariant: a body without a length is complete only if the connection was closed in an orderly way. Otherwise
        // a broken connection would make a truncated body look complete.
        let ends_with_input = input_state == InputState::Ended && input.is_empty();
        Ok(is_complete || ends_with_input && body_reader.finish_at_eof().is_ok())
    }
}
