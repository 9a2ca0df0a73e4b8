//! Quorum contact: under one-way and two-way partitions, with delayed heartbeats, and with echoed sequence numbers that
//! prove nothing, because this incarnation has not sent them to that peer.

use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_coordination::quorum_contact::{ContactState, QuorumContact, CONTACT_TIMEOUT};
use kitepass_time::{Duration, Timestamp};
use rstest::rstest;

/// The time this many milliseconds after the start.
fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn replica_set(replicas: usize) -> ReplicaSet {
    let replica = |n| Replica { node_id: format!("s{n}"), ..Replica::default() };
    ReplicaSet { replicas: (0..replicas).map(replica).collect(), version: 1 }
}

const HEARTBEAT_INTERVAL_MS: i64 = 500;
/// The one-way latency of each link.
const LATENCY_MS: i64 = 50;

/// A heartbeat that has been sent and has not arrived yet.
struct HeartbeatInFlight {
    /// When it arrives, in milliseconds.
    due_at: i64,
    from: usize,
    to: usize,
    sequence: u32,
    echoed_sequence: u32,
}

/// A simulated network of replicas, all of which send each other heartbeats.
struct Network {
    replica_set: ReplicaSet,
    contacts: Vec<QuorumContact>,
    in_flight: Vec<HeartbeatInFlight>,
}

impl Network {
    fn new(replicas: usize) -> Network {
        let names: Vec<String> = (0..replicas).map(|n| format!("s{n}")).collect();
        let new_contact = |(n, name): (usize, &String)| QuorumContact::new(name, n as u32 * 1000);
        let mut contacts: Vec<QuorumContact> = names.iter().enumerate().map(new_contact).collect();
        for contact in &mut contacts {
            names.iter().enumerate().for_each(|(n, name)| contact.peer_connected(at(0), name, n as u64 + 1));
        }
        Network { replica_set: replica_set(replicas), contacts, in_flight: Vec::new() }
    }

    /// Runs the simulation from `start` to `end`, in milliseconds. Returns when each replica was first disconnected, if
    /// it was. `is_delivered` decides by sender and receiver whether a heartbeat arrives.
    fn run(&mut self, start: i64, end: i64, is_delivered: impl Fn(usize, usize) -> bool) -> Vec<Option<i64>> {
        let mut first_disconnected_at = vec![None; self.contacts.len()];
        for now in (start..end).step_by(10) {
            self.deliver(now, &is_delivered);
            for (n, first_disconnected_at) in first_disconnected_at.iter_mut().enumerate() {
                if now % HEARTBEAT_INTERVAL_MS == n as i64 * 70 {
                    self.send(now, n);
                }
                let contact = &mut self.contacts[n];
                contact.evaluate(at(now), std::slice::from_ref(&self.replica_set));
                if contact.state() == ContactState::Disconnected {
                    first_disconnected_at.get_or_insert(now);
                }
            }
        }
        first_disconnected_at
    }

    fn deliver(&mut self, now: i64, is_delivered: impl Fn(usize, usize) -> bool) {
        let due: Vec<HeartbeatInFlight> =
            self.in_flight.extract_if(.., |heartbeat| heartbeat.due_at <= now).collect();
        for HeartbeatInFlight { from, to, sequence, echoed_sequence, .. } in due {
            if is_delivered(from, to) {
                let name = format!("s{from}");
                self.contacts[to].heartbeat_received(at(now), &name, sequence, echoed_sequence);
            }
        }
    }

    fn send(&mut self, now: i64, from: usize) {
        for to in (0..self.contacts.len()).filter(|to| *to != from) {
            let (sequence, echoed_sequence) = self.contacts[from].next_heartbeat(at(now), &format!("s{to}"));
            let due_at = now + LATENCY_MS;
            self.in_flight.push(HeartbeatInFlight { due_at, from, to, sequence, echoed_sequence });
        }
    }
}

