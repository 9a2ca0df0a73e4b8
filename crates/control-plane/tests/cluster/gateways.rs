//! Gateways and their control sessions with the processes of a [`Cluster`].

use super::{timestamp, Cluster};
use kitepass_coordination::protocol::{Hello, ItemMessage, Items, Message};
use kitepass_data_plane::control_session::{CandidateOutcome, ControlSession, SessionUpdates};
use kitepass_time::Duration;
use std::collections::BTreeMap;

/// A gateway: its control session, its connection to a control process, and the candidate connection that may replace
/// it.
pub(crate) struct Gateway {
    pub(crate) session: ControlSession,
    client_address: String,
    pub(crate) connection: Option<Connection>,
    pub(crate) candidate: Option<Connection>,
}

/// A gateway's connection to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Connection {
    /// Number of the control process at the other end.
    pub(crate) node: usize,
    pub(crate) id: u64,
}

/// A message in transit between a gateway and a control process.
pub(crate) struct SessionMessage {
    due_at: i64,
    connection_id: u64,
    pub(crate) is_from_gateway: bool,
    pub(crate) message: Message,
}

impl Gateway {
    /// The number of the process that this gateway has its session with.
    pub(crate) fn node(&self) -> Option<usize> {
        self.connection.map(|connection| connection.node)
    }

    /// The address on which this gateway serves clients.
    pub(crate) fn client_address(&self) -> &str {
        &self.client_address
    }

    /// The most recently opened of its connections.
    pub(crate) fn newest_connection(&self) -> Option<Connection> {
        self.candidate.or(self.connection)
    }

