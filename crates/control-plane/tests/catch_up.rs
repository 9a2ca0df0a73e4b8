//! Catching up with much, in the world in memory: away for 1,000 changes, killed in the middle of it, with an empty disk, two
//! at once, with changes that go on; many gateways at once; and drops that are forgotten, which nothing brings back.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod cluster;

use cluster::{at, World};
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use kitepass_coordination::protocol::{ItemMessage, Items, Message};
use std::collections::{BTreeMap, BTreeSet};

const LINE: &str = r#"{"checkpoint":"/c"}"#;
/// A process that comes back, to 2 MB more than it holds, is caught up within this, milliseconds.
const CAUGHT_UP: i64 = 8_000;

/// A line of about 2 KB: a thousand of them are some pieces.
fn long(version: u64) -> String {
    format!(r#"{{"checkpoint":"/c{version}{}"}}"#, "c".repeat(2_000))
}

/// Eight callers that send change after change, each to one of some processes, until so many are acknowledged; and what
/// each name stands at by then.
struct Callers {
    open: Vec<(u64, String, u64)>,
    newest: u64,
    stands: BTreeMap<String, u64>,
    done: usize,
}

impl Callers {
    fn new() -> Callers {
        Callers { open: Vec::new(), newest: 0, stands: BTreeMap::new(), done: 0 }
    }

    fn step(&mut self, world: &mut World, to: &[usize]) {
        while self.open.len() < 8 {
            self.newest += 1;
            let name = format!("l{}", self.newest % 1_000);
            let n = to[world.chance.rand_range(0..to.len() as u64) as usize];
            let call = world.patch(n, &name, self.newest, Some(&long(self.newest)));
            self.open.push((call, name, self.newest));
        }
        world.step();
        let (stands, done) = (&mut self.stands, &mut self.done);
        self.open.retain(|(call, name, version)| match world.answers.get(call) {
            None => true,
            Some((_, response)) => {
                if *response == Response::Done {
                    *done += 1;
                    stands.insert(name.clone(), *version);
                }
                false
            }
        });
    }
}

fn item_store(world: &World, n: usize) -> Option<(&ItemStore, ReplicaState, bool)> {
    let core = world.nodes[n].core.as_ref()?;
    Some((core.item_store(), core.replica_state(), core.lease_term(at(world.now)).is_some()))
}

/// Whoever is current, or does the duty, holds what was acknowledged before.
fn knows(world: &World, n: usize, stands: &BTreeMap<String, u64>) -> bool {
    let Some((item_store, standing, holds)) = item_store(world, n) else { return false };
    let version = |name: &str| item_store.get(Kind::Service, name).map_or(0, |item| item.version);
    let all = stands.iter().all(|(name, stood)| version(name) >= *stood);
    assert!(all || standing != ReplicaState::Serving && !holds, "s{n} is {standing:?} with an old state");
    standing == ReplicaState::Serving
}

#[test]
fn away_for_a_thousand_changes_two_catch_up_in_time_while_changes_go_on() {
    for (seed, wiped, kills) in [(1, false, 0), (2, true, 0), (3, false, 3), (4, true, 3)] {
        let mut world = World::new(seed);
        world.run(4_000);
        let (mut callers, away) = (Callers::new(), [1, 4]);
        for n in away {
            world.kill(n, true, wiped, 1_000_000);
        }
        world.run(3_000);
        while callers.done < 1_000 {
            callers.step(&mut world, &[0, 2, 3, 5]);
        }
        let stood = callers.stands.clone();
        // They come back; some are killed in the middle of catching up, at different moments.
        for kill in 0..=kills {
            away.iter().for_each(|n| world.nodes[*n].back = world.now);
            let until = world.now + 200 + 150 * kill;
            while kill < kills && world.now < until {
                callers.step(&mut world, &[0, 2, 3, 5]);
                away.iter().for_each(|n| _ = knows(&world, *n, &stood));
            }
            if kill < kills {
                away.iter().for_each(|n| world.kill(*n, kill % 2 == 0, false, 300));
            }
        }
        let since = world.now;
        loop {
            callers.step(&mut world, &[0, 2, 3, 5]);
            if away.iter().filter(|n| knows(&world, **n, &stood)).count() == 2 {
                break;
            }
            assert!(world.now - since < CAUGHT_UP, "seed {seed}: behind after {} ms", world.now - since);
        }
        println!("seed {seed}: wiped {wiped}, kills {kills}: {} ms", world.now - since);
        // Nobody was told by a piece that was not whole, and all agree in the end.
        world.run(8_000);
        assert_eq!(world.current(), 6, "seed {seed}");
        let digests: BTreeSet<u64> =
            (0..6).map(|n| item_store(&world, n).unwrap().0.history_digest()).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
    }
}

/// A region's gateways come back at once: what is on its way to them stays bounded, and all are told all of it.
#[test]
fn what_is_on_its_way_to_many_gateways_is_bounded() {
    let mut world = World::new(7);
    world.run(4_000);
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
        let call = world.ask(2, Request::Patch(items(from)));
        world.run(1_500);
        assert_eq!(world.answers[&call].1, Response::Done);
    }
    world.gateways(60);
    let (mut most, until) = (0, world.now + 20_000);
    while world.now < until && !world.gates.iter().all(|gate| gate.link.is_caught_up()) {
        world.step();
        most = most.max(world.session_bytes());
    }
    let told = world.gates.iter().filter(|gate| gate.link.item_store.len() > 1_000).count();
    assert_eq!(told, 60, "not all are told at {}", world.now);
    // 60 of 2 MB each, at up to six processes with 8 MiB and a piece each.
    println!(
        "60 gateways: {most} bytes on their way at most, all told {} ms before the end",
        until - world.now
    );
    assert!(most < 6 * (8 << 20) + 6 * (300 << 10), "{most} bytes on their way at once");
}

