//! The watch list: proposals that some replica has accepted and that are not known to be resolved.

use kitepass_config::ItemStore;
use kitepass_coordination::consensus::{conflicting_item, is_committed, Ballot, Proposal, ProposalId};
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of watched proposals, and of remembered rejections.
const MAX_WATCHED: usize = 1_024;
/// Maximum number of watched proposals that this process starts to resolve in one tick.
const MAX_RESOLVED_PER_TICK: usize = 8;

struct Watched {
    proposal: Proposal,
    /// The highest ballot that the proposal was reported with.
    ballot: Ballot,
    /// When this process starts to resolve the proposal.
    resolve_at: Timestamp,
    attempts: u32,
}

/// A proposal that is due to be resolved.
pub(in crate::state_machine) struct OverdueProposal {
    pub(in crate::state_machine) proposal: Proposal,
    /// The number of times this process has tried to resolve it, including this time.
    pub(in crate::state_machine) attempts: u32,
}

/// Watched proposals, and known rejections.
#[derive(Default)]
pub(in crate::state_machine) struct WatchList {
    watched: BTreeMap<ProposalId, Watched>,
    /// Rejected changes by their ids, with the ballot of each rejection.
    rejected: BTreeMap<ProposalId, Ballot>,
}

/// Returns whether the outcome of a proposal is final: it is committed, or it can never be.
pub(in crate::state_machine) fn is_resolved(proposal: &Proposal, item_store: &ItemStore) -> bool {
    let items = || proposal.items().iter();
    is_committed(items(), item_store) || conflicting_item(items(), item_store).is_some()
}

impl WatchList {
    /// Returns whether another proposal can be watched.
    pub(in crate::state_machine) fn has_room(&self) -> bool {
        self.watched.len() < MAX_WATCHED
    }

    /// Watches a proposal that was reported with a ballot. A proposal that is already watched keeps its resolution
    /// time.
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

    /// Returns the highest ballot that a watched proposal was reported with.
    pub(in crate::state_machine) fn ballot(&self, id: ProposalId) -> Option<Ballot> {
        self.watched.get(&id).map(|watched| watched.ballot)
    }

    /// Removes resolved proposals, and clears the rejections if there are too many: prepare responses report them
    /// again.
    pub(in crate::state_machine) fn remove_resolved(&mut self, item_store: &ItemStore) {
        self.watched.retain(|_, watched| !is_resolved(&watched.proposal, item_store));
        if self.rejected.len() > MAX_WATCHED {
            self.rejected.clear();
        }
    }

    /// Returns the proposals that are due to be resolved, excluding those `in_progress`. If `restricted_to` is given,
    /// only that proposal is considered.
    pub(in crate::state_machine) fn overdue(
        &self,
        now: Timestamp,
        restricted_to: Option<ProposalId>,
        in_progress: &BTreeSet<ProposalId>,
    ) -> Vec<OverdueProposal> {
        let is_overdue = |id: &ProposalId, watched: &Watched| {
            watched.resolve_at <= now
                && restricted_to.is_none_or(|allowed| allowed == *id)
                && !in_progress.contains(id)
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

    /// Records an attempt to resolve a proposal. If it fails, the proposal is due again at `resolve_at`.
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

    /// Records that the change with this id was rejected under a ballot.
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
