//! Performs the state machine's actions: sends messages and responses, persists records, and closes sessions.

use super::connections::ConnectionId;
use super::encoded_messages::{ItemBatchCache, LongMessageCache};
use super::Server;
use crate::state_machine::{Action, ItemUpdate};
use kitepass_coordination::protocol::framing::EncodedMessage;
use kitepass_coordination::protocol::Message;
use log::debug;
use std::collections::BTreeSet;

/// A control process with more unsent bytes than this is sent no further chunk of missing items; it will request the
/// chunk again. Invariant: without this bound, responses to repeated requests would accumulate on a slow connection.
const MAX_UNSENT_BYTES_FOR_CHUNK: usize = 1024 * 1024;

/// Output of the actions performed in one turn of the event loop.
#[derive(Default)]
struct OutputBatch {
    /// Connections with new output.
    to_flush: BTreeSet<ConnectionId>,
    item_batches: ItemBatchCache,
    long_messages: LongMessageCache,
}

impl Server {
    /// Performs all pending actions, including those added while doing so, and then writes to the connections.
    pub(super) fn perform_actions(&mut self) {
        let mut output = OutputBatch::default();
        while !self.state_machine.actions.is_empty() {
            for action in std::mem::take(&mut self.state_machine.actions) {
                self.perform(action, &mut output);
            }
        }
        output.to_flush.into_iter().for_each(|id| self.flush(id));
    }

    fn perform(&mut self, action: Action, output: &mut OutputBatch) {
        match action {
            Action::SendToPeer(node_id, message) => self.send_to_peer(&node_id, message, output),
            Action::SendToSession(id, message) => {
                self.send_to_session(ConnectionId(id), message, output);
            }
            Action::SendItems(id, update) => self.send_items(ConnectionId(id), &update, output),
            Action::Respond(id, response) => {
                let id = ConnectionId(id);
                if self.respond_to_request(id, response) {
                    output.to_flush.insert(id);
                    // The client's next request may already be buffered, or waiting in the socket.
                    self.serve_connection(id, None);
                }
            }
            Action::Persist(request_id, records) => self.store.put(request_id, records),
            Action::CloseSession(id) => self.close_session(ConnectionId(id), output),
        }
    }

    /// Sends a message to a control process. Without a connection to it the message is dropped; senders have to expect
    /// lost messages in any case.
    fn send_to_peer(&mut self, node_id: &str, message: Message, output: &mut OutputBatch) {
        let Some(id) = self.peers.connection_to(node_id) else { return };
        let Some(connection) = self.connections.get_mut(id) else { return };
        let unsent = connection.unsent_bytes();
        let is_chunk = matches!(&message, Message::PrepareResponse(response) if !response.items.is_empty());
        if is_chunk && unsent > MAX_UNSENT_BYTES_FOR_CHUNK {
            debug!("event=chunk-held-back node-id={node_id} unsent={unsent}");
            return;
        }
        let is_urgent = is_urgent(&message);
        connection.queue(output.long_messages.encode(message), is_urgent);
        output.to_flush.insert(id);
    }

    fn send_to_session(&mut self, id: ConnectionId, message: Message, output: &mut OutputBatch) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_urgent = is_urgent(&message);
        connection.queue(EncodedMessage::new(message), is_urgent);
        output.to_flush.insert(id);
    }

    fn send_items(&mut self, id: ConnectionId, update: &ItemUpdate, output: &mut OutputBatch) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        for encoded in output.item_batches.encode(update) {
            connection.queue(encoded, false);
        }
        output.to_flush.insert(id);
    }

    fn close_session(&mut self, id: ConnectionId, output: &mut OutputBatch) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.closes_after_flush = true;
        output.to_flush.insert(id);
    }
}

/// Returns whether a message must not wait behind a long one.
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
