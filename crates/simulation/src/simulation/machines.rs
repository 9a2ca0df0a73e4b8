//! The machines of control processes, with their clocks, disks and connections.

use super::events::Event;
use super::faults::ScheduledCrash;
use super::{logging, Simulation};
use crate::disk::Disk;
use crate::network::{ChannelId, Host};
use crate::process::{NodeLocation, Process};
use crate::scenario::{zone_name, SECOND};
use kitepass_time::Timestamp;
use std::collections::BTreeMap;
use std::ops::Range;

/// Range of a monotonic clock's time at the start of the simulation.
const CLOCK_OFFSETS: Range<i64> = 10 * SECOND..1_000 * SECOND;
/// Maximum drift of a monotonic clock, in parts per million.
const MAX_CLOCK_DRIFT: i64 = 200;

/// A machine's monotonic clock.
struct MonotonicClock {
    /// Its time at the start of the simulation.
    offset: i64,
    /// Its drift in parts per million; positive if it is too fast.
    drift: i64,
}

impl MonotonicClock {
    fn now(&self, now: i64) -> Timestamp {
        Timestamp::from_micros(self.offset + now + now / 1_000 * self.drift / 1_000)
    }
}

/// Version and digest of a replica set.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ObservedReplicaSet {
    pub(super) version: u64,
    pub(super) digest: u64,
}

/// The machine of a control process.
pub(super) struct Node {
    pub(super) location: NodeLocation,
    /// Its position in the layout.
    pub(super) replica: usize,
    pub(super) process: Option<Process>,
    /// Incarnation of its latest process, unique among all nodes; 0 if none was started yet.
    pub(super) incarnation: u64,
    pub(super) disk: Disk,
    pub(super) paused_until: i64,
    /// Events that wait for a paused process.
    pub(super) queued_events: Vec<Event>,
    clock: MonotonicClock,
    /// The connections that its process has opened, by the other node's index.
    pub(super) peer_channels: BTreeMap<usize, ChannelId>,
    /// Addresses from its settings file.
    pub(super) bootstrap_addresses: Vec<String>,
    /// Peers' addresses by node id, from their hello messages.
    pub(super) peer_addresses: BTreeMap<String, String>,
    /// Time of the last attempt to connect to each node.
    pub(super) connect_attempts: BTreeMap<usize, i64>,
    /// Addresses learned from peers' messages, with the time at which they were learned.
    pub(super) learned_addresses: BTreeMap<String, i64>,
    /// Time at which its shutdown was requested.
    pub(super) shutdown_requested_at: Option<i64>,
    /// Time from which its next process may start.
    pub(super) restart_at: i64,
    /// Whether another machine has taken its position.
    pub(super) is_replaced: bool,
    /// Time at which it last read the endpoint list.
    pub(super) last_listing: i64,
    pub(super) scheduled_crash: Option<ScheduledCrash>,
    /// The replica sets last observed on this node, by name.
    pub(super) replica_sets: BTreeMap<&'static str, ObservedReplicaSet>,
}

impl Node {
    pub(super) fn is_paused(&self, now: i64) -> bool {
        self.paused_until > now
    }

    /// Its process, if it still is this incarnation.
    fn process_of(&mut self, incarnation: u64) -> Option<&mut Process> {
        self.process.as_mut().filter(|_| self.incarnation == incarnation)
    }

    /// Clears the connection state of an ended process.
    pub(super) fn clear_connections(&mut self) {
        self.peer_channels.clear();
        self.connect_attempts.clear();
        self.learned_addresses.clear();
        self.peer_addresses.clear();
    }
}

/// The address of a node.
pub(super) fn node_address(node: usize) -> String {
    format!("10.0.0.{node}")
}

impl Simulation {
    /// Adds a machine with an empty disk for a replica.
    pub(super) fn add_node(&mut self, replica: usize) -> usize {
        let (node, zone) = (self.nodes.len(), self.layout.replica_zones[replica]);
        let location = NodeLocation {
            node_id: Host::Node(node).to_string(),
            address: node_address(node),
            zone: zone_name(zone),
            region: self.layout.region_name(zone),
        };
        let clock = MonotonicClock {
            offset: self.rng.in_range(CLOCK_OFFSETS),
            drift: self.rng.in_range(-MAX_CLOCK_DRIFT..MAX_CLOCK_DRIFT + 1),
        };
        self.nodes.push(Node {
            location,
            replica,
            process: None,
            incarnation: 0,
            disk: Disk::new(self.layout.sync_duration.clone(), self.layout.loses_writes_independently),
            paused_until: 0,
            queued_events: Vec::new(),
            clock,
            peer_channels: BTreeMap::new(),
            bootstrap_addresses: Vec::new(),
            peer_addresses: BTreeMap::new(),
            connect_attempts: BTreeMap::new(),
            learned_addresses: BTreeMap::new(),
            shutdown_requested_at: None,
            restart_at: 0,
            is_replaced: false,
            last_listing: 0,
            scheduled_crash: None,
            replica_sets: BTreeMap::new(),
        });
        node
    }

    /// The time of a node's monotonic clock. Callers are about to run the node's process, so this also
    /// attributes subsequent log lines to it.
    pub(super) fn monotonic_time(&self, node: usize) -> Timestamp {
        logging::set_current_process(self.now, node);
        self.nodes[node].clock.now(self.now)
    }

    pub(super) fn is_lease_holder(&self, node: usize) -> bool {
        let process = self.nodes[node].process.as_ref();
        process.is_some_and(|process| process.is_lease_holder(self.monotonic_time(node)))
    }

    /// Whether a node's process acts as coordinator.
    pub(super) fn is_active_coordinator(&self, node: usize) -> bool {
        let process = self.nodes[node].process.as_ref();
        process.is_some_and(|process| process.is_active_coordinator(self.monotonic_time(node)))
    }

    /// A node's process, if it still is this incarnation.
    pub(super) fn process_of(&mut self, node: usize, incarnation: u64) -> Option<&mut Process> {
        self.nodes[node].process_of(incarnation)
    }

    /// Whether this incarnation of a node's process is still running.
    pub(super) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        let node = &self.nodes[node];
        node.incarnation == incarnation && node.process.is_some()
    }
}
