//! Who of those that came is told what next. Each is told what it lacks in pieces; the next one goes once the one before
//! has left, and what is on its way to all of them together is bounded. Danger: a region that comes back has some
//! hundred gateways ask for the whole configuration at once.

use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// One that has not taken its piece by then holds nobody else up any longer; its session has other bounds.
const STUCK: Duration = Duration::from_micros(2_000_000);

/// How far one that came has been told. [`CatchUpQueue::next`], [`CatchUpQueue::told`] and [`CatchUpQueue::left`] alone change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is in the queue.
    Waiting,
    /// It is its turn, and nobody has told it yet.
    Chosen,
    /// So many bytes are on their way to it.
    Told { bytes: usize, since: Timestamp, more: bool },
}

#[derive(Debug)]
struct Feed {
    /// What it said that it holds.
    hashes: Vec<u64>,
    /// The bucket to go on with.
    from: usize,
    back: bool,
    state: State,
}

/// A turn: whom to tell what.
#[derive(Debug, PartialEq)]
pub struct CatchUpTurn {
    pub id: u64,
    pub bucket_digests: Vec<u64>,
    pub first_bucket: usize,
    /// Whether it waits for the other's hashes at the end.
    pub wants_reply: bool,
}

/// All that are being told.
#[derive(Debug)]
pub struct CatchUpQueue {
    /// Bytes that may be on their way to all together, but for the last piece that fits no more.
    most: usize,
    feeds: BTreeMap<u64, Feed>,
    queue: VecDeque<u64>,
    bytes_in_flight: usize,
}

impl CatchUpQueue {
    pub fn new(most: usize) -> CatchUpQueue {
        CatchUpQueue { most, feeds: BTreeMap::new(), queue: VecDeque::new(), bytes_in_flight: 0 }
    }

    /// One says what it holds, and waits for what it lacks. If it is being told already, that begins anew.
    pub fn enqueue(&mut self, id: u64, hashes: Vec<u64>, back: bool) {
        self.remove(id);
        self.feeds.insert(id, Feed { hashes, from: 0, back, state: State::Waiting });
        self.queue.push_back(id);
    }

    /// Whose turn it is now, if there is room.
    pub fn next_turn(&mut self, now: Timestamp) -> Option<CatchUpTurn> {
        self.sweep(now);
        if self.bytes_in_flight >= self.most {
            return None;
        }
        let id = self.queue.pop_front()?;
        let feed = self.feeds.get_mut(&id)?;
        feed.state = State::Chosen;
        Some(CatchUpTurn {
            id,
            bucket_digests: std::mem::take(&mut feed.hashes),
            first_bucket: feed.from,
            wants_reply: feed.back,
        })
    }

    /// What came of a turn: so many bytes are on their way, and it goes on at this bucket, or not at all.
    pub fn chunk_sent(&mut self, now: Timestamp, turn: CatchUpTurn, bytes: usize, goes_on: Option<usize>) {
        let Some(feed) = self.feeds.get_mut(&turn.id).filter(|feed| feed.state == State::Chosen) else {
            return;
        };
        self.bytes_in_flight += bytes;
        feed.hashes = turn.bucket_digests;
        feed.from = goes_on.unwrap_or(feed.from);
        feed.state = State::Told { bytes, since: now, more: goes_on.is_some() };
    }

    /// Whether it is being told, or waits for its turn.
    pub fn contains(&self, id: u64) -> bool {
        self.feeds.contains_key(&id)
    }

    /// Whether something is on its way to it.
    pub fn is_in_flight(&self, id: u64) -> bool {
        matches!(self.feeds.get(&id), Some(Feed { state: State::Told { .. }, .. }))
    }

    /// What was on its way to one has left.
    pub fn chunk_delivered(&mut self, id: u64) {
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        let State::Told { bytes, more, .. } = feed.state else { return };
        self.bytes_in_flight -= bytes;
        if more {
            feed.state = State::Waiting;
            self.queue.push_back(id);
        } else {
            self.feeds.remove(&id);
        }
    }

    /// One has gone.
    pub fn remove(&mut self, id: u64) {
        let Some(feed) = self.feeds.remove(&id) else { return };
        match feed.state {
            State::Told { bytes, .. } => self.bytes_in_flight -= bytes,
            State::Waiting => self.queue.retain(|other| *other != id),
            State::Chosen => {}
        }
    }

    /// Bytes on their way to all together.
    pub fn bytes_in_flight(&self) -> usize {
        self.bytes_in_flight
    }

    fn sweep(&mut self, now: Timestamp) {
        let mut free = 0;
        self.feeds.retain(|_, feed| match &mut feed.state {
            State::Told { bytes, since, more } if now - *since > STUCK => {
                free += std::mem::take(bytes);
                *more
            }
            _ => true,
        });
        self.bytes_in_flight -= free;
    }
}
