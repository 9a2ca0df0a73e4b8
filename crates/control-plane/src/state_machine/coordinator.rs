//! The coordinator role: the lease that grants it to one process, and the state that the holder keeps, namely usage
//! counts and the platform's endpoint list.

use super::configuration::Configuration;
use super::records::RecordedVote;
use crate::endpoints::{Endpoint, EndpointReconciler};
use kitepass_config::{Item, ItemStore};
use kitepass_coordination::lease::{LeaseCandidate, LeaseVoter};
use kitepass_coordination::membership::{JointReplicaSets, ReplicaSet};
use kitepass_coordination::protocol::{LeaseRequest, LeaseVote, UsageReport, UsageTotals};
use kitepass_coordination::usage::{QuotaTolerance, UsageCounts};
use kitepass_time::{Duration, Timestamp};
use log::{info, warn};

/// Name on the wire of the coordinator role. The holder of its lease reads the platform's endpoint list, aggregates
/// usage and changes the replica set.
pub const COORDINATOR_ROLE: &str = "steward";

/// State of this process in the coordinator election. Changed only by [`Coordinator::set_state`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoordinatorState {
    /// This process does not hold the lease.
    Follower,
    /// This process won the lease under this term, but has not yet read the state of a read quorum.
    ///
    /// Invariant: it does not act as coordinator in this state. Its own state may be outdated and would restore an
    /// older endpoint list, usage count or replica set.
    Recovering(u64),
    /// This process has read the state of a read quorum since it won the lease under this term, and acts as
    /// coordinator.
    Active(u64),
}

/// Response to a lease request.
pub(super) enum VoteDecision {
    /// The vote may be sent immediately.
    Ready(LeaseVote),
    /// The vote may be sent only once it is on disk. Otherwise, a voter that restarts could grant the same lease to
    /// another candidate.
    AfterRecord(RecordedVote, LeaseVote),
}

/// State of this replica that decides how it votes on a lease request.
pub(super) struct VoteContext<'a> {
    /// The current replica set and, during a replica set change, the incoming one.
    pub(super) replica_sets: Option<&'a JointReplicaSets>,
    /// Lease requests with a lower epoch are rejected. 0 unless this replica has accepted a replica set that is still
    /// undecided.
    pub(super) fencing_epoch: u64,
    /// Whether this replica is entitled to grant a lease.
    pub(super) may_grant: bool,
}

/// This process as voter, candidate and holder of the coordinator role.
pub(super) struct Coordinator {
    voter: LeaseVoter,
    recorded_vote: RecordedVote,
    state: CoordinatorState,
    candidate: LeaseCandidate,
    usage: Option<UsageCounts>,
    tolerance: QuotaTolerance,
    endpoints: EndpointReconciler,
}

impl Coordinator {
    /// `has_never_voted` is true if no vote has ever been stored on this disk. `recorded_vote` is the vote on disk,
    /// `newest` the newest known replica set. `first_request_id` must differ in each incarnation.
    pub(super) fn new(
        now: Timestamp,
        has_never_voted: bool,
        recorded_vote: RecordedVote,
        newest: Option<ReplicaSet>,
        first_request_id: u64,
        tolerance: QuotaTolerance,
    ) -> Coordinator {
        // Invariant: a recorded vote is valid only for the replica set under which it was granted. A majority of a
        // newer set may have granted the lease to another candidate since.
        let is_valid = newest.as_ref().is_some_and(|set| set.version == recorded_vote.replica_set_version);
        let vote = is_valid.then(|| (COORDINATOR_ROLE.to_owned(), recorded_vote.candidate.clone()));
        Coordinator {
            voter: LeaseVoter::new(now, has_never_voted, vote.into_iter().collect(), newest),
            recorded_vote,
            state: CoordinatorState::Follower,
            candidate: LeaseCandidate::new(COORDINATOR_ROLE, first_request_id),
            usage: None,
            tolerance,
            endpoints: EndpointReconciler::default(),
        }
    }

    pub(super) fn state(&self) -> CoordinatorState {
        self.state
    }

    /// The term under which this process currently holds the lease.
    pub(super) fn lease_term(&self, now: Timestamp) -> Option<u64> {
        self.candidate.held_term(now)
    }

    /// The term under which this process currently acts as coordinator: it holds the lease and has read the state of a
    /// read quorum since it won it.
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

    /// Returns to the follower state after the lease was lost or released.
    pub(super) fn step_down(&mut self) {
        self.set_state(CoordinatorState::Follower);
    }

    /// Ends the recovery after the state of a read quorum was read. Returns true if this process has become the active
    /// coordinator.
    pub(super) fn complete_recovery(&mut self, now: Timestamp) -> bool {
        match self.state {
            CoordinatorState::Recovering(term) if self.lease_term(now) == Some(term) => {
                self.set_state(CoordinatorState::Active(term));
                true
            }
            _ => false,
        }
    }

    /// Passes the newest known replica set to the voter.
    pub(super) fn observe_replica_set(&mut self, now: Timestamp, newest: &ReplicaSet) {
        self.voter.observe_replica_set(now, newest);
    }

    /// Whether, according to the votes granted by this voter, no replica other than `own_name` holds the lease.
    pub(super) fn is_lease_free_for(&self, now: Timestamp, own_name: &str) -> bool {
        self.voter.holder(now, COORDINATOR_ROLE).is_none_or(|holder| holder == own_name)
    }

    /// Votes on a lease request of the replica `candidate`.
    pub(super) fn vote(
        &mut self,
        now: Timestamp,
        candidate: &str,
        request: &LeaseRequest,
        context: &VoteContext,
    ) -> VoteDecision {
        let newest = context.replica_sets.map(JointReplicaSets::newest);
        if let Some(newest) = newest {
            self.voter.observe_replica_set(now, newest);
        }
        let epoch = context.replica_sets.map_or(0, JointReplicaSets::epoch).max(context.fencing_epoch);
        let mut vote = self.voter.vote(now, candidate, request, epoch);
        vote.is_granted &= context.may_grant;
        let replica_set_version = newest.map_or(0, |set| set.version);
        let recorded = RecordedVote { candidate: candidate.to_owned(), replica_set_version };
        if vote.is_granted && self.recorded_vote != recorded {
            VoteDecision::AfterRecord(recorded, vote)
        } else {
            VoteDecision::Ready(vote)
        }
    }

    /// Records that a granted vote is on disk.
    pub(super) fn vote_recorded(&mut self, recorded: RecordedVote) {
        self.recorded_vote = recorded;
    }

    /// Processes a vote of the replica `voter`. Returns the term if this vote has won the lease.
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

    /// Returns the lease or renewal request that is due now, if any. `delay` is random, so that candidates do not all
    /// send their requests at the same time.
    pub(super) fn lease_request(
        &mut self,
        now: Timestamp,
        is_free: bool,
        delay: Duration,
        epoch: u64,
    ) -> Option<LeaseRequest> {
        self.candidate.tick(now, is_free, delay, epoch)
    }

    /// Returns the request that releases the lease, if it is held.
    pub(super) fn release(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        self.candidate.release(now)
    }

    /// Adds a gateway's usage report and returns the totals, if this process is the active coordinator.
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

    /// Removes expired usage counts.
    pub(super) fn expire_usage(&mut self, now: Timestamp) {
        if let Some(usage) = &mut self.usage {
            usage.expire(now);
        }
    }

    /// Processes a complete read of the platform's endpoint list. Returns the items that it adds or changes.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        endpoints: Vec<Endpoint>,
        item_store: &ItemStore,
    ) -> Vec<Item> {
        self.endpoints.reconcile(now, endpoints, item_store)
    }
}
