//! Six control processes, and gateways' true control sessions, on a network and disks in memory, all by seed: messages
//! are late or lost, sides are partitioned, processes are killed or frozen, and a loss of power takes what was not synced.
//!
//! Times are milliseconds since the beginning; processes are named by their numbers, 0 to 5.
#![allow(dead_code)] // each test file uses its part

pub(crate) mod gateways;

pub(crate) use gateways::Gateway;
use gateways::SessionMessage;
use kitepass_config::{Item, Kind};
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{Action, ReplicaState, StartParameters, StateMachine};
use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::{encode_message, ItemMessage, Items, Message};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
/// Connections are made again this often.
const RECONNECT_INTERVAL: i64 = 400;
/// A state machine ticks this often.
const TICK: i64 = 100;
/// What a message waits longer for a receiver that is frozen.
const SOCKET_DELAY: i64 = 50;

type Records = Vec<(Vec<u8>, Vec<u8>)>;

/// A message on its way between two control processes.
pub(crate) struct InFlight {
    pub(crate) due_at: i64,
    pub(crate) from: usize,
    pub(crate) to: usize,
    /// The sender's incarnation.
    pub(crate) incarnation: u64,
    pub(crate) message: Message,
    pub(crate) sent_at: i64,
}

/// Records on their way to a disk.
pub(crate) struct Sync {
    due_at: i64,
    request_id: u64,
    pub(crate) records: Records,
}

/// A control process, and its machine while it does not run.
pub(crate) struct Node {
    pub(crate) replica: Replica,
    pub(crate) state_machine: Option<StateMachine>,
    pub(crate) incarnation: u64,
    pub(crate) disk: BTreeMap<Vec<u8>, Vec<u8>>,
    pub(crate) syncing: Vec<Sync>,
    pub(crate) restarts_at: i64,
    /// Its last end was a loss of power.
    pub(crate) lost_power: bool,
}

impl Node {
    /// The version of a service that it knows, or 0. It must run.
    pub(crate) fn version(&self, service: &str) -> u64 {
        let state_machine = self.state_machine.as_ref().expect("it runs");
        state_machine.item_store().get(Kind::Service, service).map_or(0, |item| item.version)
    }
}

pub(crate) struct Cluster {
    pub(crate) now: i64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) in_flight: Vec<InFlight>,
    /// Pairs that hear nothing of each other, until a time.
    pub(crate) partitions: BTreeMap<(usize, usize), i64>,
    /// From one to another nothing comes through, until a time.
    pub(crate) one_way_partitions: BTreeMap<(usize, usize), i64>,
    /// Gateways that don't reach a process, until a time.
    pub(crate) gateway_partitions: BTreeMap<(usize, usize), i64>,
    /// When the newest message that came from one to another was sent.
    pub(crate) reached: BTreeMap<(usize, usize), i64>,
    /// When one was heard by another last.
    pub(crate) heard: BTreeMap<(usize, usize), i64>,
    /// Sessions that control processes have closed.
    pub(crate) closed: BTreeSet<u64>,
    pub(crate) random: oorandom::Rand64,
    /// Answers by request, and who answered.
    pub(crate) responses: BTreeMap<u64, (usize, Response)>,
    pub(crate) request_count: u64,
    pub(crate) loss_percent: u64,
    pub(crate) gateways: Vec<Gateway>,
    session_messages: Vec<SessionMessage>,
    /// Processes that are frozen, until a time.
    pub(crate) frozen_until: [i64; 6],
    /// What each sync of a disk takes more.
    pub(crate) disk_delay: [i64; 6],
    /// Bytes that a connection to a control process carries in a millisecond, if that is bounded, and four times as many to
    /// the first; heartbeats go past what waits, as the server has them do.
    pub(crate) rate: Option<i64>,
    /// The age at which tombstones are forgotten, if it is not the usual one.
    pub(crate) tombstone_age: Option<i64>,
    /// Connections of gateways that were opened so far.
    pub(crate) connection_count: u64,
}

