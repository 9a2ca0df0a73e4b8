//! Committed items: they are merged, written to disk and sent to the gateways. Also the bootstrap of the first
//! replica set.

use crate::state_machine::configuration::ItemWithHistory;
use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::{records, ReplicaState, StateMachine};
use kitepass_config::Item;
use kitepass_coordination::consensus::ProposalId;
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT};
use kitepass_coordination::protocol::{Commit, Extent, Items, Message};
use kitepass_time::Timestamp;
use log::info;

/// Pairs the items of a proposal with an empty version history.
fn without_history(items: &[Item]) -> Vec<ItemWithHistory> {
    items.iter().map(|item| (item.clone(), Vec::new())).collect()
}

impl StateMachine {
    /// Merges the committed items of a complete change, with their older versions. Items newer than the known ones
    /// are sent to all sessions, and all changed items are written to disk.
    pub(in crate::state_machine) fn apply_committed(&mut self, items: Vec<ItemWithHistory>) {
        // Invariant: while a transfer is in progress, merged items are sent as part of it. They may be part of a
        // change, or complete a change of which the gateways already hold a part.
        let is_transferring = self.catch_up.is_transferring();
        self.merge_committed(items, if is_transferring { Extent::Transfer } else { Extent::Complete });
    }

    /// Does the same as [`StateMachine::apply_committed`] for items that may be part of a change. Returns whether any
    /// item is newer than the known one.
    pub(in crate::state_machine) fn merge_committed(
        &mut self,
        items: Vec<ItemWithHistory>,
        extent: Extent,
    ) -> bool {
        let merged = self.configuration.merge(items);
        if merged.changed.is_empty() {
            return false;
        }
        // A committed proposal is already on enough disks as accepted, so the commit record can wait for the next
        // write. A separate write would delay the next proposal by the latency of the disk.
        let item_store = self.configuration.item_store();
        let entries = merged.changed.iter().filter_map(|item| item_store.entry(item.kind, &item.name));
        self.persistence.defer(entries.map(kitepass_config::encode_record));
        let resolved = self.proposals.items_committed(&self.configuration, &merged.changed);
        self.persistence.defer(resolved);
        let actions = self.sessions.broadcast_items(&merged.newer, extent);
        self.push_actions(actions);
        self.finish_bootstrap();
        !merged.newer.is_empty()
    }

    /// Does the same as [`StateMachine::apply_committed`] for items without version history.
    pub(in crate::state_machine) fn apply_items(&mut self, items: &[Item]) {
        self.apply_committed(without_history(items));
    }

    /// Handles a peer's notification that a proposal is chosen. If it is accepted here, its items are known and
    /// applied.
    pub(in crate::state_machine) fn handle_commit(&mut self, commit: &Commit) {
        let id = ProposalId::from_bytes(&commit.proposal_id);
        if let Some(items) = id.and_then(|id| self.proposals.accepted_items(id)) {
            self.apply_items(&items);
        }
    }

    /// Leaves [`ReplicaState::Uninitialized`] once a replica set is known. If it is the first one, the empty disk of
    /// each of its members is complete by definition.
    fn finish_bootstrap(&mut self) {
        let Some(replica_set) = self.configuration.replica_set() else { return };
        if self.replica_state() == ReplicaState::Uninitialized {
            self.change_state(ReplicaState::CatchingUp);
            let is_first_member = replica_set.contains(&self.identity.name) && replica_set.version == 1;
            if self.bootstrap.is_first_start() && is_first_member {
                self.persist(vec![records::complete()], PendingWrite::Completeness);
            }
        }
        self.bootstrap.finish();
    }

    /// On the bootstrap node, creates the first replica set from all connected replicas.
    pub(in crate::state_machine) fn bootstrap_replica_set(&mut self, now: Timestamp) {
        let is_uninitialized = self.replica_state() == ReplicaState::Uninitialized;
        if !is_uninitialized || !self.bootstrap.should_bootstrap(now, self.quorum.has_peers()) {
            return;
        }
        let mut replicas: Vec<Replica> = self.quorum.peers().map(|peer| Replica::from(&peer.hello)).collect();
        replicas.push(self.identity.replica.clone());
        replicas.sort();
        let replica_set = ReplicaSet { replicas, version: 1 };
        info!("event=bootstrap replicas={}", replica_set.replicas.len());
        let item = replica_set.to_item(CURRENT);
        self.send_to_all_peers(&Message::Items(Items::complete(vec![(&item).into()])));
        self.apply_items(&[item]);
    }
}
