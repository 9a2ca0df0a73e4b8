//! Why an HTTP/1.1 message is rejected.

use std::fmt;

/// Why a message cannot be parsed. The input that it came from is of no more use: where the next message would
/// begin is not known.
///
/// Invariant: the in-service gateway answers a client's malformed request with this type's `Debug` output. The
/// variants' names and the texts below are therefore part of an answer and never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The bytes are not a well-formed message; the text says what is wrong.
    Malformed(&'static str),
    /// The head, from the first line to the empty line behind the fields, exceeds its limit.
    HeadTooLarge,
    /// The body, or a single chunk of it, exceeds its limit.
    BodyTooLarge,
}

impl ParseError {
    /// The status code to answer a client with that sent such a request.
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
            ParseError::HeadTooLarge => f.write_str("a head too large"),
            ParseError::BodyTooLarge => f.write_str("a body too large"),
        }
    }
}

impl std::error::Error for ParseError {}

/// The texts of [`ParseError::Malformed`]. They appear in answers and never change.
pub(super) mod reason {
    /// The first line is neither a request line nor a status line.
    pub(in crate::http) const START_LINE: &str = "a first line that is none";
    /// A line of the head ends with a line feed alone.
    pub(in crate::http) const BARE_LINE_FEED: &str = "a line that ends without a carriage return";
    /// A field line has no colon.
    pub(in crate::http) const FIELD_WITHOUT_COLON: &str = "a field without a colon";
    /// A field's name is empty or not a token.
    pub(in crate::http) const FIELD_NAME: &str = "a field's name";
    /// A field's value has control characters in it.
    pub(in crate::http) const FIELD_VALUE: &str = "a field's value";
    /// `Content-Length` is not a number.
    pub(in crate::http) const CONTENT_LENGTH: &str = "a content length";
    /// Several `Content-Length` fields have different values.
    pub(in crate::http) const CONFLICTING_LENGTHS: &str = "two lengths that differ";
    /// `Transfer-Encoding` is not exactly one `chunked`.
    pub(in crate::http) const TRANSFER_ENCODING: &str = "a transfer encoding other than chunked";
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    pub(in crate::http) const LENGTH_AND_ENCODING: &str = "a length beside a transfer encoding";
    /// A response of status 101, which is never asked for.
    pub(in crate::http) const SWITCHING_PROTOCOLS: &str = "a change of protocol that nobody asked for";
    /// More interim responses than are accepted before the final one.
    pub(in crate::http) const TOO_MANY_INTERIM: &str = "no end of answers before the one";
    /// A chunk's size line is no hexadecimal number, or a line of the chunked coding is too long.
    pub(in crate::http) const CHUNK_SIZE: &str = "a chunk's length";
    /// A line of the chunked coding ends with a line feed alone.
    pub(in crate::http) const CHUNK_LINE_END: &str = "a chunk's end";
    /// A chunk's data does not end where its size says.
    pub(in crate::http) const CHUNK_OVERRUN: &str = "a chunk longer than it said";
    /// The message is not chunked though it has to be.
    pub(in crate::http) const NOT_CHUNKED: &str = "expected a chunked body";
    /// The connection ended before the body was complete.
    pub(in crate::http) const TRUNCATED_BODY: &str = "a body that breaks off";
}
