//! Runs the scenarios in `tests/scenarios/`, all in one test. A scenario has one step per line; `#` starts a comment:
//!
//!     gateway | workload | plan NAME=VALUE..   configuration; absent values have defaults
//!     open ID/NAME=VALUE..                     opens a gateway with the configuration and these backends
//!     backends full|delta ID/NAME=VALUE..      endpoint list, e.g. b1/zone=z/cell=2/started=4.5/draining
//!     at TIME                                  advances the clock, in seconds, and fires expired timers
//!     request ID NAME=VALUE..                  request: tenant, plan, workload, units, deadline, gateways
//!     offer N every=SPAN [latency=SPAN [outcome=OUTCOME]] [new-tenants] ..    N requests, whose attempts end after
//!                                              the latency; with new-tenants, each from a tenant of its own
//!     end ID OUTCOME [elapsed=SPAN] [final] [actual=UNITS]    end of a request's last attempt
//!     disconnect ID                            the request's client disconnects
//!     answer factor=N | reset | timeout | late    answers all outstanding counter calls; the total is N times the
//!                                              sum of this gateway's amounts, or 0 after a reset
//!     counter total|reset|timeout [factor=N]   answers all later counter calls immediately in the same way
//!     peer-update UNITS                        usage update from a peer for the tenant in the last update sent
//!     peer-asks N                              N questions from a peer to this gateway as controller of tenant k
//!     controller-answers drop|admit            answers to all outstanding questions
//!     > attempt ID [BACKEND..] | reject ID | fail ID | nothing | update UNITS | ask PEER    expected in the last step
//!     > sent|rejected|counter-calls|questions|admitted|dropped|to BACKEND MIN..MAX    expected number in the last step
//!     > table-sizes REQUESTS TENANTS BACKENDS WAITING    expected sizes of the gateway's tables

use kitepass_gateway_policy::{
    AttemptEnd, AttemptOutcome, BackendEntry, BackendStatus, Gateway, GatewayConfig, Host, Idempotency,
    IncomingRequest, Plan, QuotaDecision, QuotaRequest, Reading, Scope, SlowStart, Usage, UsageUpdate,
    Workload,
};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The `NAME=VALUE` arguments of a step.
type Arguments<'a> = HashMap<&'a str, &'a str>;

/// A host that records the gateway's actions for the `>` lines.
#[derive(Default)]
struct RecordingHost {
    log: Vec<String>,
    attempts: HashMap<String, Vec<(String, Timestamp)>>,
    timers: BTreeMap<(Timestamp, usize), String>,
    calls: Vec<String>,
    questions: Vec<u16>,
    last_tenant_hash: u32,
    counts: HashMap<String, f64>,
    now: Timestamp,
}

impl Host for RecordingHost {
    fn send_attempt(&mut self, request_id: &str, backend: &str, timeout: Duration) {
        assert!(timeout > Duration::ZERO, "attempt with no time left");
        self.attempts.entry(request_id.into()).or_default().push((backend.into(), self.now));
        self.log.push(format!("attempt {request_id} {backend}"));
    }

    fn reject(&mut self, request_id: &str, _: Option<Duration>) {
        self.log.push(format!("reject {request_id}"));
    }

    fn fail(&mut self, request_id: &str) {
        self.log.push(format!("fail {request_id}"));
    }

    fn add_to_counter(&mut self, name: &str, amount: f64, _: Duration) {
        *self.counts.entry(name.into()).or_default() += amount;
        self.calls.push(name.into());
        self.log.push(format!("counter-call {name}"));
    }

    fn broadcast_usage(&mut self, updates: &[UsageUpdate]) -> usize {
        self.log.extend(updates.iter().map(|update| format!("update {}", update.usage.forwarded)));
        self.last_tenant_hash = updates.last().map_or(self.last_tenant_hash, |update| update.tenant_hash);
        1
    }

    fn ask_peer(&mut self, peer: u32, question_id: u16, _: &QuotaRequest) {
        self.questions.push(question_id);
        self.log.push(format!("ask {peer}"));
    }

    fn answer_peer(&mut self, _: u32, _: u16, decision: QuotaDecision) {
        self.log.push(if decision.exceeds { "dropped" } else { "admitted" }.into());
    }

    fn set_timer(&mut self, token: &str, after: Duration) {
        self.timers.insert((self.now + after, self.timers.len() + self.log.len()), token.into());
    }
}

fn number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("invalid number: {text}"))
}

fn duration(text: &str) -> Duration {
    Duration::from_micros((number(text) * 1e6).round() as i64)
}

