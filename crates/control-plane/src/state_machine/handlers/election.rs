//! The lease of the coordinator role: requests, votes, and the duties of its holder.

use crate::endpoints::Endpoint;
use crate::request::Request;
use crate::state_machine::coordinator::{CoordinatorState, VoteContext, VoteDecision};
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::{ReplicaState, StateMachine};
use kitepass_coordination::protocol::{ItemMessage, Items, LeaseRequest, LeaseVote, Message};
use kitepass_time::{Duration, Timestamp};
use log::debug;

/// Upper bound of the random delay between two requests for the lease.
const MAX_LEASE_REQUEST_DELAY_MICROS: u64 = 400_000;

impl StateMachine {
    /// Handles a lease request from the replica `candidate` at `node_id`.
    pub(in crate::state_machine) fn handle_lease_request(
        &mut self,
        now: Timestamp,
        node_id: &str,
        candidate: &str,
        request: &LeaseRequest,
    ) {
        let replica_sets = self.configuration.joint_replica_sets();
        // Invariant: a replica set that is accepted here may already be chosen, so from then on a candidate that
        // counts votes by the previous set is rejected.
        let undecided = self.proposals.undecided_replica_set(&self.configuration);
        let fencing_epoch = undecided.map_or(0, |_| self.configuration.epoch() | 1);
        // Invariant: only members with a complete disk vote. A replica that lost its disk may have been replaced.
        let is_member = replica_sets.as_ref().is_some_and(|sets| sets.contains(&self.identity.name));
        let may_grant = self.lifecycle.is_complete() && is_member;
        let context = VoteContext { replica_sets: replica_sets.as_ref(), fencing_epoch, may_grant };
        match self.coordinator.vote(now, candidate, request, &context) {
            VoteDecision::Ready(vote) => self.deliver_lease_vote(now, node_id, vote),
            VoteDecision::AfterRecord(recorded, vote) => {
                let record = recorded.to_record();
                let node_id = node_id.to_owned();
                self.persist(vec![record], PendingWrite::Vote { node_id, recorded, vote });
            }
        }
    }

    /// Sends a vote, or handles it directly if this process is the candidate.
    pub(in crate::state_machine) fn deliver_lease_vote(
        &mut self,
        now: Timestamp,
        node_id: &str,
        vote: LeaseVote,
    ) {
        if node_id == self.identity.replica.node_id {
            let name = self.identity.name.clone();
            self.handle_lease_vote(now, &name, &vote);
        } else {
            self.send_to_peer(node_id, Message::LeaseVote(vote));
        }
    }

    /// Handles the vote of the replica `voter`.
    pub(in crate::state_machine) fn handle_lease_vote(
        &mut self,
        now: Timestamp,
        voter: &str,
        vote: &LeaseVote,
    ) {
        let Some(replica_sets) = self.configuration.joint_replica_sets() else { return };
        if self.coordinator.receive_vote(now, voter, vote, &replica_sets).is_some() {
            self.start_request(now, None, Request::ReadMajority);
            self.send_heartbeats(now);
        }
    }

    /// Activates the coordinator role: a read quorum has been read since the lease was won.
    pub(in crate::state_machine) fn activate_coordinator(&mut self, now: Timestamp) {
        if self.coordinator.complete_recovery(now) {
            self.send_heartbeats(now);
        }
    }

    /// Returns the term under which this process is the active coordinator: it holds the lease, and has completed a
    /// quorum read since it won it.
    pub fn active_term(&self, now: Timestamp) -> Option<u64> {
        self.coordinator.active_term(now)
    }

    /// Returns the term under which this process holds the coordinator lease.
    pub fn lease_term(&self, now: Timestamp) -> Option<u64> {
        self.coordinator.lease_term(now)
    }

    /// Requests the lease if it is free, renews it if it is held, and performs the coordinator's periodic work.
    pub(in crate::state_machine) fn tick_lease(&mut self, now: Timestamp) {
        let Some(replica_sets) = self.configuration.joint_replica_sets() else { return };
        self.coordinator.observe_replica_set(now, replica_sets.newest());
        self.membership.track(now, &replica_sets.current);
        let is_free = self.coordinator.is_lease_free_for(now, &self.identity.name)
            && self.quorum.coordinator().is_none();
        if self.lease_term(now).is_none() {
            self.coordinator.step_down();
        }
        match self.replica_state() {
            ReplicaState::ShuttingDown => return self.leave(now),
            ReplicaState::Serving if self.lifecycle.is_complete() => {
                self.take_over_change(now, replica_sets.incoming.as_ref());
            }
            _ => return,
        }
        if !replica_sets.current.contains(&self.identity.name) {
            return;
        }
        let wait = Duration::from_micros(self.random.rand_range(0..MAX_LEASE_REQUEST_DELAY_MICROS) as i64);
        if let Some(request) = self.coordinator.lease_request(now, is_free, wait, replica_sets.epoch()) {
            self.send_lease_request(now, &request);
        }
        self.tick_coordinator(now);
    }

    fn tick_coordinator(&mut self, now: Timestamp) {
        if self.lease_term(now).is_none() {
            return;
        }
        match self.coordinator.state() {
            CoordinatorState::Active(_) => self.change_replica_set(now),
            // The remaining replicas of a replica set may be too few for a write quorum of that set alone. Open
            // proposals can then only be resolved jointly with the incoming set, so proposing the incoming set must
            // not wait for them. Invariant: this does not depend on the coordinator knowing those proposals. Only one
            // content is chosen for each version of the replica set, and open proposals are read and resolved before
            // the incoming set is activated.
            CoordinatorState::Recovering(_) if self.proposals.pending.is_recovery_blocked() => {
                self.change_replica_set(now);
            }
            // The recovery read was interrupted.
            CoordinatorState::Recovering(_) if !self.proposals.pending.is_recovery_in_progress() => {
                self.start_request(now, None, Request::ReadMajority);
            }
            _ => {}
        }
    }

    /// Sends a lease request to all replicas, including this one.
    pub(in crate::state_machine) fn send_lease_request(&mut self, now: Timestamp, request: &LeaseRequest) {
        self.send_to_all_peers(&Message::LeaseRequest(request.clone()));
        let (node_id, name) = (self.identity.replica.node_id.clone(), self.identity.name.clone());
        self.handle_lease_request(now, &node_id, &name, request);
    }

    /// Applies a complete endpoint list from the platform, if this process is the active coordinator.
    pub fn endpoints_listed(&mut self, now: Timestamp, endpoints: Vec<Endpoint>) {
        if self.active_term(now).is_none() {
            return;
        }
        let changed_items =
            self.coordinator.update_endpoints(now, endpoints, self.configuration.item_store());
        if !changed_items.is_empty() {
            debug!("event=endpoints-changed items={}", changed_items.len());
            self.apply_items(&changed_items);
            let items = changed_items.iter().map(ItemMessage::from).collect();
            self.send_to_all_peers(&Message::Items(Items::complete(items)));
        }
    }
}
