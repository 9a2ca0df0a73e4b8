//! Injection of faults. Each fault affects machines, links or disks, and ends without further action.

use super::events::Event;
use super::processes::SHUTDOWN_TIMEOUT;
use super::Simulation;
use crate::network::{ChannelKind, Host, Partition};
use crate::scenario::{Fault, PartitionDirection, PartitionShape, MILLISECOND, SECOND};
use std::collections::BTreeSet;

/// Time for which a machine still counts as lost after it has recovered.
const STABLE_PERIOD: i64 = 4 * SECOND;
/// Maximum difference between the restarts of machines that crash together.
const MAX_RESTART_JITTER: i64 = 100 * MILLISECOND;
/// Restart delay of a replaced machine: longer than any run.
const NEVER_RESTARTS: i64 = 3_600 * SECOND;

/// How a process ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// Whether its machine loses power.
    pub(super) is_power_loss: bool,
    /// Time until the next process may start.
    pub(super) restart_after: i64,
}

/// A crash after a process has handled a number of events.
pub(super) struct ScheduledCrash {
    pub(super) events_left: u32,
    pub(super) crash: Crash,
}

/// Loss of responses to operators.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseLoss {
    pub(super) percent: u64,
    pub(super) until: i64,
}

impl Simulation {
    /// Injects a fault, unless the system need not survive it at this time.
    pub fn inject(&mut self, fault: &Fault) {
        self.log(format_args!("event=fault-injected {fault}"));
        let is_injected = self.apply_fault(fault);
        let result = if is_injected { "fault" } else { "skipped" };
        self.coverage.count(&format!("{result}-{}", fault.name()));
    }

    /// Returns true if the fault was applied.
    fn apply_fault(&mut self, fault: &Fault) -> bool {
        match *fault {
            Fault::Crash { ref replicas, is_power_loss, restart_after } => {
                self.crash_replicas(replicas, Crash { is_power_loss, restart_after });
            }
            Fault::PowerOutage { restart_after } => {
                let all: Vec<usize> = (0..self.replica_nodes.len()).collect();
                self.crash_replicas(&all, Crash { is_power_loss: true, restart_after });
                self.restart_all_gateways();
            }
            Fault::DiskLoss { replica, domain, with_power_outage, restart_after } => {
                let replicas = self.layout.replicas_in(domain, replica);
                let is_survivable = self.must_survive_loss_of(&replicas);
                if is_survivable {
                    self.record_disk_loss();
                    self.lose_disks(&replicas, with_power_outage, restart_after);
                }
                return is_survivable;
            }
            Fault::Pause { replica, duration } => self.pause(self.replica_nodes[replica], duration),
            Fault::Partition { ref side, shape } => {
                let nodes: Vec<usize> = side.iter().map(|replica| self.replica_nodes[*replica]).collect();
                self.partition(&nodes, shape);
            }
            Fault::SplitReplicas { ref side, keeps_connections, duration } => {
                let nodes: Vec<usize> = side.iter().map(|replica| self.replica_nodes[*replica]).collect();
                self.split_nodes(&nodes, keeps_connections, duration);
            }
            Fault::LeaseHolderPartition { shape } => return self.partition_lease_holder(shape),
            Fault::ConnectionReset { a, b } => {
                return self.reset_connections(self.replica_nodes[a], self.replica_nodes[b]);
            }
            Fault::SlowLink { a, b, extra_latency, duration } => {
                self.slow_link(self.replica_nodes[a], self.replica_nodes[b], extra_latency, duration);
            }
            Fault::SlowDisks { .. } | Fault::DiskHang { .. } | Fault::DiskRefusal { .. } => {
                self.apply_disk_fault(fault);
            }
            Fault::GracefulShutdown { replica, restart_after } => {
                return self.shut_down(self.replica_nodes[replica], restart_after);
            }
            Fault::Replacement { replica, zone, is_graceful, restart_after } => {
                let is_survivable = self.must_survive_loss_of(&[replica]);
                if is_survivable {
                    self.record_disk_loss();
                    self.move_replica(replica, zone);
                    self.replace(replica, is_graceful, restart_after);
                }
                return is_survivable;
            }
            Fault::CrashAtConfirmation { is_power_loss, restart_after } => {
                self.crash_at_confirmation = Some(Crash { is_power_loss, restart_after });
            }
            Fault::CrashAfterEvents { replica, events, is_power_loss, restart_after } => {
                let crash = Crash { is_power_loss, restart_after };
                let node = &mut self.nodes[self.replica_nodes[replica]];
                node.scheduled_crash = Some(ScheduledCrash { events_left: events, crash });
            }
            Fault::GatewayRestart { gateway } => self.restart_gateway(gateway),
            Fault::GatewayCongestion { gateway, extra_latency, duration } => {
                self.congest_gateway(gateway, extra_latency, duration);
            }
            Fault::AnswerLoss { percent, duration } => {
                self.response_loss = ResponseLoss { percent, until: self.now + duration };
            }
        }
        true
    }

