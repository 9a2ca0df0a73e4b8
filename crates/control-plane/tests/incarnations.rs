//! A process has several lives. Whatever an earlier one asked for, its answers count for nothing in the next.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod cluster;

use cluster::World;
use kitepass_control_plane::request::Response;
use kitepass_coordination::membership::{ReplicaSet, CURRENT};
use std::collections::BTreeSet;

const LINE: &str = r#"{"checkpoint":"/c"}"#;

/// Disks so slow that what a process asked for is answered to its next life. Each confirmed change must be on enough
/// disks at that moment.
#[test]
fn no_copy_counts_that_was_made_for_an_earlier_life() {
    let mut confirmed = 0;
    for seed in 0..30 {
        let mut world = World::new(seed);
        world.run(4_000);
        let one = (seed % 6) as usize;
        (0..6).filter(|n| *n != one).for_each(|n| world.slow[n] = 3_500);
        let mut calls = Vec::new();
        for incarnation in 0..3 {
            for n in 0..12 {
                let name = format!("l{incarnation}-{n}");
                calls.push((world.patch(one, &name, 7, Some(LINE)), name));
                world.run(100);
            }
            world.kill(one, false, false, 300);
            world.run(1_500);
        }
        for _ in 0..600 {
            world.step();
            calls.retain(|(call, name)| {
                if !matches!(world.answers.get(call), Some((_, Response::Done))) {
                    return true;
                }
                confirmed += 1;
                let key = [&[3], name.as_bytes()].concat();
                let holds = |n: &&cluster::Node| n.disk.contains_key(&key);
                let copies: BTreeSet<String> =
                    world.nodes.iter().filter(holds).map(|n| n.replica.node_id.clone()).collect();
                let item_store = world.nodes[(one + 1) % 6].core.as_ref().unwrap().item_store();
                let replica_set = ReplicaSet::load(item_store, CURRENT).unwrap();
                assert!(
                    replica_set.is_write_quorum(&copies),
                    "seed {seed}: {name} was confirmed with copies at {copies:?}"
                );
                false
            });
        }
        (0..6).for_each(|n| world.slow[n] = 0);
        world.run(8_000);
        let call = world.patch(one, "after", 7, Some(LINE));
        world.run(1_000);
        assert_eq!(world.answers[&call].1, Response::Done, "seed {seed}");
    }
    println!("{confirmed} changes confirmed while disks were slow");
}