#[test]
fn no_old_disk_copy_or_gateway_brings_back_what_was_dropped_and_forgotten() {
    const AGE: i64 = 12_000;
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.gateways(12);
        world.run(8_000);
        world.set_age(AGE);
        let call = world.patch(0, "x", 5, Some(LINE));
        world.run(1_500);
        assert_eq!(world.answers[&call].1, Response::Done);
        let stands = |item_store: &ItemStore| item_store.get(Kind::Service, "x").is_some_and(Item::is_set);
        assert!(world.gates.iter().all(|gate| stands(&gate.link.item_store)), "seed {seed}");
        // Old disks: of two that came back with empty ones, and have new seats since. An old gateway: cut off from all. An
        // old copy: a process that is cut off from the others and keeps its seat.
        let mut old = Vec::new();
        for n in [3, 4] {
            old.push((n, world.nodes[n].disk.clone()));
            world.kill(n, true, true, 500);
            world.run(8_000);
            assert_eq!(world.current(), 6, "seed {seed}");
        }
        let gone = world.now + 1_000_000;
        (0..6).for_each(|n| _ = world.gate_cuts.insert((0, n), gone));
        (0..5).for_each(|n| _ = world.cuts.insert((n, 5), gone));
        world.run(3_000);
        let call = world.patch(1, "x", 6, None);
        world.run(1_500);
        assert_eq!(world.answers[&call].1, Response::Done, "seed {seed}");
        // As long as a seat does not know, all others do.
        world.run(AGE + 8_000);
        let knows = |item_store: &ItemStore| item_store.get(Kind::Service, "x").is_some();
        assert!((0..6).all(|n| knows(item_store(&world, n).unwrap().0)), "seed {seed}: too early");
        assert!(stands(item_store(&world, 5).unwrap().0), "seed {seed}: it is cut off");
        world.cuts.clear();
        world.run(AGE - 2_000);
        assert!((0..6).all(|n| knows(item_store(&world, n).unwrap().0)), "seed {seed}: too early");
        assert!(!stands(item_store(&world, 5).unwrap().0), "seed {seed}: it was told");
        world.run(8_000);
        for n in 0..6 {
            assert!(!knows(item_store(&world, n).unwrap().0), "seed {seed}: s{n} has not forgotten");
        }
        assert!(world.gates[1..].iter().all(|gate| !knows(&gate.link.item_store)), "seed {seed}");
        assert!(stands(&world.gates[0].link.item_store), "seed {seed}: it goes by what it holds");
        // The old ones come back, the disks in place of those that are in use.
        for (n, disk) in old {
            world.kill(n, true, true, 100);
            world.nodes[n].disk = disk;
        }
        world.gate_cuts.clear();
        let until = world.now + 30_000;
        let mut gateway_back = None;
        while world.now < until {
            world.step();
            for n in 0..6 {
                let Some((item_store, standing, _)) = item_store(&world, n) else { continue };
                let fresh = !matches!(n, 3 | 4) || standing == ReplicaState::Serving;
                assert!(!fresh || !stands(item_store), "seed {seed}: back at s{n}, {standing:?}");
            }
            if gateway_back.is_none() && !stands(&world.gates[0].link.item_store) {
                gateway_back = Some(world.now - (until - 30_000));
            }
            let back = world.gates[1..].iter().position(|gate| stands(&gate.link.item_store));
            assert_eq!(back, None, "seed {seed}: back at a gateway");
        }
        assert_eq!(world.current(), 6, "seed {seed}: all are back");
        // It begins anew at once, not only after repairs that left a difference.
        assert!(gateway_back.is_some_and(|after| after < 6_000), "seed {seed}: {gateway_back:?}");
        assert!(world.gates[0].link.is_caught_up() && world.gates[0].at.is_some(), "seed {seed}");
    }
}

