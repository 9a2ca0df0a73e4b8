//! HTTP/1.1, read as its bytes come in, cut anywhere. No input or output here.

pub mod body;

use memchr::memchr;
use std::ops::Range;

/// The most bytes of a head that [`MessageReader`] takes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes of a body that [`MessageReader`] takes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// What each answer begins with.
const VERSION: &[u8] = b"HTTP/1.";
/// So much of a first line that is not whole is looked at each time.
const MOST_CHECKED: usize = 64;
/// Answers that come before the one that counts.
const MOST_INTERIM: u8 = 8;
/// The longest line that gives a chunk's length.
const MOST_CHUNK_LINE: usize = 256;

/// Why a message cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    Malformed(&'static str),
    HeadTooLarge,
    BodyTooLarge,
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ParseError::Malformed(what) => write!(f, "malformed: {what}"),
            ParseError::HeadTooLarge => f.write_str("a head too large"),
            ParseError::BodyTooLarge => f.write_str("a body too large"),
        }
    }
}

impl std::error::Error for ParseError {}

impl ParseError {
    /// What to say to a client that sent it.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed(_) => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
        }
    }
}

/// What is read: whose side of a connection its bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Request,
    /// An answer; to `HEAD` one has no body.
    Answer {
        to_head: bool,
    },
}

/// How the body behind a head ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many bytes.
    Sized(u64),
    /// With an empty chunk.
    Chunked,
    /// With the connection.
    ToTheEnd,
}

/// Where a message's head has what; its bytes stay as they came.
#[derive(Clone, Debug, Default)]
struct Layout {
    start: [Range<usize>; 3],
    fields: Vec<Field>,
    end: usize,
}

#[derive(Clone, Debug)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
    /// With its line's end.
    line: Range<usize>,
}

/// A message's first line and fields.
#[derive(Debug)]
pub struct Head {
    /// Of a whole message, its body may stand behind them.
    bytes: Vec<u8>,
    layout: Layout,
}

/// A whole message; it is asked for what stands in its head as a [`Head`] is.
#[derive(Debug)]
pub struct Message {
    head: Head,
    body: Body,
}

#[derive(Debug)]
enum Body {
    Within(Range<usize>),
    Unchunked(Vec<u8>),
}

impl Message {
    /// Its body, decoded.
    pub fn body(&self) -> &[u8] {
        match &self.body {
            Body::Within(range) => &self.head.bytes[range.clone()],
            Body::Unchunked(bytes) => bytes,
        }
    }
}

impl std::ops::Deref for Message {
    type Target = Head;

    fn deref(&self) -> &Head {
        &self.head
    }
}

impl Head {
    /// The three parts of its first line: method, target and version, or version, status and reason.
    ///
    /// # Panics
    ///
    /// If `part` is more than 2.
    pub fn start(&self, part: usize) -> &[u8] {
        &self.bytes[self.layout.start[part].clone()]
    }

    /// An answer's status; 0 for a request.
    pub fn status(&self) -> u16 {
        digits(self.start(1)).unwrap_or(0) as u16
    }

