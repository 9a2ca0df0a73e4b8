//! A system of a given size: its items, its gateways, and the messages of its control plane.

use kitepass_config::{Item, Kind};
use kitepass_coordination::protocol::framing::Assembler;
use kitepass_coordination::protocol::{
    pack, pack_items, BucketDigests, Heartbeat, Hello, MembershipUpdate, Message, TenantTotal, TenantUsage,
    UsageTotals,
};
use kitepass_data_plane::control_session::{ControlSession, SessionUpdates};
use kitepass_time::Timestamp;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The size of a system.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) gateways: usize,
    pub(crate) routes: usize,
    pub(crate) tenants: usize,
    pub(crate) backends: usize,
}

/// The sizes that are measured; the last is the one to plan for.
pub(crate) const SIZES: [Size; 3] = [
    Size { gateways: 60, routes: 170, tenants: 1_300, backends: 200 },
    Size { gateways: 200, routes: 560, tenants: 4_300, backends: 700 },
    Size { gateways: 600, routes: 1_700, tenants: 13_000, backends: 2_100 },
];
const SERVICES: usize = 100;
const ZONES: [&str; 9] = ["a1", "a2", "a3", "b1", "b2", "c1", "c2", "d1", "d2"];
const CONTROL_PROCESSES: usize = 6;
/// The gateway that is measured.
pub(crate) const NODE_ID: &str = "counter-a1-0";
pub(crate) const ZONE: &str = "a1";
pub(crate) const INCARNATION: u64 = 7;

pub(crate) fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

pub(crate) fn tenant_name(n: usize) -> Arc<str> {
    format!("c-{n:05x}").into()
}

pub(crate) fn service_name(n: usize) -> Arc<str> {
    format!("line{n:03}").into()
}

pub(crate) fn host(n: usize) -> String {
    format!("h{:04}.example", n % 300)
}

pub(crate) fn path_prefix(n: usize) -> String {
    format!("/p{n:05}/")
}

/// One of a tenant's two keys.
pub(crate) fn tenant_key(n: usize) -> String {
    format!("k{n:019x}")
}

fn item(kind: Kind, name: String, version: u64, value: &serde_json::Value) -> Item {
    Item { kind, name: name.into(), version, value: Some(value.to_string().into()) }
}

pub(crate) fn route(n: usize, version: u64) -> Item {
    let shares = json!([{"line": &*service_name(n % SERVICES), "share": 90},
        {"line": &*service_name((n + 1) % SERVICES), "share": 10}]);
    let value = json!({"class-of-mail": 2, "deadline-ms": 3000, "depot": host(n),
        "home-provinces": [], "lane-prefix": path_prefix(n), "mail-kind": "safe", "share-list": shares,
        "target-ms": 500, "tries": 2, "unstamped": false});
    item(Kind::Route, format!("r-{n:07x}"), version, &value)
}

pub(crate) fn tenant(n: usize, version: u64) -> Item {
    let value = json!({"class-of-mail": 1, "home-provinces": [],
        "permits": [tenant_key(n), format!("m{n:019x}")], "rate-per-s": 314, "surge": 314});
    item(Kind::Tenant, tenant_name(n).to_string(), version, &value)
}

/// The first service has a tenth of all backends, the others share the rest.
pub(crate) fn backend(n: usize, version: u64, slow_start_ms: u64) -> Item {
    let service = if n.is_multiple_of(10) { 0 } else { 1 + n % (SERVICES - 1) };
    let value = json!({"line": &*service_name(service), "address": format!("10.9.{}.{}:8000", n / 250, n % 250),
        "district": ZONES[n % ZONES.len()], "berths": 6, "closing": false, "cold-ms": slow_start_ms});
    item(Kind::Backend, format!("i-{n:07x}"), version, &value)
}

