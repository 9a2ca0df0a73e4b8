//! The link's own defences against a control process that is out of contact with the core, told what it would hear.

use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::protocol::{
    BucketDigests, Heartbeat, Hello, ItemMessage, Items, MembershipUpdate, Message,
};
use kitepass_data_plane::control_session::{Brought, Link, State};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn hello(ip: &str, current: bool) -> Message {
    Message::Hello(Hello { station: ip.into(), ip: ip.into(), control: true, current, ..Hello::default() })
}

fn item(edition: u64) -> Item {
    Item { kind: Kind::Service, name: "l".into(), edition, value: Some("{}".into()) }
}

fn items(edition: u64) -> Message {
    Message::Items(Items { items: vec![ItemMessage::from(&item(edition))] })
}

/// The control process has told all, which is this version of the item, or nothing.
fn back(edition: Option<u64>) -> Message {
    let mut ledger = ItemStore::new();
    edition.into_iter().for_each(|edition| _ = ledger.merge(item(edition)));
    Message::BucketDigests(BucketDigests { hashes: ledger.buckets().to_vec(), back: true })
}

/// A link that has opened a session with the first control process that it draws.
fn link(now: i64, first: &[&str]) -> (Link, String) {
    let hello = Hello { station: "g".into(), ..Hello::default() };
    let mut link = Link::new(hello, first.iter().map(ToString::to_string).collect(), BTreeMap::new());
    let ip = link.next(at(now), 0).expect("one is known");
    (link, ip)
}

fn say(link: &mut Link, now: i64, words: Vec<Message>) -> Brought {
    let mut brought = Brought::default();
    words.into_iter().for_each(|word| link.said(at(now), word, &mut brought));
    brought
}

#[test]
fn a_first_configuration_is_taken_from_none_that_is_out_of_contact() {
    // It says so in its hello, or in a beat before all has come.
    let live = || Message::MembershipUpdate(MembershipUpdate::default());
    let hello_says = |ip: &str| vec![hello(ip, false), items(3), back(Some(3)), live()];
    let beat_says = |ip: &str| {
        vec![hello(ip, true), Message::Heartbeat(Heartbeat::default()), items(3), back(Some(3)), live()]
    };
    for words in [&hello_says as &dyn Fn(&str) -> Vec<Message>, &beat_says] {
        let (mut link, ip) = link(0, &["a"]);
        let brought = say(&mut link, 100, words(&ip));
        assert!(brought.close && brought.items.is_empty() && !link.is_caught_up());
        assert_eq!(link.ledger.len(), 0);
    }
    let (mut link, ip) = link(0, &["a"]);
    let brought = say(&mut link, 100, vec![hello(&ip, true), items(3), back(Some(3)), live()]);
    assert!(!brought.close && link.is_caught_up() && brought.items.len() == 1);
    // Once it has caught up it says so, and stays where all are out of contact.
    let brought = say(&mut link, 200, vec![Message::Heartbeat(Heartbeat::default()), items(4)]);
    assert!(!brought.close && brought.items.len() == 1);
    (2..40).for_each(|n| {
        say(&mut link, n * 100, vec![Message::Heartbeat(Heartbeat::default())]);
        assert!(!link.tick(at(n * 100)), "nobody else is known");
    });
    assert!(link.out.iter().any(|word| matches!(word, Message::Heartbeat(beat) if beat.current)));
    // So long alone that it begins anew, it is as one that has never caught up, and goes by what it has.
    link.lost("closed");
    let later = 4_000_000;
    let ip = link.next(at(later), 0).expect("one is known");
    assert!(matches!(&link.out[0], Message::Hello(hello) if !hello.current));
    let brought = say(&mut link, later, hello_says(&ip));
    assert!(brought.close && link.ledger.get(Kind::Service, "l").is_some_and(|item| item.edition == 4));
}

/// It leaves one that falls out of contact after a while, and one that it finds so as soon as it is synced, looks in on
/// each once, and then stays for a time.
#[test]
fn all_are_looked_in_on_once_and_then_one_is_stayed_with() {
    let (mut link, ip) = link(0, &["a", "b", "c"]);
    say(
        &mut link,
        100,
        vec![hello(&ip, true), back(None), Message::MembershipUpdate(MembershipUpdate::default())],
    );
    let (mut left, mut seen) = (Vec::new(), vec![ip]);
    for now in (200..9_000).step_by(100) {
        match link.state() {
            State::Away => {
                let ip = link.next(at(now), 0).expect("one is left");
                say(&mut link, now, vec![hello(&ip, false), back(None)]);
                seen.push(ip);
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
