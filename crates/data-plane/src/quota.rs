//! Quotas: the design's draw. No input or output; docs/system.md has the design and its departures.
//!
//! Ordinary path: each second, on its own timer, a gateway adds what it was offered of each tenant to the shared
//! count and reads the total. ratio = (actual - limit) / actual, limit = rate x period + room. Each request draws
//! afresh against the ratio before a backend is chosen.
//!
//! Departures, behind the draw. What passes it takes one request of the tenant's allowance, of which this gateway
//! holds some that the count's holder granted: in advance where it is offered many, one by one where it is offered
//! few. It acts where the ratio cannot know yet: a demand many times the usual that begins between two periods.
//! While the count is silent the last ratio lives for a while, and behind it stands this gateway's part of the limit,
//! as the holder told it last, which the holder leaves to it; without one, rate over gateways.

use kitepass_coordination::protocol::{TenantUsage, UsageTotals};
use kitepass_coordination::usage::{QuotaTolerance, RateLimit, ALONE};
use kitepass_gateway_policy::excess;
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

pub const PERIOD: Duration = Duration::from_micros(1_000_000);
/// A ratio that the count has not renewed lives so long; then the part alone decides.
const RATIO_LIFE: Duration = Duration::from_micros(3_000_000);
/// A request waits at most so long for a grant.
const PATIENCE: Duration = Duration::from_micros(400_000);
/// After a grant that fell short nothing is asked for so long: what goes beyond the allowance is refused at once.
const DRY: Duration = Duration::from_micros(250_000);
/// The part that was told last is gone by for so long, less than the holder leaves it; then rate over gateways.
const PART_LIFE: Duration = Duration::from_micros(8_000_000);
/// A tenant without use is forgotten after so long.
const KEPT: Duration = Duration::from_micros(30_000_000);
/// Periods in a row, after its last use, in which a tenant's count is still read.
const AFTERWARDS: u32 = 1;
/// The piece of a part's store that a gateway begins with: an earlier life may have spent the rest.
const FIRST: f64 = 0.25;
/// The piece of a part's store that is there when the count has just fallen silent.
const ONSET: f64 = 0.1;
/// Weight of the newest period in what is expected of the next, and how much more than that is held in advance.
const NEWEST: f64 = 0.4;
const AHEAD: f64 = 1.3;
/// Tenants kept at most.
const MOST: usize = 65_536;

/// What comes of a request's draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Passes,
    Refused,
    /// It waits for a grant; [`Quota::decided`] tells.
    Waits,
}

#[derive(Debug)]
struct Customer {
    rate_limit: RateLimit,
    offered: u32,
    sent: u32,
    ratio: f64,
    /// Requests thought to be left in the tenant's allowance, from totals read.
    room: f64,
    heard: Option<Timestamp>,
    /// Requests granted and not used, asked for and not answered.
    held: u32,
    asked: Option<(Timestamp, u32)>,
    waiting: VecDeque<u64>,
    dry: Timestamp,
    /// Requests a period, lately.
    expected: f64,
    /// This gateway's part, while it hears nothing of the count.
    store: f64,
    part: Option<(f64, Timestamp)>,
    as_of: Timestamp,
    used: Timestamp,
    idle: u32,
}

pub struct Quota {
    customers: BTreeMap<Arc<str>, Customer>,
    chance: oorandom::Rand64,
    gateways: usize,
    tolerance: QuotaTolerance,
    opened: Timestamp,
    /// When the newest word to the count that was answered had been sent.
    answered: Option<Timestamp>,
    asks: Vec<TenantUsage>,
    decided: Vec<(u64, bool)>,
}

