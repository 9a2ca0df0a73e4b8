//! The prepare phase: each attempt at a request reads from all replicas and, if the request proposes something, asks
//! them to promise a ballot for it.

use super::requests::conflict_message;
use crate::request::{Request, Response};
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::proposals::{decide, Decision, PendingId, Phase};
use crate::state_machine::StateMachine;
use kitepass_coordination::consensus::{observe, Ballot, Proposal, ProposalId, ProposalMessage};
use kitepass_coordination::protocol::{Message, PrepareRequest, PrepareResponse, RejectedProposal};
use kitepass_time::{Duration, Timestamp};
use log::info;

impl StateMachine {
    /// Starts an attempt at a request.
    pub(in crate::state_machine) fn start_attempt(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        if pending.is_abandoned(now) {
            return self.abandon_request(id);
        }
        let keys = pending.keys();
        // A replica set that may already be chosen as the incoming one is resolved first, because it fences off all
        // other requests.
        let undecided = self.proposals.undecided_replica_set(&self.configuration);
        let is_unrelated = |proposal: &Proposal| !proposal.keys().iter().any(|key| keys.contains(key));
        if let Some((ballot, proposal)) = undecided.filter(|(_, proposal)| is_unrelated(proposal)) {
            self.watch_proposal(now, ballot, &proposal);
            let blocked = Phase::Blocked([proposal.proposal_id()].into());
            return self.proposals.pending.set_phase(id, blocked);
        }
        let Some(request) = self.new_attempt(id) else { return };
        for node_id in self.quorum.node_ids() {
            self.read_peer(now, &node_id, request.clone());
        }
        let own_node_id = self.identity.replica.node_id.clone();
        self.handle_prepare_request(now, &own_node_id, &request);
    }

    /// Assigns a new attempt id and ballot to a request, and returns the prepare request for the attempt.
    fn new_attempt(&mut self, id: PendingId) -> Option<PrepareRequest> {
        let epoch = self.configuration.epoch();
        let attempt_id = self.request_ids.next();
        let ballot = self.proposals.next_ballot(epoch, self.identity.incarnation);
        let pending = self.proposals.pending.get_mut(id)?;
        if let Request::Evacuate { zone, evacuated } = &pending.request {
            pending.proposal =
                Some(Proposal::new(vec![self.configuration.evacuation_item(zone, *evacuated)]));
        }
        pending.renew_reservations(self.configuration.item_store());
        pending.start_attempt(attempt_id, ballot);
        let is_read_only = pending.proposal.is_none();
        Some(PrepareRequest {
            request_id: attempt_id,
            bucket_digests: self.configuration.item_store().history_bucket_hashes().to_vec(),
            incarnation: self.identity.incarnation,
            epoch,
            ballot: (!is_read_only).then_some(ballot),
            wants_all_undecided: is_read_only,
            keys: pending.keys(),
            watched_names: pending.reserved_names(),
            first_bucket: 0,
        })
    }

    /// Answers a prepare request of a replica, which may be this one: reports the items and proposals held here and,
    /// if the request has a ballot, promises it.
    pub(in crate::state_machine) fn handle_prepare_request(
        &mut self,
        now: Timestamp,
        node_id: &str,
        request: &PrepareRequest,
    ) {
        let mut response = PrepareResponse {
            request_id: request.request_id,
            incarnation: request.incarnation,
            is_complete: self.lifecycle.is_complete(),
            is_bootstrapped: self.configuration.replica_set().is_some(),
            activated_version: self.proposals.activated_version(),
            ..PrepareResponse::default()
        };
        if node_id != self.identity.replica.node_id {
            self.fill_chunk(request, &mut response);
        }
        if request.first_bucket > 0 {
            // For later chunks of a read: the promise and the accepted proposals were sent with the first chunk.
            return self.deliver_prepare_response(now, node_id, response);
        }
        match self.proposals.prepare(request, &self.configuration, &mut response) {
            // Invariant: a promise is sent only once the reservation that covers it is on disk, because a restart
            // would lose it.
            Some(reservation) => {
                let record = reservation.record();
                let node_id = node_id.to_owned();
                self.persist(vec![record], PendingWrite::Promise { node_id, response, reservation });
            }
            None => self.deliver_prepare_response(now, node_id, response),
        }
    }

    /// Sends a response to a prepare request, or handles it directly if this process sent the request.
    pub(in crate::state_machine) fn deliver_prepare_response(
        &mut self,
        now: Timestamp,
        node_id: &str,
        response: PrepareResponse,
    ) {
        if node_id == self.identity.replica.node_id {
            let name = self.identity.name.clone();
            self.handle_prepare_response(now, node_id, &name, response);
        } else {
            self.send_to_peer(node_id, Message::PrepareResponse(response));
        }
    }

