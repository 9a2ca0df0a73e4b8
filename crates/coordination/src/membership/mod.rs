//! The cast: which seats make up the core, and how many of them must keep or say a thing.
//!
//! A seat is one folder (disk) of one station: a station that lost its disk comes back as another seat. Two items of
//! the ledger tell the cast: `now`, the one in force, and `next`, one that is being brought in. Casts follow one
//! another by joint consensus: while `next` is being brought in, copies must be safe, readings whole and votes enough
//! by both.

use crate::protocol::Hello;
use kitepass_config::{Item, ItemStore, Kind};
use prost::Message as _;
use std::collections::BTreeSet;
use std::sync::Arc;

pub const CURRENT: &str = "now";
pub const INCOMING: &str = "next";
/// Seats that leave in order go while so many stay.
pub const FEWEST: usize = 3;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Replica {
    #[prost(string, tag = "1")]
    pub station: String,
    #[prost(string, tag = "2")]
    pub ip: String,
    #[prost(string, tag = "3")]
    pub district: String,
    #[prost(string, tag = "4")]
    pub province: String,
    /// Drawn when an empty folder is first written, and kept in it; 0 for folders older than that.
    #[prost(fixed64, tag = "5")]
    pub folder: u64,
}

impl Replica {
    /// What copies, promises, votes and readings go by. Danger: by its station alone, one that lost its disk would be
    /// held to have what the earlier disk held, and to have promised nothing.
    pub fn name(&self) -> String {
        match self.folder {
            0 => self.station.clone(),
            folder => format!("{}#{folder:x}", self.station),
        }
    }
}

impl From<&Hello> for Replica {
    fn from(hello: &Hello) -> Replica {
        let Hello { station, ip, district, province, folder, .. } = hello.clone();
        Replica { station, ip, district, province, folder }
    }
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaSet {
    #[prost(message, repeated, tag = "1")]
    pub seats: Vec<Replica>,
    #[prost(uint64, tag = "2")]
    pub edition: u64,
}

/// What the holder of the duty sees of the stations as it works the next cast out. All but `full` are seats' names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservations {
    /// Stations that are heard now and whose folder is full.
    pub full: BTreeSet<Replica>,
    /// Those that said that they leave.
    pub leaving: BTreeSet<String>,
    /// Those that have been silent for long.
    pub silent: BTreeSet<String>,
}

impl ReplicaSet {
    pub fn of(ledger: &ItemStore, name: &str) -> Option<ReplicaSet> {
        ReplicaSet::from_item(ledger.get(Kind::ReplicaSet, name)?)
    }

    /// None where the item is dropped, or is no cast.
    pub fn from_item(item: &Item) -> Option<ReplicaSet> {
        ReplicaSet::decode(item.value.clone()?).ok()
    }

    pub fn item(&self, name: &str) -> Item {
        let value = Some(self.encode_to_vec().into());
        Item { kind: Kind::ReplicaSet, name: Arc::from(name), edition: self.edition, value }
    }

    /// Whether the seat of this name is in it.
    pub fn has(&self, name: &str) -> bool {
        self.seats.iter().any(|seat| seat.name() == name)
    }

    /// Copies that a write needs, and votes that a lease needs.
    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Full holders, asked one by one, that together know all that was ever acknowledged: so many that the
    /// rest is fewer than the copies of any write. Seats that lost their disk are neither asked nor rest.
    pub fn reading(&self) -> usize {
        self.seats.len() + 1 - self.majority()
    }

    fn among<'a>(&'a self, names: &'a BTreeSet<String>) -> impl Iterator<Item = &'a Replica> {
        self.seats.iter().filter(|seat| names.contains(&seat.name()))
    }

