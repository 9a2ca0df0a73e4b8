//! What the data plane's tables cost as the system grows: `cargo run --release -p kitepass-course --example tables`.
//!
//! The true [`ControlSession`], [`RoutingTable`], [`LoadBalancer`] and [`Quota`] at three sizes, each in a process of its own so that memory is
//! told apart: microseconds a call, and resident memory. docs/CAPACITY.md uses what it prints.

use kitepass_config::{Item, Kind, RoutingTable};
use kitepass_coordination::protocol::*;
use kitepass_coordination::usage::{QuotaTolerance, RateLimit};
use kitepass_data_plane::control_session::{ControlSession, SessionUpdates};
use kitepass_data_plane::load_balancer::{AttemptOutcome, LoadBalancer, SelectionRequest};
use kitepass_data_plane::quota::{Admission, Decision, Quota};
use kitepass_time::{Duration, Timestamp};
use serde_json::json;
use std::collections::BTreeMap;
use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::time::Instant;

/// Gateways, routes, tenants, backends; the last is the size to plan for.
const SIZES: [[usize; 4]; 3] = [[60, 170, 1_300, 200], [200, 560, 4_300, 700], [600, 1_700, 13_000, 2_100]];
const SERVICES: usize = 100;
const ZONES: [&str; 9] = ["a1", "a2", "a3", "b1", "b2", "c1", "c2", "d1", "d2"];
/// Requests a second that a gateway takes: 50,000 over 600.
const REQUESTS: usize = 83;
/// Copies of all tables, for their memory.
const COPIES: usize = 4;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn tenant_name(n: usize) -> String {
    format!("c-{n:05x}")
}

fn line_name(n: usize) -> Arc<str> {
    format!("line{n:03}").into()
}

fn item(kind: Kind, name: String, version: u64, value: &serde_json::Value) -> Item {
    Item { kind, name: name.into(), version, value: Some(value.to_string().into()) }
}

fn route(n: usize, version: u64) -> Item {
    let shares = json!([{"line": &*line_name(n % SERVICES), "share": 90},
        {"line": &*line_name((n + 1) % SERVICES), "share": 10}]);
    let value = json!({"class-of-mail": 2, "deadline-ms": 3000, "depot": format!("h{:04}.example", n % 300),
        "home-provinces": [], "lane-prefix": format!("/p{n:05}/"), "mail-kind": "safe", "share-list": shares,
        "target-ms": 500, "tries": 2, "unstamped": false});
    item(Kind::Route, format!("r-{n:07x}"), version, &value)
}

fn tenant(n: usize, version: u64) -> Item {
    let value = json!({"class-of-mail": 1, "home-provinces": [], "permits": [format!("k{n:019x}"), format!("m{n:019x}")],
        "rate-per-s": 314, "surge": 314});
    item(Kind::Tenant, tenant_name(n), version, &value)
}

/// The first service holds a tenth of all backends, the others the rest alike.
fn backend(n: usize, version: u64, cold: u64) -> Item {
    let line = if n.is_multiple_of(10) { 0 } else { 1 + n % (SERVICES - 1) };
    let value = json!({"line": &*line_name(line), "address": format!("10.9.{}.{}:8000", n / 250, n % 250),
        "district": ZONES[n % ZONES.len()], "berths": 6, "closing": false, "cold-ms": cold});
    item(Kind::Backend, format!("i-{n:07x}"), version, &value)
}

fn items([_, routes, tenants, backends]: [usize; 4]) -> Vec<Item> {
    let line = json!({"checkpoint": "/checkpoint", "berth-cap": 120, "cold-s": 3.0, "cold-rate-s": 20.0});
    let lines = (0..SERVICES).map(|n| item(Kind::Service, line_name(n).to_string(), 1, &line));
    let all = (0..routes).map(|n| route(n, 1)).chain((0..tenants).map(|n| tenant(n, 1)));
    all.chain(lines).chain((0..backends).map(|n| backend(n, 1, 0))).collect()
}

fn packed(message: Message) -> Vec<u8> {
    let mut frame = Vec::new();
    pack(message, &mut frame);
    frame
}

