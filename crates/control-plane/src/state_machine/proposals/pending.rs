//! Pending requests and their progress.

use crate::request::{Request, Response};
use bytes::Bytes;
use kitepass_config::{reservations_are_current, ItemStore, Kind, Reservations};
use kitepass_coordination::consensus::{name_key, Ballot, ObservedProposals, Proposal, ProposalId};
use kitepass_coordination::membership::{ReplicaSet, CURRENT};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A request that is unfinished after this time is answered with 503, and its caller may try another process.
const REQUEST_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// Added to the time-out for each MiB of a request. Callers wait correspondingly longer.
const REQUEST_TIMEOUT_PER_MIB: Duration = Duration::from_micros(1_000_000);
/// A caller without a response turns to another process after a second, and later for a long request. This is less by
/// what a request may have been on its way.
const CALLER_PATIENCE: Duration = Duration::from_micros(900_000);
/// Upper bound of the random back-off after the first rejection of a request. It doubles with each further rejection,
/// at most [`MAX_BACKOFF_DOUBLINGS`] times.
///
/// Proposers that reject each other must retry at different times, or none would ever complete. The back-off is
/// bounded because longer ones would exceed the callers' time-outs (docs/control-consensus.md).
pub(in crate::state_machine) const INITIAL_MAX_BACKOFF_MICROS: u64 = 100_000;
/// How often the upper bound of the back-off doubles; see [`INITIAL_MAX_BACKOFF_MICROS`].
pub(in crate::state_machine) const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Returns the additional time allowed for a message of `bytes` bytes, compared with an empty one.
pub(in crate::state_machine) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_micros(REQUEST_TIMEOUT_PER_MIB.as_micros() * (bytes >> 20) as i64)
}

/// Identifies a pending request within this process. Each attempt has its own request id, which is sent to the
/// replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::state_machine) struct PendingId(pub(in super::super) u64);

/// The phase of a request. The string sets hold replica names.
#[derive(Debug)]
pub(in crate::state_machine) enum Phase {
    /// Reading from the replicas and collecting promises of the ballot.
    Preparing(BTreeSet<String>),
    /// Waiting until this time to start the next attempt.
    BackingOff(Timestamp),
    /// Waiting until these proposals, which may already be chosen, are resolved.
    Blocked(BTreeSet<ProposalId>),
    /// Waiting until enough replicas have the accepted proposal on disk.
    Accepting(BTreeSet<String>),
    /// Waiting until enough replicas have the rejection on disk; the caller then receives this response.
    Rejecting(BTreeSet<String>, Response),
}

impl Phase {
    /// Returns the phase's name for log lines.
    pub(in crate::state_machine) fn name(&self) -> &'static str {
        match self {
            Phase::Preparing(_) => "preparing",
            Phase::BackingOff(_) => "backing-off",
            Phase::Blocked(_) => "blocked",
            Phase::Accepting(_) => "accepting",
            Phase::Rejecting(..) => "rejecting",
        }
    }
}

/// The caller of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::state_machine) struct Caller {
    /// The number under which the caller is answered.
    pub(in crate::state_machine) id: u64,
    /// From this time on the caller may have turned to another process.
    waits_until: Timestamp,
}

impl Caller {
    /// Returns the caller of a request that has arrived at `arrived_at` or later.
    pub(in crate::state_machine) fn new(id: u64, request: &Request, arrived_at: Timestamp) -> Caller {
        Caller { id, waits_until: arrived_at + CALLER_PATIENCE + transfer_time(request.item_bytes()) }
    }

    /// Returns whether the caller may have turned to another process.
    pub(in crate::state_machine) fn may_have_left(&self, now: Timestamp) -> bool {
        now >= self.waits_until
    }
}

/// A request in progress.
pub(in crate::state_machine) struct PendingRequest {
    /// The caller that is waiting for the response, if any.
    pub(in crate::state_machine) caller: Option<Caller>,
    pub(in crate::state_machine) request: Request,
    /// The proposal, or `None` for a read and for an evacuation before its first attempt.
    pub(in crate::state_machine) proposal: Option<Proposal>,
    /// The registers that an operator's change claims.
    pub(in crate::state_machine) reservations: Reservations,
    /// The ballot of the current attempt.
    pub(in crate::state_machine) ballot: Ballot,
    /// The request id of the current attempt, which its responses repeat.
    pub(in crate::state_machine) attempt_id: u64,
    /// Accepted proposals reported in prepare responses.
    pub(in crate::state_machine) observed: ObservedProposals,
    /// The highest activated version reported in this attempt; see `PrepareResponse`.
    pub(in crate::state_machine) activated_version: u64,
    /// How often a replica that had promised a higher ballot rejected the request.
    pub(in crate::state_machine) rejections: u32,
    pub(in crate::state_machine) phase: Phase,
    pub(in crate::state_machine) started_at: Timestamp,
}

