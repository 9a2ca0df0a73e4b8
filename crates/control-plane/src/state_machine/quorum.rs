//! Connected control processes, and contact with a majority of the replicas.
//!
//! This process is in contact with a replica while that replica has recently proved, by echoing a heartbeat or by
//! answering a request, that it receives the messages of this process.

use super::{Action, HEARTBEAT_INTERVAL, UNRESPONSIVE_TIMEOUT};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_coordination::protocol::{Heartbeat, Hello, Message};
use kitepass_coordination::quorum_contact::{ContactState, QuorumContact};
use kitepass_time::{Duration, Timestamp};
use log::info;
use std::collections::BTreeMap;

/// Client look-ups are answered until contact with a majority is older than this. It bounds the age of the gateway list
/// that they return.
const MAX_LOOK_UP_CONTACT_AGE: Duration = Duration::from_micros(4_000_000);
/// Number of consecutive heartbeats with a different digest after which a peer's items are read. A single one may have
/// been sent before the peer received an update.
const STALE_AFTER_DIGEST_MISMATCHES: u32 = 2;

/// A connected control process.
pub(super) struct Peer {
    pub(super) hello: Hello,
    /// Name of its replica.
    pub(super) name: String,
    /// The lease term under which it reports to be the coordinator, or 0.
    coordinator_term: u64,
    pub(super) is_shutting_down: bool,
    pub(super) last_received_at: Timestamp,
    digest_mismatches: u32,
}

impl Peer {
    fn is_responsive(&self, now: Timestamp) -> bool {
        now - self.last_received_at <= UNRESPONSIVE_TIMEOUT
    }
}

/// Peers by node id, and the contact with a majority.
pub(super) struct Quorum {
    contact: QuorumContact,
    peers: BTreeMap<String, Peer>,
    last_heartbeat_at: Timestamp,
}

impl Quorum {
    /// `name` is the name of this process's replica. `first_sequence` must be random, so that echoes of heartbeats of an
    /// earlier incarnation are not accepted.
    pub(super) fn new(now: Timestamp, name: &str, first_sequence: u32) -> Quorum {
        let contact = QuorumContact::new(name, first_sequence);
        Quorum { contact, peers: BTreeMap::new(), last_heartbeat_at: now }
    }