/// As the store does: an empty value removes a record.
fn write(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: Records) {
    for (key, value) in records {
        if value.is_empty() {
            disk.remove(&key);
        } else {
            disk.insert(key, value);
        }
    }
}

pub(crate) fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn new_node(n: usize, zone: &str) -> Node {
    Node {
        replica: Replica {
            node_id: format!("s{n}"),
            address: format!("10.0.0.{n}"),
            zone: zone.to_string(),
            region: zone[..1].to_owned(),
            replica_id: 0,
        },
        state_machine: None,
        incarnation: 0,
        disk: BTreeMap::new(),
        syncing: Vec::new(),
        restarts_at: 0,
        lost_power: false,
    }
}

impl Cluster {
    pub(crate) fn new(seed: u64) -> Cluster {
        let zones = ["a1", "a2", "b1", "b2", "c1", "c2"];
        let mut cluster = Cluster {
            now: 0,
            nodes: zones.iter().enumerate().map(|(n, zone)| new_node(n, zone)).collect(),
            in_flight: Vec::new(),
            partitions: BTreeMap::new(),
            one_way_partitions: BTreeMap::new(),
            gateway_partitions: BTreeMap::new(),
            reached: BTreeMap::new(),
            heard: BTreeMap::new(),
            closed: BTreeSet::new(),
            random: oorandom::Rand64::new(u128::from(seed)),
            responses: BTreeMap::new(),
            request_count: 0,
            loss_percent: 0,
            gateways: Vec::new(),
            session_messages: Vec::new(),
            frozen_until: [0; 6],
            disk_delay: [0; 6],
            rate: None,
            tombstone_age: None,
            connection_count: 0,
        };
        (0..6).for_each(|n| cluster.start(n, true));
        cluster
    }

    /// The state machine of a process that runs.
    pub(crate) fn state_machine(&self, n: usize) -> &StateMachine {
        self.nodes[n].state_machine.as_ref().expect("it runs")
    }

    /// As [`Cluster::state_machine`].
    pub(crate) fn state_machine_mut(&mut self, n: usize) -> &mut StateMachine {
        self.nodes[n].state_machine.as_mut().expect("it runs")
    }

    fn is_running(&self, n: usize) -> bool {
        self.nodes[n].state_machine.is_some() && self.frozen_until[n] <= self.now
    }

    pub(crate) fn start(&mut self, n: usize, is_first_start: bool) {
        let node = &mut self.nodes[n];
        node.incarnation = self.random.rand_u64();
        let start = StartParameters {
            replica: node.replica.clone(),
            incarnation: node.incarnation,
            is_first_start,
            is_bootstrap_node: n == 0,
            records: node.disk.clone().into_iter().collect(),
            tolerance: TOLERANCE,
        };
        let mut state_machine = StateMachine::new(at(self.now), start);
        if let Some(age) = self.tombstone_age {
            state_machine.set_tombstone_retention(Duration::from_micros(age * 1000));
        }
        node.state_machine = Some(state_machine);
    }

    /// Tombstones are forgotten at this age; gateways may be without a session for half of it.
    pub(crate) fn set_tombstone_retention(&mut self, age: i64) {
        self.tombstone_age = Some(age);
        let duration = Duration::from_micros(age * 1000);
        let state_machines = self.nodes.iter_mut().filter_map(|node| node.state_machine.as_mut());
        state_machines.for_each(|state_machine| state_machine.set_tombstone_retention(duration));
        self.set_gateways_alone(Duration::from_micros(age * 500));
    }

