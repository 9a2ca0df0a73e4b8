//! Request lifecycle: arrival, quota decision, attempts on backends, and the final response.

use crate::counters::{fnv1a, DecayingCount};
use crate::latency::Latency;
use crate::peer_exchange::MESH_LOAD;
use crate::state::{Backend, Peers, PendingRequest, RequestState, Tenant};
use crate::{AttemptEnd, GatewayConfig, Host, Idempotency, IncomingRequest, QuotaRequest, Scope, Workload};
use kitepass_time::{Duration, Timestamp};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

pub(crate) const PERIOD: Duration = Duration::from_secs(1); // the article's period; also the maximum retry delay
const RETRY_DELAY_DIVISOR: i64 = 3; // the suggested retry delay is the time left for a retry divided by this
pub(crate) const OVERDUE_DEVIATIONS: f64 = 6.0; // mean deviations above the mean latency at which an attempt is overdue
pub(crate) const NEWEST_WEIGHT: f64 = 0.0625; // weight of the newest sample in exponential moving averages

/// Decision state of one gateway instance. All timestamps come from the host's clock, which must be monotonic.
pub struct Gateway {
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) rng: Rand64,
    pub(crate) opened_at: Timestamp,
    pub(crate) backends: BTreeMap<String, Backend>,
    pub(crate) requests: HashMap<String, PendingRequest>,
    pub(crate) tenants: HashMap<String, Tenant>,
    pub(crate) latencies: Vec<Latency>,
    pub(crate) demand: DecayingCount, // attempts requested within about one period
    pub(crate) completions: DecayingCount, // attempts completed within about one period
    pub(crate) slow_start_completions: DecayingCount, // attempts completed within about one slow-start window
    pub(crate) mean_in_flight: f64,   // moving average of attempts in flight
    pub(crate) mean_value_rate: f64,  // moving average of requests' value per second of latency
    pub(crate) peers: Peers,
    pub(crate) uses_controllers: bool, // there are too many peers for usage updates, so controllers decide
}

impl Gateway {
    /// Creates a gateway without backends or tenants; `seed` determines all its random numbers.
    pub fn open(config: Rc<GatewayConfig>, seed: u64, now: Timestamp) -> Self {
        Gateway {
            rng: Rand64::new(u128::from(seed)),
            opened_at: now,
            backends: BTreeMap::new(),
            requests: HashMap::new(),
            tenants: HashMap::new(),
            latencies: config.workloads.iter().map(|w| Latency::initial(w.latency_target)).collect(),
            demand: DecayingCount::default(),
            completions: DecayingCount::default(),
            slow_start_completions: DecayingCount::default(),
            mean_value_rate: 1.0,
            mean_in_flight: 0.0,
            peers: Peers { interval: PERIOD / 8, ..Peers::default() },
            uses_controllers: config.max_peer_messages > 0.0
                && f64::from(config.gateways) > config.max_peer_messages * MESH_LOAD,
            config,
        }
    }

    /// Numbers of stored requests, tenants and backends, and of outstanding counter calls and questions to controllers.
    pub fn table_sizes(&self) -> [usize; 4] {
        [self.requests.len(), self.tenants.len(), self.backends.len(), self.peers.waiting.len()]
    }

    /// Handles an incoming request: rejects it, sends it, or first asks the counter service or a controller.
    pub fn request_arrived(&mut self, now: Timestamp, arrived: &IncomingRequest, host: &mut impl Host) {
        let config = self.config.clone();
        let workload = config.workloads.iter().position(|w| w.name == arrived.workload);
        let plan = config.plans.iter().position(|p| p.name == arrived.plan);
        let (Some(workload), Some(plan)) = (workload, plan) else {
            return host.reject(arrived.id, config.max_retry_after); // unknown workload or plan
        };
        let gateways = if arrived.gateways == 0 { config.gateways } else { arrived.gateways };
        let quota = QuotaRequest { tenant: arrived.tenant.to_owned(), plan, gateways, units: arrived.units };
        let Workload { latency_target, late_value, .. } = config.workloads[workload];
        let deadline =
            if late_value > 0.0 { arrived.deadline } else { arrived.deadline.min(now + latency_target) };
        let request = PendingRequest { workload, quota, deadline, ..PendingRequest::default() };
        self.requests.insert(arrived.id.to_owned(), request);
        // With too many peers for usage updates, one of the tenant's gateways, its controller, decides for all of them.
        let controller = (arrived.first_gateway + fnv1a(arrived.tenant) as u32 % gateways) % config.gateways;
        let (asks, controls) = (self.uses_controllers && gateways > 1, controller == config.gateway_index);
        if asks && !controls && self.may_ask_controller(deadline - now, latency_target) {
            return self.ask_controller(now, arrived.id, controller, host);
        }
        self.decide(now, arrived.id, asks && controls, host);
    }

