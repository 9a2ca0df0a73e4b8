//! A gateway: its true link, and what it has in force.

use crate::history::Write;
use crate::process::{part_of, words_of};
use kitepass_config::{ItemStore, Kind};
use kitepass_coordination::protocol::{Hello, Message};
use kitepass_data_plane::control_session::{ControlSession, SessionUpdates};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

pub struct Gateway {
    hello: Hello,
    link: ControlSession,
    /// The session that it has or is coming to: the connection's number and the control process' machine.
    pub at: Option<(u64, usize)>,
}

/// What a gateway wants done after its turn.
#[derive(Default)]
pub struct Turn {
    /// The session it had is over.
    pub leaves: bool,
    /// A session is to be opened to this address.
    pub opens: Option<String>,
}

impl Gateway {
    pub fn new(hello: Hello, first: Vec<String>, regions: BTreeMap<String, String>) -> Gateway {
        let link = ControlSession::new(hello.clone(), first, regions);
        Gateway { hello, link, at: None }
    }

    /// Its process begins anew, with nothing.
    pub fn renew(&mut self, incarnation: u64, first: Vec<String>, regions: BTreeMap<String, String>) {
        self.hello.incarnation = incarnation;
        *self = Gateway::new(self.hello.clone(), first, regions);
    }

    pub fn turn(&mut self, now: Timestamp, draw: u64) -> Turn {
        let mut turn = Turn::default();
        if self.link.tick(now) {
            turn.leaves = true;
            self.link.lost("left");
        }
        turn.opens = self.link.next(now, draw);
        self.link.ready = self.link.is_caught_up();
        turn
    }

    pub fn lost(&mut self, why: &str) {
        self.at = None;
        self.link.lost(why);
    }

    /// What its process puts on its connection.
    pub fn says(&mut self) -> Vec<Message> {
        let mut messages = std::mem::take(&mut self.link.out);
        let items = std::mem::take(&mut self.link.out_items);
        if !items.is_empty() {
            messages.push(Message::Items(words_of(&items)));
        }
        messages
    }

    /// What is in force by this word, and whether the session is to be closed.
    pub fn said(&mut self, now: Timestamp, message: Message) -> (Vec<Write>, bool) {
        let mut brought = SessionUpdates::default();
        self.link.said(now, message, &mut brought);
        (brought.items.iter().filter_map(part_of).collect(), brought.close)
    }

    pub fn is_caught_up(&self) -> bool {
        self.link.is_caught_up()
    }

    pub fn item_store(&self) -> &ItemStore {
        &self.link.item_store
    }

    pub fn evacuated(&self) -> Vec<String> {
        let stands = self.link.item_store.items_of(Kind::Evacuation).filter(|item| item.is_set());
        stands.map(|item| item.name.to_string()).collect()
    }
}
