//! The life of a request: accepted, queued, sent to backends, answered or given up. See the crate's page.

use crate::counters::{hash, DecayingCount};
use crate::latency::Latency;
use crate::peer_exchange::MESH_LOAD;
use crate::state::{Backend, Peers, PendingRequest, RequestState, Tenant};
use crate::{AttemptEnd, GatewayConfig, Group, Host, Idempotency, IncomingRequest, QuotaRequest, Workload};
use kitepass_time::{Duration, Timestamp};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

pub(crate) const PERIOD: Duration = Duration::from_secs(1); // the article's, and the longest retry delay that is advised
const RETRY_DELAY_DIVISOR: i64 = 3; // a rejection advises one of so many parts of the time left for a retry
pub(crate) const OVERDUE_DEVIATIONS: f64 = 6.0; // mean deviations past the mean after which an attempt is overdue
pub(crate) const NEWEST_WEIGHT: f64 = 0.0625; // weight of the newest value in running means

/// One gateway instance's decisions. Its times are the host's clock, which must not go back.
pub struct Gateway {
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) rng: Rand64,
    pub(crate) opened: Timestamp,
    pub(crate) backends: BTreeMap<String, Backend>,
    pub(crate) requests: HashMap<String, PendingRequest>,
    pub(crate) tenants: HashMap<String, Tenant>,
    pub(crate) latencies: Vec<Latency>,
    pub(crate) demand: DecayingCount, // attempts wanted within about a period
    pub(crate) completions: DecayingCount, // attempts completed within about a period
    pub(crate) slow_start_done: DecayingCount, // and within about the slow start's window
    pub(crate) mean_in_flight: f64,   // running mean of attempts in flight
    pub(crate) mean_weight: f64,      // running mean of requests' value per second
    pub(crate) peers: Peers,
    pub(crate) uses_controllers: bool, // peers are too many for usage updates: controllers decide
}

impl Gateway {
    /// A gateway that knows no backends and tenants yet; `seed` determines all its random draws.
    pub fn open(config: Rc<GatewayConfig>, seed: u64, now: Timestamp) -> Self {
        Gateway {
            rng: Rand64::new(u128::from(seed)),
            opened: now,
            backends: BTreeMap::new(),
            requests: HashMap::new(),
            tenants: HashMap::new(),
            latencies: config.workloads.iter().map(|w| Latency::expected(w.latency_target)).collect(),
            demand: DecayingCount::default(),
            completions: DecayingCount::default(),
            slow_start_done: DecayingCount::default(),
            mean_weight: 1.0,
            mean_in_flight: 0.0,
            peers: Peers { interval: PERIOD / 8, ..Peers::default() },
            uses_controllers: config.max_peer_messages > 0.0
                && f64::from(config.gateways) > config.max_peer_messages * MESH_LOAD,
            config,
        }
    }

    /// Numbers of requests, tenants, backends, and of calls and questions that are waited for.
    pub fn table_sizes(&self) -> [usize; 4] {
        [self.requests.len(), self.tenants.len(), self.backends.len(), self.peers.waiting.len()]
    }

    /// Decides on a request that has arrived: rejects it, sends it, or asks the counter service or a peer first.
    pub fn request_arrived(&mut self, now: Timestamp, arrived: &IncomingRequest, host: &mut impl Host) {
        let config = self.config.clone();
        let workload = config.workloads.iter().position(|w| w.name == arrived.workload);
        let plan = config.plans.iter().position(|p| p.name == arrived.plan);
        let (Some(workload), Some(plan)) = (workload, plan) else {
            return host.reject(arrived.id, config.max_retry_after); // it is not configured
        };
        let gateways = if arrived.gateways == 0 { config.gateways } else { arrived.gateways };
        let quota = QuotaRequest { tenant: arrived.tenant.to_owned(), plan, gateways, units: arrived.units };
        let Workload { latency_target, late_value, .. } = config.workloads[workload];
        let deadline =
            if late_value > 0.0 { arrived.deadline } else { arrived.deadline.min(now + latency_target) };
        let request = PendingRequest { workload, quota, deadline, ..PendingRequest::default() };
        self.requests.insert(arrived.id.to_owned(), request);
        // Where peers are too many for usage updates, one of a tenant's gateways draws for all of them.
        let controller = (arrived.first_gateway + hash(arrived.tenant) as u32 % gateways) % config.gateways;
        let (asks, controls) = (self.uses_controllers && gateways > 1, controller == config.gateway_index);
        if asks && !controls && self.may_ask_controller(deadline - now, latency_target) {
            return self.ask_controller(now, arrived.id, controller, host);
        }
        self.decide(now, arrived.id, asks && controls, host);
    }

