//! The periodic work of each heartbeat: messages to peers and gateways, time-outs and expiry.

use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::{records, ReplicaState, StateMachine};
use kitepass_coordination::protocol::{Heartbeat, MembershipUpdate, Message};
use kitepass_time::Timestamp;

impl StateMachine {
    /// Sends heartbeats to peers and sessions, and disconnects unresponsive ones.
    pub(in crate::state_machine) fn send_heartbeats(&mut self, now: Timestamp) {
        let to_gateways = Heartbeat {
            is_serving: self.replica_state() == ReplicaState::Serving,
            is_complete: self.is_ready_to_join(),
            coordinator_term: self.active_term(now).unwrap_or(0),
            is_transferring: self.catch_up.is_transferring(),
            ..Heartbeat::default()
        };
        let to_peers = Heartbeat {
            digest: self.item_store().history_digest(),
            is_shutting_down: self.replica_state() == ReplicaState::ShuttingDown,
            is_persisted: self.is_persisted(),
            ..to_gateways.clone()
        };
        let actions = self.quorum.heartbeats(now, &to_peers);
        self.push_actions(actions);
        self.collect_tombstones(now);
        self.disconnect_unresponsive(now);
        self.announce_sessions(now);
        self.expire_old_state(now);
        self.refresh_live_gateways();
        let heartbeat = Heartbeat { digest: self.item_store().digest(), ..to_gateways };
        let actions = self.sessions.broadcast(&Message::Heartbeat(heartbeat));
        self.push_actions(actions);
    }

    fn disconnect_unresponsive(&mut self, now: Timestamp) {
        for node_id in self.quorum.unresponsive_peers(now) {
            self.disconnect_peer(now, &node_id, "unresponsive");
        }
        for id in self.sessions.timed_out_sessions(now) {
            self.close_session(now, id, "unresponsive");
        }
    }

    fn expire_old_state(&mut self, now: Timestamp) {
        self.configuration.purge_backend_tombstones();
        self.sessions.expire(now);
        self.coordinator.expire_usage(now);
    }

    /// Sends the list of local sessions to the peers, if it has changed or the last announcement is too old.
    pub(in crate::state_machine) fn announce_sessions(&mut self, now: Timestamp) {
        let (node_id, incarnation) = (&self.identity.replica.node_id, self.identity.incarnation);
        if let Some(list) = self.sessions.announcement(now, node_id, incarnation) {
            self.send_to_all_peers(&Message::SessionList(list));
        }
    }

    /// Updates the set of live gateways. A change is written to disk and sent to the gateways.
    fn refresh_live_gateways(&mut self) {
        if !self.sessions.refresh_live_gateways() {
            return;
        }
        let record = records::live_gateways(self.sessions.live_node_ids());
        self.persist(vec![record], PendingWrite::Nothing);
        let message = Message::MembershipUpdate(self.membership_update());
        let actions = self.sessions.broadcast(&message);
        self.push_actions(actions);
    }

    /// Builds the membership information that gateways receive when a session opens and whenever it changes.
    pub(in crate::state_machine) fn membership_update(&self) -> MembershipUpdate {
        let own = &self.identity.replica;
        let peers = self.quorum.peers().map(|peer| (&peer.hello.address, &peer.hello.zone));
        let control_planes = peers.chain([(&own.address, &own.zone)]);
        let (control_addresses, control_zones) =
            control_planes.map(|(address, zone)| (address.clone(), zone.clone())).unzip();
        let live = self.sessions.live_node_ids();
        MembershipUpdate {
            gateway_count: live.len() as u32,
            node_ids: live.to_vec(),
            control_addresses,
            control_zones,
        }
    }
}