    fn apply_disk_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::SlowDisks { ref replicas, extra_latency, duration } => {
                self.mark_unstable(duration);
                for replica in replicas {
                    let disk = &mut self.nodes[self.replica_nodes[*replica]].disk;
                    disk.faults.extra_latency = extra_latency;
                    disk.faults.slow_until = self.now + duration;
                }
            }
            Fault::DiskHang { replica, duration } => {
                self.mark_unstable(duration);
                self.nodes[self.replica_nodes[replica]].disk.faults.hangs_until = self.now + duration;
            }
            Fault::DiskRefusal { replica, duration } => {
                self.mark_unstable(duration);
                self.nodes[self.replica_nodes[replica]].disk.faults.refuses_until = self.now + duration;
            }
            _ => {}
        }
    }

    /// Marks the system as unstable while a node, or the link between two nodes, is faulty.
    pub(super) fn mark_unstable(&mut self, duration: i64) {
        self.unstable_until = self.unstable_until.max(self.now + duration);
    }

    /// Whether the system must survive the loss of these replicas' disks now. A machine counts as lost while
    /// it is down, paused, slow or partitioned, and for [`STABLE_PERIOD`] afterwards. No disk may be lost
    /// while any machine counts as lost, and the other replicas must form a majority unless only one disk is
    /// lost.
    fn must_survive_loss_of(&self, replicas: &[usize]) -> bool {
        let remaining = self.layout.replica_count() - replicas.len();
        self.is_stable() && (remaining >= self.layout.majority() || replicas.len() == 1)
    }

    /// Whether no machine counts as lost.
    fn is_stable(&self) -> bool {
        let are_all_running = self.replica_nodes.iter().all(|node| self.nodes[*node].process.is_some());
        are_all_running && self.now - self.unstable_until >= STABLE_PERIOD
    }

    /// Keeps the system marked as unstable until a split ends, because lost replicas cannot be replaced while
    /// the replicas are split.
    fn record_disk_loss(&mut self) {
        if self.split_until > self.now {
            self.coverage.count("loss-while-split");
            self.mark_unstable(self.split_until - self.now);
        }
    }

    /// Adds a random delay to the restart of a machine that crashes together with others.
    fn with_restart_jitter(&mut self, crash: Crash) -> Crash {
        let restart_after = crash.restart_after + self.rng.in_range(0..MAX_RESTART_JITTER);
        Crash { restart_after, ..crash }
    }

    fn crash_replicas(&mut self, replicas: &[usize], crash: Crash) {
        for replica in replicas {
            let crash = self.with_restart_jitter(crash);
            self.crash(self.replica_nodes[*replica], crash);
        }
    }

    /// Machines lose power and the content of their disks. With `with_power_outage`, all other machines,
    /// including those of gateways, lose power at the same time.
    pub fn lose_disks(&mut self, replicas: &[usize], with_power_outage: bool, restart_after: i64) {
        for replica in 0..self.layout.replica_count() {
            let (node, is_lost) = (self.replica_nodes[replica], replicas.contains(&replica));
            if is_lost || with_power_outage {
                let crash = self.with_restart_jitter(Crash { is_power_loss: true, restart_after });
                self.crash(node, crash);
            }
            if is_lost {
                self.nodes[node].disk.wipe();
            }
        }
        if with_power_outage {
            self.restart_all_gateways();
        }
    }

    fn pause(&mut self, node: usize, duration: i64) {
        if self.nodes[node].process.is_some() {
            self.mark_unstable(duration);
            let until = self.now + duration;
            self.nodes[node].paused_until = until;
            self.schedule(until, Event::Resume { node });
        }
    }

    /// Requests a process's shutdown. Returns false if it is not running or is paused, or if its shutdown was
    /// already requested.
    fn shut_down(&mut self, node_index: usize, restart_after: i64) -> bool {
        let now = self.monotonic_time(node_index);
        let node = &mut self.nodes[node_index];
        if node.shutdown_requested_at.is_some() || node.is_paused(self.now) {
            return false;
        }
        let Some(process) = &mut node.process else { return false };
        process.shut_down(now);
        let down_for = SHUTDOWN_TIMEOUT + restart_after;
        node.shutdown_requested_at = Some(self.now);
        node.restart_at = self.now + down_for;
        if !node.is_replaced {
            self.mark_unstable(down_for);
        }
        self.after_event(node_index);
        true
    }

    /// Moves a replica's position to another zone, if one is given, before its machine is replaced.
    fn move_replica(&mut self, replica: usize, zone: Option<usize>) {
        let before = self.layout.replica_zones[replica];
        let Some(zone) = zone.filter(|zone| *zone != before && self.layout.stays_spread(replica, *zone))
        else {
            return;
        };
        let is_same_region = self.layout.zone_regions[zone] == self.layout.zone_regions[before];
        let domain = if is_same_region { "zone" } else { "region" };
        self.coverage.count(&format!("replaced-in-another-{domain}"));
        self.layout.replica_zones[replica] = zone;
    }

    /// Replaces a replica's machine by a new one. The old process shuts down, or its machine loses power.
    fn replace(&mut self, replica: usize, is_graceful: bool, restart_after: i64) {
        let old = self.replica_nodes[replica];
        let new = self.add_node(replica);
        self.replica_nodes[replica] = new;
        self.record_replicas();
        self.nodes[old].is_replaced = true;
        if !(is_graceful && self.shut_down(old, NEVER_RESTARTS)) {
            self.crash(old, Crash { is_power_loss: true, restart_after: NEVER_RESTARTS });
        }
        self.log(format_args!("event=machine-replaced replica={replica} old=s{old} new=s{new}"));
        self.schedule(self.now + restart_after, Event::StartProcess { node: new });
        self.mark_unstable(restart_after);
    }

    /// Resets all open connections between two nodes. Returns false if there are none.
    fn reset_connections(&mut self, a: usize, b: usize) -> bool {
        let (a, b) = (Host::Node(a), Host::Node(b));
        let ids = self.network.channels_where(|channel| {
            let ends = (channel.from.host, channel.to.host);
            (ends == (a, b) || ends == (b, a)) && channel.kind == ChannelKind::Peer && !channel.is_closed
        });
        let has_connections = !ids.is_empty();
        for id in ids {
            self.reset_channel(id);
        }
        has_connections
    }

    fn slow_link(&mut self, a: usize, b: usize, extra_latency: i64, duration: i64) {
        self.mark_unstable(duration);
        let (a, b, until) = (Host::Node(a), Host::Node(b), self.now + duration);
        self.network.slow_down(a, b, extra_latency, until);
        self.network.slow_down(b, a, extra_latency, until);
    }

    fn congest_gateway(&mut self, gateway: usize, extra_latency: i64, duration: i64) {
        let (gateway, until) = (Host::Gateway(gateway), self.now + duration);
        for node in (0..self.nodes.len()).map(Host::Node) {
            self.network.slow_down(gateway, node, extra_latency, until);
            self.network.slow_down(node, gateway, extra_latency, until);
        }
    }

    /// Returns false if there is no lease holder.
    fn partition_lease_holder(&mut self, shape: PartitionShape) -> bool {
        let lease_holder = self.replica_nodes.iter().copied().find(|node| self.is_lease_holder(*node));
        if let Some(node) = lease_holder {
            self.partition(&[node], shape);
        }
        lease_holder.is_some()
    }

    /// Partitions some nodes from all other nodes in both directions. Gateways reach both sides.
    ///
    /// A split loses no data, so a disk may still be lost while it lasts. Earlier losses, however, cannot be
    /// repaired before it ends.
    fn split_nodes(&mut self, side: &[usize], keeps_connections: bool, duration: i64) {
        if !self.is_stable() {
            self.mark_unstable(duration);
        }
        self.split_until = self.split_until.max(self.now + duration);
        let partition = Partition { until: self.now + duration, keeps_connections };
        for inner in side {
            for outer in (0..self.nodes.len()).filter(|node| !side.contains(node)) {
                self.network.partition(Host::Node(*inner), Host::Node(outer), partition);
                self.network.partition(Host::Node(outer), Host::Node(*inner), partition);
            }
        }
    }

    /// Partitions some nodes from all other machines.
    fn partition(&mut self, side: &[usize], shape: PartitionShape) {
        self.mark_unstable(shape.duration);
        let partition =
            Partition { until: self.now + shape.duration, keeps_connections: shape.keeps_connections };
        let zones: BTreeSet<usize> = side.iter().map(|node| self.zone_of(Host::Node(*node))).collect();
        let is_inside = |host: &Host| match host {
            Host::Node(node) => side.contains(node),
            Host::Gateway(_) => shape.with_gateways && zones.contains(&self.zone_of(*host)),
        };
        let nodes = (0..self.nodes.len()).map(Host::Node);
        let gateways = (0..self.gateways.len()).map(Host::Gateway);
        let (inside, outside): (Vec<Host>, Vec<Host>) = nodes.chain(gateways).partition(is_inside);
        for inner in inside {
            for outer in &outside {
                if shape.direction != PartitionDirection::Incoming {
                    self.network.partition(inner, *outer, partition);
                }
                if shape.direction != PartitionDirection::Outgoing {
                    self.network.partition(*outer, inner, partition);
                }
            }
        }
    }
}
