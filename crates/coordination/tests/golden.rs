//! Compares the encoding of messages between processes with golden files, byte by byte. Processes of two versions
//! communicate during an upgrade, so no line of the golden files may ever change. New messages and fields get new lines.

use bytes::Bytes;
use kitepass_config::{Item, ItemWithHistory, Kind, VersionDigest};
use kitepass_coordination::consensus::{key, Ballot, Proposal, ProposalMessage};
use kitepass_coordination::membership::{ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::framing::{
    EncodedMessage, Error, MessageDecoder, SendQueue, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES,
};
use kitepass_coordination::protocol::{
    batch_items, encode_items, encode_message, Commit, Envelope, Extent, Hello, ItemMessage, Items, Message,
    PurgeTombstones, RejectedProposal,
};
use prost::Message as _;
use rstest::rstest;
use samples::Sample;
use std::fmt::Write;

#[path = "golden/samples.rs"]
mod samples;

const MESSAGES: &str = include_str!("golden/messages.txt");
const NESTED: &str = include_str!("golden/nested.txt");
const FRAMES: &str = include_str!("golden/frames.txt");
const BALLOTS: &str = include_str!("golden/ballots.txt");
const PROPOSALS: &str = include_str!("golden/proposals.txt");

/// How the golden files represent an empty byte string, so that no line ends with a space.
const NO_BYTES: &str = "-";

fn to_hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return NO_BYTES.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    if hex == NO_BYTES {
        return Vec::new();
    }
    let digits = hex.as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// One line per value: its name, and its bytes in hex.
fn to_lines<'a>(values: impl IntoIterator<Item = (&'a str, Vec<u8>)>) -> String {
    let mut text = String::new();
    for (name, bytes) in values {
        writeln!(text, "{name} {}", to_hex(&bytes)).unwrap();
    }
    text
}

/// The bytes of a value in a golden file.
fn golden_bytes(file: &str, name: &str) -> Vec<u8> {
    let line = file.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    from_hex(line.unwrap_or_else(|| panic!("no line for {name}")))
}

fn envelope(message: &Message) -> Envelope {
    Envelope { message: Some(message.clone()) }
}

fn all_samples() -> Vec<Sample> {
    [samples::complete(), samples::empty(), samples::booleans(), samples::nested_defaults()].concat()
}

#[test]
fn messages_are_encoded_to_the_golden_bytes() {
    let samples = all_samples();
    let encoded = samples.iter().map(|(name, message)| (*name, envelope(message).encode_to_vec()));
    assert_eq!(to_lines(encoded), MESSAGES);
}

#[test]
fn golden_bytes_are_decoded_to_the_messages() {
    for (name, message) in all_samples() {
        let bytes = golden_bytes(MESSAGES, name);
        let decoded = Envelope::decode(&bytes[..]).unwrap();
        assert!(decoded == envelope(&message), "{name}");
        assert_eq!(to_hex(&decoded.encode_to_vec()), to_hex(&bytes), "{name}");
    }
}

/// An envelope starts with the tag of its variant: one byte up to tag 15, two bytes from tag 16.
#[test]
fn message_variants_have_tags_1_to_16() {
    for ((name, message), tag) in samples::complete().into_iter().zip(1_u64..) {
        let mut key = Vec::new();
        prost::encoding::encode_varint(tag << 3 | 2, &mut key);
        assert!(envelope(&message).encode_to_vec().starts_with(&key), "{name}");
    }
    assert_eq!(samples::complete().len(), 16);
}

#[test]
fn nested_messages_have_the_golden_bytes() {
    assert_eq!(to_lines(samples::nested()), NESTED);
    assert!(Ballot::decode(&golden_bytes(NESTED, "ballot")[..]).unwrap() == samples::ballot(1));
    assert!(
        RejectedProposal::decode(&golden_bytes(NESTED, "rejection")[..]).unwrap() == samples::rejection()
    );
    let proposal = ProposalMessage::decode(&golden_bytes(NESTED, "accepted-proposal")[..]).unwrap();
    assert!(proposal == samples::accepted_proposal());
}

