//! Proposals that were accepted somewhere are watched until they are resolved.
//!
//! Assumption: a proposer may die after its proposal was chosen, and even confirmed, and before anybody was told.
//! Invariant: every proposal that is accepted anywhere is resolved by somebody. Otherwise it would never come in force.

use crate::state_machine::proposals::{
    is_resolved, transfer_time, INITIAL_MAX_BACKOFF_MICROS, MAX_BACKOFF_DOUBLINGS,
};
use crate::state_machine::{ReplicaState, StateMachine};
use kitepass_coordination::consensus::{Ballot, Proposal, ProposalId};
use kitepass_time::{Duration, Timestamp};
use log::debug;

/// A proposal that was reported as accepted is left to its proposer for this long. Then the coordinator
/// resolves it, and others a drawn time later, or a drawn time that widens where nobody is coordinator.
///
/// Invariant: processes don't all push one proposal together, as they would take each other's promises away.
const RESOLVE_TIMEOUT: Duration = Duration::from_micros(250_000);
/// Bound of the time that others than the coordinator draw, in microseconds.
const MAX_RESOLVE_DELAY: u64 = 1_000_000;

impl StateMachine {
    /// Watches a proposal that was reported with a ballot.
    pub(in crate::state_machine) fn watch(&mut self, now: Timestamp, ballot: Ballot, proposal: &Proposal) {
        if is_resolved(proposal, self.configuration.item_store()) || !self.proposals.watch_list.has_room() {
            return;
        }
        // A time is drawn also where the proposal is watched already: the order of draws is part of a recorded run.
        let resolve_at = self.draw_resolve_time(now, proposal, 0);
        self.proposals.watch_list.add(ballot, proposal, resolve_at);
    }

    /// Watches what an earlier incarnation accepted.
    pub(in crate::state_machine) fn watch_accepted(&mut self, now: Timestamp) {
        for (ballot, proposal) in self.proposals.accepted() {
            self.watch(now, ballot, &proposal);
        }
    }

    /// When this process resolves a proposal that was reported now, or that it has tried to resolve `attempts` times.
    fn draw_resolve_time(&mut self, now: Timestamp, proposal: &Proposal, attempts: u32) -> Timestamp {
        let delay = if self.active_term(now).is_some() {
            self.random.rand_range(0..INITIAL_MAX_BACKOFF_MICROS)
        } else if self.quorum.coordinator().is_some() {
            MAX_RESOLVE_DELAY / 2 + self.random.rand_range(0..MAX_RESOLVE_DELAY / 2)
        } else {
            self.random.rand_range(0..MAX_RESOLVE_DELAY << attempts.min(MAX_BACKOFF_DOUBLINGS))
        };
        now + RESOLVE_TIMEOUT + transfer_time(proposal.bytes()) + Duration::from_micros(delay as i64)
    }

    /// Begins to resolve the proposals that are due.
    pub(in crate::state_machine) fn resolve_overdue(&mut self, now: Timestamp) {
        let undecided = self.proposals.undecided_replica_set(&self.configuration);
        let undecided_id = undecided.as_ref().map(|(_, proposal)| proposal.proposal_id());
        let only = match self.replica_state() {
            ReplicaState::Serving => None,
            _ => match undecided_id.filter(|_| self.may_resolve_replica_set(now)) {
                Some(id) => Some(id),
                None => return,
            },
        };
        if let Some((ballot, proposal)) = &undecided {
            self.watch(now, *ballot, proposal);
        }
        self.resolve_watched(now, only);
    }

    /// Whether this process resolves an incoming replica set before it serves.
    ///
    /// Where all lost power while a replica set was brought in, each refuses the others what they need to catch up, for its
    /// sake. If none resolved it before it has caught up, none ever would.
    fn may_resolve_replica_set(&self, now: Timestamp) -> bool {
        let is_catching_up =
            matches!(self.replica_state(), ReplicaState::CatchingUp | ReplicaState::Isolated);
        is_catching_up && self.lifecycle.is_complete() && self.has_quorum(now)
    }

    fn resolve_watched(&mut self, now: Timestamp, only: Option<ProposalId>) {
        let busy = self.proposals.pending.proposal_ids();
        let overdue = self.proposals.watch_list.overdue(now, only, &busy);
        for it in &overdue {
            let resolve_at = self.draw_resolve_time(now, &it.proposal, it.attempts);
            self.proposals.watch_list.resolve_attempted(it.proposal.proposal_id(), it.attempts, resolve_at);
        }
        for it in overdue {
            debug!("event=resolve-proposal items={}", it.proposal.items().len());
            self.resolve(now, it.proposal);
        }
    }
}
