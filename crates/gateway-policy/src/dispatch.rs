//! The flow of a request through a gateway, and the orders given for it: taken in, held, sent, given up. A host
//! opens one [`Gateway`] an instance and tells it in order what happens, each time with its clock and an
//! [`Host`] that carries out its orders; both sides of that are in `interface.rs`. docs/design.md tells
//! which parts are the article's mechanism and which depart from it. The other decisions stand beside this file:
//! `quota.rs`, `count.rs`, `peer_exchange.rs`, `overload.rs` and `backend_selection.rs`.

use crate::counters::{hash, DecayingCount};
use crate::interface::*;
use crate::latency::Latency;
use crate::peer_exchange::MESH_LOAD;
use crate::state::{Backend, Peers, PendingRequest, RequestState, Tenant};
use kitepass_time::{Duration, Timestamp};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

pub(crate) const PERIOD: Duration = Duration::from_secs(1); // the article's, and the stay-away that a rejection advises
const ADVICE: i64 = 3; // parts of the time left for a retry, one of which a rejection advises to wait
pub(crate) const OVERDUE: f64 = 6.0; // mean deviations past the mean after which an attempt is overdue
pub(crate) const NEWEST: f64 = 0.0625; // weight of the newest in running means

pub struct Gateway {
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) rng: Rand64,
    pub(crate) opened: Timestamp,
    pub(crate) backends: BTreeMap<String, Backend>,
    pub(crate) requests: HashMap<String, PendingRequest>,
    pub(crate) tenants: HashMap<String, Tenant>,
    pub(crate) latencies: Vec<Latency>,
    pub(crate) demand: DecayingCount, // attempts asked for in about a period,
    pub(crate) completions: DecayingCount, // and settled; settled in about
    pub(crate) slow_start_done: DecayingCount, // a window of the slow-start rule
    pub(crate) mean_in_flight: f64,   // attempts out, on average,
    pub(crate) mean_worth: f64,       // and weight of requests in an overload
    pub(crate) peers: Peers,
    pub(crate) uses_controllers: bool, // peers may be asked, but are too many to be notified of all
}

