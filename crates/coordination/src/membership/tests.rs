//! Replica sets and their successors. All small layouts are tested exhaustively in `tests/membership`.

use super::*;
use kitepass_config::ItemStore;
use std::collections::BTreeSet;

fn replica_set(locations: &[(&str, &str)]) -> ReplicaSet {
    let replica = |(n, (zone, region)): (usize, &(&str, &str))| Replica {
        node_id: format!("s{n}"),
        address: String::new(),
        zone: zone.to_string(),
        region: region.to_string(),
        replica_id: n as u64,
    };
    ReplicaSet { replicas: locations.iter().enumerate().map(replica).collect(), version: 1 }
}

fn names(numbers: &[usize]) -> BTreeSet<String> {
    numbers.iter().map(|n| replica_set(&SIX).replicas[*n].name()).collect()
}

const SIX: [(&str, &str); 6] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];

/// Checks every write quorum, every loss that must be tolerated, and every read quorum after that loss.
#[test]
fn read_quorums_after_a_loss_intersect_every_write_quorum() {
    let replica_set = replica_set(&SIX);
    let subsets = || (0u32..64).map(|bits| (0..6).filter(|n| bits >> n & 1 == 1).collect::<Vec<usize>>());
    let losses: Vec<Vec<usize>> =
        (0..6).map(|n| vec![n]).chain([vec![0, 1], vec![2, 3], vec![4, 5]]).collect();
    for accepted in subsets().filter(|set| replica_set.is_write_quorum(&names(set))) {
        for lost in &losses {
            let left = |set: &[usize]| set.iter().copied().filter(|n| !lost.contains(n)).collect::<Vec<_>>();
            assert!(!left(&accepted).is_empty(), "{accepted:?} lost with {lost:?}");
            for read in subsets().filter(|set| replica_set.is_read_quorum(&names(&left(set)))) {
                assert!(left(&read).iter().any(|n| accepted.contains(n)), "{accepted:?} {lost:?} {read:?}");
            }
        }
    }
}

fn observations(
    complete: &[&Replica],
    shutting_down: &[usize],
    unresponsive: &[usize],
) -> ReplicaObservations {
    ReplicaObservations {
        complete: complete.iter().map(|replica| (*replica).clone()).collect(),
        shutting_down: names(shutting_down),
        unresponsive: names(unresponsive),
        ..ReplicaObservations::default()
    }
}

/// The observations with these members as possible successors of others.
fn with_successors(
    observed: ReplicaObservations,
    successors: &[(&Replica, &Replica)],
) -> ReplicaObservations {
    let mut observed = observed;
    for (lost, successor) in successors {
        observed.successors.entry(lost.name()).or_default().insert(successor.name());
    }
    observed
}

/// A new replica in a zone of [`SIX`].
fn joining(number: u64, zone: &str) -> Replica {
    let (zone, region) = SIX.into_iter().find(|(name, _)| *name == zone).expect("a zone of the layout");
    let (zone, region) = (zone.to_owned(), region.to_owned());
    Replica { node_id: format!("new{number}"), address: String::new(), zone, region, replica_id: number }
}

/// Two replicas of one zone are lost together, and one is found unresponsive before the other. An older member is no
/// replacement either, so a silence costs no replica its place.
#[test]
fn only_a_new_replica_that_responds_is_a_replacement() {
    let old = replica_set(&[("a1", "a"), ("a1", "a"), ("b1", "b"), ("c1", "c")]);
    let [one, other, third, fourth] = &old.replicas[..] else { panic!("four replicas") };
    assert_eq!(old.successor(&observations(&[third, fourth], &[], &[0])), None);
    let all_respond = observations(&[other, third, fourth], &[], &[0]);
    assert_eq!(old.successor(&all_respond), None);
    let next = old.successor(&with_successors(all_respond, &[(one, other)])).expect("the other is new");
    assert!(!next.contains(&one.name()) && next.contains(&other.name()));
    let silent = with_successors(observations(&[third, fourth], &[], &[0]), &[(one, other)]);
    assert_eq!(old.successor(&silent), None);
}

