//! Shrinks a failing scenario by removing faults that are not needed for the failure.

use crate::checker::Invariant;
use crate::run::run_scenario;
use crate::scenario::Scenario;
use std::collections::BTreeSet;

/// Maximum number of runs for shrinking one scenario.
const MAX_RUNS: usize = 400;

/// Removes faults as long as the scenario still violates one of these invariants.
pub fn shrink(scenario: &Scenario, invariants: &BTreeSet<Invariant>) -> Scenario {
    let mut shrinker = Shrinker { scenario: scenario.clone(), invariants, runs: 0 };
    let mut chunk = scenario.faults.len().div_ceil(2).max(1);
    loop {
        let has_shrunk = shrinker.remove_chunks(chunk);
        if shrinker.runs >= MAX_RUNS || chunk == 1 && !has_shrunk {
            return shrinker.scenario;
        }
        if !has_shrunk {
            chunk = (chunk / 2).max(1);
        }
        chunk = chunk.min(shrinker.scenario.faults.len().max(1));
    }
}

struct Shrinker<'a> {
    /// The smallest failing scenario so far.
    scenario: Scenario,
    invariants: &'a BTreeSet<Invariant>,
    runs: usize,
}

impl Shrinker<'_> {
    /// Tries to remove each chunk of faults, starting from the end, because faults after the violation cannot
    /// have caused it. Returns true if any was removed.
    fn remove_chunks(&mut self, chunk: usize) -> bool {
        let mut has_shrunk = false;
        let mut end = self.scenario.faults.len();
        while end > 0 && self.runs < MAX_RUNS {
            let start = end.saturating_sub(chunk);
            let mut candidate = self.scenario.clone();
            candidate.faults.drain(start..end);
            if self.fails(&candidate) {
                self.scenario = candidate;
                has_shrunk = true;
            }
            end = start;
        }
        has_shrunk
    }

    fn fails(&mut self, candidate: &Scenario) -> bool {
        self.runs += 1;
        !run_scenario(candidate, false).violated_invariants().is_disjoint(self.invariants)
    }
}
