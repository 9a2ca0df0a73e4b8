//! Quorum contact in a simulated cluster of six processes. A process that no majority has heard recently must not serve
//! its state as current: it redirects clients at once, and serves again only with every acknowledged change. Gateways
//! move to processes that are in contact. All bounds are in milliseconds and hold for every seed.

mod cluster;

use cluster::{timestamp, Cluster};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use kitepass_coordination::protocol::{Heartbeat, Hello, Message};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Number of seeds for each case, unless `KITEPASS_SEEDS` sets another.
const DEFAULT_SEED_COUNT: u64 = 10;
const PARTITION_MS: i64 = 20_000;
/// A process in contact has proof, at most this old, that a majority has heard it.
const CONTACT_TIMEOUT_MS: i64 = 2_000;
/// Maximum time from the start of a partition until a process is out of contact: the timeout and one tick.
const MAX_ISOLATION_DELAY_MS: i64 = CONTACT_TIMEOUT_MS + 110;
/// Maximum time in which a message is delivered.
const MAX_LATENCY_MS: i64 = 120;
/// Maximum time from the start of a partition until a process stops answering look-ups.
const MAX_LOOK_UP_MS: i64 = 4_000;
/// Maximum time from the end of a partition until all processes serve again: they reconnect, are heard, and read what
/// they missed.
const MAX_RECOVERY_MS: i64 = 1_500;
/// Maximum time since the target of a redirect was last heard.
const MAX_REDIRECT_TARGET_AGE_MS: i64 = 1_500;
/// Maximum response time of a process in the majority, and the same if another proposal has to be resolved first.
const MAX_RESPONSE_MS: i64 = 1_000;
const MAX_BLOCKED_RESPONSE_MS: i64 = 2_500;
/// Maximum time from the start of a partition until every gateway that can reach a process in contact has left the
/// others, and for how long it may be connected to each of the others when it tries them later.
const MAX_MOVE_MS: i64 = 4_100;
const MAX_PROBE_MS: i64 = 250;

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("KITEPASS_SEEDS").ok().and_then(|text| text.parse().ok());
    0..given.unwrap_or(DEFAULT_SEED_COUNT)
}

fn replica_state(cluster: &Cluster, n: usize) -> Option<ReplicaState> {
    cluster.nodes[n].state_machine.as_ref().map(|state_machine| state_machine.replica_state())
}

fn address(n: usize) -> String {
    format!("10.0.0.{n}")
}

/// Whether a majority has in fact heard a process within the contact timeout.
fn is_heard_by_majority(cluster: &Cluster, n: usize) -> bool {
    let since = cluster.now - CONTACT_TIMEOUT_MS;
    let heard_count =
        (0..6).filter(|m| cluster.newest_delivered.get(&(n, *m)).is_some_and(|sent| *sent >= since)).count();
    heard_count + 1 >= 4
}

/// Checks, by the messages that were delivered, that each process that considers itself in contact was heard by a
/// majority.
fn assert_contact_is_accurate(cluster: &Cluster) {
    for (n, node) in cluster.nodes.iter().enumerate() {
        let Some(state_machine) = node
            .state_machine
            .as_ref()
            .filter(|state_machine| state_machine.has_quorum(timestamp(cluster.now)))
        else {
            continue;
        };
        assert!(
            is_heard_by_majority(cluster, n),
            "s{n} wrongly considers itself in contact at {} ms: {:?}",
            cluster.now,
            state_machine.replica_state()
        );
    }
}

/// A request: its receiver, when it was sent and answered, and the version that it sets, or 0 for a read.
struct SentRequest {
    n: usize,
    sent_at: i64,
    answered_at: Option<i64>,
    version: u64,
}

#[derive(Default)]
struct RequestLog {
    sent: BTreeMap<u64, SentRequest>,
    version: u64,
}

