//! Reading what other replicas hold, and what follows once enough of them have been read.

use crate::state_machine::catch_up::ChunkOutcome;
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::{records, ReplicaState, StateMachine};
use kitepass_config::{Item, Kind};
use kitepass_coordination::protocol::{
    AcceptRequest, Extent, ItemMessage, Message, PrepareRequest, PrepareResponse,
};
use kitepass_time::Timestamp;

/// Bytes of items in one answer, about. It bounds what is unsent for each reader, which asks on only once it has an
/// answer.
const CHUNK_BYTES: usize = 512 * 1024;

impl StateMachine {
    /// Reads all peers.
    ///
    /// Invariant: without contact, reads that are complete do not count in the next round. What was heard before contact was lost, or from a replica that is
    /// cut off alike, may be old by now.
    pub(in crate::state_machine) fn read_all_peers(&mut self, now: Timestamp) {
        if self.quorum.was_disconnected() {
            self.catch_up.restart();
        }
        self.catch_up.all_asked(now);
        let request_ids = &mut self.request_ids;
        let catch_up_id = self.catch_up.catch_up_id(now, || request_ids.next());
        let request = self.catch_up_request(catch_up_id, self.configuration.epoch());
        for node_id in self.quorum.node_ids() {
            if !self.catch_up.is_read_in_progress(now, catch_up_id, &node_id) {
                self.start_read(now, &node_id, request.clone());
            }
        }
    }

    /// Reads a peer whose copy has differed for some time, unless it is being read already.
    pub(in crate::state_machine) fn repair(&mut self, now: Timestamp, node_id: &str, name: &str) {
        if self.configuration.is_member_or_unknown(name)
            && !self.catch_up.is_any_read_in_progress(now, node_id)
        {
            let request_id = self.next_request_id();
            let request = self.catch_up_request(request_id, self.configuration.epoch());
            self.start_read(now, node_id, request);
        }
    }

    /// Begins a reading, which goes on until all that the peer holds is known here.
    pub(in crate::state_machine) fn start_read(
        &mut self,
        now: Timestamp,
        node_id: &str,
        request: PrepareRequest,
    ) {
        self.catch_up.start_read(now, node_id, &request);
        self.send(node_id, Message::PrepareRequest(request));
    }

    /// A request for what another holds and this process does not.
    fn catch_up_request(&self, request_id: u64, epoch: u64) -> PrepareRequest {
        PrepareRequest {
            request_id,
            bucket_digests: self.item_store().history_bucket_hashes().to_vec(),
            incarnation: self.identity.incarnation,
            epoch,
            ..PrepareRequest::default()
        }
    }

    /// Puts the next chunk of what the reader lacks into its answer.
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

    /// Takes a chunk in, whatever it belongs to, and asks for the next one. Once all that the other held is known here,
    /// gives what its first answer told beside its items.
    fn receive_chunk(
        &mut self,
        now: Timestamp,
        node_id: &str,
        name: &str,
        mut response: PrepareResponse,
    ) -> Option<PrepareResponse> {
        let items = std::mem::take(&mut response.items);
        let mut items: Vec<_> = items.into_iter().filter_map(ItemMessage::into_entry).collect();
        let is_trusted = self.configuration.is_member_or_unknown(name);
        let is_own_answer = response.incarnation == self.identity.incarnation;
        let outcome = self.catch_up.receive_chunk(now, node_id, is_own_answer, is_trusted, &items, response);
        // Invariant: of a replica that is no member only replica sets are taken, as only a newer one has an effect. Of
        // other items it may hold what was dropped and forgotten.
        items.retain(|(item, _): &(Item, _)| is_trusted || item.kind == Kind::ReplicaSet);
        let ChunkOutcome::Continue(request) = &outcome else {
            self.apply_committed(items);
            return match outcome {
                ChunkOutcome::Complete(first_response) => Some(first_response),
                ChunkOutcome::Continue(_) | ChunkOutcome::Ignored => None,
            };
        };
        if self.merge_committed(items, Extent::Transfer) {
            self.catch_up.chunk_brought_news(node_id, request.request_id);
        }
        self.send(node_id, Message::PrepareRequest(request.clone()));
        None
    }

