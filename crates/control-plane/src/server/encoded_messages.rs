//! Caches the encoded form of messages that are sent to many connections, so that each is encoded and stored only once.

use crate::state_machine::ItemUpdate;
use kitepass_coordination::protocol::framing::EncodedMessage;
use kitepass_coordination::protocol::{self, Message};
use std::sync::Arc;

/// Caches the items that were encoded last.
#[derive(Default)]
pub(super) struct ItemBatchCache {
    last: Option<EncodedItems>,
}

struct EncodedItems {
    update: ItemUpdate,
    encoded: Vec<EncodedMessage>,
}

impl ItemBatchCache {
    /// Returns these items, encoded in as many messages as they need.
    pub(super) fn encode(&mut self, update: &ItemUpdate) -> Vec<EncodedMessage> {
        let is_same = |last: &&EncodedItems| Arc::ptr_eq(&last.update.items, &update.items);
        if let Some(last) = self.last.as_ref().filter(is_same) {
            return last.encoded.clone();
        }
        let messages = protocol::batch_items(update.items.iter(), update.extent);
        let encoded: Vec<EncodedMessage> = messages.into_iter().map(EncodedMessage::new).collect();
        self.last = Some(EncodedItems { update: update.clone(), encoded: encoded.clone() });
        encoded
    }
}

/// Caches the long message that was encoded last.
#[derive(Default)]
pub(super) struct LongMessageCache {
    last: Option<CachedMessage>,
}

struct CachedMessage {
    message: Message,
    encoded: EncodedMessage,
}

impl LongMessageCache {
    /// Returns the message in encoded form.
    pub(super) fn encode(&mut self, message: Message) -> EncodedMessage {
        if let Some(last) = self.last.as_ref().filter(|last| last.message == message) {
            return last.encoded.clone();
        }
        let encoded = EncodedMessage::new(message.clone());
        if matches!(encoded, EncodedMessage::Fragmented(_)) {
            self.last = Some(CachedMessage { message, encoded: encoded.clone() });
        }
        encoded
    }
}
