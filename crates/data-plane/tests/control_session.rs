//! The link's own defences against a control process that is out of contact with the core, told what it would hear.

use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::protocol::{
    BucketDigests, Heartbeat, Hello, ItemMessage, Items, MembershipUpdate, Message,
};
use kitepass_data_plane::control_session::{ControlSession, SessionState, SessionUpdates};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn hello(address: &str, current: bool) -> Message {
    Message::Hello(Hello {
        node_id: address.into(),
        address: address.into(),
        is_control_plane: true,
        is_serving: current,
        ..Hello::default()
    })
}

fn item(version: u64) -> Item {
    Item { kind: Kind::Service, name: "l".into(), version, value: Some("{}".into()) }
}

fn items(version: u64) -> Message {
    Message::Items(Items { items: vec![ItemMessage::from(&item(version))] })
}

/// The control process has told all, which is this version of the item, or nothing.
fn back(version: Option<u64>) -> Message {
    let mut item_store = ItemStore::new();
    version.into_iter().for_each(|version| _ = item_store.merge(item(version)));
    Message::BucketDigests(BucketDigests { digests: item_store.buckets().to_vec(), wants_reply: true })
}

/// A link that has opened a session with the first control process that it draws.
fn link(now: i64, first: &[&str]) -> (ControlSession, String) {
    let hello = Hello { node_id: "g".into(), ..Hello::default() };
    let mut link =
        ControlSession::new(hello, first.iter().map(ToString::to_string).collect(), BTreeMap::new());
    let address = link.next(at(now), 0).expect("one is known");
    (link, address)
}

fn say(link: &mut ControlSession, now: i64, messages: Vec<Message>) -> SessionUpdates {
    let mut brought = SessionUpdates::default();
    messages.into_iter().for_each(|message| link.said(at(now), message, &mut brought));
    brought
}

#[test]
fn a_first_configuration_is_taken_from_none_that_is_out_of_contact() {
    // It says so in its hello, or in a beat before all has come.
    let live = || Message::MembershipUpdate(MembershipUpdate::default());
    let hello_says = |address: &str| vec![hello(address, false), items(3), back(Some(3)), live()];
    let beat_says = |address: &str| {
        vec![hello(address, true), Message::Heartbeat(Heartbeat::default()), items(3), back(Some(3)), live()]
    };
    for messages in [&hello_says as &dyn Fn(&str) -> Vec<Message>, &beat_says] {
        let (mut link, address) = link(0, &["a"]);
        let brought = say(&mut link, 100, messages(&address));
        assert!(brought.close && brought.items.is_empty() && !link.is_caught_up());
        assert_eq!(link.item_store.len(), 0);
    }
    let (mut link, address) = link(0, &["a"]);
    let brought = say(&mut link, 100, vec![hello(&address, true), items(3), back(Some(3)), live()]);
    assert!(!brought.close && link.is_caught_up() && brought.items.len() == 1);
    // Once it has caught up it says so, and stays where all are out of contact.
    let brought = say(&mut link, 200, vec![Message::Heartbeat(Heartbeat::default()), items(4)]);
    assert!(!brought.close && brought.items.len() == 1);
    (2..40).for_each(|n| {
        say(&mut link, n * 100, vec![Message::Heartbeat(Heartbeat::default())]);
        assert!(!link.tick(at(n * 100)), "nobody else is known");
    });
    assert!(link.out.iter().any(|message| matches!(message, Message::Heartbeat(beat) if beat.is_serving)));
    // So long alone that it begins anew, it is as one that has never caught up, and goes by what it has.
    link.lost("closed");
    let later = 4_000_000;
    let address = link.next(at(later), 0).expect("one is known");
    assert!(matches!(&link.out[0], Message::Hello(hello) if !hello.is_serving));
    let brought = say(&mut link, later, hello_says(&address));
    assert!(brought.close && link.item_store.get(Kind::Service, "l").is_some_and(|item| item.version == 4));
}

/// It leaves one that falls out of contact after a while, and one that it finds so as soon as it is synced, looks in on
/// each once, and then stays for a time.
#[test]
fn all_are_looked_in_on_once_and_then_one_is_stayed_with() {
    let (mut link, address) = link(0, &["a", "b", "c"]);
    say(
        &mut link,
        100,
        vec![hello(&address, true), back(None), Message::MembershipUpdate(MembershipUpdate::default())],
    );
    let (mut left, mut seen) = (Vec::new(), vec![address]);
    for now in (200..9_000).step_by(100) {
        match link.state() {
            SessionState::Disconnected => {
                let address = link.next(at(now), 0).expect("one is left");
                say(&mut link, now, vec![hello(&address, false), back(None)]);
                seen.push(address);
            }
            _ => _ = say(&mut link, now, vec![Message::Heartbeat(Heartbeat::default())]),
        }
        if link.tick(at(now)) {
            left.push(now);
            link.lost("left");
        }
    }
    assert_eq!(left.first(), Some(&1_700), "{left:?}");
    seen.sort();
    assert_eq!((left.len(), seen), (2, vec!["a".to_owned(), "b".into(), "c".into()]));
}
