//! Streams a message body of any length. Performs no I/O.

use super::chunked::ChunkDecoder;
use super::error::reason;
use super::ParseError;
pub use super::{Framing, Head, HeadReader};

/// The maximum size of a single chunk. Chunks are forwarded in parts, so this limit only prevents integer overflow.
const MAX_CHUNK_BYTES: u64 = 1 << 40;
/// The maximum size of the trailer section of a chunked body.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Decodes a body incrementally. The body's length is not limited here; limiting it is up to the caller.
#[derive(Debug)]
pub struct Body {
    state: BodyState,
}

#[derive(Debug)]
enum BodyState {
    /// This many more bytes are expected.
    Sized(u64),
    Chunked(ChunkDecoder),
    /// The body ends when the connection is closed.
    UntilClose,
    Complete,
    Failed(ParseError),
}

impl Body {
    /// Creates a reader for a body with this framing. An empty body is complete from the start.
    pub fn new(framing: Framing) -> Body {
        let state = match framing {
            Framing::Empty | Framing::ContentLength(0) => BodyState::Complete,
            Framing::ContentLength(length) => BodyState::Sized(length),
            Framing::Chunked => BodyState::Chunked(ChunkDecoder::strict(MAX_CHUNK_BYTES, MAX_TRAILER_BYTES)),
            Framing::UntilClose => BodyState::UntilClose,
        };
        Body { state }
    }

    /// Moves at most `max_bytes` bytes of the decoded body from the front of `input` to `decoded`. Returns true once
    /// the body is complete; the remaining input then belongs to the next message.
    ///
    /// If the body is incomplete and `max_bytes` bytes were returned, the input may hold more of the body: call again
    /// before waiting for the socket. If `max_bytes` is 0 only the framing of a chunked body is read.
    ///
    /// # Errors
    ///
    /// `Malformed` for an invalid chunk or trailer, `BodyTooLarge` for a single chunk of more than 2^40 bytes. Later
    /// calls return the same error.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        decoded: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<bool, ParseError> {
        let consumed = match &mut self.state {
            BodyState::Sized(remaining) => {
                let available = usize::try_from(*remaining).unwrap_or(usize::MAX).min(input.len());
                let length = available.min(max_bytes);
                decoded.extend_from_slice(&input[..length]);
                *remaining -= length as u64;
                length
            }
            BodyState::UntilClose => {
                let length = input.len().min(max_bytes);
                decoded.extend_from_slice(&input[..length]);
                length
            }
            BodyState::Chunked(decoder) => match decoder.decode(input, decoded, max_bytes) {
                Ok(consumed) => consumed,
                Err(error) => return Err(self.fail(error)),
            },
            BodyState::Complete => return Ok(true),
            BodyState::Failed(error) => return Err(*error),
        };
        input.drain(..consumed);
        if self.is_fully_read() {
            self.state = BodyState::Complete;
        }
        Ok(self.is_complete())
    }

    /// Finishes the body at the end of the stream. To be called when the connection is closed and all its input has
    /// been read.
    ///
    /// # Errors
    ///
    /// `Malformed` if the body is incomplete.
    ///
    /// Invariant: closing the connection completes only a body that is delimited by the close. Otherwise a truncated
    /// body would be accepted as complete.
    pub fn finish_at_eof(&mut self) -> Result<(), ParseError> {
        match self.state {
            BodyState::UntilClose => {
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

    /// Whether all bytes of a framed body have been read.
    fn is_fully_read(&self) -> bool {
        match &self.state {
            BodyState::Sized(remaining) => *remaining == 0,
            BodyState::Chunked(decoder) => decoder.is_done(),
            _ => false,
        }
    }

    /// Stores the error and returns it.
    ///
    /// Invariant: nothing is read after an error. Otherwise bytes could be delivered twice, or a message could be read
    /// from a position where none starts.
    fn fail(&mut self, error: ParseError) -> ParseError {
        self.state = BodyState::Failed(error);
        error
    }
}
