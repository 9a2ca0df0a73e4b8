//! The shared count: what each tenant asked of all gateways, period by period, and the part of its limit that
//! each gateway may use on its own.
//!
//! A gateway adds what it was offered in its last period and reads the total. Periods of gateways do not begin
//! together, so the total of a period is the sum of each gateway's newest whole one.
//!
//! Parts: a quota binds over all gateways in every window, also over those that hear nothing. Each gateway is told a
//! part with each total; parts go by what each was offered lately, and a fixed piece of the limit goes to all
//! alike, so that one that hears nothing has something to fall back on that nobody else is given.

use crate::words::{Add, Adds, Total, Totals};
use kitepass::{Moment, Span};
use std::collections::BTreeMap;

/// A gateway's newest period counts for so long.
const FRESH: Span = Span::from_micros(1_700_000);
/// A gateway uses the part it was told for at most so long after it last heard; then what it falls back on.
pub const PART_LIFE: Span = Span::from_micros(5_000_000);
/// For so long a silent gateway's part stays its own: its life, and the time that a word may be on its way.
const HELD: Span = Span::from_micros(6_500_000);
/// A new holder renews parts and lets none grow before all that are there have had time to add. Danger: the first
/// to add would be told that all is its own, while the others still use what an earlier holder told them.
const LEARNING: Span = Span::from_micros(1_500_000);
/// The piece of a limit that goes to all gateways alike.
pub const ALIKE: f64 = 0.25;
/// Tenants kept at most; beyond that the longest unused go.
const MOST_TENANTS: usize = 65_536;

#[derive(Debug)]
struct Report {
    at: Moment,
    offered: f64,
    sent: f64,
    weight: f64,
    /// The part told, beyond the piece that goes to all alike.
    granted: f64,
}

/// The counts that one process holds.
pub struct Counts {
    since: Moment,
    tenants: BTreeMap<String, BTreeMap<String, Report>>,
}

impl Counts {
    /// Counts begin empty, and are rebuilt from those who told of them: by a period every gateway has added.
    pub fn new(now: Moment) -> Counts {
        Counts { since: now, tenants: BTreeMap::new() }
    }

    /// Adds a gateway's period and reads the totals; `live` is how many gateways count as live.
    pub fn add(&mut self, now: Moment, adds: &Adds, live: usize) -> Totals {
        let learning = now - self.since < LEARNING;
        let mut totals = Vec::with_capacity(adds.adds.len());
        for add in &adds.adds {
            totals.push(self.one(now, &adds.station, add, live, learning));
        }
        Totals { ticket: adds.ticket, station: adds.station.clone(), totals, life: adds.life }
    }

    fn one(&mut self, now: Moment, station: &str, add: &Add, live: usize, learning: bool) -> Total {
        if self.tenants.len() >= MOST_TENANTS && !self.tenants.contains_key(&add.tenant) {
            self.sweep(now);
        }
        let gateways = self.tenants.entry(add.tenant.clone()).or_default();
        gateways.retain(|_, report| now - report.at < HELD);
        let (offered, sent) = (f64::from(add.offered), f64::from(add.sent));
        let last = gateways.get(station).map_or(offered, |report| report.weight);
        let weight = (last + offered) / 2.0;
        let others = gateways.iter().filter(|(name, _)| *name != station);
        let (weights, granted) =
            others.fold((0.0, 0.0), |(w, g), (_, report)| (w + report.weight, g + report.granted));
        let wanted = if learning {
            f64::from(add.held).max(0.0)
        } else {
            (1.0 - ALIKE) * weight / (weights + weight).max(f64::EPSILON)
        };
        // What the others were told and may still use is not given twice. Danger: one that is cut off may use what
        // an earlier holder told it: until that is over for sure, only what is known to be held is moved about.
        let known = granted + gateways.get(station).map_or(f64::from(add.held), |report| report.granted);
        let whole = if now - self.since < HELD { known.min(1.0 - ALIKE) } else { 1.0 - ALIKE };
        let granted = wanted.min(whole - granted).max(0.0);
        let report = Report { at: now, offered, sent, weight, granted };
        gateways.insert(station.to_owned(), report);
        let fresh = |report: &&Report| now - report.at < FRESH;
        let offered: f64 = gateways.values().filter(fresh).map(|report| report.offered).sum();
        let sent: f64 = gateways.values().filter(fresh).map(|report| report.sent).sum();
        let share = granted + ALIKE / live.max(1) as f64;
        Total { tenant: add.tenant.clone(), offered: offered as f32, sent: sent as f32, share: share as f32 }
    }

    /// Forgets tenants that nobody adds to.
    pub fn sweep(&mut self, now: Moment) {
        self.tenants.retain(|_, gateways| {
            gateways.retain(|_, report| now - report.at < HELD);
            !gateways.is_empty()
        });
    }

    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn adds(station: &str, offered: u32) -> Adds {
        let add = Add { tenant: "t".into(), offered, sent: offered / 2, held: -1.0 };
        Adds { station: station.into(), adds: vec![add], ..Adds::default() }
    }

    /// Whatever gateways are offered, come or fall silent: the parts in use never add up to over one.
    #[test]
    fn parts_in_use_never_add_up_to_more_than_the_whole() {
        let mut most: f64 = 0.0;
        for seed in 0..50 {
            let mut chance = oorandom::Rand64::new(seed);
            let at = |millis: i64| Moment::from_micros(millis * 1000);
            let mut counts = Counts::new(at(0));
            let (mut told, mut live) = (BTreeMap::new(), 8);
            told.extend((0..8).map(|who| (who, (0, 1.0 / 8.0))));
            for now in (0..60_000).step_by(100) {
                if chance.rand_range(0..300) == 0 {
                    counts = Counts::new(at(now)); // its holder is lost, another begins
                }
                let who = chance.rand_range(0..8u64);
                // Two gateways in turn are cut off for long.
                if (now / 10_000) as u64 % 4 != who {
                    let mut adds = adds(&who.to_string(), chance.rand_range(0..100) as u32);
                    let held = told.get(&who).filter(|(when, _)| now - when < PART_LIFE.micros() / 1000);
                    adds.adds[0].held = held.map_or(0.0, |(_, share)| (*share - ALIKE / 8.0) as f32);
                    let total = counts.add(at(now), &adds, live);
                    told.insert(who, (now, f64::from(total.totals[0].share)));
                }
                live = live.max(8);
                let parts: f64 = (0..8)
                    .map(|who| match told.get(&who) {
                        Some((when, share)) if now - when < PART_LIFE.micros() / 1000 => *share,
                        _ => ALIKE / live as f64,
                    })
                    .sum();
                assert!(parts < 1.0 + 1e-3, "seed {seed} at {now}: {parts}");
                most = most.max(parts);
            }
        }
        assert!(most > 0.95, "parts stay far below the whole: {most}");
    }

    #[test]
    fn totals_are_of_each_gateways_newest_period() {
        let at = |millis: i64| Moment::from_micros(millis * 1000);
        let mut counts = Counts::new(at(0));
        counts.add(at(0), &adds("a", 10), 2);
        counts.add(at(500), &adds("b", 30), 2);
        let total = counts.add(at(1000), &adds("a", 20), 2).totals.remove(0);
        assert_eq!((total.offered, total.sent, total.share), (50.0, 25.0, 0.125));
        let total = counts.add(at(3000), &adds("a", 0), 2).totals.remove(0);
        assert_eq!(total.offered, 0.0);
        assert!(total.share > 0.0);
        counts.sweep(at(60_000));
        assert!(counts.is_empty());
    }
}