    /// Whether the next heartbeat is due. If so, the heartbeat interval restarts.
    pub(super) fn start_heartbeat_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.last_heartbeat_at >= HEARTBEAT_INTERVAL;
        if is_due {
            self.last_heartbeat_at = now;
        }
        is_due
    }

    /// Re-evaluates the contact, which requires a majority of each of these replica sets.
    pub(super) fn evaluate(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) {
        let change = self.contact.evaluate(now, replica_sets);
        self.log_contact(now, change);
    }

    /// Re-evaluates the contact after a message that proves contact with one peer. Contact can only be regained by it,
    /// not lost.
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

    /// Whether this process is in contact with a majority at this moment.
    pub(super) fn is_connected(&self, now: Timestamp) -> bool {
        self.contact.is_connected(now)
    }

    /// Whether this process was in contact with a majority at the last evaluation, however long ago that was. See
    /// [`Quorum::is_connected`] for the contact at this moment.
    pub(super) fn was_connected(&self) -> bool {
        self.contact.state() == ContactState::Connected
    }

    /// Whether this process was out of contact at the last evaluation. Also true before the first one.
    pub(super) fn was_disconnected(&self) -> bool {
        self.contact.state() == ContactState::Disconnected
    }

    /// Time since the latest message of this process that a majority is known to have received.
    pub(super) fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.contact.contact_age(now)
    }

    /// When the latest message that the named replica is known to have received was sent.
    pub(super) fn last_contact(&self, name: &str) -> Option<Timestamp> {
        self.contact.last_contact(name)
    }

    /// Whether the gateway list is recent enough to answer client look-ups.
    pub(super) fn can_look_up(&self, now: Timestamp) -> bool {
        self.contact.contact_age(now).is_some_and(|age| age <= MAX_LOOK_UP_CONTACT_AGE)
    }

    /// Adds a connected peer. If another replica was connected under the same node id, returns that replica's name.
    pub(super) fn connect(&mut self, now: Timestamp, hello: &Hello) -> Option<String> {
        let name = Replica::from(hello).name();
        self.contact.peer_connected(now, &name, hello.incarnation);
        let peer = Peer {
            hello: hello.clone(),
            name: name.clone(),
            coordinator_term: 0,
            is_shutting_down: false,
            last_received_at: now,
            digest_mismatches: 0,
        };
        let previous = self.peers.insert(hello.node_id.clone(), peer)?;
        (previous.name != name).then_some(previous.name)
    }

    pub(super) fn remove(&mut self, node_id: &str) -> Option<Peer> {
        self.peers.remove(node_id)
    }

    /// Records that a message arrived from a peer. Returns the peer, if it is connected.
    pub(super) fn message_received(&mut self, now: Timestamp, node_id: &str) -> Option<&Peer> {
        let peer = self.peers.get_mut(node_id)?;
        peer.last_received_at = now;
        Some(peer)
    }

    /// Records the contact proved by the heartbeat sequence number that the named replica echoes.
    pub(super) fn echo_received(&mut self, now: Timestamp, name: &str, heartbeat: &Heartbeat) {
        self.contact.heartbeat_received(now, name, heartbeat.sequence, heartbeat.echoed_sequence);
    }

    /// Records the contact proved by the named replica's response to a request sent at `sent_at`.
    pub(super) fn response_received(&mut self, now: Timestamp, name: &str, sent_at: Timestamp) {
        self.contact.response_received(now, name, sent_at);
    }

    /// Records the peer state reported by a heartbeat. `digest` is the digest of all local items. Returns true if the
    /// peer's digest has differed in [`STALE_AFTER_DIGEST_MISMATCHES`] consecutive heartbeats, so that its items must
    /// be read.
    pub(super) fn receive_heartbeat(&mut self, node_id: &str, heartbeat: &Heartbeat, digest: u64) -> bool {
        let Some(peer) = self.peers.get_mut(node_id) else { return false };
        peer.hello.is_serving = heartbeat.is_serving;
        peer.hello.is_complete = heartbeat.is_complete;
        peer.coordinator_term = heartbeat.coordinator_term;
        peer.is_shutting_down = heartbeat.is_shutting_down;
        peer.digest_mismatches = if heartbeat.digest == digest { 0 } else { peer.digest_mismatches + 1 };
        let is_stale = peer.digest_mismatches >= STALE_AFTER_DIGEST_MISMATCHES;
        if is_stale {
            peer.digest_mismatches = 0;
        }
        is_stale
    }

    /// Builds the heartbeat for each peer from `template`, adding that peer's sequence numbers.
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

    /// Sends a message to every peer.
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

    /// Whether the named replica is connected.
    pub(super) fn is_peer_connected(&self, name: &str) -> bool {
        self.peers.values().any(|peer| peer.name == name)
    }

    /// Whether the named replica has sent a message within [`UNRESPONSIVE_TIMEOUT`].
    pub(super) fn is_responsive(&self, now: Timestamp, name: &str) -> bool {
        self.peers.values().any(|peer| peer.name == name && peer.is_responsive(now))
    }

    /// Node ids of the peers that have sent nothing within [`UNRESPONSIVE_TIMEOUT`].
    pub(super) fn unresponsive_peers(&self, now: Timestamp) -> Vec<String> {
        let unresponsive = self.peers.iter().filter(|(_, peer)| !peer.is_responsive(now));
        unresponsive.map(|(node_id, _)| node_id.clone()).collect()
    }

    /// Address of the serving peer from which a message arrived last, used to redirect clients.
    ///
    /// Invariant: only a responsive peer is returned. One that has become unresponsive may be partitioned as well, and
    /// clients would be redirected back and forth.
    pub(super) fn serving_address(&self, now: Timestamp) -> Option<&str> {
        let serving = self.peers.values().filter(|peer| peer.hello.is_serving && peer.is_responsive(now));
        serving.max_by_key(|peer| peer.last_received_at).map(|peer| peer.hello.address.as_str())
    }

    /// Node id of the peer that reports to be the coordinator, under the highest term if there are several. Only a
    /// peer's own report counts, because a lease vote granted to a candidate does not show that it won the lease.
    pub(super) fn coordinator(&self) -> Option<&str> {
        let coordinators = self.peers.iter().filter(|(_, peer)| peer.coordinator_term > 0);
        coordinators.max_by_key(|(_, peer)| peer.coordinator_term).map(|(node_id, _)| node_id.as_str())
    }
}
