//! The control session's own defences against a control process that is isolated from the quorum: the messages are
//! given to it as such a control process would send them.

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

fn hello(address: &str, is_serving: bool) -> Message {
    Message::Hello(Hello {
        node_id: address.into(),
        address: address.into(),
        is_control_plane: true,
        is_serving,
        ..Hello::default()
    })
}

fn item(version: u64) -> Item {
    Item { kind: Kind::Service, name: "l".into(), version, value: Some("{}".into()) }
}

fn items(version: u64) -> Message {
    Message::Items(Items { items: vec![ItemMessage::from(&item(version))] })
}

/// The control process has sent all that it holds, which is this version of the item, or nothing.
fn sync_finished(version: Option<u64>) -> Message {
    let mut item_store = ItemStore::new();
    version.into_iter().for_each(|version| _ = item_store.merge(item(version)));
    Message::BucketDigests(BucketDigests { digests: item_store.buckets().to_vec(), wants_reply: true })
}

/// A gateway that opens a session with the control process that it draws.
fn session(now: i64, bootstrap: &[&str]) -> (ControlSession, String) {
    let hello = Hello { node_id: "g".into(), ..Hello::default() };
    let mut session =
        ControlSession::new(hello, bootstrap.iter().map(ToString::to_string).collect(), BTreeMap::new());
    let address = session.next_control_process(at(now), 0).expect("one is known");
    (session, address)
}

fn receive(session: &mut ControlSession, now: i64, messages: Vec<Message>) -> SessionUpdates {
    let mut updates = SessionUpdates::default();
    messages.into_iter().for_each(|message| session.receive(at(now), message, &mut updates));
    updates
}

#[test]
fn a_first_configuration_is_not_taken_from_an_isolated_control_process() {
    // It says so in its hello, or in a heartbeat before all items have come.
    let membership = || Message::MembershipUpdate(MembershipUpdate::default());
    let from_hello =
        |address: &str| vec![hello(address, false), items(3), sync_finished(Some(3)), membership()];
    let from_heartbeat = |address: &str| {
        vec![
            hello(address, true),
            Message::Heartbeat(Heartbeat::default()),
            items(3),
            sync_finished(Some(3)),
            membership(),
        ]
    };
    for messages in [&from_hello as &dyn Fn(&str) -> Vec<Message>, &from_heartbeat] {
        let (mut session, address) = session(0, &["a"]);
        let updates = receive(&mut session, 100, messages(&address));
        assert!(updates.should_close && updates.items.is_empty() && !session.is_caught_up());
        assert_eq!(session.item_store.len(), 0);
    }
    let (mut session, address) = session(0, &["a"]);
    let updates = receive(
        &mut session,
        100,
        vec![hello(&address, true), items(3), sync_finished(Some(3)), membership()],
    );
    assert!(!updates.should_close && session.is_caught_up() && updates.items.len() == 1);
    // Once it has synchronized it says so, and stays where all are isolated.
    let updates = receive(&mut session, 200, vec![Message::Heartbeat(Heartbeat::default()), items(4)]);
    assert!(!updates.should_close && updates.items.len() == 1);
    (2..40).for_each(|n| {
        receive(&mut session, n * 100, vec![Message::Heartbeat(Heartbeat::default())]);
        assert!(!session.tick(at(n * 100)), "no other is known");
    });
    assert!(session
        .outgoing
        .iter()
        .any(|message| matches!(message, Message::Heartbeat(heartbeat) if heartbeat.is_serving)));
    // After so long without synchronization that it starts from nothing, it is as one that has never synchronized, and
    // serves by what it has.
    session.connection_lost("closed");
    let later = 4_000_000;
    let address = session.next_control_process(at(later), 0).expect("one is known");
    assert!(matches!(&session.outgoing[0], Message::Hello(hello) if !hello.is_serving));
    let updates = receive(&mut session, later, from_hello(&address));
    assert!(
        updates.should_close
            && session.item_store.get(Kind::Service, "l").is_some_and(|item| item.version == 4)
    );
}

/// It leaves one that becomes isolated after a while, and one that it finds isolated as soon as it has synchronized; it
/// tries each once, and then stays for a time.
#[test]
fn each_isolated_control_process_is_tried_once_and_then_one_is_kept() {
    let (mut session, address) = session(0, &["a", "b", "c"]);
    receive(
        &mut session,
        100,
        vec![
            hello(&address, true),
            sync_finished(None),
            Message::MembershipUpdate(MembershipUpdate::default()),
        ],
    );
    let (mut closed_at, mut tried) = (Vec::new(), vec![address]);
    for now in (200..9_000).step_by(100) {
        match session.state() {
            SessionState::Disconnected => {
                let address = session.next_control_process(at(now), 0).expect("one is left");
                receive(&mut session, now, vec![hello(&address, false), sync_finished(None)]);
                tried.push(address);
            }
            _ => _ = receive(&mut session, now, vec![Message::Heartbeat(Heartbeat::default())]),
        }
        if session.tick(at(now)) {
            closed_at.push(now);
            session.connection_lost("left");
        }
    }
    assert_eq!(closed_at.first(), Some(&1_700), "{closed_at:?}");
    tried.sort();
    assert_eq!((closed_at.len(), tried), (2, vec!["a".to_owned(), "b".into(), "c".into()]));
}
