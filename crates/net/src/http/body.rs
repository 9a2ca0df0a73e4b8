//! Reads the body behind a head as it comes, however long it is. No input or output here.

use super::chunked::ChunkDecoder;
use super::error::reason;
use super::ParseError;
pub use super::{Framing, Head, HeadReader};

/// The most bytes of a single chunk. A chunk is forwarded in parts, so that this only keeps sums from overflowing.
const MAX_CHUNK_BYTES: u64 = 1 << 40;
/// The most bytes of all trailer lines behind a chunked body.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Reads and decodes a body as it comes. Its length is not bounded here; that is up to the caller.
#[derive(Debug)]
pub struct Body {
    state: BodyState,
}

#[derive(Debug)]
enum BodyState {
    /// This many more bytes are to come.
    Sized(u64),
    Chunked(ChunkDecoder),
    /// The body ends with the connection.
    ToTheEnd,
    Complete,
    Failed(ParseError),
}

impl Body {
    /// The body behind a head. One without bytes is complete from the start.
    pub fn new(framing: Framing) -> Body {
        let state = match framing {
            Framing::Empty | Framing::ContentLength(0) => BodyState::Complete,
            Framing::ContentLength(length) => BodyState::Sized(length),
            Framing::Chunked => BodyState::Chunked(ChunkDecoder::strict(MAX_CHUNK_BYTES, MAX_TRAILER_BYTES)),
            Framing::UntilClose => BodyState::ToTheEnd,
        };
        Body { state }
    }

    /// Moves at most `room` bytes of the decoded body from the front of `input` to `into`; true once the body is
    /// complete. What is left of the input then belongs to the next message.
    ///
    /// If the body is not complete and `room` has been used up, the input may hold more of it: call again with more
    /// room before waiting for the socket. With no room at all only a chunked body's framing is read.
    ///
    /// # Errors
    ///
    /// `Malformed` for what is not a chunk or a trailer, `BodyTooLarge` for a single chunk of more than 2^40 bytes.
    /// Each later call returns the same error.
    pub fn read(&mut self, input: &mut Vec<u8>, into: &mut Vec<u8>, room: usize) -> Result<bool, ParseError> {
        let consumed = match &mut self.state {
            BodyState::Sized(left) => {
                let available = usize::try_from(*left).unwrap_or(usize::MAX).min(input.len());
                let length = available.min(room);
                into.extend_from_slice(&input[..length]);
                *left -= length as u64;
                length
            }
            BodyState::ToTheEnd => {
                let length = input.len().min(room);
                into.extend_from_slice(&input[..length]);
                length
            }
            BodyState::Chunked(decoder) => match decoder.decode(input, into, room) {
                Ok(consumed) => consumed,
                Err(error) => return Err(self.fail(error)),
            },
            BodyState::Complete => return Ok(true),
            BodyState::Failed(error) => return Err(*error),
        };
        input.drain(..consumed);
        if self.has_no_more_bytes() {
            self.state = BodyState::Complete;
        }
        Ok(self.is_complete())
    }

    /// To be called when the connection has ended and all its input has been read.
    ///
    /// # Errors
    ///
    /// `Malformed` if the body is not complete.
    ///
    /// Invariant: only a body that the connection's end delimits is completed by it. Otherwise a truncated body would
    /// pass for a complete one.
    pub fn finish_at_eof(&mut self) -> Result<(), ParseError> {
        match self.state {
            BodyState::ToTheEnd => {
                self.state = BodyState::Complete;
                Ok(())
            }
            BodyState::Complete => Ok(()),
            BodyState::Failed(error) => Err(error),
            BodyState::Sized(_) | BodyState::Chunked(_) => {
                Err(self.fail(ParseError::Malformed(reason::TRUNCATED_BODY)))
            }
        }
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, BodyState::Complete)
    }

    /// Whether the framing says that all bytes have been read.
    fn has_no_more_bytes(&self) -> bool {
        match &self.state {
            BodyState::Sized(left) => *left == 0,
            BodyState::Chunked(decoder) => decoder.is_done(),
            _ => false,
        }
    }

    /// Records and returns the error.
    ///
    /// Invariant: nothing is read after an error. Otherwise bytes that have been delivered would be delivered again,
    /// or a next message be found where none begins.
    fn fail(&mut self, error: ParseError) -> ParseError {
        self.state = BodyState::Failed(error);
        error
    }
}
