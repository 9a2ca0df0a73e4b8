//! What is modelled, and its bounds.

use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::consensus::{
    key, proposal_status, Acceptor, ObservedProposals, Proposal, ProposalId, ProposalStatus,
};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use std::collections::BTreeSet;

/// Sets of replicas and of proposals, by bits.
pub(super) type BitSet = u32;

pub(super) fn contains(set: BitSet, number: usize) -> bool {
    set >> number & 1 == 1
}

/// How a proposer evaluates its proposal after phase 1.
pub(crate) type Evaluation = fn(&Proposal, &ObservedProposals, &ItemStore) -> ProposalStatus;

/// The safeguards of a change of the replica set that are not the acceptor's or the proposer's own, for tests that take
/// one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaSetSafeguard {
    /// Before the incoming replica set is in force, all that is accepted anywhere is resolved.
    ResolveAll,
    /// Only replicas that hold all that is committed count toward the write quorum of what puts it in force.
    HoldAll,
    /// A replica that knows of the incoming replica set accepts nothing of the epoch before.
    Fence,
}

/// A system, and the bounds of what happens in it.
pub(crate) struct Setup {
    pub(super) proposals: Vec<Proposal>,
    /// By proposal, those with other content for one of its keys.
    pub(super) conflicts: Vec<BitSet>,
    /// By the set of committed proposals.
    item_stores: Vec<ItemStore>,
    /// By epoch, then by set of replicas.
    read_quorums: Vec<Vec<bool>>,
    write_quorums: Vec<Vec<bool>>,
    pub(super) replicas: usize,
    /// By proposer, the proposal that it wants committed.
    pub(super) goals: Vec<usize>,
    /// The proposals that bring the incoming replica set in, and put it in force.
    pub(super) incoming: Option<usize>,
    pub(super) current: Option<usize>,
    /// By proposal, those after whose commit its content is invalid.
    pub(super) invalidated_by: Vec<BitSet>,
    /// Attempts of each proposer.
    pub(super) attempts: u8,
    pub(super) max_restarts: u8,
    /// Responses to accept requests that may be lost.
    pub(super) max_lost: u8,
    /// By replica, the replica sets that it is in: those that are in the same ones are alike.
    pub(super) memberships: Vec<BitSet>,
    pub(super) disabled: Option<ReplicaSetSafeguard>,
    /// Of so many states one is checked for whether a newcomer, alone, brings all proposals to an end.
    pub(super) resolvable_sample: u64,
    pub(super) new_acceptor: fn() -> Acceptor,
    pub(super) evaluation: Evaluation,
}

fn item(name: &str, version: u64, value: &str) -> Item {
    Item { kind: Kind::Service, name: name.into(), version, value: Some(value.to_owned().into()) }
}

/// `a1 b2` gives version 1 of `a` the content `1`, and that of `b` the content `2`; `a1.3` is version 3 of `a`.
fn parse_proposal(text: &str) -> Proposal {
    let parse_item = |word: &str| {
        let version = word.get(3..).and_then(|version| version.parse().ok()).unwrap_or(1);
        item(&word[..1], version, &word[1..2])
    };
    Proposal::new(text.split(' ').map(parse_item).collect())
}

fn replica_name(number: usize) -> String {
    format!("s{number}")
}

fn replica_set(replicas: &[usize]) -> ReplicaSet {
    let replica = |n: &usize| Replica { node_id: replica_name(*n), zone: "d".into(), ..Replica::default() };
    ReplicaSet { replicas: replicas.iter().map(replica).collect(), version: 1 }
}

fn is_in_conflict(one: &Proposal, other: &Proposal) -> bool {
    let conflicts = |item: &Item| other.items().iter().any(|o| key(item) == key(o) && item != o);
    one.items().iter().any(conflicts)
}

/// By proposal, those that conflict with it.
fn conflicts(proposals: &[Proposal]) -> Vec<BitSet> {
    let conflicts_of = |one: &Proposal| {
        let others = (0..proposals.len()).filter(|n| is_in_conflict(one, &proposals[*n]));
        others.fold(0, |set, n| set | 1 << n)
    };
    proposals.iter().map(conflicts_of).collect()
}

/// By the set of committed proposals.
fn item_stores(proposals: &[Proposal]) -> Vec<ItemStore> {
    let item_store = |committed: BitSet| {
        let mut item_store = ItemStore::new();
        for (_, proposal) in proposals.iter().enumerate().filter(|(n, _)| contains(committed, *n)) {
            proposal.items().iter().for_each(|item| _ = item_store.merge(item.clone()));
        }
        item_store
    };
    (0..1 << proposals.len()).map(item_store).collect()
}

