//! A seed played whole, judged, and, if it fails, shortened.

use crate::coverage::Coverage;
use crate::digest::digest;
use crate::history::{check_history, Invariant, Violation};
use crate::scenario::{Fault, Scenario, MILLI, SECOND};
use crate::simulation::Simulation;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Once troubles are over, all is whole again within this.
pub const WHOLE: i64 = 12 * SECOND;
/// A read is answered within this in a calm time.
const READ: i64 = 2 * SECOND;
/// Seeds of a shortening that are played at most.
const MOST_PLAYS: usize = 400;

pub struct RunResult {
    pub violations: Vec<Violation>,
    pub coverage: Coverage,
    /// Microseconds from the end of all troubles until all was whole.
    pub whole: Option<i64>,
    /// Of the history and the traffic; 0 for a run that ended by a panic.
    pub digest: u64,
}

impl RunResult {
    pub fn invariants(&self) -> BTreeSet<Invariant> {
        self.violations.iter().map(|violation| violation.invariant).collect()
    }
}

thread_local! {
    /// Where this thread panicked last, if [`note_panics`] was called.
    static PANICKED: RefCell<String> = const { RefCell::new(String::new()) };
}

/// From now on a panic is told by the seed's faults alone.
pub fn note_panics() {
    std::panic::set_hook(Box::new(|info| PANICKED.set(info.to_string().replace('\n', " "))));
}

/// Plays a script to its end. A process that panics ends it, as a fault.
pub fn play(scenario: &Scenario, tells: bool) -> RunResult {
    std::panic::catch_unwind(|| play_out(scenario, tells)).unwrap_or_else(|_| {
        let violation = Violation { invariant: Invariant::Panicked, at: 0, what: PANICKED.take() };
        RunResult { violations: vec![violation], coverage: Coverage::default(), whole: None, digest: 0 }
    })
}

fn play_out(scenario: &Scenario, tells: bool) -> RunResult {
    let mut simulation = Simulation::new(scenario);
    simulation.tells = tells;
    simulation.run_to(scenario.until);
    simulation.calm();
    let (calm, mut whole) = (simulation.now, None);
    // Callers end what they have under way meanwhile.
    while simulation.now < calm + WHOLE {
        simulation.run(100 * MILLI);
        match simulation.unsettled() {
            None if whole.is_none() => whole = Some(simulation.now - calm),
            Some(_) => whole = None,
            None => {}
        }
    }
    if let Some(why) = simulation.unsettled() {
        simulation.late(format!("not whole {} s after the last trouble: {why}", WHOLE / SECOND));
    }
    let reads = simulation.read_back();
    simulation.run(READ);
    let unread = reads
        .iter()
        .filter(|read| !matches!(simulation.status(**read), Some(crate::history::AnswerStatus::Confirmed)));
    let unread = unread.count();
    if unread > 0 {
        simulation.late(format!("{unread} of {} reads in the calm were not answered", reads.len()));
    }
    simulation.note_zones();
    let mut coverage = std::mem::take(&mut simulation.coverage);
    if let Some(whole) = whole {
        coverage.most("ms-until-whole", whole as u64 / 1000);
    }
    let digest = digest(&simulation.history, &simulation.traffic);
    RunResult { violations: check_history(&simulation.history), coverage, whole, digest }
}

/// Leaves out troubles one by one, as long as it breaks one of the same rules.
pub fn shorten(scenario: &Scenario, invariants: &BTreeSet<Invariant>) -> Scenario {
    let mut short = scenario.clone();
    let fails =
        |scenario: &Scenario| play(scenario, false).invariants().intersection(invariants).next().is_some();
    let mut plays = 0;
    // From the end first: what came after the fault had no part in it.
    let mut piece = short.faults.len().div_ceil(2).max(1);
    loop {
        let (mut at, mut any) = (short.faults.len(), false);
        while at > 0 && plays < MOST_PLAYS {
            let begin = at.saturating_sub(piece);
            let mut next = short.clone();
            next.faults.drain(begin..at);
            plays += 1;
            if fails(&next) {
                (short, any) = (next, true);
            }
            at = begin;
        }
        if plays >= MOST_PLAYS || piece == 1 && !any {
            return short;
        }
        piece = if any { piece } else { (piece / 2).max(1) };
        piece = piece.min(short.faults.len().max(1));
    }
}

/// A script of no troubles but these, on a layout.
pub fn scenario(seed: u64, layout: crate::scenario::Layout, faults: Vec<(i64, Fault)>) -> Scenario {
    let workload = crate::scenario::Workload { callers: 0, ..crate::scenario::Workload::calm() };
    Scenario { seed, layout, workload, faults, until: i64::MAX / 4 }
}
