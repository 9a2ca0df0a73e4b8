//! Contact before serving, on six simulated processes: a process that a majority has not heard lately hands nothing out as
//! current, redirects its callers at once, and comes back with all that was acknowledged; gateways move to processes that
//! are in contact. Times are milliseconds, and hold for every seed.

mod cluster;

use cluster::{at, Cluster};
use kitepass_config::Kind;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::ReplicaState;
use kitepass_coordination::protocol::{Heartbeat, Hello, Message};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;
/// Seeds of each case; `KITEPASS_SEEDS` sets more for a long run.
const SEEDS: u64 = 10;
const PARTITION_MS: i64 = 20_000;
/// A process in contact has proof, no older than this, that a majority heard it.
const CONTACT_BOUND: i64 = 2_000;
/// From the beginning of a partition until a process is out of contact: that, and one tick.
const ISOLATION_BOUND: i64 = CONTACT_BOUND + 110;
/// No message takes longer.
const MAX_LATENCY: i64 = 120;
/// From the beginning of a partition until it answers no look-up.
const LOOK_UP_BOUND: i64 = 4_000;
/// From the end of a partition until all take requests again: each is connected, heard, and read.
const RECOVERY_BOUND: i64 = 1_500;
/// A process that callers are redirected to was heard within this time.
const HEARD_BOUND: i64 = 1_500;
/// A request to one of the majority succeeds within this time, and if a proposal has to be resolved first.
const RESPONSE_BOUND: i64 = 1_000;
const BLOCKED_RESPONSE_BOUND: i64 = 2_500;
/// From the beginning of a partition until no gateway that reaches a process in contact stays with one that is not, and for
/// how long it tries each of those after that.
const MOVE_BOUND: i64 = 4_100;
const STAY_BOUND: i64 = 250;

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("KITEPASS_SEEDS").ok().and_then(|text| text.parse().ok());
    0..given.unwrap_or(SEEDS)
}

fn replica_state(cluster: &Cluster, n: usize) -> Option<ReplicaState> {
    cluster.nodes[n].state_machine.as_ref().map(|state_machine| state_machine.replica_state())
}

fn address(n: usize) -> String {
    format!("10.0.0.{n}")
}

/// Whether a majority did hear a process, no longer ago than it may be.
fn is_heard(cluster: &Cluster, n: usize) -> bool {
    let since = cluster.now - CONTACT_BOUND;
    let heard = (0..6).filter(|m| cluster.reached.get(&(n, *m)).is_some_and(|sent| *sent >= since)).count();
    heard + 1 >= 4
}

/// A process that takes itself to be in contact was heard by a majority, by the messages that did come through.
fn assert_contact_is_true(cluster: &Cluster) {
    for (n, node) in cluster.nodes.iter().enumerate() {
        let Some(state_machine) =
            node.state_machine.as_ref().filter(|state_machine| state_machine.has_quorum(at(cluster.now)))
        else {
            continue;
        };
        assert!(
            is_heard(cluster, n),
            "s{n} is wrong about its contact at {}: {:?}",
            cluster.now,
            state_machine.replica_state()
        );
    }
}

/// A request: to whom, when, and with which version if it is a change.
struct SentRequest {
    n: usize,
    since: i64,
    answered: Option<i64>,
    version: u64,
}

#[derive(Default)]
struct RequestLog {
    sent: BTreeMap<u64, SentRequest>,
    version: u64,
}

impl RequestLog {
    /// Sends a change or a read, by turns.
    fn request(&mut self, cluster: &mut Cluster, n: usize) {
        self.version += 1;
        let version = if self.version.is_multiple_of(3) { 0 } else { self.version };
        let request_id = match version {
            0 => cluster.request(n, Request::Get),
            version => cluster.patch(n, "l", version, Some(SERVICE)),
        };
        self.sent.insert(request_id, SentRequest { n, since: cluster.now, answered: None, version });
    }

    /// A step of the cluster; gives the answers that came.
    fn step(&mut self, cluster: &mut Cluster) -> Vec<(usize, i64, Response)> {
        let mut news = self.note(cluster);
        cluster.step();
        assert_contact_is_true(cluster);
        news.extend(self.note(cluster));
        news
    }

