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
    pub node_id: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub region: String,
    /// Drawn when an empty folder is first written, and kept in it; 0 for folders older than that.
    #[prost(fixed64, tag = "5")]
    pub replica_id: u64,
}

impl Replica {
    /// What copies, promises, votes and readings go by. Danger: by its station alone, one that lost its disk would be
    /// held to have what the earlier disk held, and to have promised nothing.
    pub fn name(&self) -> String {
        match self.replica_id {
            0 => self.node_id.clone(),
            replica_id => format!("{}#{replica_id:x}", self.node_id),
        }
    }
}

impl From<&Hello> for Replica {
    fn from(hello: &Hello) -> Replica {
        let Hello { node_id, address, zone, region, replica_id, .. } = hello.clone();
        Replica { node_id, address, zone, region, replica_id }
    }
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaSet {
    #[prost(message, repeated, tag = "1")]
    pub replicas: Vec<Replica>,
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// What the holder of the duty sees of the stations as it works the next cast out. All but `full` are seats' names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservations {
    /// Stations that are heard now and whose folder is full.
    pub complete: BTreeSet<Replica>,
    /// Those that said that they leave.
    pub shutting_down: BTreeSet<String>,
    /// Those that have been silent for long.
    pub unresponsive: BTreeSet<String>,
}

impl ReplicaSet {
    pub fn load(item_store: &ItemStore, name: &str) -> Option<ReplicaSet> {
        ReplicaSet::from_item(item_store.get(Kind::ReplicaSet, name)?)
    }

    /// None where the item is dropped, or is no cast.
    pub fn from_item(item: &Item) -> Option<ReplicaSet> {
        ReplicaSet::decode(item.value.clone()?).ok()
    }

    pub fn to_item(&self, name: &str) -> Item {
        let value = Some(self.encode_to_vec().into());
        Item { kind: Kind::ReplicaSet, name: Arc::from(name), version: self.version, value }
    }

    /// Whether the seat of this name is in it.
    pub fn contains(&self, name: &str) -> bool {
        self.replicas.iter().any(|replica| replica.name() == name)
    }

    /// Copies that a write needs, and votes that a lease needs.
    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Full holders, asked one by one, that together know all that was ever acknowledged: so many that the
    /// rest is fewer than the copies of any write. Seats that lost their disk are neither asked nor rest.
    pub fn read_quorum(&self) -> usize {
        self.replicas.len() + 1 - self.majority()
    }

    fn among<'a>(&'a self, names: &'a BTreeSet<String>) -> impl Iterator<Item = &'a Replica> {
        self.replicas.iter().filter(|replica| names.contains(&replica.name()))
    }

    /// Whether these seats' copies make a write safe: a majority, and not all in one province or district.
    /// Danger: a zone's or a region's disks may be lost at once, while the others lose power.
    pub fn is_write_quorum(&self, copies: &BTreeSet<String>) -> bool {
        self.is_lease_quorum(copies) && is_spread(&self.replicas, copies)
    }

    /// Whether these full seats together know all that was acknowledged.
    pub fn is_read_quorum(&self, heard: &BTreeSet<String>) -> bool {
        self.among(heard).count() >= self.read_quorum()
    }

    /// Whether these seats' votes are enough for a lease.
    pub fn is_lease_quorum(&self, votes: &BTreeSet<String>) -> bool {
        self.among(votes).count() >= self.majority()
    }

    /// Losses of a whole province or district after which the rest still reads, and still takes writes.
    fn bears(&self) -> BTreeSet<(bool, String, bool)> {
        let mut all = BTreeSet::new();
        for by_province in [true, false] {
            let place = |replica: &Replica| if by_province { &replica.region } else { &replica.zone }.clone();
            for lost in self.replicas.iter().map(place).collect::<BTreeSet<String>>() {
                let rest = self
                    .replicas
                    .iter()
                    .filter(|replica| place(replica) != lost)
                    .map(Replica::name)
                    .collect();
                if self.is_read_quorum(&rest) {
                    all.insert((by_province, lost.clone(), false));
                }
                if self.is_write_quorum(&rest) {
                    all.insert((by_province, lost, true));
                }
            }
        }
        all
    }

    /// Whether each majority of this one has a seat in common with each of the other.
    pub fn majorities_intersect(&self, other: &ReplicaSet) -> bool {
        let all = self
            .replicas
            .iter()
            .chain(&other.replicas)
            .map(Replica::name)
            .collect::<BTreeSet<String>>()
            .len();
        self.majority() + other.majority() > all
    }

    fn without(&self, name: &str) -> ReplicaSet {
        let replicas = self.replicas.iter().filter(|replica| replica.name() != name).cloned().collect();
        ReplicaSet { replicas, version: self.version }
    }

