//! Voters and candidates within one replica set. Changes of the replica set are tested in `tests/lease`.

use super::*;
use crate::protocol::{LeaseRequest, LeaseVote};
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const ROLE: &str = "coordinator";
const REPLICAS: usize = 6;
/// The simulated time between two steps, in milliseconds.
const STEP: i64 = 20;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn is_majority_of_six(votes: &BTreeSet<String>) -> bool {
    votes.len() >= 4
}

fn is_any(votes: &BTreeSet<String>) -> bool {
    !votes.is_empty()
}

fn new_voters() -> Vec<LeaseVoter> {
    (0..REPLICAS).map(|_| LeaseVoter::new(at(0), true, BTreeMap::new(), None)).collect()
}

/// A message in flight; times in milliseconds.
struct InFlight<M> {
    due: i64,
    from: usize,
    to: usize,
    message: M,
}

/// Six processes, each a voter and a candidate, under a random schedule of delayed, lost and duplicated messages,
/// pauses and restarts.
struct Model {
    rng: oorandom::Rand64,
    now: i64,
    voters: Vec<LeaseVoter>,
    candidates: Vec<LeaseCandidate>,
    /// The last vote of each voter by role, as on disk.
    persisted: Vec<BTreeMap<String, String>>,
    paused_until: [i64; REPLICAS],
    requests: VecDeque<InFlight<LeaseRequest>>,
    votes: VecDeque<InFlight<LeaseVote>>,
}

impl Model {
    fn new(seed: u128) -> Model {
        Model {
            rng: oorandom::Rand64::new(seed),
            now: 0,
            voters: new_voters(),
            candidates: (0..REPLICAS).map(|_| LeaseCandidate::new(ROLE, 0)).collect(),
            persisted: vec![BTreeMap::new(); REPLICAS],
            paused_until: [0; REPLICAS],
            requests: VecDeque::new(),
            votes: VecDeque::new(),
        }
    }

    fn step(&mut self) {
        for replica in 0..REPLICAS {
            self.disturb(replica);
            if self.paused_until[replica] <= self.now {
                self.tick(replica);
            }
        }
        self.deliver_requests();
        self.deliver_votes();
    }

    fn disturb(&mut self, replica: usize) {
        let now = at(self.now);
        match self.rng.rand_range(0..12_000) {
            0 => self.paused_until[replica] = self.now + self.rng.rand_range(0..4_000) as i64,
            1 => {
                let persisted_votes = self.persisted[replica].clone();
                self.voters[replica] = LeaseVoter::new(now, false, persisted_votes, None);
            }
            2 => self.candidates[replica] = LeaseCandidate::new(ROLE, self.rng.rand_u64()),
            _ => {}
        }
    }

    fn tick(&mut self, replica: usize) {
        let now = at(self.now);
        let delay = Duration::from_micros(self.rng.rand_range(0..400_000) as i64);
        let holder = self.voters[replica].holder(now, ROLE);
        let is_free = holder.is_none_or(|holder| holder == replica.to_string());
        let Some(request) = self.candidates[replica].tick(now, is_free, delay, 0) else { return };
        for to in 0..REPLICAS {
            for _ in 0..self.rng.rand_range(0..4).min(2) {
                let due = self.now + self.rng.rand_range(0..200) as i64;
                self.requests.push_back(InFlight { due, from: replica, to, message: request.clone() });
            }
        }
    }

    fn deliver_requests(&mut self) {
        for _ in 0..self.requests.len() {
            let Some(request) = self.requests.pop_front() else { break };
            if request.due > self.now || self.paused_until[request.to] > self.now {
                self.requests.push_back(request);
                continue;
            }
            let InFlight { from, to, message, .. } = request;
            let vote = self.voters[to].vote(at(self.now), &from.to_string(), &message, 0);
            if vote.is_granted {
                self.persisted[to].insert(ROLE.into(), from.to_string());
            }
            let due = self.now + self.rng.rand_range(0..300) as i64;
            self.votes.push_back(InFlight { due, from: to, to: from, message: vote });
        }
    }

