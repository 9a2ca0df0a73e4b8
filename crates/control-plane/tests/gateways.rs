//! Gateways' control sessions and six simulated processes, by seed: acknowledged changes reach every gateway in time, also
//! where the process that acknowledged one is lost at once; no gateway goes back; sessions end without loss or ghosts.

mod cluster;

use cluster::gateways::Gateway;
use cluster::Cluster;
use kitepass_config::{Item, Kind};
use kitepass_control_plane::request::{LookupQuery, Request, Response};
use std::collections::BTreeMap;

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Milliseconds until an acknowledged change is in force on every connected gateway.
const DELIVERY_BOUND: i64 = 4_000;

#[test]
fn acknowledged_changes_reach_every_gateway_in_time_and_none_goes_back() {
    let (mut checked, mut late_most) = (0, 0);
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(6_000);
        assert!(cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()), "seed {seed}");
        let mut newest = 0;
        let mut pending: Vec<(u64, u64)> = Vec::new();
        let mut owed: Vec<(i64, u64)> = Vec::new();
        let mut seen: BTreeMap<usize, u64> = BTreeMap::new();
        let until = cluster.now + 40_000;
        let mut next = cluster.now;
        while cluster.now < until {
            if cluster.now >= next {
                next = cluster.now + 300 + cluster.random.rand_range(0..900) as i64;
                newest += 1 + cluster.random.rand_range(0..4);
                let n = cluster.random.rand_range(0..6) as usize;
                pending.push((cluster.patch(n, "l", newest, Some(SERVICE)), newest));
                // One fault at a time, with time to recover between two.
                let n = cluster.random.rand_range(0..6) as usize;
                let quiet = cluster.now % 12_000 < 1_200;
                match cluster.random.rand_range(0..4) {
                    0 if quiet => cluster.kill(n, true, false, 1_500),
                    1 if quiet => cluster.frozen_until[n] = cluster.now + 3_000,
                    2 if quiet => {
                        let end = cluster.now + 5_000;
                        (0..6)
                            .filter(|o| *o != n)
                            .for_each(|o| _ = cluster.partitions.insert((n.min(o), n.max(o)), end));
                    }
                    _ => {}
                }
            }
            cluster.step();
            let now = cluster.now;
            let mut doomed = None;
            pending.retain(|(request_id, version)| match cluster.responses.get(request_id) {
                Some((n, Response::Done)) => {
                    owed.push((now, *version));
                    doomed = (version % 9 == 0).then_some(*n);
                    false
                }
                Some(_) => false,
                None => true,
            });
            // At times the process that acknowledged a change loses power at that moment.
            if let Some(n) = doomed.filter(|_| cluster.nodes.iter().all(|node| node.state_machine.is_some()))
            {
                cluster.kill(n, true, false, 1_500);
            }
            for (gateway, g) in cluster.gateways.iter().enumerate() {
                let version = g.session.item_store.get(Kind::Service, "l").map_or(0, |item| item.version);
                let before = seen.insert(gateway, version).unwrap_or(0);
                assert!(version >= before, "seed {seed}: g{gateway} went back from r{before} to r{version}");
            }
            let least = seen.values().copied().min().unwrap_or(0);
            owed.retain(|(since, version)| {
                if least >= *version {
                    (checked, late_most) = (checked + 1, late_most.max(now - since));
                    return false;
                }
                assert!(now - since <= DELIVERY_BOUND, "seed {seed}: r{version} is not everywhere, {seen:?}");
                true
            });
        }
    }
    assert!(checked > 200, "{checked} changes checked only; the latest after {late_most} ms");
}

