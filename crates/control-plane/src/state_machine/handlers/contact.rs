//! Contact with a majority of the replicas: what happens when it is lost, and which requests may be answered with and
//! without it.

use crate::request::{Response, NO_QUORUM_REASON};
use crate::state_machine::{ReplicaContact, ReplicaState, StateMachine};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeSet;

impl StateMachine {
    /// Checks whether this process is in contact with a majority. If contact is lost, it stops serving.
    pub(in crate::state_machine) fn evaluate_contact(&mut self, now: Timestamp) {
        let replica_sets = self.contact_replica_sets();
        self.quorum.evaluate(now, &replica_sets);
        if self.quorum.was_disconnected() && self.replica_state() == ReplicaState::Serving {
            self.isolate(now);
        }
    }

    /// Checks whether contact is regained, after a message that proves contact with one peer.
    ///
    /// Invariant: this never treats contact as lost, because messages that have not been read yet may prove more recent
    /// contact.
    pub(in crate::state_machine) fn check_reconnected(&mut self, now: Timestamp) {
        let replica_sets = self.contact_replica_sets();
        self.quorum.check_reconnected(now, &replica_sets);
    }

    /// Returns the replica set of which a majority is required for contact. Empty if no replica set is known.
    fn contact_replica_sets(&self) -> Vec<ReplicaSet> {
        // Every commit after that of an incoming replica set needs a majority of the incoming set. A majority of the
        // current set is not required here: it may have been lost to failed disks, and the change can then still be
        // completed in contact with the incoming set.
        let replica_sets = self.configuration.joint_replica_sets();
        replica_sets.map(|sets| sets.incoming.unwrap_or(sets.current)).into_iter().collect()
    }

    /// Stops serving because contact with a majority is lost.
    ///
    /// Invariant: all pending requests are answered with a redirect or an error, because they cannot complete here.
    /// Sessions of gateways that have not caught up since they were started are closed, because such a gateway would
    /// take an outdated configuration for the newest one.
    fn isolate(&mut self, now: Timestamp) {
        self.change_state(ReplicaState::Isolated);
        self.finish_all_requests(now);
        for id in self.sessions.never_caught_up() {
            self.close_session(now, id, "isolated");
        }
        self.send_heartbeats(now);
        self.read_all_peers(now);
    }

    /// Returns whether this process is in contact with a majority now. Without that, no request is accepted, continued
    /// or answered from the configuration.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        self.quorum.is_connected(now)
    }

    /// Returns whether a client's look-up of gateways may be answered. The configuration must have caught up, and the
    /// list of gateways must be recent enough.
    pub fn can_look_up(&self, now: Timestamp) -> bool {
        let is_caught_up = matches!(self.replica_state(), ReplicaState::Serving | ReplicaState::Isolated);
        is_caught_up && self.quorum.can_look_up(now)
    }

    /// Returns the time since this process sent the latest message that a majority is known to have received, or `None`
    /// if there is none.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.quorum.contact_age(now)
    }

    /// Returns the response to a request that this process cannot handle now: a redirect to a serving process, or an
    /// error if none is known.
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

    /// Returns whether this process accepts requests now.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.unavailable_response(now).is_none()
    }

    /// Returns the members of the current replica set, and this process's contact with each.
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

    /// Returns the addresses of the configured replicas and of all connected control processes, except this one's.
    pub fn known_addresses(&self) -> BTreeSet<String> {
        let peers = self.quorum.peers().map(|peer| peer.hello.address.clone());
        let mut addresses: BTreeSet<String> = self.configuration.member_addresses().chain(peers).collect();
        addresses.remove(&self.identity.replica.address);
        addresses
    }
}