impl Quota {
    pub fn new(now: Timestamp, seed: u64, tolerance: QuotaTolerance) -> Quota {
        Quota {
            customers: BTreeMap::new(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            gateways: 1,
            tolerance,
            opened: now,
            answered: None,
            asks: Vec::new(),
            decided: Vec::new(),
        }
    }

    pub fn tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// How many gateways count as live.
    pub fn live(&mut self, gateways: usize) {
        self.gateways = gateways.max(1);
    }

    /// Since when nothing has been heard of the count, if that is long ago.
    fn alone(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.answered.map_or(self.opened, |answered| answered + ALONE);
        (now >= since).then_some(since)
    }

    /// The draw of one request.
    pub fn draw(
        &mut self,
        now: Timestamp,
        tenant: &Arc<str>,
        rate_limit: RateLimit,
        request: u64,
    ) -> Verdict {
        if rate_limit.rate <= 0.0 {
            return Verdict::Passes;
        }
        let (alone, n) = (self.alone(now), self.gateways as f64);
        let depth = ((rate_limit.burst + self.tolerance.allowance(rate_limit)) / n).max(1.0);
        if !self.customers.contains_key(tenant) {
            if self.customers.len() >= MOST {
                return Verdict::Refused; // fail closed: what is not counted would pass without limit
            }
            let customer = Customer {
                rate_limit,
                offered: 0,
                sent: 0,
                ratio: 0.0,
                room: rate_limit.burst,
                heard: None,
                held: 0,
                asked: None,
                waiting: VecDeque::new(),
                dry: Timestamp::default(),
                expected: 0.0,
                // Unseen: it may pass its limit over the gateways.
                store: (FIRST * depth).max(1.0),
                part: None,
                as_of: now,
                used: now,
                idle: 0,
            };
            self.customers.insert(tenant.clone(), customer);
        }
        let customer = self.customers.get_mut(tenant).expect("put in above");
        customer.rate_limit = rate_limit;
        customer.used = now;
        customer.idle = 0;
        customer.offered = customer.offered.saturating_add(1);
        let fresh = customer.heard.is_some_and(|heard| now - heard < RATIO_LIFE);
        if fresh && self.chance.rand_float() < customer.ratio {
            return Verdict::Refused;
        }
        let passes = match alone {
            _ if customer.held > 0 => customer.take_held(),
            Some(since) => customer.take_part(now, since, n, self.tolerance),
            None if now < customer.dry => false,
            None => {
                customer.waiting.push_back(request);
                if customer.asked.is_none() {
                    self.asks.push(customer.ask(now, tenant));
                }
                return Verdict::Waits;
            }
        };
        if passes {
            Verdict::Passes
        } else {
            Verdict::Refused
        }
    }

    /// A period's end: what to add to the count.
    pub fn period(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        self.customers.retain(|_, customer| now - customer.used < KEPT || !customer.waiting.is_empty());
        let mut adds = Vec::new();
        for (tenant, customer) in &mut self.customers {
            customer.expected += (f64::from(customer.offered) - customer.expected) * NEWEST;
            if customer.offered == 0 {
                customer.idle += 1;
                if customer.idle > AFTERWARDS && customer.held == 0 {
                    continue;
                }
            }
            let (offered, sent) = (std::mem::take(&mut customer.offered), std::mem::take(&mut customer.sent));
            let target = (customer.expected * AHEAD).floor() as u32;
            let most = if customer.expected > 0.05 { target + 1 } else { 0 };
            // What is held and not needed goes back, for the others.
            let back = if customer.held > most + 2 { customer.held - most } else { 0 };
            customer.held -= back;
            let wants = if customer.asked.is_none() { target.saturating_sub(customer.held) } else { 0 };
            let held = customer.held;
            let ahead = if customer.asked.is_none() { most.saturating_sub(held + wants) } else { 0 };
            adds.push(TenantUsage {
                tenant: tenant.to_string(),
                offered,
                forwarded: sent,
                reserved: held,
                requested: wants,
                returned: back,
                prefetch: ahead,
            });
        }
        adds
    }

    /// What is to be asked for before the period ends.
    pub fn asks(&mut self) -> Vec<TenantUsage> {
        std::mem::take(&mut self.asks)
    }

    /// Requests that waited and pass, or are refused.
    pub fn decided(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.decided)
    }

