//! The cast: which control processes make up the core, and how many of them must keep or say a thing.
//!
//! Two items of the ledger tell it: `now`, the cast in force, and `next`, one that is being brought in. Casts
//! follow one another by one seat at a time, so that a majority of one meets every majority of the next; `next`
//! becomes `now` only once a majority of both has it on disk.

use kitepass_tenet::{Item, Kind, Ledger};
use prost::Message;
use std::collections::BTreeSet;
use std::sync::Arc;

pub const NOW: &str = "now";
pub const NEXT: &str = "next";

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Seat {
    #[prost(string, tag = "1")]
    pub station: String,
    #[prost(string, tag = "2")]
    pub ip: String,
    #[prost(string, tag = "3")]
    pub district: String,
    #[prost(string, tag = "4")]
    pub province: String,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cast {
    #[prost(message, repeated, tag = "1")]
    pub seats: Vec<Seat>,
    #[prost(uint64, tag = "2")]
    pub edition: u64,
}

impl Cast {
    pub fn of(ledger: &Ledger, name: &str) -> Option<Cast> {
        let item = ledger.get(Kind::Cast, name)?;
        Cast::decode(item.value.clone()?).ok()
    }

    pub fn item(&self, name: &str) -> Item {
        let value = Some(self.encode_to_vec().into());
        Item { kind: Kind::Cast, name: Arc::from(name), edition: self.edition, value }
    }

    pub fn has(&self, station: &str) -> bool {
        self.seats.iter().any(|seat| seat.station == station)
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

    /// Whether these stations' copies make a write safe: a majority, and not all in one province or district.
    /// Danger: a zone's or a region's disks may be lost at once, while the others lose power.
    pub fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        let with: Vec<&Seat> = self.seats.iter().filter(|seat| copies.contains(&seat.station)).collect();
        let spread = |of: fn(&Seat) -> &str| {
            let all: BTreeSet<&str> = self.seats.iter().map(of).collect();
            let these: BTreeSet<&str> = with.iter().map(|seat| of(seat)).collect();
            all.len() < 2 || these.len() > 1
        };
        with.len() >= self.majority() && spread(|seat| &seat.province) && spread(|seat| &seat.district)
    }

    /// Whether these full stations together know all that was acknowledged.
    pub fn is_read(&self, heard: &BTreeSet<String>) -> bool {
        self.seats.iter().filter(|seat| heard.contains(&seat.station)).count() >= self.reading()
    }

    /// The cast that follows when somebody full stands at the door: one more seat; else, where some have been silent for
    /// long and another stands in the same district, one seat of those fewer.
    pub fn follow(&self, edition: u64, comes: Option<&Seat>, silent: &BTreeSet<String>) -> Option<Cast> {
        let mut seats = self.seats.clone();
        if let Some(comes) = comes.filter(|seat| !self.has(&seat.station)) {
            seats.push(comes.clone());
            seats.sort();
            return Some(Cast { seats, edition });
        }
        // A silent seat goes only where another stands in its district: a newcomer has taken its place.
        let goes = seats.iter().position(|seat| {
            let another = |o: &Seat| {
                o.station != seat.station && o.district == seat.district && !silent.contains(&o.station)
            };
            silent.contains(&seat.station) && self.seats.iter().any(another)
        })?;
        seats.remove(goes);
        Some(Cast { seats, edition })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cast(places: &[(&str, &str)]) -> Cast {
        let seat = |(n, (district, province)): (usize, &(&str, &str))| Seat {
            station: format!("s{n}"),
            ip: String::new(),
            district: district.to_string(),
            province: province.to_string(),
        };
        Cast { seats: places.iter().enumerate().map(seat).collect(), edition: 1 }
    }

    fn stations(numbers: &[usize]) -> BTreeSet<String> {
        numbers.iter().map(|n| format!("s{n}")).collect()
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

    #[test]
    fn casts_follow_by_one_seat_and_their_majorities_meet() {
        let old = cast(&SIX);
        let comes =
            Seat { station: "s9".into(), ip: String::new(), district: "a1".into(), province: "a".into() };
        let more = old.follow(2, Some(&comes), &BTreeSet::new()).unwrap();
        assert_eq!((more.seats.len(), more.majority() + old.majority() > 7), (7, true));
        assert_eq!(more.follow(3, Some(&comes), &BTreeSet::new()), None);
        let fewer = more.follow(3, None, &stations(&[0])).unwrap();
        assert!(fewer.seats.len() == 6 && fewer.has("s9") && !fewer.has("s0"));
        // Nobody has come in the place of a silent one: it keeps its seat.
        assert_eq!(old.follow(2, None, &stations(&[0])), None);
        let mut ledger = Ledger::new();
        ledger.merge(fewer.item(NOW));
        assert_eq!(Cast::of(&ledger, NOW), Some(fewer));
    }
}