    fn note(&mut self, cluster: &Cluster) -> Vec<(usize, i64, Response)> {
        let mut news = Vec::new();
        for (request_id, sent) in self.sent.iter_mut().filter(|(_, sent)| sent.answered.is_none()) {
            if let Some((_, response)) = cluster.responses.get(request_id) {
                sent.answered = Some(cluster.now);
                match response {
                    Response::Redirect(to) => {
                        let heard =
                            (0..6).filter(|m| address(*m) == *to).map(|m| cluster.heard[&(m, sent.n)]).max();
                        assert!(
                            heard >= Some(cluster.now - HEARD_BOUND),
                            "s{} sends to {to}, {heard:?}",
                            sent.n
                        );
                    }
                    Response::Unavailable(_) => {}
                    // A process out of contact hands nothing out as current.
                    _ => {
                        assert!(
                            is_heard(cluster, sent.n),
                            "s{} answers at {}: {response:?}",
                            sent.n,
                            cluster.now
                        )
                    }
                }
                news.push((sent.n, cluster.now - sent.since, response.clone()));
            }
        }
        news
    }

    /// The newest version that was acknowledged to a caller by some time.
    fn acknowledged(&self, cluster: &Cluster, by: i64) -> u64 {
        let done = |request_id: &u64| {
            cluster.responses.get(request_id).is_some_and(|(_, response)| *response == Response::Done)
        };
        let by = |sent: &SentRequest| sent.answered.is_some_and(|answered| answered <= by);
        let done = self.sent.iter().filter(|(request_id, sent)| done(request_id) && by(sent));
        done.map(|(_, sent)| sent.version).max().unwrap_or(0)
    }
}

/// Every process and every gateway knows this version.
fn assert_all_know(cluster: &Cluster, acknowledged: u64, seed: u64) {
    for (n, node) in cluster.nodes.iter().enumerate() {
        let known = node.version("l");
        assert!(known >= acknowledged, "seed {seed}: s{n} has r{known}, r{acknowledged} was acknowledged");
    }
    for (n, gateway) in cluster.gateways.iter().enumerate() {
        let known = gateway.session.item_store.get(Kind::Service, "l").map_or(0, |item| item.version);
        assert!(known >= acknowledged, "seed {seed}: g{n} has r{known}, r{acknowledged} was acknowledged");
    }
}

fn lease_holder(cluster: &Cluster) -> usize {
    let holds = |n: &usize| {
        cluster.nodes[*n].state_machine.as_ref().is_some_and(|c| c.lease_term(at(cluster.now)).is_some())
    };
    (0..6).find(holds).expect("somebody does the duty")
}

/// How a side is partitioned from the others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    /// It hears nobody.
    Inbound,
    /// Nobody hears it.
    Outbound,
    Both,
    /// As both, but with three others alone: it hears two, and they hear it.
    Partial,
}

fn partition(cluster: &mut Cluster, side: &BTreeSet<usize>, direction: Direction, until: i64) {
    let others = if direction == Direction::Partial { 3 } else { 6 };
    for inner in side {
        for outer in (0..6).filter(|n| !side.contains(n)).take(others) {
            if direction != Direction::Outbound {
                cluster.one_way_partitions.insert((outer, *inner), until);
            }
            if direction != Direction::Inbound {
                cluster.one_way_partitions.insert((*inner, outer), until);
            }
        }
    }
}

/// Whom a case partitions.
#[derive(Clone, Copy, Debug)]
enum Target {
    One(usize),
    Coordinator,
    Zones(usize, usize),
    CoordinatorAnd(usize),
}

