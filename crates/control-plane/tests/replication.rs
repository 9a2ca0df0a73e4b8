//! Durability of acknowledged changes in a simulated cluster of six processes, under message loss and delay,
//! partitions, kills, power losses and tolerated disk losses. Every process that answers a read returns all
//! acknowledged changes, and no two processes hold the coordinator's lease at once.

mod cluster;

use cluster::{timestamp, Cluster};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;

#[test]
fn a_cluster_bootstraps_and_serves_requests() {
    let mut cluster = Cluster::new(1);
    cluster.run(4_000);
    assert_eq!(cluster.serving_count(), 6);
    let request_id = cluster.patch(3, "one", 7, Some(SERVICE));
    cluster.run(600);
    assert_eq!(cluster.responses[&request_id].1, Response::Done);
    let read = cluster.request(5, Request::Get);
    let evacuate = cluster.request(1, Request::Evacuate { zone: "a1".into(), evacuated: true });
    cluster.run(600);
    let Response::Configuration(snapshot) = &cluster.responses[&read].1 else {
        panic!("expected a configuration")
    };
    assert!(String::from_utf8_lossy(&snapshot.to_json()).contains("\"one\""));
    assert_eq!(cluster.responses[&evacuate].1, Response::Done);
    assert!(cluster.nodes.iter().any(|n| n
        .state_machine
        .as_ref()
        .unwrap()
        .lease_term(timestamp(cluster.now))
        .is_some()));
}

/// The highest version wins, whatever the order of arrival: an older change is sent after a newer one, and a deletion
/// stands against an older change that follows it.
#[test]
fn versions_alone_decide() {
    let mut cluster = Cluster::new(2);
    cluster.run(4_000);
    let request_ids = [
        cluster.patch(0, "l", 5, Some(SERVICE)),
        cluster.patch(1, "l", 4, Some("{}")),
        cluster.patch(2, "l", 9, None),
        cluster.patch(3, "l", 8, Some("{}")),
    ];
    cluster.run(1_000);
    assert!(request_ids.iter().all(|request_id| cluster.responses[request_id].1 == Response::Done));
    cluster.run(3_000);
    for node in &cluster.nodes {
        let item = node.state_machine.as_ref().unwrap().item_store().get(Kind::Service, "l").unwrap();
        assert_eq!((item.version, &item.value), (9, &None));
    }
}

/// Injects a random fault that the cluster must tolerate, or none.
fn inject_fault(cluster: &mut Cluster) {
    match cluster.rng.rand_range(0..7) {
        0 => {
            // All processes lose power, and the disks of one zone or of a region's two zones are lost.
            let first_lost = cluster.rng.rand_range(0..3) as usize * 2;
            let whole_region = cluster.rng.rand_range(0..2) == 0;
            (0..6).for_each(|n| {
                let wipes_disk = n == first_lost || whole_region && n == first_lost + 1;
                cluster.kill(n, true, wipes_disk, 500);
            });
            cluster.run(8_000);
        }
        1 => (0..6).for_each(|n| cluster.kill(n, false, false, 700)),
        2 => {
            let n = cluster.rng.rand_range(0..6) as usize;
            cluster.kill(n, true, false, 900);
        }
        3 => {
            // A random partition of the cluster into two sides.
            let side: BTreeSet<usize> = (0..6).filter(|_| cluster.rng.rand_range(0..2) == 0).collect();
            let until = cluster.now + 3_000;
            for a in 0..6 {
                for b in a + 1..6 {
                    if side.contains(&a) != side.contains(&b) {
                        cluster.partitions.insert((a, b), until);
                    }
                }
            }
        }
        4 => (0..3).for_each(|n| cluster.kill(n, true, false, 1_200)),
        _ => {}
    }
}

