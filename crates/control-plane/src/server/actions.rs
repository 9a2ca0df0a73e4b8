//! Carries out the state machine's actions: messages, responses, records and the ends of sessions.

use super::connections::ConnectionId;
use super::encoded_messages::{ItemBatchCache, LongMessageCache};
use super::Server;
use crate::state_machine::{Action, ItemUpdate};
use kitepass_coordination::protocol::framing::EncodedMessage;
use kitepass_coordination::protocol::Message;
use log::debug;
use std::collections::BTreeSet;

/// A process with more unsent bytes than this is sent no further chunk of what it lacks: it will request it again.
/// Invariant: without this bound, repeated requests would pile up on a slow line.
const MAX_UNSENT_FOR_CHUNKS: usize = 1024 * 1024;

/// What the actions of one turn of the loop share.
#[derive(Default)]
struct Outgoing {
    /// Connections with something new to send.
    connections: BTreeSet<ConnectionId>,
    item_batches: ItemBatchCache,
    long_messages: LongMessageCache,
}

impl Server {
    /// Carries out all actions, including those that carrying them out adds, and then writes to the connections.
    pub(super) fn perform_actions(&mut self) {
        let mut outgoing = Outgoing::default();
        while !self.state_machine.actions.is_empty() {
            for action in std::mem::take(&mut self.state_machine.actions) {
                self.perform(action, &mut outgoing);
            }
        }
        outgoing.connections.into_iter().for_each(|id| self.flush(id));
    }

    fn perform(&mut self, action: Action, outgoing: &mut Outgoing) {
        match action {
            Action::SendToPeer(node_id, message) => self.send_to_peer(&node_id, message, outgoing),
            Action::SendToSession(id, message) => {
                self.send_to_session(ConnectionId(id), message, outgoing);
            }
            Action::SendItems(id, update) => self.send_items(ConnectionId(id), &update, outgoing),
            Action::Respond(id, response) => {
                let id = ConnectionId(id);
                if self.respond_to_request(id, response) {
                    outgoing.connections.insert(id);
                    // The next request may be in its input already, and more of it in the socket.
                    self.serve_connection(id, None);
                }
            }
            Action::Persist(request_id, records) => self.store.put(request_id, records),
            Action::CloseSession(id) => self.close_session(ConnectionId(id), outgoing),
        }
    }

    /// Sends to a control process; without a connection to it the message is lost, as on any network.
    fn send_to_peer(&mut self, node_id: &str, message: Message, outgoing: &mut Outgoing) {
        let Some(id) = self.peers.connection_to(node_id) else { return };
        let Some(connection) = self.connections.get_mut(id) else { return };
        let unsent = connection.unsent_bytes();
        let is_chunk = matches!(&message, Message::PrepareResponse(response) if !response.items.is_empty());
        if is_chunk && unsent > MAX_UNSENT_FOR_CHUNKS {
            debug!("event=chunk-held-back node-id={node_id} unsent={unsent}");
            return;
        }
        let is_urgent = is_urgent(&message);
        connection.queue(outgoing.long_messages.encode(message), is_urgent);
        outgoing.connections.insert(id);
    }

    fn send_to_session(&mut self, id: ConnectionId, message: Message, outgoing: &mut Outgoing) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_urgent = is_urgent(&message);
        connection.queue(EncodedMessage::new(message), is_urgent);
        outgoing.connections.insert(id);
    }

    fn send_items(&mut self, id: ConnectionId, update: &ItemUpdate, outgoing: &mut Outgoing) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        for encoded in outgoing.item_batches.encode(update) {
            connection.queue(encoded, false);
        }
        outgoing.connections.insert(id);
    }

    fn close_session(&mut self, id: ConnectionId, outgoing: &mut Outgoing) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.closes_after_flush = true;
        outgoing.connections.insert(id);
    }
}

/// Whether a message must not wait behind a long one.
fn is_urgent(message: &Message) -> bool {
    matches!(
        message,
        Message::Heartbeat(_)
            | Message::LeaseRequest(_)
            | Message::LeaseVote(_)
            | Message::UsageReport(_)
            | Message::UsageTotals(_)
    )
}
