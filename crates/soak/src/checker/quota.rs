//! The rule about the quota, which holds for all gateways together.

use super::{Finding, Rule};
use crate::history::{Event, Micros, Record};
use crate::stand_ins::clients::LIMITED_TENANT;
use crate::stand_ins::operator::{LIMITED_BURST, LIMITED_RATE};

/// Length of the sliding window in which runs are counted.
const WINDOW: Micros = 10_000_000;
/// A window may contain this multiple of the runs that the quota allows.
const EXCESS_FACTOR: f64 = 1.25;
/// Runs allowed on top of that, since a busy machine may delay runs so that they bunch up.
const MARGIN_RUNS: f64 = 40.0;

pub(super) fn check(records: &[Record]) -> Option<Finding> {
    let mut runs: Vec<Micros> = records.iter().filter_map(limited_run).collect();
    runs.sort_unstable();
    let window_s = WINDOW as f64 / 1e6;
    let allowed =
        (f64::from(LIMITED_RATE) * window_s + f64::from(LIMITED_BURST)) * EXCESS_FACTOR + MARGIN_RUNS;
    let mut first = 0;
    for (last, at) in runs.iter().enumerate() {
        while runs[first] + WINDOW < *at {
            first += 1;
        }
        let count = last - first + 1;
        if count as f64 > allowed {
            let detail = format!("runs={count} allowed={allowed} window-s={window_s}");
            return Some(Finding::new(Rule::QuotaExceeded, *at, LIMITED_TENANT, detail));
        }
    }
    None
}

fn limited_run(record: &Record) -> Option<Micros> {
    match &record.event {
        Event::Run(run) if run.tenant.as_deref() == Some(LIMITED_TENANT) => Some(run.began_at),
        _ => None,
    }
}
