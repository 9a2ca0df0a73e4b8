//! Connections to and messages from other control processes.

use crate::state_machine::StateMachine;
use kitepass_config::Kind;
use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::{Heartbeat, Hello, ItemMessage, Items, MembershipUpdate, Message};
use kitepass_time::Timestamp;
use log::info;

/// The sender of a message.
struct Sender<'a> {
    node_id: &'a str,
    /// The name of its replica.
    name: String,
    incarnation: u64,
}

impl StateMachine {
    /// Handles a new connection with another control process.
    pub fn peer_connected(&mut self, now: Timestamp, hello: &Hello) {
        let node_id = &hello.node_id;
        if !self.knows_peer(node_id) {
            self.bootstrap.peer_joined(now);
            info!(
                "event=peer-connected node-id={node_id} address={} incarnation={:x}",
                hello.address, hello.incarnation
            );
        }
        self.catch_up.cancel_reads_from(node_id);
        self.membership.replica_connected(&Replica::from(hello).name());
        let last_heard = self.quorum.get(node_id).map_or(now, |peer| peer.last_received_at);
        if let Some(replaced) = self.quorum.connect(now, hello) {
            self.membership.replica_disconnected(now, replaced, last_heard);
        }
        self.sessions.force_announcement();
        self.catch_up.retry_on_next_tick();
        let control_addresses = self.known_addresses().into_iter().collect();
        let update = MembershipUpdate { control_addresses, ..MembershipUpdate::default() };
        self.send_to_peer(node_id, Message::MembershipUpdate(update));
    }

    /// Returns whether this peer is connected. A peer that was disconnected as unresponsive has to send its hello
    /// again.
    pub fn knows_peer(&self, node_id: &str) -> bool {
        self.quorum.get(node_id).is_some()
    }

    /// Returns whether the connected peer is this incarnation.
    pub fn knows_incarnation(&self, node_id: &str, incarnation: u64) -> bool {
        self.quorum.get(node_id).is_some_and(|peer| peer.hello.incarnation == incarnation)
    }

    /// Records that bytes of an incomplete message have arrived from a peer.
    pub fn peer_data_received(&mut self, now: Timestamp, node_id: &str) {
        self.quorum.message_received(now, node_id);
    }

    pub(in crate::state_machine) fn disconnect_peer(&mut self, now: Timestamp, node_id: &str, why: &str) {
        self.catch_up.cancel_reads_from(node_id);
        if let Some(peer) = self.quorum.remove(node_id) {
            info!("event=peer-lost node-id={node_id} why={why}");
            self.membership.replica_disconnected(now, peer.name, peer.last_received_at);
        }
    }

    /// Handles a message from another control process. Returns the addresses of control processes that it contains.
    pub fn peer_message(&mut self, now: Timestamp, node_id: &str, message: Message) -> Vec<String> {
        let Some(peer) = self.quorum.message_received(now, node_id) else { return Vec::new() };
        let sender = Sender { node_id, name: peer.name.clone(), incarnation: peer.hello.incarnation };
        self.record_contact_proof(now, &sender, &message);
        if !self.knows_peer(node_id) {
            return Vec::new(); // evaluating the message disconnected the peer
        }
        if let Message::MembershipUpdate(update) = message {
            return update.control_addresses;
        }
        self.dispatch(now, &sender, message);
        self.resume_requests(now);
        Vec::new()
    }

    /// Records the sender's proof that it has received a message from this process, and evaluates the contact with
    /// it.
    fn record_contact_proof(&mut self, now: Timestamp, sender: &Sender, message: &Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.quorum.echo_received(now, &sender.name, heartbeat),
            Message::PrepareResponse(response) => {
                let is_for_this_incarnation = response.incarnation == self.identity.incarnation;
                if is_for_this_incarnation && self.catch_up.is_catch_up_id(response.request_id) {
                    self.quorum.response_received(now, &sender.name, self.catch_up.first_requested_at());
                }
            }
            _ => return,
        }
        self.check_reconnected(now);
    }

    fn dispatch(&mut self, now: Timestamp, sender: &Sender, message: Message) {
        let (node_id, name) = (sender.node_id, sender.name.as_str());
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, sender, &heartbeat),
            Message::Items(items) => self.handle_items(items),
            Message::AcceptRequest(request) => self.handle_accept_request(now, node_id, request),
            Message::Commit(commit) => self.handle_commit(&commit),
            Message::PurgeTombstones(purge) if self.configuration.is_member_or_unknown(name) => {
                self.purge_tombstones(purge.into_expired());
            }
            // Invariant: a response to an earlier incarnation does not count as a response to this one.
            Message::AcceptResponse(response) if response.incarnation == self.identity.incarnation => {
                self.handle_accept_response(now, name, &response);
            }
            Message::PrepareRequest(request) => self.handle_prepare_request(now, node_id, &request),
            Message::PrepareResponse(response) => self.handle_prepare_response(now, node_id, name, response),
            Message::LeaseRequest(request) => self.handle_lease_request(now, node_id, name, &request),
            Message::LeaseVote(vote) => self.handle_lease_vote(now, name, &vote),
            Message::SessionList(list) => self.sessions.receive_list(now, node_id, sender.incarnation, &list),
            Message::UsageReport(report) => {
                if let Some(totals) = self.record_usage(now, &report) {
                    self.send_to_peer(node_id, Message::UsageTotals(totals));
                }
            }
            Message::UsageTotals(totals) => self.forward_usage_totals(totals),
            _ => {}
        }
    }

    fn handle_heartbeat(&mut self, now: Timestamp, sender: &Sender, heartbeat: &Heartbeat) {
        let digest = self.item_store().history_digest();
        let is_stale = self.quorum.receive_heartbeat(sender.node_id, heartbeat, digest);
        self.track_persisted_replica(now, &sender.name, heartbeat);
        self.sessions.peer_heartbeat(now, sender.node_id, sender.incarnation);
        if is_stale {
            self.repair(now, sender.node_id, &sender.name);
        }
    }

    /// Merges backends from the coordinator's endpoint list, and the first replica set.
    ///
    /// Invariant: no other unrequested items are merged. They could be items that were dropped and whose tombstones
    /// have since been purged.
    fn handle_items(&mut self, items: Items) {
        let items = items.items.into_iter().filter_map(ItemMessage::into_entry);
        let items = items.filter(|(item, _)| matches!(item.kind, Kind::Backend | Kind::ReplicaSet));
        self.apply_committed(items.collect());
    }
}
