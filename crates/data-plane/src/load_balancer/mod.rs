//! Selects the backend for an attempt. This module does no I/O.
//!
//! The cost of a backend is its average latency as measured by this gateway, including distance and queueing, scaled up
//! with the number of attempts in flight there. A few backends are drawn at random, mostly near ones, and the cheapest
//! of them is selected. The random draw keeps gateways with the same information from all choosing the same backend.

mod backend;
mod ejection;
mod locality;
mod slow_start;
#[cfg(test)]
mod tests;

pub use backend::{AttemptOutcome, Backend};

use kitepass_config::{Item, Kind};
use kitepass_time::{Duration, Timestamp};
use locality::Locality;
use slow_start::SlowStart;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Cost of each further attempt in flight at a backend, as a fraction of its latency.
const IN_FLIGHT_COST: f64 = 0.6;
/// Latency assumed for a service without any measurement.
const UNKNOWN_LATENCY: Duration = Duration::from_micros(100_000);
/// Cost of a new connection, in addition to its round trip.
const HANDSHAKE_COST: Duration = Duration::from_micros(20_000);
/// Number of draws among near backends with an idle connection.
const IDLE_DRAWS: usize = 2;
/// Number of draws among all near backends.
const NEAR_DRAWS: usize = 2;
/// Number of draws among all backends.
const ALL_DRAWS: usize = 1;
/// Random numbers taken for each selection, whether used or not, so that the random sequence does not depend on the
/// backends.
const DRAWS: usize = IDLE_DRAWS + NEAR_DRAWS + ALL_DRAWS;

/// The requirements of an attempt.
pub struct SelectionRequest<'a> {
    /// The service that the request is for.
    pub service: &'a Arc<str>,
    /// Sets of regions that each restrict the selection; an empty set does not restrict it.
    pub allowed_regions: [&'a [Arc<str>]; 2],
    /// Backends that have already been tried for this request.
    pub tried_backends: &'a [Arc<str>],
    /// Whether there is an idle connection to a backend. A new connection costs a round trip, and briefly occupies a
    /// connection slot of the backend.
    pub has_idle_connection: &'a dyn Fn(&Arc<str>) -> bool,
}

/// The backends that may take an attempt, grouped for the draw.
#[derive(Default)]
struct Candidates<'a> {
    idle: Vec<&'a Arc<str>>,
    near: Vec<&'a Arc<str>>,
    all: Vec<&'a Arc<str>>,
}

/// Selects backends by cost, from what this gateway knows of them.
pub struct LoadBalancer {
    backends: BTreeMap<Arc<str>, Backend>,
    /// Backend ids by service, in the order in which they became known.
    services: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Average latency of a service within the gateway's own zone.
    service_latencies: BTreeMap<Arc<str>, Duration>,
    locality: Locality,
    slow_start: SlowStart,
    evacuated_zones: BTreeSet<Arc<str>>,
    rng: oorandom::Rand64,
}

