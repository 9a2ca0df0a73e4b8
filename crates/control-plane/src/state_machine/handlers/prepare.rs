//! The prepare phase: an attempt at a request asks all replicas what they hold and, where it proposes something, to
//! promise a ballot for it.

use super::requests::conflict_text;
use crate::request::{Request, Response};
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::proposals::{decide, Decision, PendingId, Phase};
use crate::state_machine::StateMachine;
use kitepass_coordination::consensus::{observe, Ballot, Proposal, ProposalId, ProposalMessage};
use kitepass_coordination::protocol::{Message, PrepareRequest, PrepareResponse, RejectedProposal};
use kitepass_time::{Duration, Timestamp};
use log::info;

impl StateMachine {
    /// Begins an attempt at a request.
    pub(in crate::state_machine) fn start_attempt(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        let keys = pending.keys();
        // A replica set that may be chosen as the incoming one is resolved first: all other requests are fenced off.
        let fence = self.proposals.undecided_replica_set(&self.configuration);
        let is_other = |proposal: &Proposal| !proposal.keys().iter().any(|key| keys.contains(key));
        if let Some((ballot, replica_set)) = fence.filter(|(_, replica_set)| is_other(replica_set)) {
            self.watch(now, ballot, &replica_set);
            let blocked = Phase::Blocked([replica_set.proposal_id()].into());
            return self.proposals.pending.set_phase(id, blocked);
        }
        let Some(request) = self.new_attempt(id) else { return };
        for node_id in self.quorum.node_ids() {
            self.start_read(now, &node_id, request.clone());
        }
        let own_node_id = self.identity.replica.node_id.clone();
        self.handle_prepare_request(now, &own_node_id, &request);
    }

    /// Gives a request the attempt id and the ballot of its next attempt, and returns the prepare request for it.
    fn new_attempt(&mut self, id: PendingId) -> Option<PrepareRequest> {
        let epoch = self.configuration.epoch();
        let attempt_id = self.request_ids.next();
        let ballot = self.proposals.next_ballot(epoch, self.identity.incarnation);
        let pending = self.proposals.pending.get_mut(id)?;
        if let Request::Evacuate { zone, on } = &pending.request {
            pending.proposal = Some(Proposal::new(vec![self.configuration.evacuation_item(zone, *on)]));
        }
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
            first_bucket: 0,
        })
    }

    /// Answers a replica, which may be this one, that asks what is held here and, with a ballot, for a promise.
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
            // A later chunk of a read: the promise and the accepted proposals went with the first chunk.
            return self.deliver_prepare_response(now, node_id, response);
        }
        match self.proposals.prepare(request, &self.configuration, &mut response) {
            // Invariant: a promise is told once the reservation that covers it is on disk, as a restart would forget it.
            Some(reservation) => {
                let record = reservation.record();
                let node_id = node_id.to_owned();
                self.persist(vec![record], PendingWrite::Promise { node_id, response, reservation });
            }
            None => self.deliver_prepare_response(now, node_id, response),
        }
    }

    /// Sends an answer to a prepare request, or takes it where this process asked.
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
            self.send(node_id, Message::PrepareResponse(response));
        }
    }

    /// What a replica, this one too, answered to an attempt at a request.
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
            self.watch(now, *ballot, proposal);
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

    /// An attempt was rejected: another one begins after a drawn pause.
    pub(in crate::state_machine) fn back_off(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get_mut(id) else { return };
        if pending.is_waiting() {
            return;
        }
        if matches!(pending.request, Request::ResolveProposal(_)) {
            // Another process is resolving it. If that comes to nothing, it becomes due here again.
            return self.finish_request(id, Response::Done);
        }
        let max_backoff_micros = pending.max_backoff_micros();
        let pause = Duration::from_micros(self.random.rand_range(0..max_backoff_micros) as i64);
        pending.back_off_until(now + pause);
    }

    /// Goes on with a request if enough replicas have answered.
    ///
    /// Invariant: without contact nothing goes on. A process that stood still would answer by what it heard before.
    pub(in crate::state_machine) fn advance(&mut self, now: Timestamp, id: PendingId) {
        if !self.has_quorum(now) {
            return;
        }
        let Some(pending) = self.proposals.pending.get(id) else { return };
        // Invariant: acceptances under a ballot of an earlier epoch are not counted by a later replica set. Readings of the
        // earlier set don't meet them, and two proposals could be chosen for one version.
        let is_accepting = matches!(pending.phase, Phase::Accepting(_) | Phase::Rejecting(..));
        if is_accepting && pending.ballot.epoch < self.configuration.epoch() {
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
                self.commit(now, id);
            }
            Phase::Rejecting(rejected_by, response) if self.configuration.is_write_quorum(rejected_by) => {
                let response = response.clone();
                self.finish_request(id, response);
            }
            _ => {}
        }
    }

    /// Goes on with all requests that enough replicas have answered. One whose last answer came while contact seemed lost,
    /// because newer proofs of it were still unread, gets no further answer.
    pub(in crate::state_machine) fn advance_all(&mut self, now: Timestamp) {
        for id in self.proposals.pending.ids() {
            self.advance(now, id);
        }
    }

    /// A read quorum has answered an attempt.
    fn finish_prepare(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        let decision = decide(pending, &self.configuration, &self.proposals.watch_list);
        let proposal_id = pending.proposal.as_ref().map(Proposal::proposal_id);
        let resolved_id = proposal_id.filter(|_| matches!(pending.request, Request::ResolveProposal(_)));
        match decision {
            Decision::Retry => self.start_attempt(now, id),
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
                proposal_id.into_iter().for_each(|it| self.proposals.watch_list.remove(it));
                self.finish_request(id, Response::Conflict(conflict_text(&item)));
            }
            Decision::Propose(proposal) => self.propose(now, id, &proposal),
            Decision::Reject { proposal, reason } => {
                resolved_id.into_iter().for_each(|it| self.proposals.watch_list.remove(it));
                self.propose_rejection(now, id, &proposal, reason);
            }
            Decision::NotNeeded => {
                resolved_id.into_iter().for_each(|it| self.proposals.watch_list.remove(it));
                self.finish_request(id, Response::Done);
            }
        }
    }
}