    /// Names and values in the order they came, without blanks around the values.
    pub fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        fields(&self.layout, &self.bytes)
    }

    /// The value of the first field of that name, in whatever case.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// Whether the connection may be used again afterwards.
    pub fn keeps_open(&self) -> bool {
        let version = if self.start(0).starts_with(b"HTTP/") { self.start(0) } else { self.start(2) };
        !self.ends_here(b"close") && (version == b"HTTP/1.1" || self.ends_here(b"keep-alive"))
    }

    /// Whether a field, or a word for the connection itself, stands among those for this connection alone.
    pub fn ends_here(&self, name: &[u8]) -> bool {
        self.options().any(|option| option.eq_ignore_ascii_case(name))
    }

    fn options(&self) -> impl Iterator<Item = &[u8]> {
        let connection = self.fields().filter(|(name, _)| name.eq_ignore_ascii_case(b"connection"));
        connection.flat_map(|(_, value)| value.split(|b| *b == b',').map(<[u8]>::trim_ascii))
    }

    /// Appends the lines that pass on as they came: all but those that speak of one connection or its
    /// framing, and those named in `less`.
    pub fn pass_on(&self, less: &[&str], into: &mut Vec<u8>) {
        const OF_ONE_CONNECTION: [&str; 10] = [
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
        let named: Vec<_> = self.options().collect();
        for field in &self.layout.fields {
            let name = &self.bytes[field.name.clone()];
            let is = |other: &&str| name.eq_ignore_ascii_case(other.as_bytes());
            let named = named.iter().any(|option| option.eq_ignore_ascii_case(name));
            if !OF_ONE_CONNECTION.iter().any(is) && !less.iter().any(is) && !named {
                into.extend_from_slice(&self.bytes[field.line.clone()]);
            }
        }
    }

    /// For how many seconds the other side means to keep the connection when idle, if it says so
    /// (`Keep-Alive: timeout=N`).
    pub fn keep_alive_secs(&self) -> Option<u64> {
        let params = self.field("keep-alive")?.split(|b| *b == b',');
        let timeout = params.filter_map(|param| {
            let at = memchr(b'=', param)?;
            let (name, value) = (param[..at].trim_ascii(), param[at + 1..].trim_ascii());
            name.eq_ignore_ascii_case(b"timeout").then(|| digits(value))?
        });
        timeout.min()
    }

    /// Whether the sender of a request waits for `100 Continue` before it sends the body. Danger: to HTTP/1.0 that
    /// word would be the answer itself, so there the wish counts for nothing.
    pub fn expects_a_word(&self) -> bool {
        self.start(2) == b"HTTP/1.1" && self.fields().any(is_wish_for_a_word)
    }

    /// The bytes of the head as it came, its empty line and empty lines before it included.
    #[allow(clippy::len_without_is_empty)] // none is empty
    pub fn len(&self) -> usize {
        self.layout.end
    }
}

fn is_wish_for_a_word((name, value): (&[u8], &[u8])) -> bool {
    name.eq_ignore_ascii_case(b"expect") && value.eq_ignore_ascii_case(b"100-continue")
}

fn fields<'a>(layout: &'a Layout, bytes: &'a [u8]) -> impl Iterator<Item = (&'a [u8], &'a [u8])> {
    layout.fields.iter().map(|field| (&bytes[field.name.clone()], &bytes[field.value.clone()]))
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Head,
    /// The body ends there.
    Sized(usize),
    Chunked(Chunks, Vec<u8>),
    /// The body ends with the connection.
    ToTheEnd,
}

/// Reads one message after the other from a connection's input.
#[derive(Debug, Default)]
pub struct MessageReader {
    lines: Lines,
    /// Up to where the input has been read, once the head is whole.
    at: usize,
    stage: Stage,
}

impl MessageReader {
    /// Whether a message has begun and is not whole.
    pub fn begun(&self, input: &[u8]) -> bool {
        !input.is_empty() || !matches!(self.stage, Stage::Head)
    }

    /// Whether the head that has come asks for a word before its body is sent.
    pub fn expects_a_word(&self, input: &[u8]) -> bool {
        let in_body = !matches!(self.stage, Stage::Head);
        in_body && input.len() == self.at && fields(&self.lines.layout, input).any(is_wish_for_a_word)
    }

    /// Takes the next whole message off the input, if it is there. `ended` says that no more will come.
    ///
    /// # Errors
    ///
    /// What is wrong with it; the input is of no more use then.
    pub fn next(
        &mut self,
        kind: MessageKind,
        input: &mut Vec<u8>,
        ended: bool,
    ) -> Result<Option<Message>, ParseError> {
        if matches!(self.stage, Stage::Head) && !self.read_head(kind, input)? {
            return Ok(None);
        }
        let head_end = self.lines.layout.end;
        let body = match &mut self.stage {
            Stage::Head => return Ok(None),
            Stage::Sized(end) if input.len() >= *end => Body::Within(head_end..*end),
            Stage::Sized(_) => return Ok(None),
            Stage::Chunked(chunks, body) => {
                self.at += chunks.read(&input[self.at..], body, usize::MAX)?;
                if body.len() > MAX_BODY_BYTES {
                    return Err(ParseError::BodyTooLarge);
                }
                if !chunks.done() {
                    // What is decoded is not kept twice.
                    input.drain(head_end..self.at);
                    self.at = head_end;
                    return Ok(None);
                }
                Body::Unchunked(std::mem::take(body))
            }
            Stage::ToTheEnd if input.len() - head_end > MAX_BODY_BYTES => {
                return Err(ParseError::BodyTooLarge)
            }
            Stage::ToTheEnd if ended => Body::Within(head_end..input.len()),
            Stage::ToTheEnd => return Ok(None),
        };
        let end = if let Body::Within(range) = &body { range.end } else { self.at };
        let rest = input.split_off(end);
        let bytes = std::mem::replace(input, rest);
        let layout = std::mem::take(self).lines.layout;
        Ok(Some(Message { head: Head { bytes, layout }, body }))
    }

