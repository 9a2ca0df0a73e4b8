//! Microseconds a call, of what a gateway does with its tables.

use crate::fixtures::{
    at, backend, digests, heartbeat, host, membership, packed, path_prefix, period_totals, receive, route,
    service_name, tenant, tenant_key, Size, INCARNATION, NODE_ID,
};
use crate::gateway::{Tables, REQUESTS_PER_SEC};
use crate::print_row;
use kitepass_config::{Item, Kind, RoutingTable};
use kitepass_coordination::protocol::{Items, Message, UsageReport};
use kitepass_data_plane::load_balancer::{AttemptOutcome, LoadBalancer, SelectionRequest};
use kitepass_time::Duration;
use std::time::Instant;

/// Rounds of calls; the median of them is printed.
const ROUNDS: usize = 7;
/// Periods that are measured.
const PERIODS: usize = 40;
/// A backend that is warming up does so for longer than the measurement.
const SLOW_START_MS: u64 = 600_000;

/// Prints the microseconds of a call: the median of all rounds. The call is told its number.
fn time(what: &str, calls_per_round: usize, mut call: impl FnMut(usize)) {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|round| {
            let start = Instant::now();
            (0..calls_per_round).for_each(|n| call(round * calls_per_round + n));
            start.elapsed().as_secs_f64() * 1e6 / calls_per_round as f64
        })
        .collect();
    print_row(&format!("microseconds a call\t{what}"), median(&mut rounds));
}

fn median(figures: &mut [f64]) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

/// Changes of items, each with a higher version than the one before.
struct Changes {
    size: Size,
    version: u64,
}

impl Changes {
    /// The frame of a changed item.
    fn next(&mut self, kind: Kind, n: usize) -> Vec<u8> {
        self.version += 1;
        let item = match kind {
            Kind::Route => route(n % self.size.routes, self.version),
            Kind::Tenant => tenant(n % self.size.tenants, self.version),
            _ => backend(n % self.size.backends, self.version, 0),
        };
        packed(Message::Items(Items { items: vec![(&item).into()] }))
    }

    /// Frames for all rounds. They are made before the measurement, as making them is not the gateway's work.
    fn frames(&mut self, kind: Kind, calls_per_round: usize) -> Vec<Vec<u8>> {
        (0..ROUNDS * calls_per_round).map(|n| self.next(kind, n)).collect()
    }
}

/// What the session brings, without items.
pub(crate) fn measure_session(tables: &mut Tables, size: Size) {
    let Tables { session, load_balancer, .. } = tables;
    let heartbeat = heartbeat();
    time("ControlSession::said, a heartbeat", 1_000, |_| drop(receive(session, at(2), &heartbeat)));
    let membership = membership(size);
    time("ControlSession::said, a membership update, and LoadBalancer::set_live_gateways", 100, |_| {
        let updates = receive(session, at(2), &membership);
        load_balancer.set_live_gateways(updates.live_gateways.expect("it was told").node_ids);
    });
    time("ItemStore::digest", 1_000, |_| {
        std::hint::black_box(session.item_store.digest());
    });
    time("ControlSession::tick with a heartbeat sent, and one received", 200, |n| {
        let now = at(2 + 500 * n as i64);
        session.outgoing.clear();
        receive(session, now, &heartbeat);
        session.tick(now);
        assert!(!session.outgoing.is_empty());
    });
    let mut differing = session.item_store.buckets().to_vec();
    differing[3] ^= 1;
    let differing = digests(differing);
    time("ControlSession::said, bucket digests of which one differs", 20, |_| {
        receive(session, at(2), &differing);
        session.outgoing_items.clear();
    });
}

/// Changes of the configuration and of the backend list.
pub(crate) fn measure_changes(tables: &mut Tables, size: Size) {
    let Tables { session, load_balancer, routing_table, .. } = tables;
    let mut changes = Changes { size, version: 10 };
    for (what, kind) in [("route", Kind::Route), ("tenant", Kind::Tenant)] {
        let frames = changes.frames(kind, 10);
        time(&format!("ControlSession::said with ItemStore::merge, one {what}"), 10, |n| {
            drop(receive(session, at(2), &frames[n]));
        });
        let frames = changes.frames(kind, 5);
        time(&format!("the same, and RoutingTable::rebuild, one {what}"), 5, |n| {
            receive(session, at(2), &frames[n]);
            *routing_table = RoutingTable::rebuild(routing_table, &session.item_store);
        });
    }
    let frames = changes.frames(Kind::Backend, 20);
    time("ControlSession::said and LoadBalancer::update_backend, one backend", 20, |n| {
        let updates = receive(session, at(2), &frames[n]);
        updates.items.iter().for_each(|item| load_balancer.update_backend(at(2), item));
    });
    time("RoutingTable::build, all anew", 1, |_| *routing_table = RoutingTable::build(&session.item_store));
}

