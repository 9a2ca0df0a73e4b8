//! Tombstones that are forgotten, and what keeps a disk, a replica or a gateway that was away from bringing back what
//! was dropped and forgotten meanwhile.

use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::records::{self, Record};
use crate::state_machine::{ReplicaState, StateMachine};
use kitepass_config::encode_key;
use kitepass_coordination::protocol::{Heartbeat, Message, PurgeTombstones};
use kitepass_coordination::tombstones::ExpiredTombstone;
use kitepass_time::{Duration, Timestamp};
use log::{info, warn};

impl StateMachine {
    /// For tests: tombstones are forgotten after this time, and a process may be away for half of it.
    pub fn set_tombstone_retention(&mut self, age: Duration) {
        self.tombstones.set_retention(age);
    }

    /// Whether all that is held here is on disk, and nothing is accepted and undecided.
    ///
    /// Invariant: only such a replica counts as holding a tombstone. Otherwise a loss of power would take the tombstone from
    /// a replica that was counted on, or an old version that is accepted here would come in force after it.
    pub(in crate::state_machine) fn is_persisted(&self) -> bool {
        self.lifecycle.is_complete() && self.persistence.is_idle() && !self.proposals.has_accepted()
    }

    /// A replica told its digest with a heartbeat.
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

    /// The coordinator forgets the tombstones that all replicas have held for long enough.
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

    /// Forgets tombstones, here and at the gateways. An item of another version stays.
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
        self.extend(actions);
    }

    /// Notes that this process is in contact with a majority, or has been away for too long.
    pub(in crate::state_machine) fn track_contact(&mut self, now: Timestamp) {
        if self.replica_state() == ReplicaState::Serving && self.quorum.was_connected() {
            self.tombstones.contact_confirmed(now);
        } else {
            self.tombstones.contact_missing(now, !self.configuration.item_store().is_empty());
        }
    }

    /// Discards what this process holds from before it was away, if it is no member. True if it has. To be called when the
    /// replica set that is known here has been confirmed by a peer that serves, or by a read quorum.
    ///
    /// Why not by what is on disk alone: while this process was away it may have become a member again, and others count on
    /// what it holds.
    ///
    /// Assumption: a tombstone is forgotten only once every member holds it. Invariant: what a process held while it was no
    /// member counts for nothing. Why: it may hold what was dropped meanwhile, and nobody knows any more that it was.
    pub(in crate::state_machine) fn discard_if_non_member(&mut self, now: Timestamp) -> bool {
        let is_discarded = self.is_stale_non_member() && self.replica_state() != ReplicaState::ShuttingDown;
        if is_discarded {
            self.discard(now);
        }
        is_discarded
    }

    /// Whether, by what is known here, this process was away and is no member.
    pub(in crate::state_machine) fn is_stale_non_member(&self) -> bool {
        let own_name = &self.identity.name;
        let is_non_member =
            self.tombstones.may_be_stale() && self.configuration.is_known_non_member(own_name);
        // A replica set that it belongs to may be chosen, or need what it holds to be chosen, and not be known to be.
        is_non_member && !self.proposals.may_be_member(own_name, self.configuration.replica_set().as_ref())
    }

    /// Discards all items but the replica sets, and catches up from nothing.
    fn discard(&mut self, now: Timestamp) {
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
        self.catch_up.retry_soon();
    }
}
