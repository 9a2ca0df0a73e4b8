use super::*;
use kitepass_coordination::protocol::{TenantTotal, UsageReport};
use kitepass_coordination::usage::UsageCounts;
use rstest::rstest;
use std::collections::VecDeque;

const TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

/// Simulated gateways with one coordinator, each on its own timer, for a minute.
struct Scenario {
    /// The rate limit at a time, in requests a second. Times are in milliseconds.
    limit: fn(i64) -> f64,
    /// The requests a second over all gateways, and the fraction that the first gateway gets.
    demand: fn(i64) -> (f64, f64),
    /// Whether a gateway can reach the coordinator at a time.
    is_connected: fn(u64, i64) -> bool,
    /// Whether the coordinator is lost at a time. A new one starts with empty counts after 3 seconds.
    loses_coordinator: fn(i64) -> bool,
}

/// Totals in transit to a gateway.
struct InTransit {
    arrives_at: i64,
    gateway: usize,
    sent_at: i64,
    totals: UsageTotals,
}

/// The result of a simulation.
struct SimulationResult {
    /// When each admitted request was admitted.
    admitted: Vec<i64>,
    /// The number of requests offered.
    offered: f64,
}

/// Round-trip time between a gateway and the coordinator.
const ROUND_TRIP_MILLIS: i64 = 110;

fn simulate(scenario: &Scenario, gateways: u64, seed: u64) -> SimulationResult {
    let mut rng = oorandom::Rand64::new(u128::from(seed));
    let at = |millis: i64| Timestamp::from_micros(millis * 1000);
    let tenant: Arc<str> = "t".into();
    let mut quotas: Vec<Quota> =
        (0..gateways).map(|n| Quota::new(at(-5_000), seed * 8 + n, TOLERANCE)).collect();
    let live: Vec<String> = (0..gateways).map(|n| n.to_string()).collect();
    quotas.iter_mut().for_each(|quota| quota.set_live_gateways(gateways as usize));
    let (mut counts, mut coordinator_back_at) = (UsageCounts::new(TOLERANCE), 0);
    let (mut admitted, mut offered, mut request) = (Vec::new(), 0.0, 0);
    let mut in_transit: VecDeque<InTransit> = VecDeque::new();
    for now in 0..60_000i64 {
        if (scenario.loses_coordinator)(now) {
            (counts, coordinator_back_at) = (UsageCounts::new(TOLERANCE), now + 3_000);
        }
        let rate = (scenario.limit)(now);
        let rate_limit = RateLimit { rate, burst: rate };
        for (gateway, quota) in quotas.iter_mut().enumerate() {
            let is_connected = now >= coordinator_back_at && (scenario.is_connected)(gateway as u64, now);
            let usage =
                (now % 1000 == gateway as i64 * 960 / gateways as i64).then(|| quota.close_period(at(now)));
            let grant_requests = quota.take_grant_requests();
            let messages = [(usage, false), ((!grant_requests.is_empty()).then_some(grant_requests), true)];
            for (usage, is_mid_period) in
                messages.into_iter().filter_map(|(usage, is_mid_period)| Some((usage?, is_mid_period)))
            {
                if is_connected {
                    let message = UsageReport {
                        node_id: gateway.to_string(),
                        tenants: usage,
                        is_mid_period,
                        ..UsageReport::default()
                    };
                    in_transit.push_back(InTransit {
                        arrives_at: now + ROUND_TRIP_MILLIS,
                        gateway,
                        sent_at: now,
                        totals: counts.record(at(now), &message, &live, |_| Some(rate_limit)),
                    });
                }
            }
            if now % 100 == 0 {
                quota.tick(at(now));
            }
        }
        while in_transit.front().is_some_and(|message| message.arrives_at <= now) {
            let InTransit { gateway, sent_at, totals, .. } = in_transit.pop_front().unwrap();
            quotas[gateway].apply_totals(at(now), at(sent_at), &totals);
        }
        let (demand, first) = (scenario.demand)(now);
        for (gateway, quota) in quotas.iter_mut().enumerate() {
            let share = if gateway == 0 { first } else { (1.0 - first) / (gateways - 1) as f64 };
            if rng.rand_float() < demand * share / 1000.0 {
                (offered, request) = (offered + 1.0, request + 1);
                if quota.admit(at(now), &tenant, rate_limit, RequestId(request)) == Admission::Admitted {
                    admitted.push(now);
                }
            }
            admitted
                .extend(quota.take_decisions().iter().filter(|decision| decision.is_admitted).map(|_| now));
        }
    }
    SimulationResult { admitted, offered }
}

fn admitted(request: u64) -> Decision {
    Decision { request: RequestId(request), is_admitted: true }
}

fn rejected(request: u64) -> Decision {
    Decision { request: RequestId(request), is_admitted: false }
}