    /// What comes of a chunked body that is read as it comes; true once it is whole.
    ///
    /// # Errors
    ///
    /// What is wrong with it, or that it is not chunked.
    pub fn stream(&mut self, input: &mut Vec<u8>, into: &mut Vec<u8>) -> Result<Option<bool>, ParseError> {
        if matches!(self.stage, Stage::Head)
            && !self.read_head(MessageKind::Answer { to_head: false }, input)?
        {
            return Ok(None);
        }
        let Stage::Chunked(chunks, _) = &mut self.stage else {
            return Err(ParseError::Malformed("expected a chunked body"));
        };
        self.at += chunks.read(&input[self.at..], into, usize::MAX)?;
        input.drain(self.lines.layout.end..self.at);
        self.at = self.lines.layout.end;
        Ok(Some(chunks.done()))
    }

    /// The status of the answer that [`MessageReader::stream`] reads; 0 before its head is whole.
    pub fn stream_status(&self, input: &[u8]) -> u16 {
        digits(&input[self.lines.layout.start[1].clone()]).unwrap_or(0) as u16
    }

    /// Reads the head as it comes; true once it is whole.
    fn read_head(&mut self, kind: MessageKind, input: &mut Vec<u8>) -> Result<bool, ParseError> {
        let Some(framing) = self.lines.read(kind, input, MAX_HEAD_BYTES)? else { return Ok(false) };
        self.at = self.lines.layout.end;
        self.stage = match framing {
            Framing::Empty => Stage::Sized(self.at),
            Framing::Sized(length) if length > MAX_BODY_BYTES as u64 => return Err(ParseError::BodyTooLarge),
            Framing::Sized(length) => Stage::Sized(self.at + length as usize),
            Framing::Chunked => Stage::Chunked(Chunks::lenient(MAX_BODY_BYTES as u64), Vec::new()),
            Framing::ToTheEnd => Stage::ToTheEnd,
        };
        Ok(true)
    }
}

/// The lines of a head that have come.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    layout: Layout,
    /// The start of the next line.
    at: usize,
    /// Answers that went before this one.
    interim: u8,
}

impl Lines {
    /// Whether answers that do not count have come before this one.
    pub(crate) fn after_interim(&self) -> bool {
        self.interim > 0
    }

    /// Takes the head that is whole off the input.
    pub(crate) fn into_head(self, input: &mut Vec<u8>) -> Head {
        Head { bytes: input.drain(..self.layout.end).collect(), layout: self.layout }
    }