    /// The count has answered a word that was sent at a moment.
    pub fn totals(&mut self, now: Timestamp, sent_at: Timestamp, totals: &UsageTotals) {
        self.answered = self.answered.max(Some(sent_at));
        for total in &totals.tenants {
            let Some((tenant, _)) = self.customers.get_key_value(total.tenant.as_str()) else {
                continue;
            };
            let tenant = tenant.clone();
            let customer = self.customers.get_mut(&tenant).expect("found above");
            customer.held = customer.held.saturating_add(total.granted);
            customer.part = Some((f64::from(total.share), now));
            if totals.is_mid_period {
                // Danger: a late answer to an earlier ask, given up since, would decide for those who wait for the
                // answer to this one.
                if customer.asked.is_none_or(|(at, _)| at > sent_at) {
                    customer.serve(&mut self.decided);
                    continue;
                }
                let wanted = customer.asked.take().map_or(0, |(_, wanted)| wanted);
                let short = total.granted < wanted;
                customer.serve(&mut self.decided);
                if short {
                    customer.dry = now + DRY;
                    self.decided.extend(customer.waiting.drain(..).map(|request| (request, false)));
                } else if !customer.waiting.is_empty() {
                    self.asks.push(customer.ask(now, &tenant));
                }
                continue;
            }
            customer.serve(&mut self.decided);
            let RateLimit { rate, burst } = customer.rate_limit;
            let past = customer.heard.map_or(PERIOD, |heard| now - heard).secs().min(3.0);
            // The room fills with what the limit leaves, and is used by what was sent beyond it.
            let sent = f64::from(total.forwarded) * past;
            customer.room = (customer.room + rate * past - sent).clamp(0.0, burst);
            let (actual, limit) = (f64::from(total.offered), rate * PERIOD.secs() + customer.room);
            customer.ratio = excess(actual, limit);
            customer.heard = Some(now);
        }
    }

