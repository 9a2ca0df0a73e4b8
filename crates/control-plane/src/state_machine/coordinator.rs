//! The coordinator role: the lease under which one process holds it, and what that process does with it, which is
//! counting usage and reading the platform's list of backends.

use super::configuration::Configuration;
use super::records::RecordedVote;
use crate::endpoints::{Endpoint, EndpointList};
use kitepass_config::{Item, ItemStore};
use kitepass_coordination::lease::{LeaseCandidate, LeaseVoter};
use kitepass_coordination::membership::{JointReplicaSets, ReplicaSet};
use kitepass_coordination::protocol::{LeaseRequest, LeaseVote, UsageReport, UsageTotals};
use kitepass_coordination::usage::{QuotaTolerance, UsageCounts};
use kitepass_time::{Duration, Timestamp};
use log::{info, warn};

/// The one singleton role, by its name on the wire: whoever holds its lease reads the platform's list, holds the usage
/// counts and changes the replica set.
pub const COORDINATOR_ROLE: &str = "steward";

/// How far this process has come with the role. [`Coordinator::set_state`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoordinatorState {
    /// Another process holds the lease, or nobody.
    Follower,
    /// It won the lease under a term, and has yet to read what a read quorum holds.
    ///
    /// Invariant: it does not act in this state. By what it knew before it would bring back an older list, count or
    /// replica set.
    Recovering(u64),
    /// It has read, since it won the lease under that term, what a read quorum holds, and acts.
    Active(u64),
}

/// How a lease request is answered.
pub(super) enum VoteDecision {
    /// The answer may leave at once.
    Ready(LeaseVote),
    /// The answer may leave once the vote is on disk: a voter that restarts would otherwise grant to another what it had
    /// granted.
    AfterRecord(RecordedVote, LeaseVote),
}

/// What a voter must know to answer a lease request.
pub(super) struct VoteContext<'a> {
    /// The replica set in force, and the incoming one.
    pub(super) replica_sets: Option<&'a JointReplicaSets>,
    /// The epoch that fences off requests of earlier ones, by what this replica has accepted.
    pub(super) fencing_epoch: u64,
    /// Whether this replica's vote counts.
    pub(super) may_grant: bool,
}

/// This process' part in the election, and what it keeps for the role.
pub(super) struct Coordinator {
    voter: LeaseVoter,
    recorded_vote: RecordedVote,
    state: CoordinatorState,
    candidate: LeaseCandidate,
    usage: Option<UsageCounts>,
    tolerance: QuotaTolerance,
    endpoints: EndpointList,
}

impl Coordinator {
    /// `has_never_voted`: this disk has never held a vote. `recorded_vote` is the one on disk; `newest` is the newest
    /// replica set that is known; `first_request_id` differs in each incarnation.
    pub(super) fn new(
        now: Timestamp,
        has_never_voted: bool,
        recorded_vote: RecordedVote,
        newest: Option<ReplicaSet>,
        first_request_id: u64,
        tolerance: QuotaTolerance,
    ) -> Coordinator {
        // Invariant: a recorded vote counts only with the replica set that it was given under. Of a later set a majority
        // may have granted the lease to another since.
        let is_valid = newest.as_ref().is_some_and(|set| set.version == recorded_vote.replica_set_version);
        let vote = is_valid.then(|| (COORDINATOR_ROLE.to_owned(), recorded_vote.candidate.clone()));
        Coordinator {
            voter: LeaseVoter::new(now, has_never_voted, vote.into_iter().collect(), newest),
            recorded_vote,
            state: CoordinatorState::Follower,
            candidate: LeaseCandidate::new(COORDINATOR_ROLE, first_request_id),
            usage: None,
            tolerance,
            endpoints: EndpointList::default(),
        }
    }

    pub(super) fn state(&self) -> CoordinatorState {
        self.state
    }

    /// The term under which this process holds the lease now.
    pub(super) fn lease_term(&self, now: Timestamp) -> Option<u64> {
        self.candidate.held_term(now)
    }

    /// The term under which this process acts as coordinator now: it holds the lease, and has read a read quorum since it
    /// won it.
    pub(super) fn active_term(&self, now: Timestamp) -> Option<u64> {
        self.lease_term(now).filter(|term| self.state == CoordinatorState::Active(*term))
    }

