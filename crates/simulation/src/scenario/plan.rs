//! Plans: how often each kind of fault is drawn, and how operators behave.

use super::{
    FailureDomain, Fault, Layout, PartitionDirection, PartitionShape, Scenario, ScheduledFault, Workload,
    BOOTSTRAP_PERIOD, MILLISECOND, SECOND,
};
use crate::rng::{RandomStream, Rng};
use std::ops::Range;

/// A category of scenarios, with the weights of its faults and its workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// No faults.
    Calm,
    /// Mostly partitions.
    Cuts,
    /// Operators that write the same versions concurrently, under short faults of all kinds.
    Races,
    /// Losses of disks and machines, one after another.
    Losses,
    /// Nodes that are down while hundreds of changes are made.
    Away,
    /// Disks that are slow, hang or lose unsynced writes, combined with crashes.
    Disks,
    /// Gateways behind congested links, combined with crashes and power losses.
    Congestion,
    /// Replicas split into two halves that gateways and operators can both reach, combined with losses.
    Halves,
    /// All kinds of faults except gateway congestion and split replicas.
    All,
}

/// A kind of fault that a plan can draw. The order is that of the plans' weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Crash,
    PowerLoss,
    FullOutage,
    DiskLoss,
    Pause,
    Partition,
    LeaseHolderPartition,
    ConnectionReset,
    SlowLink,
    SlowDisks,
    DiskHang,
    DiskRefusal,
    GracefulShutdown,
    Replacement,
    CrashAtConfirmation,
    CrashAfterEvents,
    GatewayRestart,
    AnswerLoss,
    GatewayCongestion,
    SplitReplicas,
}

impl FaultKind {
    const ALL: [FaultKind; 20] = [
        FaultKind::Crash,
        FaultKind::PowerLoss,
        FaultKind::FullOutage,
        FaultKind::DiskLoss,
        FaultKind::Pause,
        FaultKind::Partition,
        FaultKind::LeaseHolderPartition,
        FaultKind::ConnectionReset,
        FaultKind::SlowLink,
        FaultKind::SlowDisks,
        FaultKind::DiskHang,
        FaultKind::DiskRefusal,
        FaultKind::GracefulShutdown,
        FaultKind::Replacement,
        FaultKind::CrashAtConfirmation,
        FaultKind::CrashAfterEvents,
        FaultKind::GatewayRestart,
        FaultKind::AnswerLoss,
        FaultKind::GatewayCongestion,
        FaultKind::SplitReplicas,
    ];
}

/// The relative frequency of each kind of fault, in the order of [`FaultKind::ALL`].
type Weights = [u32; FaultKind::ALL.len()];

impl Plan {
    /// All plans.
    pub const ALL: [Plan; 9] = [
        Plan::Calm,
        Plan::Cuts,
        Plan::Races,
        Plan::Losses,
        Plan::Away,
        Plan::Disks,
        Plan::Congestion,
        Plan::Halves,
        Plan::All,
    ];

