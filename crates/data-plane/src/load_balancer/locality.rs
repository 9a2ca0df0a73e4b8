//! Distance between this gateway and a backend's zone, and the price of it.

use kitepass_time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Round trip to another region, for a backend whose latency is not known.
const CROSS_REGION_LATENCY: Duration = Duration::from_micros(110_000);
/// Factor on the latency of a backend in another zone, for the price of traffic between zones.
const CROSS_ZONE_COST_FACTOR: f64 = 1.1;

/// Where this gateway stands, and the region of each zone.
pub(super) struct Locality {
    own_zone: Arc<str>,
    own_region: Arc<str>,
    regions: BTreeMap<String, String>,
}

impl Locality {
    pub(super) fn new(zone: &str, regions: &BTreeMap<String, String>) -> Locality {
        let own_region = regions.get(zone).map_or("", String::as_str).into();
        Locality { own_zone: zone.into(), own_region, regions: regions.clone() }
    }

    /// The region of a zone; empty for a zone that is not known.
    pub(super) fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }

    pub(super) fn is_own_zone(&self, zone: &str) -> bool {
        *zone == *self.own_zone
    }

    pub(super) fn is_in_own_region(&self, zone: &str) -> bool {
        *self.own_region == *self.region_of(zone)
    }

    /// Whether a zone stands in one of these regions; an empty set does not restrict.
    pub(super) fn is_within(&self, zone: &str, regions: &[Arc<str>]) -> bool {
        regions.is_empty() || regions.iter().any(|region| **region == *self.region_of(zone))
    }

    /// What the distance to a zone adds to a round trip.
    pub(super) fn extra_latency(&self, zone: &str) -> Duration {
        if self.is_in_own_region(zone) {
            Duration::ZERO
        } else {
            CROSS_REGION_LATENCY
        }
    }

    /// By what the latency of a backend in a zone is multiplied, for the price of the traffic.
    pub(super) fn zone_cost_factor(&self, zone: &str) -> f64 {
        if self.is_own_zone(zone) {
            1.0
        } else {
            CROSS_ZONE_COST_FACTOR
        }
    }
}
