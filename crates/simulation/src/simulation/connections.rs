//! Opening and closing of connections and sessions.

use super::events::Event;
use super::Simulation;
use crate::network::{Channel, ChannelEnd, ChannelId, ChannelKind, Host, SessionId, IDLE_TIMEOUT};
use crate::scenario::{MILLISECOND, SECOND};
use kitepass_coordination::protocol::Message;
use std::collections::BTreeSet;

/// Time for which addresses learned from peers' messages are tried.
const LEARNED_ADDRESS_LIFETIME: i64 = 30 * SECOND;
/// Minimum time between two attempts to connect to the same node.
const RECONNECT_INTERVAL: i64 = 400 * MILLISECOND;
/// Time between two attempts to notify the sender of a closed connection through a partition.
const CLOSE_RETRY_INTERVAL: i64 = 200 * MILLISECOND;
/// Maximum base latency within a zone.
const MAX_DELAY_WITHIN_ZONE: i64 = 150;
/// Percentage of messages that take much longer.
const DELAY_SPIKE_PERCENT: u64 = 1;
/// Maximum additional latency of such a message.
const MAX_DELAY_SPIKE: i64 = 60 * MILLISECOND;

impl Simulation {
    pub(super) fn zone_of(&self, host: Host) -> usize {
        match host {
            Host::Node(node) => self.layout.replica_zones[self.nodes[node].replica],
            Host::Gateway(gateway) => self.layout.gateway_zone(gateway),
        }
    }

    /// Draws the latency of a message.
    pub(super) fn delay(&mut self, from: Host, to: Host) -> i64 {
        let base = if self.zone_of(from) == self.zone_of(to) {
            MAX_DELAY_WITHIN_ZONE.min(self.layout.link_delay)
        } else {
            self.layout.link_delay
        };
        let spike =
            if self.rng.chance(DELAY_SPIKE_PERCENT) { self.rng.in_range(0..MAX_DELAY_SPIKE) } else { 0 };
        let jitter = self.rng.in_range(0..self.layout.link_jitter + 1);
        base + jitter + spike + self.network.extra_latency(self.now, from, to)
    }

    /// The current process of a node, as a channel's end.
    pub(super) fn node_end(&self, node: usize) -> ChannelEnd {
        ChannelEnd { host: Host::Node(node), incarnation: self.nodes[node].incarnation }
    }

    /// The node with this address.
    pub(super) fn node_by_address(&self, address: &str) -> Option<usize> {
        self.nodes.iter().position(|node| {
            node.location.address == address && (!node.is_replaced || node.process.is_some())
        })
    }

    /// Connects a process to the control processes that it knows.
    pub(super) fn connect_to_peers(&mut self, node_index: usize) {
        let node = &self.nodes[node_index];
        let Some(process) = &node.process else { return };
        let mut addresses: BTreeSet<String> = process.known_addresses();
        addresses.extend(node.bootstrap_addresses.iter().cloned());
        let learned = node.learned_addresses.iter();
        let recent = learned.filter(|(_, since)| self.now - **since < LEARNED_ADDRESS_LIFETIME);
        addresses.extend(recent.map(|(address, _)| address.clone()));
        let others: Vec<usize> =
            addresses.iter().filter_map(|address| self.node_by_address(address)).collect();
        for other in others {
            self.connect_to_peer(node_index, other);
        }
    }

    /// Connects a process to another one, unless it has a connection or tried recently.
    fn connect_to_peer(&mut self, node_index: usize, other: usize) {
        let node = &mut self.nodes[node_index];
        let last_attempt = node.connect_attempts.get(&other);
        let is_too_early = last_attempt.is_some_and(|at| self.now - at < RECONNECT_INTERVAL);
        if other == node_index || node.peer_channels.contains_key(&other) || is_too_early {
            return;
        }
        node.connect_attempts.insert(other, self.now);
        let (from, to) = (Host::Node(node_index), Host::Node(other));
        if self.network.is_unreachable(self.now, from, to) || self.nodes[other].process.is_none() {
            return;
        }
        let Some(process) = &self.nodes[node_index].process else { return };
        let hello = process.hello();
        let id = ChannelId(self.network.next_id());
        let mut channel =
            Channel::new(self.now, self.node_end(node_index), self.node_end(other), ChannelKind::Peer);
        self.nodes[node_index].peer_channels.insert(other, id);
        self.log(format_args!("event=connect node={from} to={to} channel={}", id.0));
        // The hello message arrives after the connection's handshake, which takes one round trip.
        channel.last_delivery = self.now + self.delay(to, from) + self.delay(from, to);
        self.network.channels.insert(id, channel);
        self.send(id, Message::Hello(hello));
    }

    /// Opens a session from a gateway to a node's process.
    pub(super) fn open_session(&mut self, gateway: usize, node: usize) -> SessionId {
        let session = SessionId(self.network.next_id());
        // Reserves the next id for the session's second channel.
        self.network.next_id();
        let gateway_end = ChannelEnd { host: Host::Gateway(gateway), incarnation: 0 };
        let node_end = self.node_end(node);
        let mut to_node = Channel::new(self.now, gateway_end, node_end, ChannelKind::SessionToNode(session));
        let to_gateway =
            Channel::new(self.now, node_end, gateway_end, ChannelKind::SessionToGateway(session));
        to_node.last_delivery = self.now
            + self.delay(node_end.host, gateway_end.host)
            + self.delay(gateway_end.host, node_end.host);
        self.network.channels.insert(session.to_node(), to_node);
        self.network.channels.insert(session.to_gateway(), to_gateway);
        session
    }

