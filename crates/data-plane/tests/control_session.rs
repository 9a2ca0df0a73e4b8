//! How a control session protects the gateway from a control process that is isolated from the quorum. The tests pass
//! in the messages that such a control process would send.

use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::protocol::{
    BucketDigests, Extent, Heartbeat, Hello, ItemMessage, Items, MembershipUpdate, Message,
};
use kitepass_data_plane::control_session::{
    CandidateOutcome, ControlSession, SessionState, SessionUpdates, TickOutcome,
};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn hello(address: &str, is_serving: bool) -> Hello {
    Hello {
        node_id: address.into(),
        address: address.into(),
        is_control_plane: true,
        is_serving,
        ..Hello::default()
    }
}

fn item(version: u64) -> Item {
    Item { kind: Kind::Service, name: "l".into(), version, value: Some("{}".into()) }
}

fn items(version: u64) -> Message {
    Message::Items(Items::complete(vec![ItemMessage::from(&item(version))]))
}

/// The end of a synchronization. The control process holds this version of the item, or nothing.
fn sync_finished(version: Option<u64>) -> Message {
    let mut item_store = ItemStore::new();
    version.into_iter().for_each(|version| _ = item_store.merge(item(version)));
    Message::BucketDigests(BucketDigests {
        digests: item_store.bucket_hashes().to_vec(),
        ends_transfer: true,
    })
}

/// Creates a gateway that connects to the control process it has selected.
fn session(now: i64, bootstrap: &[&str]) -> (ControlSession, String) {
    let hello = Hello { node_id: "g".into(), ..Hello::default() };
    let mut session =
        ControlSession::new(hello, bootstrap.iter().map(ToString::to_string).collect(), BTreeMap::new());
    let address = session.next_control_process(at(now), 0).expect("a control process is known");
    (session, address)
}

fn receive(session: &mut ControlSession, now: i64, messages: Vec<Message>) -> SessionUpdates {
    let mut updates = SessionUpdates::default();
    messages.into_iter().for_each(|message| session.receive(at(now), message, &mut updates));
    updates
}

/// Creates a gateway that has synchronized with the first of these control processes, and knows the zones of some.
fn synced_session(bootstrap: &[&str], zones: &[(&str, &str)]) -> ControlSession {
    let (mut session, address) = session(0, bootstrap);
    assert_eq!(session.candidate_hello(at(10), &hello(&address, true)), CandidateOutcome::Promoted);
    let (control_addresses, control_zones) =
        zones.iter().map(|(address, zone)| (address.to_string(), zone.to_string())).unzip();
    let membership = MembershipUpdate { control_addresses, control_zones, ..MembershipUpdate::default() };
    receive(&mut session, 20, vec![sync_finished(None), Message::MembershipUpdate(membership)]);
    assert_eq!(session.state(), SessionState::Synced);
    session
}

fn serving_heartbeat() -> Message {
    Message::Heartbeat(Heartbeat { is_serving: true, ..Heartbeat::default() })
}

const NO_ACTION: TickOutcome = TickOutcome { should_close_session: false, should_close_candidate: false };

#[test]
fn a_first_configuration_is_not_taken_from_an_isolated_control_process() {
    // The control process reports its isolation in its hello, or in a heartbeat before all items have arrived.
    let membership = || Message::MembershipUpdate(MembershipUpdate::default());
    let (mut isolated, address) = session(0, &["a"]);
    assert_eq!(isolated.candidate_hello(at(100), &hello(&address, false)), CandidateOutcome::Rejected);
    assert_eq!(isolated.state(), SessionState::Disconnected);

    let (mut session, address) = session(0, &["a"]);
    assert_eq!(session.candidate_hello(at(90), &hello(&address, true)), CandidateOutcome::Promoted);
    let messages =
        vec![Message::Heartbeat(Heartbeat::default()), items(3), sync_finished(Some(3)), membership()];
    let updates = receive(&mut session, 100, messages);
    assert!(updates.should_close && updates.items.is_empty() && !session.is_caught_up());
    assert_eq!(session.item_store.len(), 0);

    session.connection_lost("not-current");
    let address = session.next_control_process(at(11_000), 0).expect("a control process is known");
    assert_eq!(session.candidate_hello(at(11_010), &hello(&address, true)), CandidateOutcome::Promoted);
    let updates = receive(&mut session, 11_100, vec![items(3), sync_finished(Some(3)), membership()]);
    assert!(!updates.should_close && session.is_caught_up() && updates.items.len() == 1);
    // Once synchronized, the gateway reports that and stays, as all control processes are isolated.
    let updates = receive(&mut session, 11_200, vec![Message::Heartbeat(Heartbeat::default()), items(4)]);
    assert!(!updates.should_close && updates.items.len() == 1);
    for now in (11_300..15_000).step_by(100) {
        receive(&mut session, now, vec![Message::Heartbeat(Heartbeat::default())]);
        assert_eq!(session.tick(at(now)), NO_ACTION);
        assert_eq!(session.next_control_process(at(now), 0), None, "no other control process is known");
    }
    let is_complete =
        |message: &Message| matches!(message, Message::Heartbeat(heartbeat) if heartbeat.is_serving);
    assert!(session.outgoing.iter().any(is_complete));
    // After so long without synchronization the gateway starts again with an empty item store. It is treated like one
    // that has never synchronized, and keeps serving with the items it has.
    session.connection_lost("closed");
    let later = 4_000_000;
    let address = session.next_control_process(at(later), 0).expect("a control process is known");
    assert!(matches!(&session.candidate_outgoing[0], Message::Hello(hello) if !hello.is_serving));
    assert_eq!(session.candidate_hello(at(later), &hello(&address, false)), CandidateOutcome::Rejected);
    assert_eq!(session.item_store.get(Kind::Service, "l").map(|item| item.version), Some(4));
}