fn timestamp(text: &str) -> Timestamp {
    Timestamp::from_micros(duration(text).as_micros())
}

fn parse_arguments<'a>(parts: impl Iterator<Item = &'a str>) -> Arguments<'a> {
    parts.map(|part| part.split_once('=').unwrap_or((part, ""))).collect()
}

fn backend_entry(text: &str) -> BackendEntry {
    let mut parts = text.split('/');
    let id = parts.next().unwrap_or_default().to_owned();
    let arguments = parse_arguments(parts);
    let status = match (arguments.contains_key("draining"), arguments.contains_key("removed")) {
        (true, _) => BackendStatus::Draining,
        (_, true) => BackendStatus::Removed,
        _ => BackendStatus::Live,
    };
    let text = |name: &str| arguments.get(name).unwrap_or(&"").to_string();
    let cell = arguments.get("cell").map_or(0, |c| number(c) as i64);
    let weight = arguments.get("weight").map_or(1.0, |s| number(s));
    let started = arguments.get("started").map(|s| timestamp(s));
    BackendEntry { id, zone: text("zone"), cell, status, weight, started }
}

/// A running scenario.
struct Scenario {
    config: GatewayConfig,
    gateway: Option<Gateway>,
    host: RecordingHost,
    counter: Option<(String, String)>,
}

impl Scenario {
    fn gateway(&mut self) -> (&mut Gateway, &mut RecordingHost, Timestamp) {
        let now = self.host.now;
        (self.gateway.as_mut().expect("no `open` step yet"), &mut self.host, now)
    }

    fn configure(&mut self, section: &str, arguments: &Arguments) {
        let get = |name: &str, absent: f64| arguments.get(name).map_or(absent, |v| number(v));
        let secs = |name: &str, absent: f64| Duration::from_micros((get(name, absent) * 1e6) as i64);
        let default = if section == "plan" { "p" } else { "w" };
        let name = arguments.get("name").unwrap_or(&default).to_string();
        match section {
            "workload" => {
                let scope = match arguments.get("scope") {
                    Some(&"zone") => Scope::Zone,
                    Some(&"cell") => Scope::Cell,
                    _ => Scope::All,
                };
                let idempotency = match arguments.get("idempotency") {
                    Some(&"deduplicated") => Idempotency::Deduplicated { scope, window: secs("window", 5.0) },
                    Some(&"non-idempotent") => Idempotency::NonIdempotent,
                    _ => Idempotency::Idempotent,
                };
                let (latency_target, late_value, value) =
                    (secs("latency_target", 2.0), get("late_value", 0.0), get("value", 1.0));
                self.config.workloads.push(Workload { name, idempotency, latency_target, late_value, value });
            }
            "plan" => self.config.plans.push(Rc::new(Plan {
                name,
                rate: get("rate", 0.0),
                burst: get("burst", 0.0),
                max_in_flight: get("max_in_flight", 0.0) as u32,
                hard_rate: get("hard_rate", 0.0),
                hard_burst: get("hard_burst", 0.0),
            })),
            _ => {
                self.config.gateways = get("gateways", 2.0) as u32;
                self.config.gateway_index = get("index", 0.0) as u32;
                self.config.counter_timeout = Some(secs("counter_timeout", 0.03));
                self.config.max_units = get("max_units", 1.0);
                self.config.max_attempts = get("max_attempts", 5.0) as u32;
                self.config.max_peer_messages = get("peer_messages", 0.0);
                self.config.max_retry_after = Some(Duration::from_secs(1));
                self.config.slow_start = SlowStart {
                    initial_capacity: get("initial_capacity", 0.2),
                    ramp: secs("ramp", 10.0),
                    multiple: get("multiple", 2.0),
                    window: secs("window", 2.0),
                };
            }
        }
    }

    fn advance_to(&mut self, to: Timestamp) {
        while let Some(((due, _), _)) = self.host.timers.first_key_value() {
            if *due > to {
                break;
            }
            let ((due, _), token) = self.host.timers.pop_first().expect("checked above");
            self.host.now = due.max(self.host.now);
            let (gateway, host, now) = self.gateway();
            gateway.timer_fired(now, &token, host);
            self.answer_automatically();
        }
        self.host.now = to;
    }

