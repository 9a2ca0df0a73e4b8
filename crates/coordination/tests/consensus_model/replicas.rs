//! The actions of replicas, and the effects of their responses on proposers.

use super::setup::{ReplicaSetSafeguard, Setup};
use super::state::{AcceptRequest, Action, Node, Phase, Proposer, State};
use kitepass_coordination::consensus::{
    AcceptError, AcceptReason, Ballot, BallotReservation, Record, RestoreOutcome,
};

impl Setup {
    pub(super) fn apply(&self, state: &mut State, action: Action) {
        match action {
            Action::Prepare { proposer, replica, is_response_delivered } => {
                let (proposer, node) = (&mut state.proposers[proposer], &mut state.nodes[replica]);
                if self.prepare(proposer, node, replica, is_response_delivered) {
                    self.finish_prepare(proposer, &mut state.in_flight);
                }
            }
            Action::Accept { request, is_response_delivered } => {
                self.accept(state, request, is_response_delivered);
            }
            Action::Commit { replica, proposal } => {
                state.nodes[replica].committed |= 1 << proposal;
                self.update_acceptor(&mut state.nodes[replica]);
            }
            Action::Restart { replica } => {
                state.restarts += 1;
                self.restart(&mut state.nodes[replica]);
            }
        }
    }

    fn restart(&self, node: &mut Node) {
        node.acceptor = (self.new_acceptor)();
        for (key, value) in &node.disk {
            assert_eq!(node.acceptor.restore(key, value), RestoreOutcome::Applied);
        }
        self.update_acceptor(node);
    }

    /// What a replica does after each change: it drops proposals that are committed or can no longer be chosen, and fences
    /// itself against earlier epochs.
    fn update_acceptor(&self, node: &mut Node) {
        for (key, _) in node.acceptor.commit_all(self.item_store(node.committed)) {
            node.disk.remove(&key);
        }
        let has_accepted = |n: &usize| node.acceptor.get(self.proposals[*n].proposal_id()).is_some();
        let incoming = self.incoming_proposal.filter(has_accepted);
        let epoch = self.epoch(node.committed, incoming.map_or(0, |n| 1 << n));
        self.fence(node, epoch);
    }

    fn fence(&self, node: &mut Node, epoch: u64) {
        if epoch > 0 && self.is_enabled(ReplicaSetSafeguard::Fence) {
            let reservation = node.acceptor.fence(epoch);
            self.write_to_disk(node, reservation, Vec::new());
        }
    }

    fn write_to_disk(&self, node: &mut Node, reservation: Option<BallotReservation>, records: Vec<Record>) {
        let floor = reservation.map(BallotReservation::record);
        node.disk.extend(floor.into_iter().chain(records));
        node.disk.retain(|_, value| !value.is_empty());
        if let Some(reservation) = reservation {
            node.acceptor.reservation_persisted(reservation);
        }
    }

    /// Returns whether the response completes a read quorum.
    fn prepare(
        &self,
        proposer: &mut Proposer,
        node: &mut Node,
        replica: usize,
        is_response_delivered: bool,
    ) -> bool {
        let Phase::Preparing { ballot, .. } = proposer.phase else { return false };
        let keys = self.proposals[proposer.target].keys();
        let promise = match node.acceptor.prepare(ballot, keys) {
            Ok(promise) => promise,
            Err(higher) => {
                if is_response_delivered {
                    proposer.highest_ballot = proposer.highest_ballot.max(higher);
                    self.learn_from_refusal(proposer, node);
                    self.begin(proposer, proposer.target);
                }
                return false;
            }
        };
        let mut accepted = promise.accepted;
        self.write_to_disk(node, promise.reservation, Vec::new());
        let resolves_all = self.is_enabled(ReplicaSetSafeguard::ResolveAll);
        if Some(proposer.target) == self.current_proposal && resolves_all {
            let pending = node.acceptor.pending();
            accepted = pending.map(|(ballot, proposal)| (ballot, proposal.clone())).collect();
            self.fence(node, ballot.epoch);
        }
        if !is_response_delivered {
            return false;
        }
        let Phase::Preparing { responded, .. } = &mut proposer.phase else { return false };
        *responded |= 1 << replica;
        let is_complete = self.is_read_quorum(ballot.epoch, *responded);
        proposer.committed |= node.committed;
        for (proposal_id, ballot) in node.acceptor.rejections(keys) {
            let known = proposer.rejected.entry(self.index_of(proposal_id)).or_default();
            *known = ballot.max(*known);
        }
        for (ballot, proposal) in accepted {
            let known = proposer.observed.entry(self.index_of(proposal.proposal_id())).or_default();
            *known = ballot.max(*known);
        }
        is_complete
    }

    fn accept(&self, state: &mut State, request: AcceptRequest, is_response_delivered: bool) {
        let refusal = self.accept_or_reject(state, &request);
        state.in_flight.remove(&request);
        let Some(proposer) = state.proposers.iter_mut().find(|p| p.awaits_response(request.ballot)) else {
            return;
        };
        if !is_response_delivered {
            state.lost_responses += 1;
            return;
        }
        if let Some(higher) = refusal {
            proposer.highest_ballot = proposer.highest_ballot.max(higher);
            self.learn_from_refusal(proposer, &state.nodes[request.replica]);
            return self.begin(proposer, proposer.target);
        }
        let Some(accepted) = proposer.phase.replicas_mut() else { return };
        *accepted |= 1 << request.replica;
        if !self.is_write_quorum(request.ballot.epoch, *accepted) {
            return;
        }
        if request.is_rejection {
            proposer.phase = Phase::Rejected;
            return;
        }
        proposer.committed |= 1 << request.proposal;
        state.committed |= 1 << request.proposal;
        if proposer.target == proposer.goal {
            proposer.phase = Phase::Confirmed;
        } else {
            self.begin(proposer, proposer.goal);
        }
    }

    /// If the replica refuses, returns the ballot above which the proposer has to retry.
    fn accept_or_reject(&self, state: &mut State, request: &AcceptRequest) -> Option<Ballot> {
        let node = &mut state.nodes[request.replica];
        let proposal = self.proposals[request.proposal].clone();
        let reason = if request.was_accepted_before { AcceptReason::Resolve } else { AcceptReason::New };
        let outcome = if request.is_rejection {
            node.acceptor.reject(request.ballot, proposal.proposal_id(), proposal.keys())
        } else {
            let item_store = self.item_store(node.committed);
            node.acceptor.accept(request.ballot, proposal, reason, item_store)
        };
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(AcceptError::Promised { to }) => return Some(to),
            Err(_) => return Some(request.ballot),
        };
        self.write_to_disk(node, outcome.reservation, outcome.records);
        self.update_acceptor(node);
        if !request.is_rejection {
            let replicas = state.accepted.entry((request.ballot, request.proposal)).or_default();
            *replicas |= 1 << request.replica;
            if self.is_write_quorum(request.ballot.epoch, *replicas) {
                state.chosen |= 1 << request.proposal;
            }
        }
        None
    }
}