    /// To be called about ten times a second: nobody waits for long where no answer comes.
    pub fn tick(&mut self, now: Timestamp) {
        let late = |c: &Customer| c.asked.is_some_and(|(at, _)| now - at > PATIENCE);
        if self.customers.values().any(late) && self.alone(now).is_none() {
            // Nothing comes back: it is alone from now on, not only after the whole time.
            self.answered = Some(now - ALONE);
        }
        let (alone, n) = (self.alone(now), self.gateways as f64);
        for customer in self.customers.values_mut() {
            if !late(customer) {
                continue;
            }
            customer.asked = None;
            while let Some(request) = customer.waiting.pop_front() {
                let passes = alone.is_some_and(|since| customer.take_part(now, since, n, self.tolerance));
                self.decided.push((request, passes));
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
    fn take_held(&mut self) -> bool {
        self.held -= 1;
        self.sent = self.sent.saturating_add(1);
        true
    }

    /// Takes one request of this gateway's own part, which fills from when it has been alone.
    fn take_part(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        gateways: f64,
        tolerance: QuotaTolerance,
    ) -> bool {
        let part =
            self.part.filter(|(_, told)| now - *told < PART_LIFE).map_or(1.0 / gateways, |(part, _)| part);
        let depth = ((self.rate_limit.burst + tolerance.allowance(self.rate_limit)) * part).max(1.0);
        if self.as_of < since {
            // Danger: what filled while others used it would be given twice. A tenth is within the slack.
            (self.store, self.as_of) = (ONSET * depth, since);
        }
        let past = (now - self.as_of).secs();
        self.as_of = now;
        self.store = (self.store + self.rate_limit.rate * part * past).min(depth);
        let passes = self.store >= 1.0;
        self.store -= f64::from(u8::from(passes));
        self.sent = self.sent.saturating_add(u32::from(passes));
        passes
    }

    /// Those that waited first are served first.
    fn serve(&mut self, decided: &mut Vec<(u64, bool)>) {
        while self.held > 0 {
            let Some(request) = self.waiting.pop_front() else { return };
            self.take_held();
            decided.push((request, true));
        }
    }

    fn ask(&mut self, now: Timestamp, tenant: &str) -> TenantUsage {
        let wants = self.waiting.len() as u32;
        self.asked = Some((now, wants));
        let ahead = 1 + (self.expected / 4.0) as u32;
        TenantUsage {
            tenant: tenant.to_owned(),
            reserved: self.held,
            requested: wants,
            prefetch: ahead,
            ..TenantUsage::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use kitepass_coordination::protocol::{TenantTotal, UsageReport};
    use kitepass_coordination::usage::UsageCounts;
    use rstest::rstest;

    const SLACK: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

    /// Eight gateways around one count, on drawn timers, for a minute: what they pass on, each with its moment.
    struct Fleet {
        limit: fn(i64) -> f64,
        /// Requests a second over all, and the share of the first gateway.
        demand: fn(i64) -> (f64, f64),
        /// A gateway's way to the count at a time.
        hears: fn(u64, i64) -> bool,
        /// A new holder begins with nothing, after some seconds without one.
        lost: fn(i64) -> bool,
    }

    /// The way to the count and back takes so many milliseconds.
    const WAY: i64 = 110;

    fn play(fleet: &Fleet, gateways: u64, seed: u64) -> (Vec<i64>, f64) {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let tenant: Arc<str> = "t".into();
        let mut quotas: Vec<Quota> =
            (0..gateways).map(|n| Quota::new(at(-5_000), seed * 8 + n, SLACK)).collect();
        let live: Vec<String> = (0..gateways).map(|n| n.to_string()).collect();
        quotas.iter_mut().for_each(|quota| quota.live(gateways as usize));
        let (mut counts, mut gone) = (UsageCounts::new(SLACK), 0);
        let (mut passed, mut offered, mut request) = (Vec::new(), 0.0, 0);
        let mut wire: VecDeque<(i64, usize, i64, kitepass_coordination::protocol::UsageTotals)> =
            VecDeque::new();
        for now in 0..60_000i64 {
            if (fleet.lost)(now) {
                (counts, gone) = (UsageCounts::new(SLACK), now + 3_000);
            }
            let rate = (fleet.limit)(now);
            let rate_limit = RateLimit { rate, burst: rate };
            for (who, quota) in quotas.iter_mut().enumerate() {
                let hears = now >= gone && (fleet.hears)(who as u64, now);
                let adds = (now % 1000 == who as i64 * 960 / gateways as i64).then(|| quota.period(at(now)));
                let asks = quota.asks();
                let messages = [(adds, false), ((!asks.is_empty()).then_some(asks), true)];
                for (adds, asks) in messages.into_iter().filter_map(|(adds, asks)| Some((adds?, asks))) {
                    if hears {
                        let message = UsageReport {
                            node_id: who.to_string(),
                            tenants: adds,
                            is_mid_period: asks,
                            ..UsageReport::default()
                        };
                        wire.push_back((
                            now + WAY,
                            who,
                            now,
                            counts.record(at(now), &message, &live, |_| Some(rate_limit)),
                        ));
                    }
                }
                if now % 100 == 0 {
                    quota.tick(at(now));
                }
            }
            while wire.front().is_some_and(|message| message.0 <= now) {
                let (_, who, sent, totals) = wire.pop_front().unwrap();
                quotas[who].totals(at(now), at(sent), &totals);
            }
            let (demand, first) = (fleet.demand)(now);
            for (who, quota) in quotas.iter_mut().enumerate() {
                let share = if who == 0 { first } else { (1.0 - first) / (gateways - 1) as f64 };
                if chance.rand_float() < demand * share / 1000.0 {
                    (offered, request) = (offered + 1.0, request + 1);
                    if quota.draw(at(now), &tenant, rate_limit, request) == Verdict::Passes {
                        passed.push(now);
                    }
                }
                passed.extend(quota.decided().iter().filter(|(_, passes)| *passes).map(|_| now));
            }
        }
        (passed, offered)
    }

    const ALL: fn(u64, i64) -> bool = |_, _| true;
    const NEVER: fn(i64) -> bool = |_| false;
    const CALM: fn(i64) -> (f64, f64) = |_| (150.0, 0.125);
    const BURST: fn(i64) -> (f64, f64) =
        |now| if now / 7_000 % 2 == 1 { (1500.0, 0.125) } else { (100.0, 0.125) };
    const MOVES: fn(i64) -> (f64, f64) = |now| (800.0, if now / 5_000 % 2 == 1 { 0.8 } else { 0.02 });
    const SPELLS: fn(u64, i64) -> bool = |who, now| who > 2 || now / 9_000 % 2 == 0;
    const LOST: fn(i64) -> bool = |now| now % 16_000 == 4_321;

    /// The bound holds in every window: with a demand many times the usual that begins between two periods or moves
    /// between gateways; while gateways are cut off, and demand moves to them; and while a holder is lost. Where
    /// the demand is within the quota hardly anything is refused, also where a gateway's part is below one.
    #[rstest]
    #[case::calm(Fleet { limit: |_| 200.0, demand: CALM, hears: ALL, lost: NEVER }, 8, 0.99)]
    #[case::burst(Fleet { limit: |_| 200.0, demand: BURST, hears: ALL, lost: NEVER }, 8, 0.0)]
    #[case::moves(Fleet { limit: |_| 200.0, demand: MOVES, hears: ALL, lost: NEVER }, 8, 0.0)]
    #[case::cut(Fleet { limit: |_| 200.0, demand: MOVES, hears: SPELLS, lost: NEVER }, 8, 0.0)]
    #[case::lost(Fleet { limit: |_| 200.0, demand: MOVES, hears: ALL, lost: LOST }, 8, 0.0)]
    #[case::silent(Fleet { limit: |_| 200.0, demand: BURST, hears: |_, now| now < 20_000, lost: NEVER }, 8, 0.0)]
    #[case::calm_while_one_is_lost(Fleet { limit: |_| 200.0, demand: CALM, hears: ALL, lost: LOST }, 8, 0.9)]
    #[case::spread_thin(Fleet { limit: |_| 200.0, demand: CALM, hears: ALL, lost: NEVER }, 60, 0.98)]
    #[case::spread_thin_and_moves(Fleet { limit: |_| 200.0, demand: MOVES, hears: SPELLS, lost: LOST }, 60, 0.0)]
    fn no_window_passes_more_than_the_quota(#[case] fleet: Fleet, #[case] gateways: u64, #[case] least: f64) {
        for seed in 0..3 {
            let (passed, offered) = play(&fleet, gateways, seed);
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
        let (passed, _) = play(&fleet, 8, 3);
        for end in (36_000..60_000).step_by(50) {
            let sent = passed.iter().filter(|at| (end - 5_000..end).contains(*at)).count() as f64;
            assert!(sent <= 600.0 * 1.1 + 20.0, "{sent} in the 5 s before {end}");
        }
    }

    /// The ordinary path by itself: each request draws against the ratio of all that was offered; refused requests
    /// count as offered, and an unlimited tenant is not counted at all.
    #[test]
    fn the_draw_follows_the_ratio_of_all_that_was_offered() {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let mut quota = Quota::new(at(0), 1, SLACK);
        let (tenant, rate_limit) = ("t".into(), RateLimit { rate: 100.0, burst: 0.0 });
        let total = TenantTotal {
            tenant: "t".into(),
            offered: 400.0,
            forwarded: 100.0,
            granted: 1_000_000,
            share: 1.0,
        };
        quota.draw(at(0), &tenant, rate_limit, 0);
        quota.totals(at(1), at(0), &UsageTotals { tenants: vec![total], ..UsageTotals::default() });
        let customer = &quota.customers["t"];
        assert!((customer.ratio - 0.75).abs() < 1e-6, "{}", customer.ratio);
        let passed =
            (0..4_000).filter(|n| quota.draw(at(1 + n), &tenant, rate_limit, 0) == Verdict::Passes).count();
        assert!(
            (1_650..1_850).contains(&passed),
            "{passed}: a quarter for the 3 s that the ratio lives, then all"
        );
        assert_eq!(quota.period(at(4_100))[0].offered, 4_001);
        let free = RateLimit { rate: 0.0, burst: 0.0 };
        assert!(quota.draw(at(1), &"free".into(), free, 0) == Verdict::Passes && quota.len() == 1);
    }

    /// The answer to an ask that was given up decides nothing for those who wait for a later one; what it grants counts.
    #[rstest]
    #[case::nothing(0, vec![])]
    #[case::one(1, vec![(2, true)])]
    fn a_late_answer_to_an_earlier_ask_refuses_nobody(
        #[case] granted: u32,
        #[case] decided: Vec<(u64, bool)>,
    ) {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let mut quota = Quota::new(at(-9_000), 1, SLACK);
        let (tenant, rate_limit) = ("t".into(), RateLimit { rate: 10.0, burst: 10.0 });
        let total = |granted| TenantTotal { tenant: "t".into(), granted, ..TenantTotal::default() };
        let answer = |granted| UsageTotals {
            tenants: vec![total(granted)],
            is_mid_period: true,
            ..UsageTotals::default()
        };
        quota.totals(at(0), at(0), &UsageTotals::default());
        assert_eq!((quota.draw(at(10), &tenant, rate_limit, 1), quota.asks().len()), (Verdict::Waits, 1));
        quota.tick(at(500));
        assert_eq!(quota.decided().len(), 1, "given up");
        quota.totals(at(510), at(505), &UsageTotals::default());
        for request in [2, 3] {
            assert_eq!(quota.draw(at(520), &tenant, rate_limit, request), Verdict::Waits);
        }
        assert_eq!(quota.asks().len(), 1);
        quota.totals(at(600), at(10), &answer(granted));
        assert_eq!(quota.decided(), decided);
        quota.totals(at(650), at(520), &answer(2));
        let passed = quota.decided();
        assert!(passed.iter().all(|(_, passes)| *passes) && passed.len() + decided.len() == 2, "{passed:?}");
    }

    /// Whoever waits where no answer comes is refused or passed by the gateway's part, and nobody twice.
    #[test]
    fn nobody_waits_for_long_and_what_is_beyond_is_refused_at_once() {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let mut quota = Quota::new(at(-9_000), 1, SLACK);
        let (tenant, rate_limit) = ("t".into(), RateLimit { rate: 10.0, burst: 10.0 });
        quota.totals(at(0), at(0), &UsageTotals::default());
        let waits: Vec<Verdict> = (0..3).map(|n| quota.draw(at(10), &tenant, rate_limit, n)).collect();
        assert_eq!((waits, quota.asks().len()), (vec![Verdict::Waits; 3], 1));
        let total = TenantTotal { tenant: "t".into(), granted: 0, ..TenantTotal::default() };
        quota.totals(
            at(50),
            at(10),
            &UsageTotals { tenants: vec![total], is_mid_period: true, ..UsageTotals::default() },
        );
        assert_eq!(quota.decided(), [(0, false), (1, false), (2, false)]);
        assert_eq!(quota.draw(at(60), &tenant, rate_limit, 4), Verdict::Refused);
        assert_eq!(quota.draw(at(400), &tenant, rate_limit, 5), Verdict::Waits);
        quota.tick(at(500));
        assert!(quota.decided().is_empty());
        quota.tick(at(900));
        assert_eq!((quota.decided(), quota.decided()), (vec![(5, false)], vec![]));
    }
}
