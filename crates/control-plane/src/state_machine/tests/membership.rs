use super::{at, peer, replica};
use crate::state_machine::membership::Membership;
use crate::state_machine::quorum::Quorum;
use kitepass_coordination::membership::{ReplicaObservations, ReplicaSet};
use kitepass_coordination::protocol::{Heartbeat, Hello};
use std::collections::BTreeSet;

fn replica_set() -> ReplicaSet {
    ReplicaSet { replicas: (0..3).map(replica).collect(), version: 4 }
}

fn quorum(numbers: impl IntoIterator<Item = u64>) -> Quorum {
    let mut quorum = Quorum::new(at(0), &replica(0).name(), 1);
    for number in numbers {
        quorum.connect(at(0), &Hello { is_complete: true, ..peer(number) });
    }
    quorum
}

fn observe(membership: &mut Membership, quorum: &Quorum, millis: i64) -> ReplicaObservations {
    membership.observe(at(millis), &replica_set(), quorum, &replica(0).name(), Some(replica(0)), at(0))
}

fn names(numbers: &[u64]) -> BTreeSet<String> {
    numbers.iter().map(|number| replica(*number).name()).collect()
}

#[test]
fn replica_that_never_connected_is_unresponsive_after_timeout_from_start() {
    let (mut membership, quorum) = (Membership::default(), quorum([1]));
    let observations = observe(&mut membership, &quorum, 1_000);
    assert_eq!(observations.complete, [replica(0), replica(1)].into());
    assert!(observations.unresponsive.is_empty());
    assert_eq!(observe(&mut membership, &quorum, 1_001).unresponsive, names(&[2]));
}

#[test]
fn disconnected_replica_is_unresponsive_after_timeout_until_it_reconnects() {
    let (mut membership, mut quorum) = (Membership::default(), quorum([1, 2]));
    let disconnected = quorum.remove("s2").expect("s2 was connected");
    membership.replica_disconnected(at(5_000), disconnected.name, at(4_900));
    assert!(observe(&mut membership, &quorum, 6_000).unresponsive.is_empty());
    assert_eq!(observe(&mut membership, &quorum, 6_001).unresponsive, names(&[2]));
    quorum.connect(at(6_002), &peer(2));
    membership.replica_connected(&replica(2).name());
    assert!(observe(&mut membership, &quorum, 9_000).unresponsive.is_empty());
}

#[test]
fn replica_shutting_down_is_remembered_after_it_disconnects() {
    let (mut membership, mut quorum) = (Membership::default(), quorum([1, 2]));
    let heartbeat = Heartbeat { is_shutting_down: true, ..Heartbeat::default() };
    quorum.receive_heartbeat("s2", &heartbeat, 0);
    assert_eq!(observe(&mut membership, &quorum, 100).shutting_down, names(&[2]));
    quorum.remove("s2");
    assert_eq!(observe(&mut membership, &quorum, 200).shutting_down, names(&[2]));
}

/// The removed replica is still connected and its disk is complete, so it must not be added again as a new replica.
#[test]
fn removed_replica_shutting_down_is_remembered_while_it_is_connected() {
    let (mut membership, mut quorum) = (Membership::default(), quorum([1, 2, 3]));
    let heartbeat = Heartbeat { is_shutting_down: true, is_complete: true, ..Heartbeat::default() };
    quorum.receive_heartbeat("s3", &heartbeat, 0);
    let replica_set = replica_set();
    assert!(!replica_set.contains(&replica(3).name()), "s3 was removed");
    for millis in [100, 200] {
        assert_eq!(observe(&mut membership, &quorum, millis).shutting_down, names(&[3]));
    }
    // Its next incarnation may be added like any other replica.
    quorum.connect(at(300), &peer(3));
    membership.replica_connected(&replica(3).name());
    assert!(observe(&mut membership, &quorum, 400).shutting_down.is_empty());
}