impl LoadBalancer {
    /// Creates a load balancer that knows no backends. `regions` has the region of each zone.
    pub fn new(seed: u64, node_id: &str, zone: &str, regions: &BTreeMap<String, String>) -> LoadBalancer {
        LoadBalancer {
            backends: BTreeMap::new(),
            services: BTreeMap::new(),
            service_latencies: BTreeMap::new(),
            locality: Locality::new(zone, regions),
            slow_start: SlowStart::new(node_id),
            evacuated_zones: BTreeSet::new(),
            rng: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    /// Sets the node ids of the live gateways, in order.
    pub fn set_live_gateways(&mut self, node_ids: Vec<String>) {
        self.slow_start.set_live_gateways(node_ids);
    }

    /// Sets, for each service, how many requests a second a backend can handle while it is warming up.
    pub fn set_slow_start_rates(&mut self, rates: impl Iterator<Item = (Arc<str>, f64)>) {
        self.slow_start.set_rates(rates);
    }

    /// Sets the zones that no attempt may go to.
    ///
    /// Invariant: a backend of a readmitted zone may have begun its slow start just before, and the backend list may
    /// report that late. So all backends of the zone count as warming up for a while.
    pub fn set_evacuated_zones(&mut self, now: Timestamp, zones: &BTreeSet<Arc<str>>) {
        let readmitted: BTreeSet<Arc<str>> = self.evacuated_zones.difference(zones).cloned().collect();
        for backend in self.backends.values_mut().filter(|backend| readmitted.contains(&backend.zone)) {
            backend.warm_up_ends_at = backend.warm_up_ends_at.max(now + slow_start::READMISSION_WARM_UP_TIME);
        }
        self.evacuated_zones = zones.clone();
    }

    /// Handles an item of the backend list: a backend that is new, changed or deleted.
    pub fn update_backend(&mut self, now: Timestamp, item: &Item) {
        if item.kind != Kind::Backend {
            return;
        }
        let Some(backend) = Backend::from_item(now, item) else {
            self.remove_backend(&item.name);
            return;
        };
        if let Some(known) = self.backends.get_mut(&item.name) {
            if known.address == backend.address && known.service == backend.service {
                known.is_draining = backend.is_draining;
                known.warm_up_ends_at = backend.warm_up_ends_at;
                return;
            }
            self.remove_backend(&item.name);
        }
        self.services.entry(backend.service.clone()).or_default().push(item.name.clone());
        self.backends.insert(item.name.clone(), backend);
    }

    fn remove_backend(&mut self, backend_id: &Arc<str>) {
        let Some(backend) = self.backends.remove(backend_id) else { return };
        if let Some(backend_ids) = self.services.get_mut(&backend.service) {
            backend_ids.retain(|other| other != backend_id);
        }
    }

    /// Returns a backend by its id.
    pub fn get(&self, backend_id: &str) -> Option<&Backend> {
        self.backends.get(backend_id)
    }

    /// Returns the number of known backends.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns whether no backend is known.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Returns the region of a zone, or an empty string for a zone that the settings do not name.
    pub fn region_of(&self, zone: &str) -> &str {
        self.locality.region_of(zone)
    }

    /// Returns the average latency of a service within the gateway's own zone.
    pub fn service_latency(&self, service: &str) -> Duration {
        self.service_latencies.get(service).copied().unwrap_or(UNKNOWN_LATENCY)
    }

    /// Returns whether the backend is eligible for an attempt at all.
    fn is_eligible(&self, backend: &Backend, request: &SelectionRequest) -> bool {
        !backend.is_draining
            && !self.evacuated_zones.contains(&backend.zone)
            && !request.tried_backends.contains(&backend.id)
            && request.allowed_regions.iter().all(|regions| self.locality.is_within(&backend.zone, regions))
    }

    /// Returns the expected cost of another attempt at a backend, in seconds.
    fn cost(&self, now: Timestamp, backend: &Backend, has_idle_connection: bool) -> f64 {
        let extra_latency = self.locality.extra_latency(&backend.zone);
        let latency =
            backend.latency.unwrap_or_else(|| self.service_latency(&backend.service) + extra_latency);
        let load = 1.0 + IN_FLIGHT_COST * f64::from(backend.in_flight);
        let zone_cost_factor = self.locality.zone_cost_factor(&backend.zone);
        let connect_time = if has_idle_connection { Duration::ZERO } else { HANDSHAKE_COST + extra_latency };
        latency.as_secs() * load * zone_cost_factor + connect_time.as_secs() + backend.ejection.cost(now)
    }

    /// Selects a backend for an attempt, which counts as in flight there from now on.
    pub fn select(&mut self, now: Timestamp, request: &SelectionRequest) -> Option<Arc<str>> {
        self.rank_for_slow_start(now, request.service);
        let draws: [u64; DRAWS] = std::array::from_fn(|_| self.rng.rand_u64());
        let candidates = self.candidates(now, request)?;
        let cost = |backend_id: &Arc<str>| {
            self.cost(now, &self.backends[backend_id], (request.has_idle_connection)(backend_id))
        };
        let drawn = candidates.draw(&draws);
        let selected = drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?.clone();
        let backend = self.backends.get_mut(&selected)?;
        backend.in_flight += 1;
        if backend.is_warming_up(now) {
            backend.last_slow_start_attempt = Some(now);
        }
        Some(selected)
    }

    /// Returns the backends that may take an attempt now, or none if the service is unknown.
    fn candidates(&self, now: Timestamp, request: &SelectionRequest) -> Option<Candidates<'_>> {
        let mut candidates = Candidates::default();
        for backend_id in self.services.get(request.service)? {
            let backend = &self.backends[backend_id];
            let is_slow_start_limited = backend.is_warming_up(now) && !self.slow_start.allows(now, backend);
            if !self.is_eligible(backend, request) || is_slow_start_limited {
                continue;
            }
            candidates.all.push(backend_id);
            if self.locality.is_in_own_region(&backend.zone) && !backend.ejection.is_active(now) {
                candidates.near.push(backend_id);
                if (request.has_idle_connection)(backend_id) {
                    candidates.idle.push(backend_id);
                }
            }
        }
        // Ejected backends are tried only if there are no others.
        let is_ejected = |backend_id: &Arc<str>| self.backends[backend_id].ejection.is_active(now);
        if candidates.all.iter().any(|backend_id| !is_ejected(backend_id)) {
            candidates.all.retain(|backend_id| !is_ejected(backend_id));
        }
        Some(candidates)
    }

    /// Determines, for each warming-up backend of a service, whether this gateway is one of the few that may use it.
    fn rank_for_slow_start(&mut self, now: Timestamp, service: &Arc<str>) {
        for backend_id in self.services.get(service).into_iter().flatten() {
            let Some(backend) = self.backends.get_mut(backend_id) else { continue };
            if backend.is_warming_up(now) {
                self.slow_start.rank(backend);
            }
        }
    }

    /// Records that an attempt at a backend has ended, `elapsed` after it began.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        backend_id: &str,
        outcome: AttemptOutcome,
        elapsed: Duration,
    ) {
        let Some(backend) = self.backends.get_mut(backend_id) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        backend.ejection.attempt_ended(now, outcome);
        match outcome {
            AttemptOutcome::Completed => {
                backend::update_moving_average(backend.latency.get_or_insert(elapsed), elapsed);
                if self.locality.is_own_zone(&backend.zone) {
                    let service = backend.service.clone();
                    backend::update_moving_average(
                        self.service_latencies.entry(service).or_insert(elapsed),
                        elapsed,
                    );
                }
            }
            AttemptOutcome::Rejected => {
                if let Some(latency) = &mut backend.latency {
                    *latency = latency.mul_f64(backend::REJECTION_LATENCY_FACTOR);
                }
            }
            AttemptOutcome::Misdirected
            | AttemptOutcome::Failed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken
            | AttemptOutcome::Abandoned => {}
        }
    }