impl RequestLog {
    /// Sends a request: every third is a read, the others are changes.
    fn request(&mut self, cluster: &mut Cluster, n: usize) {
        self.version += 1;
        let version = if self.version.is_multiple_of(3) { 0 } else { self.version };
        let request_id = match version {
            0 => cluster.request(n, Request::Get),
            version => cluster.patch(n, "l", version, Some(SERVICE)),
        };
        self.sent.insert(request_id, SentRequest { n, sent_at: cluster.now, answered_at: None, version });
    }

    /// Steps the cluster; returns the new responses as (process, response time, response).
    fn step(&mut self, cluster: &mut Cluster) -> Vec<(usize, i64, Response)> {
        let mut new_responses = self.record_responses(cluster);
        cluster.step();
        assert_contact_is_accurate(cluster);
        new_responses.extend(self.record_responses(cluster));
        new_responses
    }

    fn record_responses(&mut self, cluster: &Cluster) -> Vec<(usize, i64, Response)> {
        let mut new_responses = Vec::new();
        for (request_id, sent) in self.sent.iter_mut().filter(|(_, sent)| sent.answered_at.is_none()) {
            if let Some((_, response)) = cluster.responses.get(request_id) {
                sent.answered_at = Some(cluster.now);
                match response {
                    Response::Redirect(to) => {
                        let last_heard_at = (0..6)
                            .filter(|m| address(*m) == *to)
                            .map(|m| cluster.last_heard[&(m, sent.n)])
                            .max();
                        assert!(
                            last_heard_at >= Some(cluster.now - MAX_REDIRECT_TARGET_AGE_MS),
                            "s{} redirects to {to}, last heard at {last_heard_at:?}",
                            sent.n
                        );
                    }
                    Response::Unavailable(_) => {}
                    // Any other response claims to be current, so the process must be in contact.
                    _ => {
                        assert!(
                            is_heard_by_majority(cluster, sent.n),
                            "s{} is out of contact and answers at {} ms: {response:?}",
                            sent.n,
                            cluster.now
                        )
                    }
                }
                new_responses.push((sent.n, cluster.now - sent.sent_at, response.clone()));
            }
        }
        new_responses
    }

    /// The newest version whose acknowledgement had arrived by this time.
    fn acknowledged(&self, cluster: &Cluster, answered_by: i64) -> u64 {
        let is_done = |request_id: &u64| {
            cluster.responses.get(request_id).is_some_and(|(_, response)| *response == Response::Done)
        };
        let is_answered =
            |sent: &SentRequest| sent.answered_at.is_some_and(|answered_at| answered_at <= answered_by);
        let acknowledged =
            self.sent.iter().filter(|(request_id, sent)| is_done(request_id) && is_answered(sent));
        acknowledged.map(|(_, sent)| sent.version).max().unwrap_or(0)
    }
}

/// Checks that every process and every gateway holds at least this version.
fn assert_all_hold(cluster: &Cluster, acknowledged: u64, seed: u64) {
    for (n, node) in cluster.nodes.iter().enumerate() {
        let held_version = node.version("l");
        assert!(
            held_version >= acknowledged,
            "seed {seed}: s{n} has r{held_version}, r{acknowledged} was acknowledged"
        );
    }
    for (n, gateway) in cluster.gateways.iter().enumerate() {
        let held_version = gateway.session.item_store.get(Kind::Service, "l").map_or(0, |item| item.version);
        assert!(
            held_version >= acknowledged,
            "seed {seed}: g{n} has r{held_version}, r{acknowledged} was acknowledged"
        );
    }
}

fn lease_holder(cluster: &Cluster) -> usize {
    let holds = |n: &usize| {
        cluster.nodes[*n]
            .state_machine
            .as_ref()
            .is_some_and(|state_machine| state_machine.lease_term(timestamp(cluster.now)).is_some())
    };
    (0..6).find(holds).expect("a process holds the lease")
}

/// In which direction messages between the partitioned side and the others are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    /// The side receives nothing.
    Inbound,
    /// Nothing from the side is received.
    Outbound,
    Both,
    /// Both directions, but only with three of the others; communication with the remaining ones works.
    Partial,
}

