//! Messages as they travel over a connection: complete and in fragments, however the input is split, and malformed frames.

use kitepass_coordination::protocol::framing::{
    encode_message, Error, MessageDecoder, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES,
};
use kitepass_coordination::protocol::{
    AcceptRequest, Heartbeat, Hello, ItemMessage, Message, TenantUsage, UsageReport,
};
use rstest::rstest;

/// A message of somewhat more than so many bytes.
fn large_message(bytes: usize) -> Message {
    let value = Some(vec![7; bytes].into());
    let item = ItemMessage { kind: 1, name: "n".into(), version: 1, value, ..ItemMessage::default() };
    Message::AcceptRequest(AcceptRequest { request_id: 3, items: vec![item], ..AcceptRequest::default() })
}

fn encoded(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| encode_message(message.clone(), &mut bytes));
    bytes
}

fn read(decoder: &mut MessageDecoder, input: &[u8], at: &mut usize) -> Vec<Message> {
    std::iter::from_fn(|| decoder.next(input, at).unwrap()).collect()
}

#[test]
fn messages_are_the_same_however_the_input_is_split() {
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
    let bytes = encoded(&messages);
    for split in 0..=bytes.len() {
        let (mut decoder, mut at) = (MessageDecoder::default(), 0);
        let mut received = read(&mut decoder, &bytes[..split], &mut at);
        received.extend(read(&mut decoder, &bytes, &mut at));
        assert_eq!(received, messages);
    }
}

#[test]
fn large_messages_travel_in_fragments_and_others_may_overtake_them() {
    let messages = [
        large_message(MAX_FRAME_BYTES - 40),
        large_message(3 * MAX_FRAME_BYTES + 9),
        large_message(16 << 20),
    ];
    let bytes = encoded(&messages);
    // In odd slices, as a socket gives them.
    let (mut decoder, mut input) = (MessageDecoder::default(), Vec::new());
    let (mut received, mut most_kept) = (Vec::new(), 0);
    for slice in bytes.chunks(100_003) {
        input.extend_from_slice(slice);
        let mut at = 0;
        received.extend(read(&mut decoder, &input, &mut at));
        input.drain(..at);
        assert!(input.len() < MAX_FRAME_BYTES + 4);
        most_kept = most_kept.max(decoder.buffered_bytes());
    }
    assert!(received == messages && decoder.buffered_bytes() == 0 && most_kept > 15 << 20);
    // A heartbeat between two fragments comes first.
    let heartbeat = Message::Heartbeat(Heartbeat { digest: 5, ..Heartbeat::default() });
    let mut mixed = encoded(&messages[1..2]);
    mixed.splice(MAX_FRAME_BYTES + 4..MAX_FRAME_BYTES + 4, encoded(std::slice::from_ref(&heartbeat)));
    let received = read(&mut MessageDecoder::default(), &mixed, &mut 0);
    assert!(received == [heartbeat, messages[1].clone()]);
}

#[rstest]
#[case::length(&[0, 255, 255, 255], Error::FrameTooLong { length: 0xff_ffff })]
#[case::both_bits(&[0xc0, 0, 0, 1, 0], Error::UnexpectedFragment)]
#[case::a_last_fragment_alone(&[0x40, 0, 0, 1, 0], Error::UnexpectedFragment)]
#[case::empty_fragments(&[0x80, 0, 0, 0, 0x80, 0, 0, 0], Error::UnexpectedFragment)]
fn malformed_frames_are_rejected(#[case] bytes: &[u8], #[case] error: Error) {
    assert_eq!(MessageDecoder::default().next(bytes, &mut 0), Err(error));
}

#[test]
fn garbled_and_endless_messages_are_rejected() {
    let mut at = 0;
    let garbled = MessageDecoder::default().next(&[0, 0, 0, 2, 255, 255], &mut at);
    assert!(matches!(garbled, Err(Error::Malformed { .. })));
    let mut fragment = (MAX_FRAME_BYTES as u32 | 1 << 31).to_be_bytes().to_vec();
    fragment.resize(4 + MAX_FRAME_BYTES, 0);
    let mut decoder = MessageDecoder::default();
    for _ in 0..MAX_MESSAGE_BYTES / MAX_FRAME_BYTES {
        assert_eq!(decoder.next(&fragment, &mut 0), Ok(None));
    }
    assert_eq!(decoder.next(&fragment, &mut 0), Err(Error::MessageTooLong));
}
