//! What a host tells the decision module, and the trait through which the policy gives its orders.

use kitepass_time::{Duration, Timestamp};
use std::rc::Rc;

/// What a gateway is configured with at its start.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// How many gateways serve the same tenants, this one included, and this one's number among them.
    pub gateways: u32,
    pub gateway_index: u32,
    pub workloads: Vec<Workload>,
    pub plans: Vec<Rc<Plan>>,
    /// How long a call to the quota counter may take; none where there is no counter.
    pub counter_timeout: Option<Duration>,
    /// Units of the largest request.
    pub max_units: f64,
    pub max_attempts: u32,
    /// How many messages of its peers a gateway takes in each second; 0 where there are none.
    pub max_peer_messages: f64,
    /// The longest stay-away that clients heed; none if they are given no advice.
    pub max_retry_after: Option<Duration>,
    pub slow_start: SlowStart,
}

impl SlowStart {
    /// The share of its capacity that a backend has at least.
    pub fn capacity(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).ratio_to(self.ramp).max(0.0);
        (self.initial_capacity + (1.0 - self.initial_capacity) * age).min(1.0)
    }
}

/// How a backend comes up, and what makes it fall over.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// The least share of its full capacity that a backend starts with.
    pub initial_capacity: f64,
    pub ramp: Duration,
    /// Sent more than this multiple of its present capacity for `window`, it falls over.
    pub multiple: f64,
    pub window: Duration,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub name: String,
    pub idempotency: Idempotency,
    pub latency_target: Duration,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value: f64,
    pub value: f64,
}

/// What running a request again would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// The group's backends drop repeats for the memory time.
    Deduplicated {
        group: Group,
        memory: Duration,
    },
    NonIdempotent,
}

impl Idempotency {
    /// Whether a backend drops repeats of what may have run at another.
    pub fn dedups(self, ran: &BackendEntry, here: &BackendEntry) -> bool {
        match self {
            Idempotency::Deduplicated { group: Group::Zone, .. } => here.zone == ran.zone,
            Idempotency::Deduplicated { group: Group::Cell, .. } => here.cell == ran.cell,
            _ => true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub name: String,
    /// Units a second, and the units that the token bucket holds; no such quota at rate 0.
    pub rate: f64,
    pub burst: f64,
    /// Attempts that a tenant may have out at once; 0 for no such quota.
    pub max_in_flight: u32,
    /// The hard limit's units a second and depth; none at rate 0.
    pub hard_rate: f64,
    pub hard_burst: f64,
}

/// One line of the list of backends.
#[derive(Clone, Debug, Default)]
pub struct BackendEntry {
    pub id: String,
    pub zone: String,
    pub cell: i64,
    pub status: BackendStatus,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its last start, if that is not long ago.
    pub started: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendStatus {
    Live,
    Draining,
    #[default]
    Removed,
}

/// A request as it comes in.
#[derive(Clone, Debug)]
pub struct IncomingRequest<'a> {
    pub id: &'a str,
    pub tenant: &'a str,
    pub workload: &'a str,
    pub plan: &'a str,
    pub deadline: Timestamp,
    pub units: f64,
    /// Through how many gateways this tenant's requests come, 0 if unknown, and the number of the
    /// first of them; the others follow, counted round.
    pub gateways: u32,
    pub first_gateway: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    Failed,
    Rejected,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotSent,
}

impl AttemptOutcome {
    /// The ending proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd<'a> {
    pub request_id: &'a str,
    pub backend: &'a str,
    pub outcome: AttemptOutcome,
    /// The request has its final answer already.
    pub is_final: bool,
    pub elapsed: Duration,
    /// The true units of the request, where they are settled by its answer.
    pub actual_units: Option<f64>,
}

/// Units that a tenant was offered, and of these the units that went out of its token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Units {
    pub offered: f64,
    pub forwarded: f64,
}

impl Units {
    /// Both in one number, set apart by more than may be sent.
    pub fn packed(self, apart: f64) -> f64 {
        self.offered * apart + self.forwarded
    }

    pub fn unpacked(number: f64, apart: f64) -> Units {
        let offered = (number / apart).round();
        Units { offered, forwarded: number - offered * apart }
    }

    pub fn add(&mut self, more: Units) {
        self.offered += more.offered;
        self.forwarded += more.forwarded;
    }
}

/// What a gateway tells its peers of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageUpdate {
    /// What stands for the tenant's id.
    pub tenant_hash: u32,
    pub units: Units,
}

/// A request's units, offered to its tenant's quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaRequest {
    pub tenant: String,
    /// Its index among the configuration's plans.
    pub plan: usize,
    pub gateways: u32,
    pub units: f64,
}

/// What came of the draw against a tenant's ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaDecision {
    pub exceeds: bool,
    /// The ratio that was drawn against.
    pub ratio: f64,
}

/// What a call to the counter has brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    Known(f64),
    /// The total of a call that was reported as unknown: the counter answers however late.
    Late(f64),
    /// No answer in time, or none that tells: the amount may have been added.
    Unknown,
    /// The amount was surely not added.
    NotAdded,
}

impl Reading {
    pub fn known(self) -> Option<f64> {
        match self {
            Reading::Known(total) | Reading::Late(total) => Some(total),
            Reading::Unknown | Reading::NotAdded => None,
        }
    }
}

/// How the policy gives its orders; they take effect in the order given.
pub trait Host {
    fn send_attempt(&mut self, command: &str, backend: &str, allow: Duration);
    fn reject(&mut self, command: &str, retry_in: Option<Duration>);
    fn fail(&mut self, command: &str);
    fn add_to_counter(&mut self, name: &str, amount: f64, keep: Duration);
    /// Tells every peer, in as many messages as it returns; they may be late or lost.
    fn broadcast_usage(&mut self, news: &[UsageUpdate]) -> usize;
    /// Asks one peer, or answers a peer's query; either may be late or lost.
    fn ask_peer(&mut self, peer: u32, question: u16, offer: &QuotaRequest);
    fn answer_peer(&mut self, peer: u32, question: u16, verdict: QuotaDecision);
    fn set_timer(&mut self, token: &str, after: Duration);
}
