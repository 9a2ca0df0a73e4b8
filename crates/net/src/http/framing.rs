//! Message body framing (RFC 9112 section 6).

use super::error::{reason, ParseError};
use super::head::{HeadLayout, MessageKind};
use super::parse_decimal;

/// How the end of a message's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    ContentLength(u64),
    /// The body ends with the last chunk of the chunked transfer coding and its trailer section.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Derives the framing from a parsed head.
    ///
    /// # Errors
    ///
    /// `Malformed` if the framing fields are invalid or contradict each other.
    pub(super) fn from_head(
        kind: MessageKind,
        layout: &HeadLayout,
        bytes: &[u8],
    ) -> Result<Framing, ParseError> {
        let fields = FramingFields::from_head(layout, bytes)?;
        let framing = match fields.content_length {
            _ if has_no_body(kind, layout.status(bytes)) => Framing::Empty,
            _ if fields.is_chunked => Framing::Chunked,
            Some(length) => Framing::ContentLength(length),
            None if kind == MessageKind::Request => Framing::Empty,
            None => Framing::UntilClose,
        };
        Ok(framing)
    }
}

/// Whether a response has no body regardless of its fields: a response to `HEAD`, or one with status 204 or 304.
fn has_no_body(kind: MessageKind, status: &[u8]) -> bool {
    match kind {
        MessageKind::Request => false,
        MessageKind::Response { to_head } => to_head || matches!(status, b"204" | b"304"),
    }
}

/// The fields that determine a body's length.
#[derive(Default)]
struct FramingFields {
    /// The value of `Content-Length` in bytes.
    content_length: Option<u64>,
    /// Whether `Transfer-Encoding: chunked` is present.
    is_chunked: bool,
}

impl FramingFields {
    fn from_head(layout: &HeadLayout, bytes: &[u8]) -> Result<FramingFields, ParseError> {
        let mut framing = FramingFields::default();
        for (name, value) in layout.fields(bytes) {
            if name.eq_ignore_ascii_case(b"content-length") {
                framing.add_content_length(value)?;
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                framing.add_transfer_encoding(value)?;
            }
        }
        // Invariant: both fields together are rejected. An intermediary may use the other field and would then see
        // different message boundaries (request smuggling, RFC 9112 section 11.2).
        if framing.is_chunked && framing.content_length.is_some() {
            return Err(ParseError::Malformed(reason::LENGTH_AND_ENCODING));
        }
        Ok(framing)
    }

    fn add_content_length(&mut self, value: &[u8]) -> Result<(), ParseError> {
        let length = parse_decimal(value).ok_or(ParseError::Malformed(reason::CONTENT_LENGTH))?;
        if self.content_length.is_some_and(|earlier| earlier != length) {
            return Err(ParseError::Malformed(reason::CONFLICTING_LENGTHS));
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn add_transfer_encoding(&mut self, value: &[u8]) -> Result<(), ParseError> {
        if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(ParseError::Malformed(reason::TRANSFER_ENCODING));
        }
        self.is_chunked = true;
        Ok(())
    }
}
