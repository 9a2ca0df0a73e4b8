//! The end of a run: all faults are ended, and the system has to converge.

use super::events::Event;
use super::faults::ResponseLoss;
use super::processes::SHUTDOWN_TIMEOUT;
use super::Simulation;
use crate::history::HistoryEvent;
use crate::process::Process;
use std::collections::BTreeSet;

impl Simulation {
    /// Ends all faults: partitions are healed, disks work normally, and processes that are down or paused
    /// continue.
    pub fn heal(&mut self) {
        self.log(format_args!("event=healed"));
        self.network.heal();
        self.crash_at_confirmation = None;
        self.response_loss = ResponseLoss::default();
        for node_index in 0..self.nodes.len() {
            self.heal_node(node_index);
        }
        for id in self.network.channels_where(|channel| !channel.blocked.is_empty()) {
            self.schedule(self.now, Event::ReleaseBlocked { channel: id });
        }
    }

    /// Ends a node's faults, and resumes or restarts its process.
    fn heal_node(&mut self, node_index: usize) {
        let node = &mut self.nodes[node_index];
        node.disk.faults.clear();
        node.scheduled_crash = None;
        if node.is_paused(self.now) {
            node.paused_until = self.now;
            self.schedule(self.now, Event::Resume { node: node_index });
        }
        // A process that is shutting down is restarted as soon as it has ended, however late the fault
        // scheduled its restart.
        if self.nodes[node_index].shutdown_requested_at.is_some() {
            let latest_end = self.now + SHUTDOWN_TIMEOUT;
            let node = &mut self.nodes[node_index];
            node.restart_at = node.restart_at.min(latest_end);
            self.schedule(latest_end, Event::StartProcess { node: node_index });
        }
        let node = &mut self.nodes[node_index];
        if node.process.is_none() && self.replica_nodes.contains(&node_index) {
            node.restart_at = self.now;
            self.schedule(self.now, Event::StartProcess { node: node_index });
        }
    }

    /// The reason why the system has not converged, or none if it has.
    pub fn convergence_problem(&self) -> Option<String> {
        self.node_problem()
            .or_else(|| self.replica_set_problem())
            .or_else(|| self.divergence_problem())
            .or_else(|| self.gateway_problem())
            .or_else(|| self.lease_problem())
    }

    /// All replicas must be serving and have complete disks.
    fn node_problem(&self) -> Option<String> {
        self.replica_nodes.iter().find_map(|node| {
            let Some(process) = &self.nodes[*node].process else { return Some(format!("s{node} is down")) };
            if process.is_serving() && process.is_complete() {
                return None;
            }
            let state = process.replica_state();
            Some(format!("s{node} is {state} complete={}", process.is_complete()))
        })
    }

    fn first_process(&self) -> Option<&Process> {
        self.nodes[self.replica_nodes[0]].process.as_ref()
    }

    /// The replica set must contain the nodes of all replicas.
    fn replica_set_problem(&self) -> Option<String> {
        let replicas: BTreeSet<String> =
            self.replica_nodes.iter().map(|node| self.nodes[*node].location.node_id.clone()).collect();
        let replica_set = self.first_process()?.replica_ids();
        (!replicas.is_subset(&replica_set))
            .then(|| format!("some replicas are missing from the replica set {replica_set:?}"))
    }

    /// Describes the difference between the replicas' nodes and the replica set in force at each of them, if there is
    /// any. Unlike while it converges, no node that is gone may be left in the set.
    pub fn replica_set_difference(&self) -> Option<String> {
        let node_id = |node: &usize| self.nodes[*node].location.node_id.clone();
        let expected: BTreeSet<String> = self.replica_nodes.iter().map(node_id).collect();
        self.replica_nodes.iter().find_map(|node| {
            let found = self.nodes[*node].process.as_ref()?.replica_ids();
            (found != expected).then(|| format!("{found:?} at s{node} instead of {expected:?}"))
        })
    }

    /// All replicas must hold the same items.
    fn divergence_problem(&self) -> Option<String> {
        let digest = self.first_process()?.item_store().digest();
        let differs = |node: &&usize| {
            let process = self.nodes[**node].process.as_ref();
            process.is_some_and(|process| process.item_store().digest() != digest)
        };
        let node = self.replica_nodes.iter().find(differs)?;
        Some(format!("s{node} holds different items than s{}", self.replica_nodes[0]))
    }

    /// All gateways must hold the same items as the replicas.
    fn gateway_problem(&self) -> Option<String> {
        let digest = self.first_process()?.item_store().digest();
        self.gateways.iter().enumerate().find_map(|(gateway_index, gateway)| {
            if !gateway.is_caught_up() {
                return Some(format!("g{gateway_index} has not caught up"));
            }
            let differs = gateway.item_store().digest() != digest;
            differs.then(|| format!("g{gateway_index} holds different items than s{}", self.replica_nodes[0]))
        })
    }

    /// Exactly one process must hold the coordinator lease, and act as coordinator.
    fn lease_problem(&self) -> Option<String> {
        let holders: Vec<usize> =
            self.replica_nodes.iter().copied().filter(|node| self.is_lease_holder(*node)).collect();
        match holders[..] {
            [holder] => (!self.is_active_coordinator(holder))
                .then(|| format!("s{holder} holds the lease but is not the active coordinator")),
            _ => Some(format!("{} processes hold the lease", holders.len())),
        }
    }

    /// Records which zones each process considers evacuated.
    pub fn observe_evacuations(&mut self) {
        let zones = self.layout.zone_names();
        for node in self.replica_nodes.clone() {
            let Some(process) = &self.nodes[node].process else { continue };
            let evacuated = process.evacuated_zones();
            for zone in &zones {
                self.history.push(HistoryEvent::EvacuationObserved {
                    at: self.now,
                    node,
                    zone: zone.clone(),
                    is_evacuated: evacuated.contains(zone),
                });
            }
        }
    }

    /// Records that a deadline was missed.
    pub fn record_missed_deadline(&mut self, description: String) {
        self.history.push(HistoryEvent::DeadlineMissed { at: self.now, description });
    }
}
