//! Encoding and decoding of messages on a connection: in one frame or in fragments, with the input split at any byte, and
//! malformed frames.

use kitepass_coordination::protocol::framing::{
    encode_message, Error, MessageDecoder, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES,
};
use kitepass_coordination::protocol::{
    AcceptRequest, Heartbeat, Hello, ItemMessage, Message, TenantUsage, UsageReport,
};
use rstest::rstest;

/// A message whose encoded size is slightly above `bytes`.
fn large_message(bytes: usize) -> Message {
    let value = Some(vec![7; bytes].into());
    let item = ItemMessage { kind: 1, name: "n".into(), version: 1, value, ..ItemMessage::default() };
    Message::AcceptRequest(AcceptRequest { request_id: 3, items: vec![item], ..AcceptRequest::default() })
}

fn encode_all(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| encode_message(message.clone(), &mut bytes));
    bytes
}

fn decode_available(decoder: &mut MessageDecoder, input: &[u8], position: &mut usize) -> Vec<Message> {
    std::iter::from_fn(|| decoder.next(input, position).unwrap()).collect()
}

#[test]
fn messages_are_decoded_wherever_the_input_is_split() {
    let usage = TenantUsage { tenant: "a".into(), offered: 7, forwarded: 3, ..TenantUsage::default() };
    let messages = [
        Message::Hello(Hello { node_id: "one".into(), incarnation: 7, ..Hello::default() }),
        Message::UsageReport(UsageReport {
            request_id: 3,
            node_id: "one".into(),
            tenants: vec![usage],
            incarnation: 9,
            is_mid_period: false,
        }),
        Message::Heartbeat(Heartbeat { digest: 5, is_ready: true, ..Heartbeat::default() }),
    ];
    let bytes = encode_all(&messages);
    for split in 0..=bytes.len() {
        let (mut decoder, mut position) = (MessageDecoder::default(), 0);
        let mut received = decode_available(&mut decoder, &bytes[..split], &mut position);
        received.extend(decode_available(&mut decoder, &bytes, &mut position));
        assert_eq!(received, messages);
    }
}

#[test]
fn large_messages_are_fragmented_and_others_may_be_sent_between_fragments() {
    let messages = [
        large_message(MAX_FRAME_BYTES - 40),
        large_message(3 * MAX_FRAME_BYTES + 9),
        large_message(16 << 20),
    ];
    let bytes = encode_all(&messages);
    // The slices do not align with frames, as with data read from a socket.
    let (mut decoder, mut input) = (MessageDecoder::default(), Vec::new());
    let (mut received, mut max_buffered) = (Vec::new(), 0);
    for slice in bytes.chunks(100_003) {
        input.extend_from_slice(slice);
        let mut position = 0;
        received.extend(decode_available(&mut decoder, &input, &mut position));
        input.drain(..position);
        assert!(input.len() < MAX_FRAME_BYTES + 4);
        max_buffered = max_buffered.max(decoder.buffered_bytes());
    }
    assert!(received == messages && decoder.buffered_bytes() == 0 && max_buffered > 15 << 20);
    // A heartbeat sent between two fragments is decoded before the fragmented message.
    let heartbeat = Message::Heartbeat(Heartbeat { digest: 5, ..Heartbeat::default() });
    let mut interleaved = encode_all(&messages[1..2]);
    interleaved
        .splice(MAX_FRAME_BYTES + 4..MAX_FRAME_BYTES + 4, encode_all(std::slice::from_ref(&heartbeat)));
    let received = decode_available(&mut MessageDecoder::default(), &interleaved, &mut 0);
    assert!(received == [heartbeat, messages[1].clone()]);
}

#[rstest]
#[case::frame_too_long(&[0, 255, 255, 255], Error::FrameTooLong { length: 0xff_ffff })]
#[case::both_fragment_bits_set(&[0xc0, 0, 0, 1, 0], Error::UnexpectedFragment)]
#[case::last_fragment_without_a_first(&[0x40, 0, 0, 1, 0], Error::UnexpectedFragment)]
#[case::empty_fragments(&[0x80, 0, 0, 0, 0x80, 0, 0, 0], Error::UnexpectedFragment)]
fn malformed_frames_are_rejected(#[case] bytes: &[u8], #[case] error: Error) {
    assert_eq!(MessageDecoder::default().next(bytes, &mut 0), Err(error));
}

#[test]
fn malformed_and_oversized_messages_are_rejected() {
    let mut position = 0;
    let malformed = MessageDecoder::default().next(&[0, 0, 0, 2, 255, 255], &mut position);
    assert!(matches!(malformed, Err(Error::Malformed { .. })));
    let mut fragment = (MAX_FRAME_BYTES as u32 | 1 << 31).to_be_bytes().to_vec();
    fragment.resize(4 + MAX_FRAME_BYTES, 0);
    let mut decoder = MessageDecoder::default();
    for _ in 0..MAX_MESSAGE_BYTES / MAX_FRAME_BYTES {
        assert_eq!(decoder.next(&fragment, &mut 0), Ok(None));
    }
    assert_eq!(decoder.next(&fragment, &mut 0), Err(Error::MessageTooLong));
}
