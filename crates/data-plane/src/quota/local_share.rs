//! A gateway's own share of a tenant's limit, used while the shared count does not answer: a token bucket.

use kitepass_coordination::usage::{QuotaTolerance, RateLimit};
use kitepass_time::{Duration, Timestamp};

/// The share that was told last is valid for so long, less than the count's owner reserves it; then every gateway has
/// an equal share.
const RESERVED_SHARE_VALIDITY: Duration = Duration::from_micros(8_000_000);
/// The fraction of the bucket that a gateway starts with: an earlier incarnation may have spent the rest.
const INITIAL_FILL_FRACTION: f64 = 0.25;
/// The fraction of the bucket that is there when the count has just stopped answering.
const ISOLATION_FILL_FRACTION: f64 = 0.1;

/// A gateway that does not reach the count.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    /// Since when.
    pub(super) since: Timestamp,
    /// Gateways that count as live.
    pub(super) live_gateways: f64,
    pub(super) tolerance: QuotaTolerance,
}

/// The share that the count's owner reserves for this gateway.
#[derive(Clone, Copy, Debug)]
struct ReservedShare {
    /// A fraction of the tenant's limit.
    fraction: f64,
    reserved_at: Timestamp,
}

/// The token bucket of a gateway's share.
#[derive(Debug)]
pub(super) struct LocalShare {
    tokens: f64,
    refilled_at: Timestamp,
    reserved_share: Option<ReservedShare>,
}

impl LocalShare {
    /// The share of a tenant that was not seen before: it may pass its limit over all gateways together.
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

    /// Takes the share that the count's owner told.
    pub(super) fn set_reserved_share(&mut self, now: Timestamp, fraction: f64) {
        self.reserved_share = Some(ReservedShare { fraction, reserved_at: now });
    }

    /// Takes one token, if there is one, out of a bucket that fills since this gateway is isolated.
    pub(super) fn try_take(&mut self, now: Timestamp, isolation: Isolation, rate_limit: RateLimit) -> bool {
        let reserved_share = self
            .reserved_share
            .filter(|reserved_share| now - reserved_share.reserved_at < RESERVED_SHARE_VALIDITY);
        let fraction =
            reserved_share.map_or(1.0 / isolation.live_gateways, |reserved_share| reserved_share.fraction);
        let capacity = (max_tokens(rate_limit, isolation.tolerance) * fraction).max(1.0);
        if self.refilled_at < isolation.since {
            // Invariant: what filled while the others used it is not given a second time; a tenth is within the
            // tolerance.
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

/// Tokens that the buckets of all gateways hold together at most.
fn max_tokens(rate_limit: RateLimit, tolerance: QuotaTolerance) -> f64 {
    rate_limit.burst + tolerance.allowance(rate_limit)
}