fn partition(cluster: &mut Cluster, isolated_side: &BTreeSet<usize>, direction: Direction, until: i64) {
    let other_count = if direction == Direction::Partial { 3 } else { 6 };
    for inside in isolated_side {
        for outside in (0..6).filter(|n| !isolated_side.contains(n)).take(other_count) {
            if direction != Direction::Outbound {
                cluster.one_way_partitions.insert((outside, *inside), until);
            }
            if direction != Direction::Inbound {
                cluster.one_way_partitions.insert((*inside, outside), until);
            }
        }
    }
}

/// Which processes a test case partitions from the others.
#[derive(Clone, Copy, Debug)]
enum Target {
    One(usize),
    Coordinator,
    Zones(usize, usize),
    CoordinatorAnd(usize),
}

fn select_side(cluster: &Cluster, target: Target) -> BTreeSet<usize> {
    match target {
        Target::One(n) => [n].into(),
        Target::Coordinator => [lease_holder(cluster)].into(),
        Target::Zones(a, b) => [a, b].into(),
        Target::CoordinatorAnd(n) => {
            let lease_holder = lease_holder(cluster);
            [lease_holder, if n == lease_holder { (n + 1) % 6 } else { n }].into()
        }
    }
}

#[rstest]
#[case::one_both_directions(Target::One(2), Direction::Both)]
#[case::one_inbound(Target::One(3), Direction::Inbound)]
#[case::one_outbound(Target::One(4), Direction::Outbound)]
#[case::coordinator_both_directions(Target::Coordinator, Direction::Both)]
#[case::coordinator_inbound(Target::Coordinator, Direction::Inbound)]
#[case::coordinator_outbound(Target::Coordinator, Direction::Outbound)]
#[case::one_partial(Target::One(5), Direction::Partial)]
#[case::coordinator_partial(Target::Coordinator, Direction::Partial)]
#[case::region_both_directions(Target::Zones(0, 1), Direction::Both)]
#[case::two_inbound(Target::Zones(1, 4), Direction::Inbound)]
#[case::two_outbound(Target::Zones(2, 5), Direction::Outbound)]
#[case::coordinator_and_another(Target::CoordinatorAnd(3), Direction::Both)]
fn a_partition_of_twenty_seconds(#[case] target: Target, #[case] direction: Direction) {
    // The maximum over all seeds of each bounded time, for the summary that is printed.
    let (mut max_isolation, mut max_look_up, mut max_recovery, mut max_move, mut max_wait) = (0, 0, 0, 0, 0);
    let (
        mut redirect_count,
        mut unavailable_count,
        mut acknowledged_total,
        mut max_probe,
        mut max_majority_wait,
    ) = (0, 0, 0, 0, 0);
    // In a partial partition, requests may wait until conflicting proposals of the partitioned process are resolved.
    let response_limit =
        if direction == Direction::Partial { MAX_BLOCKED_RESPONSE_MS } else { MAX_RESPONSE_MS };
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(7_000 + seed as i64 * 137);
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        let isolated_side = select_side(&cluster, target);
        let (since, until) = (cluster.now, cluster.now + PARTITION_MS);
        partition(&mut cluster, &isolated_side, direction, until);
        // One gateway for each process of the side can reach only that side.
        for gateway in isolated_side.iter().map(|n| n % 6) {
            (0..6)
                .filter(|n| !isolated_side.contains(n))
                .for_each(|n| _ = cluster.gateway_partitions.insert((gateway, n), until));
        }
        let mut log = RequestLog::default();
        // When each gateway was last seen without a session on the side.
        let (mut new_gateway, mut last_off_side) = (None, BTreeMap::new());
        while cluster.now < until {
            if cluster.now % 150 == 0 {
                let n = cluster.rng.rand_range(0..6) as usize;
                log.request(&mut cluster, n);
                let n = *isolated_side
                    .iter()
                    .nth(cluster.rng.rand_range(0..isolated_side.len() as u64) as usize)
                    .unwrap();
                log.request(&mut cluster, n);
            }
            if new_gateway.is_none() && cluster.now >= since + 3_000 {
                // Adds a gateway that can reach only the side.
                new_gateway = Some(cluster.gateways.len());
                cluster.add_gateways(1);
                let gateway = cluster.gateways.len() - 1;
                (0..6)
                    .filter(|n| !isolated_side.contains(n))
                    .for_each(|n| _ = cluster.gateway_partitions.insert((gateway, n), until));
            }
            let responses = log.step(&mut cluster);
            let age = cluster.now - since;
            for n in &isolated_side {
                let state_machine = cluster.state_machine(*n);
                if state_machine.replica_state() == ReplicaState::Serving {
                    max_isolation = max_isolation.max(age);
                    assert!(
                        age <= MAX_ISOLATION_DELAY_MS,
                        "seed {seed}: s{n} is still serving after {age} ms"
                    );
                }
                if state_machine.can_look_up(timestamp(cluster.now)) {
                    max_look_up = max_look_up.max(age);
                    assert!(age <= MAX_LOOK_UP_MS, "seed {seed}: s{n} answers look-ups after {age} ms");
                }
            }
            for (n, response_time, response) in responses {
                if !isolated_side.contains(&n) {
                    // The majority answers throughout: its requests don't wait for the election of a coordinator.
                    assert!(
                        matches!(response, Response::Done | Response::Configuration(_)),
                        "seed {seed}: s{n} {response:?}"
                    );
                    max_majority_wait = max_majority_wait.max(response_time);
                    assert!(
                        response_time <= response_limit,
                        "seed {seed}: s{n} answered after {response_time} ms"
                    );
                    continue;
                }
                max_wait = max_wait.max(response_time);
                assert!(
                    response_time <= MAX_ISOLATION_DELAY_MS,
                    "seed {seed}: s{n} answered after {response_time} ms"
                );
                match response {
                    Response::Redirect(to) => {
                        redirect_count += 1;
                        let target_node =
                            (0..6).find(|n| address(*n) == to).expect("the address of a control process");
                        // Another process of the side may have reported that it is serving just before it was isolated.
                        let is_valid_target = match isolated_side.contains(&target_node) {
                            true => age <= MAX_ISOLATION_DELAY_MS + MAX_LATENCY_MS,
                            false => replica_state(&cluster, target_node) == Some(ReplicaState::Serving),
                        };
                        assert!(is_valid_target, "seed {seed}: s{n} redirects to {to} after {age} ms");
                    }
                    Response::Unavailable(_) => unavailable_count += 1,
                    _ => assert!(
                        age <= CONTACT_TIMEOUT_MS,
                        "seed {seed}: s{n} answers {response:?} {age} ms after the partition"
                    ),
                }
                // A process out of contact answers at once.
                assert!(
                    age - response_time <= MAX_ISOLATION_DELAY_MS || response_time == 0,
                    "seed {seed}: s{n} answered after {response_time} ms"
                );
            }
            for (number, gateway) in cluster.gateways.iter().enumerate() {
                let reaches_majority = !cluster.gateway_partitions.keys().any(|(cut, _)| *cut == number);
                if !reaches_majority || gateway.node().is_none_or(|node| !isolated_side.contains(&node)) {
                    last_off_side.insert(number, cluster.now);
                    continue;
                }
                let since_off_side = cluster.now - last_off_side.get(&number).copied().unwrap_or(since);
                let probe_limit = MAX_PROBE_MS * isolated_side.len() as i64;
                if age > MAX_MOVE_MS {
                    max_probe = max_probe.max(since_off_side);
                    assert!(
                        since_off_side <= probe_limit,
                        "seed {seed}: g{number} is connected to an isolated process after {age} ms"
                    );
                } else if since_off_side > probe_limit {
                    max_move = max_move.max(age);
                }
            }
            if let Some(new_gateway) = new_gateway.map(|gateway| &cluster.gateways[gateway]) {
                assert!(
                    !new_gateway.session.is_caught_up(),
                    "seed {seed}: a new gateway got its configuration from an isolated process"
                );
            }
        }
        while cluster.serving_count() < 6 {
            log.step(&mut cluster);
            let recovery = cluster.now - until;
            max_recovery = max_recovery.max(recovery);
            assert!(recovery <= MAX_RECOVERY_MS, "seed {seed}: not all are serving after {recovery} ms");
        }
        // Read responses and commit messages may still be in flight when the partition ends.
        let acknowledged = log.acknowledged(&cluster, until - 2 * MAX_LATENCY_MS);
        acknowledged_total += acknowledged;
        for n in &isolated_side {
            let held_version = cluster.state_machine(*n).item_store().get(Kind::Service, "l");
            let held_version = held_version.map_or(0, |item| item.version);
            assert!(
                held_version >= acknowledged,
                "seed {seed}: s{n} serves again with r{held_version}, r{acknowledged} was acknowledged"
            );
        }
        (0..500).for_each(|_| _ = log.step(&mut cluster));
        assert_all_hold(&cluster, log.acknowledged(&cluster, cluster.now), seed);
    }
    println!(
        "{target:?} {direction:?}, maximum times in ms: isolation {max_isolation}, look-ups {max_look_up}, \
         recovery {max_recovery}, move of a gateway {max_move}, probe by a gateway {max_probe}, response {max_wait}, \
         response of the majority {max_majority_wait}; {redirect_count} redirects, {unavailable_count} unavailable"
    );
    assert!(acknowledged_total > 0 && unavailable_count + redirect_count > 0);
    assert!(match direction {
        Direction::Partial => unavailable_count == 0,
        // The side still hears who is in contact, though the others, which don't hear it, send to it only occasionally.
        Direction::Outbound => redirect_count > unavailable_count * 3,
        // The side soon knows of no process in contact.
        Direction::Inbound | Direction::Both => unavailable_count > redirect_count * 3,
    });
}

