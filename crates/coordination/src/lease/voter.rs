//! The voter's side: decides which candidates one replica votes for.

use super::LEASE_DURATION;
use crate::membership::ReplicaSet;
use crate::protocol::{LeaseRequest, LeaseVote};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

/// A granted vote.
struct Vote {
    /// The name of the candidate's replica.
    candidate: String,
    term: u64,
    expires_at: Timestamp,
}

/// One replica's votes for all roles.
pub struct LeaseVoter {
    /// The last vote, by role.
    votes: BTreeMap<String, Vote>,
    /// The highest term seen, by role.
    highest_terms: BTreeMap<String, u64>,
    /// Until then, votes only for the candidate that an earlier incarnation voted for.
    abstains_until: Timestamp,
    /// The newest committed replica set, whether in force or incoming, and the time at which it became known here.
    newest_replica_set: Option<ReplicaSet>,
    newest_known_since: Timestamp,
    /// Until then, grants only renewals, because the newest replica set was committed too recently.
    renewals_only_until: Timestamp,
    /// The candidate that an earlier incarnation voted for last, by role, as read from disk.
    persisted_votes: BTreeMap<String, String>,
}

impl LeaseVoter {
    /// Creates a voter. `is_first_start` is true if the disk was empty. `persisted_votes` are the last votes of an
    /// earlier incarnation, by role, cast while it already knew of `newest_replica_set`, the newest committed replica
    /// set on disk.
    ///
    /// Invariant: votes remain binding after a restart. The time of a vote is not on disk, so for one lease duration
    /// after a restart the voter votes only for the candidates that it voted for before. The caller must therefore
    /// write a vote to disk before sending it.
    pub fn new(
        now: Timestamp,
        is_first_start: bool,
        persisted_votes: BTreeMap<String, String>,
        newest_replica_set: Option<ReplicaSet>,
    ) -> LeaseVoter {
        LeaseVoter {
            votes: BTreeMap::new(),
            highest_terms: BTreeMap::new(),
            abstains_until: if is_first_start { now } else { now + LEASE_DURATION },
            newest_replica_set,
            newest_known_since: now,
            renewals_only_until: now,
            persisted_votes,
        }
    }

    /// Records the newest committed replica set.
    ///
    /// Invariant: a majority of the new set may contain no replica that voted in a majority of the previous set. In
    /// that case, the voter has to wait until all leases of the previous set have expired. If any two majorities
    /// intersect, the vote of the shared replica is enough, unless the previous set was itself too recent.
    pub fn observe_replica_set(&mut self, now: Timestamp, newest: &ReplicaSet) {
        let known_version = self.newest_replica_set.as_ref().map_or(0, |known| known.version);
        if newest.version <= known_version {
            return;
        }
        let do_majorities_intersect = self
            .newest_replica_set
            .as_ref()
            .is_some_and(|known| known.version + 1 == newest.version && known.majorities_intersect(newest));
        let is_predecessor_old_enough = now - self.newest_known_since >= LEASE_DURATION;
        // Before the first replica set, no lease could be requested.
        if newest.version > 1 && !(do_majorities_intersect && is_predecessor_old_enough) {
            self.renewals_only_until = now + LEASE_DURATION;
        }
        self.newest_replica_set = Some(newest.clone());
        self.newest_known_since = now;
    }

    /// Responds to a request of a candidate, given by the name of its replica. `epoch` is the voter's own epoch.
    pub fn vote(&mut self, now: Timestamp, candidate: &str, request: &LeaseRequest, epoch: u64) -> LeaseVote {
        // Invariant: a candidate that has not learned of the incoming replica set would count votes by the previous one
        // alone.
        let is_epoch_current = request.epoch >= epoch;
        let is_granted = !request.is_release
            && is_epoch_current
            && self.may_vote(now, candidate, request)
            && self.is_free(now, candidate, request);
        let highest_term = self.highest_terms.entry(request.role.clone()).or_default();
        *highest_term = request.term.max(*highest_term);
        let term = *highest_term;
        if is_granted {
            let expires_at = now + LEASE_DURATION;
            let vote = Vote { candidate: candidate.to_owned(), term: request.term, expires_at };
            self.votes.insert(request.role.clone(), vote);
        } else if request.is_release && self.has_voted_for(candidate, request) {
            self.votes.remove(&request.role);
        }
        let holder = self.votes.get(&request.role).map(|vote| vote.candidate.clone());
        LeaseVote {
            role: request.role.clone(),
            request_id: request.request_id,
            is_granted,
            term,
            holder: holder.unwrap_or_default(),
            epoch,
        }
    }

    /// Whether the voter's last vote, if it is still binding, allows a vote for the candidate.
    fn is_free(&self, now: Timestamp, candidate: &str, request: &LeaseRequest) -> bool {
        if let Some(holder) = self.holder(now, &request.role) {
            // A restarted node sends requests with a low term. They are granted if the binding vote is for that node,
            // because its earlier incarnation has ended, but not if it is for another candidate.
            return holder == candidate;
        }
        let highest_term = self.highest_terms.get(&request.role).copied().unwrap_or_default();
        // A holder's renewal is granted regardless of the terms that other candidates have used meanwhile: votes
        // provide mutual exclusion, and terms only order the leases. Otherwise, a voter that once voted for another
        // candidate could never vote for the holder again.
        request.is_renewal
            || request.term > highest_term
            || request.term == highest_term && self.has_voted_for(candidate, request)
    }

    /// Whether the votes of an earlier incarnation or of an earlier replica set allow a vote for the candidate.
    fn may_vote(&self, now: Timestamp, candidate: &str, request: &LeaseRequest) -> bool {
        let persisted = self.persisted_votes.get(&request.role);
        let matches_persisted_vote = persisted.is_some_and(|persisted| persisted == candidate);
        let is_unbound = now >= self.abstains_until || matches_persisted_vote;
        is_unbound && (now >= self.renewals_only_until || request.is_renewal)
    }

    /// Whether the last vote, binding or expired, is for the candidate under the request's term.
    fn has_voted_for(&self, candidate: &str, request: &LeaseRequest) -> bool {
        let vote = self.votes.get(&request.role);
        vote.is_some_and(|vote| vote.candidate == candidate && vote.term == request.term)
    }

    /// The replica that the voter's binding vote is for, if there is one.
    pub fn holder(&self, now: Timestamp, role: &str) -> Option<&str> {
        let vote = self.votes.get(role).filter(|vote| vote.expires_at > now)?;
        Some(&vote.candidate)
    }
}
