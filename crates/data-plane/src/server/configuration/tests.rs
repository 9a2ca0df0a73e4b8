use super::*;
use crate::control_session::{CandidateOutcome, SessionUpdates};
use kitepass_config::Item;
use kitepass_coordination::protocol::{
    BucketDigests, Extent, Hello, ItemMessage, Items, MembershipUpdate, Message,
};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

const NOW: Timestamp = Timestamp::from_micros(1_000_000);

fn service(version: u64) -> Item {
    Item { kind: Kind::Service, name: "books".into(), version, value: Some("{}".into()) }
}

fn items(items: &[Item], extent: Extent) -> Message {
    let items = items.iter().map(ItemMessage::from).collect();
    Message::Items(Items { items, extent: extent.into() })
}

/// The message that ends a transfer of all items of the control process.
fn sync_finished(items: &[Item]) -> Message {
    let mut item_store = ItemStore::new();
    items.iter().for_each(|item| _ = item_store.merge(item.clone()));
    Message::BucketDigests(BucketDigests {
        digests: item_store.bucket_hashes().to_vec(),
        ends_transfer: true,
    })
}

/// A session on which the control process has sent its hello.
fn open_session() -> ControlSession {
    let mut session = ControlSession::new(Hello::default(), vec!["10.0.0.1".to_owned()], BTreeMap::new());
    session.next_control_process(NOW, 0).expect("one is known");
    let hello =
        Hello { address: "10.0.0.1".into(), is_control_plane: true, is_serving: true, ..Hello::default() };
    assert_eq!(session.candidate_hello(NOW, &hello), CandidateOutcome::Promoted);
    receive(&mut session, Message::MembershipUpdate(MembershipUpdate::default()));
    session
}

fn receive(session: &mut ControlSession, message: Message) {
    session.receive(NOW, message, &mut SessionUpdates::default());
}

/// Whether the items of the session are activated now.
fn is_activated(configuration: &mut Configuration, session: &ControlSession) -> bool {
    configuration.mark_stale();
    configuration.refresh(session).is_some()
}

#[test]
fn no_configuration_is_active_until_the_session_has_caught_up() {
    let (mut configuration, mut session) = (Configuration::new(), open_session());
    receive(&mut session, items(&[service(1)], Extent::Transfer));
    assert!(!is_activated(&mut configuration, &session) && !configuration.is_loaded());
    receive(&mut session, sync_finished(&[service(1)]));
    assert!(!configuration.is_loaded(), "receiving the items does not activate them");
    assert!(is_activated(&mut configuration, &session) && configuration.is_loaded());
    assert!(configuration.refresh(&session).is_none(), "the items have not changed since");
}

#[test]
fn the_active_configuration_is_kept_during_a_transfer() {
    let (mut configuration, mut session) = (Configuration::new(), open_session());
    receive(&mut session, items(&[service(1)], Extent::Transfer));
    receive(&mut session, sync_finished(&[service(1)]));
    receive(&mut session, items(&[service(2)], Extent::Transfer));
    assert!(!is_activated(&mut configuration, &session) && !configuration.is_loaded());
    receive(&mut session, sync_finished(&[service(2)]));
    assert!(is_activated(&mut configuration, &session));
    receive(&mut session, items(&[service(3)], Extent::Continued));
    assert!(!is_activated(&mut configuration, &session) && configuration.is_loaded());
}

#[test]
fn a_control_plane_without_a_configuration_activates_none() {
    let (mut configuration, mut session) = (Configuration::new(), open_session());
    receive(&mut session, sync_finished(&[]));
    assert!(session.is_caught_up() && !is_activated(&mut configuration, &session));
    let evacuation =
        Item { kind: Kind::Evacuation, name: "near".into(), version: 1, value: Some("1".into()) };
    receive(&mut session, items(&[evacuation], Extent::Complete));
    assert!(!is_activated(&mut configuration, &session));
    let removed = Item { value: None, ..service(2) };
    receive(&mut session, items(&[removed], Extent::Complete));
    assert!(
        is_activated(&mut configuration, &session),
        "a deleted item shows that there was a configuration"
    );
}