    fn deliver_votes(&mut self) {
        for _ in 0..self.votes.len() {
            let Some(vote) = self.votes.pop_front() else { break };
            if vote.due > self.now || self.paused_until[vote.to] > self.now {
                self.votes.push_back(vote);
                continue;
            }
            let (now, voter) = (at(self.now), vote.from.to_string());
            self.candidates[vote.to].receive_vote(now, &voter, &vote.message, 0, is_majority_of_six);
        }
    }

    /// The terms of all candidates that hold the lease.
    fn held_terms(&self) -> Vec<u64> {
        self.candidates.iter().filter_map(|candidate| candidate.held_term(at(self.now))).collect()
    }
}

/// At most one candidate holds the lease at any time, and terms never decrease.
#[test]
fn at_most_one_candidate_holds_the_lease() {
    let mut held = 0;
    for seed in 0..200 {
        let mut model = Model::new(seed);
        let mut last_term = 0;
        for now in (0..20_000).step_by(STEP as usize) {
            model.now = now;
            model.step();
            let terms = model.held_terms();
            assert!(terms.len() <= 1, "seed {seed} at {now}: {terms:?}");
            for term in terms {
                assert!(term >= last_term, "seed {seed} at {now}: term {term} after {last_term}");
                last_term = term;
                held += 1;
            }
        }
    }
    assert!(
        held > 60_000,
        "the lease was held in only {held} of 200,000 steps, too few for the test to be meaningful"
    );
}

/// Voters that first voted for a competing candidate grant the holder's renewals once that candidate has withdrawn.
/// After a restart, a voter votes only for the candidate that it voted for before, and does so at once.
#[test]
fn all_voters_grant_renewals_and_a_restarted_voter_keeps_its_vote() {
    let mut voters = new_voters();
    let (mut one, mut two) = (LeaseCandidate::new("d", 0), LeaseCandidate::new("d", 0));
    let request =
        |candidate: &mut LeaseCandidate, millis| candidate.tick(at(millis), true, Duration::ZERO, 0);
    let (_, _) = (request(&mut one, 0), request(&mut two, 0));
    let (request_of_one, request_of_two) = (request(&mut one, 0).unwrap(), request(&mut two, 0).unwrap());
    for (n, voter) in voters.iter_mut().enumerate() {
        let (name, request, candidate) = match n {
            0..4 => ("one", &request_of_one, &mut one),
            _ => ("two", &request_of_two, &mut two),
        };
        let vote = voter.vote(at(1), name, request, 0);
        candidate.receive_vote(at(1), &n.to_string(), &vote, 0, is_majority_of_six);
    }
    assert!(one.held_term(at(1)).is_some());
    let (release, renewal) = (request(&mut two, 600).unwrap(), request(&mut one, 600).unwrap());
    assert!(release.is_release && renewal.is_renewal);
    for voter in &mut voters {
        voter.vote(at(600), "two", &release, 0);
        assert!(voter.vote(at(601), "one", &renewal, 0).is_granted);
    }
    let mut restarted = LeaseVoter::new(at(700), false, [("d".into(), "one".into())].into(), None);
    assert!(!restarted.vote(at(701), "two", &LeaseRequest { term: 9, ..renewal.clone() }, 0).is_granted);
    assert!(restarted.vote(at(702), "one", &renewal, 0).is_granted);
}

#[test]
fn a_released_lease_is_free_immediately() {
    let now = Timestamp::from_micros(1);
    let mut voter = LeaseVoter::new(now, true, BTreeMap::new(), None);
    let (mut one, mut two) = (LeaseCandidate::new("d", 0), LeaseCandidate::new("d", 0));
    assert_eq!(one.tick(now, true, Duration::ZERO, 0), None);
    let request = one.tick(now, true, Duration::ZERO, 0).unwrap();
    assert!(one.receive_vote(now, "v", &voter.vote(now, "one", &request, 0), 0, is_any));
    assert_eq!(two.tick(now, true, Duration::ZERO, 0), None);
    let request = two.tick(now, true, Duration::ZERO, 0).unwrap();
    let refusal = voter.vote(now, "two", &request, 0);
    assert!(!refusal.is_granted && refusal.holder == "one");
    two.receive_vote(now, "v", &refusal, 0, is_any);
    voter.vote(now, "one", &one.release(now).unwrap(), 0);
    let later = now + RENEWAL_INTERVAL + RENEWAL_INTERVAL;
    assert!(two.tick(later, true, Duration::ZERO, 0).unwrap().is_release);
    assert_eq!(two.tick(later, true, Duration::ZERO, 0), None);
    let request = two.tick(later, true, Duration::ZERO, 0).unwrap();
    assert!(
        two.receive_vote(later, "v", &voter.vote(later, "two", &request, 0), 0, is_any)
            && one.held_term(later).is_none()
    );
}