/// Partitions shorter and longer than the contact timeout come and go, and connections are reset. No process is ever
/// wrong about its contact, no acknowledged change is lost, and no request waits longer than its bound.
#[test]
fn partitions_that_come_and_go() {
    let (mut acknowledged_count, mut rejected_count, mut isolation_count, mut max_recovery) = (0, 0, 0, 0);
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(7_000);
        let mut log = RequestLog::default();
        let until = cluster.now + 40_000;
        let mut next_fault_at = 0;
        let mut was_serving = [true; 6];
        while cluster.now < until {
            if cluster.now >= next_fault_at {
                // At most two processes at once, so that a majority remains.
                let (a, b) = (cluster.rng.rand_range(0..6) as usize, cluster.rng.rand_range(0..6) as usize);
                let direction = [Direction::Inbound, Direction::Outbound, Direction::Both]
                    [cluster.rng.rand_range(0..3) as usize];
                let duration = cluster.rng.rand_range(200..4_500) as i64;
                let end = (cluster.now + duration).min(until);
                partition(&mut cluster, &[a, b].into(), direction, end);
                if cluster.rng.rand_range(0..3) == 0 {
                    let n = cluster.rng.rand_range(0..6) as usize;
                    cluster.in_flight.retain(|it| it.from != n && it.to != n);
                }
                next_fault_at = cluster.now + duration + cluster.rng.rand_range(50..2_500) as i64;
            }
            if cluster.now % 150 == 0 {
                let n = cluster.rng.rand_range(0..6) as usize;
                log.request(&mut cluster, n);
            }
            for (n, response_time, response) in log.step(&mut cluster) {
                assert!(response_time <= 2_620, "seed {seed}: s{n} answered after {response_time} ms");
                rejected_count +=
                    u32::from(matches!(response, Response::Redirect(_) | Response::Unavailable(_)));
                acknowledged_count += u32::from(response == Response::Done);
            }
            for (n, was_serving) in was_serving.iter_mut().enumerate() {
                let is_serving = replica_state(&cluster, n) == Some(ReplicaState::Serving);
                isolation_count += u32::from(std::mem::replace(was_serving, is_serving) && !is_serving);
            }
        }
        while cluster.serving_count() < 6 {
            log.step(&mut cluster);
            max_recovery = max_recovery.max(cluster.now - until);
            assert!(cluster.now - until <= MAX_RECOVERY_MS, "seed {seed}: not all are serving");
        }
        let acknowledged = log.acknowledged(&cluster, until - 2 * MAX_LATENCY_MS);
        for (n, node) in cluster.nodes.iter().enumerate().filter(|(n, _)| !was_serving[*n]) {
            let held_version = node.version("l");
            assert!(
                held_version >= acknowledged,
                "seed {seed}: s{n} serves again with r{held_version}, r{acknowledged} was acknowledged"
            );
        }
        (0..500).for_each(|_| _ = log.step(&mut cluster));
        assert_all_hold(&cluster, log.acknowledged(&cluster, cluster.now), seed);
    }
    println!(
        "repeated partitions: {isolation_count} isolations, {acknowledged_count} acknowledged, {rejected_count} rejected, \
         recovery within {max_recovery} ms"
    );
    assert!(
        isolation_count > 20 && acknowledged_count > 100 && rejected_count > 20,
        "{isolation_count} {acknowledged_count} {rejected_count}"
    );
}

