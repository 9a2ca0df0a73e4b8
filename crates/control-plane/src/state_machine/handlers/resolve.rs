//! Proposals that some replica has accepted are watched until they are resolved.
//!
//! A proposer may fail after its proposal is chosen, and even after it has responded to the caller, before it has
//! notified any replica. Invariant: every proposal that any replica has accepted is eventually resolved by some
//! process. Otherwise it might never take effect.

use crate::state_machine::proposals::{
    is_resolved, transfer_time, INITIAL_MAX_BACKOFF_MICROS, MAX_BACKOFF_DOUBLINGS,
};
use crate::state_machine::{ReplicaState, StateMachine};
use kitepass_coordination::consensus::{Ballot, Proposal, ProposalId};
use kitepass_time::{Duration, Timestamp};
use log::debug;

/// An accepted proposal is left to its proposer for this long. After that the coordinator resolves it, and other
/// processes do so after a further random delay. Without a coordinator, the range of the delay grows with each
/// attempt.
///
/// The delays keep processes from proposing the same proposal at the same time, where each new ballot would
/// invalidate the promises made to the others.
const RESOLVE_TIMEOUT: Duration = Duration::from_micros(250_000);
/// Upper bound of the random delay of processes other than the coordinator.
const MAX_RESOLVE_DELAY_MICROS: u64 = 1_000_000;

impl StateMachine {
    /// Watches a proposal that was reported as accepted under this ballot.
    pub(in crate::state_machine) fn watch_proposal(
        &mut self,
        now: Timestamp,
        ballot: Ballot,
        proposal: &Proposal,
    ) {
        if is_resolved(proposal, self.configuration.item_store()) || !self.proposals.watch_list.has_room() {
            return;
        }
        // The time is drawn even if the proposal is already watched, because recorded runs depend on the order of
        // random draws.
        let resolve_at = self.draw_resolve_time(now, proposal, 0);
        self.proposals.watch_list.add(ballot, proposal, resolve_at);
    }

    /// Watches the proposals that an earlier incarnation accepted.
    pub(in crate::state_machine) fn watch_accepted_proposals(&mut self, now: Timestamp) {
        for (ballot, proposal) in self.proposals.accepted() {
            self.watch_proposal(now, ballot, &proposal);
        }
    }

    /// Returns when this process resolves a proposal that was reported now, or that it has tried to resolve
    /// `attempts` times.
    fn draw_resolve_time(&mut self, now: Timestamp, proposal: &Proposal, attempts: u32) -> Timestamp {
        let delay = if self.active_term(now).is_some() {
            self.random.rand_range(0..INITIAL_MAX_BACKOFF_MICROS)
        } else if self.quorum.coordinator().is_some() {
            MAX_RESOLVE_DELAY_MICROS / 2 + self.random.rand_range(0..MAX_RESOLVE_DELAY_MICROS / 2)
        } else {
            self.random.rand_range(0..MAX_RESOLVE_DELAY_MICROS << attempts.min(MAX_BACKOFF_DOUBLINGS))
        };
        now + RESOLVE_TIMEOUT + transfer_time(proposal.bytes()) + Duration::from_micros(delay as i64)
    }

    /// Starts resolving the proposals that are due.
    pub(in crate::state_machine) fn resolve_overdue(&mut self, now: Timestamp) {
        let undecided = self.proposals.undecided_replica_set(&self.configuration);
        let undecided_id = undecided.as_ref().map(|(_, proposal)| proposal.proposal_id());
        let restricted_to = match self.replica_state() {
            ReplicaState::Serving => None,
            _ => match undecided_id.filter(|_| self.may_resolve_replica_set(now)) {
                Some(id) => Some(id),
                None => return,
            },
        };
        if let Some((ballot, proposal)) = &undecided {
            self.watch_proposal(now, *ballot, proposal);
        }
        self.resolve_watched(now, restricted_to);
    }

    /// Returns whether this process resolves an incoming replica set before it serves.
    ///
    /// If all replicas lost power during a change of the replica set, each one rejects the others' reads because of
    /// the undecided set. If a replica had to catch up before resolving it, none would ever catch up.
    fn may_resolve_replica_set(&self, now: Timestamp) -> bool {
        let is_catching_up =
            matches!(self.replica_state(), ReplicaState::CatchingUp | ReplicaState::Isolated);
        is_catching_up && self.lifecycle.is_complete() && self.has_quorum(now)
    }

    fn resolve_watched(&mut self, now: Timestamp, restricted_to: Option<ProposalId>) {
        let in_progress = self.proposals.pending.proposal_ids();
        let overdue = self.proposals.watch_list.overdue(now, restricted_to, &in_progress);
        for due in &overdue {
            let resolve_at = self.draw_resolve_time(now, &due.proposal, due.attempts);
            self.proposals.watch_list.resolve_attempted(due.proposal.proposal_id(), due.attempts, resolve_at);
        }
        for due in overdue {
            debug!("event=resolve-proposal items={}", due.proposal.items().len());
            self.start_resolving(now, due.proposal);
        }
    }
}
