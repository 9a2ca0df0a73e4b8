//! Plays the scenarios in `tests/scenarios/`, one test for all. The notation, a step a line:
//!
//!     gateway | workload | plan NAME=VALUE..   the charter; what is left out has defaults
//!     open ID/NAME=VALUE..                     starts a gateway by it, from nothing, with these backends
//!     list whole|changes ID/NAME=VALUE..      backends, e.g. b1/zone=z/cell=2/started=4.5/draining
//!     at TIME                                  moves the clock in seconds; timers that fall due are played
//!     command ID NAME=VALUE..                  a command: customer, plan, workload, units, limit, width
//!     offer N every=SPAN [settle=SPAN [ending=ENDING]] [each] ..    N commands, their legs ended after a span;
//!                                              each of a customer of its own
//!     end ID ENDING [took=SPAN] [over] [true=UNITS]    the newest leg of a command has ended
//!     left ID                                  its client has gone
//!     answer times=N | lost | silent | late    to all calls that are out; the total is N times what is here
//!     counter HOW [times=N]                    answers so by itself from now on
//!     told UNITS                               by a peer, of the customer that it was told of last
//!     asked N                                  by a peer, so often, as the controller of customer k
//!     answered beyond | passes                 by the controllers, to all questions that are out
//!     > leg ID [BACKEND..] | bounce ID | scrap ID | nothing | told UNITS | ask PEER    of the last step
//!     > sent|bounced|counted|asked|passed|beyond|to BACKEND MIN..MAX    how many the last step gave
//!     > kept COMMANDS CUSTOMERS BACKENDS WAITING    by the gateway, of each so many

use kitepass_gateway_policy::{
    AttemptEnd, AttemptOutcome, BackendEntry, BackendStatus, Gateway, GatewayConfig, Group, Idempotency,
    IncomingRequest, Plan, QuotaDecision, QuotaRequest, Reading, SlowStart, Units, UsageUpdate, Workload,
};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

type Words<'a> = HashMap<&'a str, &'a str>;

#[derive(Default)]
struct Host {
    log: Vec<String>,
    legs: HashMap<String, Vec<(String, Timestamp)>>,
    timers: BTreeMap<(Timestamp, usize), String>,
    calls: Vec<String>,
    questions: Vec<u16>,
    mark: u32,
    counts: HashMap<String, f64>,
    now: Timestamp,
}

impl kitepass_gateway_policy::Host for Host {
    fn send_attempt(&mut self, command: &str, backend: &str, allow: Duration) {
        assert!(allow > Duration::ZERO, "a leg with no time");
        self.legs.entry(command.into()).or_default().push((backend.into(), self.now));
        self.log.push(format!("leg {command} {backend}"));
    }
    fn reject(&mut self, command: &str, _: Option<Duration>) {
        self.log.push(format!("bounce {command}"));
    }
    fn fail(&mut self, command: &str) {
        self.log.push(format!("scrap {command}"));
    }
    fn add_to_counter(&mut self, name: &str, amount: f64, _: Duration) {
        *self.counts.entry(name.into()).or_default() += amount;
        self.calls.push(name.into());
        self.log.push(format!("count {name}"));
    }
    fn broadcast_usage(&mut self, news: &[UsageUpdate]) -> usize {
        self.log.extend(news.iter().map(|item| format!("told {}", item.units.forwarded)));
        self.mark = news.last().map_or(self.mark, |item| item.tenant_hash);
        1
    }
    fn ask_peer(&mut self, peer: u32, question: u16, _: &QuotaRequest) {
        self.questions.push(question);
        self.log.push(format!("ask {peer}"));
    }
    fn answer_peer(&mut self, _: u32, _: u16, verdict: QuotaDecision) {
        self.log.push(if verdict.exceeds { "beyond" } else { "passed" }.into());
    }
    fn set_timer(&mut self, token: &str, after: Duration) {
        self.timers.insert((self.now + after, self.timers.len() + self.log.len()), token.into());
    }
}

fn number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("no number: {text}"))
}

fn span(text: &str) -> Duration {
    Duration::from_micros((number(text) * 1e6).round() as i64)
}

fn moment(text: &str) -> Timestamp {
    Timestamp::from_micros(span(text).as_micros())
}

fn words<'a>(parts: impl Iterator<Item = &'a str>) -> Words<'a> {
    parts.map(|part| part.split_once('=').unwrap_or((part, ""))).collect()
}

