//! Contact by what peers give back: one that hears nothing, one that nobody hears, late words, earlier lives, lies.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_coordination::quorum_contact::{ContactState, QuorumContact, CONTACT};
use kitepass_time::{Duration, Timestamp};
use rstest::rstest;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn replica_set(replicas: usize) -> ReplicaSet {
    let replica = |n| Replica { node_id: format!("s{n}"), ..Replica::default() };
    ReplicaSet { replicas: (0..replicas).map(replica).collect(), version: 1 }
}

/// Seats that beat every 500 ms over ways that take 50 ms; `passes` says which words come through.
struct Net {
    replica_set: ReplicaSet,
    all: Vec<QuorumContact>,
    wire: Vec<(i64, usize, usize, u32, u32)>,
}

impl Net {
    fn new(replicas: usize) -> Net {
        let names: Vec<String> = (0..replicas).map(|n| format!("s{n}")).collect();
        let mut all: Vec<QuorumContact> =
            names.iter().enumerate().map(|(n, name)| QuorumContact::new(name, n as u32 * 1000)).collect();
        for contact in &mut all {
            names.iter().enumerate().for_each(|(n, name)| contact.peer_connected(at(0), name, n as u64 + 1));
        }
        Net { replica_set: replica_set(replicas), all, wire: Vec::new() }
    }

    /// When each first was out of contact from a moment on, if it was.
    fn run(&mut self, from: i64, to: i64, passes: impl Fn(usize, usize) -> bool) -> Vec<Option<i64>> {
        let replicas = self.all.len();
        let mut out = vec![None; replicas];
        for now in (from..to).step_by(10) {
            let (due, rest) = self.wire.iter().partition(|message| message.0 <= now);
            self.wire = rest;
            for (_, from, to, number, yours) in due {
                if passes(from, to) {
                    self.all[to].heartbeat_received(at(now), &format!("s{from}"), number, yours);
                }
            }
            for (n, out) in out.iter_mut().enumerate() {
                if now % 500 == n as i64 * 70 {
                    for to in (0..replicas).filter(|to| *to != n) {
                        let (number, yours) = self.all[n].next_heartbeat(at(now), &format!("s{to}"));
                        self.wire.push((now + 50, n, to, number, yours));
                    }
                }
                self.all[n].evaluate(at(now), std::slice::from_ref(&self.replica_set));
                if self.all[n].state() == ContactState::Disconnected {
                    out.get_or_insert(now);
                }
            }
        }
        out
    }
}

#[rstest]
#[case::deaf(|_, to| to != 0)]
#[case::mute(|from, _| from != 0)]
#[case::both(|from, to| from != 0 && to != 0)]
/// It hears two and is heard by the two others.
#[case::crossed(|from, to| !(from == 0 && to < 3 || to == 0 && from >= 3))]
fn one_that_is_cut_off_in_any_way_is_out_of_contact_in_time(#[case] passes: fn(usize, usize) -> bool) {
    let mut net = Net::new(5);
    net.run(0, 3_000, |_, _| true);
    assert!(net.all.iter().all(|contact| contact.state() == ContactState::Connected));
    let out = net.run(3_000, 13_000, passes);
    assert!(out[0].is_some_and(|since| since <= 3_000 + CONTACT.micros() / 1000 + 10), "{out:?}");
    assert!(out[1..].iter().all(Option::is_none), "the others are a majority: {out:?}");
    assert!(!net.all[0].is_connected(at(13_000)));
    net.run(13_000, 14_200, |_, _| true);
    assert_eq!(net.all[0].state(), ContactState::Connected, "a beat each way is enough");
}

#[test]
fn a_minority_of_any_size_is_out_and_one_seat_alone_is_in() {
    let mut net = Net::new(6);
    net.run(0, 3_000, |_, _| true);
    // Three and three: neither half is a majority.
    let out = net.run(3_000, 6_000, |from, to| (from < 3) == (to < 3));
    assert!(out.iter().all(Option::is_some), "{out:?}");
    let mut alone = QuorumContact::new("s0", 7);
    assert_eq!(alone.evaluate(at(0), &[replica_set(1)]), Some(ContactState::Connected));
    // Both casts count while one is brought in, and no cast at all is no contact.
    assert_eq!(alone.evaluate(at(0), &[replica_set(1), replica_set(3)]), Some(ContactState::Disconnected));
    assert_eq!(alone.evaluate(at(0), &[replica_set(1)]), Some(ContactState::Connected));
    assert_eq!(alone.evaluate(at(0), &[]), Some(ContactState::Disconnected));
}

