//! Sockets, disk and clock around the [`StateMachine`]: one thread, one loop.

use crate::endpoints::{self, Endpoint};
use crate::request::{place, ApiCall, Request, Response};
use crate::state_machine::{millis, Action, ReplicaContact, Start, StateMachine, COORDINATOR_ROLE};
use kitepass_config::Item;
use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::framing::{Assembler, Outbox, Packed, MOST_FRAME};
use kitepass_coordination::protocol::{self, Message};
use kitepass_coordination::quorum_contact::CONTACT;
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_net::connection::{cause, Connection};
use kitepass_net::http::body::{Body, Framing, HeadReader};
use kitepass_net::http::MessageKind;
use kitepass_net::poller::{self, Clock, Poller, ReadyEvent};
use kitepass_net::{Errno, OwnedFd};
use kitepass_node::process::{new_incarnation, Signals};
use kitepass_node::{Settings, Watch};
use kitepass_storage::Store;
use kitepass_time::{Duration, Timestamp};
use log::{debug, error, info, warn};
use serde_json::json;
use snafu::{ResultExt, Snafu};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

/// Bytes of an operator's call. Danger: a caller that never ends.
const MOST_CALL: usize = 16 * 1024 * 1024;
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Unused bytes that one connection's input may hold; the rest waits in the socket.
const MOST_INPUT: usize = MOST_FRAME + 4;
/// Fills in one turn of a connection.
const MOST_TURNS: usize = 16;
/// So long after a refusal that did not wait for the call's end its rest is read off and dropped.
const DRAIN: Duration = Duration::from_micros(10_000_000);
/// Bytes of all calls that are still being read.
const MOST_CALLS: usize = 3 * MOST_CALL;
/// Bytes of a call as items: short entries grow, as each item names its fields. It must fit in one word.
const MOST_ITEMS: usize = 20 * 1024 * 1024;
/// Bytes that may wait for a peer or gateway that does not read; beyond that it is given up.
const MOST_UNSENT: usize = 64 * 1024 * 1024;
/// With no more than so much still to go a gateway is told its next piece.
const LOW: usize = 64 * 1024;
/// Bytes of answers that may wait for a caller before its next call is looked at.
const MOST_HELD: usize = 256 * 1024;
/// With so much still to go to a process it is told no further piece of what it lacks: it asks again. Danger: on a slow
/// line what is asked for again would pile up.
const BUSY: usize = 1024 * 1024;
/// A caller that is idle for so long is closed.
const IDLE: Duration = Duration::from_micros(30_000_000);
const TICK: Duration = Duration::from_micros(100_000);
/// Unanswered bytes end a connection of our own after so long: a machine without power says nothing.
const PATIENCE: Duration = Duration::from_micros(1_500_000);
/// Time between two readings of the platform's list, and the longest that one page may take.
const READING: Duration = Duration::from_micros(700_000);
const PAGE: Duration = Duration::from_micros(1_000_000);
/// Seconds for which an answer on where to go holds, if that is not past the bound. A look-up is cheap, and clients meet
/// a lost gateway until it is over; at 5 s a grown deployment took twice as long to come back from a whole loss.
const VALID: f64 = 1.0;
/// The log on disk is compacted past so many bytes.
const LOG: u64 = 4 * 1024 * 1024;
/// After SIGTERM orders under way, and the core that takes the seat out, have so long.
const GRACE: Duration = Duration::from_micros(2_000_000);

#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("settings: {source}"))]
    Settings { source: kitepass_node::Error },
    #[snafu(display("the settings name no {field}, which this program needs"))]
    Missing { field: &'static str },
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: Errno },
    #[snafu(display("the store: {source}"))]
    Disk { source: kitepass_storage::Error },
    #[snafu(display("{what}: {source}"))]
    System { what: &'static str, source: Errno },
    #[snafu(display("signals: {source}"))]
    Signals { source: std::io::Error },
}

const DESK: u64 = 1;
const DIRECTORY: u64 = 2;
const SIDING: u64 = 3;
const DISK: u64 = 4;

enum Role {
    /// A caller of `control` or `directory`.
    Caller(Box<Caller>),
    /// A connection to another control process, on which this one speaks.
    Out { address: String },
    /// One of another process, until it has said who it is.
    Stranger,
    /// Another control process speaks here.
    Peer { node_id: String, incarnation: u64 },
    /// A gateway's session, both ways.
    Session,
    /// The platform's list.
    Platform(HeadReader, Option<(Body, u16)>, Vec<u8>),
}