/// What a request takes.
pub(crate) fn measure_requests(tables: &mut Tables, size: Size) {
    let routing_table = &tables.routing_table;
    time("RoutingTable::route and RoutingTable::tenant_of", 2_000, |n| {
        let n = n * 7;
        let (host, path) = (host(n % size.routes), path_prefix(n % size.routes) + "x");
        assert!(routing_table.route(host.as_bytes(), path.as_bytes()).is_some());
        assert!(routing_table.tenant_index(tenant_key(n % size.tenants).as_bytes()).is_some());
    });
    let mut now = 40_000;
    time("Quota::admit, its grant request packed and the grant applied", REQUESTS_PER_SEC * 10, |n| {
        now += i64::from(n % REQUESTS_PER_SEC == 0) * 10;
        tables.admit(at(now), n * 7 % tables.tenants.len());
    });
    let load_balancer = &mut tables.load_balancer;
    measure_selection("a service with a hundredth of the backends", load_balancer, 7);
    measure_selection("the service with a tenth of the backends", load_balancer, 0);
    // All backends of a large service are warming up: which gateways may use each is determined at a selection.
    let warming_up: Vec<Item> =
        (0..size.backends).step_by(10).map(|n| backend(n, 1_000, SLOW_START_MS)).collect();
    warming_up.iter().for_each(|item| load_balancer.update_backend(at(50_000), item));
    measure_selection("the same while all of it is warming up", load_balancer, 0);
}

fn measure_selection(what: &str, load_balancer: &mut LoadBalancer, service: usize) {
    let service = service_name(service);
    let request = SelectionRequest {
        service: &service,
        allowed_regions: [&[], &[]],
        tried_backends: &[],
        has_idle_connection: &|_| false,
    };
    time(&format!("LoadBalancer::select, {what}"), 1_000, |n| {
        let now = at(50_000 + n as i64);
        if let Some(backend_id) = load_balancer.select(now, &request) {
            let took = Duration::from_micros(90_000);
            load_balancer.attempt_ended(now, &backend_id, AttemptOutcome::Completed, took);
        }
    });
}

/// What the end of a period takes.
pub(crate) fn measure_periods(tables: &mut Tables) {
    let (mut close, mut apply) = (Vec::new(), Vec::new());
    let (mut tenants, mut report_bytes, mut totals_bytes) = (Vec::new(), Vec::new(), Vec::new());
    for period in 1..=PERIODS {
        let now = at(100_000 + 1_000 * period as i64);
        tables.serve_second(now);
        let start = Instant::now();
        let report = UsageReport {
            request_id: 1,
            node_id: NODE_ID.into(),
            tenants: tables.quota.close_period(now),
            incarnation: INCARNATION,
            is_mid_period: false,
        };
        let frame = packed(Message::UsageReport(report.clone()));
        close.push(start.elapsed().as_secs_f64() * 1e6);
        let totals = period_totals(&report.tenants);
        let start = Instant::now();
        let updates = receive(&mut tables.session, now, &totals);
        tables.apply_totals(now, &updates);
        apply.push(start.elapsed().as_secs_f64() * 1e6);
        tenants.push(report.tenants.len() as f64);
        report_bytes.push(frame.len() as f64);
        totals_bytes.push(totals.len() as f64);
    }
    print_row("microseconds a call\tQuota::close_period, packed", median(&mut close));
    print_row(
        "microseconds a call\tControlSession::said and Quota::apply_totals of a period",
        median(&mut apply),
    );
    print_row("state\ttenants in a period's report", median(&mut tenants));
    print_row("state\tbytes of a period's report", median(&mut report_bytes));
    print_row("state\tbytes of a period's totals", median(&mut totals_bytes));
}
