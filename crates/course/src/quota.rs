//! Quotas: the design's draw. No input or output; docs/system.md has the design and its departures.
//!
//! Ordinary path: each second, on its own timer, a gateway adds what it was offered of each tenant to the shared
//! count and reads the total. ratio = (actual - limit) / actual, limit = rate x period + room. Each request draws
//! afresh against the ratio before a backend is chosen.
//!
//! Departure: behind the draw stands this gateway's part of the limit, a store that fills with the part's rate. It
//! acts where the ratio cannot yet know: when a demand many times the usual begins between two periods, and when
//! the count is silent. All gateways' parts add up to the limit, cut off or not.

use kitepass::{Moment, Span};
use kitepass_bond::count::{ALIKE, PART_LIFE};
use kitepass_bond::words::{Add, Total};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const PERIOD: Span = Span::from_micros(1_000_000);
/// A ratio that the count has not renewed lives so long; then the part alone decides.
const RATIO_LIFE: Span = PART_LIFE;
/// A tenant without use is forgotten after so long.
const KEPT: Span = Span::from_micros(30_000_000);
/// Periods in a row, after its last use, in which a tenant's count is still read.
const AFTERWARDS: u32 = 3;
/// The piece of a first store that a gateway begins with: an earlier life may have spent the rest.
const FIRST: f64 = 0.25;
/// Tenants kept at most.
const MOST: usize = 65_536;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Requests a second; no limit at 0.
    pub rate: f64,
    /// Requests on top.
    pub surge: f64,
}

/// What the operators bear beyond a limit, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slack {
    /// Seconds of a window.
    pub window: f64,
    /// Part of what a window allows, and requests.
    pub excess: f64,
    pub margin: f64,
}

/// The part of the slack that is divided among the gateways, so that a small part of a limit still takes two or
/// three requests that come together; the rest is for requests that are sent in one window and arrive in the next.
const SLACK_USED: f64 = 0.7;

#[derive(Debug)]
struct Customer {
    terms: Terms,
    offered: u32,
    sent: u32,
    ratio: f64,
    /// Requests thought to be left in the tenant's allowance, from totals read.
    room: f64,
    heard: Option<Moment>,
    share: f64,
    told: Option<Moment>,
    store: f64,
    as_of: Moment,
    used: Moment,
    idle: u32,
}

pub struct Quota {
    customers: BTreeMap<Arc<str>, Customer>,
    chance: oorandom::Rand64,
    gateways: usize,
    slack: Slack,
}

impl Quota {
    pub fn new(seed: u64, slack: Slack) -> Quota {
        let chance = oorandom::Rand64::new(u128::from(seed));
        Quota { customers: BTreeMap::new(), chance, gateways: 1, slack }
    }

    pub fn slack(&mut self, slack: Slack) {
        self.slack = slack;
    }

    /// The most that a gateway's store holds.
    fn depth(&self, Terms { rate, surge }: Terms, share: f64) -> f64 {
        let Slack { window, excess, margin } = self.slack;
        let slack = excess * (rate * window + surge) + margin;
        surge * share + SLACK_USED * slack / self.gateways as f64
    }

    /// How many gateways count as live.
    pub fn live(&mut self, gateways: usize) {
        self.gateways = gateways.max(1);
    }

    /// The draw of one request; false refuses it.
    pub fn draw(&mut self, now: Moment, tenant: &Arc<str>, terms: Terms) -> bool {
        if terms.rate <= 0.0 {
            return true;
        }
        let alone = 1.0 / self.gateways as f64;
        if !self.customers.contains_key(tenant) {
            if self.customers.len() >= MOST {
                return false; // fail closed: what is not counted would pass without limit
            }
            // Unseen: it may pass its limit over the gateways.
            let store = FIRST * (terms.rate * alone + self.depth(terms, alone));
            let customer = Customer {
                terms,
                offered: 0,
                sent: 0,
                ratio: 0.0,
                room: terms.surge,
                heard: None,
                share: alone,
                told: Some(now),
                store,
                as_of: now,
                used: now,
                idle: 0,
            };
            self.customers.insert(tenant.clone(), customer);
        }
        let share = self.customers[tenant].share;
        let depth = self.depth(terms, share);
        let customer = self.customers.get_mut(tenant).expect("put in above");
        customer.terms = terms;
        customer.used = now;
        customer.idle = 0;
        customer.offered = customer.offered.saturating_add(1);
        customer.fill(now, alone, depth);
        let fresh = customer.heard.is_some_and(|heard| now - heard < RATIO_LIFE);
        let ratio = if fresh { customer.ratio } else { 0.0 };
        let beyond = self.chance.rand_float() < ratio || customer.store < 1.0;
        if !beyond {
            customer.store -= 1.0;
            customer.sent = customer.sent.saturating_add(1);
        }
        !beyond
    }

