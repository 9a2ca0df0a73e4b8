//! Replicas that are in the same replica sets differ by their names alone: of all states that differ only by them, one is
//! explored.

use super::setup::{contains, BitSet, Setup};
use super::state::{AcceptRequest, State};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

impl Setup {
    /// The state that stands for all that differ by the names of replicas that are alike.
    pub(super) fn representative(&self, state: State) -> State {
        let new_numbers = self.sorted_numbers(&state);
        if new_numbers.iter().enumerate().all(|(old, new)| old == *new) {
            return state;
        }
        self.renumbered(state, &new_numbers)
    }

    /// The new number of each replica, by its old one.
    fn sorted_numbers(&self, state: &State) -> Vec<usize> {
        let sort_key = |replica: usize| (self.memberships[replica], fingerprint(state, replica), replica);
        let mut order: Vec<(BitSet, u64, usize)> = (0..self.replicas).map(sort_key).collect();
        order.sort_unstable();
        // Each goes to a number of its own kind.
        let mut numbers: Vec<(BitSet, usize)> = self.memberships.iter().copied().zip(0..).collect();
        numbers.sort_unstable();
        let mut new_numbers = vec![0; self.replicas];
        for ((.., old), (_, new)) in order.iter().zip(&numbers) {
            new_numbers[*old] = *new;
        }
        new_numbers
    }

    fn renumbered(&self, state: State, new_numbers: &[usize]) -> State {
        let renumber = |set: BitSet| {
            let old = (0..self.replicas).filter(|n| contains(set, *n));
            old.fold(0, |set, n| set | 1 << new_numbers[n])
        };
        let mut next = state.clone();
        for (new, node) in new_numbers.iter().zip(&state.nodes) {
            next.nodes[*new].clone_from(node);
        }
        for proposer in &mut next.proposers {
            if let Some(replicas) = proposer.phase.replicas_mut() {
                *replicas = renumber(*replicas);
            }
        }
        next.accepted.values_mut().for_each(|replicas| *replicas = renumber(*replicas));
        let in_flight = state.in_flight.into_iter();
        next.in_flight = in_flight
            .map(|request| AcceptRequest { replica: new_numbers[request.replica], ..request })
            .collect();
        next
    }
}

/// All that the state has of a replica, but its number.
fn fingerprint(state: &State, replica: usize) -> u64 {
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
        (request.ballot, request.required, request.rejects).hash(&mut hasher);
    }
    hasher.finish()
}
