//! A model of replicas that vote and request leases while the replica set is changed repeatedly by joint consensus, under a
//! random schedule of delayed, lost and duplicated messages, partitions, pauses, restarts and lost disks. All times are in
//! milliseconds.

use super::{at, ROLE};
use kitepass_coordination::lease::{LeaseCandidate, LeaseVoter};
use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaSet};
use kitepass_coordination::protocol::{LeaseRequest, LeaseVote};
use kitepass_time::Duration;
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 6;
/// The simulated time between two steps.
const STEP_MS: i64 = 50;
/// How often the set of cut links changes.
const PARTITION_INTERVAL_MS: i64 = 3_000;

/// The last vote of a voter, with the version of the newest replica set that the voter knew of when it voted.
#[derive(Clone, Default)]
struct RecordedVote {
    candidate: String,
    version: u64,
}

/// The data on the disk of a process.
#[derive(Default)]
struct Disk {
    /// The epoch according to the committed replica sets that the process knows of; 0 if it knows of none.
    known_epoch: u64,
    /// The version of the newest replica set that the process has accepted as the incoming one.
    accepted_incoming: u64,
    /// The version of the newest replica set that the process has accepted as the current one.
    accepted_current: u64,
    vote: RecordedVote,
}

struct Process {
    replica: Replica,
    voter: LeaseVoter,
    candidate: LeaseCandidate,
    paused_until: i64,
    /// The average number of steps until the process learns of committed replica sets.
    learn_interval: u64,
    disk: Disk,
}

struct RequestInFlight {
    due: i64,
    candidate: String,
    from: usize,
    to: usize,
    request: LeaseRequest,
}

struct VoteInFlight {
    due: i64,
    voter: String,
    to: usize,
    vote: LeaseVote,
}

pub(super) struct Model {
    rng: oorandom::Rand64,
    now: i64,
    /// All replica sets so far, by version.
    replica_sets: Vec<ReplicaSet>,
    /// The committed epoch.
    epoch: u64,
    processes: Vec<Process>,
    requests: Vec<RequestInFlight>,
    votes: Vec<VoteInFlight>,
    /// The average number of steps until a change of the replica set starts.
    change_interval: u64,
    /// The average number of steps until a replica accepts the change.
    accept_interval: u64,
    /// The links that currently drop all messages, as sender and receiver.
    cut_links: BTreeSet<(usize, usize)>,
    counts: BTreeMap<&'static str, u64>,
}

impl Model {
    pub(super) fn new(seed: u64) -> Model {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        let replica =
            |n: usize| Replica { node_id: format!("s{n}"), replica_id: n as u64 + 1, ..Replica::default() };
        let replicas: Vec<Replica> = (0..rng.rand_range(3..6) as usize).map(replica).collect();
        let new_process = |n: usize| Process {
            replica: replica(n),
            voter: LeaseVoter::new(at(0), n < replicas.len(), BTreeMap::new(), None),
            candidate: LeaseCandidate::new(ROLE, rng.rand_u64()),
            paused_until: 0,
            learn_interval: [4, 8, 40, 200][rng.rand_range(0..4) as usize],
            disk: Disk { known_epoch: 2, accepted_incoming: 1, accepted_current: 1, ..Disk::default() },
        };
        let processes = (0..NODES).map(new_process).collect();
        let change_interval = 60 + rng.rand_range(0..240);
        let accept_interval = 2 + rng.rand_range(0..20);
        Model {
            rng,
            now: 0,
            replica_sets: vec![ReplicaSet::default(), ReplicaSet { replicas, version: 1 }],
            epoch: 2,
            processes,
            requests: Vec::new(),
            votes: Vec::new(),
            change_interval,
            accept_interval,
            cut_links: BTreeSet::new(),
            counts: BTreeMap::new(),
        }
    }

    /// How often each kind of event has happened.
    pub(super) fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Runs until a point in time. If two processes hold the lease at the same time, stops and returns that time.
    pub(super) fn run(&mut self, until: i64) -> Option<i64> {
        while self.now < until {
            self.now += STEP_MS;
            if self.now % PARTITION_INTERVAL_MS == 0 {
                self.draw_partition();
            }
            let epoch = self.epoch;
            self.change_replica_set();
            if epoch != self.epoch {
                self.restart_at_random();
            }
            for n in 0..NODES {
                self.inject_fault(n);
                if self.processes[n].paused_until <= self.now {
                    self.tick(n);
                }
            }
            self.deliver_requests();
            self.deliver_votes();
            let holders = self.count_holders();
            *self.counts.entry("held").or_default() += holders as u64;
            self.count_event("looks");
            if holders > 1 {
                return Some(self.now);
            }
        }
        None
    }

    fn count_holders(&self) -> usize {
        let is_holder = |process: &&Process| process.candidate.held_term(at(self.now)).is_some();
        self.processes.iter().filter(is_holder).count()
    }