impl PendingRequest {
    /// Creates a request that has not started its first attempt.
    pub(in crate::state_machine) fn new(
        now: Timestamp,
        caller: Option<Caller>,
        request: Request,
        proposal: Option<Proposal>,
        observed: ObservedProposals,
    ) -> PendingRequest {
        let reservations = match &request {
            Request::Patch(items) => Reservations::of(items),
            _ => Reservations::default(),
        };
        PendingRequest {
            caller,
            request,
            proposal,
            reservations,
            ballot: Ballot::default(),
            attempt_id: 0,
            observed,
            activated_version: 0,
            rejections: 0,
            phase: Phase::BackingOff(now),
            started_at: now,
        }
    }

    /// Starts another attempt with its own request id and ballot.
    pub(in crate::state_machine) fn start_attempt(&mut self, attempt_id: u64, ballot: Ballot) {
        (self.attempt_id, self.ballot) = (attempt_id, ballot);
        (self.phase, self.activated_version) = (Phase::Preparing(BTreeSet::new()), 0);
    }

    /// Replaces the reservations of an operator's change by those of the registers' next versions.
    pub(in crate::state_machine) fn renew_reservations(&mut self, item_store: &ItemStore) {
        let (Request::Patch(change), Some(proposal)) = (&self.request, &self.proposal) else { return };
        let is_complete = proposal.reservations().count() == self.reservations.len();
        if is_complete && reservations_are_current(item_store, proposal.reservations()) {
            return;
        }
        let digest = Bytes::copy_from_slice(&proposal.change_id().0);
        let reservations = self.reservations.items(item_store, &digest);
        self.proposal = Some(Proposal::new(change.iter().cloned().chain(reservations).collect()));
    }

    /// Returns the name keys of the registers that the proposal claims.
    pub(in crate::state_machine) fn reserved_names(&self) -> Vec<u64> {
        self.proposal.iter().flat_map(Proposal::reservations).map(name_key).collect()
    }

    /// Handles a rejected attempt: the next one starts at `time`.
    pub(in crate::state_machine) fn back_off_until(&mut self, time: Timestamp) {
        self.rejections += 1;
        self.phase = Phase::BackingOff(time);
    }

    /// Records that this replica has promised the attempt's ballot, and the activated version that it reported.
    /// Returns whether the request was waiting for that.
    pub(in crate::state_machine) fn replica_prepared(&mut self, name: &str, activated_version: u64) -> bool {
        self.activated_version = self.activated_version.max(activated_version);
        let Phase::Preparing(replicas) = &mut self.phase else { return false };
        replicas.insert(name.to_owned());
        true
    }

    /// Records that this replica has the proposal, or its rejection, on disk. Returns whether the request was waiting
    /// for that.
    pub(in crate::state_machine) fn replica_accepted(&mut self, name: &str) -> bool {
        let (Phase::Accepting(replicas) | Phase::Rejecting(replicas, _)) = &mut self.phase else {
            return false;
        };
        replicas.insert(name.to_owned());
        true
    }

    /// Returns whether the request is already waiting for its next attempt.
    pub(in crate::state_machine) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::BackingOff(_) | Phase::Blocked(_))
    }

    /// Returns whether the request is blocked by proposals none of which changes the replica set.
    fn is_blocked_by_changes(&self) -> bool {
        let Phase::Blocked(ids) = &self.phase else { return false };
        let blocking = ids.iter().filter_map(|id| self.observed.get(id));
        let mut items = blocking.flat_map(|(_, proposal)| proposal.items().iter());
        !items.any(|item| item.kind == Kind::ReplicaSet)
    }

    /// Returns the keys of the proposed items.
    pub(in crate::state_machine) fn keys(&self) -> Vec<u64> {
        self.proposal.as_ref().map(|proposal| proposal.keys().to_vec()).unwrap_or_default()
    }

    /// Returns whether the request is a read. An evacuation is not one, although it has no proposal before its first
    /// attempt.
    pub(in crate::state_machine) fn is_read_only(&self) -> bool {
        self.proposal.is_none() && !matches!(self.request, Request::Evacuate { .. })
    }

    /// Returns whether the request is a change whose caller may have turned to another process.
    ///
    /// Invariant: such a request is not proposed any more, for the first time or again. Its caller may have sent it to
    /// another process, and may have had an acknowledgement, a rejection, or a later change acknowledged there, which this
    /// process would undo. The versions of a proposal that was made in time, and its ballot, order it before those.
    pub(in crate::state_machine) fn is_abandoned(&self, now: Timestamp) -> bool {
        self.request.is_change() && self.caller.is_some_and(|caller| caller.may_have_left(now))
    }

    /// Returns whether the current attempt has proposed the change, or its rejection.
    pub(in crate::state_machine) fn is_proposed(&self) -> bool {
        matches!(self.phase, Phase::Accepting(_) | Phase::Rejecting(..))
    }

    /// Returns whether the request changes the replica set.
    fn changes_replica_set(&self) -> bool {
        matches!(
            self.request,
            Request::ProposeReplicaSet(_) | Request::PrepareActivation(_) | Request::ActivateReplicaSet(_)
        )
    }

    fn timeout(&self) -> Duration {
        match &self.request {
            // No caller is waiting, and all observed proposals have to be resolved first.
            Request::PrepareActivation(_) | Request::ReadMajority => REQUEST_TIMEOUT * 2,
            request => REQUEST_TIMEOUT + transfer_time(request.item_bytes()),
        }
    }

    /// Returns the upper bound of the back-off before the next attempt.
    ///
    /// If clients resend the same change to many processes, all of them propose it and invalidate each other's
    /// promises. The bound may therefore double once more after any replica has accepted the proposal.
    pub(in crate::state_machine) fn max_backoff_micros(&self) -> u64 {
        let proposal_id = self.proposal.as_ref().map(Proposal::proposal_id);
        let is_observed = proposal_id.is_some_and(|id| self.observed.contains_key(&id));
        let doublings = if is_observed { MAX_BACKOFF_DOUBLINGS + 1 } else { MAX_BACKOFF_DOUBLINGS };
        INITIAL_MAX_BACKOFF_MICROS << self.rejections.min(doublings)
    }
}

