//! Six control processes, and gateways' true links, on a network and disks in memory, all by seed: words are late or
//! lost, sides are cut off, processes are killed or stand still, power goes with what was not synced.
#![allow(dead_code)] // each test file uses its part

use kitepass_config::{Item, Kind};
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{Action, ReplicaState, Start, StateMachine};
use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::{pack, Hello, ItemMessage, Items, Message};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_data_plane::control_session::{ControlSession, SessionUpdates};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A word on its way: when it comes, from whom, to whom, of which life, when it was sent.
type Flight = (i64, usize, usize, u64, Message, i64);

type Records = Vec<(Vec<u8>, Vec<u8>)>;

pub const SLACK: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

pub struct Node {
    pub replica: Replica,
    pub core: Option<StateMachine>,
    pub incarnation: u64,
    pub disk: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Records on the way to the disk, with the moment at which they are synced.
    pub syncing: Vec<(i64, u64, Records)>,
    pub back: i64,
    /// Its last end was a loss of power.
    pub dark: bool,
}

pub struct World {
    pub now: i64,
    pub nodes: Vec<Node>,
    pub wire: Vec<Flight>,
    /// Pairs that hear nothing of each other, until a moment.
    pub cuts: BTreeMap<(usize, usize), i64>,
    /// Ways from one to another on which nothing comes through, until a moment.
    pub ways: BTreeMap<(usize, usize), i64>,
    /// Gateways that reach a process no longer, until a moment.
    pub gate_cuts: BTreeMap<(usize, usize), i64>,
    /// When the newest word that came from one to another was sent.
    pub reached: BTreeMap<(usize, usize), i64>,
    /// When one was heard by another last.
    pub heard: BTreeMap<(usize, usize), i64>,
    /// Sessions that control processes have closed.
    pub closed: BTreeSet<u64>,
    pub chance: oorandom::Rand64,
    pub answers: BTreeMap<u64, (usize, Response)>,
    pub calls: u64,
    pub loss: u64,
    pub gates: Vec<Gate>,
    session_wire: Vec<(i64, u64, bool, Message)>,
    /// Processes that stand still, until a moment.
    pub frozen: [i64; 6],
    /// Disks that take so long for each sync, milliseconds.
    pub slow: [i64; 6],
    /// Bytes that a line to a control process carries in a millisecond, if that is bounded, and four times as many to the
    /// first; signs of life go past what waits, as the server has them do.
    pub rate: Option<i64>,
    /// Drops are forgotten after so long, milliseconds, if it is not the usual time.
    pub age: Option<i64>,
    /// Sessions that were opened so far.
    pub conns: u64,
}

/// A gateway: its true link, and the connection that it has to a control process.
pub struct Gate {
    pub link: ControlSession,
    pub at: Option<(usize, u64)>,
}

/// As the store does: an empty value takes a record away.
fn take(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: Records) {
    for (key, value) in records {
        if value.is_empty() {
            disk.remove(&key);
        } else {
            disk.insert(key, value);
        }
    }
}

pub fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

