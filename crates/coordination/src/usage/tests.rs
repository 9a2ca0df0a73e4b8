//! Totals and grants across several gateways.

use super::*;

const TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn report(node_id: &str, offered: u32, requested: u32, is_mid_period: bool) -> UsageReport {
    let usage = TenantUsage {
        tenant: "t".into(),
        offered,
        forwarded: offered / 2,
        requested,
        ..TenantUsage::default()
    };
    UsageReport { node_id: node_id.into(), tenants: vec![usage], is_mid_period, ..UsageReport::default() }
}

fn live(number: usize) -> Vec<String> {
    (0..number).map(|n| format!("g{n}")).collect()
}

#[test]
fn totals_cover_each_gateways_newest_period_and_ignore_mid_period_reports() {
    let rate_limit = |_: &str| Some(RateLimit { rate: 10.0, burst: 10.0 });
    let mut counts = UsageCounts::new(TOLERANCE);
    counts.record(at(0), &report("g0", 10, 0, false), &live(2), rate_limit);
    counts.record(at(500), &report("g1", 30, 0, false), &live(2), rate_limit);
    counts.record(at(700), &report("g1", 99, 0, true), &live(2), rate_limit);
    let totals = counts.record(at(1000), &report("g0", 20, 0, false), &live(2), rate_limit);
    assert_eq!((totals.tenants[0].offered, totals.tenants[0].forwarded), (50.0, 25.0));
    let totals = counts.record(at(3000), &report("g0", 0, 0, false), &live(2), rate_limit);
    assert_eq!(totals.tenants[0].offered, 0.0);
    counts.expire(at(90_000));
    assert!(counts.is_empty());
}

/// Grants to gateways with random requests stay within the limit plus the tolerance in every window. The shares of
/// silent gateways are not granted to others.
#[test]
fn grants_stay_within_the_limit_in_every_window() {
    const LIMIT: RateLimit = RateLimit { rate: 40.0, burst: 40.0 };
    for silent in [0u64, 4] {
        let mut rng = oorandom::Rand64::new(u128::from(silent));
        let mut counts = UsageCounts::new(TOLERANCE);
        let mut granted: Vec<(i64, u32)> = Vec::new();
        for now in (0..60_000).step_by(10) {
            let gateway = silent + rng.rand_range(0..8 - silent);
            let report = report(&format!("g{gateway}"), 5, rng.rand_range(0..9) as u32, true);
            let totals = counts.record(at(now), &report, &live(8), |_| Some(LIMIT));
            granted.push((now, totals.tenants[0].granted));
        }
        let rate = LIMIT.rate * (8 - silent) as f64 / 8.0;
        for end in (5_000..60_000).step_by(500) {
            let within = granted.iter().filter(|(at, _)| (end - 5_000..end).contains(at));
            let sum = f64::from(within.map(|(_, number)| *number).sum::<u32>());
            assert!(sum <= rate * 5.0 + LIMIT.burst + TOLERANCE.allowance(LIMIT) + 1.0, "{sum}");
            assert!(end < 10_000 || sum >= rate * 5.0 - 2.0, "only {sum} granted");
        }
    }
}
