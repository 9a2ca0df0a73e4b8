//! Transport of messages: sending, blocking by partitions, loss by resets, and delivery.

use super::events::Event;
use super::Simulation;
use crate::network::{
    ChannelEnd, ChannelId, ChannelKind, Host, Partition, PeerIdentity, SessionId, SEND_TIMEOUT,
};
use kitepass_coordination::protocol::{Hello, Message};

/// Time of the next check of a blocked channel: the end of the partition, or the sender's timeout if the
/// partition does not keep connections and the timeout comes first.
fn release_time(partition: Partition, blocked_since: i64) -> i64 {
    if partition.keeps_connections {
        partition.until
    } else {
        partition.until.min(blocked_since + SEND_TIMEOUT)
    }
}

impl Simulation {
    /// Sends a message on a channel, unless it is closed.
    pub(super) fn send(&mut self, id: ChannelId, message: Message) {
        let Some(channel) = self.network.channels.get(&id).filter(|channel| !channel.is_closed) else {
            return;
        };
        let due = self.now + self.delay(channel.from.host, channel.to.host);
        let Some(channel) = self.network.channels.get_mut(&id) else { return };
        channel.last_delivery = channel.last_delivery.max(due);
        let due = channel.last_delivery;
        let bytes = message.encoded_len() as u64;
        self.traffic.messages += 1;
        self.traffic.message_bytes += bytes;
        self.coverage.count("message");
        self.coverage.add("message-bytes", bytes);
        self.schedule(due, Event::MessageDue { channel: id, message });
    }

    /// Sends a message to a peer, if the process has a connection to it.
    pub(super) fn send_to_peer(&mut self, node: usize, node_id: &str, message: Message) {
        let Some(address) = self.nodes[node].peer_addresses.get(node_id) else { return };
        let Some(other) = self.nodes.iter().position(|other| other.location.address == *address) else {
            return;
        };
        if let Some(id) = self.nodes[node].peer_channels.get(&other).copied() {
            self.send(id, message);
        }
    }

    /// Sends a message to the gateway of a session.
    pub(super) fn send_to_gateway(&mut self, session: SessionId, message: Message) {
        self.send(session.to_gateway(), message);
    }

    pub(super) fn message_due(&mut self, id: ChannelId, message: Message) {
        let now = self.now;
        let Some(channel) = self.network.channels.get(&id) else { return };
        if now > channel.lost_after {
            return self.coverage.count("message-lost-by-reset");
        }
        let partition = self.network.partition_of(now, channel.from.host, channel.to.host);
        let Some(channel) = self.network.channels.get_mut(&id) else { return };
        // Messages that are already blocked must be delivered first.
        let was_unblocked = channel.blocked.is_empty();
        if partition.is_none() && was_unblocked {
            return self.deliver(id, message);
        }
        channel.blocked.push_back(message);
        if was_unblocked {
            channel.blocked_since = now;
            let until = partition.map_or(now, |partition| release_time(partition, now));
            self.schedule(until + 1, Event::ReleaseBlocked { channel: id });
        }
    }

    /// Delivers the messages of a blocked channel if the partition has ended. Otherwise the sender resets the
    /// connection after its timeout, or the channel is checked again later.
    pub(super) fn release_blocked(&mut self, id: ChannelId) {
        let now = self.now;
        let Some(channel) = self.network.channels.get(&id) else { return };
        if let Some(partition) = self.network.partition_of(now, channel.from.host, channel.to.host) {
            if !partition.keeps_connections && now - channel.blocked_since >= SEND_TIMEOUT {
                self.coverage.count("reset-by-partition");
                return self.reset_channel(id);
            }
            let until = release_time(partition, channel.blocked_since);
            return self.schedule(until.max(now) + 1, Event::ReleaseBlocked { channel: id });
        }
        let Some(channel) = self.network.channels.get_mut(&id) else { return };
        let blocked = std::mem::take(&mut channel.blocked);
        self.coverage.add("blocked-message-delivered", blocked.len() as u64);
        for message in blocked {
            self.schedule(now, Event::MessageDue { channel: id, message });
        }
    }