/// Acknowledged changes are read back after any sequence of tolerated faults.
#[test]
fn acknowledged_changes_survive_any_tolerated_loss() {
    let (mut acknowledged_count, mut read_count) = (0, 0);
    for seed in 0..12 {
        let mut cluster = Cluster::new(seed);
        cluster.run(4_000);
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        let mut versions: BTreeMap<u64, (String, u64)> = BTreeMap::new();
        let mut last_version = 0;
        cluster.loss_percent = seed % 3;
        for round in 0..14 {
            for _ in 0..3 {
                last_version += 1 + cluster.rng.rand_range(0..3);
                let name = format!("l{}", cluster.rng.rand_range(0..5));
                let n = cluster.rng.rand_range(0..6) as usize;
                let request_id = cluster.patch(n, &name, last_version, Some(SERVICE));
                versions.insert(request_id, (name, last_version));
                let pause = cluster.rng.rand_range(0..200) as i64;
                cluster.run(pause);
            }
            inject_fault(&mut cluster);
            cluster.run(1_500 + 100 * round);
        }
        cluster.run(12_000);
        assert_eq!(cluster.serving_count(), 6, "seed {seed}: not all processes serve again");
        cluster.loss_percent = 0;
        let mut newest_acknowledged: BTreeMap<&str, u64> = BTreeMap::new();
        for (request_id, (name, version)) in &versions {
            if cluster.responses.get(request_id).is_some_and(|(_, response)| *response == Response::Done) {
                acknowledged_count += 1;
                let newest = newest_acknowledged.entry(name).or_default();
                *newest = (*newest).max(*version);
            }
        }
        let reader = (seed % 6) as usize;
        let request_id = {
            cluster.last_request_id += 1;
            let now = timestamp(cluster.now);
            let request_id = cluster.last_request_id;
            cluster.state_machine_mut(reader).handle_request(now, request_id, Request::Get, now);
            cluster.last_request_id
        };
        cluster.run(1_000);
        assert!(
            matches!(cluster.responses[&request_id].1, Response::Configuration(_)),
            "seed {seed}: {:?}",
            cluster.responses[&request_id].1
        );
        let item_store = cluster.state_machine(reader).item_store();
        for (name, version) in newest_acknowledged {
            let held_version = item_store.get(Kind::Service, name).map_or(0, |item| item.version);
            assert!(
                held_version >= version,
                "seed {seed}: {name} r{version} was acknowledged, r{held_version} is read"
            );
            read_count += 1;
        }
    }
    assert!(acknowledged_count > 200 && read_count > 40, "{acknowledged_count} {read_count}");
}

/// A process with an empty disk accepts no proposal and grants no lease vote before it has caught up.
#[test]
fn an_empty_disk_neither_accepts_nor_votes() {
    let mut cluster = Cluster::new(9);
    cluster.run(4_000);
    (0..4).for_each(|n| cluster.kill(n, true, true, 300));
    cluster.run(3_000);
    // Four of six disks are lost. The two remaining replicas are no read quorum, and the wiped ones don't count for
    // one. These two hear only two of the six members.
    assert_eq!(cluster.serving_count(), 0);
    for n in 4..6 {
        assert_eq!(cluster.state_machine(n).replica_state(), ReplicaState::Isolated);
    }
    let request_id = cluster.patch(4, "l", 3, Some(SERVICE));
    cluster.run(4_000);
    assert!(matches!(cluster.responses[&request_id].1, Response::Unavailable(_)));
    assert!(cluster.nodes[0]
        .state_machine
        .as_ref()
        .is_some_and(|state_machine| !state_machine.hello().is_complete));
}

/// A partitioned process reports that it is isolated, and holds every change acknowledged meanwhile before it serves
/// again.
#[test]
fn an_isolated_process_catches_up_before_it_serves() {
    let mut cluster = Cluster::new(4);
    cluster.run(4_000);
    let until = cluster.now + 6_000;
    (1..6).for_each(|other| _ = cluster.partitions.insert((0, other), until));
    cluster.run(2_500);
    let replica_state = |cluster: &Cluster, n: usize| cluster.state_machine(n).replica_state();
    assert_eq!(
        (replica_state(&cluster, 0), replica_state(&cluster, 1)),
        (ReplicaState::Isolated, ReplicaState::Serving)
    );
    let request_id = cluster.patch(3, "l", 3, Some(SERVICE));
    let isolated_request_id = cluster.patch(0, "l", 5, Some(SERVICE));
    cluster.run(800);
    assert_eq!(cluster.responses[&request_id].1, Response::Done);
    assert!(matches!(cluster.responses[&isolated_request_id].1, Response::Unavailable(_)));
    while replica_state(&cluster, 0) != ReplicaState::Serving {
        cluster.step();
        assert!(cluster.now < until + 3_000);
    }
    let item = cluster.state_machine(0).item_store().get(Kind::Service, "l");
    assert_eq!(item.map(|item| item.version), Some(3));
}
