//! HTTP/1.1, a head first and its body as it comes. No input or output here.

use crate::http::{Chunks, Lines, MessageKind, ParseError};
pub use crate::http::{Framing, Head};

/// The most bytes of a single chunk. One is passed through in pieces, so this keeps only sums from running over.
const MOST_CHUNK: u64 = 1 << 40;
/// The most bytes of all lines behind a body's last chunk.
const MOST_TRAILER: usize = 8 * 1024;

/// Takes one head after the other off a connection's input. Between two heads the body of the first is to be read
/// off with [`Body`].
#[derive(Debug, Default)]
pub struct HeadReader {
    lines: Lines,
}

impl HeadReader {
    /// Takes a whole head off the input's front, if it is there, and says how the body behind it ends. Interim
    /// answers (1xx) are dropped.
    ///
    /// `most` bounds the head's bytes, those of empty lines before it included.
    ///
    /// # Errors
    ///
    /// `HeadTooLarge` past `most`; `Malformed` for what is no head, more than 8 interim answers, or a change of
    /// protocol (101). The input is of no more use then.
    pub fn next(
        &mut self,
        kind: MessageKind,
        input: &mut Vec<u8>,
        most: usize,
    ) -> Result<Option<(Head, Framing)>, ParseError> {
        let Some(framing) = self.lines.read(kind, input, most)? else { return Ok(None) };
        let lines = std::mem::take(&mut self.lines);
        Ok(Some((lines.into_head(input), framing)))
    }

    /// Whether a head has begun and is not whole. Interim answers that came before it count.
    pub fn begun(&self, input: &[u8]) -> bool {
        !input.is_empty() || self.lines.after_interim()
    }
}

/// A body, read as it comes and decoded. Its length is not bounded here: whoever reads it does that.
#[derive(Debug)]
pub struct Body {
    state: State,
}

#[derive(Debug)]
enum State {
    /// So many bytes are to come.
    Sized(u64),
    Chunked(Chunks),
    /// It ends with the connection.
    ToTheEnd,
    Whole,
    Broken(ParseError),
}

impl Body {
    /// The body behind a head. One without bytes is whole from the start.
    pub fn new(framing: Framing) -> Body {
        let state = match framing {
            Framing::Empty | Framing::Sized(0) => State::Whole,
            Framing::Sized(length) => State::Sized(length),
            Framing::Chunked => State::Chunked(Chunks::strict(MOST_CHUNK, MOST_TRAILER)),
            Framing::ToTheEnd => State::ToTheEnd,
        };
        Body { state }
    }

    /// Moves what is decoded of the input's front to `into`, at most `room` bytes of it; true once the body is
    /// whole. What stays in the input then belongs to the next message.
    ///
    /// If it is not whole and all of the room is taken, more may stand in the input: call again with room before
    /// waiting for the socket. With no room at all only a body's framing is read.
    ///
    /// # Errors
    ///
    /// `Malformed` for what is no chunk or trailer, `BodyTooLarge` for a single chunk of more than 2^40 bytes. The
    /// same fault comes of every later call.
    pub fn read(&mut self, input: &mut Vec<u8>, into: &mut Vec<u8>, room: usize) -> Result<bool, ParseError> {
        let used = match &mut self.state {
            State::Sized(left) => {
                let most = usize::try_from(*left).unwrap_or(usize::MAX);
                let length = most.min(input.len()).min(room);
                into.extend_from_slice(&input[..length]);
                *left -= length as u64;
                length
            }
            State::ToTheEnd => {
                let length = input.len().min(room);
                into.extend_from_slice(&input[..length]);
                length
            }
            State::Chunked(chunks) => match chunks.read(input, into, room) {
                Ok(used) => used,
                Err(fault) => return self.break_off(fault),
            },
            State::Whole => return Ok(true),
            State::Broken(fault) => return Err(*fault),
        };
        input.drain(..used);
        if matches!(&self.state, State::Sized(0)) || matches!(&self.state, State::Chunked(c) if c.done()) {
            self.complete();
        }
        Ok(self.is_whole())
    }

    /// The connection ended, and all its input has been read.
    ///
    /// # Errors
    ///
    /// `Malformed` if the body is not whole by then. Danger: a sender that broke off would have half a body pass
    /// for a whole one.
    pub fn ended(&mut self) -> Result<(), ParseError> {
        match self.state {
            State::ToTheEnd => self.complete(),
            State::Whole => {}
            State::Broken(fault) => return Err(fault),
            State::Sized(_) | State::Chunked(_) => {
                self.break_off(ParseError::Malformed("a body that breaks off"))?;
            }
        }
        Ok(())
    }

    /// Whether all of it has been read.
    pub fn is_whole(&self) -> bool {
        matches!(self.state, State::Whole)
    }

    fn complete(&mut self) {
        self.state = State::Whole;
    }