#[test]
fn a_frozen_process_loses_no_gateway_and_leaves_no_ghost() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(8_000);
        let ready = |cluster: &Cluster, n: usize| {
            let members = cluster.state_machine(n).members();
            members.iter().filter(|member| member.is_ready).count()
        };
        assert!((0..6).all(|n| ready(&cluster, n) == 12), "seed {seed}");
        // Longer than any time-out; its gateways move to others meanwhile.
        cluster.frozen_until[seed as usize] = cluster.now + 6_000;
        cluster.run(5_000);
        assert!((0..6).filter(|n| *n != seed as usize).all(|n| ready(&cluster, n) == 12), "seed {seed}");
        cluster.run(6_000);
        assert!((0..6).all(|n| ready(&cluster, n) == 12), "seed {seed}: after it goes on");
        // One gateway is gone for good: no process lists it any longer, quotas count it for a while.
        cluster.gateways.remove(5);
        cluster.run(6_000);
        for n in 0..6 {
            let state_machine = cluster.state_machine(n);
            assert_eq!(state_machine.members().len(), 11, "seed {seed}: a ghost at {n}");
        }
    }
}

/// Routes of a host, with their home regions.
fn route(name: &str, host: &str, homes: &str) -> Item {
    let value = format!(
        r#"{{"depot":"{host}","lane-prefix":"/{name}/","mail-kind":"safe","deadline-ms":3000,"home-provinces":{homes},"line":"l"}}"#
    );
    Item { kind: Kind::Route, name: name.into(), version: 1, value: Some(value.into_bytes().into()) }
}

/// Other regions' gateways are named only where the client's own has none, and home regions go first.
#[test]
fn the_directory_names_the_clients_region_then_home_regions_then_all() {
    let mut cluster = Cluster::new(3);
    cluster.add_gateways(12);
    cluster.run(6_000);
    cluster.patch(0, "l", 1, Some(SERVICE));
    cluster.run(1_000);
    let routes = vec![route("r1", "homed.example", r#"["b"]"#), route("r2", "Homed.Example:80", r#"["b"]"#)];
    let mixed = vec![route("r3", "mixed.example", r#"["b"]"#), route("r4", "mixed.example", "[]")];
    let request = cluster.request(0, Request::Patch([routes, mixed].concat()));
    cluster.run(2_000);
    assert_eq!(cluster.responses[&request].1, Response::Done);
    let regions: BTreeMap<String, String> =
        cluster.nodes.iter().map(|node| (node.replica.zone.clone(), node.replica.region.clone())).collect();
    // Gateways 0 and 6 are in zone a1, 1 and 7 in a2, 2 and 8 in b1, and so on.
    let named = |cluster: &Cluster, host: &str, zone: &str| -> Vec<u32> {
        let (host, zone) = (host.to_owned(), zone.to_owned());
        let query = LookupQuery { host, region: zone[..1].to_owned(), zone };
        let addresses = cluster.state_machine(0).look_up(&query, &regions);
        let number = |it: String| it["10.1.0.".len()..].trim_end_matches(":80").parse().expect("a number");
        let mut numbers: Vec<u32> = addresses.into_iter().map(number).collect();
        numbers.sort_unstable();
        numbers
    };
    assert_eq!(named(&cluster, "homed.example", "a1"), [0, 6]);
    // One gateway is left in region a, and then none.
    for gone in [[0, 6].as_slice(), &[1], &[7]] {
        let is_gone =
            |it: &Gateway| gone.iter().any(|number| it.client_address() == format!("10.1.0.{number}:80"));
        cluster.gateways.retain(|it| !is_gone(it));
        cluster.run(6_000);
        let expected: &[u32] = match gone {
            [0, 6] => &[1, 7],
            [1] => &[7],
            _ => &[2, 3, 8, 9],
        };
        assert_eq!(named(&cluster, "homed.example", "a1"), expected, "after {gone:?}");
    }
    let elsewhere = [2, 3, 4, 5, 8, 9, 10, 11];
    assert_eq!(named(&cluster, "mixed.example", "a2"), elsewhere, "the host's routes differ");
    assert_eq!(named(&cluster, "unknown.example", "a2"), elsewhere);
}
