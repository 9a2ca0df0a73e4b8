//! Links between machines. A connection keeps its messages in order and loses none while it stands; there is no order
//! between connections. A partitioned direction holds back what is sent. A connection that gets nothing through for
//! [`SEND_TIMEOUT`] is reset by its sender, unless the partition keeps
//! connections: then no end can tell it from a quiet peer.

use crate::rng::Rng;
use kitepass_coordination::protocol::{Hello, Message};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display};

/// A connection whose peer takes no bytes for so long ends. Microseconds.
pub const SEND_TIMEOUT: i64 = 1_500_000;
/// A process closes a peer's connection on which nothing has come for so long. Microseconds.
pub const IDLE_TIMEOUT: i64 = SEND_TIMEOUT * 4;
/// A closed channel is forgotten so long after its last message was due. Microseconds.
const CLOSED_CHANNEL_RETENTION: i64 = 60_000_000;

/// A simulated machine. Nodes sort before gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// A machine with a control process, by its index.
    Node(usize),
    /// A machine with a gateway, by its index.
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

/// One direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChannelId(pub u64);

/// A gateway's session with a control process: two channels with consecutive numbers.
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

/// A process at one end of a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChannelEnd {
    /// Its machine.
    pub host: Host,
    /// Its incarnation, as the simulation numbers them; 0 for gateways.
    pub incarnation: u64,
}

/// What a channel is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelKind {
    /// A connection to a peer: a process sends on its own connections alone.
    Peer,
    /// A session's direction to the control process.
    SessionToNode(SessionId),
    /// A session's direction to the gateway.
    SessionToGateway(SessionId),
}

/// Whoever introduced itself on a channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The node id that it gave.
    pub node_id: String,
    /// Its process' incarnation, as it gave it.
    pub incarnation: u64,
}

impl From<&Hello> for PeerIdentity {
    fn from(hello: &Hello) -> PeerIdentity {
        PeerIdentity { node_id: hello.node_id.clone(), incarnation: hello.incarnation }
    }
}

/// The state of one direction of a connection. Times are microseconds.
pub struct Channel {
    /// The process that sends on it.
    pub from: ChannelEnd,
    /// The process that it leads to; another one on the same machine has no such connection.
    pub to: ChannelEnd,
    /// What it is part of.
    pub kind: ChannelKind,
    /// Messages that a partition holds back.
    pub blocked: VecDeque<Message>,
    /// Since when it holds messages back.
    pub blocked_since: i64,
    /// When its last message is due.
    pub last_delivery: i64,
    /// When a message arrived on it last.
    pub last_received: i64,
    /// It takes no more messages.
    pub is_closed: bool,
    /// Messages that would arrive later are lost.
    pub lost_after: i64,
    /// Who sends on it, once it has said so.
    pub sender: Option<PeerIdentity>,
}

impl Channel {
    /// An open channel without traffic.
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

    /// When the last message that is not lost arrives.
    pub fn last_arrival(&self) -> i64 {
        self.last_delivery.min(self.lost_after)
    }
}

/// A partition of one direction between two machines.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// When it ends, in microseconds.
    pub until: i64,
    /// Connections outlast it.
    pub keeps_connections: bool,
}

/// Extra latency of one direction between two machines.
#[derive(Clone, Copy, Debug)]
struct SlowLink {
    extra_latency: i64,
    until: i64,
}

/// All channels, partitions and slow links.
#[derive(Default)]
pub struct Network {
    /// Open channels, and closed ones while messages may be on their way.
    pub channels: BTreeMap<ChannelId, Channel>,
    last_id: u64,
    partitions: BTreeMap<(Host, Host), Partition>,
    slow_links: BTreeMap<(Host, Host), SlowLink>,
}

impl Network {
    /// A number that no channel and no operator's attempt had before.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The channels for which a condition holds, in the order of their ids.
    pub fn channels_where(&self, condition: impl Fn(&Channel) -> bool) -> Vec<ChannelId> {
        self.channels.iter().filter(|(_, channel)| condition(channel)).map(|(id, _)| *id).collect()
    }

    /// Partitions a direction, unless it is partitioned for longer already.
    pub fn partition(&mut self, from: Host, to: Host, partition: Partition) {
        let known = self.partitions.entry((from, to)).or_insert(partition);
        if known.until < partition.until {
            *known = partition;
        }
    }

    /// Ends all partitions and makes all links fast.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.slow_links.clear();
    }

    /// The partition of a direction, if there is one now.
    pub fn partition_of(&self, now: i64, from: Host, to: Host) -> Option<Partition> {
        self.partitions.get(&(from, to)).copied().filter(|partition| partition.until > now)
    }

    /// True if a connection cannot be opened: one of its directions is partitioned.
    pub fn is_unreachable(&self, now: i64, from: Host, to: Host) -> bool {
        self.partition_of(now, from, to).is_some() || self.partition_of(now, to, from).is_some()
    }

    /// Slows a direction until a time.
    pub fn slow_down(&mut self, from: Host, to: Host, extra_latency: i64, until: i64) {
        self.slow_links.insert((from, to), SlowLink { extra_latency, until });
    }

    /// Microseconds that a message takes longer than usual.
    pub fn extra_latency(&self, now: i64, from: Host, to: Host) -> i64 {
        let slow_link = self.slow_links.get(&(from, to)).filter(|slow_link| slow_link.until > now);
        slow_link.map_or(0, |slow_link| slow_link.extra_latency)
    }

    /// Resets a channel: it takes nothing more, and of what is on its way all, or only what is due by a drawn time,
    /// arrives.
    pub fn reset(&mut self, now: i64, id: ChannelId, rng: &mut Rng) {
        if let Some(channel) = self.channels.get_mut(&id).filter(|channel| !channel.is_closed) {
            channel.is_closed = true;
            channel.blocked.clear();
            if rng.chance(50) {
                channel.lost_after = rng.in_range(now..channel.last_delivery.max(now) + 1);
            }
        }
    }

    /// Closes a channel whose sender has ended: what it sent still arrives.
    pub fn close(&mut self, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.is_closed = true;
        }
    }

    /// Forgets partitions that are over, and channels that were closed long ago.
    pub fn remove_expired(&mut self, now: i64) {
        self.partitions.retain(|_, partition| partition.until > now);
        self.channels.retain(|_, channel| {
            let is_recent = channel.last_arrival() + CLOSED_CHANNEL_RETENTION > now;
            !channel.is_closed || !channel.blocked.is_empty() || is_recent
        });
    }
}