fn side(cluster: &Cluster, target: Target) -> BTreeSet<usize> {
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
    // Measured over all seeds: the latest isolation, look-up, recovery and move of a gateway, and the longest waits.
    let (mut isolated, mut looked, mut back_most, mut over, mut waited) = (0, 0, 0, 0, 0);
    let (mut redirects, mut nowhere, mut done, mut looks, mut others) = (0, 0, 0, 0, 0);
    // What a partly partitioned process had accepted by the others is resolved before what meets it.
    let answered = if direction == Direction::Partial { BLOCKED_RESPONSE_BOUND } else { RESPONSE_BOUND };
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(7_000 + seed as i64 * 137);
        assert_eq!(cluster.serving_count(), 6, "seed {seed}");
        let side = side(&cluster, target);
        let (since, until) = (cluster.now, cluster.now + PARTITION_MS);
        partition(&mut cluster, &side, direction, until);
        // Two gateways are cut off with the side: they reach nobody else.
        for gateway in side.iter().map(|n| n % 6) {
            (0..6)
                .filter(|n| !side.contains(n))
                .for_each(|n| _ = cluster.gateway_partitions.insert((gateway, n), until));
        }
        let mut log = RequestLog::default();
        // When each gateway was last seen with nobody of the side.
        let (mut newcomer, mut astray) = (None, BTreeMap::new());
        while cluster.now < until {
            if cluster.now % 150 == 0 {
                let n = cluster.random.rand_range(0..6) as usize;
                log.request(&mut cluster, n);
                let n = *side.iter().nth(cluster.random.rand_range(0..side.len() as u64) as usize).unwrap();
                log.request(&mut cluster, n);
            }
            if newcomer.is_none() && cluster.now >= since + 3_000 {
                // A gateway that starts now and reaches the side alone.
                newcomer = Some(cluster.gateways.len());
                cluster.add_gateways(1);
                let gateway = cluster.gateways.len() - 1;
                (0..6)
                    .filter(|n| !side.contains(n))
                    .for_each(|n| _ = cluster.gateway_partitions.insert((gateway, n), until));
            }
            let responses = log.step(&mut cluster);
            let age = cluster.now - since;
            for n in &side {
                let state_machine = cluster.state_machine(*n);
                if state_machine.replica_state() == ReplicaState::Serving {
                    isolated = isolated.max(age);
                    assert!(age <= ISOLATION_BOUND, "seed {seed}: s{n} is still serving after {age}");
                }
                if state_machine.can_look_up(at(cluster.now)) {
                    looked = looked.max(age);
                    assert!(age <= LOOK_UP_BOUND, "seed {seed}: s{n} answers look-ups after {age}");
                }
            }
            for (n, after, response) in responses {
                if !side.contains(&n) {
                    // Where another becomes coordinator nothing waits for it: the majority answers all the while.
                    assert!(
                        matches!(response, Response::Done | Response::Configuration(_)),
                        "seed {seed}: s{n} {response:?}"
                    );
                    others = others.max(after);
                    assert!(after <= answered, "seed {seed}: s{n} answered after {after}");
                    continue;
                }
                waited = waited.max(after);
                assert!(after <= ISOLATION_BOUND, "seed {seed}: s{n} answered after {after}");
                match response {
                    Response::Redirect(to) => {
                        redirects += 1;
                        let there = (0..6).find(|n| address(*n) == to).expect("a control process");
                        // The other of two that are partitioned may have said that it serves a moment ago.
                        let right = match side.contains(&there) {
                            true => age <= ISOLATION_BOUND + MAX_LATENCY,
                            false => replica_state(&cluster, there) == Some(ReplicaState::Serving),
                        };
                        assert!(right, "seed {seed}: s{n} sends to {to} after {age}");
                    }
                    Response::Unavailable(_) => nowhere += 1,
                    _ => assert!(
                        age <= CONTACT_BOUND,
                        "seed {seed}: s{n} says {response:?} {age} after the partition"
                    ),
                }
                // Once it is out of contact, it answers at once.
                assert!(
                    age - after <= ISOLATION_BOUND || after == 0,
                    "seed {seed}: s{n} answered after {after}"
                );
            }
            for (gateway, g) in cluster.gateways.iter().enumerate() {
                let reaches = !cluster.gateway_partitions.keys().any(|(cut, _)| *cut == gateway);
                if !reaches || g.node().is_none_or(|node| !side.contains(&node)) {
                    astray.insert(gateway, cluster.now);
                    continue;
                }
                let long = cluster.now - astray.get(&gateway).copied().unwrap_or(since);
                let look = STAY_BOUND * side.len() as i64;
                if age > MOVE_BOUND {
                    looks = looks.max(long);
                    assert!(long <= look, "seed {seed}: g{gateway} is with one out of contact after {age}");
                } else if long > look {
                    over = over.max(age);
                }
            }
            if let Some(newcomer) = newcomer.map(|gateway| &cluster.gateways[gateway]) {
                assert!(
                    !newcomer.session.is_caught_up(),
                    "seed {seed}: a first configuration from an isolated process"
                );
            }
        }
        while cluster.serving_count() < 6 {
            log.step(&mut cluster);
            let back = cluster.now - until;
            back_most = back_most.max(back);
            assert!(back <= RECOVERY_BOUND, "seed {seed}: not all are back after {back}");
        }
        // Answers to its reads, and the message that a change is committed, may be in flight when the partition ends.
        let acknowledged = log.acknowledged(&cluster, until - 2 * MAX_LATENCY);
        done += acknowledged;
        for n in &side {
            let known = cluster.state_machine(*n).item_store().get(Kind::Service, "l");
            let known = known.map_or(0, |item| item.version);
            assert!(
                known >= acknowledged,
                "seed {seed}: s{n} came back with r{known}, r{acknowledged} was acknowledged"
            );
        }
        (0..500).for_each(|_| _ = log.step(&mut cluster));
        assert_all_know(&cluster, log.acknowledged(&cluster, cluster.now), seed);
    }
    println!(
        "{target:?} {direction:?}: isolated {isolated}, look-ups until {looked}, back {back_most}, gateways over {over}, looks in \
         for {looks}, waited {waited}, others {others}, redirects {redirects}, nowhere {nowhere}"
    );
    assert!(done > 0 && nowhere + redirects > 0);
    assert!(match direction {
        Direction::Partial => nowhere == 0,
        // It hears who is in contact, though the others, who do not hear it, speak to it only now and then.
        Direction::Outbound => redirects > nowhere * 3,
        // It soon knows of nobody.
        Direction::Inbound | Direction::Both => nowhere > redirects * 3,
    });
}

