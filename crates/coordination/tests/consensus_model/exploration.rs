//! All schedules of a system, by `stateright`.

use super::setup::{contains, Setup};
use super::state::{Action, Node, Phase, State};
use stateright::{Checker, Model, Property};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The property that is to be met at least once, unlike the others, which must hold always.
pub(crate) const CONFIRMED: &str = "a proposal is confirmed";
pub(super) const ONE_CONTENT: &str = "one content a version";
pub(super) const TRUE_ANSWERS: &str = "answers are true";
pub(super) const CHOSEN_IS_FOUND: &str = "what was chosen is found";
pub(super) const RESOLVABLE: &str = "all can be resolved";

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
            lost: 0,
        }]
    }

    /// The order matters: random walks draw from this list.
    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (proposer, of) in state.proposers.iter().enumerate() {
            if let Phase::Preparing { responded, .. } = of.phase {
                let open = (0..self.replicas).filter(|replica| !contains(responded, *replica));
                let prepare = |replica| Action::Prepare { proposer, replica, is_response_delivered: true };
                actions.extend(open.map(prepare));
            }
        }
        for request in &state.in_flight {
            if request.required & !state.nodes[request.replica].committed != 0 {
                continue;
            }
            let accept =
                |is_response_delivered| Action::Accept { request: request.clone(), is_response_delivered };
            let is_awaited = state.proposers.iter().any(|p| p.awaits(request.ballot));
            if is_awaited {
                actions.push(accept(true));
            }
            if !is_awaited || state.lost < self.max_lost {
                actions.push(accept(false));
            }
        }
        for replica in 0..self.replicas {
            let unknown = self.numbers(state.committed & !state.nodes[replica].committed);
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
            Property::always(ONE_CONTENT, |setup: &Setup, state| setup.is_one_content(state)),
            Property::always(TRUE_ANSWERS, |setup: &Setup, state| setup.are_answers_true(state)),
            Property::always(CHOSEN_IS_FOUND, |setup: &Setup, state| {
                setup.is_found_by_every_read_quorum(state)
            }),
            Property::always(RESOLVABLE, |setup: &Setup, state: &State| {
                let mut hasher = DefaultHasher::new();
                state.hash(&mut hasher);
                !hasher.finish().is_multiple_of(setup.resolvable_sample) || setup.is_resolvable(state)
            }),
            Property::sometimes(CONFIRMED, |_, state: &State| {
                state.proposers.iter().any(|proposer| proposer.phase == Phase::Confirmed)
            }),
        ]
    }
}

/// What was explored, and what was found.
#[derive(Debug)]
pub(crate) struct Explored {
    pub(crate) states: usize,
    pub(crate) steps: usize,
    pub(crate) depth: usize,
    /// Nothing is left within the bounds.
    pub(crate) is_complete: bool,
    /// [`CONFIRMED`], and the properties that broke.
    pub(crate) found: BTreeSet<&'static str>,
}

/// Explores all of a system, or about so many steps of it, the shortest schedules first.
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