    /// The process at the other end of this gateway's connection with this ID.
    fn node_of_connection(&self, connection_id: u64) -> Option<usize> {
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

    /// Sets how long gateways may go without being synced with a control process.
    pub(super) fn set_gateways_max_unsynced(&mut self, max_unsynced: Duration) {
        self.gateways.iter_mut().for_each(|gateway| gateway.session.set_max_unsynced_time(max_unsynced));
    }

    /// Handles a session that was closed by its control process.
    pub(super) fn close_session(&mut self, connection_id: u64) {
        self.closed_sessions.insert(connection_id);
        let Some(gateway) = self.gateway_index(connection_id) else { return };
        let gateway = &mut self.gateways[gateway];
        if gateway.connection.is_some_and(|connection| connection.id == connection_id) {
            gateway.connection = None;
            gateway.session.connection_lost("closed");
        } else {
            gateway.candidate = None;
            gateway.session.candidate_lost("closed");
        }
    }

    fn gateway_index(&self, connection_id: u64) -> Option<usize> {
        let has_id = |connection: Connection| connection.id == connection_id;
        let owns_connection =
            |it: &Gateway| it.connection.is_some_and(has_id) || it.candidate.is_some_and(has_id);
        self.gateways.iter().position(owns_connection)
    }

    /// Tells the control process that the gateway has closed a connection.
    fn close_at_process(&mut self, connection: Option<Connection>, reason: &str) {
        let now = timestamp(self.now);
        let Some(Connection { node, id }) = connection else { return };
        if let Some(state_machine) = self.nodes[node].state_machine.as_mut() {
            state_machine.session_closed(now, id, reason);
        }
    }

    fn drop_session(&mut self, gateway: usize, reason: &str) {
        let connection = self.gateways[gateway].connection.take();
        self.close_at_process(connection, reason);
        self.gateways[gateway].session.connection_lost(reason);
    }

    fn drop_candidate(&mut self, gateway: usize, reason: &str) {
        let candidate = self.gateways[gateway].candidate.take();
        self.close_at_process(candidate, reason);
        self.gateways[gateway].session.candidate_lost(reason);
    }

    /// Ticks each gateway ten times a second, and sends and delivers the messages between gateways and control
    /// processes.
    pub(super) fn step_sessions(&mut self) {
        for gateway in 0..self.gateways.len() {
            if self.now % 100 == gateway as i64 % 10 * 10 {
                self.tick_gateway(gateway);
            }
            self.send_gateway_messages(gateway);
        }
        let now = self.now;
        let due: Vec<_> = self.session_messages.extract_if(.., |it| it.due_at <= now).collect();
        due.into_iter().for_each(|message| self.deliver_session_message(message));
    }

    fn tick_gateway(&mut self, gateway: usize) {
        let now = timestamp(self.now);
        let outcome = self.gateways[gateway].session.tick(now);
        if outcome.should_close_candidate {
            self.drop_candidate(gateway, "timed-out");
        }
        if outcome.should_close_session {
            self.drop_session(gateway, "timed-out");
        }
        let draw = self.rng.rand_u64();
        if let Some(address) = self.gateways[gateway].session.next_control_process(now, draw) {
            let node: usize = address[7..].parse().unwrap();
            self.connection_count += 1;
            self.gateways[gateway].candidate = Some(Connection { node, id: self.connection_count });
        }
        self.gateways[gateway].session.is_ready = self.gateways[gateway].session.is_caught_up();
    }

    /// Sends the messages that a gateway has queued for its session and for its candidate connection.
    fn send_gateway_messages(&mut self, gateway: usize) {
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
        let Some(gateway) = self.gateway_index(due.connection_id) else { return };
        let Some(node) = self.gateways[gateway].node_of_connection(due.connection_id) else { return };
        if self.is_gateway_partitioned(gateway, node) || due.is_from_gateway && !self.is_running(node) {
            // The message stays in the socket buffer; delivery is retried after 50 ms.
            self.session_messages.push(SessionMessage { due_at: due.due_at + 50, ..due });
        } else if due.is_from_gateway {
            self.deliver_to_process(node, due);
        } else {
            self.deliver_to_gateway(gateway, node, due);
        }
    }

    fn deliver_to_process(&mut self, node: usize, due: SessionMessage) {
        let now = timestamp(self.now);
        let Some(state_machine) = self.nodes[node].state_machine.as_mut() else { return };
        match due.message {
            Message::Hello(hello) => state_machine.session_opened(now, due.connection_id, hello),
            message => state_machine.session_message(now, due.connection_id, message),
        }
    }

    fn deliver_to_gateway(&mut self, gateway: usize, node: usize, due: SessionMessage) {
        let now = timestamp(self.now);
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

    /// Handles the first message on a candidate connection.
    fn deliver_hello(&mut self, gateway: usize, message: &Message) {
        let Message::Hello(hello) = message else { panic!("expected a hello, got {message:?}") };
        let now = timestamp(self.now);
        let Gateway { session, connection, candidate, .. } = &mut self.gateways[gateway];
        let closed = match session.candidate_hello(now, hello) {
            CandidateOutcome::Promoted => std::mem::replace(connection, candidate.take()),
            CandidateOutcome::Rejected => candidate.take(),
        };
        self.close_at_process(closed, "left");
    }

    /// The messages in flight on a gateway's newest connection.
    pub(crate) fn gateway_messages(&mut self, gateway: usize) -> impl Iterator<Item = &mut SessionMessage> {
        let connection_id = self.gateways[gateway].newest_connection().map(|connection| connection.id);
        self.session_messages.iter_mut().filter(move |it| Some(it.connection_id) == connection_id)
    }

    /// Total size of the items in flight to gateways, in bytes.
    pub(crate) fn item_bytes_in_flight(&self) -> usize {
        let bytes = |message: &Message| match message {
            Message::Items(items) => {
                items.items.iter().map(|i| i.value.as_ref().map_or(0, |v| v.len()) + 32).sum()
            }
            _ => 0,
        };
        let to_gateways = self.session_messages.iter().filter(|message| !message.is_from_gateway);
        to_gateways.map(|message| bytes(&message.message)).sum()
    }

    pub(super) fn send_session_message(
        &mut self,
        connection_id: u64,
        is_from_gateway: bool,
        message: Message,
    ) {
        let earliest = self.now + self.rng.rand_range(1..60) as i64;
        let is_same_direction =
            |it: &&SessionMessage| (it.connection_id, it.is_from_gateway) == (connection_id, is_from_gateway);
        let previous = self.session_messages.iter().filter(is_same_direction).map(|it| it.due_at).max();
        let due_at = earliest.max(previous.unwrap_or(0));
        self.session_messages.push(SessionMessage { due_at, connection_id, is_from_gateway, message });
    }

    fn is_gateway_partitioned(&self, gateway: usize, node: usize) -> bool {
        self.gateway_partitions.get(&(gateway, node)).is_some_and(|until| *until > self.now)
    }
}