/// By epoch and set of replicas, whether it is a quorum of all replica sets that count then.
fn quorums(
    replica_sets: &[ReplicaSet],
    replicas: usize,
    is_quorum: fn(&ReplicaSet, &BTreeSet<String>) -> bool,
) -> Vec<Vec<bool>> {
    // In the odd epoch between two replica sets, both count.
    let epochs: Vec<&[ReplicaSet]> = match replica_sets {
        [only] => vec![std::slice::from_ref(only)],
        both => vec![&both[..1], both, &both[1..]],
    };
    let names = |set: BitSet| (0..replicas).filter(|n| contains(set, *n)).map(replica_name).collect();
    let is_quorum_of_all = |replica_sets: &[ReplicaSet], set: BitSet| {
        let names = names(set);
        replica_sets.iter().all(|replica_set| is_quorum(replica_set, &names))
    };
    let of_epoch = |replica_sets: &[ReplicaSet]| {
        (0..1 << replicas).map(|set| is_quorum_of_all(replica_sets, set)).collect()
    };
    epochs.into_iter().map(of_epoch).collect()
}

/// By replica, the replica sets that it is in.
fn memberships(replica_sets: &[&[usize]], replicas: usize) -> Vec<BitSet> {
    let of_replica = |replica: usize| {
        let sets = replica_sets.iter().enumerate();
        let with_it = sets.filter(|(_, replica_set)| replica_set.contains(&replica));
        with_it.fold(0, |set, (n, _)| set | 1 << n)
    };
    (0..replicas).map(of_replica).collect()
}

impl Setup {
    /// Each proposer wants one of the proposals, by its number. With two replica sets, one more proposer brings the
    /// second one in.
    fn new(proposals: &[&str], goals: &[usize], replica_sets: &[&[usize]]) -> Setup {
        let mut proposals: Vec<Proposal> = proposals.iter().map(|text| parse_proposal(text)).collect();
        let mut goals = goals.to_vec();
        let (mut incoming, mut current) = (None, None);
        if replica_sets.len() > 1 {
            let replica_set_item = |name| Item { kind: Kind::ReplicaSet, ..item(name, 2, "cast") };
            (incoming, current) = (Some(proposals.len()), Some(proposals.len() + 1));
            proposals.push(Proposal::new(vec![replica_set_item("next")]));
            proposals.push(Proposal::new(vec![replica_set_item("now")]));
            goals.push(proposals.len() - 1);
        }
        let replicas = replica_sets.iter().flat_map(|set| set.iter()).max().expect("a replica") + 1;
        let sets: Vec<ReplicaSet> = replica_sets.iter().map(|replicas| replica_set(replicas)).collect();
        Setup {
            conflicts: conflicts(&proposals),
            item_stores: item_stores(&proposals),
            read_quorums: quorums(&sets, replicas, ReplicaSet::is_read_quorum),
            write_quorums: quorums(&sets, replicas, ReplicaSet::is_write_quorum),
            invalidated_by: vec![0; proposals.len()],
            memberships: memberships(replica_sets, replicas),
            proposals,
            replicas,
            goals,
            incoming,
            current,
            attempts: 2,
            max_restarts: 0,
            max_lost: 0,
            disabled: None,
            resolvable_sample: 1,
            new_acceptor: Acceptor::new,
            evaluation: proposal_status,
        }
    }

    /// One of [`SYSTEMS`].
    pub(crate) fn named(name: &str) -> Setup {
        let system = SYSTEMS.iter().find(|system| system.name == name).expect("a system's name");
        let mut setup = Setup::new(system.proposals, system.goals, system.replica_sets);
        if system.has_invalidation {
            setup.invalidated_by[0] = 1 << 1;
        }
        setup
    }

    /// So many proposals for one version of one item, each with other content, on five replicas.
    pub(crate) fn competing_proposers(number: usize) -> Setup {
        let proposals: Vec<String> = (1..=number).map(|n| format!("a{n}")).collect();
        let proposals: Vec<&str> = proposals.iter().map(String::as_str).collect();
        let goals: Vec<usize> = (0..number).collect();
        Setup::new(&proposals, &goals, &[&[0, 1, 2, 3, 4]]).bounds(250, 0, 0, 1)
    }

    /// Attempts of each proposer, restarts of replicas, lost responses, and of how many states one is checked for being
    /// resolvable.
    pub(crate) fn bounds(
        self,
        attempts: u8,
        max_restarts: u8,
        max_lost: u8,
        resolvable_sample: u64,
    ) -> Setup {
        Setup { attempts, max_restarts, max_lost, resolvable_sample, ..self }
    }

