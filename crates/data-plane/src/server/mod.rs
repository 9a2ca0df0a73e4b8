//! Sockets and clock around the decisions: one thread, one loop.

use crate::attempt::{
    self, ConnectionRemains, InputState, NextStep, ReadProgress, RequestState, ResponseClass,
    ResponseContext, ResponseFailure, ResponseReader,
};
use crate::control_session::{ControlSession, LiveGateways, SessionUpdates};
use crate::load_balancer::{AttemptOutcome, LoadBalancer, SelectionRequest};
use crate::quota::{Admission, Decision, Quota, PERIOD};
use crate::request::{Request, RequestInfo, MAX_BUFFERED_BODY_BYTES};
use crate::retry_budget::{RetryBudget, RetryLimits};
use kitepass_config::{Kind, RequestSafety, RoutingTable};
use kitepass_coordination::protocol::framing::{Assembler, MOST_FRAME};
use kitepass_coordination::protocol::{self, Hello, Message, TenantUsage, UsageReport};
use kitepass_coordination::usage::{QuotaTolerance, RateLimit};
use kitepass_net::connection::{cause, Connection};
use kitepass_net::http::body::{Body, Framing, Head, HeadReader};
use kitepass_net::http::{digits, MessageKind};
use kitepass_net::poller::{self, Clock, Poller, ReadyEvent};
use kitepass_net::timer_wheel::{TimerKey, TimerWheel};
use kitepass_net::{Errno, OwnedFd};
use kitepass_node::process::{new_incarnation, Signals};
use kitepass_node::{Settings, Watch};
use kitepass_time::{Duration, Timestamp};
use log::{debug, error, info, warn};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

/// Bytes held for one peer that does not read; beyond that nothing more is read for it.
const MOST_UNSENT: usize = 256 * 1024;
const TICK: Duration = Duration::from_micros(100_000);
const PATIENCE: Duration = Duration::from_micros(1_500_000);
/// A connection to a backend that is not made by then is left: near, and in another region.
const NEAR: Duration = Duration::from_micros(250_000);
const FAR: Duration = Duration::from_micros(600_000);
/// Idle connections to backends are closed by us after so long, or before the time that the backend tells.
const REST: Duration = Duration::from_micros(8_000_000);
/// Idle connections kept to one backend.
const MOST_IDLE: usize = 8;
/// What still comes of a body that was answered before it was whole is read off for so long.
const DRAIN: Duration = Duration::from_micros(1_000_000);
/// After SIGTERM: clients are served for so long, on connections that say they close; then nothing new is taken.
const PARTING: Duration = Duration::from_micros(3_000_000);
/// Memory that bodies may take together.
const MOST_BODIES: usize = 64 * 1024 * 1024;

#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("settings: {source}"))]
    Settings { source: kitepass_node::Error },
    #[snafu(display("the settings name no {field}, which this program needs"))]
    Missing { field: &'static str },
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: Errno },
    #[snafu(display("{what}: {source}"))]
    System { what: &'static str, source: Errno },
    #[snafu(display("signals: {source}"))]
    Signals { source: std::io::Error },
}

const FRONT: u64 = 1;
const READINESS: u64 = 2;

/// A client's connection.
struct Client {
    wire: Connection,
    reader: HeadReader,
    body: Option<Body>,
    job: Option<u64>,
    /// The rest of a body that nobody wants is read off before the next request.
    skips: bool,
    closes: bool,
    ends: bool,
    /// It was answered before its body was whole, and what still comes is dropped for a while. Danger: a socket that is
    /// closed with bytes unread is reset, and the answer with it.
    drains: bool,
    /// The readiness check's.
    checks: bool,
    at: Timestamp,
    /// When the first byte of a head came that is not whole.
    begun: Option<Timestamp>,
    half: bool,
}

/// A connection to a backend.
struct Service {
    wire: Connection,
    call_sign: Arc<str>,
    leg: Option<Leg>,
    /// A HEAD went over it.
    headed: bool,
    rests_until: Timestamp,
}

/// A request's way through a connection to a backend.
struct Leg {
    job: u64,
    began: Timestamp,
    /// Bytes of the body handed to the connection.
    handed: u64,
    chunked: bool,
    finished: bool,
    answer: ResponseReader,
    timer: Option<TimerKey>,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Deadline(u64),
    Connect(u64),
    Overdue(u64, u64),
}

struct Session {
    id: u64,
    wire: Connection,
    assembler: Assembler,
}

pub struct Server {
    settings: Settings,
    poll: Poller,
    clock: Clock,
    timers: TimerWheel<Due>,
    listeners: Vec<(u64, OwnedFd)>,
    clients: BTreeMap<u64, Client>,
    lines: BTreeMap<u64, Service>,
    idle: BTreeMap<Arc<str>, Vec<u64>>,
    jobs: BTreeMap<u64, Request>,
    next: u64,
    bodies: usize,
    link: ControlSession,
    session: Option<Session>,
    view: Arc<RoutingTable>,
    changed: bool,
    quota: Quota,
    load_balancer: LoadBalancer,
    retry_budget: RetryBudget,
    live: usize,
    incarnation: u64,
    request_id: u64,
    /// Words to the count, by when they were sent.
    asked: BTreeMap<u64, Timestamp>,
    chance: oorandom::Rand64,
    piece: Vec<u8>,
    /// Connections to backends with more to read for which there is room.
    again: Vec<u64>,
    leaves: Option<Timestamp>,
    signals: Signals,
    watch: Watch,
}

fn retry_limits(settings: &Settings) -> RetryLimits {
    let bounds = &settings.bounds;
    let window = Duration::from_micros(bounds.retry_window.as_micros() as i64);
    RetryLimits { ratio: bounds.retry_ratio, window, margin: bounds.retry_margin }
}

fn tolerance(settings: &Settings) -> QuotaTolerance {
    let bounds = &settings.bounds;
    QuotaTolerance {
        window: bounds.quota_window.as_secs_f64(),
        excess: bounds.quota_excess,
        margin: bounds.quota_margin,
    }
}

