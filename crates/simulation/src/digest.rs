//! A 64-bit digest of a run, to compare runs of the same seed across versions of the code.
//!
//! It covers primitive values only: numbers, names of items and zones as sent over the network, and fixed
//! numbers in place of enum variants. Renaming a type, a field or a variant, or rewording a message,
//! therefore does not change it.

use crate::history::{Content, HistoryEvent, ItemName, ResponseStatus, Write};

/// 64-bit FNV-1a according to its specification. Implemented here so that updating a dependency cannot change
/// the hash.
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

    /// Adds bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Fnv1a::PRIME);
        }
    }

    /// The hash of all added bytes.
    pub fn value(self) -> u64 {
        self.0
    }

    fn unsigned(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn signed(&mut self, number: i64) {
        self.bytes(&number.to_le_bytes());
    }

    fn numbers(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|number| self.unsigned(*number));
    }

    /// Adds the number of an event's kind, its time, and further numbers.
    fn timed_event(&mut self, kind: u64, at: i64, numbers: &[u64]) {
        self.unsigned(kind);
        self.signed(at);
        self.numbers(numbers);
    }

    fn boolean(&mut self, boolean: bool) {
        self.unsigned(u64::from(boolean));
    }

    /// Adds the length first, so that two consecutive strings cannot be split in two ways.
    fn string(&mut self, string: &str) {
        self.unsigned(string.len() as u64);
        self.bytes(string.as_bytes());
    }
}

/// Amount of data sent over connections and written to disks in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages sent.
    pub messages: u64,
    /// Their encoded size in bytes.
    pub message_bytes: u64,
    /// Number of records passed to disks.
    pub records: u64,
    /// Size of their keys and values in bytes.
    pub record_bytes: u64,
}

/// The digest of a history, in order, and of the traffic.
pub fn digest(history: &[HistoryEvent], traffic: &Traffic) -> u64 {
    let mut hash = Fnv1a::default();
    hash.unsigned(history.len() as u64);
    for event in history {
        add_event(&mut hash, event);
    }
    for count in [traffic.messages, traffic.message_bytes, traffic.records, traffic.record_bytes] {
        hash.unsigned(count);
    }
    hash.value()
}

/// Each kind of event has a fixed number, which must never change.
fn add_event(hash: &mut Fnv1a, event: &HistoryEvent) {
    match event {
        HistoryEvent::ChangeCreated { change, writes } => {
            hash.numbers(&[1, change.0, writes.len() as u64]);
            writes.iter().for_each(|write| add_write(hash, write));
        }
        HistoryEvent::ChangeSent { attempt, change } => hash.numbers(&[2, attempt.0, change.0]),
        HistoryEvent::AttemptUndelivered { attempt } => hash.numbers(&[3, attempt.0]),
        HistoryEvent::ChangeStarted { at, attempt } => hash.timed_event(4, *at, &[attempt.0]),
        HistoryEvent::ChangeAnswered { at, attempt, change, node, status } => {
            hash.timed_event(5, *at, &[attempt.0, change.0, *node as u64, status_number(*status)]);
        }
        HistoryEvent::ResponseReceived { attempt } => hash.numbers(&[6, attempt.0]),
        HistoryEvent::ReadStarted { at, read, node } => hash.timed_event(7, *at, &[read.0, *node as u64]),
        HistoryEvent::ReadCompleted { at, read, items } => {
            hash.timed_event(8, *at, &[read.0, items.len() as u64]);
            items.iter().for_each(|(item, state)| add_version(hash, item, state.version, state.content));
        }
        HistoryEvent::WriteApplied { at, gateway, write } => {
            hash.timed_event(9, *at, &[*gateway as u64]);
            add_write(hash, write);
        }
        HistoryEvent::GatewayRestarted { gateway } => hash.numbers(&[10, *gateway as u64]),
        HistoryEvent::ReplicaSetObserved { at, node, name, version, digest } => {
            hash.timed_event(11, *at, &[*node as u64]);
            hash.string(name);
            hash.numbers(&[*version, *digest]);
        }
        HistoryEvent::LeaseHeld { at, nodes } => {
            hash.timed_event(12, *at, &[nodes.len() as u64]);
            nodes.iter().for_each(|node| hash.unsigned(*node as u64));
        }
        HistoryEvent::EvacuationStarted { at, request, zone, is_evacuated } => {
            hash.timed_event(13, *at, &[request.0]);
            hash.string(zone);
            hash.boolean(*is_evacuated);
        }
        HistoryEvent::EvacuationAnswered { at, request, is_confirmed } => {
            hash.timed_event(14, *at, &[request.0, u64::from(*is_confirmed)]);
        }
        HistoryEvent::EvacuationAbandoned { at, request } => hash.timed_event(17, *at, &[request.0]),
        HistoryEvent::EvacuationObserved { at, node, zone, is_evacuated } => {
            hash.timed_event(15, *at, &[*node as u64]);
            hash.string(zone);
            hash.boolean(*is_evacuated);
        }
        // The description is left out: it is for humans and contains names from the code.
        HistoryEvent::DeadlineMissed { at, description: _ } => hash.timed_event(16, *at, &[]),
    }
}

fn add_write(hash: &mut Fnv1a, write: &Write) {
    add_version(hash, &write.item, write.version, write.content);
}

fn add_version(hash: &mut Fnv1a, item: &ItemName, version: u64, content: Content) {
    hash.unsigned(u64::from(item.kind as u8));
    hash.string(&item.name);
    hash.unsigned(version);
    match content {
        Content::Deleted => hash.unsigned(0),
        Content::SetBy(change) => hash.numbers(&[1, change.0]),
    }
}

/// The numbers must never change.
fn status_number(status: ResponseStatus) -> u64 {
    match status {
        ResponseStatus::Confirmed => 1,
        ResponseStatus::Invalid => 2,
        ResponseStatus::Conflict => 3,
        ResponseStatus::Unknown => 4,
    }
}
