//! Six control processes on a network and disks in memory, all by seed: words are late or lost, sides are cut off,
//! processes are killed, power goes with what was not synced, disks are lost within what is to be borne. Whatever
//! was acknowledged must be read back from whoever answers, and no two may do the duty at once.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod cluster;

use cluster::{at, World};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use std::collections::{BTreeMap, BTreeSet};

const LINE: &str = r#"{"checkpoint":"/c"}"#;

#[test]
fn a_core_is_founded_and_takes_orders() {
    let mut world = World::new(1);
    world.run(4_000);
    assert_eq!(world.current(), 6);
    let call = world.patch(3, "one", 7, Some(LINE));
    world.run(600);
    assert_eq!(world.answers[&call].1, Response::Done);
    let read = world.ask(5, Request::Get);
    let evacuate = world.ask(1, Request::Evacuate { zone: "a1".into(), on: true });
    world.run(600);
    let Response::Body(body) = &world.answers[&read].1 else { panic!("no body") };
    assert!(String::from_utf8_lossy(body).contains("\"one\""));
    assert_eq!(world.answers[&evacuate].1, Response::Done);
    assert!(world.nodes.iter().any(|n| n.core.as_ref().unwrap().lease_term(at(world.now)).is_some()));
}

/// An older change that comes again, an equal version that says something else, a drop, and its return.
#[test]
fn versions_alone_decide() {
    let mut world = World::new(2);
    world.run(4_000);
    let calls = [
        world.patch(0, "l", 5, Some(LINE)),
        world.patch(1, "l", 4, Some("{}")),
        world.patch(2, "l", 9, None),
        world.patch(3, "l", 8, Some("{}")),
    ];
    world.run(1_000);
    assert!(calls.iter().all(|call| world.answers[call].1 == Response::Done));
    world.run(3_000);
    for node in &world.nodes {
        let item = node.core.as_ref().unwrap().item_store().get(Kind::Service, "l").unwrap();
        assert_eq!((item.version, &item.value), (9, &None));
    }
}

/// Whatever happens within what is to be borne, what was acknowledged is read back.
#[test]
fn what_was_acknowledged_is_read_back_after_any_loss_that_is_to_be_borne() {
    let (mut acknowledged_in_all, mut read_in_all) = (0, 0);
    for seed in 0..12 {
        let mut world = World::new(seed);
        world.run(4_000);
        assert_eq!(world.current(), 6, "seed {seed}");
        let mut versions: BTreeMap<u64, (String, u64)> = BTreeMap::new();
        let mut newest = 0;
        world.loss = seed % 3;
        for round in 0..14 {
            for _ in 0..3 {
                newest += 1 + world.chance.rand_range(0..3);
                let name = format!("l{}", world.chance.rand_range(0..5));
                let n = world.chance.rand_range(0..6) as usize;
                let call = world.patch(n, &name, newest, Some(LINE));
                versions.insert(call, (name, newest));
                let pause = world.chance.rand_range(0..200) as i64;
                world.run(pause);
            }
            match world.chance.rand_range(0..7) {
                0 => {
                    // A region's or zone's disks, or one machine's, while the others lose power.
                    let first = world.chance.rand_range(0..3) as usize * 2;
                    let both = world.chance.rand_range(0..2) == 0;
                    (0..6).for_each(|n| {
                        let wiped = n == first || both && n == first + 1;
                        world.kill(n, true, wiped, 500);
                    });
                    world.run(8_000);
                }
                1 => (0..6).for_each(|n| world.kill(n, false, false, 700)),
                2 => {
                    let n = world.chance.rand_range(0..6) as usize;
                    world.kill(n, true, false, 900);
                }
                3 => {
                    // The core is cut in two.
                    let side: BTreeSet<usize> =
                        (0..6).filter(|_| world.chance.rand_range(0..2) == 0).collect();
                    let until = world.now + 3_000;
                    for a in 0..6 {
                        for b in a + 1..6 {
                            if side.contains(&a) != side.contains(&b) {
                                world.cuts.insert((a, b), until);
                            }
                        }
                    }
                }
                4 => (0..3).for_each(|n| world.kill(n, true, false, 1_200)),
                _ => {}
            }
            world.run(1_500 + 100 * round);
        }
        world.run(12_000);
        assert_eq!(world.current(), 6, "seed {seed}: not all have come back");
        world.loss = 0;
        let mut best: BTreeMap<&str, u64> = BTreeMap::new();
        for (call, (name, version)) in &versions {
            if world.answers.get(call).is_some_and(|(_, response)| *response == Response::Done) {
                acknowledged_in_all += 1;
                let known = best.entry(name).or_default();
                *known = (*known).max(*version);
            }
        }
        let reader = (seed % 6) as usize;
        let call = {
            world.calls += 1;
            let now = at(world.now);
            world.nodes[reader].core.as_mut().unwrap().handle_request(now, world.calls, Request::Get);
            world.calls
        };
        world.run(1_000);
        assert!(
            matches!(world.answers[&call].1, Response::Body(_)),
            "seed {seed}: {:?}",
            world.answers[&call].1
        );
        let item_store = world.nodes[reader].core.as_ref().unwrap().item_store();
        for (name, version) in best {
            let known = item_store.get(Kind::Service, name).map_or(0, |item| item.version);
            assert!(known >= version, "seed {seed}: {name} r{version} was acknowledged, r{known} is read");
            read_in_all += 1;
        }
    }
    assert!(acknowledged_in_all > 200 && read_in_all > 40, "{acknowledged_in_all} {read_in_all}");
}

/// One that comes back with an empty disk is no copy and no voter before it has caught up.
#[test]
fn an_empty_disk_neither_acknowledges_nor_votes() {
    let mut world = World::new(9);
    world.run(4_000);
    (0..4).for_each(|n| world.kill(n, true, true, 300));
    world.run(3_000);
    // Four of six have lost everything: the two that are left make no reading, and nobody else counts as one.
    // Nor do the two that never went: of the seats of the cast they hear two.
    assert_eq!(world.current(), 0);
    for n in 4..6 {
        assert_eq!(world.nodes[n].core.as_ref().unwrap().replica_state(), ReplicaState::Isolated);
    }
    let call = world.patch(4, "l", 3, Some(LINE));
    world.run(4_000);
    assert!(matches!(world.answers[&call].1, Response::Unavailable(_)));
    assert!(world.nodes[0].core.as_ref().is_some_and(|core| !core.hello().is_complete));
}

/// One that is cut off from the core says so, and knows what was acknowledged meanwhile before it says otherwise.
#[test]
fn one_that_is_cut_off_tells_its_gateways_and_catches_up_first() {
    let mut world = World::new(4);
    world.run(4_000);
    let until = world.now + 6_000;
    (1..6).for_each(|other| _ = world.cuts.insert((0, other), until));
    world.run(2_500);
    let standing = |world: &World, n: usize| world.nodes[n].core.as_ref().unwrap().replica_state();
    assert_eq!((standing(&world, 0), standing(&world, 1)), (ReplicaState::Isolated, ReplicaState::Serving));
    let call = world.patch(3, "l", 3, Some(LINE));
    let apart = world.patch(0, "l", 5, Some(LINE));
    world.run(800);
    assert_eq!(world.answers[&call].1, Response::Done);
    assert!(matches!(world.answers[&apart].1, Response::Unavailable(_)));
    while standing(&world, 0) != ReplicaState::Serving {
        world.step();
        assert!(world.now < until + 3_000);
    }
    let item = world.nodes[0].core.as_ref().unwrap().item_store().get(Kind::Service, "l");
    assert_eq!(item.map(|item| item.version), Some(3));
}
