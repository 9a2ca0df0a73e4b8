//! Catching up with much, on six simulated processes: after 1,000 changes, killed in the middle of it, with an empty disk,
//! two at once, while changes go on; many gateways at once; and purged tombstones, whose items nothing brings back.

mod cluster;

use cluster::{at, Cluster};
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use kitepass_coordination::protocol::{ItemMessage, Items, Message};
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Milliseconds until a process that lacks 2 MB is caught up.
const CATCH_UP_BOUND: i64 = 8_000;

/// A service of about 2 KB: a thousand of them are some chunks.
fn long(version: u64) -> String {
    format!(r#"{{"checkpoint":"/c{version}{}"}}"#, "c".repeat(2_000))
}

/// Eight clients that send change after change, each to one of some processes, and the committed version of each name.
struct Clients {
    open: Vec<(u64, String, u64)>,
    newest: u64,
    committed: BTreeMap<String, u64>,
    done: usize,
}

impl Clients {
    fn new() -> Clients {
        Clients { open: Vec::new(), newest: 0, committed: BTreeMap::new(), done: 0 }
    }

    fn step(&mut self, cluster: &mut Cluster, to: &[usize]) {
        while self.open.len() < 8 {
            self.newest += 1;
            let name = format!("l{}", self.newest % 1_000);
            let n = to[cluster.random.rand_range(0..to.len() as u64) as usize];
            let request_id = cluster.patch(n, &name, self.newest, Some(&long(self.newest)));
            self.open.push((request_id, name, self.newest));
        }
        cluster.step();
        let (committed, done) = (&mut self.committed, &mut self.done);
        self.open.retain(|(request_id, name, version)| match cluster.responses.get(request_id) {
            None => true,
            Some((_, response)) => {
                if *response == Response::Done {
                    *done += 1;
                    committed.insert(name.clone(), *version);
                }
                false
            }
        });
    }
}

fn item_store(cluster: &Cluster, n: usize) -> Option<(&ItemStore, ReplicaState, bool)> {
    let state_machine = cluster.nodes[n].state_machine.as_ref()?;
    Some((
        state_machine.item_store(),
        state_machine.replica_state(),
        state_machine.lease_term(at(cluster.now)).is_some(),
    ))
}

/// A process that serves, or is coordinator, holds what was acknowledged before.
fn knows(cluster: &Cluster, n: usize, committed: &BTreeMap<String, u64>) -> bool {
    let Some((item_store, replica_state, holds)) = item_store(cluster, n) else { return false };
    let version = |name: &str| item_store.get(Kind::Service, name).map_or(0, |item| item.version);
    let all = committed.iter().all(|(name, expected)| version(name) >= *expected);
    assert!(
        all || replica_state != ReplicaState::Serving && !holds,
        "s{n} is {replica_state:?} with an old state"
    );
    replica_state == ReplicaState::Serving
}

#[test]
fn two_catch_up_after_a_thousand_changes_while_changes_go_on() {
    for (seed, wiped, kills) in [(1, false, 0), (2, true, 0), (3, false, 3), (4, true, 3)] {
        let mut cluster = Cluster::new(seed);
        cluster.run(4_000);
        let (mut clients, away) = (Clients::new(), [1, 4]);
        for n in away {
            cluster.kill(n, true, wiped, 1_000_000);
        }
        cluster.run(3_000);
        while clients.done < 1_000 {
            clients.step(&mut cluster, &[0, 2, 3, 5]);
        }
        let expected = clients.committed.clone();
        // They come back; some are killed in the middle of catching up, at different moments.
        for kill in 0..=kills {
            away.iter().for_each(|n| cluster.nodes[*n].restarts_at = cluster.now);
            let until = cluster.now + 200 + 150 * kill;
            while kill < kills && cluster.now < until {
                clients.step(&mut cluster, &[0, 2, 3, 5]);
                away.iter().for_each(|n| _ = knows(&cluster, *n, &expected));
            }
            if kill < kills {
                away.iter().for_each(|n| cluster.kill(*n, kill % 2 == 0, false, 300));
            }
        }
        let since = cluster.now;
        loop {
            clients.step(&mut cluster, &[0, 2, 3, 5]);
            if away.iter().filter(|n| knows(&cluster, **n, &expected)).count() == 2 {
                break;
            }
            assert!(
                cluster.now - since < CATCH_UP_BOUND,
                "seed {seed}: behind after {} ms",
                cluster.now - since
            );
        }
        println!("seed {seed}: wiped {wiped}, kills {kills}: {} ms", cluster.now - since);
        // No incomplete chunk was taken for a complete one, and all agree in the end.
        cluster.run(8_000);
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        let digests: BTreeSet<u64> =
            (0..6).map(|n| item_store(&cluster, n).unwrap().0.history_digest()).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
    }
}

/// A region's gateways come back at once: what is in flight to them stays bounded, and all catch up completely.
#[test]
fn bytes_in_flight_to_many_gateways_are_bounded() {
    let mut cluster = Cluster::new(7);
    cluster.run(4_000);
    let items = |from: u64| -> Vec<Item> {
        let item = |n: u64| Item {
            kind: Kind::Service,
            name: format!("l{n}").into(),
            version: 1,
            value: Some(long(n).into()),
        };
        (from..from + 500).map(item).collect()
    };
    for from in [0, 500] {
        let request_id = cluster.request(2, Request::Patch(items(from)));
        cluster.run(1_500);
        assert_eq!(cluster.responses[&request_id].1, Response::Done);
    }
    cluster.add_gateways(60);
    let (mut most, until) = (0, cluster.now + 20_000);
    while cluster.now < until && !cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()) {
        cluster.step();
        most = most.max(cluster.item_bytes_in_flight());
    }
    let told = cluster.gateways.iter().filter(|gateway| gateway.session.item_store.len() > 1_000).count();
    assert_eq!(told, 60, "not all are caught up at {}", cluster.now);
    // 60 of 2 MB each, at up to six processes with 8 MiB and a chunk each.
    println!(
        "60 gateways: {most} bytes on their way at most, all told {} ms before the end",
        until - cluster.now
    );
    assert!(most < 6 * (8 << 20) + 6 * (300 << 10), "{most} bytes on their way at once");
}

