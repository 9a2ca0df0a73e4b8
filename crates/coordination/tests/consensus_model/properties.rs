//! What must hold in every state.

use super::setup::{contains, BitSet, Setup};
use super::state::{AcceptRequest, Action, Phase, State};
use kitepass_config::VersionStatus;
use kitepass_coordination::consensus::{observe, ObservedProposals, ProposalStatus};

/// Attempts of the newcomer that is to resolve all, and the replicas that it visits.
const RESOLVER_ATTEMPTS: u8 = 30;
const RESOLVER_VISITS: usize = 1_000;

impl Setup {
    pub(super) fn is_one_content(&self, state: &State) -> bool {
        self.numbers(state.chosen).all(|n| self.conflicts[n] & state.chosen == 0)
    }

    pub(super) fn are_answers_true(&self, state: &State) -> bool {
        let item_store = self.item_store(state.chosen);
        let is_chosen = |proposal: usize| {
            let mut items = self.proposals[proposal].items().iter();
            items.all(|item| item_store.version_status(item) == VersionStatus::SameContent)
        };
        state.committed & !state.chosen == 0
            && state.proposers.iter().all(|proposer| match proposer.phase {
                Phase::Confirmed => is_chosen(proposer.goal),
                // Nobody else asks for what may be rejected.
                Phase::Conflicting | Phase::Rejected => !contains(state.chosen, proposer.goal),
                _ => true,
            })
    }

    /// Whether a newcomer that nobody disturbs brings every proposal to its end, whatever was left behind.
    pub(super) fn is_resolvable(&self, state: &State) -> bool {
        let mut state = state.clone();
        state.in_flight.clear();
        state.proposers.clear();
        let goals = self.proposals.len() - self.current.map_or(0, |_| 2);
        (0..goals).all(|goal| self.resolves(&mut state, goal))
    }

    fn resolves(&self, state: &mut State, goal: usize) -> bool {
        state.proposers = vec![self.proposer(1_000 + goal as u64, goal, RESOLVER_ATTEMPTS)];
        for replica in (0..self.replicas).cycle().take(RESOLVER_VISITS) {
            let to_it = |request: &&AcceptRequest| request.replica == replica;
            let requests: Vec<AcceptRequest> = state.in_flight.iter().filter(to_it).cloned().collect();
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
        state.proposers[0].phase.is_answered()
    }

    /// Whether each read quorum would still find what was chosen: no proposer would propose a rival of it.
    pub(super) fn is_found_by_every_read_quorum(&self, state: &State) -> bool {
        let mut rivals: Vec<usize> =
            self.numbers(state.chosen).flat_map(|n| self.numbers(self.conflicts[n])).collect();
        rivals.sort_unstable();
        rivals.dedup();
        let is_found = |quorum: BitSet| self.is_found_by(state, quorum, &rivals);
        rivals.is_empty() || self.smallest_read_quorums(state).all(is_found)
    }

    /// The read quorums that have no smaller one in them.
    fn smallest_read_quorums(&self, state: &State) -> impl Iterator<Item = BitSet> + use<'_> {
        let epoch = self.epoch(state.chosen, 0);
        let quorums = (0..1 << self.replicas).filter(move |set| self.is_read_quorum(epoch, *set));
        quorums.filter(move |set| {
            let is_needed = |n: usize| !self.is_read_quorum(epoch, set & !(1 << n));
            (0..self.replicas).all(|n| !contains(*set, n) || is_needed(n))
        })
    }

    fn is_found_by(&self, state: &State, quorum: BitSet, rivals: &[usize]) -> bool {
        let nodes = || (0..self.replicas).filter(|n| contains(quorum, *n)).map(|n| &state.nodes[n]);
        let committed = nodes().fold(0, |committed, node| committed | node.committed);
        let mut observed = ObservedProposals::new();
        for node in nodes() {
            let pending = node.acceptor.pending();
            observe(&mut observed, pending.map(|(ballot, proposal)| (ballot, proposal.clone())));
        }
        rivals.iter().all(|n| {
            let status = (self.evaluation)(&self.proposals[*n], &observed, self.item_store(committed));
            matches!(status, ProposalStatus::BlockedBy(_) | ProposalStatus::Conflicting(_))
        })
    }
}
