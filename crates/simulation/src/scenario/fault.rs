//! The faults that a simulation injects.

use super::{FailureDomain, PartitionDirection};
use std::fmt::{self, Display};

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When it is injected, in microseconds.
    pub at: i64,
    /// What is injected.
    pub fault: Fault,
}

/// How some machines are partitioned from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionShape {
    /// Which way messages don't get through.
    pub direction: PartitionDirection,
    /// Whether the gateways of the partitioned zones are on the machines' side.
    pub with_gateways: bool,
    /// Whether connections outlast it.
    pub keeps_connections: bool,
    /// Microseconds that it lasts.
    pub duration: i64,
}

/// A fault. Replicas are positions of the layout: whatever machine has them at the time. All times are microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Processes are killed, or their machines lose power.
    Crash {
        /// Whose processes.
        replicas: Vec<usize>,
        /// Whether the machines lose power.
        is_power_loss: bool,
        /// How long they are down.
        restart_after: i64,
    },
    /// All machines lose power, gateways too.
    PowerOutage {
        /// How long they are down.
        restart_after: i64,
    },
    /// Disks are lost, unless that is more than the system has to survive.
    DiskLoss {
        /// A replica that loses its disk.
        replica: usize,
        /// Who loses it as well.
        domain: FailureDomain,
        /// Whether all others lose power at the same moment, gateways too.
        with_power_outage: bool,
        /// How long they are down.
        restart_after: i64,
    },
    /// A process stands still for a time, and goes on as if nothing had happened.
    Pause {
        /// Whose process.
        replica: usize,
        /// For how long.
        duration: i64,
    },
    /// Some machines are partitioned from all others.
    Partition {
        /// Which machines.
        side: Vec<usize>,
        /// In which way.
        shape: PartitionShape,
    },
    /// Some replicas are partitioned from the other replicas; gateways and operators reach both sides.
    SplitReplicas {
        /// One of the sides.
        side: Vec<usize>,
        /// Whether connections outlast it.
        keeps_connections: bool,
        /// Microseconds that it lasts.
        duration: i64,
    },
    /// The holder of the coordinator's lease is partitioned from all others.
    LeaseHolderPartition {
        /// In which way.
        shape: PartitionShape,
    },
    /// The connections between two replicas are reset.
    ConnectionReset {
        /// One of them.
        a: usize,
        /// The other one.
        b: usize,
    },
    /// The link between two replicas is slow.
    SlowLink {
        /// One of them.
        a: usize,
        /// The other one.
        b: usize,
        /// How much longer each message takes.
        extra_latency: i64,
        /// For how long.
        duration: i64,
    },
    /// Disks are slow.
    SlowDisks {
        /// Whose disks.
        replicas: Vec<usize>,
        /// How much longer each sync takes.
        extra_latency: i64,
        /// For how long.
        duration: i64,
    },
    /// No sync of a disk ends.
    DiskHang {
        /// Whose disk.
        replica: usize,
        /// For how long.
        duration: i64,
    },
    /// No sync of a disk ends, and what is written meanwhile does not survive a crash.
    DiskRefusal {
        /// Whose disk.
        replica: usize,
        /// For how long.
        duration: i64,
    },
    /// A process is asked to shut down (SIGTERM), and is started again later.
    GracefulShutdown {
        /// Whose process.
        replica: usize,
        /// How long it is down.
        restart_after: i64,
    },
    /// A machine goes for good; another one comes in its zone with an empty disk.
    Replacement {
        /// Whose machine.
        replica: usize,
        /// Whether the old process is asked to shut down, or loses power.
        is_graceful: bool,
        /// When the new machine starts.
        restart_after: i64,
    },
    /// The process that confirms a change next crashes at that moment.
    CrashAtConfirmation {
        /// Whether its machine loses power.
        is_power_loss: bool,
        /// How long it is down.
        restart_after: i64,
    },
    /// A process crashes after some more events.
    CrashAfterEvents {
        /// Whose process.
        replica: usize,
        /// After how many events.
        events: u32,
        /// Whether its machine loses power.
        is_power_loss: bool,
        /// How long it is down.
        restart_after: i64,
    },
    /// A gateway's process restarts.
    GatewayRestart {
        /// Which gateway.
        gateway: usize,
    },
    /// A gateway's own network link is congested: all that it sends and receives takes longer.
    GatewayCongestion {
        /// Which gateway.
        gateway: usize,
        /// How much longer each message takes.
        extra_latency: i64,
        /// For how long.
        duration: i64,
    },
    /// Answers to operators are lost on their way.
    AnswerLoss {
        /// How many, in percent.
        percent: u64,
        /// For how long.
        duration: i64,
    },
}

impl Fault {
    /// Its name in the coverage.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Crash { is_power_loss: false, .. } => "crash",
            Fault::Crash { is_power_loss: true, .. } => "power-loss",
            Fault::PowerOutage { .. } => "power-outage",
            Fault::DiskLoss { with_power_outage: true, .. } => "disk-loss-with-power-outage",
            Fault::DiskLoss { domain: FailureDomain::Replica, .. } => "disk-loss",
            Fault::DiskLoss { domain: FailureDomain::Zone, .. } => "disk-loss-zone",
            Fault::DiskLoss { domain: FailureDomain::Region, .. } => "disk-loss-region",
            Fault::Pause { .. } => "pause",
            Fault::Partition { shape, .. } => match shape.direction {
                PartitionDirection::Both => "partition",
                PartitionDirection::Outgoing => "partition-outgoing",
                PartitionDirection::Incoming => "partition-incoming",
            },
            Fault::SplitReplicas { .. } => "split-replicas",
            Fault::LeaseHolderPartition { .. } => "lease-holder-partition",
            Fault::ConnectionReset { .. } => "connection-reset",
            Fault::SlowLink { .. } => "slow-link",
            Fault::SlowDisks { .. } => "slow-disks",
            Fault::DiskHang { .. } => "disk-hang",
            Fault::DiskRefusal { .. } => "disk-refusal",
            Fault::GracefulShutdown { .. } => "graceful-shutdown",
            Fault::Replacement { is_graceful: true, .. } => "graceful-replacement",
            Fault::Replacement { is_graceful: false, .. } => "replacement",
            Fault::CrashAtConfirmation { .. } => "crash-at-confirmation",
            Fault::CrashAfterEvents { .. } => "crash-after-events",
            Fault::GatewayRestart { .. } => "gateway-restart",
            Fault::GatewayCongestion { .. } => "gateway-congestion",
            Fault::AnswerLoss { .. } => "answer-loss",
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "fault={} what={:?}", self.name(), format!("{self:?}"))
    }
}
