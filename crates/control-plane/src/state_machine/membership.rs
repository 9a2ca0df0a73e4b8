//! Observations of the replicas, from which the next replica set is computed, and the takeover of a replica set change
//! that the coordinator left unfinished.

use super::quorum::Quorum;
use kitepass_coordination::membership::{Replica, ReplicaObservations, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A replica that has been disconnected for this long may be replaced, if another one is available in its zone.
///
/// Invariant: it remains a member until its replacement has joined. Until then, the loss of a second replica may leave
/// no majority.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_micros(1_000_000);
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

/// Observations of replicas by name, and the unfinished replica set change, if any.
#[derive(Default)]
pub(super) struct Membership {
    disconnected_since: BTreeMap<String, Timestamp>,
    shutting_down: BTreeSet<String>,
    unfinished_change: Option<UnfinishedChange>,
}

impl Membership {
    pub(super) fn replica_disconnected(&mut self, now: Timestamp, name: String) {
        self.disconnected_since.insert(name, now);
    }

    pub(super) fn replica_connected(&mut self, name: &str) {
        self.disconnected_since.remove(name);
        self.shutting_down.remove(name);
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
        self.disconnected_since.retain(|name, _| replica_set.contains(name));
        let names = replica_set.replicas.iter().map(Replica::name);
        let disconnected = names.filter(|name| name != own_name && !quorum.is_peer_connected(name));
        let since = |name: &String| self.disconnected_since.get(name).copied().unwrap_or(started_at);
        let unresponsive = disconnected.filter(|name| now - since(name) > REPLACEMENT_TIMEOUT).collect();
        ReplicaObservations { complete, shutting_down: self.shutting_down.clone(), unresponsive }
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
