//! Changes of the replica set, on six simulated processes by seed, with requests all the while: lost disks and the next
//! loss right after the repair, members that shut down and are replaced, coordinators that are partitioned during a change,
//! and a removed replica that comes back. What was acknowledged is read back, and each version of a replica set has one
//! content.

mod cluster;

use cluster::{at, Cluster};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{Action, ReplicaState, StateMachine};
use kitepass_coordination::consensus::Ballot;
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::{AcceptRequest, ItemMessage, Message};
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Milliseconds until a process that shuts down exits, and until its replica is removed. Messages here take up to 240 there
/// and back, and a removal takes six times that.
const SHUTDOWN_BOUND: i64 = 2_000;
const REMOVAL_BOUND: i64 = 4_000;
/// Milliseconds from the last loss or restart until the replica set holds only replicas that run.
const REPAIR_BOUND: i64 = 15_000;
const NEVER: i64 = i64::MAX / 2;

/// This many seeds, or as many as `KITEPASS_SEEDS` asks for.
fn seeds(few: u64) -> std::ops::Range<u64> {
    0..std::env::var("KITEPASS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(few)
}

/// A cluster, the requests that were made to it, and the replica sets that were seen in it.
struct Scenario {
    cluster: Cluster,
    newest: u64,
    /// What each request set.
    request_ids: BTreeMap<u64, (String, u64)>,
    replica_sets: BTreeMap<(&'static str, u64), ReplicaSet>,
    /// Lease terms that were won, by process.
    won: BTreeSet<(usize, u64)>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut scenario = Scenario {
            cluster: Cluster::new(seed),
            newest: 0,
            request_ids: BTreeMap::new(),
            replica_sets: BTreeMap::new(),
            won: BTreeSet::new(),
        };
        scenario.run(5_000, false);
        assert_eq!(scenario.cluster.serving_count(), 6, "seed {seed}");
        scenario
    }

    fn state_machine(&self, n: usize) -> Option<&StateMachine> {
        self.cluster.nodes[n].state_machine.as_ref()
    }

    fn step(&mut self) {
        self.cluster.step();
        let now = at(self.cluster.now);
        for (n, node) in self.cluster.nodes.iter().enumerate() {
            let Some(state_machine) = &node.state_machine else { continue };
            // Whoever has just won the lease has not read what a majority holds, which takes a round trip.
            if let Some(term) = state_machine.lease_term(now).filter(|term| self.won.insert((n, *term))) {
                assert_eq!(
                    state_machine.active_term(now),
                    None,
                    "s{n} acts as it wins term {term}, at {}",
                    self.cluster.now
                );
            }
            for name in [CURRENT, INCOMING] {
                if let Some(replica_set) = ReplicaSet::load(state_machine.item_store(), name) {
                    let first = self
                        .replica_sets
                        .entry((name, replica_set.version))
                        .or_insert_with(|| replica_set.clone());
                    assert_eq!(
                        *first, replica_set,
                        "two replica sets with one version, at {}",
                        self.cluster.now
                    );
                }
            }
        }
    }

    fn run(&mut self, millis: i64, with_requests: bool) {
        let until = self.cluster.now + millis;
        while self.cluster.now < until {
            if with_requests && self.cluster.now % 250 == 0 {
                let n = self.cluster.random.rand_range(0..6) as usize;
                self.send_change(n);
            }
            self.step();
        }
    }

    fn send_change(&mut self, n: usize) {
        self.newest += 1;
        let name = format!("l{}", self.newest % 5);
        let request_id = self.cluster.patch(n, &name, self.newest, Some(SERVICE));
        self.request_ids.insert(request_id, (name, self.newest));
    }

    /// The newest replica set in force, as known to any process that runs.
    fn replica_set(&self) -> ReplicaSet {
        let replica_sets = self
            .cluster
            .nodes
            .iter()
            .filter_map(|n| ReplicaSet::load(n.state_machine.as_ref()?.item_store(), CURRENT));
        replica_sets.max_by_key(|replica_set| replica_set.version).expect("one knows of a replica set")
    }

    fn replicas(&self) -> BTreeSet<String> {
        self.replica_set().replicas.iter().map(Replica::name).collect()
    }

    /// The replicas of the processes that run.
    fn running(&self) -> BTreeSet<String> {
        let names = self
            .cluster
            .nodes
            .iter()
            .filter_map(|n| Some(Replica::from(&n.state_machine.as_ref()?.hello()).name()));
        names.collect()
    }

    /// Runs until the replica set holds all that run, and all serve; gives how long that takes.
    fn repaired(&mut self, what: &str) -> i64 {
        self.repaired_with(what, true)
    }

    fn repaired_with(&mut self, what: &str, with_requests: bool) -> i64 {
        let since = self.cluster.now;
        let whole = |scenario: &Scenario| {
            scenario.running().len() == 6
                && scenario.replicas() == scenario.running()
                && scenario.cluster.serving_count() == 6
        };
        while !whole(self) {
            self.run(50, with_requests);
            let took = self.cluster.now - since;
            assert!(took <= REPAIR_BOUND, "{what}: {:?} of {:?}", self.replicas(), self.running());
        }
        self.cluster.now - since
    }

    fn coordinator(&self) -> Option<usize> {
        (0..6).find(|n| {
            self.state_machine(*n)
                .is_some_and(|state_machine| state_machine.active_term(at(self.cluster.now)).is_some())
        })
    }

    fn wait_for_coordinator(&mut self) -> usize {
        let until = self.cluster.now + REPAIR_BOUND;
        loop {
            if let Some(n) = self.coordinator() {
                return n;
            }
            self.run(10, false);
            assert!(self.cluster.now < until, "nobody is coordinator");
        }
    }

    /// SIGTERM: gives how long a process takes to exit, and how long until its replica is removed.
    fn leave(&mut self, n: usize) -> (i64, i64) {
        let since = self.cluster.now;
        let name = Replica::from(&self.state_machine(n).expect("it runs").hello()).name();
        self.cluster.nodes[n].state_machine.as_mut().expect("it runs").shut_down(at(since));
        self.cluster.carry_out(n);
        while !self.state_machine(n).expect("it runs").is_shut_down()
            && self.cluster.now - since < SHUTDOWN_BOUND
        {
            self.run(10, true);
        }
        self.cluster.kill(n, false, false, NEVER);
        let ended = self.cluster.now - since;
        while self.replicas().contains(&name) && self.cluster.now - since < REMOVAL_BOUND {
            self.run(10, true);
        }
        (ended, self.cluster.now - since)
    }

    /// Checks that all that was acknowledged is read back from a process that serves.
    fn check(&mut self, what: &str) -> usize {
        let reader = self.cluster.any_serving();
        let request_id = self.cluster.request(reader, Request::Get);
        self.run(2_000, false);
        let response = self.cluster.responses.get(&request_id).map(|(_, response)| response);
        assert!(matches!(response, Some(Response::Configuration(_))), "{what}: {response:?}");
        let item_store = self.state_machine(reader).expect("it runs").item_store();
        let mut acknowledged = 0;
        for (request_id, (name, version)) in &self.request_ids {
            if self.cluster.responses.get(request_id).is_some_and(|(_, response)| *response == Response::Done)
            {
                acknowledged += 1;
                let known = item_store.get(Kind::Service, name).map_or(0, |item| item.version);
                assert!(known >= *version, "{what}: {name} r{version} was acknowledged, r{known} is read");
            }
        }
        acknowledged
    }
}

/// One disk, or a region's, is lost, while the others lose power or not. They come back as new replicas, and right after the
/// repair another region's disks are lost while all others lose power.
#[test]
fn after_a_lost_disk_is_replaced_the_next_loss_is_tolerated() {
    let (mut latest, mut acknowledged) = (0, 0);
    for seed in seeds(12) {
        let mut scenario = Scenario::new(seed);
        scenario.run(1_000, true);
        let before = scenario.replicas();
        let lost: Vec<usize> = match seed % 3 {
            0 => vec![seed as usize % 6],
            1 => vec![2, 3],
            _ => vec![4, 5],
        };
        (0..6).for_each(|n| {
            if lost.contains(&n) || seed % 2 == 0 {
                scenario.cluster.kill(n, true, lost.contains(&n), 500);
            }
        });
        scenario.run(600, true);
        latest = latest.max(scenario.repaired(&format!("seed {seed}")));
        let gone: BTreeSet<String> = before.difference(&scenario.replicas()).cloned().collect();
        assert_eq!(gone.len(), lost.len(), "seed {seed}: {gone:?}");
        let again = (lost[0] / 2 * 2 + 2) % 6;
        (0..6).for_each(|n| scenario.cluster.kill(n, true, n == again || n == again + 1, 500));
        scenario.run(600, true);
        latest = latest.max(scenario.repaired(&format!("seed {seed}, the second loss")));
        acknowledged += scenario.check(&format!("seed {seed}"));
    }
    println!("repaired after {latest} ms at the latest; {acknowledged} acknowledged changes read back");
    assert!(acknowledged > 200, "{acknowledged}");
}

/// One after another shuts down, and is followed by another node at another address with an empty disk.
#[test]
fn all_six_are_replaced_by_empty_successors() {
    let (mut latest, mut slowest, mut replica, mut acknowledged) = (0, 0, 0, 0);
    for seed in seeds(6) {
        let mut scenario = Scenario::new(seed);
        let first = scenario.replicas();
        for n in 0..6 {
            let (ended, gone) = scenario.leave(n);
            (slowest, replica) = (slowest.max(ended), replica.max(gone));
            assert!(ended <= SHUTDOWN_BOUND && gone < REMOVAL_BOUND, "seed {seed}: s{n} {ended} {gone}");
            assert_eq!(scenario.replica_set().replicas.len(), 5);
            let node = &mut scenario.cluster.nodes[n];
            (node.replica.node_id, node.replica.address) = (format!("s0{n}"), format!("10.0.1.{n}"));
            node.disk.clear();
            scenario.run(1_000, true);
            scenario.cluster.start(n, false);
            latest = latest.max(scenario.repaired(&format!("seed {seed}: s0{n}")));
        }
        assert!(scenario.replicas().is_disjoint(&first) && scenario.replica_set().replicas.len() == 6);
        acknowledged += scenario.check(&format!("seed {seed}"));
    }
    println!("ended after {slowest} ms, replica removed after {replica}, repaired after {latest}, at the latest; {acknowledged} acknowledged");
    assert!(acknowledged > 200, "{acknowledged}");
}

/// SIGTERM of the coordinator with requests pending: what it acknowledged is kept, it exits in time, also where nobody
/// answers, and another becomes coordinator.
#[test]
fn a_coordinator_that_shuts_down_with_requests_pending_loses_nothing() {
    let (mut latest, mut slowest, mut replica, mut answered) = ([0; 2], 0, 0, 0);
    for seed in seeds(12) {
        let mut scenario = Scenario::new(seed);
        let coordinator = scenario.wait_for_coordinator();
        (0..3).for_each(|_| scenario.send_change(coordinator));
        let request_ids: Vec<u64> = scenario.request_ids.keys().copied().collect();
        let early = scenario.cluster.random.rand_range(0..12) as i64 * 10;
        scenario.run(early, false);
        if seed % 3 == 2 {
            let until = scenario.cluster.now + 6_000;
            for other in (0..6).filter(|other| *other != coordinator) {
                scenario.cluster.partitions.insert((coordinator.min(other), coordinator.max(other)), until);
            }
        }
        let since = scenario.cluster.now;
        let (ended, gone) = scenario.leave(coordinator);
        assert!(ended <= SHUTDOWN_BOUND, "seed {seed}: ended after {ended} ms");
        if seed % 3 != 2 {
            (slowest, replica) = (slowest.max(ended), replica.max(gone));
            assert!(gone < REMOVAL_BOUND, "seed {seed}: its replica was not removed");
        }
        answered += request_ids
            .iter()
            .filter(|request_id| scenario.cluster.responses.contains_key(request_id))
            .count();
        let next = scenario.wait_for_coordinator();
        assert_ne!(next, coordinator);
        latest[usize::from(seed % 3 == 2)] =
            latest[usize::from(seed % 3 == 2)].max(scenario.cluster.now - since);
        scenario.run(4_000, true);
        scenario.check(&format!("seed {seed}"));
    }
    println!("another acts after {} ms, {} where it is cut off; it ended after {slowest} ms, its replica was removed after {replica} ms; \
         {answered} requests answered",
        latest[0], latest[1]
    );
}

/// A coordinator is partitioned, one way or both, while it brings a replica set in, and another one goes on. Both start from
/// one replica set, and only one next one comes of it.
#[test]
fn a_coordinator_cut_off_during_a_change_brings_in_no_second_replica_set() {
    let (mut cut_midway, mut changes) = (0, 0);
    for seed in seeds(24) {
        let mut scenario = Scenario::new(seed);
        let coordinator = scenario.wait_for_coordinator();
        let lost = (coordinator + 1 + seed as usize % 5) % 6;
        scenario.cluster.kill(lost, true, true, 300);
        let base = scenario.replica_set().version;
        // Until it has worked the next replica set out, and a drawn time after.
        let until = scenario.cluster.now + 8_000;
        let full = |scenario: &Scenario| {
            scenario.state_machine(lost).is_some_and(|state_machine| state_machine.hello().is_complete)
        };
        while !full(&scenario) && scenario.cluster.now < until {
            scenario.run(10, true);
        }
        let late = scenario.cluster.random.rand_range(0..250) as i64 * 10;
        scenario.run(late, true);
        let known = scenario.replica_sets.keys().any(|(name, version)| *name == INCOMING && *version > base);
        cut_midway += usize::from(known && scenario.replica_set().version == base);
        let ends = scenario.cluster.now + 7_000;
        for other in (0..6).filter(|other| *other != coordinator) {
            match seed % 3 {
                0 => {
                    _ = scenario
                        .cluster
                        .partitions
                        .insert((coordinator.min(other), coordinator.max(other)), ends)
                }
                1 => _ = scenario.cluster.one_way_partitions.insert((coordinator, other), ends),
                _ => _ = scenario.cluster.one_way_partitions.insert((other, coordinator), ends),
            }
        }
        scenario.run(7_000, true);
        // Another node's disk is lost while the partition ends.
        let other = (0..6).find(|n| *n != coordinator && *n != lost).expect("six");
        scenario.cluster.kill(other, true, true, 300);
        scenario.run(600, true);
        scenario.repaired(&format!("seed {seed}"));
        changes += scenario.replica_set().version - base;
        scenario.check(&format!("seed {seed}"));
    }
    println!("cut with a change half-way: {cut_midway}; {changes} changes of the replica set");
    assert!(cut_midway > 2 && changes >= 24, "{cut_midway} {changes}");
}

/// A removed replica comes back with its old disk after changes, drops and a request that it alone had begun: it brings
/// nothing old back, and becomes a member again.
#[test]
fn a_removed_replica_with_its_old_disk_brings_nothing_old_back() {
    for seed in seeds(6) {
        let mut scenario = Scenario::new(seed);
        scenario.run(3_000, true);
        let n = seed as usize % 6;
        // Accepted nowhere but on its own disk.
        let until = scenario.cluster.now + 400;
        for other in (0..6).filter(|other| *other != n) {
            scenario.cluster.partitions.insert((n.min(other), n.max(other)), until);
        }
        scenario.cluster.patch(n, "alone", 7, Some(SERVICE));
        scenario.run(400, false);
        assert!(scenario.leave(n).1 < REMOVAL_BOUND, "seed {seed}: its replica was not removed");
        let drop = scenario.cluster.patch((n + 1) % 6, "l1", 1_000_000, None);
        scenario.run(3_000, true);
        assert_eq!(scenario.cluster.responses[&drop].1, Response::Done, "seed {seed}");
        let settled = |scenario: &Scenario, n: usize| {
            let item_store = scenario.state_machine(n).expect("it runs").item_store();
            ["l1", "alone"].map(|name| item_store.get(Kind::Service, name).cloned())
        };
        let before = settled(&scenario, (n + 1) % 6);
        scenario.cluster.start(n, false);
        let until = scenario.cluster.now + 12_000;
        while scenario.cluster.now < until {
            scenario.run(50, true);
            for other in 0..6 {
                if scenario
                    .state_machine(other)
                    .is_some_and(|state_machine| state_machine.replica_state() == ReplicaState::Serving)
                {
                    assert_eq!(
                        settled(&scenario, other),
                        before,
                        "seed {seed}: s{other} at {}",
                        scenario.cluster.now
                    );
                }
            }
        }
        assert_eq!(
            (scenario.replicas(), scenario.cluster.serving_count()),
            (scenario.running(), 6),
            "seed {seed}"
        );
        scenario.check(&format!("seed {seed}"));
    }
}

/// A replica that lacks some of what the proposer holds reads that before it accepts that a replica set is in force; one that
/// holds the same accepts at once. Each such accept request tells what its proposer holds.
#[test]
fn a_replica_set_is_accepted_only_with_all_that_its_proposer_holds() {
    let mut scenario = Scenario::new(3);
    let next = ReplicaSet { version: 2, ..scenario.replica_set() };
    let now = at(scenario.cluster.now);
    for (lacks, node) in [(true, 4), (false, 5)] {
        let incarnation = scenario.cluster.nodes[0].incarnation;
        let state_machine = scenario.cluster.nodes[node].state_machine.as_mut().expect("it runs");
        let mut whole = state_machine.item_store().history_bucket_hashes().to_vec();
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
        state_machine.actions.clear();
        state_machine.peer_message(now, "s0", Message::AcceptRequest(store));
        let asks = state_machine
            .actions
            .iter()
            .any(|act| matches!(act, Action::SendToPeer(to, Message::PrepareRequest(_)) if to == "s0"));
        let accepts = state_machine.actions.iter().any(|act| {
            matches!(act, Action::Persist(_, records) if records.iter().any(|(key, _)| key.starts_with(b"call:")))
        });
        assert_eq!((asks, accepts), (lacks, !lacks));
    }
    let mut scenario = Scenario::new(4);
    scenario.cluster.kill(3, true, true, 300);
    let until = scenario.cluster.now + REPAIR_BOUND;
    let mut told = 0;
    while scenario.replicas() != scenario.running() {
        scenario.run(10, true);
        for flight in &scenario.cluster.in_flight {
            if let Message::AcceptRequest(store) = &flight.message {
                let in_force =
                    |item: &ItemMessage| item.kind == Kind::ReplicaSet as u32 && item.name == CURRENT;
                if store.items.iter().any(in_force) {
                    told += 1;
                    assert!(!store.bucket_digests.is_empty());
                }
            }
        }
        assert!(scenario.cluster.now < until);
    }
    assert!(told > 0);
}

/// A disk is lost, and as the next replica set is committed and nobody has accepted it as the one in force, a region's disks
/// are lost and all others are killed. Three of six members of the earlier set are left, which can't elect a coordinator, but
/// can read: the change is finished, as no proposal is open that only the earlier set could have chosen.
#[test]
fn a_change_is_finished_where_half_of_the_earlier_set_is_left() {
    let mut latest = 0;
    for seed in seeds(8) {
        let mut scenario = Scenario::new(seed);
        scenario.run(1_000, true);
        scenario.run(1_500, false);
        let lost = seed as usize % 6;
        let region = (lost / 2 * 2 + 2) % 6;
        scenario.cluster.kill(lost, true, true, 300);
        let knows = |scenario: &Scenario, n: usize| {
            scenario.state_machine(n).is_some_and(|state_machine| {
                ReplicaSet::load(state_machine.item_store(), INCOMING)
                    .is_some_and(|replica_set| replica_set.version == 2)
            })
        };
        let stays = |n: &usize| ![region, region + 1].contains(n);
        let until = scenario.cluster.now + REPAIR_BOUND;
        while !(0..6).filter(stays).all(|n| knows(&scenario, n)) {
            scenario.run(10, false);
            assert!(scenario.cluster.now < until, "seed {seed}: no change of the replica set");
        }
        assert_eq!(scenario.replica_set().version, 1, "seed {seed}: too late");
        (0..6).for_each(|n| scenario.cluster.kill(n, false, !stays(&n), 300));
        scenario.run(600, false);
        latest = latest.max(scenario.repaired_with(&format!("seed {seed}"), false));
        scenario.check(&format!("seed {seed}"));
    }
    println!("ended and repaired after {latest} ms at the latest");
}