#[derive(Default)]
struct Caller {
    reader: HeadReader,
    call: Option<ApiCall>,
    /// Path and query, as they were asked.
    target: Vec<u8>,
    body: Option<Body>,
    bytes: Vec<u8>,
    closes: bool,
    waits: bool,
    /// It was refused before its call had ended, and what still comes is dropped until then. Danger: a socket that
    /// is closed with bytes unread is reset, and the answer with it.
    drains: bool,
    refused: Timestamp,
}

struct Conn {
    wire: Connection,
    assembler: Assembler,
    outbox: Outbox,
    role: Role,
    at: Timestamp,
    ends: bool,
}

impl Conn {
    fn new(wire: Connection, role: Role, at: Timestamp) -> Conn {
        let (assembler, outbox) = (Assembler::default(), Outbox::default());
        Conn { wire, assembler, outbox, role, at, ends: false }
    }
}

impl Conn {
    /// Bytes that are still to go.
    fn unsent(&self) -> usize {
        self.wire.unsent() + self.outbox.waiting()
    }

    fn say(&mut self, message: Packed, urgent: bool) {
        self.outbox.say(message, urgent, &mut self.wire.output);
    }
}

/// A reading of the platform's list under way.
struct Reading {
    entries: Vec<Endpoint>,
    since: Timestamp,
}

pub struct Server {
    settings: Settings,
    poll: Poller,
    clock: Clock,
    listeners: Vec<(u64, OwnedFd)>,
    conns: BTreeMap<u64, Conn>,
    next: u64,
    core: StateMachine,
    store: Store,
    /// Outgoing connections by address of the other.
    out: BTreeMap<String, u64>,
    /// Addresses by station, as its hello told.
    ips: BTreeMap<String, String>,
    tried: BTreeMap<String, Timestamp>,
    stops: BTreeMap<String, Timestamp>,
    carrier: Option<u64>,
    reading: Option<Reading>,
    read: Timestamp,
    piece: Vec<u8>,
    /// Connections with more to read than one turn took.
    again: Vec<u64>,
    /// Sessions whose last piece has left.
    left: Vec<u64>,
    signals: Signals,
    watch: Watch,
}

impl Server {
    pub fn open(path: PathBuf) -> Result<Server, Error> {
        let settings = Settings::load(&path).context(SettingsSnafu)?;
        let poll = Poller::new().context(SystemSnafu { what: "epoll" })?;
        let clock = Clock::new();
        let mut listeners = Vec::new();
        if settings.listeners.operator_api.is_none() {
            warn!("event=no-control-desk"); // no operator reaches this one
        }
        let siding = SocketAddr::new(IpAddr::V4(settings.address), settings.peer_ports.0);
        let asked = [
            (DESK, settings.listeners.operator_api),
            (DIRECTORY, settings.listeners.directory_api),
            (SIDING, Some(siding)),
        ];
        for (token, address) in asked {
            let Some(address) = address else { continue };
            let socket = poller::listen(&address).context(ListenSnafu { address })?;
            poll.add(&socket, token).context(SystemSnafu { what: "epoll" })?;
            listeners.push((token, socket));
        }
        let Some(folder) = settings.data_dir.clone() else {
            return MissingSnafu { field: "archive-dir" }.fail();
        };
        let (store, records) = Store::open(&folder, LOG).context(DiskSnafu)?;
        poll.add(store.wakes(), DISK).context(SystemSnafu { what: "epoll" })?;
        let me = Replica {
            node_id: settings.node_id.clone(),
            address: settings.address.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            replica_id: 0,
        };
        let founder = settings
            .bootstrap_addresses
            .first()
            .is_some_and(|stop| stop.ip() == IpAddr::V4(settings.address));
        let incarnation = new_incarnation(&settings.node_id);
        let now = clock.now();
        let bounds = &settings.bounds;
        let tolerance = QuotaTolerance {
            window: bounds.quota_window.as_secs_f64(),
            excess: bounds.quota_excess,
            margin: bounds.quota_margin,
        };
        let start = Start {
            me,
            incarnation,
            is_first_start: settings.is_first_start,
            is_bootstrap_node: founder,
            records,
            tolerance,
        };
        let watch = Watch::new(path);
        Ok(Server {
            core: StateMachine::new(now, start),
            settings,
            poll,
            clock,
            listeners,
            conns: BTreeMap::new(),
            next: 16,
            store,
            out: BTreeMap::new(),
            ips: BTreeMap::new(),
            tried: BTreeMap::new(),
            stops: BTreeMap::new(),
            carrier: None,
            reading: None,
            read: Timestamp::default(),
            piece: vec![0; 64 * 1024],
            again: Vec::new(),
            left: Vec::new(),
            signals: Signals::default(),
            watch,
        })
    }

