//! How operators behave.

/// The number of operators and the frequencies of their operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// The number of operators.
    pub operator_count: usize,
    /// Maximum pause of an operator between two operations, in microseconds.
    pub max_pause: i64,
    /// Percentage of changes that other operators race with by writing the same versions.
    pub race_percent: u64,
    /// Percentage of operations that are one of two changes, sent at the same time, that are valid alone and invalid
    /// together.
    pub contradiction_percent: u64,
    /// Percentage of operations that send a confirmed change again.
    pub resend_percent: u64,
    /// Percentage of changes with a recent version or one just below it, used before or not, instead of a new
    /// one.
    pub stale_version_percent: u64,
    /// Percentage of operations that start or end the evacuation of a zone.
    pub evacuation_percent: u64,
    /// Percentage of operations that read all items.
    pub read_percent: u64,
    /// Percentage of responses that are lost.
    pub response_loss_percent: u64,
}

impl Workload {
    /// The same workload, with each version used by one change only and higher than all earlier ones.
    pub fn with_unique_versions(self) -> Workload {
        Workload { race_percent: 0, stale_version_percent: 0, ..self }
    }

    /// A few operators that do not race with each other.
    pub fn light() -> Workload {
        Workload {
            operator_count: 3,
            max_pause: 600_000,
            race_percent: 0,
            contradiction_percent: 0,
            resend_percent: 5,
            stale_version_percent: 3,
            evacuation_percent: 5,
            read_percent: 15,
            response_loss_percent: 0,
        }
    }

    /// Many operators that often race with each other and lose some responses.
    pub fn heavy() -> Workload {
        Workload {
            operator_count: 8,
            max_pause: 400_000,
            race_percent: 25,
            contradiction_percent: 20,
            resend_percent: 15,
            stale_version_percent: 10,
            evacuation_percent: 8,
            read_percent: 15,
            response_loss_percent: 10,
        }
    }
}