    /// Danger: read on after a fault, bytes already given would be given again, or a next message be found
    /// where none begins.
    fn break_off(&mut self, fault: ParseError) -> Result<bool, ParseError> {
        self.state = State::Broken(fault);
        Err(fault)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::tests::{good, malformed, told, Told};
    use rstest::rstest;

    const MOST: usize = 1024;

    /// Reads all messages of a text that comes in two pieces, with so much room at a time.
    fn read(kind: MessageKind, text: &str, cut: usize, room: usize) -> Result<Vec<Told>, ParseError> {
        let (mut heads, mut input, mut seen) = (HeadReader::default(), Vec::new(), Vec::new());
        let mut body: Option<Body> = None;
        for piece in [&text[..cut], &text[cut..]] {
            input.extend_from_slice(piece.as_bytes());
            loop {
                let Some(reader) = &mut body else {
                    let Some((head, framing)) = heads.next(kind, &mut input, MOST)? else { break };
                    seen.push((told(&head), Vec::new()));
                    body = Some(Body::new(framing));
                    continue;
                };
                let into = &mut seen.last_mut().unwrap().1;
                let before = into.len();
                if reader.read(&mut input, into, room)? {
                    body = None;
                } else if into.len() == before {
                    break;
                }
                assert!(seen.last().unwrap().1.len() - before <= room);
            }
        }
        if let Some(mut body) = body {
            body.ended()?;
            assert!(body.is_whole());
        }
        assert!(!heads.begun(&input), "something is left over");
        Ok(seen)
    }

    #[rstest]
    fn messages_are_the_same_wherever_they_are_cut(#[values(1, 3, usize::MAX)] room: usize) {
        for (kind, text, expected) in good() {
            for cut in 0..=text.len() {
                assert_eq!(read(kind, text, cut, room).as_deref(), Ok(expected.as_slice()), "cut at {cut}");
            }
        }
    }

    #[rstest]
    fn what_is_wrong_is_refused_wherever_it_is_cut(#[values(1, usize::MAX)] room: usize) {
        let long = "a".repeat(300);
        let post = |framing: &str, body: &str| {
            (MessageKind::Request, format!("POST / HTTP/1.1\r\n{framing}\r\n\r\n{body}"))
        };
        let chunked = |body: &str| post("Transfer-Encoding: chunked", body);
        let broken_off = [
            post("Content-Length: 100000000000000000", "ab"),
            chunked("10000000000\r\nab"),
            chunked("0\r\n"),
        ];
        let endless = [chunked(&format!("1;{long}\r\n")), chunked(&format!("0\r\nA: {}", long.repeat(28)))];
        let endless_lines = chunked(&format!("0\r\n{}", format!("A: {long}\r\n").repeat(28)));
        for (kind, text) in malformed().into_iter().chain(broken_off).chain(endless).chain([endless_lines]) {
            for cut in 0..=text.len() {
                let seen = read(kind, &text, cut, room);
                assert!(matches!(seen, Err(ParseError::Malformed(_))), "{text:?} cut at {cut}: {seen:?}");
            }
        }
        let too_large = [
            (post(&format!("A: {}", long.repeat(4)), "").1, ParseError::HeadTooLarge),
            (chunked("10000000001\r\n").1, ParseError::BodyTooLarge),
        ];
        for (text, fault) in too_large {
            for cut in 0..=text.len() {
                assert_eq!(read(MessageKind::Request, &text, cut, room), Err(fault));
            }
        }
    }

    #[rstest]
    #[case::closing(
        "POST / HTTP/1.1\r\nConnection: x-a, Close\r\nX-A: 1\r\nB: 2\r\nC: 3\r\n",
        false,
        None,
        false
    )]
    #[case::waiting("PUT / HTTP/1.1\r\nexpect: 100-Continue\r\nB: 2\r\n", true, None, true)]
    #[case::old("PUT / HTTP/1.0\r\nExpect: 100-continue\r\nB: 2\r\n", false, None, false)]
    #[case::told("GET / HTTP/1.1\r\nKeep-Alive: max=9, timeout = 5\r\nB: 2\r\n", true, Some(5), false)]
    #[case::vague("GET / HTTP/1.1\r\nKeep-Alive: timeout=x\r\nB: 2\r\n", true, None, false)]
    fn a_head_answers(
        #[case] text: &str,
        #[case] keeps_open: bool,
        #[case] keep_alive: Option<u64>,
        #[case] expects: bool,
    ) {
        let mut input = format!("{text}\r\nrest").into_bytes();
        let (head, _) = HeadReader::default().next(MessageKind::Request, &mut input, MOST).unwrap().unwrap();
        assert_eq!((head.len(), input.as_slice()), (text.len() + 2, b"rest".as_slice()));
        assert_eq!(
            (head.keeps_open(), head.keep_alive_secs(), head.expects_a_word()),
            (keeps_open, keep_alive, expects)
        );
        let mut passed_on = Vec::new();
        head.pass_on(&["c"], &mut passed_on);
        assert_eq!(passed_on, b"B: 2\r\n");
    }
}
