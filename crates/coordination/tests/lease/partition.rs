//! A partition during a change of the replica set, optionally with one safeguard disabled.

use super::{at, ROLE};
use kitepass_coordination::lease::{LeaseCandidate, LeaseVoter};
use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A rule that the safety of the lease depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Safeguard {
    /// A voter refuses requests of an epoch earlier than its own.
    RequestEpoch,
    /// A voter that has accepted a replica set refuses requests of earlier epochs, even if the set is not committed yet.
    Fence,
    /// After a voter learns that a replica set is committed, it grants only renewals for one lease duration.
    RenewalsOnly,
    /// In an odd epoch, a quorum of both replica sets is required.
    JointQuorum,
    /// After a restart, a voter uses its persisted vote only if it was cast under the newest replica set that it knows.
    PersistedVoteReplicaSet,
}

/// The replica set {0, 1, 2, 3, 4} is replaced by {0, 3, 5} while replicas 1, 2 and 4 are partitioned from the others.
/// Candidate 0 is on the side of the new replica set, candidate 1 on the other side.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partition {
    pub(super) disabled: Option<Safeguard>,
    /// The last epoch that candidate 1 learns of.
    pub(super) candidate_epoch: u64,
    /// The last epoch that voters 1, 2 and 4 learn of.
    pub(super) voter_epoch: u64,
    /// Whether voters 0, 3 and 5 restart.
    pub(super) restarts: bool,
}

pub(super) struct Outcome {
    /// The maximum number of processes that held the lease at the same time.
    pub(super) most_holders: usize,
    /// Whether candidate 0 holds the lease at the end.
    pub(super) is_held_at_end: bool,
}

fn replica_set(replicas: &[usize], version: u64) -> ReplicaSet {
    let replica = |n: &usize| Replica { node_id: format!("s{n}"), ..Replica::default() };
    ReplicaSet { replicas: replicas.iter().map(replica).collect(), version }
}

fn old_replica_set() -> ReplicaSet {
    replica_set(&[0, 1, 2, 3, 4], 1)
}

fn new_replica_set() -> ReplicaSet {
    replica_set(&[0, 3, 5], 2)
}

fn replica_sets_in(epoch: u64) -> JointReplicaSets {
    match epoch {
        2 => JointReplicaSets { current: old_replica_set(), incoming: None },
        3 => JointReplicaSets { current: old_replica_set(), incoming: Some(new_replica_set()) },
        _ => JointReplicaSets { current: new_replica_set(), incoming: None },
    }
}

/// The committed epoch: the incoming replica set is accepted at 100 ms, committed at 200 ms, and in force from 400 ms.
fn committed_epoch(millis: i64) -> u64 {
    match millis {
        ..200 => 2,
        200..400 => 3,
        _ => 4,
    }
}

/// Whether a replica is on the side of the partition that has only replicas of the old set.
fn is_on_old_side(replica: usize) -> bool {
    matches!(replica, 1 | 2 | 4)
}

impl Partition {
    pub(super) fn run(&self) -> Outcome {
        let new_voter = |_| LeaseVoter::new(at(0), true, BTreeMap::new(), Some(old_replica_set()));
        let mut voters: Vec<LeaseVoter> = (0..6).map(new_voter).collect();
        let mut candidates = [LeaseCandidate::new(ROLE, 10), LeaseCandidate::new(ROLE, 1_000)];
        let mut outcome = Outcome { most_holders: 0, is_held_at_end: false };
        for millis in (0..8_000).step_by(50) {
            if self.restarts && millis == 450 {
                self.restart(at(millis), &mut voters);
            }
            for (n, candidate) in candidates.iter_mut().enumerate() {
                self.request_votes(millis, n, candidate, &mut voters);
            }
            let is_held = candidates.each_ref().map(|candidate| candidate.held_term(at(millis)).is_some());
            let holders = is_held.iter().filter(|is_held| **is_held).count();
            outcome.most_holders = outcome.most_holders.max(holders);
            outcome.is_held_at_end = is_held[0];
        }
        outcome
    }

    /// Restarts voters 0, 3 and 5. Their persisted votes for candidate 0 were cast before the new replica set was
    /// committed, so they are ignored unless the safeguard is disabled.
    fn restart(&self, now: Timestamp, voters: &mut [LeaseVoter]) {
        let is_vote_used = self.disabled == Some(Safeguard::PersistedVoteReplicaSet);
        for n in [0, 3, 5] {
            let persisted_vote =
                is_vote_used.then(|| (ROLE.to_owned(), "s0".to_owned())).into_iter().collect();
            voters[n] = LeaseVoter::new(now, false, persisted_vote, Some(new_replica_set()));
        }
    }

    /// Lets a candidate request votes from the voters on its side, whose votes arrive immediately.
    fn request_votes(
        &self,
        millis: i64,
        n: usize,
        candidate: &mut LeaseCandidate,
        voters: &mut [LeaseVoter],
    ) {
        let (now, committed) = (at(millis), committed_epoch(millis));
        let epoch = if n == 1 { committed.min(self.candidate_epoch) } else { committed };
        let Some(request) = candidate.tick(now, true, Duration::ZERO, epoch) else { return };
        let is_quorum = |votes: &BTreeSet<String>| match self.disabled {
            Some(Safeguard::JointQuorum) => replica_sets_in(epoch).current.is_lease_quorum(votes),
            _ => replica_sets_in(epoch).is_lease_quorum(votes),
        };
        for (voter_index, voter) in voters.iter_mut().enumerate() {
            if is_on_old_side(voter_index) != is_on_old_side(n) {
                continue;
            }
            let known_epoch =
                if is_on_old_side(voter_index) { committed.min(self.voter_epoch) } else { committed };
            if self.disabled != Some(Safeguard::RenewalsOnly) {
                voter.observe_replica_set(now, replica_sets_in(known_epoch).newest());
            }
            let voter_epoch = match self.disabled {
                Some(Safeguard::RequestEpoch) => 0,
                Some(Safeguard::Fence) => known_epoch,
                _ if millis >= 100 => known_epoch.max(3),
                _ => known_epoch,
            };
            let name = format!("s{voter_index}");
            let mut vote = voter.vote(now, &format!("s{n}"), &request, voter_epoch);
            vote.is_granted &= replica_sets_in(known_epoch).contains(&name);
            candidate.receive_vote(now, &name, &vote, epoch, is_quorum);
        }
    }
}