const ALWAYS_CONNECTED: fn(u64, i64) -> bool = |_, _| true;
const NEVER_LOST: fn(i64) -> bool = |_| false;
const STEADY: fn(i64) -> (f64, f64) = |_| (150.0, 0.125);
const BURST: fn(i64) -> (f64, f64) =
    |now| if now / 7_000 % 2 == 1 { (1500.0, 0.125) } else { (100.0, 0.125) };
const MOVING: fn(i64) -> (f64, f64) = |now| (800.0, if now / 5_000 % 2 == 1 { 0.8 } else { 0.02 });
const INTERMITTENT: fn(u64, i64) -> bool = |gateway, now| gateway > 2 || now / 9_000 % 2 == 0;
const COORDINATOR_LOST: fn(i64) -> bool = |now| now % 16_000 == 4_321;

/// The limit holds in every window: when load rises to many times its usual level between two periods or moves between
/// gateways, when gateways are partitioned from the coordinator while load moves to them, and when the coordinator is
/// lost. Load within the quota is hardly ever rejected, even if a gateway's share is below one request.
#[rstest]
#[case::steady(Scenario { limit: |_| 200.0, demand: STEADY, is_connected: ALWAYS_CONNECTED, loses_coordinator: NEVER_LOST }, 8, 0.99)]
#[case::burst(Scenario { limit: |_| 200.0, demand: BURST, is_connected: ALWAYS_CONNECTED, loses_coordinator: NEVER_LOST }, 8, 0.0)]
#[case::moving(Scenario { limit: |_| 200.0, demand: MOVING, is_connected: ALWAYS_CONNECTED, loses_coordinator: NEVER_LOST }, 8, 0.0)]
#[case::partition(Scenario { limit: |_| 200.0, demand: MOVING, is_connected: INTERMITTENT, loses_coordinator: NEVER_LOST }, 8, 0.0)]
#[case::coordinator_lost(Scenario { limit: |_| 200.0, demand: MOVING, is_connected: ALWAYS_CONNECTED, loses_coordinator: COORDINATOR_LOST }, 8, 0.0)]
#[case::disconnected(Scenario { limit: |_| 200.0, demand: BURST, is_connected: |_, now| now < 20_000, loses_coordinator: NEVER_LOST }, 8, 0.0)]
#[case::steady_while_coordinator_is_lost(Scenario { limit: |_| 200.0, demand: STEADY, is_connected: ALWAYS_CONNECTED, loses_coordinator: COORDINATOR_LOST }, 8, 0.9)]
#[case::many_gateways(Scenario { limit: |_| 200.0, demand: STEADY, is_connected: ALWAYS_CONNECTED, loses_coordinator: NEVER_LOST }, 60, 0.98)]
#[case::many_gateways_and_moving(Scenario { limit: |_| 200.0, demand: MOVING, is_connected: INTERMITTENT, loses_coordinator: COORDINATOR_LOST }, 60, 0.0)]
fn no_window_admits_more_than_the_quota(
    #[case] scenario: Scenario,
    #[case] gateways: u64,
    #[case] min_admitted_fraction: f64,
) {
    for seed in 0..3 {
        let SimulationResult { admitted, offered } = simulate(&scenario, gateways, seed);
        for end in (5_000..60_000).step_by(50) {
            let sent = admitted.iter().filter(|at| (end - 5_000..end).contains(*at)).count() as f64;
            assert!(sent <= (200.0 * 5.0 + 200.0) * 1.1 + 20.0, "{sent} in the 5 s before {end}");
        }
        assert!(
            admitted.len() as f64 / offered >= min_admitted_fraction,
            "{} of {offered} admitted",
            admitted.len()
        );
        assert!(admitted.len() > 3_000, "only {} admitted", admitted.len());
    }
}

#[test]
fn a_limit_lowered_in_mid_period_takes_effect_within_a_window() {
    let limit = |now| if now < 30_500 { 400.0 } else { 100.0 };
    let scenario = Scenario {
        limit,
        demand: |_| (900.0, 0.125),
        is_connected: ALWAYS_CONNECTED,
        loses_coordinator: NEVER_LOST,
    };
    let SimulationResult { admitted, .. } = simulate(&scenario, 8, 3);
    for end in (36_000..60_000).step_by(50) {
        let sent = admitted.iter().filter(|at| (end - 5_000..end).contains(*at)).count() as f64;
        assert!(sent <= 600.0 * 1.1 + 20.0, "{sent} in the 5 s before {end}");
    }
}