    /// Handles the end of an attempt: retries the request, sends its final response or removes it.
    pub fn attempt_ended(&mut self, now: Timestamp, end: &AttemptEnd, host: &mut impl Host) {
        self.record_outcome(now, end);
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

    /// Handles a client's disconnection: its request needs no response.
    pub fn client_disconnected(&mut self, id: &str) {
        let in_flight = self.requests.get(id).is_some_and(|request| request.state == RequestState::InFlight);
        self.set_state(id, if in_flight { RequestState::Abandoned } else { RequestState::Finished });
    }

    pub(crate) fn set_state(&mut self, id: &str, to: RequestState) {
        if to == RequestState::Finished {
            self.requests.remove(id);
        } else if let Some(request) = self.requests.get_mut(id) {
            request.state = to;
        }
    }

    /// Handles the expiry of a timer; unknown and outdated tokens are ignored.
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

    /// Ends a request without success: rejects it if the client may safely retry, otherwise returns an error.
    pub(crate) fn reject_or_fail(&mut self, id: &str, host: &mut impl Host) {
        let request = &self.requests[id];
        // Units that were added to the shared sum but never forwarded must not count against other requests.
        let unsent = if request.is_charged && request.attempts == 0 { request.quota.units } else { 0.0 };
        if let Some(tenant) = self.tenants.get_mut(&request.quota.tenant).filter(|t| t.uses_counter) {
            tenant.unreported.forwarded -= unsent;
        }
        let Workload { idempotency, latency_target, .. } = self.config.workloads[request.workload];
        let is_retryable_anywhere = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: Scope::All, .. }
        );
        if request.first_backend.is_none() || is_retryable_anywhere {
            let delay = ((latency_target - self.latencies[request.workload].mean) / RETRY_DELAY_DIVISOR)
                .max(Duration::from_micros(1));
            host.reject(id, self.config.max_retry_after.map(|max_delay| max_delay.min(delay).min(PERIOD)));
        } else {
            host.fail(id);
        }
        self.set_state(id, RequestState::Finished);
    }

    pub(crate) fn next_attempt(&mut self, now: Timestamp, id: &str, host: &mut impl Host) {
        let (config, workload) = (self.config.clone(), self.requests[id].workload);
        let (overload, request) = (self.overload_ratio(now, workload), &self.requests[id]);
        let workload = &config.workloads[request.workload];
        let latency = &self.latencies[request.workload];
        let (expected, overdue) = (latency.mean, latency.overdue_after(OVERDUE_DEVIATIONS));
        let time_left = request.deadline - now;
        let is_harmful = match (workload.idempotency, &request.first_backend) {
            (Idempotency::NonIdempotent, Some(_)) => true,
            (Idempotency::Deduplicated { window, .. }, Some(_)) => now - request.first_sent_at >= window,
            _ => false,
        };
        let is_exhausted = time_left <= expected || request.attempts >= config.max_attempts;
        // Retries are shed with the overload ratio, so that they don't amplify an overload.
        if is_harmful || is_exhausted || request.attempts > 0 && self.rng.rand_float() < overload {
            return self.reject_or_fail(id, host);
        }
        let Some(backend) = self.select_backend(now, id).filter(|_| self.reserve_attempt(id, host)) else {
            return self.reject_or_fail(id, host);
        };
        // An overdue attempt is abandoned only if there is time to retry it and the backends are not overloaded.
        let may_retry = workload.idempotency != Idempotency::NonIdempotent && time_left - overdue > expected;
        let timeout = if may_retry && overload == 0.0 { overdue } else { time_left };
        let request = self.requests.get_mut(id).expect("found above");
        request.attempts += 1;
        let selected = self.backends.get_mut(&backend).expect("selected from these");
        if request.first_backend.is_none() {
            (request.first_sent_at, request.first_backend) = (now, Some(selected.entry.clone()));
        }
        selected.in_flight.insert(id.to_owned(), now);
        selected.credit -= 1.0;
        host.send_attempt(id, &backend, timeout);
        self.set_state(id, RequestState::InFlight);
    }
}
