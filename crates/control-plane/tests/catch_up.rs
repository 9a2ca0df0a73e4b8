//! Catch-up of control processes and gateways in a simulated cluster of six processes: after 1,000 changes and while
//! more are made, two processes at once, with empty disks, with kills during the catch-up, and for many gateways at
//! once. Also: stale copies of an item must not restore it after its tombstone was purged.

mod cluster;

use cluster::{timestamp, Cluster};
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use kitepass_coordination::protocol::{ItemMessage, Items, Message};
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Maximum time in which a process that lacks 2 MB of items catches up.
const MAX_CATCH_UP_MS: i64 = 8_000;

/// A service of about 2 KB, so that a thousand of them take several chunks.
fn service_value(version: u64) -> String {
    format!(r#"{{"checkpoint":"/c{version}{}"}}"#, "c".repeat(2_000))
}

/// Eight clients that each send one change after another to random processes. Records the acknowledged version of each
/// name.
struct Clients {
    pending: Vec<(u64, String, u64)>,
    last_version: u64,
    committed: BTreeMap<String, u64>,
    acknowledged_count: usize,
}

impl Clients {
    fn new() -> Clients {
        Clients { pending: Vec::new(), last_version: 0, committed: BTreeMap::new(), acknowledged_count: 0 }
    }

    fn step(&mut self, cluster: &mut Cluster, to: &[usize]) {
        while self.pending.len() < 8 {
            self.last_version += 1;
            let name = format!("l{}", self.last_version % 1_000);
            let n = to[cluster.rng.rand_range(0..to.len() as u64) as usize];
            let request_id =
                cluster.patch(n, &name, self.last_version, Some(&service_value(self.last_version)));
            self.pending.push((request_id, name, self.last_version));
        }
        cluster.step();
        let (committed, acknowledged_count) = (&mut self.committed, &mut self.acknowledged_count);
        self.pending.retain(|(request_id, name, version)| match cluster.responses.get(request_id) {
            None => true,
            Some((_, response)) => {
                if *response == Response::Done {
                    *acknowledged_count += 1;
                    committed.insert(name.clone(), *version);
                }
                false
            }
        });
    }
}

/// The item store and state of a running process, and whether it holds the lease.
fn inspect(cluster: &Cluster, n: usize) -> Option<(&ItemStore, ReplicaState, bool)> {
    let state_machine = cluster.nodes[n].state_machine.as_ref()?;
    Some((
        state_machine.item_store(),
        state_machine.replica_state(),
        state_machine.lease_term(timestamp(cluster.now)).is_some(),
    ))
}

/// Checks that a process that is serving or holds the lease has every acknowledged change; returns whether it is
/// serving.
fn assert_current_if_serving(cluster: &Cluster, n: usize, committed: &BTreeMap<String, u64>) -> bool {
    let Some((item_store, replica_state, holds_lease)) = inspect(cluster, n) else { return false };
    let version = |name: &str| item_store.get(Kind::Service, name).map_or(0, |item| item.version);
    let has_all = committed.iter().all(|(name, expected)| version(name) >= *expected);
    assert!(
        has_all || replica_state != ReplicaState::Serving && !holds_lease,
        "s{n} is {replica_state:?} without every acknowledged change"
    );
    replica_state == ReplicaState::Serving
}

#[test]
fn two_catch_up_after_a_thousand_changes_while_changes_go_on() {
    for (seed, wipes_disks, kills) in [(1, false, 0), (2, true, 0), (3, false, 3), (4, true, 3)] {
        let mut cluster = Cluster::new(seed);
        cluster.run(4_000);
        let (mut clients, restarted) = (Clients::new(), [1, 4]);
        for n in restarted {
            cluster.kill(n, true, wipes_disks, 1_000_000);
        }
        cluster.run(3_000);
        while clients.acknowledged_count < 1_000 {
            clients.step(&mut cluster, &[0, 2, 3, 5]);
        }
        let expected = clients.committed.clone();
        // Both restart; in some cases they are killed at different moments of the catch-up.
        for kill in 0..=kills {
            restarted.iter().for_each(|n| cluster.nodes[*n].restarts_at = cluster.now);
            let until = cluster.now + 200 + 150 * kill;
            while kill < kills && cluster.now < until {
                clients.step(&mut cluster, &[0, 2, 3, 5]);
                restarted.iter().for_each(|n| _ = assert_current_if_serving(&cluster, *n, &expected));
            }
            if kill < kills {
                restarted.iter().for_each(|n| cluster.kill(*n, kill % 2 == 0, false, 300));
            }
        }
        let since = cluster.now;
        loop {
            clients.step(&mut cluster, &[0, 2, 3, 5]);
            if restarted.iter().filter(|n| assert_current_if_serving(&cluster, **n, &expected)).count() == 2 {
                break;
            }
            assert!(
                cluster.now - since < MAX_CATCH_UP_MS,
                "seed {seed}: not caught up after {} ms",
                cluster.now - since
            );
        }
        println!("seed {seed}: wiped {wipes_disks}, kills {kills}: {} ms", cluster.now - since);
        // Equal digests show that no incomplete chunk was taken for a complete one.
        cluster.run(8_000);
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        let digests: BTreeSet<u64> =
            (0..6).map(|n| inspect(&cluster, n).unwrap().0.history_digest()).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
    }
}

/// When many gateways connect at once, the number of bytes in flight to them stays bounded, and all of them catch up.
#[test]
fn bytes_in_flight_to_many_gateways_are_bounded() {
    let mut cluster = Cluster::new(7);
    cluster.run(4_000);
    let items = |from: u64| -> Vec<Item> {
        let item = |n: u64| Item {
            kind: Kind::Service,
            name: format!("l{n}").into(),
            version: 1,
            value: Some(service_value(n).into()),
        };
        (from..from + 500).map(item).collect()
    };
    for from in [0, 500] {
        let request_id = cluster.request(2, Request::Patch(items(from)));
        cluster.run(1_500);
        assert_eq!(cluster.responses[&request_id].1, Response::Done);
    }
    cluster.add_gateways(60);
    let (mut max_in_flight, until) = (0, cluster.now + 20_000);
    while cluster.now < until && !cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()) {
        cluster.step();
        max_in_flight = max_in_flight.max(cluster.item_bytes_in_flight());
    }
    let caught_up_count =
        cluster.gateways.iter().filter(|gateway| gateway.session.item_store.len() > 1_000).count();
    assert_eq!(caught_up_count, 60, "not all gateways are caught up at {} ms", cluster.now);
    // 60 gateways lack 2 MB each. Each of the six processes may have 8 MiB and one chunk in flight.
    println!(
        "60 gateways: at most {max_in_flight} bytes in flight; all caught up {} ms before the deadline",
        until - cluster.now
    );
    assert!(max_in_flight < 6 * (8 << 20) + 6 * (300 << 10), "{max_in_flight} bytes in flight at once");
}

