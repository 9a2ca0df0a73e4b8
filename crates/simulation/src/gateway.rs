//! A gateway's part in the control plane: its real control session, and the items that it acts on.

use crate::history::Write;
use crate::items::{to_message, write_from_item};
use crate::network::SessionId;
use kitepass_config::ItemStore;
use kitepass_coordination::protocol::{Hello, Message};
use kitepass_data_plane::control_session::{CandidateOutcome, ControlSession, SessionUpdates, TickOutcome};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

/// A gateway's machine with its process.
pub struct Gateway {
    hello: Hello,
    control_session: ControlSession,
    /// What has come of changes that are not whole yet.
    pending_writes: Vec<Write>,
    /// The session that it has.
    pub session: Option<SessionId>,
    /// The session that it is opening.
    pub candidate: Option<SessionId>,
}

/// What a gateway wants done after a tick.
#[derive(Default)]
pub struct TickResult {
    /// The session that it had is over.
    pub should_close_session: bool,
    /// The session that it was opening is given up.
    pub should_close_candidate: bool,
    /// A session is to be opened to this address.
    pub connect_to: Option<String>,
}

/// What a message to a gateway led to.
pub struct MessageResult {
    /// What it acts on from now on.
    pub applied: Vec<Write>,
    /// The session is to be closed.
    pub should_close_session: bool,
}

impl Gateway {
    /// A gateway without a session, that knows the addresses of some control processes, and the regions by zone.
    pub fn new(hello: Hello, addresses: Vec<String>, regions: BTreeMap<String, String>) -> Gateway {
        let control_session = ControlSession::new(hello.clone(), addresses, regions);
        Gateway { hello, control_session, pending_writes: Vec::new(), session: None, candidate: None }
    }

    /// Its process restarts, with nothing.
    pub fn restart(&mut self, incarnation: u64, addresses: Vec<String>, regions: BTreeMap<String, String>) {
        self.hello.incarnation = incarnation;
        *self = Gateway::new(self.hello.clone(), addresses, regions);
    }

    /// Time has passed. The random number chooses among equal control processes.
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

    /// The session that it was opening is over, or could not be opened.
    pub fn candidate_lost(&mut self, reason: &str) {
        self.candidate = None;
        self.control_session.candidate_lost(reason);
    }

    /// What it sends on the session that it is opening.
    pub fn take_candidate_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.control_session.candidate_outgoing)
    }

    /// A control process said hello on the session that it is opening, which becomes the session it has.
    pub fn receive_hello(&mut self, now: Timestamp, hello: &Hello) -> CandidateOutcome {
        self.control_session.candidate_hello(now, hello)
    }

    /// Its session is over.
    pub fn session_lost(&mut self, reason: &str) {
        self.session = None;
        self.control_session.connection_lost(reason);
    }

    /// What it sends on its session.
    pub fn take_messages(&mut self) -> Vec<Message> {
        let mut messages = std::mem::take(&mut self.control_session.outgoing);
        let items = std::mem::take(&mut self.control_session.outgoing_items);
        if !items.is_empty() {
            messages.push(Message::Items(to_message(&items)));
        }
        messages
    }

    /// A message arrived on its session.
    pub fn receive(&mut self, now: Timestamp, message: Message) -> MessageResult {
        let mut updates = SessionUpdates::default();
        self.control_session.receive(now, message, &mut updates);
        self.pending_writes.extend(updates.items.iter().filter_map(write_from_item));
        let is_whole = self.control_session.holds_complete_changes();
        let applied = if is_whole { std::mem::take(&mut self.pending_writes) } else { Vec::new() };
        MessageResult { applied, should_close_session: updates.should_close }
    }

    /// It holds what the control plane holds.
    pub fn is_caught_up(&self) -> bool {
        self.control_session.is_caught_up()
    }

    /// The items that it acts on.
    pub fn item_store(&self) -> &ItemStore {
        &self.control_session.item_store
    }
}