/// When its control process becomes isolated, a gateway waits for a while, then tries each other one once, and keeps
/// its session meanwhile.
#[test]
fn each_other_control_process_is_tried_once_where_all_are_isolated() {
    let mut session = synced_session(&["a", "b", "c"], &[]);
    let mut tried = Vec::new();
    for now in (200..9_000).step_by(100) {
        receive(&mut session, now, vec![Message::Heartbeat(Heartbeat::default())]);
        assert_eq!(session.tick(at(now)), NO_ACTION);
        if let Some(address) = session.next_control_process(at(now), 0) {
            assert_eq!(session.candidate_hello(at(now), &hello(&address, false)), CandidateOutcome::Rejected);
            tried.push((now, address));
        }
        assert_eq!(session.state(), SessionState::Synced);
    }
    assert_eq!(tried.first().map(|(now, _)| *now), Some(1_700), "{tried:?}");
    let mut addresses: Vec<String> = tried.into_iter().map(|(_, address)| address).collect();
    addresses.sort();
    assert_eq!(addresses, ["b", "c"]);
}

/// The gateway's own link is congested: nothing arrives from its control process, and no other one answers.
#[test]
fn a_session_is_kept_while_no_other_control_process_answers() {
    let mut session = synced_session(&["a", "b", "c"], &[]);
    let mut opened = Vec::new();
    for now in (100..9_900).step_by(100) {
        let outcome = session.tick(at(now));
        assert!(!outcome.should_close_session, "at {now} ms");
        if outcome.should_close_candidate {
            session.candidate_lost("timed-out");
        }
        opened.extend(session.next_control_process(at(now), 0).map(|address| (now, address)));
        assert_eq!(session.state(), SessionState::Synced);
    }
    // The first attempt at each address has 1.4 s; the next ones have two and four times as long.
    let times: Vec<i64> = opened.iter().map(|(now, _)| *now).collect();
    assert_eq!(times, [1_700, 3_200, 4_700, 7_600], "{opened:?}");
    assert!(opened.iter().all(|(_, address)| address != "a"), "{opened:?}");
    // Delayed messages arrive, and the session continues as before.
    let updates = receive(&mut session, 9_950, vec![items(4), serving_heartbeat()]);
    assert_eq!((updates.items.len(), updates.should_close), (1, false));
    assert_eq!(
        session.tick(at(9_960)),
        TickOutcome { should_close_session: false, should_close_candidate: true }
    );
    session.candidate_lost("heard-again");
    assert_eq!(session.next_control_process(at(9_970), 0), None);
}

#[test]
fn a_session_without_input_for_ten_seconds_is_closed() {
    let mut session = synced_session(&["a"], &[]);
    assert_eq!(session.tick(at(10_000)), NO_ACTION);
    assert!(session.tick(at(10_030)).should_close_session);
    session.connection_lost("timed-out");
    assert!(session.next_control_process(at(10_040), 0).is_some());
}

/// The control process has failed or is partitioned: the gateway moves to another one as soon as it notices.
#[test]
fn a_session_moves_to_a_control_process_that_answers() {
    let mut session = synced_session(&["a", "b"], &[]);
    assert_eq!(session.next_control_process(at(1_620), 0), None);
    assert_eq!(session.next_control_process(at(1_630), 0).as_deref(), Some("b"));
    assert_eq!(session.candidate_outgoing.len(), 2, "a hello and the digests of the gateway's items");
    assert_eq!(session.candidate_hello(at(1_700), &hello("b", true)), CandidateOutcome::Promoted);
    assert!(matches!(session.state(), SessionState::Syncing(_)));
    receive(&mut session, 1_800, vec![sync_finished(None)]);
    assert_eq!((session.state(), session.tick(at(1_900))), (SessionState::Synced, NO_ACTION));
}

