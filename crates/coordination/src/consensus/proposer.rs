//! The proposer's side: what the answers to a prepare request mean for its proposal.

use super::proposal::{Proposal, ProposalId};
use super::safeguard::Safeguard;
use crate::protocol::Ballot;
use kitepass_config::{Item, ItemStore, VersionStatus};
use std::collections::BTreeMap;

/// The accepted proposals that were reported to a proposer, each with the highest ballot that it was reported with.
///
/// What was reported while other proposals were resolved is kept: chains of proposals that block one another go up in
/// ballots, and so they end.
pub type ObservedProposals = BTreeMap<ProposalId, (Ballot, Proposal)>;

/// Adds what a replica reported.
pub fn observe(observed: &mut ObservedProposals, reported: impl IntoIterator<Item = (Ballot, Proposal)>) {
    for (ballot, proposal) in reported {
        let known = observed.entry(proposal.proposal_id()).or_insert((ballot, proposal));
        known.0 = known.0.max(ballot);
    }
}

/// The observed proposals that may be chosen. A rejection, whichever replica reported it, says that a proposal was not
/// chosen below the rejection's ballot and never will be.
pub fn possibly_chosen(
    observed: &ObservedProposals,
    rejected: &BTreeMap<ProposalId, Ballot>,
) -> ObservedProposals {
    let is_rejected = |proposal_id: &ProposalId, ballot: Ballot| {
        rejected.get(proposal_id).is_some_and(|rejection| *rejection >= ballot)
    };
    let open = observed.iter().filter(|(proposal_id, (ballot, _))| !is_rejected(proposal_id, *ballot));
    open.map(|(proposal_id, accepted)| (*proposal_id, accepted.clone())).collect()
}

/// The first item of a proposal that is committed with other content: with it the proposal can never be chosen.
pub fn conflicting_item<'a>(proposal: &'a Proposal, item_store: &ItemStore) -> Option<&'a Item> {
    let is_conflicting = |item: &&Item| item_store.version_status(item) == VersionStatus::DifferentContent;
    proposal.items().iter().find(is_conflicting)
}

/// Whether all items of a proposal are committed, or too old to have an effect.
pub fn is_committed(proposal: &Proposal, item_store: &ItemStore) -> bool {
    proposal.items().iter().all(|item| {
        matches!(item_store.version_status(item), VersionStatus::SameContent | VersionStatus::Pruned)
    })
}

/// What is known of a proposal after phase 1.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStatus {
    /// All its items are committed: it is confirmed.
    Committed,
    /// An item's version is committed with other content. This is final: no part of the proposal ever takes effect.
    Conflicting(Item),
    /// This proposal may have been chosen on one of the keys: it is resolved first, then all begins again.
    BlockedBy(ProposalId),
    /// It was accepted somewhere and may be chosen already: it is proposed without being validated again.
    AlreadyAccepted,
    /// No replica that responded has accepted it: it is validated, then proposed.
    New,
}

/// What is known of a proposal after a read quorum has answered for all its keys.
///
/// `observed` are the proposals that may be chosen, see [`possibly_chosen`]; `item_store` holds all that was reported to
/// be committed.
pub fn proposal_status(
    proposal: &Proposal,
    observed: &ObservedProposals,
    item_store: &ItemStore,
) -> ProposalStatus {
    evaluate(proposal, observed, item_store, None)
}

/// As [`proposal_status`], without one of the safeguards.
pub(crate) fn evaluate(
    proposal: &Proposal,
    observed: &ObservedProposals,
    item_store: &ItemStore,
    disabled: Option<Safeguard>,
) -> ProposalStatus {
    if let Some(item) = conflicting_item(proposal, item_store) {
        return ProposalStatus::Conflicting(item.clone());
    }
    if is_committed(proposal, item_store) {
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

/// A proposal that may have been chosen for a key, ordered by ballot: as in Paxos, the highest one counts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    ballot: Ballot,
    proposal_id: ProposalId,
}

/// Of the proposals that may have been chosen on an undecided key of this one, the one with the highest ballot.
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
    // A proposal that can never be chosen would block the others for ever.
    let can_be_chosen = |proposal: &Proposal| {
        disabled == Some(Safeguard::IgnoreConflicting) || conflicting_item(proposal, item_store).is_none()
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
