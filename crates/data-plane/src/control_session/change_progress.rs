//! Where one change ends and the next begins, among the items that a control process sends.
//!
//! A change may take several messages, and what a gateway lacks comes bucket by bucket, with parts of many changes in each
//! message. The items are merged as they come, which needs no more memory than they do; what follows from them, the routing
//! table, waits for the end of all that has begun. Where the end never comes, the gateway goes by the last whole
//! configuration until it holds the same as a control process again, at the latest after its next session's synchronization.

use kitepass_coordination::protocol::Extent;

/// What has begun and not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ChangeProgress {
    /// A change of which more is to come.
    is_change_incomplete: bool,
    /// A transfer of what was missing, or the beginning of a session, which starts with one.
    is_transfer_in_progress: bool,
}

impl ChangeProgress {
    /// Whether all that has begun has ended.
    pub(super) fn is_complete(self) -> bool {
        !self.is_change_incomplete && !self.is_transfer_in_progress
    }

    /// A session has been opened: what the one before had begun is not ended by it, but by what is transferred now.
    pub(super) fn session_opened(&mut self) {
        *self = ChangeProgress { is_change_incomplete: false, is_transfer_in_progress: true };
    }

    /// Items have come.
    pub(super) fn items_received(&mut self, extent: Extent) {
        match extent {
            Extent::Complete => self.is_change_incomplete = false,
            Extent::Continued => self.is_change_incomplete = true,
            Extent::Transfer => self.is_transfer_in_progress = true,
        }
    }

    /// The gateway holds all that a control process holds, which holds whole changes.
    pub(super) fn mark_in_sync(&mut self) {
        *self = ChangeProgress::default();
    }
}
