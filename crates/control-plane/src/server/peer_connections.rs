//! Connections with the other processes of the system: control processes, with one connection for each direction, and
//! gateway sessions.

use super::connections::{CloseReason, ConnectionId, Role};
use super::Server;
use crate::state_machine::SESSION_TIMEOUT;
use kitepass_coordination::protocol::{self, Message};
use kitepass_net::connection::error_label;
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Minimum interval between connection attempts to the same address.
const RECONNECT_INTERVAL: Duration = Duration::from_micros(400_000);
/// Time for which an address reported by another process is tried.
const DISCOVERED_ADDRESS_TTL: Duration = Duration::from_micros(30_000_000);

/// Addresses of the other control processes, and the connections to them. Addresses are strings, as in the protocol.
#[derive(Default)]
pub(super) struct PeerRegistry {
    /// Connections on which this process sends messages, by address.
    outgoing: BTreeMap<String, ConnectionId>,
    /// Addresses by node id, as given by the processes in their own `Hello` messages.
    addresses: BTreeMap<String, String>,
    /// When a connection to each address was last attempted.
    last_attempts: BTreeMap<String, Timestamp>,
    /// Addresses reported by other processes, with the time of the report.
    discovered: BTreeMap<String, Timestamp>,
}

impl PeerRegistry {
    /// Returns the connection on which this process sends messages to a node.
    pub(super) fn connection_to(&self, node_id: &str) -> Option<ConnectionId> {
        let address = self.addresses.get(node_id)?;
        self.outgoing.get(address).copied()
    }

    /// Removes the connection to this address, which has been closed.
    pub(super) fn forget_connection(&mut self, address: &str) {
        self.outgoing.remove(address);
    }

    /// Removes expired addresses to which there is no connection.
    pub(super) fn expire_addresses(&mut self, now: Timestamp) {
        let outgoing = &self.outgoing;
        self.discovered.retain(|address, discovered_at| {
            outgoing.contains_key(address) || now - *discovered_at < DISCOVERED_ADDRESS_TTL
        });
    }

    fn record_hello(&mut self, now: Timestamp, node_id: &str, address: &str) {
        self.addresses.insert(node_id.to_owned(), address.to_owned());
        self.discovered.insert(address.to_owned(), now);
    }

    /// Returns whether to connect to this address now, and if so records the attempt.
    fn begin_attempt(&mut self, now: Timestamp, address: &str) -> bool {
        let last_attempt = self.last_attempts.get(address).copied().unwrap_or_default();
        if self.outgoing.contains_key(address) || now - last_attempt < RECONNECT_INTERVAL {
            return false;
        }
        self.last_attempts.insert(address.to_owned(), now);
        true
    }
}

impl Server {
    /// Reads and handles all complete messages in a connection's input.
    pub(super) fn read_messages(&mut self, now: Timestamp, id: ConnectionId) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        let input = std::mem::take(&mut connection.transport.input);
        // Invariant: any input shows that its sender is alive, even part of a message. On a slow connection, a message
        // of many MiB takes longer than the time after which a process counts as unresponsive.
        match &connection.role {
            Role::IncomingPeer { node_id, .. } if !input.is_empty() => {
                self.state_machine.peer_data_received(now, node_id);
            }
            Role::GatewaySession if !input.is_empty() => self.state_machine.session_data_received(now, id.0),
            _ => {}
        }
        let mut offset = 0;
        loop {
            let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
            match connection.decoder.next(&input, &mut offset) {
                Ok(Some(message)) => self.handle_message(now, id, message),
                Err(error) => {
                    warn!("event=malformed-message why={:?}", error.to_string());
                    return Err(CloseReason::Malformed);
                }
                Ok(None) => {
                    connection.transport.input = input;
                    connection.transport.input.drain(..offset);
                    return Ok(());
                }
            }
        }
    }

    fn handle_message(&mut self, now: Timestamp, id: ConnectionId, message: Message) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match (&connection.role, message) {
            (Role::Unidentified, Message::Hello(hello)) if hello.is_control_plane => {
                connection.role =
                    Role::IncomingPeer { node_id: hello.node_id.clone(), incarnation: hello.incarnation };
                self.peers.record_hello(now, &hello.node_id, &hello.address);
                self.state_machine.peer_connected(now, &hello);
            }
            (Role::Unidentified, Message::Hello(hello)) => {
                connection.role = Role::GatewaySession;
                if let Err(error) = connection.transport.set_user_timeout(SESSION_TIMEOUT) {
                    debug!("event=no-user-timeout why={}", error_label(error));
                }
                self.state_machine.session_opened(now, id.0, hello);
            }
            (Role::IncomingPeer { node_id, incarnation }, message) => {
                let node_id = node_id.clone();
                // Invariant: messages of an earlier incarnation must not be attributed to the replica of the current
                // one, which may use a different data directory.
                if !self.state_machine.knows_incarnation(&node_id, *incarnation) {
                    connection.closes_after_flush = true;
                    return;
                }
                for address in self.state_machine.peer_message(now, &node_id, message) {
                    self.peers.discovered.entry(address).or_insert(now);
                }
            }
            (Role::GatewaySession, message) => self.state_machine.session_message(now, id.0, message),
            _ => {}
        }
    }

    /// Connects to all known control processes to which there is no connection.
    pub(super) fn connect_to_peers(&mut self, now: Timestamp) {
        let own_address = self.settings.address.to_string();
        let bootstrap = self.settings.bootstrap_addresses.iter().map(|address| address.ip().to_string());
        let mut addresses: Vec<String> = bootstrap
            .chain(self.state_machine.known_addresses())
            .chain(self.peers.discovered.keys().cloned())
            .filter(|address| *address != own_address)
            .collect();
        addresses.sort();
        addresses.dedup();
        for address in addresses {
            if self.peers.begin_attempt(now, &address) {
                self.connect_to_peer(now, address);
            }
        }
    }

    fn connect_to_peer(&mut self, now: Timestamp, address: String) {
        let Ok(ip) = address.parse::<IpAddr>() else { return };
        let target = SocketAddr::new(ip, self.settings.peer_ports.0);
        let role = Role::OutgoingPeer { address: address.clone() };
        let opened = self.connections.open(&self.poller, &target, role, now);
        let id = match opened {
            Ok(id) => id,
            Err(error) => return warn!("event=connect-failed address={address} why={}", error_label(error)),
        };
        if let Some(connection) = self.connections.get_mut(id) {
            let hello = Message::Hello(self.state_machine.hello());
            protocol::encode_message(hello, &mut connection.transport.output);
        }
        self.peers.outgoing.insert(address, id);
    }
}
