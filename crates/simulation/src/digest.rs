//! A 64-bit digest of a run, for comparing runs of the same seed across changes of the code.
//!
//! It covers primitive values only: numbers, the names and zones that go over the wire, and the explicit numbers below
//! in place of enum variants. Renaming a type, a field, a variant or a message text therefore leaves it as it is.

use crate::history::{AnswerStatus, Content, HistoryEvent, ItemName, Write};

/// 64-bit FNV-1a, as it is published: the hash must not change with a dependency.
#[derive(Clone, Copy, Debug)]
pub struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Fnv1a {
        Fnv1a(Fnv1a::OFFSET_BASIS)
    }
}

impl Fnv1a {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Fnv1a::PRIME);
        }
    }

    pub fn value(self) -> u64 {
        self.0
    }

    fn unsigned(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn signed(&mut self, number: i64) {
        self.bytes(&number.to_le_bytes());
    }

    fn index(&mut self, index: usize) {
        self.unsigned(index as u64);
    }

    fn flag(&mut self, flag: bool) {
        self.unsigned(u64::from(flag));
    }

    /// The length goes first, so that two texts in a row cannot be split in two ways.
    fn text(&mut self, text: &str) {
        self.index(text.len());
        self.bytes(text.as_bytes());
    }
}

/// What a run put on its connections and disks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    /// As encoded for the wire.
    pub message_bytes: u64,
    pub records: u64,
    /// Keys and values.
    pub record_bytes: u64,
}

/// The digest of a history in its order, and of the traffic.
pub fn digest(history: &[HistoryEvent], traffic: &Traffic) -> u64 {
    let mut hash = Fnv1a::default();
    hash.index(history.len());
    for event in history {
        add_event(&mut hash, event);
    }
    for count in [traffic.messages, traffic.message_bytes, traffic.records, traffic.record_bytes] {
        hash.unsigned(count);
    }
    hash.value()
}

/// Each kind of event has a number of its own: never renumber.
fn add_event(hash: &mut Fnv1a, event: &HistoryEvent) {
    match event {
        HistoryEvent::Call { call, parts } => {
            hash.unsigned(1);
            hash.unsigned(*call);
            hash.index(parts.len());
            parts.iter().for_each(|part| add_part(hash, part));
        }
        HistoryEvent::Sent { sending, call } => {
            hash.unsigned(2);
            hash.unsigned(*sending);
            hash.unsigned(*call);
        }
        HistoryEvent::Unsent { sending } => {
            hash.unsigned(3);
            hash.unsigned(*sending);
        }
        HistoryEvent::Began { at, sending } => {
            hash.unsigned(4);
            hash.signed(*at);
            hash.unsigned(*sending);
        }
        HistoryEvent::Answered { at, sending, call, node, status } => {
            hash.unsigned(5);
            hash.signed(*at);
            hash.unsigned(*sending);
            hash.unsigned(*call);
            hash.index(*node);
            hash.unsigned(verdict_number(*status));
        }
        HistoryEvent::Heard { sending } => {
            hash.unsigned(6);
            hash.unsigned(*sending);
        }
        HistoryEvent::ReadBegan { at, read, node } => {
            hash.unsigned(7);
            hash.signed(*at);
            hash.unsigned(*read);
            hash.index(*node);
        }
        HistoryEvent::ReadEnded { at, read, shown } => {
            hash.unsigned(8);
            hash.signed(*at);
            hash.unsigned(*read);
            hash.index(shown.len());
            for (name, (version, content)) in shown {
                add_version(hash, name, *version, *content);
            }
        }
        HistoryEvent::InForce { at, gate, part } => {
            hash.unsigned(9);
            hash.signed(*at);
            hash.index(*gate);
            add_part(hash, part);
        }
        HistoryEvent::GateBegan { gate } => {
            hash.unsigned(10);
            hash.index(*gate);
        }
        HistoryEvent::ReplicaSet { at, node, name, version, mark } => {
            hash.unsigned(11);
            hash.signed(*at);
            hash.index(*node);
            hash.text(name);
            hash.unsigned(*version);
            hash.unsigned(*mark);
        }
        HistoryEvent::Duty { at, nodes } => {
            hash.unsigned(12);
            hash.signed(*at);
            hash.index(nodes.len());
            nodes.iter().for_each(|node| hash.index(*node));
        }
        HistoryEvent::ZoneBegan { at, order, zone, on } => {
            hash.unsigned(13);
            hash.signed(*at);
            hash.unsigned(*order);
            hash.text(zone);
            hash.flag(*on);
        }
        HistoryEvent::ZoneEnded { at, order, taken } => {
            hash.unsigned(14);
            hash.signed(*at);
            hash.unsigned(*order);
            hash.flag(*taken);
        }
        HistoryEvent::ZoneIs { at, node, zone, on } => {
            hash.unsigned(15);
            hash.signed(*at);
            hash.index(*node);
            hash.text(zone);
            hash.flag(*on);
        }
        // Its text is for people and names states of the program.
        HistoryEvent::Late { at, what: _ } => {
            hash.unsigned(16);
            hash.signed(*at);
        }
    }
}

fn add_part(hash: &mut Fnv1a, part: &Write) {
    add_version(hash, &part.name, part.version, part.content);
}

fn add_version(hash: &mut Fnv1a, (kind, name): &ItemName, version: u64, content: Content) {
    hash.unsigned(u64::from(*kind as u8));
    hash.text(name);
    hash.unsigned(version);
    match content {
        Content::Dropped => hash.unsigned(0),
        Content::Set(call) => {
            hash.unsigned(1);
            hash.unsigned(call);
        }
    }
}

fn verdict_number(status: AnswerStatus) -> u64 {
    match status {
        AnswerStatus::Confirmed => 1,
        AnswerStatus::Invalid => 2,
        AnswerStatus::Taken => 3,
        AnswerStatus::Unclear => 4,
    }
}
