//! Slow start: a backend that is warming up gets few requests from all gateways together.
//!
//! Invariant: many gateways, each with a little, would overload such a backend. So only a few of them use it, which
//! all gateways choose alike without any exchange, by a hash of gateway and backend; each of the few keeps to its
//! share of the rate that the backend bears.

use super::Backend;
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The fraction of the rate that a warming-up backend bears that is used.
const RATE_SAFETY_FACTOR: f64 = 0.5;
/// Gateways that use a warming-up backend at most.
const MAX_GATEWAYS: usize = 3;
/// Backends of a zone that is readmitted count as warming up for so long.
pub(super) const READMISSION_WARM_UP_TIME: Duration = Duration::from_micros(4_000_000);

/// FNV-1a, 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// How many gateways are preferred to this one for a backend, and for which list of gateways that holds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GatewayRank {
    list_version: u64,
    better_ranked_gateways: usize,
}

/// What this gateway knows of the others, and the rates of services.
pub(super) struct SlowStart {
    node_id: Arc<str>,
    live_gateways: Vec<String>,
    /// Counts the lists of live gateways, so that a rank is computed once for each.
    list_version: u64,
    /// Requests a second that a warming-up backend of a service bears.
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

    /// Whether this gateway may send a request to a warming-up backend now.
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

    /// Ranks this gateway among all for a backend, once for each list of live gateways.
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
