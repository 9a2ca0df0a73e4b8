//! A backend, and the outcomes of attempts at it.

use super::ejection::Ejection;
use super::slow_start::GatewayRank;
use kitepass_config::Item;
use kitepass_time::{Duration, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;

/// Weight of the newest latency in the exponentially weighted moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Factor by which a rejection raises a backend's average latency.
pub(super) const REJECTION_LATENCY_FACTOR: f64 = 1.2;
/// Maximum slow start that the backend list may request, in milliseconds.
const MAX_SLOW_START_MS: i64 = 600_000;

/// How an attempt ended, as far as its backend is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend sent a valid response.
    Completed,
    /// The backend states that it did not execute the request, because it is full, is draining, or received the request
    /// after its deadline.
    Rejected,
    /// Another backend now uses the address.
    Misdirected,
    /// The backend failed, and may have executed the request.
    Failed,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke, delivered an invalid response, or took too long.
    Broken,
    /// The gateway or its client abandoned the attempt.
    Abandoned,
}

impl AttemptOutcome {
    /// Whether the backend states that it did not execute the request.
    pub fn states_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Misdirected)
    }
}

/// A backend that requests are forwarded to.
#[derive(Debug)]
pub struct Backend {
    /// Its id in the backend list.
    pub id: Arc<str>,
    /// The service that it provides.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: Arc<str>,
    /// Whether it accepts no new requests.
    pub(super) is_draining: bool,
    /// When its slow start ends.
    pub(super) warm_up_ends_at: Timestamp,
    /// Its average latency, as measured by this gateway.
    pub(super) latency: Option<Duration>,
    /// Attempts of this gateway in flight at the backend.
    pub(super) in_flight: u32,
    pub(super) ejection: Ejection,
    pub(super) last_slow_start_attempt: Option<Timestamp>,
    pub(super) gateway_rank: GatewayRank,
}

impl Backend {
    /// Parses an item of the backend list; none if the item is deleted or invalid.
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

    /// Returns whether the backend is in its slow start and can handle only few requests.
    pub(super) fn is_warming_up(&self, now: Timestamp) -> bool {
        self.warm_up_ends_at > now
    }
}

/// Updates a moving average with the newest latency.
pub(super) fn update_moving_average(average: &mut Duration, newest: Duration) {
    *average = *average + (newest - *average).mul_f64(LATENCY_EWMA_WEIGHT);
}
