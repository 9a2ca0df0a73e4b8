//! How messages travel over a connection: in frames of a header of four bytes and a payload.
//!
//! The header is big-endian. Its two highest bits say what the payload is, the others how many bytes it has:
//!
//! | bits | payload |
//! | --- | --- |
//! | `00` | a complete message |
//! | `10` | a fragment of a message, and more follow |
//! | `01` | the last fragment of a message |
//!
//! Complete messages may stand between the fragments of another one, so that a heartbeat need not wait for megabytes.
//! No frame says how long its message will be: what a receiver keeps grows with what has arrived, never with a claim.

use crate::protocol::{Envelope, Message};
use bytes::Bytes;
use prost::Message as _;
use snafu::{ResultExt, Snafu};
use std::collections::VecDeque;

/// The most bytes of one frame's payload.
///
/// A peer that lies about a length must not make a receiver keep memory for it, and a message of many MiB in one frame
/// would hold up all that goes behind it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The most bytes of one message. An operator's change of 16 MiB, as items, is well within it.
pub const MAX_MESSAGE_BYTES: usize = 24 * 1024 * 1024;

const HEADER_BYTES: usize = 4;
const FRAGMENT: u32 = 1 << 31;
const LAST_FRAGMENT: u32 = 1 << 30;
const FRAGMENT_BITS: u32 = FRAGMENT | LAST_FRAGMENT;

/// Why what came is not from a process of this system. The connection is of no more use.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// A frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {length} bytes, over the {MAX_FRAME_BYTES} that are accepted"))]
    FrameTooLong {
        /// The length in the header.
        length: usize,
    },
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    #[snafu(display("a message of over {MAX_MESSAGE_BYTES} bytes"))]
    MessageTooLong,
    /// A fragment that can't stand where it does.
    #[snafu(display("a fragment without bytes, or the end of a message that has not begun"))]
    UnexpectedFragment,
    /// The bytes are no message.
    #[snafu(display("a frame that is no message: {source}"))]
    Malformed {
        /// What is wrong with them.
        source: prost::DecodeError,
    },
}

/// A message, encoded to be sent.
#[derive(Clone, Debug)]
pub enum EncodedMessage {
    /// One frame, with its header.
    SingleFrame(Bytes),
    /// The bytes of a message that goes in fragments, or those of them that are left. Clones share them.
    Fragmented(Bytes),
}

impl EncodedMessage {
    /// Encodes a message.
    pub fn new(message: Message) -> EncodedMessage {
        let envelope = Envelope { message: Some(message) };
        let length = envelope.encoded_len();
        if length > MAX_FRAME_BYTES {
            return EncodedMessage::Fragmented(envelope.encode_to_vec().into());
        }
        let mut frame = Vec::with_capacity(HEADER_BYTES + length);
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        envelope.encode_raw(&mut frame);
        EncodedMessage::SingleFrame(frame.into())
    }

    fn len(&self) -> usize {
        match self {
            EncodedMessage::SingleFrame(bytes) | EncodedMessage::Fragmented(bytes) => bytes.len(),
        }
    }

    /// Appends the next frame; whether it was the last.
    fn append_frame(&mut self, into: &mut Vec<u8>) -> bool {
        match self {
            EncodedMessage::SingleFrame(frame) => {
                into.extend_from_slice(frame);
                true
            }
            EncodedMessage::Fragmented(rest) => {
                let fragment = rest.split_to(rest.len().min(MAX_FRAME_BYTES));
                let bits = if rest.is_empty() { LAST_FRAGMENT } else { FRAGMENT };
                into.extend_from_slice(&(fragment.len() as u32 | bits).to_be_bytes());
                into.extend_from_slice(&fragment);
                rest.is_empty()
            }
        }
    }
}

/// Appends a message in as many frames as it needs.
pub fn encode_message(message: Message, into: &mut Vec<u8>) {
    let mut encoded = EncodedMessage::new(message);
    while !encoded.append_frame(into) {}
}

