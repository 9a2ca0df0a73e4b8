//! Parser of message heads (RFC 9112 sections 2 to 5).

use super::error::{reason, ParseError};
use super::framing::Framing;
use super::head::{FieldLayout, Head, HeadLayout, MessageKind};
use super::{parse_decimal, CRLF_BYTES};
use memchr::memchr;
use std::ops::Range;

/// The prefix of every status line.
const STATUS_LINE_PREFIX: &[u8] = b"HTTP/1.";
/// How many bytes of an incomplete request line are checked for invalid characters.
const MAX_PREFIX_CHECK_BYTES: usize = 64;
/// The maximum number of interim responses (1xx) before the final one.
const MAX_INTERIM_RESPONSES: u8 = 8;

/// Reads message heads from a connection's input. After each head the message's body must be read with
/// [`Body`](super::body::Body).
#[derive(Debug, Default)]
pub struct HeadReader {
    parser: HeadParser,
}

impl HeadReader {
    /// Removes the next head from the front of `input` once it is complete, and returns it with the framing of its
    /// body. Interim responses (1xx) are discarded. `None` if more input is needed.
    ///
    /// `max_bytes` limits the head's length in bytes, including empty lines before the start line.
    ///
    /// # Errors
    ///
    /// `HeadTooLarge` if the head exceeds `max_bytes`; `Malformed` for an invalid head, for more than 8 interim
    /// responses, and for 101 Switching Protocols. The rest of the input must be discarded after an error.
    pub fn next(
        &mut self,
        kind: MessageKind,
        input: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Option<(Head, Framing)>, ParseError> {
        let Some(framing) = self.parser.parse(kind, input, max_bytes)? else { return Ok(None) };
        let layout = std::mem::take(&mut self.parser).layout;
        let bytes = input.drain(..layout.end).collect();
        Ok(Some((Head { bytes, layout }, framing)))
    }

    /// Whether a message has started whose head is incomplete. Interim responses before the head count as its start.
    pub fn has_partial_head(&self, input: &[u8]) -> bool {
        !input.is_empty() || self.parser.interim_responses > 0
    }
}

/// The state of an incrementally parsed head.
#[derive(Debug, Default)]
pub(super) struct HeadParser {
    /// The positions of the parsed parts of the head in the input.
    pub(super) layout: HeadLayout,
    /// The start of the first line that has not been parsed.
    position: usize,
    /// How many interim responses have been discarded before this head.
    interim_responses: u8,
}

impl HeadParser {
    /// Parses the complete lines within the first `max_bytes` of `input`. Returns the body's framing once the head is
    /// complete. Interim responses are removed from the input.
    pub(super) fn parse(
        &mut self,
        kind: MessageKind,
        input: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Option<Framing>, ParseError> {
        while let Some(line) = self.next_line(input, max_bytes)? {
            let text = line.start..line.end - CRLF_BYTES;
            match (self.layout.has_start_line(), text.is_empty()) {
                // Empty lines before a message are ignored (RFC 9112 section 2.2).
                (false, true) => {}
                (false, false) => self.layout.start_line = parse_start_line(kind, input, text)?,
                (true, false) => self.layout.fields.push(parse_field(input, text, line)?),
                (true, true) => {
                    self.layout.end = line.end;
                    let is_interim = kind.is_response() && self.layout.status(input).starts_with(b"1");
                    if !is_interim {
                        return Framing::from_head(kind, &self.layout, input).map(Some);
                    }
                    self.discard_interim_response(input)?;
                }
            }
        }
        if input.len() > max_bytes {
            return Err(ParseError::HeadTooLarge);
        }
        self.check_incomplete_start_line(kind, input)?;
        Ok(None)
    }

    /// Advances to the next complete line. The returned range includes the line break.
    fn next_line(&mut self, input: &[u8], max_bytes: usize) -> Result<Option<Range<usize>>, ParseError> {
        let Some(line_feed) = memchr(b'\n', &input[self.position..]) else { return Ok(None) };
        let line = self.position..self.position + line_feed + 1;
        if line.end > max_bytes {
            return Err(ParseError::HeadTooLarge);
        }
        if !input[line.clone()].ends_with(b"\r\n") {
            return Err(ParseError::Malformed(reason::BARE_LINE_FEED));
        }
        self.position = line.end;
        Ok(Some(line))
    }

    /// Removes a complete interim response from the input and restarts parsing after it.
    fn discard_interim_response(&mut self, input: &mut Vec<u8>) -> Result<(), ParseError> {
        if self.layout.status(input) == b"101" {
            return Err(ParseError::Malformed(reason::SWITCHING_PROTOCOLS));
        }
        if self.interim_responses == MAX_INTERIM_RESPONSES {
            return Err(ParseError::Malformed(reason::TOO_MANY_INTERIM_RESPONSES));
        }
        input.drain(..self.layout.end);
        *self = HeadParser { interim_responses: self.interim_responses + 1, ..HeadParser::default() };
        Ok(())
    }

    /// Rejects an incomplete start line that cannot become valid. Without this check, a connection that sends another
    /// protocol without line feeds would stay open until a timeout.
    fn check_incomplete_start_line(&self, kind: MessageKind, input: &[u8]) -> Result<(), ParseError> {
        if self.layout.has_start_line() {
            return Ok(());
        }
        let line = &input[self.position..];
        let is_plausible = match kind {
            MessageKind::Response { .. } => STATUS_LINE_PREFIX.iter().zip(line).all(|(a, b)| a == b),
            MessageKind::Request => {
                line.iter().take(MAX_PREFIX_CHECK_BYTES).all(|byte| matches!(byte, b'\r' | b' '..=b'~'))
            }
        };
        if !is_plausible {
            return Err(ParseError::Malformed(reason::START_LINE));
        }
        Ok(())
    }
}

/// Splits a request line or status line at its first two spaces. `text` is the line without its line break.
fn parse_start_line(
    kind: MessageKind,
    input: &[u8],
    text: Range<usize>,
) -> Result<[Range<usize>; 3], ParseError> {
    let error = ParseError::Malformed(reason::START_LINE);
    let line = &input[text.clone()];
    let first_space = memchr(b' ', line).ok_or(error)?;
    let second_start = first_space + 1;
    let second_space = match memchr(b' ', &line[second_start..]) {
        Some(offset) => second_start + offset,
        // A status line may omit the reason phrase.
        None if kind.is_response() => line.len(),
        None => return Err(error),
    };
    let third_start = (text.start + second_space + 1).min(text.end);
    let parts = [
        text.start..text.start + first_space,
        text.start + second_start..text.start + second_space,
        third_start..text.end,
    ];
    let [first, second, third] = parts.clone().map(|part| &input[part]);
    let is_valid = match kind {
        MessageKind::Request => is_method(first) && is_origin_form(second) && is_supported_version(third),
        MessageKind::Response { .. } => is_supported_version(first) && is_status_code(second),
    };
    if !is_valid {
        return Err(error);
    }
    Ok(parts)
}

fn is_method(text: &[u8]) -> bool {
    is_token(text)
}

/// Whether a request target is in origin form: a path, optionally with a query.
fn is_origin_form(target: &[u8]) -> bool {
    target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic)
}

fn is_supported_version(version: &[u8]) -> bool {
    matches!(version, b"HTTP/1.1" | b"HTTP/1.0")
}

fn is_status_code(text: &[u8]) -> bool {
    text.len() == 3 && parse_decimal(text).is_some_and(|status| status >= 100)
}

/// Parses a field line. `text` is the line without its line break.
fn parse_field(input: &[u8], text: Range<usize>, line: Range<usize>) -> Result<FieldLayout, ParseError> {
    let bytes = &input[text.clone()];
    let colon = memchr(b':', bytes).ok_or(ParseError::Malformed(reason::FIELD_WITHOUT_COLON))?;
    let (name, value) = (&bytes[..colon], &bytes[colon + 1..]);
    if !is_token(name) {
        return Err(ParseError::Malformed(reason::FIELD_NAME));
    }
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    if value.iter().any(is_control) {
        return Err(ParseError::Malformed(reason::FIELD_VALUE));
    }
    let is_whitespace = |byte: &&u8| matches!(byte, b' ' | b'\t');
    let colon_at = text.start + colon;
    let value_start = colon_at + 1 + value.iter().take_while(is_whitespace).count();
    let trailing_whitespace = value.iter().rev().take_while(is_whitespace).count();
    let value_end = (text.end - trailing_whitespace).max(value_start);
    Ok(FieldLayout { name: text.start..colon_at, value: value_start..value_end, line })
}

/// Whether the text is a token (RFC 9110 section 5.6.2).
fn is_token(text: &[u8]) -> bool {
    let is_token_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !text.is_empty() && text.iter().all(is_token_byte)
}
