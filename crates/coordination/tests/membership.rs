//! Every cast of 3 to 9 seats over 1 to 3 regions and 2 to 6 zones, every step from it to the next one, and at every
//! phase of that step every loss of a machine, a zone or a region with its disks; then the repair, and a second loss.

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
fn layouts(seats: usize) -> Vec<Layout> {
    let mut all = Vec::new();
    for regions in partitions(seats, seats).into_iter().filter(|regions| regions.len() <= 3) {
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

fn seat(region: usize, zone: usize, n: usize, folder: u64) -> Replica {
    let (province, district) = (format!("r{region}"), format!("r{region}z{zone}"));
    Replica { station: format!("{district}s{n}"), ip: String::new(), district, province, folder }
}

fn cast(layout: &Layout) -> ReplicaSet {
    let mut seats = Vec::new();
    for (region, zones) in layout.iter().enumerate() {
        for (zone, number) in zones.iter().enumerate() {
            seats.extend((0..*number).map(|n| seat(region, zone, n, 1)));
        }
    }
    seats.sort();
    ReplicaSet { seats, edition: 1 }
}

fn names<'a>(seats: impl IntoIterator<Item = &'a Replica>) -> Names {
    seats.into_iter().map(Replica::name).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Machine,
    Zone,
    Region,
}

/// The sets of stations that may be lost at once.
fn losses(seats: &[Replica]) -> BTreeSet<(Loss, BTreeSet<String>)> {
    let of = |place: fn(&Replica) -> &str, what: Loss| {
        let places: BTreeSet<&str> = seats.iter().map(place).collect();
        let stations = move |at: &str| {
            seats.iter().filter(|seat| place(seat) == at).map(|seat| seat.station.clone()).collect()
        };
        places.into_iter().map(|at| (what, stations(at))).collect::<Vec<_>>()
    };
    let machines = of(|seat| &seat.station, Loss::Machine);
    let zones = of(|seat| &seat.district, Loss::Zone);
    machines.into_iter().chain(zones).chain(of(|seat| &seat.province, Loss::Region)).collect()
}

/// Steps from a cast: who comes, whose disk was lost, who leaves, who is silent with another in its place.
fn steps(cast: &ReplicaSet) -> Vec<(&'static str, ReplicaObservations)> {
    let all: BTreeSet<Replica> = cast.seats.iter().cloned().collect();
    let mut steps = Vec::new();
    let sight = |full: BTreeSet<Replica>| ReplicaObservations { full, ..ReplicaObservations::default() };
    let places: BTreeSet<(String, String)> =
        cast.seats.iter().map(|s| (s.province.clone(), s.district.clone())).collect();
    let comer = |n: usize, (province, district): &(String, String)| Replica {
        station: format!("{district}new{n}"),
        ip: String::new(),
        district: district.clone(),
        province: province.clone(),
        folder: 9,
    };
    for place in &places {
        steps.push(("joining", sight(and(&all, [comer(0, place)]))));
    }
    let filled: Vec<Replica> = places.iter().map(|place| comer(0, place)).collect();
    steps.push(("filling", sight(and(&all, filled))));
    for seat in &cast.seats {
        let rest: BTreeSet<Replica> = all.iter().filter(|s| *s != seat).cloned().collect();
        let successor = Replica { folder: 2, ..seat.clone() };
        let other = comer(1, &(seat.province.clone(), seat.district.clone()));
        let (name, with) = (seat.name(), |s: Replica| and(&rest, [s]));
        steps.push(("replacing a lost disk", sight(with(successor))));
        steps.push((
            "replacing in silence",
            ReplicaObservations { silent: [name.clone()].into(), ..sight(with(other.clone())) },
        ));
        steps.push(("leaving", ReplicaObservations { leaving: [name.clone()].into(), ..sight(all.clone()) }));
        let both = and(&all, [other]);
        steps
            .push(("leaving for a successor", ReplicaObservations { leaving: [name].into(), ..sight(both) }));
    }
    steps
}

fn and(seats: &BTreeSet<Replica>, more: impl IntoIterator<Item = Replica>) -> BTreeSet<Replica> {
    seats.iter().cloned().chain(more).collect()
}

/// A cast's quorums for all sets of its seats, each set as bits.
struct Quorums {
    safe: Vec<bool>,
    read: Vec<bool>,
    elected: Vec<bool>,
}

impl Quorums {
    fn of(cast: &ReplicaSet) -> Quorums {
        let set = |bits: usize| -> Names {
            (0..cast.seats.len()).filter(|n| bits >> n & 1 == 1).map(|n| cast.seats[n].name()).collect()
        };
        let sets: Vec<Names> = (0..1usize << cast.seats.len()).map(set).collect();
        Quorums {
            safe: sets.iter().map(|set| cast.is_safe(set)).collect(),
            read: sets.iter().map(|set| cast.is_read(set)).collect(),
            elected: sets.iter().map(|set| cast.is_elected(set)).collect(),
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
    let (mut casts, mut stopped) = (0, BTreeMap::<Loss, usize>::new());
    for layout in (3..=9).flat_map(layouts) {
        let cast = cast(&layout);
        casts += 1;
        let quorums = Quorums::of(&cast);
        assert!(Quorums::meet(&quorums.safe, &quorums.read), "{layout:?}: a reading misses a write");
        assert!(Quorums::meet(&quorums.elected, &quorums.elected), "{layout:?}: two elections");
        for (loss, lost) in losses(&cast.seats) {
            let rest: Vec<&Replica> = cast.seats.iter().filter(|s| !lost.contains(&s.station)).collect();
            let places = |of: fn(&Replica) -> &String, seats: &[&Replica]| {
                seats.iter().map(|seat| of(seat).clone()).collect::<BTreeSet<_>>().len()
            };
            let all: Vec<&Replica> = cast.seats.iter().collect();
            let spread = |of| places(of, &rest) > 1 || places(of, &all) == 1;
            let goes_on = cast.is_safe(&names(rest.iter().copied()));
            let expected =
                rest.len() * 2 > cast.seats.len() && spread(|s| &s.province) && spread(|s| &s.district);
            assert_eq!(goes_on, expected, "{layout:?} without {lost:?}");
            // What was confirmed can be read, unless more than half is gone.
            let read = cast.is_read(&names(rest.iter().copied()));
            assert_eq!(read, rest.len() * 2 >= cast.seats.len(), "{layout:?} without {lost:?}");
            // No write has all its copies among what is lost where a reading is left: such a write would be missed.
            *stopped.entry(loss).or_default() += usize::from(!goes_on);
        }
    }
    println!("casts={casts} losses after which writes stop: {stopped:?}");
    assert!(casts > 300, "{casts}");
}

/// From every cast by every step: at each phase each write that was confirmed is met by each reading, elections of the
/// eras that may overlap meet, each loss that both casts bear leaves the step able to end, and after the repair the cast
/// has the seats that were lost under new names and bears a second loss wherever it bore the first.
#[test]
fn at_every_phase_of_every_step_one_more_loss_is_borne_and_another_after_the_repair() {
    let (mut done, mut phases, mut second) = (BTreeMap::<&str, usize>::new(), 0, 0);
    let mut bears_less = BTreeMap::<&str, usize>::new();
    for layout in (3..=9).flat_map(layouts) {
        let (now, mut seen) = (cast(&layout), BTreeSet::new());
        for (what, sight) in steps(&now) {
            let Some(next) = now.follow(&sight) else {
                assert!(what == "leaving", "{layout:?}: no step for {what}");
                continue;
            };
            *done.entry(what).or_default() += 1;
            assert_eq!(next.edition, 2);
            assert_eq!(
                next.follow(&ReplicaObservations { leaving: Names::new(), ..sight.clone() })
                    .filter(|_| what != "leaving" && what != "leaving for a successor"),
                None,
                "{layout:?}: {what} goes on"
            );
            let gone = |seat: &&Replica| what.starts_with("replacing") && !next.has(&seat.name());
            let alive: Vec<Replica> =
                now.seats.iter().filter(|s| !gone(s)).chain(next.seats.iter()).cloned().collect();
            let odd = JointReplicaSets { now: now.clone(), next: Some(next.clone()) };
            assert_eq!((odd.number(), JointReplicaSets { now: next.clone(), next: None }.number()), (3, 4));
            let whole = names(&alive);
            // It ends wherever a majority is left and the next cast itself is safe, whatever places the lost seat had alone.
            if now.is_elected(&names(now.seats.iter().filter(|s| !gone(s)))) {
                assert!(next.is_safe(&whole));
                assert!(odd.is_safe(&whole) && odd.is_read(&whole), "{layout:?}: {what} cannot end");
            }
            // A disk that is being replaced is the loss itself: one more comes after its repair.
            let more = if what.starts_with("replacing") { BTreeSet::new() } else { losses(&alive) };
            for (loss, lost) in more {
                phases += 1;
                let left = names(alive.iter().filter(|s| !lost.contains(&s.station)));
                let (a, b) = (now.is_safe(&left), next.is_safe(&left));
                let both: Vec<&Replica> = now.seats.iter().chain(&next.seats).collect();
                let spread = |of: fn(&Replica) -> &String| {
                    let places = |all: bool| {
                        let with = both.iter().filter(|s| all || left.contains(&s.name()));
                        with.map(|s| of(s)).collect::<BTreeSet<_>>().len()
                    };
                    places(true) == 1 || places(false) > 1
                };
                let elected = now.is_elected(&left) && next.is_elected(&left);
                let spread = spread(|s| &s.province) && spread(|s| &s.district);
                assert_eq!(odd.is_safe(&left), elected && spread);
                assert!(odd.is_safe(&left) || !(a && b));
                if a && !b {
                    // Where it is the successor that is lost, the one that leaves would have been missed as much.
                    let leaves =
                        |s: &&Replica| sight.leaving.contains(&s.name()) || lost.contains(&s.station);
                    let as_much = !now.is_safe(&names(now.seats.iter().filter(|s| !leaves(s))));
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
                let back = next.seats.iter().map(|seat| {
                    let folder = if lost.contains(&seat.station) { 77 } else { seat.folder };
                    Replica { folder, ..seat.clone() }
                });
                let full: BTreeSet<Replica> = back.collect();
                let repaired = next
                    .follow(&ReplicaObservations { full: full.clone(), ..ReplicaObservations::default() });
                let repaired = repaired.unwrap_or_else(|| next.clone());
                assert_eq!(repaired.seats.iter().cloned().collect::<BTreeSet<_>>(), full, "{layout:?}");
                let era = JointReplicaSets { now: next.clone(), next: Some(repaired.clone()) };
                assert!(era.is_safe(&[left, names(&full)].into_iter().flatten().collect()));
                // A second loss asks for places alone: once for each cast of the same places.
                let places: Vec<String> = next.seats.iter().map(|seat| seat.station.clone()).collect();
                let new = seen.insert(places);
                for (_, again) in losses(&repaired.seats).into_iter().filter(|_| new) {
                    second += 1;
                    let rest = |c: &ReplicaSet| names(c.seats.iter().filter(|s| !again.contains(&s.station)));
                    assert_eq!(repaired.is_safe(&rest(&repaired)), next.is_safe(&rest(&next)));
                    assert_eq!(repaired.is_read(&rest(&repaired)), next.is_read(&rest(&next)));
                }
            }
        }
    }
    println!("steps={done:?} losses within a step={phases} second losses={second} borne before, not after={bears_less:?}");
    assert!(phases > 100_000 && second > 20_000, "{phases} {second}");
}
