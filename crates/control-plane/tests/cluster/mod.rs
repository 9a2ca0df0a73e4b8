//! A deterministic simulation of six control processes and of gateways' real control sessions, with a network and disks
//! in memory. From a seed it delays and loses messages, partitions the network, and kills or freezes processes; a power
//! loss discards writes that were not synced.
//!
//! Times are milliseconds since the start of the simulation. Processes are identified by their numbers, 0 to 5.
#![allow(dead_code)] // each test file uses only some of these items

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

pub(crate) const QUOTA_TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
/// Interval at which lost connections between processes are re-established.
const RECONNECT_INTERVAL_MS: i64 = 400;
/// Interval between two ticks of a state machine.
const TICK_INTERVAL_MS: i64 = 100;
/// How long the delivery of a message to a frozen process is postponed each time.
const FROZEN_RETRY_DELAY_MS: i64 = 50;

type Records = Vec<(Vec<u8>, Vec<u8>)>;

/// A message in transit between two control processes.
pub(crate) struct InFlightMessage {
    pub(crate) due_at: i64,
    pub(crate) from: usize,
    pub(crate) to: usize,
    /// The sender's incarnation.
    pub(crate) incarnation: u64,
    pub(crate) message: Message,
    pub(crate) sent_at: i64,
}

/// Records that were handed to a disk and are not synced yet.
pub(crate) struct PendingWrite {
    due_at: i64,
    request_id: u64,
    pub(crate) records: Records,
}

/// A control process and its machine; the machine remains while the process is down.
pub(crate) struct Node {
    pub(crate) replica: Replica,
    pub(crate) state_machine: Option<StateMachine>,
    pub(crate) incarnation: u64,
    pub(crate) disk: BTreeMap<Vec<u8>, Vec<u8>>,
    pub(crate) pending_writes: Vec<PendingWrite>,
    pub(crate) restarts_at: i64,
    /// Whether the process was last stopped by a power loss.
    pub(crate) lost_power: bool,
}

impl Node {
    /// The version of a service that this process holds, or 0 if it holds none. The process must be running.
    pub(crate) fn version(&self, service: &str) -> u64 {
        let state_machine = self.state_machine.as_ref().expect("the process is running");
        state_machine.item_store().get(Kind::Service, service).map_or(0, |item| item.version)
    }
}

pub(crate) struct Cluster {
    pub(crate) now: i64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) in_flight: Vec<InFlightMessage>,
    /// Pairs of processes between which no message arrives, and when that ends.
    pub(crate) partitions: BTreeMap<(usize, usize), i64>,
    /// (sender, receiver) pairs for which messages are lost in this direction only, and when that ends.
    pub(crate) one_way_partitions: BTreeMap<(usize, usize), i64>,
    /// (gateway, process) pairs that can't communicate, and when that ends.
    pub(crate) gateway_partitions: BTreeMap<(usize, usize), i64>,
    /// Send time of the newest message delivered, by (sender, receiver).
    pub(crate) newest_delivered: BTreeMap<(usize, usize), i64>,
    /// When the receiver last got a message or a hello from the sender, by (sender, receiver).
    pub(crate) last_heard: BTreeMap<(usize, usize), i64>,
    /// IDs of the gateway sessions that control processes have closed.
    pub(crate) closed_sessions: BTreeSet<u64>,
    pub(crate) rng: oorandom::Rand64,
    /// Responses by request ID, each with the process that sent it.
    pub(crate) responses: BTreeMap<u64, (usize, Response)>,
    pub(crate) last_request_id: u64,
    pub(crate) loss_percent: u64,
    pub(crate) gateways: Vec<Gateway>,
    session_messages: Vec<SessionMessage>,
    /// Until when each process is frozen.
    pub(crate) frozen_until: [i64; 6],
    /// Additional time that each sync takes, by process.
    pub(crate) disk_delay: [i64; 6],
    /// Bandwidth of a connection between control processes in bytes per millisecond, if it is limited; connections to
    /// process 0 have four times as much. Heartbeats and lease messages bypass queued messages, as they do in the
    /// server.
    pub(crate) link_rate: Option<i64>,
    /// How long tombstones are kept before they are purged, if not for the default time.
    pub(crate) tombstone_retention: Option<i64>,
    /// Number of connections that gateways have opened so far; the newest one's number is its ID.
    pub(crate) connection_count: u64,
}

/// Applies records as the store does: an empty value deletes the record.
fn apply_records(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: Records) {
    for (key, value) in records {
        if value.is_empty() {
            disk.remove(&key);
        } else {
            disk.insert(key, value);
        }
    }
}

