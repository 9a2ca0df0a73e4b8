//! Every cast of 3 to 9 seats over 1 to 3 regions and 2 to 6 zones, every step from it to the next one, and at every
//! phase of that step every loss of a machine, a zone or a region with its disks; then the repair, and a second loss.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaObservations, ReplicaSet};
use std::collections::{BTreeMap, BTreeSet};

type Names = BTreeSet<String>;
/// How many seats each zone of each region has.
type Layout = Vec<Vec<usize>>;

fn partitions(sum: usize, most: usize) -> Vec<Vec<usize>> {
    if sum == 0 {
        return vec![vec![]];
    }
    let first =
        |part: usize| partitions(sum - part, part).into_iter().map(move |rest| [vec![part], rest].concat());
    (1..=most.min(sum)).flat_map(first).collect()
}

/// All layouts up to the names of regions and zones.
fn layouts(replicas: usize) -> Vec<Layout> {
    let mut all = Vec::new();
    for regions in partitions(replicas, replicas).into_iter().filter(|regions| regions.len() <= 3) {
        let mut open: Vec<Layout> = vec![vec![]];
        for region in regions {
            let zones = partitions(region, region);
            open = open
                .iter()
                .flat_map(|l| zones.iter().map(move |z| [l.clone(), vec![z.clone()]].concat()))
                .collect();
        }
        all.extend(open.into_iter().map(|mut layout| {
            layout.sort();
            layout
        }));
    }
    all.retain(|layout| (2..=6).contains(&layout.iter().map(Vec::len).sum::<usize>()));
    all.sort();
    all.dedup();
    all
}

fn replica(region: usize, zone: usize, n: usize, replica_id: u64) -> Replica {
    let (region, zone) = (format!("r{region}"), format!("r{region}z{zone}"));
    Replica { node_id: format!("{zone}s{n}"), address: String::new(), zone, region, replica_id }
}

fn replica_set(layout: &Layout) -> ReplicaSet {
    let mut replicas = Vec::new();
    for (region, zones) in layout.iter().enumerate() {
        for (zone, number) in zones.iter().enumerate() {
            replicas.extend((0..*number).map(|n| replica(region, zone, n, 1)));
        }
    }
    replicas.sort();
    ReplicaSet { replicas, version: 1 }
}

fn names<'a>(replicas: impl IntoIterator<Item = &'a Replica>) -> Names {
    replicas.into_iter().map(Replica::name).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Machine,
    Zone,
    Region,
}

/// The sets of stations that may be lost at once.
fn losses(replicas: &[Replica]) -> BTreeSet<(Loss, BTreeSet<String>)> {
    let of = |place: fn(&Replica) -> &str, what: Loss| {
        let places: BTreeSet<&str> = replicas.iter().map(place).collect();
        let node_ids = move |at: &str| {
            replicas
                .iter()
                .filter(|replica| place(replica) == at)
                .map(|replica| replica.node_id.clone())
                .collect()
        };
        places.into_iter().map(|at| (what, node_ids(at))).collect::<Vec<_>>()
    };
    let machines = of(|replica| &replica.node_id, Loss::Machine);
    let zones = of(|replica| &replica.zone, Loss::Zone);
    machines.into_iter().chain(zones).chain(of(|replica| &replica.region, Loss::Region)).collect()
}

/// Steps from a cast: who comes, whose disk was lost, who leaves, who is silent with another in its place.
fn steps(replica_set: &ReplicaSet) -> Vec<(&'static str, ReplicaObservations)> {
    let all: BTreeSet<Replica> = replica_set.replicas.iter().cloned().collect();
    let mut steps = Vec::new();
    let sight =
        |full: BTreeSet<Replica>| ReplicaObservations { complete: full, ..ReplicaObservations::default() };
    let places: BTreeSet<(String, String)> =
        replica_set.replicas.iter().map(|s| (s.region.clone(), s.zone.clone())).collect();
    let comer = |n: usize, (region, zone): &(String, String)| Replica {
        node_id: format!("{zone}new{n}"),
        address: String::new(),
        zone: zone.clone(),
        region: region.clone(),
        replica_id: 9,
    };
    for place in &places {
        steps.push(("joining", sight(and(&all, [comer(0, place)]))));
    }
    let filled: Vec<Replica> = places.iter().map(|place| comer(0, place)).collect();
    steps.push(("filling", sight(and(&all, filled))));
    for replica in &replica_set.replicas {
        let rest: BTreeSet<Replica> = all.iter().filter(|s| *s != replica).cloned().collect();
        let successor = Replica { replica_id: 2, ..replica.clone() };
        let other = comer(1, &(replica.region.clone(), replica.zone.clone()));
        let (name, with) = (replica.name(), |s: Replica| and(&rest, [s]));
        steps.push(("replacing a lost disk", sight(with(successor))));
        steps.push((
            "replacing in silence",
            ReplicaObservations { unresponsive: [name.clone()].into(), ..sight(with(other.clone())) },
        ));
        steps.push((
            "leaving",
            ReplicaObservations { shutting_down: [name.clone()].into(), ..sight(all.clone()) },
        ));
        let both = and(&all, [other]);
        steps.push((
            "leaving for a successor",
            ReplicaObservations { shutting_down: [name].into(), ..sight(both) },
        ));
    }
    steps
}

