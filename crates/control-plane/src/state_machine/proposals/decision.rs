//! The next step of a request that a read quorum has answered. At that point every earlier commit is either known to
//! this process or was reported as an accepted proposal.

use super::pending::{activated_replica_set, PendingRequest};
use super::watch::{is_resolved, WatchList};
use crate::request::Request;
use crate::state_machine::configuration::Configuration;
use kitepass_config::{has_forgotten_reservation, reservations_are_current, Item, ItemStore};
use kitepass_coordination::consensus::{
    conflicting_item, is_committed, name_key, possibly_chosen, proposal_status, ObservedProposals, Proposal,
    ProposalId, ProposalStatus,
};
use std::collections::BTreeSet;

/// The next step of a request that a read quorum has answered.
pub(in crate::state_machine) enum Decision {
    /// Start another attempt, because the configuration has changed since this one began.
    Retry,
    /// Start another attempt, because another change has claimed a register of this one.
    ReserveAgain,
    /// The request is a read, and it is complete.
    ReadComplete,
    /// These proposals have to be resolved first.
    BlockedBy(BTreeSet<ProposalId>),
    /// All proposed items are already committed.
    Committed,
    /// The version of this item already exists with different content.
    Conflict(Item),
    /// Propose this.
    Propose(Proposal),
    /// The proposal is invalid: propose its rejection.
    Reject { proposal: Proposal, reason: String },
    /// Nothing is left to do.
    NotNeeded,
}

/// Decides the next step of a request. `watch_list` holds the known rejections.
pub(in crate::state_machine) fn decide(
    pending: &PendingRequest,
    configuration: &Configuration,
    watch_list: &WatchList,
) -> Decision {
    if pending.ballot.epoch < configuration.epoch() {
        return Decision::Retry; // the replica set has changed since the attempt started
    }
    let observed = possibly_chosen(&pending.observed, watch_list.rejections());
    let Some(proposal) = &pending.proposal else { return decide_read(pending, &observed, configuration) };
    if let Request::Patch(_) = &pending.request {
        if let Some(decision) = decide_change(proposal, &observed, configuration.item_store()) {
            return decision;
        }
    }
    if let Request::Evacuate { zone, evacuated } = &pending.request {
        if proposal.items()[0].version != configuration.evacuation_item(zone, *evacuated).version {
            return Decision::Retry;
        }
    }
    match proposal_status(proposal, &observed, configuration.item_store()) {
        ProposalStatus::Committed => Decision::Committed,
        // Concurrent evacuations of the same zone use the same version; the later one retries with the next version.
        ProposalStatus::Conflicting(_) if matches!(pending.request, Request::Evacuate { .. }) => {
            Decision::Retry
        }
        ProposalStatus::Conflicting(item) => Decision::Conflict(item),
        ProposalStatus::BlockedBy(proposal_id) => Decision::BlockedBy([proposal_id].into()),
        ProposalStatus::AlreadyAccepted => decide_accepted(proposal, configuration.item_store()),
        ProposalStatus::New => decide_new(&pending.request, proposal, configuration, watch_list),
    }
}

/// Decides on an operator's change as far as its own items and its reservations determine the decision. Returns `None`
/// if it can be validated or proposed.
///
/// Invariant: a change is validated only against a configuration that includes every change that was chosen for an
/// earlier version of any of its registers. A read quorum has reported such a change as committed, or as accepted; in
/// the latter case it is resolved first.
fn decide_change(
    proposal: &Proposal,
    observed: &ObservedProposals,
    item_store: &ItemStore,
) -> Option<Decision> {
    if let Some(item) = conflicting_item(proposal.change(), item_store) {
        return Some(Decision::Conflict(item.clone()));
    }
    if is_committed(proposal.change(), item_store) {
        return Some(Decision::Committed);
    }
    let is_current = reservations_are_current(item_store, proposal.reservations());
    if is_current && observed.contains_key(&proposal.proposal_id()) {
        return None;
    }
    let registers: BTreeSet<u64> = proposal.reservations().map(name_key).collect();
    let claims_same_register =
        |other: &Proposal| other.reservations().any(|item| registers.contains(&name_key(item)));
    let unresolved = observed
        .values()
        .map(|(_, other)| other)
        .filter(|other| *other != proposal && claims_same_register(other) && !is_resolved(other, item_store));
    let unresolved: BTreeSet<ProposalId> = unresolved.map(Proposal::proposal_id).collect();
    if !unresolved.is_empty() {
        Some(Decision::BlockedBy(unresolved))
    } else if is_current {
        None
    } else {
        Some(Decision::ReserveAgain)
    }
}