/// Sets or drops the service `x`, and waits until that is acknowledged.
fn change_x(cluster: &mut Cluster, n: usize, version: u64, value: Option<&str>) {
    let request_id = cluster.patch(n, "x", version, value);
    cluster.run(1_500);
    assert_eq!(cluster.responses[&request_id].1, Response::Done, "r{version}");
}

#[test]
fn nothing_old_brings_back_a_purged_item() {
    const AGE: i64 = 12_000;
    for seed in 0..4 {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(8_000);
        cluster.set_tombstone_retention(AGE);
        change_x(&mut cluster, 0, 5, Some(SERVICE));
        let is_set = |item_store: &ItemStore| item_store.get(Kind::Service, "x").is_some_and(Item::is_set);
        assert!(cluster.gateways.iter().all(|gateway| is_set(&gateway.session.item_store)), "seed {seed}");
        // Old disks: of two processes that came back with empty ones, and are new replicas since. An old gateway: partitioned
        // from all. An old copy: a process that is partitioned from the others and stays a member.
        let mut old = Vec::new();
        for n in [3, 4] {
            old.push((n, cluster.nodes[n].disk.clone()));
            cluster.kill(n, true, true, 500);
            cluster.run(8_000);
            assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        }
        let gone = cluster.now + 1_000_000;
        (0..6).for_each(|n| _ = cluster.gateway_partitions.insert((0, n), gone));
        (0..5).for_each(|n| _ = cluster.partitions.insert((n, 5), gone));
        cluster.run(3_000);
        change_x(&mut cluster, 1, 6, None);
        // As long as one replica does not know of the drop, all others remember it.
        cluster.run(AGE + 8_000);
        let knows = |item_store: &ItemStore| item_store.get(Kind::Service, "x").is_some();
        assert!((0..6).all(|n| knows(item_store(&cluster, n).unwrap().0)), "seed {seed}: too early");
        assert!(is_set(item_store(&cluster, 5).unwrap().0), "seed {seed}: it is cut off");
        cluster.partitions.clear();
        cluster.run(AGE - 2_000);
        assert!((0..6).all(|n| knows(item_store(&cluster, n).unwrap().0)), "seed {seed}: too early");
        assert!(!is_set(item_store(&cluster, 5).unwrap().0), "seed {seed}: it was told");
        cluster.run(8_000);
        for n in 0..6 {
            assert!(!knows(item_store(&cluster, n).unwrap().0), "seed {seed}: s{n} has not forgotten");
        }
        assert!(
            cluster.gateways[1..].iter().all(|gateway| !knows(&gateway.session.item_store)),
            "seed {seed}"
        );
        assert!(is_set(&cluster.gateways[0].session.item_store), "seed {seed}: it goes by what it holds");
        // The old disks come back in place of those that are in use.
        for (n, disk) in old {
            cluster.kill(n, true, true, 100);
            cluster.nodes[n].disk = disk;
        }
        cluster.gateway_partitions.clear();
        let until = cluster.now + 30_000;
        let mut gateway_back = None;
        while cluster.now < until {
            cluster.step();
            for n in 0..6 {
                let Some((item_store, replica_state, _)) = item_store(&cluster, n) else { continue };
                let fresh = !matches!(n, 3 | 4) || replica_state == ReplicaState::Serving;
                assert!(!fresh || !is_set(item_store), "seed {seed}: back at s{n}, {replica_state:?}");
            }
            if gateway_back.is_none() && !is_set(&cluster.gateways[0].session.item_store) {
                gateway_back = Some(cluster.now - (until - 30_000));
            }
            let back = cluster.gateways[1..].iter().position(|gateway| is_set(&gateway.session.item_store));
            assert_eq!(back, None, "seed {seed}: back at a gateway");
        }
        assert_eq!(cluster.serving_count(), 6, "seed {seed}: all are back");
        // The gateway begins anew at once, not only after repairs that left a difference.
        assert!(gateway_back.is_some_and(|after| after < 6_000), "seed {seed}: {gateway_back:?}");
        assert!(
            cluster.gateways[0].session.is_caught_up() && cluster.gateways[0].connection.is_some(),
            "seed {seed}"
        );
    }
}