fn hear(link: &mut ControlSession, now: Timestamp, frame: &[u8]) -> SessionUpdates {
    let (mut at, mut brought, mut assembler) = (0, SessionUpdates::default(), Assembler::default());
    while let Some(message) = assembler.next(frame, &mut at).expect("packed here") {
        link.said(now, message, &mut brought);
    }
    brought
}

fn node_ids(gateways: usize) -> Vec<String> {
    let mut all: Vec<String> =
        (0..gateways).map(|n| format!("counter-{}-{n}", ZONES[n % ZONES.len()])).collect();
    all.sort();
    all
}

/// Resident bytes of this process.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

fn tell(what: &str, figure: f64) {
    println!("{what}\t{figure}");
}

/// Tells the microseconds of a call: the median of seven rounds.
fn time(what: &str, times: usize, mut call: impl FnMut(usize)) {
    let mut rounds: Vec<f64> = (0..7)
        .map(|round| {
            let begun = Instant::now();
            (0..times).for_each(|n| call(round * times + n));
            begun.elapsed().as_secs_f64() * 1e6 / times as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    tell(&format!("microseconds a call\t{what}"), rounds[3]);
}

/// All tables of one gateway.
struct Tables {
    link: ControlSession,
    view: RoutingTable,
    pick: LoadBalancer,
    quota: Quota,
}

fn regions() -> BTreeMap<String, String> {
    ZONES.iter().map(|zone| (zone.to_string(), zone[..1].to_owned())).collect()
}

fn link() -> ControlSession {
    let hello = Hello {
        node_id: "counter-a1-0".into(),
        zone: "a1".into(),
        region: "a".into(),
        incarnation: 7,
        client_address: "10.1.0.0:8686".into(),
        ..Hello::default()
    };
    ControlSession::new(hello, vec!["10.0.0.0".into()], regions())
}

/// A request's draw, and where it has to wait what asking for a grant and the grant itself cost here.
fn draw(quota: &mut Quota, link: &mut ControlSession, now: Timestamp, name: &Arc<str>) {
    if quota.admit(now, name, RateLimit { rate: 314.0, burst: 314.0 }, 1) != Admission::Pending {
        return;
    }
    let adds = UsageReport {
        request_id: 1,
        node_id: "counter-a1-0".into(),
        tenants: quota.take_grant_requests(),
        incarnation: 7,
        is_mid_period: true,
    };
    let total = |add: &TenantUsage| TenantTotal {
        tenant: add.tenant.clone(),
        granted: add.requested,
        ..TenantTotal::default()
    };
    let totals = adds.tenants.iter().map(total).collect();
    packed(Message::UsageReport(adds));
    let totals = UsageTotals {
        request_id: 1,
        node_id: "counter-a1-0".into(),
        tenants: totals,
        incarnation: 7,
        is_mid_period: true,
    };
    let brought = hear(link, now, &packed(Message::UsageTotals(totals)));
    brought.totals.iter().for_each(|totals| quota.apply_totals(now, now, totals));
    assert_eq!(quota.take_decisions(), [Decision { request_id: 1, is_admitted: true }]);
}

/// One gateway's second of requests; tenants come alike often.
fn second(
    quota: &mut Quota,
    link: &mut ControlSession,
    now: Timestamp,
    names: &[Arc<str>],
    chance: &mut oorandom::Rand64,
) {
    for _ in 0..REQUESTS {
        draw(quota, link, now, &names[chance.rand_range(0..names.len() as u64) as usize]);
    }
}

/// What answers a period's adds.
fn answer(adds: &[TenantUsage]) -> Message {
    let total = |add: &TenantUsage| TenantTotal {
        tenant: add.tenant.clone(),
        offered: 4.0,
        forwarded: 4.0,
        granted: 0,
        share: 0.1,
    };
    let totals = adds.iter().map(total).collect();
    Message::UsageTotals(UsageTotals {
        request_id: 1,
        node_id: "counter-a1-0".into(),
        tenants: totals,
        incarnation: 7,
        is_mid_period: false,
    })
}

fn play(size: [usize; 4]) {
    let mut frame = Vec::new();
    pack_items(items(size).iter(), &mut frame);
    tell("state\tbytes of all items, packed", frame.len() as f64);
    let names: Vec<Arc<str>> = (0..size[2]).map(|n| tenant_name(n).into()).collect();
    let mut chance = oorandom::Rand64::new(7);
    let tolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
    let live = MembershipUpdate {
        gateway_count: size[0] as u32,
        node_ids: node_ids(size[0]),
        control_addresses: (0..6).map(|n| format!("10.0.0.{n}")).collect(),
        control_districts: (0..6).map(|n| ZONES[n].to_owned()).collect(),
    };
    let live = packed(Message::MembershipUpdate(live));
    tell("state\tbytes of a word of the living", live.len() as f64);

    let mut sums = [0.0; 4];
    let mut all: Vec<Tables> = Vec::new();
    for _ in 0..COPIES {
        let mut last = resident();
        let mut mark = |at: usize| {
            let now = resident();
            sums[at] += (now - last) / 1e6 / COPIES as f64;
            last = now;
        };
        let mut link = link();
        link.next(at(0), 0);
        hear(&mut link, at(1), &packed(Message::Hello(Hello { is_serving: true, ..Hello::default() })));
        let brought = hear(&mut link, at(1), &frame);
        hear(&mut link, at(1), &live);
        let hashes = link.item_store.buckets().to_vec();
        hear(
            &mut link,
            at(1),
            &packed(Message::BucketDigests(BucketDigests { digests: hashes, wants_reply: true })),
        );
        mark(0);
        let view = RoutingTable::build(&link.item_store);
        mark(1);
        let mut pick = LoadBalancer::new(7, "counter-a1-0", "a1", &regions());
        brought.items.iter().for_each(|item| pick.update_backend(at(1), item));
        pick.set_live_gateways(node_ids(size[0]));
        pick.set_slow_start_rates(
            view.services.values().map(|line| (line.name.clone(), line.slow_start_rate)),
        );
        mark(2);
        let mut quota = Quota::new(at(0), 7, tolerance);
        quota.set_live_gateways(size[0]);
        for n in 0..40 {
            let now = at(n * 1000);
            second(&mut quota, &mut link, now, &names, &mut chance);
            let adds = quota.close_period(now);
            let brought = hear(&mut link, now, &packed(answer(&adds)));
            brought.totals.iter().for_each(|totals| quota.apply_totals(now, now, totals));
        }
        mark(3);
        drop(brought);
        all.push(Tables { link, view, pick, quota });
    }
    for (name, sum) in
        ["ledger, with what reading it left in the heap", "view", "backends", "quotas"].iter().zip(sums)
    {
        tell(&format!("memory of one gateway, MB\t{name}"), sum);
    }
    tell("memory of one gateway, MB\ttogether", sums.iter().sum());
    let Tables { mut link, mut view, mut pick, mut quota } = all.pop().expect("put in above");
    all.clear();
    tell("state\ttenants with a quota held, after 40 s", quota.len() as f64);

    // What the session brings.
    let beat = packed(Message::Heartbeat(Heartbeat {
        digest: 7,
        is_serving: true,
        is_complete: true,
        ..Heartbeat::default()
    }));
    time("Link::said, a beat", 1_000, |_| drop(hear(&mut link, at(2), &beat)));
    time("Link::said, the living, and LoadBalancer::live", 100, |_| {
        let brought = hear(&mut link, at(2), &live);
        pick.set_live_gateways(brought.live.expect("told").node_ids);
    });
    time("Ledger::digest", 1_000, |_| {
        std::hint::black_box(link.item_store.digest());
    });
    time("Link::tick with a beat said, and one heard", 200, |n| {
        link.out.clear();
        hear(&mut link, at(2 + 500 * n as i64), &beat);
        link.tick(at(2 + 500 * n as i64));
        assert!(!link.out.is_empty());
    });
    let differing = {
        let mut hashes = link.item_store.buckets().to_vec();
        hashes[3] ^= 1;
        hashes
    };
    let buckets = packed(Message::BucketDigests(BucketDigests { digests: differing, wants_reply: true }));
    time("Link::said, bucket hashes of which one differs", 20, |_| {
        hear(&mut link, at(2), &buckets);
        link.out_items.clear();
    });
    let mut version = 10;
    let mut news = |kind: Kind, n: usize| {
        version += 1;
        let item = match kind {
            Kind::Route => route(n % size[1], version),
            Kind::Tenant => tenant(n % size[2], version),
            _ => backend(n % size[3], version, 0),
        };
        packed(Message::Items(Items { items: vec![(&item).into()] }))
    };
    // What the frame costs to make is not the gateway's: they are made before.
    for (what, kind) in [("route", Kind::Route), ("tenant", Kind::Tenant)] {
        let frames: Vec<Vec<u8>> = (0..7 * 10).map(|n| news(kind, n)).collect();
        time(&format!("Link::said with Ledger::merge, one {what}"), 10, |n| {
            drop(hear(&mut link, at(2), &frames[n]));
        });
        let frames: Vec<Vec<u8>> = (0..7 * 5).map(|n| news(kind, n)).collect();
        time(&format!("the same, and View::rebuild, one {what}"), 5, |n| {
            hear(&mut link, at(2), &frames[n]);
            view = RoutingTable::rebuild(&view, &link.item_store);
        });
    }
    let frames: Vec<Vec<u8>> = (0..7 * 20).map(|n| news(Kind::Backend, n)).collect();
    time("Link::said and LoadBalancer::learn, one backend", 20, |n| {
        let brought = hear(&mut link, at(2), &frames[n]);
        brought.items.iter().for_each(|item| pick.update_backend(at(2), item));
    });
    time("View::of, all anew", 1, |_| view = RoutingTable::build(&link.item_store));

    // A request.
    time("View::route and View::tenant_of", 2_000, |n| {
        let n = n * 7;
        let (host, path) = (format!("h{:04}.example", n % size[1] % 300), format!("/p{:05}/x", n % size[1]));
        assert!(view.route(host.as_bytes(), path.as_bytes()).is_some());
        assert!(view.tenant_of(format!("k{:019x}", n % size[2]).as_bytes()).is_some());
    });
    let mut now = 40_000;
    time("Quota::draw, its ask packed and the grant taken up", REQUESTS * 10, |n| {
        now += i64::from(n % REQUESTS == 0) * 10;
        draw(&mut quota, &mut link, at(now), &names[n * 7 % names.len()]);
    });
    let pick_of = |what: &str, pick: &mut LoadBalancer, line: usize| {
        let line = line_name(line);
        let need = SelectionRequest {
            service: &line,
            allowed_regions: [&[], &[]],
            tried_backends: &[],
            has_idle_connection: &|_| false,
        };
        time(what, 1_000, |n| {
            let now = at(50_000 + n as i64);
            if let Some(call_sign) = pick.select(now, &need) {
                pick.attempt_ended(now, &call_sign, AttemptOutcome::Completed, Duration::from_micros(90_000));
            }
        });
    };
    pick_of("LoadBalancer::pick, a service with a hundredth of the backends", &mut pick, 7);
    pick_of("LoadBalancer::pick, the service with a tenth of the backends", &mut pick, 0);
    // All of a large service come back cold: who may send to each is reckoned anew at each pick.
    let learnt: Vec<Item> = (0..size[3]).step_by(10).map(|n| backend(n, 1_000, 600_000)).collect();
    learnt.iter().for_each(|item| pick.update_backend(at(50_000), item));
    pick_of("LoadBalancer::pick, the same while all of it is cold", &mut pick, 0);

    // A period.
    let mut clock = 100_000;
    let mut adds = Vec::new();
    let mut spent = Vec::new();
    let mut heard = Vec::new();
    for _ in 0..40 {
        clock += 1_000;
        second(&mut quota, &mut link, at(clock), &names, &mut chance);
        let begun = Instant::now();
        let period = quota.close_period(at(clock));
        let node_id = "counter-a1-0".into();
        let message =
            UsageReport { request_id: 1, node_id, tenants: period, incarnation: 7, is_mid_period: false };
        let frame = packed(Message::UsageReport(message.clone()));
        spent.push(begun.elapsed().as_secs_f64() * 1e6);
        let totals = packed(answer(&message.tenants));
        let begun = Instant::now();
        let brought = hear(&mut link, at(clock), &totals);
        brought.totals.iter().for_each(|totals| quota.apply_totals(at(clock), at(clock), totals));
        heard.push(begun.elapsed().as_secs_f64() * 1e6);
        adds.push((message.tenants.len() as f64, frame.len() as f64, totals.len() as f64));
    }
    let middle = |figures: &mut Vec<f64>| {
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
    };
    tell("microseconds a call\tQuota::period, packed", middle(&mut spent));
    tell("microseconds a call\tLink::said and Quota::totals of a period", middle(&mut heard));
    tell("state\ttenants in a period's adds", middle(&mut adds.iter().map(|a| a.0).collect()));
    tell("state\tbytes of a period's adds", middle(&mut adds.iter().map(|a| a.1).collect()));
    tell("state\tbytes of a period's totals", middle(&mut adds.iter().map(|a| a.2).collect()));
}

/// The straight line through three points, by least squares: its rise.
fn rise(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (x, y) = (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>()
        / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>()
}

fn short(figure: f64) -> String {
    match figure.abs() {
        f if f >= 100.0 => format!("{figure:.0}"),
        f if f >= 1.0 => format!("{figure:.1}"),
        _ => format!("{figure:.3}"),
    }
}

/// A table's rows by name, each with a figure a size.
type Rows = Vec<(String, BTreeMap<usize, f64>)>;

/// Plays each size in a process of its own, and prints all as tables.
fn all() -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut tables: Vec<(String, Rows)> = Vec::new();
    for size in SIZES {
        let output = Command::new(&program).args(["--size", &size[0].to_string()]).output();
        let output = output.map_err(|error| error.to_string())?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned());
        }
        for text in String::from_utf8_lossy(&output.stdout).lines() {
            let parts: Vec<&str> = text.split('\t').collect();
            let [table, row, figure] = parts[..] else { continue };
            let Ok(figure) = figure.parse() else { continue };
            let at = tables.iter().position(|(name, _)| name == table).unwrap_or_else(|| {
                tables.push((table.to_owned(), Vec::new()));
                tables.len() - 1
            });
            let rows = &mut tables[at].1;
            match rows.iter_mut().find(|(name, _)| name == row) {
                Some((_, figures)) => drop(figures.insert(size[0], figure)),
                None => rows.push((row.to_owned(), BTreeMap::from([(size[0], figure)]))),
            }
        }
    }
    println!("Gateways, routes, tenants, backends: {SIZES:?}. Rise: by 100 gateways, least squares. Power: p where");
    println!("the figure grows as the size to the p between the last two sizes.");
    for (table, rows) in tables {
        println!("\n| {table} | 60 | 200 | 600 | rise | power |\n| --- | --- | --- | --- | --- | --- |");
        for (row, figures) in rows {
            let points: Vec<(f64, f64)> =
                SIZES.iter().map(|s| (s[0] as f64, figures.get(&s[0]).copied().unwrap_or(0.0))).collect();
            let power = (points[2].1 / points[1].1).ln() / 3f64.ln();
            let power = if power.is_finite() { format!("{power:.1}") } else { "-".to_owned() };
            let cells: Vec<String> = points.iter().map(|p| short(p.1)).collect();
            println!("| {row} | {} | {} | {power} |", cells.join(" | "), short(rise(&points) * 100.0));
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut arguments = lexopt::Parser::from_env();
    let mut wanted = None;
    while let Ok(Some(argument)) = arguments.next() {
        if let lexopt::Arg::Long("size") = argument {
            wanted = arguments.value().ok().and_then(|value| value.to_string_lossy().parse::<usize>().ok());
        }
    }
    match wanted.and_then(|gateways| SIZES.into_iter().find(|size| size[0] == gateways)) {
        Some(size) => play(size),
        None => {
            if let Err(why) = all() {
                eprintln!("slopes: {why}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