/// The members of replica sets by their numbers.
fn members(version: u64, numbers: &[u64]) -> ReplicaSet {
    ReplicaSet { replicas: numbers.iter().map(|number| replica(*number)).collect(), version }
}

/// The possible successors of s2, whose last message arrived at 4,900 ms.
fn successors_of_lost(
    membership: &mut Membership,
    replica_set: &ReplicaSet,
    millis: i64,
) -> BTreeSet<String> {
    let quorum = quorum([1, 3, 4]);
    let own_name = replica(0).name();
    let observed = membership.observe(at(millis), replica_set, &quorum, &own_name, Some(replica(0)), at(0));
    observed.successors.get(&replica(2).name()).cloned().unwrap_or_default()
}

#[test]
fn member_that_joined_since_a_loss_may_be_the_successor() {
    let mut membership = Membership::default();
    membership.track(at(0), &members(4, &[0, 1, 2]));
    membership.track(at(4_800), &members(5, &[0, 1, 2, 4]));
    membership.replica_disconnected(at(6_000), replica(2).name(), at(4_900));
    // s4 joined before, in another zone.
    assert_eq!(successors_of_lost(&mut membership, &members(5, &[0, 1, 2, 4]), 7_100), names(&[]));
    membership.track(at(5_000), &members(6, &[0, 1, 2, 3, 4]));
    let current = members(6, &[0, 1, 2, 3, 4]);
    assert_eq!(successors_of_lost(&mut membership, &current, 6_900), names(&[]), "it may come back");
    assert_eq!(successors_of_lost(&mut membership, &current, 7_100), names(&[3]));
    // Whoever shuts down may be replaced by a member that joined before.
    membership.replica_shutting_down(&replica(2).name());
    assert_eq!(successors_of_lost(&mut membership, &current, 6_900), names(&[3, 4]));
}

/// Otherwise one new machine could take the places of several that are briefly silent one after another.
#[test]
fn successor_replaces_one_member_only() {
    let mut membership = Membership::default();
    membership.track(at(0), &members(4, &[0, 1, 2, 5]));
    membership.replica_disconnected(at(5_000), replica(2).name(), at(4_900));
    membership.track(at(5_100), &members(5, &[0, 1, 2, 3, 5]));
    membership.track(at(5_200), &members(6, &[0, 1, 2, 3]));
    assert_eq!(successors_of_lost(&mut membership, &members(6, &[0, 1, 2, 3]), 7_100), names(&[]));
}

#[test]
fn replica_is_abandoned_after_a_long_silence() {
    let (mut membership, mut quorum) = (Membership::default(), quorum([1, 2]));
    quorum.remove("s2");
    membership.replica_disconnected(at(5_000), replica(2).name(), at(4_900));
    assert!(observe(&mut membership, &quorum, 35_000).abandoned.is_empty());
    assert_eq!(observe(&mut membership, &quorum, 35_001).abandoned, names(&[2]));
    quorum.connect(at(35_002), &peer(2));
    assert!(observe(&mut membership, &quorum, 70_000).abandoned.is_empty());
}

#[test]
fn unfinished_change_is_taken_over_after_timeout_and_jitter() {
    let mut membership = Membership::default();
    let incoming = replica_set();
    let mut is_due = |millis: i64| membership.should_take_over(at(millis), &incoming, |_| 200_000);
    assert!(!is_due(0), "the change has just been observed");
    assert!(!is_due(1_699));
    assert!(is_due(1_700));
    assert!(!is_due(1_800), "the timeout has restarted");
    assert!(is_due(3_400));
}

#[test]
fn timeout_starts_again_for_each_change() {
    let mut membership = Membership::default();
    assert!(!membership.should_take_over(at(0), &replica_set(), |_| 0));
    let next = ReplicaSet { version: 5, ..replica_set() };
    assert!(!membership.should_take_over(at(1_500), &next, |_| 0));
    membership.change_finished();
    assert!(!membership.should_take_over(at(9_000), &next, |_| 0));
}
