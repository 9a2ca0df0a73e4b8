//! State that a gateway keeps for requests, tenants, backends and peers. Contains no decisions.

use crate::counters::{DecayingCount, Sums};
use crate::interface::{BackendEntry, Plan, QuotaRequest, Usage};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// A request's state. Only `Gateway::set_state` changes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Accepted; no attempt is in flight.
    #[default]
    Queued,
    /// Waiting for a decision by the tenant's controller or for a reading from the counter service.
    AwaitingQuota,
    /// One attempt is in flight.
    InFlight,
    /// The client has disconnected, but an attempt is still in flight.
    Abandoned,
    /// It has its final response or needs none, and no attempt is in flight. The request is removed.
    Finished,
}

/// A request without a final response, or with an attempt still in flight.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// Changed only by `Gateway::set_state`.
    pub(crate) state: RequestState,
    /// Index of its workload in the configuration.
    pub(crate) workload: usize,
    /// The quota that it needs.
    pub(crate) quota: QuotaRequest,
    /// The time after which a response is worthless.
    pub(crate) deadline: Timestamp,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// Whether an attempt has ended that may have had an effect.
    pub(crate) may_have_run: bool,
    /// The backend of the first attempt that may have had an effect.
    pub(crate) first_backend: Option<BackendEntry>,
    /// When the attempt on `first_backend` was sent.
    pub(crate) first_sent_at: Timestamp,
    /// Whether its units are already charged, by the tenant's controller or in the shared sum.
    pub(crate) is_charged: bool,
}

/// This gateway's view of a tenant's quota.
#[derive(Default)]
pub(crate) struct Tenant {
    /// The limits.
    pub(crate) plan: Rc<Plan>,
    /// Number of gateways that receive its requests; at least 1.
    pub(crate) gateways: f64,
    /// Whether this gateway is the tenant's controller, which decides for all gateways.
    pub(crate) controlled_here: bool,
    /// The last drop ratio that the controller reported, and the time until which it applies.
    pub(crate) directive: (f64, Timestamp),
    /// Whether the shared sum on the counter service is the only source of the other gateways' usage.
    pub(crate) uses_counter: bool,
    /// Whether this gateway's share of the token bucket is too small for a useful shared sum.
    pub(crate) has_small_share: bool,
    /// Time span over which demand is compared with the limit.
    pub(crate) interval: Duration,
    /// Units of the token bucket reserved for usage at other gateways that is not yet known here.
    pub(crate) reserve: f64,
    /// Estimated units in the token bucket; negative if more was spent than it held.
    pub(crate) tokens: f64,
    /// When `tokens`, `hard_tokens` and the demands were last updated.
    pub(crate) updated_at: Timestamp,
    /// Units offered to this gateway within about one `interval`.
    pub(crate) demand: DecayingCount,
    /// Usage at this gateway that has not been added to the shared sum.
    pub(crate) unreported: Usage,
    /// When `unreported` is due to be added to the sum; zero if nothing is scheduled.
    pub(crate) report_at: Timestamp,
    /// Units not added to `tokens` since the last reading, because the bucket was full or the other gateways were
    /// assumed to have used them. The next reading offsets them against the other gateways' actual usage first.
    pub(crate) unfilled: f64,
    /// The shared sums on the counter service that this gateway has added to.
    pub(crate) sums: Sums,
    /// Time of the last reading of the other gateways' usage.
    pub(crate) read_at: Option<Timestamp>,
    /// Number of consecutive calls to the counter service without a reading.
    pub(crate) missed: i64,
    /// Units recently offered to the other gateways, from readings or usage updates.
    pub(crate) peer_offered: DecayingCount,
    /// Units recently forwarded by the other gateways, from readings.
    pub(crate) peer_forwarded: DecayingCount,
    /// Usage at this gateway that has not been sent to its peers.
    pub(crate) unsent_usage: Usage,
    /// Units left in this gateway's share of the hard limit.
    pub(crate) hard_tokens: f64,
    /// Attempts in flight from this gateway.
    pub(crate) in_flight: u32,
}

/// This gateway's view of a backend.
#[derive(Default)]
pub(crate) struct Backend {
    /// Its entry in the endpoint list.
    pub(crate) entry: BackendEntry,
    /// Recent successful attempts.
    pub(crate) successes: DecayingCount,
    /// Recent failed attempts.
    pub(crate) failures: DecayingCount,
    /// Base-2 logarithm of its latency relative to the mean over all backends for the same workload.
    pub(crate) slowdown: f64,
    /// Requests with an attempt in flight on it, with the time when the attempt was sent.
    pub(crate) in_flight: BTreeMap<String, Timestamp>,
    /// During slow start: number of attempts that this gateway may send to it.
    pub(crate) credit: f64,
    /// When `credit` was last updated.
    pub(crate) updated_at: Timestamp,
}

/// State of the exchange with peers, and the requests waiting for an answer.
#[derive(Default)]
pub(crate) struct Peers {
    /// Tenants with usage to send to the peers.
    pub(crate) unsent_tenants: Vec<String>,
    /// Time between usage updates.
    pub(crate) interval: Duration,
    /// When the last usage update arrived.
    pub(crate) updated_at: Option<Timestamp>,
    /// Tenant ids by the hashes that identify them in usage updates.
    pub(crate) by_hash: HashMap<u32, String>,
    /// Id of the most recent question to a controller; wraps around.
    pub(crate) last_question: u16,
    /// Waiting requests by the name of what they wait for (a sum, or the timer token of a question), oldest first, each
    /// with the usage that its call adds. The request id is empty if no request waits for the call.
    pub(crate) waiting: HashMap<String, VecDeque<(String, Usage)>>,
    /// Moving average of the fraction of calls and questions without an answer, from 0 to 1.
    pub(crate) loss_rate: f64,
}
