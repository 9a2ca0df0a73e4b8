//! What this process sees of the replicas, from which the next replica set follows, and a change of the replica set
//! that its coordinator left unfinished.

use super::quorum::Quorum;
use kitepass_coordination::membership::{Replica, ReplicaObservations, ReplicaSet};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A replica that has not been heard for this long may be replaced, if another stands in its zone.
///
/// Invariant: it stays a member until its successor has its place. Until then a second loss may leave no majority.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_micros(1_000_000);
/// A change of the replica set is left to the coordinator for this long, and a drawn time more.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_micros(1_500_000);
/// Bound of the time drawn on top of it, in microseconds.
const MAX_TAKE_OVER_DELAY: u64 = 1_500_000;

/// The incoming replica set, and when this process brings it in force itself.
struct UnfinishedChange {
    version: u64,
    take_over_at: Timestamp,
}

/// Observations of replicas, by name.
#[derive(Default)]
pub(super) struct Membership {
    lost_since: BTreeMap<String, Timestamp>,
    shutting_down: BTreeSet<String>,
    unfinished_change: Option<UnfinishedChange>,
}

impl Membership {
    pub(super) fn replica_disconnected(&mut self, now: Timestamp, name: String) {
        self.lost_since.insert(name, now);
    }

    pub(super) fn replica_connected(&mut self, name: &str) {
        self.lost_since.remove(name);
        self.shutting_down.remove(name);
    }

    pub(super) fn replica_shutting_down(&mut self, name: &str) {
        self.shutting_down.insert(name.to_owned());
    }

    /// What is seen of the members of `replica_set`. `myself` is this process' replica, if its disk is complete;
    /// `started_at` is when it started: a replica that it has never heard counts as silent since then.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        replica_set: &ReplicaSet,
        quorum: &Quorum,
        own_name: &str,
        myself: Option<Replica>,
        started_at: Timestamp,
    ) -> ReplicaObservations {
        let complete = quorum.peers().filter(|peer| peer.hello.is_complete);
        let complete = complete.map(|peer| Replica::from(&peer.hello)).chain(myself).collect();
        let leaving = quorum.peers().filter(|peer| peer.is_shutting_down);
        self.shutting_down.extend(leaving.map(|peer| peer.name.clone()));
        // Invariant: one that was removed because it shuts down is no newcomer for as long as it is still connected. It would
        // be brought in again, and be gone before that is done.
        self.shutting_down.retain(|name| replica_set.contains(name) || quorum.is_peer_connected(name));
        self.lost_since.retain(|name, _| replica_set.contains(name));
        let names = replica_set.replicas.iter().map(Replica::name);
        let absent = names.filter(|name| name != own_name && !quorum.is_peer_connected(name));
        let since = |name: &String| self.lost_since.get(name).copied().unwrap_or(started_at);
        let unresponsive = absent.filter(|name| now - since(name) > REPLACEMENT_TIMEOUT).collect();
        ReplicaObservations { complete, shutting_down: self.shutting_down.clone(), unresponsive }
    }

    /// No replica set is being brought in any more.
    pub(super) fn change_finished(&mut self) {
        self.unfinished_change = None;
    }

    /// Whether this process is to bring the incoming replica set in force itself, as its coordinator has taken too long.
    /// `draw` gives a number below its argument.
    pub(super) fn should_take_over(
        &mut self,
        now: Timestamp,
        incoming: &ReplicaSet,
        draw: impl FnOnce(u64) -> u64,
    ) -> bool {
        let version = incoming.version;
        let known = self.unfinished_change.as_ref().filter(|change| change.version == version);
        let is_known = known.is_some();
        if known.is_some_and(|change| now < change.take_over_at) {
            return false;
        }
        let delay = Duration::from_micros(draw(MAX_TAKE_OVER_DELAY) as i64);
        let take_over_at = now + TAKE_OVER_TIMEOUT + delay;
        self.unfinished_change = Some(UnfinishedChange { version, take_over_at });
        is_known
    }
}
