//! Quorum contact: whether a majority of the replicas has heard this process lately.
//!
//! Each heartbeat to another control process carries a number of the sender's own and the last number that it received
//! from the other. A heartbeat that echoes a number proves that its sender was alive and received this process' heartbeat
//! *after* that number was sent. The proof is dated by the moment at which this process sent the number, by its own
//! monotonic clock: clocks of two machines are never compared, and a proof that arrives late is no newer for that.

use crate::membership::ReplicaSet;
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A process is in contact while its newest proof that a majority of the replicas heard it is no older than this.
pub const CONTACT_TIMEOUT: Duration = Duration::from_micros(2_000_000);
/// How many of the sequence numbers last sent to one peer are remembered. A heartbeat goes out every half second, and a few in
/// between: what falls out is older than [`CONTACT_TIMEOUT`] and proves nothing any longer.
const MAX_REMEMBERED_SEQUENCES: usize = 16;
/// A peer that has sent nothing for this long is forgotten; otherwise peers that come and go would be kept for ever.
const PEER_EXPIRY: Duration = Duration::from_micros(60_000_000);

/// Whether this process may speak for the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactState {
    /// Too few have proved lately that they hear it. This is the first state.
    Disconnected,
    /// A majority has.
    Connected,
}

/// A heartbeat that was sent.
struct SentHeartbeat {
    sequence: u32,
    sent_at: Timestamp,
}

struct Peer {
    incarnation: u64,
    /// The last number that was received from it, or 0.
    last_sequence: u32,
    /// What it was sent, the oldest first.
    sent: VecDeque<SentHeartbeat>,
    /// The newest moment after which it is known to have heard this process.
    last_contact: Option<Timestamp>,
    last_heard_at: Timestamp,
}

impl Peer {
    /// Notes that the peer heard this process after `sent_at`.
    fn record_contact(&mut self, sent_at: Timestamp) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }
}

/// What a process knows of who hears it. Replicas go by their names, see
/// [`Replica::name`](crate::membership::Replica::name).
pub struct QuorumContact {
    own_name: String,
    state: ContactState,
    /// The moment after which a majority is known to have heard this process, as evaluated last.
    last_quorum_contact: Option<Timestamp>,
    last_sequence: u32,
    peers: BTreeMap<String, Peer>,
}

impl QuorumContact {
    /// `first_sequence` is drawn at random in each incarnation: a number of an earlier incarnation that is echoed late
    /// would pass for one of this incarnation, and prove what was long ago.
    pub fn new(own_name: &str, first_sequence: u32) -> QuorumContact {
        QuorumContact {
            own_name: own_name.to_owned(),
            state: ContactState::Disconnected,
            last_quorum_contact: None,
            last_sequence: first_sequence,
            peers: BTreeMap::new(),
        }
    }

    /// The state as evaluated last.
    pub fn state(&self) -> ContactState {
        self.state
    }

    /// A peer said who it is. What an earlier incarnation of it heard, this one did not.
    pub fn peer_connected(&mut self, now: Timestamp, name: &str, incarnation: u64) {
        if self.peers.get(name).is_some_and(|peer| peer.incarnation == incarnation) {
            return;
        }
        let (last_sequence, sent, last_contact) = (0, VecDeque::new(), None);
        let peer = Peer { incarnation, last_sequence, sent, last_contact, last_heard_at: now };
        self.peers.insert(name.to_owned(), peer);
    }

    /// What the next heartbeat to a peer carries: its own number, and the last one that was received from that peer. Both
    /// are 0 for a peer that has not connected.
    pub fn next_heartbeat(&mut self, now: Timestamp, name: &str) -> (u32, u32) {
        let Some(peer) = self.peers.get_mut(name) else { return (0, 0) };
        // Each number goes to one peer alone, so that nobody can echo what another was sent. 0 stands for none.
        self.last_sequence = self.last_sequence.checked_add(1).unwrap_or(1);
        peer.sent.push_back(SentHeartbeat { sequence: self.last_sequence, sent_at: now });
        if peer.sent.len() > MAX_REMEMBERED_SEQUENCES {
            peer.sent.pop_front();
        }
        (self.last_sequence, peer.last_sequence)
    }

