//! The values whose bytes `messages.txt` holds. In each complete message every field has a value of its own, and no
//! struct is filled up with defaults, so that a new field does not compile until it is pinned too. All true booleans
//! look alike: each of them stands alone in a message besides.

use bytes::Bytes;
use kitepass_coordination::consensus::{Ballot, CallWord};
use kitepass_coordination::membership::{Cast, Seat};
use kitepass_coordination::protocol::{
    Add, Adds, Beat, Buckets, Claim, Decided, Denied, Forget, Grant, Held, Hello, Inquire, ItemWord, Items,
    Live, Member, Sessions, Store, Stored, Total, Totals, VersionWord, Word,
};
use prost::Message;

/// A name in the golden file, and the message.
pub type Sample = (&'static str, Word);

pub fn hello() -> Hello {
    Hello {
        station: "node-1".into(),
        ip: "10.1.2.3".into(),
        district: "zone-a".into(),
        province: "region-a".into(),
        life: 0x1112_1314_1516_1718,
        control: true,
        front: "203.0.113.7:8080".into(),
        current: true,
        full: true,
        folder: 0x2122_2324_2526_2728,
    }
}

pub fn heartbeat() -> Beat {
    Beat {
        digest: 0x3132_3334_3536_3738,
        ready: true,
        current: true,
        full: true,
        duty: u64::MAX,
        number: 0x4142_4344,
        yours: 0x5152_5354,
        leaving: true,
        kept: true,
    }
}

pub fn ballot(number: u64) -> Ballot {
    Ballot { era: 100 + number, round: (1 << 40) + number, who: 0x6162_6364_6566_6700 + number }
}

fn version(number: u64) -> VersionWord {
    VersionWord {
        edition: 300 + number,
        high: 0x7172_7374_7576_7700 + number,
        low: 0x8182_8384_8586_8700 + number,
    }
}

/// An item with older versions.
fn item_with_history() -> ItemWord {
    ItemWord {
        kind: 1,
        name: "route-1".into(),
        edition: 1_000_000_000_001,
        value: Some(Bytes::from_static(b"{\"a\":1}")),
        past: vec![version(1), version(2)],
    }
}

fn removed_item() -> ItemWord {
    ItemWord { kind: 2, name: "tenant-1".into(), edition: 5, value: None, past: vec![] }
}

/// Set, to nothing: not the same as removed.
fn empty_item() -> ItemWord {
    ItemWord { kind: 5, name: "zone-a".into(), edition: 6, value: Some(Bytes::new()), past: vec![] }
}

pub fn accept_request() -> Store {
    Store {
        ticket: 0x0102_0304_0506,
        items: vec![item_with_history(), removed_item()],
        life: 0x9192_9394_9596_9798,
        era: 7,
        ballot: Some(ballot(1)),
        denies: Bytes::from_static(b"0123456789abcdef"),
        keys: vec![0xa1a2_a3a4_a5a6_a7a8, 1],
        whole: vec![0xb1b2_b3b4_b5b6_b7b8, 0, 2],
        again: true,
    }
}

fn accept_response() -> Stored {
    Stored {
        ticket: 0x0202_0304_0506,
        full: true,
        life: 0xc1c2_c3c4_c5c6_c7c8,
        refused: true,
        ballot: Some(ballot(2)),
        under: Some(ballot(3)),
    }
}

fn prepare_request() -> Inquire {
    Inquire {
        ticket: 0x0302_0304_0506,
        hashes: vec![0xd1d2_d3d4_d5d6_d7d8, 0],
        life: 0xe1e2_e3e4_e5e6_e7e8,
        era: 8,
        ballot: Some(ballot(4)),
        keys: vec![0xf1f2_f3f4_f5f6_f7f8, 3],
        all: true,
        from: u32::MAX,
    }
}

pub fn rejection() -> Denied {
    Denied { ballot: ballot(5), mark: Bytes::from_static(b"fedcba9876543210") }
}

pub fn accepted_proposal() -> CallWord {
    CallWord { ballot: ballot(6), items: vec![empty_item(), removed_item()] }
}

fn prepare_response() -> Held {
    Held {
        ticket: 0x0402_0304_0506,
        items: vec![item_with_history()],
        full: true,
        founded: true,
        life: 0x0908_0706_0504_0302,
        from: 11,
        next: 12,
        differs: vec![0x80, 0, 0x01],
        digest: 0x1918_1716_1514_1312,
        refused: true,
        ballot: Some(ballot(7)),
        calls: vec![accepted_proposal()],
        denied: vec![rejection()],
        whole: 13,
    }
}

fn lease_request() -> Claim {
    Claim { duty: "steward".into(), term: 21, ticket: 22, release: true, holds: true, era: 23 }
}

fn lease_vote() -> Grant {
    Grant { duty: "steward".into(), ticket: 31, granted: true, term: 32, holder: "node-2#1f".into(), era: 33 }
}

fn session_list() -> Sessions {
    let member = Member {
        station: "node-3".into(),
        life: 0x2928_2726_2524_2322,
        front: "203.0.113.9:80".into(),
        district: "zone-b".into(),
        ready: true,
    };
    let other = Member { station: "node-4".into(), ..Member::default() };
    Sessions { number: 41, members: vec![member, other] }
}

fn usage_report() -> Adds {
    let add =
        Add { tenant: "tenant-2".into(), offered: 51, sent: 52, held: 53, wants: 54, back: 55, ahead: 56 };
    let other = Add { tenant: "tenant-3".into(), offered: u32::MAX, ..Add::default() };
    Adds {
        ticket: 57,
        station: "node-5".into(),
        adds: vec![add, other],
        life: 0x3938_3736_3534_3332,
        asks: true,
    }
}

fn usage_totals() -> Totals {
    let total =
        Total { tenant: "tenant-4".into(), offered: 61.5, sent: 0.0625, granted: 62, part: f32::INFINITY };
    Totals {
        ticket: 63,
        station: "node-6".into(),
        totals: vec![total],
        life: 0x4948_4746_4544_4342,
        asks: true,
    }
}

fn membership_update() -> Live {
    Live {
        gateways: 71,
        stations: vec!["node-7".into(), "node-8".into()],
        controls: vec!["10.1.2.4:7000".into()],
        control_districts: vec!["zone-c".into()],
    }
}

pub fn commit() -> Decided {
    Decided { mark: Bytes::from_static(b"0f1e2d3c4b5a6978") }
}

fn purge_tombstones() -> Forget {
    Forget { drops: vec![removed_item()] }
}

/// Every variant with every field, in the order of the variants' tags.
pub fn complete() -> Vec<Sample> {
    let bucket_digests = Buckets { hashes: vec![0x5958_5756_5554_5352, 0, 9], back: true };
    vec![
        ("hello", Word::Hello(hello())),
        ("heartbeat", Word::Beat(heartbeat())),
        ("items", Word::Items(Items { items: vec![item_with_history(), removed_item(), empty_item()] })),
        ("bucket-digests", Word::Buckets(bucket_digests)),
        ("accept-request", Word::Store(accept_request())),
        ("accept-response", Word::Stored(accept_response())),
        ("prepare-request", Word::Inquire(prepare_request())),
        ("prepare-response", Word::Held(prepare_response())),
        ("lease-request", Word::Claim(lease_request())),
        ("lease-vote", Word::Grant(lease_vote())),
        ("session-list", Word::Sessions(session_list())),
        ("usage-report", Word::Adds(usage_report())),
        ("usage-totals", Word::Totals(usage_totals())),
        ("membership-update", Word::Live(membership_update())),
        ("commit", Word::Decided(commit())),
        ("purge-tombstones", Word::Forget(purge_tombstones())),
    ]
}

/// Every variant with nothing set.
pub fn empty() -> Vec<Sample> {
    vec![
        ("hello.empty", Word::Hello(Hello::default())),
        ("heartbeat.empty", Word::Beat(Beat::default())),
        ("items.empty", Word::Items(Items::default())),
        ("bucket-digests.empty", Word::Buckets(Buckets::default())),
        ("accept-request.empty", Word::Store(Store::default())),
        ("accept-response.empty", Word::Stored(Stored::default())),
        ("prepare-request.empty", Word::Inquire(Inquire::default())),
        ("prepare-response.empty", Word::Held(Held::default())),
        ("lease-request.empty", Word::Claim(Claim::default())),
        ("lease-vote.empty", Word::Grant(Grant::default())),
        ("session-list.empty", Word::Sessions(Sessions::default())),
        ("usage-report.empty", Word::Adds(Adds::default())),
        ("usage-totals.empty", Word::Totals(Totals::default())),
        ("membership-update.empty", Word::Live(Live::default())),
        ("commit.empty", Word::Decided(Decided::default())),
        ("purge-tombstones.empty", Word::Forget(Forget::default())),
    ]
}

/// Each boolean alone, where a message has more than one.
pub fn booleans() -> Vec<Sample> {
    vec![
        ("hello.is-control-plane", Word::Hello(Hello { control: true, ..Hello::default() })),
        ("hello.is-current", Word::Hello(Hello { current: true, ..Hello::default() })),
        ("hello.is-complete", Word::Hello(Hello { full: true, ..Hello::default() })),
        ("heartbeat.is-ready", Word::Beat(Beat { ready: true, ..Beat::default() })),
        ("heartbeat.is-current", Word::Beat(Beat { current: true, ..Beat::default() })),
        ("heartbeat.is-complete", Word::Beat(Beat { full: true, ..Beat::default() })),
        ("heartbeat.is-leaving", Word::Beat(Beat { leaving: true, ..Beat::default() })),
        ("heartbeat.is-durable", Word::Beat(Beat { kept: true, ..Beat::default() })),
        ("accept-response.is-complete", Word::Stored(Stored { full: true, ..Stored::default() })),
        ("accept-response.is-rejected", Word::Stored(Stored { refused: true, ..Stored::default() })),
        ("prepare-response.is-complete", Word::Held(Held { full: true, ..Held::default() })),
        ("prepare-response.is-founded", Word::Held(Held { founded: true, ..Held::default() })),
        ("prepare-response.is-rejected", Word::Held(Held { refused: true, ..Held::default() })),
        ("lease-request.is-release", Word::Claim(Claim { release: true, ..Claim::default() })),
        ("lease-request.is-renewal", Word::Claim(Claim { holds: true, ..Claim::default() })),
    ]
}

/// Nested messages that are set, with nothing in them.
pub fn nested_defaults() -> Vec<Sample> {
    let nothing = Some(Ballot::default());
    let accept_request = Store { items: vec![ItemWord::default()], ballot: nothing, ..Store::default() };
    let accept_response = Stored { ballot: nothing, under: nothing, ..Stored::default() };
    let prepare_request = Inquire { ballot: nothing, ..Inquire::default() };
    let prepare_response = Held {
        ballot: nothing,
        calls: vec![CallWord::default()],
        denied: vec![Denied::default()],
        ..Held::default()
    };
    vec![
        ("accept-request.nested-defaults", Word::Store(accept_request)),
        ("accept-response.nested-defaults", Word::Stored(accept_response)),
        ("prepare-request.nested-defaults", Word::Inquire(prepare_request)),
        ("prepare-response.nested-defaults", Word::Held(prepare_response)),
    ]
}

/// Seats of replicas; the second one is of a disk without a number.
pub fn replicas() -> Vec<Seat> {
    let first = Seat {
        station: "node-1".into(),
        ip: "10.1.2.3:7000".into(),
        district: "zone-a".into(),
        province: "region-a".into(),
        folder: 0x2122_2324_2526_2728,
    };
    let second = Seat { station: "node-2".into(), folder: 0, ..first.clone() };
    vec![first, second]
}

/// Messages that are not sent by themselves, but inside of others or as an item's value.
pub fn nested() -> Vec<(&'static str, Vec<u8>)> {
    let replica_set = Cast { seats: replicas(), edition: 81 };
    vec![
        ("ballot", ballot(1).encode_to_vec()),
        ("rejection", rejection().encode_to_vec()),
        ("accepted-proposal", accepted_proposal().encode_to_vec()),
        ("item", item_with_history().encode_to_vec()),
        ("version", version(1).encode_to_vec()),
        ("replica", replicas()[0].encode_to_vec()),
        ("replica-set", replica_set.encode_to_vec()),
    ]
}
