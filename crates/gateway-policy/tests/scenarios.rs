//! Plays the scenarios in `tests/scenarios/`, one test for all. The notation, one step per line, has words of its own:
//! a command is a request, a customer a tenant, a leg an attempt; `bounce` is a rejection and `scrap` an error.
//!
//!     gateway | workload | plan NAME=VALUE..   the configuration; absent values have defaults
//!     open ID/NAME=VALUE..                     starts a gateway with it and with these backends
//!     list whole|changes ID/NAME=VALUE..      backends, e.g. b1/zone=z/cell=2/started=4.5/draining
//!     at TIME                                  moves the clock in seconds; expired timers are played
//!     command ID NAME=VALUE..                  a command: customer, plan, workload, units, limit, width
//!     offer N every=SPAN [settle=SPAN [ending=ENDING]] [each] ..    N commands, their legs ended after a span;
//!                                              each of a customer of its own
//!     end ID ENDING [took=SPAN] [over] [true=UNITS]    the newest leg of a command has ended
//!     left ID                                  its client has disconnected
//!     answer times=N | lost | silent | late    to all calls in flight; the total is N times what is here
//!     counter HOW [times=N]                    answers all later calls so at once
//!     told UNITS                               by a peer, of the customer that it was told of last
//!     asked N                                  by a peer, so often, as the controller of customer k
//!     answered beyond | passes                 by the controllers, to all questions in flight
//!     > leg ID [BACKEND..] | bounce ID | scrap ID | nothing | told UNITS | ask PEER    of the last step
//!     > sent|bounced|counted|asked|passed|beyond|to BACKEND MIN..MAX    how many the last step gave
//!     > kept COMMANDS CUSTOMERS BACKENDS WAITING    by the gateway, so many of each

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

/// Notes what the gateway does, for the `>` lines.
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
    fn send_attempt(&mut self, request_id: &str, backend: &str, allow: Duration) {
        assert!(allow > Duration::ZERO, "an attempt with no time");
        self.attempts.entry(request_id.into()).or_default().push((backend.into(), self.now));
        self.log.push(format!("leg {request_id} {backend}"));
    }

    fn reject(&mut self, request_id: &str, _: Option<Duration>) {
        self.log.push(format!("bounce {request_id}"));
    }

    fn fail(&mut self, request_id: &str) {
        self.log.push(format!("scrap {request_id}"));
    }

    fn add_to_counter(&mut self, name: &str, amount: f64, _: Duration) {
        *self.counts.entry(name.into()).or_default() += amount;
        self.calls.push(name.into());
        self.log.push(format!("count {name}"));
    }

    fn broadcast_usage(&mut self, updates: &[UsageUpdate]) -> usize {
        self.log.extend(updates.iter().map(|update| format!("told {}", update.usage.forwarded)));
        self.last_tenant_hash = updates.last().map_or(self.last_tenant_hash, |update| update.tenant_hash);
        1
    }

    fn ask_peer(&mut self, peer: u32, question_id: u16, _: &QuotaRequest) {
        self.questions.push(question_id);
        self.log.push(format!("ask {peer}"));
    }

    fn answer_peer(&mut self, _: u32, _: u16, decision: QuotaDecision) {
        self.log.push(if decision.exceeds { "beyond" } else { "passed" }.into());
    }

    fn set_timer(&mut self, token: &str, after: Duration) {
        self.timers.insert((self.now + after, self.timers.len() + self.log.len()), token.into());
    }
}

fn number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("no number: {text}"))
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
    let w = parse_arguments(parts);
    let status = match (w.contains_key("draining"), w.contains_key("gone")) {
        (true, _) => BackendStatus::Draining,
        (_, true) => BackendStatus::Removed,
        _ => BackendStatus::Live,
    };
    let text = |name: &str| w.get(name).unwrap_or(&"").to_string();
    let cell = w.get("cell").map_or(0, |c| number(c) as i64);
    let weight = w.get("size").map_or(1.0, |s| number(s));
    let started = w.get("started").map(|s| timestamp(s));
    BackendEntry { id, zone: text("zone"), cell, status, weight, started }
}

/// One scenario as it is played.
struct Scenario {
    config: GatewayConfig,
    gateway: Option<Gateway>,
    host: RecordingHost,
    counter: Option<(String, String)>,
}

impl Scenario {
    fn gateway(&mut self) -> (&mut Gateway, &mut RecordingHost, Timestamp) {
        let now = self.host.now;
        (self.gateway.as_mut().expect("no `open` yet"), &mut self.host, now)
    }

