//! Catch-up reads of other replicas, and the transition to serving once enough of them have been read.

use crate::state_machine::catch_up::ChunkOutcome;
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::{records, ReplicaState, StateMachine};
use kitepass_config::{Item, Kind};
use kitepass_coordination::protocol::{
    AcceptRequest, Extent, ItemMessage, Message, PrepareRequest, PrepareResponse,
};
use kitepass_time::Timestamp;

/// Approximate size of the items in one response. It bounds the unsent data for each reader, because a reader
/// requests the next chunk only after it has received the previous one.
const CHUNK_BYTES: usize = 512 * 1024;

impl StateMachine {
    /// Requests a read from every peer.
    ///
    /// Invariant: while contact with a majority is lost, reads completed in one round do not count in the next. Items
    /// read before contact was lost, or from a replica that is also isolated, may be outdated.
    pub(in crate::state_machine) fn read_all_peers(&mut self, now: Timestamp) {
        if self.quorum.was_disconnected() {
            self.catch_up.restart();
        }
        self.catch_up.read_round_started(now);
        let request_ids = &mut self.request_ids;
        let catch_up_id = self.catch_up.catch_up_id(now, || request_ids.next());
        let request = self.catch_up_request(catch_up_id, self.configuration.epoch());
        for node_id in self.quorum.node_ids() {
            if !self.catch_up.is_read_in_progress(now, catch_up_id, &node_id) {
                self.read_peer(now, &node_id, request.clone());
            }
        }
    }

    /// Reads a peer whose items have differed for some time, unless a read of it is already in progress.
    pub(in crate::state_machine) fn repair(&mut self, now: Timestamp, node_id: &str, name: &str) {
        if self.configuration.is_member_or_unknown(name)
            && !self.catch_up.is_any_read_in_progress(now, node_id)
        {
            let request_id = self.next_request_id();
            let request = self.catch_up_request(request_id, self.configuration.epoch());
            self.read_peer(now, node_id, request);
        }
    }

    /// Starts a read of a peer, which continues until every item that the peer holds is known here.
    pub(in crate::state_machine) fn read_peer(
        &mut self,
        now: Timestamp,
        node_id: &str,
        request: PrepareRequest,
    ) {
        self.catch_up.start_read(now, node_id, &request);
        self.send_to_peer(node_id, Message::PrepareRequest(request));
    }

    /// Builds a request for the items that another replica holds and this process lacks.
    fn catch_up_request(&self, request_id: u64, epoch: u64) -> PrepareRequest {
        PrepareRequest {
            request_id,
            bucket_digests: self.item_store().history_bucket_hashes().to_vec(),
            incarnation: self.identity.incarnation,
            epoch,
            ..PrepareRequest::default()
        }
    }

    /// Adds the next chunk of items that the reader lacks to the response.
    pub(in crate::state_machine) fn fill_chunk(
        &self,
        request: &PrepareRequest,
        response: &mut PrepareResponse,
    ) {
        let first_bucket = request.first_bucket as usize;
        let chunk = self.item_store().history_chunk(&request.bucket_digests, first_bucket, CHUNK_BYTES);
        response.items = chunk.items.into_iter().map(ItemMessage::from).collect();
        response.first_bucket = request.first_bucket;
        response.next_bucket = chunk.next_bucket as u32;
        response.differing_buckets = chunk.differing_buckets;
        response.digest = chunk.digest;
    }

    /// Applies a chunk, whichever read it belongs to, and requests the next one. Returns the read's first response,
    /// without its items, once every item that the peer held is known here.
    fn apply_chunk(
        &mut self,
        now: Timestamp,
        node_id: &str,
        name: &str,
        mut response: PrepareResponse,
    ) -> Option<PrepareResponse> {
        let items = std::mem::take(&mut response.items);
        let mut items: Vec<_> = items.into_iter().filter_map(ItemMessage::into_entry).collect();
        let is_trusted = self.configuration.is_member_or_unknown(name);
        let is_for_this_incarnation = response.incarnation == self.identity.incarnation;
        let outcome =
            self.catch_up.receive_chunk(now, node_id, is_for_this_incarnation, is_trusted, &items, response);
        // Invariant: from a replica that is not a member, only replica sets are accepted, because only a newer one
        // takes effect. Its other items may include some that were dropped and whose tombstones have since been
        // purged.
        items.retain(|(item, _): &(Item, _)| is_trusted || item.kind == Kind::ReplicaSet);
        let ChunkOutcome::Continue(request) = &outcome else {
            self.apply_committed(items);
            return match outcome {
                ChunkOutcome::Complete(first_response) => Some(first_response),
                ChunkOutcome::Continue(_) | ChunkOutcome::Ignored => None,
            };
        };
        if self.merge_committed(items, Extent::Transfer) {
            self.catch_up.new_items_received(node_id, request.request_id);
        }
        self.send_to_peer(node_id, Message::PrepareRequest(request.clone()));
        None
    }

