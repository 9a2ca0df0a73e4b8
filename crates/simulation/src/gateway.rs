//! A gateway: its true link, and what it has in force.

use crate::history::Part;
use crate::process::{part_of, words_of};
use kitepass_config::{ItemStore, Kind};
use kitepass_coordination::protocol::{Hello, Message};
use kitepass_data_plane::control_session::{Brought, Link};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;

pub struct Gate {
    hello: Hello,
    link: Link,
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

impl Gate {
    pub fn new(hello: Hello, first: Vec<String>, provinces: BTreeMap<String, String>) -> Gate {
        let link = Link::new(hello.clone(), first, provinces);
        Gate { hello, link, at: None }
    }

    /// Its process begins anew, with nothing.
    pub fn renew(&mut self, life: u64, first: Vec<String>, provinces: BTreeMap<String, String>) {
        self.hello.life = life;
        *self = Gate::new(self.hello.clone(), first, provinces);
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
        let mut words = std::mem::take(&mut self.link.out);
        let items = std::mem::take(&mut self.link.out_items);
        if !items.is_empty() {
            words.push(Message::Items(words_of(&items)));
        }
        words
    }

    /// What is in force by this word, and whether the session is to be closed.
    pub fn said(&mut self, now: Timestamp, word: Message) -> (Vec<Part>, bool) {
        let mut brought = Brought::default();
        self.link.said(now, word, &mut brought);
        (brought.items.iter().filter_map(part_of).collect(), brought.close)
    }

    pub fn is_caught_up(&self) -> bool {
        self.link.is_caught_up()
    }

    pub fn ledger(&self) -> &ItemStore {
        &self.link.ledger
    }

    pub fn evacuated(&self) -> Vec<String> {
        let stands = self.link.ledger.each(Kind::Evacuation).filter(|item| item.stands());
        stands.map(|item| item.name.to_string()).collect()
    }
}
