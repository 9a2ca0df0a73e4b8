//! The accept phase: a proposal, or its rejection, is written to disk by a write quorum.

use crate::request::{Request, Response};
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::proposals::{activated_replica_set, PendingId, Phase};
use crate::state_machine::StateMachine;
use bytes::Bytes;
use kitepass_coordination::consensus::{AcceptError, Ballot, Proposal};
use kitepass_coordination::protocol::{AcceptRequest, AcceptResponse, Commit, Message};
use kitepass_time::Timestamp;
use log::info;
use std::collections::BTreeSet;

impl StateMachine {
    /// Asks all replicas to accept a proposal.
    pub(in crate::state_machine) fn propose(&mut self, now: Timestamp, id: PendingId, proposal: &Proposal) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        info!("event=propose request={} items={}", pending.request.name(), proposal.items().len());
        // Invariant: a replica that accepts the activation of a replica set holds every item that the proposer holds.
        // It checks this by comparing these digests.
        let bucket_digests = match activated_replica_set(proposal) {
            Some(_) => self.item_store().history_bucket_hashes().to_vec(),
            None => Vec::new(),
        };
        let request = AcceptRequest {
            items: proposal.to_messages(),
            bucket_digests,
            was_accepted_before: matches!(pending.request, Request::ResolveProposal(_)),
            ..AcceptRequest::default()
        };
        self.send_accept_requests(now, id, Phase::Accepting(BTreeSet::new()), request);
    }

    /// Asks all replicas to accept the rejection of a proposal. The caller receives `reason`.
    pub(in crate::state_machine) fn propose_rejection(
        &mut self,
        now: Timestamp,
        id: PendingId,
        proposal: &Proposal,
        reason: String,
    ) {
        info!("event=proposal-rejected why={reason:?}");
        let request = AcceptRequest {
            rejected_proposal_id: Bytes::copy_from_slice(&proposal.change_id().0),
            keys: proposal.change_keys(),
            ..AcceptRequest::default()
        };
        let phase = Phase::Rejecting(BTreeSet::new(), Response::Invalid(reason));
        self.send_accept_requests(now, id, phase, request);
    }

    /// Sends an accept request under the promised ballot to all replicas, including this one.
    fn send_accept_requests(&mut self, now: Timestamp, id: PendingId, phase: Phase, request: AcceptRequest) {
        let Some(pending) = self.proposals.pending.get_mut(id) else { return };
        pending.phase = phase;
        let request = AcceptRequest {
            request_id: pending.attempt_id,
            incarnation: self.identity.incarnation,
            epoch: pending.ballot.epoch,
            ballot: Some(pending.ballot),
            ..request
        };
        self.send_to_all_peers(&Message::AcceptRequest(request.clone()));
        let own_node_id = self.identity.replica.node_id.clone();
        self.handle_accept_request(now, &own_node_id, request);
    }

    /// Accepts a proposal, or its rejection, if the acceptor's promises allow it. The acceptance only counts once it
    /// is on disk, and only if this disk is complete.
    pub(in crate::state_machine) fn handle_accept_request(
        &mut self,
        now: Timestamp,
        node_id: &str,
        request: AcceptRequest,
    ) {
        let Some(ballot) = request.ballot else { return };
        self.proposals.observe_ballot(ballot);
        let mut response = AcceptResponse {
            request_id: request.request_id,
            incarnation: request.incarnation,
            answered_ballot: Some(ballot),
            ..AcceptResponse::default()
        };
        let is_rejection = !request.rejected_proposal_id.is_empty();
        let proposal = if is_rejection { None } else { Proposal::from_messages(request.items.clone()) };
        let keys = proposal.as_ref().map_or(&request.keys[..], |proposal| proposal.keys());
        if self.proposals.is_fenced(request.epoch, keys, &self.configuration) {
            response.is_rejected = true;
            return self.deliver_accept_response(now, node_id, response);
        }
        if self.differs_from_proposer(&request) {
            return self.delay_accept(now, node_id, request);
        }
        if let Some(proposal) = &proposal {
            self.watch_proposal(now, ballot, proposal);
        }
        match self.proposals.accept(ballot, proposal, &request, &self.configuration) {
            Some(Ok(acceptance)) => {
                let (node_id, reservation) = (node_id.to_owned(), acceptance.reservation);
                let accept = PendingWrite::Accept { node_id, response, reservation };
                self.persist(acceptance.records, accept);
            }
            Some(Err(error)) => {
                response.is_rejected = true;
                response.ballot = promised_ballot(&error);
                self.deliver_accept_response(now, node_id, response);
            }
            None => {} // a request of a kind that this version does not know
        }
    }

    /// Returns whether the request carries digests of the proposer's items that differ from the ones here.
    ///
    /// Invariant: such a request is delayed until this replica has read the items that it lacks. Otherwise a replica
    /// set could become current whose members lack items that were committed under the previous one.
    fn differs_from_proposer(&self, request: &AcceptRequest) -> bool {
        let mut digests = request.bucket_digests.iter().zip(self.item_store().history_bucket_hashes());
        digests.any(|(theirs, own)| theirs != own)
    }

    /// Sends a response to an accept request, or handles it directly if this process is the proposer.
    pub(in crate::state_machine) fn deliver_accept_response(
        &mut self,
        now: Timestamp,
        node_id: &str,
        response: AcceptResponse,
    ) {
        if node_id == self.identity.replica.node_id {
            let name = self.identity.name.clone();
            self.handle_accept_response(now, &name, &response);
        } else {
            self.send_to_peer(node_id, Message::AcceptResponse(response));
        }
    }

    /// Handles the response of the replica with this name, which may be this one, to an accept request.
    pub(in crate::state_machine) fn handle_accept_response(
        &mut self,
        now: Timestamp,
        name: &str,
        response: &AcceptResponse,
    ) {
        let id = self.proposals.pending.find_by_ballot(response.request_id, response.answered_ballot);
        let Some(id) = id else { return };
        if response.is_rejected {
            self.proposals.observe_ballot(response.ballot.unwrap_or_default());
            return self.back_off(now, id);
        }
        // Invariant: an acceptance by a replica whose disk is incomplete does not count. It would count as a copy of
        // items that the replica never held.
        if !response.is_complete {
            return;
        }
        let pending = self.proposals.pending.get_mut(id);
        if pending.is_some_and(|pending| pending.replica_accepted(name)) {
            self.advance(now, id);
        }
    }

    /// Commits a proposal: enough replicas have accepted it under one ballot, so it is chosen.
    pub(in crate::state_machine) fn commit_proposal(&mut self, now: Timestamp, id: PendingId) {
        let pending = self.proposals.pending.get(id);
        let Some(proposal) = pending.and_then(|pending| pending.proposal.clone()) else { return };
        let proposal_id = Bytes::copy_from_slice(&proposal.proposal_id().0);
        self.send_to_all_peers(&Message::Commit(Commit { proposal_id }));
        self.apply_items(proposal.items());
        self.finish_change(now, id);
    }
}

/// Returns the higher ballot that was promised, if that is why the proposal was not accepted.
fn promised_ballot(error: &AcceptError) -> Option<Ballot> {
    match error {
        AcceptError::Promised { to } => Some(*to),
        AcceptError::Conflicting { .. } | AcceptError::CapacityExceeded => None,
    }
}