    /// The cast that follows this one, if another should: one edition above it, so that of two that are worked out
    /// from one base only one can be decided.
    pub fn successor(&self, sight: &ReplicaObservations) -> Option<ReplicaSet> {
        let mut next = ReplicaSet { replicas: self.replicas.clone(), version: self.version + 1 };
        // A station has one seat: that of the folder, and at the place, with which it is seen now.
        for comes in sight.complete.iter().filter(|replica| !sight.shutting_down.contains(&replica.name())) {
            next.replicas.retain(|replica| replica.node_id != comes.node_id);
            next.replicas.push(comes.clone());
        }
        next.replicas.sort();
        // A silent seat goes only where another stands in its district: a newcomer has taken its place.
        for replica in self.replicas.iter().filter(|replica| sight.unresponsive.contains(&replica.name())) {
            let stands = |o: &Replica| o.zone == replica.zone && !sight.unresponsive.contains(&o.name());
            if next.replicas.len() > 1 && next.replicas.iter().any(stands) {
                next = next.without(&replica.name());
            }
        }
        // Danger: seats that leave one after another would leave a cast that the next loss ends. One stays on the list,
        // for its successor to take its place, if without it the rest would bear less than now or be too few.
        for name in &sight.shutting_down {
            let fewer = next.without(name);
            let bears = || fewer.bears().is_superset(&next.bears_without(name));
            if next.contains(name) && fewer.replicas.len() >= FEWEST && bears() {
                next = fewer;
            }
        }
        (next.replicas != self.replicas).then_some(next)
    }

    /// What it bears, places left out of which the seat of this name is the last one.
    fn bears_without(&self, name: &str) -> BTreeSet<(bool, String, bool)> {
        let rest = self.without(name);
        let has = |by_province: bool, place: &str| {
            rest.replicas.iter().any(|s| place == if by_province { &s.region } else { &s.zone })
        };
        self.bears().into_iter().filter(|(by_province, place, _)| has(*by_province, place)).collect()
    }
}

/// Whether the copies lie in more than one province and more than one district, where the seats do. Danger: a zone's or a
/// region's disks may be lost at once, while the others lose power.
fn is_spread(replicas: &[Replica], copies: &BTreeSet<String>) -> bool {
    let spread = |of: fn(&Replica) -> &str| {
        let all: BTreeSet<&str> = replicas.iter().map(of).collect();
        let with = replicas.iter().filter(|replica| copies.contains(&replica.name()));
        all.len() < 2 || with.map(of).collect::<BTreeSet<&str>>().len() > 1
    };
    spread(|replica| &replica.region) && spread(|replica| &replica.zone)
}

/// The casts that decide: the one in force, and the one that is being brought in, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointReplicaSets {
    pub current: ReplicaSet,
    pub incoming: Option<ReplicaSet>,
}

impl JointReplicaSets {
    /// By what is decided.
    pub fn load(item_store: &ItemStore) -> Option<JointReplicaSets> {
        Some(
            JointReplicaSets { current: ReplicaSet::load(item_store, CURRENT)?, incoming: None }
                .with_incoming(ReplicaSet::load(item_store, INCOMING)),
        )
    }

    /// With a `next` that is decided, or that this process has accepted: it follows if it is the one after `now`.
    pub fn with_incoming(self, next: Option<ReplicaSet>) -> JointReplicaSets {
        let next = next.filter(|next| next.version > self.current.version);
        JointReplicaSets { incoming: next.or(self.incoming), current: self.current }
    }

    /// Eras in order: twice the edition in force, and one more while the next cast is being brought in.
    pub fn epoch(&self) -> u64 {
        self.current.version * 2 + u64::from(self.incoming.is_some())
    }

    fn both(&self, holds: impl Fn(&ReplicaSet) -> bool) -> bool {
        holds(&self.current) && self.incoming.as_ref().is_none_or(holds)
    }

    /// Danger: what one cast alone took for safe, the other would not read. So too for readings and votes. Copies lie in more
    /// than one place of both casts together. Danger: a cast that lost the one seat outside of a region could not let its
    /// successor in, if copies had to lie there by that cast alone.
    pub fn is_write_quorum(&self, copies: &BTreeSet<String>) -> bool {
        let next = self.incoming.iter().flat_map(|next| &next.replicas);
        let replicas: Vec<Replica> = self.current.replicas.iter().chain(next).cloned().collect();
        self.is_lease_quorum(copies) && is_spread(&replicas, copies)
    }

    pub fn is_read_quorum(&self, heard: &BTreeSet<String>) -> bool {
        self.both(|replica_set| replica_set.is_read_quorum(heard))
    }

