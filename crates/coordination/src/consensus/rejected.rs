//! Indexed storage for the changes that an acceptor has rejected because of their content. Their number is limited.

use super::accepted::{indexed, remove_from_index, ProposalIndex};
use super::proposal::ProposalId;
use super::records::{rejected_deletion, rejected_record, Record};
use crate::protocol::Ballot;
use std::collections::BTreeMap;

/// The maximum number of rejections kept. When it is reached, those with the lowest ballots are dropped.
pub(super) const MAX_REJECTIONS: usize = 1_024;
/// The maximum total number of keys of the rejections kept. Rejections with the lowest ballots are dropped to stay
/// within it, but a single rejection is kept even if it alone has more keys.
const MAX_REJECTED_KEYS: usize = 1 << 20;

/// The rejection of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Rejection {
    ballot: Ballot,
    /// The keys of the change's items.
    keys: Vec<u64>,
}

/// Rejected changes, by [`Proposal::change_id`](super::Proposal::change_id), each with the ballot of its latest rejection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RejectedChanges {
    by_id: BTreeMap<ProposalId, Rejection>,
    /// Indexed by the keys of the changes' items.
    pub(super) by_key: ProposalIndex,
    /// The total number of keys in all rejections.
    pub(super) key_count: usize,
}

impl RejectedChanges {
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The IDs of the rejected changes that contain any of the keys, with the ballots of their rejections.
    pub(super) fn overlapping(&self, keys: &[u64]) -> impl Iterator<Item = (ProposalId, Ballot)> + '_ {
        let ids = indexed(&self.by_key, keys);
        ids.into_iter().map(|change_id| (change_id, self.by_id[&change_id].ballot))
    }

    /// Adds a rejection. If a limit is reached, drops the rejections with the lowest ballots. Returns the records to
    /// write to disk.
    pub(super) fn add(&mut self, ballot: Ballot, change_id: ProposalId, keys: &[u64]) -> Vec<Record> {
        // If this change was rejected before, the new record overwrites the earlier one, which needs no deletion.
        self.remove(change_id);
        let mut records = Vec::new();
        while self.by_id.len() >= MAX_REJECTIONS || self.key_count + keys.len() > MAX_REJECTED_KEYS {
            let Some(lowest) = self.with_lowest_ballot() else { break };
            records.extend(self.remove(lowest));
        }
        self.insert(ballot, change_id, keys.to_vec());
        records.push(rejected_record(ballot, change_id, keys));
        records
    }

    fn with_lowest_ballot(&self) -> Option<ProposalId> {
        let lowest = self.by_id.iter().min_by_key(|(_, rejection)| rejection.ballot);
        lowest.map(|(change_id, _)| *change_id)
    }

    /// Inserts a rejection without a limit, and replaces an earlier one of the same change. Called directly only for
    /// rejections restored from disk.
    pub(super) fn insert(&mut self, ballot: Ballot, change_id: ProposalId, keys: Vec<u64>) {
        self.remove(change_id);
        self.key_count += keys.len();
        for key in &keys {
            self.by_key.entry(*key).or_default().insert(change_id);
        }
        self.by_id.insert(change_id, Rejection { ballot, keys });
    }

    /// Removes the rejection of a change. Returns the record that deletes it from disk, or `None` if there was none.
    pub(super) fn remove(&mut self, change_id: ProposalId) -> Option<Record> {
        let rejection = self.by_id.remove(&change_id)?;
        self.key_count -= rejection.keys.len();
        for key in rejection.keys {
            remove_from_index(&mut self.by_key, key, change_id);
        }
        Some(rejected_deletion(change_id))
    }

    /// Removes all rejections, and returns the records that delete them from disk.
    pub(super) fn clear(&mut self) -> Vec<Record> {
        let ids: Vec<ProposalId> = self.by_id.keys().copied().collect();
        ids.into_iter().filter_map(|change_id| self.remove(change_id)).collect()
    }
}