    pub fn run(mut self) -> Result<(), Error> {
        self.signals.heed().context(SignalsSnafu)?;
        info!("event=serving station={} ip={}", self.settings.node_id, self.settings.address);
        let (mut ready, mut ticked, mut watched) = (Vec::new(), Timestamp::default(), self.clock.now());
        let mut leaves: Option<Timestamp> = None;
        loop {
            let wait = TICK - (self.clock.now() - ticked).min(TICK);
            let wait = if self.again.is_empty() && self.left.is_empty() { wait } else { Duration::ZERO };
            self.poll.wait(Some(wait), &mut ready).context(SystemSnafu { what: "waiting" })?;
            for ready in ready.drain(..) {
                self.ready(&ready)?;
            }
            std::mem::take(&mut self.again).into_iter().for_each(|id| self.serve(id, None));
            let now = self.clock.now();
            std::mem::take(&mut self.left).into_iter().for_each(|id| self.core.session_drained(now, id));
            if now - ticked >= TICK {
                ticked = now;
                self.core.tick(now);
                self.connect(now);
                self.fetch(now);
                self.sweep(now);
            }
            if self.signals.reloads() || now - watched >= TICK * 10 {
                watched = now;
                self.reload();
            }
            if leaves.is_none() && self.signals.ends() {
                info!("event=leaving");
                self.core.shut_down(now);
                leaves = Some(now);
            }
            self.act();
            if leaves.is_some_and(|since| now - since > GRACE || self.core.is_shut_down()) {
                info!("event=end");
                return Ok(());
            }
        }
    }

    fn reload(&mut self) {
        match self.watch.changed() {
            Some(Ok(settings)) if settings == self.settings => {}
            Some(Ok(settings)) => {
                info!("event=settings");
                self.settings = settings;
            }
            Some(Err(error)) => error!("event=settings-refused why={:?}", error.to_string()),
            None => {}
        }
    }

    fn ready(&mut self, ready: &ReadyEvent) -> Result<(), Error> {
        match ready.token {
            DESK | DIRECTORY | SIDING => self.accept(ready.token),
            DISK => {
                let now = self.clock.now();
                for request_id in self.store.done().context(DiskSnafu)? {
                    self.core.records_persisted(now, request_id);
                }
            }
            token => self.serve(token, Some(ready)),
        }
        Ok(())
    }

    fn accept(&mut self, token: u64) {
        loop {
            let Some((_, listener)) = self.listeners.iter().find(|(t, _)| *t == token) else { return };
            match poller::accept(listener) {
                Ok(Some(socket)) => {
                    let id = self.next;
                    self.next += 1;
                    let role = if token == SIDING { Role::Stranger } else { Role::Caller(Box::default()) };
                    let tuned = if token == SIDING { poller::tune(&socket, PATIENCE) } else { Ok(()) };
                    if tuned.and_then(|()| self.poll.add(&socket, id)).is_err() {
                        continue;
                    }
                    let at = self.clock.now();
                    self.conns.insert(id, Conn::new(Connection::accepted(socket), role, at));
                    self.serve(id, None);
                }
                Ok(None) => return,
                Err(error) => return warn!("event=accept-failed why={}", cause(error)),
            }
        }
    }

    /// Reads, runs and writes what a connection is ready for.
    fn serve(&mut self, id: u64, ready: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Some(ready) = ready {
            if let Err(error) = conn.wire.note(ready) {
                return self.lose(id, cause(error));
            }
        }
        // What a fill that stopped at its bound has left in the socket is told of by no further edge: it goes on for as
        // long as something is taken up. Danger: one that sends without end would keep the loop from all others.
        let mut turns = 0;
        let ended = loop {
            if turns == MOST_TURNS {
                self.again.push(id);
                break false;
            }
            turns += 1;
            let Some(conn) = self.conns.get_mut(&id) else { return };
            let ended = match conn.wire.fill(&mut self.piece, MOST_INPUT) {
                Ok(ended) => ended,
                Err(error) => return self.lose(id, cause(error)),
            };
            if !conn.wire.input.is_empty() {
                conn.at = now;
            }
            let going = match &conn.role {
                Role::Caller(_) => self.call(now, id),
                Role::Platform(..) => self.carried(now, id, ended),
                _ => self.said(now, id),
            };
            if let Err(why) = going {
                return self.lose(id, why);
            }
            let more = |conn: &Conn| conn.wire.is_readable() && conn.wire.input.len() < MOST_INPUT;
            if ended || !self.conns.get(&id).is_some_and(more) {
                break ended;
            }
        };
        self.flush(id);
        if ended {
            let waits = matches!(self.conns.get(&id), Some(Conn { role: Role::Caller(c), .. }) if c.waits);
            match self.conns.get_mut(&id) {
                _ if waits => {}
                // It has said all, and reads on.
                Some(conn) if matches!(conn.role, Role::Caller(_)) && conn.wire.unsent() > 0 => {
                    conn.ends = true
                }
                _ => self.lose(id, "closed"),
            }
        }
    }

