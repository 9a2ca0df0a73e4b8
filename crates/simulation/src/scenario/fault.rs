//! The faults that a simulation can inject.

use super::{FailureDomain, PartitionDirection};
use std::fmt::{self, Display};

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time of injection, in microseconds.
    pub at: i64,
    /// The fault.
    pub fault: Fault,
}

/// How a group of machines is partitioned from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionShape {
    /// The direction in which messages are blocked.
    pub direction: PartitionDirection,
    /// Whether the gateways in the group's zones are on the group's side.
    pub with_gateways: bool,
    /// Whether connections stay open during the partition.
    pub keeps_connections: bool,
    /// Duration in microseconds.
    pub duration: i64,
}

/// A fault. Replicas are identified by their position in the layout, whichever machine holds that position at
/// the time. All times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Processes are killed, or their machines lose power.
    Crash {
        /// The affected replicas.
        replicas: Vec<usize>,
        /// Whether the machines lose power.
        is_power_loss: bool,
        /// Time until the processes restart.
        restart_after: i64,
    },
    /// All machines, including those of gateways, lose power.
    PowerOutage {
        /// Time until the processes restart.
        restart_after: i64,
    },
    /// Disks lose their content. Skipped if the system need not survive this loss at the time.
    DiskLoss {
        /// A replica whose disk is lost.
        replica: usize,
        /// The failure domain around that replica in which all disks are lost.
        domain: FailureDomain,
        /// Whether all other machines, including those of gateways, lose power at the same time.
        with_power_outage: bool,
        /// Time until the processes restart.
        restart_after: i64,
    },
    /// A process is suspended for some time and then continues, as after SIGSTOP and SIGCONT.
    Pause {
        /// The affected replica.
        replica: usize,
        /// Duration of the suspension.
        duration: i64,
    },
    /// Some machines are partitioned from all others.
    Partition {
        /// The replicas on one side.
        side: Vec<usize>,
        /// Direction, duration and scope of the partition.
        shape: PartitionShape,
    },
    /// Some replicas are partitioned from the other replicas; gateways and operators still reach both sides.
    SplitReplicas {
        /// The replicas on one side.
        side: Vec<usize>,
        /// Whether connections stay open during the partition.
        keeps_connections: bool,
        /// Duration in microseconds.
        duration: i64,
    },
    /// The holder of the coordinator lease is partitioned from all other machines.
    LeaseHolderPartition {
        /// Direction, duration and scope of the partition.
        shape: PartitionShape,
    },
    /// The connections between two replicas are reset.
    ConnectionReset {
        /// One replica.
        a: usize,
        /// The other replica.
        b: usize,
    },
    /// The link between two replicas has a higher latency.
    SlowLink {
        /// One replica.
        a: usize,
        /// The other replica.
        b: usize,
        /// Additional latency of each message.
        extra_latency: i64,
        /// Duration of the fault.
        duration: i64,
    },
    /// Disks take longer to sync.
    SlowDisks {
        /// The affected replicas.
        replicas: Vec<usize>,
        /// Additional duration of each sync.
        extra_latency: i64,
        /// Duration of the fault.
        duration: i64,
    },
    /// A disk completes no sync.
    DiskHang {
        /// The affected replica.
        replica: usize,
        /// Duration of the fault.
        duration: i64,
    },
    /// A disk completes no sync, and data written during the fault does not survive a crash.
    DiskRefusal {
        /// The affected replica.
        replica: usize,
        /// Duration of the fault.
        duration: i64,
    },
    /// A process is asked to shut down (SIGTERM) and restarted later.
    GracefulShutdown {
        /// The affected replica.
        replica: usize,
        /// Time between the end of the process and its restart.
        restart_after: i64,
    },
    /// A machine is removed permanently, and a new one with an empty disk takes its position.
    Replacement {
        /// The affected replica.
        replica: usize,
        /// The new machine's zone, if it is not the same. Ignored if all replicas but the removed one would then be in
        /// one zone or region, where no write can be protected against its loss.
        zone: Option<usize>,
        /// Whether the old process is asked to shut down; otherwise its machine loses power.
        is_graceful: bool,
        /// Time until the process on the new machine starts.
        restart_after: i64,
    },
    /// The next process that confirms a change crashes right after it has done so.
    CrashAtConfirmation {
        /// Whether its machine loses power.
        is_power_loss: bool,
        /// Time until the process restarts.
        restart_after: i64,
    },
    /// A process crashes after it has handled a number of events.
    CrashAfterEvents {
        /// The affected replica.
        replica: usize,
        /// The number of events.
        events: u32,
        /// Whether its machine loses power.
        is_power_loss: bool,
        /// Time until the process restarts.
        restart_after: i64,
    },
    /// A gateway process restarts.
    GatewayRestart {
        /// The index of the gateway.
        gateway: usize,
    },
    /// A gateway's network link is congested: everything it sends and receives is delayed.
    GatewayCongestion {
        /// The index of the gateway.
        gateway: usize,
        /// Additional latency of each message.
        extra_latency: i64,
        /// Duration of the fault.
        duration: i64,
    },
    /// Responses to operators are lost.
    AnswerLoss {
        /// The percentage of responses that are lost.
        percent: u64,
        /// Duration of the fault.
        duration: i64,
    },
}

impl Fault {
    /// The fault's name in the coverage counters.
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
