//! A gateway's part in the control plane: its real control session, and the items that it acts on.

use crate::history::Write;
use crate::items::{to_message, write_from_item};
use crate::network::SessionId;
use kitepass_config::ItemStore;
use kitepass_coordination::protocol::{Hello, Message};
use kitepass_data_plane::control_session::{ControlSession, SessionUpdates};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

/// A gateway's machine with its process.
pub struct Gateway {
    hello: Hello,
    control_session: ControlSession,
    /// The session that it has, or is opening.
    pub session: Option<SessionId>,
}

/// What a gateway wants done after a tick.
#[derive(Default)]
pub struct TickResult {
    /// The session that it had is over.
    pub closes_session: bool,
    /// A session is to be opened to this address.
    pub connect_to: Option<String>,
}

/// What a message to a gateway led to.
pub struct MessageResult {
    /// What it acts on from now on.
    pub applied: Vec<Write>,
    /// The session is to be closed.
    pub closes_session: bool,
}

impl Gateway {
    /// A gateway without a session, that knows the addresses of some control processes, and the regions by zone.
    pub fn new(hello: Hello, addresses: Vec<String>, regions: BTreeMap<String, String>) -> Gateway {
        let control_session = ControlSession::new(hello.clone(), addresses, regions);
        Gateway { hello, control_session, session: None }
    }

    /// Its process restarts, with nothing.
    pub fn restart(&mut self, incarnation: u64, addresses: Vec<String>, regions: BTreeMap<String, String>) {
        self.hello.incarnation = incarnation;
        *self = Gateway::new(self.hello.clone(), addresses, regions);
    }

    /// Time has passed. The random number chooses among equal control processes.
    pub fn tick(&mut self, now: Timestamp, random: u64) -> TickResult {
        let mut result = TickResult::default();
        if self.control_session.tick(now) {
            result.closes_session = true;
            self.control_session.connection_lost("left");
        }
        result.connect_to = self.control_session.next_control_process(now, random);
        self.control_session.is_ready = self.control_session.is_caught_up();
        result
    }

    /// Its session is over, or could not be opened.
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
        let applied = updates.items.iter().filter_map(write_from_item).collect();
        MessageResult { applied, closes_session: updates.should_close }
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