/// A replica knows of a drop and does not have it on disk: the tombstone is kept, as that replica may lose power.
#[test]
fn a_tombstone_is_kept_until_every_replica_has_it_on_disk() {
    const AGE: i64 = 8_000;
    for seed in 20..24 {
        let mut cluster = Cluster::new(seed);
        cluster.run(5_000);
        cluster.set_tombstone_retention(AGE);
        cluster.patch(0, "x", 5, Some(SERVICE));
        cluster.run(3_000);
        cluster.disk_delay[4] = 300_000;
        let request_id = cluster.patch(1, "x", 6, None);
        cluster.run(AGE + 10_000);
        assert_eq!(cluster.responses[&request_id].1, Response::Done, "seed {seed}");
        cluster.disk_delay[4] = 0;
        cluster.kill(4, true, false, 200);
        let until = cluster.now + 12_000;
        while cluster.now < until {
            cluster.step();
            let is_set = |n: &usize| {
                let Some((item_store, replica_state, _)) = item_store(&cluster, *n) else { return false };
                replica_state == ReplicaState::Serving
                    && item_store.get(Kind::Service, "x").is_some_and(Item::is_set)
            };
            assert_eq!((0..6).find(is_set), None, "seed {seed}: it is back");
        }
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
    }
}

/// A change of 12 MiB over connections of 1 MiB a second is acknowledged; nobody loses contact, and nobody else proposes it.
#[test]
fn a_large_change_over_slow_connections_costs_no_contact() {
    let mut cluster = Cluster::new(9);
    cluster.run(4_000);
    cluster.rate = Some(1_050);
    let value = |n: u8| Some(vec![n; 1 << 20].into());
    let item =
        |n: u8| Item { kind: Kind::Service, name: format!("l{n}").into(), version: 1, value: value(n) };
    let request_id = cluster.request(2, Request::Patch((0..12).map(item).collect()));
    let (since, mut most) = (cluster.now, 0);
    while !cluster.responses.contains_key(&request_id) {
        cluster.step();
        assert_eq!(cluster.serving_count(), 6, "somebody is out of contact after {} ms", cluster.now - since);
        let long = cluster
            .in_flight
            .iter()
            .filter(|it| matches!(&it.message, Message::AcceptRequest(s) if s.items.len() > 1));
        most = most.max(long.count());
    }
    assert_eq!(cluster.responses[&request_id].1, Response::Done);
    println!("12 MiB over lines of 1 MiB a second: {} ms", cluster.now - since);
    assert!(most <= 5, "{most} copies of the call on their way at once");
    assert!(cluster.now - since < 14_500);
}

