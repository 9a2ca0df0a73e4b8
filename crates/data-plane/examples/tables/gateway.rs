//! One gateway's tables, and what they take of memory.

use crate::fixtures::{
    at, digests, grants, hello, membership, node_ids, packed, packed_items, period_totals, receive, regions,
    session, tenant_name, Size, INCARNATION, NODE_ID, ZONE,
};
use crate::print_row;
use kitepass_config::RoutingTable;
use kitepass_coordination::protocol::{Message, UsageReport};
use kitepass_coordination::usage::{QuotaTolerance, RateLimit};
use kitepass_data_plane::control_session::{ControlSession, SessionUpdates};
use kitepass_data_plane::ids::RequestId;
use kitepass_data_plane::load_balancer::LoadBalancer;
use kitepass_data_plane::quota::{Admission, Decision, Quota};
use kitepass_time::Timestamp;
use std::sync::Arc;

/// Requests a second that a gateway takes: 50,000 over 600.
pub(crate) const REQUESTS_PER_SEC: usize = 83;
/// Copies of all tables, for their memory.
const COPIES: usize = 4;
/// Periods that a gateway has served before it is measured.
const WARM_UP_PERIODS: i64 = 40;
const REQUEST: RequestId = RequestId(1);
const SEED: u64 = 7;
const TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
const RATE_LIMIT: RateLimit = RateLimit { rate: 314.0, burst: 314.0 };
/// The tables whose memory is told apart, in the order in which they are built.
const TABLES: [&str; 4] =
    ["item store, with what reading it left in the heap", "routing table", "backends", "quotas"];

/// All tables of one gateway.
pub(crate) struct Tables {
    pub(crate) session: ControlSession,
    pub(crate) routing_table: RoutingTable,
    pub(crate) load_balancer: LoadBalancer,
    pub(crate) quota: Quota,
    pub(crate) tenants: Vec<Arc<str>>,
    pub(crate) rng: oorandom::Rand64,
}

impl Tables {
    /// One request is admitted; where it has to wait, what requesting a grant and the grant itself cost here.
    pub(crate) fn admit(&mut self, now: Timestamp, tenant: usize) {
        let tenant = &self.tenants[tenant];
        if self.quota.admit(now, tenant, RATE_LIMIT, REQUEST) != Admission::Pending {
            return;
        }
        let report = UsageReport {
            request_id: 1,
            node_id: NODE_ID.into(),
            tenants: self.quota.take_grant_requests(),
            incarnation: INCARNATION,
            is_mid_period: true,
        };
        let answer = grants(&report.tenants);
        packed(Message::UsageReport(report));
        let updates = receive(&mut self.session, now, &answer);
        self.apply_totals(now, &updates);
        assert_eq!(self.quota.take_decisions(), [Decision { request: REQUEST, is_admitted: true }]);
    }

    /// One gateway's second of requests; all tenants send alike often.
    pub(crate) fn serve_second(&mut self, now: Timestamp) {
        for _ in 0..REQUESTS_PER_SEC {
            let tenant = self.rng.rand_range(0..self.tenants.len() as u64) as usize;
            self.admit(now, tenant);
        }
    }

    pub(crate) fn apply_totals(&mut self, now: Timestamp, updates: &SessionUpdates) {
        updates.totals.iter().for_each(|totals| self.quota.apply_totals(now, now, totals));
    }
}

/// Resident bytes of this process.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

/// Growth of this process's memory, by table.
struct MemoryMeter {
    last: f64,
    megabytes: [f64; TABLES.len()],
}

impl MemoryMeter {
    /// All growth since the last mark is a table's.
    fn mark(&mut self, table: usize) {
        let now = resident_bytes();
        self.megabytes[table] += (now - self.last) / 1e6 / COPIES as f64;
        self.last = now;
    }
}

/// Builds the tables several times, prints what one of them takes of memory, and returns one.
pub(crate) fn build(size: Size) -> Tables {
    let frames = packed_items(size);
    print_row("state\tbytes of all items, packed", frames.len() as f64);
    print_row("state\tbytes of a membership update", membership(size).len() as f64);
    let tenants: Vec<Arc<str>> = (0..size.tenants).map(tenant_name).collect();
    let mut rng = oorandom::Rand64::new(u128::from(SEED));
    let mut meter = MemoryMeter { last: 0.0, megabytes: [0.0; TABLES.len()] };
    let mut copies: Vec<Tables> = Vec::new();
    for _ in 0..COPIES {
        meter.last = resident_bytes();
        let tables = build_one(size, &frames, &tenants, rng, &mut meter);
        rng = tables.rng;
        copies.push(tables);
    }
    for (name, megabytes) in TABLES.iter().zip(meter.megabytes) {
        print_row(&format!("memory of one gateway, MB\t{name}"), megabytes);
    }
    print_row("memory of one gateway, MB\ttogether", meter.megabytes.iter().sum());
    let tables = copies.pop().expect("there are some copies");
    print_row("state\ttenants with a quota held, after 40 s", tables.quota.len() as f64);
    tables
}

fn build_one(
    size: Size,
    frames: &[u8],
    tenants: &[Arc<str>],
    rng: oorandom::Rand64,
    meter: &mut MemoryMeter,
) -> Tables {
    let mut session = session();
    session.next_control_process(at(0), 0);
    receive(&mut session, at(1), &hello());
    let updates = receive(&mut session, at(1), frames);
    receive(&mut session, at(1), &membership(size));
    let own_digests = session.item_store.buckets().to_vec();
    receive(&mut session, at(1), &digests(own_digests));
    meter.mark(0);
    let routing_table = RoutingTable::build(&session.item_store);
    meter.mark(1);
    let mut load_balancer = LoadBalancer::new(SEED, NODE_ID, ZONE, &regions());
    updates.items.iter().for_each(|item| load_balancer.update_backend(at(1), item));
    load_balancer.set_live_gateways(node_ids(size.gateways));
    let services = routing_table.services.values();
    let rates = services.map(|service| (service.name.clone(), service.slow_start_rate));
    load_balancer.set_slow_start_rates(rates);
    meter.mark(2);
    let mut quota = Quota::new(at(0), SEED, TOLERANCE);
    quota.set_live_gateways(size.gateways);
    let tenants = tenants.to_vec();
    let mut tables = Tables { session, routing_table, load_balancer, quota, tenants, rng };
    for period in 0..WARM_UP_PERIODS {
        let now = at(period * 1000);
        tables.serve_second(now);
        let usage = tables.quota.close_period(now);
        let totals = receive(&mut tables.session, now, &period_totals(&usage));
        tables.apply_totals(now, &totals);
    }
    meter.mark(3);
    tables
}