/// Sets or deletes the service `x` and checks that the change is acknowledged.
fn patch_x(cluster: &mut Cluster, n: usize, version: u64, value: Option<&str>) {
    let request_id = cluster.patch(n, "x", version, value);
    cluster.run(1_500);
    assert_eq!(cluster.responses[&request_id].1, Response::Done, "r{version}");
}

#[test]
fn nothing_old_brings_back_a_purged_item() {
    const TOMBSTONE_RETENTION_MS: i64 = 12_000;
    for seed in 0..4 {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(8_000);
        cluster.set_tombstone_retention(TOMBSTONE_RETENTION_MS);
        patch_x(&mut cluster, 0, 5, Some(SERVICE));
        let is_set = |item_store: &ItemStore| item_store.get(Kind::Service, "x").is_some_and(Item::is_set);
        assert!(cluster.gateways.iter().all(|gateway| is_set(&gateway.session.item_store)), "seed {seed}");
        // Three kinds of stale copies keep the item: the disks of two processes that restart as new replicas with empty
        // disks, a gateway that is partitioned from all processes, and a process that is partitioned but remains a
        // member.
        let mut old_disks = Vec::new();
        for n in [3, 4] {
            old_disks.push((n, cluster.nodes[n].disk.clone()));
            cluster.kill(n, true, true, 500);
            cluster.run(8_000);
            assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        }
        let partitioned_until = cluster.now + 1_000_000;
        (0..6).for_each(|n| _ = cluster.gateway_partitions.insert((0, n), partitioned_until));
        (0..5).for_each(|n| _ = cluster.partitions.insert((n, 5), partitioned_until));
        cluster.run(3_000);
        patch_x(&mut cluster, 1, 6, None);
        // While one replica has not learned of the deletion, all others keep the tombstone.
        cluster.run(TOMBSTONE_RETENTION_MS + 8_000);
        let has_x = |item_store: &ItemStore| item_store.get(Kind::Service, "x").is_some();
        assert!((0..6).all(|n| has_x(inspect(&cluster, n).unwrap().0)), "seed {seed}: purged too early");
        assert!(is_set(inspect(&cluster, 5).unwrap().0), "seed {seed}: s5 is partitioned");
        cluster.partitions.clear();
        cluster.run(TOMBSTONE_RETENTION_MS - 2_000);
        assert!((0..6).all(|n| has_x(inspect(&cluster, n).unwrap().0)), "seed {seed}: purged too early");
        assert!(!is_set(inspect(&cluster, 5).unwrap().0), "seed {seed}: s5 has not learned of the deletion");
        cluster.run(8_000);
        for n in 0..6 {
            assert!(!has_x(inspect(&cluster, n).unwrap().0), "seed {seed}: s{n} keeps the tombstone");
        }
        assert!(
            cluster.gateways[1..].iter().all(|gateway| !has_x(&gateway.session.item_store)),
            "seed {seed}"
        );
        assert!(is_set(&cluster.gateways[0].session.item_store), "seed {seed}: lost while partitioned");
        // Two processes restart with their old disks.
        for (n, disk) in old_disks {
            cluster.kill(n, true, true, 100);
            cluster.nodes[n].disk = disk;
        }
        cluster.gateway_partitions.clear();
        let until = cluster.now + 30_000;
        let mut reset_after = None;
        while cluster.now < until {
            cluster.step();
            for n in 0..6 {
                let Some((item_store, replica_state, _)) = inspect(&cluster, n) else { continue };
                let is_current = !matches!(n, 3 | 4) || replica_state == ReplicaState::Serving;
                assert!(!is_current || !is_set(item_store), "seed {seed}: set at s{n}, {replica_state:?}");
            }
            if reset_after.is_none() && !is_set(&cluster.gateways[0].session.item_store) {
                reset_after = Some(cluster.now - (until - 30_000));
            }
            let stale = cluster.gateways[1..].iter().position(|gateway| is_set(&gateway.session.item_store));
            assert_eq!(stale, None, "seed {seed}: set at a gateway");
        }
        assert_eq!(cluster.serving_count(), 6, "seed {seed}: not all are serving");
        // The gateway discards its stale items at once, not only after repairs have failed to resolve the difference.
        assert!(reset_after.is_some_and(|after| after < 6_000), "seed {seed}: {reset_after:?}");
        assert!(
            cluster.gateways[0].session.is_caught_up() && cluster.gateways[0].connection.is_some(),
            "seed {seed}"
        );
    }
}

