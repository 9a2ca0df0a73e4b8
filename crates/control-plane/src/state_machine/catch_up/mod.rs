//! Catching up: what the other replicas hold is read from each, chunk by chunk, until enough of them have been read.

mod reading;

use kitepass_config::{Item, VersionDigest};
use kitepass_coordination::protocol::{AcceptRequest, PrepareRequest, PrepareResponse};
use kitepass_time::Timestamp;
use reading::{Reading, ReadingOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// What follows from an answer to a reading.
pub(super) enum ChunkOutcome {
    /// The next chunk is to be asked for.
    Continue(PrepareRequest),
    /// All that the other held when it was asked first is known here. Holds what its first answer told beside the items.
    Complete(PrepareResponse),
    /// The answer belongs to no reading, or ends one without a result.
    Ignored,
}

/// An accept request that waits until this process holds all that the proposer does.
struct DelayedAccept {
    /// The reading that it waits for.
    request_id: u64,
    request: AcceptRequest,
}

/// A reading of one peer.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReadingKey {
    request_id: u64,
    node_id: String,
}

/// Readings under way, and whom this process has read since it was in contact last.
pub(super) struct CatchUp {
    /// Names of the replicas that were read.
    completed: BTreeSet<String>,
    /// The highest version of a replica set that one of these has accepted as the one in force.
    activated_version: u64,
    /// The id under which all are asked, or 0 where nobody has been asked yet.
    catch_up_id: u64,
    /// When somebody was asked first under it.
    first_requested_at: Timestamp,
    /// When all were asked last.
    last_requested_at: Timestamp,
    readings: BTreeMap<ReadingKey, Reading>,
    /// By the node id of the proposer.
    delayed_accepts: BTreeMap<String, DelayedAccept>,
}

impl CatchUp {
    pub(super) fn new(now: Timestamp) -> CatchUp {
        CatchUp {
            completed: BTreeSet::new(),
            activated_version: 0,
            catch_up_id: 0,
            first_requested_at: now,
            last_requested_at: Timestamp::default(),
            readings: BTreeMap::new(),
            delayed_accepts: BTreeMap::new(),
        }
    }

    pub(super) fn last_requested_at(&self) -> Timestamp {
        self.last_requested_at
    }

    /// All are to be asked again at the next tick.
    pub(super) fn retry_soon(&mut self) {
        self.last_requested_at = Timestamp::default();
    }

    /// Whom this process has read so far counts no longer; all are asked under a new id.
    pub(super) fn restart(&mut self) {
        self.completed.clear();
        self.activated_version = 0;
        self.catch_up_id = 0;
    }

    /// As [`CatchUp::restart`]; readings under way and what waits for them are given up, too.
    pub(super) fn discard(&mut self) {
        self.restart();
        self.readings.clear();
        self.delayed_accepts.clear();
    }

    pub(super) fn all_asked(&mut self, now: Timestamp) {
        self.last_requested_at = now;
    }

    /// The id under which all are asked; `next_id` gives one where there is none.
    ///
    /// Replicas that were read stay read: copies merge, and nothing known is forgotten. Without contact that is not so,
    /// and [`CatchUp::restart`] makes for a new id.
    pub(super) fn catch_up_id(&mut self, now: Timestamp, next_id: impl FnOnce() -> u64) -> u64 {
        if self.catch_up_id == 0 {
            (self.catch_up_id, self.first_requested_at) = (next_id(), now);
        }
        self.catch_up_id
    }

    pub(super) fn is_catch_up_id(&self, request_id: u64) -> bool {
        request_id == self.catch_up_id
    }

    /// When a replica was asked first under the current id. An answer proves contact no later than that, as it may be the
    /// answer to that first request.
    pub(super) fn first_requested_at(&self) -> Timestamp {
        self.first_requested_at
    }

    /// The replica of this name has been read. `activated_version` is what it told.
    pub(super) fn replica_read_completed(&mut self, name: &str, activated_version: u64) {
        self.completed.insert(name.to_owned());
        self.activated_version = self.activated_version.max(activated_version);
    }

    /// Names of the replicas that were read, and the highest activated version that they told.
    pub(super) fn completed_reads(&self) -> (BTreeSet<String>, u64) {
        (self.completed.clone(), self.activated_version)
    }

