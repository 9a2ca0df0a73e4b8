//! Control sessions between gateways and a simulated cluster of six control processes: delivery of changes to gateways,
//! the list of gateways that each process holds, and look-ups of gateways by clients.

mod cluster;

use cluster::gateways::Gateway;
use cluster::Cluster;
use kitepass_config::{Item, Kind};
use kitepass_control_plane::request::{LookupQuery, Request, Response};
use std::collections::BTreeMap;

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Maximum time from the acknowledgement of a change until every gateway has received it.
const MAX_DELIVERY_MS: i64 = 4_000;

/// Acknowledged changes reach every gateway within [`MAX_DELIVERY_MS`], even if the process that acknowledged one loses
/// power immediately. No gateway reverts to an older version.
#[test]
fn acknowledged_changes_reach_every_gateway_in_time_and_are_never_reverted() {
    let (mut delivered, mut max_delay_ms) = (0, 0);
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(6_000);
        assert!(cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()), "seed {seed}");
        let mut last_version = 0;
        let mut pending: Vec<(u64, u64)> = Vec::new();
        let mut undelivered: Vec<(i64, u64)> = Vec::new();
        let mut held_versions: BTreeMap<usize, u64> = BTreeMap::new();
        let until = cluster.now + 40_000;
        let mut next_change_at = cluster.now;
        while cluster.now < until {
            if cluster.now >= next_change_at {
                next_change_at = cluster.now + 300 + cluster.rng.rand_range(0..900) as i64;
                last_version += 1 + cluster.rng.rand_range(0..4);
                let n = cluster.rng.rand_range(0..6) as usize;
                pending.push((cluster.patch(n, "l", last_version, Some(SERVICE)), last_version));
                // Faults are injected only in the first 1.2 s of every 12 s, so that the cluster recovers in between.
                let n = cluster.rng.rand_range(0..6) as usize;
                let may_inject_fault = cluster.now % 12_000 < 1_200;
                match cluster.rng.rand_range(0..4) {
                    0 if may_inject_fault => cluster.kill(n, true, false, 1_500),
                    1 if may_inject_fault => cluster.frozen_until[n] = cluster.now + 3_000,
                    2 if may_inject_fault => {
                        let end = cluster.now + 5_000;
                        (0..6).filter(|other| *other != n).for_each(|other| {
                            _ = cluster.partitions.insert((n.min(other), n.max(other)), end)
                        });
                    }
                    _ => {}
                }
            }
            cluster.step();
            let now = cluster.now;
            let mut to_kill = None;
            pending.retain(|(request_id, version)| match cluster.responses.get(request_id) {
                Some((n, Response::Done)) => {
                    undelivered.push((now, *version));
                    to_kill = (version % 9 == 0).then_some(*n);
                    false
                }
                Some(_) => false,
                None => true,
            });
            // If a version is divisible by 9, the process that acknowledged it loses power immediately, provided that
            // all processes are running.
            if let Some(n) = to_kill.filter(|_| cluster.nodes.iter().all(|node| node.state_machine.is_some()))
            {
                cluster.kill(n, true, false, 1_500);
            }
            for (number, gateway) in cluster.gateways.iter().enumerate() {
                let version =
                    gateway.session.item_store.get(Kind::Service, "l").map_or(0, |item| item.version);
                let before = held_versions.insert(number, version).unwrap_or(0);
                assert!(version >= before, "seed {seed}: g{number} reverted from {before} to {version}");
            }
            let lowest_version = held_versions.values().copied().min().unwrap_or(0);
            undelivered.retain(|(acknowledged_at, version)| {
                if lowest_version >= *version {
                    (delivered, max_delay_ms) = (delivered + 1, max_delay_ms.max(now - acknowledged_at));
                    return false;
                }
                assert!(
                    now - acknowledged_at <= MAX_DELIVERY_MS,
                    "seed {seed}: version {version} has not reached every gateway: {held_versions:?}"
                );
                true
            });
        }
    }
    assert!(delivered > 200, "only {delivered} changes delivered; the slowest took {max_delay_ms} ms");
}

