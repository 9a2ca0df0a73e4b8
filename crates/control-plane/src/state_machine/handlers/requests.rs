//! Requests of callers: accepted, resumed after a back-off, and answered.

use crate::request::{Request, Response, ABANDONED_REASON};
use crate::state_machine::proposals::{activated_replica_set, Caller, PendingId, PendingRequest, Phase};
use crate::state_machine::{Action, StateMachine};
use kitepass_config::{ConfigurationSnapshot, Item, Kind};
use kitepass_coordination::consensus::{observe, ObservedProposals, Proposal};
use kitepass_coordination::membership::{CURRENT, INCOMING};
use kitepass_time::Timestamp;
use log::{info, warn};

/// Returns the proposal of a request, if it is known before the first attempt. The proposal of an evacuation is
/// created in each attempt, and the reservations of a change are added in each attempt.
fn initial_proposal(request: &Request) -> Option<Proposal> {
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

/// Returns the error text for an item version that already exists with different content. The list names are those
/// that operators use.
pub(in crate::state_machine) fn conflict_message(item: &Item) -> String {
    let list = match item.kind {
        Kind::Route => "itineraries",
        Kind::Tenant => "customers",
        Kind::Service => "carrier-lines",
        Kind::Limits => "weight-limits",
        Kind::Evacuation => "evacuation",
        Kind::Backend => "backend",
        Kind::ReplicaSet => "cast",
        Kind::Reservation => "reservation",
    };
    format!("{list} {:?}: version r{} is taken by another content", item.name, item.version)
}

impl StateMachine {
    /// Handles a request of an operator, which has arrived at `arrived_at` or later. It is answered with an
    /// [`Action::Respond`] for the number `caller`.
    pub fn handle_request(&mut self, now: Timestamp, caller: u64, request: Request, arrived_at: Timestamp) {
        match self.unavailable_response(now) {
            Some(response) => self.push_action(Action::Respond(caller, response)),
            None => {
                let caller = Caller::new(caller, &request, arrived_at);
                self.start_request(now, Some(caller), request);
            }
        }
    }

    /// Handles the disconnection of an operator. Its change is not proposed from now on. A proposal that was made already
    /// may still be committed, and its outcome is the response.
    pub fn caller_left(&mut self, now: Timestamp, caller: u64) {
        let Some(id) = self.proposals.pending.caller_left(now, caller) else { return };
        if let Some(pending) = self.proposals.pending.get(id) {
            info!("event=caller-left request={} phase={}", pending.request.name(), pending.phase.name());
        }
        self.expire_requests(now);
    }

    /// Starts a request. `caller` receives its response, if given.
    pub(in crate::state_machine) fn start_request(
        &mut self,
        now: Timestamp,
        caller: Option<Caller>,
        request: Request,
    ) {
        let id = PendingId(self.next_request_id());
        let proposal = initial_proposal(&request);
        let mut observed = ObservedProposals::new();
        // Invariant: the known acceptance of a proposal is kept even if the attempt does not reach the only replica
        // that accepted it. Otherwise the attempt would take the proposal for unaccepted and drop it, and requests
        // blocked by it could wait forever.
        if let Request::ResolveProposal(proposal) = &request {
            let ballot = self.proposals.watch_list.ballot(proposal.proposal_id());
            observe(&mut observed, ballot.map(|ballot| (ballot, proposal.clone())));
        }
        let pending = PendingRequest::new(now, caller, request, proposal, observed);
        self.proposals.pending.insert(id, pending);
        self.start_attempt(now, id);
    }

    /// Ends a request and responds to its caller, if there is one.
    pub(in crate::state_machine) fn finish_request(&mut self, id: PendingId, response: Response) {
        let Some(pending) = self.proposals.pending.remove(id) else { return };
        if let Some(caller) = pending.caller {
            self.push_action(Action::Respond(caller.id, response));
        }
    }

    /// Ends a change that is not proposed, because its caller may have turned to another process.
    pub(in crate::state_machine) fn abandon_request(&mut self, id: PendingId) {
        if let Some(pending) = self.proposals.pending.get(id) {
            info!(
                "event=request-abandoned request={} phase={}",
                pending.request.name(),
                pending.phase.name()
            );
        }
        self.finish_request(id, Response::Unavailable(ABANDONED_REASON));
    }

    /// Ends all requests and redirects their callers to another process.
    pub(in crate::state_machine) fn finish_all_requests(&mut self, now: Timestamp) {
        self.redirect_requests_where(now, |_| true);
    }

    /// Ends the requests of all callers, because the process ends, and redirects them to another process. What was
    /// proposed may still be committed by others.
    pub fn redirect_callers(&mut self, now: Timestamp) {
        self.redirect_requests_where(now, |pending| pending.caller.is_some());
    }

    /// Ends the requests that the predicate holds for, and redirects their callers, if any, to another process.
    fn redirect_requests_where(&mut self, now: Timestamp, is_ended: impl Fn(&PendingRequest) -> bool) {
        let response = self.redirect(now);
        for id in self.proposals.pending.ids() {
            if self.proposals.pending.get(id).is_some_and(&is_ended) {
                self.finish_request(id, response.clone());
            }
        }
    }

    /// Ends requests that have exceeded their time-outs, and changes that are not proposed and whose callers may have turned
    /// to another process.
    pub(in crate::state_machine) fn expire_requests(&mut self, now: Timestamp) {
        for id in self.proposals.pending.overdue(now) {
            let Some(pending) = self.proposals.pending.get(id) else { continue };
            if pending.is_abandoned(now) && !pending.is_proposed() {
                self.abandon_request(id);
                continue;
            }
            warn!("event=request-timeout request={}", pending.request.name());
            self.finish_request(id, Response::Unavailable("the core did not bear it out in time"));
        }
    }

    /// Resumes requests that are no longer waiting. Must be called after any event that may end a wait.
    pub(in crate::state_machine) fn resume_requests(&mut self, now: Timestamp) {
        self.proposals.watch_list.remove_resolved(self.configuration.item_store());
        let watch_list = &self.proposals.watch_list;
        let resumable = self.proposals.pending.resumable(now, |id| watch_list.contains(*id));
        let epoch = self.configuration.epoch();
        for id in resumable {
            let Some(pending) = self.proposals.pending.get(id) else { continue };
            // A blocked read is complete once all of its proposals are resolved. Proposals accepted in the meantime
            // came after it.
            let was_blocked = matches!(pending.phase, Phase::Blocked(_));
            if pending.is_read_only() && was_blocked && pending.ballot.epoch == epoch {
                self.finish_read(now, id);
            } else {
                self.start_attempt(now, id);
            }
        }
    }

    /// Finishes a read whose observed proposals are all resolved.
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

    /// Finishes a request whose items are all committed.
    pub(in crate::state_machine) fn finish_change(&mut self, now: Timestamp, id: PendingId) {
        let Some(pending) = self.proposals.pending.get(id) else { return };
        let request = pending.request.clone();
        self.finish_request(id, Response::Done);
        match request {
            // Both replica sets have committed the incoming set. All earlier commits are read under both sets before
            // it is activated.
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

    /// Starts resolving another process's proposal.
    ///
    /// Invariant: an activation of a replica set is not proposed again by a process that has not read all commits of
    /// the earlier set. Otherwise the set could become current on replicas that lack some of those commits.
    pub(in crate::state_machine) fn start_resolving(&mut self, now: Timestamp, proposal: Proposal) {
        match activated_replica_set(&proposal) {
            Some(_) if self.proposals.pending.is_changing_replica_set() => {}
            Some(replica_set) => self.start_request(now, None, Request::PrepareActivation(replica_set)),
            None => self.start_request(now, None, Request::ResolveProposal(proposal)),
        }
    }
}