    /// A period's end: what to add to the count.
    pub fn period(&mut self, now: Moment) -> Vec<Add> {
        self.customers.retain(|_, customer| now - customer.used < KEPT);
        let mut adds = Vec::new();
        for (tenant, customer) in &mut self.customers {
            if customer.offered == 0 {
                customer.idle += 1;
                if customer.idle > AFTERWARDS {
                    continue;
                }
            }
            let (offered, sent) = (std::mem::take(&mut customer.offered), std::mem::take(&mut customer.sent));
            let fresh = customer.told.is_some_and(|told| now - told < PART_LIFE);
            let held = if fresh { (customer.share - ALIKE / self.gateways as f64).max(0.0) } else { 0.0 };
            adds.push(Add { tenant: tenant.to_string(), offered, sent, held: held as f32 });
        }
        adds
    }

    /// Totals that were read.
    pub fn totals(&mut self, now: Moment, totals: &[Total]) {
        let alone = 1.0 / self.gateways as f64;
        for total in totals {
            let Some(customer) = self.customers.get_mut(total.tenant.as_str()) else { continue };
            let Terms { rate, surge } = customer.terms;
            let past = customer.heard.map_or(PERIOD, |heard| now - heard).secs().min(3.0);
            // The room fills with what the limit leaves, and is used by what was sent beyond it.
            let sent = f64::from(total.sent) * past;
            customer.room = (customer.room + rate * past - sent).clamp(0.0, surge);
            let (actual, limit) = (f64::from(total.offered), rate * PERIOD.secs() + customer.room);
            customer.ratio = excess(actual, limit);
            customer.heard = Some(now);
            if total.share >= 0.0 {
                customer.fill(now, alone, f64::MAX);
                customer.share = f64::from(total.share);
                customer.told = Some(now);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.customers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

impl Customer {
    /// Brings the store up to now.
    fn fill(&mut self, now: Moment, alone: f64, depth: f64) {
        let past = (now - self.as_of).secs().max(0.0);
        self.as_of = now;
        // Danger: one that hears nothing goes on with a part that is given to others by now.
        if self.told.is_none_or(|told| now - told >= PART_LIFE) {
            self.share = self.share.min(ALIKE * alone);
        }
        self.store = (self.store + self.terms.rate * self.share * past).min(depth);
    }
}

/// The design's ratio.
fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use kitepass_bond::count::Counts;
    use kitepass_bond::words::Adds;
    use rstest::rstest;

    /// Eight gateways around one count, on drawn timers, for a minute: what they pass on, each with its moment.
    struct Fleet {
        limit: fn(i64) -> f64,
        /// Requests a second over all, and the share of the first gateway.
        demand: fn(i64) -> (f64, f64),
        /// A gateway's way to the count at a time.
        hears: fn(u64, i64) -> bool,
        /// A new holder begins with nothing.
        lost: fn(i64) -> bool,
    }

    fn play(fleet: &Fleet, seed: u64) -> (Vec<i64>, f64) {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let at = |millis: i64| Moment::from_micros(millis * 1000);
        let tenant: Arc<str> = "t".into();
        let mut gateways: Vec<Quota> = (0..8).map(|n| Quota::new(seed * 8 + n, SLACK)).collect();
        gateways.iter_mut().for_each(|quota| quota.live(8));
        let mut counts = Counts::new(at(-10_000));
        let (mut passed, mut offered) = (Vec::new(), 0.0);
        for now in 0..60_000i64 {
            if (fleet.lost)(now) {
                counts = Counts::new(at(now));
            }
            for who in 0..8u64 {
                if now % 1000 == who as i64 * 120 {
                    let adds = gateways[who as usize].period(at(now));
                    if (fleet.hears)(who, now) {
                        let station = who.to_string();
                        let totals = counts.add(at(now), &Adds { station, adds, ..Adds::default() }, 8);
                        gateways[who as usize].totals(at(now), &totals.totals);
                    }
                }
            }
            let (rate, first) = (fleet.demand)(now);
            for (who, quota) in gateways.iter_mut().enumerate() {
                let share = if who == 0 { first } else { (1.0 - first) / 7.0 };
                if chance.rand_float() < rate * share / 1000.0 {
                    offered += 1.0;
                    let rate = (fleet.limit)(now);
                    if quota.draw(at(now), &tenant, Terms { rate, surge: rate }) {
                        passed.push(now);
                    }
                }
            }
        }
        (passed, offered)
    }

    const SLACK: Slack = Slack { window: 5.0, excess: 0.1, margin: 20.0 };
    const ALL: fn(u64, i64) -> bool = |_, _| true;
    const NEVER: fn(i64) -> bool = |_| false;
    const CALM: fn(i64) -> (f64, f64) = |_| (150.0, 0.125);
    const BURST: fn(i64) -> (f64, f64) =
        |now| if now / 7_000 % 2 == 1 { (1500.0, 0.125) } else { (100.0, 0.125) };
    const MOVES: fn(i64) -> (f64, f64) = |now| (800.0, if now / 5_000 % 2 == 1 { 0.8 } else { 0.02 });

    /// The bound holds in every window: with a demand many times the usual that begins between two periods or moves
    /// between gateways; while gateways are cut off, and demand moves to them; and while a holder restarts.
    #[rstest]
    #[case::calm(Fleet { limit: |_| 200.0, demand: CALM, hears: ALL, lost: NEVER }, 0.99)]
    #[case::burst(Fleet { limit: |_| 200.0, demand: BURST, hears: ALL, lost: NEVER }, 0.0)]
    #[case::moves(Fleet { limit: |_| 200.0, demand: MOVES, hears: ALL, lost: NEVER }, 0.0)]
    #[case::cut(Fleet { limit: |_| 200.0, demand: MOVES, hears: |who, now| who > 2 || now / 9_000 % 2 == 0, lost: NEVER }, 0.0)]
    #[case::restart(Fleet { limit: |_| 200.0, demand: MOVES, hears: ALL, lost: |now| now % 8_000 == 4_321 }, 0.0)]
    #[case::silent(Fleet { limit: |_| 200.0, demand: BURST, hears: |_, now| now < 20_000, lost: NEVER }, 0.0)]
    #[case::calm_while_it_restarts(Fleet { limit: |_| 200.0, demand: CALM, hears: ALL, lost: |now| now % 8_000 == 4_321 }, 0.98)]
    fn no_window_passes_more_than_the_quota(#[case] fleet: Fleet, #[case] least: f64) {
        for seed in 0..4 {
            let (passed, offered) = play(&fleet, seed);
            for end in (5_000..60_000).step_by(50) {
                let sent = passed.iter().filter(|at| (end - 5_000..end).contains(*at)).count() as f64;
                assert!(sent <= (200.0 * 5.0 + 200.0) * 1.1 + 20.0, "{sent} in the 5 s before {end}");
            }
            assert!(passed.len() as f64 / offered >= least, "{} of {offered} passed", passed.len());
            assert!(passed.len() > 3_000, "{} passed only", passed.len());
        }
    }

    #[test]
    fn a_limit_that_falls_in_mid_period_binds_within_a_window() {
        let limit = |now| if now < 30_500 { 400.0 } else { 100.0 };
        let fleet = Fleet { limit, demand: |_| (900.0, 0.125), hears: ALL, lost: NEVER };
        let (passed, _) = play(&fleet, 3);
        for end in (36_000..60_000).step_by(50) {
            let sent = passed.iter().filter(|at| (end - 5_000..end).contains(*at)).count() as f64;
            assert!(sent <= 600.0 * 1.1 + 20.0, "{sent} in the 5 s before {end}");
        }
    }

    /// The ordinary path by itself: with steady demand beyond the limit the draw passes on the limit, whatever the
    /// parts; refused requests count as offered, and an unlimited tenant is not counted at all.
    #[test]
    fn the_draw_follows_the_ratio_of_all_that_was_offered() {
        let mut quota = Quota::new(1, SLACK);
        quota.live(1);
        let (tenant, terms) = ("t".into(), Terms { rate: 100.0, surge: 0.0 });
        let at = |millis: i64| Moment::from_micros(millis * 1000);
        let total = |offered| Total { tenant: "t".into(), offered, sent: 100.0, share: 1.0 };
        quota.draw(at(0), &tenant, terms);
        quota.totals(at(1), &[total(400.0)]);
        let customer = &quota.customers["t"];
        assert!((customer.ratio - 0.75).abs() < 1e-6, "{}", customer.ratio);
        let drawn = (0..10_000)
            .filter(|n| quota.draw(at(1000 + n), &tenant, Terms { rate: 1e6, surge: 1e6 }))
            .count();
        assert!(
            (6_800..7_200).contains(&drawn),
            "{drawn}: a quarter for the 4 s that the ratio lives, then all"
        );
        let adds = quota.period(at(12_000));
        assert_eq!(adds[0].offered, 10_001);
        assert!(quota.draw(at(1), &"free".into(), Terms { rate: 0.0, surge: 0.0 }) && quota.len() == 1);
    }
}
