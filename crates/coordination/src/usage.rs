//! The shared count: what each tenant asked of all gateways, period by period, and the tenant's allowance, of which
//! gateways hold requests in advance.
//!
//! A gateway adds what it was offered in its last period and reads the total. Periods of gateways do not begin
//! together, so the total of a period is the sum of each gateway's newest whole one.
//!
//! The allowance: a quota binds over all gateways in every window, however suddenly a demand begins and wherever it
//! moves. So a store a tenant fills at its rate, and a gateway passes on only what it was granted from there: a few
//! requests in advance where it is offered many, one by one where it is offered few. What gateways hold counts as
//! being in the store. A gateway that hears nothing of the holder goes by its part: half by what it was offered of the
//! tenant lately, half alike; and the holder leaves that part to whom it does not hear.

use crate::protocol::{TenantTotal, TenantUsage, UsageReport, UsageTotals};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// A gateway's newest period counts for so long.
const FRESH: Duration = Duration::from_micros(1_700_000);
/// A gateway that has not been heard for so long is thought to go by its part.
const HEARD: Duration = Duration::from_micros(2_500_000);
/// A gateway that has had no answer for so long, since it asked, goes by its part. It is shorter than the holder's
/// time: the overlap is borne by the slack, and a lost holder is felt for a shorter time.
pub const ALONE: Duration = Duration::from_micros(1_300_000);
/// What a silent gateway was granted is thought to be used up after so long.
const HELD: Duration = Duration::from_micros(10_000_000);
/// The part of what the operators bear beyond a limit that the store holds on top.
const SLACK_USED: f64 = 0.6;
/// The part of the gateways that is heard is reckoned so often.
const RECKON: Duration = Duration::from_micros(250_000);
/// The part of a full store from which nothing is granted in advance.
const PLENTY: f64 = 0.4;
/// The part of the slack that a new holder's stores begin with: what is left of it beside the part that is used.
const FIRST: f64 = 0.25;
/// Tenants kept at most; beyond that the longest unused go.
const MOST_TENANTS: usize = 65_536;

/// A tenant's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests a second; no limit at 0.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
}

/// What the operators bear beyond a limit, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Seconds of a window.
    pub window: f64,
    /// Part of what a window allows, and requests.
    pub excess: f64,
    pub margin: f64,
}

impl QuotaTolerance {
    /// Requests that the store holds on top of the surge.
    pub fn allowance(self, rate_limit: RateLimit) -> f64 {
        SLACK_USED * (self.excess * (rate_limit.rate * self.window + rate_limit.burst) + self.margin)
    }
}

#[derive(Debug, Default)]
struct Report {
    at: Timestamp,
    offered: f64,
    sent: f64,
    held: f64,
    asked: Timestamp,
    /// What it was told to go by if it hears nothing more.
    part: f64,
}

#[derive(Debug)]
struct Pool {
    rate_limit: RateLimit,
    store: f64,
    as_of: Timestamp,
    reports: BTreeMap<String, Report>,
}

/// The counts that one process holds.
pub struct UsageCounts {
    tenants: BTreeMap<String, Pool>,
    heard: BTreeMap<String, Timestamp>,
    tolerance: QuotaTolerance,
    /// Live gateways that are not heard, of how many, and when that was reckoned.
    unheard: Vec<String>,
    live: usize,
    reckoned: Timestamp,
}

impl UsageCounts {
    /// Counts begin empty, and are rebuilt from those who told of them: by a period every gateway has added. Danger:
    /// an earlier holder may have granted all there was a moment ago; so the stores begin with next to nothing.
    pub fn new(tolerance: QuotaTolerance) -> UsageCounts {
        let (tenants, heard) = (BTreeMap::new(), BTreeMap::new());
        UsageCounts {
            tenants,
            heard,
            tolerance,
            unheard: Vec::new(),
            live: 0,
            reckoned: Timestamp::default(),
        }
    }