/// A replica that has learned of a deletion but not synced it may lose it in a power loss, so the others keep the
/// tombstone.
#[test]
fn a_tombstone_is_kept_until_every_replica_has_it_on_disk() {
    const TOMBSTONE_RETENTION_MS: i64 = 8_000;
    for seed in 20..24 {
        let mut cluster = Cluster::new(seed);
        cluster.run(5_000);
        cluster.set_tombstone_retention(TOMBSTONE_RETENTION_MS);
        cluster.patch(0, "x", 5, Some(SERVICE));
        cluster.run(3_000);
        cluster.disk_delay[4] = 300_000;
        let request_id = cluster.patch(1, "x", 6, None);
        cluster.run(TOMBSTONE_RETENTION_MS + 10_000);
        assert_eq!(cluster.responses[&request_id].1, Response::Done, "seed {seed}");
        cluster.disk_delay[4] = 0;
        cluster.kill(4, true, false, 200);
        let until = cluster.now + 12_000;
        while cluster.now < until {
            cluster.step();
            let is_set = |n: &usize| {
                let Some((item_store, replica_state, _)) = inspect(&cluster, *n) else { return false };
                replica_state == ReplicaState::Serving
                    && item_store.get(Kind::Service, "x").is_some_and(Item::is_set)
            };
            assert_eq!((0..6).find(is_set), None, "seed {seed}: the deleted item is back");
        }
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
    }
}

