use super::{at, peer, replica};
use crate::state_machine::quorum::Quorum;
use crate::state_machine::Action;
use kitepass_coordination::protocol::{Heartbeat, Message};

const DIGEST: u64 = 5;

fn quorum_with_peers(numbers: impl IntoIterator<Item = u64>) -> Quorum {
    let mut quorum = Quorum::new(at(0), &replica(0).name(), 1);
    for number in numbers {
        assert_eq!(quorum.connect(at(0), &peer(number)), None);
    }
    quorum
}

fn serving(coordinator_term: u64) -> Heartbeat {
    Heartbeat { digest: DIGEST, is_serving: true, coordinator_term, ..Heartbeat::default() }
}

#[test]
fn heartbeat_is_due_twice_per_second() {
    let mut quorum = quorum_with_peers([]);
    let due: Vec<i64> =
        (0..=1_200).step_by(100).filter(|ms| quorum.start_heartbeat_if_due(at(*ms))).collect();
    assert_eq!(due, [500, 1_000]);
}

#[test]
fn clients_are_redirected_to_serving_peer_with_latest_message() {
    let mut quorum = quorum_with_peers([1, 2, 3]);
    assert_eq!(quorum.serving_address(at(0)), None);
    for (number, millis) in [(1, 100), (2, 300)] {
        let node_id = format!("s{number}");
        quorum.message_received(at(millis), &node_id);
        quorum.receive_heartbeat(&node_id, &serving(0), DIGEST);
    }
    quorum.message_received(at(400), "s3");
    assert_eq!(quorum.serving_address(at(400)), Some("10.0.0.2"));
    assert_eq!(quorum.serving_address(at(1_800)), Some("10.0.0.2"));
    assert_eq!(quorum.serving_address(at(1_801)), None, "the peer is unresponsive");
}

#[test]
fn silent_peer_is_unresponsive() {
    let mut quorum = quorum_with_peers([1, 2]);
    quorum.message_received(at(1_000), "s2");
    assert!(quorum.unresponsive_peers(at(1_500)).is_empty());
    assert_eq!(quorum.unresponsive_peers(at(1_501)), ["s1"]);
    assert!(quorum.is_responsive(at(2_500), &replica(2).name()));
    assert!(!quorum.is_responsive(at(2_501), &replica(2).name()));
}

#[test]
fn two_consecutive_digest_mismatches_make_a_peer_stale() {
    let mut quorum = quorum_with_peers([1]);
    let differing = Heartbeat { digest: DIGEST + 1, ..Heartbeat::default() };
    let heartbeats = [&differing, &serving(0), &differing, &differing, &differing, &differing];
    let is_stale = heartbeats.map(|heartbeat| quorum.receive_heartbeat("s1", heartbeat, DIGEST));
    assert_eq!(is_stale, [false, false, false, true, false, true]);
}

#[test]
fn coordinator_is_peer_reporting_highest_term() {
    let mut quorum = quorum_with_peers([1, 2, 3]);
    assert_eq!(quorum.coordinator(), None);
    quorum.receive_heartbeat("s1", &serving(4), DIGEST);
    quorum.receive_heartbeat("s2", &serving(3), DIGEST);
    assert_eq!(quorum.coordinator(), Some("s1"));
    quorum.receive_heartbeat("s1", &serving(0), DIGEST);
    assert_eq!(quorum.coordinator(), Some("s2"));
}

#[test]
fn new_replica_at_a_node_id_replaces_previous_one() {
    let mut quorum = quorum_with_peers([1]);
    let successor = kitepass_coordination::protocol::Hello { replica_id: 99, ..peer(1) };
    assert_eq!(quorum.connect(at(10), &successor), Some(replica(1).name()));
    assert!(!quorum.is_peer_connected(&replica(1).name()));
}

#[test]
fn each_peer_is_sent_a_heartbeat() {
    let mut quorum = quorum_with_peers([1, 2]);
    let actions = quorum.heartbeats(at(0), &serving(0));
    let to: Vec<&str> = actions
        .iter()
        .map(|action| match action {
            Action::SendToPeer(node_id, Message::Heartbeat(heartbeat)) if heartbeat.is_serving => node_id,
            other => panic!("{other:?}"),
        })
        .map(String::as_str)
        .collect();
    assert_eq!(to, ["s1", "s2"]);
}
