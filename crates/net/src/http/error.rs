//! Errors for rejected HTTP/1.1 messages.

use std::fmt;

/// Why a message was rejected. The rest of the input must be discarded, because the start of the next message is
/// unknown.
///
/// Invariant: the in-service gateway includes this type's `Debug` output in its response to a malformed request. The
/// names of the variants and the texts in the module `reason` are therefore part of its protocol and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The message is malformed; the text says what is wrong.
    Malformed(&'static str),
    /// The head exceeds its size limit. It extends from the start line to the empty line after the fields.
    HeadTooLarge,
    /// The body, or a single chunk of it, exceeds its size limit.
    BodyTooLarge,
}

impl ParseError {
    /// The status code of the response to a request that is rejected with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed(_) => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseError::Malformed(reason) => write!(f, "malformed: {reason}"),
            ParseError::HeadTooLarge => f.write_str("message head too large"),
            ParseError::BodyTooLarge => f.write_str("message body too large"),
        }
    }
}

impl std::error::Error for ParseError {}

/// The texts of [`ParseError::Malformed`]. They appear in responses and must not change.
pub(super) mod reason {
    /// The first line is neither a request line nor a status line.
    pub(in crate::http) const START_LINE: &str = "a first line that is none";
    /// A line of the head ends with a line feed without a carriage return.
    pub(in crate::http) const BARE_LINE_FEED: &str = "a line that ends without a carriage return";
    /// A field line has no colon.
    pub(in crate::http) const FIELD_WITHOUT_COLON: &str = "a field without a colon";
    /// A field name is empty or not a token.
    pub(in crate::http) const FIELD_NAME: &str = "a field's name";
    /// A field value contains control characters.
    pub(in crate::http) const FIELD_VALUE: &str = "a field's value";
    /// `Content-Length` is not a number.
    pub(in crate::http) const CONTENT_LENGTH: &str = "a content length";
    /// `Content-Length` fields have different values.
    pub(in crate::http) const CONFLICTING_LENGTHS: &str = "two lengths that differ";
    /// `Transfer-Encoding` is not a single `chunked`.
    pub(in crate::http) const TRANSFER_ENCODING: &str = "a transfer encoding other than chunked";
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    pub(in crate::http) const LENGTH_AND_ENCODING: &str = "a length beside a transfer encoding";
    /// A response has status 101. An upgrade is never requested.
    pub(in crate::http) const SWITCHING_PROTOCOLS: &str = "a change of protocol that nobody asked for";
    /// Too many interim responses precede the final one.
    pub(in crate::http) const TOO_MANY_INTERIM_RESPONSES: &str = "no end of answers before the one";
    /// A chunk size is not a hexadecimal number, or a line of the chunked coding is too long.
    pub(in crate::http) const CHUNK_SIZE: &str = "a chunk's length";
    /// A line of the chunked coding ends with a line feed without a carriage return.
    pub(in crate::http) const CHUNK_LINE_END: &str = "a chunk's end";
    /// A chunk's data is not followed by a line break.
    pub(in crate::http) const CHUNK_OVERRUN: &str = "a chunk longer than it said";
    /// The message is not chunked although chunked coding is required.
    pub(in crate::http) const NOT_CHUNKED: &str = "expected a chunked body";
    /// The connection was closed before the body was complete.
    pub(in crate::http) const TRUNCATED_BODY: &str = "a body that breaks off";
}