    /// Reads the head's lines as they become whole, `most` bytes of them; how the body ends once all are there.
    pub(crate) fn read(
        &mut self,
        kind: MessageKind,
        input: &mut Vec<u8>,
        most: usize,
    ) -> Result<Option<Framing>, ParseError> {
        while let Some(length) = memchr(b'\n', &input[self.at..]) {
            let line = self.at..self.at + length + 1;
            if line.end > most {
                return Err(ParseError::HeadTooLarge);
            }
            if length == 0 || input[line.end - 2] != b'\r' {
                return Err(ParseError::Malformed("a line that ends without a carriage return"));
            }
            let text = line.start..line.end - 2;
            self.at = line.end;
            let first = self.layout.start[2].end == 0;
            match (first, text.is_empty()) {
                (true, true) => {} // empty lines before a message are passed over
                (true, false) => self.layout.start = start_line(kind, input, text)?,
                (false, false) => self.layout.fields.push(field(input, text, line)?),
                (false, true) => {
                    self.layout.end = self.at;
                    if matches!(kind, MessageKind::Answer { .. })
                        && input[self.layout.start[1].clone()][0] == b'1'
                    {
                        if &input[self.layout.start[1].clone()] == b"101" {
                            return Err(ParseError::Malformed("a change of protocol that nobody asked for"));
                        }
                        if self.interim == MOST_INTERIM {
                            return Err(ParseError::Malformed("no end of answers before the one"));
                        }
                        input.drain(..self.at);
                        *self = Lines { interim: self.interim + 1, ..Lines::default() };
                        continue;
                    }
                    return framing(kind, &self.layout, input).map(Some);
                }
            }
        }
        if input.len() > most {
            return Err(ParseError::HeadTooLarge);
        }
        // Noise may never bring the end of a line, and what has begun would be waited for.
        let first = &input[self.at..];
        let good = match kind {
            _ if self.layout.start[2].end > 0 => true,
            MessageKind::Answer { .. } => VERSION.iter().zip(first).all(|(a, b)| a == b),
            MessageKind::Request => first.iter().take(MOST_CHECKED).all(|b| matches!(b, b'\r' | b' '..=b'~')),
        };
        if good {
            Ok(None)
        } else {
            Err(ParseError::Malformed("a first line that is none"))
        }
    }
}

fn start_line(kind: MessageKind, input: &[u8], text: Range<usize>) -> Result<[Range<usize>; 3], ParseError> {
    let line = &input[text.clone()];
    let (start, wrong) = (text.start, ParseError::Malformed("a first line that is none"));
    let one = memchr(b' ', line).ok_or(wrong)?;
    let two = memchr(b' ', &line[one + 1..]).map(|two| one + 1 + two);
    // An answer may go without a reason.
    let two = match kind {
        MessageKind::Answer { .. } => two.unwrap_or(line.len()),
        MessageKind::Request => two.ok_or(wrong)?,
    };
    let parts = [start..start + one, start + one + 1..start + two, (start + two + 1).min(text.end)..text.end];
    let [a, b, c] = parts.clone().map(|part| &input[part]);
    let version = |v: &[u8]| v == b"HTTP/1.1" || v == b"HTTP/1.0";
    let good = match kind {
        MessageKind::Request => {
            let target = b.starts_with(b"/") && b.iter().all(u8::is_ascii_graphic);
            !a.is_empty() && a.iter().all(|b| token(*b)) && target && version(c)
        }
        MessageKind::Answer { .. } => {
            version(a) && b.len() == 3 && digits(b).is_some_and(|status| status >= 100)
        }
    };
    if good {
        Ok(parts)
    } else {
        Err(wrong)
    }
}

fn field(input: &[u8], text: Range<usize>, line: Range<usize>) -> Result<Field, ParseError> {
    let bytes = &input[text.clone()];
    let colon = memchr(b':', bytes).ok_or(ParseError::Malformed("a field without a colon"))?;
    let (name, rest) = (&bytes[..colon], &bytes[colon + 1..]);
    if name.is_empty() || !name.iter().all(|b| token(*b)) {
        return Err(ParseError::Malformed("a field's name"));
    }
    if rest.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 127) {
        return Err(ParseError::Malformed("a field's value"));
    }
    let blank = |b: &&u8| matches!(b, b' ' | b'\t');
    let start = text.start + colon + 1 + rest.iter().take_while(blank).count();
    let end = (text.end - rest.iter().rev().take_while(blank).count()).max(start);
    Ok(Field { name: text.start..text.start + colon, value: start..end, line })
}

