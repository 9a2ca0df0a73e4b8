//! Tracks whether the items received from a control process form complete changes.
//!
//! A change may span several messages, and a transfer of missing items by buckets carries parts of many changes in each
//! message. Items are merged as they arrive, so that they need no extra buffer. What is derived from them, the routing
//! table, is updated only when all changes and transfers that have begun are complete. If the end of one never arrives,
//! the gateway keeps using its last complete configuration until its items equal those of a control process again,
//! which is the case at the latest after the synchronization of its next session.

use kitepass_coordination::protocol::Extent;

/// The changes and transfers that have begun and are not complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ChangeProgress {
    /// More items of a change will follow.
    is_change_incomplete: bool,
    /// A transfer of missing items is in progress, or a session has begun, which always starts with one.
    is_transfer_in_progress: bool,
}

impl ChangeProgress {
    /// Returns whether all changes and transfers that have begun are complete.
    pub(super) fn is_complete(self) -> bool {
        !self.is_change_incomplete && !self.is_transfer_in_progress
    }

    /// Records a new session. A change that the previous session left incomplete is completed by the transfer that
    /// begins now.
    pub(super) fn session_opened(&mut self) {
        *self = ChangeProgress { is_change_incomplete: false, is_transfer_in_progress: true };
    }

    /// Records the arrival of items.
    pub(super) fn items_received(&mut self, extent: Extent) {
        match extent {
            Extent::Complete => self.is_change_incomplete = false,
            Extent::Continued => self.is_change_incomplete = true,
            Extent::Transfer => self.is_transfer_in_progress = true,
        }
    }

    /// Records that the gateway holds the same items as a control process, which only holds complete changes.
    pub(super) fn mark_in_sync(&mut self) {
        *self = ChangeProgress::default();
    }
}