    /// Records that an attempt at a backend is overdue. It is still in flight there.
    pub fn record_overdue_attempt(&mut self, now: Timestamp, backend_id: &str) {
        if let Some(backend) = self.backends.get_mut(backend_id) {
            backend.ejection.attempt_ended(now, AttemptOutcome::Broken);
        }
    }

    /// Records that a backend announced in a response that it closes its connections.
    pub fn record_connection_close(&mut self, now: Timestamp, backend_id: &str) {
        if let Some(backend) = self.backends.get_mut(backend_id) {
            backend.ejection.record_connection_close(now);
        }
    }
}

impl<'a> Candidates<'a> {
    /// Draws from the idle, the near and all candidates. If there are no near candidates, their draws are made from all
    /// candidates instead.
    fn draw(&self, draws: &[u64]) -> Vec<&'a Arc<str>> {
        let all_draws = if self.near.is_empty() { NEAR_DRAWS + ALL_DRAWS } else { ALL_DRAWS };
        let mut draws = draws.iter();
        let mut drawn = Vec::new();
        for (group, times) in [(&self.idle, IDLE_DRAWS), (&self.near, NEAR_DRAWS), (&self.all, all_draws)] {
            for _ in 0..times.min(group.len()) {
                let draw = draws.next().copied().unwrap_or_default();
                drawn.push(group[(draw % group.len() as u64) as usize]);
            }
        }
        drawn
    }
}