/// Decides on a proposal that a replica has accepted. It was validated before, so it is proposed without being validated
/// again, unless its reservations are so old that the registers no longer tell whether they still hold.
fn decide_accepted(proposal: &Proposal, item_store: &ItemStore) -> Decision {
    if has_forgotten_reservation(item_store, proposal.reservations()) {
        let change: Vec<Item> = proposal.change().cloned().collect();
        if let Err(error) = kitepass_config::validate(item_store, &change) {
            return Decision::Reject { proposal: proposal.clone(), reason: error.to_string() };
        }
    }
    Decision::Propose(proposal.clone())
}

/// Decides on a read, which is complete once all proposals that it observed are resolved.
///
/// There are two exceptions for the read that precedes the activation of a replica set. It does not wait for the
/// proposal of that activation, which itself depends on the read. And if a replica has already accepted the
/// activation, the read waits for nothing: everything that the earlier replica set may have chosen was resolved
/// before that acceptance. Waiting could block forever, because too few replicas of the earlier set may be left to
/// resolve anything.
fn decide_read(
    pending: &PendingRequest,
    observed: &ObservedProposals,
    configuration: &Configuration,
) -> Decision {
    let incoming = configuration.joint_replica_sets().and_then(|sets| sets.incoming);
    let is_activated = incoming.is_some_and(|incoming| incoming.version == pending.activated_version);
    let precedes_activation = matches!(pending.request, Request::PrepareActivation(_));
    let is_ignored = |proposal: &Proposal| {
        precedes_activation && (is_activated || activated_replica_set(proposal).is_some())
    };
    let proposals = observed.values().map(|(_, proposal)| proposal);
    let unresolved = proposals
        .filter(|proposal| !is_resolved(proposal, configuration.item_store()) && !is_ignored(proposal))
        .map(Proposal::proposal_id);
    let unresolved: BTreeSet<ProposalId> = unresolved.collect();
    if unresolved.is_empty() {
        Decision::ReadComplete
    } else {
        Decision::BlockedBy(unresolved)
    }
}

/// Decides on a proposal that none of the responding replicas has accepted. It is not chosen, and it may be rejected.
fn decide_new(
    request: &Request,
    proposal: &Proposal,
    configuration: &Configuration,
    watch_list: &WatchList,
) -> Decision {
    match request {
        // Invariant: a request for an evacuation draws a version of its own, also if the zone already has the desired state.
        // Otherwise an earlier proposal, accepted by a replica outside this read quorum, could be chosen for that version
        // afterwards and undo the request.
        Request::Evacuate { .. } => Decision::Propose(proposal.clone()),
        Request::Patch(items) => match kitepass_config::validate(configuration.item_store(), items) {
            Ok(()) => Decision::Propose(proposal.clone()),
            Err(error) => Decision::Reject { proposal: proposal.clone(), reason: error.to_string() },
        },
        // Invariant: a known rejection is proposed to all replicas. A replica that has accepted the proposal but does
        // not know the rejection would keep reporting it for as long as the rejection is remembered, and the proposal
        // could take effect after that.
        Request::ResolveProposal(_) if watch_list.is_rejected(proposal.change_id()) => {
            Decision::Reject { proposal: proposal.clone(), reason: "already rejected".into() }
        }
        // The proposal is not chosen. Its own client can submit it again.
        Request::ResolveProposal(_) => Decision::NotNeeded,
        Request::ProposeReplicaSet(incoming) => {
            let current = configuration.replica_set();
            if current.is_none_or(|current| current.version + 1 != incoming.version) {
                Decision::NotNeeded
            } else {
                Decision::Propose(proposal.clone())
            }
        }
        _ => Decision::Propose(proposal.clone()),
    }
}
