//! Requests that are under way, and how far each has come.

use crate::request::{Request, Response};
use kitepass_config::Kind;
use kitepass_coordination::consensus::{Ballot, ObservedProposals, Proposal, ProposalId};
use kitepass_coordination::membership::{ReplicaSet, CURRENT};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A request that is not finished after this time is answered 503, and its caller may turn to another process.
const REQUEST_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// Added to the time-out for each MiB of a request: its caller waits longer, too.
const REQUEST_TIMEOUT_PER_MIB: Duration = Duration::from_micros(1_000_000);
/// Bound of the drawn pause before a request's next attempt after the first rejection, in microseconds. It doubles with
/// each further rejection, [`MAX_BACKOFF_DOUBLINGS`] times at most.
///
/// Invariant: proposers that reject each other come again at different times, or none would ever finish. The pauses stay
/// bounded, as growing ones would keep callers beyond their time-outs (docs/control-consensus.md).
pub(in crate::state_machine) const INITIAL_MAX_BACKOFF_MICROS: u64 = 100_000;
/// See [`INITIAL_MAX_BACKOFF_MICROS`].
pub(in crate::state_machine) const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// How much longer a message of `bytes` bytes may take than an empty one.
pub(in crate::state_machine) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_micros(REQUEST_TIMEOUT_PER_MIB.as_micros() * (bytes >> 20) as i64)
}

/// Names a pending request within this process. Attempts at it have request ids of their own, which travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::state_machine) struct PendingId(pub(in super::super) u64);

/// How far a request has come. The sets hold names of replicas.
#[derive(Debug)]
pub(in crate::state_machine) enum Phase {
    /// Reading what the others hold, and having them promise the ballot.
    Preparing(BTreeSet<String>),
    /// Another attempt begins at that time.
    BackingOff(Timestamp),
    /// Proposals that may be chosen already have to be resolved first.
    Blocked(BTreeSet<ProposalId>),
    /// Waiting for enough replicas to have accepted the proposal on disk.
    Accepting(BTreeSet<String>),
    /// Waiting for enough replicas to have the rejection on disk; then this is answered.
    Rejecting(BTreeSet<String>, Response),
}

/// A request under way.
pub(in crate::state_machine) struct PendingRequest {
    /// Who waits for the answer, if anybody.
    pub(in crate::state_machine) caller: Option<u64>,
    pub(in crate::state_machine) request: Request,
    /// What is proposed; none for a reading alone.
    pub(in crate::state_machine) proposal: Option<Proposal>,
    /// The ballot of this attempt.
    pub(in crate::state_machine) ballot: Ballot,
    /// The request id of this attempt, which its answers repeat.
    pub(in crate::state_machine) attempt_id: u64,
    /// Accepted proposals that prepare responses told of.
    pub(in crate::state_machine) observed: ObservedProposals,
    /// The highest activated version that was told in this attempt: see `PrepareResponse`.
    pub(in crate::state_machine) activated_version: u64,
    /// How often it was rejected by a replica that had promised a higher ballot.
    pub(in crate::state_machine) rejections: u32,
    pub(in crate::state_machine) phase: Phase,
    pub(in crate::state_machine) started_at: Timestamp,
}

impl PendingRequest {
    /// A request before its first attempt.
    pub(in crate::state_machine) fn new(
        now: Timestamp,
        caller: Option<u64>,
        request: Request,
        proposal: Option<Proposal>,
        observed: ObservedProposals,
    ) -> PendingRequest {
        PendingRequest {
            caller,
            request,
            proposal,
            ballot: Ballot::default(),
            attempt_id: 0,
            observed,
            activated_version: 0,
            rejections: 0,
            phase: Phase::BackingOff(now),
            started_at: now,
        }
    }

    /// Begins another attempt, under a request id and a ballot of its own.
    pub(in crate::state_machine) fn start_attempt(&mut self, attempt_id: u64, ballot: Ballot) {
        (self.attempt_id, self.ballot) = (attempt_id, ballot);
        (self.phase, self.activated_version) = (Phase::Preparing(BTreeSet::new()), 0);
    }

    /// The attempt was rejected: another one begins at that time.
    pub(in crate::state_machine) fn back_off_until(&mut self, time: Timestamp) {
        self.rejections += 1;
        self.phase = Phase::BackingOff(time);
    }

    /// The replica of this name has promised the attempt's ballot, and told the activated version that it knows. False if
    /// that is not waited for.
    pub(in crate::state_machine) fn replica_prepared(&mut self, name: &str, activated_version: u64) -> bool {
        self.activated_version = self.activated_version.max(activated_version);
        let Phase::Preparing(replicas) = &mut self.phase else { return false };
        replicas.insert(name.to_owned());
        true
    }

    /// The replica of this name has the proposal, or its rejection, on disk. False if that is not waited for.
    pub(in crate::state_machine) fn replica_accepted(&mut self, name: &str) -> bool {
        let (Phase::Accepting(replicas) | Phase::Rejecting(replicas, _)) = &mut self.phase else {
            return false;
        };
        replicas.insert(name.to_owned());
        true
    }

