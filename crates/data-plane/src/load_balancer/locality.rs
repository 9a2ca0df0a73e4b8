//! The location of this gateway relative to the zones of backends, and what the distance costs.

use kitepass_time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Round-trip time to another region, for a backend without a measured latency.
const CROSS_REGION_LATENCY: Duration = Duration::from_micros(110_000);
/// Factor on the latency of a backend in another zone, which accounts for the price of traffic between zones.
const CROSS_ZONE_COST_FACTOR: f64 = 1.1;

/// The zone of this gateway, and the region of each zone.
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

    /// Returns the region of a zone, or an empty string for an unknown zone.
    pub(super) fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }

    pub(super) fn is_own_zone(&self, zone: &str) -> bool {
        *zone == *self.own_zone
    }

    pub(super) fn is_in_own_region(&self, zone: &str) -> bool {
        *self.own_region == *self.region_of(zone)
    }

    /// Returns whether a zone is in one of the given regions; an empty slice allows all.
    pub(super) fn is_within(&self, zone: &str, regions: &[Arc<str>]) -> bool {
        regions.is_empty() || regions.iter().any(|region| **region == *self.region_of(zone))
    }

    /// Returns the additional round-trip time to a zone.
    pub(super) fn extra_latency(&self, zone: &str) -> Duration {
        if self.is_in_own_region(zone) {
            Duration::ZERO
        } else {
            CROSS_REGION_LATENCY
        }
    }

    /// Returns the cost factor on the latency of a backend in a zone.
    pub(super) fn zone_cost_factor(&self, zone: &str) -> f64 {
        if self.is_own_zone(zone) {
            1.0
        } else {
            CROSS_ZONE_COST_FACTOR
        }
    }
}