    /// Begins a reading: `request` goes to the peer.
    pub(super) fn start_read(&mut self, now: Timestamp, node_id: &str, request: &PrepareRequest) {
        let key = ReadingKey { request_id: request.request_id, node_id: node_id.to_owned() };
        self.readings.insert(key, Reading::new(now, request));
    }

    /// Whether an answer of this peer under this id may still come.
    pub(super) fn is_read_in_progress(&self, now: Timestamp, request_id: u64, node_id: &str) -> bool {
        let key = ReadingKey { request_id, node_id: node_id.to_owned() };
        self.readings.get(&key).is_some_and(|reading| !reading.is_overdue(now))
    }

    /// A chunk of this reading, not its last, has brought what was not known here.
    pub(super) fn chunk_brought_news(&mut self, node_id: &str, request_id: u64) {
        let key = ReadingKey { request_id, node_id: node_id.to_owned() };
        if let Some(reading) = self.readings.get_mut(&key) {
            reading.has_brought_news = true;
        }
    }

    /// Whether a reading has brought part of what was not known here, and more of it is to come: this process may hold
    /// parts of changes.
    pub(super) fn is_transferring(&self) -> bool {
        self.readings.values().any(|reading| reading.has_brought_news)
    }

    /// Whether an answer of this peer may still come, under whatever id.
    pub(super) fn is_any_read_in_progress(&self, now: Timestamp, node_id: &str) -> bool {
        self.readings.iter().any(|(key, reading)| key.node_id == node_id && !reading.is_overdue(now))
    }

    /// Takes an answer. `is_own_answer`: it is to this incarnation; `is_trusted`: what this peer holds counts here.
    ///
    /// Invariant: request ids begin anew in each incarnation, so an answer to an earlier one ends no reading. It would pass
    /// for a reading that was never made.
    pub(super) fn receive_chunk(
        &mut self,
        now: Timestamp,
        node_id: &str,
        is_own_answer: bool,
        is_trusted: bool,
        items: &[(Item, Vec<VersionDigest>)],
        response: PrepareResponse,
    ) -> ChunkOutcome {
        if !is_own_answer {
            return ChunkOutcome::Ignored;
        }
        let key = ReadingKey { request_id: response.request_id, node_id: node_id.to_owned() };
        let Some(mut reading) = self.readings.remove(&key) else { return ChunkOutcome::Ignored };
        if !reading.expects(&response) {
            self.readings.insert(key, reading);
            return ChunkOutcome::Ignored;
        }
        if !is_trusted {
            return ChunkOutcome::Ignored;
        }
        match reading.receive(now, node_id, items, response) {
            ReadingOutcome::Continue(request) => {
                self.readings.insert(key, reading);
                ChunkOutcome::Continue(request)
            }
            ReadingOutcome::Complete(first_response) => ChunkOutcome::Complete(first_response),
            ReadingOutcome::Abandoned => ChunkOutcome::Ignored,
        }
    }

    /// A connection has come or gone: no answer comes any more to what was asked over the one before.
    pub(super) fn forget_peer(&mut self, node_id: &str) {
        self.readings.retain(|key, _| key.node_id != node_id);
    }

    /// Forgets overdue readings that nothing waits for. `is_waited_for` says whether a pending request does.
    pub(super) fn expire_reads(&mut self, now: Timestamp, is_waited_for: impl Fn(u64) -> bool) {
        let (delayed_accepts, catch_up_id) = (&self.delayed_accepts, self.catch_up_id);
        let is_delaying = |id: u64| delayed_accepts.values().any(|delayed| delayed.request_id == id);
        self.readings.retain(|key, reading| {
            let id = key.request_id;
            !reading.is_overdue(now) || id == catch_up_id || is_waited_for(id) || is_delaying(id)
        });
    }

    /// An accept request of this proposer waits until the reading under `request_id` is complete.
    pub(super) fn delay_accept(&mut self, node_id: &str, request_id: u64, request: AcceptRequest) {
        self.delayed_accepts.insert(node_id.to_owned(), DelayedAccept { request_id, request });
    }

    /// The accept request that waited for this reading, and the node id of its proposer.
    pub(super) fn take_delayed_accept(&mut self, request_id: u64) -> Option<(String, AcceptRequest)> {
        let mut delayed = self.delayed_accepts.iter();
        let (node_id, _) = delayed.find(|(_, delayed)| delayed.request_id == request_id)?;
        let node_id = node_id.clone();
        let delayed = self.delayed_accepts.remove(&node_id)?;
        Some((node_id, delayed.request))
    }
}