/// A seat knows of the drop and has yet to have it on disk: it is waited for, as the power may go.
#[test]
fn a_drop_that_a_seat_has_not_on_disk_is_not_forgotten() {
    const AGE: i64 = 8_000;
    for seed in 20..24 {
        let mut world = World::new(seed);
        world.run(5_000);
        world.set_age(AGE);
        world.patch(0, "x", 5, Some(LINE));
        world.run(3_000);
        world.slow[4] = 300_000;
        let call = world.patch(1, "x", 6, None);
        world.run(AGE + 10_000);
        assert_eq!(world.answers[&call].1, Response::Done, "seed {seed}");
        world.slow[4] = 0;
        world.kill(4, true, false, 200);
        let until = world.now + 12_000;
        while world.now < until {
            world.step();
            let stands = |n: &usize| {
                let Some((item_store, standing, _)) = item_store(&world, *n) else { return false };
                standing == ReplicaState::Serving
                    && item_store.get(Kind::Service, "x").is_some_and(Item::is_set)
            };
            assert_eq!((0..6).find(stands), None, "seed {seed}: it is back");
        }
        assert_eq!(world.current(), 6, "seed {seed}");
    }
}

/// A call of 12 MiB over lines of 1 MiB a second: it is confirmed, nobody falls out of contact, and nobody else pushes it.
#[test]
fn a_long_call_over_slow_lines_is_confirmed_and_costs_no_contact() {
    let mut world = World::new(9);
    world.run(4_000);
    world.rate = Some(1_050);
    let value = |n: u8| Some(vec![n; 1 << 20].into());
    let item =
        |n: u8| Item { kind: Kind::Service, name: format!("l{n}").into(), version: 1, value: value(n) };
    let call = world.ask(2, Request::Patch((0..12).map(item).collect()));
    let (since, mut most) = (world.now, 0);
    while !world.answers.contains_key(&call) {
        world.step();
        assert_eq!(world.current(), 6, "somebody is out of contact after {} ms", world.now - since);
        let long =
            world.wire.iter().filter(|w| matches!(&w.4, Message::AcceptRequest(s) if s.items.len() > 1));
        most = most.max(long.count());
    }
    assert_eq!(world.answers[&call].1, Response::Done);
    println!("12 MiB over lines of 1 MiB a second: {} ms", world.now - since);
    assert!(most <= 5, "{most} copies of the call on their way at once");
    assert!(world.now - since < 14_500);
}

/// Calls of many MiB at once, and readings meanwhile: no word is longer than one may be, and all are answered.
#[test]
fn readings_among_long_undecided_calls_fit_in_a_word() {
    let mut world = World::new(10);
    world.run(4_000);
    let value = |n: u8| Some(vec![n; 3 << 20].into());
    let item =
        |n: u8| Item { kind: Kind::Service, name: format!("l{n}").into(), version: 1, value: value(n) };
    let calls: Vec<u64> = (0..10).map(|n| world.ask(n as usize % 6, Request::Patch(vec![item(n)]))).collect();
    let (mut gets, until) = (Vec::new(), world.now + 6_000);
    let mut most = 0;
    while world.now < until {
        if world.now < until - 5_000 && world.now % 200 == 0 {
            gets.push(world.ask(world.now as usize / 200 % 6, Request::Get));
        }
        world.step();
        for (_, _, _, _, message, _) in &world.wire {
            if let Message::PrepareResponse(held) = message {
                let calls = held.accepted.iter().map(|call| call.clone().into_proposal().unwrap().1.bytes());
                let items = held.items.iter().map(|i| i.value.as_ref().map_or(0, |value| value.len()));
                most = most.max(calls.sum::<usize>() + items.sum::<usize>());
            }
        }
    }
    assert!(calls.iter().all(|call| world.answers[call].1 == Response::Done));
    let whole =
        gets.iter().filter(|get| matches!(world.answers.get(get), Some((_, Response::Body(_))))).count();
    println!("{most} bytes in one answer at most; {whole} of {} readings answered in time", gets.len());
    // The 4 MiB of calls that are told, or one more than that, and a bucket.
    assert!(most > 3 << 20 && most < 9 << 20, "{most}");
    assert!(whole * 2 > gets.len(), "{whole} of {}", gets.len());
}

