//! Contact with a majority: what follows when it is lost, and what may be answered with and without it.

use crate::request::{Response, OUT_OF_CONTACT};
use crate::state_machine::{ReplicaContact, ReplicaState, StateMachine};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

impl StateMachine {
    /// Evaluates the contact, and stops serving if it is lost.
    pub(in crate::state_machine) fn evaluate_contact(&mut self, now: Timestamp) {
        let replica_sets = self.deciding_replica_sets();
        self.quorum.evaluate(now, &replica_sets);
        if self.quorum.was_disconnected() && self.replica_state() == ReplicaState::Serving {
            self.isolate(now);
        }
    }

    /// Evaluates the contact after a message that proves some of it.
    ///
    /// Invariant: a loss is not judged here. Other messages may wait to be read that prove more.
    pub(in crate::state_machine) fn evaluate_contact_proof(&mut self, now: Timestamp) {
        let replica_sets = self.deciding_replica_sets();
        self.quorum.evaluate_proof(now, &replica_sets);
    }

    /// The replica sets of each of which a majority is needed for contact.
    fn deciding_replica_sets(&self) -> Vec<ReplicaSet> {
        // Once an incoming replica set is committed nothing is committed without a majority of it. Where the earlier set has
        // lost its majority by lost disks, contact with the incoming one is what ends the change.
        let replica_sets = self.configuration.joint_replica_sets();
        replica_sets.map(|sets| sets.incoming.unwrap_or(sets.current)).into_iter().collect()
    }

    /// Contact is lost.
    ///
    /// Invariant: no caller is left waiting, as no answer can come, and no gateway that has never caught up stays: it would
    /// take an old configuration for the newest.
    fn isolate(&mut self, now: Timestamp) {
        self.change_state(ReplicaState::Isolated);
        self.finish_all_requests(now);
        for id in self.sessions.never_caught_up() {
            self.close_session(now, id, "isolated");
        }
        self.send_heartbeats(now);
        self.read_all_peers(now);
    }

    /// Whether a request may be accepted, continued and answered now.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        self.quorum.is_connected(now)
    }

    /// Whether a look-up may be answered: what is known of the gateways is recent enough.
    pub fn can_look_up(&self, now: Timestamp) -> bool {
        let is_caught_up = matches!(self.replica_state(), ReplicaState::Serving | ReplicaState::Isolated);
        is_caught_up && self.quorum.can_look_up(now)
    }

    /// How long ago a majority is known to have heard this process.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.quorum.contact_age(now)
    }

    /// What a caller is told whose request is not for this process now: another one that serves, if there is any.
    pub(in crate::state_machine) fn redirect(&self, now: Timestamp) -> Response {
        match self.quorum.serving_address(now) {
            Some(address) => Response::Redirect(address.to_owned()),
            None => Response::Unavailable(OUT_OF_CONTACT),
        }
    }

    /// Why a request cannot be accepted now, if so.
    pub(in crate::state_machine) fn refusal(&self, now: Timestamp) -> Option<Response> {
        match self.replica_state() {
            ReplicaState::Serving if self.has_quorum(now) => None,
            ReplicaState::Uninitialized | ReplicaState::CatchingUp if self.has_quorum(now) => {
                Some(Response::Unavailable("not caught up with the core"))
            }
            _ => Some(self.redirect(now)),
        }
    }

    /// Whether a request may be answered by what is known here.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.refusal(now).is_none()
    }

    /// Members of the replica set in force, and the contact with each.
    pub fn replica_contacts(&self, now: Timestamp) -> Vec<ReplicaContact> {
        let replica_set = self.configuration.replica_set();
        let replicas = replica_set.map_or(Vec::new(), |set| set.replicas);
        replicas.into_iter().map(|replica| self.contact_with(now, replica)).collect()
    }

    fn contact_with(&self, now: Timestamp, replica: Replica) -> ReplicaContact {
        let name = replica.name();
        let is_own = name == self.identity.name;
        let is_responsive = is_own || self.quorum.is_responsive(now, &name);
        let last_contact = if is_own { Some(now) } else { self.quorum.last_contact(&name) };
        ReplicaContact { replica, is_responsive, contact_age: last_contact.map(|at| now - at) }
    }

    /// Addresses of the control processes that this one knows of, its own left out.
    pub fn known_addresses(&self) -> BTreeSet<String> {
        let peers = self.quorum.peers().map(|peer| peer.hello.address.clone());
        let mut addresses: BTreeSet<String> = self.configuration.member_addresses().chain(peers).collect();
        addresses.remove(&self.identity.replica.address);
        addresses
    }
}
