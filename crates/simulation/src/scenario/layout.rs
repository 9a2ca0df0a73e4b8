//! The machines of a simulation, and what lies between them.

use crate::rng::Rng;
use std::ops::Range;

/// Latencies between zones of which one is drawn, in microseconds: a building, a city, a continent.
const LINK_DELAYS: [i64; 3] = [200, 900, 55_000];
/// Jitters of which one is drawn, in microseconds.
const LINK_JITTERS: [i64; 3] = [500, 5_000, 60_000];
/// Durations of a sync of which one is drawn, in microseconds.
const SYNC_DURATIONS: [Range<i64>; 2] = [300..4_000, 1_000..20_000];
/// Addresses that each process knows at first.
const MAX_INITIAL_REPLICAS: usize = 3;

/// Which machines there are, and what lies between them. Replicas are positions: a machine that is replaced leaves its
/// position to its successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The zone of each replica.
    pub replica_zones: Vec<usize>,
    /// The region of each zone.
    pub zone_regions: Vec<usize>,
    /// How many gateways there are; they are spread over the zones.
    pub gateway_count: usize,
    /// Replicas whose addresses every process knows at first; the first of them founds the system.
    pub initial_replicas: Vec<usize>,
    /// Latency between two zones, one way, in microseconds.
    pub link_delay: i64,
    /// Up to so much is drawn for each message in addition, in microseconds.
    pub link_jitter: i64,
    /// Microseconds that a sync of a disk takes.
    pub sync_duration: Range<i64>,
    /// Each unsynced write survives a loss of power independently of those before it.
    pub loses_writes_independently: bool,
}

/// What machines lose at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    /// One replica.
    Replica,
    /// All replicas of a zone.
    Zone,
    /// All replicas of a region.
    Region,
}

/// Which way a partition goes, seen from the side that is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Both ways.
    Both,
    /// Nobody hears it.
    Outgoing,
    /// It hears nobody.
    Incoming,
}

impl Layout {
    /// Six replicas, two in each of three regions, each in a zone of its own.
    pub fn six_replicas() -> Layout {
        Layout {
            replica_zones: vec![0, 1, 2, 3, 4, 5],
            zone_regions: vec![0, 0, 1, 1, 2, 2],
            gateway_count: 6,
            initial_replicas: vec![0, 2, 4],
            link_delay: 900,
            link_jitter: 2_000,
            sync_duration: 300..4_000,
            loses_writes_independently: false,
        }
    }

    /// Draws six replicas as above, with another latency.
    pub(super) fn draw_six_replicas(rng: &mut Rng) -> Layout {
        Layout { link_delay: LINK_DELAYS[rng.below(LINK_DELAYS.len())], ..Layout::six_replicas() }
    }

    /// Draws three to nine replicas in one to three regions and two to six zones.
    pub(super) fn draw(rng: &mut Rng) -> Layout {
        let replicas = rng.in_range(3..10) as usize;
        let regions = rng.in_range(1..4) as usize;
        let zones = rng.in_range(regions.max(2) as i64..replicas.min(6) as i64 + 1) as usize;
        // Each region has a zone and each zone a replica; the others are drawn.
        let zone_regions = distribute(zones, regions, rng);
        let mut replica_zones = distribute(replicas, zones, rng);
        replica_zones.sort();
        let mut initial_replicas: Vec<usize> = (0..replicas).collect();
        while initial_replicas.len() > MAX_INITIAL_REPLICAS {
            initial_replicas.remove(rng.below(initial_replicas.len()));
        }
        // Invariant: the order of the draws is part of what a seed means.
        let gateway_count = rng.in_range(2..9) as usize;
        let link_delay = LINK_DELAYS[rng.below(LINK_DELAYS.len())];
        let link_jitter = LINK_JITTERS[rng.below(LINK_JITTERS.len())];
        let sync_duration = SYNC_DURATIONS[rng.below(SYNC_DURATIONS.len())].clone();
        Layout {
            replica_zones,
            zone_regions,
            gateway_count,
            initial_replicas,
            link_delay,
            link_jitter,
            sync_duration,
            loses_writes_independently: false,
        }
    }

    /// How many replicas there are.
    pub fn replica_count(&self) -> usize {
        self.replica_zones.len()
    }

    /// How many replicas are a majority.
    pub fn majority(&self) -> usize {
        self.replica_count() / 2 + 1
    }

    /// The zone of a gateway.
    pub fn gateway_zone(&self, gateway: usize) -> usize {
        gateway % self.zone_regions.len()
    }

    /// The replicas in the same failure domain as this one.
    pub fn replicas_in(&self, domain: FailureDomain, replica: usize) -> Vec<usize> {
        let zone = self.replica_zones[replica];
        let region = self.zone_regions[zone];
        let is_within = |other: &usize| match domain {
            FailureDomain::Replica => *other == replica,
            FailureDomain::Zone => self.replica_zones[*other] == zone,
            FailureDomain::Region => self.zone_regions[self.replica_zones[*other]] == region,
        };
        (0..self.replica_count()).filter(is_within).collect()
    }

    /// The names of all zones.
    pub fn zone_names(&self) -> Vec<String> {
        (0..self.zone_regions.len()).map(zone_name).collect()
    }

    /// The name of a zone's region.
    pub fn region_name(&self, zone: usize) -> String {
        format!("p{}", self.zone_regions[zone])
    }
}

/// A zone's name.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Draws a container for each thing, so that no container is empty.
fn distribute(count: usize, groups: usize, rng: &mut Rng) -> Vec<usize> {
    (0..count).map(|index| if index < groups { index } else { rng.below(groups) }).collect()
}
