//! Callers' requests: taken, resumed after a pause, and answered.

use crate::request::{Request, Response};
use crate::state_machine::proposals::{activated_replica_set, PendingId, PendingRequest, Phase};
use crate::state_machine::{Action, StateMachine};
use kitepass_config::{ConfigurationSnapshot, Item, Kind};
use kitepass_coordination::consensus::{observe, ObservedProposals, Proposal};
use kitepass_coordination::membership::{CURRENT, INCOMING};
use kitepass_time::Timestamp;
use log::{info, warn};

/// What a request proposes, as far as it is known before the first attempt: an evacuation's proposal is made in each
/// attempt.
fn proposal_of(request: &Request) -> Option<Proposal> {
    match request {
        Request::Patch(items) => Some(Proposal::new(items.clone())),
        Request::ResolveProposal(proposal) => Some(proposal.clone()),
        Request::ProposeReplicaSet(replica_set) => Some(Proposal::new(vec![replica_set.to_item(INCOMING)])),
        Request::ActivateReplicaSet(replica_set) => Some(Proposal::new(vec![replica_set.to_item(CURRENT)])),
        Request::Evacuate { .. } | Request::Get | Request::ReadMajority | Request::PrepareActivation(_) => {
            None
        }
    }
}

/// What a caller reads whose version another content has taken. Operators know the lists by these names.
pub(in crate::state_machine) fn conflict_text(item: &Item) -> String {
    let list = match item.kind {
        Kind::Route => "itineraries",
        Kind::Tenant => "customers",
        Kind::Service => "carrier-lines",
        Kind::Limits => "weight-limits",
        Kind::Evacuation => "evacuation",
        Kind::Backend => "backend",
        Kind::ReplicaSet => "cast",
    };
    format!("{list} {:?}: version r{} is taken by another content", item.name, item.version)
}

impl StateMachine {
    /// A request of an operator; it is answered with an [`Action::Respond`] under the number `caller`.
    pub fn handle_request(&mut self, now: Timestamp, caller: u64, request: Request) {
        match self.refusal(now) {
            Some(response) => self.push(Action::Respond(caller, response)),
            None => self.start_request(now, Some(caller), request),
        }
    }

    /// Begins a request; `caller` waits for its answer, if there is one.
    pub(in crate::state_machine) fn start_request(
        &mut self,
        now: Timestamp,
        caller: Option<u64>,
        request: Request,
    ) {
        let id = PendingId(self.next_request_id());
        let proposal = proposal_of(&request);
        let mut observed = ObservedProposals::new();
        // Invariant: what is known of a proposal's acceptance isn't lost by an attempt that misses the one replica which
        // accepted it. Otherwise it would be left for ever to whoever waits behind it.
        if let Request::ResolveProposal(proposal) = &request {
            let ballot = self.proposals.watch_list.ballot(proposal.proposal_id());
            observe(&mut observed, ballot.map(|ballot| (ballot, proposal.clone())));
        }
        let pending = PendingRequest::new(now, caller, request, proposal, observed);
        self.proposals.pending.insert(id, pending);
        self.start_attempt(now, id);
    }

    /// Ends a request and answers its caller, if there is one.
    pub(in crate::state_machine) fn finish_request(&mut self, id: PendingId, response: Response) {
        let Some(pending) = self.proposals.pending.remove(id) else { return };
        if let Some(caller) = pending.caller {
            self.push(Action::Respond(caller, response));
        }
    }

    /// Ends all requests: their callers are sent to another process.
    pub(in crate::state_machine) fn finish_all_requests(&mut self, now: Timestamp) {
        let response = self.redirect(now);
        for id in self.proposals.pending.ids() {
            self.finish_request(id, response.clone());
        }
    }

    /// Ends requests that are past their time-outs.
    pub(in crate::state_machine) fn expire_requests(&mut self, now: Timestamp) {
        for id in self.proposals.pending.overdue(now) {
            if let Some(pending) = self.proposals.pending.get(id) {
                warn!("event=request-timeout request={}", pending.request.name());
            }
            self.finish_request(id, Response::Unavailable("the core did not bear it out in time"));
        }
    }

    /// Resumes the requests that wait no longer. To be called after whatever may have changed that.
    pub(in crate::state_machine) fn resume_requests(&mut self, now: Timestamp) {
        self.proposals.watch_list.remove_resolved(self.configuration.item_store());
        let watch_list = &self.proposals.watch_list;
        let resumable = self.proposals.pending.resumable(now, |id| watch_list.contains(*id));
        let epoch = self.configuration.epoch();
        for id in resumable {
            let Some(pending) = self.proposals.pending.get(id) else { continue };
            // A reading whose proposals are all resolved is complete: others that came meanwhile came after it.
            let was_blocked = matches!(pending.phase, Phase::Blocked(_));
            if pending.is_read_only() && was_blocked && pending.ballot.epoch == epoch {
                self.finish_read(now, id);
            } else {
                self.start_attempt(now, id);
            }
        }
    }

    /// A reading is complete, and all proposals that it told of are resolved.
    pub(in crate::state_machine) fn finish_read(&mut self, now: Timestamp, id: PendingId) {
        if !self.has_quorum(now) {
            return;
        }
        match self.proposals.pending.get(id).map(|pending| pending.request.clone()) {
            Some(Request::Get) => {
                let snapshot = ConfigurationSnapshot::new(self.item_store());
                self.finish_request(id, Response::Configuration(snapshot));
            }
            Some(Request::ReadMajority) => {
                self.finish_request(id, Response::Done);
                self.activate_coordinator(now);
            }
            Some(Request::PrepareActivation(replica_set)) => {
                self.finish_request(id, Response::Done);
                self.start_request(now, None, Request::ActivateReplicaSet(replica_set));
            }
            _ => {}
        }
    }

    /// All of a request's items are committed.
    pub(in crate::state_machine) fn finish_change(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        let request = pending.request.clone();
        self.finish_request(id, Response::Done);
        match request {
            // Both replica sets have it. All that was committed before is read under it, then it is put in force.
            Request::ProposeReplicaSet(replica_set) => {
                self.start_request(now, None, Request::PrepareActivation(replica_set))
            }
            Request::ActivateReplicaSet(replica_set) => {
                let replicas = replica_set.replicas.len();
                info!("event=replica-set-in-force version={} replicas={replicas}", replica_set.version);
            }
            _ => {}
        }
    }

    /// Begins to resolve a proposal of another.
    ///
    /// Invariant: one that puts a replica set in force isn't proposed again as it is, by a process that has not read all
    /// that was committed under the earlier set. It would be in force on replicas that lack some of that.
    pub(in crate::state_machine) fn resolve(&mut self, now: Timestamp, proposal: Proposal) {
        match activated_replica_set(&proposal) {
            Some(_) if self.proposals.pending.is_changing_replica_set() => {}
            Some(replica_set) => self.start_request(now, None, Request::PrepareActivation(replica_set)),
            None => self.start_request(now, None, Request::ResolveProposal(proposal)),
        }
    }
}
