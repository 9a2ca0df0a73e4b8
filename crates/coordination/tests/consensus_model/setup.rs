//! The modelled systems, and the bounds of an exploration or a walk.

use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::consensus::{
    key, proposal_status, Acceptor, ObservedProposals, Proposal, ProposalId, ProposalStatus,
};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use std::collections::BTreeSet;

/// A set of replicas or of proposals, as a bit mask of their indices.
pub(super) type BitSet = u32;

pub(super) fn contains(set: BitSet, number: usize) -> bool {
    set >> number & 1 == 1
}

/// How a proposer evaluates its proposal after phase 1.
pub(crate) type Evaluation = fn(&Proposal, &ObservedProposals, &ItemStore) -> ProposalStatus;

/// The safeguards of a change of the replica set that the model itself implements, in addition to those of the acceptor
/// and of the proposer. Mutation tests disable one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaSetSafeguard {
    /// Before the incoming replica set is put into force, all proposals accepted by any replica are resolved.
    ResolveAll,
    /// Only replicas that have all committed proposals count toward the write quorum of the proposal that puts the
    /// incoming replica set into force.
    HoldAll,
    /// A replica that knows of the incoming replica set accepts nothing in an earlier epoch.
    Fence,
}

/// A system, and the bounds of its exploration.
pub(crate) struct Setup {
    pub(super) proposals: Vec<Proposal>,
    /// The proposals that conflict with each proposal: those with different content for one of its keys.
    pub(super) conflicts: Vec<BitSet>,
    /// The contents of the item store, by the set of committed proposals.
    item_stores: Vec<ItemStore>,
    /// Whether a set of replicas is a read quorum, by epoch, then by the set.
    read_quorums: Vec<Vec<bool>>,
    /// The same for write quorums.
    write_quorums: Vec<Vec<bool>>,
    /// The number of replicas.
    pub(super) replicas: usize,
    /// The proposal that each proposer has to commit.
    pub(super) goals: Vec<usize>,
    /// The proposal that makes the second replica set the incoming one, if there is a second one.
    pub(super) incoming_proposal: Option<usize>,
    /// The proposal that puts the incoming replica set into force.
    pub(super) current_proposal: Option<usize>,
    /// The proposals that make the content of each proposal invalid once they are committed.
    pub(super) invalidated_by: Vec<BitSet>,
    /// The number of attempts of each proposer.
    pub(super) attempts: u8,
    pub(super) max_restarts: u8,
    /// The maximum number of responses to accept requests that are lost.
    pub(super) max_lost_responses: u8,
    /// The replica sets that each replica belongs to. Replicas that belong to the same sets are interchangeable.
    pub(super) memberships: Vec<BitSet>,
    pub(super) disabled: Option<ReplicaSetSafeguard>,
    /// In one of this many states, [`Setup::is_resolvable`] is checked, which is expensive.
    pub(super) resolvable_check_interval: u64,
    pub(super) new_acceptor: fn() -> Acceptor,
    pub(super) evaluation: Evaluation,
}

fn item(name: &str, version: u64, value: &str) -> Item {
    Item { kind: Kind::Service, name: name.into(), version, value: Some(value.to_owned().into()) }
}