/// A coordinator recovers for the term that it won. If a late vote on its winning request or on a renewal raised that
/// term, it would hold the lease without ever acting on it.
#[test]
fn the_term_of_a_held_lease_does_not_change() {
    let mut candidate = LeaseCandidate::new(ROLE, 0);
    let vote = |request: &LeaseRequest, term| LeaseVote {
        role: ROLE.to_owned(),
        request_id: request.request_id,
        is_granted: true,
        term,
        epoch: 1,
        ..LeaseVote::default()
    };
    let request_after = |from: i64, candidate: &mut LeaseCandidate| {
        (from..from + 5_000)
            .step_by(STEP as usize)
            .find_map(|now| Some((now, candidate.tick(at(now), true, Duration::from_micros(100_000), 1)?)))
            .expect("the candidate sends a request")
    };
    let (now, request) = request_after(0, &mut candidate);
    assert!(candidate.receive_vote(at(now), "s1", &vote(&request, 1), 1, is_any));
    assert_eq!(candidate.held_term(at(now)), Some(1));
    let (now, renewal) = request_after(now + STEP, &mut candidate);
    assert!(renewal.is_renewal);
    assert!(!candidate.receive_vote(at(now), "s2", &vote(&renewal, 4), 1, is_any));
    assert_eq!(candidate.held_term(at(now)), Some(1), "another candidate has used term 4");
    // The next lease is won under a higher term than any reported one.
    let later = now + 10_000;
    let (now, request) = request_after(later, &mut candidate);
    assert!(request.term > 4 && !request.is_renewal, "{request:?}");
    assert!(candidate.receive_vote(at(now), "s1", &vote(&request, request.term), 1, is_any));
    assert_eq!(candidate.held_term(at(now)), Some(request.term));
}

/// A holder steps down when its lease ends. If late votes silently extended an expired lease, the holder would not be
/// told that it holds the lease again, and would renew it forever without acting on it.
#[test]
fn a_renewal_granted_after_the_lease_ended_wins_a_new_lease() {
    let mut candidate = LeaseCandidate::new(ROLE, 0);
    let mut now = 0;
    let mut next_request = |candidate: &mut LeaseCandidate| loop {
        now += STEP;
        if let Some(request) = candidate.tick(at(now), true, Duration::from_micros(100_000), 1) {
            return (now, request);
        }
    };
    let vote = |request: &LeaseRequest| LeaseVote {
        role: ROLE.to_owned(),
        request_id: request.request_id,
        is_granted: true,
        term: request.term,
        epoch: 1,
        ..LeaseVote::default()
    };
    let (won_at, request) = next_request(&mut candidate);
    assert!(candidate.receive_vote(at(won_at), "s1", &vote(&request), 1, is_any));
    // The last renewal requested before the lease ends.
    let end = won_at + 1_700;
    let (mut requested_at, mut renewal) = next_request(&mut candidate);
    while requested_at + 700 < end {
        (requested_at, renewal) = next_request(&mut candidate);
    }
    assert!(candidate.held_term(at(end - 1)).is_some());
    assert_eq!(candidate.held_term(at(end)), None, "the lease has ended, and tick has not been called since");
    assert!(candidate.receive_vote(at(end + 10), "s1", &vote(&renewal), 1, is_any), "a new lease is won");
    assert!(candidate.held_term(at(end + 10)).is_some());
}
