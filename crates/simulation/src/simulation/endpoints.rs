//! The platform's endpoint list, and how lease holders read it.

use super::events::Event;
use super::Simulation;
use crate::items::{service_name, SERVICE_COUNT};
use crate::scenario::{Layout, MILLISECOND};
use kitepass_control_plane::endpoints::Endpoint;

/// Number of endpoints in each zone.
const ENDPOINTS_PER_ZONE: usize = 2;
/// Time between two checks which processes are due to read the list.
const LISTING_CHECK_INTERVAL: i64 = 100 * MILLISECOND;
/// Interval at which a lease holder reads the list.
const LISTING_INTERVAL: i64 = 700 * MILLISECOND;
/// Probability in percent, at each check, that an endpoint starts or stops draining.
const DRAIN_PERCENT: u64 = 10;

/// The initial endpoint list.
pub(super) fn initial_endpoints(layout: &Layout) -> Vec<Endpoint> {
    let zones = layout.zone_names();
    let endpoint = |index: usize| Endpoint {
        backend_id: format!("b{index}"),
        service: service_name(index % SERVICE_COUNT),
        address: format!("10.2.0.{index}:80"),
        zone: zones[index % zones.len()].clone(),
        slots: 4,
        is_draining: false,
        warm_up_ms: 0,
    };
    (0..zones.len() * ENDPOINTS_PER_ZONE).map(endpoint).collect()
}

impl Simulation {
    /// Changes the endpoint list at random, and has lease holders read it when they are due.
    pub(super) fn list_endpoints(&mut self) {
        if self.now < self.active_until && self.rng.chance(DRAIN_PERCENT) {
            let endpoint_index = self.rng.below(self.endpoints.len());
            self.endpoints[endpoint_index].is_draining ^= true;
        }
        for node_index in 0..self.nodes.len() {
            self.list_endpoints_at(node_index);
        }
        self.schedule(self.now + LISTING_CHECK_INTERVAL, Event::ListEndpoints);
    }

    fn list_endpoints_at(&mut self, node_index: usize) {
        let now = self.monotonic_time(node_index);
        let node = &mut self.nodes[node_index];
        let is_due = self.now - node.last_listing >= LISTING_INTERVAL && !node.is_paused(self.now);
        let Some(process) = node.process.as_mut().filter(|process| is_due && process.is_lease_holder(now))
        else {
            return;
        };
        node.last_listing = self.now;
        process.endpoints_listed(now, self.endpoints.clone());
        self.after_event(node_index);
    }
}
