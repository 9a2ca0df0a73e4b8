//! The platform's backends, and the coordinator's readings of their list.

use crate::deployment::{service_name, SERVICES, ZONES};
use crate::simulation::{Simulation, SECOND};
use kitepass_control_plane::endpoints;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Instant;

/// Entries on a page of the platform's list.
pub(crate) const PAGE_ENTRIES: usize = 50;
/// Time for which a draining backend is listed, microseconds.
const DRAINING_TIME: i64 = 5 * SECOND;

pub(crate) struct Backend {
    number: usize,
    service: usize,
    pub(crate) draining_since: Option<i64>,
    warm_at: i64,
}

impl Backend {
    fn zone(&self) -> &'static str {
        ZONES[self.number % ZONES.len()]
    }

    /// The backend's entry in the list.
    fn entry(&self, now: i64) -> Value {
        json!({
            "line": service_name(self.service),
            "district": self.zone(),
            "address": format!("10.9.{}.{}:8000", self.number / 250, self.number % 250),
            "edition": "v1",
            "berths": 6,
            "standing": if self.draining_since.is_some() { "closing" } else { "open" },
            "cold-left-ms": (self.warm_at - now).max(0) / 1000,
            "call-sign": format!("i-{:07x}", self.number),
        })
    }
}

impl Simulation {
    /// Starts a backend that warms up for this time, in microseconds.
    pub(crate) fn start_backend(&mut self, warm_up: i64) {
        let number = self.started_backends;
        self.started_backends += 1;
        let service = if number.is_multiple_of(10) { 0 } else { 1 + number % (SERVICES - 1) };
        let warm_at = self.now + warm_up;
        self.backends.push(Backend { number, service, draining_since: None, warm_at });
    }

    /// The coordinator, if there is one, reads the whole list.
    pub(crate) fn read_backends(&mut self) {
        let Some(coordinator) = self.coordinator() else { return };
        let now = self.now;
        self.backends
            .retain(|backend| backend.draining_since.is_none_or(|since| now - since < DRAINING_TIME));
        let pages: Vec<String> = self
            .backends
            .chunks(PAGE_ENTRIES)
            .enumerate()
            .map(|(n, page)| encode_page(n, page, now))
            .collect();
        self.list_bytes = pages.iter().map(|page| page.len() as f64).sum();
        let mut entries = Vec::new();
        let begun = Instant::now();
        for page in &pages {
            entries.extend(endpoints::parse_page(page.as_bytes()).expect("encoded here").endpoints);
        }
        self.nodes[coordinator].load.busy += begun.elapsed();
        self.call(coordinator, |state_machine, now| state_machine.endpoints_listed(now, entries));
    }
}

fn encode_page(number: usize, backends: &[Backend], now: i64) -> String {
    let mut zones: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for backend in backends {
        zones.entry(backend.zone()).or_default().push(backend.entry(now));
    }
    json!({"backends": zones, "next-token": format!("p-{number}")}).to_string()
}
