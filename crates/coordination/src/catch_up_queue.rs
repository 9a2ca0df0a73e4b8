//! Who of those that catch up is sent a chunk next.
//!
//! Each is sent what it lacks in chunks. Its next chunk goes once the one before has left, and what is in flight to all of
//! them together is bounded: when a region comes back, some hundred gateways ask for the complete configuration at once.

use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A chunk that is still in flight after this time no longer counts against the bound, so that a stalled receiver holds
/// nobody else up. Its session has a time-out of its own.
const STALL_TIMEOUT: Duration = Duration::from_micros(2_000_000);

/// How far one receiver has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It is in the queue.
    Queued,
    /// It is its turn, and nothing has been sent yet.
    Chosen,
    /// A chunk is in flight to it.
    InFlight { bytes: usize, since: Timestamp, has_more: bool },
}

#[derive(Debug)]
struct Receiver {
    /// What it said that it holds.
    bucket_digests: Vec<u64>,
    /// The bucket to continue with.
    next_bucket: usize,
    wants_digests: bool,
    progress: Progress,
}

/// A turn: to whom to send which chunk.
#[derive(Debug, PartialEq)]
pub struct ChunkRequest {
    /// The receiver, by the number that the caller gave it.
    pub id: u64,
    /// What the receiver said that it holds.
    pub bucket_digests: Vec<u64>,
    /// The bucket with which the chunk begins.
    pub first_bucket: usize,
    /// Whether the receiver waits for the sender's digests at the end.
    pub wants_digests: bool,
}

/// All receivers that catch up.
#[derive(Debug)]
pub struct CatchUpQueue {
    /// Bytes that may be in flight to all together; the last chunk may exceed it.
    max_bytes_in_flight: usize,
    receivers: BTreeMap<u64, Receiver>,
    queue: VecDeque<u64>,
    bytes_in_flight: usize,
}

impl CatchUpQueue {
    /// An empty queue.
    pub fn new(max_bytes_in_flight: usize) -> CatchUpQueue {
        CatchUpQueue {
            max_bytes_in_flight,
            receivers: BTreeMap::new(),
            queue: VecDeque::new(),
            bytes_in_flight: 0,
        }
    }

    /// Queues a receiver, by what it says that it holds. If it is catching up already, it starts from the first bucket
    /// again.
    pub fn enqueue(&mut self, id: u64, bucket_digests: Vec<u64>, wants_digests: bool) {
        self.remove(id);
        let receiver = Receiver { bucket_digests, next_bucket: 0, wants_digests, progress: Progress::Queued };
        self.receivers.insert(id, receiver);
        self.queue.push_back(id);
    }

    /// Whose turn it is now, if there is room. [`CatchUpQueue::chunk_sent`] is to be called with the turn.
    pub fn next_chunk(&mut self, now: Timestamp) -> Option<ChunkRequest> {
        self.release_stalled(now);
        if self.bytes_in_flight >= self.max_bytes_in_flight {
            return None;
        }
        let id = self.queue.pop_front()?;
        let receiver = self.receivers.get_mut(&id)?;
        receiver.progress = Progress::Chosen;
        Some(ChunkRequest {
            id,
            bucket_digests: std::mem::take(&mut receiver.bucket_digests),
            first_bucket: receiver.next_bucket,
            wants_digests: receiver.wants_digests,
        })
    }

    /// A turn's chunk, of `bytes` bytes, is in flight; the next one begins with `next_bucket`, or there is none.
    pub fn chunk_sent(
        &mut self,
        now: Timestamp,
        turn: ChunkRequest,
        bytes: usize,
        next_bucket: Option<usize>,
    ) {
        let Some(receiver) = self.receivers.get_mut(&turn.id) else { return };
        if receiver.progress != Progress::Chosen {
            return;
        }
        self.bytes_in_flight += bytes;
        receiver.bucket_digests = turn.bucket_digests;
        receiver.next_bucket = next_bucket.unwrap_or(receiver.next_bucket);
        receiver.progress = Progress::InFlight { bytes, since: now, has_more: next_bucket.is_some() };
    }

    /// Whether a receiver catches up, or waits for its turn.
    pub fn contains(&self, id: u64) -> bool {
        self.receivers.contains_key(&id)
    }

    /// Whether a chunk is in flight to a receiver.
    pub fn is_in_flight(&self, id: u64) -> bool {
        let progress = self.receivers.get(&id).map(|receiver| receiver.progress);
        matches!(progress, Some(Progress::InFlight { .. }))
    }

    /// The chunk that was in flight to a receiver has left.
    pub fn chunk_delivered(&mut self, id: u64) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        let Progress::InFlight { bytes, has_more, .. } = receiver.progress else { return };
        self.bytes_in_flight -= bytes;
        if has_more {
            receiver.progress = Progress::Queued;
            self.queue.push_back(id);
        } else {
            self.receivers.remove(&id);
        }
    }

    /// A receiver has gone.
    pub fn remove(&mut self, id: u64) {
        let Some(receiver) = self.receivers.remove(&id) else { return };
        match receiver.progress {
            Progress::InFlight { bytes, .. } => self.bytes_in_flight -= bytes,
            Progress::Queued => self.queue.retain(|other| *other != id),
            Progress::Chosen => {}
        }
    }

    /// Bytes in flight to all receivers together.
    pub fn bytes_in_flight(&self) -> usize {
        self.bytes_in_flight
    }

    /// What is in flight to a stalled receiver counts no more. One that has its last chunk in flight is forgotten.
    fn release_stalled(&mut self, now: Timestamp) {
        let mut released = 0;
        self.receivers.retain(|_, receiver| match &mut receiver.progress {
            Progress::InFlight { bytes, since, has_more } if now - *since > STALL_TIMEOUT => {
                released += std::mem::take(bytes);
                *has_more
            }
            _ => true,
        });
        self.bytes_in_flight -= released;
    }
}
