//! Words as they go over a connection: whole and in pieces, wherever they are cut, and lies about them.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_coordination::protocol::framing::{pack, Assembler, Error, MOST_FRAME, MOST_WORD};
use kitepass_coordination::protocol::{
    AcceptRequest, Heartbeat, Hello, ItemMessage, Message, TenantUsage, UsageReport,
};
use rstest::rstest;

fn long(bytes: usize) -> Message {
    let value = Some(vec![7; bytes].into());
    let item = ItemMessage { kind: 1, name: "n".into(), version: 1, value, ..ItemMessage::default() };
    Message::AcceptRequest(AcceptRequest { request_id: 3, items: vec![item], ..AcceptRequest::default() })
}

fn packed(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| pack(message.clone(), &mut bytes));
    bytes
}

fn read(assembler: &mut Assembler, input: &[u8], at: &mut usize) -> Vec<Message> {
    std::iter::from_fn(|| assembler.next(input, at).unwrap()).collect()
}

#[test]
fn words_are_the_same_wherever_they_are_cut() {
    let add = TenantUsage { tenant: "a".into(), offered: 7, forwarded: 3, ..TenantUsage::default() };
    let messages = [
        Message::Hello(Hello { node_id: "one".into(), incarnation: 7, ..Hello::default() }),
        Message::UsageReport(UsageReport {
            request_id: 3,
            node_id: "one".into(),
            tenants: vec![add],
            incarnation: 9,
            is_mid_period: false,
        }),
        Message::Heartbeat(Heartbeat { digest: 5, is_ready: true, ..Heartbeat::default() }),
    ];
    let bytes = packed(&messages);
    for cut in 0..=bytes.len() {
        let (mut assembler, mut at) = (Assembler::default(), 0);
        let mut seen = read(&mut assembler, &bytes[..cut], &mut at);
        seen.extend(read(&mut assembler, &bytes, &mut at));
        assert_eq!(seen, messages);
    }
}

#[test]
fn long_words_go_in_pieces_and_others_may_overtake_them() {
    let messages = [long(MOST_FRAME - 40), long(3 * MOST_FRAME + 9), long(16 << 20)];
    let bytes = packed(&messages);
    // In odd slices, as a socket gives them.
    let (mut assembler, mut input, mut seen, mut most) = (Assembler::default(), Vec::new(), Vec::new(), 0);
    for slice in bytes.chunks(100_003) {
        input.extend_from_slice(slice);
        let mut at = 0;
        seen.extend(read(&mut assembler, &input, &mut at));
        input.drain(..at);
        assert!(input.len() < MOST_FRAME + 4);
        most = most.max(assembler.kept());
    }
    assert!(seen == messages && assembler.kept() == 0 && most > 15 << 20);
    // A beat between two pieces comes first.
    let beat = Message::Heartbeat(Heartbeat { digest: 5, ..Heartbeat::default() });
    let mut mixed = packed(&messages[1..2]);
    mixed.splice(MOST_FRAME + 4..MOST_FRAME + 4, packed(std::slice::from_ref(&beat)));
    let seen = read(&mut Assembler::default(), &mixed, &mut 0);
    assert!(seen == [beat, messages[1].clone()]);
}

#[rstest]
#[case::length(&[0, 255, 255, 255], Error::LongFrame { length: 0xff_ffff })]
#[case::both_marks(&[0xc0, 0, 0, 1, 0], Error::Stray)]
#[case::an_end_alone(&[0x40, 0, 0, 1, 0], Error::Stray)]
#[case::nothing_for_ever(&[0x80, 0, 0, 0, 0x80, 0, 0, 0], Error::Stray)]
fn lies_are_refused(#[case] bytes: &[u8], #[case] error: Error) {
    assert_eq!(Assembler::default().next(bytes, &mut 0), Err(error));
}

#[test]
fn what_is_no_message_or_never_ends_is_refused() {
    let mut at = 0;
    let garbled = Assembler::default().next(&[0, 0, 0, 2, 255, 255], &mut at);
    assert!(matches!(garbled, Err(Error::Garbled { .. })));
    let mut frame = (MOST_FRAME as u32 | 1 << 31).to_be_bytes().to_vec();
    frame.resize(4 + MOST_FRAME, 0);
    let mut assembler = Assembler::default();
    for _ in 0..MOST_WORD / MOST_FRAME {
        assert_eq!(assembler.next(&frame, &mut 0), Ok(None));
    }
    assert_eq!(assembler.next(&frame, &mut 0), Err(Error::LongWord));
}