    fn count_event(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn one_in(&mut self, times: u64) -> bool {
        self.rng.rand_range(0..times) == 0
    }

    /// The replica sets whose quorums are required in an epoch.
    fn replica_sets_in(&self, epoch: u64) -> JointReplicaSets {
        let version = epoch as usize / 2;
        let incoming = (epoch % 2 == 1).then(|| self.replica_sets[version + 1].clone());
        JointReplicaSets { current: self.replica_sets[version].clone(), incoming }
    }

    fn draw_partition(&mut self) {
        let odds = self.rng.rand_range(2..8);
        let links = (0..NODES).flat_map(|from| (0..NODES).map(move |to| (from, to)));
        let is_cut = |(from, to): &(usize, usize)| from != to && self.rng.rand_range(0..odds) == 0;
        self.cut_links = links.filter(is_cut).collect();
    }

    /// Changes the replica set in two phases, as consensus does. The next set consists of arbitrary replicas, which covers
    /// more changes than production code makes.
    fn change_replica_set(&mut self) {
        let version = self.epoch / 2 + 1;
        let is_unchanging = self.epoch.is_multiple_of(2) && self.replica_sets.len() as u64 == version;
        if is_unchanging && self.one_in(self.change_interval) {
            self.draw_replica_set(version);
        }
        if self.replica_sets.len() as u64 == version {
            return;
        }
        self.accept_change(version);
        let is_in_force = self.epoch % 2 == 1;
        let has_accepted = |process: &&Process| {
            version
                == if is_in_force { process.disk.accepted_current } else { process.disk.accepted_incoming }
        };
        let accepted: BTreeSet<String> =
            self.processes.iter().filter(has_accepted).map(|process| process.replica.name()).collect();
        let current = &self.replica_sets[self.epoch as usize / 2];
        let incoming = &self.replica_sets[version as usize];
        if current.is_write_quorum(&accepted) && incoming.is_write_quorum(&accepted) {
            self.epoch += 1;
            self.count_event("epochs");
        }
    }

    fn draw_replica_set(&mut self, version: u64) {
        let mut replicas: Vec<Replica> =
            self.processes.iter().map(|process| process.replica.clone()).collect();
        let size = self.rng.rand_range(3..6) as usize;
        while replicas.len() > size {
            let removed = self.rng.rand_range(0..replicas.len() as u64) as usize;
            replicas.remove(removed);
        }
        self.replica_sets.push(ReplicaSet { replicas, version });
    }

    fn accept_change(&mut self, version: u64) {
        for n in 0..NODES {
            if self.processes[n].paused_until > self.now || !self.one_in(self.accept_interval) {
                continue;
            }
            let disk = &mut self.processes[n].disk;
            if self.epoch.is_multiple_of(2) {
                disk.accepted_incoming = version;
            } else {
                // Before it accepts, a replica fetches everything committed, including the incoming replica set.
                disk.known_epoch = disk.known_epoch.max(self.epoch);
                disk.accepted_current = version;
            }
        }
    }

    /// Restarts each process with some probability. Called right after a change, when restarts are most likely to reveal
    /// faults.
    fn restart_at_random(&mut self) {
        for n in 0..NODES {
            if self.one_in(8) {
                self.restart(n);
            }
        }
    }

    fn inject_fault(&mut self, n: usize) {
        match self.rng.rand_range(0..1_500) {
            0..4 => self.processes[n].paused_until = self.now + self.rng.rand_range(0..4_000) as i64,
            4..12 => {
                self.count_event("restarts");
                self.restart(n);
            }
            12..14 if self.may_lose_disk(n) => {
                self.count_event("lost disks");
                let process = &mut self.processes[n];
                process.replica.replica_id = self.rng.rand_u64();
                process.disk = Disk::default();
                self.restart(n);
            }
            _ => {}
        }
    }

    /// Whether the process may lose its disk now: only one disk may be lost at a time, so all replicas of other nodes that
    /// have lost theirs must have been replaced.
    fn may_lose_disk(&self, n: usize) -> bool {
        let exists = |replica: &Replica| self.processes.iter().any(|process| process.replica == *replica);
        let is_same_node = |replica: &Replica| replica.node_id == self.processes[n].replica.node_id;
        let are_replaced = |replica_set: &ReplicaSet| {
            replica_set.replicas.iter().all(|replica| exists(replica) || is_same_node(replica))
        };
        let version = self.epoch as usize / 2;
        [version, version + 1].iter().all(|version| self.replica_sets.get(*version).is_none_or(are_replaced))
    }

    fn restart(&mut self, n: usize) {
        let disk = &self.processes[n].disk;
        let newest = (disk.known_epoch > 0).then(|| self.replica_sets_in(disk.known_epoch).newest().clone());
        let is_vote_current = newest.as_ref().is_some_and(|newest| newest.version == disk.vote.version);
        let persisted_vote = is_vote_current.then(|| (ROLE.to_owned(), disk.vote.candidate.clone()));
        let process = &mut self.processes[n];
        process.voter = LeaseVoter::new(at(self.now), false, persisted_vote.into_iter().collect(), newest);
        process.candidate = LeaseCandidate::new(ROLE, self.rng.rand_u64());
    }

    fn tick(&mut self, n: usize) {
        self.learn_committed_epoch(n);
        let (now, epoch) = (at(self.now), self.processes[n].disk.known_epoch);
        if epoch == 0 {
            return;
        }
        let name = self.processes[n].replica.name();
        let replica_sets = self.replica_sets_in(epoch);
        self.processes[n].voter.observe_replica_set(now, replica_sets.newest());
        if !replica_sets.current.contains(&name) {
            return;
        }
        let holder = self.processes[n].voter.holder(now, ROLE);
        let is_free = holder.is_none_or(|holder| holder == name) || self.one_in(6);
        let delay = Duration::from_micros(self.rng.rand_range(0..400_000) as i64);
        let request = self.processes[n].candidate.tick(now, is_free, delay, epoch);
        if let Some(request) = request {
            self.send_request(n, &name, &request);
        }
    }

    fn learn_committed_epoch(&mut self, n: usize) {
        let known = self.processes[n].disk.known_epoch;
        if known < self.epoch && self.one_in(self.processes[n].learn_interval) {
            let behind = self.rng.rand_range(0..(self.epoch - known).min(3));
            self.processes[n].disk.known_epoch = self.epoch - behind;
        }
    }

    /// Sends a request to all processes; each message is lost, delivered once or delivered twice.
    fn send_request(&mut self, from: usize, candidate: &str, request: &LeaseRequest) {
        for to in 0..NODES {
            let is_cut = self.cut_links.contains(&(from, to));
            let times = if is_cut { 0 } else { self.rng.rand_range(0..5).min(2) };
            for _ in 0..times {
                let due = self.now + self.rng.rand_range(0..300) as i64;
                let (candidate, request) = (candidate.to_owned(), request.clone());
                self.requests.push(RequestInFlight { due, candidate, from, to, request });
            }
        }
    }

    fn deliver_requests(&mut self) {
        let (now, processes) = (self.now, &self.processes);
        let is_due = |m: &mut RequestInFlight| m.due <= now && processes[m.to].paused_until <= now;
        let due: Vec<RequestInFlight> = self.requests.extract_if(.., is_due).collect();
        for RequestInFlight { candidate, from, to, request, .. } in due {
            let vote = self.vote(to, &candidate, &request);
            let due = self.now + self.rng.rand_range(0..400) as i64;
            let voter = self.processes[to].replica.name();
            if !self.cut_links.contains(&(to, from)) {
                self.votes.push(VoteInFlight { due, voter, to: from, vote });
            }
        }
    }

    fn vote(&mut self, n: usize, candidate: &str, request: &LeaseRequest) -> LeaseVote {
        let now = at(self.now);
        let Disk { known_epoch, accepted_incoming, .. } = self.processes[n].disk;
        let replica_sets = (known_epoch > 0).then(|| self.replica_sets_in(known_epoch));
        let process = &mut self.processes[n];
        if let Some(replica_sets) = &replica_sets {
            process.voter.observe_replica_set(now, replica_sets.newest());
        }
        // A replica is also fenced by an incoming replica set that it has accepted but does not know to be committed.
        let is_fenced = accepted_incoming > known_epoch / 2;
        let accepted_epoch = if is_fenced { accepted_incoming * 2 - 1 } else { 0 };
        let mut vote = process.voter.vote(now, candidate, request, known_epoch.max(accepted_epoch));
        let name = process.replica.name();
        vote.is_granted &= replica_sets.as_ref().is_some_and(|sets| sets.contains(&name));
        if vote.is_granted {
            let version = replica_sets.map_or(0, |sets| sets.newest().version);
            process.disk.vote = RecordedVote { candidate: candidate.to_owned(), version };
        }
        vote
    }

    fn deliver_votes(&mut self) {
        let (now, processes) = (self.now, &self.processes);
        let is_due = |m: &mut VoteInFlight| m.due <= now && processes[m.to].paused_until <= now;
        let due: Vec<VoteInFlight> = self.votes.extract_if(.., is_due).collect();
        for VoteInFlight { voter, to, vote, .. } in due {
            let epoch = self.processes[to].disk.known_epoch;
            if epoch == 0 {
                continue;
            }
            let replica_sets = self.replica_sets_in(epoch);
            if !replica_sets.contains(&voter) {
                continue;
            }
            let is_quorum = |votes: &BTreeSet<String>| replica_sets.is_lease_quorum(votes);
            let candidate = &mut self.processes[to].candidate;
            if candidate.receive_vote(at(now), &voter, &vote, epoch, is_quorum) {
                self.count_event("won");
            }
        }
    }
}
