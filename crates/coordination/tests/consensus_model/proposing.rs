//! The actions of proposers.

use super::setup::{contains, ReplicaSetSafeguard, Setup};
use super::state::{AcceptRequest, Node, Phase, Proposer};
use kitepass_coordination::consensus::{
    conflicting_item, is_committed, possibly_chosen, Ballot, ObservedProposals, ProposalStatus,
};
use std::collections::{BTreeMap, BTreeSet};

impl Setup {
    /// A proposer at the start of its first attempt.
    pub(super) fn proposer(&self, incarnation: u64, goal: usize, attempts: u8) -> Proposer {
        let mut proposer = Proposer {
            incarnation,
            goal,
            target: goal,
            attempts_left: attempts,
            highest_ballot: Ballot::default(),
            committed: 0,
            observed: BTreeMap::new(),
            rejected: BTreeMap::new(),
            phase: Phase::GivenUp,
        };
        self.begin(&mut proposer, goal);
        proposer
    }

    /// Starts an attempt to commit a proposal, unless no attempts are left.
    pub(super) fn begin(&self, proposer: &mut Proposer, target: usize) {
        if proposer.attempts_left == 0 {
            proposer.phase = Phase::GivenUp;
            return;
        }
        proposer.attempts_left -= 1;
        // A replica set must be committed as the incoming one before it can be put into force.
        let is_uncommitted = |n: &usize| !contains(proposer.committed, *n);
        let incoming =
            self.incoming_proposal.filter(is_uncommitted).filter(|_| Some(target) == self.current_proposal);
        proposer.target = incoming.unwrap_or(target);
        let observed = proposer.observed.keys().fold(0, |set, n| set | 1 << n);
        let epoch = self.epoch(proposer.committed, observed);
        let ballot = Ballot::above(proposer.highest_ballot, epoch, proposer.incarnation);
        proposer.highest_ballot = ballot;
        proposer.phase = Phase::Preparing { ballot, responded: 0 };
    }

    /// The status of the proposer's target, by the evaluation of proposals and the additional rules for a change of the
    /// replica set.
    fn evaluate(&self, proposer: &Proposer) -> ProposalStatus {
        let (item_store, target) = (self.item_store(proposer.committed), proposer.target);
        let possibly_chosen = self.possibly_chosen(proposer);
        let is_undecided = |n: usize| {
            let proposal = &self.proposals[n];
            n != target
                && possibly_chosen.contains_key(&proposal.proposal_id())
                && !is_committed(proposal.items().iter(), item_store)
                && conflicting_item(proposal.items().iter(), item_store).is_none()
        };
        let status = (self.evaluation)(&self.proposals[target], &possibly_chosen, item_store);
        if matches!(status, ProposalStatus::Committed | ProposalStatus::Conflicting(_)) {
            return status;
        }
        // A change of the replica set takes precedence over all other proposals.
        let change = self.incoming_proposal.filter(|n| proposer.observed.contains_key(n) && is_undecided(*n));
        if let Some(change) = change {
            return ProposalStatus::BlockedBy(self.proposals[change].proposal_id());
        }
        // The incoming replica set is put into force only after all other proposals have been resolved.
        let undecided = proposer.observed.iter().filter(|(n, _)| is_undecided(**n));
        match undecided.max_by_key(|(_, ballot)| **ballot) {
            Some((n, _)) if Some(target) == self.current_proposal => {
                ProposalStatus::BlockedBy(self.proposals[*n].proposal_id())
            }
            _ => status,
        }
    }

    fn possibly_chosen(&self, proposer: &Proposer) -> ObservedProposals {
        let id = |n: &usize| self.proposals[*n].proposal_id();
        let observed = proposer.observed.iter();
        let observed = observed.map(|(n, ballot)| (id(n), (*ballot, self.proposals[*n].clone())));
        let rejected = proposer.rejected.iter().map(|(n, ballot)| (id(n), *ballot));
        possibly_chosen(&observed.collect(), &rejected.collect())
    }

    /// Starts phase 2, or ends the attempt, once a read quorum has responded in phase 1.
    pub(super) fn finish_prepare(&self, proposer: &mut Proposer, in_flight: &mut BTreeSet<AcceptRequest>) {
        let Phase::Preparing { ballot, .. } = proposer.phase else { return };
        let (goal, target) = (proposer.goal, proposer.target);
        let is_own = target == goal;
        match self.evaluate(proposer) {
            ProposalStatus::Committed if is_own => proposer.phase = Phase::Confirmed,
            ProposalStatus::Conflicting(_) if is_own => proposer.phase = Phase::Conflicting,
            ProposalStatus::Committed | ProposalStatus::Conflicting(_) => self.begin(proposer, goal),
            ProposalStatus::BlockedBy(proposal_id) => self.begin(proposer, self.index_of(proposal_id)),
            ProposalStatus::New if self.invalidated_by[target] & proposer.committed != 0 => {
                if !is_own {
                    return self.begin(proposer, goal);
                }
                in_flight.extend(self.rejections(ballot, target));
                proposer.phase = Phase::Rejecting { ballot, accepted: 0 };
            }
            status @ (ProposalStatus::AlreadyAccepted | ProposalStatus::New) => {
                let was_accepted_before = status == ProposalStatus::AlreadyAccepted;
                in_flight.extend(self.accept_requests(proposer, ballot, was_accepted_before));
                proposer.phase = Phase::Accepting { ballot, accepted: 0 };
            }
        }
    }

    /// The requests to reject a proposal, one per replica.
    fn rejections(&self, ballot: Ballot, proposal: usize) -> impl Iterator<Item = AcceptRequest> {
        let (was_accepted_before, required_commits) = (false, 0);
        (0..self.replicas).map(move |replica| AcceptRequest {
            replica,
            ballot,
            proposal,
            was_accepted_before,
            is_rejection: true,
            required_commits,
        })
    }

    /// The requests to accept the proposer's target, one per replica.
    fn accept_requests(
        &self,
        proposer: &Proposer,
        ballot: Ballot,
        was_accepted_before: bool,
    ) -> impl Iterator<Item = AcceptRequest> {
        let proposal = proposer.target;
        let requires_all_commits =
            Some(proposal) == self.current_proposal && self.is_enabled(ReplicaSetSafeguard::HoldAll);
        let required_commits = if requires_all_commits { proposer.committed } else { 0 };
        (0..self.replicas).map(move |replica| AcceptRequest {
            replica,
            ballot,
            proposal,
            was_accepted_before,
            is_rejection: false,
            required_commits,
        })
    }

    /// Processes the information in a refusal: the committed proposals, and a change of the replica set in progress.
    pub(super) fn learn_from_refusal(&self, proposer: &mut Proposer, node: &Node) {
        proposer.committed |= node.committed;
        let Some(incoming) = self.incoming_proposal else { return };
        let accepted = node.acceptor.get(self.proposals[incoming].proposal_id());
        proposer.observed.extend(accepted.map(|(ballot, _)| (incoming, ballot)));
    }
}