/// A change of 12 MiB over connections of 1 MiB/s is acknowledged; no process loses quorum contact, and no second
/// process proposes the change.
#[test]
fn a_large_change_over_slow_connections_costs_no_contact() {
    let mut cluster = Cluster::new(9);
    cluster.run(4_000);
    cluster.link_rate = Some(1_050);
    let value = |n: u8| Some(vec![n; 1 << 20].into());
    let item =
        |n: u8| Item { kind: Kind::Service, name: format!("l{n}").into(), version: 1, value: value(n) };
    let request_id = cluster.request(2, Request::Patch((0..12).map(item).collect()));
    let (since, mut max_copies) = (cluster.now, 0);
    while !cluster.responses.contains_key(&request_id) {
        cluster.step();
        assert_eq!(
            cluster.serving_count(),
            6,
            "a process is out of contact after {} ms",
            cluster.now - since
        );
        let copies = cluster
            .in_flight
            .iter()
            .filter(|it| matches!(&it.message, Message::AcceptRequest(s) if s.items.len() > 1));
        max_copies = max_copies.max(copies.count());
    }
    assert_eq!(cluster.responses[&request_id].1, Response::Done);
    println!("12 MiB over connections of 1 MiB/s: {} ms", cluster.now - since);
    assert!(max_copies <= 5, "{max_copies} copies of the proposal in flight at once");
    assert!(cluster.now - since < 14_500);
}

/// Reads during several concurrent large changes: each response fits into a message, and all changes are acknowledged.
#[test]
fn reads_among_large_undecided_proposals_fit_in_a_message() {
    let mut cluster = Cluster::new(10);
    cluster.run(4_000);
    let value = |n: u8| Some(vec![n; 3 << 20].into());
    let item =
        |n: u8| Item { kind: Kind::Service, name: format!("l{n}").into(), version: 1, value: value(n) };
    let request_ids: Vec<u64> =
        (0..10).map(|n| cluster.request(n as usize % 6, Request::Patch(vec![item(n)]))).collect();
    let (mut gets, until) = (Vec::new(), cluster.now + 6_000);
    let mut max_response_bytes = 0;
    while cluster.now < until {
        if cluster.now < until - 5_000 && cluster.now % 200 == 0 {
            gets.push(cluster.request(cluster.now as usize / 200 % 6, Request::Get));
        }
        cluster.step();
        for flight in &cluster.in_flight {
            if let Message::PrepareResponse(response) = &flight.message {
                let accepted = response.accepted.iter();
                let proposals = accepted.map(|it| it.clone().into_proposal().unwrap().1.bytes());
                let items = response.items.iter().map(|i| i.value.as_ref().map_or(0, |value| value.len()));
                max_response_bytes = max_response_bytes.max(proposals.sum::<usize>() + items.sum::<usize>());
            }
        }
    }
    assert!(request_ids.iter().all(|request_id| cluster.responses[request_id].1 == Response::Done));
    let answered = gets
        .iter()
        .filter(|get| matches!(cluster.responses.get(get), Some((_, Response::Configuration(_)))))
        .count();
    println!(
        "at most {max_response_bytes} bytes in one response; {answered} of {} reads answered in time",
        gets.len()
    );
    // A response holds up to 4 MiB of accepted proposals, exceeded by at most one proposal, and one bucket of items.
    assert!(max_response_bytes > 3 << 20 && max_response_bytes < 9 << 20, "{max_response_bytes}");
    assert!(answered * 2 > gets.len(), "{answered} of {}", gets.len());
}

