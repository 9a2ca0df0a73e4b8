//! Quorum contact: whether a majority of the replicas has recently heard from this process.
//!
//! Each heartbeat to another control process carries a sequence number of its own and echoes the last number received
//! from that process. An echoed number proves that the peer was alive and received this process's heartbeat *after* the
//! number was sent. The proof is dated by the time at which this process sent the number, on its own monotonic clock.
//! Clocks of different machines are never compared, and a delayed echo does not count as more recent contact.

use crate::membership::ReplicaSet;
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The maximum age of the newest proof that a majority of the replicas has heard from this process. If it is older,
/// contact is lost.
pub const CONTACT_TIMEOUT: Duration = Duration::from_micros(2_000_000);
/// The number of recent sequence numbers remembered per peer. Heartbeats are sent every half second, with a few more in
/// between, so a number that is dropped is older than [`CONTACT_TIMEOUT`] and no longer proves contact.
const MAX_REMEMBERED_SEQUENCES: usize = 16;
/// A peer that has sent nothing for this long is removed, so that the table does not grow as peers come and go.
const PEER_EXPIRY: Duration = Duration::from_micros(60_000_000);

/// Whether this process is in contact with a majority of the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactState {
    /// Fewer than a majority have recently heard from this process. This is the initial state.
    Disconnected,
    /// A majority has recently heard from this process.
    Connected,
}

/// A heartbeat sent to a peer.
struct SentHeartbeat {
    sequence: u32,
    sent_at: Timestamp,
}

struct Peer {
    incarnation: u64,
    /// The last sequence number received from the peer, or 0.
    last_sequence: u32,
    /// The heartbeats sent to the peer, oldest first.
    sent: VecDeque<SentHeartbeat>,
    /// The latest time after which the peer is known to have heard from this process.
    last_contact: Option<Timestamp>,
    last_heard_at: Timestamp,
}

impl Peer {
    /// Records that the peer heard from this process after `sent_at`.
    fn record_contact(&mut self, sent_at: Timestamp) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }
}

/// Tracks when each peer last heard from this process. Replicas are identified by their names, see
/// [`Replica::name`](crate::membership::Replica::name).
pub struct QuorumContact {
    own_name: String,
    state: ContactState,
    /// The time after which a majority is known to have heard from this process, as of the last evaluation.
    last_quorum_contact: Option<Timestamp>,
    last_sequence: u32,
    peers: BTreeMap<String, Peer>,
}

impl QuorumContact {
    /// Creates the tracker. `first_sequence` must be random for each incarnation. Otherwise, a delayed echo of an
    /// earlier incarnation's number could be mistaken for proof of recent contact.
    pub fn new(own_name: &str, first_sequence: u32) -> QuorumContact {
        QuorumContact {
            own_name: own_name.to_owned(),
            state: ContactState::Disconnected,
            last_quorum_contact: None,
            last_sequence: first_sequence,
            peers: BTreeMap::new(),
        }
    }

    /// The state as of the last evaluation.
    pub fn state(&self) -> ContactState {
        self.state
    }

    /// Records that a peer has identified itself. Contact with an earlier incarnation of the peer does not count for a
    /// new one.
    pub fn peer_connected(&mut self, now: Timestamp, name: &str, incarnation: u64) {
        if self.peers.get(name).is_some_and(|peer| peer.incarnation == incarnation) {
            return;
        }
        let (last_sequence, sent, last_contact) = (0, VecDeque::new(), None);
        let peer = Peer { incarnation, last_sequence, sent, last_contact, last_heard_at: now };
        self.peers.insert(name.to_owned(), peer);
    }

    /// Returns the numbers for the next heartbeat to a peer: a new sequence number, and the last number received from
    /// the peer. Both are 0 if the peer has not connected.
    pub fn next_heartbeat(&mut self, now: Timestamp, name: &str) -> (u32, u32) {
        let Some(peer) = self.peers.get_mut(name) else { return (0, 0) };
        // Each number is sent to one peer only, so that no peer can echo a number sent to another. 0 stands for no
        // number.
        self.last_sequence = self.last_sequence.checked_add(1).unwrap_or(1);
        peer.sent.push_back(SentHeartbeat { sequence: self.last_sequence, sent_at: now });
        if peer.sent.len() > MAX_REMEMBERED_SEQUENCES {
            peer.sent.pop_front();
        }
        (self.last_sequence, peer.last_sequence)
    }

