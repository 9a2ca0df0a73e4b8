//! Responses to requests of an earlier incarnation of a process must not count for its current incarnation.

mod cluster;

use cluster::Cluster;
use kitepass_control_plane::request::Response;
use kitepass_coordination::membership::{ReplicaSet, CURRENT};
use std::collections::BTreeSet;

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;

/// Disks are so slow that responses to a process arrive only after it has restarted. When a change is acknowledged, it
/// must be on the disks of a write quorum.
#[test]
fn no_acceptance_for_an_earlier_incarnation_counts() {
    let mut acknowledged = 0;
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed);
        cluster.run(4_000);
        let proposer = (seed % 6) as usize;
        (0..6).filter(|n| *n != proposer).for_each(|n| cluster.disk_delay[n] = 3_500);
        let mut pending = Vec::new();
        for incarnation in 0..3 {
            for n in 0..12 {
                let name = format!("l{incarnation}-{n}");
                pending.push((cluster.patch(proposer, &name, 7, Some(SERVICE)), name));
                cluster.run(100);
            }
            cluster.kill(proposer, false, false, 300);
            cluster.run(1_500);
        }
        for _ in 0..600 {
            cluster.step();
            pending.retain(|(request_id, name)| {
                if !matches!(cluster.responses.get(request_id), Some((_, Response::Done))) {
                    return true;
                }
                acknowledged += 1;
                let key = [&[3], name.as_bytes()].concat();
                let has_record = |n: &&cluster::Node| n.disk.contains_key(&key);
                let copies: BTreeSet<String> =
                    cluster.nodes.iter().filter(has_record).map(|n| n.replica.node_id.clone()).collect();
                let item_store = cluster.state_machine((proposer + 1) % 6).item_store();
                let replica_set = ReplicaSet::load(item_store, CURRENT).unwrap();
                assert!(
                    replica_set.is_write_quorum(&copies),
                    "seed {seed}: {name} was acknowledged with copies at {copies:?}"
                );
                false
            });
        }
        (0..6).for_each(|n| cluster.disk_delay[n] = 0);
        cluster.run(8_000);
        let request_id = cluster.patch(proposer, "after", 7, Some(SERVICE));
        cluster.run(1_000);
        assert_eq!(cluster.responses[&request_id].1, Response::Done, "seed {seed}");
    }
    println!("{acknowledged} changes acknowledged while disks were slow");
}
