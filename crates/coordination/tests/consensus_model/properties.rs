//! The properties that must hold in every state.

use super::setup::{contains, BitSet, Setup};
use super::state::{AcceptRequest, Action, Phase, State};
use kitepass_config::VersionStatus;
use kitepass_coordination::consensus::{observe, ObservedProposals, ProposalStatus};

/// The limits for a new proposer that resolves a proposal: its attempts, and the replicas that it contacts one after
/// another.
const RESOLVER_ATTEMPTS: u8 = 30;
const MAX_RESOLVER_STEPS: usize = 1_000;

impl Setup {
    /// Whether no two conflicting proposals are chosen.
    pub(super) fn has_one_content_per_version(&self, state: &State) -> bool {
        self.proposals_in(state.chosen).all(|n| self.conflicts[n] & state.chosen == 0)
    }

    /// Whether only chosen proposals are considered committed, and the final results of all proposers are correct.
    pub(super) fn are_results_correct(&self, state: &State) -> bool {
        let item_store = self.item_store(state.chosen);
        let is_chosen = |proposal: usize| {
            let mut items = self.proposals[proposal].items().iter();
            items.all(|item| item_store.version_status(item) == VersionStatus::SameContent)
        };
        state.committed & !state.chosen == 0
            && state.proposers.iter().all(|proposer| match proposer.phase {
                Phase::Confirmed => is_chosen(proposer.goal),
                // A proposal that may be rejected is the goal of only one proposer, so no other one can commit it.
                Phase::Conflicting | Phase::Rejected => !contains(state.chosen, proposer.goal),
                _ => true,
            })
    }

    /// Whether a new proposer can finish every proposal if it runs alone, with all other proposers stopped and all
    /// messages in flight lost.
    pub(super) fn is_resolvable(&self, state: &State) -> bool {
        let mut state = state.clone();
        state.in_flight.clear();
        state.proposers.clear();
        let goals = self.proposals.len() - self.current_proposal.map_or(0, |_| 2);
        (0..goals).all(|goal| self.try_resolve(&mut state, goal))
    }

    /// Whether a new proposer gets a final result for this proposal.
    fn try_resolve(&self, state: &mut State, goal: usize) -> bool {
        state.proposers = vec![self.proposer(1_000 + goal as u64, goal, RESOLVER_ATTEMPTS)];
        for replica in (0..self.replicas).cycle().take(MAX_RESOLVER_STEPS) {
            let is_to_replica = |request: &&AcceptRequest| request.replica == replica;
            let requests: Vec<AcceptRequest> =
                state.in_flight.iter().filter(is_to_replica).cloned().collect();
            for request in requests {
                self.apply(state, Action::Accept { request, is_response_delivered: true });
            }
            match state.proposers[0].phase {
                Phase::Preparing { responded, .. } if !contains(responded, replica) => {
                    let prepare = Action::Prepare { proposer: 0, replica, is_response_delivered: true };
                    self.apply(state, prepare);
                }
                Phase::Confirmed | Phase::Conflicting | Phase::Rejected | Phase::GivenUp => break,
                _ => {}
            }
        }
        state.proposers[0].phase.has_result()
    }

    /// Whether every read quorum still reveals the chosen proposals, so that no proposer would propose a conflicting one.
    pub(super) fn is_chosen_observed_by_every_read_quorum(&self, state: &State) -> bool {
        let mut conflicting: Vec<usize> =
            self.proposals_in(state.chosen).flat_map(|n| self.proposals_in(self.conflicts[n])).collect();
        conflicting.sort_unstable();
        conflicting.dedup();
        let is_observed = |quorum: BitSet| self.is_chosen_observed_by(state, quorum, &conflicting);
        conflicting.is_empty() || self.minimal_read_quorums(state).all(is_observed)
    }

    /// The read quorums of which no proper subset is a read quorum.
    fn minimal_read_quorums(&self, state: &State) -> impl Iterator<Item = BitSet> + use<'_> {
        let epoch = self.epoch(state.chosen, 0);
        let quorums = (0..1 << self.replicas).filter(move |set| self.is_read_quorum(epoch, *set));
        quorums.filter(move |set| {
            let is_needed = |n: usize| !self.is_read_quorum(epoch, set & !(1 << n));
            (0..self.replicas).all(|n| !contains(*set, n) || is_needed(n))
        })
    }

    fn is_chosen_observed_by(&self, state: &State, quorum: BitSet, conflicting: &[usize]) -> bool {
        let nodes = || (0..self.replicas).filter(|n| contains(quorum, *n)).map(|n| &state.nodes[n]);
        let committed = nodes().fold(0, |committed, node| committed | node.committed);
        let mut observed = ObservedProposals::new();
        for node in nodes() {
            let pending = node.acceptor.pending();
            observe(&mut observed, pending.map(|(ballot, proposal)| (ballot, proposal.clone())));
        }
        conflicting.iter().all(|n| {
            let status = (self.evaluation)(&self.proposals[*n], &observed, self.item_store(committed));
            matches!(status, ProposalStatus::BlockedBy(_) | ProposalStatus::Conflicting(_))
        })
    }
}