impl Server {
    pub fn open(path: PathBuf) -> Result<Server, Error> {
        let settings = Settings::load(&path).context(SettingsSnafu)?;
        let poll = Poller::new().context(SystemSnafu { what: "epoll" })?;
        let clock = Clock::new();
        let Some(front) = settings.listeners.client_api else {
            return MissingSnafu { field: "front-counter" }.fail();
        };
        let mut listeners = Vec::new();
        for (token, address) in [(FRONT, Some(front)), (READINESS, settings.listeners.readiness)] {
            let Some(address) = address else { continue };
            let socket = poller::listen(&address).context(ListenSnafu { address })?;
            poll.add(&socket, token).context(SystemSnafu { what: "epoll" })?;
            listeners.push((token, socket));
        }
        let incarnation = new_incarnation(&settings.node_id);
        let hello = Hello {
            node_id: settings.node_id.clone(),
            address: settings.address.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation,
            client_address: front.to_string(),
            ..Hello::default()
        };
        let first = settings.bootstrap_addresses.iter().map(|stop| stop.ip().to_string()).collect();
        let link = ControlSession::new(hello, first, settings.zones.clone());
        let view = Arc::new(RoutingTable::build(&link.item_store));
        let watch = Watch::new(path);
        let now = clock.now();
        Ok(Server {
            quota: Quota::new(now, incarnation, tolerance(&settings)),
            load_balancer: LoadBalancer::new(
                incarnation ^ 1,
                &settings.node_id,
                &settings.zone,
                &settings.zones,
            ),
            retry_budget: RetryBudget::new(retry_limits(&settings)),
            settings,
            poll,
            clock,
            timers: TimerWheel::new(now),
            listeners,
            clients: BTreeMap::new(),
            lines: BTreeMap::new(),
            idle: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next: 16,
            bodies: 0,
            link,
            session: None,
            view,
            changed: false,
            live: 1,
            incarnation,
            request_id: 0,
            asked: BTreeMap::new(),
            chance: oorandom::Rand64::new(u128::from(incarnation ^ 2)),
            piece: vec![0; 64 * 1024],
            again: Vec::new(),
            leaves: None,
            signals: Signals::default(),
            watch,
        })
    }

    pub fn run(mut self) -> Result<(), Error> {
        self.signals.heed().context(SignalsSnafu)?;
        info!("event=serving station={} ip={}", self.settings.node_id, self.settings.address);
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        let mut ticked = Timestamp::default();
        let begun = self.clock.now();
        let (mut period, mut watched) = (begun, begun);
        loop {
            let now = self.clock.now();
            let next = self.timers.next().map_or(TICK, |at| (at - now).max(Duration::ZERO));
            let wait = (TICK - (now - ticked)).max(Duration::ZERO).min(next);
            let wait = if self.again.is_empty() { wait } else { Duration::ZERO };
            self.poll.wait(Some(wait), &mut ready).context(SystemSnafu { what: "waiting" })?;
            for ready in ready.drain(..) {
                self.ready(&ready);
            }
            while let Some(line) = self.again.pop() {
                self.serve_line(line, None);
            }
            let now = self.clock.now();
            self.timers.due(now, &mut due);
            for due in due.drain(..) {
                self.due(now, due);
            }
            if now - ticked >= TICK {
                ticked = now;
                self.tick(now);
            }
            if now - period >= PERIOD {
                period = if now - period > PERIOD * 2 { now } else { period + PERIOD };
                self.close_period(now);
            }
            if self.signals.reloads() || now - watched >= TICK * 10 {
                watched = now;
                self.reload();
            }
            self.refresh(now);
            self.go_on(now);
            self.speak();
            if self.leave(now) {
                return Ok(());
            }
        }
    }

    fn reload(&mut self) {
        match self.watch.changed() {
            Some(Ok(settings)) if settings == self.settings => {}
            Some(Ok(settings)) => {
                info!("event=settings");
                self.link.set_bootstrap_addresses(
                    settings.bootstrap_addresses.iter().map(|stop| stop.ip().to_string()).collect(),
                );
                self.retry_budget.set_limits(retry_limits(&settings));
                self.quota.set_tolerance(tolerance(&settings));
                self.settings = settings;
            }
            Some(Err(error)) => error!("event=settings-refused why={:?}", error.to_string()),
            None => {}
        }
    }

    /// SIGTERM: clients are told to go, legs at work go on to their end; true once it is over.
    fn leave(&mut self, now: Timestamp) -> bool {
        if self.leaves.is_none() && self.signals.ends() {
            info!("event=leaving requests={}", self.jobs.len());
            self.leaves = Some(now);
            self.link.ready = false;
            self.tick(now);
            self.speak();
        }
        let Some(since) = self.leaves else { return false };
        let courtesy = Duration::from_micros(self.settings.bounds.shutdown_grace.as_micros() as i64);
        if now - since > PARTING.min(courtesy / 2) && !self.listeners.is_empty() {
            self.listeners.clear();
            let idle: Vec<u64> = self
                .clients
                .iter()
                .filter(|(_, c)| c.job.is_none() && c.wire.input.is_empty())
                .map(|(id, _)| *id)
                .collect();
            idle.into_iter().for_each(|id| self.lose_client(id, "leaving"));
        }
        let flushed = self.clients.values().all(|c| c.wire.unsent() == 0);
        let over = self.listeners.is_empty() && self.jobs.is_empty() && flushed;
        let late = now - since > courtesy - Duration::from_micros(300_000);
        if late {
            let ids: Vec<u64> = self.jobs.keys().copied().collect();
            for id in ids {
                let next = self.jobs.get_mut(&id).map_or(NextStep::Wait, |job| job.lifecycle.shut_down());
                self.follow(now, id, next);
            }
        }
        if over || late {
            info!("event=end requests={}", self.jobs.len());
        }
        over || late
    }

    fn ready(&mut self, ready: &ReadyEvent) {
        match ready.token {
            FRONT | READINESS => self.accept(ready.token),
            id if self.session.as_ref().is_some_and(|session| session.id == id) => self.hear(Some(ready)),
            id if self.clients.contains_key(&id) => self.serve_client(id, Some(ready)),
            id => self.serve_line(id, Some(ready)),
        }
    }

