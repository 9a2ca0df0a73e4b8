//! Framing: messages are sent in frames, each with a header of four bytes and a payload.
//!
//! The header is big-endian. Its two highest bits give the type of the payload, and the other bits its length in bytes:
//!
//! | bits | payload |
//! | --- | --- |
//! | `00` | a complete message |
//! | `10` | a fragment of a message, with more to follow |
//! | `01` | the last fragment of a message |
//!
//! Complete messages may be sent between the fragments of another message, so that a heartbeat need not wait for
//! megabytes of data. No frame declares the total length of its message: the memory that a receiver uses depends on the
//! data that has arrived, never on a length claimed by the sender.

use crate::protocol::{Envelope, Message};
use bytes::Bytes;
use prost::Message as _;
use snafu::{ResultExt, Snafu};
use std::collections::VecDeque;

/// The maximum payload size of a frame.
///
/// It limits the memory that a receiver allocates for a peer that declares a false length, and the delay that a message
/// of many MiB causes to the messages behind it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The maximum size of a message. An operator's change of 16 MiB, encoded as items, is well below it.
pub const MAX_MESSAGE_BYTES: usize = 24 * 1024 * 1024;

const HEADER_BYTES: usize = 4;
const FRAGMENT: u32 = 1 << 31;
const LAST_FRAGMENT: u32 = 1 << 30;
const FRAGMENT_BITS: u32 = FRAGMENT | LAST_FRAGMENT;

/// Why the received data is not from a process of this system. The connection can no longer be used.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// A frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"))]
    FrameTooLong {
        /// The length declared in the header.
        length: usize,
    },
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    #[snafu(display("message exceeds the limit of {MAX_MESSAGE_BYTES} bytes"))]
    MessageTooLong,
    /// A fragment is empty or out of sequence.
    #[snafu(display("fragment is empty or out of sequence"))]
    UnexpectedFragment,
    /// The data is not a valid message.
    #[snafu(display("invalid message: {source}"))]
    Malformed {
        /// The decoding error.
        source: prost::DecodeError,
    },
}

/// An encoded message, ready to be sent.
#[derive(Clone, Debug)]
pub enum EncodedMessage {
    /// A single frame, including its header.
    SingleFrame(Bytes),
    /// The payload of a message that is sent in fragments, or the part that is left to send. Clones share the bytes.
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

    /// Appends the next frame, and returns whether it was the last one.
    fn append_frame(&mut self, output: &mut Vec<u8>) -> bool {
        match self {
            EncodedMessage::SingleFrame(frame) => {
                output.extend_from_slice(frame);
                true
            }
            EncodedMessage::Fragmented(rest) => {
                let fragment = rest.split_to(rest.len().min(MAX_FRAME_BYTES));
                let bits = if rest.is_empty() { LAST_FRAGMENT } else { FRAGMENT };
                output.extend_from_slice(&(fragment.len() as u32 | bits).to_be_bytes());
                output.extend_from_slice(&fragment);
                rest.is_empty()
            }
        }
    }
}

/// Encodes a message and appends all its frames.
pub fn encode_message(message: Message, output: &mut Vec<u8>) {
    let mut encoded = EncodedMessage::new(message);
    while !encoded.append_frame(output) {}
}

/// A queue of messages waiting for space in a connection's output buffer.
///
/// Urgent messages overtake the others. If heartbeats had to wait behind a message of many MiB on a slow connection,
/// each side would consider the other lost.
#[derive(Debug, Default)]
pub struct SendQueue {
    queue: VecDeque<EncodedMessage>,
    bytes: usize,
}

impl SendQueue {
    /// Appends a message to `output` if it fits in one frame and is urgent or has no other message to wait for;
    /// otherwise adds it to the queue.
    pub fn push(&mut self, mut message: EncodedMessage, is_urgent: bool, output: &mut Vec<u8>) {
        let has_room = self.queue.is_empty() && output.len() < MAX_FRAME_BYTES;
        if matches!(message, EncodedMessage::SingleFrame(_)) && (is_urgent || has_room) {
            message.append_frame(output);
            return;
        }
        self.bytes += message.len();
        self.queue.push_back(message);
    }

    /// Appends further frames while there is space. `unsent` is the number of bytes already in the connection's output
    /// buffer.
    pub fn append_frames(&mut self, output: &mut Vec<u8>, unsent: usize) {
        let length_before = output.len();
        while unsent + output.len() - length_before < MAX_FRAME_BYTES {
            let Some(message) = self.queue.front_mut() else { return };
            let message_bytes = message.len();
            let was_last = message.append_frame(output);
            if was_last {
                self.bytes -= message_bytes;
                self.queue.pop_front();
            } else {
                self.bytes -= message_bytes - message.len();
            }
        }
    }

    /// The number of bytes in all queued messages.
    pub fn queued_bytes(&self) -> usize {
        self.bytes
    }
}

/// Decodes messages from the input of one connection. After an error, the connection can no longer be used.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    /// The fragments received so far of a long message.
    fragments: Option<Vec<u8>>,
}

impl MessageDecoder {
    /// Decodes the next complete message from the input, starting at `offset`, and advances `offset` past all frames
    /// that were consumed. Returns `None` if more data is needed. Messages of unknown types, which a newer version may
    /// send, are skipped.
    ///
    /// # Errors
    /// Fails if the input is not from a process of this system. The connection must then be closed.
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

    /// The number of bytes buffered of a fragmented message.
    pub fn buffered_bytes(&self) -> usize {
        self.fragments.as_ref().map_or(0, Vec::len)
    }

    /// Adds a fragment, and returns the complete message if it was the last one.
    fn add_fragment(&mut self, fragment: &[u8], bits: u32) -> Result<Option<Vec<u8>>, Error> {
        let mut message = match self.fragments.take() {
            Some(message) => message,
            None if bits == FRAGMENT => Vec::new(),
            None => return UnexpectedFragmentSnafu.fail(),
        };
        // Empty fragments could arrive indefinitely, and no sender sets both bits.
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
