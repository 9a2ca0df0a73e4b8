//! The six control processes: their state machines, what they send, and what that costs.

use crate::deployment::{Location, NODES, NODE_LOCATIONS};
use crate::measurements::Load;
use crate::simulation::{timestamp, Event, Simulation};
use kitepass_config::Item;
use kitepass_control_plane::request::Response;
use kitepass_control_plane::state_machine::{Action, Start, StateMachine};
use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::{pack, pack_items, Assembler, Message};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::Timestamp;
use serde_json::Value;
use std::sync::Arc;
use std::time::Instant;

/// One way through the network, in microseconds: within a region, between regions.
pub(crate) const LATENCY_WITHIN_REGION: i64 = 1_000;
const LATENCY_BETWEEN_REGIONS: i64 = 55_000;
/// A sync of a disk, in microseconds.
const SYNC_TIME: i64 = 5_000;
pub(crate) const TICK_INTERVAL: i64 = 100_000;
/// Between the first ticks of two nodes.
const TICK_OFFSET: i64 = 16_000;
const QUOTA_TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
/// The number under which the state machines know the operator.
const OPERATOR: u64 = 1;

pub(crate) struct Node {
    pub(crate) replica: Replica,
    pub(crate) state_machine: StateMachine,
    pub(crate) load: Load,
}

impl Node {
    pub(crate) fn start(n: usize) -> Node {
        let Location { zone, region } = NODE_LOCATIONS[n];
        let replica = Replica {
            node_id: format!("sorting-{zone}-{n}"),
            address: format!("10.0.0.{n}"),
            zone: zone.to_owned(),
            region: region.to_owned(),
            replica_id: 0,
        };
        let start = Start {
            replica: replica.clone(),
            incarnation: 1_000 + n as u64,
            is_first_start: true,
            is_bootstrap_node: n == 0,
            records: vec![],
            tolerance: QUOTA_TOLERANCE,
        };
        let state_machine = StateMachine::new(timestamp(0), start);
        Node { state_machine, replica, load: Load::default() }
    }
}

impl Simulation {
    /// Connects all nodes to each other, and sets their first ticks.
    pub(crate) fn connect_nodes(&mut self) {
        for from in 0..NODES {
            for to in (0..NODES).filter(|to| *to != from) {
                let hello = self.nodes[from].state_machine.hello();
                self.call(to, |state_machine, now| state_machine.peer_connected(now, &hello));
            }
            self.schedule(1 + from as i64 * TICK_OFFSET, Event::Tick(from));
        }
    }

    /// The active coordinator's node.
    pub(crate) fn coordinator(&self) -> Option<usize> {
        let now = timestamp(self.now);
        self.nodes.iter().position(|node| node.state_machine.lease_term(now).is_some())
    }

    /// Calls a state machine, with its time measured, and carries out what it wants done.
    pub(crate) fn call<T>(&mut self, n: usize, call: impl FnOnce(&mut StateMachine, Timestamp) -> T) -> T {
        let (now, node) = (timestamp(self.now), &mut self.nodes[n]);
        let begun = Instant::now();
        let result = call(&mut node.state_machine, now);
        let actions = std::mem::take(&mut node.state_machine.actions);
        node.load.busy += begun.elapsed();
        actions.into_iter().for_each(|action| self.perform(n, action));
        result
    }

    /// An operator's change at a node.
    pub(crate) fn patch(&mut self, n: usize, body: &Value) {
        self.watched.answered = None;
        let body = body.to_string();
        let request = self.call(n, |state_machine, _| state_machine.parse_change_request(body.as_bytes()));
        let request = request.expect("a valid change");
        self.call(n, |state_machine, now| state_machine.handle_request(now, OPERATOR, request));
    }

    fn perform(&mut self, n: usize, action: Action) {
        match action {
            Action::SendToPeer(node_id, message) => self.send_to_peer(n, &node_id, message),
            Action::SendToSession(session, message) => self.send_to_session(n, session, message),
            Action::SendItems(session, items) => self.send_items(n, session, items),
            Action::Persist(request_id, _) => self.schedule(SYNC_TIME, Event::Persisted(n, request_id)),
            Action::Respond(_, response) => {
                assert_eq!(response, Response::Done, "all changes made here are valid");
                self.watched.answered = Some(self.now);
            }
            Action::CloseSession(session) => panic!("session {session} was closed"),
        }
    }

    fn send_to_peer(&mut self, from: usize, node_id: &str, message: Message) {
        let to = self.nodes.iter().position(|node| node.replica.node_id == node_id).expect("one of six");
        let is_configuration = is_configuration(&message);
        let frame = self.pack(from, message);
        if is_configuration {
            self.to_nodes.add(frame.len());
        }
        let is_same_region = NODE_LOCATIONS[from].region == NODE_LOCATIONS[to].region;
        let latency = if is_same_region { LATENCY_WITHIN_REGION } else { LATENCY_BETWEEN_REGIONS };
        self.schedule(latency, Event::PeerFrame { from, to, frame });
    }

    fn send_to_session(&mut self, n: usize, session: u64, message: Message) {
        let Some(gateway) = self.gateway_of(session) else { return };
        let length = self.pack(n, message.clone()).len();
        self.gateways_load.received(length);
        self.schedule(LATENCY_WITHIN_REGION, Event::GatewayMessage { gateway, session, message });
    }

    fn send_items(&mut self, n: usize, session: u64, items: Arc<[Item]>) {
        let Some(gateway) = self.gateway_of(session) else { return };
        let (mut frame, begun) = (Vec::new(), Instant::now());
        pack_items(items.iter(), &mut frame);
        self.nodes[n].load.busy += begun.elapsed();
        if frame.is_empty() {
            return;
        }
        self.nodes[n].load.sent(frame.len());
        self.gateways_load.received(frame.len());
        self.to_gateways.add(frame.len());
        self.schedule(LATENCY_WITHIN_REGION, Event::GatewayItems { gateway, session, items });
    }

    fn pack(&mut self, n: usize, message: Message) -> Vec<u8> {
        let (mut frame, begun) = (Vec::new(), Instant::now());
        pack(message, &mut frame);
        self.nodes[n].load.busy += begun.elapsed();
        self.nodes[n].load.sent(frame.len());
        frame
    }

    /// A node takes a message off its input.
    pub(crate) fn unpack(&mut self, n: usize, frame: &[u8]) -> Message {
        let begun = Instant::now();
        let message = Assembler::default().next(frame, &mut 0);
        self.nodes[n].load.busy += begun.elapsed();
        self.nodes[n].load.received(frame.len());
        message.expect("packed here").expect("complete")
    }
}

/// Whether a message between nodes carries a part of the configuration.
fn is_configuration(message: &Message) -> bool {
    matches!(
        message,
        Message::AcceptRequest(_)
            | Message::AcceptResponse(_)
            | Message::PrepareRequest(_)
            | Message::PrepareResponse(_)
            | Message::Items(_)
    )
}
