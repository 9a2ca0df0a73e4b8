//! A message's head: the start line and the fields.

use super::parse_decimal;
use memchr::memchr;
use std::ops::Range;

/// Hop-by-hop fields, which concern a single connection or the framing of a message on it. They are never forwarded
/// (RFC 9110 section 7.6.1).
const HOP_BY_HOP_FIELDS: [&str; 10] = [
    "connection",
    "content-length",
    "transfer-encoding",
    "keep-alive",
    "expect",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "proxy-authenticate",
];

/// The kind of message to parse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request.
    Request,
    /// A response.
    Response {
        /// Whether it is the response to a `HEAD` request and therefore has no body.
        to_head: bool,
    },
}

impl MessageKind {
    /// Whether it is a response.
    pub(super) fn is_response(self) -> bool {
        matches!(self, MessageKind::Response { .. })
    }
}

/// The positions of a head's parts in the bytes of a message, which are kept as received.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLayout {
    /// The three parts of the start line, see [`Head::start_line_part`]; empty ranges until it has been parsed.
    pub(super) start_line: [Range<usize>; 3],
    /// The fields in the order in which they were received.
    pub(super) fields: Vec<FieldLayout>,
    /// The position of the first byte after the head.
    pub(super) end: usize,
}

/// The positions of the parts of a field line.
#[derive(Clone, Debug)]
pub(super) struct FieldLayout {
    /// The name, up to the colon.
    pub(super) name: Range<usize>,
    /// The value, without surrounding whitespace.
    pub(super) value: Range<usize>,
    /// The complete line, including its line break.
    pub(super) line: Range<usize>,
}

impl HeadLayout {
    /// Whether the start line has been parsed.
    pub(super) fn has_start_line(&self) -> bool {
        self.start_line[2].end > 0
    }

    /// The second part of the start line, which in a response is the status code; empty before it has been parsed.
    pub(super) fn status<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        &bytes[self.start_line[1].clone()]
    }

    /// Names and values in the order in which they were received.
    pub(super) fn fields<'a>(&'a self, bytes: &'a [u8]) -> impl Iterator<Item = (&'a [u8], &'a [u8])> {
        self.fields.iter().map(|field| (&bytes[field.name.clone()], &bytes[field.value.clone()]))
    }

    /// Whether the head has the field `Expect: 100-continue`.
    pub(super) fn has_expect_continue(&self, bytes: &[u8]) -> bool {
        self.fields(bytes).any(|(name, value)| {
            name.eq_ignore_ascii_case(b"expect") && value.eq_ignore_ascii_case(b"100-continue")
        })
    }
}

/// A message's start line and fields.
#[derive(Debug)]
pub struct Head {
    /// The head as received. In a complete message the body may follow it.
    pub(super) bytes: Vec<u8>,
    pub(super) layout: HeadLayout,
}

impl Head {
    /// A part of the start line: method, target or version of a request; version, status code or reason phrase of a
    /// response.
    ///
    /// # Panics
    ///
    /// If `part` is more than 2.
    pub fn start_line_part(&self, part: usize) -> &[u8] {
        &self.bytes[self.layout.start_line[part].clone()]
    }

    /// A response's status code; 0 for a request.
    pub fn status(&self) -> u16 {
        // A status code has three digits, so the conversion does not truncate it.
        parse_decimal(self.layout.status(&self.bytes)).unwrap_or(0) as u16
    }

    /// Names and values in the order in which they were received, without whitespace around the values.
    pub fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.layout.fields(&self.bytes)
    }

    /// The value of the first field with this name. Names are case-insensitive.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        let is_name = |field: &[u8]| field.eq_ignore_ascii_case(name.as_bytes());
        self.fields().find(|(field, _)| is_name(field)).map(|(_, value)| value)
    }

    /// Whether the connection stays open after this message (RFC 9112 section 9.3).
    pub fn is_persistent(&self) -> bool {
        let is_response = self.start_line_part(0).starts_with(b"HTTP/");
        let version = if is_response { self.start_line_part(0) } else { self.start_line_part(2) };
        let is_persistent = version == b"HTTP/1.1" || self.has_connection_option(b"keep-alive");
        is_persistent && !self.has_connection_option(b"close")
    }

    /// Whether `Connection` lists this option: `close`, `keep-alive`, or the name of a field that must not be
    /// forwarded.
    pub fn has_connection_option(&self, option: &[u8]) -> bool {
        self.connection_options().any(|listed| listed.eq_ignore_ascii_case(option))
    }

    /// The options of all `Connection` fields.
    fn connection_options(&self) -> impl Iterator<Item = &[u8]> {
        self.fields()
            .filter(|(name, _)| name.eq_ignore_ascii_case(b"connection"))
            .flat_map(|(_, value)| value.split(|byte| *byte == b','))
            .map(<[u8]>::trim_ascii)
    }

    /// Appends the field lines that a proxy forwards to `into`, as received: all except the hop-by-hop fields, the
    /// fields that `Connection` names, and those named in `excluded`.
    pub fn append_forwarded_fields(&self, excluded: &[&str], into: &mut Vec<u8>) {
        let connection_options: Vec<&[u8]> = self.connection_options().collect();
        for field in &self.layout.fields {
            let name = &self.bytes[field.name.clone()];
            let is_name = |other: &&str| name.eq_ignore_ascii_case(other.as_bytes());
            let is_hop_by_hop = HOP_BY_HOP_FIELDS.iter().any(is_name)
                || connection_options.iter().any(|option| option.eq_ignore_ascii_case(name));
            if !is_hop_by_hop && !excluded.iter().any(is_name) {
                into.extend_from_slice(&self.bytes[field.line.clone()]);
            }
        }
    }

    /// How many seconds the sender keeps an idle connection open, if it says so (`Keep-Alive: timeout=N`). The smallest
    /// value if there are several.
    pub fn keep_alive_secs(&self) -> Option<u64> {
        let parameters = self.field("keep-alive")?.split(|byte| *byte == b',');
        parameters.filter_map(keep_alive_timeout).min()
    }

    /// Whether a request's sender waits for `100 Continue` before it sends the body (RFC 9110 section 10.1.1).
    ///
    /// Invariant: never true for HTTP/1.0, whose clients would take an interim response for the final one.
    pub fn expects_continue(&self) -> bool {
        self.start_line_part(2) == b"HTTP/1.1" && self.layout.has_expect_continue(&self.bytes)
    }

    /// The length of the head in bytes, including the empty line at its end and any empty lines before the start line.
    #[allow(clippy::len_without_is_empty)] // a head is never empty
    pub fn len(&self) -> usize {
        self.layout.end
    }
}

/// The number of seconds in a `timeout=N` parameter of a `Keep-Alive` field.
fn keep_alive_timeout(parameter: &[u8]) -> Option<u64> {
    let equals_sign = memchr(b'=', parameter)?;
    let name = parameter[..equals_sign].trim_ascii();
    let value = parameter[equals_sign + 1..].trim_ascii();
    if !name.eq_ignore_ascii_case(b"timeout") {
        return None;
    }
    parse_decimal(value)
}
