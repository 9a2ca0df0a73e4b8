//! HTTP/1.1 (RFC 9110, RFC 9112), parsed incrementally: input may be split at any byte. No input or output here.
//!
//! - `error`: why a message is rejected.
//! - `head`: a message's start line and fields, and questions about them.
//! - `head_reader`: parses heads from a connection's input.
//! - `framing`: how a body ends (RFC 9112 section 6), and the fields that say so.
//! - `chunked`: the decoder of the chunked transfer coding.
//! - `message`: reads complete messages of bounded size.
//! - [`body`]: reads a body of any length as it comes.
//!
//! The parser is strict: whatever two implementations could read in two ways is an error (request smuggling).

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
/// The most digits of a decimal number: every number of so many fits 64 bits.
const MAX_DECIMAL_DIGITS: usize = 18;

/// Parses a decimal number of 1 to 18 digits, without a sign or blanks.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let has_valid_length = (1..=MAX_DECIMAL_DIGITS).contains(&text.len());
    if !has_valid_length || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(text.iter().fold(0, |number, digit| number * 10 + u64::from(digit - b'0')))
}
