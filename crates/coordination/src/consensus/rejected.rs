//! The proposals that were rejected because of their content. An acceptor remembers a bounded number of them.

use super::accepted::{indexed, remove_from_index, ProposalIndex};
use super::proposal::ProposalId;
use super::records::{rejected_deletion, rejected_record, Record};
use crate::protocol::Ballot;
use std::collections::BTreeMap;

/// Limits on the number of rejections kept and on the total number of their keys. Beyond them, the rejections with the
/// lowest ballots are dropped.
pub(super) const MAX_REJECTIONS: usize = 1_024;
const MAX_REJECTED_KEYS: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Rejection {
    ballot: Ballot,
    keys: Vec<u64>,
}

/// Rejected proposals, with the ballots of their rejections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RejectedProposals {
    by_id: BTreeMap<ProposalId, Rejection>,
    pub(super) by_key: ProposalIndex,
    /// The total number of keys of all rejections.
    pub(super) key_count: usize,
}

impl RejectedProposals {
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The IDs of the rejected proposals that contain any of the keys, with the ballots of their rejections.
    pub(super) fn overlapping(&self, keys: &[u64]) -> impl Iterator<Item = (ProposalId, Ballot)> + '_ {
        let ids = indexed(&self.by_key, keys);
        ids.into_iter().map(|proposal_id| (proposal_id, self.by_id[&proposal_id].ballot))
    }

    /// Adds a rejection, dropping older ones if a limit is reached. Returns the records to write to disk.
    pub(super) fn add(&mut self, ballot: Ballot, proposal_id: ProposalId, keys: &[u64]) -> Vec<Record> {
        // An earlier record of the same proposal is overwritten by the new one and needs no deletion.
        self.remove(proposal_id);
        let mut records = Vec::new();
        while self.by_id.len() >= MAX_REJECTIONS || self.key_count + keys.len() > MAX_REJECTED_KEYS {
            let Some(lowest) = self.lowest() else { break };
            records.extend(self.remove(lowest));
        }
        self.insert(ballot, proposal_id, keys.to_vec());
        records.push(rejected_record(ballot, proposal_id, keys));
        records
    }

    fn lowest(&self) -> Option<ProposalId> {
        let lowest = self.by_id.iter().min_by_key(|(_, rejection)| rejection.ballot);
        lowest.map(|(proposal_id, _)| *proposal_id)
    }

    /// Inserts a rejection whose record is already on disk.
    pub(super) fn insert(&mut self, ballot: Ballot, proposal_id: ProposalId, keys: Vec<u64>) {
        self.remove(proposal_id);
        self.key_count += keys.len();
        for key in &keys {
            self.by_key.entry(*key).or_default().insert(proposal_id);
        }
        self.by_id.insert(proposal_id, Rejection { ballot, keys });
    }

    /// Removes a rejection, and returns the record that deletes it from disk, if it was present.
    pub(super) fn remove(&mut self, proposal_id: ProposalId) -> Option<Record> {
        let rejection = self.by_id.remove(&proposal_id)?;
        self.key_count -= rejection.keys.len();
        for key in rejection.keys {
            remove_from_index(&mut self.by_key, key, proposal_id);
        }
        Some(rejected_deletion(proposal_id))
    }

    /// Removes all rejections, and returns the records that delete them from disk.
    pub(super) fn clear(&mut self) -> Vec<Record> {
        let ids: Vec<ProposalId> = self.by_id.keys().copied().collect();
        ids.into_iter().filter_map(|proposal_id| self.remove(proposal_id)).collect()
    }
}