    /// Whether these seats' copies make a write safe: a majority, and not all in one province or district.
    /// Danger: a zone's or a region's disks may be lost at once, while the others lose power.
    pub fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        self.is_elected(copies) && is_spread(&self.seats, copies)
    }

    /// Whether these full seats together know all that was acknowledged.
    pub fn is_read(&self, heard: &BTreeSet<String>) -> bool {
        self.among(heard).count() >= self.reading()
    }

    /// Whether these seats' votes are enough for a lease.
    pub fn is_elected(&self, votes: &BTreeSet<String>) -> bool {
        self.among(votes).count() >= self.majority()
    }

    /// Losses of a whole province or district after which the rest still reads, and still takes writes.
    fn bears(&self) -> BTreeSet<(bool, String, bool)> {
        let mut all = BTreeSet::new();
        for by_province in [true, false] {
            let place = |seat: &Replica| if by_province { &seat.province } else { &seat.district }.clone();
            for lost in self.seats.iter().map(place).collect::<BTreeSet<String>>() {
                let rest = self.seats.iter().filter(|seat| place(seat) != lost).map(Replica::name).collect();
                if self.is_read(&rest) {
                    all.insert((by_province, lost.clone(), false));
                }
                if self.is_safe(&rest) {
                    all.insert((by_province, lost, true));
                }
            }
        }
        all
    }

    /// Whether each majority of this one has a seat in common with each of the other.
    pub fn meets(&self, other: &ReplicaSet) -> bool {
        let all =
            self.seats.iter().chain(&other.seats).map(Replica::name).collect::<BTreeSet<String>>().len();
        self.majority() + other.majority() > all
    }

    fn without(&self, name: &str) -> ReplicaSet {
        let seats = self.seats.iter().filter(|seat| seat.name() != name).cloned().collect();
        ReplicaSet { seats, edition: self.edition }
    }

    /// The cast that follows this one, if another should: one edition above it, so that of two that are worked out
    /// from one base only one can be decided.
    pub fn follow(&self, sight: &ReplicaObservations) -> Option<ReplicaSet> {
        let mut next = ReplicaSet { seats: self.seats.clone(), edition: self.edition + 1 };
        // A station has one seat: that of the folder, and at the place, with which it is seen now.
        for comes in sight.full.iter().filter(|seat| !sight.leaving.contains(&seat.name())) {
            next.seats.retain(|seat| seat.station != comes.station);
            next.seats.push(comes.clone());
        }
        next.seats.sort();
        // A silent seat goes only where another stands in its district: a newcomer has taken its place.
        for seat in self.seats.iter().filter(|seat| sight.silent.contains(&seat.name())) {
            let stands = |o: &Replica| o.district == seat.district && !sight.silent.contains(&o.name());
            if next.seats.len() > 1 && next.seats.iter().any(stands) {
                next = next.without(&seat.name());
            }
        }
        // Danger: seats that leave one after another would leave a cast that the next loss ends. One stays on the list,
        // for its successor to take its place, if without it the rest would bear less than now or be too few.
        for name in &sight.leaving {
            let fewer = next.without(name);
            let bears = || fewer.bears().is_superset(&next.bears_without(name));
            if next.has(name) && fewer.seats.len() >= FEWEST && bears() {
                next = fewer;
            }
        }
        (next.seats != self.seats).then_some(next)
    }

    /// What it bears, places left out of which the seat of this name is the last one.
    fn bears_without(&self, name: &str) -> BTreeSet<(bool, String, bool)> {
        let rest = self.without(name);
        let has = |by_province: bool, place: &str| {
            rest.seats.iter().any(|s| place == if by_province { &s.province } else { &s.district })
        };
        self.bears().into_iter().filter(|(by_province, place, _)| has(*by_province, place)).collect()
    }
}

/// Whether the copies lie in more than one province and more than one district, where the seats do. Danger: a zone's or a
/// region's disks may be lost at once, while the others lose power.
fn is_spread(seats: &[Replica], copies: &BTreeSet<String>) -> bool {
    let spread = |of: fn(&Replica) -> &str| {
        let all: BTreeSet<&str> = seats.iter().map(of).collect();
        let with = seats.iter().filter(|seat| copies.contains(&seat.name()));
        all.len() < 2 || with.map(of).collect::<BTreeSet<&str>>().len() > 1
    };
    spread(|seat| &seat.province) && spread(|seat| &seat.district)
}

/// The casts that decide: the one in force, and the one that is being brought in, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointReplicaSets {
    pub now: ReplicaSet,
    pub next: Option<ReplicaSet>,
}

impl JointReplicaSets {
    /// By what is decided.
    pub fn of(ledger: &ItemStore) -> Option<JointReplicaSets> {
        Some(
            JointReplicaSets { now: ReplicaSet::of(ledger, CURRENT)?, next: None }
                .fenced(ReplicaSet::of(ledger, INCOMING)),
        )
    }

    /// With a `next` that is decided, or that this process has accepted: it follows if it is the one after `now`.
    pub fn fenced(self, next: Option<ReplicaSet>) -> JointReplicaSets {
        let next = next.filter(|next| next.edition > self.now.edition);
        JointReplicaSets { next: next.or(self.next), now: self.now }
    }

    /// Eras in order: twice the edition in force, and one more while the next cast is being brought in.
    pub fn number(&self) -> u64 {
        self.now.edition * 2 + u64::from(self.next.is_some())
    }

    fn both(&self, holds: impl Fn(&ReplicaSet) -> bool) -> bool {
        holds(&self.now) && self.next.as_ref().is_none_or(holds)
    }

