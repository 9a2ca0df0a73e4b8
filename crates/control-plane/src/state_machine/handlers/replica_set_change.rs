//! Changes of the replica set, and the shutdown of this process.

use crate::request::Request;
use crate::state_machine::coordinator::CoordinatorState;
use crate::state_machine::{Action, ReplicaState, StateMachine};
use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaObservations, ReplicaSet};
use kitepass_time::Timestamp;
use log::info;

impl StateMachine {
    /// Completes the activation of an incoming replica set that its coordinator left unfinished. The content of the
    /// set is committed, so any process may complete the change.
    ///
    /// While both replica sets are needed for a quorum, losing the majority of either one blocks all commits and
    /// elections.
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

    /// As coordinator, proposes the next replica set according to the observed replicas. New replicas join. Replicas
    /// are removed if they are superseded, shutting down, unresponsive with a successor, or unresponsive for very long.
    pub(in crate::state_machine) fn change_replica_set(&mut self, now: Timestamp) {
        let Some(replica_sets) = self.configuration.joint_replica_sets() else { return };
        if self.proposals.pending.is_changing_replica_set() {
            return;
        }
        // An earlier change was interrupted and is completed first.
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
        let own_replica = self.lifecycle.is_complete().then(|| self.identity.replica.clone());
        let started_at = self.bootstrap.started_at();
        self.membership.observe(now, replica_set, &self.quorum, &self.identity.name, own_replica, started_at)
    }

    /// Starts the shutdown of this process: no new work is accepted, and the peers are told so that membership and
    /// lease can move to others.
    pub fn shut_down(&mut self, now: Timestamp) {
        self.change_state(ReplicaState::ShuttingDown);
        for id in self.sessions.ids() {
            self.push_action(Action::CloseSession(id));
        }
        self.send_heartbeats(now);
        self.membership.replica_shutting_down(&self.identity.name);
        self.leave(now);
    }

    /// Returns whether the next change of the replica set would remove this replica, or a change in progress may do
    /// so.
    fn is_being_removed(&self) -> bool {
        let shutting_down = [self.identity.name.clone()].into();
        let observations = ReplicaObservations { shutting_down, ..ReplicaObservations::default() };
        let would_be_removed = |sets: &JointReplicaSets| {
            sets.incoming.is_some() || sets.current.successor(&observations).is_some()
        };
        let replica_sets = self.configuration.joint_replica_sets();
        replica_sets.is_some_and(|sets| sets.contains(&self.identity.name) && would_be_removed(&sets))
    }

    /// Gives up membership and lease. A coordinator first removes its own replica, which is faster than leaving that
    /// to a successor that has to be elected and to complete a read first. Afterwards, or if it is not the
    /// coordinator, this process releases the lease at once.
    pub(in crate::state_machine) fn leave(&mut self, now: Timestamp) {
        if self.active_term(now).is_some() && self.is_being_removed() {
            return self.change_replica_set(now);
        }
        if let Some(request) = self.coordinator.release(now) {
            self.send_lease_request(now, &request);
        }
        self.coordinator.step_down();
    }

    /// Returns whether a process that is shutting down may exit: its requests have ended, its records are on disk, it
    /// is not coordinator, and its replica has been removed from the replica set or remains in it.
    pub fn is_shut_down(&self) -> bool {
        self.replica_state() == ReplicaState::ShuttingDown
            && self.proposals.pending.is_empty()
            && self.persistence.is_idle()
            && self.coordinator.state() == CoordinatorState::Follower
            && !self.is_being_removed()
    }
}