/// A process that resumes after a freeze is out of contact at once, whatever messages its sockets hold and whatever
/// phase its pending requests had reached.
#[test]
fn a_process_that_was_frozen_answers_nothing_from_before() {
    for seed in 0..seeds().end * 4 {
        let mut cluster = Cluster::new(seed);
        cluster.run(5_000);
        let n = seed as usize % 6;
        let mut log = RequestLog::default();
        // Its requests are in different phases: reading, waiting for promises or acceptances, or for other processes'
        // proposals. Another process gets requests at the same time.
        for _ in 0..8 {
            log.request(&mut cluster, n);
            log.request(&mut cluster, (n + 2) % 6);
            (0..6).for_each(|_| _ = log.step(&mut cluster));
        }
        cluster.frozen_until[n] = cluster.now + 6_000;
        (0..200).for_each(|_| _ = log.step(&mut cluster));
        log.version += 1;
        let version = log.version;
        let request_id = cluster.patch((n + 1) % 6, "l", version, Some(SERVICE));
        (0..399).for_each(|_| _ = log.step(&mut cluster));
        assert_eq!(cluster.responses[&request_id].1, Response::Done, "seed {seed}");
        if seed % 2 == 0 {
            // Its sockets hold only messages that would complete its requests, none that reveals how much time has
            // passed.
            cluster.in_flight.retain(|it| {
                it.to != n
                    || matches!(
                        it.message,
                        Message::AcceptResponse(_) | Message::Commit(_) | Message::Items(_)
                    )
            });
        }
        // The first thing that it handles after it resumes is a request that arrived in the meantime.
        let first_request = cluster.request(n, Request::Get);
        let response = &cluster.responses[&first_request].1;
        assert!(
            matches!(response, Response::Redirect(_) | Response::Unavailable(_)),
            "seed {seed}: {response:?}"
        );
        while log.sent.values().any(|sent| sent.answered_at.is_none())
            || replica_state(&cluster, n) != Some(ReplicaState::Serving)
        {
            log.step(&mut cluster);
            assert!(
                cluster.now <= cluster.frozen_until[n] + MAX_RECOVERY_MS,
                "seed {seed}: the process does not serve again"
            );
            let state_machine = cluster.state_machine(n);
            if state_machine.has_quorum(timestamp(cluster.now))
                && state_machine.replica_state() == ReplicaState::Serving
            {
                let held_version =
                    state_machine.item_store().get(Kind::Service, "l").map(|item| item.version);
                assert!(
                    held_version >= Some(version),
                    "seed {seed}: in contact without an acknowledged change: {held_version:?}"
                );
            }
        }
    }
}