    fn flush(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let flushed = loop {
            let unsent = conn.wire.unsent();
            conn.outbox.feed(&mut conn.wire.output, unsent);
            let flushed = conn.wire.flush();
            if flushed != Ok(true) || conn.outbox.waiting() == 0 {
                break flushed;
            }
        };
        match flushed {
            Ok(true) if matches!(&conn.role, Role::Caller(caller) if caller.drains) => {
                let _ = conn.wire.end(); // the answer is whole: its reader need not wait for more
            }
            Ok(true) if conn.ends => self.lose(id, "done"),
            Ok(_) if conn.unsent() <= LOW && self.core.is_session_catching_up(id) => self.left.push(id),
            // A caller is answered one call at a time, and an answer may be as long as the configuration.
            Ok(_) if matches!(conn.role, Role::Caller(_)) => {}
            Ok(_) if conn.unsent() > MOST_UNSENT => self.lose(id, "does-not-read"),
            Ok(_) => {}
            Err(error) => self.lose(id, cause(error)),
        }
    }

    fn lose(&mut self, id: u64, why: &'static str) {
        let Some(conn) = self.conns.remove(&id) else { return };
        let now = self.clock.now();
        match conn.role {
            Role::Session => self.core.session_closed(now, id, why),
            Role::Out { address } => {
                debug!("event=out-lost ip={address} why={why}");
                self.out.remove(&address);
            }
            Role::Platform(..) => {
                self.carrier = None;
                self.reading = None;
            }
            Role::Peer { .. } | Role::Stranger | Role::Caller(_) => {}
        }
    }

    // Callers.

