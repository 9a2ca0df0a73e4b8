//! What a gateway keeps of each request, tenant, backend and of its peers. Nothing is decided here.

use crate::counters::{DecayingCount, Sums};
use crate::interface::{BackendEntry, Plan, QuotaRequest, Units};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The states of a request. Only `Gateway::set_state` changes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// It has been accepted; no attempt is in flight.
    #[default]
    Queued,
    /// Its tenant's controller or the counter service has been asked for a decision.
    AwaitingQuota,
    /// One attempt is in flight.
    InFlight,
    /// The client has disconnected while an attempt is in flight.
    Abandoned,
    /// It has its final answer or needs none, and no attempt is in flight. Such a request is forgotten.
    Finished,
}

/// A request that has no final answer yet, or an attempt in flight.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// Its state.
    pub(crate) state: RequestState,
    /// Index of its workload in the configuration.
    pub(crate) workload: usize,
    /// Its claim on its tenant's quota.
    pub(crate) quota: QuotaRequest,
    /// Until when an answer has a value.
    pub(crate) deadline: Timestamp,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// Whether an attempt has ended that may have had an effect.
    pub(crate) may_have_run: bool,
    /// Where the first attempt that may have had an effect went.
    pub(crate) first_backend: Option<BackendEntry>,
    /// When that attempt was sent.
    pub(crate) first_sent_at: Timestamp,
    /// Whether its units are accounted for already: by its tenant's controller, or in the shared sum.
    pub(crate) is_counted: bool,
}

/// A tenant's quota as this gateway knows it.
#[derive(Default)]
pub(crate) struct Tenant {
    /// Its quotas.
    pub(crate) plan: Rc<Plan>,
    /// Through how many gateways its requests come; at least 1.
    pub(crate) gateways: f64,
    /// Whether this gateway is its controller, which decides for all gateways.
    pub(crate) is_controlled: bool,
    /// The last drop ratio that its controller reported, and until when it holds.
    pub(crate) directive: (f64, Timestamp),
    /// Whether its sum on the counter service is the only source on the other gateways' usage.
    pub(crate) is_counted: bool,
    /// Whether this gateway's share of the token bucket is too small to learn anything from such a sum.
    pub(crate) is_sparse: bool,
    /// Time over which demand is compared with the limit.
    pub(crate) interval: Duration,
    /// Units of the token bucket held back for what other gateways may have taken unseen.
    pub(crate) reserve: f64,
    /// Units thought to be in the token bucket. Below zero if more was spent than it held.
    pub(crate) tokens: f64,
    /// When `tokens`, `hard_tokens` and the demands were last brought up to date.
    pub(crate) updated_at: Timestamp,
    /// Units offered to this gateway within about one interval.
    pub(crate) demand: DecayingCount,
    /// Usage at this gateway that is not in the shared sum yet.
    pub(crate) unreported: Units,
    /// When that is to be added to the sum; zero for no date.
    pub(crate) report_at: Timestamp,
    /// Units not added to `tokens` since the last reading, as the bucket was full or others were thought to have
    /// taken them. The next reading gives them back first.
    pub(crate) unfilled: f64,
    /// The sums on the counter service that this gateway has added to.
    pub(crate) sums: Sums,
    /// When a reading last told the other gateways' usage.
    pub(crate) read_at: Option<Timestamp>,
    /// Calls to the counter service in a row that brought no reading.
    pub(crate) missed: i64,
    /// Units offered to the other gateways lately, by readings or by usage updates.
    pub(crate) peer_offered: DecayingCount,
    /// Units that the other gateways forwarded lately, by readings.
    pub(crate) peer_sent: DecayingCount,
    /// Usage at this gateway that its peers have not been told yet.
    pub(crate) unsent_usage: Units,
    /// Units left of this gateway's own share of the hard limit.
    pub(crate) hard_tokens: f64,
    /// Attempts in flight from this gateway.
    pub(crate) in_flight: u32,
}

/// A backend as this gateway knows it.
#[derive(Default)]
pub(crate) struct Backend {
    /// Its line of the endpoint list.
    pub(crate) entry: BackendEntry,
    /// Attempts that succeeded lately.
    pub(crate) successes: DecayingCount,
    /// Attempts that failed lately.
    pub(crate) failures: DecayingCount,
    /// Binary logarithm of its latency relative to the mean of all backends, for the same workload.
    pub(crate) slowdown: f64,
    /// Requests that have an attempt in flight here, and since when.
    pub(crate) in_flight: BTreeMap<String, Timestamp>,
    /// While it warms up: attempts that this gateway may send it.
    pub(crate) credit: f64,
    /// When `credit` was last brought up to date.
    pub(crate) updated_at: Timestamp,
}

/// Exchange with the peers, and the requests that wait for an answer.
#[derive(Default)]
pub(crate) struct Peers {
    /// Tenants whose usage is to be told to the peers.
    pub(crate) unsent_tenants: Vec<String>,
    /// Time between two usage updates.
    pub(crate) interval: Duration,
    /// When a usage update last arrived.
    pub(crate) updated_at: Option<Timestamp>,
    /// Tenants by the hashes that stand for them in usage updates.
    pub(crate) by_hash: HashMap<u32, String>,
    /// Id of the last question to a controller; wraps around.
    pub(crate) last_question: u16,
    /// Requests by the name of what they wait for (a sum, or the timer token of a question), oldest first, each with
    /// the units that its call adds. The request id is empty where no request waits for a call.
    pub(crate) waiting: HashMap<String, VecDeque<(String, Units)>>,
    /// Running share of calls and questions that brought no answer, from 0 to 1.
    pub(crate) loss_rate: f64,
}
