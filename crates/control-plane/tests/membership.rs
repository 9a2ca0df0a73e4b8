//! Changes of the cast in the world in memory, by seed, with operators at work all the while: lost disks and the next loss
//! right after the repair, members that leave and are replaced, stewards that are cut off with a change half-way, and a
//! seat that comes back after it was taken out. What was confirmed is read back, and of each cast there is one content.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod cluster;

use cluster::{at, World};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{Action, ReplicaState, StateMachine};
use kitepass_coordination::consensus::Ballot;
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::{AcceptRequest, ItemMessage, Message};
use std::collections::{BTreeMap, BTreeSet};

const LINE: &str = r#"{"checkpoint":"/c"}"#;
/// A process that leaves ends within this, milliseconds, and its seat is gone within the other: links here take up to 240
/// there and back, and it takes six times that.
const LEAVES: i64 = 2_000;
const SEAT_GOES: i64 = 4_000;
/// Within this after the last loss or return the cast has no seat that is gone.
const REPAIRED: i64 = 15_000;
const NEVER: i64 = i64::MAX / 2;

/// So many seeds, or as many as are asked for.
fn seeds(few: u64) -> std::ops::Range<u64> {
    0..std::env::var("KITEPASS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(few)
}

/// A world, its operators, and what was seen of its casts.
struct Play {
    world: World,
    newest: u64,
    /// What each call set.
    calls: BTreeMap<u64, (String, u64)>,
    replica_sets: BTreeMap<(&'static str, u64), ReplicaSet>,
    /// Terms that were won, by process.
    won: BTreeSet<(usize, u64)>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut play = Play {
            world: World::new(seed),
            newest: 0,
            calls: BTreeMap::new(),
            replica_sets: BTreeMap::new(),
            won: BTreeSet::new(),
        };
        play.run(5_000, false);
        assert_eq!(play.world.current(), 6, "seed {seed}");
        play
    }

    fn core(&self, n: usize) -> Option<&StateMachine> {
        self.world.nodes[n].core.as_ref()
    }

    fn step(&mut self) {
        self.world.step();
        let now = at(self.world.now);
        for (n, node) in self.world.nodes.iter().enumerate() {
            let Some(core) = &node.core else { continue };
            // Whoever has just won the duty has not read yet, which takes a way there and back.
            if let Some(term) = core.lease_term(now).filter(|term| self.won.insert((n, *term))) {
                assert_eq!(
                    core.active_term(now),
                    None,
                    "s{n} acts as it wins term {term}, at {}",
                    self.world.now
                );
            }
            for name in [CURRENT, INCOMING] {
                if let Some(replica_set) = ReplicaSet::load(core.item_store(), name) {
                    let first = self
                        .replica_sets
                        .entry((name, replica_set.version))
                        .or_insert_with(|| replica_set.clone());
                    assert_eq!(*first, replica_set, "two casts under one number, at {}", self.world.now);
                }
            }
        }
    }

    fn run(&mut self, millis: i64, orders: bool) {
        let until = self.world.now + millis;
        while self.world.now < until {
            if orders && self.world.now % 250 == 0 {
                let n = self.world.chance.rand_range(0..6) as usize;
                self.order(n);
            }
            self.step();
        }
    }

    fn order(&mut self, n: usize) {
        self.newest += 1;
        let name = format!("l{}", self.newest % 5);
        let call = self.world.patch(n, &name, self.newest, Some(LINE));
        self.calls.insert(call, (name, self.newest));
    }

    /// The newest cast in force, by whoever runs.
    fn replica_set(&self) -> ReplicaSet {
        let replica_sets =
            self.world.nodes.iter().filter_map(|n| ReplicaSet::load(n.core.as_ref()?.item_store(), CURRENT));
        replica_sets.max_by_key(|replica_set| replica_set.version).expect("one knows of a cast")
    }

    fn replicas(&self) -> BTreeSet<String> {
        self.replica_set().replicas.iter().map(Replica::name).collect()
    }

    /// The seat of each process that runs.
    fn running(&self) -> BTreeSet<String> {
        let names =
            self.world.nodes.iter().filter_map(|n| Some(Replica::from(&n.core.as_ref()?.hello()).name()));
        names.collect()
    }

    /// Until the cast is of all who run, and all are current; how long that takes.
    fn repaired(&mut self, what: &str) -> i64 {
        self.repaired_with(what, true)
    }

    fn repaired_with(&mut self, what: &str, orders: bool) -> i64 {
        let since = self.world.now;
        let whole = |play: &Play| {
            play.running().len() == 6 && play.replicas() == play.running() && play.world.current() == 6
        };
        while !whole(self) {
            self.run(50, orders);
            let took = self.world.now - since;
            assert!(took <= REPAIRED, "{what}: {:?} of {:?}", self.replicas(), self.running());
        }
        self.world.now - since
    }

    fn steward(&self) -> Option<usize> {
        (0..6).find(|n| self.core(*n).is_some_and(|core| core.active_term(at(self.world.now)).is_some()))
    }

    fn wait_for_steward(&mut self) -> usize {
        let until = self.world.now + REPAIRED;
        loop {
            if let Some(n) = self.steward() {
                return n;
            }
            self.run(10, false);
            assert!(self.world.now < until, "nobody does the duty");
        }
    }

    /// SIGTERM: the process is told, and ends; how long that takes, and how long until its seat is gone.
    fn leave(&mut self, n: usize) -> (i64, i64) {
        let since = self.world.now;
        let name = Replica::from(&self.core(n).expect("it runs").hello()).name();
        self.world.nodes[n].core.as_mut().expect("it runs").shut_down(at(since));
        self.world.act(n);
        while !self.core(n).expect("it runs").is_shut_down() && self.world.now - since < LEAVES {
            self.run(10, true);
        }
        self.world.kill(n, false, false, NEVER);
        let ended = self.world.now - since;
        while self.replicas().contains(&name) && self.world.now - since < SEAT_GOES {
            self.run(10, true);
        }
        (ended, self.world.now - since)
    }

    /// All that was confirmed is read back, from whoever is current.
    fn check(&mut self, what: &str) -> usize {
        let reader = self.world.current_one();
        let call = self.world.ask(reader, Request::Get);
        self.run(2_000, false);
        let response = self.world.answers.get(&call).map(|(_, response)| response);
        assert!(matches!(response, Some(Response::Body(_))), "{what}: {response:?}");
        let item_store = self.core(reader).expect("it runs").item_store();
        let mut confirmed = 0;
        for (call, (name, version)) in &self.calls {
            if self.world.answers.get(call).is_some_and(|(_, response)| *response == Response::Done) {
                confirmed += 1;
                let known = item_store.get(Kind::Service, name).map_or(0, |item| item.version);
                assert!(known >= *version, "{what}: {name} r{version} was confirmed, r{known} is read");
            }
        }
        confirmed
    }
}

/// One disk or a region's are lost, while the others lose power or not; they come back under new seats' names, and right
/// after the repair another region's disks go while all others lose power.
#[test]
fn after_a_lost_disk_is_replaced_the_next_loss_is_borne() {
    let (mut latest, mut confirmed) = (0, 0);
    for seed in seeds(12) {
        let mut play = Play::new(seed);
        play.run(1_000, true);
        let before = play.replicas();
        let lost: Vec<usize> = match seed % 3 {
            0 => vec![seed as usize % 6],
            1 => vec![2, 3],
            _ => vec![4, 5],
        };
        (0..6).for_each(|n| {
            if lost.contains(&n) || seed % 2 == 0 {
                play.world.kill(n, true, lost.contains(&n), 500);
            }
        });
        play.run(600, true);
        latest = latest.max(play.repaired(&format!("seed {seed}")));
        let gone: BTreeSet<String> = before.difference(&play.replicas()).cloned().collect();
        assert_eq!(gone.len(), lost.len(), "seed {seed}: {gone:?}");
        let again = (lost[0] / 2 * 2 + 2) % 6;
        (0..6).for_each(|n| play.world.kill(n, true, n == again || n == again + 1, 500));
        play.run(600, true);
        latest = latest.max(play.repaired(&format!("seed {seed}, the second loss")));
        confirmed += play.check(&format!("seed {seed}"));
    }
    println!("repaired after {latest} ms at the latest; {confirmed} confirmed changes read back");
    assert!(confirmed > 200, "{confirmed}");
}

/// One after another leaves in order, and is followed by another station at another address with an empty disk.
#[test]
fn all_six_are_replaced_by_empty_successors() {
    let (mut latest, mut slowest, mut replica, mut confirmed) = (0, 0, 0, 0);
    for seed in seeds(6) {
        let mut play = Play::new(seed);
        let first = play.replicas();
        for n in 0..6 {
            let (ended, gone) = play.leave(n);
            (slowest, replica) = (slowest.max(ended), replica.max(gone));
            assert!(ended <= LEAVES && gone < SEAT_GOES, "seed {seed}: s{n} {ended} {gone}");
            assert_eq!(play.replica_set().replicas.len(), 5);
            let node = &mut play.world.nodes[n];
            (node.replica.node_id, node.replica.address) = (format!("s0{n}"), format!("10.0.1.{n}"));
            node.disk.clear();
            play.run(1_000, true);
            play.world.start(n, false);
            latest = latest.max(play.repaired(&format!("seed {seed}: s0{n}")));
        }
        assert!(play.replicas().is_disjoint(&first) && play.replica_set().replicas.len() == 6);
        confirmed += play.check(&format!("seed {seed}"));
    }
    println!("ended after {slowest} ms, seat gone after {replica}, whole after {latest}, at the latest; {confirmed} confirmed");
    assert!(confirmed > 200, "{confirmed}");
}

/// SIGTERM of the steward with orders under way: what it confirmed is kept, it ends in time, also where nobody answers,
/// and another does the duty.
#[test]
fn a_steward_that_leaves_in_the_middle_of_orders_loses_nothing() {
    let (mut latest, mut slowest, mut replica, mut answered) = ([0; 2], 0, 0, 0);
    for seed in seeds(12) {
        let mut play = Play::new(seed);
        let steward = play.wait_for_steward();
        (0..3).for_each(|_| play.order(steward));
        let calls: Vec<u64> = play.calls.keys().copied().collect();
        let early = play.world.chance.rand_range(0..12) as i64 * 10;
        play.run(early, false);
        if seed % 3 == 2 {
            let until = play.world.now + 6_000;
            for other in (0..6).filter(|other| *other != steward) {
                play.world.cuts.insert((steward.min(other), steward.max(other)), until);
            }
        }
        let since = play.world.now;
        let (ended, gone) = play.leave(steward);
        assert!(ended <= LEAVES, "seed {seed}: ended after {ended} ms");
        if seed % 3 != 2 {
            (slowest, replica) = (slowest.max(ended), replica.max(gone));
            assert!(gone < SEAT_GOES, "seed {seed}: its seat did not go");
        }
        answered += calls.iter().filter(|call| play.world.answers.contains_key(call)).count();
        let next = play.wait_for_steward();
        assert_ne!(next, steward);
        latest[usize::from(seed % 3 == 2)] = latest[usize::from(seed % 3 == 2)].max(play.world.now - since);
        play.run(4_000, true);
        play.check(&format!("seed {seed}"));
    }
    println!("another acts after {} ms, {} where it is cut off; it ended after {slowest} ms, its seat went after {replica} ms; \
         {answered} calls answered",
        latest[0], latest[1]
    );
}

/// A steward is cut off, one way or both, while it brings a cast in, and another one goes on: both work from one base, and
/// one content comes of it.
#[test]
fn a_steward_that_is_cut_off_with_a_change_half_way_brings_no_second_cast() {
    let (mut cut_midway, mut changes) = (0, 0);
    for seed in seeds(24) {
        let mut play = Play::new(seed);
        let steward = play.wait_for_steward();
        let lost = (steward + 1 + seed as usize % 5) % 6;
        play.world.kill(lost, true, true, 300);
        let base = play.replica_set().version;
        // Until it has worked the next cast out, and at a drawn moment after.
        let until = play.world.now + 8_000;
        let full = |play: &Play| play.core(lost).is_some_and(|core| core.hello().is_complete);
        while !full(&play) && play.world.now < until {
            play.run(10, true);
        }
        let late = play.world.chance.rand_range(0..250) as i64 * 10;
        play.run(late, true);
        let known = play.replica_sets.keys().any(|(name, version)| *name == INCOMING && *version > base);
        cut_midway += usize::from(known && play.replica_set().version == base);
        let ends = play.world.now + 7_000;
        for other in (0..6).filter(|other| *other != steward) {
            match seed % 3 {
                0 => _ = play.world.cuts.insert((steward.min(other), steward.max(other)), ends),
                1 => _ = play.world.ways.insert((steward, other), ends),
                _ => _ = play.world.ways.insert((other, steward), ends),
            }
        }
        play.run(7_000, true);
        // Another station's disk goes while it is still the last one to know of that.
        let other = (0..6).find(|n| *n != steward && *n != lost).expect("six");
        play.world.kill(other, true, true, 300);
        play.run(600, true);
        play.repaired(&format!("seed {seed}"));
        changes += play.replica_set().version - base;
        play.check(&format!("seed {seed}"));
    }
    println!("cut with a change half-way: {cut_midway}; {changes} changes of the cast");
    assert!(cut_midway > 2 && changes >= 24, "{cut_midway} {changes}");
}

/// A seat that was taken out comes back with its old disk after changes, drops and an order that it alone had begun: it
/// brings nothing old back, and takes its place again.
#[test]
fn a_removed_seat_with_its_old_disk_brings_nothing_old_back() {
    for seed in seeds(6) {
        let mut play = Play::new(seed);
        play.run(3_000, true);
        let n = seed as usize % 6;
        // Accepted nowhere but on its own disk.
        let until = play.world.now + 400;
        for other in (0..6).filter(|other| *other != n) {
            play.world.cuts.insert((n.min(other), n.max(other)), until);
        }
        play.world.patch(n, "alone", 7, Some(LINE));
        play.run(400, false);
        assert!(play.leave(n).1 < SEAT_GOES, "seed {seed}: its seat did not go");
        let drop = play.world.patch((n + 1) % 6, "l1", 1_000_000, None);
        play.run(3_000, true);
        assert_eq!(play.world.answers[&drop].1, Response::Done, "seed {seed}");
        let settled = |play: &Play, n: usize| {
            let item_store = play.core(n).expect("it runs").item_store();
            ["l1", "alone"].map(|name| item_store.get(Kind::Service, name).cloned())
        };
        let before = settled(&play, (n + 1) % 6);
        play.world.start(n, false);
        let until = play.world.now + 12_000;
        while play.world.now < until {
            play.run(50, true);
            for other in 0..6 {
                if play.core(other).is_some_and(|core| core.replica_state() == ReplicaState::Serving) {
                    assert_eq!(settled(&play, other), before, "seed {seed}: s{other} at {}", play.world.now);
                }
            }
        }
        assert_eq!((play.replicas(), play.world.current()), (play.running(), 6), "seed {seed}");
        play.check(&format!("seed {seed}"));
    }
}

/// Whoever is to be a copy of a cast that comes in force, and lacks some of what its writer holds, asks for that first;
/// whoever holds the same accepts at once. Each such word on the way says what its writer holds.
#[test]
fn a_copy_of_a_cast_in_force_waits_for_all_that_its_writer_holds() {
    let mut play = Play::new(3);
    let next = ReplicaSet { version: 2, ..play.replica_set() };
    let now = at(play.world.now);
    for (lacks, node) in [(true, 4), (false, 5)] {
        let incarnation = play.world.nodes[0].incarnation;
        let core = play.world.nodes[node].core.as_mut().expect("it runs");
        let mut whole = core.item_store().history_buckets().to_vec();
        whole[7] ^= u64::from(lacks);
        let ballot = Some(Ballot { epoch: 3, round: 1, proposer: incarnation });
        let items = vec![(&next.to_item(CURRENT)).into()];
        let store = AcceptRequest {
            request_id: 1 << 40,
            items,
            incarnation,
            epoch: 3,
            ballot,
            bucket_digests: whole,
            ..AcceptRequest::default()
        };
        core.active_term.clear();
        core.peer_message(now, "s0", Message::AcceptRequest(store));
        let asks = core
            .active_term
            .iter()
            .any(|act| matches!(act, Action::SendToPeer(to, Message::PrepareRequest(_)) if to == "s0"));
        let accepts = core.active_term.iter().any(|act| {
            matches!(act, Action::Persist(_, records) if records.iter().any(|(key, _)| key.starts_with(b"call:")))
        });
        assert_eq!((asks, accepts), (lacks, !lacks));
    }
    let mut play = Play::new(4);
    play.world.kill(3, true, true, 300);
    let until = play.world.now + REPAIRED;
    let mut told = 0;
    while play.replicas() != play.running() {
        play.run(10, true);
        for (.., message, _) in &play.world.wire {
            if let Message::AcceptRequest(store) = message {
                let in_force =
                    |item: &ItemMessage| item.kind == Kind::ReplicaSet as u32 && item.name == CURRENT;
                if store.items.iter().any(in_force) {
                    told += 1;
                    assert!(!store.bucket_digests.is_empty());
                }
            }
        }
        assert!(play.world.now < until);
    }
    assert!(told > 0);
}

/// A disk is lost, and as the next cast is decided and nobody has accepted it to be in force, a region's disks go and all
/// others are killed: of the cast before three of six are left, which elect nobody, but read; the change is ended, as no
/// call stands open that only the cast before could have decided.
#[test]
fn a_change_that_half_of_the_cast_before_is_left_to_end_is_ended() {
    let mut latest = 0;
    for seed in seeds(8) {
        let mut play = Play::new(seed);
        play.run(1_000, true);
        play.run(1_500, false);
        let lost = seed as usize % 6;
        let region = (lost / 2 * 2 + 2) % 6;
        play.world.kill(lost, true, true, 300);
        let knows = |play: &Play, n: usize| {
            play.core(n).is_some_and(|core| {
                ReplicaSet::load(core.item_store(), INCOMING)
                    .is_some_and(|replica_set| replica_set.version == 2)
            })
        };
        let stays = |n: &usize| ![region, region + 1].contains(n);
        let until = play.world.now + REPAIRED;
        while !(0..6).filter(stays).all(|n| knows(&play, n)) {
            play.run(10, false);
            assert!(play.world.now < until, "seed {seed}: no change of the cast");
        }
        assert_eq!(play.replica_set().version, 1, "seed {seed}: too late");
        (0..6).for_each(|n| play.world.kill(n, false, !stays(&n), 300));
        play.run(600, false);
        latest = latest.max(play.repaired_with(&format!("seed {seed}"), false));
        play.check(&format!("seed {seed}"));
    }
    println!("ended and repaired after {latest} ms at the latest");
}