/// Reads from before contact was lost, or from processes that were partitioned too, must not count for a new read
/// quorum.
#[test]
fn a_rejoining_process_reads_everybody_anew() {
    let mut steps_in_contact = 0;
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.run(5_000);
        let forever = i64::MAX;
        // It hears two of the others: with itself that is a read quorum, but not the majority that proves contact.
        [1, 2, 3].into_iter().for_each(|m| _ = cluster.partitions.insert((0, m), forever));
        cluster.run(3_500);
        assert_eq!(replica_state(&cluster, 0), Some(ReplicaState::Isolated), "seed {seed}");
        // Then it hears none. Process 1 is partitioned too, and the remaining four continue.
        (2..6).for_each(|m| _ = cluster.partitions.insert((1, m), forever));
        [4, 5].into_iter().for_each(|m| _ = cluster.partitions.insert((0, m), forever));
        cluster.run(3_000);
        let request_id = cluster.patch(3, "l", 7, Some(SERVICE));
        cluster.run(1_500);
        assert_eq!(cluster.responses[&request_id].1, Response::Done, "seed {seed}");
        // It reconnects to process 1, which missed the change as well, and to two of the four, from which only
        // heartbeats and the like arrive at first: it is in contact, but has not read the acknowledged change.
        [1, 2, 3].into_iter().for_each(|m| _ = cluster.partitions.remove(&(0, m)));
        let reconnected_at = cluster.now;
        while replica_state(&cluster, 0) != Some(ReplicaState::Serving) {
            if cluster.now - reconnected_at < 3_000 {
                let carries_items = |message: &Message| {
                    matches!(
                        message,
                        Message::PrepareResponse(_)
                            | Message::Items(_)
                            | Message::Commit(_)
                            | Message::AcceptRequest(_)
                    )
                };
                cluster.in_flight.retain(|it| it.to != 0 || it.from == 1 || !carries_items(&it.message));
                let state_machine = cluster.state_machine(0);
                steps_in_contact += u64::from(state_machine.has_quorum(timestamp(cluster.now)));
            }
            cluster.step();
            assert_contact_is_accurate(&cluster);
            assert!(
                cluster.now - reconnected_at <= 3_000 + MAX_RECOVERY_MS,
                "seed {seed}: the process does not serve again"
            );
        }
        let held_version = cluster.state_machine(0).item_store().get(Kind::Service, "l").map(|i| i.version);
        assert_eq!(held_version, Some(7), "seed {seed}: serving without the acknowledged change");
    }
    assert!(steps_in_contact > 0, "the process was never in contact before it had read the change");
}