/// The basic mechanism alone: the ratio covers all requests offered, including rejected ones, and each request is
/// rejected with that probability. A tenant without a limit is not counted.
#[test]
fn the_draw_follows_the_ratio_of_all_that_was_offered() {
    let at = |millis: i64| Timestamp::from_micros(millis * 1000);
    let mut quota = Quota::new(at(0), 1, TOLERANCE);
    let (tenant, rate_limit) = ("t".into(), RateLimit { rate: 100.0, burst: 0.0 });
    let total =
        TenantTotal { tenant: "t".into(), offered: 400.0, forwarded: 100.0, granted: 1_000_000, share: 1.0 };
    quota.admit(at(0), &tenant, rate_limit, RequestId(0));
    quota.apply_totals(at(1), at(0), &UsageTotals { tenants: vec![total], ..UsageTotals::default() });
    let tenant_quota = &quota.tenants["t"];
    assert!((tenant_quota.rejection_ratio - 0.75).abs() < 1e-6, "{}", tenant_quota.rejection_ratio);
    let admitted = (0..4_000)
        .filter(|n| quota.admit(at(1 + n), &tenant, rate_limit, RequestId(0)) == Admission::Admitted)
        .count();
    assert!(
        (1_650..1_850).contains(&admitted),
        "{admitted}: expected a quarter for the 3 s that the ratio is valid, then all"
    );
    assert_eq!(quota.close_period(at(4_100))[0].offered, 4_001);
    let free = RateLimit { rate: 0.0, burst: 0.0 };
    assert!(
        quota.admit(at(1), &"free".into(), free, RequestId(0)) == Admission::Admitted && quota.len() == 1
    );
}

/// A late reply to a grant request that was given up must not reject the requests that wait for the reply to a later
/// one. The grants in it are still used.
#[rstest]
#[case::nothing(0, vec![])]
#[case::one(1, vec![admitted(2)])]
fn a_late_answer_to_an_earlier_grant_request_rejects_nobody(
    #[case] granted: u32,
    #[case] decided: Vec<Decision>,
) {
    let at = |millis: i64| Timestamp::from_micros(millis * 1000);
    let mut quota = Quota::new(at(-9_000), 1, TOLERANCE);
    let (tenant, rate_limit) = ("t".into(), RateLimit { rate: 10.0, burst: 10.0 });
    let total = |granted| TenantTotal { tenant: "t".into(), granted, ..TenantTotal::default() };
    let answer = |granted| UsageTotals {
        tenants: vec![total(granted)],
        is_mid_period: true,
        ..UsageTotals::default()
    };
    quota.apply_totals(at(0), at(0), &UsageTotals::default());
    assert_eq!(
        (quota.admit(at(10), &tenant, rate_limit, RequestId(1)), quota.take_grant_requests().len()),
        (Admission::Pending, 1)
    );
    quota.tick(at(500));
    assert_eq!(quota.take_decisions().len(), 1, "decided when the grant request is given up");
    quota.apply_totals(at(510), at(505), &UsageTotals::default());
    for request in [2, 3] {
        assert_eq!(quota.admit(at(520), &tenant, rate_limit, RequestId(request)), Admission::Pending);
    }
    assert_eq!(quota.take_grant_requests().len(), 1);
    quota.apply_totals(at(600), at(10), &answer(granted));
    assert_eq!(quota.take_decisions(), decided);
    quota.apply_totals(at(650), at(520), &answer(2));
    let admitted = quota.take_decisions();
    assert!(
        admitted.iter().all(|decision| decision.is_admitted) && admitted.len() + decided.len() == 2,
        "{admitted:?}"
    );
}

/// Without a reply, waiting requests are rejected or admitted from the local share, each of them exactly once.
#[test]
fn requests_wait_for_a_bounded_time_and_excess_is_rejected_at_once() {
    let at = |millis: i64| Timestamp::from_micros(millis * 1000);
    let mut quota = Quota::new(at(-9_000), 1, TOLERANCE);
    let (tenant, rate_limit) = ("t".into(), RateLimit { rate: 10.0, burst: 10.0 });
    quota.apply_totals(at(0), at(0), &UsageTotals::default());
    let waits: Vec<Admission> =
        (0..3).map(|n| quota.admit(at(10), &tenant, rate_limit, RequestId(n))).collect();
    assert_eq!((waits, quota.take_grant_requests().len()), (vec![Admission::Pending; 3], 1));
    let total = TenantTotal { tenant: "t".into(), granted: 0, ..TenantTotal::default() };
    quota.apply_totals(
        at(50),
        at(10),
        &UsageTotals { tenants: vec![total], is_mid_period: true, ..UsageTotals::default() },
    );
    assert_eq!(quota.take_decisions(), [rejected(0), rejected(1), rejected(2)]);
    assert_eq!(quota.admit(at(60), &tenant, rate_limit, RequestId(4)), Admission::Rejected);
    assert_eq!(quota.admit(at(400), &tenant, rate_limit, RequestId(5)), Admission::Pending);
    quota.tick(at(500));
    assert!(quota.take_decisions().is_empty());
    quota.tick(at(900));
    assert_eq!((quota.take_decisions(), quota.take_decisions()), (vec![rejected(5)], vec![]));
}
