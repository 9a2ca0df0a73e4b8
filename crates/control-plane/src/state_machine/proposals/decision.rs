//! What follows once a read quorum has answered a request. By then this process knows every earlier commit, or the
//! answers reported it as an accepted proposal.

use super::pending::{activated_replica_set, PendingRequest};
use super::watch::{is_resolved, WatchList};
use crate::request::Request;
use crate::state_machine::configuration::Configuration;
use kitepass_config::Item;
use kitepass_coordination::consensus::{
    possibly_chosen, proposal_status, ObservedProposals, Proposal, ProposalId, ProposalStatus,
};
use std::collections::BTreeSet;

/// What is to be done with a request that a read quorum has answered.
pub(in crate::state_machine) enum Decision {
    /// Something has changed meanwhile: another attempt begins.
    Retry,
    /// The request only reads, and has.
    ReadComplete,
    /// These proposals have to be resolved first.
    BlockedBy(BTreeSet<ProposalId>),
    /// All that it proposes is committed already.
    Committed,
    /// Another content has taken the version of this item.
    Conflict(Item),
    /// It is proposed.
    Propose(Proposal),
    /// It is invalid; the rejection is proposed in its place.
    Reject { proposal: Proposal, reason: String },
    /// There is nothing left to do.
    NotNeeded,
}

/// Decides what is done next with a request; `watch_list` knows which proposals are rejected.
pub(in crate::state_machine) fn decide(
    pending: &PendingRequest,
    configuration: &Configuration,
    watch_list: &WatchList,
) -> Decision {
    if pending.ballot.epoch < configuration.epoch() {
        return Decision::Retry; // another replica set has come meanwhile
    }
    let observed = possibly_chosen(&pending.observed, watch_list.rejections());
    let Some(proposal) = &pending.proposal else { return decide_read(pending, &observed, configuration) };
    if let Request::Evacuate { zone, on } = &pending.request {
        if proposal.items()[0].version != configuration.evacuation_item(zone, *on).version {
            return Decision::Retry;
        }
    }
    match proposal_status(proposal, &observed, configuration.item_store()) {
        ProposalStatus::Committed => Decision::Committed,
        // Two that evacuate one zone draw the same version: the later one takes the next.
        ProposalStatus::Conflicting(_) if matches!(pending.request, Request::Evacuate { .. }) => {
            Decision::Retry
        }
        ProposalStatus::Conflicting(item) => Decision::Conflict(item),
        ProposalStatus::BlockedBy(proposal_id) => Decision::BlockedBy([proposal_id].into()),
        ProposalStatus::AlreadyAccepted => Decision::Propose(proposal.clone()),
        ProposalStatus::New => decide_new(&pending.request, proposal, configuration, watch_list),
    }
}

/// A read is complete once all proposals that it observed are resolved.
///
/// There are two exceptions for the read that must precede the activation of a replica set. It does not wait for the
/// proposal of that activation, which itself waits for the read. And where a replica has accepted the activation already,
/// it waits for nothing: what the earlier replica set may have chosen was resolved before that acceptance. Waiting could
/// block for ever, as too few of the earlier set may be left to resolve anything.
fn decide_read(
    pending: &PendingRequest,
    observed: &ObservedProposals,
    configuration: &Configuration,
) -> Decision {
    let incoming = configuration.joint_replica_sets().and_then(|sets| sets.incoming);
    let is_activated = incoming.is_some_and(|incoming| incoming.version == pending.activated_version);
    let precedes_activation = matches!(pending.request, Request::PrepareActivation(_));
    let is_passed_over = |proposal: &Proposal| {
        precedes_activation && (is_activated || activated_replica_set(proposal).is_some())
    };
    let proposals = observed.values().map(|(_, proposal)| proposal);
    let open = proposals
        .filter(|proposal| !is_resolved(proposal, configuration.item_store()) && !is_passed_over(proposal))
        .map(Proposal::proposal_id);
    let open: BTreeSet<ProposalId> = open.collect();
    if open.is_empty() {
        Decision::ReadComplete
    } else {
        Decision::BlockedBy(open)
    }
}

/// Decides on a proposal that none of the replicas that answered has accepted: it is chosen nowhere, and may be rejected.
fn decide_new(
    request: &Request,
    proposal: &Proposal,
    configuration: &Configuration,
    watch_list: &WatchList,
) -> Decision {
    match request {
        // Invariant: an evacuation that stands already is answered only now that all that others accepted for the zone is
        // resolved. Answered before, it could be undone by what came before it.
        Request::Evacuate { zone, on } if configuration.is_evacuated(zone) == *on => Decision::NotNeeded,
        Request::Patch(items) => match kitepass_config::validate(configuration.item_store(), items) {
            Ok(()) => Decision::Propose(proposal.clone()),
            Err(error) => Decision::Reject { proposal: proposal.clone(), reason: error.to_string() },
        },
        // Invariant: a rejection that is known goes to all. A replica that has accepted the proposal and has not heard of
        // its rejection would bring it up for as long as that is remembered, and in force after that.
        Request::ResolveProposal(_) if watch_list.is_rejected(proposal.proposal_id()) => {
            Decision::Reject { proposal: proposal.clone(), reason: "denied before".into() }
        }
        // It is not chosen, and whoever wants it will see to it.
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