fn items(size: Size) -> Vec<Item> {
    let service = json!({"checkpoint": "/checkpoint", "berth-cap": 120, "cold-s": 3.0, "cold-rate-s": 20.0});
    let services = (0..SERVICES).map(|n| item(Kind::Service, service_name(n).to_string(), 1, &service));
    let routes = (0..size.routes).map(|n| route(n, 1));
    let tenants = (0..size.tenants).map(|n| tenant(n, 1));
    let backends = (0..size.backends).map(|n| backend(n, 1, 0));
    routes.chain(tenants).chain(services).chain(backends).collect()
}

/// The frames of all items.
pub(crate) fn packed_items(size: Size) -> Vec<u8> {
    let mut frames = Vec::new();
    pack_items(items(size).iter(), &mut frames);
    frames
}

/// The frame of a message.
pub(crate) fn packed(message: Message) -> Vec<u8> {
    let mut frame = Vec::new();
    pack(message, &mut frame);
    frame
}

pub(crate) fn hello() -> Vec<u8> {
    packed(Message::Hello(Hello { is_serving: true, ..Hello::default() }))
}

pub(crate) fn heartbeat() -> Vec<u8> {
    packed(Message::Heartbeat(Heartbeat {
        digest: 7,
        is_serving: true,
        is_complete: true,
        ..Heartbeat::default()
    }))
}

pub(crate) fn digests(digests: Vec<u64>) -> Vec<u8> {
    packed(Message::BucketDigests(BucketDigests { digests, wants_reply: true }))
}

pub(crate) fn membership(size: Size) -> Vec<u8> {
    packed(Message::MembershipUpdate(MembershipUpdate {
        gateway_count: size.gateways as u32,
        node_ids: node_ids(size.gateways),
        control_addresses: (0..CONTROL_PROCESSES).map(|n| format!("10.0.0.{n}")).collect(),
        control_zones: (0..CONTROL_PROCESSES).map(|n| ZONES[n].to_owned()).collect(),
    }))
}

/// The answer to a period's usage report.
pub(crate) fn period_totals(usage: &[TenantUsage]) -> Vec<u8> {
    let total = |usage: &TenantUsage| TenantTotal {
        tenant: usage.tenant.clone(),
        offered: 4.0,
        forwarded: 4.0,
        granted: 0,
        share: 0.1,
    };
    totals(usage.iter().map(total).collect(), false)
}

/// The answer to a request for grants, which grants all of them.
pub(crate) fn grants(usage: &[TenantUsage]) -> Vec<u8> {
    let total = |usage: &TenantUsage| TenantTotal {
        tenant: usage.tenant.clone(),
        granted: usage.requested,
        ..TenantTotal::default()
    };
    totals(usage.iter().map(total).collect(), true)
}

fn totals(tenants: Vec<TenantTotal>, is_mid_period: bool) -> Vec<u8> {
    packed(Message::UsageTotals(UsageTotals {
        request_id: 1,
        node_id: NODE_ID.into(),
        tenants,
        incarnation: INCARNATION,
        is_mid_period,
    }))
}

/// Gives a session what the control process sends.
pub(crate) fn receive(session: &mut ControlSession, now: Timestamp, frames: &[u8]) -> SessionUpdates {
    let (mut offset, mut updates, mut assembler) = (0, SessionUpdates::default(), Assembler::default());
    while let Some(message) = assembler.next(frames, &mut offset).expect("packed here") {
        session.receive(now, message, &mut updates);
    }
    updates
}

pub(crate) fn node_ids(gateways: usize) -> Vec<String> {
    let mut all: Vec<String> =
        (0..gateways).map(|n| format!("counter-{}-{n}", ZONES[n % ZONES.len()])).collect();
    all.sort();
    all
}

pub(crate) fn regions() -> BTreeMap<String, String> {
    ZONES.iter().map(|zone| (zone.to_string(), zone[..1].to_owned())).collect()
}

pub(crate) fn session() -> ControlSession {
    let hello = Hello {
        node_id: NODE_ID.into(),
        zone: ZONE.into(),
        region: "a".into(),
        incarnation: INCARNATION,
        client_address: "10.1.0.0:8686".into(),
        ..Hello::default()
    };
    ControlSession::new(hello, vec!["10.0.0.0".into()], regions())
}
