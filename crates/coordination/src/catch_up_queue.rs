//! Schedules the chunks that are sent to receivers that are catching up.
//!
//! A receiver gets the data it is missing in chunks, one at a time: the next chunk is sent once the previous one has
//! been delivered. The number of bytes in flight to all receivers together is bounded, because several hundred gateways
//! may request the complete configuration at once when a region comes back.

use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A chunk that has been in flight for longer than this no longer counts against the limit, so that a stalled receiver
/// does not block the others. The receiver's session has a timeout of its own.
const STALL_TIMEOUT: Duration = Duration::from_micros(2_000_000);

/// The state of one receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Waiting in the queue.
    Queued,
    /// Returned by [`CatchUpQueue::next_chunk`]; nothing has been sent yet.
    Requested,
    /// A chunk is in flight to the receiver.
    InFlight { bytes: usize, since: Timestamp, has_more: bool },
}

#[derive(Debug)]
struct Receiver {
    /// The digests that the receiver reported.
    bucket_digests: Vec<u64>,
    /// The first bucket of the next chunk.
    next_bucket: usize,
    wants_digests: bool,
    progress: Progress,
}

/// A chunk that the caller should send now.
#[derive(Debug, PartialEq)]
pub struct ChunkRequest {
    /// The receiver's ID, as passed to [`CatchUpQueue::enqueue`].
    pub id: u64,
    /// The digests of what the receiver already has.
    pub bucket_digests: Vec<u64>,
    /// The first bucket of the chunk.
    pub first_bucket: usize,
    /// Whether the receiver expects the sender's digests after the last chunk.
    pub wants_digests: bool,
}

/// The receivers that are catching up, and the bytes in flight to them.
#[derive(Debug)]
pub struct CatchUpQueue {
    /// The maximum number of bytes in flight to all receivers together. The last chunk sent may exceed it.
    max_bytes_in_flight: usize,
    receivers: BTreeMap<u64, Receiver>,
    queue: VecDeque<u64>,
    bytes_in_flight: usize,
}

impl CatchUpQueue {
    /// Creates an empty queue.
    pub fn new(max_bytes_in_flight: usize) -> CatchUpQueue {
        CatchUpQueue {
            max_bytes_in_flight,
            receivers: BTreeMap::new(),
            queue: VecDeque::new(),
            bytes_in_flight: 0,
        }
    }

    /// Adds a receiver with the digests that it reported. A receiver that is already catching up starts again from the
    /// first bucket.
    pub fn enqueue(&mut self, id: u64, bucket_digests: Vec<u64>, wants_digests: bool) {
        self.remove(id);
        let receiver = Receiver { bucket_digests, next_bucket: 0, wants_digests, progress: Progress::Queued };
        self.receivers.insert(id, receiver);
        self.queue.push_back(id);
    }

    /// Returns the next chunk to send, if the limit on bytes in flight allows one. The caller must pass the result to
    /// [`CatchUpQueue::chunk_sent`].
    pub fn next_chunk(&mut self, now: Timestamp) -> Option<ChunkRequest> {
        self.release_stalled(now);
        if self.bytes_in_flight >= self.max_bytes_in_flight {
            return None;
        }
        let id = self.queue.pop_front()?;
        let receiver = self.receivers.get_mut(&id)?;
        receiver.progress = Progress::Requested;
        Some(ChunkRequest {
            id,
            bucket_digests: std::mem::take(&mut receiver.bucket_digests),
            first_bucket: receiver.next_bucket,
            wants_digests: receiver.wants_digests,
        })
    }

    /// Records that the requested chunk of `bytes` bytes was sent. The following chunk starts at `next_bucket`; `None`
    /// means that this was the last one.
    pub fn chunk_sent(
        &mut self,
        now: Timestamp,
        request: ChunkRequest,
        bytes: usize,
        next_bucket: Option<usize>,
    ) {
        let Some(receiver) = self.receivers.get_mut(&request.id) else { return };
        if receiver.progress != Progress::Requested {
            return;
        }
        self.bytes_in_flight += bytes;
        receiver.bucket_digests = request.bucket_digests;
        receiver.next_bucket = next_bucket.unwrap_or(receiver.next_bucket);
        receiver.progress = Progress::InFlight { bytes, since: now, has_more: next_bucket.is_some() };
    }

    /// Whether a receiver is catching up or waiting to.
    pub fn contains(&self, id: u64) -> bool {
        self.receivers.contains_key(&id)
    }

    /// Whether a chunk is in flight to a receiver.
    pub fn is_in_flight(&self, id: u64) -> bool {
        let progress = self.receivers.get(&id).map(|receiver| receiver.progress);
        matches!(progress, Some(Progress::InFlight { .. }))
    }

    /// Records that the chunk in flight to a receiver was delivered.
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

    /// Removes a receiver that has disconnected.
    pub fn remove(&mut self, id: u64) {
        let Some(receiver) = self.receivers.remove(&id) else { return };
        match receiver.progress {
            Progress::InFlight { bytes, .. } => self.bytes_in_flight -= bytes,
            Progress::Queued => self.queue.retain(|other| *other != id),
            Progress::Requested => {}
        }
    }

    /// The number of bytes in flight to all receivers together.
    pub fn bytes_in_flight(&self) -> usize {
        self.bytes_in_flight
    }

    /// Stops counting chunks in flight to stalled receivers. A receiver whose last chunk is stalled is removed.
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