    fn deliver(&mut self, id: ChannelId, message: Message) {
        let Some(channel) = self.network.channels.get_mut(&id) else { return };
        channel.last_received = self.now;
        match (channel.to.host, channel.kind) {
            (Host::Gateway(gateway), ChannelKind::SessionToGateway(session)) => {
                self.gateway_message(gateway, session, message);
            }
            (Host::Node(node), ChannelKind::SessionToNode(session)) => {
                self.deliver_session_message(id, session, node, message);
            }
            (Host::Node(node), ChannelKind::Peer) => self.deliver_peer_message(id, node, message),
            // No other kind of channel leads to these hosts.
            (Host::Gateway(_), _) | (Host::Node(_), ChannelKind::SessionToGateway(_)) => {}
        }
    }

    /// Delivers a message of a gateway's session to a node.
    fn deliver_session_message(&mut self, id: ChannelId, session: SessionId, node: usize, message: Message) {
        let channel = &self.network.channels[&id];
        let has_introduced = channel.sender.is_some();
        if !self.is_running(node, channel.to.incarnation) {
            return self.coverage.count("message-to-dead-process");
        }
        let now = self.monotonic_time(node);
        let Some(process) = &mut self.nodes[node].process else { return };
        match message {
            Message::Hello(hello) if !has_introduced => {
                let sender = PeerIdentity::from(&hello);
                process.session_opened(now, session, hello);
                self.set_sender(id, sender);
            }
            message => process.session_message(now, session, message),
        }
    }

    /// Delivers a message of a peer connection to a node.
    fn deliver_peer_message(&mut self, id: ChannelId, node: usize, message: Message) {
        let channel = &self.network.channels[&id];
        let (from, sender) = (channel.from, channel.sender.clone());
        if !self.is_running(node, channel.to.incarnation) {
            return self.coverage.count("message-to-dead-process");
        }
        self.count_message_from_ended_process(from);
        match (sender, message) {
            (None, Message::Hello(hello)) => self.peer_hello(id, node, hello),
            (None, _) => {}
            (Some(sender), message) => self.peer_message(id, node, sender, message),
        }
    }

    fn count_message_from_ended_process(&mut self, from: ChannelEnd) {
        let Host::Node(sender) = from.host else { return };
        if !self.is_running(sender, from.incarnation) {
            self.coverage.count("message-from-dead-process");
            if self.nodes[sender].process.is_some() {
                self.coverage.count("message-from-dead-process-after-restart");
            }
        }
    }

    /// Records the sender that a channel's hello message names.
    fn set_sender(&mut self, id: ChannelId, sender: PeerIdentity) {
        if let Some(channel) = self.network.channels.get_mut(&id) {
            channel.sender = Some(sender);
        }
    }

    fn peer_hello(&mut self, id: ChannelId, node: usize, hello: Hello) {
        self.set_sender(id, PeerIdentity::from(&hello));
        let now = self.monotonic_time(node);
        let node = &mut self.nodes[node];
        node.peer_addresses.insert(hello.node_id.clone(), hello.address.clone());
        node.learned_addresses.insert(hello.address.clone(), self.now);
        if let Some(process) = &mut node.process {
            process.peer_connected(now, &hello);
        }
    }

    fn peer_message(&mut self, id: ChannelId, node: usize, sender: PeerIdentity, message: Message) {
        let now = self.monotonic_time(node);
        let node = &mut self.nodes[node];
        let Some(process) = &mut node.process else { return };
        if !process.knows_incarnation(&sender.node_id, sender.incarnation) {
            // A peer that is considered lost must connect and send its hello message again.
            self.coverage.count("message-from-given-up-peer");
            return self.close_by_receiver(id);
        }
        for address in process.peer_message(now, &sender.node_id, message) {
            node.learned_addresses.entry(address).or_insert(self.now);
        }
    }
}