/// An isolated process closes and refuses sessions of gateways that have never caught up, as it can't give them a
/// current configuration. Gateways that have caught up may stay.
#[test]
fn a_gateway_that_never_caught_up_has_no_session_with_an_isolated_process() {
    let mut cluster = Cluster::new(3);
    cluster.run(5_000);
    let hello = |is_caught_up| Hello {
        node_id: format!("g{is_caught_up}"),
        is_serving: is_caught_up,
        ..Hello::default()
    };
    let open_session = |cluster: &mut Cluster, connection: u64, is_caught_up: bool| {
        let now = timestamp(cluster.now);
        cluster.state_machine_mut(2).session_opened(now, connection, hello(is_caught_up));
        cluster.perform_actions(2);
    };
    open_session(&mut cluster, 901, false);
    open_session(&mut cluster, 902, true);
    assert!(cluster.closed_sessions.is_empty());
    let until = cluster.now + PARTITION_MS;
    partition(&mut cluster, &[2].into(), Direction::Both, until);
    let heartbeat = |cluster: &mut Cluster| {
        for connection in [901, 902] {
            let now = timestamp(cluster.now);
            cluster.state_machine_mut(2).session_message(
                now,
                connection,
                Message::Heartbeat(Heartbeat::default()),
            );
        }
    };
    while replica_state(&cluster, 2) == Some(ReplicaState::Serving) {
        heartbeat(&mut cluster);
        cluster.step();
    }
    assert_eq!(cluster.closed_sessions, [901].into());
    open_session(&mut cluster, 903, false);
    open_session(&mut cluster, 904, true);
    assert_eq!(cluster.closed_sessions, [901, 903].into());
}

