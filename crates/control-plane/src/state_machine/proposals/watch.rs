//! Proposals that are accepted somewhere and not known to be resolved: somebody has to bring them to an end.

use kitepass_config::ItemStore;
use kitepass_coordination::consensus::{conflicting_item, is_committed, Ballot, Proposal, ProposalId};
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// How many proposals are watched, and how many rejections are remembered.
const MAX_WATCHED: usize = 1_024;
/// How many proposals of others this process begins to resolve in one tick.
const MAX_RESOLVED_PER_TICK: usize = 8;

struct Watched {
    proposal: Proposal,
    /// The highest ballot that it was reported with.
    ballot: Ballot,
    /// From then on this process resolves it.
    resolve_at: Timestamp,
    attempts: u32,
}

/// A proposal that is to be resolved now.
pub(in crate::state_machine) struct OverdueProposal {
    pub(in crate::state_machine) proposal: Proposal,
    /// How often this process has tried, this time counted.
    pub(in crate::state_machine) attempts: u32,
}

/// Proposals that are accepted somewhere, and those that are rejected.
#[derive(Default)]
pub(in crate::state_machine) struct WatchList {
    watched: BTreeMap<ProposalId, Watched>,
    /// Rejected proposals, and the ballot of each rejection.
    rejected: BTreeMap<ProposalId, Ballot>,
}

/// Whether a proposal is beyond any change: committed, or never to be.
pub(in crate::state_machine) fn is_resolved(proposal: &Proposal, item_store: &ItemStore) -> bool {
    is_committed(proposal, item_store) || conflicting_item(proposal, item_store).is_some()
}

impl WatchList {
    /// Whether another proposal can be watched.
    pub(in crate::state_machine) fn has_room(&self) -> bool {
        self.watched.len() < MAX_WATCHED
    }

    /// Watches a proposal that was reported with a ballot. One that is watched already keeps its time.
    pub(in crate::state_machine) fn add(
        &mut self,
        ballot: Ballot,
        proposal: &Proposal,
        resolve_at: Timestamp,
    ) {
        let watched = || Watched { proposal: proposal.clone(), ballot, resolve_at, attempts: 0 };
        let watched = self.watched.entry(proposal.proposal_id()).or_insert_with(watched);
        watched.ballot = watched.ballot.max(ballot);
    }

    pub(in crate::state_machine) fn remove(&mut self, id: ProposalId) {
        self.watched.remove(&id);
    }

    pub(in crate::state_machine) fn contains(&self, id: ProposalId) -> bool {
        self.watched.contains_key(&id)
    }

    /// The highest ballot that a watched proposal was reported with.
    pub(in crate::state_machine) fn ballot(&self, id: ProposalId) -> Option<Ballot> {
        self.watched.get(&id).map(|watched| watched.ballot)
    }

    /// Takes resolved proposals out, and keeps the rejections in bounds: prepare responses tell them again.
    pub(in crate::state_machine) fn remove_resolved(&mut self, item_store: &ItemStore) {
        self.watched.retain(|_, watched| !is_resolved(&watched.proposal, item_store));
        if self.rejected.len() > MAX_WATCHED {
            self.rejected.clear();
        }
    }

    /// Proposals that are to be resolved now: only that one, if `only` is given, and none of `busy`.
    pub(in crate::state_machine) fn overdue(
        &self,
        now: Timestamp,
        only: Option<ProposalId>,
        busy: &BTreeSet<ProposalId>,
    ) -> Vec<OverdueProposal> {
        let is_overdue = |id: &ProposalId, watched: &Watched| {
            watched.resolve_at <= now && only.is_none_or(|only| only == *id) && !busy.contains(id)
        };
        let overdue =
            self.watched.iter().filter(|(id, watched)| is_overdue(id, watched)).take(MAX_RESOLVED_PER_TICK);
        overdue
            .map(|(_, watched)| OverdueProposal {
                proposal: watched.proposal.clone(),
                attempts: watched.attempts + 1,
            })
            .collect()
    }

    /// A proposal is being resolved; should that fail, it is due again at `resolve_at`.
    pub(in crate::state_machine) fn resolve_attempted(
        &mut self,
        id: ProposalId,
        attempts: u32,
        resolve_at: Timestamp,
    ) {
        if let Some(watched) = self.watched.get_mut(&id) {
            (watched.attempts, watched.resolve_at) = (attempts, resolve_at);
        }
    }

    /// A proposal is rejected under a ballot.
    pub(in crate::state_machine) fn add_rejection(&mut self, id: ProposalId, ballot: Ballot) {
        let known = self.rejected.entry(id).or_insert(ballot);
        *known = ballot.max(*known);
    }

    pub(in crate::state_machine) fn is_rejected(&self, id: ProposalId) -> bool {
        self.rejected.contains_key(&id)
    }

    pub(in crate::state_machine) fn rejections(&self) -> &BTreeMap<ProposalId, Ballot> {
        &self.rejected
    }

    pub(in crate::state_machine) fn clear(&mut self) {
        self.watched.clear();
        self.rejected.clear();
    }
}