    /// A peer's heartbeat, with its own number and the one that it echoes.
    pub fn heartbeat_received(&mut self, now: Timestamp, name: &str, sequence: u32, echoed_sequence: u32) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.last_sequence = sequence;
        peer.last_heard_at = now;
        // Invariant: only a number that this incarnation sent to this peer is a proof. One of an earlier incarnation, of
        // another peer, made up, or too old to be remembered proves nothing.
        let echoed = peer.sent.iter().find(|sent| sent.sequence == echoed_sequence);
        if let Some(sent_at) = echoed.map(|sent| sent.sent_at) {
            peer.record_contact(sent_at);
        }
    }

    /// A peer answered a request that was sent to it at a moment: as good as an echoed number.
    pub fn response_received(&mut self, now: Timestamp, name: &str, sent_at: Timestamp) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.last_heard_at = now;
        peer.record_contact(sent_at);
    }

    /// Forgets peers that have been silent for long; to be called about once a second.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now - peer.last_heard_at <= PEER_EXPIRY);
    }

    /// Evaluates the state by these replica sets, a majority of each of which is needed; returns it if it has changed. To
    /// be called when all that has come of the peers has been read.
    pub fn evaluate(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) -> Option<ContactState> {
        self.update_quorum_contact(now, replica_sets);
        let state = match self.is_connected(now) {
            true => ContactState::Connected,
            false => ContactState::Disconnected,
        };
        self.change_state(state)
    }

    /// As [`QuorumContact::evaluate`], after one proof: contact may be back by it, and is not lost.
    ///
    /// After a pause of this process several heartbeats of each peer wait to be read. By the first of them, the oldest,
    /// contact may be lost; by the last it is not.
    pub fn check_reconnected(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) -> Option<ContactState> {
        self.update_quorum_contact(now, replica_sets);
        self.is_connected(now).then(|| self.change_state(ContactState::Connected)).flatten()
    }

    fn update_quorum_contact(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) {
        let contacts: Option<Vec<Timestamp>> =
            replica_sets.iter().map(|replica_set| self.majority_contact(now, replica_set)).collect();
        self.last_quorum_contact = contacts.and_then(|contacts| contacts.into_iter().min());
    }

    fn change_state(&mut self, state: ContactState) -> Option<ContactState> {
        let has_changed = state != self.state;
        self.state = state;
        has_changed.then_some(state)
    }

    /// The moment after which a majority of a replica set, this process included, has heard this process.
    fn majority_contact(&self, now: Timestamp, replica_set: &ReplicaSet) -> Option<Timestamp> {
        let contact = |name: String| if name == self.own_name { Some(now) } else { self.last_contact(&name) };
        let mut contacts: Vec<Timestamp> =
            replica_set.replicas.iter().filter_map(|replica| contact(replica.name())).collect();
        contacts.sort_unstable_by(|one, other| other.cmp(one));
        contacts.get(replica_set.majority() - 1).copied()
    }

    /// Whether it is in contact at this very moment, even if nothing has been evaluated for a while: a process that was
    /// suspended would go on with what was true before.
    pub fn is_connected(&self, now: Timestamp) -> bool {
        self.contact_age(now).is_some_and(|age| age <= CONTACT_TIMEOUT)
    }

    /// How long ago a majority is known to have heard this process.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.last_quorum_contact.map(|last_contact| now - last_contact)
    }

    /// The moment after which a peer is known to have heard this process.
    pub fn last_contact(&self, name: &str) -> Option<Timestamp> {
        self.peers.get(name).and_then(|peer| peer.last_contact)
    }
}
