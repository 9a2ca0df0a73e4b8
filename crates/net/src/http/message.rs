//! Reader of complete messages of bounded size.

use super::chunked::ChunkDecoder;
use super::error::{reason, ParseError};
use super::framing::Framing;
use super::head::{Head, MessageKind};
use super::head_reader::HeadParser;
use super::parse_decimal;
use std::ops::Range;

/// The maximum head size in bytes that [`MessageReader`] accepts.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum body size in bytes that [`MessageReader`] accepts.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A complete message. Dereferences to its [`Head`].
#[derive(Debug)]
pub struct Message {
    head: Head,
    body: MessageBody,
}

#[derive(Debug)]
enum MessageBody {
    /// The body as received: this range of the head's bytes.
    InPlace(Range<usize>),
    /// A decoded chunked body.
    Decoded(Vec<u8>),
}

impl Message {
    /// The body; a chunked body is decoded.
    pub fn body(&self) -> &[u8] {
        match &self.body {
            MessageBody::InPlace(range) => &self.head.bytes[range.clone()],
            MessageBody::Decoded(bytes) => bytes,
        }
    }
}

impl std::ops::Deref for Message {
    type Target = Head;

    fn deref(&self) -> &Head {
        &self.head
    }
}

/// Reads complete messages from a connection's input.
#[derive(Debug, Default)]
pub struct MessageReader {
    parser: HeadParser,
    /// How far the input has been read; meaningful once the head is complete.
    position: usize,
    stage: Stage,
}

/// The part of a message that is being read.
#[derive(Debug, Default)]
enum Stage {
    #[default]
    Head,
    /// A body that ends at this position in the input.
    SizedBody { end: usize },
    /// A chunked body, with the data decoded so far.
    ChunkedBody { decoder: ChunkDecoder, decoded: Vec<u8> },
    /// A body that ends when the connection is closed.
    BodyUntilClose,
}

impl MessageReader {
    /// Whether a message has started and is incomplete.
    pub fn has_partial_message(&self, input: &[u8]) -> bool {
        !input.is_empty() || !self.is_in_head()
    }

    /// Whether a request's head is complete, none of its body has been received, and the client waits for
    /// `100 Continue` before it sends the body. Unlike [`Head::expects_continue`] this ignores the HTTP version.
    pub fn expects_continue(&self, input: &[u8]) -> bool {
        let has_only_head = !self.is_in_head() && input.len() == self.position;
        has_only_head && self.parser.layout.has_expect_continue(input)
    }

    /// Removes the next message from the front of `input` once it is complete. `at_eof` says that no more input
    /// follows.
    ///
    /// # Errors
    ///
    /// The reason for rejecting the message: it is malformed, or exceeds [`MAX_HEAD_BYTES`] or [`MAX_BODY_BYTES`]. The
    /// rest of the input must be discarded after an error.
    pub fn next(
        &mut self,
        kind: MessageKind,
        input: &mut Vec<u8>,
        at_eof: bool,
    ) -> Result<Option<Message>, ParseError> {
        if self.is_in_head() && !self.read_head(kind, input)? {
            return Ok(None);
        }
        let Some(body) = self.read_body(input, at_eof)? else { return Ok(None) };
        let end = match &body {
            MessageBody::InPlace(range) => range.end,
            MessageBody::Decoded(_) => self.position,
        };
        let rest = input.split_off(end);
        let bytes = std::mem::replace(input, rest);
        let layout = std::mem::take(self).parser.layout;
        Ok(Some(Message { head: Head { bytes, layout }, body }))
    }

    /// Streams a chunked response: appends newly decoded body data to `into`. Returns `None` until the head is
    /// complete, then whether the body is complete. Must not be mixed with [`MessageReader::next`] within a message.
    ///
    /// # Errors
    ///
    /// The reason for rejecting the response; `Malformed` if it is not chunked.
    pub fn read_chunked_response(
        &mut self,
        input: &mut Vec<u8>,
        into: &mut Vec<u8>,
    ) -> Result<Option<bool>, ParseError> {
        let response = MessageKind::Response { to_head: false };
        if self.is_in_head() && !self.read_head(response, input)? {
            return Ok(None);
        }
        let Stage::ChunkedBody { decoder, .. } = &mut self.stage else {
            return Err(ParseError::Malformed(reason::NOT_CHUNKED));
        };
        self.position += decoder.decode(&input[self.position..], into, usize::MAX)?;
        let is_complete = decoder.is_done();
        self.discard_decoded_input(input);
        Ok(Some(is_complete))
    }

    /// The status code of the response that [`MessageReader::read_chunked_response`] reads; 0 before its start line has
    /// been parsed.
    pub fn chunked_response_status(&self, input: &[u8]) -> u16 {
        // A status code has three digits, so the conversion does not truncate it.
        parse_decimal(self.parser.layout.status(input)).unwrap_or(0) as u16
    }

    fn is_in_head(&self) -> bool {
        matches!(self.stage, Stage::Head)
    }

    /// Parses the available part of the head; true once the head is complete.
    fn read_head(&mut self, kind: MessageKind, input: &mut Vec<u8>) -> Result<bool, ParseError> {
        let Some(framing) = self.parser.parse(kind, input, MAX_HEAD_BYTES)? else { return Ok(false) };
        let head_end = self.parser.layout.end;
        self.position = head_end;
        self.stage = match framing {
            Framing::Empty => Stage::SizedBody { end: head_end },
            Framing::ContentLength(length) if length > MAX_BODY_BYTES as u64 => {
                return Err(ParseError::BodyTooLarge)
            }
            Framing::ContentLength(length) => Stage::SizedBody { end: head_end + length as usize },
            Framing::Chunked => Stage::ChunkedBody {
                decoder: ChunkDecoder::lenient(MAX_BODY_BYTES as u64),
                decoded: Vec::new(),
            },
            Framing::UntilClose => Stage::BodyUntilClose,
        };
        Ok(true)
    }

    /// Reads the available part of the body; `None` until it is complete.
    fn read_body(&mut self, input: &mut Vec<u8>, at_eof: bool) -> Result<Option<MessageBody>, ParseError> {
        let head_end = self.parser.layout.end;
        match &self.stage {
            Stage::Head => Ok(None),
            Stage::SizedBody { end } if input.len() >= *end => Ok(Some(MessageBody::InPlace(head_end..*end))),
            Stage::SizedBody { .. } => Ok(None),
            Stage::ChunkedBody { .. } => self.read_chunked_body(input),
            Stage::BodyUntilClose if input.len() - head_end > MAX_BODY_BYTES => Err(ParseError::BodyTooLarge),
            Stage::BodyUntilClose if at_eof => Ok(Some(MessageBody::InPlace(head_end..input.len()))),
            Stage::BodyUntilClose => Ok(None),
        }
    }

    /// Decodes the available part of a chunked body; `None` until it is complete.
    fn read_chunked_body(&mut self, input: &mut Vec<u8>) -> Result<Option<MessageBody>, ParseError> {
        let Stage::ChunkedBody { decoder, decoded } = &mut self.stage else { return Ok(None) };
        self.position += decoder.decode(&input[self.position..], decoded, usize::MAX)?;
        if decoded.len() > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        if !decoder.is_done() {
            self.discard_decoded_input(input);
            return Ok(None);
        }
        Ok(Some(MessageBody::Decoded(std::mem::take(decoded))))
    }

    /// Removes the decoded chunks from the input, so that their data is not held twice. The head stays.
    fn discard_decoded_input(&mut self, input: &mut Vec<u8>) {
        let head_end = self.parser.layout.end;
        input.drain(head_end..self.position);
        self.position = head_end;
    }
}
