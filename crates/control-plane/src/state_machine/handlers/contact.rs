//! Contact with a majority: the effects of losing it, and which requests may be answered with and without it.

use crate::request::{Response, NO_QUORUM_REASON};
use crate::state_machine::{ReplicaContact, ReplicaState, StateMachine};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

impl StateMachine {
    /// Evaluates the contact with a majority, and stops serving if it is lost.
    pub(in crate::state_machine) fn evaluate_contact(&mut self, now: Timestamp) {
        let replica_sets = self.contact_replica_sets();
        self.quorum.evaluate(now, &replica_sets);
        if self.quorum.was_disconnected() && self.replica_state() == ReplicaState::Serving {
            self.isolate(now);
        }
    }

    /// Evaluates the contact after a message that proves part of it.
    ///
    /// Invariant: this does not detect a loss, because unread messages may contain further proof.
    pub(in crate::state_machine) fn check_reconnected(&mut self, now: Timestamp) {
        let replica_sets = self.contact_replica_sets();
        self.quorum.check_reconnected(now, &replica_sets);
    }

    /// Returns the replica sets that each require a majority for contact.
    fn contact_replica_sets(&self) -> Vec<ReplicaSet> {
        // Once an incoming replica set is committed, every further commit needs a majority of it. If the earlier set
        // has lost its majority to failed disks, contact with the incoming set is enough to complete the change.
        let replica_sets = self.configuration.joint_replica_sets();
        replica_sets.map(|sets| sets.incoming.unwrap_or(sets.current)).into_iter().collect()
    }

    /// Stops serving because contact with a majority is lost.
    ///
    /// Invariant: all pending callers are answered, because their requests cannot complete here, and sessions of
    /// gateways that never caught up are closed, because such a gateway would take an outdated configuration for the
    /// newest.
    fn isolate(&mut self, now: Timestamp) {
        self.change_state(ReplicaState::Isolated);
        self.finish_all_requests(now);
        for id in self.sessions.never_caught_up() {
            self.close_session(now, id, "isolated");
        }
        self.send_heartbeats(now);
        self.read_all_peers(now);
    }

    /// Returns whether requests may be accepted, continued and answered now.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        self.quorum.is_connected(now)
    }

    /// Returns whether a route look-up may be answered, which requires recent information about the gateways.
    pub fn can_look_up(&self, now: Timestamp) -> bool {
        let is_caught_up = matches!(self.replica_state(), ReplicaState::Serving | ReplicaState::Isolated);
        is_caught_up && self.quorum.can_look_up(now)
    }

    /// Returns how long ago a majority is known to have received a message from this process.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.quorum.contact_age(now)
    }

    /// Returns the response to a caller whose request this process cannot handle now. It names another serving
    /// process, if one is known.
    pub(in crate::state_machine) fn redirect(&self, now: Timestamp) -> Response {
        match self.quorum.serving_address(now) {
            Some(address) => Response::Redirect(address.to_owned()),
            None => Response::Unavailable(NO_QUORUM_REASON),
        }
    }

    /// Returns the response to a request that cannot be accepted now, or `None` if it can be.
    pub(in crate::state_machine) fn unavailable_response(&self, now: Timestamp) -> Option<Response> {
        match self.replica_state() {
            ReplicaState::Serving if self.has_quorum(now) => None,
            ReplicaState::Uninitialized | ReplicaState::CatchingUp if self.has_quorum(now) => {
                Some(Response::Unavailable("not caught up with the core"))
            }
            _ => Some(self.redirect(now)),
        }
    }

    /// Returns whether a request may be answered from the configuration known here.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.unavailable_response(now).is_none()
    }

    /// Returns the members of the current replica set, with the state of the contact with each.
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

    /// Returns the addresses of all known control processes except this one.
    pub fn known_addresses(&self) -> BTreeSet<String> {
        let peers = self.quorum.peers().map(|peer| peer.hello.address.clone());
        let mut addresses: BTreeSet<String> = self.configuration.member_addresses().chain(peers).collect();
        addresses.remove(&self.identity.replica.address);
        addresses
    }
}