fn and(replicas: &BTreeSet<Replica>, more: impl IntoIterator<Item = Replica>) -> BTreeSet<Replica> {
    replicas.iter().cloned().chain(more).collect()
}

/// A cast's quorums for all sets of its seats, each set as bits.
struct Quorums {
    safe: Vec<bool>,
    read: Vec<bool>,
    elected: Vec<bool>,
}

impl Quorums {
    fn of(replica_set: &ReplicaSet) -> Quorums {
        let set = |bits: usize| -> Names {
            (0..replica_set.replicas.len())
                .filter(|n| bits >> n & 1 == 1)
                .map(|n| replica_set.replicas[n].name())
                .collect()
        };
        let sets: Vec<Names> = (0..1usize << replica_set.replicas.len()).map(set).collect();
        Quorums {
            safe: sets.iter().map(|set| replica_set.is_write_quorum(set)).collect(),
            read: sets.iter().map(|set| replica_set.is_read_quorum(set)).collect(),
            elected: sets.iter().map(|set| replica_set.is_lease_quorum(set)).collect(),
        }
    }

    /// Whether each set that is `one` meets each set that is `two`.
    fn meet(one: &[bool], two: &[bool]) -> bool {
        let all = one.len() - 1;
        // Both hold of all that is larger too, so that the rest is the largest set that one set does not meet.
        (0..one.len()).all(|set| !one[set] || !two[all & !set])
    }
}

/// By every cast: each reading meets each write, two elections meet, and so do a reading and the copies of a next cast.
/// This holds whatever disks were lost, as a seat whose disk is gone is neither heard nor asked; and a lost machine
/// leaves a majority that is safe, a lost zone or region too, but where it has half of the seats or more, or all but
/// one place's: exactly those layouts are listed.
#[test]
fn quorums_meet_in_every_cast_and_what_a_loss_leaves_is_known() {
    let (mut replica_sets, mut stopped) = (0, BTreeMap::<Loss, usize>::new());
    for layout in (3..=9).flat_map(layouts) {
        let replica_set = replica_set(&layout);
        replica_sets += 1;
        let quorums = Quorums::of(&replica_set);
        assert!(Quorums::meet(&quorums.safe, &quorums.read), "{layout:?}: a reading misses a write");
        assert!(Quorums::meet(&quorums.elected, &quorums.elected), "{layout:?}: two elections");
        for (loss, lost) in losses(&replica_set.replicas) {
            let rest: Vec<&Replica> =
                replica_set.replicas.iter().filter(|s| !lost.contains(&s.node_id)).collect();
            let places = |of: fn(&Replica) -> &String, replicas: &[&Replica]| {
                replicas.iter().map(|replica| of(replica).clone()).collect::<BTreeSet<_>>().len()
            };
            let all: Vec<&Replica> = replica_set.replicas.iter().collect();
            let spread = |of| places(of, &rest) > 1 || places(of, &all) == 1;
            let goes_on = replica_set.is_write_quorum(&names(rest.iter().copied()));
            let expected =
                rest.len() * 2 > replica_set.replicas.len() && spread(|s| &s.region) && spread(|s| &s.zone);
            assert_eq!(goes_on, expected, "{layout:?} without {lost:?}");
            // What was confirmed can be read, unless more than half is gone.
            let read = replica_set.is_read_quorum(&names(rest.iter().copied()));
            assert_eq!(read, rest.len() * 2 >= replica_set.replicas.len(), "{layout:?} without {lost:?}");
            // No write has all its copies among what is lost where a reading is left: such a write would be missed.
            *stopped.entry(loss).or_default() += usize::from(!goes_on);
        }
    }
    println!("casts={replica_sets} losses after which writes stop: {stopped:?}");
    assert!(replica_sets > 300, "{replica_sets}");
}