/// Parses a list of items, each with a name of one letter, a content of one digit and optionally a version, which is 1 by
/// default: `a1 b2` is an item `a` with the content `1` and an item `b` with the content `2`; `a1.3` is version 3 of `a`.
fn parse_proposal(text: &str) -> Proposal {
    let parse_item = |token: &str| {
        let version = token.get(3..).and_then(|version| version.parse().ok()).unwrap_or(1);
        item(&token[..1], version, &token[1..2])
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

fn are_conflicting(one: &Proposal, other: &Proposal) -> bool {
    let conflicts = |item: &Item| other.items().iter().any(|o| key(item) == key(o) && item != o);
    one.items().iter().any(conflicts)
}

/// The proposals that conflict with each proposal.
fn conflicts(proposals: &[Proposal]) -> Vec<BitSet> {
    let conflicts_of = |one: &Proposal| {
        let others = (0..proposals.len()).filter(|n| are_conflicting(one, &proposals[*n]));
        others.fold(0, |set, n| set | 1 << n)
    };
    proposals.iter().map(conflicts_of).collect()
}

/// The contents of the item store, by the set of committed proposals.
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

/// Whether a set of replicas is a quorum of all replica sets whose quorums are required in an epoch; by epoch, then by
/// the set.
fn quorums(
    replica_sets: &[ReplicaSet],
    replicas: usize,
    is_quorum: fn(&ReplicaSet, &BTreeSet<String>) -> bool,
) -> Vec<Vec<bool>> {
    // In the odd epoch between two replica sets, quorums of both are required.
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

/// The replica sets that each replica belongs to.
fn memberships(replica_sets: &[&[usize]], replicas: usize) -> Vec<BitSet> {
    let of_replica = |replica: usize| {
        let sets = replica_sets.iter().enumerate();
        let sets_with_replica = sets.filter(|(_, replica_set)| replica_set.contains(&replica));
        sets_with_replica.fold(0, |set, (n, _)| set | 1 << n)
    };
    (0..replicas).map(of_replica).collect()
}

impl Setup {
    /// `goals` has the index of the proposal that each proposer has to commit. If there are two replica sets, an additional
    /// proposer replaces the first set with the second.
    fn new(proposals: &[&str], goals: &[usize], replica_sets: &[&[usize]]) -> Setup {
        let mut proposals: Vec<Proposal> = proposals.iter().map(|text| parse_proposal(text)).collect();
        let mut goals = goals.to_vec();
        let (mut incoming_proposal, mut current_proposal) = (None, None);
        if replica_sets.len() > 1 {
            let replica_set_item = |name| Item { kind: Kind::ReplicaSet, ..item(name, 2, "cast") };
            (incoming_proposal, current_proposal) = (Some(proposals.len()), Some(proposals.len() + 1));
            proposals.push(Proposal::new(vec![replica_set_item("next")]));
            proposals.push(Proposal::new(vec![replica_set_item("now")]));
            goals.push(proposals.len() - 1);
        }
        let replicas =
            replica_sets.iter().flat_map(|set| set.iter()).max().expect("at least one replica") + 1;
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
            incoming_proposal,
            current_proposal,
            attempts: 2,
            max_restarts: 0,
            max_lost_responses: 0,
            disabled: None,
            resolvable_check_interval: 1,
            new_acceptor: Acceptor::new,
            evaluation: proposal_status,
        }
    }

    /// Returns one of [`SYSTEMS`].
    pub(crate) fn named(name: &str) -> Setup {
        let system = SYSTEMS.iter().find(|system| system.name == name).expect("the name of a system");
        let mut setup = Setup::new(system.proposals, system.goals, system.replica_sets);
        if system.has_invalidation {
            setup.invalidated_by[0] = 1 << 1;
        }
        setup
    }

    /// A system of five replicas and `number` proposers, each with different content for the same version of an item.
    pub(crate) fn competing_proposers(number: usize) -> Setup {
        let proposals: Vec<String> = (1..=number).map(|n| format!("a{n}")).collect();
        let proposals: Vec<&str> = proposals.iter().map(String::as_str).collect();
        let goals: Vec<usize> = (0..number).collect();
        Setup::new(&proposals, &goals, &[&[0, 1, 2, 3, 4]]).bounds(250, 0, 0, 1)
    }

    /// Sets the number of attempts of each proposer, the maximum numbers of restarts and of lost responses, and in one of
    /// how many states [`Setup::is_resolvable`] is checked.
    pub(crate) fn bounds(
        self,
        attempts: u8,
        max_restarts: u8,
        max_lost_responses: u8,
        resolvable_check_interval: u64,
    ) -> Setup {
        Setup { attempts, max_restarts, max_lost_responses, resolvable_check_interval, ..self }
    }

    /// Replaces the acceptor and the evaluation of proposals, for tests that disable a safeguard.
    pub(crate) fn with_algorithm(self, new_acceptor: fn() -> Acceptor, evaluation: Evaluation) -> Setup {
        Setup { new_acceptor, evaluation, ..self }
    }

    /// Disables a safeguard of changes of the replica set.
    pub(crate) fn without(self, disabled: ReplicaSetSafeguard) -> Setup {
        Setup { disabled: Some(disabled), ..self }
    }

    pub(super) fn is_enabled(&self, safeguard: ReplicaSetSafeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    pub(super) fn index_of(&self, proposal_id: ProposalId) -> usize {
        let is_same = |proposal: &Proposal| proposal.proposal_id() == proposal_id;
        self.proposals.iter().position(is_same).expect("a proposal of this setup")
    }

    pub(super) fn item_store(&self, committed: BitSet) -> &ItemStore {
        &self.item_stores[committed as usize]
    }

    /// The epoch of a process, by the proposals that it knows to be committed and those that it has observed.
    pub(super) fn epoch(&self, committed: BitSet, observed: BitSet) -> u64 {
        let has = |set: BitSet, proposal: Option<usize>| proposal.is_some_and(|n| contains(set, n));
        if has(committed, self.current_proposal) {
            2
        } else if has(committed | observed, self.incoming_proposal) {
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

    /// The indices of the proposals in a set.
    pub(super) fn proposals_in(&self, set: BitSet) -> impl Iterator<Item = usize> {
        (0..self.proposals.len()).filter(move |n| contains(set, *n))
    }
}

/// A modelled system.
pub(crate) struct System {
    pub(crate) name: &'static str,
    /// See [`parse_proposal`].
    proposals: &'static [&'static str],
    /// The index of the proposal that each proposer has to commit.
    goals: &'static [usize],
    /// The replicas of each replica set.
    replica_sets: &'static [&'static [usize]],
    /// Whether the first proposal becomes invalid once the second one is committed.
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

/// All systems. In the ones called `spoiled`, a proposal becomes invalid while it is being proposed; in the ones called
/// `epochs`, the replica set changes.
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
