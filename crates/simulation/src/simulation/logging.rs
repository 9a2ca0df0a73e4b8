//! Printing of the simulated processes' log lines.

use std::cell::Cell;

thread_local! {
    /// The simulated time and the node whose process is running on this thread.
    static CURRENT_PROCESS: Cell<(i64, usize)> = const { Cell::new((0, 0)) };
}

/// Attributes this thread's log lines to a node's process from now on.
pub(super) fn set_current_process(now: i64, node: usize) {
    CURRENT_PROCESS.set((now, node));
}

/// Prints log records with the simulated time and the node.
pub struct ProcessLogger;

impl log::Log for ProcessLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let (now, node) = CURRENT_PROCESS.get();
        println!("t={:.6} node=s{node} level={} {}", now as f64 / 1e6, record.level(), record.args());
    }

    fn flush(&self) {}
}