    fn configure(&mut self, what: &str, w: &Arguments) {
        let get = |name: &str, absent: f64| w.get(name).map_or(absent, |v| number(v));
        let secs = |name: &str, absent: f64| Duration::from_micros((get(name, absent) * 1e6) as i64);
        let default = if what == "plan" { "p" } else { "w" };
        let name = w.get("name").unwrap_or(&default).to_string();
        match what {
            "workload" => {
                let scope = match w.get("group") {
                    Some(&"zone") => Scope::Zone,
                    Some(&"cell") => Scope::Cell,
                    _ => Scope::All,
                };
                let idempotency = match w.get("repeats") {
                    Some(&"tagged") => Idempotency::Deduplicated { scope, window: secs("memory", 5.0) },
                    Some(&"once-only") => Idempotency::NonIdempotent,
                    _ => Idempotency::Idempotent,
                };
                let (latency_target, late_value, value) =
                    (secs("contract", 2.0), get("late", 0.0), get("value", 1.0));
                self.config.workloads.push(Workload { name, idempotency, latency_target, late_value, value });
            }
            "plan" => self.config.plans.push(Rc::new(Plan {
                name,
                rate: get("rate", 0.0),
                burst: get("store", 0.0),
                max_in_flight: get("legs_out", 0.0) as u32,
                hard_rate: get("ceiling_rate", 0.0),
                hard_burst: get("ceiling_depth", 0.0),
            })),
            _ => {
                self.config.gateways = get("gateways", 2.0) as u32;
                self.config.gateway_index = get("me", 0.0) as u32;
                self.config.counter_timeout = Some(secs("counter", 0.03));
                self.config.max_units = get("largest", 1.0);
                self.config.max_attempts = get("legs", 5.0) as u32;
                self.config.max_peer_messages = get("peers", 0.0);
                self.config.max_retry_after = Some(Duration::from_secs(1));
                self.config.slow_start = SlowStart {
                    initial_capacity: get("least", 0.2),
                    ramp: secs("warm", 10.0),
                    multiple: get("multiple", 2.0),
                    window: secs("window", 2.0),
                };
            }
        }
    }

    fn move_to(&mut self, to: Timestamp) {
        while let Some(((due, _), _)) = self.host.timers.first_key_value() {
            if *due > to {
                break;
            }
            let ((due, _), token) = self.host.timers.pop_first().expect("seen");
            self.host.now = due.max(self.host.now);
            let (gateway, host, now) = self.gateway();
            gateway.timer_fired(now, &token, host);
            self.answer_automatically();
        }
        self.host.now = to;
    }

    fn send_request(&mut self, id: &str, w: &Arguments) {
        let (gateway, host, now) = self.gateway();
        let request = IncomingRequest {
            id,
            tenant: w.get("customer").unwrap_or(&"k"),
            workload: w.get("workload").unwrap_or(&"w"),
            plan: w.get("plan").unwrap_or(&"p"),
            deadline: w.get("limit").map_or(now + Duration::from_secs(8), |l| timestamp(l)),
            units: w.get("units").map_or(1.0, |u| number(u)),
            gateways: w.get("width").map_or(0, |v| number(v) as u32),
            first_gateway: 0,
        };
        gateway.request_arrived(now, &request, host);
        self.answer_automatically();
    }

    fn answer_automatically(&mut self) {
        while let Some((how, times)) = self.counter.clone().filter(|_| !self.host.calls.is_empty()) {
            self.answer(&how, &Arguments::from([("times", times.as_str())]));
        }
    }

    fn end(&mut self, id: &str, ending: &str, w: &Arguments) {
        let attempts = &self.host.attempts[id];
        let (backend, sent) = attempts[attempts.len() - 1].clone();
        let ending = match ending {
            "settled" => AttemptOutcome::Completed,
            "error" => AttemptOutcome::Failed,
            "turned_away" => AttemptOutcome::Rejected,
            "silent" => AttemptOutcome::TimedOut,
            "unreachable" => AttemptOutcome::Unreachable,
            other => panic!("no ending: {other}"),
        };
        let is_final = ending == AttemptOutcome::Completed || w.contains_key("over");
        let actual_units = w.get("true").map(|t| number(t));
        let (gateway, host, now) = self.gateway();
        let elapsed = w.get("took").map_or(now - sent, |t| duration(t));
        let end = AttemptEnd {
            request_id: id,
            backend: &backend,
            outcome: ending,
            is_final,
            elapsed,
            actual_units,
        };
        gateway.attempt_ended(now, &end, host);
    }

    fn send_requests(&mut self, times: usize, line: usize, w: &Arguments) {
        let mut in_flight: Vec<(Timestamp, String)> = Vec::new();
        let every = duration(w.get("every").unwrap_or(&"0.01"));
        let start = self.host.now;
        for n in 0..times {
            let now = start + every * n as i64;
            while let Some(due) = in_flight.first().map(|s| s.0).filter(|due| *due <= now) {
                self.move_to(due);
                let (_, id) = in_flight.remove(0);
                self.end(&id, w.get("ending").unwrap_or(&"settled"), w);
            }
            self.move_to(now);
            let id = format!("o{line}-{n}");
            let mut w = w.clone();
            if w.contains_key("each") {
                w.insert("customer", &id);
            }
            self.send_request(&id, &w);
            if let (true, Some(after)) = (self.host.attempts.contains_key(&id), w.get("settle")) {
                in_flight.push((now + duration(after), id));
            }
        }
        for (due, id) in in_flight {
            self.move_to(due.max(self.host.now));
            self.end(&id, w.get("ending").unwrap_or(&"settled"), w);
        }
    }

