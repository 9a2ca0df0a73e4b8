//! A gateway's local share of a tenant's rate limit: a token bucket that is used while the coordinator does not reply.

use kitepass_coordination::usage::{QuotaTolerance, RateLimit};
use kitepass_time::{Duration, Timestamp};

/// How long the last share received from the coordinator is valid, which is shorter than the coordinator reserves it.
/// Afterwards every gateway uses an equal share.
const RESERVED_SHARE_VALIDITY: Duration = Duration::from_micros(8_000_000);
/// The fraction of the bucket that a new gateway process starts with, because its predecessor may have used the rest.
const INITIAL_FILL_FRACTION: f64 = 0.25;
/// The fraction of the bucket that is available when the coordinator has just stopped replying.
const ISOLATION_FILL_FRACTION: f64 = 0.1;

/// The state of a gateway that gets no replies from the coordinator.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    /// When it began.
    pub(super) since: Timestamp,
    /// The number of live gateways.
    pub(super) live_gateways: f64,
    pub(super) tolerance: QuotaTolerance,
}

/// The share that the coordinator reserves for this gateway.
#[derive(Clone, Copy, Debug)]
struct ReservedShare {
    /// The share, as a fraction of the tenant's rate limit.
    fraction: f64,
    reserved_at: Timestamp,
}

/// The token bucket for the gateway's share.
#[derive(Debug)]
pub(super) struct LocalShare {
    tokens: f64,
    refilled_at: Timestamp,
    reserved_share: Option<ReservedShare>,
}

impl LocalShare {
    /// Creates the share of a new tenant. Each gateway starts with at least one token, so over all gateways
    /// together the tenant may exceed its limit.
    pub(super) fn new(
        now: Timestamp,
        rate_limit: RateLimit,
        tolerance: QuotaTolerance,
        live_gateways: usize,
    ) -> LocalShare {
        let capacity = (max_tokens(rate_limit, tolerance) / live_gateways as f64).max(1.0);
        let tokens = (INITIAL_FILL_FRACTION * capacity).max(1.0);
        LocalShare { tokens, refilled_at: now, reserved_share: None }
    }

    /// Sets the share received from the coordinator.
    pub(super) fn set_reserved_share(&mut self, now: Timestamp, fraction: f64) {
        self.reserved_share = Some(ReservedShare { fraction, reserved_at: now });
    }

    /// Takes a token if there is one, from a bucket that is refilled from the time when the gateway became isolated.
    pub(super) fn try_take(&mut self, now: Timestamp, isolation: Isolation, rate_limit: RateLimit) -> bool {
        let reserved_share = self
            .reserved_share
            .filter(|reserved_share| now - reserved_share.reserved_at < RESERVED_SHARE_VALIDITY);
        let fraction =
            reserved_share.map_or(1.0 / isolation.live_gateways, |reserved_share| reserved_share.fraction);
        let capacity = (max_tokens(rate_limit, isolation.tolerance) * fraction).max(1.0);
        if self.refilled_at < isolation.since {
            // Invariant: what was refilled while other gateways could use it is not granted a second time. The
            // tolerance covers the fraction that the bucket starts with.
            self.tokens = ISOLATION_FILL_FRACTION * capacity;
            self.refilled_at = isolation.since;
        }
        let elapsed = (now - self.refilled_at).as_secs();
        self.refilled_at = now;
        self.tokens = (self.tokens + rate_limit.rate * fraction * elapsed).min(capacity);
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}

/// Returns the maximum number of tokens in the buckets of all gateways together.
fn max_tokens(rate_limit: RateLimit, tolerance: QuotaTolerance) -> f64 {
    rate_limit.burst + tolerance.allowance(rate_limit)
}