    /// Handles the response of a replica, which may be this one, to an attempt at a request.
    pub(in crate::state_machine) fn handle_attempt_response(
        &mut self,
        now: Timestamp,
        name: &str,
        response: PrepareResponse,
    ) {
        let Some(id) = self.proposals.pending.find_by_attempt(response.request_id) else { return };
        let accepted: Vec<(Ballot, Proposal)> =
            response.accepted.into_iter().filter_map(ProposalMessage::into_proposal).collect();
        for (ballot, proposal) in &accepted {
            self.proposals.observe_ballot(*ballot);
            self.watch_proposal(now, *ballot, proposal);
        }
        for RejectedProposal { ballot, proposal_id } in response.rejected {
            if let Some(proposal_id) = ProposalId::from_bytes(&proposal_id) {
                self.proposals.watch_list.add_rejection(proposal_id, ballot);
            }
        }
        let Some(pending) = self.proposals.pending.get_mut(id) else { return };
        observe(&mut pending.observed, accepted);
        if response.is_rejected {
            self.proposals.observe_ballot(response.ballot.unwrap_or_default());
            return self.back_off(now, id);
        }
        if pending.replica_prepared(name, response.activated_version) {
            self.advance(now, id);
        }
    }

    /// Handles the rejection of an attempt: the next one starts after a random back-off.
    pub(in crate::state_machine) fn back_off(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get_mut(id) else { return };
        if pending.is_waiting() {
            return;
        }
        if matches!(pending.request, Request::ResolveProposal(_)) {
            // Another process is resolving the proposal. If that fails, it becomes due here again.
            return self.finish_request(id, Response::Done);
        }
        let max_backoff_micros = pending.max_backoff_micros();
        let backoff = Duration::from_micros(self.random.rand_range(0..max_backoff_micros) as i64);
        pending.back_off_until(now + backoff);
    }

    /// Advances a request to its next phase if enough replicas have responded.
    ///
    /// Invariant: no request advances without contact with a majority. A process that was suspended would otherwise
    /// answer from outdated responses.
    pub(in crate::state_machine) fn advance(&mut self, now: Timestamp, id: PendingId) {
        if !self.has_quorum(now) {
            return;
        }
        let Some(pending) = self.proposals.pending.get(id) else { return };
        // Invariant: acceptances under a ballot of an earlier epoch are not counted toward a quorum of a later
        // replica set. Reads in the earlier epoch do not see them, and two proposals could be chosen for one version.
        if pending.is_proposed() && pending.ballot.epoch < self.configuration.epoch() {
            return self.start_attempt(now, id);
        }
        match &pending.phase {
            Phase::Preparing(responders)
                if self.configuration.is_read_quorum(responders, pending.activated_version) =>
            {
                self.finish_prepare(now, id);
            }
            Phase::Accepting(accepted_by)
                if self.proposals.is_chosen(pending, accepted_by, &self.configuration) =>
            {
                self.commit_proposal(now, id);
            }
            Phase::Rejecting(rejected_by, response) if self.configuration.is_write_quorum(rejected_by) => {
                let response = response.clone();
                self.finish_request(id, response);
            }
            _ => {}
        }
    }

    /// Advances all requests that enough replicas have answered. This covers a request whose last response arrived
    /// while contact seemed lost because newer proof of it was still unread: it receives no further response.
    pub(in crate::state_machine) fn advance_all(&mut self, now: Timestamp) {
        for id in self.proposals.pending.ids() {
            self.advance(now, id);
        }
    }

    /// Continues a request whose attempt a read quorum has answered.
    fn finish_prepare(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        let decision = decide(pending, &self.configuration, &self.proposals.watch_list);
        let proposal_id = pending.proposal.as_ref().map(Proposal::proposal_id);
        let resolved_id = proposal_id.filter(|_| matches!(pending.request, Request::ResolveProposal(_)));
        match decision {
            Decision::Retry => self.start_attempt(now, id),
            Decision::ReserveAgain => {
                info!("event=reservations-outdated request={}", pending.request.name());
                self.start_attempt(now, id);
            }
            Decision::ReadComplete => self.finish_read(now, id),
            Decision::BlockedBy(ids) => self.proposals.pending.set_phase(id, Phase::Blocked(ids)),
            Decision::Committed => self.finish_change(now, id),
            Decision::Conflict(item) => {
                info!(
                    "event=version-conflict request={} kind={:?} name={:?} version=r{}",
                    pending.request.name(),
                    item.kind,
                    item.name,
                    item.version
                );
                proposal_id.into_iter().for_each(|proposal_id| self.proposals.watch_list.remove(proposal_id));
                self.finish_request(id, Response::Conflict(conflict_message(&item)));
            }
            Decision::Propose(_) | Decision::Reject { .. } if pending.is_abandoned(now) => {
                self.abandon_request(id)
            }
            Decision::Propose(proposal) => self.propose(now, id, &proposal),
            Decision::Reject { proposal, reason } => {
                resolved_id.into_iter().for_each(|proposal_id| self.proposals.watch_list.remove(proposal_id));
                self.propose_rejection(now, id, &proposal, reason);
            }
            Decision::NotNeeded => {
                resolved_id.into_iter().for_each(|proposal_id| self.proposals.watch_list.remove(proposal_id));
                self.finish_request(id, Response::Done);
            }
        }
    }
}