/// Each new replica replaces one that is gone, the closest one, wherever it is.
#[test]
fn a_new_replica_replaces_the_closest_one_that_is_gone() {
    let old = replica_set(&SIX);
    let running = |lost: &[usize], new: &[&Replica]| -> Vec<Replica> {
        let members = old.replicas.iter().enumerate().filter(|(n, _)| !lost.contains(n));
        members.map(|(_, replica)| replica.clone()).chain(new.iter().map(|new| (*new).clone())).collect()
    };
    let next = |lost: &[usize], shutting_down: &[usize], new: &[&Replica]| {
        let complete = running(lost, new);
        let complete: Vec<&Replica> = complete.iter().collect();
        let next = old.successor(&observations(&complete, shutting_down, lost)).expect("replicas join");
        next.replicas.iter().map(|replica| replica.node_id.clone()).collect::<Vec<String>>()
    };
    let (in_a1, in_c1) = (joining(7, "a1"), joining(8, "c1"));
    assert_eq!(next(&[0], &[], &[&in_c1]), ["new8", "s1", "s2", "s3", "s4", "s5"], "another region");
    assert_eq!(next(&[1, 2], &[], &[&in_a1]), ["new7", "s0", "s2", "s3", "s4", "s5"], "its own region");
    assert_eq!(next(&[0, 1], &[], &[&in_a1]), ["new7", "s1", "s2", "s3", "s4", "s5"], "its own zone");
    assert_eq!(next(&[0, 1], &[], &[&in_a1, &in_c1]), ["new7", "new8", "s2", "s3", "s4", "s5"]);
    assert_eq!(next(&[], &[2], &[&in_c1]), ["new8", "s0", "s1", "s3", "s4", "s5"], "one that shuts down");
    let new_disk = Replica { replica_id: 77, ..old.replicas[1].clone() };
    assert_eq!(next(&[0, 1], &[], &[&new_disk]), ["s0", "s1", "s2", "s3", "s4", "s5"], "a node's new disk");
}

#[test]
fn abandoned_replicas_are_removed_while_three_are_left() {
    let old = replica_set(&SIX);
    let abandoned = |set: &ReplicaSet, numbers: &[usize]| {
        let abandoned = names(numbers);
        set.successor(&ReplicaObservations { abandoned, ..ReplicaObservations::default() })
    };
    let next = abandoned(&old, &[0, 2]).expect("two are removed");
    assert_eq!(next.replicas.len(), 4);
    let next = abandoned(&next, &[3, 4]).expect("one is removed");
    assert_eq!(next.replicas.len(), 3);
    assert_eq!(abandoned(&next, &[4, 5]), None);
}

#[test]
fn the_successor_includes_all_changes_and_is_one_version_higher() {
    let old = replica_set(&SIX);
    assert_eq!(old.replicas[0].name(), "s0");
    let other = |n: usize, replica_id: u64| Replica { replica_id, ..old.replicas[n].clone() };
    let (replaced, new_replica) = (other(1, 77), Replica { node_id: "s9".into(), ..other(2, 9) });
    // s1 has lost its disk, s9 is new in the zone of the unresponsive s2, s5 is shutting down, and s4 has moved with
    // its disk.
    let moved = Replica { address: "elsewhere".into(), ..old.replicas[4].clone() };
    let next = old.successor(&observations(&[&replaced, &new_replica, &moved], &[5], &[2, 3])).unwrap();
    assert_eq!(next.version, 2);
    let names: Vec<String> = next.replicas.iter().map(Replica::name).collect();
    assert_eq!(names, ["s0", "s1#4d", "s3#3", "s4#4", "s9#9"]);
    assert!(next.replicas.contains(&moved));
    assert_eq!(next.successor(&observations(&[&replaced, &new_replica, &moved], &[], &[3])), None);
    let mut item_store = ItemStore::new();
    item_store.merge(old.to_item(CURRENT));
    assert_eq!(JointReplicaSets::load(&item_store).unwrap().epoch(), 2);
    item_store.merge(next.to_item(INCOMING));
    assert_eq!(
        JointReplicaSets::load(&item_store),
        Some(JointReplicaSets { current: old, incoming: Some(next.clone()) })
    );
    assert_eq!(JointReplicaSets::load(&item_store).unwrap().epoch(), 3);
    item_store.merge(next.to_item(CURRENT));
    assert_eq!(JointReplicaSets::load(&item_store).unwrap().epoch(), 4);
}

#[test]
fn no_replica_leaves_a_set_that_would_tolerate_less() {
    // No new replica is in the zone of the unresponsive one, so it stays.
    assert_eq!(replica_set(&SIX).successor(&observations(&[], &[], &[0])), None);
    // One replica may be removed. Removing a second one, from any region, would leave four replicas, and no two of four
    // are a write quorum.
    let next = replica_set(&SIX).successor(&observations(&[], &[0, 1, 2, 3, 4, 5], &[])).unwrap();
    assert_eq!((next.replicas.len(), next.contains("s0")), (5, false));
    assert_eq!(replica_set(&SIX[..3]).successor(&observations(&[], &[0], &[])), None);
    // A new node that is shutting down is not added.
    let new_replica =
        Replica { node_id: "s9".into(), replica_id: 9, ..replica_set(&SIX).replicas[0].clone() };
    let leaving = ReplicaObservations {
        shutting_down: [new_replica.name()].into(),
        ..observations(&[&new_replica], &[], &[])
    };
    assert_eq!(replica_set(&SIX).successor(&leaving), None);
}
