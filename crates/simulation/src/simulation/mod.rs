//! The simulation: machines with their processes and disks, links, gateways and operators, driven by a queue
//! of events and a seed.
//!
//! Each module implements one part of [`Simulation`]: `events` the event queue; `machines` and `processes`
//! the control processes with their disks; `connections` and `delivery` the network; `gateways`, `endpoints`
//! and `operators` the users of the control plane; `faults` the injected faults; `convergence` the end of a
//! run.
//!
//! All times are in microseconds since the start. Invariant: a seed determines a run completely. Code that
//! draws random numbers, schedules events or iterates over a map must do so in an order that only the seed
//! determines.

mod connections;
mod convergence;
mod delivery;
mod endpoints;
mod events;
mod faults;
mod gateways;
mod logging;
mod machines;
mod operators;
mod processes;

use crate::coverage::Coverage;
use crate::digest::Traffic;
use crate::gateway::Gateway;
use crate::history::{AttemptId, HistoryEvent, ResponseStatus};
use crate::network::{Host, Network};
use crate::operator::{ChangeRegistry, Operator};
use crate::rng::{RandomStream, Rng};
use crate::scenario::{
    zone_name, Layout, Scenario, ScheduledFault, Workload, BOOTSTRAP_PERIOD, MILLISECOND, SECOND,
};
use events::{Event, EventQueue};
use faults::{Crash, ResponseLoss};
use kitepass_control_plane::endpoints::Endpoint;
use kitepass_coordination::protocol::Hello;
pub use logging::ProcessLogger;
use machines::Node;
use operators::Attempt;
use std::collections::BTreeMap;

/// Interval of a process's timer.
const TICK_INTERVAL: i64 = 100 * MILLISECOND;
/// Age of the list of control process addresses that operators maintain.
const ADDRESS_LIST_LAG: i64 = 3 * SECOND;
/// Maximum delay of a process's first start.
const MAX_START_DELAY: i64 = 300 * MILLISECOND;
/// Interval at which the network removes ended partitions and old closed channels.
const REMOVE_EXPIRED_INTERVAL: i64 = 5 * SECOND;

/// The state of a run.
pub struct Simulation {
    /// The current time.
    pub now: i64,
    layout: Layout,
    workload: Workload,
    scheduled_faults: Vec<ScheduledFault>,
    /// Time until which operators start new operations.
    active_until: i64,
    events: EventQueue,
    /// All machines of control processes, including replaced ones.
    nodes: Vec<Node>,
    /// The current node of each replica.
    replica_nodes: Vec<usize>,
    /// The nodes of the replicas over time, each entry with the time from which it applies.
    replica_history: Vec<(i64, Vec<usize>)>,
    gateways: Vec<Gateway>,
    network: Network,
    operators: Vec<Operator>,
    registry: ChangeRegistry,
    /// Requests in progress.
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The status of each response, by request.
    responses: BTreeMap<AttemptId, ResponseStatus>,
    response_loss: ResponseLoss,
    /// The crash that the next process to confirm a change suffers.
    crash_at_confirmation: Option<Crash>,
    /// End of the last fault of a node or of a link between nodes.
    unstable_until: i64,
    /// End of the current split of the replicas.
    split_until: i64,
    last_incarnation: u64,
    /// Draws latencies, disk behaviour and restarts.
    rng: Rng,
    /// Draws the operators' behaviour.
    operator_rng: Rng,
    /// The platform's endpoint list.
    endpoints: Vec<Endpoint>,
    /// The events recorded so far.
    pub history: Vec<HistoryEvent>,
    /// How often each fault and event occurred.
    pub coverage: Coverage,
    /// Amount of data sent over connections and written to disks.
    pub traffic: Traffic,
    /// Whether to print events as they occur.
    pub is_verbose: bool,
}

impl Simulation {
    /// Creates a simulation at time 0. Its machines start shortly after.
    pub fn new(scenario: &Scenario) -> Simulation {
        let mut rng = Rng::new(scenario.seed, RandomStream::Environment);
        let layout = scenario.layout.clone();
        let mut simulation = Simulation {
            now: 0,
            workload: scenario.workload,
            scheduled_faults: scenario.faults.clone(),
            active_until: scenario.active_until,
            events: EventQueue::default(),
            nodes: Vec::new(),
            replica_nodes: Vec::new(),
            replica_history: Vec::new(),
            gateways: Vec::new(),
            network: Network::default(),
            operators: (0..scenario.workload.operator_count).map(|_| Operator::default()).collect(),
            registry: ChangeRegistry::default(),
            attempts: BTreeMap::new(),
            responses: BTreeMap::new(),
            response_loss: ResponseLoss::default(),
            crash_at_confirmation: None,
            unstable_until: 0,
            split_until: 0,
            last_incarnation: rng.next_u64() >> 16 << 8,
            rng,
            operator_rng: Rng::new(scenario.seed, RandomStream::Operators),
            endpoints: endpoints::initial_endpoints(&layout),
            history: Vec::new(),
            coverage: Coverage::default(),
            traffic: Traffic::default(),
            is_verbose: false,
            layout,
        };
        simulation.add_machines();
        simulation.schedule_first_events();
        simulation
    }