#[rstest]
#[case::receives_nothing(|_, to| to != 0)]
#[case::sends_nothing(|from, _| from != 0)]
#[case::fully_isolated(|from, to| from != 0 && to != 0)]
// Replica 0 receives heartbeats from replicas 1 and 2 only, and its own reach only replicas 3 and 4.
#[case::two_one_way_partitions(|from, to| !(from == 0 && to < 3 || to == 0 && from >= 3))]
fn a_partitioned_replica_loses_contact_in_time(#[case] is_delivered: fn(usize, usize) -> bool) {
    let mut network = Network::new(5);
    network.run(0, 3_000, |_, _| true);
    assert!(network.contacts.iter().all(|contact| contact.state() == ContactState::Connected));
    let first_disconnected_at = network.run(3_000, 13_000, is_delivered);
    assert!(
        first_disconnected_at[0]
            .is_some_and(|disconnected_at| disconnected_at <= 3_000 + CONTACT_TIMEOUT.as_micros() / 1000 + 10),
        "{first_disconnected_at:?}"
    );
    assert!(
        first_disconnected_at[1..].iter().all(Option::is_none),
        "the other replicas are a majority: {first_disconnected_at:?}"
    );
    assert!(!network.contacts[0].is_connected(at(13_000)));
    network.run(13_000, 14_200, |_, _| true);
    assert_eq!(
        network.contacts[0].state(),
        ContactState::Connected,
        "one heartbeat in each direction restores contact"
    );
}

/// If this process is busy, several heartbeats of a peer may be waiting to be processed. The first of them echoes an
/// old number. Contact must not be lost because of that before the others have been processed.
#[test]
fn a_backlog_of_heartbeats_is_processed_before_contact_is_lost() {
    let replica_sets = [replica_set(2)];
    let mut contact = QuorumContact::new("s0", 1);
    contact.peer_connected(at(0), "s1", 7);
    let (first, _) = contact.next_heartbeat(at(0), "s1");
    contact.heartbeat_received(at(10), "s1", 1, first);
    assert_eq!(contact.evaluate(at(10), &replica_sets), Some(ContactState::Connected));
    let (second, _) = contact.next_heartbeat(at(1_000), "s1");
    contact.heartbeat_received(at(2_500), "s1", 2, first);
    assert_eq!(contact.check_reconnected(at(2_500), &replica_sets), None);
    assert!(!contact.is_connected(at(2_500)), "the proof of contact is too old to answer requests");
    assert_eq!(contact.state(), ContactState::Connected);
    contact.heartbeat_received(at(2_501), "s1", 3, second);
    assert_eq!(contact.check_reconnected(at(2_501), &replica_sets), None);
    assert!(contact.is_connected(at(2_501)));
    assert_eq!(contact.evaluate(at(2_501), &replica_sets), None);
    assert_eq!(contact.evaluate(at(3_001), &replica_sets), Some(ContactState::Disconnected));
    assert_eq!(contact.check_reconnected(at(3_002), &replica_sets), None);
    contact.response_received(at(3_100), "s1", at(3_050));
    assert_eq!(contact.check_reconnected(at(3_100), &replica_sets), Some(ContactState::Connected));
}

#[test]
fn contact_requires_a_majority_of_each_replica_set() {
    let mut network = Network::new(6);
    network.run(0, 3_000, |_, _| true);
    // A partition into two halves of three replicas each, neither of which is a majority.
    let first_disconnected_at = network.run(3_000, 6_000, |from, to| (from < 3) == (to < 3));
    assert!(first_disconnected_at.iter().all(Option::is_some), "{first_disconnected_at:?}");
    // The only replica of a set is a majority by itself.
    let mut single = QuorumContact::new("s0", 7);
    assert_eq!(single.evaluate(at(0), &[replica_set(1)]), Some(ContactState::Connected));
    // With several replica sets, a majority of each is required. Without any, there is no contact.
    assert_eq!(single.evaluate(at(0), &[replica_set(1), replica_set(3)]), Some(ContactState::Disconnected));
    assert_eq!(single.evaluate(at(0), &[replica_set(1)]), Some(ContactState::Connected));
    assert_eq!(single.evaluate(at(0), &[]), Some(ContactState::Disconnected));
}

