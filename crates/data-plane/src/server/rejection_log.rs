//! Counts of requests that this gateway has rejected as wrong, for the log: a line a period and kind at most, so that clients cannot
//! fill the log.

#[cfg(test)]
mod tests;

use log::info;
use std::collections::BTreeMap;

/// What rejections that are counted together have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKind {
    status: u16,
    /// How many routes were in force.
    routes: usize,
}

/// The rejections of the present period.
#[derive(Debug, Default)]
pub(super) struct RejectionLog {
    counts: BTreeMap<RejectionKind, u64>,
}

impl RejectionLog {
    /// A response of this gateway's own. Only those count that tell the client that its request is wrong: 4xx without 429, which
    /// tells that there are too many.
    pub(super) fn record(&mut self, status: u16, routes: usize) {
        if (400..500).contains(&status) && status != 429 {
            *self.counts.entry(RejectionKind { status, routes }).or_default() += 1;
        }
    }

    /// A period is over: its counts are logged, and begin anew.
    pub(super) fn close_period(&mut self) {
        for (kind, requests) in std::mem::take(&mut self.counts) {
            info!(
                "event=requests-rejected status={} requests={requests} routes={}",
                kind.status, kind.routes
            );
        }
    }
}