    /// Tells the gateways that this process holds complete changes again, once no read has delivered part of one.
    pub(in crate::state_machine) fn end_transfer(&mut self) {
        if !self.catch_up.is_transferring() {
            let actions = self.sessions.end_transfer(self.configuration.item_store());
            self.push_actions(actions);
        }
    }

    /// Handles a response to a read, or this process's own response to its prepare request. `name` is the name of the
    /// replica at `node_id`.
    pub(in crate::state_machine) fn handle_prepare_response(
        &mut self,
        now: Timestamp,
        node_id: &str,
        name: &str,
        response: PrepareResponse,
    ) {
        let is_own =
            node_id == self.identity.replica.node_id && response.incarnation == self.identity.incarnation;
        let completed_response =
            if is_own { Some(response) } else { self.apply_chunk(now, node_id, name, response) };
        self.end_transfer();
        // The read may have delivered a replica set that excludes this process. The items read so far are then
        // discarded below.
        self.record_reported_replica_sets(completed_response.as_ref());
        // Invariant: only a serving peer can confirm that this process is not a member. A peer that was also
        // disconnected may know an older replica set than the current one, whose quorums may depend on the items held
        // here.
        let is_serving = self.quorum.get(node_id).is_some_and(|peer| peer.hello.is_serving);
        if is_serving && self.discard_if_non_member(now) {
            return;
        }
        let Some(response) = completed_response else { return };
        let is_delayed_accept = self.resume_delayed_accept(now, &response);
        if is_delayed_accept || !response.is_complete || !response.is_bootstrapped {
            return;
        }
        if !self.catch_up.is_catch_up_id(response.request_id) {
            self.handle_attempt_response(now, name, response);
        } else if response.is_rejected {
            self.catch_up.retry_on_next_tick(); // the peer's epoch is newer, and its replica set came with the response
        } else {
            self.catch_up.replica_read_completed(name, response.activated_version);
            self.finish_catch_up(now);
        }
    }

    /// Records the undecided replica sets that a response reports as accepted: this process may be a member of one.
    fn record_reported_replica_sets(&mut self, response: Option<&PrepareResponse>) {
        let accepted = response.into_iter().flat_map(|response| &response.accepted);
        // Filters before decoding, because the other items may be megabytes in size.
        let messages =
            accepted.flat_map(|proposal| &proposal.items).filter(|item| item.kind == Kind::ReplicaSet as u32);
        let replica_sets = messages.cloned().filter_map(ItemMessage::into_item);
        replica_sets.for_each(|item| self.proposals.record_reported_replica_set(&item));
    }

    /// Delays an accept request until this process holds every item that the proposer holds.
    pub(in crate::state_machine) fn delay_accept(
        &mut self,
        now: Timestamp,
        node_id: &str,
        request: AcceptRequest,
    ) {
        let request_id = self.next_request_id();
        let read_request = self.catch_up_request(request_id, request.epoch);
        self.catch_up.delay_accept(node_id, request_id, request);
        self.read_peer(now, node_id, read_request);
    }

    /// Continues with the accept request that was waiting for this read. Returns whether there was one.
    fn resume_delayed_accept(&mut self, now: Timestamp, response: &PrepareResponse) -> bool {
        let Some((node_id, request)) = self.catch_up.take_delayed_accept(response.request_id) else {
            return false;
        };
        if !response.is_rejected {
            let request = AcceptRequest { bucket_digests: Vec::new(), ..request };
            self.handle_accept_request(now, &node_id, request);
        }
        true
    }

    /// Starts serving if a read quorum has been read since the process started or last lost contact.
    pub(in crate::state_machine) fn finish_catch_up(&mut self, now: Timestamp) {
        let (mut replicas_read, mut activated_version) = self.catch_up.completed_reads();
        if self.lifecycle.is_complete() {
            replicas_read.insert(self.identity.name.clone());
            activated_version = activated_version.max(self.proposals.activated_version());
        }
        let is_catching_up =
            matches!(self.replica_state(), ReplicaState::CatchingUp | ReplicaState::Isolated);
        let is_read_quorum_complete = || self.configuration.is_read_quorum(&replicas_read, activated_version);
        if self.quorum.was_disconnected()
            || !is_catching_up
            || !is_read_quorum_complete()
            || self.discard_if_non_member(now)
        {
            return;
        }
        if self.lifecycle.is_complete() {
            self.change_state(ReplicaState::Serving);
            self.watch_accepted_proposals(now);
        } else if !self.persistence.is_writing_completeness() {
            // Invariant: an empty disk counts as complete only once every item of the other replicas is on it,
            // written before this record. Otherwise it would count as a copy of items that it never held.
            self.persist(vec![records::complete()], PendingWrite::Completeness);
        }
    }

    /// Drops overdue reads that nothing depends on.
    pub(in crate::state_machine) fn expire_reads(&mut self, now: Timestamp) {
        let pending = &self.proposals.pending;
        self.catch_up.expire_reads(now, |request_id| pending.find_by_attempt(request_id).is_some());
    }
}