/// Messages that wait for a connection to have room.
///
/// Urgent messages overtake the others. Behind a message of many MiB on a slow connection, heartbeats would come so late
/// that both ends took each other for lost.
#[derive(Debug, Default)]
pub struct SendQueue {
    queue: VecDeque<EncodedMessage>,
    bytes: usize,
}

impl SendQueue {
    /// Takes a message; an urgent one of one frame goes at once, the others in their order.
    pub fn push(&mut self, mut message: EncodedMessage, is_urgent: bool, into: &mut Vec<u8>) {
        let has_room = self.queue.is_empty() && into.len() < MAX_FRAME_BYTES;
        if matches!(message, EncodedMessage::SingleFrame(_)) && (is_urgent || has_room) {
            message.append_frame(into);
            return;
        }
        self.bytes += message.len();
        self.queue.push_back(message);
    }

    /// Appends the next frames, for as long as there is room. `unsent` bytes are in the connection's output already.
    pub fn append_frames(&mut self, into: &mut Vec<u8>, unsent: usize) {
        let length_before = into.len();
        while unsent + into.len() - length_before < MAX_FRAME_BYTES {
            let Some(message) = self.queue.front_mut() else { return };
            let message_bytes = message.len();
            let was_last = message.append_frame(into);
            if was_last {
                self.bytes -= message_bytes;
                self.queue.pop_front();
            } else {
                self.bytes -= message_bytes - message.len();
            }
        }
    }

    /// The bytes of all messages that wait.
    pub fn queued_bytes(&self) -> usize {
        self.bytes
    }
}

/// Takes messages off one connection's input. After an error the connection is of no more use.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    /// The fragments that have come of a long message.
    fragments: Option<Vec<u8>>,
}

impl MessageDecoder {
    /// Takes the next complete message off the input from `offset` on, which is moved past all frames that were
    /// used. None if more bytes are needed. A message of a kind that this version does not know is skipped.
    ///
    /// # Errors
    /// If the input is not from a process of this system; the connection is to be closed.
    pub fn next(&mut self, input: &[u8], offset: &mut usize) -> Result<Option<Message>, Error> {
        loop {
            let rest = &input[*offset..];
            let Some(header) = rest.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
            let header = u32::from_be_bytes(*header);
            let length = (header & !FRAGMENT_BITS) as usize;
            if length > MAX_FRAME_BYTES {
                return FrameTooLongSnafu { length }.fail();
            }
            let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
            *offset += HEADER_BYTES + length;
            let envelope = match header & FRAGMENT_BITS {
                0 => Some(decode(payload)?),
                bits => self.add_fragment(payload, bits)?.map(|message| decode(&message)).transpose()?,
            };
            if let Some(message) = envelope.and_then(|envelope| envelope.message) {
                return Ok(Some(message));
            }
        }
    }

    /// The bytes that are kept of a long message.
    pub fn buffered_bytes(&self) -> usize {
        self.fragments.as_ref().map_or(0, Vec::len)
    }

    /// Adds a fragment; gives the complete message with the last one.
    fn add_fragment(&mut self, fragment: &[u8], bits: u32) -> Result<Option<Vec<u8>>, Error> {
        let mut message = match self.fragments.take() {
            Some(message) => message,
            None if bits == FRAGMENT => Vec::new(),
            None => return UnexpectedFragmentSnafu.fail(),
        };
        // Fragments without bytes could come for ever; and no sender sets both bits.
        if fragment.is_empty() || bits == FRAGMENT_BITS {
            return UnexpectedFragmentSnafu.fail();
        }
        if message.len() + fragment.len() > MAX_MESSAGE_BYTES {
            return MessageTooLongSnafu.fail();
        }
        message.extend_from_slice(fragment);
        if bits == LAST_FRAGMENT {
            return Ok(Some(message));
        }
        self.fragments = Some(message);
        Ok(None)
    }
}

fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    Envelope::decode(bytes).context(MalformedSnafu)
}
