//! Links between machines. A connection keeps its words in order and loses none while it stands; connections keep no
//! order between them. A direction that is cut holds what is said; a connection that gets nothing through for long is
//! reset by whoever speaks, unless the cut is one that no end can tell from silence.

use crate::rng::Rng;
use kitepass_coordination::protocol::Message;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that are not taken end a connection after so long.
pub const PATIENCE: i64 = 1_500_000;
/// A process closes a peer's connection on which nothing has come for so long.
pub const QUIET: i64 = PATIENCE * 4;

/// One direction of a connection.
pub struct Channel {
    pub from: usize,
    pub to: usize,
    /// The life of the process that it goes to: another one has no such connection.
    pub to_life: u64,
    /// The life that speaks on it.
    pub from_life: u64,
    /// The words still held back by a cut.
    pub held: VecDeque<Message>,
    pub held_since: i64,
    /// When its last word comes.
    pub last: i64,
    /// When something came on it last.
    pub heard: i64,
    /// It takes no more words.
    pub closed: bool,
    /// What would come later than this is lost.
    pub until: i64,
    /// Who speaks, and in which life, once it has said so.
    pub node_id: Option<(String, u64)>,
    /// The session that it belongs to, and whether it leads to the control process.
    pub session: Option<bool>,
}

/// A direction between two machines that is cut.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    pub until: i64,
    /// Connections outlast it.
    pub silent: bool,
}

#[derive(Default)]
pub struct Network {
    pub channels: BTreeMap<u64, Channel>,
    next: u64,
    /// Directions that are cut, by machines.
    cuts: BTreeMap<(usize, usize), Partition>,
    /// Extra microseconds on a direction, until a moment.
    slow: BTreeMap<(usize, usize), (i64, i64)>,
}

impl Network {
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn cut(&mut self, from: usize, to: usize, cut: Partition) {
        let known = self.cuts.entry((from, to)).or_insert(cut);
        if known.until < cut.until {
            *known = cut;
        }
    }

    pub fn join_all(&mut self) {
        self.cuts.clear();
        self.slow.clear();
    }

    pub fn is_cut(&self, now: i64, from: usize, to: usize) -> Option<Partition> {
        self.cuts.get(&(from, to)).copied().filter(|cut| cut.until > now)
    }

    pub fn slow(&mut self, from: usize, to: usize, extra: i64, until: i64) {
        self.slow.insert((from, to), (extra, until));
    }

    pub fn extra(&self, now: i64, from: usize, to: usize) -> i64 {
        self.slow.get(&(from, to)).filter(|(_, until)| *until > now).map_or(0, |(extra, _)| *extra)
    }

    /// A connection breaks: what is on its way still comes up to a drawn point, nothing more is taken.
    pub fn reset(&mut self, now: i64, id: u64, chance: &mut Rng) {
        if let Some(channel) = self.channels.get_mut(&id).filter(|channel| !channel.closed) {
            channel.closed = true;
            channel.held.clear();
            if chance.percent(50) {
                channel.until = chance.among(now, channel.last.max(now) + 1);
            }
        }
    }

    /// Who speaks has ended: what it said is on its way still.
    pub fn close(&mut self, id: u64) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.closed = true;
        }
    }

    pub fn sweep(&mut self, now: i64) {
        self.cuts.retain(|_, cut| cut.until > now);
        self.channels
            .retain(|_, c| !c.closed || !c.held.is_empty() || c.last.min(c.until) + 60_000_000 > now);
    }
}
