//! The border between a gateway's decisions and its host: the configuration and events that the host passes in, and
//! the [`Host`] trait, through which the gateway acts.

use kitepass_time::{Duration, Timestamp};
use std::rc::Rc;

/// Configuration of a gateway, fixed for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// How many gateways serve the same tenants, this one included; at least 1.
    pub gateways: u32,
    /// This gateway's index among them, from 0.
    pub gateway_index: u32,
    /// The kinds of requests, in the order of the settings.
    pub workloads: Vec<Workload>,
    /// The quotas that tenants may have, in the order of the settings.
    pub plans: Vec<Rc<Plan>>,
    /// How long a call to the counter service may take; none where there is no counter service.
    pub counter_timeout: Option<Duration>,
    /// Units of the largest request; at least 1.
    pub max_units: f64,
    /// How many attempts a request may have, the first included; at least 1.
    pub max_attempts: u32,
    /// How many messages from peers a gateway can take in per second; 0 where peers cannot be reached.
    pub max_peer_messages: f64,
    /// The longest retry delay that clients respect; none if rejections advise no delay.
    pub max_retry_after: Option<Duration>,
    /// How backends warm up after their start.
    pub slow_start: SlowStart,
}

impl SlowStart {
    /// The share of its full capacity that a backend which started then has by now at least, from 0 to 1; 1 for a
    /// backend without a recent start.
    pub fn capacity(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).ratio_to(self.ramp).max(0.0);
        (self.initial_capacity + (1.0 - self.initial_capacity) * age).min(1.0)
    }
}

/// How a backend warms up after its start, and what overloads it meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// The share of its full capacity that a backend starts with at least, from 0 to 1.
    pub initial_capacity: f64,
    /// Time from its start until a backend has its full capacity.
    pub ramp: Duration,
    /// A backend that is sent more than this multiple of its present capacity for `window` fails.
    pub multiple: f64,
    /// See `multiple`.
    pub window: Duration,
}

/// A kind of requests: what an answer is worth, and by when.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name in requests and settings.
    pub name: String,
    /// Whether a request may be attempted again.
    pub idempotency: Idempotency,
    /// Time from a request's arrival by which it should be answered.
    pub latency_target: Duration,
    /// Share of the value that an answer after the latency target still has, from 0 to 1.
    pub late_value: f64,
    /// Value of an answer within the latency target; a priority weight in an overload.
    pub value: f64,
}

/// What a second attempt of a request that may have run already would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It is harmless at any backend.
    Idempotent,
    /// The backends of one group recognise the repetition and drop it.
    Deduplicated {
        /// Which backends remember one another's requests.
        group: Group,
        /// How long they remember a request, from its first attempt.
        memory: Duration,
    },
    /// It may do harm: the request is not attempted again.
    NonIdempotent,
}

impl Idempotency {
    /// Whether the backend `here` may have a request that may have run at the backend `ran`: it would drop the
    /// repetition, or the kind of request doesn't depend on it.
    pub fn dedups(self, ran: &BackendEntry, here: &BackendEntry) -> bool {
        match self {
            Idempotency::Deduplicated { group: Group::Zone, .. } => here.zone == ran.zone,
            Idempotency::Deduplicated { group: Group::Cell, .. } => here.cell == ran.cell,
            _ => true,
        }
    }
}

/// Which backends remember one another's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All backends.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// The quotas of the tenants that have this plan.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its name in requests and settings.
    pub name: String,
    /// Units per second that refill a tenant's token bucket, over all gateways; 0 for no such quota.
    pub rate: f64,
    /// Units that the token bucket holds.
    pub burst: f64,
    /// Attempts that a tenant may have in flight at once; 0 for no such quota.
    pub max_in_flight: u32,
    /// Units per second of the hard limit, which is never exceeded; 0 for no hard limit.
    pub hard_rate: f64,
    /// Units that the hard limit's bucket holds.
    pub hard_burst: f64,
}

/// A backend as the endpoint list describes it.
#[derive(Clone, Debug, Default)]
pub struct BackendEntry {
    /// Its id.
    pub id: String,
    /// The zone that it stands in.
    pub zone: String,
    /// The cell that it belongs to.
    pub cell: i64,
    /// Whether it takes requests.
    pub status: BackendStatus,
    /// Its capacity relative to other backends; above 0.
    pub weight: f64,
    /// When it last started; none if that is unknown or long ago.
    pub started: Option<Timestamp>,
}