    fn due(&mut self, now: Timestamp, due: Due) {
        match due {
            Due::Deadline(job) => self.expire(now, job),
            Due::Connect(line) => {
                if self.lines.get(&line).is_some_and(|l| !l.wire.is_made()) {
                    self.lose_line(now, line, AttemptOutcome::Unreachable, "not-made");
                }
            }
            Due::Overdue(job, line) => self.overdue(now, job, line),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if self.link.tick(now) {
            self.session = None;
            self.link.lost("left");
        }
        let draw = self.chance.rand_u64();
        if let Some(address) = self.link.next(now, draw) {
            let address = address
                .parse::<IpAddr>()
                .ok()
                .map(|address| SocketAddr::new(address, self.settings.peer_ports.0));
            let id = self.next;
            self.next += 1;
            let opened = address.and_then(|to| Connection::open(&self.poll, &to, id, PATIENCE).ok());
            match opened {
                Some(wire) => {
                    self.session = Some(Session { id, wire, assembler: Assembler::default() });
                }
                None => self.link.lost("no-way"),
            }
        }
        self.quota.tick(now);
        let limits = &self.view.limits;
        let head = Duration::from_micros(i64::from(limits.head_ms) * 1000);
        let idle = Duration::from_micros(i64::from(limits.idle_ms) * 1000);
        let mut late = Vec::new();
        for (id, client) in &self.clients {
            let slow = client.begun.is_some_and(|begun| now - begun > head);
            // A request that has come whole has a deadline of its own, however long that is.
            let owes = client.job.is_none() || client.body.is_some();
            let silent = match client.job {
                _ if client.drains => DRAIN,
                None => idle,
                Some(_) => idle * 4,
            };
            if slow || owes && now - client.at > silent {
                late.push((*id, slow));
            }
        }
        for (id, slow) in late {
            if slow && self.clients[&id].job.is_none() {
                self.clients.get_mut(&id).expect("listed above").closes = true;
                self.refuse_client(id, 408, None);
                self.flush_client(id);
            } else {
                self.lose_client(id, "idle");
            }
        }
        let old: Vec<u64> = self
            .lines
            .iter()
            .filter(|(_, l)| l.leg.is_none() && now >= l.rests_until)
            .map(|(id, _)| *id)
            .collect();
        old.into_iter().for_each(|id| self.drop_line(id));
    }

    /// The design's period: adds to the count, and reads the total.
    fn close_period(&mut self, now: Timestamp) {
        let adds = self.quota.close_period(now);
        self.add(now, adds, false);
    }

    /// A word to the count. One without adds is a sign of life: the holder leaves no part to this gateway.
    fn add(&mut self, now: Timestamp, adds: Vec<TenantUsage>, asks: bool) {
        if self.session.is_none() {
            return;
        }
        self.request_id += 1;
        self.asked.insert(self.request_id, now);
        self.asked.retain(|_, at| now - *at < PERIOD * 3);
        let node_id = self.settings.node_id.clone();
        self.link.out.push(Message::UsageReport(UsageReport {
            request_id: self.request_id,
            node_id,
            tenants: adds,
            incarnation: self.incarnation,
            is_mid_period: asks,
        }));
    }

    /// Requests that waited for their quota go on, or are refused.
    fn go_on(&mut self, now: Timestamp) {
        loop {
            let decided = self.quota.take_decisions();
            if decided.is_empty() {
                break;
            }
            for Decision { request_id: id, is_admitted: passes } in decided {
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                job.awaits_quota = false;
                if !passes {
                    self.give_up(now, id, 429);
                } else if job.is_ready_to_send() {
                    let client = job.info.client;
                    self.advance(now, id);
                    // What waited in the client's socket is told of by no further edge.
                    self.serve_client(client, None);
                }
            }
        }
        let asks = self.quota.take_grant_requests();
        if !asks.is_empty() {
            self.add(now, asks, true);
        }
    }

    /// Takes up what the session brought: requests that come from here on see the new view.
    fn refresh(&mut self, now: Timestamp) {
        if self.changed {
            self.changed = false;
            let view = RoutingTable::rebuild(&self.view, &self.link.item_store);
            self.load_balancer.set_evacuated_zones(now, &view.evacuated);
            self.load_balancer.set_slow_start_rates(
                view.services.values().map(|line| (line.name.clone(), line.slow_start_rate)),
            );
            self.view = Arc::new(view);
        }
        let ready = self.leaves.is_none() && self.link.is_caught_up() && self.link.has_backends();
        if ready != self.link.ready {
            info!("event=ready ready={ready} backends={}", self.load_balancer.len());
            self.link.ready = ready;
        }
    }

    /// Sends what the link has to say.
    fn speak(&mut self) {
        let Some(session) = &mut self.session else { return };
        for message in self.link.out.drain(..) {
            protocol::pack(message, &mut session.wire.output);
        }
        let items = std::mem::take(&mut self.link.out_items);
        protocol::pack_items(items.iter(), &mut session.wire.output);
        if let Err(error) = session.wire.flush() {
            self.session = None;
            self.link.lost(cause(error));
        }
    }

    fn hear(&mut self, ready: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(session) = &mut self.session else { return };
        let mut brought = SessionUpdates::default();
        let mut read = ready.map_or(Ok(()), |ready| session.wire.note(ready)).map(|()| false);
        let mut garbled = false;
        // What is left in the socket by a fill that stopped at its bound is told of by no further edge.
        while let Ok(false) = read {
            read = session.wire.fill(&mut self.piece, MOST_FRAME + 4);
            if !session.wire.input.is_empty() {
                self.link.bytes_received(now);
            }
            let mut at = 0;
            garbled = loop {
                match session.assembler.next(&session.wire.input, &mut at) {
                    Ok(None) => break false,
                    Err(_) => break true,
                    Ok(Some(message)) => self.link.said(now, message, &mut brought),
                }
            };
            session.wire.input.drain(..at);
            if garbled || !session.wire.is_readable() {
                break;
            }
        }
        for item in &brought.items {
            match item.kind {
                Kind::Backend => self.load_balancer.update_backend(now, item),
                Kind::ReplicaSet => {}
                _ => self.changed = true,
            }
        }
        if let Some(LiveGateways { count: live, node_ids }) = brought.live {
            self.live = live.max(1);
            self.quota.set_live_gateways(live);
            self.load_balancer.set_live_gateways(node_ids);
        }
        for totals in brought.totals.iter().filter(|totals| totals.incarnation == self.incarnation) {
            if let Some(sent) = self.asked.remove(&totals.request_id) {
                self.quota.apply_totals(now, sent, totals);
            }
        }
        let why = match read {
            Ok(true) => "closed",
            Err(error) => cause(error),
            _ if garbled => "garbled",
            _ if brought.close => "not-current",
            _ => return,
        };
        self.session = None;
        self.link.lost(why);
    }

    // Clients.

    fn accept(&mut self, token: u64) {
        loop {
            let Some((_, listener)) = self.listeners.iter().find(|(t, _)| *t == token) else { return };
            let socket = match poller::accept(listener) {
                Ok(Some(socket)) => socket,
                Ok(None) => return,
                Err(error) => return warn!("event=accept-failed why={}", cause(error)),
            };
            let id = self.next;
            self.next += 1;
            if self.poll.add(&socket, id).is_err() {
                continue;
            }
            let client = Client {
                wire: Connection::accepted(socket),
                reader: HeadReader::default(),
                body: None,
                job: None,
                skips: false,
                closes: false,
                ends: false,
                drains: false,
                checks: token == READINESS,
                at: self.clock.now(),
                begun: None,
                half: false,
            };
            self.clients.insert(id, client);
            self.serve_client(id, None);
        }
    }

    fn serve_client(&mut self, id: u64, ready: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(ready) = ready {
            if let Err(error) = client.wire.note(ready) {
                return self.lose_client(id, cause(error));
            }
        }
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            let ended = match client.wire.fill(&mut self.piece, MOST_UNSENT) {
                Ok(ended) => ended,
                Err(error) => return self.lose_client(id, cause(error)),
            };
            client.half |= ended;
            if client.drains {
                client.wire.input.clear();
                if client.half {
                    return self.lose_client(id, "done");
                }
                if client.wire.is_readable() {
                    continue;
                }
                return;
            }
            if client.half && client.job.is_some() {
                // Nobody is there for the answer any longer.
                return self.lose_client(id, "gone");
            }
            self.read_client(now, id);
            // What a fill left in the socket is told of by no further edge.
            let more = self.clients.get(&id).is_some_and(|c| {
                !c.half && !c.ends && c.wire.is_readable() && c.wire.input.len() < MOST_UNSENT
            });
            if !more {
                break;
            }
        }
        self.flush_client(id);
        if self.clients.get(&id).is_some_and(|client| client.half && client.job.is_none()) {
            self.lose_client(id, "gone");
        }
    }

