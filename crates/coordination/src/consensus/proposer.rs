//! The proposer's side: evaluates the responses to a prepare request.

use super::proposal::{Proposal, ProposalId};
use super::safeguard::Safeguard;
use crate::protocol::Ballot;
use kitepass_config::{Item, ItemStore, VersionStatus};
use std::collections::BTreeMap;

/// The accepted proposals that were reported to a proposer, each with the highest reported ballot.
///
/// Reports are kept while the proposer resolves other proposals. Along a chain of proposals that block one another the
/// ballots increase, so every chain ends.
pub type ObservedProposals = BTreeMap<ProposalId, (Ballot, Proposal)>;

/// Adds the accepted proposals that a replica reported.
pub fn observe(observed: &mut ObservedProposals, reported: impl IntoIterator<Item = (Ballot, Proposal)>) {
    for (ballot, proposal) in reported {
        let known = observed.entry(proposal.proposal_id()).or_insert((ballot, proposal));
        known.0 = known.0.max(ballot);
    }
}

/// The observed proposals that may have been chosen. A rejection reported by any replica means that no proposal of the
/// change with this ID was chosen below the rejection's ballot, and none ever will be.
pub fn possibly_chosen(
    observed: &ObservedProposals,
    rejected: &BTreeMap<ProposalId, Ballot>,
) -> ObservedProposals {
    let is_rejected = |proposal: &Proposal, ballot: Ballot| {
        rejected.get(&proposal.change_id()).is_some_and(|rejection| *rejection >= ballot)
    };
    let possible = observed.iter().filter(|(_, (ballot, proposal))| !is_rejected(proposal, *ballot));
    possible.map(|(proposal_id, accepted)| (*proposal_id, accepted.clone())).collect()
}

/// The first item of a proposal that is already committed with different content. If there is one, the proposal can
/// never be chosen.
pub fn conflicting_item<'a>(
    items: impl IntoIterator<Item = &'a Item>,
    item_store: &ItemStore,
) -> Option<&'a Item> {
    let is_conflicting = |item: &&Item| item_store.version_status(item) == VersionStatus::DifferentContent;
    items.into_iter().find(is_conflicting)
}

/// Whether all items of a proposal are committed, or have versions too old to have any effect.
pub fn is_committed<'a>(items: impl IntoIterator<Item = &'a Item>, item_store: &ItemStore) -> bool {
    items.into_iter().all(|item| {
        matches!(item_store.version_status(item), VersionStatus::SameContent | VersionStatus::Pruned)
    })
}

/// The status of a proposal after phase 1.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStatus {
    /// All its items are committed: the proposal can be confirmed.
    Committed,
    /// An item's version is already committed with different content. This is final: no part of the proposal will ever
    /// take effect.
    Conflicting(Item),
    /// Another proposal, with this ID, may have been chosen on one of the keys. It must be resolved first; then the
    /// proposer starts over.
    BlockedBy(ProposalId),
    /// A replica has accepted it, so it may already be chosen: it is proposed without being validated again.
    AlreadyAccepted,
    /// No replica that responded has accepted it: it is validated and then proposed.
    New,
}

/// Determines the status of a proposal after a read quorum has responded for all its keys.
///
/// `observed` contains the proposals that may have been chosen, see [`possibly_chosen`]. `item_store` contains
/// everything that was reported as committed.
pub fn proposal_status(
    proposal: &Proposal,
    observed: &ObservedProposals,
    item_store: &ItemStore,
) -> ProposalStatus {
    proposal_status_without(proposal, observed, item_store, None)
}

/// Like [`proposal_status`], with one safeguard disabled by a test.
pub(crate) fn proposal_status_without(
    proposal: &Proposal,
    observed: &ObservedProposals,
    item_store: &ItemStore,
    disabled: Option<Safeguard>,
) -> ProposalStatus {
    if let Some(item) = conflicting_item(proposal.items().iter(), item_store) {
        return ProposalStatus::Conflicting(item.clone());
    }
    if is_committed(proposal.items().iter(), item_store) {
        return ProposalStatus::Committed;
    }
    if disabled != Some(Safeguard::ResolveFirst) {
        if let Some(proposal_id) = blocking_proposal(proposal, observed, item_store, disabled) {
            return ProposalStatus::BlockedBy(proposal_id);
        }
    }
    if observed.contains_key(&proposal.proposal_id()) {
        ProposalStatus::AlreadyAccepted
    } else {
        ProposalStatus::New
    }
}

/// A proposal that may have been chosen for a key. Candidates are ordered by ballot because, as in Paxos, the one with
/// the highest ballot takes precedence.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    ballot: Ballot,
    proposal_id: ProposalId,
}

/// Of the proposals that may have been chosen on an undecided key of this proposal, the ID of the one with the highest
/// ballot.
fn blocking_proposal(
    proposal: &Proposal,
    observed: &ObservedProposals,
    item_store: &ItemStore,
    disabled: Option<Safeguard>,
) -> Option<ProposalId> {
    let candidates = candidates_by_key(observed, item_store, disabled);
    let is_undecided = |item: &Item| item_store.version_status(item) == VersionStatus::Undecided;
    let blocks = |item: &Item, candidate: &Candidate| {
        let has_same_content = || observed[&candidate.proposal_id].1.items().contains(item);
        let is_exempt = disabled == Some(Safeguard::ResolveSameContent) && has_same_content();
        candidate.proposal_id != proposal.proposal_id() && !is_exempt
    };
    let instances = proposal.items().iter().zip(proposal.keys());
    let undecided = instances.filter(|(item, _)| is_undecided(item));
    let contested = undecided.filter_map(|(item, key)| Some((item, candidates.get(key)?)));
    let blocking = contested.filter(|(item, candidate)| blocks(item, candidate));
    blocking.map(|(_, candidate)| *candidate).max().map(|candidate| candidate.proposal_id)
}

fn candidates_by_key(
    observed: &ObservedProposals,
    item_store: &ItemStore,
    disabled: Option<Safeguard>,
) -> BTreeMap<u64, Candidate> {
    // A proposal that can never be chosen would block the others forever.
    let can_be_chosen = |proposal: &Proposal| {
        disabled == Some(Safeguard::IgnoreConflicting)
            || conflicting_item(proposal.items().iter(), item_store).is_none()
    };
    let mut candidates = BTreeMap::new();
    for (ballot, proposal) in observed.values().filter(|(_, proposal)| can_be_chosen(proposal)) {
        let candidate = Candidate { ballot: *ballot, proposal_id: proposal.proposal_id() };
        for key in proposal.keys() {
            let highest = candidates.entry(*key).or_insert(candidate);
            *highest = candidate.max(*highest);
        }
    }
    candidates
}
