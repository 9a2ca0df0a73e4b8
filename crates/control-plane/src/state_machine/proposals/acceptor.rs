//! The acceptor role: this replica's responses to prepare and accept requests.

use super::Proposals;
use crate::state_machine::configuration::Configuration;
use bytes::Bytes;
use kitepass_coordination::consensus::{
    AcceptError, AcceptReason, Acceptance, Ballot, BallotReservation, Proposal, ProposalId, ProposalMessage,
};
use kitepass_coordination::protocol::{AcceptRequest, PrepareRequest, PrepareResponse, RejectedProposal};
use std::collections::BTreeSet;

/// Maximum size of the accepted proposals in one prepare response. The first proposal is reported whatever its size.
const MAX_ACCEPTED_BYTES: usize = 4 * 1024 * 1024;

impl Proposals {
    /// Fills `response` to the first request of a read: promises the ballot, if there is one, and reports the
    /// proposals accepted here. A returned reservation must be on disk before the response is sent.
    pub(in crate::state_machine) fn prepare(
        &mut self,
        request: &PrepareRequest,
        configuration: &Configuration,
        response: &mut PrepareResponse,
    ) -> Option<BallotReservation> {
        let (mut accepted, mut reservation) = (Vec::new(), None);
        if response.is_bootstrapped && self.is_fenced(request.epoch, &request.keys, configuration) {
            response.is_rejected = true;
            accepted.extend(self.undecided_replica_set(configuration));
        } else if let Some(ballot) = request.ballot {
            self.observe_ballot(ballot);
            match self.acceptor.prepare(ballot, &request.keys) {
                Ok(promise) => {
                    accepted = self.with_watched_names(promise.accepted, &request.watched_names);
                    reservation = promise.reservation;
                }
                Err(higher) => (response.is_rejected, response.ballot) = (true, Some(higher)),
            }
            let rejections = self.acceptor.rejections(&request.keys);
            response.rejected = rejections
                .map(|(id, ballot)| RejectedProposal { ballot, proposal_id: Bytes::copy_from_slice(&id.0) })
                .collect();
        } else if request.wants_all_undecided {
            accepted = self.accepted();
            // Invariant: after this response nothing more is accepted here under an earlier epoch, because it could
            // be chosen without this read having seen it.
            reservation = self.acceptor.fence(request.epoch);
        }
        report_accepted(&accepted, response);
        reservation
    }

    /// Adds the accepted proposals that contain items with these name keys to `accepted`.
    fn with_watched_names(
        &self,
        mut accepted: Vec<(Ballot, Proposal)>,
        name_keys: &[u64],
    ) -> Vec<(Ballot, Proposal)> {
        let known: BTreeSet<ProposalId> =
            accepted.iter().map(|(_, proposal)| proposal.proposal_id()).collect();
        let watched = self.acceptor.overlapping_names(name_keys);
        accepted.extend(watched.into_iter().filter(|(_, proposal)| !known.contains(&proposal.proposal_id())));
        accepted
    }

    /// Accepts a proposal or, if `proposal` is `None`, the rejection of one. Returns `None` if the request is of a
    /// kind that this version does not know.
    pub(in crate::state_machine) fn accept(
        &mut self,
        ballot: Ballot,
        proposal: Option<Proposal>,
        request: &AcceptRequest,
        configuration: &Configuration,
    ) -> Option<Result<Acceptance, AcceptError>> {
        let Some(proposal) = proposal else {
            let rejected = ProposalId::from_bytes(&request.rejected_proposal_id)?;
            return Some(self.acceptor.reject(ballot, rejected, &request.keys));
        };
        let reason = if request.was_accepted_before { AcceptReason::Resolve } else { AcceptReason::New };
        Some(self.acceptor.accept(ballot, proposal, reason, configuration.item_store()))
    }

    /// Records that a reservation is on disk.
    pub(in crate::state_machine) fn reservation_persisted(&mut self, reservation: BallotReservation) {
        self.acceptor.reservation_persisted(reservation);
    }
}

/// Reports the accepted proposals, as far as they fit into one message. A proposer that does not receive all of them
/// resolves the reported ones and reads again.
fn report_accepted(accepted: &[(Ballot, Proposal)], response: &mut PrepareResponse) {
    let mut bytes = 0;
    let fits = accepted.iter().take_while(|(_, proposal)| {
        let is_first = bytes == 0;
        bytes += proposal.bytes();
        is_first || bytes <= MAX_ACCEPTED_BYTES
    });
    response.accepted = fits.map(|(ballot, proposal)| ProposalMessage::new(*ballot, proposal)).collect();
    response.is_rejected |= response.accepted.len() < accepted.len();
}