/// Replica sets are sent as configuration items, so the item names and values are part of the protocol.
#[test]
fn replica_sets_are_encoded_as_items() {
    let set = ReplicaSet { replicas: samples::replicas(), version: 81 };
    for (name, expected) in [(CURRENT, "now"), (INCOMING, "next")] {
        let item = set.to_item(name);
        assert_eq!((item.kind as u8, &*item.name, item.version), (7, expected, 81));
        assert_eq!(to_hex(&item.value.clone().unwrap()), to_hex(&golden_bytes(NESTED, "replica-set")));
        assert!(ReplicaSet::from_item(&item) == Some(set.clone()));
    }
    // Votes and acceptances are counted by these names.
    let names: Vec<String> = set.replicas.iter().map(|replica| replica.name()).collect();
    assert_eq!(names, ["node-1#2122232425262728", "node-2"]);
}

fn item(kind: Kind, name: &str, version: u64, value: Option<&'static [u8]>) -> Item {
    Item { kind, name: name.into(), version, value: value.map(Bytes::from_static) }
}

/// One item of each kind. One of them is a tombstone.
fn items() -> Vec<Item> {
    vec![
        item(Kind::Route, "route-1", 1, Some(b"{\"a\":1}")),
        item(Kind::Tenant, "tenant-1", 2, None),
        item(Kind::Service, "service-1", 0x0102_0304_0506_0708, Some(b"{}")),
        item(Kind::Limits, "", 4, Some(b"{\"idle-ms\":1}")),
        item(Kind::Evacuation, "zone-a", 5, Some(b"1")),
        item(Kind::Backend, "backend-1", 6, Some(b"\x00\xff")),
        item(Kind::ReplicaSet, "now", 7, Some(b"")),
    ]
}

#[test]
fn items_survive_a_round_trip() {
    for (item, number) in items().iter().zip(1..) {
        let message = ItemMessage::from(item);
        assert_eq!(message.kind, number);
        assert!(message.into_item().as_ref() == Some(item), "{}", item.name);
    }
    let expired = vec![(Kind::Tenant, "tenant-1".into(), 5)];
    let purge = Message::PurgeTombstones(PurgeTombstones::from_expired(&expired));
    assert_eq!(
        to_hex(&envelope(&purge).encode_to_vec()),
        to_hex(&golden_bytes(MESSAGES, "purge-tombstones"))
    );
    let Message::PurgeTombstones(purge) = purge else { unreachable!() };
    assert!(purge.into_expired() == expired);
}

/// The 128-bit hash of an item's content is sent as two 64-bit halves.
#[test]
fn older_versions_of_items_survive_a_round_trip() {
    let item = item(Kind::Route, "route-1", 1_000_000_000_001, Some(b"{\"a\":1}"));
    let history = [
        VersionDigest { version: 301, digest: 0x7172_7374_7576_7701_8182_8384_8586_8701 },
        VersionDigest { version: 302, digest: 0x7172_7374_7576_7702_8182_8384_8586_8702 },
    ];
    let message = ItemMessage::from(ItemWithHistory { item: &item, older_versions: &history });
    assert_eq!(to_hex(&message.encode_to_vec()), to_hex(&golden_bytes(NESTED, "item")));
    assert!(message.into_entry() == Some((item, history.to_vec())));
}

/// They must not be mistaken for items of the kind given by the lowest byte of the number.
#[rstest]
fn items_of_unknown_kinds_are_skipped(#[values(0, 9, 255, 256 + 1, u32::MAX)] kind: u32) {
    let message = ItemMessage { kind, name: "name".into(), version: 1, ..ItemMessage::default() };
    assert!(message.clone().into_item().is_none());
    assert!(message.clone().into_entry().is_none());
    // A proposal with an unknown item is discarded as a whole.
    assert!(Proposal::from_messages(vec![message, ItemMessage::from(&items()[0])]).is_none());
}

/// Field 99 in each wire type: varint, 64-bit, length-delimited, 32-bit.
const UNKNOWN_FIELDS: [&str; 4] = ["980601", "99060102030405060708", "9a0603616263", "9d0601020304"];

#[test]
fn unknown_fields_are_ignored_and_not_forwarded() {
    let known = samples::hello().encode_to_vec();
    for unknown in UNKNOWN_FIELDS.map(from_hex) {
        for bytes in [[&unknown[..], &known].concat(), [&known[..], &unknown].concat()] {
            let decoded = Hello::decode(&bytes[..]).unwrap();
            assert!(decoded == samples::hello());
            assert_eq!(to_hex(&decoded.encode_to_vec()), to_hex(&known));
        }
    }
}

/// An envelope with variant 17, which does not exist.
const UNKNOWN_VARIANT: &str = "8a0103616263";

