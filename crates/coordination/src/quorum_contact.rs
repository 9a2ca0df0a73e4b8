//! Contact: whom of the core this process hears, and who of it heard this process, as of when.
//!
//! Every beat to another control process carries a number of the sender's own and the last number that it heard of the
//! other. A beat that gives back a number proves that its sender lived and heard this process *after* that number was
//! sent; the proof is dated by the moment at which this process sent it, by its own steady time. Clocks of two machines
//! are never compared, and a proof that comes late is no newer for that.

use crate::membership::ReplicaSet;
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A process is in contact while a majority of the cast has proved within so long that it heard this process.
pub const CONTACT: Duration = Duration::from_micros(2_000_000);
/// Numbers that are remembered of those that one peer was sent. A beat goes out every half second, and a few between:
/// what falls out is older than [`CONTACT`] and proves nothing any longer.
const MOST_SENT: usize = 16;
/// One of whom nothing was heard for so long is forgotten. Danger: stations that come and go would be kept for ever.
const FORGOTTEN: Duration = Duration::from_micros(60_000_000);

/// Whether this process may speak for the core. [`QuorumContact::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactState {
    /// Too few have proved lately that they hear it. So it begins.
    Disconnected,
    Connected,
}

struct Peer {
    incarnation: u64,
    /// The last number heard of it, or 0.
    heard: u32,
    /// Numbers that it was sent, with the moment of each, oldest first.
    sent: VecDeque<(u32, Timestamp)>,
    /// The newest moment after which it is known to have heard this process.
    as_of: Option<Timestamp>,
    /// It was heard itself then.
    at: Timestamp,
}

pub struct QuorumContact {
    /// Its own seat's name; all others go by theirs, too.
    me: String,
    state: ContactState,
    /// The moment after which a majority is known to have heard this process, as reckoned last.
    last_contact: Option<Timestamp>,
    number: u32,
    peers: BTreeMap<String, Peer>,
}

impl QuorumContact {
    /// `draw` is drawn anew in each life. Danger: a number of an earlier life that is given back late would pass for one
    /// of this life, and prove what was long ago.
    pub fn new(me: &str, draw: u32) -> QuorumContact {
        QuorumContact {
            me: me.to_owned(),
            state: ContactState::Disconnected,
            last_contact: None,
            number: draw,
            peers: BTreeMap::new(),
        }
    }

    pub fn state(&self) -> ContactState {
        self.state
    }

    /// A peer said who it is. What an earlier life of it heard, this one did not.
    pub fn peer_connected(&mut self, now: Timestamp, name: &str, incarnation: u64) {
        if self.peers.get(name).is_none_or(|peer| peer.incarnation != incarnation) {
            let peer = Peer { incarnation, heard: 0, sent: VecDeque::new(), as_of: None, at: now };
            self.peers.insert(name.to_owned(), peer);
        }
    }

    /// What the next beat to a peer carries: a number of its own, and the last that was heard of that peer.
    pub fn next_heartbeat(&mut self, now: Timestamp, name: &str) -> (u32, u32) {
        let Some(peer) = self.peers.get_mut(name) else { return (0, 0) };
        // Each number goes to one peer alone, so nobody can give back what another was sent; 0 is none.
        self.number = self.number.checked_add(1).unwrap_or(1);
        peer.sent.push_back((self.number, now));
        if peer.sent.len() > MOST_SENT {
            peer.sent.pop_front();
        }
        (self.number, peer.heard)
    }

    /// A peer's beat, with its own number and the one that it gives back.
    pub fn heartbeat_received(&mut self, now: Timestamp, name: &str, number: u32, yours: u32) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        (peer.heard, peer.at) = (number, now);
        // Danger: a number that this life never sent to this peer (an earlier life's, another's, or made up) proves
        // nothing, and neither does one that is too old to be remembered.
        if let Some((_, sent)) = peer.sent.iter().find(|(sent, _)| *sent == yours) {
            peer.as_of = peer.as_of.max(Some(*sent));
        }
    }

    /// A peer answered a word that was sent to it at a moment: as good as a number given back.
    pub fn response_received(&mut self, now: Timestamp, name: &str, sent: Timestamp) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.at = now;
        peer.as_of = peer.as_of.max(Some(sent));
    }

    /// Forgets who has been silent for long; to be called about once a second.
    pub fn sweep(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now - peer.at <= FORGOTTEN);
    }

    /// Reckons the state anew, by all casts that count now; a change comes back.
    pub fn evaluate(&mut self, now: Timestamp, replica_sets: &[ReplicaSet]) -> Option<ContactState> {
        let all: Option<Vec<Timestamp>> =
            replica_sets.iter().map(|replica_set| self.majority(now, replica_set)).collect();
        self.last_contact = all.and_then(|all| all.into_iter().min());
        let to = if self.is_connected(now) { ContactState::Connected } else { ContactState::Disconnected };
        self.shift(to)
    }

    fn shift(&mut self, to: ContactState) -> Option<ContactState> {
        (std::mem::replace(&mut self.state, to) != to).then_some(to)
    }

    /// The moment after which a majority of a cast, this process included, heard this process.
    fn majority(&self, now: Timestamp, replica_set: &ReplicaSet) -> Option<Timestamp> {
        let of = |name: String| if name == self.me { Some(now) } else { self.last_contact(&name) };
        let mut all: Vec<Timestamp> =
            replica_set.replicas.iter().filter_map(|replica| of(replica.name())).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(replica_set.majority() - 1).copied()
    }

    /// Whether it is in contact at this very moment, also if nothing has been reckoned anew for a while. Danger: a process
    /// that stood still would go on with what was true before.
    pub fn is_connected(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age <= CONTACT)
    }

    /// How long ago a majority is known to have heard this process.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.last_contact.map(|as_of| now - as_of)
    }

    /// The moment after which a peer is known to have heard this process.
    pub fn last_contact(&self, name: &str) -> Option<Timestamp> {
        self.peers.get(name).and_then(|peer| peer.as_of)
    }
}
