//! Symmetry reduction. Replicas that belong to the same replica sets are interchangeable, so only one of the states that
//! differ only by a permutation of such replicas is explored.

use super::setup::{contains, BitSet, Setup};
use super::state::{AcceptRequest, State};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

impl Setup {
    /// The state that represents all states that differ from this one only by a permutation of interchangeable replicas.
    pub(super) fn representative(&self, state: State) -> State {
        let new_indices = self.canonical_order(&state);
        if new_indices.iter().enumerate().all(|(old, new)| old == *new) {
            return state;
        }
        self.reordered(state, &new_indices)
    }

    /// The new index of each replica, by its old index.
    fn canonical_order(&self, state: &State) -> Vec<usize> {
        let sort_key = |replica: usize| (self.memberships[replica], replica_hash(state, replica), replica);
        let mut order: Vec<(BitSet, u64, usize)> = (0..self.replicas).map(sort_key).collect();
        order.sort_unstable();
        // A replica may take only the index of a replica that belongs to the same replica sets.
        let mut slots: Vec<(BitSet, usize)> = self.memberships.iter().copied().zip(0..).collect();
        slots.sort_unstable();
        let mut new_indices = vec![0; self.replicas];
        for ((.., old), (_, new)) in order.iter().zip(&slots) {
            new_indices[*old] = *new;
        }
        new_indices
    }

    /// The state with the replicas at their new indices.
    fn reordered(&self, state: State, new_indices: &[usize]) -> State {
        let reorder = |set: BitSet| {
            let old = (0..self.replicas).filter(|n| contains(set, *n));
            old.fold(0, |set, n| set | 1 << new_indices[n])
        };
        let mut next = state.clone();
        for (new, node) in new_indices.iter().zip(&state.nodes) {
            next.nodes[*new].clone_from(node);
        }
        for proposer in &mut next.proposers {
            if let Some(replicas) = proposer.phase.replicas_mut() {
                *replicas = reorder(*replicas);
            }
        }
        next.accepted.values_mut().for_each(|replicas| *replicas = reorder(*replicas));
        let in_flight = state.in_flight.into_iter();
        next.in_flight = in_flight
            .map(|request| AcceptRequest { replica: new_indices[request.replica], ..request })
            .collect();
        next
    }
}

/// A hash of everything in the state that belongs to a replica, except for its index.
fn replica_hash(state: &State, replica: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    let bit = |set: BitSet| set >> replica & 1;
    state.nodes[replica].hash(&mut hasher);
    for replicas in state.proposers.iter().filter_map(|proposer| proposer.phase.replicas()) {
        bit(replicas).hash(&mut hasher);
    }
    for replicas in state.accepted.values() {
        bit(*replicas).hash(&mut hasher);
    }
    for request in state.in_flight.iter().filter(|request| request.replica == replica) {
        (request.ballot, request.required_commits, request.is_rejection).hash(&mut hasher);
    }
    hasher.finish()
}
