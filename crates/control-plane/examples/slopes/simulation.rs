//! The simulation: its clock, its events, and what is measured on the way.

use crate::control_plane::{Node, TICK_INTERVAL};
use crate::deployment::{Deployment, NODES};
use crate::gateways::{Gateway, HEARTBEAT_INTERVAL, REPORT_INTERVAL, TENANTS_PER_REPORT};
use crate::measurements::{mean, Load, Loads, Volume};
use crate::platform::Backend;
use kitepass_config::{Item, ItemStore};
use kitepass_coordination::protocol::Message;
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// Simulated time is in microseconds.
pub(crate) const SECOND: i64 = 1_000_000;
/// Time between two readings of the platform's list.
const LIST_INTERVAL: i64 = 700_000;

pub(crate) fn timestamp(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Something that happens at its time. Gateways and nodes go by their index.
pub(crate) enum Event {
    PeerFrame { from: usize, to: usize, frame: Vec<u8> },
    SessionFrame { gateway: usize, session: u64, frame: Vec<u8> },
    GatewayMessage { gateway: usize, session: u64, message: Message },
    GatewayItems { gateway: usize, session: u64, items: Arc<[Item]> },
    Persisted(usize, u64),
    Tick(usize),
    Connect(usize),
    Heartbeat(usize),
    Report(usize),
    RequestGrant(usize),
    ReadBackends,
}

/// When an event happens; those of one moment happen in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: i64,
    number: u64,
}

/// A change whose way to the gateways is watched.
#[derive(Default)]
pub(crate) struct WatchedChange {
    pub(crate) version: u64,
    /// When the operator was answered.
    pub(crate) answered: Option<i64>,
    /// Gateways that have it.
    pub(crate) reached: usize,
    /// When the last of them got it.
    pub(crate) last: i64,
}

pub(crate) struct Simulation {
    pub(crate) now: i64,
    pub(crate) deployment: Deployment,
    scheduled: u64,
    events: BTreeMap<EventKey, Event>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) gateways: Vec<Gateway>,
    /// The load of all gateways together.
    pub(crate) gateways_load: Load,
    pub(crate) backends: Vec<Backend>,
    /// Backends that there have been.
    pub(crate) started_backends: usize,
    /// Gateways report usage.
    pub(crate) reports_usage: bool,
    /// When grants were requested that gateways wait for, by gateway and request id.
    pub(crate) grants_requested: HashMap<(usize, u64), i64>,
    /// How long gateways waited for the others.
    pub(crate) grant_waits: Vec<i64>,
    /// Bytes of the last reading of the platform's list.
    pub(crate) list_bytes: f64,
    /// Configuration between nodes, all of them.
    pub(crate) to_nodes: Volume,
    /// Configuration to gateways, all of them.
    pub(crate) to_gateways: Volume,
    pub(crate) watched: WatchedChange,
    /// What a store becomes by items, by its digest and a hash of them: gateways that hold the same share it.
    pub(crate) shared_stores: HashMap<(u64, u64), Rc<ItemStore>>,
    pub(crate) rng: oorandom::Rand64,
}

impl Simulation {
    pub(crate) fn new(deployment: Deployment) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            deployment,
            scheduled: 0,
            events: BTreeMap::new(),
            nodes: (0..NODES).map(Node::start).collect(),
            gateways: Vec::new(),
            gateways_load: Load::default(),
            backends: Vec::new(),
            started_backends: 0,
            reports_usage: false,
            grants_requested: HashMap::new(),
            grant_waits: Vec::new(),
            list_bytes: 0.0,
            to_nodes: Volume::default(),
            to_gateways: Volume::default(),
            watched: WatchedChange::default(),
            shared_stores: HashMap::new(),
            rng: oorandom::Rand64::new(7),
        };
        simulation.connect_nodes();
        (0..deployment.backends).for_each(|_| simulation.start_backend(0));
        simulation
    }

    pub(crate) fn schedule(&mut self, after: i64, event: Event) {
        self.scheduled += 1;
        let key = EventKey { at: self.now + after, number: self.scheduled };
        self.events.insert(key, event);
    }

    /// Lets this time pass.
    pub(crate) fn run(&mut self, micros: i64) {
        let end = self.now + micros;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().at <= end) {
            self.now = entry.key().at;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PeerFrame { from, to, frame } => self.receive_from_peer(from, to, &frame),
            Event::SessionFrame { gateway, session, frame } if self.is_current(gateway, session) => {
                let node = self.gateways[gateway].node;
                let message = self.unpack(node, &frame);
                self.call(node, |state_machine, now| state_machine.session_message(now, session, message));
            }
            Event::GatewayMessage { gateway, session, message } if self.is_current(gateway, session) => {
                self.receive_at_gateway(gateway, message);
            }
            Event::GatewayItems { gateway, session, items } if self.is_current(gateway, session) => {
                self.merge_at_gateway(gateway, &items);
                let node = self.gateways[gateway].node;
                self.call(node, |state_machine, now| state_machine.session_drained(now, session));
            }
            // What was on its way when its session ended is lost.
            Event::SessionFrame { .. } | Event::GatewayMessage { .. } | Event::GatewayItems { .. } => {}
            Event::Persisted(node, request_id) => {
                self.call(node, |state_machine, now| state_machine.records_persisted(now, request_id));
            }
            Event::Connect(gateway) => self.connect_gateway(gateway),
            periodic => self.handle_periodic(periodic),
        }
    }

    fn handle_periodic(&mut self, event: Event) {
        let interval = match event {
            Event::Tick(node) => {
                self.call(node, |state_machine, now| state_machine.tick(now));
                TICK_INTERVAL
            }
            Event::Heartbeat(gateway) => {
                if self.gateways[gateway].is_connected() {
                    self.send_heartbeat(gateway);
                }
                HEARTBEAT_INTERVAL
            }
            Event::Report(gateway) => {
                if self.reports_usage && self.gateways[gateway].is_ready {
                    self.report_usage(gateway);
                }
                REPORT_INTERVAL
            }
            Event::RequestGrant(gateway) => {
                self.request_grant(gateway);
                SECOND / TENANTS_PER_REPORT as i64
            }
            Event::ReadBackends => {
                self.read_backends();
                LIST_INTERVAL
            }
            _ => return,
        };
        self.schedule(interval, event);
    }

    fn receive_from_peer(&mut self, from: usize, to: usize, frame: &[u8]) {
        let message = self.unpack(to, frame);
        let node_id = self.nodes[from].replica.node_id.clone();
        self.call(to, |state_machine, now| state_machine.peer_message(now, &node_id, message));
    }

    fn is_current(&self, gateway: usize, session: u64) -> bool {
        self.gateways[gateway].session == session
    }

    /// Measures from now on.
    pub(crate) fn reset_loads(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.load = Load::default());
        self.gateways_load = Load::default();
    }

    /// Lets this time pass, and gives the loads of a second in it.
    pub(crate) fn measure(&mut self, micros: i64) -> Loads {
        self.reset_loads();
        self.run(micros);
        let coordinator = self.coordinator().expect("there is a coordinator");
        let seconds = micros as f64 / 1e6;
        let others: Vec<Load> =
            (0..NODES).filter(|n| *n != coordinator).map(|n| self.nodes[n].load).collect();
        Loads {
            session_holder: mean(&others, seconds),
            coordinator: mean(&[self.nodes[coordinator].load], seconds),
            gateway: mean(&[self.gateways_load], seconds * self.gateways.len() as f64),
        }
    }
}