/// Partitions come and go, shorter and longer than the bounds, and connections are reset: nobody is ever wrong about its
/// contact, no acknowledged change is lost, no request waits longer than it may.
#[test]
fn partitions_that_come_and_go() {
    let (mut done, mut turned, mut isolated, mut back_most) = (0, 0, 0, 0);
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(7_000);
        let mut log = RequestLog::default();
        let until = cluster.now + 40_000;
        let mut next = 0;
        let mut was = [true; 6];
        while cluster.now < until {
            if cluster.now >= next {
                // Up to two at once, so that a majority is left.
                let (a, b) =
                    (cluster.random.rand_range(0..6) as usize, cluster.random.rand_range(0..6) as usize);
                let direction = [Direction::Inbound, Direction::Outbound, Direction::Both]
                    [cluster.random.rand_range(0..3) as usize];
                let long = cluster.random.rand_range(200..4_500) as i64;
                let end = (cluster.now + long).min(until);
                partition(&mut cluster, &[a, b].into(), direction, end);
                if cluster.random.rand_range(0..3) == 0 {
                    let n = cluster.random.rand_range(0..6) as usize;
                    cluster.in_flight.retain(|it| it.from != n && it.to != n);
                }
                next = cluster.now + long + cluster.random.rand_range(50..2_500) as i64;
            }
            if cluster.now % 150 == 0 {
                let n = cluster.random.rand_range(0..6) as usize;
                log.request(&mut cluster, n);
            }
            for (n, after, response) in log.step(&mut cluster) {
                assert!(after <= 2_620, "seed {seed}: s{n} answered after {after}");
                turned += u32::from(matches!(response, Response::Redirect(_) | Response::Unavailable(_)));
                done += u32::from(response == Response::Done);
            }
            for (n, was) in was.iter_mut().enumerate() {
                let is = replica_state(&cluster, n) == Some(ReplicaState::Serving);
                isolated += u32::from(std::mem::replace(was, is) && !is);
            }
        }
        while cluster.serving_count() < 6 {
            log.step(&mut cluster);
            back_most = back_most.max(cluster.now - until);
            assert!(cluster.now - until <= RECOVERY_BOUND, "seed {seed}: not all are back");
        }
        let acknowledged = log.acknowledged(&cluster, until - 2 * MAX_LATENCY);
        for (n, node) in cluster.nodes.iter().enumerate().filter(|(n, _)| !was[*n]) {
            let known = node.version("l");
            assert!(
                known >= acknowledged,
                "seed {seed}: s{n} came back with r{known}, r{acknowledged} was acknowledged"
            );
        }
        (0..500).for_each(|_| _ = log.step(&mut cluster));
        assert_all_know(&cluster, log.acknowledged(&cluster, cluster.now), seed);
    }
    println!(
        "partitions that come and go: isolated {isolated} times, {done} done, {turned} rejected, back {back_most}"
    );
    assert!(isolated > 20 && done > 100 && turned > 20, "{isolated} {done} {turned}");
}

