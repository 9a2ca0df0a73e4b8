//! The register whole: seats with the acceptor that ships, proposers that go by the weighing that ships, a network
//! that loses, delays and reorders, seats that start again, one change of the cast. `stateright` explores all of a
//! small one; long drawn walks go through larger ones.
//!
//! A proposer that dies is one that takes no further step: its words still arrive, or do not.

// Each that plays this plays a part of it.
#![allow(dead_code)]

use kitepass_config::{Item, ItemStore, Kind, VersionStatus};
use kitepass_coordination::consensus::*;
use kitepass_coordination::membership::{Replica, ReplicaSet};
use stateright::{Checker, Model, Property};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::ops::Range;

/// Sets of seats and of calls, by bits.
type Set = u32;

pub type Weigh = fn(&Proposal, &ObservedProposals, &ItemStore) -> ProposalStatus;

/// The defences of a change of the cast that are not the register's own, for tests that take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// Before the next cast is in force, all that is accepted anywhere is resolved.
    Reading,
    /// Copies of what puts it in force count only from seats that hold all that is decided.
    Holding,
    /// Who knows of the next cast takes nothing of the era before.
    Fence,
}

/// What is played, and its bounds.
pub struct Setup {
    calls: Vec<Proposal>,
    /// The calls whose content clashes with each one's.
    clashes: Vec<Set>,
    /// By the set of decided calls.
    ledgers: Vec<ItemStore>,
    /// Which sets of seats read, and keep, by era.
    reads: Vec<Vec<bool>>,
    keeps: Vec<Vec<bool>>,
    replicas: usize,
    goals: Vec<usize>,
    /// The calls that bring the next cast in, and make it the one in force.
    next: Option<usize>,
    now: Option<usize>,
    /// Each call's content is invalid once one of these is decided.
    spoils: Vec<Set>,
    attempts: u8,
    restarts: u8,
    /// Answers to `AcceptRequest` that may be lost.
    lost: u8,
    /// Seats that are in the same casts are alike.
    alike: Vec<Set>,
    out: Option<Handover>,
    /// Of so many states one is tried for whether a newcomer, alone, brings all calls to an end.
    solo: u64,
    mint: fn() -> Acceptor,
    weigh: Weigh,
}

fn item(name: &str, version: u64, value: &str) -> Item {
    Item { kind: Kind::Service, name: name.into(), version, value: Some(value.to_owned().into()) }
}

/// `a1 b2` says `1` of version 1 of `a`, and `2` of `b`; `a1.3` says `1` of version 3.
fn call(text: &str) -> Proposal {
    let items = text.split(' ').map(|message| {
        item(&message[..1], message.get(3..).and_then(|n| n.parse().ok()).unwrap_or(1), &message[1..2])
    });
    Proposal::new(items.collect())
}

fn replica_set(replicas: &[usize]) -> ReplicaSet {
    let replica = |n: &usize| Replica { node_id: format!("s{n}"), zone: "d".into(), ..Replica::default() };
    ReplicaSet { replicas: replicas.iter().map(replica).collect(), version: 1 }
}

impl Setup {
    /// Each proposer wants one of the calls, by its place. With two casts, one more brings the second in.
    fn new(calls: &[&str], goals: &[usize], replica_sets: &[&[usize]]) -> Setup {
        let mut calls: Vec<Proposal> = calls.iter().map(|text| call(text)).collect();
        let mut goals = goals.to_vec();
        let (mut next, mut now) = (None, None);
        if replica_sets.len() > 1 {
            let of = |name: &str| Item { kind: Kind::ReplicaSet, ..item(name, 2, "cast") };
            (next, now) = (Some(calls.len()), Some(calls.len() + 1));
            calls.extend([Proposal::new(vec![of("next")]), Proposal::new(vec![of("now")])]);
            goals.push(calls.len() - 1);
        }
        let clash = |a: &Proposal, b: &Proposal| {
            a.items().iter().any(|i| b.items().iter().any(|j| key(i) == key(j) && i != j))
        };
        let clashes = calls
            .iter()
            .map(|a| (0..calls.len()).filter(|n| clash(a, &calls[*n])).fold(0, |set, n| set | 1 << n));
        let ledgers = (0..1u32 << calls.len()).map(|set| {
            let mut item_store = ItemStore::new();
            for (_, call) in calls.iter().enumerate().filter(|(n, _)| set >> n & 1 == 1) {
                call.items().iter().for_each(|item| _ = item_store.merge(item.clone()));
            }
            item_store
        });
        let spoils = vec![0; calls.len()];
        let replicas = replica_sets.iter().flat_map(|replica_set| replica_set.iter()).max().unwrap() + 1;
        let alike = (0..replicas).map(|replica| {
            replica_sets
                .iter()
                .enumerate()
                .filter(|(_, replica_set)| replica_set.contains(&replica))
                .fold(0, |set, (n, _)| set | 1 << n)
        });
        let alike = alike.collect();
        let replica_sets: Vec<ReplicaSet> =
            replica_sets.iter().map(|replicas| replica_set(replicas)).collect();
        // In the odd era between two casts, both.
        let eras: Vec<&[ReplicaSet]> = match &replica_sets[..] {
            [only] => vec![std::slice::from_ref(only)],
            both => vec![&both[..1], both, &both[1..]],
        };
        let table = |is: &dyn Fn(&ReplicaSet, &BTreeSet<String>) -> bool| {
            let row = |replica_sets: &&[ReplicaSet]| {
                let names =
                    |set: u32| (0..replicas).filter(|n| set >> n & 1 == 1).map(|n| format!("s{n}")).collect();
                (0..1u32 << replicas)
                    .map(|set| replica_sets.iter().all(|replica_set| is(replica_set, &names(set))))
                    .collect()
            };
            eras.iter().map(row).collect()
        };
        Setup {
            reads: table(&ReplicaSet::is_read_quorum),
            keeps: table(&ReplicaSet::is_write_quorum),
            clashes: clashes.collect(),
            ledgers: ledgers.collect(),
            calls,
            replicas,
            goals,
            next,
            now,
            spoils,
            attempts: 2,
            restarts: 0,
            lost: 0,
            alike,
            out: None,
            solo: 1,
            mint: Acceptor::new,
            weigh: proposal_status,
        }
    }