#[test]
fn unknown_variants_are_skipped() {
    let unknown = from_hex(UNKNOWN_VARIANT);
    assert!(Envelope::decode(&unknown[..]).unwrap().message.is_none());
    let heartbeat = Message::Heartbeat(samples::heartbeat());
    let known = envelope(&heartbeat).encode_to_vec();
    // If an envelope has both an unknown and a known variant, the known one is used.
    for bytes in [[&unknown[..], &known].concat(), [&known[..], &unknown].concat()] {
        assert!(Envelope::decode(&bytes[..]).unwrap() == envelope(&heartbeat));
    }
    let mut stream = [&(unknown.len() as u32).to_be_bytes()[..], &unknown].concat();
    encode_message(heartbeat.clone(), &mut stream);
    assert!(decode_all(&stream) == [heartbeat]);
}

/// If an envelope has two different variants, the last one is used. If it has the same variant twice, the two are merged
/// field by field.
#[test]
fn several_variants_in_one_envelope_are_merged_or_replaced() {
    let bytes = |name| golden_bytes(MESSAGES, name);
    let both = [bytes("commit"), bytes("heartbeat")].concat();
    assert!(Envelope::decode(&both[..]).unwrap() == envelope(&Message::Heartbeat(samples::heartbeat())));
    let halves = [bytes("hello.is-current"), bytes("hello.is-complete")].concat();
    let merged = Hello { is_serving: true, is_complete: true, ..Hello::default() };
    assert!(Envelope::decode(&halves[..]).unwrap() == envelope(&Message::Hello(merged)));
}

/// Lists of numbers are encoded as packed fields, but decoded from unpacked fields as well.
#[test]
fn unpacked_lists_of_numbers_are_decoded() {
    // Bucket digests 1 and 2, each as a separate field.
    let unpacked = from_hex("2212090100000000000000090200000000000000");
    let Some(Message::BucketDigests(digests)) = Envelope::decode(&unpacked[..]).unwrap().message else {
        panic!("expected bucket digests")
    };
    assert_eq!(digests.digests, [1, 2]);
    let packed = "22120a1001000000000000000200000000000000";
    assert_eq!(to_hex(&envelope(&Message::BucketDigests(digests)).encode_to_vec()), packed);
}

#[rstest]
#[case::field_of_another_type("0a020801")]
#[case::text_that_is_not_utf8("0a040a02fffe")]
#[case::truncated("0a050a03")]
#[case::field_number_0("0201")]
fn malformed_messages_are_rejected(#[case] hex: &str) {
    assert!(Envelope::decode(&from_hex(hex)[..]).is_err());
    let bytes = from_hex(hex);
    let frame = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
    assert!(matches!(MessageDecoder::default().next(&frame, &mut 0), Err(Error::Malformed { .. })));
}

/// Decodes all messages of a complete stream.
fn decode_all(stream: &[u8]) -> Vec<Message> {
    let (mut decoder, mut position) = (MessageDecoder::default(), 0);
    let messages = std::iter::from_fn(|| decoder.next(stream, &mut position).unwrap()).collect();
    assert_eq!((position, decoder.buffered_bytes()), (stream.len(), 0));
    messages
}

/// A commit whose envelope is encoded in `length` bytes. The period of its content does not divide the length of a frame,
/// so that frames in the wrong order are detected.
fn commit_with_encoded_len(length: usize) -> Message {
    // 8 bytes are two tags of one byte each, and two lengths of three bytes each.
    let content = (0..length - 8).map(|index| (index % 251) as u8).collect::<Vec<u8>>();
    let message = Message::Commit(Commit { proposal_id: content.into() });
    assert_eq!(envelope(&message).encoded_len(), length);
    message
}

#[test]
fn frame_and_message_size_limits() {
    assert_eq!((MAX_FRAME_BYTES, MAX_MESSAGE_BYTES), (262_144, 25_165_824));
}

#[test]
fn short_messages_are_sent_in_one_frame_each() {
    let mut stream = Vec::new();
    encode_message(Message::Hello(samples::hello()), &mut stream);
    assert_eq!(to_hex(&stream), to_hex(&golden_bytes(FRAMES, "hello")));
    assert!(decode_all(&stream) == [Message::Hello(samples::hello())]);
    let mut stream = Vec::new();
    let messages: Vec<Message> = samples::complete().into_iter().map(|(_, message)| message).collect();
    messages.iter().for_each(|message| encode_message(message.clone(), &mut stream));
    assert_eq!(to_hex(&stream), to_hex(&golden_bytes(FRAMES, "stream")));
    assert!(decode_all(&stream) == messages);
}

