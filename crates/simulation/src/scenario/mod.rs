//! Scenarios: the layout, the schedule of faults and the operators' behaviour, generated from a seed before
//! the run.

mod fault;
mod layout;
mod plan;
mod workload;

pub use fault::{Fault, PartitionShape, ScheduledFault};
pub(crate) use layout::zone_name;
pub use layout::{FailureDomain, Layout, PartitionDirection};
pub use plan::Plan;
pub use workload::Workload;

/// A millisecond in microseconds. All times of a simulation are in microseconds.
pub const MILLISECOND: i64 = 1_000;
/// A second in microseconds.
pub const SECOND: i64 = 1_000_000;
/// Time in which the system bootstraps; faults and operator requests start only afterwards.
pub const BOOTSTRAP_PERIOD: i64 = 5 * SECOND;

/// Everything that determines a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// The machines and the network between them.
    pub layout: Layout,
    /// How operators behave.
    pub workload: Workload,
    /// The faults, ordered by time.
    pub faults: Vec<ScheduledFault>,
    /// Time until which faults are injected and operators start new operations, in microseconds.
    pub active_until: i64,
}

impl Scenario {
    /// A scenario without operators and without an end, for tests that send their own changes.
    pub fn without_operators(seed: u64, layout: Layout, faults: Vec<ScheduledFault>) -> Scenario {
        let workload = Workload { operator_count: 0, ..Workload::light() };
        Scenario { seed, layout, workload, faults, active_until: i64::MAX / 4 }
    }

    /// The same scenario, with each version of an item written by at most one change.
    pub fn with_unique_versions(mut self) -> Scenario {
        self.workload = self.workload.with_unique_versions();
        self
    }
}