/// All pending requests.
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

    /// Returns the request whose current attempt has this request id.
    pub(in crate::state_machine) fn find_by_attempt(&self, attempt_id: u64) -> Option<PendingId> {
        let mut requests = self.requests.iter();
        requests.find(|(_, pending)| pending.attempt_id == attempt_id).map(|(id, _)| *id)
    }

    /// Returns the request whose current attempt has this request id and ballot.
    pub(in crate::state_machine) fn find_by_ballot(
        &self,
        attempt_id: u64,
        ballot: Option<Ballot>,
    ) -> Option<PendingId> {
        let is_match =
            |pending: &PendingRequest| pending.attempt_id == attempt_id && Some(pending.ballot) == ballot;
        self.requests.iter().find(|(_, pending)| is_match(pending)).map(|(id, _)| *id)
    }

    /// Returns whether this process is proposing or activating a replica set.
    pub(in crate::state_machine) fn is_changing_replica_set(&self) -> bool {
        self.requests.values().any(PendingRequest::changes_replica_set)
    }

    /// Returns whether the coordinator's recovery read is in progress.
    pub(in crate::state_machine) fn is_recovery_in_progress(&self) -> bool {
        self.requests.values().any(|pending| pending.request == Request::ReadMajority)
    }

    /// Returns whether the coordinator's recovery read has a read quorum of responses and is blocked by proposals
    /// none of which changes the replica set.
    pub(in crate::state_machine) fn is_recovery_blocked(&self) -> bool {
        self.requests
            .values()
            .any(|pending| pending.request == Request::ReadMajority && pending.is_blocked_by_changes())
    }

    /// Returns the ids of the proposals that this process is proposing.
    pub(in crate::state_machine) fn proposal_ids(&self) -> BTreeSet<ProposalId> {
        self.requests.values().filter_map(|pending| Some(pending.proposal.as_ref()?.proposal_id())).collect()
    }

    /// Records that a caller has disconnected. Returns its change, if that is pending.
    pub(in crate::state_machine) fn caller_left(&mut self, now: Timestamp, caller: u64) -> Option<PendingId> {
        let is_from = |pending: &PendingRequest| {
            pending.caller.is_some_and(|known| known.id == caller && !known.may_have_left(now))
        };
        let mut requests = self.requests.iter_mut();
        let (id, pending) = requests.find(|(_, pending)| is_from(pending) && pending.request.is_change())?;
        pending.caller = Some(Caller { id: caller, waits_until: now });
        Some(*id)
    }

    /// Returns the requests that have exceeded their time-outs, and those that are not proposed and are not to be.
    pub(in crate::state_machine) fn overdue(&self, now: Timestamp) -> Vec<PendingId> {
        let is_overdue = |pending: &PendingRequest| {
            let has_timed_out = now - pending.started_at > pending.timeout();
            has_timed_out || pending.is_abandoned(now) && !pending.is_proposed()
        };
        self.requests.iter().filter(|(_, pending)| is_overdue(pending)).map(|(id, _)| *id).collect()
    }

    /// Returns the requests that no longer have to wait: their back-off is over, or none of the proposals that block
    /// them is watched any more.
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

/// Returns the replica set that a proposal activates, if any.
pub(in crate::state_machine) fn activated_replica_set(proposal: &Proposal) -> Option<ReplicaSet> {
    let mut items = proposal.items().iter();
    let item = items.find(|item| item.kind == Kind::ReplicaSet && &*item.name == CURRENT)?;
    ReplicaSet::from_item(item)
}