    /// Tells the gateways that this process holds whole changes again, once it does.
    pub(in crate::state_machine) fn end_transfer(&mut self) {
        if !self.catch_up.is_transferring() {
            let actions = self.sessions.end_transfer(self.configuration.item_store());
            self.extend(actions);
        }
    }

    /// An answer to a reading, of this process too. `name` is that of the replica at `node_id`.
    pub(in crate::state_machine) fn handle_prepare_response(
        &mut self,
        now: Timestamp,
        node_id: &str,
        name: &str,
        response: PrepareResponse,
    ) {
        let is_own =
            node_id == self.identity.replica.node_id && response.incarnation == self.identity.incarnation;
        let complete = if is_own { Some(response) } else { self.receive_chunk(now, node_id, name, response) };
        self.end_transfer();
        // A replica set may have come that this process is no member of: then what was read is not held any more.
        self.note_replica_sets(complete.as_ref());
        // Invariant: only a peer that serves is believed in this. One that was away as well may know an older replica set than
        // the one that counts on what this process holds.
        let is_serving = self.quorum.get(node_id).is_some_and(|peer| peer.hello.is_serving);
        if is_serving && self.discard_if_non_member(now) {
            return;
        }
        let Some(response) = complete else { return };
        let is_delayed_accept = self.resume_delayed_accept(now, &response);
        if is_delayed_accept || !response.is_complete || !response.is_bootstrapped {
            return;
        }
        if !self.catch_up.is_catch_up_id(response.request_id) {
            self.handle_attempt_response(now, name, response);
        } else if response.is_rejected {
            self.catch_up.retry_soon(); // it is of a newer epoch, which has come with the answer
        } else {
            self.catch_up.replica_read_completed(name, response.activated_version);
            self.finish_catch_up(now);
        }
    }

    /// Notes the replica sets that a response tells of as accepted and undecided: this process may be a member of one.
    fn note_replica_sets(&mut self, response: Option<&PrepareResponse>) {
        let accepted = response.into_iter().flat_map(|response| &response.accepted);
        // Of the other items, which may be megabytes, nothing is made here.
        let messages =
            accepted.flat_map(|proposal| &proposal.items).filter(|item| item.kind == Kind::ReplicaSet as u32);
        let replica_sets = messages.cloned().filter_map(ItemMessage::into_item);
        replica_sets.for_each(|item| self.proposals.note_replica_set(&item));
    }

    /// An accept request waits until this process holds all that its proposer does.
    pub(in crate::state_machine) fn delay_accept(
        &mut self,
        now: Timestamp,
        node_id: &str,
        request: AcceptRequest,
    ) {
        let request_id = self.next_request_id();
        let reading = self.catch_up_request(request_id, request.epoch);
        self.catch_up.delay_accept(node_id, request_id, request);
        self.start_read(now, node_id, reading);
    }

    /// Goes on with the accept request that waited for this reading; true if there was one.
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

    /// Serves, if enough replicas have been read since contact was lost or the process started.
    pub(in crate::state_machine) fn finish_catch_up(&mut self, now: Timestamp) {
        let (mut read, mut activated_version) = self.catch_up.completed_reads();
        if self.lifecycle.is_complete() {
            read.insert(self.identity.name.clone());
            activated_version = activated_version.max(self.proposals.activated_version());
        }
        let is_catching_up =
            matches!(self.replica_state(), ReplicaState::CatchingUp | ReplicaState::Isolated);
        let is_read = || self.configuration.is_read_quorum(&read, activated_version);
        if self.quorum.was_disconnected() || !is_catching_up || !is_read() || self.discard_if_non_member(now)
        {
            return;
        }
        if self.lifecycle.is_complete() {
            self.change_state(ReplicaState::Serving);
            self.watch_accepted(now);
        } else if !self.persistence.is_writing_completeness() {
            // Invariant: an empty disk counts as complete only once all that others hold is on it, in order before this
            // record. Otherwise it would pass for a copy of what it never held.
            self.persist(vec![records::complete()], PendingWrite::Completeness);
        }
    }

    /// Forgets overdue readings that nothing waits for.
    pub(in crate::state_machine) fn expire_reads(&mut self, now: Timestamp) {
        let pending = &self.proposals.pending;
        self.catch_up.expire_reads(now, |request_id| pending.find_by_attempt(request_id).is_some());
    }
}