/// Changes of many MiB at once, and reads meanwhile: no message is longer than one may be, and all are answered.
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
    let mut most = 0;
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
                most = most.max(proposals.sum::<usize>() + items.sum::<usize>());
            }
        }
    }
    assert!(request_ids.iter().all(|request_id| cluster.responses[request_id].1 == Response::Done));
    let whole = gets
        .iter()
        .filter(|get| matches!(cluster.responses.get(get), Some((_, Response::Configuration(_)))))
        .count();
    println!("{most} bytes in one answer at most; {whole} of {} readings answered in time", gets.len());
    // The 4 MiB of accepted proposals that are told, or one more than that, and a bucket.
    assert!(most > 3 << 20 && most < 9 << 20, "{most}");
    assert!(whole * 2 > gets.len(), "{whole} of {}", gets.len());
}

/// Of what a gateway holds only backends are taken over.
#[test]
fn gateways_return_only_backends() {
    let mut cluster = Cluster::new(8);
    cluster.add_gateways(6);
    cluster.run(8_000);
    let connection = cluster.gateways[2].connection.unwrap();
    let item = |kind, name: &str| Item { kind, name: name.into(), version: 9, value: Some("{}".into()) };
    let items = [item(Kind::Service, "old"), item(Kind::Backend, "b"), item(Kind::ReplicaSet, "next")];
    // The gateway holds them too, and one more backend than it sends unasked.
    let known = items.iter().cloned().chain([item(Kind::Backend, "c")]);
    known.for_each(|item| _ = cluster.gateways[2].session.item_store.merge(item));
    let message = Message::Items(Items::complete(items.iter().map(ItemMessage::from).collect()));
    let now = at(cluster.now);
    cluster.state_machine_mut(connection.node).session_message(now, connection.id, message);
    let mut gave = false;
    for _ in 0..400 {
        cluster.step();
        for it in cluster.messages_of_gateway(2) {
            if let (true, Message::Items(items)) = (it.is_from_gateway, &it.message) {
                gave = true;
                assert!(items.items.iter().all(|item| item.kind == Kind::Backend as u32));
            }
        }
    }
    for n in 0..6 {
        let item_store = item_store(&cluster, n).unwrap().0;
        let has = |kind, name: &str| item_store.get(kind, name).is_some();
        assert!(
            !has(Kind::Service, "old") && !has(Kind::ReplicaSet, "next") && has(Kind::Backend, "b"),
            "s{n}"
        );
        assert!(has(Kind::Backend, "c"), "s{n}");
    }
    assert!(gave, "it was never sent for what it holds");
}

/// A gateway that lost a message is not caught up before it holds everything.
#[test]
fn a_gateway_with_part_of_the_items_has_not_caught_up() {
    let mut cluster = Cluster::new(6);
    cluster.run(4_000);
    for n in 0..20 {
        cluster.patch(0, &format!("l{n}"), 1, Some(SERVICE));
    }
    cluster.run(3_000);
    cluster.add_gateways(6);
    let (mut lost, until) = (BTreeSet::new(), cluster.now + 6_000);
    while cluster.now < until {
        cluster.step();
        for gateway in 0..6 {
            for it in cluster.messages_of_gateway(gateway) {
                if let (false, Message::Items(items)) = (it.is_from_gateway, &mut it.message) {
                    if items.items.len() > 1 && lost.insert(gateway) {
                        items.items.remove(0); // a line: services come before the replica set
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
        lost.len() == 6 && cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()),
        "{lost:?}"
    );
}

/// A chunk that lacks an item is not taken for all that the other holds.
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
        // The first answer of each loses an item on its way.
        for flight in &mut cluster.in_flight {
            if let Message::PrepareResponse(response) = &mut flight.message {
                if flight.to == 2 && response.items.len() > 1 && truncated.insert(flight.from) {
                    response.items.pop();
                }
            }
        }
        if let Some((item_store, ReplicaState::Serving, _)) = item_store(&cluster, 2) {
            assert!((0..20).all(|n| item_store.get(Kind::Service, &format!("l{n}")).is_some()));
        }
    }
    assert!(truncated.len() >= 3, "{truncated:?}");
    assert_eq!(cluster.serving_count(), 6);
}