    /// Resets a connection. Its sender, or both ends of a session, are notified.
    pub(super) fn reset_channel(&mut self, id: ChannelId) {
        let Some(channel) = self.network.channels.get(&id) else { return };
        let (ChannelEnd { host, incarnation }, kind) = (channel.from, channel.kind);
        self.network.reset(self.now, id, &mut self.rng);
        match (kind, host) {
            (ChannelKind::Peer, Host::Node(node)) => {
                self.schedule(self.now + 1, Event::PeerConnectionLost { node, incarnation, channel: id });
            }
            (ChannelKind::SessionToNode(session) | ChannelKind::SessionToGateway(session), _) => {
                self.close_session(session, true);
            }
            (ChannelKind::Peer, Host::Gateway(_)) => {}
        }
    }

    /// Closes a session and notifies both ends. A reset loses messages in transit.
    pub(super) fn close_session(&mut self, session: SessionId, is_reset: bool) {
        for id in [session.to_node(), session.to_gateway()] {
            if is_reset {
                self.network.reset(self.now, id, &mut self.rng);
            }
            self.network.close(id);
        }
        let Some(channel) = self.network.channels.get(&session.to_node()) else { return };
        let (Host::Gateway(gateway), Host::Node(node)) = (channel.from.host, channel.to.host) else { return };
        let incarnation = channel.to.incarnation;
        let delay_to_node = self.delay(Host::Gateway(gateway), Host::Node(node));
        let delay_to_gateway = self.delay(Host::Node(node), Host::Gateway(gateway));
        let lost_at_node = delay_to_node + self.last_arrival(session.to_node());
        let lost_at_gateway = delay_to_gateway + self.last_arrival(session.to_gateway());
        self.schedule(lost_at_node, Event::SessionLostAtNode { node, incarnation, session });
        self.schedule(lost_at_gateway, Event::SessionLostAtGateway { gateway, session });
    }

    /// Arrival time of the last message in transit on a channel, or the current time if there is none.
    fn last_arrival(&self, id: ChannelId) -> i64 {
        self.network.channels.get(&id).map_or(self.now, |channel| channel.last_arrival().max(self.now))
    }

    /// A process notices that a connection it opened is gone.
    pub(super) fn peer_connection_lost(&mut self, node: usize, incarnation: u64, channel: ChannelId) {
        if self.nodes[node].incarnation == incarnation {
            self.log(format_args!("event=peer-connection-lost node=s{node} channel={}", channel.0));
            self.nodes[node].peer_channels.retain(|_, own| *own != channel);
        }
    }

    pub(super) fn session_lost_at_node(&mut self, node: usize, incarnation: u64, session: SessionId) {
        let now = self.monotonic_time(node);
        if let Some(process) = self.process_of(node, incarnation) {
            process.session_closed(now, session, "closed");
        }
    }

    pub(super) fn session_lost_at_gateway(&mut self, gateway: usize, session: SessionId) {
        let gateway = &mut self.gateways[gateway];
        if gateway.session == Some(session) {
            gateway.session_lost("closed");
        } else if gateway.candidate == Some(session) {
            gateway.candidate_lost("closed");
        }
    }

    /// Closes the connections on which a process has received nothing for [`IDLE_TIMEOUT`].
    pub(super) fn close_idle_connections(&mut self, node_index: usize) {
        let receiver = self.node_end(node_index);
        let now = self.now;
        let ids = self.network.channels_where(|channel| {
            let is_open_peer = channel.kind == ChannelKind::Peer && !channel.is_closed;
            let is_received = channel.to == receiver;
            is_open_peer && is_received && now - channel.last_received > IDLE_TIMEOUT
        });
        for id in ids {
            self.close_by_receiver(id);
        }
    }

    /// Closes a connection at the receiver's end.
    pub(super) fn close_by_receiver(&mut self, id: ChannelId) {
        let Some(channel) = self.network.channels.get_mut(&id) else { return };
        channel.is_closed = true;
        channel.lost_after = self.now;
        channel.blocked.clear();
        self.schedule(self.now, Event::ClosedByReceiver { channel: id });
    }

    /// Notifies the sender that the receiver closed its connection, once no partition blocks that direction.
    pub(super) fn closed_by_receiver(&mut self, id: ChannelId) {
        let Some(channel) = self.network.channels.get(&id) else { return };
        let (from, to, incarnation) = (channel.from.host, channel.to.host, channel.from.incarnation);
        if self.network.partition_of(self.now, to, from).is_some() {
            return self.schedule(self.now + CLOSE_RETRY_INTERVAL, Event::ClosedByReceiver { channel: id });
        }
        let at = self.now + self.delay(to, from);
        if let Host::Node(node) = from {
            self.schedule(at, Event::PeerConnectionLost { node, incarnation, channel: id });
        }
    }
}
