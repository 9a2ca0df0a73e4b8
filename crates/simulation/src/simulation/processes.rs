//! How control processes start, run and end, and how their requested actions are performed.

use super::events::Event;
use super::faults::{Crash, ScheduledCrash};
use super::machines::ObservedReplicaSet;
use super::{Simulation, TICK_INTERVAL};
use crate::digest::Fnv1a;
use crate::disk::SyncResult;
use crate::history::HistoryEvent;
use crate::network::{Channel, ChannelId, ChannelKind, Host, SEND_TIMEOUT};
use crate::process::{Process, ProcessAction, ProcessStart, Records};
use crate::scenario::SECOND;

/// Time after which a process that was asked to shut down is ended.
pub(super) const SHUTDOWN_TIMEOUT: i64 = 2 * SECOND;
/// Only a process that starts within this time can be its node's first.
const FIRST_START_PERIOD: i64 = SECOND;
/// Spreads consecutive numbers over 64 bits: 2^64 divided by the golden ratio (Fibonacci hashing).
const INCARNATION_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Simulation {
    pub(super) fn start_process(&mut self, node_index: usize) {
        let now = self.monotonic_time(node_index);
        let node = &mut self.nodes[node_index];
        if node.process.is_some() || node.is_replaced || self.now < node.restart_at {
            return;
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let is_original = node_index < self.layout.replica_count();
        let bootstrap_addresses = self.bootstrap_addresses();
        let node = &mut self.nodes[node_index];
        let start = ProcessStart {
            location: node.location.clone(),
            incarnation: incarnation.wrapping_mul(INCARNATION_MULTIPLIER),
            is_first_start: node.incarnation == 0 && self.now < FIRST_START_PERIOD,
            is_bootstrap_node: self.layout.initial_replicas[0] == node.replica && is_original,
            records: node.disk.open(self.now),
        };
        node.process = Some(Process::start(now, start));
        node.incarnation = incarnation;
        node.bootstrap_addresses = bootstrap_addresses;
        node.clear_connections();
        node.shutdown_requested_at = None;
        node.paused_until = 0;
        self.coverage.count("process-started");
        self.log(format_args!("event=process-started node=s{node_index} incarnation={incarnation}"));
        let at = self.now + self.rng.in_range(0..TICK_INTERVAL);
        self.schedule(at, Event::Tick { node: node_index, incarnation });
        self.perform_actions(node_index);
    }

    pub(super) fn tick(&mut self, node_index: usize, incarnation: u64) {
        let now = self.monotonic_time(node_index);
        let Some(process) = self.process_of(node_index, incarnation) else { return };
        process.tick(now);
        self.connect_to_peers(node_index);
        self.close_idle_connections(node_index);
        let node = &self.nodes[node_index];
        if let Some(requested_at) = node.shutdown_requested_at {
            let is_shut_down = node.process.as_ref().is_some_and(Process::is_shut_down);
            if is_shut_down || self.now - requested_at > SHUTDOWN_TIMEOUT {
                let crash = Crash { is_power_loss: false, restart_after: node.restart_at - self.now };
                return self.crash(node_index, crash);
            }
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick { node: node_index, incarnation });
    }

    /// Schedules the events that waited for a paused process.
    pub(super) fn resume(&mut self, node: usize) {
        if !self.nodes[node].is_paused(self.now) {
            for event in std::mem::take(&mut self.nodes[node].queued_events) {
                self.schedule(self.now, event);
            }
        }
    }

    /// Performs the actions that a process requested while handling an event, and records its observable
    /// state.
    pub(super) fn after_event(&mut self, node: usize) {
        self.perform_actions(node);
        if self.nodes[node].process.is_none() {
            return;
        }
        self.observe_replica_sets(node);
        let lease_holders: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.is_lease_holder(*node)).collect();
        if lease_holders.len() > 1 {
            self.history.push(HistoryEvent::LeaseHeld { at: self.now, nodes: lease_holders });
        }
        match &mut self.nodes[node].scheduled_crash {
            Some(ScheduledCrash { events_left: 0, crash }) => {
                let crash = *crash;
                self.nodes[node].scheduled_crash = None;
                self.coverage.count("crashed-after-events");
                self.crash(node, crash);
            }
            Some(scheduled) => scheduled.events_left -= 1,
            None => {}
        }
    }

    /// Records the replica sets of a node that differ from those observed before.
    fn observe_replica_sets(&mut self, node: usize) {
        let Some(process) = &self.nodes[node].process else { return };
        let mut updates = Vec::new();
        for replica_set in process.replica_sets() {
            let mut hash = Fnv1a::default();
            hash.bytes(replica_set.bytes);
            let observed = ObservedReplicaSet { version: replica_set.version, digest: hash.value() };
            if self.nodes[node].replica_sets.get(replica_set.name) != Some(&observed) {
                updates.push((replica_set.name, observed));
            }
        }
        for (name, observed) in updates {
            let ObservedReplicaSet { version, digest } = observed;
            self.nodes[node].replica_sets.insert(name, observed);
            self.coverage.count(&format!("replica-set-{name}-seen"));
            self.log(format_args!(
                "event=replica-set node=s{node} name={name} version={version} digest={digest:x}"
            ));
            self.history.push(HistoryEvent::ReplicaSetObserved { at: self.now, node, name, version, digest });
        }
    }

    /// Performs the actions that a process requested.
    pub(super) fn perform_actions(&mut self, node: usize) {
        loop {
            let Some(process) = &mut self.nodes[node].process else { return };
            let actions = process.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform(node, action);
            }
        }
    }

    fn perform(&mut self, node: usize, action: ProcessAction) {
        match action {
            ProcessAction::SendToPeer(node_id, message) => self.send_to_peer(node, &node_id, message),
            ProcessAction::SendToSession(session, message) => self.send_to_gateway(session, message),
            ProcessAction::CloseSession(session) => self.close_session(session, false),
            ProcessAction::Persist(request_id, records) => self.persist(node, request_id, records),
            ProcessAction::Respond(attempt, response) => self.process_responded(node, attempt, response),
        }
    }

    fn persist(&mut self, node: usize, request_id: u64, records: Records) {
        let bytes: usize = records.iter().map(|(key, value)| key.len() + value.len()).sum();
        self.traffic.records += records.len() as u64;
        self.traffic.record_bytes += bytes as u64;
        let incarnation = self.nodes[node].incarnation;
        let sync_at = self.nodes[node].disk.write(self.now, request_id, records, &mut self.rng);
        if let Some(at) = sync_at {
            self.schedule(at, Event::SyncDue { node, incarnation });
        }
    }

    pub(super) fn complete_sync(&mut self, node: usize, incarnation: u64) {
        let now = self.monotonic_time(node);
        if !self.is_running(node, incarnation) {
            return;
        }
        match self.nodes[node].disk.complete_sync(self.now, &mut self.rng) {
            SyncResult::Blocked { retry_at } => {
                self.schedule(retry_at, Event::SyncDue { node, incarnation });
            }
            SyncResult::Synced { request_ids, next_sync_at } => {
                if let Some(at) = next_sync_at {
                    self.schedule(at, Event::SyncDue { node, incarnation });
                }
                for request_id in request_ids {
                    if let Some(process) = self.process_of(node, incarnation) {
                        process.records_persisted(now, request_id);
                    }
                }
            }
        }
    }

    /// Ends a process, or cuts its machine's power. The next process starts after a delay.
    pub(super) fn crash(&mut self, node_index: usize, crash: Crash) {
        if self.nodes[node_index].process.is_none() {
            return;
        }
        self.perform_actions(node_index);
        let Crash { is_power_loss, restart_after } = crash;
        self.log(format_args!(
            "event=process-ended node=s{node_index} power-loss={is_power_loss} restart-after={:.3}",
            restart_after as f64 / 1e6
        ));
        self.coverage.count(if is_power_loss { "power-lost" } else { "process-ended" });
        // A replaced machine's position belongs to its successor, whose faults count instead.
        if !self.nodes[node_index].is_replaced {
            self.mark_unstable(restart_after);
        }
        let node = &mut self.nodes[node_index];
        node.process = None;
        node.disk.crash(self.now, is_power_loss, &mut self.rng);
        node.queued_events.clear();
        node.restart_at = self.now + restart_after;
        node.shutdown_requested_at = None;
        node.scheduled_crash = None;
        for id in self.network.channels_where(|_| true) {
            self.close_channel_of_crashed(id, node_index, crash);
        }
        self.schedule(self.now + restart_after, Event::StartProcess { node: node_index });
    }

    /// Closes or resets a channel to or from a crashed process.
    fn close_channel_of_crashed(&mut self, id: ChannelId, node: usize, crash: Crash) {
        let channel = &self.network.channels[&id];
        let Channel { from, to, kind, last_delivery, is_closed, .. } = *channel;
        if is_closed {
            return;
        }
        // Invariant: the delay is drawn for each open channel, including those of other nodes, because the
        // draws determine the run of a seed.
        let delay = self.delay(from.host, to.host);
        let crashed = self.node_end(node);
        if from == crashed {
            // Messages in transit still arrive after the sender's crash.
            self.network.close(id);
            if let (ChannelKind::SessionToGateway(session), Host::Gateway(gateway)) = (kind, to.host) {
                if !crash.is_power_loss {
                    let last_arrival = last_delivery.max(self.now) + 1;
                    let event = Event::SessionLostAtGateway { gateway, session };
                    self.schedule(last_arrival + delay, event);
                }
            }
        } else if to == crashed {
            // A machine without power sends no reset, so the sender notices only by its send timeout, or by
            // the reset that the restarted machine sends.
            let detection_delay =
                if crash.is_power_loss { SEND_TIMEOUT.min(crash.restart_after.max(delay)) } else { delay };
            self.network.reset(self.now, id, &mut self.rng);
            if let Host::Node(node) = from.host {
                let event = Event::PeerConnectionLost { node, incarnation: from.incarnation, channel: id };
                self.schedule(self.now + detection_delay, event);
            }
        }
    }
}
