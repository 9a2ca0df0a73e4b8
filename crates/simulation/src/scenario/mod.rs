//! What a seed brings, drawn before the run: the layout, the faults with their times, and how operators behave.

mod fault;
mod layout;
mod plan;
mod workload;

pub use fault::{Fault, PartitionShape, ScheduledFault};
pub(crate) use layout::zone_name;
pub use layout::{FailureDomain, Layout, PartitionDirection};
pub use plan::Plan;
pub use workload::Workload;

/// A millisecond in microseconds, the unit of all times of a simulation.
pub const MILLISECOND: i64 = 1_000;
/// A second in microseconds.
pub const SECOND: i64 = 1_000_000;
/// No fault comes and no operator asks for anything before this time: the system has been founded by then.
pub const BOOTSTRAP_PERIOD: i64 = 5 * SECOND;

/// All that determines a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seeds the random numbers of the run.
    pub seed: u64,
    /// The machines and what lies between them.
    pub layout: Layout,
    /// How operators behave.
    pub workload: Workload,
    /// The faults, in the order of their times.
    pub faults: Vec<ScheduledFault>,
    /// When faults end, and operators begin nothing new. Microseconds.
    pub active_until: i64,
}

impl Scenario {
    /// A scenario without operators, for tests that make changes themselves. It has no end.
    pub fn without_operators(seed: u64, layout: Layout, faults: Vec<ScheduledFault>) -> Scenario {
        let workload = Workload { operator_count: 0, ..Workload::light() };
        Scenario { seed, layout, workload, faults, active_until: i64::MAX / 4 }
    }

    /// The same scenario, but no two changes write one version of an item.
    pub fn with_unique_versions(mut self) -> Scenario {
        self.workload = self.workload.with_unique_versions();
        self
    }
}
