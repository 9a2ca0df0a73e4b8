//! Gateways' true links and six control processes, by seed: what is acknowledged is in force everywhere in time, also
//! where the one that acknowledged it is lost at once; nobody goes back; sessions come and go without loss or ghosts.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod cluster;

use cluster::World;
use kitepass_config::Kind;
use kitepass_control_plane::request::Response;
use std::collections::BTreeMap;

const LINE: &str = r#"{"checkpoint":"/c"}"#;
/// Within this an acknowledged change is in force on every gateway in touch, milliseconds.
const IN_FORCE: i64 = 4_000;

#[test]
fn what_is_acknowledged_is_in_force_everywhere_in_time_and_nobody_goes_back() {
    let (mut checked, mut late_most) = (0, 0);
    for seed in 0..10 {
        let mut world = World::new(seed);
        world.gateways(12);
        world.run(6_000);
        assert!(world.gates.iter().all(|gate| gate.link.is_caught_up()), "seed {seed}");
        let mut newest = 0;
        let mut pending: Vec<(u64, u64)> = Vec::new();
        let mut owed: Vec<(i64, u64)> = Vec::new();
        let mut seen: BTreeMap<usize, u64> = BTreeMap::new();
        let until = world.now + 40_000;
        let mut next = world.now;
        while world.now < until {
            if world.now >= next {
                next = world.now + 300 + world.chance.rand_range(0..900) as i64;
                newest += 1 + world.chance.rand_range(0..4);
                let n = world.chance.rand_range(0..6) as usize;
                pending.push((world.patch(n, "l", newest, Some(LINE)), newest));
                // One trouble at a time, with time to settle between two.
                let n = world.chance.rand_range(0..6) as usize;
                let quiet = world.now % 12_000 < 1_200;
                match world.chance.rand_range(0..4) {
                    0 if quiet => world.kill(n, true, false, 1_500),
                    1 if quiet => world.frozen[n] = world.now + 3_000,
                    2 if quiet => {
                        let end = world.now + 5_000;
                        (0..6)
                            .filter(|o| *o != n)
                            .for_each(|o| _ = world.cuts.insert((n.min(o), n.max(o)), end));
                    }
                    _ => {}
                }
            }
            world.step();
            let now = world.now;
            let mut doomed = None;
            pending.retain(|(call, version)| match world.answers.get(call) {
                Some((n, Response::Done)) => {
                    owed.push((now, *version));
                    doomed = (version % 9 == 0).then_some(*n);
                    false
                }
                Some(_) => false,
                None => true,
            });
            // At times whoever acknowledged a change loses power at that moment.
            if let Some(n) = doomed.filter(|_| world.nodes.iter().all(|node| node.core.is_some())) {
                world.kill(n, true, false, 1_500);
            }
            for (gate, g) in world.gates.iter().enumerate() {
                let version = g.link.item_store.get(Kind::Service, "l").map_or(0, |item| item.version);
                let before = seen.insert(gate, version).unwrap_or(0);
                assert!(version >= before, "seed {seed}: g{gate} went back from r{before} to r{version}");
            }
            let least = seen.values().copied().min().unwrap_or(0);
            owed.retain(|(since, version)| {
                if least >= *version {
                    (checked, late_most) = (checked + 1, late_most.max(now - since));
                    return false;
                }
                assert!(now - since <= IN_FORCE, "seed {seed}: r{version} is not everywhere, {seen:?}");
                true
            });
        }
    }
    assert!(checked > 200, "{checked} changes checked only; the latest after {late_most} ms");
}

#[test]
fn a_process_that_stands_still_loses_no_member_for_good_and_leaves_no_ghost() {
    for seed in 0..6 {
        let mut world = World::new(seed);
        world.gateways(12);
        world.run(8_000);
        let ready = |world: &World, n: usize| {
            let members = world.nodes[n].core.as_ref().unwrap().members();
            members.iter().filter(|member| member.is_ready).count()
        };
        assert!((0..6).all(|n| ready(&world, n) == 12), "seed {seed}");
        // Longer than any patience; its gateways go to others meanwhile.
        world.frozen[seed as usize] = world.now + 6_000;
        world.run(5_000);
        assert!((0..6).filter(|n| *n != seed as usize).all(|n| ready(&world, n) == 12), "seed {seed}");
        world.run(6_000);
        assert!((0..6).all(|n| ready(&world, n) == 12), "seed {seed}: after it goes on");
        // One gateway is gone for good: no process lists it any longer, quotas count it for a while.
        world.gates.remove(5);
        world.run(6_000);
        for n in 0..6 {
            let core = world.nodes[n].core.as_ref().unwrap();
            assert_eq!(core.members().len(), 11, "seed {seed}: a ghost at {n}");
        }
    }
}