/// A process that was frozen is out of contact the moment it goes on, whatever is in its sockets and however far its requests
/// had come.
#[test]
fn a_process_that_was_frozen_answers_nothing_from_before() {
    for seed in 0..seeds().end * 4 {
        let mut cluster = Cluster::new(seed);
        cluster.run(5_000);
        let n = seed as usize % 6;
        let mut log = RequestLog::default();
        // It reads, waits for promises, acceptances and others' proposals; another process is asked meanwhile.
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
            // In its sockets is what would answer its requests, and nothing that tells it how late it is.
            cluster.in_flight.retain(|it| {
                it.to != n
                    || matches!(
                        it.message,
                        Message::AcceptResponse(_) | Message::Commit(_) | Message::Items(_)
                    )
            });
        }
        // The first that it does is to take a request that has come meanwhile.
        let first = cluster.request(n, Request::Get);
        let response = &cluster.responses[&first].1;
        assert!(
            matches!(response, Response::Redirect(_) | Response::Unavailable(_)),
            "seed {seed}: {response:?}"
        );
        while log.sent.values().any(|sent| sent.answered.is_none())
            || replica_state(&cluster, n) != Some(ReplicaState::Serving)
        {
            log.step(&mut cluster);
            assert!(
                cluster.now <= cluster.frozen_until[n] + RECOVERY_BOUND,
                "seed {seed}: it does not come back"
            );
            let state_machine = cluster.state_machine(n);
            if state_machine.has_quorum(at(cluster.now))
                && state_machine.replica_state() == ReplicaState::Serving
            {
                let known = state_machine.item_store().get(Kind::Service, "l").map(|item| item.version);
                assert!(
                    known >= Some(version),
                    "seed {seed}: in contact without what was acknowledged: {known:?}"
                );
            }
        }
    }
}

/// What was read before contact was lost, or from processes that were partitioned alike, is no part of a new read quorum.
#[test]
fn a_rejoining_process_reads_everybody_anew() {
    let mut in_contact = 0;
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.run(5_000);
        let far = i64::MAX;
        // It hears two of six, which are a read quorum with it, but no majority that proves contact.
        [1, 2, 3].into_iter().for_each(|m| _ = cluster.partitions.insert((0, m), far));
        cluster.run(3_500);
        assert_eq!(replica_state(&cluster, 0), Some(ReplicaState::Isolated), "seed {seed}");
        // Then nobody; another is partitioned alike, and the four that are left go on.
        (2..6).for_each(|m| _ = cluster.partitions.insert((1, m), far));
        [4, 5].into_iter().for_each(|m| _ = cluster.partitions.insert((0, m), far));
        cluster.run(3_000);
        let request_id = cluster.patch(3, "l", 7, Some(SERVICE));
        cluster.run(1_500);
        assert_eq!(cluster.responses[&request_id].1, Response::Done, "seed {seed}");
        // It finds the one that knows no more than itself, and two of the four, of whom at first only heartbeats come through:
        // it is in contact, and has read nothing of what was acknowledged.
        [1, 2, 3].into_iter().for_each(|m| _ = cluster.partitions.remove(&(0, m)));
        let joined = cluster.now;
        while replica_state(&cluster, 0) != Some(ReplicaState::Serving) {
            if cluster.now - joined < 3_000 {
                let news = |message: &Message| {
                    matches!(
                        message,
                        Message::PrepareResponse(_)
                            | Message::Items(_)
                            | Message::Commit(_)
                            | Message::AcceptRequest(_)
                    )
                };
                cluster.in_flight.retain(|it| it.to != 0 || it.from == 1 || !news(&it.message));
                let state_machine = cluster.state_machine(0);
                in_contact += u64::from(state_machine.has_quorum(at(cluster.now)));
            }
            cluster.step();
            assert_contact_is_true(&cluster);
            assert!(cluster.now - joined <= 3_000 + RECOVERY_BOUND, "seed {seed}: it does not come back");
        }
        let known = cluster.state_machine(0).item_store().get(Kind::Service, "l").map(|i| i.version);
        assert_eq!(known, Some(7), "seed {seed}: serving without what was acknowledged");
    }
    assert!(in_contact > 0, "it came into contact with nothing read");
}