/// How the body that follows ends.
fn framing(kind: MessageKind, layout: &Layout, input: &[u8]) -> Result<Framing, ParseError> {
    let (mut length, mut chunked) = (None, false);
    for (name, value) in fields(layout, input) {
        if name.eq_ignore_ascii_case(b"content-length") {
            let this = digits(value).ok_or(ParseError::Malformed("a content length"))?;
            if length.is_some_and(|length| length != this) {
                return Err(ParseError::Malformed("two lengths that differ"));
            }
            length = Some(this);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(ParseError::Malformed("a transfer encoding other than chunked"));
            }
            chunked = true;
        }
    }
    if chunked && length.is_some() {
        // Whoever stands in between may believe the other one: two would see different messages.
        return Err(ParseError::Malformed("a length beside a transfer encoding"));
    }
    let bare = match kind {
        MessageKind::Request => false,
        MessageKind::Answer { to_head } => {
            to_head || matches!(&input[layout.start[1].clone()], b"204" | b"304")
        }
    };
    Ok(match length {
        _ if bare => Framing::Empty,
        _ if chunked => Framing::Chunked,
        Some(length) => Framing::Sized(length),
        None if kind == MessageKind::Request => Framing::Empty,
        None => Framing::ToTheEnd,
    })
}

/// A chunked body.
#[derive(Debug)]
pub(crate) struct Chunks {
    at: ChunkPart,
    /// The most bytes of one chunk.
    most: u64,
    /// How many bytes of trailer may still come, if it is bounded.
    trailer: Option<usize>,
}

#[derive(Debug)]
enum ChunkPart {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

impl Chunks {
    /// Bounds a line only until its end has come: enough for a body that is bounded in size and time.
    fn lenient(most: u64) -> Chunks {
        Chunks { at: ChunkPart::Size, most, trailer: None }
    }

    /// Bounds each line and the trailer. Danger: a body that may be of any size could go on in lines for ever and
    /// bring no byte; and where the input happens to be cut would decide whether a long line is refused.
    pub(crate) fn strict(most: u64, trailer: usize) -> Chunks {
        Chunks { at: ChunkPart::Size, most, trailer: Some(trailer) }
    }

    pub(crate) fn done(&self) -> bool {
        matches!(self.at, ChunkPart::Done)
    }

    /// Decodes what has come, at most `room` bytes of it, and returns how much of it has been used up.
    pub(crate) fn read(
        &mut self,
        input: &[u8],
        into: &mut Vec<u8>,
        mut room: usize,
    ) -> Result<usize, ParseError> {
        let mut at = 0;
        while at < input.len() && !self.done() {
            if let ChunkPart::Data(left) = &mut self.at {
                if room == 0 {
                    break;
                }
                let most = usize::try_from(*left).unwrap_or(usize::MAX);
                let length = most.min(input.len() - at).min(room);
                into.extend_from_slice(&input[at..at + length]);
                at += length;
                room -= length;
                *left -= length as u64;
                if *left == 0 {
                    self.at = ChunkPart::DataEnd;
                }
                continue;
            }
            let Some(length) = memchr(b'\n', &input[at..]) else {
                let short = input.len() - at <= self.most_line();
                return if short { Ok(at) } else { Err(ParseError::Malformed("a chunk's length")) };
            };
            if self.trailer.is_some() && length > self.most_line() {
                return Err(ParseError::Malformed("a chunk's length"));
            }
            let line =
                input[at..at + length].strip_suffix(b"\r").ok_or(ParseError::Malformed("a chunk's end"))?;
            at += length + 1;
            self.at = self.after(line)?;
        }
        Ok(at)
    }

    /// The most bytes of the line that comes now.
    fn most_line(&self) -> usize {
        match (&self.at, self.trailer) {
            (ChunkPart::Trailer, Some(left)) => left,
            _ => MOST_CHUNK_LINE,
        }
    }

