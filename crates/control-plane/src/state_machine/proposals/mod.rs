//! Proposals: pending requests, this replica's promises and acceptances, and proposals of other processes that have
//! to be resolved.
//!
//! A change is a single proposal: all of its items are committed together or not at all. The proposer asks a read
//! quorum to promise a ballot for the items' keys and learns which proposals were accepted for them. A write quorum
//! then accepts the proposal under that ballot. Only then is it chosen, and only chosen items are stored, returned by
//! reads, and sent to gateways. The ballots follow Paxos (Lamport, "Paxos Made Simple", 2001);
//! docs/control-consensus.md describes the differences.

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
    activated_replica_set, transfer_time, Caller, PendingId, PendingRequest, PendingRequests, Phase,
    INITIAL_MAX_BACKOFF_MICROS, MAX_BACKOFF_DOUBLINGS,
};
pub(super) use watch::{is_resolved, WatchList};

/// The proposer and acceptor state of this replica.
pub(super) struct Proposals {
    /// Promises and accepted proposals of this replica.
    acceptor: Acceptor,
    /// The highest ballot seen in any message.
    highest_ballot: Ballot,
    pub(super) pending: PendingRequests,
    pub(super) watch_list: WatchList,
    /// The newest replica set that peers have reported as accepted.
    reported_replica_set: Option<ReplicaSet>,
}

impl Proposals {
    pub(super) fn new(acceptor: Acceptor) -> Proposals {
        Proposals {
            acceptor,
            highest_ballot: Ballot::default(),
            pending: PendingRequests::default(),
            watch_list: WatchList::default(),
            reported_replica_set: None,
        }
    }

    pub(super) fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }

    /// Returns a ballot above all ballots that this process has seen.
    pub(super) fn next_ballot(&mut self, epoch: u64, incarnation: u64) -> Ballot {
        let ballot = Ballot::above(self.highest_ballot, epoch, incarnation);
        self.observe_ballot(ballot);
        ballot
    }

    /// Returns the proposals that are accepted here and not known to be resolved, each with its ballot.
    pub(super) fn accepted(&self) -> Vec<(Ballot, Proposal)> {
        self.acceptor.pending().map(|(ballot, proposal)| (ballot, proposal.clone())).collect()
    }

    pub(super) fn has_accepted(&self) -> bool {
        self.acceptor.pending().next().is_some()
    }

    /// Records a replica set that is accepted elsewhere.
    pub(super) fn record_reported_replica_set(&mut self, item: &Item) {
        let known = self.reported_replica_set.as_ref().map_or(0, |set| set.version);
        let newer = ReplicaSet::from_item(item).filter(|set| set.version > known);
        self.reported_replica_set = newer.or(self.reported_replica_set.take());
    }

    /// Returns whether this replica is a member of a replica set that is accepted here, or of one newer than
    /// `current` that was reported as accepted elsewhere. Such a set may be chosen without being known here.
    pub(super) fn may_be_member(&self, name: &str, current: Option<&ReplicaSet>) -> bool {
        let mut items = self.acceptor.pending().flat_map(|(_, proposal)| proposal.items().iter());
        let is_member = |item: &Item| ReplicaSet::from_item(item).is_some_and(|set| set.contains(name));
        let current_version = current.map_or(0, |set| set.version);
        let mut reported = self.reported_replica_set.iter().filter(|set| set.version > current_version);
        items.any(|item| item.kind == Kind::ReplicaSet && is_member(item))
            || reported.any(|set| set.contains(name))
    }

    /// Returns the items of a proposal that is accepted here.
    pub(super) fn accepted_items(&self, id: ProposalId) -> Option<Vec<Item>> {
        self.acceptor.get(id).map(|(_, proposal)| proposal.items().to_vec())
    }

    /// Removes accepted proposals that these committed items resolve. Returns the records to write.
    pub(super) fn items_committed(&mut self, configuration: &Configuration, items: &[Item]) -> Vec<Record> {
        self.acceptor.commit(configuration.item_store(), items)
    }

    /// Removes all accepted proposals. Returns the records to write.
    pub(super) fn discard_accepted(&mut self) -> Vec<Record> {
        self.acceptor.discard_accepted()
    }

    /// Returns the incoming replica set that is accepted here but not known to be chosen, if there is one.
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

    /// Returns the highest replica set version whose activation is accepted here and not known to be committed, or 0.
    pub(super) fn activated_version(&self) -> u64 {
        let replica_sets =
            self.acceptor.pending().filter_map(|(_, proposal)| activated_replica_set(proposal));
        replica_sets.map(|set| set.version).max().unwrap_or(0)
    }

    /// Returns whether a request with this epoch and these keys has to be rejected.
    ///
    /// Invariant: a sender that only knows an earlier replica set is rejected, because it would not reach a majority
    /// of the later one. While an incoming replica set that is accepted here may be chosen, only requests that
    /// resolve it are allowed.
    pub(super) fn is_fenced(&self, epoch: u64, keys: &[u64], configuration: &Configuration) -> bool {
        let is_unrelated = |proposal: &Proposal| !proposal.keys().iter().any(|key| keys.contains(key));
        epoch < configuration.epoch()
            || self.undecided_replica_set(configuration).is_some_and(|(_, set)| is_unrelated(&set))
    }

    /// Returns whether acceptance by these replicas means that the proposal of a request is chosen.
    ///
    /// A proposal of an incoming replica set also needs a write quorum of that set; otherwise a set that cannot form
    /// a quorum could become the incoming one. The activation of a replica set only needs a write quorum of that set.
    /// This is safe because its content equals the incoming set, which is chosen, and each replica that accepts the
    /// activation holds everything that was committed before. A read of both sets, or of the new one alone, therefore
    /// sees all of that. If the earlier set has lost its majority by then, the change could not complete in any other
    /// way.
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