#[test]
fn contact_dates_from_the_sending_of_the_echoed_number() {
    let mut contact = QuorumContact::new("s0", 0);
    let replica_sets = [replica_set(3)];
    contact.peer_connected(at(0), "s1", 1);
    let (early, _) = contact.next_heartbeat(at(0), "s1");
    let (later, _) = contact.next_heartbeat(at(1_000), "s1");
    contact.heartbeat_received(at(1_100), "s1", 5, later);
    contact.evaluate(at(1_100), &replica_sets);
    assert_eq!(
        (contact.state(), contact.contact_age(at(1_100))),
        (ContactState::Connected, Some(Duration::from_micros(100_000)))
    );
    // An echo of an older number that arrives later changes nothing.
    contact.heartbeat_received(at(2_900), "s1", 6, early);
    contact.evaluate(at(2_900), &replica_sets);
    assert_eq!(contact.last_contact("s1"), Some(at(1_000)));
    // When a process resumes after a suspension, it is not connected, even before the state is evaluated again.
    assert!(contact.is_connected(at(3_000)) && !contact.is_connected(at(3_001)));
    assert_eq!(contact.evaluate(at(3_001), &replica_sets), Some(ContactState::Disconnected));
    // A response proves contact at the time when the request was sent. An older proof, or one from a peer that never
    // connected, changes nothing.
    contact.response_received(at(3_050), "s1", at(2_000));
    assert_eq!(contact.last_contact("s1"), Some(at(2_000)));
    contact.response_received(at(3_060), "s1", at(500));
    contact.response_received(at(3_060), "s2", at(3_000));
    assert_eq!((contact.last_contact("s1"), contact.last_contact("s2")), (Some(at(2_000)), None));
    // The next heartbeat to a peer echoes the last number received from it.
    assert_eq!(contact.next_heartbeat(at(3_100), "s1").1, 6);
}

#[test]
fn numbers_not_sent_to_this_peer_by_this_incarnation_prove_nothing() {
    let mut first = QuorumContact::new("s0", 1_000);
    first.peer_connected(at(0), "s1", 1);
    let (of_earlier_incarnation, _) = first.next_heartbeat(at(0), "s1");

    let mut contact = QuorumContact::new("s0", 5_000);
    contact.peer_connected(at(0), "s1", 1);
    contact.peer_connected(at(0), "s2", 1);
    let (sent_to_s1, _) = contact.next_heartbeat(at(100), "s1");
    let (sent_to_s2, _) = contact.next_heartbeat(at(100), "s2");
    for invalid in [of_earlier_incarnation, sent_to_s2, sent_to_s2 + 1, 0, u32::MAX] {
        contact.heartbeat_received(at(200), "s1", 1, invalid);
        assert_eq!(contact.last_contact("s1"), None, "{invalid}");
    }
    // A heartbeat from a peer that never connected is ignored, and one to it carries no numbers.
    contact.heartbeat_received(at(200), "s9", 1, sent_to_s1);
    assert_eq!((contact.last_contact("s9"), contact.next_heartbeat(at(200), "s9")), (None, (0, 0)));
    contact.heartbeat_received(at(200), "s1", 1, sent_to_s1);
    assert_eq!(contact.last_contact("s1"), Some(at(100)));
    // Contact is kept if the same incarnation connects again. A new incarnation has received nothing yet, so contact
    // with the previous one does not count for it.
    contact.peer_connected(at(300), "s1", 1);
    assert_eq!(contact.last_contact("s1"), Some(at(100)));
    contact.peer_connected(at(300), "s1", 2);
    contact.heartbeat_received(at(400), "s1", 1, sent_to_s1);
    assert_eq!(contact.last_contact("s1"), None);
    // Only the newest sequence numbers are remembered. A peer that has been silent for too long is removed.
    let (forgotten, _) = contact.next_heartbeat(at(500), "s1");
    (0..100).for_each(|_| _ = contact.next_heartbeat(at(600), "s1"));
    contact.heartbeat_received(at(700), "s1", 1, forgotten);
    assert_eq!(contact.last_contact("s1"), None);
    contact.expire_peers(at(70_000));
    assert_eq!(contact.next_heartbeat(at(70_000), "s1"), (0, 0));
}