    /// Attempts of each proposer, restarts of seats, lost answers, and of how many states one is tried for being
    /// resolvable.
    pub fn bounds(self, attempts: u8, restarts: u8, lost: u8, solo: u64) -> Setup {
        Setup { attempts, restarts, lost, solo, ..self }
    }

    /// With another acceptor and weighing, for tests that take a defence out.
    pub fn by(self, mint: fn() -> Acceptor, weigh: Weigh) -> Setup {
        Setup { mint, weigh, ..self }
    }

    /// The first call is invalid once the second is decided.
    fn with_a_spoiler(mut self) -> Setup {
        self.spoils[0] = 1 << 1;
        self
    }

    /// Without a defence of the change of the cast.
    pub fn without(self, out: Handover) -> Setup {
        Setup { out: Some(out), ..self }
    }

    fn place(&self, proposal_id: ProposalId) -> usize {
        self.calls.iter().position(|call| call.proposal_id() == proposal_id).expect("a call of the setup")
    }

    fn item_store(&self, known: Set) -> &ItemStore {
        &self.ledgers[known as usize]
    }

    /// The era of one that knows these calls to be decided, and has heard of these.
    fn epoch(&self, known: Set, heard: Set) -> u64 {
        let has = |set: Set, call: Option<usize>| call.is_some_and(|n| set >> n & 1 == 1);
        match () {
            () if has(known, self.now) => 2,
            () if has(known | heard, self.next) => 1,
            () => 0,
        }
    }

    fn is_read(&self, epoch: u64, set: Set) -> bool {
        self.reads[epoch as usize][set as usize]
    }

    fn is_safe(&self, epoch: u64, set: Set) -> bool {
        self.keeps[epoch as usize][set as usize]
    }

