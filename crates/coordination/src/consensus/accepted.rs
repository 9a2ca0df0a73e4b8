//! Indexed storage for the proposals that an acceptor has accepted and does not know to be committed.

use super::proposal::{name_key, Proposal, ProposalId};
use crate::protocol::Ballot;
use kitepass_config::Item;
use std::collections::{BTreeMap, BTreeSet};

/// Proposal IDs by a hash of the proposals' items.
pub(super) type ProposalIndex = BTreeMap<u64, BTreeSet<ProposalId>>;

/// Accepted proposals, each with the highest ballot under which it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct AcceptedProposals {
    by_id: BTreeMap<ProposalId, (Ballot, Proposal)>,
    /// Indexed by the keys of the proposals' items, which include the version.
    pub(super) by_key: ProposalIndex,
    /// Indexed by the kinds and names of the proposals' items, regardless of version.
    pub(super) by_name: ProposalIndex,
    /// The total size of all proposals.
    pub(super) bytes: usize,
}

impl AcceptedProposals {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(super) fn get(&self, proposal_id: ProposalId) -> Option<(Ballot, &Proposal)> {
        self.by_id.get(&proposal_id).map(|(ballot, proposal)| (*ballot, proposal))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Ballot, &Proposal)> {
        self.by_id.values().map(|(ballot, proposal)| (*ballot, proposal))
    }

    pub(super) fn ids(&self) -> BTreeSet<ProposalId> {
        self.by_id.keys().copied().collect()
    }

    /// The proposals that contain any of the keys, ordered by ID.
    pub(super) fn overlapping(&self, keys: &[u64]) -> Vec<(Ballot, Proposal)> {
        let ids = indexed(&self.by_key, keys);
        ids.iter().map(|proposal_id| self.by_id[proposal_id].clone()).collect()
    }

    /// The proposals that contain any version of an item with any of these name keys, ordered by ID.
    pub(super) fn overlapping_names(&self, name_keys: &[u64]) -> Vec<(Ballot, Proposal)> {
        let ids = indexed(&self.by_name, name_keys);
        ids.iter().map(|proposal_id| self.by_id[proposal_id].clone()).collect()
    }

    /// The IDs of the proposals that contain any version of any of the items.
    pub(super) fn with_any_version_of<'a>(
        &self,
        items: impl IntoIterator<Item = &'a Item>,
    ) -> BTreeSet<ProposalId> {
        let of_name = |item: &Item| self.by_name.get(&name_key(item));
        items.into_iter().filter_map(of_name).flatten().copied().collect()
    }

    pub(super) fn insert(&mut self, ballot: Ballot, proposal: Proposal) {
        let proposal_id = proposal.proposal_id();
        let previous = self.by_id.insert(proposal_id, (ballot, proposal.clone()));
        if previous.is_some() {
            return;
        }
        self.bytes += proposal.bytes();
        for (item, key) in proposal.items().iter().zip(proposal.keys()) {
            self.by_key.entry(*key).or_default().insert(proposal_id);
            self.by_name.entry(name_key(item)).or_default().insert(proposal_id);
        }
    }

    /// The IDs of the proposals of the change with this ID and these keys.
    pub(super) fn of_change(&self, change_id: ProposalId, keys: &[u64]) -> Vec<ProposalId> {
        let is_of_change = |id: &ProposalId| self.by_id[id].1.change_id() == change_id;
        indexed(&self.by_key, keys).into_iter().filter(is_of_change).collect()
    }

    /// Removes a proposal and returns whether it was present.
    pub(super) fn remove(&mut self, proposal_id: ProposalId) -> bool {
        let Some((_, proposal)) = self.by_id.remove(&proposal_id) else { return false };
        self.bytes -= proposal.bytes();
        for (item, key) in proposal.items().iter().zip(proposal.keys()) {
            remove_from_index(&mut self.by_key, *key, proposal_id);
            remove_from_index(&mut self.by_name, name_key(item), proposal_id);
        }
        true
    }
}

/// The IDs that an index contains under any of the keys.
pub(super) fn indexed(index: &ProposalIndex, keys: &[u64]) -> BTreeSet<ProposalId> {
    keys.iter().filter_map(|key| index.get(key)).flatten().copied().collect()
}

pub(super) fn remove_from_index(index: &mut ProposalIndex, key: u64, proposal_id: ProposalId) {
    if let Some(ids) = index.get_mut(&key) {
        ids.remove(&proposal_id);
        if ids.is_empty() {
            index.remove(&key);
        }
    }
}
