//! A backend, and what the outcome of an attempt says of it.

use super::ejection::Ejection;
use super::slow_start::GatewayRank;
use kitepass_config::Item;
use kitepass_time::{Duration, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;

/// Weight of the newest latency in a moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// By what a rejection lengthens a backend's usual latency.
pub(super) const REJECTION_LATENCY_FACTOR: f64 = 1.2;
/// Longest slow start that the backend list may ask for, in milliseconds.
const MAX_SLOW_START_MS: i64 = 600_000;

/// How an attempt ended, as far as its backend is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It brought a response of the backend's own.
    Completed,
    /// The backend says that it did not execute the request: full, draining, or past its deadline there.
    Rejected,
    /// Another backend has the address now.
    Misdirected,
    /// The backend failed, and may have executed the request.
    Failed,
    /// The connection was never established.
    Unreachable,
    /// The connection broke, brought an invalid response, or elapsed too long.
    Broken,
    /// This gateway or its client gave it up.
    Abandoned,
}

/// A backend.
#[derive(Debug)]
pub struct Backend {
    /// Its id in the backend list.
    pub id: Arc<str>,
    /// The service that it provides.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone that it stands in.
    pub zone: Arc<str>,
    /// Whether it takes no new requests.
    pub(super) is_draining: bool,
    /// When its slow start is over.
    pub(super) warm_up_ends_at: Timestamp,
    /// Its usual latency as seen from here.
    pub(super) latency: Option<Duration>,
    /// Attempts of this gateway at it.
    pub(super) in_flight: u32,
    pub(super) ejection: Ejection,
    pub(super) last_slow_start_attempt: Option<Timestamp>,
    pub(super) gateway_rank: GatewayRank,
}

impl Backend {
    /// A backend as an item of the backend list describes it; none if the item is deleted or cannot be read.
    pub(super) fn from_item(now: Timestamp, item: &Item) -> Option<Backend> {
        let value: serde_json::Value = serde_json::from_slice(item.value.as_deref()?).ok()?;
        let text = |name: &str| value[name].as_str();
        let address = text("address")?.parse().ok()?;
        let slow_start_ms = value["cold-ms"].as_i64().unwrap_or(0).clamp(0, MAX_SLOW_START_MS);
        let slow_start = Duration::from_micros(slow_start_ms * 1000);
        Some(Backend {
            id: item.name.clone(),
            service: text("line")?.into(),
            address,
            zone: text("district")?.into(),
            is_draining: value["closing"].as_bool().unwrap_or(false),
            warm_up_ends_at: if slow_start > Duration::ZERO {
                now + slow_start
            } else {
                Timestamp::default()
            },
            latency: None,
            in_flight: 0,
            ejection: Ejection::default(),
            last_slow_start_attempt: None,
            gateway_rank: GatewayRank::default(),
        })
    }

    /// Whether it is in its slow start, and bears few requests only.
    pub(super) fn is_warming_up(&self, now: Timestamp) -> bool {
        self.warm_up_ends_at > now
    }
}

/// Takes a latency into a moving average.
pub(super) fn update_moving_average(average: &mut Duration, newest: Duration) {
    *average = *average + (newest - *average).mul_f64(LATENCY_EWMA_WEIGHT);
}
