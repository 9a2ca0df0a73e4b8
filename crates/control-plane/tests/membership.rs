//! Changes of the replica set in a simulated cluster of six processes, with requests throughout: disk losses in
//! succession, members that shut down and are replaced, coordinators that are partitioned during a change, and a
//! removed replica that returns. Acknowledged changes are read back, and all processes agree on the content of each
//! replica set version.

mod cluster;

use cluster::{timestamp, Cluster};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{Action, ReplicaState, StateMachine};
use kitepass_coordination::consensus::Ballot;
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::{AcceptRequest, ItemMessage, Message};
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Maximum time from the start of a shutdown until the process exits, and until its replica is removed. A round trip
/// takes up to 240 ms here, and a removal takes six of them.
const MAX_SHUTDOWN_MS: i64 = 2_000;
const MAX_REMOVAL_MS: i64 = 4_000;
/// Maximum time from the last loss or restart until the replica set consists of the running replicas.
const MAX_REPAIR_MS: i64 = 15_000;
const NEVER: i64 = i64::MAX / 2;

/// The seeds to run: `KITEPASS_SEEDS` sets their number, otherwise it is the default.
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    0..std::env::var("KITEPASS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default_count)
}

/// A cluster, the changes that were sent to it, and the replica sets that its processes have held.
struct Scenario {
    cluster: Cluster,
    last_version: u64,
    /// The name and version that each change sets, by request ID.
    changes: BTreeMap<u64, (String, u64)>,
    replica_sets: BTreeMap<(&'static str, u64), ReplicaSet>,
    /// The lease terms that processes have won, as (process, term).
    won_terms: BTreeSet<(usize, u64)>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut scenario = Scenario {
            cluster: Cluster::new(seed),
            last_version: 0,
            changes: BTreeMap::new(),
            replica_sets: BTreeMap::new(),
            won_terms: BTreeSet::new(),
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
        let now = timestamp(self.cluster.now);
        for (n, node) in self.cluster.nodes.iter().enumerate() {
            let Some(state_machine) = &node.state_machine else { continue };
            // A new lease holder must not act as coordinator before it has read from a majority, which takes a round
            // trip.
            if let Some(term) = state_machine.lease_term(now).filter(|term| self.won_terms.insert((n, *term)))
            {
                assert_eq!(
                    state_machine.active_term(now),
                    None,
                    "s{n} is active at once after it won term {term}, at {} ms",
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
                        "two different replica sets with the same version, at {} ms",
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
                let n = self.cluster.rng.rand_range(0..6) as usize;
                self.send_change(n);
            }
            self.step();
        }
    }

    fn send_change(&mut self, n: usize) {
        self.last_version += 1;
        let name = format!("l{}", self.last_version % 5);
        let request_id = self.cluster.patch(n, &name, self.last_version, Some(SERVICE));
        self.changes.insert(request_id, (name, self.last_version));
    }

    /// The newest current replica set that any running process holds.
    fn replica_set(&self) -> ReplicaSet {
        let replica_sets = self
            .cluster
            .nodes
            .iter()
            .filter_map(|n| ReplicaSet::load(n.state_machine.as_ref()?.item_store(), CURRENT));
        replica_sets
            .max_by_key(|replica_set| replica_set.version)
            .expect("a running process holds a replica set")
    }

    fn replicas(&self) -> BTreeSet<String> {
        self.replica_set().replicas.iter().map(Replica::name).collect()
    }

    /// The names of the replicas whose processes are running.
    fn running(&self) -> BTreeSet<String> {
        let names = self
            .cluster
            .nodes
            .iter()
            .filter_map(|n| Some(Replica::from(&n.state_machine.as_ref()?.hello()).name()));
        names.collect()
    }

    /// Runs until the replica set consists of the six running replicas and all of them serve; returns how long that
    /// takes.
    fn wait_for_repair(&mut self, context: &str) -> i64 {
        self.wait_for_repair_with(context, true)
    }

    fn wait_for_repair_with(&mut self, context: &str, with_requests: bool) -> i64 {
        let since = self.cluster.now;
        let is_repaired = |scenario: &Scenario| {
            scenario.running().len() == 6
                && scenario.replicas() == scenario.running()
                && scenario.cluster.serving_count() == 6
        };
        while !is_repaired(self) {
            self.run(50, with_requests);
            let duration = self.cluster.now - since;
            assert!(
                duration <= MAX_REPAIR_MS,
                "{context}: replica set {:?}, running {:?}",
                self.replicas(),
                self.running()
            );
        }
        self.cluster.now - since
    }

    fn coordinator(&self) -> Option<usize> {
        (0..6).find(|n| {
            self.state_machine(*n)
                .is_some_and(|state_machine| state_machine.active_term(timestamp(self.cluster.now)).is_some())
        })
    }

    fn wait_for_coordinator(&mut self) -> usize {
        let until = self.cluster.now + MAX_REPAIR_MS;
        loop {
            if let Some(n) = self.coordinator() {
                return n;
            }
            self.run(10, false);
            assert!(self.cluster.now < until, "no process is the active coordinator");
        }
    }

    /// Shuts a process down as SIGTERM does, and stops it. Returns the times until it exits and until its replica is
    /// removed.
    fn shut_down_and_stop(&mut self, n: usize) -> (i64, i64) {
        let since = self.cluster.now;
        let name = Replica::from(&self.state_machine(n).expect("the process is running").hello()).name();
        self.cluster.nodes[n]
            .state_machine
            .as_mut()
            .expect("the process is running")
            .shut_down(timestamp(since));
        self.cluster.perform_actions(n);
        while !self.state_machine(n).expect("the process is running").is_shut_down()
            && self.cluster.now - since < MAX_SHUTDOWN_MS
        {
            self.run(10, true);
        }
        self.cluster.kill(n, false, false, NEVER);
        let exit_time = self.cluster.now - since;
        while self.replicas().contains(&name) && self.cluster.now - since < MAX_REMOVAL_MS {
            self.run(10, true);
        }
        (exit_time, self.cluster.now - since)
    }

    /// Checks that a serving process returns every acknowledged change; returns their number.
    fn assert_acknowledged_changes_are_read(&mut self, context: &str) -> usize {
        let reader = self.cluster.any_serving();
        let request_id = self.cluster.request(reader, Request::Get);
        self.run(2_000, false);
        let response = self.cluster.responses.get(&request_id).map(|(_, response)| response);
        assert!(matches!(response, Some(Response::Configuration(_))), "{context}: {response:?}");
        let item_store = self.state_machine(reader).expect("the process is running").item_store();
        let mut acknowledged = 0;
        for (request_id, (name, version)) in &self.changes {
            if self.cluster.responses.get(request_id).is_some_and(|(_, response)| *response == Response::Done)
            {
                acknowledged += 1;
                let held_version = item_store.get(Kind::Service, name).map_or(0, |item| item.version);
                assert!(
                    held_version >= *version,
                    "{context}: {name} r{version} was acknowledged, r{held_version} is read"
                );
            }
        }
        acknowledged
    }
}

/// The disk of one process or the disks of a region are lost, in some cases while all other processes lose power. The
/// processes return as new replicas. Right after the repair another region's disks are lost while all others lose
/// power.
#[test]
fn after_a_lost_disk_is_replaced_the_next_loss_is_tolerated() {
    let (mut max_repair, mut acknowledged) = (0, 0);
    for seed in seeds(12) {
        let mut scenario = Scenario::new(seed);
        scenario.run(1_000, true);
        let before = scenario.replicas();
        let lost_nodes: Vec<usize> = match seed % 3 {
            0 => vec![seed as usize % 6],
            1 => vec![2, 3],
            _ => vec![4, 5],
        };
        (0..6).for_each(|n| {
            if lost_nodes.contains(&n) || seed % 2 == 0 {
                scenario.cluster.kill(n, true, lost_nodes.contains(&n), 500);
            }
        });
        scenario.run(600, true);
        max_repair = max_repair.max(scenario.wait_for_repair(&format!("seed {seed}")));
        let removed_replicas: BTreeSet<String> = before.difference(&scenario.replicas()).cloned().collect();
        assert_eq!(removed_replicas.len(), lost_nodes.len(), "seed {seed}: {removed_replicas:?}");
        let next_lost = (lost_nodes[0] / 2 * 2 + 2) % 6;
        (0..6).for_each(|n| scenario.cluster.kill(n, true, n == next_lost || n == next_lost + 1, 500));
        scenario.run(600, true);
        max_repair = max_repair.max(scenario.wait_for_repair(&format!("seed {seed}, the second loss")));
        acknowledged += scenario.assert_acknowledged_changes_are_read(&format!("seed {seed}"));
    }
    println!("repaired within {max_repair} ms; {acknowledged} acknowledged changes read back");
    assert!(acknowledged > 200, "{acknowledged}");
}

/// Each process in turn shuts down and is replaced by a new node with a new address and an empty disk.
#[test]
fn all_six_are_replaced_by_empty_successors() {
    let (mut max_repair, mut max_exit, mut max_removal, mut acknowledged) = (0, 0, 0, 0);
    for seed in seeds(6) {
        let mut scenario = Scenario::new(seed);
        let first = scenario.replicas();
        for n in 0..6 {
            let (exit_time, removal_time) = scenario.shut_down_and_stop(n);
            (max_exit, max_removal) = (max_exit.max(exit_time), max_removal.max(removal_time));
            assert!(
                exit_time <= MAX_SHUTDOWN_MS && removal_time < MAX_REMOVAL_MS,
                "seed {seed}: s{n} {exit_time} {removal_time}"
            );
            assert_eq!(scenario.replica_set().replicas.len(), 5);
            let node = &mut scenario.cluster.nodes[n];
            (node.replica.node_id, node.replica.address) = (format!("s0{n}"), format!("10.0.1.{n}"));
            node.disk.clear();
            scenario.run(1_000, true);
            scenario.cluster.start(n, false);
            max_repair = max_repair.max(scenario.wait_for_repair(&format!("seed {seed}: s0{n}")));
        }
        assert!(scenario.replicas().is_disjoint(&first) && scenario.replica_set().replicas.len() == 6);
        acknowledged += scenario.assert_acknowledged_changes_are_read(&format!("seed {seed}"));
    }
    println!(
        "exit within {max_exit} ms, removal within {max_removal} ms, repair within {max_repair} ms; \
         {acknowledged} acknowledged"
    );
    assert!(acknowledged > 200, "{acknowledged}");
}

/// The coordinator gets a SIGTERM while requests are pending. Its acknowledged changes are kept, it exits in time even
/// if no other process responds, and another one becomes coordinator.
#[test]
fn a_coordinator_that_shuts_down_with_requests_pending_loses_nothing() {
    let (mut max_takeover, mut max_exit, mut max_removal, mut answered) = ([0; 2], 0, 0, 0);
    for seed in seeds(12) {
        let mut scenario = Scenario::new(seed);
        let coordinator = scenario.wait_for_coordinator();
        (0..3).for_each(|_| scenario.send_change(coordinator));
        let request_ids: Vec<u64> = scenario.changes.keys().copied().collect();
        let delay = scenario.cluster.rng.rand_range(0..12) as i64 * 10;
        scenario.run(delay, false);
        if seed % 3 == 2 {
            let until = scenario.cluster.now + 6_000;
            for other in (0..6).filter(|other| *other != coordinator) {
                scenario.cluster.partitions.insert((coordinator.min(other), coordinator.max(other)), until);
            }
        }
        let since = scenario.cluster.now;
        let (exit_time, removal_time) = scenario.shut_down_and_stop(coordinator);
        assert!(exit_time <= MAX_SHUTDOWN_MS, "seed {seed}: exited after {exit_time} ms");
        if seed % 3 != 2 {
            (max_exit, max_removal) = (max_exit.max(exit_time), max_removal.max(removal_time));
            assert!(removal_time < MAX_REMOVAL_MS, "seed {seed}: its replica was not removed");
        }
        answered += request_ids
            .iter()
            .filter(|request_id| scenario.cluster.responses.contains_key(request_id))
            .count();
        let next = scenario.wait_for_coordinator();
        assert_ne!(next, coordinator);
        max_takeover[usize::from(seed % 3 == 2)] =
            max_takeover[usize::from(seed % 3 == 2)].max(scenario.cluster.now - since);
        scenario.run(4_000, true);
        scenario.assert_acknowledged_changes_are_read(&format!("seed {seed}"));
    }
    println!(
        "another coordinator is active within {} ms, {} ms if the first is partitioned; exit within {max_exit} ms, \
         removal within {max_removal} ms; {answered} requests answered",
        max_takeover[0], max_takeover[1]
    );
}

/// A coordinator is partitioned, in one direction or both, while it changes the replica set, and another one takes
/// over. Both start from the same replica set, and only one successor of that set may result.
#[test]
fn a_coordinator_cut_off_during_a_change_brings_in_no_second_replica_set() {
    let (mut interrupted_changes, mut changes) = (0, 0);
    for seed in seeds(24) {
        let mut scenario = Scenario::new(seed);
        let coordinator = scenario.wait_for_coordinator();
        let lost_node = (coordinator + 1 + seed as usize % 5) % 6;
        scenario.cluster.kill(lost_node, true, true, 300);
        let base = scenario.replica_set().version;
        // Waits until the wiped node has caught up, so that the coordinator proposes the next replica set, and for a
        // random time after that.
        let until = scenario.cluster.now + 8_000;
        let has_caught_up = |scenario: &Scenario| {
            scenario.state_machine(lost_node).is_some_and(|state_machine| state_machine.hello().is_complete)
        };
        while !has_caught_up(&scenario) && scenario.cluster.now < until {
            scenario.run(10, true);
        }
        let delay = scenario.cluster.rng.rand_range(0..250) as i64 * 10;
        scenario.run(delay, true);
        let is_incoming_known =
            scenario.replica_sets.keys().any(|(name, version)| *name == INCOMING && *version > base);
        interrupted_changes += usize::from(is_incoming_known && scenario.replica_set().version == base);
        let partition_end = scenario.cluster.now + 7_000;
        for other in (0..6).filter(|other| *other != coordinator) {
            match seed % 3 {
                0 => {
                    _ = scenario
                        .cluster
                        .partitions
                        .insert((coordinator.min(other), coordinator.max(other)), partition_end)
                }
                1 => _ = scenario.cluster.one_way_partitions.insert((coordinator, other), partition_end),
                _ => _ = scenario.cluster.one_way_partitions.insert((other, coordinator), partition_end),
            }
        }
        scenario.run(7_000, true);
        // Another node loses its disk as the partition ends.
        let other = (0..6).find(|n| *n != coordinator && *n != lost_node).expect("six");
        scenario.cluster.kill(other, true, true, 300);
        scenario.run(600, true);
        scenario.wait_for_repair(&format!("seed {seed}"));
        changes += scenario.replica_set().version - base;
        scenario.assert_acknowledged_changes_are_read(&format!("seed {seed}"));
    }
    println!(
        "changes interrupted by the partition: {interrupted_changes}; changes of the replica set: {changes}"
    );
    assert!(interrupted_changes > 2 && changes >= 24, "{interrupted_changes} {changes}");
}

/// A removed replica returns with its old disk after changes, deletions, and a proposal that it alone had accepted. It
/// restores no outdated item, and becomes a member again.
#[test]
fn a_removed_replica_with_its_old_disk_brings_nothing_old_back() {
    for seed in seeds(6) {
        let mut scenario = Scenario::new(seed);
        scenario.run(3_000, true);
        let n = seed as usize % 6;
        // This proposal is accepted only by the replica itself.
        let until = scenario.cluster.now + 400;
        for other in (0..6).filter(|other| *other != n) {
            scenario.cluster.partitions.insert((n.min(other), n.max(other)), until);
        }
        scenario.cluster.patch(n, "alone", 7, Some(SERVICE));
        scenario.run(400, false);
        assert!(
            scenario.shut_down_and_stop(n).1 < MAX_REMOVAL_MS,
            "seed {seed}: its replica was not removed"
        );
        let deletion = scenario.cluster.patch((n + 1) % 6, "l1", 1_000_000, None);
        scenario.run(3_000, true);
        assert_eq!(scenario.cluster.responses[&deletion].1, Response::Done, "seed {seed}");
        let stored_items = |scenario: &Scenario, n: usize| {
            let item_store = scenario.state_machine(n).expect("the process is running").item_store();
            ["l1", "alone"].map(|name| item_store.get(Kind::Service, name).cloned())
        };
        let before = stored_items(&scenario, (n + 1) % 6);
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
                        stored_items(&scenario, other),
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
        scenario.assert_acknowledged_changes_are_read(&format!("seed {seed}"));
    }
}

/// A replica that lacks items of the proposer reads them before it accepts a proposal that puts a replica set in force;
/// one that has them all accepts at once. Each such accept request has the digests of the proposer's items.
#[test]
fn a_replica_set_is_accepted_only_with_all_that_its_proposer_holds() {
    let mut scenario = Scenario::new(3);
    let next = ReplicaSet { version: 2, ..scenario.replica_set() };
    let now = timestamp(scenario.cluster.now);
    for (lacks_items, node) in [(true, 4), (false, 5)] {
        let incarnation = scenario.cluster.nodes[0].incarnation;
        let state_machine =
            scenario.cluster.nodes[node].state_machine.as_mut().expect("the process is running");
        let mut digests = state_machine.item_store().history_bucket_hashes().to_vec();
        digests[7] ^= u64::from(lacks_items);
        let ballot = Some(Ballot { epoch: 3, round: 1, proposer: incarnation });
        let items = vec![(&next.to_item(CURRENT)).into()];
        let accept_request = AcceptRequest {
            request_id: 1 << 40,
            items,
            incarnation,
            epoch: 3,
            ballot,
            bucket_digests: digests,
            ..AcceptRequest::default()
        };
        state_machine.actions.clear();
        state_machine.peer_message(now, "s0", Message::AcceptRequest(accept_request));
        let sends_prepare = state_machine
            .actions
            .iter()
            .any(|action| matches!(action, Action::SendToPeer(to, Message::PrepareRequest(_)) if to == "s0"));
        let persists_acceptance = state_machine.actions.iter().any(|action| {
            matches!(action, Action::Persist(_, records) if records.iter().any(|(key, _)| key.starts_with(b"call:")))
        });
        assert_eq!((sends_prepare, persists_acceptance), (lacks_items, !lacks_items));
    }
    let mut scenario = Scenario::new(4);
    scenario.cluster.kill(3, true, true, 300);
    let until = scenario.cluster.now + MAX_REPAIR_MS;
    let mut accept_request_count = 0;
    while scenario.replicas() != scenario.running() {
        scenario.run(10, true);
        for flight in &scenario.cluster.in_flight {
            if let Message::AcceptRequest(accept_request) = &flight.message {
                let in_force =
                    |item: &ItemMessage| item.kind == Kind::ReplicaSet as u32 && item.name == CURRENT;
                if accept_request.items.iter().any(in_force) {
                    accept_request_count += 1;
                    assert!(!accept_request.bucket_digests.is_empty());
                }
            }
        }
        assert!(scenario.cluster.now < until);
    }
    assert!(accept_request_count > 0);
}

/// A disk is lost; when the next replica set is committed and no replica has accepted it as the current one yet, a
/// region's disks are lost and all other processes are killed. Three of the six members of the old set remain: too few
/// to elect a coordinator, but a read quorum. The change is completed, as no proposal is pending that only the old set
/// could have chosen.
#[test]
fn a_change_is_finished_where_half_of_the_earlier_set_is_left() {
    let mut max_repair = 0;
    for seed in seeds(8) {
        let mut scenario = Scenario::new(seed);
        scenario.run(1_000, true);
        scenario.run(1_500, false);
        let lost_node = seed as usize % 6;
        let region = (lost_node / 2 * 2 + 2) % 6;
        scenario.cluster.kill(lost_node, true, true, 300);
        let holds_incoming = |scenario: &Scenario, n: usize| {
            scenario.state_machine(n).is_some_and(|state_machine| {
                ReplicaSet::load(state_machine.item_store(), INCOMING)
                    .is_some_and(|replica_set| replica_set.version == 2)
            })
        };
        let keeps_disk = |n: &usize| ![region, region + 1].contains(n);
        let until = scenario.cluster.now + MAX_REPAIR_MS;
        while !(0..6).filter(keeps_disk).all(|n| holds_incoming(&scenario, n)) {
            scenario.run(10, false);
            assert!(scenario.cluster.now < until, "seed {seed}: no change of the replica set");
        }
        assert_eq!(
            scenario.replica_set().version,
            1,
            "seed {seed}: the next replica set is already in force"
        );
        (0..6).for_each(|n| scenario.cluster.kill(n, false, !keeps_disk(&n), 300));
        scenario.run(600, false);
        max_repair = max_repair.max(scenario.wait_for_repair_with(&format!("seed {seed}"), false));
        scenario.assert_acknowledged_changes_are_read(&format!("seed {seed}"));
    }
    println!("completed and repaired within {max_repair} ms");
}