    /// The plan's name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Plan::Calm => "calm",
            Plan::Cuts => "cuts",
            Plan::Races => "races",
            Plan::Losses => "losses",
            Plan::Away => "away",
            Plan::Disks => "disks",
            Plan::Congestion => "congestion",
            Plan::Halves => "halves",
            Plan::All => "all",
        }
    }

    /// The plan with this name on the command line.
    pub fn from_name(name: &str) -> Option<Plan> {
        Plan::ALL.into_iter().find(|plan| plan.name() == name)
    }

    fn weights(self) -> Weights {
        match self {
            Plan::Calm => [0; FaultKind::ALL.len()],
            Plan::Cuts => [1, 0, 0, 0, 1, 12, 6, 3, 2, 0, 0, 0, 1, 0, 1, 0, 1, 1, 0, 0],
            Plan::Races => [2, 2, 1, 0, 2, 4, 2, 4, 3, 2, 1, 0, 1, 0, 4, 4, 1, 3, 0, 0],
            Plan::Losses => [1, 2, 1, 9, 1, 1, 1, 1, 0, 1, 0, 0, 3, 8, 2, 2, 1, 1, 0, 0],
            Plan::Away => [2, 2, 1, 3, 2, 2, 1, 2, 1, 1, 1, 1, 1, 1, 2, 4, 2, 1, 0, 0],
            Plan::Disks => [4, 4, 2, 2, 1, 0, 0, 1, 0, 8, 4, 4, 1, 0, 3, 4, 0, 1, 0, 0],
            Plan::Congestion => [2, 2, 3, 0, 1, 1, 1, 2, 0, 1, 0, 0, 1, 0, 2, 1, 1, 1, 12, 0],
            Plan::Halves => [2, 2, 1, 2, 1, 1, 0, 1, 0, 1, 0, 0, 1, 2, 2, 2, 1, 1, 0, 9],
            Plan::All => [3, 3, 2, 3, 2, 4, 2, 3, 2, 3, 2, 2, 2, 2, 3, 4, 2, 2, 0, 0],
        }
    }

    /// Range of the time between two faults, in microseconds.
    fn fault_interval(self) -> Range<i64> {
        match self {
            Plan::Calm => SECOND..2 * SECOND,
            Plan::Cuts => 300 * MILLISECOND..9 * SECOND,
            Plan::Races => 200 * MILLISECOND..3 * SECOND,
            Plan::Losses => 2 * SECOND..9 * SECOND,
            Plan::Away => SECOND..8 * SECOND,
            Plan::Disks => 300 * MILLISECOND..4 * SECOND,
            Plan::Congestion => SECOND..6 * SECOND,
            Plan::Halves => 300 * MILLISECOND..5 * SECOND,
            Plan::All => 200 * MILLISECOND..5 * SECOND,
        }
    }

    fn workload(self) -> Workload {
        match self {
            Plan::Calm => Workload::light(),
            Plan::Races => Workload::heavy(),
            Plan::Halves => Workload {
                race_percent: 12,
                contradiction_percent: 8,
                response_loss_percent: 4,
                ..Workload::light()
            },
            Plan::Away => {
                Workload { operator_count: 8, max_pause: 150_000, race_percent: 5, ..Workload::light() }
            }
            _ => Workload {
                race_percent: 6,
                contradiction_percent: 6,
                response_loss_percent: 4,
                ..Workload::light()
            },
        }
    }

    /// Length of the period in which faults are injected, in microseconds.
    fn duration(self) -> i64 {
        match self {
            Plan::Away => 60 * SECOND,
            Plan::Losses => 90 * SECOND,
            _ => 45 * SECOND,
        }
    }

    /// Generates the scenario of a seed.
    pub fn scenario(self, seed: u64) -> Scenario {
        let rng = &mut Rng::new(seed, RandomStream::Scenario);
        let layout = if seed.is_multiple_of(2) { Layout::draw_six_replicas(rng) } else { Layout::draw(rng) };
        let active_until = BOOTSTRAP_PERIOD + self.duration();
        let faults = self.draw_faults(&layout, active_until, rng);
        Scenario { seed, layout, workload: self.workload(), faults, active_until }
    }

    fn draw_faults(self, layout: &Layout, active_until: i64, rng: &mut Rng) -> Vec<ScheduledFault> {
        let weights = self.weights();
        let interval = self.fault_interval();
        let mut faults = Vec::new();
        let mut at = BOOTSTRAP_PERIOD + rng.in_range(0..SECOND);
        while at < active_until && weights.iter().any(|weight| *weight > 0) {
            faults.push(ScheduledFault { at, fault: draw_fault(self, layout, &weights, rng) });
            at += rng.in_range(interval.clone());
            // Some faults follow each other closely or are injected in a different order than drawn.
            if rng.chance(15) {
                at -= rng.in_range(0..interval.start);
            }
        }
        faults.sort_by_key(|scheduled| scheduled.at);
        faults
    }
}

