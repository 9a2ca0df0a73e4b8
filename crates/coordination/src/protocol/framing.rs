//! Frames: four bytes of head, then so many bytes of a message. The head's two highest bits say what the bytes are: a
//! whole word, a piece of a longer one, or the last piece of it. Whole words may stand between the pieces of a long
//! one, so that a sign of life need not wait for megabytes.
//!
//! No frame tells how long its word will be: what a receiver keeps grows with what has come, never with a claim.

use crate::protocol::{Envelope, Message};
use bytes::Bytes;
use prost::Message as _;
use snafu::Snafu;
use std::collections::VecDeque;

/// The most bytes of one frame behind its head. Danger: a peer that lies about a length must not make us keep memory
/// for it, and a word of many MiB in one frame would hold up all that goes behind it.
pub const MOST_FRAME: usize = 256 * 1024;
/// The most bytes of one word. An operator's call of 16 MiB, as items, is well within it.
pub const MOST_WORD: usize = 24 * 1024 * 1024;

const PIECE: u32 = 1 << 31;
const LAST: u32 = 1 << 30;

#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    #[snafu(display("a frame of {length} bytes, over the {MOST_FRAME} that are taken"))]
    LongFrame { length: usize },
    #[snafu(display("a word of over {MOST_WORD} bytes"))]
    LongWord,
    #[snafu(display("a piece without bytes, or the end of a word that has not begun"))]
    Stray,
    #[snafu(display("a frame that is no message: {cause}"))]
    Garbled { cause: String },
}

/// A word as it is sent.
#[derive(Clone, Debug)]
pub enum Packed {
    /// One frame, with its head.
    Short(Bytes),
    /// The message of a word that goes in pieces. Copies share it.
    Long(Bytes),
}

impl Packed {
    pub fn new(message: Message) -> Packed {
        let parcel = Envelope { message: Some(message) };
        let length = parcel.encoded_len();
        if length > MOST_FRAME {
            return Packed::Long(parcel.encode_to_vec().into());
        }
        let mut frame = Vec::with_capacity(4 + length);
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        parcel.encode_raw(&mut frame);
        Packed::Short(frame.into())
    }

    fn len(&self) -> usize {
        match self {
            Packed::Short(bytes) | Packed::Long(bytes) => bytes.len(),
        }
    }

    /// Appends the next frame; whether it was the last.
    fn frame(&mut self, into: &mut Vec<u8>) -> bool {
        match self {
            Packed::Short(frame) => into.extend_from_slice(frame),
            Packed::Long(bytes) => {
                let piece = bytes.split_to(bytes.len().min(MOST_FRAME));
                let kind = if bytes.is_empty() { LAST } else { PIECE };
                into.extend_from_slice(&(piece.len() as u32 | kind).to_be_bytes());
                into.extend_from_slice(&piece);
                return bytes.is_empty();
            }
        }
        true
    }
}

/// Appends a word in as many frames as it needs.
pub fn pack(message: Message, into: &mut Vec<u8>) {
    let mut packed = Packed::new(message);
    while !packed.frame(into) {}
}

/// Words that wait for a connection with room. Signs of life go past them. Danger: behind a word of many MiB on a slow
/// line both ends would take each other for lost.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: VecDeque<Packed>,
    bytes: usize,
}

impl Outbox {
    /// Takes a word; `urgent` ones go at once, the others in their order.
    pub fn say(&mut self, mut message: Packed, urgent: bool, into: &mut Vec<u8>) {
        let at_once = self.queue.is_empty() && into.len() < MOST_FRAME;
        if matches!(message, Packed::Short(_)) && (urgent || at_once) {
            message.frame(into);
            return;
        }
        self.bytes += message.len();
        self.queue.push_back(message);
    }

    /// Hands over the next frames, for as long as there is room behind so many unsent bytes.
    pub fn feed(&mut self, into: &mut Vec<u8>, unsent: usize) {
        let begun = into.len();
        while unsent + into.len() - begun < MOST_FRAME {
            let Some(message) = self.queue.front_mut() else { return };
            let before = message.len();
            let ended = message.frame(into);
            self.bytes -= if ended { before } else { before - message.len() };
            if ended {
                self.queue.pop_front();
            }
        }
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.bytes
    }
}

/// What one connection has brought of a long word. [`Assembler::add`] alone changes it.
#[derive(Debug, Default)]
enum Long {
    #[default]
    None,
    Begun(Vec<u8>),
}

/// Takes words off one connection's input. After an error the connection is of no more use.
#[derive(Debug, Default)]
pub struct Assembler {
    long: Long,
}

impl Assembler {
    /// Takes the next whole word off the input's front, from `at` on, which is moved past all frames that were used.
    /// A word of a kind that this version does not know is passed over.
    ///
    /// # Errors
    /// What came is not from one of us; the connection is to be ended.
    pub fn next(&mut self, input: &[u8], at: &mut usize) -> Result<Option<Message>, Error> {
        loop {
            let rest = &input[*at..];
            let Some(head) = rest.first_chunk::<4>() else { return Ok(None) };
            let head = u32::from_be_bytes(*head);
            let length = (head & !(PIECE | LAST)) as usize;
            if length > MOST_FRAME {
                return LongFrameSnafu { length }.fail();
            }
            let Some(frame) = rest.get(4..4 + length) else { return Ok(None) };
            *at += 4 + length;
            let parcel = match head & (PIECE | LAST) {
                0 => Some(decode(frame)?),
                kind => self.add(frame, kind)?.map(|whole| decode(&whole)).transpose()?,
            };
            if let Some(message) = parcel.and_then(|parcel| parcel.message) {
                return Ok(Some(message));
            }
        }
    }

    /// Bytes that are kept of a long word.
    pub fn kept(&self) -> usize {
        match &self.long {
            Long::None => 0,
            Long::Begun(bytes) => bytes.len(),
        }
    }

    /// Takes a piece up; the whole once it is there.
    fn add(&mut self, piece: &[u8], kind: u32) -> Result<Option<Vec<u8>>, Error> {
        let mut bytes = match std::mem::take(&mut self.long) {
            Long::Begun(bytes) => bytes,
            Long::None if kind == PIECE => Vec::new(),
            Long::None => return StraySnafu.fail(),
        };
        // Danger: pieces without bytes could come for ever, and one with both marks is none of ours.
        if piece.is_empty() || kind == PIECE | LAST {
            return StraySnafu.fail();
        }
        if bytes.len() + piece.len() > MOST_WORD {
            return LongWordSnafu.fail();
        }
        bytes.extend_from_slice(piece);
        if kind == LAST {
            return Ok(Some(bytes));
        }
        self.long = Long::Begun(bytes);
        Ok(None)
    }
}

fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    Envelope::decode(bytes).map_err(|e| Error::Garbled { cause: e.to_string() })
}