impl Gateway {
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
            mean_worth: 1.0,
            mean_in_flight: 0.0,
            peers: Peers { interval: PERIOD / 8, ..Peers::default() },
            uses_controllers: config.max_peer_messages > 0.0
                && f64::from(config.gateways) > config.max_peer_messages * MESH_LOAD,
            config,
        }
    }

    /// How much is kept: requests, tenants, backends, and calls and queries that are waited for.
    pub fn table_sizes(&self) -> [usize; 4] {
        [self.requests.len(), self.tenants.len(), self.backends.len(), self.peers.waiting.len()]
    }

    pub fn request_arrived(&mut self, now: Timestamp, asked: &IncomingRequest, host: &mut impl Host) {
        let config = self.config.clone();
        let workload = config.workloads.iter().position(|w| w.name == asked.workload);
        let plan = config.plans.iter().position(|p| p.name == asked.plan);
        let (Some(workload), Some(plan)) = (workload, plan) else {
            return host.reject(asked.id, config.max_retry_after); // nobody has set terms for it
        };
        let gateways = if asked.gateways == 0 { config.gateways } else { asked.gateways };
        let quota = QuotaRequest { tenant: asked.tenant.to_owned(), plan, gateways, units: asked.units };
        let Workload { latency_target, late_value, .. } = config.workloads[workload];
        let deadline =
            if late_value > 0.0 { asked.deadline } else { asked.deadline.min(now + latency_target) };
        let request = PendingRequest { workload, quota, deadline, ..PendingRequest::default() };
        self.requests.insert(asked.id.to_owned(), request);
        // Where peers may be asked but are too many to be notified of all, one of a tenant's draws for all.
        let controller = (asked.first_gateway + hash(asked.tenant) as u32 % gateways) % config.gateways;
        let (asks, controls) = (self.uses_controllers && gateways > 1, controller == config.gateway_index);
        if asks && !controls && self.may_ask_controller(deadline - now, latency_target) {
            return self.ask_controller(now, asked.id, controller, host);
        }
        self.decide(now, asked.id, asks && controls, host);
    }

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

    pub fn client_disconnected(&mut self, id: &str) {
        let out = self.requests.get(id).is_some_and(|request| request.state == RequestState::InFlight);
        self.set_state(id, if out { RequestState::Abandoned } else { RequestState::Finished });
    }

    pub(crate) fn set_state(&mut self, id: &str, to: RequestState) {
        if to == RequestState::Finished {
            self.requests.remove(id);
        } else if let Some(request) = self.requests.get_mut(id) {
            request.state = to;
        }
    }

    pub fn timer_fired(&mut self, now: Timestamp, token: &str, host: &mut impl Host) {
        match token.split_once('.') {
            Some(("period", id)) if self.tenants.get(id).is_some_and(|c| c.is_report_due(now)) => {
                self.add_to_sum(now, id, None, host);
            }
            Some(("sweep", _)) => self.sweep_tenants(now, host),
            Some(("tell", _)) => self.send_usage(host),
            Some(("asked", _)) => self.resume(now, token, None, host),
            _ => {}
        }
    }

    /// The final answer of a request given up: a rejection only where a retry is harmless, in time for one.
    pub(crate) fn give_up(&mut self, id: &str, host: &mut impl Host) {
        let request = &self.requests[id];
        // Units that are in the sum and do not go must not keep others from going.
        let unsent = if request.is_counted && request.attempts == 0 { request.quota.units } else { 0.0 };
        if let Some(c) = self.tenants.get_mut(&request.quota.tenant).filter(|c| c.is_counted) {
            c.unreported.forwarded -= unsent;
        }
        let Workload { idempotency, latency_target, .. } = self.config.workloads[request.workload];
        let anywhere = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { group: Group::All, .. }
        );
        if request.first_backend.is_none() || anywhere {
            let advice = ((latency_target - self.latencies[request.workload].mean) / ADVICE)
                .max(Duration::from_micros(1));
            host.reject(id, self.config.max_retry_after.map(|longest| longest.min(advice).min(PERIOD)));
        } else {
            host.fail(id);
        }
        self.set_state(id, RequestState::Finished);
    }

    /// Sends a held request's next attempt, or gives it up.
    pub(crate) fn next_attempt(&mut self, now: Timestamp, id: &str, host: &mut impl Host) {
        let (config, workload) = (self.config.clone(), self.requests[id].workload);
        let (overload, request) = (self.overload_ratio(now, workload), &self.requests[id]);
        let workload = &config.workloads[request.workload];
        let (expected, overdue) =
            (self.latencies[request.workload].mean, self.latencies[request.workload].overdue(OVERDUE));
        let left = request.deadline - now;
        let barred = match (workload.idempotency, &request.first_backend) {
            (Idempotency::NonIdempotent, Some(_)) => true,
            (Idempotency::Deduplicated { memory, .. }, Some(_)) => now - request.first_sent_at >= memory,
            _ => false,
        };
        let spent = left <= expected || request.attempts >= config.max_attempts;
        // A further attempt must not feed an overload.
        if barred || spent || request.attempts > 0 && self.rng.rand_float() < overload {
            return self.give_up(id, host);
        }
        let Some(backend) = self.select_backend(now, id).filter(|_| self.reserve(id, host)) else {
            return self.give_up(id, host);
        };
        // An overdue attempt is left for a further one if there is time, and no overload to feed by work left.
        let again = workload.idempotency != Idempotency::NonIdempotent && left - overdue > expected;
        let allow = if again && overload == 0.0 { overdue } else { left };
        let request = self.requests.get_mut(id).expect("found above");
        request.attempts += 1;
        let record = self.backends.get_mut(&backend).expect("picked from these");
        if request.first_backend.is_none() {
            (request.first_sent_at, request.first_backend) = (now, Some(record.entry.clone()));
        }
        record.in_flight.insert(id.to_owned(), now);
        record.credit -= 1.0;
        host.send_attempt(id, &backend, allow);
        self.set_state(id, RequestState::InFlight);
    }
}
