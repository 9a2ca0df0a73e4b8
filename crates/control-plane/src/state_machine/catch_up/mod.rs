//! Catch-up: reads the items of every other replica, chunk by chunk, until a read quorum has been read.

mod peer_read;

use kitepass_config::{Item, VersionDigest};
use kitepass_coordination::protocol::{AcceptRequest, PrepareRequest, PrepareResponse};
use kitepass_time::Timestamp;
use peer_read::{PeerRead, PeerReadOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// The effect of a response to a read.
pub(super) enum ChunkOutcome {
    /// Send this request for the next chunk.
    Continue(PrepareRequest),
    /// Every item that the peer held at the first request is now known here. Holds the first response, without its
    /// items.
    Complete(PrepareResponse),
    /// The response belongs to no read in progress, or ended its read without a result.
    Ignored,
}

/// An accept request that is delayed until this process holds every item that the proposer holds.
struct DelayedAccept {
    /// The read that has to complete first.
    request_id: u64,
    request: AcceptRequest,
}

/// Identifies a read of one peer.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PeerReadKey {
    request_id: u64,
    node_id: String,
}

/// Reads in progress, and the replicas that have been read since contact with a majority was last lost.
pub(super) struct CatchUp {
    /// Names of the replicas that have been read.
    completed: BTreeSet<String>,
    /// The highest replica set version whose activation any of these replicas has accepted.
    activated_version: u64,
    /// The request id shared by all reads of this catch-up, or 0 before the first one.
    catch_up_id: u64,
    /// When the first read under `catch_up_id` was requested.
    first_requested_at: Timestamp,
    /// When reads of all peers were last requested.
    last_requested_at: Timestamp,
    reads: BTreeMap<PeerReadKey, PeerRead>,
    /// Keyed by the proposer's node id.
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
            reads: BTreeMap::new(),
            delayed_accepts: BTreeMap::new(),
        }
    }

    pub(super) fn last_requested_at(&self) -> Timestamp {
        self.last_requested_at
    }

    /// Makes the next tick request reads from all peers again.
    pub(super) fn retry_on_next_tick(&mut self) {
        self.last_requested_at = Timestamp::default();
    }

    /// Starts the catch-up over: the reads completed so far no longer count, and peers are read under a new id.
    pub(super) fn restart(&mut self) {
        self.completed.clear();
        self.activated_version = 0;
        self.catch_up_id = 0;
    }

    /// Does the same as [`CatchUp::restart`], and also drops reads in progress and delayed accept requests.
    pub(super) fn discard(&mut self) {
        self.restart();
        self.reads.clear();
        self.delayed_accepts.clear();
    }

    pub(super) fn read_round_started(&mut self, now: Timestamp) {
        self.last_requested_at = now;
    }

    /// Returns the request id under which all peers are read, allocating it with `next_id` if there is none.
    ///
    /// Replicas that have been read still count when the others are requested again: items are merged, so nothing
    /// learned is lost. This does not hold while contact with a majority is lost; [`CatchUp::restart`] then leads to
    /// a new id.
    pub(super) fn catch_up_id(&mut self, now: Timestamp, next_id: impl FnOnce() -> u64) -> u64 {
        if self.catch_up_id == 0 {
            (self.catch_up_id, self.first_requested_at) = (next_id(), now);
        }
        self.catch_up_id
    }

    pub(super) fn is_catch_up_id(&self, request_id: u64) -> bool {
        request_id == self.catch_up_id
    }

    /// Returns when the first read under the current id was requested. A response proves contact no later than that,
    /// because it may answer that first request.
    pub(super) fn first_requested_at(&self) -> Timestamp {
        self.first_requested_at
    }

    /// Records that the replica with this name has been read. `activated_version` is the version that it reported.
    pub(super) fn replica_read_completed(&mut self, name: &str, activated_version: u64) {
        self.completed.insert(name.to_owned());
        self.activated_version = self.activated_version.max(activated_version);
    }

    /// Returns the names of the replicas that have been read and the highest activated version that they reported.
    pub(super) fn completed_reads(&self) -> (BTreeSet<String>, u64) {
        (self.completed.clone(), self.activated_version)
    }

    /// Registers a read; the caller sends `request` to the peer.
    pub(super) fn start_read(&mut self, now: Timestamp, node_id: &str, request: &PrepareRequest) {
        let key = PeerReadKey { request_id: request.request_id, node_id: node_id.to_owned() };
        self.reads.insert(key, PeerRead::new(now, request));
    }

    /// Returns whether a response from this peer to this request id may still arrive.
    pub(super) fn is_read_in_progress(&self, now: Timestamp, request_id: u64, node_id: &str) -> bool {
        let key = PeerReadKey { request_id, node_id: node_id.to_owned() };
        self.reads.get(&key).is_some_and(|read| !read.is_overdue(now))
    }

    /// Records that a chunk of this read, other than its last, contained items that were not known here.
    pub(super) fn new_items_received(&mut self, node_id: &str, request_id: u64) {
        let key = PeerReadKey { request_id, node_id: node_id.to_owned() };
        if let Some(read) = self.reads.get_mut(&key) {
            read.has_new_items = true;
        }
    }

    /// Returns whether any unfinished read has delivered new items. This process may then hold part of a change
    /// without the rest of it.
    pub(super) fn is_transferring(&self) -> bool {
        self.reads.values().any(|read| read.has_new_items)
    }

    /// Returns whether a response from this peer to any request id may still arrive.
    pub(super) fn is_any_read_in_progress(&self, now: Timestamp, node_id: &str) -> bool {
        self.reads.iter().any(|(key, read)| key.node_id == node_id && !read.is_overdue(now))
    }

    /// Processes a response. `is_for_this_incarnation`: it answers a request of this incarnation; `is_trusted`: the
    /// peer is a member, so its items count.
    ///
    /// Invariant: request ids restart in each incarnation, so a response to an earlier incarnation must not complete
    /// a read. It would count as a read that never took place.
    pub(super) fn receive_chunk(
        &mut self,
        now: Timestamp,
        node_id: &str,
        is_for_this_incarnation: bool,
        is_trusted: bool,
        items: &[(Item, Vec<VersionDigest>)],
        response: PrepareResponse,
    ) -> ChunkOutcome {
        if !is_for_this_incarnation {
            return ChunkOutcome::Ignored;
        }
        let key = PeerReadKey { request_id: response.request_id, node_id: node_id.to_owned() };
        let Some(mut read) = self.reads.remove(&key) else { return ChunkOutcome::Ignored };
        if !read.expects(&response) {
            self.reads.insert(key, read);
            return ChunkOutcome::Ignored;
        }
        if !is_trusted {
            return ChunkOutcome::Ignored;
        }
        match read.receive(now, node_id, items, response) {
            PeerReadOutcome::Continue(request) => {
                self.reads.insert(key, read);
                ChunkOutcome::Continue(request)
            }
            PeerReadOutcome::Complete(first_response) => ChunkOutcome::Complete(first_response),
            PeerReadOutcome::Abandoned => ChunkOutcome::Ignored,
        }
    }

    /// Cancels the reads of a peer whose connection was opened or closed: requests sent over the previous connection
    /// will not be answered.
    pub(super) fn cancel_reads_from(&mut self, node_id: &str) {
        self.reads.retain(|key, _| key.node_id != node_id);
    }

    /// Drops overdue reads that nothing depends on. `is_needed` returns whether a pending request depends on a
    /// request id.
    pub(super) fn expire_reads(&mut self, now: Timestamp, is_needed: impl Fn(u64) -> bool) {
        let (delayed_accepts, catch_up_id) = (&self.delayed_accepts, self.catch_up_id);
        let delays_accept = |id: u64| delayed_accepts.values().any(|delayed| delayed.request_id == id);
        self.reads.retain(|key, read| {
            let id = key.request_id;
            !read.is_overdue(now) || id == catch_up_id || is_needed(id) || delays_accept(id)
        });
    }

    /// Delays this proposer's accept request until the read with `request_id` completes.
    pub(super) fn delay_accept(&mut self, node_id: &str, request_id: u64, request: AcceptRequest) {
        self.delayed_accepts.insert(node_id.to_owned(), DelayedAccept { request_id, request });
    }

    /// Removes the accept request that was waiting for this read and returns it with its proposer's node id.
    pub(super) fn take_delayed_accept(&mut self, request_id: u64) -> Option<(String, AcceptRequest)> {
        let mut delayed = self.delayed_accepts.iter();
        let (node_id, _) = delayed.find(|(_, delayed)| delayed.request_id == request_id)?;
        let node_id = node_id.clone();
        let delayed = self.delayed_accepts.remove(&node_id)?;
        Some((node_id, delayed.request))
    }
}
