//! A simulated gateway: a production control session and the items that the gateway has applied.

use crate::history::Write;
use crate::items::{to_message, write_from_item};
use crate::network::SessionId;
use kitepass_config::ItemStore;
use kitepass_coordination::protocol::{Hello, Message};
use kitepass_data_plane::control_session::{CandidateOutcome, ControlSession, SessionUpdates, TickOutcome};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

/// A gateway machine with its process.
pub struct Gateway {
    hello: Hello,
    control_session: ControlSession,
    /// Writes of changes that were not received completely yet.
    pending_writes: Vec<Write>,
    /// The current session.
    pub session: Option<SessionId>,
    /// The session that is being opened to replace the current one.
    pub candidate: Option<SessionId>,
}

/// Actions that a gateway requests after a tick.
#[derive(Default)]
pub struct TickResult {
    /// Whether to close the current session.
    pub should_close_session: bool,
    /// Whether to close the session that is being opened.
    pub should_close_candidate: bool,
    /// The address to open a session to.
    pub connect_to: Option<String>,
}

/// Result of a message to a gateway.
pub struct MessageResult {
    /// Writes that the gateway applied.
    pub applied: Vec<Write>,
    /// Whether to close the session.
    pub should_close_session: bool,
}

impl Gateway {
    /// A gateway without a session, configured with the addresses of some control processes and the region of
    /// each zone.
    pub fn new(hello: Hello, addresses: Vec<String>, regions: BTreeMap<String, String>) -> Gateway {
        let control_session = ControlSession::new(hello.clone(), addresses, regions);
        Gateway { hello, control_session, pending_writes: Vec::new(), session: None, candidate: None }
    }

    /// Restarts the process, which loses its state.
    pub fn restart(&mut self, incarnation: u64, addresses: Vec<String>, regions: BTreeMap<String, String>) {
        self.hello.incarnation = incarnation;
        *self = Gateway::new(self.hello.clone(), addresses, regions);
    }

    /// Handles the passing of time. `random` selects among equally suitable control processes.
    pub fn tick(&mut self, now: Timestamp, random: u64) -> TickResult {
        let outcome = self.control_session.tick(now);
        if outcome.should_close_session {
            self.control_session.connection_lost("timed-out");
        }
        if outcome.should_close_candidate {
            self.control_session.candidate_lost("timed-out");
        }
        let connect_to = self.control_session.next_control_process(now, random);
        self.control_session.is_ready = self.control_session.is_caught_up();
        let TickOutcome { should_close_session, should_close_candidate } = outcome;
        TickResult { should_close_session, should_close_candidate, connect_to }
    }

    /// Handles the loss of the session that was being opened, or the failure to open it.
    pub fn candidate_lost(&mut self, reason: &str) {
        self.candidate = None;
        self.control_session.candidate_lost(reason);
    }

    /// Takes the messages to send on the session that is being opened.
    pub fn take_candidate_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.control_session.candidate_outgoing)
    }

    /// Handles a control process's hello on the session that is being opened. If it is accepted, that session
    /// becomes the current one.
    pub fn receive_hello(&mut self, now: Timestamp, hello: &Hello) -> CandidateOutcome {
        self.control_session.candidate_hello(now, hello)
    }

    /// Handles the loss of the current session.
    pub fn session_lost(&mut self, reason: &str) {
        self.session = None;
        self.control_session.connection_lost(reason);
    }

    /// Takes the messages to send on the current session.
    pub fn take_messages(&mut self) -> Vec<Message> {
        let mut messages = std::mem::take(&mut self.control_session.outgoing);
        let items = std::mem::take(&mut self.control_session.outgoing_items);
        if !items.is_empty() {
            messages.push(Message::Items(to_message(&items)));
        }
        messages
    }

    /// Handles a message on the current session.
    pub fn receive(&mut self, now: Timestamp, message: Message) -> MessageResult {
        let mut updates = SessionUpdates::default();
        self.control_session.receive(now, message, &mut updates);
        self.pending_writes.extend(updates.items.iter().filter_map(write_from_item));
        let is_whole = self.control_session.holds_complete_changes();
        let applied = if is_whole { std::mem::take(&mut self.pending_writes) } else { Vec::new() };
        MessageResult { applied, should_close_session: updates.should_close }
    }

    /// Whether the gateway has received the control plane's whole state.
    pub fn is_caught_up(&self) -> bool {
        self.control_session.is_caught_up()
    }

    /// The items that the gateway has received.
    pub fn item_store(&self) -> &ItemStore {
        &self.control_session.item_store
    }
}
