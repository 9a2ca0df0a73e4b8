//! The candidate's side: requests, renews and releases a lease.

use super::{LEASE_DURATION, RENEWAL_INTERVAL, SAFETY_MARGIN};
use crate::protocol::{LeaseRequest, LeaseVote};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// The current request, and the voters that have granted it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Election {
    started_at: Timestamp,
    votes: BTreeSet<String>,
}

impl Election {
    fn new(started_at: Timestamp) -> Election {
        Election { started_at, votes: BTreeSet::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum CandidateState {
    Idle,
    /// Waiting for a random delay, after which the lease is requested if the role is still free.
    Waiting,
    /// A request has been sent.
    Requesting(Election),
    /// The lease is held until a point in time, and a renewal may have been requested.
    Holding {
        /// The term under which the lease was won.
        ///
        /// Invariant: it does not change for as long as the lease is held. Other candidates may meanwhile send requests
        /// with higher terms, which the voters report in their votes on a renewal. If the holder adopted such a term,
        /// it would no longer act under the term that it has recovered for.
        term: u64,
        until: Timestamp,
        renewal: Option<Election>,
    },
}

/// A process that tries to acquire the lease of a role.
pub struct LeaseCandidate {
    role: String,
    term: u64,
    request_id: u64,
    /// The epoch of the current or most recent request.
    epoch: u64,
    state: CandidateState,
    next_action_at: Timestamp,
}

impl LeaseCandidate {
    /// Creates a candidate. `request_id` must be random, so that a vote for an earlier incarnation is not counted for
    /// this one.
    pub fn new(role: &str, request_id: u64) -> LeaseCandidate {
        LeaseCandidate {
            role: role.to_owned(),
            term: 0,
            request_id,
            epoch: 0,
            state: CandidateState::Idle,
            next_action_at: Timestamp::default(),
        }
    }

    /// The term under which the process currently holds the lease.
    pub fn held_term(&self, now: Timestamp) -> Option<u64> {
        match self.state {
            CandidateState::Holding { term, until, .. } if now < until => Some(term),
            _ => None,
        }
    }

    /// Returns the request to send to all replicas now, if any.
    ///
    /// `is_free` tells whether the process's own voter considers the role to be free. `delay` is a random delay drawn
    /// by the caller, so that candidates that collide do not retry at the same time. `epoch` is the current membership
    /// epoch.
    pub fn tick(
        &mut self,
        now: Timestamp,
        is_free: bool,
        delay: Duration,
        epoch: u64,
    ) -> Option<LeaseRequest> {
        if matches!(self.state, CandidateState::Holding { until, .. } if now >= until) {
            self.state = CandidateState::Idle;
        }
        if now < self.next_action_at {
            return None;
        }
        match &mut self.state {
            CandidateState::Holding { renewal, .. } => *renewal = Some(Election::new(now)),
            // Candidates that send requests at the same time split the votes, and each vote would be binding for a
            // whole lease duration. Requests are therefore sent after random delays, and a request that did not get
            // enough votes is withdrawn.
            CandidateState::Requesting(_) => {
                self.state = CandidateState::Idle;
                self.next_action_at = now + delay;
                return Some(self.request(true));
            }
            CandidateState::Idle | CandidateState::Waiting if !is_free => {
                self.state = CandidateState::Idle;
                return None;
            }
            CandidateState::Idle => {
                self.state = CandidateState::Waiting;
                self.next_action_at = now + delay;
                return None;
            }
            CandidateState::Waiting => {
                self.term += 1;
                self.state = CandidateState::Requesting(Election::new(now));
            }
        }
        self.next_action_at = now + RENEWAL_INTERVAL;
        self.epoch = epoch;
        self.request_id = self.request_id.wrapping_add(1);
        Some(LeaseRequest { is_renewal: self.held_term(now).is_some(), ..self.request(false) })
    }

    fn request(&self, is_release: bool) -> LeaseRequest {
        LeaseRequest {
            role: self.role.clone(),
            term: self.term,
            request_id: self.request_id,
            is_release,
            is_renewal: false,
            epoch: self.epoch,
        }
    }

    /// Counts a vote. Returns true if this vote wins a lease that was not held before.
    ///
    /// `voter` is the name of the voter's replica, `epoch` the current membership epoch, and `is_quorum` tells whether
    /// a set of votes is enough in that epoch.
    pub fn receive_vote(
        &mut self,
        now: Timestamp,
        voter: &str,
        vote: &LeaseVote,
        epoch: u64,
        is_quorum: impl Fn(&BTreeSet<String>) -> bool,
    ) -> bool {
        if !vote.is_granted {
            if self.held_term(now).is_none() {
                self.term = self.term.max(vote.term);
            }
            return false;
        }
        // Invariant: votes are counted within one epoch. A vote for a request of an earlier epoch may come from a
        // replica that does not belong to the current replica sets.
        if vote.request_id != self.request_id || epoch != self.epoch {
            return false;
        }
        let (election, held) = match &mut self.state {
            CandidateState::Requesting(election) => (election, None),
            // If the votes on a renewal arrive after the lease has ended, the lease counts as newly won, and its holder
            // has to recover again.
            CandidateState::Holding { term, until, renewal: Some(election) } => {
                (election, (now < *until).then_some((*term, *until)))
            }
            CandidateState::Idle | CandidateState::Waiting | CandidateState::Holding { .. } => return false,
        };
        election.votes.insert(voter.to_owned());
        // An earlier incarnation may have used a higher term, and terms must never decrease.
        self.term = self.term.max(vote.term);
        if !is_quorum(&election.votes) {
            return false;
        }
        let until = election.started_at + LEASE_DURATION - SAFETY_MARGIN;
        let (term, until) =
            held.map_or((self.term, until), |(term, held_until)| (term, held_until.max(until)));
        self.state = CandidateState::Holding { term, until, renewal: None };
        held.is_none() && now < until
    }

    /// Returns the request that releases the lease, if it is held.
    pub fn release(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        self.held_term(now)?;
        self.state = CandidateState::Idle;
        Some(self.request(true))
    }
}