    fn call(&mut self, now: Timestamp, id: u64) -> Result<(), &'static str> {
        loop {
            let Some(Conn { wire, role: Role::Caller(caller), ends, .. }) = self.conns.get_mut(&id) else {
                return Ok(());
            };
            if caller.drains {
                wire.input.clear();
            }
            if caller.waits || *ends {
                return Ok(());
            }
            // Danger: answers to calls that come one behind the other would pile up for one that does not read.
            if wire.unsent() > MOST_HELD {
                wire.flush().map_err(cause)?;
                if wire.unsent() > MOST_HELD {
                    return Ok(()); // once there is room again it goes on
                }
            }
            if caller.call.is_none() {
                match caller.reader.next(MessageKind::Request, &mut wire.input, MAX_HEAD_BYTES) {
                    Ok(None) => return Ok(()),
                    Err(fault) => {
                        caller.closes = true;
                        self.answer(id, fault.status(), "text/plain", b"not a request", None);
                        return Ok(());
                    }
                    Ok(Some((head, framing))) => {
                        caller.closes = !head.keeps_open();
                        if matches!(framing, Framing::Sized(length) if length > MOST_CALL as u64) {
                            self.too_long(id);
                            return Ok(());
                        }
                        if head.expects_a_word() {
                            wire.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        }
                        caller.call = Some(ApiCall::decode(head.start(0), head.start(1)));
                        caller.target = head.start(1).to_vec();
                        caller.body = Some(Body::new(framing));
                        caller.bytes.clear();
                    }
                }
            }
            let body = caller.body.as_mut().expect("set with the call");
            // One byte more than is taken tells a call that goes on from one that ends there.
            let room = (MOST_CALL + 1).saturating_sub(caller.bytes.len());
            let whole = body.read(&mut wire.input, &mut caller.bytes, room).map_err(|_| "garbled")?;
            if caller.bytes.len() > MOST_CALL {
                self.too_long(id);
                return Ok(());
            }
            if !whole {
                if caller.bytes.len() > MOST_HELD && self.calls_held() > MOST_CALLS {
                    // Danger: eight long calls at once would take more memory than a small machine has.
                    self.cut_short(id);
                    self.answer(id, 503, "text/plain", b"too many long calls at once", Some(1));
                }
                return Ok(());
            }
            let call = caller.call.take().expect("set above");
            let bytes = std::mem::take(&mut caller.bytes);
            self.run_call(now, id, call, &bytes);
        }
    }

    fn calls_held(&self) -> usize {
        let bytes = |conn: &Conn| if let Role::Caller(caller) = &conn.role { caller.bytes.len() } else { 0 };
        self.conns.values().map(bytes).sum()
    }

    /// A call that has not come whole is read no further: what still comes of it is dropped.
    fn cut_short(&mut self, id: u64) {
        if let Some(Conn { role: Role::Caller(caller), .. }) = self.conns.get_mut(&id) {
            (caller.closes, caller.drains) = (true, true);
            (caller.bytes, caller.refused) = (Vec::new(), self.clock.now());
        }
    }

    /// A call beyond the limit is refused before anything is made of it.
    fn too_long(&mut self, id: u64) {
        self.cut_short(id);
        info!("event=call-too-long most={MOST_CALL} most_items={MOST_ITEMS}");
        self.answer(id, 413, "text/plain", b"a call of more than 16 MiB, or 20 MiB as items", None);
    }

    fn run_call(&mut self, now: Timestamp, id: u64, call: ApiCall, body: &[u8]) {
        let order = match call {
            ApiCall::Request(order) => order,
            ApiCall::Patch => match self.core.parse_change_request(body) {
                Ok(order) if order.bytes() > MOST_ITEMS => return self.too_long(id),
                Ok(order) => order,
                Err(why) => {
                    info!("event=unread-call why={why:?}");
                    return self.answer(id, 400, "text/plain", why.as_bytes(), None);
                }
            },
            ApiCall::Lookup { region, zone } => return self.lookup(id, &region, &zone),
            ApiCall::Members => return self.members(id),
            ApiCall::Unknown => return self.answer(id, 404, "text/plain", b"no such call", None),
            ApiCall::WrongMethod => return self.answer(id, 405, "text/plain", b"not by this method", None),
        };
        if let Request::Evacuate { zone, .. } = &order {
            // Out of contact not even that is known for certain: others may have newer settings.
            if self.core.accepts_requests(now)
                && !self.settings.zones.is_empty()
                && !self.settings.zones.contains_key(zone)
            {
                return self.answer(id, 404, "text/plain", b"no such zone", None);
            }
        }
        if let Some(Conn { role: Role::Caller(caller), .. }) = self.conns.get_mut(&id) {
            caller.waits = true;
        }
        self.core.handle_request(now, id, order);
    }

    fn lookup(&mut self, id: u64, region: &str, zone: &str) {
        // Danger: gateways that are long gone, told by one that cannot know of it.
        if !self.core.can_look_up(self.clock.now()) {
            return self.answer(id, 503, "text/plain", b"out of contact with the core", Some(1));
        }
        let addresses = self.core.look_up(region, zone, &self.settings.zones);
        if addresses.is_empty() {
            return self.answer(id, 503, "text/plain", b"no gateway is ready", Some(1));
        }
        let valid = self.settings.bounds.ttl_max.as_secs_f64().min(VALID);
        let body = json!({"addresses": addresses, "valid-s": valid}).to_string();
        self.answer(id, 200, "application/json", body.as_bytes(), None);
    }

    fn members(&mut self, id: u64) {
        let now = self.clock.now();
        let gateways: Vec<_> = self
            .core
            .members()
            .into_iter()
            .map(
                |m| json!({"station": m.node_id, "front": m.client_address, "district": m.zone, "ready": m.is_ready}),
            )
            .collect();
        let replicas: Vec<_> = self
            .core
            .replica_contacts(now)
            .into_iter()
            .map(|ReplicaContact { replica, heard, age }| {
                json!({"station": replica.node_id, "ip": replica.address, "district": replica.zone, "heard": heard,
                    "contact": age.is_some_and(|age| age <= CONTACT), "contact-age-ms": age.map(millis)})
            })
            .collect();
        let standing = self.core.replica_state().wire_name();
        let body = json!({"asked": self.settings.node_id, "standing": standing,
            "contact": self.core.has_quorum(now), "contact-age-ms": self.core.contact_age(now).map(millis),
            "duty": {COORDINATOR_ROLE: self.core.lease_term(now).is_some()}, "core": replicas, "gateways": gateways,
            "evacuated": self.core.evacuated_zones()});
        self.answer(id, 200, "application/json", body.to_string().as_bytes(), None);
    }

    fn answer(&mut self, id: u64, status: u16, kind: &str, body: &[u8], retry: Option<u32>) {
        let retry = retry.map(|seconds| format!("Retry-After: {seconds}\r\n"));
        self.answer_with(id, status, kind, body, &retry.unwrap_or_default());
    }

    /// The same call, at another control process. Ports are alike on all machines.
    fn redirect(&mut self, id: u64, address: &str) {
        let Some(Conn { role: Role::Caller(caller), .. }) = self.conns.get(&id) else { return };
        let port = self.settings.listeners.operator_api.map(|desk| desk.port());
        match port.and_then(|port| place(address, port, &caller.target)) {
            Some(place) => {
                let field = format!("Location: {place}\r\n");
                self.answer_with(id, 307, "text/plain", b"out of contact with the core", &field);
            }
            None => self.answer(id, 503, "text/plain", b"out of contact with the core", Some(1)),
        }
    }

    fn answer_with(&mut self, id: u64, status: u16, kind: &str, body: &[u8], fields: &str) {
        let Some(Conn { wire, role: Role::Caller(caller), ends, at, .. }) = self.conns.get_mut(&id) else {
            return;
        };
        *at = self.clock.now();
        caller.waits = false;
        *ends |= caller.closes;
        let reason = match status {
            200 => "OK",
            307 => "Temporary Redirect",
            413 => "Content Too Large",
            503 => "Service Unavailable",
            _ => "Refused",
        };
        let mut head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n",
            body.len()
        );
        head.push_str(fields);
        if *ends {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        wire.output.extend_from_slice(head.as_bytes());
        wire.output.extend_from_slice(body);
    }

    // Other processes of the system.

    fn said(&mut self, now: Timestamp, id: u64) -> Result<(), &'static str> {
        let Some(conn) = self.conns.get_mut(&id) else { return Ok(()) };
        let (input, mut at) = (std::mem::take(&mut conn.wire.input), 0);
        // Danger: over a slow line a word of many MiB takes longer than a silence is borne.
        match &conn.role {
            Role::Peer { node_id, .. } if !input.is_empty() => self.core.peer_alive(now, node_id),
            Role::Session if !input.is_empty() => self.core.session_alive(now, id),
            _ => {}
        }
        loop {
            let Some(conn) = self.conns.get_mut(&id) else { return Ok(()) };
            match conn.assembler.next(&input, &mut at) {
                Ok(Some(message)) => self.message(now, id, message),
                Err(error) => {
                    warn!("event=garbled why={:?}", error.to_string());
                    return Err("garbled");
                }
                Ok(None) => {
                    conn.wire.input = input;
                    conn.wire.input.drain(..at);
                    return Ok(());
                }
            }
        }
    }

    fn message(&mut self, now: Timestamp, id: u64, message: Message) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        match (&conn.role, message) {
            (Role::Stranger, Message::Hello(hello)) if hello.is_control_plane => {
                conn.role = Role::Peer { node_id: hello.node_id.clone(), incarnation: hello.incarnation };
                self.ips.insert(hello.node_id.clone(), hello.address.clone());
                self.stops.insert(hello.address.clone(), now);
                self.core.peer_connected(now, &hello);
            }
            (Role::Stranger, Message::Hello(hello)) => {
                conn.role = Role::Session;
                self.core.session_opened(now, id, hello);
            }
            (Role::Peer { node_id, incarnation }, message) => {
                let node_id = node_id.clone();
                // Danger: what an earlier life said would count for the seat of this one, which may have another folder.
                if !self.core.knows_incarnation(&node_id, *incarnation) {
                    conn.ends = true;
                    return;
                }
                for address in self.core.peer_message(now, &node_id, message) {
                    self.stops.entry(address).or_insert(now);
                }
            }
            (Role::Session, message) => self.core.session_message(now, id, message),
            _ => {}
        }
    }

    /// Opens what connections are missing to control processes that are known.
    fn connect(&mut self, now: Timestamp) {
        let own = self.settings.address.to_string();
        let first = self.settings.bootstrap_addresses.iter().map(|stop| stop.ip().to_string());
        let mut ips: Vec<String> =
            first.chain(self.core.known_addresses()).chain(self.stops.keys().cloned()).collect();
        ips.sort();
        ips.dedup();
        for address in ips.into_iter().filter(|address| *address != own) {
            let last = self.tried.get(&address).copied().unwrap_or_default();
            if self.out.contains_key(&address) || now - last < TICK * 4 {
                continue;
            }
            self.tried.insert(address.clone(), now);
            let Ok(parsed) = address.parse::<IpAddr>() else { continue };
            let (id, to) = (self.next, SocketAddr::new(parsed, self.settings.peer_ports.0));
            self.next += 1;
            match Connection::open(&self.poll, &to, id, PATIENCE) {
                Ok(mut wire) => {
                    protocol::pack(Message::Hello(self.core.hello()), &mut wire.output);
                    self.conns.insert(id, Conn::new(wire, Role::Out { address: address.clone() }, now));
                    self.out.insert(address, id);
                }
                Err(error) => warn!("event=connect-failed ip={address} why={}", cause(error)),
            }
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        let old = |conn: &Conn| match &conn.role {
            Role::Caller(caller) if caller.drains => now - conn.at > PATIENCE || now - caller.refused > DRAIN,
            Role::Caller(caller) => !caller.waits && now - conn.at > IDLE,
            Role::Stranger => now - conn.at > PATIENCE * 2,
            // Danger: a connection that is never made, to a machine without power, would stand in the way of
            // another try.
            Role::Out { .. } => !conn.wire.is_made() && now - conn.at > PATIENCE,
            Role::Peer { .. } | Role::Session => now - conn.at > PATIENCE * 4,
            Role::Platform(..) => self.reading.as_ref().is_some_and(|reading| now - reading.since > PAGE * 3),
        };
        let old: Vec<u64> = self.conns.iter().filter(|(_, conn)| old(conn)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|id| self.lose(id, "silent"));
        self.stops.retain(|address, since| self.out.contains_key(address) || now - *since < PATIENCE * 20);
    }

    // The platform's list.

    fn fetch(&mut self, now: Timestamp) {
        if self.core.active_term(now).is_none() || self.reading.is_some() || now - self.read < READING {
            return;
        }
        let Some(carrier) = self.settings.platform.as_ref().map(|carrier| carrier.address) else { return };
        self.read = now;
        self.reading = Some(Reading { entries: Vec::new(), since: now });
        if self.carrier.is_none() {
            let id = self.next;
            self.next += 1;
            match Connection::open(&self.poll, &carrier, id, PATIENCE) {
                Ok(wire) => {
                    let role = Role::Platform(HeadReader::default(), None, Vec::new());
                    self.conns.insert(id, Conn::new(wire, role, now));
                    self.carrier = Some(id);
                }
                Err(error) => {
                    self.reading = None;
                    return warn!("event=list-unreached why={}", cause(error));
                }
            }
        }
        self.ask_page(None);
    }

    fn ask_page(&mut self, token: Option<&str>) {
        let Some((id, carrier)) = self.carrier.zip(self.settings.platform.as_ref()) else { return };
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let query = token.map(|token| format!("?page-token={token}")).unwrap_or_default();
        let request = format!("GET /backends{query} HTTP/1.1\r\nHost: {}\r\n\r\n", carrier.address);
        conn.wire.output.extend_from_slice(request.as_bytes());
        self.flush(id);
    }

    fn carried(&mut self, now: Timestamp, id: u64, ended: bool) -> Result<(), &'static str> {
        let Some(Conn { wire, role: Role::Platform(reader, stage, bytes), .. }) = self.conns.get_mut(&id)
        else {
            return Ok(());
        };
        if self.reading.is_none() && !wire.input.is_empty() {
            // Danger: what comes unasked would stand in the place of the next reading's first page.
            return Err("unasked");
        }
        if stage.is_none() {
            let kind = MessageKind::Answer { to_head: false };
            let Some((head, framing)) =
                reader.next(kind, &mut wire.input, MAX_HEAD_BYTES).map_err(|_| "garbled")?
            else {
                return Ok(());
            };
            *stage = Some((Body::new(framing), head.status()));
            bytes.clear();
        }
        let Some((body, status)) = stage else { return Ok(()) };
        let room = MOST_CALL - bytes.len().min(MOST_CALL);
        let whole = body.read(&mut wire.input, bytes, room).map_err(|_| "garbled")?;
        let whole = whole || ended && body.ended().is_ok();
        if !whole {
            return Ok(());
        }
        let (status, bytes) = (*status, std::mem::take(bytes));
        *stage = None;
        let page = endpoints::page(&bytes).filter(|_| status == 200);
        let Some((entries, next)) = page else {
            warn!("event=list-unread status={status} bytes={}", bytes.len());
            self.reading = None; // a reading that is not whole tells nothing
            return Ok(());
        };
        let Some(reading) = &mut self.reading else { return Ok(()) };
        reading.entries.extend(entries);
        match next {
            Some(token) => self.ask_page(Some(&token)),
            None => {
                let whole = self.reading.take().expect("found above");
                self.core.endpoints_listed(now, whole.entries);
            }
        }
        Ok(())
    }

    /// Carries out what the core wants done.
    fn act(&mut self) {
        let mut batches = Batches::default();
        let (mut touched, mut long) = (BTreeSet::new(), Long::default());
        while !self.core.active_term.is_empty() {
            for act in std::mem::take(&mut self.core.active_term) {
                match act {
                    Action::SendToPeer(node_id, message) => {
                        let id = self.ips.get(&node_id).and_then(|address| self.out.get(address)).copied();
                        if let Some((id, conn)) = id.and_then(|id| Some((id, self.conns.get_mut(&id)?))) {
                            let piece =
                                matches!(&message, Message::PrepareResponse(held) if !held.items.is_empty());
                            if piece && conn.unsent() > BUSY {
                                debug!("event=held-back station={node_id} unsent={}", conn.unsent());
                                continue;
                            }
                            let urgent = is_urgent(&message);
                            let packed = long.of(message);
                            conn.say(packed, urgent);
                            touched.insert(id);
                        }
                    }
                    Action::SendToSession(id, message) => {
                        if let Some(conn) = self.conns.get_mut(&id) {
                            conn.say(Packed::new(message.clone()), is_urgent(&message));
                            touched.insert(id);
                        }
                    }
                    Action::SendItems(id, items) => {
                        if let Some(conn) = self.conns.get_mut(&id) {
                            for packed in batches.of(&items) {
                                conn.say(packed, false);
                            }
                            touched.insert(id);
                        }
                    }
                    Action::Respond(id, response) => {
                        let waits = |conn: &Conn| matches!(&conn.role, Role::Caller(caller) if caller.waits);
                        if !self.conns.get(&id).is_some_and(waits) {
                            // Danger: an answer to a caller that is gone, or has had one, in another's place.
                            debug!("event=answer-to-nobody");
                            continue;
                        }
                        match response {
                            Response::Done => self.answer(id, 200, "application/json", b"{}", None),
                            Response::Body(body) => self.answer(id, 200, "application/json", &body, None),
                            Response::Conflict(why) => {
                                self.answer(id, 409, "text/plain", why.as_bytes(), None)
                            }
                            Response::Invalid(why) => {
                                self.answer(id, 400, "text/plain", why.as_bytes(), None)
                            }
                            Response::Redirect(address) => self.redirect(id, &address),
                            Response::Unavailable(why) => {
                                self.answer(id, 503, "text/plain", why.as_bytes(), Some(1));
                            }
                        }
                        touched.insert(id);
                        // The next call may stand in its input already, and more of it in the socket.
                        self.serve(id, None);
                    }
                    Action::Persist(request_id, records) => self.store.put(request_id, records),
                    Action::CloseSession(id) => {
                        if let Some(conn) = self.conns.get_mut(&id) {
                            conn.ends = true;
                            touched.insert(id);
                        }
                    }
                }
            }
        }
        touched.into_iter().for_each(|id| self.flush(id));
    }
}