    fn answer(&mut self, how: &str, w: &Arguments) {
        for name in std::mem::take(&mut self.host.calls) {
            let total = self.host.counts[&name] * w.get("times").map_or(1.0, |t| number(t));
            let total = match how {
                "lost" => Reading::Known(0.0),
                "silent" => Reading::Unknown,
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
        let begins = |start: &str| log.iter().filter(|l| l.starts_with(start)).count();
        let within = |found: usize, range: &str| {
            let (least, most) = range.split_once("..").expect("MIN..MAX");
            let good = number(least) <= found as f64 && found as f64 <= number(most);
            assert!(good, "`{line}`: found {found} in {log:?}");
        };
        match parts[..] {
            ["sent", range] => within(begins("leg "), range),
            ["bounced", range] => within(begins("bounce "), range),
            ["to", backend, range] => within(
                log.iter().filter(|l| l.starts_with("leg ") && l.ends_with(&format!(" {backend}"))).count(),
                range,
            ),
            ["kept", ref counts @ ..] => {
                let kept = self.gateway.as_ref().expect("no `open` yet").table_sizes();
                let counts: Vec<usize> = counts.iter().map(|count| number(count) as usize).collect();
                assert_eq!(kept.as_slice(), counts, "`{line}`: commands, customers, backends, waiting");
            }
            ["nothing"] => within(begins("leg ") + begins("bounce ") + begins("scrap "), "0..0"),
            ["counted", range] => within(begins("count "), range),
            ["asked", range] => within(begins("ask "), range),
            [verdict @ ("passed" | "beyond"), range] => within(begins(verdict), range),
            ["leg", id, ref backends @ ..] => {
                let found = log.iter().find_map(|l| l.strip_prefix(&format!("leg {id} ")));
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
        let w = parse_arguments(rest.iter().copied());
        match (verb, rest.first().copied()) {
            ("gateway" | "workload" | "plan", _) => self.configure(verb, &w),
            ("open", _) => {
                let c = &self.config;
                let is_missing = [c.gateways == 0, c.workloads.is_empty(), c.plans.is_empty()];
                for (what, is_missing) in ["gateway", "workload", "plan"].into_iter().zip(is_missing) {
                    if is_missing {
                        self.configure(what, &Arguments::from([("late", "0.2")]));
                    }
                }
                let config = Rc::new(self.config.clone());
                self.host.timers.clear();
                self.gateway = Some(Gateway::open(config, 11, self.host.now));
                let entries: Vec<BackendEntry> = rest.iter().map(|t| backend_entry(t)).collect();
                self.gateway().0.update_backends(true, &entries);
            }
            ("list", Some(kind)) => {
                let entries: Vec<BackendEntry> = rest[1..].iter().map(|t| backend_entry(t)).collect();
                self.gateway().0.update_backends(kind == "whole", &entries);
            }
            ("at", Some(time)) => self.move_to(timestamp(time)),
            ("command", Some(id)) => self.send_request(id, &w),
            ("offer", Some(times)) => self.send_requests(number(times) as usize, line_number, &w),
            ("end", Some(id)) => self.end(id, rest[1], &w),
            ("left", Some(id)) => self.gateway().0.client_disconnected(id),
            ("counter", Some(how)) => {
                self.counter = Some((how.to_owned(), w.get("times").unwrap_or(&"1").to_string()))
            }
            ("answer", Some(how)) => self.answer(how, &w),
            ("told", Some(units)) => {
                let usage = Usage { offered: number(units), forwarded: number(units) };
                let (gateway, host, now) = self.gateway();
                gateway.usage_received(now, &[UsageUpdate { tenant_hash: host.last_tenant_hash, usage }]);
            }
            ("asked", Some(times)) => {
                let quota = QuotaRequest { tenant: "k".into(), plan: 0, gateways: 200, units: 1.0 };
                let (gateway, host, now) = self.gateway();
                (0..number(times) as usize).for_each(|_| gateway.peer_asked(now, 1, 7, &quota, host));
            }
            ("answered", Some(how)) => {
                let verdict = QuotaDecision { exceeds: how == "beyond", ratio: 1.0 };
                for question in std::mem::take(&mut self.host.questions) {
                    let (gateway, host, now) = self.gateway();
                    gateway.peer_answered(now, question, verdict, host);
                }
            }
            _ => panic!("no step: {line}"),
        }
    }
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
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
                println!("{name}:{}: {line}", n + 1); // shown if the step fails
                scenario.step(n + 1, line);
            }
        }
    }
}
