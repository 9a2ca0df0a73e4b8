//! The interface between a gateway and its host: the configuration and events that the host passes in, and the [`Host`]
//! trait through which the gateway acts.

use kitepass_time::{Duration, Timestamp};
use std::rc::Rc;

/// Configuration of a gateway, fixed for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Number of gateways that serve the same tenants, including this one; at least 1.
    pub gateways: u32,
    /// This gateway's index among them, starting at 0.
    pub gateway_index: u32,
    /// The classes of requests, in the order of the settings.
    pub workloads: Vec<Workload>,
    /// The plans that tenants may have, in the order of the settings.
    pub plans: Vec<Rc<Plan>>,
    /// Timeout of a call to the counter service; `None` without a counter service.
    pub counter_timeout: Option<Duration>,
    /// Units of the largest request; at least 1.
    pub max_units: f64,
    /// Maximum number of attempts per request, including the first; at least 1.
    pub max_attempts: u32,
    /// Maximum number of peer messages that a gateway can receive per second; 0 if peers cannot be reached.
    pub max_peer_messages: f64,
    /// The longest retry delay that clients respect; `None` if rejections suggest no delay.
    pub max_retry_after: Option<Duration>,
    /// How backends gain capacity after they start.
    pub slow_start: SlowStart,
}

impl SlowStart {
    /// Lower bound of a backend's current fraction of its full capacity, from 0 to 1, given when it started; 1 for a
    /// backend without a recent start.
    pub fn capacity(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).ratio_to(self.ramp).max(0.0);
        (self.initial_capacity + (1.0 - self.initial_capacity) * age).min(1.0)
    }
}

/// How a backend gains capacity after it starts, and which load is too high for it until then.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Minimum fraction of its full capacity that a backend starts with, from 0 to 1.
    pub initial_capacity: f64,
    /// Time from its start until a backend reaches its full capacity.
    pub ramp: Duration,
    /// A backend fails if it is sent more than this multiple of its current capacity for the time `window`.
    pub multiple: f64,
    /// See `multiple`.
    pub window: Duration,
}

/// A class of requests: the value of a response, and its latency target.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name in requests and settings.
    pub name: String,
    /// Whether a request may be attempted again.
    pub idempotency: Idempotency,
    /// Time from a request's arrival within which it should be answered.
    pub latency_target: Duration,
    /// Fraction of `value` that a response after the latency target still has, from 0 to 1.
    pub late_value: f64,
    /// Value of a response within the latency target; the priority in an overload.
    pub value: f64,
}

/// The effect of repeating a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it on any backend is harmless.
    Idempotent,
    /// Backends in the same scope recognise the repetition and drop it.
    Deduplicated {
        /// The backends that recognise each other's requests.
        scope: Scope,
        /// Time from its first attempt for which they remember a request.
        window: Duration,
    },
    /// Repeating it may do harm, so the request is not retried.
    NonIdempotent,
}

impl Idempotency {
    /// Whether `candidate` shares the deduplication scope of `first`, the backend where a request may have run; always
    /// true without deduplication.
    pub fn covers(self, first: &BackendEntry, candidate: &BackendEntry) -> bool {
        match self {
            Idempotency::Deduplicated { scope: Scope::Zone, .. } => candidate.zone == first.zone,
            Idempotency::Deduplicated { scope: Scope::Cell, .. } => candidate.cell == first.cell,
            _ => true,
        }
    }
}

/// Set of backends that recognise each other's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// The quotas of each tenant that has this plan.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its name in requests and settings.
    pub name: String,
    /// Refill rate of a tenant's token bucket in units per second, over all gateways; 0 for no rate quota.
    pub rate: f64,
    /// Capacity of the token bucket in units.
    pub burst: f64,
    /// Maximum number of concurrent attempts per tenant; 0 for no such limit.
    pub max_in_flight: u32,
    /// Rate of the hard limit, which is never exceeded, in units per second; 0 for no hard limit.
    pub hard_rate: f64,
    /// Capacity of the hard limit's bucket in units.
    pub hard_burst: f64,
}

/// A backend as the endpoint list describes it.
#[derive(Clone, Debug, Default)]
pub struct BackendEntry {
    /// Its id.
    pub id: String,
    /// The zone where it runs.
    pub zone: String,
    /// The cell that it belongs to.
    pub cell: i64,
    /// Whether it accepts requests.
    pub status: BackendStatus,
    /// Its capacity relative to other backends; above 0.
    pub weight: f64,
    /// When it last started; `None` if that is unknown or long ago.
    pub started: Option<Timestamp>,
}