pub(crate) fn timestamp(millis: i64) -> Timestamp {
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
        pending_writes: Vec::new(),
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
            newest_delivered: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            closed_sessions: BTreeSet::new(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            responses: BTreeMap::new(),
            last_request_id: 0,
            loss_percent: 0,
            gateways: Vec::new(),
            session_messages: Vec::new(),
            frozen_until: [0; 6],
            disk_delay: [0; 6],
            link_rate: None,
            tombstone_retention: None,
            connection_count: 0,
        };
        (0..6).for_each(|n| cluster.start(n, true));
        cluster
    }

    /// The state machine of a process, which must be running.
    pub(crate) fn state_machine(&self, n: usize) -> &StateMachine {
        self.nodes[n].state_machine.as_ref().expect("the process is running")
    }

    /// Like [`Cluster::state_machine`], mutable.
    pub(crate) fn state_machine_mut(&mut self, n: usize) -> &mut StateMachine {
        self.nodes[n].state_machine.as_mut().expect("the process is running")
    }

    fn is_running(&self, n: usize) -> bool {
        self.nodes[n].state_machine.is_some() && self.frozen_until[n] <= self.now
    }

    pub(crate) fn start(&mut self, n: usize, is_first_start: bool) {
        let node = &mut self.nodes[n];
        node.incarnation = self.rng.rand_u64();
        let start = StartParameters {
            replica: node.replica.clone(),
            incarnation: node.incarnation,
            is_first_start,
            is_bootstrap_node: n == 0,
            records: node.disk.clone().into_iter().collect(),
            tolerance: QUOTA_TOLERANCE,
        };
        let mut state_machine = StateMachine::new(timestamp(self.now), start);
        if let Some(retention) = self.tombstone_retention {
            state_machine.set_tombstone_retention(Duration::from_micros(retention * 1000));
        }
        node.state_machine = Some(state_machine);
    }

    /// Sets how long tombstones are kept; gateways may stay unsynced for half of that time.
    pub(crate) fn set_tombstone_retention(&mut self, retention: i64) {
        self.tombstone_retention = Some(retention);
        let duration = Duration::from_micros(retention * 1000);
        let state_machines = self.nodes.iter_mut().filter_map(|node| node.state_machine.as_mut());
        state_machines.for_each(|state_machine| state_machine.set_tombstone_retention(duration));
        self.set_gateways_max_unsynced(Duration::from_micros(retention * 500));
    }

    /// Kills a process and restarts it after `restarts_after` milliseconds. A power loss may discard unsynced writes.
    pub(crate) fn kill(&mut self, n: usize, loses_power: bool, wipes_disk: bool, restarts_after: i64) {
        for write in std::mem::take(&mut self.nodes[n].pending_writes) {
            // After a power loss any subset of the writes that were not synced may be on disk.
            if !loses_power || self.rng.rand_range(0..2) == 0 {
                apply_records(&mut self.nodes[n].disk, write.records);
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

    /// Whether messages from one process to another are lost.
    pub(crate) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let pair = self.partitions.get(&(from.min(to), from.max(to)));
        [pair, self.one_way_partitions.get(&(from, to))].into_iter().flatten().any(|until| *until > self.now)
    }

    /// Advances the simulation by ten milliseconds.
    pub(crate) fn step(&mut self) {
        self.now += 10;
        for n in 0..6 {
            if self.nodes[n].state_machine.is_none() && self.now >= self.nodes[n].restarts_at {
                self.start(n, false);
            }
        }
        if self.now % RECONNECT_INTERVAL_MS == 0 {
            self.reconnect();
        }
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |message| message.due_at <= now).collect();
        due.into_iter().for_each(|message| self.deliver(message));
        (0..6).for_each(|n| self.step_node(n));
        self.step_sessions();
        let is_holder = |node: &&Node| {
            node.state_machine
                .as_ref()
                .is_some_and(|state_machine| state_machine.lease_term(timestamp(now)).is_some())
        };
        let holders = self.nodes.iter().filter(is_holder).count();
        assert!(holders <= 1, "{holders} processes hold the lease at {now} ms");
    }

    /// Delivers the hello of each process to every other process that does not know its incarnation, except across
    /// partitions.
    fn reconnect(&mut self) {
        for from in 0..6 {
            for to in 0..6 {
                let Some(hello) = self.nodes[from].state_machine.as_ref().map(StateMachine::hello) else {
                    continue;
                };
                let is_partitioned = self.is_partitioned(from, to);
                let receiver =
                    self.nodes[to].state_machine.as_mut().filter(|_| from != to && !is_partitioned);
                let Some(receiver) = receiver else { continue };
                if !receiver.knows_incarnation(&hello.node_id, hello.incarnation) {
                    self.last_heard.insert((from, to), self.now);
                    receiver.peer_connected(timestamp(self.now), &hello);
                }
            }
        }
    }

    fn deliver(&mut self, delivery: InFlightMessage) {
        if self.frozen_until[delivery.to] > self.now {
            return self
                .in_flight
                .push(InFlightMessage { due_at: delivery.due_at + FROZEN_RETRY_DELAY_MS, ..delivery });
        }
        // Messages sent before a kill still arrive; those sent before a power loss don't.
        let sender = &self.nodes[delivery.from];
        if self.is_partitioned(delivery.from, delivery.to)
            || sender.incarnation != delivery.incarnation && sender.lost_power
        {
            return;
        }
        let node_id = sender.replica.node_id.clone();
        // A connection belongs to one incarnation: after the hello of a new one, messages of the previous one are
        // dropped.
        let receiver = self.nodes[delivery.to].state_machine.as_mut();
        if let Some(receiver) = receiver.filter(|to| to.knows_incarnation(&node_id, delivery.incarnation)) {
            self.newest_delivered.insert((delivery.from, delivery.to), delivery.sent_at);
            self.last_heard.insert((delivery.from, delivery.to), self.now);
            receiver.peer_message(timestamp(self.now), &node_id, delivery.message);
        }
    }

    /// Completes the syncs that are due, ticks the state machine and performs its actions.
    fn step_node(&mut self, n: usize) {
        let now = self.now;
        let completed: Vec<_> =
            self.nodes[n].pending_writes.extract_if(.., |write| write.due_at <= now).collect();
        for write in completed {
            apply_records(&mut self.nodes[n].disk, write.records);
            if let Some(state_machine) = &mut self.nodes[n].state_machine {
                state_machine.records_persisted(timestamp(now), write.request_id);
            }
        }
        if self.frozen_until[n] > now {
            return;
        }
        if let Some(state_machine) =
            self.nodes[n].state_machine.as_mut().filter(|_| now % TICK_INTERVAL_MS == 0)
        {
            state_machine.tick(timestamp(now));
        }
        self.perform_actions(n);
    }

    /// Performs the actions that a process has queued.
    pub(crate) fn perform_actions(&mut self, n: usize) {
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
        let earliest = self.now + self.disk_delay[n] + self.rng.rand_range(1..20) as i64;
        let previous = self.nodes[n].pending_writes.last().map_or(0, |write| write.due_at);
        self.nodes[n].pending_writes.push(PendingWrite {
            due_at: earliest.max(previous),
            request_id,
            records,
        });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.rand_range(0..100) < self.loss_percent {
            return;
        }
        let earliest = self.now + self.rng.rand_range(1..120) as i64;
        let is_rate_limited = self.link_rate.is_some();
        let skips_queue = |message: &Message| {
            let is_control_message =
                matches!(message, Message::Heartbeat(_) | Message::LeaseRequest(_) | Message::LeaseVote(_));
            is_rate_limited && is_control_message
        };
        // All messages of a pair use one connection, which keeps their order.
        let is_same_direction = |other: &&InFlightMessage| {
            (other.from, other.to) == (from, to) && skips_queue(&other.message) == skips_queue(&message)
        };
        let previous =
            self.in_flight.iter().filter(is_same_direction).map(|other| other.due_at).max().unwrap_or(0);
        let due_at = match self.link_rate {
            Some(rate) if !skips_queue(&message) => {
                let rate = if to == 0 { rate * 4 } else { rate };
                let mut bytes = Vec::new();
                encode_message(message.clone(), &mut bytes);
                let duration = bytes.len() as i64 / rate;
                earliest.max(previous + duration).max(self.now + duration)
            }
            _ => earliest.max(previous),
        };
        let (incarnation, sent_at) = (self.nodes[from].incarnation, self.now);
        self.in_flight.push(InFlightMessage { due_at, from, to, incarnation, message, sent_at });
    }

    pub(crate) fn run(&mut self, millis: i64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Sends a request to a process and returns its ID, under which the response is recorded.
    pub(crate) fn request(&mut self, n: usize, request: Request) -> u64 {
        self.last_request_id += 1;
        if let Some(state_machine) = &mut self.nodes[n].state_machine {
            let now = timestamp(self.now);
            state_machine.handle_request(now, self.last_request_id, request, now);
            self.perform_actions(n);
        }
        self.last_request_id
    }

    /// Like [`Cluster::request`], for a change of one service; without a value it deletes the service.
    pub(crate) fn patch(&mut self, n: usize, name: &str, version: u64, value: Option<&str>) -> u64 {
        let value = value.map(|text| bytes::Bytes::copy_from_slice(text.as_bytes()));
        self.request(n, Request::Patch(vec![Item { kind: Kind::Service, name: name.into(), version, value }]))
    }

    fn is_serving(node: &Node) -> bool {
        node.state_machine
            .as_ref()
            .is_some_and(|state_machine| state_machine.replica_state() == ReplicaState::Serving)
    }

    /// The first process that is serving.
    pub(crate) fn any_serving(&self) -> usize {
        self.nodes.iter().position(Cluster::is_serving).expect("a process is serving")
    }

    /// The number of processes that are serving.
    pub(crate) fn serving_count(&self) -> usize {
        self.nodes.iter().filter(|node| Cluster::is_serving(node)).count()
    }
}
