//! Random walks through the states of a system.

use super::exploration::{CHOSEN_IS_OBSERVED, ONE_CONTENT_PER_VERSION, RESOLVABLE, RESULTS_ARE_CORRECT};
use super::setup::Setup;
use super::state::{Action, Phase, State};
use stateright::Model;
use std::collections::BTreeMap;
use std::ops::Range;

/// Totals over a number of random walks, as of their final states.
#[derive(Default, Debug)]
pub(crate) struct Walked {
    pub(crate) steps: u64,
    pub(crate) chosen: u64,
    pub(crate) confirmed: u64,
    pub(crate) conflicting: u64,
    pub(crate) rejected: u64,
    pub(crate) restarts: u64,
    pub(crate) replica_set_changes: u64,
    /// The violated properties, each with the number of walks that violated it and the seed of the first of them.
    pub(crate) broken: BTreeMap<&'static str, (u64, u64)>,
}

/// Runs one random walk per seed, of at most `steps` steps each.
pub(crate) fn run_random_walks(name: &str, setup: &Setup, seeds: Range<u64>, steps: usize) -> Walked {
    let (started, mut walked) = (std::time::Instant::now(), Walked::default());
    let number = seeds.end - seeds.start;
    for seed in seeds {
        setup.walk(seed, steps, &mut walked);
    }
    println!("walks={name} seeds={number} took={:.1?} {walked:?}", started.elapsed());
    walked
}

/// A random walk. To make progress, it favors the actions of one proposer at a time, the focused proposer. Its messages can
/// be lost or delayed like all others, and its attempts can be restarted.
struct Walk<'a> {
    setup: &'a Setup,
    rng: oorandom::Rand64,
    state: State,
    /// The focused proposer.
    focus: usize,
    /// The average number of steps out of 12 that are restricted to actions of the focused proposer.
    focused_steps: u64,
    /// Whether commits, too, count as actions of the focused proposer.
    are_commits_immediate: bool,
}

impl Setup {
    fn walk(&self, seed: u64, steps: usize, walked: &mut Walked) {
        let mut walk = Walk::new(self, seed);
        let mut actions = Vec::new();
        for step in 0..steps {
            walk.switch_or_restart();
            actions.clear();
            self.actions(&walk.state, &mut actions);
            let Some(action) = walk.draw_action(&mut actions) else { break };
            self.apply(&mut walk.state, action);
            walked.steps += 1;
            if let Some(broken) = self.violated_property(&walk.state, step) {
                walked.broken.entry(broken).or_insert((0, seed)).0 += 1;
                break;
            }
        }
        walked.add(self, &walk.state);
    }

    /// The first violated property. Expensive properties are checked only every few steps.
    fn violated_property(&self, state: &State, step: usize) -> Option<&'static str> {
        if !self.has_one_content_per_version(state) {
            Some(ONE_CONTENT_PER_VERSION)
        } else if !self.are_results_correct(state) {
            Some(RESULTS_ARE_CORRECT)
        } else if step.is_multiple_of(8) && !self.is_chosen_observed_by_every_read_quorum(state) {
            Some(CHOSEN_IS_OBSERVED)
        } else if step.is_multiple_of(64) && !self.is_resolvable(state) {
            Some(RESOLVABLE)
        } else {
            None
        }
    }
}

impl<'a> Walk<'a> {
    fn new(setup: &'a Setup, seed: u64) -> Walk<'a> {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        let focused_steps = rng.rand_range(1..12);
        let are_commits_immediate = rng.rand_range(0..2) == 0;
        let state = setup.init_states().remove(0);
        Walk { setup, rng, state, focus: 0, focused_steps, are_commits_immediate }
    }

    /// Occasionally focuses another proposer, or restarts the attempt of the focused one.
    fn switch_or_restart(&mut self) {
        if self.rng.rand_range(0..24) == 0 {
            self.focus = self.draw_index(self.state.proposers.len());
        }
        if self.rng.rand_range(0..16) == 0 {
            let proposer = &mut self.state.proposers[self.focus];
            if proposer.phase.ballot().is_some() {
                self.setup.begin(proposer, proposer.target);
            }
        }
    }

    fn draw_index(&mut self, length: usize) -> usize {
        self.rng.rand_range(0..length as u64) as usize
    }

    /// Selects one of the possible actions at random.
    fn draw_action(&mut self, actions: &mut Vec<Action>) -> Option<Action> {
        let (focus, are_commits_immediate) = (self.focus, self.are_commits_immediate);
        let focused_incarnation = self.state.proposers[focus].incarnation;
        let is_focused = |action: &Action| match action {
            Action::Prepare { proposer, .. } => *proposer == focus,
            Action::Accept { request, is_response_delivered } => {
                request.ballot.proposer == focused_incarnation && *is_response_delivered
            }
            Action::Commit { .. } => are_commits_immediate,
            Action::Restart { .. } => false,
        };
        if self.rng.rand_range(0..12) < self.focused_steps && actions.iter().any(is_focused) {
            actions.retain(is_focused);
        }
        if actions.is_empty() {
            return None;
        }
        let drawn = self.draw_index(actions.len());
        Some(match actions.swap_remove(drawn) {
            Action::Prepare { proposer, replica, .. } => {
                let is_response_delivered = self.rng.rand_range(0..8) > 0;
                Action::Prepare { proposer, replica, is_response_delivered }
            }
            action => action,
        })
    }
}

impl Walked {
    fn add(&mut self, setup: &Setup, state: &State) {
        let in_phase =
            |phase: Phase| state.proposers.iter().filter(|proposer| proposer.phase == phase).count() as u64;
        self.chosen += u64::from(state.chosen.count_ones());
        self.confirmed += in_phase(Phase::Confirmed);
        self.conflicting += in_phase(Phase::Conflicting);
        self.rejected += in_phase(Phase::Rejected);
        self.restarts += u64::from(state.restarts);
        self.replica_set_changes += u64::from(setup.epoch(state.committed, 0) == 2);
    }
}