    /// A process is killed; with a loss of power it also loses what was not synced. It restarts after so long.
    pub(crate) fn kill(&mut self, n: usize, loses_power: bool, wipes_disk: bool, restarts_after: i64) {
        for sync in std::mem::take(&mut self.nodes[n].syncing) {
            // Of what was written and not synced anything may be there after a loss of power, in any part.
            if !loses_power || self.random.rand_range(0..2) == 0 {
                write(&mut self.nodes[n].disk, sync.records);
            }
        }
        let node = &mut self.nodes[n];
        node.state_machine = None;
        node.lost_power = loses_power;
        node.restarts_at = self.now + restarts_after;
        if wipes_disk {
            node.disk.clear();
        }
    }

    /// Whether nothing comes through from one to another.
    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        let pair = self.partitions.get(&(from.min(to), from.max(to)));
        [pair, self.one_way_partitions.get(&(from, to))].into_iter().flatten().any(|until| *until > self.now)
    }

    /// Ten milliseconds pass.
    pub(crate) fn step(&mut self) {
        self.now += 10;
        for n in 0..6 {
            if self.nodes[n].state_machine.is_none() && self.now >= self.nodes[n].restarts_at {
                self.start(n, false);
            }
        }
        if self.now % RECONNECT_INTERVAL == 0 {
            self.reconnect();
        }
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |it| it.due_at <= now).collect();
        due.into_iter().for_each(|message| self.deliver(message));
        (0..6).for_each(|n| self.step_node(n));
        self.step_sessions();
        let is_holder =
            |node: &&Node| node.state_machine.as_ref().is_some_and(|it| it.lease_term(at(now)).is_some());
        let holders = self.nodes.iter().filter(is_holder).count();
        assert!(holders <= 1, "{holders} hold the lease at {now}");
    }

    /// Whoever is not connected to another says hello again.
    fn reconnect(&mut self) {
        for from in 0..6 {
            for to in 0..6 {
                let Some(hello) = self.nodes[from].state_machine.as_ref().map(StateMachine::hello) else {
                    continue;
                };
                let is_cut = self.is_cut(from, to);
                let receiver = self.nodes[to].state_machine.as_mut().filter(|_| from != to && !is_cut);
                let Some(receiver) = receiver else { continue };
                if !receiver.knows_incarnation(&hello.node_id, hello.incarnation) {
                    self.heard.insert((from, to), self.now);
                    receiver.peer_connected(at(self.now), &hello);
                }
            }
        }
    }

    fn deliver(&mut self, it: InFlight) {
        if self.frozen_until[it.to] > self.now {
            return self.in_flight.push(InFlight { due_at: it.due_at + SOCKET_DELAY, ..it });
        }
        // What a process had sent before it was killed still arrives; after a loss of power it does not.
        let sender = &self.nodes[it.from];
        if self.is_cut(it.from, it.to) || sender.incarnation != it.incarnation && sender.lost_power {
            return;
        }
        let node_id = sender.replica.node_id.clone();
        // The receiver's connection is of one incarnation: once another has said hello, the earlier one's messages are lost.
        let receiver = self.nodes[it.to].state_machine.as_mut();
        if let Some(receiver) = receiver.filter(|to| to.knows_incarnation(&node_id, it.incarnation)) {
            self.reached.insert((it.from, it.to), it.sent_at);
            self.heard.insert((it.from, it.to), self.now);
            receiver.peer_message(at(self.now), &node_id, it.message);
        }
    }

    /// Syncs what is due, ticks, and carries out what the process wants done.
    fn step_node(&mut self, n: usize) {
        let now = self.now;
        let synced: Vec<_> = self.nodes[n].syncing.extract_if(.., |sync| sync.due_at <= now).collect();
        for sync in synced {
            write(&mut self.nodes[n].disk, sync.records);
            if let Some(state_machine) = &mut self.nodes[n].state_machine {
                state_machine.records_persisted(at(now), sync.request_id);
            }
        }
        if self.frozen_until[n] > now {
            return;
        }
        if let Some(state_machine) = self.nodes[n].state_machine.as_mut().filter(|_| now % TICK == 0) {
            state_machine.tick(at(now));
        }
        self.carry_out(n);
    }

    /// Carries out what a process wants done.
    pub(crate) fn carry_out(&mut self, n: usize) {
        let Some(state_machine) = &mut self.nodes[n].state_machine else { return };
        for action in std::mem::take(&mut state_machine.actions) {
            match action {
                Action::SendToPeer(node_id, message) => {
                    let to = node_id[1..].parse().unwrap();
                    self.send(n, to, message);
                }
                Action::Persist(request_id, records) => self.persist(n, request_id, records),
                Action::Respond(request, response) => {
                    self.responses.insert(request, (n, response));
                }
                Action::SendToSession(id, message) => self.send_session_message(id, false, message),
                Action::SendItems(id, update) => {
                    let items = update.items.iter().map(ItemMessage::from).collect();
                    let items = Items { items, extent: update.extent.into() };
                    self.send_session_message(id, false, Message::Items(items));
                }
                Action::CloseSession(id) => self.close_session(id),
            }
        }
    }

    fn persist(&mut self, n: usize, request_id: u64, records: Records) {
        let late = self.now + self.disk_delay[n] + self.random.rand_range(1..20) as i64;
        let last = self.nodes[n].syncing.last().map_or(0, |sync| sync.due_at);
        self.nodes[n].syncing.push(Sync { due_at: late.max(last), request_id, records });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.random.rand_range(0..100) < self.loss_percent {
            return;
        }
        let late = self.now + self.random.rand_range(1..120) as i64;
        let is_rate_bounded = self.rate.is_some();
        let is_urgent = |message: &Message| {
            let is_short =
                matches!(message, Message::Heartbeat(_) | Message::LeaseRequest(_) | Message::LeaseVote(_));
            is_rate_bounded && is_short
        };
        // One connection: messages don't overtake each other.
        let is_same_way =
            |it: &&InFlight| (it.from, it.to) == (from, to) && is_urgent(&it.message) == is_urgent(&message);
        let last = self.in_flight.iter().filter(is_same_way).map(|it| it.due_at).max().unwrap_or(0);
        let due_at = match self.rate {
            Some(rate) if !is_urgent(&message) => {
                let rate = if to == 0 { rate * 4 } else { rate };
                let mut bytes = Vec::new();
                encode_message(message.clone(), &mut bytes);
                let duration = bytes.len() as i64 / rate;
                late.max(last + duration).max(self.now + duration)
            }
            _ => late.max(last),
        };
        let (incarnation, sent_at) = (self.nodes[from].incarnation, self.now);
        self.in_flight.push(InFlight { due_at, from, to, incarnation, message, sent_at });
    }

    pub(crate) fn run(&mut self, millis: i64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Sends a request to a process; gives the number under which it is answered.
    pub(crate) fn request(&mut self, n: usize, request: Request) -> u64 {
        self.request_count += 1;
        if let Some(state_machine) = &mut self.nodes[n].state_machine {
            state_machine.handle_request(at(self.now), self.request_count, request);
            self.carry_out(n);
        }
        self.request_count
    }

    /// As [`Cluster::request`], for the change of one service.
    pub(crate) fn patch(&mut self, n: usize, name: &str, version: u64, value: Option<&str>) -> u64 {
        let value = value.map(|text| bytes::Bytes::copy_from_slice(text.as_bytes()));
        self.request(n, Request::Patch(vec![Item { kind: Kind::Service, name: name.into(), version, value }]))
    }

    fn is_serving(node: &Node) -> bool {
        node.state_machine.as_ref().is_some_and(|it| it.replica_state() == ReplicaState::Serving)
    }

    /// A process that serves.
    pub(crate) fn any_serving(&self) -> usize {
        self.nodes.iter().position(Cluster::is_serving).expect("one serves")
    }

    /// How many processes serve.
    pub(crate) fn serving_count(&self) -> usize {
        self.nodes.iter().filter(|node| Cluster::is_serving(node)).count()
    }
}
