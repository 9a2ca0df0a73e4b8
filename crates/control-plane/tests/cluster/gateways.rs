//! Gateways' control sessions with the processes of a [`Cluster`].

use super::{at, Cluster};
use kitepass_coordination::protocol::{Hello, ItemMessage, Items, Message};
use kitepass_data_plane::control_session::{CandidateOutcome, ControlSession, SessionUpdates};
use kitepass_time::Duration;
use std::collections::BTreeMap;

/// A gateway: its control session, the connection that it has to a control process, and the one that it is opening.
pub(crate) struct Gateway {
    pub(crate) session: ControlSession,
    client_address: String,
    pub(crate) connection: Option<Connection>,
    pub(crate) candidate: Option<Connection>,
}

/// A gateway's connection to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Connection {
    /// Number of the process.
    pub(crate) node: usize,
    pub(crate) id: u64,
}

/// A message between a gateway and its control process.
pub(crate) struct SessionMessage {
    due_at: i64,
    connection_id: u64,
    pub(crate) is_from_gateway: bool,
    pub(crate) message: Message,
}

impl Gateway {
    /// The number of the process that it is connected to.
    pub(crate) fn node(&self) -> Option<usize> {
        self.connection.map(|connection| connection.node)
    }

    /// Where clients reach it.
    pub(crate) fn client_address(&self) -> &str {
        &self.client_address
    }

    /// The connection that it opened last, of those that it has.
    pub(crate) fn newest_connection(&self) -> Option<Connection> {
        self.candidate.or(self.connection)
    }

    /// The number of the process at the other end of one of its connections.
    fn node_of(&self, connection_id: u64) -> Option<usize> {
        let mut connections = self.connection.iter().chain(&self.candidate);
        connections.find(|connection| connection.id == connection_id).map(|connection| connection.node)
    }
}

impl Cluster {
    /// Adds gateways, spread over the zones.
    pub(crate) fn add_gateways(&mut self, count: usize) {
        let regions: BTreeMap<String, String> =
            self.nodes.iter().map(|n| (n.replica.zone.clone(), n.replica.region.clone())).collect();
        let bootstrap_addresses: Vec<String> = [0, 2, 4].map(|n| format!("10.0.0.{n}")).into();
        for gateway in self.gateways.len()..self.gateways.len() + count {
            let replica = &self.nodes[gateway % 6].replica;
            let hello = Hello {
                node_id: format!("g{gateway}"),
                zone: replica.zone.clone(),
                region: replica.region.clone(),
                incarnation: gateway as u64 + 1,
                client_address: format!("10.1.0.{gateway}:80"),
                ..Hello::default()
            };
            let client_address = hello.client_address.clone();
            let session = ControlSession::new(hello, bootstrap_addresses.clone(), regions.clone());
            self.gateways.push(Gateway { session, client_address, connection: None, candidate: None });
        }
    }

    /// Gateways may be without a session for so long.
    pub(super) fn set_gateways_alone(&mut self, alone: Duration) {
        self.gateways.iter_mut().for_each(|gateway| gateway.session.set_max_unsynced_time(alone));
    }

    /// A control process has closed a session.
    pub(super) fn close_session(&mut self, connection_id: u64) {
        self.closed.insert(connection_id);
        let Some(gateway) = self.gateway_of(connection_id) else { return };
        let gateway = &mut self.gateways[gateway];
        if gateway.connection.is_some_and(|connection| connection.id == connection_id) {
            gateway.connection = None;
            gateway.session.connection_lost("closed");
        } else {
            gateway.candidate = None;
            gateway.session.candidate_lost("closed");
        }
    }

    fn gateway_of(&self, connection_id: u64) -> Option<usize> {
        let is_its = |connection: Connection| connection.id == connection_id;
        let is_of = |it: &Gateway| it.connection.is_some_and(is_its) || it.candidate.is_some_and(is_its);
        self.gateways.iter().position(is_of)
    }

    /// The gateway has closed a connection: its control process notices.
    fn close_at_process(&mut self, connection: Option<Connection>, why: &str) {
        let now = at(self.now);
        let Some(Connection { node, id }) = connection else { return };
        if let Some(state_machine) = self.nodes[node].state_machine.as_mut() {
            state_machine.session_closed(now, id, why);
        }
    }

    fn drop_session(&mut self, gateway: usize, why: &str) {
        let connection = self.gateways[gateway].connection.take();
        self.close_at_process(connection, why);
        self.gateways[gateway].session.connection_lost(why);
    }

    fn drop_candidate(&mut self, gateway: usize, why: &str) {
        let candidate = self.gateways[gateway].candidate.take();
        self.close_at_process(candidate, why);
        self.gateways[gateway].session.candidate_lost(why);
    }

    /// The gateways' turn, ten times a second, and the messages between them and the control processes.
    pub(super) fn step_sessions(&mut self) {
        for gateway in 0..self.gateways.len() {
            if self.now % 100 == gateway as i64 % 10 * 10 {
                self.tick_gateway(gateway);
            }
            self.send_of_gateway(gateway);
        }
        let now = self.now;
        let due: Vec<_> = self.session_messages.extract_if(.., |it| it.due_at <= now).collect();
        due.into_iter().for_each(|message| self.deliver_session_message(message));
    }

    fn tick_gateway(&mut self, gateway: usize) {
        let now = at(self.now);
        let outcome = self.gateways[gateway].session.tick(now);
        if outcome.should_close_candidate {
            self.drop_candidate(gateway, "timed-out");
        }
        if outcome.should_close_session {
            self.drop_session(gateway, "timed-out");
        }
        let draw = self.random.rand_u64();
        if let Some(address) = self.gateways[gateway].session.next_control_process(now, draw) {
            let node: usize = address[7..].parse().unwrap();
            self.connection_count += 1;
            self.gateways[gateway].candidate = Some(Connection { node, id: self.connection_count });
        }
        self.gateways[gateway].session.is_ready = self.gateways[gateway].session.is_caught_up();
    }

