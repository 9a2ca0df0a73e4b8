//! The other control processes, and contact with a majority of the replicas: who is heard, and who is known to have
//! heard this process.

use super::{Action, HEARTBEAT_INTERVAL, UNRESPONSIVE_TIMEOUT};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_coordination::protocol::{Heartbeat, Hello, Message};
use kitepass_coordination::quorum_contact::{ContactState, QuorumContact};
use kitepass_time::{Duration, Timestamp};
use log::info;
use std::collections::BTreeMap;

/// How long after the last contact a look-up is still answered, which bounds the age of what it tells of the gateways.
const LOOK_UP_TIMEOUT: Duration = Duration::from_micros(4_000_000);
/// Heartbeats in a row that must carry a differing digest before a peer's copy is read: one may have crossed an update.
const DIFFERING_HEARTBEATS: u32 = 2;

/// Another control process that is connected.
pub(super) struct Peer {
    pub(super) hello: Hello,
    /// Its replica's name.
    pub(super) name: String,
    /// The term of the lease under which it says that it is coordinator, or 0.
    coordinator_term: u64,
    pub(super) is_shutting_down: bool,
    last_received_at: Timestamp,
    differing_heartbeats: u32,
}

impl Peer {
    fn is_responsive(&self, now: Timestamp) -> bool {
        now - self.last_received_at <= UNRESPONSIVE_TIMEOUT
    }
}

/// The peers by node id, and the contact with a majority.
pub(super) struct Quorum {
    contact: QuorumContact,
    peers: BTreeMap<String, Peer>,
    heartbeat_at: Timestamp,
}

impl Quorum {
    /// `name` is this process' replica's; `first_sequence` is drawn, so that echoes to an earlier incarnation don't count.
    pub(super) fn new(now: Timestamp, name: &str, first_sequence: u32) -> Quorum {
        let contact = QuorumContact::new(name, first_sequence);
        Quorum { contact, peers: BTreeMap::new(), heartbeat_at: now }
    }

