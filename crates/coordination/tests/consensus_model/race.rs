//! Measures how long competing proposers take if no message is lost.

use super::setup::{contains, Setup};
use super::state::{Action, Phase, Proposer, State};
use kitepass_coordination::consensus::Ballot;
use stateright::Model;
use std::collections::BTreeMap;

/// The maximum jitter of a message, as a fraction of the round trip time.
const JITTER_FRACTION: f64 = 0.1;

/// The parameters of a race. Proposers start at random times within `spread`, retry a refused attempt after a random
/// backoff, and notify all replicas of commits. Times are in milliseconds.
pub(crate) struct Race {
    /// The round trip time between a proposer and a replica.
    pub(crate) round_trip: f64,
    /// The average time to write a record to disk.
    pub(crate) sync: f64,
    pub(crate) spread: f64,
    /// The minimum and maximum backoff after a refusal.
    pub(crate) backoff: (f64, f64),
    /// The maximum backoff doubles with each refusal, up to this number of times.
    pub(crate) doublings: u32,
}

/// When the first proposal was committed and when all proposers had their final results, in milliseconds, and the largest
/// number of attempts of a proposer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RaceResult {
    pub(crate) first: f64,
    pub(crate) all: f64,
    pub(crate) attempts: u8,
}

/// An action, and the ballot of the attempt that it belongs to.
type Event = (Action, Ballot);

struct Run<'a> {
    race: &'a Race,
    setup: &'a Setup,
    rng: oorandom::Rand64,
    state: State,
    /// Scheduled events by time in microseconds, then by send order.
    events: BTreeMap<(u64, u64), Event>,
    sent: u64,
    /// The number of refusals, by proposer.
    refusals: Vec<u32>,
    result: RaceResult,
}

impl Race {
    /// Returns `None` if a proposer has run out of attempts.
    pub(crate) fn run(&self, setup: &Setup, seed: u64) -> Option<RaceResult> {
        let mut run = Run::new(self, setup, seed);
        run.start();
        while let Some(((micros, _), (action, ballot))) = run.events.pop_first() {
            run.handle(micros as f64 / 1_000.0, action, ballot)?;
        }
        Some(run.result)
    }
}

impl<'a> Run<'a> {
    fn new(race: &'a Race, setup: &'a Setup, seed: u64) -> Run<'a> {
        let state = setup.init_states().remove(0);
        Run {
            race,
            setup,
            rng: oorandom::Rand64::new(u128::from(seed)),
            refusals: vec![0; state.proposers.len()],
            state,
            events: BTreeMap::new(),
            sent: 0,
            result: RaceResult { first: 0.0, all: 0.0, attempts: 0 },
        }
    }

    fn send(&mut self, at: f64, event: Event) {
        self.sent += 1;
        let at = at + self.race.round_trip * JITTER_FRACTION * self.rng.rand_float();
        self.events.insert(((at * 1_000.0) as u64, self.sent), event);
    }

    fn start(&mut self) {
        for proposer in 0..self.state.proposers.len() {
            let ballot =
                self.state.proposers[proposer].phase.ballot().expect("the proposer has started an attempt");
            let at = self.race.round_trip * 0.5 + self.race.spread * self.rng.rand_float();
            self.send_prepares(at, proposer, ballot);
        }
    }

    fn send_prepares(&mut self, at: f64, proposer: usize, ballot: Ballot) {
        for replica in 0..self.setup.replicas {
            self.send(at, (Action::Prepare { proposer, replica, is_response_delivered: true }, ballot));
        }
    }

    /// Returns `None` if the proposer has run out of attempts.
    fn handle(&mut self, now: f64, action: Action, ballot: Ballot) -> Option<()> {
        let proposer = match &action {
            Action::Prepare { proposer, .. } => *proposer,
            Action::Accept { request, .. } => {
                let is_sender = |p: &Proposer| p.incarnation == request.ballot.proposer;
                self.state.proposers.iter().position(is_sender)?
            }
            Action::Commit { .. } | Action::Restart { .. } => {
                self.setup.apply(&mut self.state, action);
                return Some(());
            }
        };
        let before = self.state.proposers[proposer].clone();
        if is_obsolete(&action, &before, ballot) {
            return Some(());
        }
        let committed = self.state.committed;
        self.setup.apply(&mut self.state, action);
        if self.state.committed != 0 && self.result.first == 0.0 {
            self.result.first = now;
        }
        self.send_commits(now, self.state.committed & !committed, ballot);
        self.follow_up(now, proposer, &before)
    }

    fn send_commits(&mut self, now: f64, committed: u32, ballot: Ballot) {
        for proposal in self.setup.proposals_in(committed) {
            for replica in 0..self.setup.replicas {
                self.send(now + self.race.round_trip, (Action::Commit { replica, proposal }, ballot));
            }
        }
    }

    /// Schedules what follows if the proposer has entered a new phase. Returns `None` if it has run out of attempts.
    fn follow_up(&mut self, now: f64, proposer: usize, before: &Proposer) -> Option<()> {
        let after = self.state.proposers[proposer].clone();
        if (&after.phase, after.attempts_left) == (&before.phase, before.attempts_left) {
            return Some(());
        }
        match after.phase {
            Phase::GivenUp => return None,
            Phase::Confirmed | Phase::Conflicting | Phase::Rejected => {
                let attempts = self.setup.attempts - after.attempts_left;
                self.result.all = self.result.all.max(now + self.race.round_trip * 0.5);
                self.result.attempts = self.result.attempts.max(attempts);
            }
            Phase::Preparing { ballot, responded: 0 } => {
                // There is a backoff after a refusal, but not before or after resolving another proposal.
                let is_refused = before.target == after.target && before.committed == after.committed;
                let backoff = if is_refused { self.draw_backoff(proposer) } else { 0.0 };
                self.send_prepares(now + self.race.round_trip + backoff, proposer, ballot);
            }
            Phase::Accepting { ballot, accepted: 0 } => self.send_accepts(now, ballot),
            _ => {}
        }
        Some(())
    }

    fn draw_backoff(&mut self, proposer: usize) -> f64 {
        let (min, max) = self.race.backoff;
        let doublings = self.race.doublings.min(self.refusals[proposer]);
        let max = max * f64::from(1 << doublings);
        self.refusals[proposer] += 1;
        min + (max - min) * self.rng.rand_float()
    }

    fn send_accepts(&mut self, now: f64, ballot: Ballot) {
        let requests: Vec<_> =
            self.state.in_flight.iter().filter(|request| request.ballot == ballot).cloned().collect();
        for request in requests {
            let at = now + self.race.round_trip + self.race.sync * (0.5 + self.rng.rand_float());
            self.send(at, (Action::Accept { request, is_response_delivered: true }, ballot));
        }
    }
}

/// Whether this is a prepare request of an earlier attempt, or one to a replica that has already responded.
fn is_obsolete(action: &Action, proposer: &Proposer, ballot: Ballot) -> bool {
    let Action::Prepare { replica, .. } = action else { return false };
    let is_awaited =
        matches!(proposer.phase, Phase::Preparing { responded, .. } if !contains(responded, *replica));
    proposer.phase.ballot() != Some(ballot) || !is_awaited
}
