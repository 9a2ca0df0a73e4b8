//! Incremental HTTP/1.1 parser (RFC 9110, RFC 9112). Input may be split at any byte. The parser performs no I/O.
//!
//! - `error`: errors for rejected messages.
//! - `head`: a message's start line and fields, and accessors for them.
//! - `head_reader`: parser of message heads.
//! - `framing`: how the end of a body is determined (RFC 9112 section 6).
//! - `chunked`: decoder of the chunked transfer coding.
//! - `message`: reader of complete messages of bounded size.
//! - [`body`]: streams a body of any length.
//!
//! The parser is strict: it rejects everything that two implementations could interpret differently (request
//! smuggling).

pub mod body;
mod chunked;
mod error;
mod framing;
mod head;
mod head_reader;
mod message;
#[cfg(test)]
mod tests;

pub use error::ParseError;
pub use framing::Framing;
pub use head::{Head, MessageKind};
pub use head_reader::HeadReader;
pub use message::{Message, MessageReader, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// The length of the line break that ends each line.
const CRLF_BYTES: usize = 2;
/// The maximum number of digits of a decimal number, so that its value fits into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 18;

/// Parses a decimal number of 1 to 18 digits, without a sign or whitespace.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let has_valid_length = (1..=MAX_DECIMAL_DIGITS).contains(&text.len());
    if !has_valid_length || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(text.iter().fold(0, |number, digit| number * 10 + u64::from(digit - b'0')))
}