/// No heartbeat sequence number is used by two incarnations of a process.
#[test]
fn no_two_incarnations_use_one_heartbeat_sequence() {
    let mut cluster = Cluster::new(5);
    let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
    for _ in 0..8 {
        for _ in 0..200 {
            cluster.step();
            for flight in cluster.in_flight.iter().filter(|flight| flight.from == 2) {
                if let Message::Heartbeat(heartbeat) = &flight.message {
                    let first_incarnation =
                        *sequences.entry(heartbeat.sequence).or_insert(flight.incarnation);
                    assert!(
                        first_incarnation == flight.incarnation && heartbeat.sequence != 0,
                        "sequence {} is reused",
                        heartbeat.sequence
                    );
                }
            }
        }
        cluster.kill(2, false, false, 100);
    }
    assert!(sequences.len() > 100 && sequences.values().collect::<BTreeSet<_>>().len() == 8);
}

/// In a partition of three against three no process is in contact, and gateways must not reconnect endlessly.
#[test]
fn gateways_stay_where_all_are_isolated() {
    let (mut max_sessions, mut max_recovery) = (0, 0);
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(7_000);
        let (since, until) = (cluster.now, cluster.now + PARTITION_MS);
        partition(&mut cluster, &[0, 1, 2].into(), Direction::Both, until);
        cluster.run(MAX_ISOLATION_DELAY_MS);
        assert_eq!(cluster.serving_count(), 0, "seed {seed}");
        cluster.add_gateways(1);
        let (before, mut log) = (cluster.connection_count, RequestLog::default());
        let (mut new_gateway_sessions, mut last_connection) = (0, None);
        while cluster.now < until {
            if cluster.now % 500 == 0 {
                let n = cluster.rng.rand_range(0..6) as usize;
                log.request(&mut cluster, n);
            }
            for (n, response_time, response) in log.step(&mut cluster) {
                assert!(
                    response_time == 0 && matches!(response, Response::Unavailable(_)),
                    "seed {seed}: s{n} {response:?} {response_time}"
                );
            }
            let connection = cluster.gateways[12].newest_connection();
            new_gateway_sessions += u64::from(
                connection.is_some() && connection != std::mem::replace(&mut last_connection, connection),
            );
            assert!(
                !cluster.gateways[12].session.is_caught_up(),
                "seed {seed}: a new gateway got its configuration from an isolated process"
            );
            let lookups = cluster.nodes.iter().filter_map(|n| n.state_machine.as_ref());
            let lookups =
                lookups.filter(|state_machine| state_machine.can_look_up(timestamp(cluster.now))).count();
            assert!(
                lookups == 0 || cluster.now - since <= MAX_LOOK_UP_MS,
                "seed {seed}: {lookups} answer look-ups"
            );
        }
        // A gateway tries each control process once, and again after 10 s, 20 s and so on. The new gateway is not
        // counted: it is refused everywhere and keeps trying.
        let sessions = (cluster.connection_count - before - new_gateway_sessions) / 12;
        max_sessions = max_sessions.max(sessions);
        assert!(sessions <= 6 * 2, "seed {seed}: {sessions} sessions for each gateway");
        while cluster.serving_count() < 6 {
            cluster.step();
            max_recovery = max_recovery.max(cluster.now - until);
            assert!(cluster.now - until <= MAX_RECOVERY_MS, "seed {seed}: not all are serving");
        }
        cluster.run(3_000);
        assert!(cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()), "seed {seed}");
    }
    println!(
        "three against three: {max_sessions} sessions for each gateway in 18 s, recovery within {max_recovery} ms"
    );
}
