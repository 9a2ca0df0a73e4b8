//! The voter's side: what one replica votes for.

use super::LEASE_DURATION;
use crate::membership::ReplicaSet;
use crate::protocol::{LeaseRequest, LeaseVote};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

/// A vote that was given.
struct Vote {
    /// The candidate's replica.
    candidate: String,
    term: u64,
    expires_at: Timestamp,
}

/// One replica's votes for all roles.
pub struct LeaseVoter {
    /// The last vote, by role.
    votes: BTreeMap<String, Vote>,
    /// The highest term that was seen, by role.
    highest_terms: BTreeMap<String, u64>,
    /// Until then it votes only for the candidate that an earlier incarnation voted for.
    abstains_until: Timestamp,
    /// The newest replica set that is committed, in force or being brought in, and since when it is known here.
    newest_replica_set: Option<ReplicaSet>,
    newest_known_since: Timestamp,
    /// Until then it votes for nothing but renewals, as the newest replica set is too new.
    renewals_only_until: Timestamp,
    /// For which candidate an earlier incarnation voted last, by role, as far as that is on disk.
    recalled_votes: BTreeMap<String, String>,
}

impl LeaseVoter {
    /// `is_first_start` is true if the disk was empty. `recalled_votes` are an earlier incarnation's last votes by role,
    /// as long as it knew of the replica set `newest_replica_set`, the newest committed one on disk.
    ///
    /// Invariant: a vote binds the next incarnation too. When it was given is not on disk, so that for one lease duration
    /// after a restart the voter votes for nobody but whom it voted for before. Whoever uses the voter therefore writes a
    /// vote to disk before it leaves.
    pub fn new(
        now: Timestamp,
        is_first_start: bool,
        recalled_votes: BTreeMap<String, String>,
        newest_replica_set: Option<ReplicaSet>,
    ) -> LeaseVoter {
        LeaseVoter {
            votes: BTreeMap::new(),
            highest_terms: BTreeMap::new(),
            abstains_until: if is_first_start { now } else { now + LEASE_DURATION },
            newest_replica_set,
            newest_known_since: now,
            renewals_only_until: now,
            recalled_votes,
        }
    }

    /// Takes note of the newest replica set that is committed.
    ///
    /// Invariant: a majority of it may have no replica that voted in a majority of the one before; then the voter has to
    /// wait until all leases of the one before have expired. Where any two majorities share a replica, the votes that
    /// bind that replica are enough, unless the replica set before was as new itself.
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
        // Before the first replica set there was nothing to vote for.
        if newest.version > 1 && !(do_majorities_intersect && is_predecessor_old_enough) {
            self.renewals_only_until = now + LEASE_DURATION;
        }
        self.newest_replica_set = Some(newest.clone());
        self.newest_known_since = now;
    }

    /// Answers a request of a candidate, named by its replica. `epoch` is the voter's own.
    pub fn vote(&mut self, now: Timestamp, candidate: &str, request: &LeaseRequest, epoch: u64) -> LeaseVote {
        // Invariant: a candidate that has not learned of the incoming replica set would count votes by the one before.
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

    /// Whether its last vote, if it still binds, lets it vote for the candidate.
    fn is_free(&self, now: Timestamp, candidate: &str, request: &LeaseRequest) -> bool {
        if let Some(holder) = self.holder(now, &request.role) {
            // A node that was restarted asks under a low term: its earlier incarnation is over, nobody else's vote is.
            return holder == candidate;
        }
        let highest_term = self.highest_terms.get(&request.role).copied().unwrap_or_default();
        // A holder's renewal is good whichever terms rivals asked under meanwhile: votes exclude each other, terms only
        // order them. Without it a voter that once voted for a rival would never be the holder's again.
        request.is_renewal
            || request.term > highest_term
            || request.term == highest_term && self.has_voted_for(candidate, request)
    }

    /// Whether it is not bound by an earlier incarnation's votes, or by those of an earlier replica set.
    fn may_vote(&self, now: Timestamp, candidate: &str, request: &LeaseRequest) -> bool {
        let recalled = self.recalled_votes.get(&request.role);
        let is_as_before = recalled.is_some_and(|recalled| recalled == candidate);
        let is_unbound = now >= self.abstains_until || is_as_before;
        is_unbound && (now >= self.renewals_only_until || request.is_renewal)
    }

    /// Whether its last vote, binding or not, is for the candidate under the request's term.
    fn has_voted_for(&self, candidate: &str, request: &LeaseRequest) -> bool {
        let vote = self.votes.get(&request.role);
        vote.is_some_and(|vote| vote.candidate == candidate && vote.term == request.term)
    }

    /// For which replica the voter's vote stands, if for any.
    pub fn holder(&self, now: Timestamp, role: &str) -> Option<&str> {
        let vote = self.votes.get(role).filter(|vote| vote.expires_at > now)?;
        Some(&vote.candidate)
    }
}