    fn set_state(&mut self, to: CoordinatorState) {
        if self.state == to {
            return;
        }
        match to {
            CoordinatorState::Follower => {
                warn!("event=lease-lost");
                self.usage = None;
            }
            CoordinatorState::Recovering(_) => self.usage = None,
            CoordinatorState::Active(term) => {
                info!("event=coordinator-active term={term}");
                self.endpoints.start_term(term);
                self.usage = Some(UsageCounts::new(self.tolerance));
            }
        }
        self.state = to;
    }

    /// The lease is lost, or was given back.
    pub(super) fn step_down(&mut self) {
        self.set_state(CoordinatorState::Follower);
    }

    /// What a read quorum holds has been read; true if this process acts as coordinator from now on.
    pub(super) fn complete_recovery(&mut self, now: Timestamp) -> bool {
        match self.state {
            CoordinatorState::Recovering(term) if self.lease_term(now) == Some(term) => {
                self.set_state(CoordinatorState::Active(term));
                true
            }
            _ => false,
        }
    }

    /// A new replica set may have become known to the voter.
    pub(super) fn observe_replica_set(&mut self, now: Timestamp, newest: &ReplicaSet) {
        self.voter.observe_replica_set(now, newest);
    }

    /// Whether, as far as this voter granted it, nobody but `own_name` holds the lease.
    pub(super) fn is_lease_free_for(&self, now: Timestamp, own_name: &str) -> bool {
        self.voter.holder(now, COORDINATOR_ROLE).is_none_or(|holder| holder == own_name)
    }

    /// Votes on the request of the replica `candidate`.
    pub(super) fn vote(
        &mut self,
        now: Timestamp,
        candidate: &str,
        request: &LeaseRequest,
        view: &VoteContext,
    ) -> VoteDecision {
        let newest = view.replica_sets.map(JointReplicaSets::newest);
        if let Some(newest) = newest {
            self.voter.observe_replica_set(now, newest);
        }
        let epoch = view.replica_sets.map_or(0, JointReplicaSets::epoch).max(view.fencing_epoch);
        let mut vote = self.voter.vote(now, candidate, request, epoch);
        vote.is_granted &= view.may_grant;
        let replica_set_version = newest.map_or(0, |set| set.version);
        let recorded = RecordedVote { candidate: candidate.to_owned(), replica_set_version };
        if vote.is_granted && self.recorded_vote != recorded {
            VoteDecision::AfterRecord(recorded, vote)
        } else {
            VoteDecision::Ready(vote)
        }
    }

    /// A vote is on disk.
    pub(super) fn vote_recorded(&mut self, recorded: RecordedVote) {
        self.recorded_vote = recorded;
    }

    /// The vote of the replica `voter`. Gives the term if the lease is held from now on and was not before.
    pub(super) fn receive_vote(
        &mut self,
        now: Timestamp,
        voter: &str,
        vote: &LeaseVote,
        replica_sets: &JointReplicaSets,
    ) -> Option<u64> {
        let is_quorum = |votes: &_| replica_sets.is_lease_quorum(votes);
        if !self.candidate.receive_vote(now, voter, vote, replica_sets.epoch(), is_quorum) {
            return None;
        }
        let term = self.candidate.held_term(now).unwrap_or_default();
        info!("event=lease-won term={term} epoch={}", replica_sets.epoch());
        self.set_state(CoordinatorState::Recovering(term));
        Some(term)
    }

    /// The request for the lease, or for its renewal, that is due now. `wait` is drawn.
    pub(super) fn lease_request(
        &mut self,
        now: Timestamp,
        is_free: bool,
        wait: Duration,
        epoch: u64,
    ) -> Option<LeaseRequest> {
        self.candidate.tick(now, is_free, wait, epoch)
    }

    /// The request that gives a held lease back.
    pub(super) fn release(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        self.candidate.release(now)
    }

    /// Adds a gateway's usage, if this process is coordinator; gives the totals.
    pub(super) fn record_usage(
        &mut self,
        now: Timestamp,
        report: &UsageReport,
        live_node_ids: &[String],
        configuration: &Configuration,
    ) -> Option<UsageTotals> {
        self.active_term(now)?;
        let usage = self.usage.as_mut()?;
        Some(usage.record(now, report, live_node_ids, |tenant| configuration.rate_limit(tenant)))
    }

    /// Forgets usage that is long past.
    pub(super) fn expire_usage(&mut self, now: Timestamp) {
        if let Some(usage) = &mut self.usage {
            usage.expire(now);
        }
    }

    /// A complete reading of the platform's list; gives the items that are new by it.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        endpoints: Vec<Endpoint>,
        item_store: &ItemStore,
    ) -> Vec<Item> {
        self.endpoints.update(now, endpoints, item_store)
    }
}