/// The golden file has only the headers of the frames, one after another. Each is followed by its part of the message.
#[rstest]
#[case::longest_message_in_one_frame("one-frame", MAX_FRAME_BYTES)]
#[case::one_byte_more("two-frames", MAX_FRAME_BYTES + 1)]
#[case::two_full_frames("two-full-frames", 2 * MAX_FRAME_BYTES)]
#[case::three_frames("three-frames", 2 * MAX_FRAME_BYTES + 75_712)]
fn a_long_message_is_sent_in_several_frames(#[case] name: &str, #[case] length: usize) {
    let message = commit_with_encoded_len(length);
    let encoded = envelope(&message).encode_to_vec();
    let headers = golden_bytes(FRAMES, name);
    let payloads = encoded.chunks(MAX_FRAME_BYTES);
    assert_eq!(headers.len(), payloads.len() * 4);
    let frames = headers.chunks(4).zip(payloads);
    let expected: Vec<u8> = frames.flat_map(|(header, payload)| [header, payload].concat()).collect();
    let mut stream = Vec::new();
    encode_message(message.clone(), &mut stream);
    assert!(stream == expected, "{name}");
    assert!(decode_all(&stream) == [message]);
}

#[test]
fn a_heartbeat_may_be_sent_between_frames_of_a_long_message() {
    let (long, heartbeat) =
        (commit_with_encoded_len(2 * MAX_FRAME_BYTES), Message::Heartbeat(samples::heartbeat()));
    let (mut send_queue, mut stream) = (SendQueue::default(), Vec::new());
    send_queue.push(EncodedMessage::new(long.clone()), false, &mut stream);
    send_queue.append_frames(&mut stream, 0);
    send_queue.push(EncodedMessage::new(heartbeat.clone()), true, &mut stream);
    send_queue.append_frames(&mut stream, 0);
    let mut heartbeat_frame = Vec::new();
    encode_message(heartbeat.clone(), &mut heartbeat_frame);
    let mut expected = Vec::new();
    encode_message(long.clone(), &mut expected);
    expected.splice(4 + MAX_FRAME_BYTES..4 + MAX_FRAME_BYTES, heartbeat_frame);
    assert!(stream == expected);
    assert!(decode_all(&stream) == [heartbeat, long]);
}

/// A message is complete once the estimated size of its items exceeds the limit. The estimate differs from the encoded
/// size.
#[test]
fn items_are_batched_into_messages_of_256_kibibytes() {
    let large = |number: u64, length: usize| Item {
        kind: Kind::Tenant,
        name: format!("tenant-{number}").into(),
        version: number,
        value: Some(vec![b'v'; length].into()),
    };
    // The estimated size of an item is the length of its name and value plus 32 bytes.
    let exactly = 256 * 1024 - 32 - "tenant-1".len();
    let items = [large(1, exactly), large(2, 0), large(3, 100_000), large(4, 400_000), large(5, 1)];
    let mut stream = Vec::new();
    encode_items(items.iter(), &mut stream);
    let counts: Vec<usize> = decode_all(&stream)
        .into_iter()
        .map(|message| match message {
            Message::Items(Items { items, .. }) => items.len(),
            _ => panic!("expected items"),
        })
        .collect();
    assert_eq!(counts, [2, 2, 1]);
    let extents = |extent| -> Vec<Extent> {
        let messages = batch_items(items.iter(), extent).into_iter();
        messages
            .map(
                |message| {
                    if let Message::Items(items) = message {
                        items.extent()
                    } else {
                        panic!("{message:?}")
                    }
                },
            )
            .collect()
    };
    assert_eq!(extents(Extent::Complete), [Extent::Continued, Extent::Continued, Extent::Complete]);
    assert_eq!(extents(Extent::Transfer), [Extent::Transfer; 3]);
    assert_eq!(batch_items([].iter(), Extent::Complete), []);
}

/// Ballots in ascending order: by epoch, then by round, then by proposer.
fn ballots() -> Vec<(&'static str, Ballot)> {
    let ballot = |epoch, round, proposer_id| Ballot { epoch, round, proposer: proposer_id };
    vec![
        ("zero", ballot(0, 0, 0)),
        ("proposer-1", ballot(0, 0, 1)),
        ("round-1", ballot(0, 1, 0)),
        ("round-1-highest-proposer", ballot(0, 1, u64::MAX)),
        ("round-2", ballot(0, 2, 7)),
        ("highest-round", ballot(0, u64::MAX, u64::MAX)),
        ("epoch-1", ballot(1, 0, 0)),
        ("epoch-1-mixed", ballot(1, 0x1122_3344_5566_7788, 0x99aa_bbcc_ddee_ff00)),
        ("epoch-2", ballot(2, 0, 3)),
        ("highest-epoch", ballot(u64::MAX, 0, 0)),
    ]
}

