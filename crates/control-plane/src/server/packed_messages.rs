//! Packed messages that go to many connections: each is packed, and kept in memory, once.

use kitepass_config::Item;
use kitepass_coordination::protocol::framing::Packed;
use kitepass_coordination::protocol::{self, Message};
use std::sync::Arc;

/// The items that were packed last.
#[derive(Default)]
pub(super) struct ItemBatchCache {
    last: Option<PackedItems>,
}

struct PackedItems {
    items: Arc<[Item]>,
    packed: Vec<Packed>,
}

impl ItemBatchCache {
    /// These items in as many messages as they need.
    pub(super) fn pack(&mut self, items: &Arc<[Item]>) -> Vec<Packed> {
        if let Some(last) = self.last.as_ref().filter(|last| Arc::ptr_eq(&last.items, items)) {
            return last.packed.clone();
        }
        let packed: Vec<Packed> = protocol::batches(items.iter()).into_iter().map(Packed::new).collect();
        self.last = Some(PackedItems { items: items.clone(), packed: packed.clone() });
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
