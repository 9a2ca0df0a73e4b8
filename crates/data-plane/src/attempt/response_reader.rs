//! Reads the response to an attempt from a backend's connection.

use kitepass_net::http::body::{Body, Head, HeadReader};
use kitepass_net::http::MessageKind;

/// Longest head of a response that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of a response that are buffered before any go to the client; a longer one is streamed.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Whether a connection's input goes on behind what has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InputState {
    /// More may come.
    Open,
    /// The other side has ended its sending in order.
    Ended,
    /// The connection broke: what came before may still be a complete response, but a body without a length is not
    /// ended by it.
    Broken,
}

/// Why a connection brings no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFailure {
    /// The input ended before a head was complete.
    Closed,
    /// The bytes are no HTTP/1.1 response, or one that is too long.
    Malformed,
    /// The response does not name the request that it belongs to.
    MissingRequestId,
    /// A response to another request came where HEAD requests were sent, so that its end is not known.
    AmbiguousStaleResponse,
    /// The input ended before the body was complete.
    Truncated,
}

impl ResponseFailure {
    /// The reason as it is logged.
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
    /// Not all of it.
    Partial,
    /// All of it.
    Complete,
    /// As much as is buffered: it is to be streamed.
    BufferFull,
    /// None will come.
    Failed(ResponseFailure),
}

/// The request that a response is read for, and its connection.
#[derive(Clone, Copy, Debug)]
pub struct ResponseContext<'a> {
    /// The request's id, as the backend repeats it.
    pub request_id: &'a [u8],
    /// The request is a HEAD: its response has no body.
    pub is_head_request: bool,
    /// A HEAD request was sent on the connection at some time.
    pub had_head_request: bool,
    /// Bytes of a body that are buffered; a longer response is streamed.
    pub max_buffered_bytes: usize,
}

/// The response to an attempt, as it arrives.
#[derive(Debug, Default)]
pub struct ResponseReader {
    head_reader: HeadReader,
    /// The head, once it is complete.
    pub head: Option<Head>,
    body_reader: Option<Body>,
    /// Bytes of the body that were read and not yet passed to the client.
    pub body: Vec<u8>,
    /// The present response belongs to an earlier request; its bytes are read and dropped.
    is_stale: bool,
}

impl ResponseReader {
    /// Reads on in what has been received.
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

    /// Reads a head; whether it is complete.
    fn read_head(&mut self, context: ResponseContext, input: &mut Vec<u8>) -> Result<bool, ResponseFailure> {
        let kind = MessageKind::Response { to_head: context.is_head_request };
        let read = self.head_reader.next(kind, input, MAX_HEAD_BYTES);
        let Some((head, framing)) = read.map_err(|_| ResponseFailure::Malformed)? else { return Ok(false) };
        // A surplus response to an earlier request may stand in this one's place.
        let responds_to = head.field("x-try-id").ok_or(ResponseFailure::MissingRequestId)?;
        self.is_stale = responds_to != context.request_id;
        if self.is_stale && (context.is_head_request || context.had_head_request) {
            // Invariant: where a response ends depends on the method of its own request. Read by another one's,
            // bytes of its body would pass for the next response.
            return Err(ResponseFailure::AmbiguousStaleResponse);
        }
        self.body_reader = Some(Body::new(framing));
        self.head = Some(head);
        self.body.clear();
        Ok(true)
    }

    /// Reads on in the body; whether it is complete.
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
        // Invariant: a body without a length is complete only where the connection ended in order; else it would be
        // complete wherever the connection broke.
        let ends_with_input = input_state == InputState::Ended && input.is_empty();
        Ok(is_complete || ends_with_input && body_reader.end_of_input().is_ok())
    }
}