#[test]
fn ballots_have_the_golden_order_and_bytes() {
    let ballots = ballots();
    assert_eq!(to_lines(ballots.iter().map(|(name, ballot)| (*name, ballot.encode_to_vec()))), BALLOTS);
    for (index, (name, ballot)) in ballots.iter().enumerate() {
        for (other_index, (other_name, other)) in ballots.iter().enumerate() {
            assert!(ballot.cmp(other) == index.cmp(&other_index), "{name} {other_name}");
        }
        assert!(Ballot::decode(&golden_bytes(BALLOTS, name)[..]).unwrap() == *ballot, "{name}");
    }
}

/// The ballot that a proposer chooses after it has seen another one. Ballots are given as epoch, round and proposer.
#[rstest]
#[case::the_same_epoch((3, 8, 9), 3, (3, 9, 5))]
#[case::a_later_epoch((3, 8, 9), 4, (4, 1, 5))]
#[case::an_earlier_epoch((3, 8, 9), 2, (3, 9, 5))]
#[case::the_last_round((3, u64::MAX, 9), 3, (3, u64::MAX, 5))]
fn the_next_ballot(#[case] seen: (u64, u64, u64), #[case] epoch: u64, #[case] expected: (u64, u64, u64)) {
    let ballot = |(epoch, round, proposer_id)| Ballot { epoch, round, proposer: proposer_id };
    assert!(Ballot::above(ballot(seen), epoch, 5) == ballot(expected));
}

/// The name and items of each proposal, in the order in which `Proposal::new` receives them.
fn proposals() -> Vec<(&'static str, Vec<Item>)> {
    let mut reversed = items();
    reversed.reverse();
    let route = |version, value| item(Kind::Route, "route-1", version, value);
    vec![
        ("empty", vec![]),
        ("one-item", vec![route(1, Some(b"{\"a\":1}"))]),
        ("other-value", vec![route(1, Some(b"{\"a\":2}"))]),
        ("other-version", vec![route(2, Some(b"{\"a\":1}"))]),
        ("other-kind", vec![item(Kind::Tenant, "route-1", 1, Some(b"{\"a\":1}"))]),
        ("empty-value", vec![route(1, Some(b""))]),
        ("removed", vec![route(1, None)]),
        ("all-kinds", items()),
        ("all-kinds-reversed", reversed),
        ("first-of-one-version", vec![route(1, Some(b"{\"a\":1}")), route(1, Some(b"{\"a\":2}"))]),
        ("names-not-ascii", vec![item(Kind::Service, "sérvice", 9, Some(b"{}"))]),
    ]
}

/// Each line has the name of a proposal, its ID, and the keys of its items in order.
#[test]
fn proposals_have_the_golden_ids_and_keys() {
    let mut text = String::new();
    for (name, items) in proposals() {
        let proposal = Proposal::new(items);
        write!(text, "{name} {}", to_hex(&proposal.proposal_id().0)).unwrap();
        for (item, item_key) in proposal.items().iter().zip(proposal.keys()) {
            assert_eq!(key(item), *item_key);
            write!(text, " {item_key:016x}").unwrap();
        }
        text.push('\n');
    }
    assert_eq!(text, PROPOSALS);
}

/// The receiver computes the ID from the received items, and gets the same one.
#[test]
fn proposals_survive_a_round_trip_with_a_ballot() {
    let ballot = samples::ballot(1);
    for (name, items) in proposals() {
        let proposal = Proposal::new(items);
        let bytes = ProposalMessage::new(ballot, &proposal).encode_to_vec();
        let received = ProposalMessage::decode(&bytes[..]).unwrap().into_proposal().unwrap();
        assert!(received == (ballot, proposal), "{name}");
    }
    // A ballot that consists of zeros is encoded, too.
    assert_eq!(to_hex(&ProposalMessage::default().encode_to_vec()), "0a00");
    // A missing ballot is decoded as one that consists of zeros.
    assert!(ProposalMessage::decode(&[][..]).unwrap().ballot == Ballot::default());
}