    /// Adds a gateway's period and reads the totals, or grants what it asks for between two periods. `live` are
    /// the gateways that count as live, `rate_limit` says a tenant's limit.
    pub fn record(
        &mut self,
        now: Timestamp,
        adds: &UsageReport,
        live: &[String],
        rate_limit: impl Fn(&str) -> Option<RateLimit>,
    ) -> UsageTotals {
        let known = self.heard.insert(adds.node_id.clone(), now).is_some_and(|at| now - at < HEARD);
        // Reckoned now and then: for each word it would grow with the square of the gateways.
        if !known || now - self.reckoned >= RECKON || self.live != live.len() {
            let silent = |s: &&String| self.heard.get(*s).is_none_or(|at| now - *at >= HEARD);
            (self.unheard, self.live) = (live.iter().filter(silent).cloned().collect(), live.len());
            self.reckoned = now;
        }
        let mut totals = Vec::with_capacity(adds.tenants.len());
        for add in &adds.tenants {
            if let Some(rate_limit) = rate_limit(&add.tenant).filter(|rate_limit| rate_limit.rate > 0.0) {
                totals.push(self.one(now, adds, add, rate_limit));
            }
        }
        UsageTotals {
            request_id: adds.request_id,
            node_id: adds.node_id.clone(),
            tenants: totals,
            incarnation: adds.incarnation,
            is_mid_period: adds.is_mid_period,
        }
    }

    fn one(
        &mut self,
        now: Timestamp,
        adds: &UsageReport,
        add: &TenantUsage,
        rate_limit: RateLimit,
    ) -> TenantTotal {
        if self.tenants.len() >= MOST_TENANTS && !self.tenants.contains_key(&add.tenant) {
            self.expire(now);
        }
        let store = FIRST / SLACK_USED * self.tolerance.allowance(rate_limit);
        let fresh = || Pool { rate_limit, store, as_of: now, reports: BTreeMap::new() };
        let pool = self.tenants.entry(add.tenant.clone()).or_insert_with(fresh);
        pool.rate_limit = rate_limit;
        pool.reports.retain(|_, report| now - report.asked < HELD);
        let report = pool.reports.entry(adds.node_id.clone()).or_default();
        (report.asked, report.held) = (now, f64::from(add.reserved));
        if !adds.is_mid_period {
            (report.at, report.offered, report.sent) =
                (now, f64::from(add.offered), f64::from(add.forwarded));
        }
        let held: f64 = pool.reports.values().map(|report| report.held).sum();
        let past = (now - pool.as_of).secs();
        pool.as_of = now;
        let alike = 1.0 / self.live.max(1) as f64;
        let theirs = |s: &String| pool.reports.get(s).map_or(alike, |report| report.part);
        let part = (1.0 - self.unheard.iter().map(theirs).sum::<f64>()).max(0.0);
        let most = rate_limit.burst + self.tolerance.allowance(rate_limit) - held;
        pool.store =
            (pool.store + rate_limit.rate * part * past + f64::from(add.returned)).min(most.max(0.0));
        let wanted = f64::from(add.requested).min(pool.store.floor()).max(0.0);
        pool.store -= wanted;
        // What is held in advance is out of the others' reach: of a half of the store there is none.
        let plenty = pool.store - PLENTY * (rate_limit.burst + self.tolerance.allowance(rate_limit));
        let ahead = f64::from(add.prefetch).min(plenty.floor()).max(0.0);
        pool.store -= ahead;
        let granted = wanted + ahead;
        let report = pool.reports.get_mut(&adds.node_id).expect("put in above");
        report.held += granted;
        let fresh = |report: &&Report| report.at != Timestamp::default() && now - report.at < FRESH;
        let offered: f64 = pool.reports.values().filter(fresh).map(|report| report.offered).sum();
        let sent: f64 = pool.reports.values().filter(fresh).map(|report| report.sent).sum();
        let report = pool.reports.get_mut(&adds.node_id).expect("put in above");
        if !adds.is_mid_period || report.part == 0.0 {
            report.part = (report.offered / offered.max(1.0) + alike) / 2.0;
        }
        let (offered, sent, granted, part) =
            (offered as f32, sent as f32, granted as u32, report.part as f32);
        TenantTotal { tenant: add.tenant.clone(), offered, forwarded: sent, granted, share: part }
    }