#[test]
fn a_proof_is_as_old_as_the_number_that_it_gives_back_however_late_it_comes() {
    let mut contact = QuorumContact::new("s0", 0);
    let replica_sets = [replica_set(3)];
    contact.peer_connected(at(0), "s1", 1);
    let (early, _) = contact.next_heartbeat(at(0), "s1");
    let (later, _) = contact.next_heartbeat(at(1_000), "s1");
    contact.heartbeat_received(at(1_100), "s1", 5, later);
    contact.evaluate(at(1_100), &replica_sets);
    assert_eq!(
        (contact.state(), contact.age(at(1_100))),
        (ContactState::Connected, Some(Duration::from_micros(100_000)))
    );
    // An older number that comes after takes nothing back, and adds nothing.
    contact.heartbeat_received(at(2_900), "s1", 6, early);
    contact.evaluate(at(2_900), &replica_sets);
    assert_eq!(contact.last_contact("s1"), Some(at(1_000)));
    // A process that stood still meanwhile is out at once, before anything is reckoned anew.
    assert!(contact.is_connected(at(3_000)) && !contact.is_connected(at(3_001)));
    assert_eq!(contact.evaluate(at(3_001), &replica_sets), Some(ContactState::Disconnected));
    // An answer is as old as what it answers.
    contact.response_received(at(3_050), "s1", at(2_000));
    assert_eq!(contact.last_contact("s1"), Some(at(2_000)));
    contact.response_received(at(3_060), "s1", at(500));
    contact.response_received(at(3_060), "s2", at(3_000));
    assert_eq!((contact.last_contact("s1"), contact.last_contact("s2")), (Some(at(2_000)), None));
    // What it gives back itself is the last that it heard.
    assert_eq!(contact.next_heartbeat(at(3_100), "s1").1, 6);
}

#[test]
fn numbers_of_an_earlier_life_of_another_peer_and_made_up_ones_prove_nothing() {
    let mut first = QuorumContact::new("s0", 1_000);
    first.peer_connected(at(0), "s1", 1);
    let (old, _) = first.next_heartbeat(at(0), "s1");

    let mut contact = QuorumContact::new("s0", 5_000);
    contact.peer_connected(at(0), "s1", 1);
    contact.peer_connected(at(0), "s2", 1);
    let (one, _) = contact.next_heartbeat(at(100), "s1");
    let (two, _) = contact.next_heartbeat(at(100), "s2");
    for lie in [old, two, two + 1, 0, u32::MAX] {
        contact.heartbeat_received(at(200), "s1", 1, lie);
        assert_eq!(contact.last_contact("s1"), None, "{lie}");
    }
    // A stranger's word, and one to a peer that never came.
    contact.heartbeat_received(at(200), "s9", 1, one);
    assert_eq!((contact.last_contact("s9"), contact.next_heartbeat(at(200), "s9")), (None, (0, 0)));
    contact.heartbeat_received(at(200), "s1", 1, one);
    assert_eq!(contact.last_contact("s1"), Some(at(100)));
    // The same life again keeps its proof; the next one has heard nothing yet, and what the one before heard counts no more.
    contact.peer_connected(at(300), "s1", 1);
    assert_eq!(contact.last_contact("s1"), Some(at(100)));
    contact.peer_connected(at(300), "s1", 2);
    contact.heartbeat_received(at(400), "s1", 1, one);
    assert_eq!(contact.last_contact("s1"), None);
    // Of a great many numbers the newest are remembered; who is silent for long is forgotten.
    let (long_ago, _) = contact.next_heartbeat(at(500), "s1");
    (0..100).for_each(|_| _ = contact.next_heartbeat(at(600), "s1"));
    contact.heartbeat_received(at(700), "s1", 1, long_ago);
    assert_eq!(contact.last_contact("s1"), None);
    contact.sweep(at(70_000));
    assert_eq!(contact.next_heartbeat(at(70_000), "s1"), (0, 0));
}