    fn flush_client(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let was = client.wire.unsent();
        match client.wire.flush() {
            Ok(true) if client.drains => {}
            Ok(true) if client.ends && client.body.is_some() && !client.half => {
                (client.drains, client.at) = (true, self.clock.now());
                if client.wire.end().is_err() {
                    return self.lose_client(id, "done");
                }
                self.serve_client(id, None); // what stands in its socket is told of by no further edge
            }
            Ok(true) if client.ends => self.lose_client(id, "done"),
            Ok(_) => {
                // There is room again for an answer that passes through.
                let leg =
                    client.job.and_then(|job| self.jobs.get(&job)).and_then(|job| job.attempt_connection);
                if let Some(line) = leg.filter(|_| was >= MOST_UNSENT) {
                    if self.clients[&id].wire.unsent() < MOST_UNSENT {
                        self.serve_line(line, None);
                    }
                }
            }
            Err(error) => self.lose_client(id, cause(error)),
        }
    }

    fn lose_client(&mut self, id: u64, why: &'static str) {
        let Some(client) = self.clients.remove(&id) else { return };
        debug!("event=client-lost why={why}");
        if let Some(job) = client.job {
            self.end_job(job, AttemptOutcome::Abandoned);
        }
    }

    /// Reads what a client sent: heads while no request is under way, else the body of the one that is.
    fn read_client(&mut self, now: Timestamp, id: u64) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.ends {
                return;
            }
            if client.skips {
                let Some(body) = &mut client.body else { return };
                let mut bin = Vec::new();
                match body.read(&mut client.wire.input, &mut bin, usize::MAX) {
                    Ok(true) => (client.skips, client.body) = (false, None),
                    Ok(false) => return,
                    Err(_) => return self.lose_client(id, "garbled"),
                }
                continue;
            }
            if let Some(job) = client.job {
                if !self.read_body(now, id, job) {
                    return;
                }
                continue;
            }
            let most = self.view.limits.head_bytes;
            match client.reader.next(MessageKind::Request, &mut client.wire.input, most) {
                Ok(None) => {
                    let begun = client.reader.begun(&client.wire.input);
                    client.begun = begun.then(|| client.begun.unwrap_or(now));
                    return;
                }
                Err(fault) => {
                    client.closes = true;
                    return self.refuse_client(id, fault.status(), None);
                }
                Ok(Some((head, framing))) => {
                    (client.begun, client.at) = (None, now);
                    client.closes |= !head.keeps_open();
                    client.body = Some(Body::new(framing));
                    self.intake(now, id, head, framing);
                }
            }
        }
    }

    /// A request's head has come.
    fn intake(&mut self, now: Timestamp, id: u64, head: Head, framing: Framing) {
        let view = self.view.clone();
        let client = self.clients.get_mut(&id).expect("its head was just read");
        client.skips = true; // until a request takes the body
        if client.checks {
            let ready = self.link.ready;
            return self.refuse_client(id, if ready { 200 } else { 503 }, None);
        }
        if !self.link.is_caught_up() {
            return self.refuse_client(id, 503, Some(500));
        }
        let length = match framing {
            Framing::Empty => Some(0),
            Framing::Sized(length) => Some(length),
            Framing::Chunked | Framing::ToTheEnd => None,
        };
        if length.is_some_and(|length| length > view.limits.body_bytes) {
            client.closes = true;
            return self.refuse_client(id, 413, None);
        }
        let host = head.field("host").unwrap_or_default();
        let Some(route) = view.route(host, head.start(1)).cloned() else {
            return self.refuse_client(id, 404, None);
        };
        let mut tenant = None;
        if view.has_tenants() && !route.allows_no_key {
            let key = head.field("authorization").and_then(|value| value.strip_prefix(b"Bearer "));
            let Some(found) = key.and_then(|key| view.tenant_of(key.trim_ascii())) else {
                return self.refuse_client(id, 401, None);
            };
            tenant = Some(view.tenants[found].clone());
        }
        if head.field("x-try-id").is_none_or(<[u8]>::is_empty) {
            return self.refuse_client(id, 400, None);
        }
        let (job, mut waits) = (self.next, false);
        self.next += 1;
        if let Some(tenant) = &tenant {
            let rate_limit = RateLimit { rate: tenant.rate, burst: tenant.burst };
            match self.quota.admit(now, &tenant.name, rate_limit, job) {
                Admission::Admitted => {}
                Admission::Rejected => return self.refuse_client(id, 429, Some(1000)),
                Admission::Pending => waits = true,
            }
        }
        let left = head.field("x-time-left-ms").and_then(digits).unwrap_or(u64::from(route.deadline_ms));
        let left = left.min(u64::from(route.deadline_ms)) as i64;
        if head.expects_a_word() {
            let client = self.clients.get_mut(&id).expect("as above");
            client.wire.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let line = self.line_of(&route);
        let until = now + Duration::from_micros(left * 1000);
        self.retry_budget.record_request(now, &line);
        let client = self.clients.get_mut(&id).expect("as above");
        (client.skips, client.job) = (false, Some(job));
        let mut work = Request::new(RequestInfo {
            client: id,
            head,
            route,
            service: line,
            tenant,
            routing_table: view,
            arrived_at: now,
            deadline: until,
            content_length: length,
        });
        work.awaits_quota = waits;
        self.jobs.insert(job, work);
        self.timers.set(until, Due::Deadline(job));
    }

    /// One of a route's services, drawn by their shares.
    fn line_of(&mut self, route: &kitepass_config::Route) -> Arc<str> {
        let sum: f64 = route.services.iter().map(|(_, share)| share).sum();
        let mut drawn = self.chance.rand_float() * sum;
        for (line, share) in &route.services {
            if drawn < *share {
                return line.clone();
            }
            drawn -= share;
        }
        route
            .services
            .iter()
            .rev()
            .find(|(_, s)| *s > 0.0)
            .map_or_else(|| "".into(), |(line, _)| line.clone())
    }

    /// Reads on in a request's body; true if the request after it may be looked at.
    fn read_body(&mut self, now: Timestamp, id: u64, job: u64) -> bool {
        let (Some(client), Some(work)) = (self.clients.get_mut(&id), self.jobs.get_mut(&job)) else {
            return false;
        };
        let Some(body) = client.body.as_mut().filter(|_| !work.is_body_complete) else { return false };
        let room = (2 * MAX_BUFFERED_BODY_BYTES).saturating_sub(work.body.len());
        let (had, stood) = (work.body.len(), client.wire.input.len());
        let whole = match body.read(&mut client.wire.input, &mut work.body, room) {
            Ok(whole) => whole,
            Err(_) => {
                self.lose_client(id, "garbled");
                return false;
            }
        };
        client.at = now;
        self.bodies += work.body.len() - had;
        work.is_body_complete = whole;
        if whole {
            client.body = None;
        }
        let long = work.body_offset + work.body.len() as u64 > work.info.routing_table.limits.body_bytes;
        if long || self.bodies > MOST_BODIES && work.attempt_connection.is_none() {
            let status = if long { 413 } else { 503 };
            self.give_up(now, job, status);
            return false;
        }
        match work.attempt_connection {
            None if work.is_ready_to_send() => self.advance(now, job),
            None => {}
            Some(line) => self.hand(line),
        }
        // What was handed on has made room for more that stands here already.
        let (Some(client), Some(work)) = (self.clients.get(&id), self.jobs.get(&job)) else { return false };
        let moved = client.wire.input.len() < stood || work.body.len() < had;
        moved
            && !work.is_body_complete
            && !client.wire.input.is_empty()
            && work.body.len() < 2 * MAX_BUFFERED_BODY_BYTES
    }

    /// A short answer of this gateway's own to a client.
    fn refuse_client(&mut self, id: u64, status: u16, retry_ms: Option<u64>) {
        let leaving = self.leaves.is_some();
        let idle = self.view.limits.idle_ms / 1000;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let reason = match status {
            200 => "OK",
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Refused",
        };
        let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n");
        if let Some(millis) = retry_ms {
            head.push_str(&format!("Retry-After: {}\r\n", millis as f64 / 1000.0));
        }
        // The rest of a body that nobody wants may be long.
        let unread = client.body.as_ref().is_some_and(|body| !body.is_whole());
        client.closes |= unread && status != 200;
        finish(client, leaving, idle, &mut head);
        client.wire.output.extend_from_slice(head.as_bytes());
    }

    // Requests.

    /// Sends a request's next leg, or gives it up.
    fn advance(&mut self, now: Timestamp, id: u64) {
        let next = self.choose(now, id);
        self.go(now, id, next);
    }

    /// The backend that a request's next leg goes to, if another leg may go and somebody can take it. The budget of
    /// further legs is booked.
    fn choose(&mut self, now: Timestamp, id: u64) -> Option<Arc<str>> {
        let job = self.jobs.get(&id)?;
        if job.info.deadline <= now || job.tried_backends.len() >= 6 || !job.lifecycle.may_attempt() {
            return None;
        }
        if job.lifecycle.attempts_sent() > 0
            && !self.retry_budget.try_acquire(now, &job.info.service, self.live)
        {
            return None;
        }
        let homes: [&[Arc<str>]; 2] =
            [&job.info.route.homes, job.info.tenant.as_ref().map_or(&[], |tenant| &tenant.homes)];
        let idle = &self.idle;
        let rests = |call_sign: &Arc<str>| idle.contains_key(call_sign);
        let need = SelectionRequest {
            service: &job.info.service,
            allowed_regions: homes,
            tried_backends: &job.tried_backends,
            has_idle_connection: &rests,
        };
        self.load_balancer.select(now, &need)
    }

    /// Sends a request's next leg to the backend that was chosen, or gives it up where none was.
    fn go(&mut self, now: Timestamp, id: u64, mut next: Option<Arc<str>>) {
        while let Some(call_sign) = next {
            let Some(job) = self.jobs.get_mut(&id) else { return };
            job.tried_backends.push(call_sign.clone());
            if self.send(now, id, &call_sign) {
                return;
            }
            self.load_balancer.attempt_ended(now, &call_sign, AttemptOutcome::Unreachable, Duration::ZERO);
            next = self.choose(now, id);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let status = job.lifecycle.rejection_status();
        self.give_up(now, id, status);
    }

    fn give_up(&mut self, now: Timestamp, id: u64, status: u16) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let next = job.lifecycle.reject(status);
        self.follow(now, id, next);
    }

    /// A request ends without a backend's answer.
    fn follow(&mut self, now: Timestamp, id: u64, next: NextStep) {
        let Some(job) = self.jobs.get(&id) else { return };
        let client = job.info.client;
        let status = match next {
            NextStep::Reject(status) => status,
            NextStep::Abort => return self.lose_client(client, "broken-off"),
            _ => return,
        };
        let retry = match status {
            429 => Some(1000),
            503 => Some(200 + self.chance.rand_range(0..300)),
            _ => None,
        };
        self.end_job(id, AttemptOutcome::Abandoned);
        self.free(now, client);
        self.refuse_client(client, status, retry);
        self.flush_client(client);
        self.more(client);
    }

    /// A client's request has had its answer: the next one may come.
    fn free(&mut self, now: Timestamp, client: u64) {
        let Some(c) = self.clients.get_mut(&client) else { return };
        (c.job, c.at) = (None, now);
        c.skips = c.body.is_some();
    }

    /// The next request may stand in a client's input already.
    fn more(&mut self, client: u64) {
        if self.clients.get(&client).is_some_and(|c| !c.wire.input.is_empty() || c.half) {
            self.serve_client(client, None);
        }
    }

    /// Forgets a request; a leg that is still out is broken off.
    fn end_job(&mut self, id: u64, end: AttemptOutcome) {
        let now = self.clock.now();
        let Some(mut job) = self.jobs.remove(&id) else { return };
        job.lifecycle.client_gone();
        self.bodies -= job.body.len().min(self.bodies);
        if let Some(line) = job.attempt_connection {
            if let Some(l) = self.lines.get_mut(&line) {
                if let Some(leg) = l.leg.take() {
                    if let Some(timer) = leg.timer {
                        self.timers.take_back(timer);
                    }
                    self.load_balancer.attempt_ended(now, &l.call_sign, end, now - leg.began);
                }
            }
            self.drop_line(line);
        }
    }

    fn expire(&mut self, now: Timestamp, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let next = job.lifecycle.deadline_expired();
        self.follow(now, id, next);
    }

    // Backends.

    fn send(&mut self, now: Timestamp, id: u64, call_sign: &Arc<str>) -> bool {
        let Some(backend) = self.load_balancer.get(call_sign) else { return false };
        let (address, zone) = (backend.address, backend.zone.clone());
        let far = self.load_balancer.region_of(&zone) != self.settings.region;
        let mut line = None;
        while let Some(rested) = self.idle.get_mut(call_sign).and_then(Vec::pop) {
            if self.idle.get(call_sign).is_some_and(Vec::is_empty) {
                self.idle.remove(call_sign);
            }
            let fit = self.lines.get(&rested).is_some_and(|l| l.wire.is_quiet() && now < l.rests_until);
            if fit {
                line = Some(rested);
                break;
            }
            self.drop_line(rested);
        }
        let line = match line {
            Some(line) => line,
            None => {
                let line = self.next;
                self.next += 1;
                let patience = PATIENCE;
                let Ok(wire) = Connection::open(&self.poll, &address, line, patience) else { return false };
                let fresh = Service {
                    wire,
                    call_sign: call_sign.clone(),
                    leg: None,
                    headed: false,
                    rests_until: now + REST,
                };
                self.lines.insert(line, fresh);
                self.timers.set(now + if far { FAR } else { NEAR }, Due::Connect(line));
                line
            }
        };
        let l = self.lines.get_mut(&line).expect("made or found above");
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        if !job.lifecycle.begin_attempt(l.wire.is_made()) {
            self.drop_line(line);
            return false;
        }
        let left = (job.info.deadline - now).micros() / 1000;
        job.write_attempt_head(call_sign, left.max(1), &mut l.wire.output);
        job.attempt_connection = Some(line);
        l.headed |= job.is_head_request();
        l.leg = Some(Leg {
            job: id,
            began: now,
            handed: 0,
            chunked: job.is_sent_chunked(),
            finished: false,
            answer: ResponseReader::default(),
            timer: None,
        });
        // Another leg is worth its while only where there is time and somebody to take it.
        if job.info.route.safety == RequestSafety::Safe
            && job.lifecycle.attempts_sent() + 1 < job.info.route.max_attempts
        {
            let usual = self.load_balancer.service_latency(&job.info.service)
                + if far { FAR / 4 } else { Duration::ZERO };
            let overdue = (usual * 5).max(Duration::from_micros(500_000));
            if job.info.deadline - now > overdue + usual {
                let key = self.timers.set(now + overdue, Due::Overdue(id, line));
                l.leg.as_mut().expect("set above").timer = Some(key);
            }
        }
        self.hand(line);
        true
    }

    /// Hands on what has come of a request's body, as far as the connection takes it.
    fn hand(&mut self, line: u64) {
        loop {
            let Some(l) = self.lines.get_mut(&line) else { return };
            let mut work = None;
            if let Some(leg) = &mut l.leg {
                let Some(job) = self.jobs.get_mut(&leg.job) else { return };
                self.bodies -= hand_on(leg, job, &mut l.wire).min(self.bodies);
                work = Some(job);
            }
            let unsent = l.wire.unsent();
            let flushed = l.wire.flush();
            if let Some(job) = work.filter(|_| l.wire.unsent() < unsent) {
                job.lifecycle.bytes_written();
            }
            match flushed {
                // All is out: what was held back for want of room may follow.
                Ok(true) => {
                    let leg = l.leg.as_ref().filter(|leg| !leg.finished);
                    let job = leg.and_then(|leg| Some((leg, self.jobs.get(&leg.job)?)));
                    if job.is_none_or(|(leg, job)| job.body_offset + job.body.len() as u64 <= leg.handed) {
                        return;
                    }
                }
                Ok(false) => return,
                // An answer may have come before the connection broke.
                Err(error) => return self.read_line(self.clock.now(), line, Some(cause(error))),
            }
        }
    }

    fn serve_line(&mut self, id: u64, ready: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(line) = self.lines.get_mut(&id) else { return };
        let was_made = line.wire.is_made();
        if let Some(ready) = ready {
            if let Err(error) = line.wire.note(ready) {
                return self.lose_line(now, id, AttemptOutcome::Unreachable, cause(error));
            }
        }
        if !was_made && line.wire.is_made() {
            if let Some(job) = line.leg.as_ref().and_then(|leg| self.jobs.get_mut(&leg.job)) {
                job.lifecycle.connected();
            }
        }
        // Room for a body that passes through, in both directions.
        self.hand(id);
        let Some(line) = self.lines.get(&id) else { return };
        let waiting = line.leg.as_ref().and_then(|leg| self.jobs.get(&leg.job));
        let full = waiting.is_some_and(|job| {
            job.lifecycle.state() == RequestState::Responding
                && self.clients.get(&job.info.client).is_some_and(|c| c.wire.unsent() >= MOST_UNSENT)
        });
        if let Some(job) = waiting
            .filter(|job| !job.is_body_complete && job.lifecycle.is_in_flight())
            .map(|job| job.info.client)
        {
            let waits = |c: &Client| !c.wire.input.is_empty() || c.wire.is_readable();
            if self.clients.get(&job).is_some_and(waits) && line.wire.unsent() < MOST_UNSENT {
                self.serve_client(job, None);
            }
        }
        if full {
            return;
        }
        self.read_line(now, id, None);
    }

    /// Reads what a backend says; a connection that is broken gives what came before.
    fn read_line(&mut self, now: Timestamp, id: u64, broken: Option<&'static str>) {
        let Some(line) = self.lines.get_mut(&id) else { return };
        let (tail, why) = match (line.wire.fill(&mut self.piece, MOST_UNSENT), broken) {
            (Ok(_), Some(why)) => (InputState::Broken, why),
            (Ok(true), None) => (InputState::Ended, "closed"),
            (Ok(false), None) => (InputState::Open, ""),
            (Err(error), _) => (InputState::Broken, cause(error)),
        };
        let Service { wire, leg: Some(leg), headed, .. } = line else {
            // Nothing is due here: whatever came belongs to no request.
            if tail != InputState::Open || !line.wire.input.is_empty() {
                self.drop_line(id);
            }
            return;
        };
        let Some(job) = self.jobs.get(&leg.job) else { return };
        let asked = ResponseContext {
            request_id: job.id(),
            is_head_request: job.is_head_request(),
            has_carried_head: *headed,
            max_buffered_bytes: attempt::MAX_BUFFERED_RESPONSE_BYTES,
        };
        match leg.answer.read(asked, &mut wire.input, tail) {
            ReadProgress::Partial => {}
            ReadProgress::Complete => return self.answered(now, id, tail),
            ReadProgress::BufferFull => self.pass_through(now, id),
            ReadProgress::Failed(ResponseFailure::Closed | ResponseFailure::Truncated)
                if tail == InputState::Broken =>
            {
                return self.lose_line(now, id, AttemptOutcome::Broken, why);
            }
            ReadProgress::Failed(why) => {
                return self.lose_line(now, id, AttemptOutcome::Broken, why.as_str())
            }
        }
        // What was left in the socket for want of room is told of by no further edge.
        let Some(line) = self.lines.get(&id) else { return };
        let job = line.leg.as_ref().and_then(|leg| self.jobs.get(&leg.job));
        let room = job.is_some_and(|job| {
            job.lifecycle.state() != RequestState::Responding
                || self.clients.get(&job.info.client).is_some_and(|c| c.wire.unsent() < MOST_UNSENT)
        });
        if room && line.wire.is_readable() {
            self.again.push(id); // not from here: the stack would grow with the answer
        }
    }

    /// An answer is whole.
    fn answered(&mut self, now: Timestamp, id: u64, tail: InputState) {
        let Some(line) = self.lines.get_mut(&id) else { return };
        let Some(mut leg) = line.leg.take() else { return };
        if let Some(timer) = leg.timer {
            self.timers.take_back(timer);
        }
        let Some(job) = self.jobs.get_mut(&leg.job) else { return };
        let head = leg.answer.head.take().expect("whole with its body");
        let asked = matches!(job.lifecycle.state(), RequestState::Sent | RequestState::Responding);
        let class = if asked {
            ResponseClass::of(&head, job.lifecycle.is_idempotent())
        } else {
            ResponseClass::Invalid
        };
        let next = job.lifecycle.response_complete(class);
        job.attempt_connection = None;
        self.load_balancer.attempt_ended(now, &line.call_sign, class.outcome(), now - leg.began);
        if head.ends_here(b"close") {
            self.load_balancer.backend_is_closing(now, &line.call_sign);
        }
        let clean = attempt::may_keep_connection(
            class,
            ConnectionRemains {
                input_state: tail,
                unread_bytes: line.wire.input.len(),
                unsent_bytes: line.wire.unsent(),
                is_request_finished: leg.finished,
            },
        );
        let rest = head.keep_alive_secs().map_or(REST, |secs| {
            REST.min(Duration::from_micros(secs as i64 * 1_000_000) - Duration::from_micros(1_000_000))
        });
        let pool = self.idle.entry(line.call_sign.clone()).or_default();
        if clean && head.keeps_open() && rest > Duration::ZERO && pool.len() < MOST_IDLE {
            line.rests_until = now + rest;
            pool.push(id);
        } else {
            self.drop_line(id);
        }
        let (id, got) = (leg.job, leg.answer.body);
        match next {
            NextStep::StreamLast => self.pass_end(now, id, &got),
            NextStep::Deliver => self.deliver(now, id, &head, &got),
            NextStep::RetryOrDeliver => {
                // Its own failure goes to the client where no further leg may go.
                let Some(job) = self.jobs.get(&id) else { return };
                let worth = job.info.deadline - now > self.load_balancer.service_latency(&job.info.service);
                let other = if worth { self.choose(now, id) } else { None };
                if other.is_some() {
                    self.go(now, id, other);
                } else if self.jobs.get_mut(&id).is_some_and(|job| job.lifecycle.deliver_error_response()) {
                    self.deliver(now, id, &head, &got);
                }
            }
            NextStep::Retry => self.advance(now, id),
            next => self.follow(now, id, next),
        }
    }

    /// A whole answer goes to the client as the backend gave it.
    fn deliver(&mut self, now: Timestamp, id: u64, head: &Head, body: &[u8]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let client = job.info.client;
        let to_head = job.is_head_request();
        self.end_job(id, AttemptOutcome::Abandoned);
        let bare = to_head || matches!(head.status(), 204 | 304);
        let length = if bare { None } else { Some(body.len()) };
        self.answer_head(client, head, length.map(|n| format!("Content-Length: {n}\r\n")));
        self.free(now, client);
        let Some(c) = self.clients.get_mut(&client) else { return };
        c.wire.output.extend_from_slice(body);
        self.flush_client(client);
        self.more(client);
    }

    fn answer_head(&mut self, client: u64, head: &Head, framing: Option<String>) {
        let leaving = self.leaves.is_some();
        let idle = self.view.limits.idle_ms / 1000;
        let Some(c) = self.clients.get_mut(&client) else { return };
        c.closes |= c.body.is_some();
        let out = &mut c.wire.output;
        out.extend_from_slice(b"HTTP/1.1 ");
        for part in [head.start(1), b" ", head.start(2), b"\r\n"] {
            out.extend_from_slice(part);
        }
        head.pass_on(&[], out);
        let mut rest = framing.unwrap_or_default();
        finish(c, leaving, idle, &mut rest);
        c.wire.output.extend_from_slice(rest.as_bytes());
    }

    /// The head and what there is of a long answer go on; from here on the answer cannot be taken back.
    fn pass_through(&mut self, now: Timestamp, id: u64) {
        let Some(Service { leg: Some(leg), .. }) = self.lines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(&leg.job) else { return };
        let head = leg.answer.head.as_ref().expect("its body has begun");
        let next =
            job.lifecycle.response_exceeds_buffer(ResponseClass::of(head, job.lifecycle.is_idempotent()));
        let (client, got) = (job.info.client, std::mem::take(&mut leg.answer.body));
        match next {
            NextStep::StreamFirst => {
                let head = leg.answer.head.take().expect("as above");
                self.answer_head(client, &head, Some("Transfer-Encoding: chunked\r\n".to_owned()));
                let leg = self.lines.get_mut(&id).and_then(|line| line.leg.as_mut());
                leg.expect("as above").answer.head = Some(head);
            }
            NextStep::StreamMore => {}
            next => {
                self.unleg(now, id, AttemptOutcome::Broken, "no-answer");
                return self.resume(now, id, next);
            }
        }
        if let Some(c) = self.clients.get_mut(&client) {
            chunk(&got, &mut c.wire.output);
        }
        self.flush_client(client);
    }

    /// A long answer's end.
    fn pass_end(&mut self, now: Timestamp, id: u64, got: &[u8]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let client = job.info.client;
        self.end_job(id, AttemptOutcome::Abandoned);
        self.free(now, client);
        let Some(c) = self.clients.get_mut(&client) else { return };
        chunk(got, &mut c.wire.output);
        c.wire.output.extend_from_slice(b"0\r\n\r\n");
        self.flush_client(client);
        self.more(client);
    }

    /// A safe request's leg takes too long: another goes in its place, if somebody can take it.
    fn overdue(&mut self, now: Timestamp, id: u64, line: u64) {
        let Some(leg) = self.lines.get_mut(&line).and_then(|l| l.leg.as_mut()).filter(|leg| leg.job == id)
        else {
            return;
        };
        leg.timer = None;
        // Danger: a backend at work would be broken off for nothing.
        let Some(other) = self.choose(now, id) else { return };
        if self.jobs.get_mut(&id).is_some_and(|job| job.lifecycle.abandon_overdue_attempt()) {
            self.unleg(now, line, AttemptOutcome::Broken, "overdue");
            self.go(now, id, Some(other));
        } else {
            self.load_balancer.attempt_ended(now, &other, AttemptOutcome::Abandoned, Duration::ZERO);
        }
    }

    /// A connection to a backend is lost, with the leg on it.
    fn lose_line(&mut self, now: Timestamp, id: u64, end: AttemptOutcome, why: &'static str) {
        let Some(job) = self.unleg(now, id, end, why) else { return };
        let Some(next) = self.jobs.get_mut(&job).map(|job| job.lifecycle.attempt_failed()) else { return };
        self.resume(now, job, next);
    }

    /// Drops a connection to a backend; the request whose leg was on it.
    fn unleg(&mut self, now: Timestamp, id: u64, end: AttemptOutcome, why: &'static str) -> Option<u64> {
        let line = self.lines.get_mut(&id)?;
        let made = line.wire.is_made();
        let leg = line.leg.take();
        if let Some(leg) = &leg {
            if let Some(timer) = leg.timer {
                self.timers.take_back(timer);
            }
            let end = if made { end } else { AttemptOutcome::Unreachable };
            debug!("event=leg-lost backend={} why={why} made={made}", line.call_sign);
            self.load_balancer.attempt_ended(now, &line.call_sign, end, now - leg.began);
        }
        self.drop_line(id);
        let job = leg?.job;
        if let Some(work) = self.jobs.get_mut(&job) {
            work.attempt_connection = None;
        }
        Some(job)
    }

    /// A request goes on behind a leg that brought no answer.
    fn resume(&mut self, now: Timestamp, id: u64, next: NextStep) {
        match next {
            NextStep::Retry => self.advance(now, id),
            next => self.follow(now, id, next),
        }
    }

    fn drop_line(&mut self, id: u64) {
        let Some(line) = self.lines.remove(&id) else { return };
        if let Some(pool) = self.idle.get_mut(&line.call_sign) {
            pool.retain(|other| *other != id);
            if pool.is_empty() {
                self.idle.remove(&line.call_sign);
            }
        }
    }
}