    pub fn is_lease_quorum(&self, votes: &BTreeSet<String>) -> bool {
        self.both(|replica_set| replica_set.is_lease_quorum(votes))
    }

    /// The newest of them.
    pub fn newest(&self) -> &ReplicaSet {
        self.incoming.as_ref().unwrap_or(&self.current)
    }

    /// Whether the seat of this name is in either.
    pub fn contains(&self, name: &str) -> bool {
        self.current.contains(name) || self.incoming.as_ref().is_some_and(|next| next.contains(name))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn replica_set(places: &[(&str, &str)]) -> ReplicaSet {
        let replica = |(n, (zone, region)): (usize, &(&str, &str))| Replica {
            node_id: format!("s{n}"),
            address: String::new(),
            zone: zone.to_string(),
            region: region.to_string(),
            replica_id: n as u64,
        };
        ReplicaSet { replicas: places.iter().enumerate().map(replica).collect(), version: 1 }
    }

    fn node_ids(numbers: &[usize]) -> BTreeSet<String> {
        numbers.iter().map(|n| replica_set(&SIX).replicas[*n].name()).collect()
    }

    const SIX: [(&str, &str); 6] =
        [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];

    /// Every set of copies that acknowledges, every loss that is to be borne, every set that reads after it.
    #[test]
    fn whoever_reads_after_a_loss_meets_every_write() {
        let replica_set = replica_set(&SIX);
        let subsets = || (0u32..64).map(|bits| (0..6).filter(|n| bits >> n & 1 == 1).collect::<Vec<usize>>());
        let losses: Vec<Vec<usize>> =
            (0..6).map(|n| vec![n]).chain([vec![0, 1], vec![2, 3], vec![4, 5]]).collect();
        for copies in subsets().filter(|set| replica_set.is_write_quorum(&node_ids(set))) {
            for lost in &losses {
                let left =
                    |set: &[usize]| set.iter().copied().filter(|n| !lost.contains(n)).collect::<Vec<_>>();
                assert!(!left(&copies).is_empty(), "{copies:?} gone with {lost:?}");
                for read in subsets().filter(|set| replica_set.is_read_quorum(&node_ids(&left(set)))) {
                    assert!(left(&read).iter().any(|n| copies.contains(n)), "{copies:?} {lost:?} {read:?}");
                }
            }
        }
    }

    fn sight(full: &[&Replica], leaving: &[usize], silent: &[usize]) -> ReplicaObservations {
        let full = full.iter().map(|replica| (*replica).clone()).collect();
        ReplicaObservations {
            complete: full,
            shutting_down: node_ids(leaving),
            unresponsive: node_ids(silent),
        }
    }

    #[test]
    fn one_step_brings_all_that_changed_one_edition_above_its_base() {
        let old = replica_set(&SIX);
        assert_eq!(old.replicas[0].name(), "s0");
        let other = |n: usize, replica_id: u64| Replica { replica_id, ..old.replicas[n].clone() };
        let (lost, comes) = (other(1, 77), Replica { node_id: "s9".into(), ..other(2, 9) });
        // s1 lost its disk, s9 stands in silent s2's district, s5 leaves; s4 moved with its disk.
        let moved = Replica { address: "elsewhere".into(), ..old.replicas[4].clone() };
        let next = old.successor(&sight(&[&lost, &comes, &moved], &[5], &[2, 3])).unwrap();
        assert_eq!(next.version, 2);
        let names: Vec<String> = next.replicas.iter().map(Replica::name).collect();
        assert_eq!(names, ["s0", "s1#4d", "s3#3", "s4#4", "s9#9"]);
        assert!(next.replicas.contains(&moved));
        assert_eq!(next.successor(&sight(&[&lost, &comes, &moved], &[], &[3])), None);
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
    fn nobody_leaves_a_cast_that_would_bear_less() {
        // Nobody has come in the place of a silent one: it keeps its seat.
        assert_eq!(replica_set(&SIX).successor(&sight(&[], &[], &[0])), None);
        // One may go; a second one of any region may not: of four seats no two are enough for a write.
        let next = replica_set(&SIX).successor(&sight(&[], &[0, 1, 2, 3, 4, 5], &[])).unwrap();
        assert_eq!((next.replicas.len(), next.contains("s0")), (5, false));
        assert_eq!(replica_set(&SIX[..3]).successor(&sight(&[], &[0], &[])), None);
        // One that leaves is no newcomer.
        let comes = Replica { node_id: "s9".into(), replica_id: 9, ..replica_set(&SIX).replicas[0].clone() };
        let leaves =
            ReplicaObservations { shutting_down: [comes.name()].into(), ..sight(&[&comes], &[], &[]) };
        assert_eq!(replica_set(&SIX).successor(&leaves), None);
    }
}