/// From every cast by every step: at each phase each write that was confirmed is met by each reading, elections of the
/// eras that may overlap meet, each loss that both casts bear leaves the step able to end, and after the repair the cast
/// has the seats that were lost under new names and bears a second loss wherever it bore the first.
#[test]
fn at_every_phase_of_every_step_one_more_loss_is_borne_and_another_after_the_repair() {
    let (mut done, mut phases, mut second) = (BTreeMap::<&str, usize>::new(), 0, 0);
    let mut bears_less = BTreeMap::<&str, usize>::new();
    for layout in (3..=9).flat_map(layouts) {
        let (now, mut seen) = (replica_set(&layout), BTreeSet::new());
        for (what, sight) in steps(&now) {
            let Some(next) = now.successor(&sight) else {
                assert!(what == "leaving", "{layout:?}: no step for {what}");
                continue;
            };
            *done.entry(what).or_default() += 1;
            assert_eq!(next.version, 2);
            assert_eq!(
                next.successor(&ReplicaObservations { shutting_down: Names::new(), ..sight.clone() })
                    .filter(|_| what != "leaving" && what != "leaving for a successor"),
                None,
                "{layout:?}: {what} goes on"
            );
            let gone = |replica: &&Replica| what.starts_with("replacing") && !next.contains(&replica.name());
            let alive: Vec<Replica> =
                now.replicas.iter().filter(|s| !gone(s)).chain(next.replicas.iter()).cloned().collect();
            let odd = JointReplicaSets { current: now.clone(), incoming: Some(next.clone()) };
            assert_eq!(
                (odd.epoch(), JointReplicaSets { current: next.clone(), incoming: None }.epoch()),
                (3, 4)
            );
            let whole = names(&alive);
            // It ends wherever a majority is left and the next cast itself is safe, whatever places the lost seat had alone.
            if now.is_lease_quorum(&names(now.replicas.iter().filter(|s| !gone(s)))) {
                assert!(next.is_write_quorum(&whole));
                assert!(
                    odd.is_write_quorum(&whole) && odd.is_read_quorum(&whole),
                    "{layout:?}: {what} cannot end"
                );
            }
            // A disk that is being replaced is the loss itself: one more comes after its repair.
            let more = if what.starts_with("replacing") { BTreeSet::new() } else { losses(&alive) };
            for (loss, lost) in more {
                phases += 1;
                let left = names(alive.iter().filter(|s| !lost.contains(&s.node_id)));
                let (a, b) = (now.is_write_quorum(&left), next.is_write_quorum(&left));
                let both: Vec<&Replica> = now.replicas.iter().chain(&next.replicas).collect();
                let spread = |of: fn(&Replica) -> &String| {
                    let places = |all: bool| {
                        let with = both.iter().filter(|s| all || left.contains(&s.name()));
                        with.map(|s| of(s)).collect::<BTreeSet<_>>().len()
                    };
                    places(true) == 1 || places(false) > 1
                };
                let elected = now.is_lease_quorum(&left) && next.is_lease_quorum(&left);
                let spread = spread(|s| &s.region) && spread(|s| &s.zone);
                assert_eq!(odd.is_write_quorum(&left), elected && spread);
                assert!(odd.is_write_quorum(&left) || !(a && b));
                if a && !b {
                    // Where it is the successor that is lost, the one that leaves would have been missed as much.
                    let leaves =
                        |s: &&Replica| sight.shutting_down.contains(&s.name()) || lost.contains(&s.node_id);
                    let as_much = !now.is_write_quorum(&names(now.replicas.iter().filter(|s| !leaves(s))));
                    *bears_less.entry(what).or_default() += 1;
                    assert!(
                        what == "joining" || what == "filling" || as_much,
                        "{layout:?}: {what} bears less: {loss:?} {lost:?}"
                    );
                }
                if !(a && b) {
                    continue;
                }
                // The step ends, and those that were lost come back with empty folders and are let in.
                let back = next.replicas.iter().map(|replica| {
                    let replica_id = if lost.contains(&replica.node_id) { 77 } else { replica.replica_id };
                    Replica { replica_id, ..replica.clone() }
                });
                let full: BTreeSet<Replica> = back.collect();
                let repaired = next.successor(&ReplicaObservations {
                    complete: full.clone(),
                    ..ReplicaObservations::default()
                });
                let repaired = repaired.unwrap_or_else(|| next.clone());
                assert_eq!(repaired.replicas.iter().cloned().collect::<BTreeSet<_>>(), full, "{layout:?}");
                let epoch = JointReplicaSets { current: next.clone(), incoming: Some(repaired.clone()) };
                assert!(epoch.is_write_quorum(&[left, names(&full)].into_iter().flatten().collect()));
                // A second loss asks for places alone: once for each cast of the same places.
                let places: Vec<String> =
                    next.replicas.iter().map(|replica| replica.node_id.clone()).collect();
                let new = seen.insert(places);
                for (_, again) in losses(&repaired.replicas).into_iter().filter(|_| new) {
                    second += 1;
                    let rest =
                        |c: &ReplicaSet| names(c.replicas.iter().filter(|s| !again.contains(&s.node_id)));
                    assert_eq!(
                        repaired.is_write_quorum(&rest(&repaired)),
                        next.is_write_quorum(&rest(&next))
                    );
                    assert_eq!(repaired.is_read_quorum(&rest(&repaired)), next.is_read_quorum(&rest(&next)));
                }
            }
        }
    }
    println!("steps={done:?} losses within a step={phases} second losses={second} borne before, not after={bears_less:?}");
    assert!(phases > 100_000 && second > 20_000, "{phases} {second}");
}