#[test]
fn a_session_moves_to_a_nearer_control_process_once_it_answers() {
    let zones = [("a", "z1"), ("b", "z2")];
    let gateway = Hello { node_id: "g".into(), zone: "z2".into(), ..Hello::default() };
    let mut session = ControlSession::new(gateway, vec!["a".into()], BTreeMap::new());
    session.next_control_process(at(0), 0).expect("a control process is known");
    session.candidate_hello(at(10), &hello("a", true));
    let (control_addresses, control_zones) =
        zones.map(|(address, zone)| (address.into(), zone.into())).into_iter().unzip();
    let membership = MembershipUpdate { control_addresses, control_zones, ..MembershipUpdate::default() };
    receive(&mut session, 20, vec![sync_finished(None), Message::MembershipUpdate(membership)]);
    receive(&mut session, 2_900, vec![serving_heartbeat()]);
    assert_eq!(session.next_control_process(at(2_900), 0), None, "the session is too young to be replaced");
    receive(&mut session, 3_100, vec![serving_heartbeat()]);
    assert_eq!(session.next_control_process(at(3_100), 0).as_deref(), Some("b"));
    // The nearer control process does not answer, and the session continues.
    receive(&mut session, 4_600, vec![serving_heartbeat()]);
    assert_eq!(
        session.tick(at(4_600)),
        TickOutcome { should_close_session: false, should_close_candidate: true }
    );
    session.candidate_lost("timed-out");
    assert_eq!(session.next_control_process(at(4_700), 0), None, "it is not retried for a while");
    receive(&mut session, 15_200, vec![serving_heartbeat()]);
    assert_eq!(session.next_control_process(at(15_200), 0).as_deref(), Some("b"));
    assert_eq!(session.candidate_hello(at(15_300), &hello("b", true)), CandidateOutcome::Promoted);
}

/// Returns items with the given extent.
fn part(version: u64, extent: Extent) -> Message {
    Message::Items(Items { items: vec![ItemMessage::from(&item(version))], extent: extent.into() })
}

fn agreeing_heartbeat(session: &ControlSession, is_transferring: bool) -> Message {
    let digest = session.item_store.digest();
    Message::Heartbeat(Heartbeat { digest, is_serving: true, is_transferring, ..Heartbeat::default() })
}

#[test]
fn a_change_in_several_messages_is_complete_with_the_last() {
    let mut session = synced_session(&["a"], &[]);
    assert!(session.holds_complete_changes());
    let expected_states = [
        (part(4, Extent::Continued), false),
        (serving_heartbeat(), false),
        (part(5, Extent::Continued), false),
        (part(6, Extent::Complete), true),
        (part(7, Extent::Complete), true),
    ];
    for (message, expected) in expected_states {
        receive(&mut session, 100, vec![message.clone()]);
        assert_eq!(session.holds_complete_changes(), expected, "{message:?}");
    }
}

#[test]
fn a_transfer_by_buckets_is_complete_at_its_end() {
    let mut session = synced_session(&["a"], &[]);
    receive(&mut session, 100, vec![part(4, Extent::Transfer), part(5, Extent::Complete)]);
    assert!(!session.holds_complete_changes(), "a complete change does not end a transfer in progress");
    receive(&mut session, 200, vec![sync_finished(Some(5))]);
    assert!(session.holds_complete_changes());
}

/// If the end of a change was lost, the next heartbeat with an equal digest completes the change, unless the control
/// process itself may hold parts of changes.
#[test]
fn equal_digests_complete_a_change_whose_end_was_lost() {
    let mut session = synced_session(&["a"], &[]);
    receive(&mut session, 100, vec![part(4, Extent::Continued)]);
    let transferring = agreeing_heartbeat(&session, true);
    receive(&mut session, 200, vec![transferring, serving_heartbeat()]);
    assert!(!session.holds_complete_changes());
    let agreeing = agreeing_heartbeat(&session, false);
    receive(&mut session, 300, vec![agreeing]);
    assert!(session.holds_complete_changes());
}

#[test]
fn a_change_cut_off_with_its_session_is_incomplete_until_the_next_synchronization() {
    let mut session = synced_session(&["a"], &[]);
    receive(&mut session, 100, vec![part(4, Extent::Continued)]);
    session.connection_lost("closed");
    assert!(!session.holds_complete_changes());
    session.next_control_process(at(1_000), 0).expect("a control process is known");
    session.candidate_hello(at(1_010), &hello("a", true));
    receive(&mut session, 1_020, vec![part(6, Extent::Complete)]);
    assert!(!session.holds_complete_changes());
    receive(&mut session, 1_030, vec![sync_finished(Some(6))]);
    assert!(session.holds_complete_changes());
}