    /// Whether it waits for its next attempt already.
    pub(in crate::state_machine) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::BackingOff(_) | Phase::Blocked(_))
    }

    /// Whether proposals have to be resolved first, none of which changes the replica set.
    fn is_blocked_by_changes(&self) -> bool {
        let Phase::Blocked(ids) = &self.phase else { return false };
        let blocking = ids.iter().filter_map(|id| self.observed.get(id));
        let mut items = blocking.flat_map(|(_, proposal)| proposal.items().iter());
        !items.any(|item| item.kind == Kind::ReplicaSet)
    }

    /// Keys of the items that it proposes.
    pub(in crate::state_machine) fn keys(&self) -> Vec<u64> {
        self.proposal.as_ref().map(|proposal| proposal.keys().to_vec()).unwrap_or_default()
    }

    /// Whether it only reads. An evacuation has no proposal before its first attempt, and a new one in each.
    pub(in crate::state_machine) fn is_read_only(&self) -> bool {
        self.proposal.is_none() && !matches!(self.request, Request::Evacuate { .. })
    }

    /// Whether it changes the replica set.
    fn changes_replica_set(&self) -> bool {
        matches!(
            self.request,
            Request::ProposeReplicaSet(_) | Request::PrepareActivation(_) | Request::ActivateReplicaSet(_)
        )
    }

    fn timeout(&self) -> Duration {
        match &self.request {
            // No caller waits, and all proposals that it meets have to be resolved first.
            Request::PrepareActivation(_) | Request::ReadMajority => REQUEST_TIMEOUT * 2,
            request => REQUEST_TIMEOUT + transfer_time(request.bytes()),
        }
    }

    /// Bound of the pause before its next attempt, in microseconds.
    ///
    /// Where a change was sent again to many processes, all of them push the same proposal and take each other's promises
    /// away. Once it is accepted anywhere they come again at times further apart.
    pub(in crate::state_machine) fn max_backoff_micros(&self) -> u64 {
        let proposal_id = self.proposal.as_ref().map(Proposal::proposal_id);
        let is_observed = proposal_id.is_some_and(|id| self.observed.contains_key(&id));
        let doublings = if is_observed { MAX_BACKOFF_DOUBLINGS + 1 } else { MAX_BACKOFF_DOUBLINGS };
        INITIAL_MAX_BACKOFF_MICROS << self.rejections.min(doublings)
    }
}

/// All requests under way.
#[derive(Default)]
pub(in crate::state_machine) struct PendingRequests {
    requests: BTreeMap<PendingId, PendingRequest>,
}

impl PendingRequests {
    pub(in crate::state_machine) fn insert(&mut self, id: PendingId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    pub(in crate::state_machine) fn remove(&mut self, id: PendingId) -> Option<PendingRequest> {
        self.requests.remove(&id)
    }

    pub(in crate::state_machine) fn get(&self, id: PendingId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(in crate::state_machine) fn get_mut(&mut self, id: PendingId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    pub(in crate::state_machine) fn set_phase(&mut self, id: PendingId, phase: Phase) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.phase = phase;
        }
    }

    pub(in crate::state_machine) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(in crate::state_machine) fn ids(&self) -> Vec<PendingId> {
        self.requests.keys().copied().collect()
    }

    /// The request whose attempt has this request id.
    pub(in crate::state_machine) fn find_by_attempt(&self, attempt_id: u64) -> Option<PendingId> {
        let mut requests = self.requests.iter();
        requests.find(|(_, pending)| pending.attempt_id == attempt_id).map(|(id, _)| *id)
    }

    /// The request whose attempt has this request id and ballot.
    pub(in crate::state_machine) fn find_by_ballot(
        &self,
        attempt_id: u64,
        ballot: Option<Ballot>,
    ) -> Option<PendingId> {
        let is_asked =
            |pending: &PendingRequest| pending.attempt_id == attempt_id && Some(pending.ballot) == ballot;
        self.requests.iter().find(|(_, pending)| is_asked(pending)).map(|(id, _)| *id)
    }

    /// Whether a replica set is being brought in, or put in force, from here.
    pub(in crate::state_machine) fn is_changing_replica_set(&self) -> bool {
        self.requests.values().any(PendingRequest::changes_replica_set)
    }

    /// Whether what a majority holds is being read for the coordinator.
    pub(in crate::state_machine) fn is_recovering(&self) -> bool {
        self.requests.values().any(|pending| pending.request == Request::ReadMajority)
    }

    /// Whether the reading for the coordinator has all answers, and waits for proposals none of which changes the replica
    /// set.
    pub(in crate::state_machine) fn is_recovery_blocked(&self) -> bool {
        self.requests
            .values()
            .any(|pending| pending.request == Request::ReadMajority && pending.is_blocked_by_changes())
    }

    /// Ids of the proposals that are being pushed from here.
    pub(in crate::state_machine) fn proposal_ids(&self) -> BTreeSet<ProposalId> {
        self.requests.values().filter_map(|pending| Some(pending.proposal.as_ref()?.proposal_id())).collect()
    }

    /// Requests that are past their time-outs.
    pub(in crate::state_machine) fn overdue(&self, now: Timestamp) -> Vec<PendingId> {
        let is_overdue = |pending: &PendingRequest| now - pending.started_at > pending.timeout();
        self.requests.iter().filter(|(_, pending)| is_overdue(pending)).map(|(id, _)| *id).collect()
    }

    /// Requests that wait no longer: their pause is over, or none of the proposals that block them is watched any more.
    pub(in crate::state_machine) fn resumable(
        &self,
        now: Timestamp,
        is_watched: impl Fn(&ProposalId) -> bool,
    ) -> Vec<PendingId> {
        let is_resumable = |pending: &PendingRequest| match &pending.phase {
            Phase::BackingOff(until) => *until <= now,
            Phase::Blocked(proposal_ids) => !proposal_ids.iter().any(&is_watched),
            _ => false,
        };
        self.requests.iter().filter(|(_, pending)| is_resumable(pending)).map(|(id, _)| *id).collect()
    }
}

/// The replica set that a proposal puts in force, if it does that.
pub(in crate::state_machine) fn activated_replica_set(proposal: &Proposal) -> Option<ReplicaSet> {
    let mut items = proposal.items().iter();
    let item = items.find(|item| item.kind == Kind::ReplicaSet && &*item.name == CURRENT)?;
    ReplicaSet::from_item(item)
}