    /// Processes a peer's heartbeat with its sequence number and the number that it echoes.
    pub fn heartbeat_received(&mut self, now: Timestamp, name: &str, sequence: u32, echoed_sequence: u32) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.last_sequence = sequence;
        peer.last_heard_at = now;
        // Invariant: only a number that this incarnation has sent to this peer proves contact. A number from an earlier
        // incarnation, one sent to another peer, an invented one, or one too old to be remembered proves nothing.
        let echoed = peer.sent.iter().find(|sent| sent.sequence == echoed_sequence);
        if let Some(sent_at) = echoed.map(|sent| sent.sent_at) {
            peer.record_contact(sent_at);
        }
    }

    /// Records that a peer responded to a request sent at `sent_at`, which proves contact like an echoed number.
    pub fn response_received(&mut self, now: Timestamp, name: &str, sent_at: Timestamp) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.last_heard_at = now;
        peer.record_contact(sent_at);
    }

    /// Removes peers that have been silent for too long. Should be called about once per second.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now - peer.last_heard_at <= PEER_EXPIRY);
    }

    /// Evaluates the state; a majority of each of these replica sets is required. Returns the new state if it has
    /// changed. Must be called after all pending messages from peers have been processed.
    pub fn evaluate(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) -> Option<ContactState> {
        self.update_quorum_contact(now, replica_sets);
        let state = match self.is_connected(now) {
            true => ContactState::Connected,
            false => ContactState::Disconnected,
        };
        self.set_state(state)
    }

    /// Like [`QuorumContact::evaluate`], but called after a single proof of contact: the state may change to connected,
    /// but not to disconnected.
    ///
    /// After this process was suspended, several heartbeats of each peer may be waiting to be read. The first and
    /// oldest of them may be too old to prove contact although the last one does.
    pub fn check_reconnected(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) -> Option<ContactState> {
        self.update_quorum_contact(now, replica_sets);
        self.is_connected(now).then(|| self.set_state(ContactState::Connected)).flatten()
    }

    fn update_quorum_contact(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) {
        let contacts: Option<Vec<Timestamp>> =
            replica_sets.iter().map(|replica_set| self.majority_contact(now, replica_set)).collect();
        self.last_quorum_contact = contacts.and_then(|contacts| contacts.into_iter().min());
    }

    fn set_state(&mut self, state: ContactState) -> Option<ContactState> {
        let has_changed = state != self.state;
        self.state = state;
        has_changed.then_some(state)
    }

    /// The time after which a majority of a replica set, including this process, is known to have heard from this
    /// process.
    fn majority_contact(&self, now: Timestamp, replica_set: &ReplicaSet) -> Option<Timestamp> {
        let contact = |name: String| if name == self.own_name { Some(now) } else { self.last_contact(&name) };
        let mut contacts: Vec<Timestamp> =
            replica_set.replicas.iter().filter_map(|replica| contact(replica.name())).collect();
        contacts.sort_unstable_by(|one, other| other.cmp(one));
        contacts.get(replica_set.majority() - 1).copied()
    }

    /// Whether the process is in contact at this moment, even if the state has not been evaluated for some time. A
    /// process that was suspended would otherwise act on an outdated state.
    pub fn is_connected(&self, now: Timestamp) -> bool {
        self.contact_age(now).is_some_and(|age| age <= CONTACT_TIMEOUT)
    }

    /// The time since a majority is known to have heard from this process.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.last_quorum_contact.map(|last_contact| now - last_contact)
    }

    /// The time after which a peer is known to have heard from this process.
    pub fn last_contact(&self, name: &str) -> Option<Timestamp> {
        self.peers.get(name).and_then(|peer| peer.last_contact)
    }
}