fn listed(text: &str) -> BackendEntry {
    let mut parts = text.split('/');
    let id = parts.next().unwrap_or_default().to_owned();
    let w = words(parts);
    let standing = match (w.contains_key("draining"), w.contains_key("gone")) {
        (true, _) => BackendStatus::Draining,
        (_, true) => BackendStatus::Removed,
        _ => BackendStatus::Live,
    };
    let text = |name: &str| w.get(name).unwrap_or(&"").to_string();
    let cell = w.get("cell").map_or(0, |c| number(c) as i64);
    let size = w.get("size").map_or(1.0, |s| number(s));
    let started = w.get("started").map(|s| moment(s));
    BackendEntry { id, zone: text("zone"), cell, status: standing, weight: size, started }
}

struct Play {
    config: GatewayConfig,
    gateway: Option<Gateway>,
    orders: Host,
    counter: Option<(String, String)>,
}

impl Play {
    fn gateway(&mut self) -> (&mut Gateway, &mut Host, Timestamp) {
        let now = self.orders.now;
        (self.gateway.as_mut().expect("no `open` yet"), &mut self.orders, now)
    }

    fn terms(&mut self, what: &str, w: &Words) {
        let get = |name: &str, absent: f64| w.get(name).map_or(absent, |v| number(v));
        let secs = |name: &str, absent: f64| Duration::from_micros((get(name, absent) * 1e6) as i64);
        let default = if what == "plan" { "p" } else { "w" };
        let name = w.get("name").unwrap_or(&default).to_string();
        match what {
            "workload" => {
                let group = match w.get("group") {
                    Some(&"zone") => Group::Zone,
                    Some(&"cell") => Group::Cell,
                    _ => Group::All,
                };
                let repeats = match w.get("repeats") {
                    Some(&"tagged") => Idempotency::Deduplicated { group, memory: secs("memory", 5.0) },
                    Some(&"once-only") => Idempotency::NonIdempotent,
                    _ => Idempotency::Idempotent,
                };
                let (contract, late_share, value) =
                    (secs("contract", 2.0), get("late", 0.0), get("value", 1.0));
                self.config.workloads.push(Workload {
                    name,
                    idempotency: repeats,
                    latency_target: contract,
                    late_value: late_share,
                    value,
                });
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
        while let Some(((due, _), _)) = self.orders.timers.first_key_value() {
            if *due > to {
                break;
            }
            let ((due, _), token) = self.orders.timers.pop_first().expect("seen");
            self.orders.now = due.max(self.orders.now);
            let (gateway, orders, now) = self.gateway();
            gateway.timer_fired(now, &token, orders);
            self.answer_by_itself();
        }
        self.orders.now = to;
    }

    fn command(&mut self, id: &str, w: &Words) {
        let (gateway, orders, now) = self.gateway();
        let asked = IncomingRequest {
            id,
            tenant: w.get("customer").unwrap_or(&"k"),
            workload: w.get("workload").unwrap_or(&"w"),
            plan: w.get("plan").unwrap_or(&"p"),
            deadline: w.get("limit").map_or(now + Duration::from_secs(8), |l| moment(l)),
            units: w.get("units").map_or(1.0, |u| number(u)),
            gateways: w.get("width").map_or(0, |v| number(v) as u32),
            first_gateway: 0,
        };
        gateway.request_arrived(now, &asked, orders);
        self.answer_by_itself();
    }

    fn answer_by_itself(&mut self) {
        while let Some((how, times)) = self.counter.clone().filter(|_| !self.orders.calls.is_empty()) {
            self.answer(&how, &Words::from([("times", times.as_str())]));
        }
    }

    fn end(&mut self, id: &str, ending: &str, w: &Words) {
        let legs = &self.orders.legs[id];
        let (backend, sent) = legs[legs.len() - 1].clone();
        let ending = match ending {
            "settled" => AttemptOutcome::Completed,
            "error" => AttemptOutcome::Failed,
            "turned_away" => AttemptOutcome::Rejected,
            "silent" => AttemptOutcome::TimedOut,
            "unreachable" => AttemptOutcome::Unreachable,
            other => panic!("no ending: {other}"),
        };
        let over = ending == AttemptOutcome::Completed || w.contains_key("over");
        let true_units = w.get("true").map(|t| number(t));
        let (gateway, orders, now) = self.gateway();
        let took = w.get("took").map_or(now - sent, |t| span(t));
        let end = AttemptEnd {
            request_id: id,
            backend: &backend,
            outcome: ending,
            is_final: over,
            elapsed: took,
            actual_units: true_units,
        };
        gateway.attempt_ended(now, &end, orders);
    }

    fn offer(&mut self, times: usize, mark: usize, w: &Words) {
        let mut settling: Vec<(Timestamp, String)> = Vec::new();
        let every = span(w.get("every").unwrap_or(&"0.01"));
        let start = self.orders.now;
        for n in 0..times {
            let now = start + every * n as i64;
            while let Some(due) = settling.first().map(|s| s.0).filter(|due| *due <= now) {
                self.move_to(due);
                let (_, id) = settling.remove(0);
                self.end(&id, w.get("ending").unwrap_or(&"settled"), w);
            }
            self.move_to(now);
            let id = format!("o{mark}-{n}");
            let mut w = w.clone();
            if w.contains_key("each") {
                w.insert("customer", &id);
            }
            self.command(&id, &w);
            if let (true, Some(after)) = (self.orders.legs.contains_key(&id), w.get("settle")) {
                settling.push((now + span(after), id));
            }
        }
        for (due, id) in settling {
            self.move_to(due.max(self.orders.now));
            self.end(&id, w.get("ending").unwrap_or(&"settled"), w);
        }
    }

    fn answer(&mut self, how: &str, w: &Words) {
        for name in std::mem::take(&mut self.orders.calls) {
            let total = self.orders.counts[&name] * w.get("times").map_or(1.0, |t| number(t));
            let total = match how {
                "lost" => Reading::Known(0.0),
                "silent" => Reading::Unknown,
                "late" => Reading::Late(total),
                _ => Reading::Known(total),
            };
            let (gateway, orders, now) = self.gateway();
            gateway.counter_answered(now, &name, total, orders);
        }
    }

    fn expect(&self, line: &str) {
        let parts: Vec<&str> = line.split_whitespace().collect();
        let log = &self.orders.log;
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

    fn step(&mut self, number_of_line: usize, line: &str) {
        if let Some(expected) = line.strip_prefix("> ") {
            return self.expect(expected.trim());
        }
        self.orders.log.clear();
        let mut parts = line.split_whitespace();
        let (verb, rest) = (parts.next().unwrap_or_default(), parts.collect::<Vec<_>>());
        let w = words(rest.iter().copied());
        match (verb, rest.first().copied()) {
            ("gateway" | "workload" | "plan", _) => self.terms(verb, &w),
            ("open", _) => {
                let c = &self.config;
                let lacks = [c.gateways == 0, c.workloads.is_empty(), c.plans.is_empty()];
                for (what, lacks) in ["gateway", "workload", "plan"].into_iter().zip(lacks) {
                    if lacks {
                        self.terms(what, &Words::from([("late", "0.2")]));
                    }
                }
                let config = Rc::new(self.config.clone());
                self.orders.timers.clear();
                self.gateway = Some(Gateway::open(config, 11, self.orders.now));
                self.gateway().0.update_backends(true, &rest.iter().map(|t| listed(t)).collect::<Vec<_>>());
            }
            ("list", Some(kind)) => {
                let lines: Vec<BackendEntry> = rest[1..].iter().map(|t| listed(t)).collect();
                self.gateway().0.update_backends(kind == "whole", &lines);
            }
            ("at", Some(time)) => self.move_to(moment(time)),
            ("command", Some(id)) => self.command(id, &w),
            ("offer", Some(times)) => self.offer(number(times) as usize, number_of_line, &w),
            ("end", Some(id)) => self.end(id, rest[1], &w),
            ("left", Some(id)) => self.gateway().0.client_disconnected(id),
            ("counter", Some(how)) => {
                self.counter = Some((how.to_owned(), w.get("times").unwrap_or(&"1").to_string()))
            }
            ("answer", Some(how)) => self.answer(how, &w),
            ("told", Some(units)) => {
                let units = Units { offered: number(units), forwarded: number(units) };
                let (gateway, orders, now) = self.gateway();
                gateway.usage_received(now, &[UsageUpdate { tenant_hash: orders.mark, units }]);
            }
            ("asked", Some(times)) => {
                let offer = QuotaRequest { tenant: "k".into(), plan: 0, gateways: 200, units: 1.0 };
                let (gateway, orders, now) = self.gateway();
                (0..number(times) as usize).for_each(|_| gateway.peer_asked(now, 1, 7, &offer, orders));
            }
            ("answered", Some(how)) => {
                let verdict = QuotaDecision { exceeds: how == "beyond", ratio: 1.0 };
                for question in std::mem::take(&mut self.orders.questions) {
                    let (gateway, orders, now) = self.gateway();
                    gateway.peer_answered(now, question, verdict, orders);
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
        let mut play =
            Play { config: GatewayConfig::default(), gateway: None, orders: Host::default(), counter: None };
        for (n, line) in std::fs::read_to_string(&file).unwrap().lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                println!("{name}:{}: {line}", n + 1); // shown if the step fails
                play.step(n + 1, line);
            }
        }
    }
}