    /// With another acceptor and evaluation, for tests that take a safeguard out.
    pub(crate) fn with_algorithm(self, new_acceptor: fn() -> Acceptor, evaluation: Evaluation) -> Setup {
        Setup { new_acceptor, evaluation, ..self }
    }

    /// Without a safeguard of the change of the replica set.
    pub(crate) fn without(self, disabled: ReplicaSetSafeguard) -> Setup {
        Setup { disabled: Some(disabled), ..self }
    }

    pub(super) fn is_enabled(&self, safeguard: ReplicaSetSafeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    pub(super) fn number_of(&self, proposal_id: ProposalId) -> usize {
        let is_it = |proposal: &Proposal| proposal.proposal_id() == proposal_id;
        self.proposals.iter().position(is_it).expect("a proposal of the setup")
    }

    pub(super) fn item_store(&self, committed: BitSet) -> &ItemStore {
        &self.item_stores[committed as usize]
    }

    /// The epoch of one that knows these proposals to be committed, and has observed these.
    pub(super) fn epoch(&self, committed: BitSet, observed: BitSet) -> u64 {
        let has = |set: BitSet, proposal: Option<usize>| proposal.is_some_and(|n| contains(set, n));
        if has(committed, self.current) {
            2
        } else if has(committed | observed, self.incoming) {
            1
        } else {
            0
        }
    }

    pub(super) fn is_read_quorum(&self, epoch: u64, replicas: BitSet) -> bool {
        self.read_quorums[epoch as usize][replicas as usize]
    }

    pub(super) fn is_write_quorum(&self, epoch: u64, replicas: BitSet) -> bool {
        self.write_quorums[epoch as usize][replicas as usize]
    }

    /// The numbers of a set of proposals.
    pub(super) fn numbers(&self, set: BitSet) -> impl Iterator<Item = usize> {
        (0..self.proposals.len()).filter(move |n| contains(set, *n))
    }
}

/// A system that is modelled.
pub(crate) struct System {
    pub(crate) name: &'static str,
    /// See [`parse_proposal`].
    proposals: &'static [&'static str],
    /// By proposer, the number of its proposal.
    goals: &'static [usize],
    replica_sets: &'static [&'static [usize]],
    /// The first proposal is invalid once the second one is committed.
    has_invalidation: bool,
}

const fn system(
    name: &'static str,
    proposals: &'static [&'static str],
    goals: &'static [usize],
    replica_sets: &'static [&'static [usize]],
) -> System {
    System { name, proposals, goals, replica_sets, has_invalidation: false }
}

const fn with_invalidation(system: System) -> System {
    System { has_invalidation: true, ..system }
}

pub(crate) const SYSTEMS: &[System] = &[
    system("pair", &["a1", "a2"], &[0, 1], &[&[0, 1, 2]]),
    system("four", &["a1", "a2"], &[0, 1], &[&[0, 1, 2, 3]]),
    system("five", &["a1", "a2"], &[0, 1], &[&[0, 1, 2, 3, 4]]),
    system("ring", &["a1 b1", "b2 c2", "c3 a3"], &[0, 1, 2], &[&[0, 1, 2]]),
    system("same", &["a1 b1", "a1 c1", "a2"], &[0, 1, 2], &[&[0, 1, 2]]),
    system("versions", &["a1 b1", "a2.2 b2", "a3"], &[0, 1, 2], &[&[0, 1, 2]]),
    with_invalidation(system("spoiled", &["a1", "b2", "a3"], &[0, 1, 2], &[&[0, 1, 2]])),
    with_invalidation(system(
        "spoiled-epochs",
        &["a1 c1", "b2", "a3", "c2"],
        &[0, 1, 2, 3],
        &[&[0, 1, 2], &[2, 3, 4]],
    )),
    system("epochs-one", &["a1", "a2"], &[0, 1], &[&[0], &[1]]),
    system("epochs-two", &["a1"], &[0], &[&[0, 1], &[1, 2]]),
    system("epochs-three", &["a1 b1", "b2 a2", "a1 c3"], &[0, 1, 2, 0], &[&[0, 1, 2], &[1, 2, 3]]),
    system("epochs-five", &["a1 b1", "b2 c2", "c3 a3", "a1 c3"], &[0, 1, 2, 3, 0], &[&[0, 1, 2], &[2, 3, 4]]),
    system("epochs-apart", &["a1", "a2.2 b1", "b2"], &[0, 1, 2, 0], &[&[0, 1, 2], &[3, 4, 5]]),
];
