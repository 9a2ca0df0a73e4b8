//! Slow start: limits the requests that all gateways together send to a backend that is warming up.
//!
//! Invariant: if every gateway sent a few requests, their sum would overload such a backend. So only a few gateways use
//! it. All gateways compute the same selection without communicating, from a hash of gateway and backend, and each of
//! the selected gateways keeps to its share of the rate that the backend can handle.

use super::Backend;
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The fraction of a warming-up backend's rate that is used.
const RATE_SAFETY_FACTOR: f64 = 0.5;
/// Maximum number of gateways that use a warming-up backend.
const MAX_GATEWAYS: usize = 3;
/// How long the backends of a readmitted zone count as warming up.
pub(super) const READMISSION_WARM_UP_TIME: Duration = Duration::from_micros(4_000_000);

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// How many gateways rank before this one for a backend, and the version of the gateway list for which that was
/// computed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GatewayRank {
    list_version: u64,
    better_ranked_gateways: usize,
}

/// The live gateways, and the rates of services.
pub(super) struct SlowStart {
    node_id: Arc<str>,
    live_gateways: Vec<String>,
    /// Counts changes of the list of live gateways, so that each rank is computed only once per list.
    list_version: u64,
    /// For each service, how many requests a second a backend can handle while it is warming up.
    rates: BTreeMap<Arc<str>, f64>,
}

impl SlowStart {
    pub(super) fn new(node_id: &str) -> SlowStart {
        SlowStart {
            node_id: node_id.into(),
            live_gateways: Vec::new(),
            list_version: 1,
            rates: BTreeMap::new(),
        }
    }

    pub(super) fn set_live_gateways(&mut self, node_ids: Vec<String>) {
        self.live_gateways = node_ids;
        self.list_version += 1;
    }

    pub(super) fn set_rates(&mut self, rates: impl Iterator<Item = (Arc<str>, f64)>) {
        self.rates = rates.collect();
    }

    /// Returns whether this gateway may send a request to a warming-up backend now.
    pub(super) fn allows(&self, now: Timestamp, backend: &Backend) -> bool {
        let rate = self.rates.get(&backend.service).copied().unwrap_or(0.0) * RATE_SAFETY_FACTOR;
        let gateways = (rate.floor() as usize).min(MAX_GATEWAYS);
        let rank = backend.gateway_rank;
        if gateways == 0 || self.live_gateways.is_empty() || rank.list_version != self.list_version {
            return false;
        }
        let min_gap_secs = gateways as f64 / rate;
        let is_gap_elapsed =
            backend.last_slow_start_attempt.is_none_or(|last| (now - last).as_secs() >= min_gap_secs);
        rank.better_ranked_gateways < gateways && is_gap_elapsed
    }

    /// Computes the rank of this gateway for a backend, once per list of live gateways.
    pub(super) fn rank(&self, backend: &mut Backend) {
        if backend.gateway_rank.list_version == self.list_version {
            return;
        }
        let own_hash = hash(&self.node_id, &backend.id);
        let is_preferred =
            |node_id: &&String| ***node_id != *self.node_id && hash(node_id, &backend.id) < own_hash;
        let better_ranked_gateways = self.live_gateways.iter().filter(is_preferred).count();
        backend.gateway_rank = GatewayRank { list_version: self.list_version, better_ranked_gateways };
    }
}

fn hash(node_id: &str, backend_id: &str) -> u64 {
    let bytes = node_id.bytes().chain(backend_id.bytes());
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