/// Random parameters of a fault. All are drawn for each fault, whether or not its kind uses them.
struct FaultParameters {
    replica: usize,
    /// Another replica.
    other: usize,
    restart_after: i64,
    duration: i64,
    direction: PartitionDirection,
    keeps_connections: bool,
}

impl FaultParameters {
    fn draw(plan: Plan, replicas: usize, rng: &mut Rng) -> FaultParameters {
        // Invariant: the order of the draws determines what a seed generates, so it must not change.
        let replica = rng.below(replicas);
        let other = (replica + 1 + rng.below(replicas - 1)) % replicas;
        let restart_after = match rng.below(4) {
            0 => rng.in_range(20 * MILLISECOND..300 * MILLISECOND),
            3 if plan == Plan::Away => rng.in_range(15 * SECOND..40 * SECOND),
            3 => rng.in_range(3 * SECOND..12 * SECOND),
            _ => rng.in_range(300 * MILLISECOND..3 * SECOND),
        };
        let duration = match rng.below(4) {
            0 => rng.in_range(50 * MILLISECOND..SECOND),
            1 => 20 * SECOND,
            _ => rng.in_range(SECOND..8 * SECOND),
        };
        let direction = match rng.below(4) {
            0 | 1 => PartitionDirection::Both,
            2 => PartitionDirection::Outgoing,
            _ => PartitionDirection::Incoming,
        };
        let keeps_connections = rng.chance(40);
        FaultParameters { replica, other, restart_after, duration, direction, keeps_connections }
    }

    fn partition_shape(&self, with_gateways: bool) -> PartitionShape {
        let FaultParameters { direction, keeps_connections, duration, .. } = *self;
        PartitionShape { direction, with_gateways, keeps_connections, duration }
    }
}

fn draw_fault_kind(weights: &Weights, rng: &mut Rng) -> FaultKind {
    let mut remaining = rng.below(weights.iter().sum::<u32>() as usize) as u32;
    let mut kind = 0;
    while remaining >= weights[kind] {
        remaining -= weights[kind];
        kind += 1;
    }
    FaultKind::ALL[kind]
}

/// Draws a random subset of the replicas, or only `fallback` if that subset is empty.
fn draw_subset(replicas: usize, fallback: usize, rng: &mut Rng) -> Vec<usize> {
    let percent = rng.in_range(15..70) as u64;
    let mut drawn: Vec<usize> = (0..replicas).filter(|_| rng.chance(percent)).collect();
    if drawn.is_empty() {
        drawn.push(fallback);
    }
    drawn
}

/// Draws half of the replicas, rounded down.
fn draw_half(replicas: usize, rng: &mut Rng) -> Vec<usize> {
    let mut remaining: Vec<usize> = (0..replicas).collect();
    (0..replicas / 2).map(|_| remaining.remove(rng.below(remaining.len()))).collect()
}