    /// Danger: what one cast alone took for safe, the other would not read. So too for readings and votes. Copies lie in more
    /// than one place of both casts together. Danger: a cast that lost the one seat outside of a region could not let its
    /// successor in, if copies had to lie there by that cast alone.
    pub fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        let next = self.next.iter().flat_map(|next| &next.seats);
        let seats: Vec<Replica> = self.now.seats.iter().chain(next).cloned().collect();
        self.is_elected(copies) && is_spread(&seats, copies)
    }

    pub fn is_read(&self, heard: &BTreeSet<String>) -> bool {
        self.both(|cast| cast.is_read(heard))
    }

    pub fn is_elected(&self, votes: &BTreeSet<String>) -> bool {
        self.both(|cast| cast.is_elected(votes))
    }

    /// The newest of them.
    pub fn newest(&self) -> &ReplicaSet {
        self.next.as_ref().unwrap_or(&self.now)
    }

    /// Whether the seat of this name is in either.
    pub fn has(&self, name: &str) -> bool {
        self.now.has(name) || self.next.as_ref().is_some_and(|next| next.has(name))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cast(places: &[(&str, &str)]) -> ReplicaSet {
        let seat = |(n, (district, province)): (usize, &(&str, &str))| Replica {
            station: format!("s{n}"),
            ip: String::new(),
            district: district.to_string(),
            province: province.to_string(),
            folder: n as u64,
        };
        ReplicaSet { seats: places.iter().enumerate().map(seat).collect(), edition: 1 }
    }

    fn stations(numbers: &[usize]) -> BTreeSet<String> {
        numbers.iter().map(|n| cast(&SIX).seats[*n].name()).collect()
    }

    const SIX: [(&str, &str); 6] =
        [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];

    /// Every set of copies that acknowledges, every loss that is to be borne, every set that reads after it.
    #[test]
    fn whoever_reads_after_a_loss_meets_every_write() {
        let cast = cast(&SIX);
        let subsets = || (0u32..64).map(|bits| (0..6).filter(|n| bits >> n & 1 == 1).collect::<Vec<usize>>());
        let losses: Vec<Vec<usize>> =
            (0..6).map(|n| vec![n]).chain([vec![0, 1], vec![2, 3], vec![4, 5]]).collect();
        for copies in subsets().filter(|set| cast.is_safe(&stations(set))) {
            for lost in &losses {
                let left =
                    |set: &[usize]| set.iter().copied().filter(|n| !lost.contains(n)).collect::<Vec<_>>();
                assert!(!left(&copies).is_empty(), "{copies:?} gone with {lost:?}");
                for read in subsets().filter(|set| cast.is_read(&stations(&left(set)))) {
                    assert!(left(&read).iter().any(|n| copies.contains(n)), "{copies:?} {lost:?} {read:?}");
                }
            }
        }
    }

    fn sight(full: &[&Replica], leaving: &[usize], silent: &[usize]) -> ReplicaObservations {
        let full = full.iter().map(|seat| (*seat).clone()).collect();
        ReplicaObservations { full, leaving: stations(leaving), silent: stations(silent) }
    }

    #[test]
    fn one_step_brings_all_that_changed_one_edition_above_its_base() {
        let old = cast(&SIX);
        assert_eq!(old.seats[0].name(), "s0");
        let other = |n: usize, folder: u64| Replica { folder, ..old.seats[n].clone() };
        let (lost, comes) = (other(1, 77), Replica { station: "s9".into(), ..other(2, 9) });
        // s1 lost its disk, s9 stands in silent s2's district, s5 leaves; s4 moved with its disk.
        let moved = Replica { ip: "elsewhere".into(), ..old.seats[4].clone() };
        let next = old.follow(&sight(&[&lost, &comes, &moved], &[5], &[2, 3])).unwrap();
        assert_eq!(next.edition, 2);
        let names: Vec<String> = next.seats.iter().map(Replica::name).collect();
        assert_eq!(names, ["s0", "s1#4d", "s3#3", "s4#4", "s9#9"]);
        assert!(next.seats.contains(&moved));
        assert_eq!(next.follow(&sight(&[&lost, &comes, &moved], &[], &[3])), None);
        let mut ledger = ItemStore::new();
        ledger.merge(old.item(CURRENT));
        assert_eq!(JointReplicaSets::of(&ledger).unwrap().number(), 2);
        ledger.merge(next.item(INCOMING));
        assert_eq!(
            JointReplicaSets::of(&ledger),
            Some(JointReplicaSets { now: old, next: Some(next.clone()) })
        );
        assert_eq!(JointReplicaSets::of(&ledger).unwrap().number(), 3);
        ledger.merge(next.item(CURRENT));
        assert_eq!(JointReplicaSets::of(&ledger).unwrap().number(), 4);
    }

    #[test]
    fn nobody_leaves_a_cast_that_would_bear_less() {
        // Nobody has come in the place of a silent one: it keeps its seat.
        assert_eq!(cast(&SIX).follow(&sight(&[], &[], &[0])), None);
        // One may go; a second one of any region may not: of four seats no two are enough for a write.
        let next = cast(&SIX).follow(&sight(&[], &[0, 1, 2, 3, 4, 5], &[])).unwrap();
        assert_eq!((next.seats.len(), next.has("s0")), (5, false));
        assert_eq!(cast(&SIX[..3]).follow(&sight(&[], &[0], &[])), None);
        // One that leaves is no newcomer.
        let comes = Replica { station: "s9".into(), folder: 9, ..cast(&SIX).seats[0].clone() };
        let leaves = ReplicaObservations { leaving: [comes.name()].into(), ..sight(&[&comes], &[], &[]) };
        assert_eq!(cast(&SIX).follow(&leaves), None);
    }
}