    /// Takes in the end of an attempt; the request is attempted again, answered or forgotten.
    pub fn attempt_ended(&mut self, now: Timestamp, end: &AttemptEnd, host: &mut impl Host) {
        self.observe(now, end);
        let Some(request) = self.requests.get_mut(end.request_id) else { return };
        if let Some(tenant) = self.tenants.get_mut(&request.quota.tenant) {
            tenant.in_flight = tenant.in_flight.saturating_sub(1);
            tenant.spend(end.actual_units.map_or(0.0, |units| units - request.quota.units));
        }
        request.may_have_run |= !end.outcome.never_ran();
        if request.state != RequestState::InFlight || end.is_final {
            return self.set_state(end.request_id, RequestState::Finished);
        }
        request.first_backend = request.first_backend.take().filter(|_| request.may_have_run);
        self.set_state(end.request_id, RequestState::Queued);
        self.next_attempt(now, end.request_id, host);
    }

    /// The client of a request has gone: it needs no answer.
    pub fn client_disconnected(&mut self, id: &str) {
        let out = self.requests.get(id).is_some_and(|request| request.state == RequestState::InFlight);
        self.set_state(id, if out { RequestState::Abandoned } else { RequestState::Finished });
    }

    /// Changes a request's state; a finished request is forgotten.
    pub(crate) fn set_state(&mut self, id: &str, to: RequestState) {
        if to == RequestState::Finished {
            self.requests.remove(id);
        } else if let Some(request) = self.requests.get_mut(id) {
            request.state = to;
        }
    }

    /// A timer set through the host has expired; unknown and outdated tokens are ignored.
    pub fn timer_fired(&mut self, now: Timestamp, token: &str, host: &mut impl Host) {
        match token.split_once('.') {
            Some(("period", id)) if self.tenants.get(id).is_some_and(|tenant| tenant.is_report_due(now)) => {
                self.add_to_sum(now, id, None, host);
            }
            Some(("sweep", _)) => self.sweep_tenants(now, host),
            Some(("tell", _)) => self.send_usage(host),
            Some(("asked", _)) => self.resume(now, token, None, host),
            _ => {}
        }
    }

    /// Gives a request its final answer, a rejection only where a retry by the client is harmless.
    pub(crate) fn give_up(&mut self, id: &str, host: &mut impl Host) {
        let request = &self.requests[id];
        // Units that are in the sum and are not forwarded must not count against other requests.
        let unsent = if request.is_counted && request.attempts == 0 { request.quota.units } else { 0.0 };
        if let Some(tenant) = self.tenants.get_mut(&request.quota.tenant).filter(|t| t.is_counted) {
            tenant.unreported.forwarded -= unsent;
        }
        let Workload { idempotency, latency_target, .. } = self.config.workloads[request.workload];
        let is_retryable_anywhere = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { group: Group::All, .. }
        );
        if request.first_backend.is_none() || is_retryable_anywhere {
            let advice = ((latency_target - self.latencies[request.workload].mean) / RETRY_DELAY_DIVISOR)
                .max(Duration::from_micros(1));
            host.reject(id, self.config.max_retry_after.map(|longest| longest.min(advice).min(PERIOD)));
        } else {
            host.fail(id);
        }
        self.set_state(id, RequestState::Finished);
    }

    /// Sends a queued request's next attempt, or gives it up.
    pub(crate) fn next_attempt(&mut self, now: Timestamp, id: &str, host: &mut impl Host) {
        let (config, workload) = (self.config.clone(), self.requests[id].workload);
        let (overload, request) = (self.overload_ratio(now, workload), &self.requests[id]);
        let workload = &config.workloads[request.workload];
        let latency = &self.latencies[request.workload];
        let (expected, overdue) = (latency.mean, latency.overdue(OVERDUE_DEVIATIONS));
        let left = request.deadline - now;
        let is_harmful = match (workload.idempotency, &request.first_backend) {
            (Idempotency::NonIdempotent, Some(_)) => true,
            (Idempotency::Deduplicated { memory, .. }, Some(_)) => now - request.first_sent_at >= memory,
            _ => false,
        };
        let is_exhausted = left <= expected || request.attempts >= config.max_attempts;
        // A retry must not feed an overload.
        if is_harmful || is_exhausted || request.attempts > 0 && self.rng.rand_float() < overload {
            return self.give_up(id, host);
        }
        let Some(backend) = self.select_backend(now, id).filter(|_| self.reserve(id, host)) else {
            return self.give_up(id, host);
        };
        // An overdue attempt is abandoned for a retry if there is time for one and no overload to feed.
        let may_retry = workload.idempotency != Idempotency::NonIdempotent && left - overdue > expected;
        let allow = if may_retry && overload == 0.0 { overdue } else { left };
        let request = self.requests.get_mut(id).expect("found above");
        request.attempts += 1;
        let record = self.backends.get_mut(&backend).expect("selected from these");
        if request.first_backend.is_none() {
            (request.first_sent_at, request.first_backend) = (now, Some(record.entry.clone()));
        }
        record.in_flight.insert(id.to_owned(), now);
        record.credit -= 1.0;
        host.send_attempt(id, &backend, allow);
        self.set_state(id, RequestState::InFlight);
    }
}