    /// Sends what a gateway has for its control process, and for the one that it connects to.
    fn send_of_gateway(&mut self, gateway: usize) {
        let is_refused =
            |it: Option<Connection>| it.is_some_and(|it| self.nodes[it.node].state_machine.is_none());
        let Gateway { connection, candidate, .. } = self.gateways[gateway];
        let (is_session_refused, is_candidate_refused) = (is_refused(connection), is_refused(candidate));
        if is_candidate_refused {
            self.drop_candidate(gateway, "refused");
        }
        if is_session_refused {
            self.drop_session(gateway, "refused");
        }
        let session = &mut self.gateways[gateway].session;
        let items = std::mem::take(&mut session.outgoing_items);
        let items = (!items.is_empty())
            .then(|| Message::Items(Items::complete(items.iter().map(ItemMessage::from).collect())));
        let on_session: Vec<Message> =
            std::mem::take(&mut session.outgoing).into_iter().chain(items).collect();
        let on_candidate = std::mem::take(&mut session.candidate_outgoing);
        let Gateway { connection, candidate, .. } = &self.gateways[gateway];
        for (connection, messages) in [(*connection, on_session), (*candidate, on_candidate)] {
            let Some(Connection { id, .. }) = connection else { continue };
            messages.into_iter().for_each(|message| self.send_session_message(id, true, message));
        }
    }

    fn deliver_session_message(&mut self, due: SessionMessage) {
        let Some(gateway) = self.gateway_of(due.connection_id) else { return };
        let Some(node) = self.gateways[gateway].node_of(due.connection_id) else { return };
        if self.is_gateway_cut_off(gateway, node) || due.is_from_gateway && !self.is_running(node) {
            // It waits in the socket.
            self.session_messages.push(SessionMessage { due_at: due.due_at + 50, ..due });
        } else if due.is_from_gateway {
            self.deliver_to_process(node, due);
        } else {
            self.deliver_to_gateway(gateway, node, due);
        }
    }

    fn deliver_to_process(&mut self, node: usize, due: SessionMessage) {
        let now = at(self.now);
        let Some(state_machine) = self.nodes[node].state_machine.as_mut() else { return };
        match due.message {
            Message::Hello(hello) => state_machine.session_opened(now, due.connection_id, hello),
            message => state_machine.session_message(now, due.connection_id, message),
        }
    }

    fn deliver_to_gateway(&mut self, gateway: usize, node: usize, due: SessionMessage) {
        let now = at(self.now);
        let state_machine = self.nodes[node].state_machine.as_mut();
        if let Some(state_machine) = state_machine.filter(|_| matches!(due.message, Message::Items(_))) {
            state_machine.session_output_drained(now, due.connection_id);
        }
        if self.gateways[gateway].candidate.is_some_and(|candidate| candidate.id == due.connection_id) {
            return self.deliver_hello(gateway, &due.message);
        }
        let mut updates = SessionUpdates::default();
        self.gateways[gateway].session.receive(now, due.message, &mut updates);
        if updates.should_close {
            self.drop_session(gateway, "not-current");
        }
    }

    /// The first message on the connection that a gateway is opening.
    fn deliver_hello(&mut self, gateway: usize, message: &Message) {
        let Message::Hello(hello) = message else { panic!("no hello: {message:?}") };
        let now = at(self.now);
        let Gateway { session, connection, candidate, .. } = &mut self.gateways[gateway];
        let closed = match session.candidate_hello(now, hello) {
            CandidateOutcome::Promoted => std::mem::replace(connection, candidate.take()),
            CandidateOutcome::Rejected => candidate.take(),
        };
        self.close_at_process(closed, "left");
    }

    /// The messages in flight on the connection that a gateway opened last.
    pub(crate) fn messages_of_gateway(
        &mut self,
        gateway: usize,
    ) -> impl Iterator<Item = &mut SessionMessage> {
        let connection_id = self.gateways[gateway].newest_connection().map(|connection| connection.id);
        self.session_messages.iter_mut().filter(move |it| Some(it.connection_id) == connection_id)
    }

    /// Bytes of items that are in flight to gateways.
    pub(crate) fn item_bytes_in_flight(&self) -> usize {
        let bytes = |message: &Message| match message {
            Message::Items(items) => {
                items.items.iter().map(|i| i.value.as_ref().map_or(0, |v| v.len()) + 32).sum()
            }
            _ => 0,
        };
        let to_gateways = self.session_messages.iter().filter(|it| !it.is_from_gateway);
        to_gateways.map(|it| bytes(&it.message)).sum()
    }

    pub(super) fn send_session_message(
        &mut self,
        connection_id: u64,
        is_from_gateway: bool,
        message: Message,
    ) {
        let late = self.now + self.random.rand_range(1..60) as i64;
        let is_same_way =
            |it: &&SessionMessage| (it.connection_id, it.is_from_gateway) == (connection_id, is_from_gateway);
        let last = self.session_messages.iter().filter(is_same_way).map(|it| it.due_at).max();
        let due_at = late.max(last.unwrap_or(0));
        self.session_messages.push(SessionMessage { due_at, connection_id, is_from_gateway, message });
    }

    fn is_gateway_cut_off(&self, gateway: usize, node: usize) -> bool {
        self.gateway_partitions.get(&(gateway, node)).is_some_and(|until| *until > self.now)
    }
}