/// Whether a backend takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendStatus {
    /// It takes requests.
    Live,
    /// It completes what it has and takes no new requests.
    Draining,
    /// It is gone; kept only until its attempts have ended.
    #[default]
    Removed,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct IncomingRequest<'a> {
    /// Its id, unique among the requests in flight.
    pub id: &'a str,
    /// The tenant whose quota it draws on.
    pub tenant: &'a str,
    /// Name of its workload.
    pub workload: &'a str,
    /// Name of its tenant's plan.
    pub plan: &'a str,
    /// When the client gives it up.
    pub deadline: Timestamp,
    /// Units that it costs, possibly an estimate.
    pub units: f64,
    /// Through how many gateways this tenant's requests come; 0 if unknown, which counts as all.
    pub gateways: u32,
    /// Index of the first of these gateways; the others follow it, modulo the number of all gateways.
    pub first_gateway: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend answered the request.
    Completed,
    /// The backend answered with an error of its own.
    Failed,
    /// The backend refused the request without running it.
    Rejected,
    /// No answer came in the time allowed.
    TimedOut,
    /// No connection was made.
    Unreachable,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// The attempt was abandoned for a reason that says nothing of the backend.
    Cancelled,
    /// The attempt was never put on a connection.
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
    /// The request that it was an attempt of.
    pub request_id: &'a str,
    /// Id of the backend that it went to.
    pub backend: &'a str,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the client has its final answer already.
    pub is_final: bool,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The units that the request really cost, where its answer says so.
    pub actual_units: Option<f64>,
}

/// Usage of one tenant, in its quota's units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Units {
    /// Units of all requests that arrived, rejected ones included.
    pub offered: f64,
    /// Units of these that were taken out of the token bucket.
    pub forwarded: f64,
}

impl Units {
    /// Both amounts in one number, as the counter service adds up a single one: `offered` times `factor`, plus
    /// `forwarded`. The factor has to exceed all units that can be forwarded.
    pub fn packed(self, factor: f64) -> f64 {
        self.offered * factor + self.forwarded
    }

    /// The reverse of `packed`, for a number or a sum of such numbers.
    pub fn unpacked(number: f64, factor: f64) -> Units {
        let offered = (number / factor).round();
        Units { offered, forwarded: number - offered * factor }
    }

    /// Adds both amounts.
    pub fn add(&mut self, more: Units) {
        self.offered += more.offered;
        self.forwarded += more.forwarded;
    }
}

/// A tenant's usage at one gateway since its last update, as it tells its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageUpdate {
    /// Hash of the tenant's id.
    pub tenant_hash: u32,
    /// The usage.
    pub units: Units,
}

/// A request's claim on its tenant's quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaRequest {
    /// The tenant's id.
    pub tenant: String,
    /// Index of the tenant's plan in [`GatewayConfig::plans`].
    pub plan: usize,
    /// Through how many gateways the tenant's requests come; at least 1.
    pub gateways: u32,
    /// Units that the request costs.
    pub units: f64,
}

/// The result of a random draw against a tenant's drop ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaDecision {
    /// Whether the request is beyond the quota.
    pub exceeds: bool,
    /// The ratio that was drawn against, from 0 to 1.
    pub ratio: f64,
}

/// The result of a call to the counter service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// The total after the call's amount was added.
    Known(f64),
    /// The total of a call that was reported as `Unknown` before: the counter service answered after the time-out.
    Late(f64),
    /// No answer in time, or an unusable one: the amount may have been added.
    Unknown,
    /// The amount was surely not added.
    NotAdded,
}

impl Reading {
    /// The total, if there is one.
    pub fn known(self) -> Option<f64> {
        match self {
            Reading::Known(total) | Reading::Late(total) => Some(total),
            Reading::Unknown | Reading::NotAdded => None,
        }
    }
}

/// Carries out a gateway's decisions, in the order of the calls.
pub trait Host {
    /// Sends a request to a backend; the attempt times out after `allow`. [`Gateway::attempt_ended`](crate::Gateway::attempt_ended) reports its end.
    fn send_attempt(&mut self, request_id: &str, backend: &str, allow: Duration);
    /// Answers a request with a rejection, with the advice to retry after `retry_in` if there is one.
    fn reject(&mut self, request_id: &str, retry_in: Option<Duration>);
    /// Answers a request with an error: it may have run, and a retry could do harm.
    fn fail(&mut self, request_id: &str);
    /// Adds an amount to the named sum on the counter service, which keeps the sum for `keep_for`.
    /// [`Gateway::counter_answered`](crate::Gateway::counter_answered) reports the result.
    fn add_to_counter(&mut self, name: &str, amount: f64, keep_for: Duration);
    /// Sends usage updates to every peer and returns the number of messages that they took for each; messages may
    /// be late or lost.
    fn broadcast_usage(&mut self, updates: &[UsageUpdate]) -> usize;
    /// Asks one peer, a tenant's controller, for a decision; the message may be late or lost.
    fn ask_peer(&mut self, peer: u32, question_id: u16, quota: &QuotaRequest);
    /// Answers a peer's question; the message may be late or lost.
    fn answer_peer(&mut self, peer: u32, question_id: u16, decision: QuotaDecision);
    /// Has [`Gateway::timer_fired`](crate::Gateway::timer_fired) called with this token after a time.
    fn set_timer(&mut self, token: &str, after: Duration);
}