impl World {
    pub fn new(seed: u64) -> World {
        let places = ["a1", "a2", "b1", "b2", "c1", "c2"];
        let nodes = places.iter().enumerate().map(|(n, zone)| Node {
            replica: Replica {
                node_id: format!("s{n}"),
                address: format!("10.0.0.{n}"),
                zone: zone.to_string(),
                region: zone[..1].to_owned(),
                replica_id: 0,
            },
            core: None,
            incarnation: 0,
            disk: BTreeMap::new(),
            syncing: Vec::new(),
            back: 0,
            dark: false,
        });
        let mut world = World {
            now: 0,
            nodes: nodes.collect(),
            wire: Vec::new(),
            cuts: BTreeMap::new(),
            ways: BTreeMap::new(),
            gate_cuts: BTreeMap::new(),
            reached: BTreeMap::new(),
            heard: BTreeMap::new(),
            closed: BTreeSet::new(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            answers: BTreeMap::new(),
            calls: 0,
            loss: 0,
            gates: Vec::new(),
            session_wire: Vec::new(),
            frozen: [0; 6],
            slow: [0; 6],
            rate: None,
            age: None,
            conns: 0,
        };
        (0..6).for_each(|n| world.start(n, true));
        world
    }

    /// Adds gateways, spread over the districts.
    pub fn gateways(&mut self, number: usize) {
        let number = self.gates.len() + number;
        let regions: BTreeMap<String, String> =
            self.nodes.iter().map(|n| (n.replica.zone.clone(), n.replica.region.clone())).collect();
        let first: Vec<String> = [0, 2, 4].map(|n| format!("10.0.0.{n}")).into();
        for gate in self.gates.len()..number {
            let replica = &self.nodes[gate % 6].replica;
            let hello = Hello {
                node_id: format!("g{gate}"),
                zone: replica.zone.clone(),
                region: replica.region.clone(),
                incarnation: gate as u64 + 1,
                client_address: format!("10.1.0.{gate}:80"),
                ..Hello::default()
            };
            let link = ControlSession::new(hello, first.clone(), regions.clone());
            self.gates.push(Gate { link, at: None });
        }
    }

    fn stands(&self, n: usize) -> bool {
        self.nodes[n].core.is_some() && self.frozen[n] <= self.now
    }

    fn drop_session(&mut self, gate: usize, why: &str) {
        if let Some((node, conn)) = self.gates[gate].at.take() {
            let now = at(self.now);
            if let Some(core) = self.nodes[node].core.as_mut() {
                core.session_closed(now, conn, why);
            }
        }
        self.gates[gate].link.lost(why);
    }

    /// Gateways' turn, ten times a second, and the words between them and control processes.
    fn sessions(&mut self) {
        let now = at(self.now);
        for gate in 0..self.gates.len() {
            if self.now % 100 == gate as i64 % 10 * 10 {
                if self.gates[gate].link.tick(now) {
                    self.drop_session(gate, "left");
                }
                let draw = self.chance.rand_u64();
                if let Some(address) = self.gates[gate].link.next(now, draw) {
                    let node: usize = address[7..].parse().unwrap();
                    self.conns += 1;
                    self.gates[gate].at = Some((node, self.conns));
                }
                self.gates[gate].link.ready = self.gates[gate].link.is_caught_up();
            }
            let Some((node, conn)) = self.gates[gate].at else { continue };
            if self.nodes[node].core.is_none() {
                self.drop_session(gate, "refused");
                continue;
            }
            let messages = std::mem::take(&mut self.gates[gate].link.out);
            let items = std::mem::take(&mut self.gates[gate].link.out_items);
            let items = (!items.is_empty())
                .then(|| Message::Items(Items { items: items.iter().map(ItemMessage::from).collect() }));
            for message in messages.into_iter().chain(items) {
                self.session_send(conn, true, message);
            }
        }
        let due: Vec<_> = self.session_wire.extract_if(.., |message| message.0 <= self.now).collect();
        for (due, conn, up, message) in due {
            let Some(gate) = self.gates.iter().position(|g| g.at.is_some_and(|(_, c)| c == conn)) else {
                continue;
            };
            let (node, _) = self.gates[gate].at.unwrap();
            if self.gate_cut(gate, node) {
                self.session_wire.push((due + 50, conn, up, message));
            } else if !up {
                if let Some(core) =
                    self.nodes[node].core.as_mut().filter(|_| matches!(message, Message::Items(_)))
                {
                    core.session_drained(now, conn);
                }
                let mut brought = SessionUpdates::default();
                self.gates[gate].link.said(now, message, &mut brought);
                if brought.close {
                    self.drop_session(gate, "not-current");
                }
            } else if !self.stands(node) {
                self.session_wire.push((due + 50, conn, up, message)); // it waits in the socket
            } else if let Some(core) = self.nodes[node].core.as_mut() {
                match message {
                    Message::Hello(hello) => core.session_opened(now, conn, hello),
                    message => core.session_message(now, conn, message),
                }
            }
        }
    }

    /// The words that are on their way between a gateway and its control process, and whether they come from it.
    pub fn session_words(&mut self, gate: usize) -> impl Iterator<Item = (bool, &mut Message)> {
        let conn = self.gates[gate].at.map(|(_, conn)| conn);
        let of = move |message: &&mut (i64, u64, bool, Message)| Some(message.1) == conn;
        self.session_wire.iter_mut().filter(of).map(|message| (message.2, &mut message.3))
    }

    /// Bytes of items that are on their way to gateways.
    pub fn session_bytes(&self) -> usize {
        let of = |message: &Message| match message {
            Message::Items(items) => {
                items.items.iter().map(|i| i.value.as_ref().map_or(0, |v| v.len()) + 32).sum()
            }
            _ => 0,
        };
        self.session_wire.iter().filter(|message| !message.2).map(|message| of(&message.3)).sum()
    }

    fn session_send(&mut self, conn: u64, up: bool, message: Message) {
        let late = self.now + self.chance.rand_range(1..60) as i64;
        let last = self.session_wire.iter().filter(|w| (w.1, w.2) == (conn, up)).map(|w| w.0).max();
        self.session_wire.push((late.max(last.unwrap_or(0)), conn, up, message));
    }

    pub fn start(&mut self, n: usize, maiden: bool) {
        let node = &mut self.nodes[n];
        node.incarnation = self.chance.rand_u64();
        let records = node.disk.clone().into_iter().collect();
        let (me, incarnation) = (node.replica.clone(), node.incarnation);
        let start = Start {
            me,
            incarnation,
            is_first_start: maiden,
            is_bootstrap_node: n == 0,
            records,
            tolerance: SLACK,
        };
        let mut core = StateMachine::new(at(self.now), start);
        self.age.into_iter().for_each(|age| core.set_tombstone_age(Duration::from_micros(age * 1000)));
        node.core = Some(core);
    }

    /// Drops are forgotten after so long, milliseconds; gateways may be alone for half of it.
    pub fn set_age(&mut self, age: i64) {
        self.age = Some(age);
        let span = Duration::from_micros(age * 1000);
        self.nodes
            .iter_mut()
            .filter_map(|node| node.core.as_mut())
            .for_each(|core| core.set_tombstone_age(span));
        let half = Duration::from_micros(age * 500);
        self.gates.iter_mut().for_each(|gate| gate.link.set_alone(half));
    }

    /// A process leaves in order, and stays away for so long.
    pub fn leave(&mut self, n: usize, away: i64) {
        let now = at(self.now);
        if let Some(core) = &mut self.nodes[n].core {
            core.shut_down(now);
            self.act(n);
        }
        self.run(2_000);
        self.kill(n, false, false, away);
    }

    /// A process is killed; with power lost, also what was not synced. It comes back `after` so long.
    pub fn kill(&mut self, n: usize, power: bool, wipe: bool, after: i64) {
        let syncing = std::mem::take(&mut self.nodes[n].syncing);
        for (_, _, records) in syncing {
            // Of what was written and not synced anything may be there after a loss of power, in any part.
            if !power || self.chance.rand_range(0..2) == 0 {
                take(&mut self.nodes[n].disk, records);
            }
        }
        let node = &mut self.nodes[n];
        node.core = None;
        node.dark = power;
        node.back = self.now + after;
        if wipe {
            node.disk.clear();
        }
    }

    /// Whether nothing comes through from one to another.
    pub fn cut(&self, from: usize, to: usize) -> bool {
        let pair = self.cuts.get(&(from.min(to), from.max(to)));
        [pair, self.ways.get(&(from, to))].into_iter().flatten().any(|until| *until > self.now)
    }

    fn gate_cut(&self, gate: usize, node: usize) -> bool {
        self.gate_cuts.get(&(gate, node)).is_some_and(|until| *until > self.now)
    }

    pub fn step(&mut self) {
        self.now += 10;
        for n in 0..6 {
            if self.nodes[n].core.is_none() && self.now >= self.nodes[n].back {
                self.start(n, false);
            }
        }
        // Who has not been heard for long says hello again.
        if self.now % 400 == 0 {
            for a in 0..6 {
                for b in 0..6 {
                    let Some(hello) = self.nodes[a].core.as_ref().map(StateMachine::hello) else { continue };
                    let cut = self.cut(a, b);
                    let Some(core) = self.nodes[b].core.as_mut().filter(|_| a != b && !cut) else { continue };
                    if !core.knows_incarnation(&hello.node_id, hello.incarnation) {
                        self.heard.insert((a, b), self.now);
                        core.peer_connected(at(self.now), &hello);
                    }
                }
            }
        }
        let due: Vec<_> = self.wire.extract_if(.., |message| message.0 <= self.now).collect();
        for (due, from, to, incarnation, message, sent) in due {
            if self.frozen[to] > self.now {
                self.wire.push((due + 50, from, to, incarnation, message, sent));
                continue;
            }
            // What a process had sent before it was killed still arrives; with its power such words are gone.
            if self.cut(from, to) || self.nodes[from].incarnation != incarnation && self.nodes[from].dark {
                continue;
            }
            let node_id = self.nodes[from].replica.node_id.clone();
            // The receiver's connection is of one life: once another has said hello, what the earlier one said is dropped.
            if let Some(core) =
                self.nodes[to].core.as_mut().filter(|core| core.knows_incarnation(&node_id, incarnation))
            {
                self.reached.insert((from, to), sent);
                self.heard.insert((from, to), self.now);
                core.peer_message(at(self.now), &node_id, message);
            }
        }
        for n in 0..6 {
            let now = self.now;
            let synced: Vec<_> = self.nodes[n].syncing.extract_if(.., |s| s.0 <= now).collect();
            for (_, request_id, records) in synced {
                take(&mut self.nodes[n].disk, records);
                if let Some(core) = &mut self.nodes[n].core {
                    core.records_persisted(at(now), request_id);
                }
            }
            if self.frozen[n] > now {
                continue;
            }
            if let Some(core) = self.nodes[n].core.as_mut().filter(|_| now % 100 == 0) {
                core.tick(at(now));
            }
            self.act(n);
        }
        self.sessions();
        let holders = self.nodes.iter().filter_map(|n| n.core.as_ref()?.lease_term(at(self.now))).count();
        assert!(holders <= 1, "{holders} do the duty at {}", self.now);
    }

    pub fn act(&mut self, n: usize) {
        let Some(core) = &mut self.nodes[n].core else { return };
        for act in std::mem::take(&mut core.active_term) {
            match act {
                Action::SendToPeer(node_id, message) => {
                    let to = node_id[1..].parse().unwrap();
                    if self.chance.rand_range(0..100) >= self.loss {
                        let late = self.now + self.chance.rand_range(1..120) as i64;
                        let slow = self.rate.is_some();
                        let urgent = |message: &Message| {
                            slow && matches!(
                                message,
                                Message::Heartbeat(_) | Message::LeaseRequest(_) | Message::LeaseVote(_)
                            )
                        };
                        // One connection: words do not overtake each other.
                        let same = |w: &&Flight| (w.1, w.2) == (n, to) && urgent(&w.4) == urgent(&message);
                        let last = self.wire.iter().filter(same).map(|w| w.0).max().unwrap_or(0);
                        let due = match self.rate {
                            Some(rate) if !urgent(&message) => {
                                let rate = if to == 0 { rate * 4 } else { rate };
                                let mut bytes = Vec::new();
                                pack(message.clone(), &mut bytes);
                                late.max(last + bytes.len() as i64 / rate)
                                    .max(self.now + bytes.len() as i64 / rate)
                            }
                            _ => late.max(last),
                        };
                        self.wire.push((due, n, to, self.nodes[n].incarnation, message, self.now));
                    }
                }
                Action::Persist(request_id, records) => {
                    let late = self.now + self.slow[n] + self.chance.rand_range(1..20) as i64;
                    let last = self.nodes[n].syncing.last().map_or(0, |s| s.0);
                    self.nodes[n].syncing.push((late.max(last), request_id, records));
                }
                Action::Respond(call, response) => {
                    self.answers.insert(call, (n, response));
                }
                Action::SendToSession(conn, message) => self.session_send(conn, false, message),
                Action::SendItems(conn, items) => {
                    let items = items.iter().map(ItemMessage::from).collect();
                    self.session_send(conn, false, Message::Items(Items { items }));
                }
                Action::CloseSession(conn) => {
                    self.closed.insert(conn);
                    let gate = self.gates.iter().position(|g| g.at.is_some_and(|(_, c)| c == conn));
                    if let Some(gate) = gate {
                        self.gates[gate].at = None;
                        self.gates[gate].link.lost("closed");
                    }
                }
            }
        }
    }

    pub fn run(&mut self, millis: i64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    pub fn ask(&mut self, n: usize, order: Request) -> u64 {
        self.calls += 1;
        if let Some(core) = &mut self.nodes[n].core {
            core.handle_request(at(self.now), self.calls, order);
            self.act(n);
        }
        self.calls
    }

    pub fn patch(&mut self, n: usize, name: &str, version: u64, value: Option<&str>) -> u64 {
        let value = value.map(|text| bytes::Bytes::copy_from_slice(text.as_bytes()));
        self.ask(n, Request::Patch(vec![Item { kind: Kind::Service, name: name.into(), version, value }]))
    }

    /// One that is current.
    pub fn current_one(&self) -> usize {
        let is = |n: &Node| n.core.as_ref().is_some_and(|c| c.replica_state() == ReplicaState::Serving);
        self.nodes.iter().position(is).expect("one is current")
    }

    /// All that stand by and current.
    pub fn current(&self) -> usize {
        self.nodes
            .iter()
            .filter(|n| n.core.as_ref().is_some_and(|c| c.replica_state() == ReplicaState::Serving))
            .count()
    }
}