fn draw_fault(plan: Plan, layout: &Layout, weights: &Weights, rng: &mut Rng) -> Fault {
    let replicas = layout.replica_count();
    let kind = draw_fault_kind(weights, rng);
    let parameters = FaultParameters::draw(plan, replicas, rng);
    let FaultParameters { replica, other, restart_after, duration, .. } = parameters;
    match kind {
        FaultKind::Crash => Fault::Crash { replicas: vec![replica], is_power_loss: false, restart_after },
        FaultKind::PowerLoss => {
            let replicas = draw_subset(replicas, replica, rng);
            Fault::Crash { replicas, is_power_loss: true, restart_after }
        }
        FaultKind::FullOutage => draw_full_outage(replicas, restart_after.min(3 * SECOND), rng),
        FaultKind::DiskLoss => draw_disk_loss(replica, restart_after.min(4 * SECOND), rng),
        FaultKind::Pause => Fault::Pause { replica, duration: duration.min(8 * SECOND) },
        FaultKind::Partition => draw_partition(replicas, &parameters, rng),
        FaultKind::SplitReplicas => {
            let keeps_connections = parameters.keeps_connections;
            Fault::SplitReplicas { side: draw_half(replicas, rng), keeps_connections, duration }
        }
        FaultKind::LeaseHolderPartition => {
            Fault::LeaseHolderPartition { shape: parameters.partition_shape(false) }
        }
        FaultKind::ConnectionReset => Fault::ConnectionReset { a: replica, b: other },
        FaultKind::SlowLink => {
            let extra_latency = rng.in_range(20 * MILLISECOND..2 * SECOND);
            Fault::SlowLink { a: replica, b: other, extra_latency, duration }
        }
        FaultKind::SlowDisks => {
            let latencies = [200 * MILLISECOND, 800 * MILLISECOND, 3_500 * MILLISECOND];
            let extra_latency = latencies[rng.below(latencies.len())];
            let replicas = draw_subset(replicas, replica, rng);
            Fault::SlowDisks { replicas, extra_latency, duration }
        }
        FaultKind::DiskHang => Fault::DiskHang { replica, duration: duration.min(8 * SECOND) },
        FaultKind::DiskRefusal => Fault::DiskRefusal { replica, duration: duration.min(8 * SECOND) },
        FaultKind::GracefulShutdown => Fault::GracefulShutdown { replica, restart_after },
        FaultKind::Replacement => {
            let is_graceful = rng.chance(50);
            let zones = layout.zone_regions.len();
            let zone = Some(rng.below(zones * 2)).filter(|zone| *zone < zones);
            let restart_after = restart_after.min(3 * SECOND);
            Fault::Replacement { replica, zone, is_graceful, restart_after }
        }
        FaultKind::CrashAtConfirmation => {
            Fault::CrashAtConfirmation { is_power_loss: rng.chance(60), restart_after }
        }
        FaultKind::CrashAfterEvents => {
            let events = rng.below(60) as u32;
            let (is_power_loss, restart_after) = (rng.chance(60), restart_after.min(4 * SECOND));
            Fault::CrashAfterEvents { replica, events, is_power_loss, restart_after }
        }
        FaultKind::GatewayRestart => Fault::GatewayRestart { gateway: rng.below(layout.gateway_count) },
        FaultKind::AnswerLoss => Fault::AnswerLoss { percent: 50, duration },
        FaultKind::GatewayCongestion => {
            let extra_latency = rng.in_range(500 * MILLISECOND..5 * SECOND);
            Fault::GatewayCongestion { gateway: rng.below(layout.gateway_count), extra_latency, duration }
        }
    }
}

fn draw_full_outage(replicas: usize, restart_after: i64, rng: &mut Rng) -> Fault {
    if rng.chance(50) {
        Fault::PowerOutage { restart_after }
    } else {
        Fault::Crash { replicas: (0..replicas).collect(), is_power_loss: false, restart_after }
    }
}

fn draw_disk_loss(replica: usize, restart_after: i64, rng: &mut Rng) -> Fault {
    let domain = match rng.below(3) {
        0 => FailureDomain::Replica,
        1 => FailureDomain::Zone,
        _ => FailureDomain::Region,
    };
    Fault::DiskLoss { replica, domain, with_power_outage: rng.chance(40), restart_after }
}

fn draw_partition(replicas: usize, parameters: &FaultParameters, rng: &mut Rng) -> Fault {
    let side = match rng.below(3) {
        0 => vec![parameters.replica],
        1 => vec![parameters.replica, parameters.other],
        _ => draw_subset(replicas, parameters.replica, rng),
    };
    let with_gateways = rng.chance(50);
    Fault::Partition { side, shape: parameters.partition_shape(with_gateways) }
}
