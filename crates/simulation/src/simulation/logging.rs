//! Prints what the simulated processes log.

use std::cell::Cell;

thread_local! {
    /// The simulation's time, and the node whose process runs on this thread.
    static RUNNING: Cell<(i64, usize)> = const { Cell::new((0, 0)) };
}

/// From now on log lines of this thread are those of a node's process.
pub(super) fn set_running(now: i64, node: usize) {
    RUNNING.set((now, node));
}

/// Prints log records with the simulation's time and the node.
pub struct ProcessLogger;

impl log::Log for ProcessLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let (now, node) = RUNNING.get();
        println!("t={:.6} node=s{node} level={} {}", now as f64 / 1e6, record.level(), record.args());
    }

    fn flush(&self) {}
}
