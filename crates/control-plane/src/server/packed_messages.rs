//! Packed messages that go to many connections: each is packed, and kept in memory, once.

use crate::state_machine::ItemUpdate;
use kitepass_coordination::protocol::framing::Packed;
use kitepass_coordination::protocol::{self, Message};
use std::sync::Arc;

/// The items that were packed last.
#[derive(Default)]
pub(super) struct ItemBatchCache {
    last: Option<PackedItems>,
}

struct PackedItems {
    update: ItemUpdate,
    packed: Vec<Packed>,
}

impl ItemBatchCache {
    /// These items in as many messages as they need.
    pub(super) fn pack(&mut self, update: &ItemUpdate) -> Vec<Packed> {
        let is_same = |last: &&PackedItems| Arc::ptr_eq(&last.update.items, &update.items);
        if let Some(last) = self.last.as_ref().filter(is_same) {
            return last.packed.clone();
        }
        let messages = protocol::batches(update.items.iter(), update.extent);
        let packed: Vec<Packed> = messages.into_iter().map(Packed::new).collect();
        self.last = Some(PackedItems { update: update.clone(), packed: packed.clone() });
        packed
    }
}

/// The last long message that was packed.
#[derive(Default)]
pub(super) struct LongMessageCache {
    last: Option<PackedMessage>,
}

struct PackedMessage {
    message: Message,
    packed: Packed,
}

impl LongMessageCache {
    /// The message, packed.
    pub(super) fn pack(&mut self, message: Message) -> Packed {
        if let Some(last) = self.last.as_ref().filter(|last| last.message == message) {
            return last.packed.clone();
        }
        let packed = Packed::new(message.clone());
        if matches!(packed, Packed::Fragmented(_)) {
            self.last = Some(PackedMessage { message, packed: packed.clone() });
        }
        packed
    }
}