/// What a gateway holds of the configuration goes to nobody; of backends it does.
#[test]
fn gateways_give_back_backends_alone() {
    let mut world = World::new(8);
    world.gateways(6);
    world.run(8_000);
    let (node, conn) = world.gates[2].at.unwrap();
    let item = |kind, name: &str| Item { kind, name: name.into(), version: 9, value: Some("{}".into()) };
    let items = [item(Kind::Service, "old"), item(Kind::Backend, "b"), item(Kind::ReplicaSet, "next")];
    // The gateway holds them too, and a backend more than it brings unasked.
    let held = items.iter().cloned().chain([item(Kind::Backend, "c")]);
    held.for_each(|item| _ = world.gates[2].link.item_store.merge(item));
    let message = Message::Items(Items { items: items.iter().map(ItemMessage::from).collect() });
    world.nodes[node].core.as_mut().unwrap().session_message(at(world.now), conn, message);
    let mut gave = false;
    for _ in 0..400 {
        world.step();
        for message in world.session_words(2) {
            if let (true, Message::Items(items)) = message {
                gave = true;
                assert!(items.items.iter().all(|item| item.kind == Kind::Backend as u32));
            }
        }
    }
    for n in 0..6 {
        let item_store = item_store(&world, n).unwrap().0;
        let has = |kind, name: &str| item_store.get(kind, name).is_some();
        assert!(
            !has(Kind::Service, "old") && !has(Kind::ReplicaSet, "next") && has(Kind::Backend, "b"),
            "s{n}"
        );
        assert!(has(Kind::Backend, "c"), "s{n}");
    }
    assert!(gave, "it was never asked for what it holds");
}

/// A gateway that lost a word on its way is not caught up before it holds all.
#[test]
fn a_gateway_that_was_told_in_part_has_not_caught_up() {
    let mut world = World::new(6);
    world.run(4_000);
    for n in 0..20 {
        world.patch(0, &format!("l{n}"), 1, Some(LINE));
    }
    world.run(3_000);
    world.gateways(6);
    let (mut lost, until) = (BTreeSet::new(), world.now + 6_000);
    while world.now < until {
        world.step();
        for gate in 0..6 {
            for message in world.session_words(gate) {
                if let (false, Message::Items(items)) = message {
                    if items.items.len() > 1 && lost.insert(gate) {
                        items.items.remove(0); // a line: they come before the cast
                    }
                }
            }
            let link = &world.gates[gate].link;
            assert!(!link.is_caught_up() || link.item_store.items_of(Kind::Service).count() == 20, "g{gate}");
        }
    }
    assert!(lost.len() == 6 && world.gates.iter().all(|gate| gate.link.is_caught_up()), "{lost:?}");
}

/// A piece that is short of an item is not taken for all that the other holds.
#[test]
fn a_piece_that_is_not_whole_is_asked_for_again() {
    let mut world = World::new(5);
    world.run(4_000);
    world.kill(2, true, false, 1_000_000);
    world.run(2_000);
    for n in 0..20 {
        world.patch(0, &format!("l{n}"), 1, Some(LINE));
    }
    world.run(3_000);
    world.nodes[2].back = world.now;
    let mut spoilt = BTreeSet::new();
    let until = world.now + 10_000;
    while world.now < until {
        world.step();
        // The first answer of each loses an item on its way.
        for (_, from, to, _, message, _) in &mut world.wire {
            if let Message::PrepareResponse(held) = message {
                if *to == 2 && held.items.len() > 1 && spoilt.insert(*from) {
                    held.items.pop();
                }
            }
        }
        if let Some((item_store, ReplicaState::Serving, _)) = item_store(&world, 2) {
            assert!((0..20).all(|n| item_store.get(Kind::Service, &format!("l{n}")).is_some()));
        }
    }
    assert!(spoilt.len() >= 3, "{spoilt:?}");
    assert_eq!(world.current(), 6);
}