/// Words that must not wait behind a long one.
fn is_urgent(message: &Message) -> bool {
    matches!(
        message,
        Message::Heartbeat(_)
            | Message::LeaseRequest(_)
            | Message::LeaseVote(_)
            | Message::UsageReport(_)
            | Message::UsageTotals(_)
    )
}

/// The items that were packed last: what goes to many sessions is packed, and kept, once.
#[derive(Default)]
struct Batches(Option<(Arc<[Item]>, Vec<Packed>)>);

impl Batches {
    fn of(&mut self, items: &Arc<[Item]>) -> Vec<Packed> {
        if let Some((_, packed)) = self.0.as_ref().filter(|(last, _)| Arc::ptr_eq(last, items)) {
            return packed.clone();
        }
        let packed: Vec<Packed> = protocol::batches(items.iter()).into_iter().map(Packed::new).collect();
        self.0 = Some((items.clone(), packed.clone()));
        packed
    }
}

/// The last long word that was packed: what goes to many is packed, and kept, once.
#[derive(Default)]
struct Long(Option<(Message, Packed)>);

impl Long {
    fn of(&mut self, message: Message) -> Packed {
        if let Some((_, packed)) = self.0.as_ref().filter(|(last, _)| *last == message) {
            return packed.clone();
        }
        let packed = Packed::new(message.clone());
        if matches!(packed, Packed::Long(_)) {
            self.0 = Some((message, packed.clone()));
        }
        packed
    }
}
