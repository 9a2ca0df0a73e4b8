//! The candidate's side: how a lease is asked for, renewed and released.

use super::{LEASE_DURATION, RENEWAL_INTERVAL, SAFETY_MARGIN};
use crate::protocol::{LeaseRequest, LeaseVote};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// The request under way, and who has voted for it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Election {
    asked_at: Timestamp,
    votes: BTreeSet<String>,
}

impl Election {
    fn new(asked_at: Timestamp) -> Election {
        Election { asked_at, votes: BTreeSet::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum CandidateState {
    Idle,
    /// It will ask after a random delay, if the role is still free by then.
    Waiting,
    /// It has asked.
    Requesting(Election),
    /// It has the lease until a moment, and may have asked for its renewal.
    Holding {
        /// The term under which it won the lease.
        ///
        /// Invariant: it stays for as long as the lease is held. Rivals ask under higher terms meanwhile, which votes for the
        /// renewal tell; a holder that took such a term over would no longer act under the one that it has recovered for.
        term: u64,
        until: Timestamp,
        renewal: Option<Election>,
    },
}

/// One process that wants the lease of a role.
pub struct LeaseCandidate {
    role: String,
    term: u64,
    request_id: u64,
    /// The epoch of the request under way, or of the last one.
    epoch: u64,
    state: CandidateState,
    next_action_at: Timestamp,
}

impl LeaseCandidate {
    /// `request_id` is drawn at random: a vote for an earlier incarnation must not be taken for one for this one.
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

    /// The term under which the process holds the lease now.
    pub fn held_term(&self, now: Timestamp) -> Option<u64> {
        match self.state {
            CandidateState::Holding { term, until, .. } if now < until => Some(term),
            _ => None,
        }
    }

    /// What to send to all replicas now, if anything.
    ///
    /// `is_free` tells whether the process' own voter takes the role to be free. `delay` is drawn by the caller:
    /// candidates that collide retry at different moments. `epoch` is the current one.
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
            // Candidates that ask together split the votes, and each vote would bind for a whole lease duration. So they
            // ask at random moments, and a request that fell short is taken back.
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

    /// Takes a vote; true if the lease is held from now on and was not before.
    ///
    /// `voter` is the voter's replica, `epoch` the current one, and `is_quorum` tells whether votes are enough in it.
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
        // Invariant: votes are counted within one epoch. Those for a request of an earlier one may be of replicas that
        // the replica sets of this one do not count on.
        if vote.request_id != self.request_id || epoch != self.epoch {
            return false;
        }
        let (election, held) = match &mut self.state {
            CandidateState::Requesting(election) => (election, None),
            // A renewal whose votes are late may come to a lease that has ended: then the lease is won anew, and its holder
            // has to recover again.
            CandidateState::Holding { term, until, renewal: Some(election) } => {
                (election, (now < *until).then_some((*term, *until)))
            }
            CandidateState::Idle | CandidateState::Waiting | CandidateState::Holding { .. } => return false,
        };
        election.votes.insert(voter.to_owned());
        // An earlier incarnation may have had a higher term: terms do not fall.
        self.term = self.term.max(vote.term);
        if !is_quorum(&election.votes) {
            return false;
        }
        let until = election.asked_at + LEASE_DURATION - SAFETY_MARGIN;
        let (term, until) =
            held.map_or((self.term, until), |(term, held_until)| (term, held_until.max(until)));
        self.state = CandidateState::Holding { term, until, renewal: None };
        held.is_none() && now < until
    }

    /// The request that releases the lease, if it is held.
    pub fn release(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        self.held_term(now)?;
        self.state = CandidateState::Idle;
        Some(self.request(true))
    }
}
