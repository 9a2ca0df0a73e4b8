//! How operators behave.

/// How many operators there are, and what they do how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// How many operators there are.
    pub operator_count: usize,
    /// The longest pause of an operator between two operations, in microseconds.
    pub max_pause: i64,
    /// Changes that others race with. Percent.
    pub race_percent: u64,
    /// Operations that send a confirmed change again. Percent.
    pub resend_percent: u64,
    /// Changes with versions below the newest, used or not. Percent.
    pub stale_version_percent: u64,
    /// Operations that evacuate a zone, or end that. Percent.
    pub evacuation_percent: u64,
    /// Operations that read. Percent.
    pub read_percent: u64,
    /// Answers that are lost on their way. Percent.
    pub response_loss_percent: u64,
}

impl Workload {
    /// The same workload, but each version is used once, and is above all earlier ones.
    pub fn with_unique_versions(self) -> Workload {
        Workload { race_percent: 0, stale_version_percent: 0, ..self }
    }

    /// A few operators, who don't race.
    pub fn light() -> Workload {
        Workload {
            operator_count: 3,
            max_pause: 600_000,
            race_percent: 0,
            resend_percent: 5,
            stale_version_percent: 3,
            evacuation_percent: 5,
            read_percent: 15,
            response_loss_percent: 0,
        }
    }

    /// Many operators, who race often, and whose answers get lost.
    pub fn heavy() -> Workload {
        Workload {
            operator_count: 8,
            max_pause: 400_000,
            race_percent: 25,
            resend_percent: 15,
            stale_version_percent: 10,
            evacuation_percent: 8,
            read_percent: 15,
            response_loss_percent: 10,
        }
    }
}
