//! Proposals: requests under way, what this replica has promised and accepted, and proposals of others that somebody has
//! to bring to an end.
//!
//! A change is one proposal: all its items are committed together or not at all. Its proposer has a read quorum promise
//! a ballot for the items' keys and hears which proposals were accepted for them; then a write quorum accepts the
//! proposal under that ballot. Only then is it chosen, and only what is chosen enters the item store, is read back, and
//! goes to gateways. The ballots follow Paxos (Lamport, "Paxos Made Simple", 2001); docs/control-consensus.md says what is
//! particular here.

mod acceptor;
mod decision;
mod pending;
mod watch;

use super::configuration::Configuration;
use super::records::Record;
use kitepass_config::{Item, Kind};
use kitepass_coordination::consensus::{Acceptor, Ballot, Proposal, ProposalId};
use kitepass_coordination::membership::{ReplicaSet, INCOMING};
use std::collections::BTreeSet;

pub(super) use decision::{decide, Decision};
pub(super) use pending::{
    activated_replica_set, transfer_time, PendingId, PendingRequest, PendingRequests, Phase,
    INITIAL_MAX_BACKOFF_MICROS, MAX_BACKOFF_DOUBLINGS,
};
pub(super) use watch::{is_resolved, WatchList};

/// Proposer and acceptor of this replica.
pub(super) struct Proposals {
    /// What this replica has promised and accepted.
    acceptor: Acceptor,
    /// The highest ballot seen in any message.
    highest_ballot: Ballot,
    pub(super) pending: PendingRequests,
    pub(super) watch_list: WatchList,
    /// The newest replica set that is accepted elsewhere, as peers told.
    reported_set: Option<ReplicaSet>,
}

impl Proposals {
    pub(super) fn new(acceptor: Acceptor) -> Proposals {
        Proposals {
            acceptor,
            highest_ballot: Ballot::default(),
            pending: PendingRequests::default(),
            watch_list: WatchList::default(),
            reported_set: None,
        }
    }

    pub(super) fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }

    /// A ballot above all that this process has seen.
    pub(super) fn next_ballot(&mut self, epoch: u64, incarnation: u64) -> Ballot {
        let ballot = Ballot::above(self.highest_ballot, epoch, incarnation);
        self.observe_ballot(ballot);
        ballot
    }

    /// Proposals that are accepted here and not known to be resolved, and the ballot of each.
    pub(super) fn accepted(&self) -> Vec<(Ballot, Proposal)> {
        self.acceptor.pending().map(|(ballot, proposal)| (ballot, proposal.clone())).collect()
    }

    pub(super) fn has_accepted(&self) -> bool {
        self.acceptor.pending().next().is_some()
    }

    /// Notes a replica set that is accepted elsewhere.
    pub(super) fn note_replica_set(&mut self, item: &Item) {
        let known = self.reported_set.as_ref().map_or(0, |set| set.version);
        let newer = ReplicaSet::from_item(item).filter(|set| set.version > known);
        self.reported_set = newer.or(self.reported_set.take());
    }

    /// Whether a replica set with this member is accepted here or, as was told and newer than the current one, elsewhere: it
    /// may be chosen, and not be known to be.
    pub(super) fn may_be_member(&self, name: &str, current: Option<&ReplicaSet>) -> bool {
        let mut items = self.acceptor.pending().flat_map(|(_, proposal)| proposal.items().iter());
        let is_member = |item: &Item| ReplicaSet::from_item(item).is_some_and(|set| set.contains(name));
        let current_version = current.map_or(0, |set| set.version);
        let mut reported = self.reported_set.iter().filter(|set| set.version > current_version);
        items.any(|item| item.kind == Kind::ReplicaSet && is_member(item))
            || reported.any(|set| set.contains(name))
    }

    /// The items of a proposal that is accepted here.
    pub(super) fn accepted_items(&self, id: ProposalId) -> Option<Vec<Item>> {
        self.acceptor.get(id).map(|(_, proposal)| proposal.items().to_vec())
    }

    /// Takes out accepted proposals that are resolved by these committed items; gives the records of that.
    pub(super) fn items_committed(&mut self, configuration: &Configuration, items: &[Item]) -> Vec<Record> {
        self.acceptor.commit(configuration.item_store(), items)
    }

    /// Takes out all that is accepted; gives the records of that.
    pub(super) fn discard_accepted(&mut self) -> Vec<Record> {
        self.acceptor.discard_accepted()
    }

    /// An incoming replica set that is accepted here, may be chosen, and is not known to be.
    pub(super) fn undecided_replica_set(&self, configuration: &Configuration) -> Option<(Ballot, Proposal)> {
        let current = configuration.replica_set()?;
        let is_incoming = |item: &Item| {
            item.kind == Kind::ReplicaSet && &*item.name == INCOMING && item.version > current.version
        };
        let mut accepted = self.acceptor.pending();
        let undecided = accepted.find(|(_, proposal)| {
            proposal.items().iter().any(is_incoming) && !is_resolved(proposal, configuration.item_store())
        });
        undecided.map(|(ballot, proposal)| (ballot, proposal.clone()))
    }

    /// The highest version of a replica set whose activation is accepted here and not known to be committed, or 0.
    pub(super) fn activated_version(&self) -> u64 {
        let replica_sets =
            self.acceptor.pending().filter_map(|(_, proposal)| activated_replica_set(proposal));
        replica_sets.map(|set| set.version).max().unwrap_or(0)
    }

    /// Whether a request of this epoch, about these keys, is to be rejected.
    ///
    /// Invariant: whoever knows only of an earlier replica set is rejected, as it would meet no majority of the later one.
    /// An incoming replica set that is accepted here and may be chosen fences off all requests but those that resolve it.
    pub(super) fn is_fenced(&self, epoch: u64, keys: &[u64], configuration: &Configuration) -> bool {
        let is_other = |proposal: &Proposal| !proposal.keys().iter().any(|key| keys.contains(key));
        epoch < configuration.epoch()
            || self.undecided_replica_set(configuration).is_some_and(|(_, set)| is_other(&set))
    }

    /// Whether acceptances at these replicas choose the proposal of a request.
    ///
    /// A proposal that brings a replica set in must have a write quorum of that set, too, or one that cannot work would be
    /// brought in. One that puts it in force needs a write quorum of that set alone. Assumptions: its content is that of
    /// the incoming set, which is chosen; and each replica that accepts it holds all that was committed before. So whoever
    /// reads by both sets, or by the new one alone, meets all of that. Why it matters: where the earlier set has lost its
    /// majority by then, nothing else would end the change.
    pub(super) fn is_chosen(
        &self,
        pending: &PendingRequest,
        accepted_by: &BTreeSet<String>,
        configuration: &Configuration,
    ) -> bool {
        if let Some(replica_set) = pending.proposal.as_ref().and_then(activated_replica_set) {
            return replica_set.is_write_quorum(accepted_by);
        }
        let Some(replica_sets) = configuration.joint_replica_sets() else { return false };
        let items = pending.proposal.iter().flat_map(|proposal| proposal.items().iter());
        let mut incoming =
            items.filter(|item| item.kind == Kind::ReplicaSet).filter_map(ReplicaSet::from_item);
        match incoming.next() {
            Some(incoming) => replica_sets.with_incoming(Some(incoming)).is_write_quorum(accepted_by),
            None => replica_sets.is_write_quorum(accepted_by),
        }
    }
}
