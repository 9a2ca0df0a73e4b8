//! Runs a scenario from start to end and checks its history.

use crate::checker::{check_history, Invariant, Violation};
use crate::coverage::Coverage;
use crate::digest::digest;
use crate::history::ResponseStatus;
use crate::scenario::{Scenario, MILLISECOND, SECOND};
use crate::simulation::Simulation;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Time in which the system must converge once all faults have ended. Microseconds.
pub const CONVERGENCE_TIMEOUT: i64 = 12 * SECOND;
/// Time in which a read must be completed after the system has converged.
const READ_TIMEOUT: i64 = 2 * SECOND;
/// Time between two checks for convergence.
const CONVERGENCE_CHECK_INTERVAL: i64 = 100 * MILLISECOND;

/// Result of a run.
pub struct RunResult {
    /// The violations that the checker found.
    pub violations: Vec<Violation>,
    /// How often each fault and event occurred.
    pub coverage: Coverage,
    /// Digest of the history and the traffic; 0 if a panic ended the run.
    pub digest: u64,
}

impl RunResult {
    /// The violated invariants, without duplicates.
    pub fn violated_invariants(&self) -> BTreeSet<Invariant> {
        self.violations.iter().map(|violation| violation.invariant).collect()
    }

    fn from_panic(description: String) -> RunResult {
        let violation = Violation { invariant: Invariant::NoPanic, at: 0, description };
        RunResult { violations: vec![violation], coverage: Coverage::default(), digest: 0 }
    }
}

thread_local! {
    /// The last panic of this thread, if [`record_panics`] was called.
    static LAST_PANIC: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Makes panics appear in the descriptions of the violations that they cause instead of being printed.
pub fn record_panics() {
    std::panic::set_hook(Box::new(|info| LAST_PANIC.set(info.to_string().replace('\n', " "))));
}

/// Runs a scenario to its end and prints its events if `is_verbose`. A panic of a process ends the run and is
/// reported as a violation.
pub fn run_scenario(scenario: &Scenario, is_verbose: bool) -> RunResult {
    let run = || run_to_end(scenario, is_verbose);
    std::panic::catch_unwind(run).unwrap_or_else(|_| RunResult::from_panic(LAST_PANIC.take()))
}

fn run_to_end(scenario: &Scenario, is_verbose: bool) -> RunResult {
    let mut simulation = Simulation::new(scenario);
    simulation.is_verbose = is_verbose;
    simulation.run_until(scenario.active_until);
    simulation.heal();
    let converged_after = await_convergence(&mut simulation);
    check_reads(&mut simulation);
    simulation.observe_evacuations();
    let mut coverage = std::mem::take(&mut simulation.coverage);
    if let Some(converged_after) = converged_after {
        coverage.record_maximum("ms-until-converged", converged_after as u64 / 1_000);
    }
    let digest = digest(&simulation.history, &simulation.traffic);
    RunResult { violations: check_history(&simulation.history), coverage, digest }
}

/// Runs for [`CONVERGENCE_TIMEOUT`], in which operators finish their current operations. Returns the time in
/// microseconds after which the system had converged and stayed so, or none.
fn await_convergence(simulation: &mut Simulation) -> Option<i64> {
    let healed_at = simulation.now;
    let mut converged_after = None;
    while simulation.now < healed_at + CONVERGENCE_TIMEOUT {
        simulation.run_for(CONVERGENCE_CHECK_INTERVAL);
        if simulation.convergence_problem().is_some() {
            converged_after = None;
        } else if converged_after.is_none() {
            converged_after = Some(simulation.now - healed_at);
        }
    }
    if let Some(problem) = simulation.convergence_problem() {
        let seconds = CONVERGENCE_TIMEOUT / SECOND;
        let description = format!("not converged {seconds} s after the last fault: {problem}");
        simulation.record_missed_deadline(description);
    }
    converged_after
}

/// Reads all items at each node, so that the checker sees the final state.
fn check_reads(simulation: &mut Simulation) {
    let reads = simulation.read_all_nodes();
    simulation.run_for(READ_TIMEOUT);
    let is_unanswered = |read: &&_| simulation.status_of(**read) != Some(ResponseStatus::Confirmed);
    let unanswered = reads.iter().filter(is_unanswered).count();
    if unanswered > 0 {
        let description =
            format!("{unanswered} of {} reads after the last fault were not answered", reads.len());
        simulation.record_missed_deadline(description);
    }
}
