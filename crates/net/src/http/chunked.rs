//! Decoder of the chunked transfer coding (RFC 9112 section 7.1).

use super::error::{reason, ParseError};
use super::CRLF_BYTES;
use memchr::memchr;

/// The maximum length of a chunk size line in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Decodes a chunked body incrementally.
#[derive(Debug)]
pub(super) struct ChunkDecoder {
    state: ChunkState,
    /// The maximum size of a chunk in bytes.
    max_chunk_bytes: u64,
    /// How many more bytes the trailer section may have; `None` if it is not limited by the decoder.
    trailer_bytes_left: Option<usize>,
}

/// What the decoder expects next.
#[derive(Debug)]
enum ChunkState {
    /// A chunk size line.
    Size,
    /// This many more bytes of a chunk's data.
    Data(u64),
    /// The line break after a chunk's data.
    DataEnd,
    /// A line of the trailer section, or the empty line that ends the body.
    Trailer,
    /// The body is complete.
    Done,
}

impl ChunkDecoder {
    /// Creates a decoder that limits the length of a line only while the line is incomplete. That is sufficient if the
    /// caller limits the body's size and the time to receive it.
    pub(super) fn lenient(max_chunk_bytes: u64) -> ChunkDecoder {
        ChunkDecoder { state: ChunkState::Size, max_chunk_bytes, trailer_bytes_left: None }
    }

    /// Creates a decoder that limits the length of each line and of the trailer section.
    ///
    /// Invariant: bodies of unlimited size are decoded with these limits. Without them a sender could send lines
    /// without body data forever, and whether a long line is rejected would depend on how the input is split.
    pub(super) fn strict(max_chunk_bytes: u64, max_trailer_bytes: usize) -> ChunkDecoder {
        ChunkDecoder { state: ChunkState::Size, max_chunk_bytes, trailer_bytes_left: Some(max_trailer_bytes) }
    }

    /// Whether the body is complete.
    pub(super) fn is_done(&self) -> bool {
        matches!(self.state, ChunkState::Done)
    }

    /// Decodes `input` and appends at most `max_bytes` of body data to `decoded`. Returns the number of input bytes
    /// consumed.
    pub(super) fn decode(
        &mut self,
        input: &[u8],
        decoded: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<usize, ParseError> {
        let mut position = 0;
        let mut bytes_left = max_bytes;
        while position < input.len() && !self.is_done() {
            let rest = &input[position..];
            if let ChunkState::Data(chunk_bytes_left) = self.state {
                if bytes_left == 0 {
                    break;
                }
                let copied = self.copy_data(chunk_bytes_left, &rest[..rest.len().min(bytes_left)], decoded);
                position += copied;
                bytes_left -= copied;
                continue;
            }
            let Some(line) = self.next_line(rest)? else { break };
            position += line.len() + CRLF_BYTES;
            self.state = self.state_after(line)?;
        }
        Ok(position)
    }

    /// Copies the part of a chunk's data that is in `available`; the chunk has `chunk_bytes_left` more bytes. Returns
    /// the number of bytes copied.
    fn copy_data(&mut self, chunk_bytes_left: u64, available: &[u8], decoded: &mut Vec<u8>) -> usize {
        let length = usize::try_from(chunk_bytes_left).unwrap_or(usize::MAX).min(available.len());
        decoded.extend_from_slice(&available[..length]);
        self.state = match chunk_bytes_left - length as u64 {
            0 => ChunkState::DataEnd,
            left => ChunkState::Data(left),
        };
        length
    }

    /// The line at the front of `rest`, without its line break; `None` if it is incomplete.
    fn next_line<'a>(&self, rest: &'a [u8]) -> Result<Option<&'a [u8]>, ParseError> {
        let too_long = ParseError::Malformed(reason::CHUNK_SIZE);
        let Some(line_feed) = memchr(b'\n', rest) else {
            return if rest.len() <= self.max_line_bytes() { Ok(None) } else { Err(too_long) };
        };
        let is_strict = self.trailer_bytes_left.is_some();
        if is_strict && line_feed > self.max_line_bytes() {
            return Err(too_long);
        }
        let line = rest[..line_feed].strip_suffix(b"\r");
        line.map(Some).ok_or(ParseError::Malformed(reason::CHUNK_LINE_END))
    }

    /// The maximum length of the next line in bytes.
    fn max_line_bytes(&self) -> usize {
        match (&self.state, self.trailer_bytes_left) {
            (ChunkState::Trailer, Some(left)) => left,
            _ => MAX_SIZE_LINE_BYTES,
        }
    }

    /// The state after `line`.
    fn state_after(&mut self, line: &[u8]) -> Result<ChunkState, ParseError> {
        match self.state {
            ChunkState::Size => match parse_chunk_size(line, self.max_chunk_bytes)? {
                0 => Ok(ChunkState::Trailer),
                size => Ok(ChunkState::Data(size)),
            },
            ChunkState::DataEnd if line.is_empty() => Ok(ChunkState::Size),
            ChunkState::DataEnd => Err(ParseError::Malformed(reason::CHUNK_OVERRUN)),
            _ if line.is_empty() => Ok(ChunkState::Done),
            _ => {
                self.trailer_bytes_left =
                    self.trailer_bytes_left.map(|left| left.saturating_sub(line.len() + CRLF_BYTES));
                Ok(ChunkState::Trailer)
            }
        }
    }
}

/// Parses a chunk size line. Chunk extensions after a semicolon are ignored.
fn parse_chunk_size(line: &[u8], max_chunk_bytes: u64) -> Result<u64, ParseError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    if size.is_empty() || !size.iter().all(u8::is_ascii_hexdigit) {
        return Err(ParseError::Malformed(reason::CHUNK_SIZE));
    }
    let size = std::str::from_utf8(size).ok().and_then(|size| u64::from_str_radix(size, 16).ok());
    size.filter(|size| *size <= max_chunk_bytes).ok_or(ParseError::BodyTooLarge)
}