/// Control processes accept only backend items from gateways.
#[test]
fn gateways_return_only_backends() {
    let mut cluster = Cluster::new(8);
    cluster.add_gateways(6);
    cluster.run(8_000);
    let connection = cluster.gateways[2].connection.unwrap();
    let item = |kind, name: &str| Item { kind, name: name.into(), version: 9, value: Some("{}".into()) };
    let items = [item(Kind::Service, "old"), item(Kind::Backend, "b"), item(Kind::ReplicaSet, "next")];
    // The gateway also holds these items, and one more backend that it has to be asked for.
    let gateway_items = items.iter().cloned().chain([item(Kind::Backend, "c")]);
    gateway_items.for_each(|item| _ = cluster.gateways[2].session.item_store.merge(item));
    let message = Message::Items(Items::complete(items.iter().map(ItemMessage::from).collect()));
    let now = timestamp(cluster.now);
    cluster.state_machine_mut(connection.node).session_message(now, connection.id, message);
    let mut returned = false;
    for _ in 0..400 {
        cluster.step();
        for in_flight in cluster.gateway_messages(2) {
            if let (true, Message::Items(items)) = (in_flight.is_from_gateway, &in_flight.message) {
                returned = true;
                assert!(items.items.iter().all(|item| item.kind == Kind::Backend as u32));
            }
        }
    }
    for n in 0..6 {
        let item_store = inspect(&cluster, n).unwrap().0;
        let has = |kind, name: &str| item_store.get(kind, name).is_some();
        assert!(
            !has(Kind::Service, "old") && !has(Kind::ReplicaSet, "next") && has(Kind::Backend, "b"),
            "s{n}"
        );
        assert!(has(Kind::Backend, "c"), "s{n}");
    }
    assert!(returned, "the gateway never returned its backends");
}

/// A gateway that received incomplete items does not count as caught up until it holds all of them.
#[test]
fn a_gateway_with_part_of_the_items_has_not_caught_up() {
    let mut cluster = Cluster::new(6);
    cluster.run(4_000);
    for n in 0..20 {
        cluster.patch(0, &format!("l{n}"), 1, Some(SERVICE));
    }
    cluster.run(3_000);
    cluster.add_gateways(6);
    let (mut truncated_gateways, until) = (BTreeSet::new(), cluster.now + 6_000);
    while cluster.now < until {
        cluster.step();
        for gateway in 0..6 {
            for in_flight in cluster.gateway_messages(gateway) {
                if let (false, Message::Items(items)) = (in_flight.is_from_gateway, &mut in_flight.message) {
                    if items.items.len() > 1 && truncated_gateways.insert(gateway) {
                        items.items.remove(0); // a service: services precede the replica set
                    }
                }
            }
            let session = &cluster.gateways[gateway].session;
            assert!(
                !session.is_caught_up() || session.item_store.items_of(Kind::Service).count() == 20,
                "g{gateway}"
            );
        }
    }
    assert!(
        truncated_gateways.len() == 6
            && cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()),
        "{truncated_gateways:?}"
    );
}

/// A chunk that lost an item is not taken for a complete one.
#[test]
fn an_incomplete_chunk_is_requested_again() {
    let mut cluster = Cluster::new(5);
    cluster.run(4_000);
    cluster.kill(2, true, false, 1_000_000);
    cluster.run(2_000);
    for n in 0..20 {
        cluster.patch(0, &format!("l{n}"), 1, Some(SERVICE));
    }
    cluster.run(3_000);
    cluster.nodes[2].restarts_at = cluster.now;
    let mut truncated = BTreeSet::new();
    let until = cluster.now + 10_000;
    while cluster.now < until {
        cluster.step();
        // The first response of each process loses an item in transit.
        for flight in &mut cluster.in_flight {
            if let Message::PrepareResponse(response) = &mut flight.message {
                if flight.to == 2 && response.items.len() > 1 && truncated.insert(flight.from) {
                    response.items.pop();
                }
            }
        }
        if let Some((item_store, ReplicaState::Serving, _)) = inspect(&cluster, 2) {
            assert!((0..20).all(|n| item_store.get(Kind::Service, &format!("l{n}")).is_some()));
        }
    }
    assert!(truncated.len() >= 3, "{truncated:?}");
    assert_eq!(cluster.serving_count(), 6);
}
