//! Changes of the replica set, and this process' own leaving.

use crate::request::Request;
use crate::state_machine::coordinator::CoordinatorState;
use crate::state_machine::{Action, ReplicaState, StateMachine};
use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaObservations, ReplicaSet};
use kitepass_time::Timestamp;
use log::info;

impl StateMachine {
    /// Brings an incoming replica set in force whose coordinator left that half-way: its content is committed, so anybody
    /// who sees it may.
    ///
    /// Why it matters: while both replica sets decide, the loss of either one's majority stops everything, elections too.
    pub(in crate::state_machine) fn take_over_change(
        &mut self,
        now: Timestamp,
        incoming: Option<&ReplicaSet>,
    ) {
        let Some(incoming) = incoming else { return self.membership.change_finished() };
        let random = &mut self.random;
        let is_due = self.membership.should_take_over(now, incoming, |max| random.rand_range(0..max));
        if is_due && !self.proposals.pending.is_changing_replica_set() {
            info!("event=replica-set-change-taken-over version={}", incoming.version);
            self.start_request(now, None, Request::PrepareActivation(incoming.clone()));
        }
    }

    /// The coordinator proposes the replica set that follows from what it observes: newcomers join; replicas leave that are
    /// superseded, shut down, or unresponsive with a replacement in their zone.
    pub(in crate::state_machine) fn change_replica_set(&mut self, now: Timestamp) {
        let Some(replica_sets) = self.configuration.joint_replica_sets() else { return };
        if self.proposals.pending.is_changing_replica_set() {
            return;
        }
        // An earlier change was cut short, and is completed first.
        if let Some(incoming) = replica_sets.incoming {
            return self.start_request(now, None, Request::PrepareActivation(incoming));
        }
        let observations = self.observe_replicas(now, &replica_sets.current);
        if let Some(next) = replica_sets.current.successor(&observations) {
            let names: Vec<String> = next.replicas.iter().map(Replica::name).collect();
            info!("event=replica-set-change replicas={} version={}", names.join(","), next.version);
            self.start_request(now, None, Request::ProposeReplicaSet(next));
        }
    }

    fn observe_replicas(&mut self, now: Timestamp, replica_set: &ReplicaSet) -> ReplicaObservations {
        let myself = self.lifecycle.is_complete().then(|| self.identity.replica.clone());
        let started_at = self.bootstrap.started_at();
        self.membership.observe(now, replica_set, &self.quorum, &self.identity.name, myself, started_at)
    }

    /// This process shuts down: nothing new is accepted, and the others are told, so that its membership and its lease
    /// pass on.
    pub fn shut_down(&mut self, now: Timestamp) {
        self.change_state(ReplicaState::ShuttingDown);
        for id in self.sessions.ids() {
            self.push(Action::CloseSession(id));
        }
        self.send_heartbeats(now);
        self.membership.replica_shutting_down(&self.identity.name);
        self.leave(now);
    }

    /// Whether this replica would be removed by the next change of the replica set, or is being removed.
    fn is_being_removed(&self) -> bool {
        let shutting_down = [self.identity.name.clone()].into();
        let observations = ReplicaObservations { shutting_down, ..ReplicaObservations::default() };
        let is_going = |sets: &JointReplicaSets| {
            sets.incoming.is_some() || sets.current.successor(&observations).is_some()
        };
        let replica_sets = self.configuration.joint_replica_sets();
        replica_sets.is_some_and(|sets| sets.contains(&self.identity.name) && is_going(&sets))
    }

    /// Passes membership and lease on. A coordinator removes its own replica first, which is quicker than by another, who
    /// has to be elected and to read. Then, or if it is no coordinator, it gives the lease back at once.
    pub(in crate::state_machine) fn leave(&mut self, now: Timestamp) {
        if self.active_term(now).is_some() && self.is_being_removed() {
            return self.change_replica_set(now);
        }
        if let Some(request) = self.coordinator.release(now) {
            self.send_lease_request(now, &request);
        }
        self.coordinator.step_down();
    }

    /// Whether a process that shuts down may exit: its requests have ended, its records are on disk, it is not coordinator,
    /// and its replica is out of the replica set or stays in it.
    pub fn is_shut_down(&self) -> bool {
        self.replica_state() == ReplicaState::ShuttingDown
            && self.proposals.pending.is_empty()
            && self.persistence.is_idle()
            && self.coordinator.state() == CoordinatorState::Follower
            && !self.is_being_removed()
    }
}
