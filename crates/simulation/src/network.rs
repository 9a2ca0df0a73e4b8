//! Links between machines. An open connection delivers its messages in order and without loss; messages on
//! different connections are not ordered. A partition holds messages back. The sender resets a connection
//! that makes no progress for [`SEND_TIMEOUT`], unless the partition keeps connections: then neither end can
//! distinguish it from an idle peer.

use crate::rng::Rng;
use kitepass_coordination::protocol::{Hello, Message};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display};

/// A sender resets a connection whose peer accepts no data for this time. Microseconds.
pub const SEND_TIMEOUT: i64 = 1_500_000;
/// A process closes a peer's connection on which it received nothing for this time. Microseconds.
pub const IDLE_TIMEOUT: i64 = SEND_TIMEOUT * 4;
/// A closed channel is removed this long after the arrival of its last message. Microseconds.
const CLOSED_CHANNEL_RETENTION: i64 = 60_000_000;

/// A simulated machine. Nodes sort before gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// A machine with a control process, by index.
    Node(usize),
    /// A machine with a gateway, by index.
    Gateway(usize),
}

impl Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Host::Node(node) => write!(f, "s{node}"),
            Host::Gateway(gateway) => write!(f, "g{gateway}"),
        }
    }
}

/// Identifies one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChannelId(pub u64);

/// Identifies a gateway's session with a control process: two channels with consecutive ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u64);

impl SessionId {
    /// The channel from the gateway to the control process.
    pub fn to_node(self) -> ChannelId {
        ChannelId(self.0)
    }

    /// The channel from the control process to the gateway.
    pub fn to_gateway(self) -> ChannelId {
        ChannelId(self.0 + 1)
    }
}

/// The process at one end of a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChannelEnd {
    /// Its machine.
    pub host: Host,
    /// Its incarnation as numbered by the simulation; 0 for gateways.
    pub incarnation: u64,
}

/// The role of a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelKind {
    /// A connection to a peer. It is used in one direction only: by the process that opened it.
    Peer,
    /// The direction of a session towards the control process.
    SessionToNode(SessionId),
    /// The direction of a session towards the gateway.
    SessionToGateway(SessionId),
}

/// The sender of a channel, as given by its hello message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Node id of the sender.
    pub node_id: String,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
}

impl From<&Hello> for PeerIdentity {
    fn from(hello: &Hello) -> PeerIdentity {
        PeerIdentity { node_id: hello.node_id.clone(), incarnation: hello.incarnation }
    }
}

/// The state of one direction of a connection. Times are in microseconds.
pub struct Channel {
    /// The sending process.
    pub from: ChannelEnd,
    /// The receiving process. A later process on the same machine does not take over the connection.
    pub to: ChannelEnd,
    /// The role of the channel.
    pub kind: ChannelKind,
    /// Messages held back by a partition.
    pub blocked: VecDeque<Message>,
    /// Time since which messages are held back.
    pub blocked_since: i64,
    /// Arrival time of the last message sent.
    pub last_delivery: i64,
    /// Time at which the last message was received.
    pub last_received: i64,
    /// Whether the channel accepts no further messages.
    pub is_closed: bool,
    /// Messages that arrive after this time are lost.
    pub lost_after: i64,
    /// The sender, once its hello message was received.
    pub sender: Option<PeerIdentity>,
}

impl Channel {
    /// An open channel without messages.
    pub fn new(now: i64, from: ChannelEnd, to: ChannelEnd, kind: ChannelKind) -> Channel {
        Channel {
            from,
            to,
            kind,
            blocked: VecDeque::new(),
            blocked_since: 0,
            last_delivery: 0,
            last_received: now,
            is_closed: false,
            lost_after: i64::MAX,
            sender: None,
        }
    }

    /// Arrival time of the last message that is not lost.
    pub fn last_arrival(&self) -> i64 {
        self.last_delivery.min(self.lost_after)
    }
}

/// A partition that blocks one direction between two machines.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// End of the partition, in microseconds.
    pub until: i64,
    /// Whether connections stay open during the partition.
    pub keeps_connections: bool,
}

/// Additional latency in one direction between two machines.
#[derive(Clone, Copy, Debug)]
struct SlowLink {
    extra_latency: i64,
    until: i64,
}

/// All channels, partitions and slow links.
#[derive(Default)]
pub struct Network {
    /// Open channels, and closed ones that may still deliver messages.
    pub channels: BTreeMap<ChannelId, Channel>,
    last_id: u64,
    partitions: BTreeMap<(Host, Host), Partition>,
    slow_links: BTreeMap<(Host, Host), SlowLink>,
}

impl Network {
    /// A number that is unique among channels, sessions and operators' attempts.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The channels that satisfy a condition, ordered by id.
    pub fn channels_where(&self, condition: impl Fn(&Channel) -> bool) -> Vec<ChannelId> {
        self.channels.iter().filter(|(_, channel)| condition(channel)).map(|(id, _)| *id).collect()
    }

    /// Partitions one direction, unless it is already partitioned for longer.
    pub fn partition(&mut self, from: Host, to: Host, partition: Partition) {
        let existing = self.partitions.entry((from, to)).or_insert(partition);
        if existing.until < partition.until {
            *existing = partition;
        }
    }

    /// Ends all partitions and slow links.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.slow_links.clear();
    }

    /// The current partition of a direction, if any.
    pub fn partition_of(&self, now: i64, from: Host, to: Host) -> Option<Partition> {
        self.partitions.get(&(from, to)).copied().filter(|partition| partition.until > now)
    }

    /// True if no connection can be opened because at least one direction is partitioned.
    pub fn is_unreachable(&self, now: i64, from: Host, to: Host) -> bool {
        self.partition_of(now, from, to).is_some() || self.partition_of(now, to, from).is_some()
    }

    /// Increases the latency of one direction until the given time.
    pub fn slow_down(&mut self, from: Host, to: Host, extra_latency: i64, until: i64) {
        self.slow_links.insert((from, to), SlowLink { extra_latency, until });
    }

    /// Current additional latency of a direction, in microseconds.
    pub fn extra_latency(&self, now: i64, from: Host, to: Host) -> i64 {
        let slow_link = self.slow_links.get(&(from, to)).filter(|slow_link| slow_link.until > now);
        slow_link.map_or(0, |slow_link| slow_link.extra_latency)
    }

    /// Resets a channel. It accepts no more messages; of those in transit, either all arrive or only those
    /// due by a random time.
    pub fn reset(&mut self, now: i64, id: ChannelId, rng: &mut Rng) {
        if let Some(channel) = self.channels.get_mut(&id).filter(|channel| !channel.is_closed) {
            channel.is_closed = true;
            channel.blocked.clear();
            if rng.chance(50) {
                channel.lost_after = rng.in_range(now..channel.last_delivery.max(now) + 1);
            }
        }
    }

    /// Closes a channel whose sender has ended. Messages in transit still arrive.
    pub fn close(&mut self, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.is_closed = true;
        }
    }

    /// Removes partitions that have ended and channels that were closed long ago.
    pub fn remove_expired(&mut self, now: i64) {
        self.partitions.retain(|_, partition| partition.until > now);
        self.channels.retain(|_, channel| {
            let is_recent = channel.last_arrival() + CLOSED_CHANNEL_RETENTION > now;
            !channel.is_closed || !channel.blocked.is_empty() || is_recent
        });
    }
}