    fn add_machines(&mut self) {
        for replica in 0..self.layout.replica_count() {
            let node = self.add_node(replica);
            self.replica_nodes.push(node);
            let at = self.rng.in_range(0..MAX_START_DELAY);
            self.schedule(at, Event::StartProcess { node });
        }
        self.record_replicas();
        for gateway in 0..self.layout.gateway_count {
            let zone = self.layout.gateway_zone(gateway);
            let hello = Hello {
                node_id: Host::Gateway(gateway).to_string(),
                zone: zone_name(zone),
                region: self.layout.region_name(zone),
                incarnation: self.rng.next_u64(),
                client_address: format!("10.1.0.{gateway}:80"),
                ..Hello::default()
            };
            self.gateways.push(Gateway::new(hello, self.bootstrap_addresses(), self.regions_by_zone()));
            let at = self.rng.in_range(0..MAX_START_DELAY);
            self.schedule(at, Event::GatewayTick { gateway });
        }
    }

    fn schedule_first_events(&mut self) {
        for index in 0..self.scheduled_faults.len() {
            self.schedule(self.scheduled_faults[index].at, Event::InjectFault { index });
        }
        for operator in 0..self.operators.len() {
            let at = BOOTSTRAP_PERIOD - SECOND + self.operator_rng.in_range(0..SECOND);
            self.schedule(at, Event::RunOperator { operator });
        }
        self.schedule(SECOND, Event::ListEndpoints);
        self.schedule(SECOND, Event::RemoveExpired);
    }

    fn regions_by_zone(&self) -> BTreeMap<String, String> {
        let zones = 0..self.layout.zone_regions.len();
        zones.map(|zone| (zone_name(zone), self.layout.region_name(zone))).collect()
    }

    /// The addresses in a settings file that is written now: those of at most three machines, taken from the
    /// operators' list, which is [`ADDRESS_LIST_LAG`] old.
    fn bootstrap_addresses(&self) -> Vec<String> {
        let listed_at = self.now - ADDRESS_LIST_LAG;
        let listed = self.replica_history.iter().rev().find(|(since, _)| *since <= listed_at);
        let nodes =
            listed.or_else(|| self.replica_history.first()).map_or(&self.replica_nodes, |(_, nodes)| nodes);
        self.layout.initial_replicas.iter().map(|replica| machines::node_address(nodes[*replica])).collect()
    }

    /// Records that the assignment of replicas to machines has changed.
    fn record_replicas(&mut self) {
        self.replica_history.push((self.now, self.replica_nodes.clone()));
    }

    fn schedule(&mut self, at: i64, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    /// Prints an event if the simulation is verbose.
    fn log(&self, line: std::fmt::Arguments) {
        if self.is_verbose {
            println!("t={:.6} {line}", self.now as f64 / 1e6);
        }
    }

    /// Runs until the given time, including all events due at that time.
    pub fn run_until(&mut self, end: i64) {
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs for the given time.
    pub fn run_for(&mut self, duration: i64) {
        self.run_until(self.now + duration);
    }

    /// The node whose process handles an event, if any.
    fn target_node(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Tick { node, .. }
            | Event::SyncDue { node, .. }
            | Event::SessionLostAtNode { node, .. }
            | Event::PeerConnectionLost { node, .. } => Some(*node),
            Event::MessageDue { channel, .. } => match self.network.channels.get(channel)?.to.host {
                Host::Node(node) => Some(node),
                Host::Gateway(_) => None,
            },
            Event::RequestDue { attempt } => Some(self.attempts.get(attempt)?.node),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        let node = self.target_node(&event);
        // A paused process handles no events; they wait as if in its sockets.
        if let Some(node) = node.filter(|node| self.nodes[*node].is_paused(self.now)) {
            return self.nodes[node].queued_events.push(event);
        }
        match event {
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::StartProcess { node } => self.start_process(node),
            Event::Resume { node } => self.resume(node),
            Event::SyncDue { node, incarnation } => self.complete_sync(node, incarnation),
            Event::MessageDue { channel, message } => self.message_due(channel, message),
            Event::ReleaseBlocked { channel } => self.release_blocked(channel),
            Event::PeerConnectionLost { node, incarnation, channel } => {
                self.peer_connection_lost(node, incarnation, channel);
            }
            Event::ClosedByReceiver { channel } => self.closed_by_receiver(channel),
            Event::SessionLostAtNode { node, incarnation, session } => {
                self.session_lost_at_node(node, incarnation, session);
            }
            Event::SessionLostAtGateway { gateway, session } => {
                self.session_lost_at_gateway(gateway, session);
            }
            Event::GatewayTick { gateway } => self.gateway_tick(gateway),
            Event::InjectFault { index } => {
                let fault = self.scheduled_faults[index].fault.clone();
                self.inject(&fault);
            }
            Event::RunOperator { operator } => self.run_operator(operator),
            Event::RequestDue { attempt } => self.request_due(attempt),
            Event::ResponseDue { attempt, response } => self.response_due(attempt, response),
            Event::ResponseTimeout { attempt } => self.response_timeout(attempt),
            Event::ListEndpoints => self.list_endpoints(),
            Event::RemoveExpired => {
                self.network.remove_expired(self.now);
                self.schedule(self.now + REMOVE_EXPIRED_INTERVAL, Event::RemoveExpired);
            }
        }
        if let Some(node) = node {
            self.after_event(node);
        }
    }

    /// The gateways, by index.
    pub fn gateways(&self) -> &[Gateway] {
        &self.gateways
    }

    /// The node that currently holds a replica's position.
    pub fn node_of(&self, replica: usize) -> usize {
        self.replica_nodes[replica]
    }
}