/// While a process is frozen, its gateways move to other processes. Every process lists each connected gateway, and
/// none lists a gateway that has disappeared.
#[test]
fn gateways_of_a_frozen_process_stay_listed_and_removed_ones_do_not() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(8_000);
        let ready_count = |cluster: &Cluster, n: usize| {
            let members = cluster.state_machine(n).members();
            members.iter().filter(|member| member.is_ready).count()
        };
        assert!((0..6).all(|n| ready_count(&cluster, n) == 12), "seed {seed}");
        // The process is frozen for longer than every timeout.
        cluster.frozen_until[seed as usize] = cluster.now + 6_000;
        cluster.run(5_000);
        assert!(
            (0..6).filter(|n| *n != seed as usize).all(|n| ready_count(&cluster, n) == 12),
            "seed {seed}"
        );
        cluster.run(6_000);
        assert!((0..6).all(|n| ready_count(&cluster, n) == 12), "seed {seed}: after the process resumed");
        // A gateway disappears for good.
        cluster.gateways.remove(5);
        cluster.run(6_000);
        for n in 0..6 {
            let state_machine = cluster.state_machine(n);
            assert_eq!(
                state_machine.members().len(),
                11,
                "seed {seed}: s{n} still lists the removed gateway"
            );
        }
    }
}

/// A route of this host with these home regions, which are given as a JSON array.
fn route(name: &str, host: &str, home_regions: &str) -> Item {
    let value = format!(
        r#"{{"depot":"{host}","lane-prefix":"/{name}/","mail-kind":"safe","deadline-ms":3000,"home-provinces":{home_regions},"line":"l"}}"#
    );
    Item { kind: Kind::Route, name: name.into(), version: 1, value: Some(value.into_bytes().into()) }
}

/// A look-up returns gateways in the client's region. If there are none, it returns those in the home regions of the
/// host's routes. If there are none either, or the routes have different home regions, it returns those in all
/// regions.
#[test]
fn look_ups_prefer_the_clients_region_then_the_home_regions() {
    let mut cluster = Cluster::new(3);
    cluster.add_gateways(12);
    cluster.run(6_000);
    cluster.patch(0, "l", 1, Some(SERVICE));
    cluster.run(1_000);
    let routes = vec![route("r1", "homed.example", r#"["b"]"#), route("r2", "Homed.Example:80", r#"["b"]"#)];
    let mixed_routes = vec![route("r3", "mixed.example", r#"["b"]"#), route("r4", "mixed.example", "[]")];
    let request = cluster.request(0, Request::Patch([routes, mixed_routes].concat()));
    cluster.run(2_000);
    assert_eq!(cluster.responses[&request].1, Response::Done);
    let regions: BTreeMap<String, String> =
        cluster.nodes.iter().map(|node| (node.replica.zone.clone(), node.replica.region.clone())).collect();
    // Gateways 0 and 6 are in zone a1, 1 and 7 in a2, 2 and 8 in b1, and so on. The letter of a zone is its region.
    let look_up_gateways = |cluster: &Cluster, host: &str, zone: &str| -> Vec<u32> {
        let (host, zone) = (host.to_owned(), zone.to_owned());
        let query = LookupQuery { host, region: zone[..1].to_owned(), zone };
        let addresses = cluster.state_machine(0).look_up(&query, &regions);
        let number = |address: String| {
            address["10.1.0.".len()..].trim_end_matches(":80").parse().expect("a gateway number")
        };
        let mut numbers: Vec<u32> = addresses.into_iter().map(number).collect();
        numbers.sort_unstable();
        numbers
    };
    assert_eq!(look_up_gateways(&cluster, "homed.example", "a1"), [0, 6]);
    // Removes the gateways of region a step by step, until none is left.
    for removed in [[0, 6].as_slice(), &[1], &[7]] {
        let is_removed = |gateway: &Gateway| {
            removed.iter().any(|number| gateway.client_address() == format!("10.1.0.{number}:80"))
        };
        cluster.gateways.retain(|gateway| !is_removed(gateway));
        cluster.run(6_000);
        let expected: &[u32] = match removed {
            [0, 6] => &[1, 7],
            [1] => &[7],
            _ => &[2, 3, 8, 9],
        };
        assert_eq!(look_up_gateways(&cluster, "homed.example", "a1"), expected, "after {removed:?}");
    }
    let other_regions = [2, 3, 4, 5, 8, 9, 10, 11];
    assert_eq!(
        look_up_gateways(&cluster, "mixed.example", "a2"),
        other_regions,
        "the host's routes have different home regions"
    );
    assert_eq!(look_up_gateways(&cluster, "unknown.example", "a2"), other_regions);
}
