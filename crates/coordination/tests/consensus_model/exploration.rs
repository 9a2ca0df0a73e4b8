//! Explores all schedules of a system with the `stateright` model checker.

use super::setup::{contains, Setup};
use super::state::{Action, Node, Phase, State};
use stateright::{Checker, Model, Property};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Must hold in at least one state; the other properties must hold in every state.
pub(crate) const CONFIRMED: &str = "a proposal is confirmed";
pub(super) const ONE_CONTENT_PER_VERSION: &str = "one content per version";
pub(super) const RESULTS_ARE_CORRECT: &str = "results are correct";
pub(super) const CHOSEN_IS_OBSERVED: &str = "chosen proposals are observed";
pub(super) const RESOLVABLE: &str = "all proposals can be resolved";

impl Model for Setup {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let node = || Node { acceptor: (self.new_acceptor)(), committed: 0, disk: BTreeMap::new() };
        let proposer = |(n, goal): (usize, &usize)| self.proposer(n as u64 + 1, *goal, self.attempts);
        vec![State {
            nodes: (0..self.replicas).map(|_| node()).collect(),
            proposers: self.goals.iter().enumerate().map(proposer).collect(),
            in_flight: BTreeSet::new(),
            accepted: BTreeMap::new(),
            chosen: 0,
            committed: 0,
            restarts: 0,
            lost_responses: 0,
        }]
    }

    /// Random walks select actions by their index in this list, so its order determines what a seed does.
    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (proposer, proposer_state) in state.proposers.iter().enumerate() {
            if let Phase::Preparing { responded, .. } = proposer_state.phase {
                let pending = (0..self.replicas).filter(|replica| !contains(responded, *replica));
                let prepare = |replica| Action::Prepare { proposer, replica, is_response_delivered: true };
                actions.extend(pending.map(prepare));
            }
        }
        for request in &state.in_flight {
            if request.required_commits & !state.nodes[request.replica].committed != 0 {
                continue;
            }
            let accept =
                |is_response_delivered| Action::Accept { request: request.clone(), is_response_delivered };
            let is_awaited = state.proposers.iter().any(|p| p.awaits_response(request.ballot));
            if is_awaited {
                actions.push(accept(true));
            }
            if !is_awaited || state.lost_responses < self.max_lost_responses {
                actions.push(accept(false));
            }
        }
        for replica in 0..self.replicas {
            let unknown = self.proposals_in(state.committed & !state.nodes[replica].committed);
            actions.extend(unknown.map(|proposal| Action::Commit { replica, proposal }));
            if state.restarts < self.max_restarts {
                actions.push(Action::Restart { replica });
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        self.apply(&mut next, action);
        next = self.representative(next);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Setup>> {
        vec![
            Property::always(ONE_CONTENT_PER_VERSION, |setup: &Setup, state| {
                setup.has_one_content_per_version(state)
            }),
            Property::always(RESULTS_ARE_CORRECT, |setup: &Setup, state| setup.are_results_correct(state)),
            Property::always(CHOSEN_IS_OBSERVED, |setup: &Setup, state| {
                setup.is_chosen_observed_by_every_read_quorum(state)
            }),
            Property::always(RESOLVABLE, |setup: &Setup, state: &State| {
                let mut hasher = DefaultHasher::new();
                state.hash(&mut hasher);
                !hasher.finish().is_multiple_of(setup.resolvable_check_interval) || setup.is_resolvable(state)
            }),
            Property::sometimes(CONFIRMED, |_, state: &State| {
                state.proposers.iter().any(|proposer| proposer.phase == Phase::Confirmed)
            }),
        ]
    }
}

/// The result of an exploration.
#[derive(Debug)]
pub(crate) struct Explored {
    pub(crate) states: usize,
    pub(crate) steps: usize,
    pub(crate) depth: usize,
    /// Whether all states within the bounds were explored.
    pub(crate) is_complete: bool,
    /// [`CONFIRMED`] if it was reached, and the properties that were violated.
    pub(crate) found: BTreeSet<&'static str>,
}

/// Explores the schedules of a system breadth-first, until all are explored or about `max_steps` steps are taken.
pub(crate) fn explore(name: &str, setup: Setup, max_steps: usize, threads: usize) -> Explored {
    let started = std::time::Instant::now();
    let checker = setup.checker().threads(threads).target_state_count(max_steps).spawn_bfs().join();
    let explored = Explored {
        states: checker.unique_state_count(),
        steps: checker.state_count(),
        depth: checker.max_depth(),
        is_complete: checker.state_count() < max_steps,
        found: checker.discoveries().into_keys().collect(),
    };
    println!("model={name} took={:.1?} {explored:?}", started.elapsed());
    explored
}