    fn send_request(&mut self, id: &str, arguments: &Arguments) {
        let (gateway, host, now) = self.gateway();
        let request = IncomingRequest {
            id,
            tenant: arguments.get("tenant").unwrap_or(&"k"),
            workload: arguments.get("workload").unwrap_or(&"w"),
            plan: arguments.get("plan").unwrap_or(&"p"),
            deadline: arguments.get("deadline").map_or(now + Duration::from_secs(8), |l| timestamp(l)),
            units: arguments.get("units").map_or(1.0, |u| number(u)),
            gateways: arguments.get("gateways").map_or(0, |v| number(v) as u32),
            first_gateway: 0,
        };
        gateway.request_arrived(now, &request, host);
        self.answer_automatically();
    }

    fn answer_automatically(&mut self) {
        while let Some((how, factor)) = self.counter.clone().filter(|_| !self.host.calls.is_empty()) {
            self.answer(&how, &Arguments::from([("factor", factor.as_str())]));
        }
    }

    fn end(&mut self, id: &str, outcome: &str, arguments: &Arguments) {
        let attempts = &self.host.attempts[id];
        let (backend, sent) = attempts[attempts.len() - 1].clone();
        let attempt_outcome = match outcome {
            "completed" => AttemptOutcome::Completed,
            "failed" => AttemptOutcome::Failed,
            "rejected" => AttemptOutcome::Rejected,
            "timed-out" => AttemptOutcome::TimedOut,
            "unreachable" => AttemptOutcome::Unreachable,
            other => panic!("unknown outcome: {other}"),
        };
        let is_final = attempt_outcome == AttemptOutcome::Completed || arguments.contains_key("final");
        let actual_units = arguments.get("actual").map(|t| number(t));
        let (gateway, host, now) = self.gateway();
        let elapsed = arguments.get("elapsed").map_or(now - sent, |t| duration(t));
        let end = AttemptEnd {
            request_id: id,
            backend: &backend,
            outcome: attempt_outcome,
            is_final,
            elapsed,
            actual_units,
        };
        gateway.attempt_ended(now, &end, host);
    }

    fn send_requests(&mut self, count: usize, line: usize, arguments: &Arguments) {
        let mut in_flight: Vec<(Timestamp, String)> = Vec::new();
        let every = duration(arguments.get("every").unwrap_or(&"0.01"));
        let start = self.host.now;
        for n in 0..count {
            let now = start + every * n as i64;
            while let Some(due) = in_flight.first().map(|s| s.0).filter(|due| *due <= now) {
                self.advance_to(due);
                let (_, id) = in_flight.remove(0);
                self.end(&id, arguments.get("outcome").unwrap_or(&"completed"), arguments);
            }
            self.advance_to(now);
            let id = format!("o{line}-{n}");
            let mut arguments = arguments.clone();
            if arguments.contains_key("new-tenants") {
                arguments.insert("tenant", &id);
            }
            self.send_request(&id, &arguments);
            if let (true, Some(after)) = (self.host.attempts.contains_key(&id), arguments.get("latency")) {
                in_flight.push((now + duration(after), id));
            }
        }
        for (due, id) in in_flight {
            self.advance_to(due.max(self.host.now));
            self.end(&id, arguments.get("outcome").unwrap_or(&"completed"), arguments);
        }
    }

    fn answer(&mut self, how: &str, arguments: &Arguments) {
        for name in std::mem::take(&mut self.host.calls) {
            let total = self.host.counts[&name] * arguments.get("factor").map_or(1.0, |t| number(t));
            let total = match how {
                "reset" => Reading::Known(0.0),
                "timeout" => Reading::Unknown,
                "late" => Reading::Late(total),
                _ => Reading::Known(total),
            };
            let (gateway, host, now) = self.gateway();
            gateway.counter_answered(now, &name, total, host);
        }
    }