/// Whether a backend accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendStatus {
    /// It accepts requests.
    Live,
    /// It completes its requests and accepts no new ones.
    Draining,
    /// It no longer exists; kept only until its attempts have ended.
    #[default]
    Removed,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct IncomingRequest<'a> {
    /// Its id, unique among the requests in flight.
    pub id: &'a str,
    /// The tenant whose quota it uses.
    pub tenant: &'a str,
    /// Name of its workload.
    pub workload: &'a str,
    /// Name of its tenant's plan.
    pub plan: &'a str,
    /// When the client stops waiting for it.
    pub deadline: Timestamp,
    /// Its cost in units, possibly an estimate.
    pub units: f64,
    /// Number of gateways that receive this tenant's requests; 0 if unknown, which means all.
    pub gateways: u32,
    /// Index of the first of these gateways; the others follow it, modulo the total number of gateways.
    pub first_gateway: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend answered the request.
    Completed,
    /// The backend answered with a server error.
    Failed,
    /// The backend rejected the request without running it.
    Rejected,
    /// No response arrived before the timeout.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// The attempt was cancelled for a reason unrelated to the backend.
    Cancelled,
    /// The attempt was never written to a connection.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Id of the backend.
    pub backend: &'a str,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the client already has its final response.
    pub is_final: bool,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The request's actual cost in units, if the response reports it.
    pub actual_units: Option<f64>,
}

/// Usage by one tenant, in units of its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units of all requests that arrived, including rejected ones.
    pub offered: f64,
    /// Units that were taken from the token bucket.
    pub forwarded: f64,
}

impl Usage {
    /// Encodes both amounts as one number, as the counter service stores a single sum: `offered` times `factor`, plus
    /// `forwarded`. The factor must exceed the units that can be forwarded.
    pub fn packed(self, factor: f64) -> f64 {
        self.offered * factor + self.forwarded
    }

    /// Decodes a number from `packed`, or a sum of such numbers.
    pub fn unpacked(packed: f64, factor: f64) -> Usage {
        let offered = (packed / factor).round();
        Usage { offered, forwarded: packed - offered * factor }
    }

    /// Adds another usage to this one.
    pub fn add(&mut self, other: Usage) {
        self.offered += other.offered;
        self.forwarded += other.forwarded;
    }
}

/// A tenant's usage at one gateway since its last update, as sent to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageUpdate {
    /// Hash of the tenant's id.
    pub tenant_hash: u32,
    /// The usage since the last update.
    pub usage: Usage,
}

/// The quota that a request needs from its tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaRequest {
    /// The tenant's id.
    pub tenant: String,
    /// Index of the tenant's plan in [`GatewayConfig::plans`].
    pub plan: usize,
    /// Number of gateways that receive the tenant's requests; at least 1.
    pub gateways: u32,
    /// Cost of the request in units.
    pub units: f64,
}

/// The result of applying a tenant's drop ratio to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaDecision {
    /// Whether the request exceeds the quota and is to be dropped.
    pub exceeds: bool,
    /// The drop ratio that was applied, from 0 to 1.
    pub ratio: f64,
}

/// The result of a call to the counter service, which adds an amount to a sum and reads its total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// The total including the call's amount.
    Known(f64),
    /// The total of a call that was reported as `Unknown` before: the answer arrived after the timeout.
    Late(f64),
    /// No answer before the timeout, or an invalid one; the amount may have been added.
    Unknown,
    /// The amount was certainly not added.
    NotAdded,
}

impl Reading {
    /// The total, if it is known.
    pub fn total(self) -> Option<f64> {
        match self {
            Reading::Known(total) | Reading::Late(total) => Some(total),
            Reading::Unknown | Reading::NotAdded => None,
        }
    }
}

/// Carries out a gateway's actions, in the order of the calls.
pub trait Host {
    /// Sends a request to a backend; the attempt ends after `timeout` at the latest. The host reports the end through
    /// [`Gateway::attempt_ended`](crate::Gateway::attempt_ended).
    fn send_attempt(&mut self, request_id: &str, backend: &str, timeout: Duration);
    /// Rejects a request, with a suggested retry delay if there is one.
    fn reject(&mut self, request_id: &str, retry_after: Option<Duration>);
    /// Answers a request with an error: it may have run, and a retry might do harm.
    fn fail(&mut self, request_id: &str);
    /// Adds an amount to the named sum on the counter service, which keeps the sum for `ttl`. The host reports the
    /// result through [`Gateway::counter_answered`](crate::Gateway::counter_answered).
    fn add_to_counter(&mut self, name: &str, amount: f64, ttl: Duration);
    /// Sends usage updates to every peer, and returns the number of messages per peer. Messages may be delayed or lost.
    fn broadcast_usage(&mut self, updates: &[UsageUpdate]) -> usize;
    /// Asks a peer, a tenant's controller, for a decision; the message may be delayed or lost.
    fn ask_peer(&mut self, peer: u32, question_id: u16, quota: &QuotaRequest);
    /// Answers a peer's question; the message may be delayed or lost.
    fn answer_peer(&mut self, peer: u32, question_id: u16, decision: QuotaDecision);
    /// Sets a timer: the host calls [`Gateway::timer_fired`](crate::Gateway::timer_fired) with this token after the
    /// delay.
    fn set_timer(&mut self, token: &str, delay: Duration);
}