    fn bits(&self, set: Set) -> impl Iterator<Item = usize> {
        (0..self.calls.len()).filter(move |n| set >> n & 1 == 1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Station {
    acceptor: Acceptor,
    known: Set,
    disk: BTreeMap<Vec<u8>, Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Reading {
        ballot: Ballot,
        heard: Set,
    },
    Storing {
        ballot: Ballot,
        stored: Set,
    },
    Denying {
        ballot: Ballot,
        stored: Set,
    },
    Done,
    Taken,
    /// Refused for its content.
    Denied,
    /// Its attempts are spent.
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposer {
    who: u64,
    goal: usize,
    target: usize,
    left: u8,
    met: Ballot,
    known: Set,
    seen: BTreeMap<usize, Ballot>,
    denied: BTreeMap<usize, Ballot>,
    step: Step,
}

impl Proposer {
    /// Whether it waits for copies under this ballot.
    fn awaits(&self, under: Ballot) -> bool {
        matches!(self.step, Step::Storing { ballot, .. } | Step::Denying { ballot, .. } if ballot == under)
    }
}

/// A `AcceptRequest` under way to a seat. It counts only where the seat holds `need` as well.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AcceptRequest {
    replica: usize,
    ballot: Ballot,
    call: usize,
    bid: bool,
    /// Not the call, but that it is refused.
    rejects: bool,
    need: Set,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    node_ids: Vec<Station>,
    proposers: Vec<Proposer>,
    network: BTreeSet<AcceptRequest>,
    /// Who ever accepted what; nobody in the system knows this.
    accepted: BTreeMap<(Ballot, usize), Set>,
    chosen: Set,
    /// What somebody takes for decided.
    decided: Set,
    restarts: u8,
    lost: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A proposer's inquiry is heard by a seat; so is the answer, or it is lost.
    PrepareRequest(usize, usize, bool),
    AcceptRequest(AcceptRequest, bool),
    /// A seat hears of a decided call.
    Tell(usize, usize),
    Restart(usize),
}

impl Setup {
    fn begin(&self, proposer: &mut Proposer, target: usize) {
        if proposer.left == 0 {
            proposer.step = Step::Over;
            return;
        }
        proposer.left -= 1;
        let before = |call: Option<usize>| call.filter(|n| proposer.known >> n & 1 == 0);
        // The next cast is in force only after it has been brought in.
        proposer.target = before(self.next).filter(|_| Some(target) == self.now).unwrap_or(target);
        let heard = proposer.seen.keys().fold(0, |set, n| set | 1 << n);
        let ballot = Ballot::above(proposer.met, self.epoch(proposer.known, heard), proposer.who);
        proposer.met = ballot;
        proposer.step = Step::Reading { ballot, heard: 0 };
    }

    fn weigh(&self, proposer: &Proposer) -> ProposalStatus {
        let (item_store, target) = (self.item_store(proposer.known), &self.calls[proposer.target]);
        let seen =
            proposer.seen.iter().map(|(n, b)| (self.calls[*n].proposal_id(), (*b, self.calls[*n].clone())));
        let denied =
            proposer.denied.iter().map(|(n, ballot)| (self.calls[*n].proposal_id(), *ballot)).collect();
        let seen = possibly_chosen(&seen.collect(), &denied);
        let heard = |n: &usize| seen.contains_key(&self.calls[*n].proposal_id());
        let is_open = |n: &usize| {
            let call = &self.calls[*n];
            heard(n)
                && *n != proposer.target
                && !is_committed(call, item_store)
                && conflicting_item(call, item_store).is_none()
        };
        let pending = proposer.seen.iter().filter(|(n, _)| is_open(n)).max_by_key(|(_, ballot)| **ballot);
        // A change of the cast comes first of all; and the next cast is in force only once nothing is left open.
        let change = self.next.filter(|n| proposer.seen.contains_key(n) && is_open(n));
        match (self.weigh)(target, &seen, item_store) {
            end @ (ProposalStatus::Committed | ProposalStatus::Conflicting(_)) => end,
            weighed => match (change, pending) {
                (Some(next), _) => ProposalStatus::BlockedBy(self.calls[next].proposal_id()),
                (None, Some((n, _))) if Some(proposer.target) == self.now => {
                    ProposalStatus::BlockedBy(self.calls[*n].proposal_id())
                }
                _ => weighed,
            },
        }
    }

    /// The reading is whole.
    fn decide(&self, proposer: &mut Proposer, network: &mut BTreeSet<AcceptRequest>) {
        let Step::Reading { ballot, .. } = proposer.step else { return };
        let own = proposer.target == proposer.goal;
        let (goal, call) = (proposer.goal, proposer.target);
        match self.weigh(proposer) {
            ProposalStatus::Committed if own => proposer.step = Step::Done,
            ProposalStatus::Conflicting(_) if own => proposer.step = Step::Taken,
            ProposalStatus::Committed | ProposalStatus::Conflicting(_) => self.begin(proposer, goal),
            ProposalStatus::BlockedBy(proposal_id) => self.begin(proposer, self.place(proposal_id)),
            ProposalStatus::New if self.spoils[call] & proposer.known != 0 => {
                if !own {
                    return self.begin(proposer, goal);
                }
                let store =
                    |replica| AcceptRequest { replica, ballot, call, bid: false, rejects: true, need: 0 };
                network.extend((0..self.replicas).map(store));
                proposer.step = Step::Denying { ballot, stored: 0 };
            }
            weighed @ (ProposalStatus::AlreadyAccepted | ProposalStatus::New) => {
                let holds_all = Some(call) == self.now && self.out != Some(Handover::Holding);
                let need = if holds_all { proposer.known } else { 0 };
                let bid = weighed == ProposalStatus::AlreadyAccepted;
                network.extend((0..self.replicas).map(|replica| AcceptRequest {
                    replica,
                    ballot,
                    call,
                    bid,
                    rejects: false,
                    need,
                }));
                proposer.step = Step::Storing { ballot, stored: 0 };
            }
        }
    }

    /// What a seat does after each thing that changed it: what is over goes, and a new era is fenced.
    fn settle(&self, node_id: &mut Station) {
        for (key, _) in node_id.acceptor.commit_all(self.item_store(node_id.known)) {
            node_id.disk.remove(&key);
        }
        let next = self.next.filter(|n| node_id.acceptor.get(self.calls[*n].proposal_id()).is_some());
        let epoch = self.epoch(node_id.known, next.map_or(0, |n| 1 << n));
        self.fence(node_id, epoch);
    }

    fn fence(&self, node_id: &mut Station, epoch: u64) {
        if epoch > 0 && self.out != Some(Handover::Fence) {
            let reserve = node_id.acceptor.fence(epoch);
            self.write(node_id, reserve, Vec::new());
        }
    }

    fn write(&self, node_id: &mut Station, reserve: Option<BallotReservation>, records: Vec<Record>) {
        node_id.disk.extend(reserve.map(BallotReservation::record).into_iter().chain(records));
        node_id.disk.retain(|_, value| !value.is_empty());
        if let Some(reserve) = reserve {
            node_id.acceptor.reservation_persisted(reserve);
        }
    }

    fn inquire(&self, proposer: &mut Proposer, node_id: &mut Station, replica: usize, hears: bool) -> bool {
        let Step::Reading { ballot, heard } = &mut proposer.step else { return false };
        let wide = Some(proposer.target) == self.now && self.out != Some(Handover::Reading);
        match node_id.acceptor.prepare(*ballot, self.calls[proposer.target].keys()) {
            Err(higher) if hears => {
                proposer.met = proposer.met.max(higher);
                self.learn(proposer, node_id);
                self.begin(proposer, proposer.target);
                false
            }
            Err(_) => false,
            Ok(promise) => {
                let mut calls = promise.accepted;
                self.write(node_id, promise.reservation, Vec::new());
                if wide {
                    calls = node_id.acceptor.pending().map(|(ballot, call)| (ballot, call.clone())).collect();
                    self.fence(node_id, ballot.epoch);
                }
                if !hears {
                    return false;
                }
                *heard |= 1 << replica;
                let whole = self.is_read(ballot.epoch, *heard);
                proposer.known |= node_id.known;
                for (proposal_id, ballot) in node_id.acceptor.rejections(self.calls[proposer.target].keys()) {
                    let known = proposer.denied.entry(self.place(proposal_id)).or_default();
                    *known = ballot.max(*known);
                }
                for (ballot, call) in calls {
                    let known = proposer.seen.entry(self.place(call.proposal_id())).or_default();
                    *known = ballot.max(*known);
                }
                whole
            }
        }
    }

    /// What comes with a refusal: what is decided, and a change of the cast that is under way.
    fn learn(&self, proposer: &mut Proposer, node_id: &Station) {
        proposer.known |= node_id.known;
        let next = self
            .next
            .and_then(|n| node_id.acceptor.get(self.calls[n].proposal_id()).map(|(ballot, _)| (n, ballot)));
        proposer.seen.extend(next);
    }

    fn play(&self, state: &mut State, action: Action) {
        match action {
            Action::PrepareRequest(n, replica, hears) => {
                let (proposer, node_id) = (&mut state.proposers[n], &mut state.node_ids[replica]);
                if self.inquire(proposer, node_id, replica, hears) {
                    self.decide(proposer, &mut state.network);
                }
            }
            Action::AcceptRequest(store, hears) => self.store(state, store, hears),
            Action::Tell(replica, call) => {
                state.node_ids[replica].known |= 1 << call;
                self.settle(&mut state.node_ids[replica]);
            }
            Action::Restart(replica) => {
                let node_id = &mut state.node_ids[replica];
                node_id.acceptor = (self.mint)();
                for (key, value) in &node_id.disk {
                    assert_eq!(node_id.acceptor.restore(key, value), Restored::Taken);
                }
                state.restarts += 1;
                self.settle(&mut state.node_ids[replica]);
            }
        }
    }

    fn store(&self, state: &mut State, store: AcceptRequest, hears: bool) {
        let node_id = &mut state.node_ids[store.replica];
        let call = self.calls[store.call].clone();
        let bid = if store.bid { AcceptReason::Resolve } else { AcceptReason::New };
        let done = match store.rejects {
            true => node_id.acceptor.reject(store.ballot, call.proposal_id(), call.keys()),
            false => node_id.acceptor.accept(store.ballot, call, bid, self.item_store(node_id.known)),
        };
        let mut refused = None;
        match done {
            Ok(accepted) => {
                self.write(node_id, accepted.reservation, accepted.records);
                self.settle(node_id);
                if !store.rejects {
                    let copies = state.accepted.entry((store.ballot, store.call)).or_default();
                    *copies |= 1 << store.replica;
                    if self.is_safe(store.ballot.epoch, *copies) {
                        state.chosen |= 1 << store.call;
                    }
                }
            }
            Err(AcceptError::Promised { to }) => refused = Some(to),
            Err(_) => refused = Some(store.ballot),
        }
        state.network.remove(&store);
        let Some(proposer) = state.proposers.iter_mut().find(|p| p.awaits(store.ballot)) else { return };
        if !hears {
            state.lost += 1;
            return;
        }
        let (Step::Storing { ballot, stored } | Step::Denying { ballot, stored }) = &mut proposer.step else {
            return;
        };
        if let Some(to) = refused {
            proposer.met = proposer.met.max(to);
            self.learn(proposer, &state.node_ids[store.replica]);
            return self.begin(proposer, proposer.target);
        }
        *stored |= 1 << store.replica;
        let is_safe = self.is_safe(ballot.epoch, *stored);
        if is_safe && store.rejects {
            proposer.step = Step::Denied;
        } else if is_safe {
            proposer.known |= 1 << store.call;
            state.decided |= 1 << store.call;
            if proposer.target == proposer.goal {
                proposer.step = Step::Done;
            } else {
                self.begin(proposer, proposer.goal);
            }
        }
    }

    fn proposer(&self, who: u64, goal: usize, attempts: u8) -> Proposer {
        let mut proposer = Proposer {
            who,
            goal,
            target: goal,
            left: attempts,
            met: Ballot::default(),
            known: 0,
            seen: BTreeMap::new(),
            denied: BTreeMap::new(),
            step: Step::Over,
        };
        self.begin(&mut proposer, goal);
        proposer
    }

    /// Whether a newcomer that nobody disturbs brings every call to its end, whatever was left behind.
    fn is_resolvable(&self, state: &State) -> bool {
        let mut state = state.clone();
        state.network.clear();
        state.proposers.clear();
        for goal in 0..self.calls.len() - self.now.map_or(0, |_| 2) {
            state.proposers = vec![self.proposer(1_000 + goal as u64, goal, 30)];
            for replica in (0..self.replicas).cycle().take(1_000) {
                let stores = state
                    .network
                    .iter()
                    .filter(|store| store.replica == replica)
                    .cloned()
                    .collect::<Vec<_>>();
                for store in stores {
                    self.play(&mut state, Action::AcceptRequest(store, true));
                }
                let proposer = &state.proposers[0];
                match proposer.step {
                    Step::Reading { heard, .. } if heard >> replica & 1 == 0 => {
                        self.play(&mut state, Action::PrepareRequest(0, replica, true));
                    }
                    Step::Done | Step::Taken | Step::Denied | Step::Over => break,
                    _ => {}
                }
            }
            if !matches!(state.proposers[0].step, Step::Done | Step::Taken | Step::Denied) {
                return false;
            }
        }
        true
    }

    /// Whether every reading that could be made now still finds what was chosen: no rival of it would be proposed.
    fn is_kept_by_every_reading(&self, state: &State) -> bool {
        let epoch = self.epoch(state.chosen, 0);
        let readings = (0..1u32 << self.replicas).filter(|set| self.is_read(epoch, *set));
        // Those alone that no smaller one is part of.
        let least = readings.filter(|set| {
            (0..self.replicas).all(|n| set >> n & 1 == 0 || !self.is_read(epoch, set & !(1 << n)))
        });
        let mut rivals = self.bits(state.chosen).flat_map(|n| self.bits(self.clashes[n])).collect::<Vec<_>>();
        rivals.sort_unstable();
        rivals.dedup();
        rivals.is_empty()
            || least.into_iter().all(|set| {
                let node_ids =
                    || (0..self.replicas).filter(|n| set >> n & 1 == 1).map(|n| &state.node_ids[n]);
                let known = node_ids().fold(0, |known, node_id| known | node_id.known);
                let mut seen = ObservedProposals::new();
                for node_id in node_ids() {
                    observe(
                        &mut seen,
                        node_id.acceptor.pending().map(|(ballot, call)| (ballot, call.clone())),
                    );
                }
                rivals.iter().all(|n| {
                    let standing = (self.weigh)(&self.calls[*n], &seen, self.item_store(known));
                    matches!(standing, ProposalStatus::BlockedBy(_) | ProposalStatus::Conflicting(_))
                })
            })
    }

    /// The one state that stands for all that differ by the names of seats that are alike.
    fn sorted(&self, state: State) -> State {
        let mut order: Vec<(Set, u64, usize)> = (0..self.replicas)
            .map(|replica| {
                let bit = |set: &Set| set >> replica & 1;
                let mut hasher = DefaultHasher::new();
                state.node_ids[replica].hash(&mut hasher);
                state.proposers.iter().for_each(|p| match &p.step {
                    Step::Reading { heard: set, .. }
                    | Step::Storing { stored: set, .. }
                    | Step::Denying { stored: set, .. } => bit(set).hash(&mut hasher),
                    _ => {}
                });
                state.accepted.values().for_each(|set| bit(set).hash(&mut hasher));
                let stores = state.network.iter().filter(|store| store.replica == replica);
                stores.for_each(|store| (store.ballot, store.need, store.rejects).hash(&mut hasher));
                (self.alike[replica], hasher.finish(), replica)
            })
            .collect();
        order.sort_unstable();
        // Each goes to a place of its own kind.
        let mut places: Vec<(Set, usize)> = self.alike.iter().copied().zip(0..).collect();
        places.sort_unstable();
        let mut to = vec![0; self.replicas];
        order.iter().zip(&places).for_each(|((.., from), (_, place))| to[*from] = *place);
        if to.iter().enumerate().all(|(n, place)| n == *place) {
            return state;
        }
        let moved =
            |set: Set| (0..self.replicas).filter(|n| set >> n & 1 == 1).fold(0, |set, n| set | 1 << to[n]);
        let mut next = state.clone();
        to.iter().zip(&state.node_ids).for_each(|(place, from)| next.node_ids[*place].clone_from(from));
        for proposer in &mut next.proposers {
            if let Step::Reading { heard: set, .. }
            | Step::Storing { stored: set, .. }
            | Step::Denying { stored: set, .. } = &mut proposer.step
            {
                *set = moved(*set);
            }
        }
        next.accepted.values_mut().for_each(|set| *set = moved(*set));
        next.network = state
            .network
            .into_iter()
            .map(|store| AcceptRequest { replica: to[store.replica], ..store })
            .collect();
        next
    }

    fn is_one_content(&self, state: &State) -> bool {
        self.bits(state.chosen).all(|n| self.clashes[n] & state.chosen == 0)
    }

    fn is_true(&self, state: &State) -> bool {
        let item_store = self.item_store(state.chosen);
        state.decided & !state.chosen == 0
            && state.proposers.iter().all(|proposer| match proposer.step {
                Step::Done => self.calls[proposer.goal]
                    .items()
                    .iter()
                    .all(|i| item_store.version_status(i) == VersionStatus::SameContent),
                // Nobody else asks for what may be denied.
                Step::Taken | Step::Denied => state.chosen >> proposer.goal & 1 == 0,
                _ => true,
            })
    }
}

impl Model for Setup {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let node_id = || Station { acceptor: (self.mint)(), known: 0, disk: BTreeMap::new() };
        let proposer = |(n, goal): (usize, &usize)| self.proposer(n as u64 + 1, *goal, self.attempts);
        vec![State {
            node_ids: (0..self.replicas).map(|_| node_id()).collect(),
            proposers: self.goals.iter().enumerate().map(proposer).collect(),
            network: BTreeSet::new(),
            accepted: BTreeMap::new(),
            chosen: 0,
            decided: 0,
            restarts: 0,
            lost: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (n, proposer) in state.proposers.iter().enumerate() {
            if let Step::Reading { heard, .. } = proposer.step {
                actions.extend(
                    (0..self.replicas)
                        .filter(|s| heard >> s & 1 == 0)
                        .map(|s| Action::PrepareRequest(n, s, true)),
                );
            }
        }
        for store in &state.network {
            if store.need & !state.node_ids[store.replica].known != 0 {
                continue;
            }
            let is_awaited = state.proposers.iter().any(|p| p.awaits(store.ballot));
            if is_awaited {
                actions.push(Action::AcceptRequest(store.clone(), true));
            }
            if !is_awaited || state.lost < self.lost {
                actions.push(Action::AcceptRequest(store.clone(), false));
            }
        }
        for replica in 0..self.replicas {
            let tell = self.bits(state.decided & !state.node_ids[replica].known);
            actions.extend(tell.map(|call| Action::Tell(replica, call)));
            if state.restarts < self.restarts {
                actions.push(Action::Restart(replica));
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        self.play(&mut next, action);
        next = self.sorted(next);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Setup>> {
        vec![
            Property::always("one content a number", |setup: &Setup, state| setup.is_one_content(state)),
            Property::always("answers are true", |setup: &Setup, state| setup.is_true(state)),
            Property::always("what was chosen is found", |setup: &Setup, state| {
                setup.is_kept_by_every_reading(state)
            }),
            Property::always("all can be resolved", |setup: &Setup, state: &State| {
                let mut hasher = DefaultHasher::new();
                state.hash(&mut hasher);
                !hasher.finish().is_multiple_of(setup.solo) || setup.is_resolvable(state)
            }),
            Property::sometimes(CONFIRMED, |_, state: &State| {
                state.proposers.iter().any(|proposer| proposer.step == Step::Done)
            }),
        ]
    }
}

/// The property that is to be met, unlike the others, which must hold always.
pub const CONFIRMED: &str = "a call is confirmed";

/// What was explored, and what was found.
#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    /// Nothing is left within the bounds.
    pub whole: bool,
    pub found: BTreeSet<&'static str>,
}

/// Explores all of a setup, or about so many steps of it, the shortest schedules first.
pub fn explore(name: &str, setup: Setup, most: usize, threads: usize) -> Explored {
    let begun = std::time::Instant::now();
    let checker = setup.checker().threads(threads).target_state_count(most).spawn_bfs().join();
    let explored = Explored {
        states: checker.unique_state_count(),
        steps: checker.state_count(),
        depth: checker.max_depth(),
        whole: checker.state_count() < most,
        found: checker.discoveries().into_keys().collect(),
    };
    println!("model={name} took={:.1?} {explored:?}", begun.elapsed());
    explored
}

/// The systems that are played: calls, who wants which, and the casts.
type System = (&'static str, &'static [&'static str], &'static [usize], &'static [&'static [usize]]);
pub const SYSTEMS: &[System] = &[
    ("pair", &["a1", "a2"], &[0, 1], &[&[0, 1, 2]]),
    ("four", &["a1", "a2"], &[0, 1], &[&[0, 1, 2, 3]]),
    ("five", &["a1", "a2"], &[0, 1], &[&[0, 1, 2, 3, 4]]),
    ("ring", &["a1 b1", "b2 c2", "c3 a3"], &[0, 1, 2], &[&[0, 1, 2]]),
    ("same", &["a1 b1", "a1 c1", "a2"], &[0, 1, 2], &[&[0, 1, 2]]),
    ("versions", &["a1 b1", "a2.2 b2", "a3"], &[0, 1, 2], &[&[0, 1, 2]]),
    ("spoiled", &["a1", "b2", "a3"], &[0, 1, 2], &[&[0, 1, 2]]),
    ("spoiled-eras", &["a1 c1", "b2", "a3", "c2"], &[0, 1, 2, 3], &[&[0, 1, 2], &[2, 3, 4]]),
    ("eras-one", &["a1", "a2"], &[0, 1], &[&[0], &[1]]),
    ("eras-two", &["a1"], &[0], &[&[0, 1], &[1, 2]]),
    ("eras-three", &["a1 b1", "b2 a2", "a1 c3"], &[0, 1, 2, 0], &[&[0, 1, 2], &[1, 2, 3]]),
    ("eras-five", &["a1 b1", "b2 c2", "c3 a3", "a1 c3"], &[0, 1, 2, 3, 0], &[&[0, 1, 2], &[2, 3, 4]]),
    ("eras-apart", &["a1", "a2.2 b1", "b2"], &[0, 1, 2, 0], &[&[0, 1, 2], &[3, 4, 5]]),
];

impl Setup {
    pub fn named(name: &str) -> Setup {
        let (_, calls, goals, replica_sets) =
            SYSTEMS.iter().find(|system| system.0 == name).expect("a system's name");
        let setup = Setup::new(calls, goals, replica_sets);
        if name.starts_with("spoiled") {
            return setup.with_a_spoiler();
        }
        setup
    }

    /// So many calls for one version of one item, each with another content, on five seats.
    pub fn rivals(many: usize) -> Setup {
        let calls: Vec<String> = (1..=many).map(|n| format!("a{n}")).collect();
        let calls: Vec<&str> = calls.iter().map(String::as_str).collect();
        Setup::new(&calls, &(0..many).collect::<Vec<_>>(), &[&[0, 1, 2, 3, 4]]).bounds(250, 0, 0, 1)
    }
}

/// Drawn walks, one for each seed.
pub fn walk_all(name: &str, setup: &Setup, seeds: Range<u64>, steps: usize) -> Walked {
    let (begun, mut walked) = (std::time::Instant::now(), Walked::default());
    seeds.clone().for_each(|seed| setup.walk(seed, steps, &mut walked));
    println!("walks={name} seeds={} took={:.1?} {walked:?}", seeds.end - seeds.start, begun.elapsed());
    walked
}

/// What drawn walks brought about.
#[derive(Default, Debug)]
pub struct Walked {
    pub steps: u64,
    pub chosen: u64,
    pub confirmed: u64,
    pub taken: u64,
    pub denied: u64,
    pub restarts: u64,
    pub changed_cast: u64,
    /// The properties that broke: in how many walks, and the first one's seed.
    pub broken: BTreeMap<&'static str, (u64, u64)>,
}

impl Setup {
    /// A drawn walk. One proposer at a time is the most likely to go on, so that walks come far; its words are lost and
    /// late all the same, and it may give up and begin again.
    fn walk(&self, seed: u64, steps: usize, walked: &mut Walked) {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let mut state = self.init_states().remove(0);
        let (mut actions, mut focus) = (Vec::new(), 0);
        let (calm, told) = (chance.rand_range(1..12), chance.rand_range(0..2) == 0);
        for step in 0..steps {
            if chance.rand_range(0..24) == 0 {
                focus = chance.rand_range(0..state.proposers.len() as u64) as usize;
            }
            if chance.rand_range(0..16) == 0 {
                let proposer = &mut state.proposers[focus];
                if matches!(proposer.step, Step::Reading { .. } | Step::Storing { .. } | Step::Denying { .. })
                {
                    self.begin(proposer, proposer.target);
                }
            }
            actions.clear();
            self.actions(&state, &mut actions);
            let whose = state.proposers[focus].who;
            let is_near = |action: &Action| match action {
                Action::PrepareRequest(n, ..) => *n == focus,
                Action::AcceptRequest(store, hears) => store.ballot.proposer == whose && *hears,
                Action::Tell(..) => told,
                Action::Restart(_) => false,
            };
            if chance.rand_range(0..12) < calm && actions.iter().any(is_near) {
                actions.retain(is_near);
            }
            if actions.is_empty() {
                break;
            }
            let drawn = chance.rand_range(0..actions.len() as u64) as usize;
            let action = match actions.swap_remove(drawn) {
                Action::PrepareRequest(n, replica, _) => {
                    Action::PrepareRequest(n, replica, chance.rand_range(0..8) > 0)
                }
                action => action,
            };
            self.play(&mut state, action);
            walked.steps += 1;
            let broken = match () {
                () if !self.is_one_content(&state) => Some("one content a number"),
                () if !self.is_true(&state) => Some("answers are true"),
                () if step % 8 == 0 && !self.is_kept_by_every_reading(&state) => {
                    Some("what was chosen is found")
                }
                () if step % 64 == 0 && !self.is_resolvable(&state) => Some("all can be resolved"),
                () => None,
            };
            if let Some(broken) = broken {
                walked.broken.entry(broken).or_insert((0, seed)).0 += 1;
                break;
            }
        }
        let are = |step: Step| state.proposers.iter().filter(|proposer| proposer.step == step).count() as u64;
        walked.chosen += u64::from(state.chosen.count_ones());
        walked.confirmed += are(Step::Done);
        walked.taken += are(Step::Taken);
        walked.denied += are(Step::Denied);
        walked.restarts += u64::from(state.restarts);
        walked.changed_cast += u64::from(self.epoch(state.decided, 0) == 2);
    }
}

/// How rivals fare in time: all begin within a `spread`, an attempt that is refused comes again after a drawn pause, what
/// is decided is told to all seats. Nothing is lost.
pub struct Race {
    /// There and back between proposers and seats, and the time until a record is on disk, in milliseconds.
    pub round_trip: f64,
    pub sync: f64,
    pub spread: f64,
    /// The pause after a refusal is drawn between these; the upper one doubles with each, so many times.
    pub pause: (f64, f64),
    pub doubles: u32,
}

/// When the first call was decided and all had their answers, in milliseconds, and the most attempts that one took.
#[derive(Clone, Copy, Debug)]
pub struct Raced {
    pub first: f64,
    pub all: f64,
    pub attempts: u8,
}

impl Race {
    pub fn run(&self, setup: &Setup, seed: u64) -> Option<Raced> {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let mut state = setup.init_states().remove(0);
        let mut raced = Raced { first: 0.0, all: 0.0, attempts: 0 };
        let mut refusals = vec![0; state.proposers.len()];
        // By time, then by the order of sending: what happens, and the attempt that it is of.
        let mut events: BTreeMap<(u64, u64), (Action, Ballot)> = BTreeMap::new();
        let mut order = 0;
        let mut send = |events: &mut BTreeMap<_, _>, chance: &mut oorandom::Rand64, at: f64, what| {
            order += 1;
            let late = at + self.round_trip * 0.1 * chance.rand_float();
            events.insert(((late * 1_000.0) as u64, order), what);
        };
        let ballot_of = |p: &Proposer| match p.step {
            Step::Reading { ballot, .. } | Step::Storing { ballot, .. } | Step::Denying { ballot, .. } => {
                Some(ballot)
            }
            _ => None,
        };
        for n in 0..state.proposers.len() {
            let ballot = ballot_of(&state.proposers[n]).expect("it has begun");
            let at = self.round_trip * 0.5 + self.spread * chance.rand_float();
            for replica in 0..setup.replicas {
                send(&mut events, &mut chance, at, (Action::PrepareRequest(n, replica, true), ballot));
            }
        }
        while let Some(((micros, _), (action, ballot))) = events.pop_first() {
            let now = micros as f64 / 1_000.0;
            let n = match &action {
                Action::PrepareRequest(n, ..) => *n,
                Action::AcceptRequest(store, _) => {
                    state.proposers.iter().position(|p| p.who == store.ballot.proposer)?
                }
                tell => {
                    setup.play(&mut state, tell.clone());
                    continue;
                }
            };
            let (before, decided) = (state.proposers[n].clone(), state.decided);
            let waits = ballot_of(&before) == Some(ballot);
            let is_reading = matches!(before.step, Step::Reading { heard, .. }
                if matches!(action, Action::PrepareRequest(_, replica, _) if heard >> replica & 1 == 0));
            match action {
                Action::PrepareRequest(..) if !(waits && is_reading) => continue,
                action => setup.play(&mut state, action),
            }
            let after = &state.proposers[n];
            if state.decided != 0 && raced.first == 0.0 {
                raced.first = now;
            }
            for call in setup.bits(state.decided & !decided) {
                for replica in 0..setup.replicas {
                    send(
                        &mut events,
                        &mut chance,
                        now + self.round_trip,
                        (Action::Tell(replica, call), ballot),
                    );
                }
            }
            if (&after.step, after.left) == (&before.step, before.left) {
                continue;
            }
            match &after.step {
                Step::Over => return None,
                Step::Done | Step::Taken | Step::Denied => {
                    raced.all = raced.all.max(now + self.round_trip * 0.5);
                    raced.attempts = raced.attempts.max(setup.attempts - after.left);
                }
                Step::Reading { ballot, heard: 0 } => {
                    // A refusal pauses, resolving another's call does not.
                    let (least, most) = self.pause;
                    let refused = before.target == after.target && before.known == after.known;
                    let mut pause = 0.0;
                    if refused {
                        let most = most * f64::from(1 << self.doubles.min(refusals[n]));
                        refusals[n] += 1;
                        pause = least + (most - least) * chance.rand_float();
                    }
                    for replica in 0..setup.replicas {
                        let what = (Action::PrepareRequest(n, replica, true), *ballot);
                        send(&mut events, &mut chance, now + self.round_trip + pause, what);
                    }
                }
                Step::Storing { ballot, stored: 0 } => {
                    let stores: Vec<AcceptRequest> =
                        state.network.iter().filter(|store| store.ballot == *ballot).cloned().collect();
                    for store in stores {
                        let at = now + self.round_trip + self.sync * (0.5 + chance.rand_float());
                        send(&mut events, &mut chance, at, (Action::AcceptRequest(store, true), *ballot));
                    }
                }
                _ => {}
            }
        }
        Some(raced)
    }
}
