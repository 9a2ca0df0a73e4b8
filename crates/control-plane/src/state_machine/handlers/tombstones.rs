//! Purging of tombstones, and the protection against restoring purged items from a disk, replica or gateway that was
//! disconnected in the meantime.

use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::records::{self, Record};
use crate::state_machine::{ReplicaState, StateMachine};
use kitepass_config::encode_key;
use kitepass_coordination::protocol::{Heartbeat, Message, PurgeTombstones};
use kitepass_coordination::tombstones::ExpiredTombstone;
use kitepass_time::{Duration, Timestamp};
use log::{info, warn};

impl StateMachine {
    /// For tests: sets the age at which tombstones are purged. A process may be disconnected for half of it.
    pub fn set_tombstone_retention(&mut self, retention: Duration) {
        self.tombstones.set_retention(retention);
    }

    /// Returns whether all items held here are on disk and no accepted proposal is undecided.
    ///
    /// Invariant: only such a replica counts as holding a tombstone. Otherwise a power failure could remove the
    /// tombstone from a replica that was counted, or an old version that is accepted here could take effect after the
    /// purge.
    pub(in crate::state_machine) fn is_persisted(&self) -> bool {
        self.lifecycle.is_complete() && self.persistence.is_idle() && !self.proposals.has_accepted()
    }

    /// Processes the digest in a replica's heartbeat.
    pub(in crate::state_machine) fn track_persisted_replica(
        &mut self,
        now: Timestamp,
        name: &str,
        heartbeat: &Heartbeat,
    ) {
        let agrees = heartbeat.is_persisted && heartbeat.digest == self.item_store().history_digest();
        if agrees && self.active_term(now).is_some() {
            self.tombstones.replica_persisted(now, name);
        }
    }

    /// As coordinator, purges the tombstones that all replicas have held for long enough.
    pub(in crate::state_machine) fn collect_tombstones(&mut self, now: Timestamp) {
        if self.active_term(now).is_none() {
            return self.tombstones.clear();
        }
        if self.is_persisted() {
            self.tombstones.replica_persisted(now, &self.identity.name);
        }
        if !self.tombstones.start_collection_if_due(now) {
            return;
        }
        let Some(replica_sets) = self.configuration.joint_replica_sets() else { return };
        let replica_sets = [Some(replica_sets.current), replica_sets.incoming];
        let replicas = replica_sets.into_iter().flatten().flat_map(|set| set.replicas);
        let names = replicas.map(|replica| replica.name()).collect();
        let expired = self.tombstones.expired(now, self.configuration.item_store(), &names);
        if !expired.is_empty() {
            self.send_to_all_peers(&Message::PurgeTombstones(PurgeTombstones::from_expired(&expired)));
            self.purge_tombstones(expired);
        }
    }

    /// Purges tombstones here and at the gateways. An item with another version is kept.
    pub(in crate::state_machine) fn purge_tombstones(&mut self, expired: Vec<ExpiredTombstone>) {
        let mut purged = expired;
        purged.retain(|(kind, name, version)| self.configuration.purge_tombstone(*kind, name, *version));
        if purged.is_empty() {
            return;
        }
        info!("event=tombstones-purged tombstones={}", purged.len());
        let records = purged.iter().map(|(kind, name, _)| (encode_key(*kind, name), Vec::new())).collect();
        self.persist(records, PendingWrite::Nothing);
        let message = Message::PurgeTombstones(PurgeTombstones::from_expired(&purged));
        let actions = self.sessions.broadcast(&message);
        self.push_actions(actions);
    }

    /// Records whether this process is in contact with a majority, or has been disconnected for too long.
    pub(in crate::state_machine) fn track_contact(&mut self, now: Timestamp) {
        if self.replica_state() == ReplicaState::Serving && self.quorum.was_connected() {
            self.tombstones.contact_confirmed(now);
        } else {
            self.tombstones.contact_missing(now, !self.configuration.item_store().is_empty());
        }
    }

    /// Discards the items from before this process was disconnected, if it is not a member. Returns whether it did.
    /// Must be called once a serving peer or a read quorum has confirmed the replica set known here.
    ///
    /// The replica set on disk is not sufficient evidence: this process may have become a member again while it was
    /// disconnected, and quorums may depend on its items.
    ///
    /// A tombstone is purged only once every member holds it. Invariant: items that a process held while it was not a
    /// member do not count. They may have been dropped in the meantime, with no record of that left anywhere.
    pub(in crate::state_machine) fn discard_if_non_member(&mut self, now: Timestamp) -> bool {
        let is_discarded = self.is_stale_non_member() && self.replica_state() != ReplicaState::ShuttingDown;
        if is_discarded {
            self.discard_items(now);
        }
        is_discarded
    }

    /// Returns whether, according to the replica set known here, this process was disconnected for too long and is
    /// not a member.
    pub(in crate::state_machine) fn is_stale_non_member(&self) -> bool {
        let own_name = &self.identity.name;
        let is_non_member =
            self.tombstones.may_be_stale() && self.configuration.is_known_non_member(own_name);
        // A replica set that includes this process, or that needs its items to be chosen, may be chosen without being
        // known here.
        is_non_member && !self.proposals.may_be_member(own_name, self.configuration.replica_set().as_ref())
    }

    /// Discards all items except the replica sets, and restarts the catch-up from an empty state.
    fn discard_items(&mut self, now: Timestamp) {
        warn!(
            "event=items-discarded items={} complete={}",
            self.item_store().len(),
            self.lifecycle.is_complete()
        );
        self.tombstones.discarded();
        let discarded = self.configuration.discard_all_but_replica_sets();
        let mut records: Vec<Record> = vec![records::incomplete()];
        records.extend(discarded.iter().map(|item| (encode_key(item.kind, &item.name), Vec::new())));
        records.extend(self.proposals.discard_accepted());
        self.persist(records, PendingWrite::Nothing);
        self.lifecycle.set_complete(false);
        self.catch_up.discard();
        self.proposals.watch_list.clear();
        self.finish_all_requests(now);
        for id in self.sessions.ids() {
            self.close_session(now, id, "discarded");
        }
        self.change_state(ReplicaState::CatchingUp);
        self.catch_up.retry_on_next_tick();
    }
}