    /// What comes after a line.
    fn after(&mut self, line: &[u8]) -> Result<ChunkPart, ParseError> {
        Ok(match self.at {
            ChunkPart::Size => match chunk_size(line, self.most)? {
                0 => ChunkPart::Trailer,
                size => ChunkPart::Data(size),
            },
            ChunkPart::DataEnd if line.is_empty() => ChunkPart::Size,
            ChunkPart::DataEnd => return Err(ParseError::Malformed("a chunk longer than it said")),
            _ if line.is_empty() => ChunkPart::Done,
            _ => {
                self.trailer = self.trailer.map(|left| left.saturating_sub(line.len() + 2));
                ChunkPart::Trailer
            }
        })
    }
}

fn chunk_size(line: &[u8], most: u64) -> Result<u64, ParseError> {
    let size = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let wrong = ParseError::Malformed("a chunk's length");
    if size.is_empty() || !size.iter().all(u8::is_ascii_hexdigit) {
        return Err(wrong);
    }
    let size = std::str::from_utf8(size).ok().and_then(|size| u64::from_str_radix(size, 16).ok());
    size.filter(|size| *size <= most).ok_or(ParseError::BodyTooLarge)
}

fn token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

/// A whole number in digits alone.
pub fn digits(text: &[u8]) -> Option<u64> {
    let plain = (1..=18).contains(&text.len()) && text.iter().all(u8::is_ascii_digit);
    plain.then(|| text.iter().fold(0, |n, b| n * 10 + u64::from(b - b'0')))
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// A message's head in one line, and its body.
    pub type Told = (String, Vec<u8>);

    const ANSWER: MessageKind = MessageKind::Answer { to_head: false };

    /// Reads all messages of a text that comes in two pieces.
    fn read(kind: MessageKind, text: &str, cut: usize) -> Result<Vec<Told>, ParseError> {
        let (mut reader, mut input, mut seen) = (MessageReader::default(), Vec::new(), Vec::new());
        for (piece, ended) in [(&text[..cut], false), (&text[cut..], false), ("", true)] {
            input.extend_from_slice(piece.as_bytes());
            while let Some(message) = reader.next(kind, &mut input, ended)? {
                seen.push((told(&message), message.body().to_vec()));
                if input.is_empty() {
                    break;
                }
            }
        }
        assert!(!reader.begun(&input), "something is left over");
        Ok(seen)
    }

    /// A head's parts and fields in one line.
    pub fn told(head: &Head) -> String {
        let part = |n| String::from_utf8_lossy(head.start(n)).into_owned();
        let fields = head.fields().map(|(name, value)| {
            format!("{}={}", String::from_utf8_lossy(name), String::from_utf8_lossy(value))
        });
        [part(0), part(1), part(2)].into_iter().chain(fields).collect::<Vec<_>>().join("|")
    }

    /// Texts, and the messages in them.
    pub fn good() -> [(MessageKind, &'static str, Vec<Told>); 2] {
        let requests = "\r\nGET /a/b?c HTTP/1.1\r\nHost: x\r\nX-A:\t 1 2 \r\nX-B:\r\n\r\n\
            POST /d HTTP/1.0\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\na\r\n\r\n\
            POST /e HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
            5;q=\"1\"\r\nab\r\nc\r\n00a\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n";
        let answers =
            "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200 OK then\r\nContent-Length: 2\r\n\r\nok\
            HTTP/1.1 204 \r\nContent-Length: 7\r\n\r\nHTTP/1.0 500\r\n\r\nto the end";
        let expected: Vec<(&str, &str)> = vec![
            ("GET|/a/b?c|HTTP/1.1|Host=x|X-A=1 2|X-B=", ""),
            ("POST|/d|HTTP/1.0|Content-Length=5|Content-Length=5", "a\r\n\r\n"),
            ("POST|/e|HTTP/1.1|Transfer-Encoding=Chunked", "ab\r\nc0123456789"),
            ("GET|/|HTTP/1.1", ""),
            ("HTTP/1.1|200|OK then|Content-Length=2", "ok"),
            ("HTTP/1.1|204||Content-Length=7", ""),
            ("HTTP/1.0|500|", "to the end"),
        ];
        let mut requested: Vec<_> =
            expected.into_iter().map(|(head, body)| (head.to_owned(), body.as_bytes().to_vec())).collect();
        let answered = requested.split_off(4);
        [(MessageKind::Request, requests, requested), (ANSWER, answers, answered)]
    }

    #[test]
    fn messages_are_the_same_wherever_they_are_cut() {
        for (kind, text, expected) in good() {
            for cut in 0..=text.len() {
                assert_eq!(read(kind, text, cut).as_deref(), Ok(expected.as_slice()), "cut at {cut}");
            }
        }
        let to_head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
        assert_eq!(read(MessageKind::Answer { to_head: true }, to_head, 4).unwrap()[0].1, b"");
    }

    /// Texts that are no messages.
    pub fn malformed() -> Vec<(MessageKind, String)> {
        let get = |rest: &str| (MessageKind::Request, format!("GET / HTTP/1.1\r\n{rest}\r\n\r\n"));
        let post = |framing: &str, body: &str| {
            (MessageKind::Request, format!("POST / HTTP/1.1\r\n{framing}\r\n\r\n{body}"))
        };
        let chunked = |body: &str| post("Transfer-Encoding: chunked", body);
        let answer = |text: &str| (ANSWER, text.to_owned());
        vec![
            get("A"),
            get(": a"),
            get("A b: c"),
            get("A : b"),
            get("A: b\r\n c"),
            get("A: \0"),
            get("A: b\nC: d"),
            (MessageKind::Request, "GET / HTTP/2.0\r\n\r\n".into()),
            (MessageKind::Request, "GET  / HTTP/1.1\r\n\r\n".into()),
            (MessageKind::Request, "G@T / HTTP/1.1\r\n\r\n".into()),
            (MessageKind::Request, "GET http://x/ HTTP/1.1\r\n\r\n".into()),
            (MessageKind::Request, "GET /\r\n\r\n".into()),
            post("Content-Length: 1\r\nContent-Length: 2", "ab"),
            post("Content-Length: 1, 1", "a"),
            post("Content-Length: -1", ""),
            post("Content-Length: 99999999999999999999", ""),
            post("Content-Length: 1\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
            post("Transfer-Encoding: gzip, chunked", "0\r\n\r\n"),
            post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
            chunked("x\r\n"),
            chunked("-1\r\n"),
            chunked("\r\n"),
            chunked("1\nab\r\n"),
            chunked("1\r\nab\r\n"),
            chunked(&"0".repeat(300)),
            answer("HTTP/1.1 20 OK\r\n\r\n"),
            answer("HTTP/1.1 099 OK\r\n\r\n"),
            answer("HTTP/1.1 101 Go\r\n\r\n"),
            answer("ICY 200 OK\r\n\r\n"),
        ]
    }

    #[test]
    fn what_is_malformed_is_refused_wherever_it_is_cut() {
        for (kind, text) in malformed() {
            for cut in 0..=text.len() {
                assert!(
                    matches!(read(kind, &text, cut), Err(ParseError::Malformed(_))),
                    "{text:?} cut at {cut}"
                );
            }
        }
    }

    #[test]
    fn what_is_too_large_is_refused_before_it_is_kept() {
        let large = "a".repeat(MAX_HEAD_BYTES);
        let chunk = format!("ff00\r\n{}\r\n", "a".repeat(0xff00));
        for (text, fault) in [
            (format!("GET / HTTP/1.1\r\nA: {large}"), ParseError::HeadTooLarge),
            (format!("GET / HTTP/1.1\r\nA: {large}\r\n\r\n"), ParseError::HeadTooLarge),
            (
                format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1),
                ParseError::BodyTooLarge,
            ),
            (
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n".to_owned(),
                ParseError::BodyTooLarge,
            ),
            (
                format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}"),
                ParseError::BodyTooLarge,
            ),
        ] {
            for cut in [0, 10, text.len() / 2, text.len()] {
                assert_eq!(read(MessageKind::Request, &text, cut), Err(fault));
            }
        }
        let endless = format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(MAX_BODY_BYTES + 1));
        assert_eq!(read(ANSWER, &endless, 9), Err(ParseError::BodyTooLarge));
    }

    #[test]
    fn a_stream_gives_what_has_come_of_it() {
        let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\nbc\r\n2\r\nd\n\r\n0\r\n\r\n";
        for cut in 0..=text.len() {
            let (mut reader, mut input, mut lines) = (MessageReader::default(), Vec::new(), Vec::new());
            let mut whole = None;
            for piece in [&text[..cut], &text[cut..]] {
                input.extend_from_slice(piece.as_bytes());
                whole = reader.stream(&mut input, &mut lines).unwrap();
            }
            assert_eq!(
                (whole, lines.as_slice(), reader.stream_status(&input)),
                (Some(true), b"a\nbcd\n".as_slice(), 200)
            );
        }
    }
}
