//! Observations of the replicas, from which the next replica set is computed, and the takeover of a replica set change
//! that the coordinator left unfinished.

use super::quorum::Quorum;
use kitepass_coordination::membership::{Replica, ReplicaObservations, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A replica that has been disconnected for this long may be replaced, if a successor has joined.
///
/// Invariant: it remains a member until its replacement has joined. Until then, the loss of a second replica may leave
/// no majority.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_micros(1_000_000);
/// A replica that has been disconnected for this long is removed without a successor. A restart or a short partition
/// takes less.
const ABANDONMENT_TIMEOUT: Duration = Duration::from_micros(30_000_000);
/// Time that the coordinator has to finish a replica set change, before another replica takes it over. A random jitter
/// is added to it.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_micros(1_500_000);
/// Upper bound of the jitter added to [`TAKE_OVER_TIMEOUT`], in microseconds.
const MAX_TAKE_OVER_JITTER_MICROS: u64 = 1_500_000;

/// An incoming replica set, and when this process takes over its activation.
struct UnfinishedChange {
    version: u64,
    take_over_at: Timestamp,
}

/// When contact with a replica was lost.
#[derive(Clone, Copy)]
struct Disconnection {
    since: Timestamp,
    /// When its last message arrived.
    last_heard: Timestamp,
}

/// A member that has joined the replica set while this process was running, and that is not the successor of any
/// replica removed since.
struct NewMember {
    replica: Replica,
    joined_at: Timestamp,
}

/// Observations of replicas by name, and the unfinished replica set change, if any.
#[derive(Default)]
pub(super) struct Membership {
    disconnected: BTreeMap<String, Disconnection>,
    new_members: BTreeMap<String, NewMember>,
    /// The replica set in force, as of the last [`Membership::track`].
    tracked: Option<ReplicaSet>,
    shutting_down: BTreeSet<String>,
    unfinished_change: Option<UnfinishedChange>,
}

impl Membership {
    /// Records that contact with a replica was lost, whose last message arrived at `last_heard`.
    pub(super) fn replica_disconnected(&mut self, now: Timestamp, name: String, last_heard: Timestamp) {
        self.disconnected.insert(name, Disconnection { since: now, last_heard });
    }

    pub(super) fn replica_connected(&mut self, name: &str) {
        self.disconnected.remove(name);
        self.shutting_down.remove(name);
    }

    /// Records which replicas have joined since the last call. Every process does so, whether or not it is the
    /// coordinator, because it may become the coordinator between a loss and the arrival of the successor.
    pub(super) fn track(&mut self, now: Timestamp, current: &ReplicaSet) {
        let tracked_version = self.tracked.as_ref().map(|tracked| tracked.version);
        if tracked_version.is_some_and(|version| version >= current.version) {
            return;
        }
        let Some(before) = self.tracked.replace(current.clone()) else { return };
        let has_node = |set: &ReplicaSet, replica: &Replica| {
            set.replicas.iter().any(|other| other.node_id == replica.node_id)
        };
        for replica in current.replicas.iter().filter(|replica| !has_node(&before, replica)) {
            let new_member = NewMember { replica: replica.clone(), joined_at: now };
            self.new_members.insert(replica.name(), new_member);
        }
        self.new_members.retain(|name, _| current.contains(name));
        let removed = before.replicas.iter().filter(|replica| !has_node(current, replica));
        removed.for_each(|replica| self.use_successor(replica));
    }

    /// Removes the new member that is taken for the successor of a replica that was removed.
    fn use_successor(&mut self, removed: &Replica) {
        let closest = self.new_members.iter().min_by_key(|(_, new)| new.replica.distance_to(removed));
        if let Some(name) = closest.map(|(name, _)| name.clone()) {
            self.new_members.remove(&name);
        }
    }

    /// The members that may be successors of `lost`: those that joined after its last message, or that are in its zone
    /// or joined while it was shutting down. `last_heard` is the time of that message.
    fn successors(&self, lost: &Replica, last_heard: Timestamp) -> BTreeSet<String> {
        let is_leaving = self.shutting_down.contains(&lost.name());
        let may_replace =
            |new: &NewMember| is_leaving || new.joined_at >= last_heard || new.replica.zone == lost.zone;
        let members = self.new_members.iter().filter(|(name, new)| **name != lost.name() && may_replace(new));
        members.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn replica_shutting_down(&mut self, name: &str) {
        self.shutting_down.insert(name.to_owned());
    }

    /// Observes the members of `replica_set` and the connected replicas. `own_replica` is the replica of this process,
    /// if its disk is complete. A replica that has never connected counts as disconnected since `started_at`, when this
    /// process started.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        replica_set: &ReplicaSet,
        quorum: &Quorum,
        own_name: &str,
        own_replica: Option<Replica>,
        started_at: Timestamp,
    ) -> ReplicaObservations {
        let complete = quorum.peers().filter(|peer| peer.hello.is_complete);
        let complete = complete.map(|peer| Replica::from(&peer.hello)).chain(own_replica).collect();
        let leaving = quorum.peers().filter(|peer| peer.is_shutting_down);
        self.shutting_down.extend(leaving.map(|peer| peer.name.clone()));
        // Invariant: a replica that was removed because it is shutting down is not a candidate for the replica set
        // while it is still connected. It would be added again and leave before the change is done.
        self.shutting_down.retain(|name| replica_set.contains(name) || quorum.is_peer_connected(name));
        self.disconnected.retain(|name, _| replica_set.contains(name));
        let never_connected = Disconnection { since: started_at, last_heard: started_at };
        let mut observed = ReplicaObservations {
            complete,
            shutting_down: self.shutting_down.clone(),
            ..ReplicaObservations::default()
        };
        for replica in &replica_set.replicas {
            let name = replica.name();
            let disconnection = self.disconnected.get(&name).copied().unwrap_or(never_connected);
            let is_silent = name != own_name && !quorum.is_peer_connected(&name);
            let silence = if is_silent { now - disconnection.since } else { Duration::default() };
            if silence > ABANDONMENT_TIMEOUT {
                observed.abandoned.insert(name.clone());
            }
            if silence > REPLACEMENT_TIMEOUT {
                observed.unresponsive.insert(name.clone());
            }
            if silence > REPLACEMENT_TIMEOUT || self.shutting_down.contains(&name) {
                observed.successors.insert(name, self.successors(replica, disconnection.last_heard));
            }
        }
        observed
    }

    /// Clears the unfinished change, because no replica set change is in progress any more.
    pub(super) fn change_finished(&mut self) {
        self.unfinished_change = None;
    }

    /// Whether this process should activate the incoming replica set itself, because the coordinator has taken too
    /// long. `random_below` returns a random number below its argument.
    pub(super) fn should_take_over(
        &mut self,
        now: Timestamp,
        incoming: &ReplicaSet,
        random_below: impl FnOnce(u64) -> u64,
    ) -> bool {
        let version = incoming.version;
        let known = self.unfinished_change.as_ref().filter(|change| change.version == version);
        let is_known = known.is_some();
        if known.is_some_and(|change| now < change.take_over_at) {
            return false;
        }
        let jitter = Duration::from_micros(random_below(MAX_TAKE_OVER_JITTER_MICROS) as i64);
        let take_over_at = now + TAKE_OVER_TIMEOUT + jitter;
        self.unfinished_change = Some(UnfinishedChange { version, take_over_at });
        is_known
    }
}
