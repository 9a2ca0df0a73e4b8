//! A partition while the replica set changes, with a safeguard taken out.

use super::{at, ROLE};
use kitepass_coordination::lease::{LeaseCandidate, LeaseVoter};
use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// What the lease's safety rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Safeguard {
    /// Voters compare the epoch of requests with their own.
    RequestEpoch,
    /// A voter is fenced by the replica set that it has accepted, committed or not.
    Fence,
    /// A voter votes for nothing but renewals for a while after a replica set is committed.
    RenewalsOnly,
    /// In an odd epoch both replica sets elect.
    JointQuorum,
    /// What a restarted voter recalls was voted under the replica set that it knows.
    RecallByReplicaSet,
}

/// Replicas 0 to 4 are followed by 0, 3 and 5, while 1, 2 and 4 are cut off from the others. Candidate 0 is on the side
/// of the incoming replica set, candidate 1 on the other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partition {
    pub(super) disabled: Option<Safeguard>,
    /// The last epoch that candidate 1 learns of.
    pub(super) candidate_epoch: u64,
    /// The last epoch that the voters 1, 2 and 4 learn of.
    pub(super) voter_epoch: u64,
    /// The voters 0, 3 and 5 restart.
    pub(super) restarts: bool,
}

pub(super) struct Outcome {
    /// The most that held the lease at once.
    pub(super) most_holders: usize,
    /// Candidate 0 holds it at the end.
    pub(super) is_held_at_the_end: bool,
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

fn replica_sets(epoch: u64) -> JointReplicaSets {
    match epoch {
        2 => JointReplicaSets { current: old_replica_set(), incoming: None },
        3 => JointReplicaSets { current: old_replica_set(), incoming: Some(new_replica_set()) },
        _ => JointReplicaSets { current: new_replica_set(), incoming: None },
    }
}

/// The incoming replica set is accepted at 100 ms, committed at 200 ms, and in force at 400 ms.
fn committed_epoch(millis: i64) -> u64 {
    match millis {
        ..200 => 2,
        200..400 => 3,
        _ => 4,
    }
}

fn is_far(replica: usize) -> bool {
    matches!(replica, 1 | 2 | 4)
}

impl Partition {
    pub(super) fn run(&self) -> Outcome {
        let new_voter = |_| LeaseVoter::new(at(0), true, BTreeMap::new(), Some(old_replica_set()));
        let mut voters: Vec<LeaseVoter> = (0..6).map(new_voter).collect();
        let mut candidates = [LeaseCandidate::new(ROLE, 10), LeaseCandidate::new(ROLE, 1_000)];
        let mut outcome = Outcome { most_holders: 0, is_held_at_the_end: false };
        for millis in (0..8_000).step_by(50) {
            if self.restarts && millis == 450 {
                self.restart(at(millis), &mut voters);
            }
            for (n, candidate) in candidates.iter_mut().enumerate() {
                self.ask(millis, n, candidate, &mut voters);
            }
            let is_held = candidates.each_ref().map(|candidate| candidate.held_term(at(millis)).is_some());
            let holders = is_held.iter().filter(|is_held| **is_held).count();
            outcome.most_holders = outcome.most_holders.max(holders);
            outcome.is_held_at_the_end = is_held[0];
        }
        outcome
    }

    /// The voters had voted for candidate 0 before the replica set was committed.
    fn restart(&self, now: Timestamp, voters: &mut [LeaseVoter]) {
        let is_recalled = self.disabled == Some(Safeguard::RecallByReplicaSet);
        for n in [0, 3, 5] {
            let recalled = is_recalled.then(|| (ROLE.to_owned(), "s0".to_owned())).into_iter().collect();
            voters[n] = LeaseVoter::new(now, false, recalled, Some(new_replica_set()));
        }
    }

    /// A candidate asks the voters on its side; their votes arrive at once.
    fn ask(&self, millis: i64, n: usize, candidate: &mut LeaseCandidate, voters: &mut [LeaseVoter]) {
        let (now, committed) = (at(millis), committed_epoch(millis));
        let epoch = if n == 1 { committed.min(self.candidate_epoch) } else { committed };
        let Some(request) = candidate.tick(now, true, Duration::ZERO, epoch) else { return };
        let is_quorum = |votes: &BTreeSet<String>| match self.disabled {
            Some(Safeguard::JointQuorum) => replica_sets(epoch).current.is_lease_quorum(votes),
            _ => replica_sets(epoch).is_lease_quorum(votes),
        };
        for (number, voter) in voters.iter_mut().enumerate() {
            if is_far(number) != is_far(n) {
                continue;
            }
            let known = if is_far(number) { committed.min(self.voter_epoch) } else { committed };
            if self.disabled != Some(Safeguard::RenewalsOnly) {
                voter.observe_replica_set(now, replica_sets(known).newest());
            }
            let voter_epoch = match self.disabled {
                Some(Safeguard::RequestEpoch) => 0,
                Some(Safeguard::Fence) => known,
                _ if millis >= 100 => known.max(3),
                _ => known,
            };
            let name = format!("s{number}");
            let mut vote = voter.vote(now, &format!("s{n}"), &request, voter_epoch);
            vote.is_granted &= replica_sets(known).contains(&name);
            candidate.receive_vote(now, &name, &vote, epoch, is_quorum);
        }
    }
}