    /// Whether the next heartbeat is to be sent; that time is noted.
    pub(super) fn start_heartbeat_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.heartbeat_at >= HEARTBEAT_INTERVAL;
        if is_due {
            self.heartbeat_at = now;
        }
        is_due
    }

    /// Evaluates the contact again; it needs a majority of each of these replica sets.
    pub(super) fn evaluate(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) {
        let change = self.contact.evaluate(now, replica_sets);
        self.log_contact(now, change);
    }

    /// Evaluates the contact after one proof of it, by which it may be back.
    pub(super) fn check_reconnected(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) {
        let change = self.contact.check_reconnected(now, replica_sets);
        self.log_contact(now, change);
    }

    fn log_contact(&self, now: Timestamp, change: Option<ContactState>) {
        if let Some(state) = change {
            let age =
                self.contact.contact_age(now).map_or("none".to_owned(), |age| super::millis(age).to_string());
            info!("event=quorum-contact state={state:?} age-ms={age}");
        }
    }

    /// Whether a majority has proved, no longer ago than it may be, that it heard this process.
    pub(super) fn is_connected(&self, now: Timestamp) -> bool {
        self.contact.is_connected(now)
    }

    /// Whether this process was in contact at the last evaluation, however long ago that was. See
    /// [`Quorum::is_connected`] for the contact at this moment.
    pub(super) fn was_connected(&self) -> bool {
        self.contact.state() == ContactState::Connected
    }

    /// Whether this process was out of contact at the last evaluation, which is so at the start too.
    pub(super) fn was_disconnected(&self) -> bool {
        self.contact.state() == ContactState::Disconnected
    }

    /// How long ago a majority is known to have heard this process.
    pub(super) fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.contact.contact_age(now)
    }

    /// When the replica of this name is known to have heard this process last.
    pub(super) fn last_contact(&self, name: &str) -> Option<Timestamp> {
        self.contact.last_contact(name)
    }

    /// Whether what is known of the gateways is recent enough for a look-up.
    pub(super) fn can_look_up(&self, now: Timestamp) -> bool {
        self.contact.contact_age(now).is_some_and(|age| age <= LOOK_UP_TIMEOUT)
    }

    /// A peer has connected. Gives the name of the replica that was known at its node id, if it is another now.
    pub(super) fn connect(&mut self, now: Timestamp, hello: &Hello) -> Option<String> {
        let name = Replica::from(hello).name();
        self.contact.peer_connected(now, &name, hello.incarnation);
        let peer = Peer {
            hello: hello.clone(),
            name: name.clone(),
            coordinator_term: 0,
            is_shutting_down: false,
            last_received_at: now,
            differing_heartbeats: 0,
        };
        let before = self.peers.insert(hello.node_id.clone(), peer)?;
        (before.name != name).then_some(before.name)
    }

    pub(super) fn remove(&mut self, node_id: &str) -> Option<Peer> {
        self.peers.remove(node_id)
    }

    /// A message has come from a peer. Returns the peer, if it is known.
    pub(super) fn message_received(&mut self, now: Timestamp, node_id: &str) -> Option<&Peer> {
        let peer = self.peers.get_mut(node_id)?;
        peer.last_received_at = now;
        Some(peer)
    }

    /// A heartbeat of the replica of this name proves what it echoes.
    pub(super) fn echo_received(&mut self, now: Timestamp, name: &str, heartbeat: &Heartbeat) {
        self.contact.heartbeat_received(now, name, heartbeat.sequence, heartbeat.echoed_sequence);
    }

    /// An answer of the replica of this name to what was sent at `sent_at` proves that it heard that.
    pub(super) fn response_received(&mut self, now: Timestamp, name: &str, sent_at: Timestamp) {
        self.contact.response_received(now, name, sent_at);
    }

    /// Records what a peer's heartbeat says of the peer; `digest` covers all items held here. True if the peer's copy has
    /// differed in [`DIFFERING_HEARTBEATS`] heartbeats in a row and is to be read.
    pub(super) fn receive_heartbeat(&mut self, node_id: &str, heartbeat: &Heartbeat, digest: u64) -> bool {
        let Some(peer) = self.peers.get_mut(node_id) else { return false };
        peer.hello.is_serving = heartbeat.is_serving;
        peer.hello.is_complete = heartbeat.is_complete;
        peer.coordinator_term = heartbeat.coordinator_term;
        peer.is_shutting_down = heartbeat.is_shutting_down;
        peer.differing_heartbeats =
            if heartbeat.digest == digest { 0 } else { peer.differing_heartbeats + 1 };
        let is_stale = peer.differing_heartbeats >= DIFFERING_HEARTBEATS;
        if is_stale {
            peer.differing_heartbeats = 0;
        }
        is_stale
    }

    /// The heartbeat to each peer: `template`, with the sequence numbers of the contact with that peer.
    pub(super) fn heartbeats(&mut self, now: Timestamp, template: &Heartbeat) -> Vec<Action> {
        let mut actions = Vec::new();
        for (node_id, peer) in &self.peers {
            let (sequence, echoed_sequence) = self.contact.next_heartbeat(now, &peer.name);
            let heartbeat = Heartbeat { sequence, echoed_sequence, ..template.clone() };
            actions.push(Action::SendToPeer(node_id.clone(), Message::Heartbeat(heartbeat)));
        }
        self.contact.expire_peers(now);
        actions
    }

    /// A message to every peer.
    pub(super) fn broadcast(&self, message: &Message) -> Vec<Action> {
        self.peers.keys().map(|node_id| Action::SendToPeer(node_id.clone(), message.clone())).collect()
    }

    pub(super) fn get(&self, node_id: &str) -> Option<&Peer> {
        self.peers.get(node_id)
    }

    pub(super) fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(super) fn node_ids(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Whether the replica of this name is connected.
    pub(super) fn is_peer_connected(&self, name: &str) -> bool {
        self.peers.values().any(|peer| peer.name == name)
    }

    /// Whether the replica of this name has said something lately.
    pub(super) fn is_responsive(&self, now: Timestamp, name: &str) -> bool {
        self.peers.values().any(|peer| peer.name == name && peer.is_responsive(now))
    }

    /// Node ids of the peers that have said nothing for too long.
    pub(super) fn unresponsive_peers(&self, now: Timestamp) -> Vec<String> {
        let unresponsive = self.peers.iter().filter(|(_, peer)| !peer.is_responsive(now));
        unresponsive.map(|(node_id, _)| node_id.clone()).collect()
    }

    /// Address of the peer heard last that says that it serves.
    ///
    /// Invariant: only a peer that is heard now is named. One that was in contact long ago may be as cut off as this
    /// process, and callers would be sent in circles.
    pub(super) fn serving_address(&self, now: Timestamp) -> Option<&str> {
        let serving = self.peers.values().filter(|peer| peer.hello.is_serving && peer.is_responsive(now));
        serving.max_by_key(|peer| peer.last_received_at).map(|peer| peer.hello.address.as_str())
    }

    /// Node id of the peer that says that it is coordinator. A lease vote that went to another tells nothing of who holds
    /// the lease, so only a peer's own word counts.
    pub(super) fn coordinator(&self) -> Option<&str> {
        let coordinators = self.peers.iter().filter(|(_, peer)| peer.coordinator_term > 0);
        coordinators.max_by_key(|(_, peer)| peer.coordinator_term).map(|(node_id, _)| node_id.as_str())
    }
}