/// A gateway that has never caught up is told nothing by an isolated process: its session is closed, and none is opened. One
/// that has caught up stays.
#[test]
fn a_gateway_that_never_caught_up_has_no_session_with_an_isolated_process() {
    let mut cluster = Cluster::new(3);
    cluster.run(5_000);
    let hello = |current| Hello { node_id: format!("g{current}"), is_serving: current, ..Hello::default() };
    let come = |cluster: &mut Cluster, connection: u64, current: bool| {
        let now = at(cluster.now);
        cluster.state_machine_mut(2).session_opened(now, connection, hello(current));
        cluster.carry_out(2);
    };
    come(&mut cluster, 901, false);
    come(&mut cluster, 902, true);
    assert!(cluster.closed.is_empty());
    let until = cluster.now + PARTITION_MS;
    partition(&mut cluster, &[2].into(), Direction::Both, until);
    let heartbeat = |cluster: &mut Cluster| {
        for connection in [901, 902] {
            let now = at(cluster.now);
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
    assert_eq!(cluster.closed, [901].into());
    come(&mut cluster, 903, false);
    come(&mut cluster, 904, true);
    assert_eq!(cluster.closed, [901, 903].into());
}

/// Heartbeat sequences are never used again by another incarnation of a process.
#[test]
fn no_two_incarnations_use_one_heartbeat_sequence() {
    let mut cluster = Cluster::new(5);
    let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
    for _ in 0..8 {
        for _ in 0..200 {
            cluster.step();
            for flight in cluster.in_flight.iter().filter(|flight| flight.from == 2) {
                if let Message::Heartbeat(heartbeat) = &flight.message {
                    let first = *sequences.entry(heartbeat.sequence).or_insert(flight.incarnation);
                    assert!(
                        first == flight.incarnation && heartbeat.sequence != 0,
                        "{} again",
                        heartbeat.sequence
                    );
                }
            }
        }
        cluster.kill(2, false, false, 100);
    }
    assert!(sequences.len() > 100 && sequences.values().collect::<BTreeSet<_>>().len() == 8);
}

/// Three against three: nobody is in contact, and gateways do not move between them without end.
#[test]
fn gateways_stay_where_all_are_isolated() {
    let (mut opened_most, mut back_most) = (0, 0);
    for seed in seeds() {
        let mut cluster = Cluster::new(seed);
        cluster.add_gateways(12);
        cluster.run(7_000);
        let (since, until) = (cluster.now, cluster.now + PARTITION_MS);
        partition(&mut cluster, &[0, 1, 2].into(), Direction::Both, until);
        cluster.run(ISOLATION_BOUND);
        assert_eq!(cluster.serving_count(), 0, "seed {seed}");
        cluster.add_gateways(1);
        let (before, mut log) = (cluster.connection_count, RequestLog::default());
        let (mut newcomer, mut at_last) = (0, None);
        while cluster.now < until {
            if cluster.now % 500 == 0 {
                let n = cluster.random.rand_range(0..6) as usize;
                log.request(&mut cluster, n);
            }
            for (n, after, response) in log.step(&mut cluster) {
                assert!(
                    after == 0 && matches!(response, Response::Unavailable(_)),
                    "seed {seed}: s{n} {response:?} {after}"
                );
            }
            let now_at = cluster.gateways[12].newest_connection();
            newcomer += u64::from(now_at.is_some() && now_at != std::mem::replace(&mut at_last, now_at));
            assert!(
                !cluster.gateways[12].session.is_caught_up(),
                "seed {seed}: a first configuration from an isolated process"
            );
            let lookups = cluster.nodes.iter().filter_map(|n| n.state_machine.as_ref());
            let lookups = lookups.filter(|state_machine| state_machine.can_look_up(at(cluster.now))).count();
            assert!(
                lookups == 0 || cluster.now - since <= LOOK_UP_BOUND,
                "seed {seed}: {lookups} answer look-ups"
            );
        }
        // Each control process is visited once, and again 10 s later, 20 s later and so on. The newcomer, which may not
        // stay anywhere, asks on.
        let opened = (cluster.connection_count - before - newcomer) / 12;
        opened_most = opened_most.max(opened);
        assert!(opened <= 6 * 2, "seed {seed}: {opened} sessions a gateway");
        while cluster.serving_count() < 6 {
            cluster.step();
            back_most = back_most.max(cluster.now - until);
            assert!(cluster.now - until <= RECOVERY_BOUND, "seed {seed}: not all are back");
        }
        cluster.run(3_000);
        assert!(cluster.gateways.iter().all(|gateway| gateway.session.is_caught_up()), "seed {seed}");
    }
    println!("three against three: {opened_most} sessions a gateway in 18 s, back {back_most}");
}