    /// Forgets tenants that nobody adds to, and gateways that are gone.
    pub fn expire(&mut self, now: Timestamp) {
        self.tenants.retain(|_, pool| {
            pool.reports.retain(|_, report| now - report.asked < HELD);
            // A store that is full again is as good as a new one is not: it is kept for as long as it fills.
            !pool.reports.is_empty() || (now - pool.as_of).secs() < 60.0
        });
        self.heard.retain(|_, at| now - *at < HELD);
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

    const SLACK: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

    fn adds(node_id: &str, offered: u32, wants: u32, asks: bool) -> UsageReport {
        let add = TenantUsage {
            tenant: "t".into(),
            offered,
            forwarded: offered / 2,
            requested: wants,
            ..TenantUsage::default()
        };
        UsageReport {
            node_id: node_id.into(),
            tenants: vec![add],
            is_mid_period: asks,
            ..UsageReport::default()
        }
    }

    fn live(number: usize) -> Vec<String> {
        (0..number).map(|n| format!("g{n}")).collect()
    }

    #[test]
    fn totals_are_of_each_gateways_newest_period_and_asking_adds_nothing() {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let rate_limit = |_: &str| Some(RateLimit { rate: 10.0, burst: 10.0 });
        let mut counts = UsageCounts::new(SLACK);
        counts.record(at(0), &adds("g0", 10, 0, false), &live(2), rate_limit);
        counts.record(at(500), &adds("g1", 30, 0, false), &live(2), rate_limit);
        counts.record(at(700), &adds("g1", 99, 0, true), &live(2), rate_limit);
        let total =
            counts.record(at(1000), &adds("g0", 20, 0, false), &live(2), rate_limit).tenants.remove(0);
        assert_eq!((total.offered, total.forwarded), (50.0, 25.0));
        let total = counts.record(at(3000), &adds("g0", 0, 0, false), &live(2), rate_limit).tenants.remove(0);
        assert_eq!(total.offered, 0.0);
        counts.expire(at(90_000));
        assert!(counts.is_empty());
    }

    /// Whoever asks for whatever: what is granted in any window fits the limit and the slack; a gateway that is
    /// not heard has its part left to it.
    #[test]
    fn grants_fit_the_limit_in_every_window() {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let rate_limit = |_: &str| Some(RateLimit { rate: 40.0, burst: 40.0 });
        for silent in [0u64, 4] {
            let (mut chance, mut counts) =
                (oorandom::Rand64::new(u128::from(silent)), UsageCounts::new(SLACK));
            let mut granted: Vec<(i64, u32)> = Vec::new();
            for now in (0..60_000).step_by(10) {
                let who = silent + chance.rand_range(0..8 - silent);
                let message = adds(&format!("g{who}"), 5, chance.rand_range(0..9) as u32, true);
                granted
                    .push((now, counts.record(at(now), &message, &live(8), rate_limit).tenants[0].granted));
            }
            let rate = 40.0 * (8 - silent) as f64 / 8.0;
            for end in (5_000..60_000).step_by(500) {
                let within = granted.iter().filter(|(at, _)| (end - 5_000..end).contains(at));
                let sum = f64::from(within.map(|(_, n)| *n).sum::<u32>());
                assert!(
                    sum <= rate * 5.0 + 40.0 + SLACK.allowance(RateLimit { rate: 40.0, burst: 40.0 }) + 1.0,
                    "{sum}"
                );
                assert!(end < 10_000 || sum >= rate * 5.0 - 2.0, "{sum} only");
            }
        }
    }
}