/// Hands on to a connection what it has room for of a request's body; how much of the body is kept no longer.
fn hand_on(leg: &mut Leg, job: &mut Request, wire: &mut Connection) -> usize {
    if leg.finished || wire.unsent() >= MOST_UNSENT {
        return 0;
    }
    let new = &job.body[(leg.handed - job.body_offset) as usize..];
    if leg.chunked {
        chunk(new, &mut wire.output);
    } else {
        wire.output.extend_from_slice(new);
    }
    leg.handed += new.len() as u64;
    if job.is_body_complete {
        leg.finished = true;
        if leg.chunked {
            wire.output.extend_from_slice(b"0\r\n\r\n");
        }
        return 0;
    }
    if job.body.len() < MAX_BUFFERED_BODY_BYTES {
        return 0;
    }
    // Too long to be kept for another leg.
    let passed = job.body.len();
    job.body_offset += passed as u64;
    job.lifecycle.body_dropped();
    job.body.clear();
    passed
}

/// The last fields of an answer's head.
fn finish(client: &mut Client, leaving: bool, idle_s: u32, head: &mut String) {
    client.ends |= client.closes || leaving;
    if client.ends {
        head.push_str("Connection: close\r\n\r\n");
    } else {
        head.push_str(&format!("Keep-Alive: timeout={}\r\n\r\n", idle_s.max(1)));
    }
}

fn chunk(bytes: &[u8], into: &mut Vec<u8>) {
    if !bytes.is_empty() {
        into.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        into.extend_from_slice(bytes);
        into.extend_from_slice(b"\r\n");
    }
}
