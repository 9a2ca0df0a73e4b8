//! The machines of a simulation and the network between them.

use crate::rng::Rng;
use std::collections::BTreeSet;
use std::ops::Range;

/// One-way latencies between zones that a layout can draw, in microseconds: within a building, a city and a
/// continent.
const LINK_DELAYS: [i64; 3] = [200, 900, 55_000];
/// Latency jitters that a layout can draw, in microseconds.
const LINK_JITTERS: [i64; 3] = [500, 5_000, 60_000];
/// Ranges of disk sync durations that a layout can draw, in microseconds.
const SYNC_DURATIONS: [Range<i64>; 2] = [300..4_000, 1_000..20_000];
/// Number of replica addresses that each process is configured with.
const MAX_INITIAL_REPLICAS: usize = 3;

/// The machines of a simulation and the network between them. A replica is a position: when a machine is
/// replaced, the new machine takes over its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The zone of each replica.
    pub replica_zones: Vec<usize>,
    /// The region of each zone.
    pub zone_regions: Vec<usize>,
    /// The number of gateways, which are assigned to the zones in turn.
    pub gateway_count: usize,
    /// The replicas whose addresses every process is configured with. The first one bootstraps the system.
    pub initial_replicas: Vec<usize>,
    /// One-way latency between two zones, in microseconds.
    pub link_delay: i64,
    /// Upper bound of the random jitter that is added to each message's latency, in microseconds.
    pub link_jitter: i64,
    /// Range of a disk sync's duration, in microseconds.
    pub sync_duration: Range<i64>,
    /// Whether each unsynced write survives a power loss independently of the writes before it.
    pub loses_writes_independently: bool,
}

/// A group of machines that fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    /// One replica.
    Replica,
    /// All replicas of a zone.
    Zone,
    /// All replicas of a region.
    Region,
}

/// The direction in which a partition blocks messages, as seen from the partitioned side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Both directions.
    Both,
    /// Messages sent by the partitioned side are blocked.
    Outgoing,
    /// Messages to the partitioned side are blocked.
    Incoming,
}

impl Layout {
    /// Six replicas in three regions, each in its own zone.
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

    /// [`Layout::six_replicas`] with a random link latency.
    pub(super) fn draw_six_replicas(rng: &mut Rng) -> Layout {
        Layout { link_delay: LINK_DELAYS[rng.below(LINK_DELAYS.len())], ..Layout::six_replicas() }
    }

    /// Draws three to nine replicas in one to three regions and two to six zones.
    pub(super) fn draw(rng: &mut Rng) -> Layout {
        let replicas = rng.in_range(3..10) as usize;
        let regions = rng.in_range(1..4) as usize;
        let zones = rng.in_range(regions.max(2) as i64..replicas.min(6) as i64 + 1) as usize;
        // Each region gets at least one zone and each zone at least one replica; the rest are assigned at
        // random.
        let zone_regions = distribute(zones, regions, rng);
        let mut replica_zones = distribute(replicas, zones, rng);
        replica_zones.sort();
        let mut initial_replicas: Vec<usize> = (0..replicas).collect();
        while initial_replicas.len() > MAX_INITIAL_REPLICAS {
            initial_replicas.remove(rng.below(initial_replicas.len()));
        }
        // Invariant: the order of the draws determines what a seed generates, so it must not change.
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

    /// The number of replicas.
    pub fn replica_count(&self) -> usize {
        self.replica_zones.len()
    }

    /// The number of replicas that form a majority.
    pub fn majority(&self) -> usize {
        self.replica_count() / 2 + 1
    }

    /// The zone of a gateway.
    pub fn gateway_zone(&self, gateway: usize) -> usize {
        gateway % self.zone_regions.len()
    }

    /// Whether replicas would still be in several zones, and in several regions, if they are now, with one of them in
    /// another zone.
    pub fn stays_spread(&self, replica: usize, zone: usize) -> bool {
        let mut moved = self.replica_zones.clone();
        moved[replica] = zone;
        let count = |zones: &[usize], domain: &dyn Fn(usize) -> usize| {
            zones.iter().map(|zone| domain(*zone)).collect::<BTreeSet<usize>>().len()
        };
        let stays = |domain: &dyn Fn(usize) -> usize| {
            count(&self.replica_zones, domain) < 2 || count(&moved, domain) > 1
        };
        stays(&|zone| zone) && stays(&|zone| self.zone_regions[zone])
    }

    /// The replicas in the same failure domain as the given one.
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

/// The name of a zone.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Assigns each of `count` elements to a group. The first ones fill each group once, so that none stays
/// empty; the rest are assigned at random.
fn distribute(count: usize, groups: usize, rng: &mut Rng) -> Vec<usize> {
    (0..count).map(|index| if index < groups { index } else { rng.below(groups) }).collect()
}