    fn expect(&self, line: &str) {
        let parts: Vec<&str> = line.split_whitespace().collect();
        let log = &self.host.log;
        let count_prefix = |start: &str| log.iter().filter(|l| l.starts_with(start)).count();
        let assert_within = |found: usize, range: &str| {
            let (min, max) = range.split_once("..").expect("MIN..MAX");
            let in_range = number(min) <= found as f64 && found as f64 <= number(max);
            assert!(in_range, "`{line}`: found {found} in {log:?}");
        };
        match parts[..] {
            ["sent", range] => assert_within(count_prefix("attempt "), range),
            ["rejected", range] => assert_within(count_prefix("reject "), range),
            ["to", backend, range] => assert_within(
                log.iter()
                    .filter(|l| l.starts_with("attempt ") && l.ends_with(&format!(" {backend}")))
                    .count(),
                range,
            ),
            ["table-sizes", ref counts @ ..] => {
                let sizes = self.gateway.as_ref().expect("no `open` step yet").table_sizes();
                let counts: Vec<usize> = counts.iter().map(|count| number(count) as usize).collect();
                assert_eq!(sizes.as_slice(), counts, "`{line}`: requests, tenants, backends, waiting");
            }
            ["nothing"] => assert_within(
                count_prefix("attempt ") + count_prefix("reject ") + count_prefix("fail "),
                "0..0",
            ),
            ["counter-calls", range] => assert_within(count_prefix("counter-call "), range),
            ["questions", range] => assert_within(count_prefix("ask "), range),
            [decision @ ("admitted" | "dropped"), range] => assert_within(count_prefix(decision), range),
            ["attempt", id, ref backends @ ..] => {
                let found = log.iter().find_map(|l| l.strip_prefix(&format!("attempt {id} ")));
                let found = found.unwrap_or_else(|| panic!("`{line}`: {log:?}"));
                assert!(backends.is_empty() || backends.contains(&found), "`{line}`: {log:?}");
            }
            _ => assert!(log.iter().any(|l| l == line), "`{line}`: {log:?}"),
        }
    }

    fn step(&mut self, line_number: usize, line: &str) {
        if let Some(expected) = line.strip_prefix("> ") {
            return self.expect(expected.trim());
        }
        self.host.log.clear();
        let mut parts = line.split_whitespace();
        let (verb, rest) = (parts.next().unwrap_or_default(), parts.collect::<Vec<_>>());
        let arguments = parse_arguments(rest.iter().copied());
        match (verb, rest.first().copied()) {
            ("gateway" | "workload" | "plan", _) => self.configure(verb, &arguments),
            ("open", _) => {
                let config = &self.config;
                let is_missing = [config.gateways == 0, config.workloads.is_empty(), config.plans.is_empty()];
                for (section, is_missing) in ["gateway", "workload", "plan"].into_iter().zip(is_missing) {
                    if is_missing {
                        self.configure(section, &Arguments::from([("late_value", "0.2")]));
                    }
                }
                let config = Rc::new(self.config.clone());
                self.host.timers.clear();
                self.gateway = Some(Gateway::open(config, 11, self.host.now));
                let entries: Vec<BackendEntry> = rest.iter().map(|t| backend_entry(t)).collect();
                self.gateway().0.update_backends(true, &entries);
            }
            ("backends", Some(kind)) => {
                let entries: Vec<BackendEntry> = rest[1..].iter().map(|t| backend_entry(t)).collect();
                self.gateway().0.update_backends(kind == "full", &entries);
            }
            ("at", Some(time)) => self.advance_to(timestamp(time)),
            ("request", Some(id)) => self.send_request(id, &arguments),
            ("offer", Some(count)) => self.send_requests(number(count) as usize, line_number, &arguments),
            ("end", Some(id)) => self.end(id, rest[1], &arguments),
            ("disconnect", Some(id)) => self.gateway().0.client_disconnected(id),
            ("counter", Some(how)) => {
                self.counter = Some((how.to_owned(), arguments.get("factor").unwrap_or(&"1").to_string()))
            }
            ("answer", Some(how)) => self.answer(how, &arguments),
            ("peer-update", Some(units)) => {
                let usage = Usage { offered: number(units), forwarded: number(units) };
                let (gateway, host, now) = self.gateway();
                gateway.usage_received(now, &[UsageUpdate { tenant_hash: host.last_tenant_hash, usage }]);
            }
            ("peer-asks", Some(count)) => {
                let quota = QuotaRequest { tenant: "k".into(), plan: 0, gateways: 200, units: 1.0 };
                let (gateway, host, now) = self.gateway();
                (0..number(count) as usize).for_each(|_| gateway.peer_asked(now, 1, 7, &quota, host));
            }
            ("controller-answers", Some(how)) => {
                let decision = QuotaDecision { exceeds: how == "drop", ratio: 1.0 };
                for question in std::mem::take(&mut self.host.questions) {
                    let (gateway, host, now) = self.gateway();
                    gateway.peer_answered(now, question, decision, host);
                }
            }
            _ => panic!("unknown step: {line}"),
        }
    }
}

#[test]
fn scenarios() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(directory).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        let mut scenario = Scenario {
            config: GatewayConfig::default(),
            gateway: None,
            host: RecordingHost::default(),
            counter: None,
        };
        for (n, line) in std::fs::read_to_string(&file).unwrap().lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                println!("{name}:{}: {line}", n + 1); // shown only if the test fails
                scenario.step(n + 1, line);
            }
        }
    }
}
