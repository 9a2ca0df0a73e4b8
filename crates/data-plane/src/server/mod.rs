//! The gateway process: a single-threaded event loop that connects sockets and timers to the decision logic.
//!
//! [`Server::run`] is the event loop. It dispatches events as follows:
//!
//! | event | handled by |
//! | --- | --- |
//! | client connects, or its socket is readable or writable | `downstream`, `request_head`, `request_body` |
//! | backend connection is established, readable or writable | `upstream`, which passes responses to `response` |
//! | control process connection is readable or writable | `control_connection` |
//! | request deadline, overdue attempt or connect timeout | `forwarding`, `overdue_attempts`, `upstream` |
//! | periodic tick: control session, quota, idle connections | `Server::tick` |
//! | end of a reporting period | `usage_reports`, `outcome_log` |
//! | SIGHUP or a changed settings file | `Server::reload_settings` |
//! | SIGTERM | `shutdown` |

mod configuration;
mod control_connection;
mod downstream;
mod forwarding;
mod idle_connections;
mod local_response;
mod outcome_log;
mod overdue_attempts;
mod readiness;
mod request_body;
mod request_head;
mod response;
mod schedule;
mod shutdown;
mod upstream;
mod usage_reports;

use crate::control_session::ControlSession;
use crate::ids::{ClientId, RequestId, UpstreamId};
use crate::load_balancer::LoadBalancer;
use crate::quota::Quota;
use crate::request::Request;
use crate::retry_budget::{RetryBudget, RetryLimits};
use configuration::Configuration;
use control_connection::ControlConnection;
use downstream::Client;
use idle_connections::IdleConnections;
use kitepass_coordination::protocol::Hello;
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_net::poller::{self, Clock, Poller, ReadyEvent};
use kitepass_net::timer_wheel::TimerWheel;
use kitepass_net::{Errno, OwnedFd};
use kitepass_node::process::{new_incarnation, Signals};
use kitepass_node::{Settings, SettingsWatcher};
use kitepass_time::{Duration, Timestamp};
use log::{error, info};
use outcome_log::OutcomeLog;
use schedule::Schedule;
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use upstream::Upstream;

/// Bytes buffered per connection and direction before the gateway stops reading from the other side.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// Maximum number of bytes per read from a socket.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Poll token of the client listener.
const CLIENT_LISTENER: u64 = 1;
/// Poll token of the readiness check listener.
const READINESS_LISTENER: u64 = 2;
/// First id allocated to connections and requests. Smaller values are reserved for listeners.
const FIRST_DYNAMIC_ID: u64 = 16;

/// Errors that prevent the process from starting or running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be read or is invalid.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// The cause.
        source: kitepass_node::Error,
    },
    /// A setting required by the gateway is missing.
    #[snafu(display("the settings file lacks {field}, which the gateway requires"))]
    MissingSetting {
        /// The missing key.
        field: &'static str,
    },
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error returned by the system.
        source: Errno,
    },
    /// A system call failed.
    #[snafu(display("system call failed ({operation}): {source}"))]
    System {
        /// The operation that needed the system call.
        operation: &'static str,
        /// The error returned by the system.
        source: Errno,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The error returned by the system.
        source: std::io::Error,
    },
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug)]
enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// The timeout for establishing a connection to a backend.
    Connect(UpstreamId),
    /// The time at which an attempt on a connection becomes overdue.
    Overdue(RequestId, UpstreamId),
}

/// A listening socket.
struct Listener {
    token: u64,
    socket: OwnedFd,
}

/// The gateway process.
pub struct Server {
    settings: Settings,
    settings_watcher: SettingsWatcher,
    signals: Signals,
    poller: Poller,
    clock: Clock,
    timers: TimerWheel<Timer>,
    /// The next id to allocate to a connection or request.
    next_id: u64,
    read_buffer: Vec<u8>,
    rng: oorandom::Rand64,
    listeners: Vec<Listener>,
    clients: BTreeMap<ClientId, Client>,
    requests: BTreeMap<RequestId, Request>,
    /// Total bytes buffered for request bodies.
    buffered_body_bytes: usize,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    idle_connections: IdleConnections,
    /// Connections to backends that have unread data and can be read without waiting for a socket event.
    readable_upstreams: BTreeSet<UpstreamId>,
    /// Client connections whose input can be processed without waiting for a socket event.
    resumable_clients: BTreeSet<ClientId>,
    control_session: ControlSession,
    control_connection: Option<ControlConnection>,
    /// A connection that is being opened to another control process.
    candidate_connection: Option<ControlConnection>,
    configuration: Configuration,
    outcome_log: OutcomeLog,
    quota: Quota,
    load_balancer: LoadBalancer,
    retry_budget: RetryBudget,
    live_gateways: usize,
    incarnation: u64,
    last_report_id: u64,
    /// The send times of unanswered usage reports, by report id.
    pending_reports: BTreeMap<u64, Timestamp>,
    shutdown_started_at: Option<Timestamp>,
}

fn retry_limits(settings: &Settings) -> RetryLimits {
    let bounds = &settings.bounds;
    let window = Duration::from(bounds.retry_window);
    RetryLimits { ratio: bounds.retry_ratio, window, margin: bounds.retry_margin }
}

fn quota_tolerance(settings: &Settings) -> QuotaTolerance {
    let bounds = &settings.bounds;
    QuotaTolerance {
        window: bounds.quota_window.as_secs_f64(),
        excess: bounds.quota_excess,
        margin: bounds.quota_margin,
    }
}

fn bootstrap_addresses(settings: &Settings) -> Vec<String> {
    settings.bootstrap_addresses.iter().map(|address| address.ip().to_string()).collect()
}

/// Opens a listener for each configured address and registers it with the poller.
fn listen(poller: &Poller, addresses: [(u64, Option<SocketAddr>); 2]) -> Result<Vec<Listener>, Error> {
    let mut listeners = Vec::new();
    for (token, address) in addresses {
        let Some(address) = address else { continue };
        let socket = poller::listen(&address).context(ListenSnafu { address })?;
        poller.add(&socket, token).context(SystemSnafu { operation: "epoll" })?;
        listeners.push(Listener { token, socket });
    }
    Ok(listeners)
}

impl Server {
    /// Installs the signal handlers, reads the settings file and opens the listeners.
    ///
    /// # Errors
    ///
    /// The signal handlers cannot be installed, the settings are invalid, or a system call failed.
    pub fn open(settings_path: PathBuf) -> Result<Server, Error> {
        // Invariant: the handlers are installed before any operation that can block. Until then even SIGHUP, which only
        // requests a reload, terminates the process.
        let signals = Signals::default();
        signals.install_handlers().context(SignalsSnafu)?;
        let settings = Settings::load(&settings_path).context(SettingsSnafu)?;
        let poller = Poller::new().context(SystemSnafu { operation: "epoll" })?;
        let clock = Clock::new();
        let client_address =
            settings.listeners.client_api.context(MissingSettingSnafu { field: "front-counter" })?;
        let addresses =
            [(CLIENT_LISTENER, Some(client_address)), (READINESS_LISTENER, settings.listeners.readiness)];
        let listeners = listen(&poller, addresses)?;
        let incarnation = new_incarnation(&settings.node_id);
        let hello = Hello {
            node_id: settings.node_id.clone(),
            address: settings.address.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation,
            client_address: client_address.to_string(),
            ..Hello::default()
        };
        let control_session =
            ControlSession::new(hello, bootstrap_addresses(&settings), settings.zones.clone());
        let now = clock.now();
        Ok(Server {
            quota: Quota::new(now, incarnation, quota_tolerance(&settings)),
            load_balancer: LoadBalancer::new(
                incarnation ^ 1,
                &settings.node_id,
                &settings.zone,
                &settings.zones,
            ),
            retry_budget: RetryBudget::new(retry_limits(&settings)),
            rng: oorandom::Rand64::new(u128::from(incarnation ^ 2)),
            settings,
            settings_watcher: SettingsWatcher::new(settings_path),
            signals,
            poller,
            clock,
            timers: TimerWheel::new(now),
            next_id: FIRST_DYNAMIC_ID,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            listeners,
            clients: BTreeMap::new(),
            requests: BTreeMap::new(),
            buffered_body_bytes: 0,
            upstreams: BTreeMap::new(),
            idle_connections: IdleConnections::default(),
            readable_upstreams: BTreeSet::new(),
            resumable_clients: BTreeSet::new(),
            configuration: Configuration::new(),
            outcome_log: OutcomeLog::default(),
            control_session,
            control_connection: None,
            candidate_connection: None,
            live_gateways: 1,
            incarnation,
            last_report_id: 0,
            pending_reports: BTreeMap::new(),
            shutdown_started_at: None,
        })
    }

    /// Runs the event loop until SIGTERM, then until the graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// Waiting for socket events failed.
    pub fn run(mut self) -> Result<(), Error> {
        info!("event=serving node-id={} address={}", self.settings.node_id, self.settings.address);
        let mut schedule = Schedule::new(self.clock.now());
        let (mut ready_events, mut due_timers) = (Vec::new(), Vec::new());
        loop {
            let timeout = self.poll_timeout(&schedule);
            self.poller
                .wait(Some(timeout), &mut ready_events)
                .context(SystemSnafu { operation: "waiting" })?;
            for event in ready_events.drain(..) {
                self.handle_socket_event(&event);
            }
            self.resume_connections();
            let now = self.clock.now();
            self.timers.take_due(now, &mut due_timers);
            for timer in due_timers.drain(..) {
                self.handle_timer(now, timer);
            }
            if schedule.start_tick_if_due(now) {
                self.tick(now);
            }
            if schedule.start_period_if_due(now) {
                self.report_usage(now);
                self.outcome_log.log_period();
            }
            if self.signals.take_reload_request() || schedule.is_settings_check_due(now) {
                schedule.record_settings_check(now);
                self.reload_settings();
            }
            self.apply_configuration(now);
            self.update_readiness();
            self.apply_quota_decisions(now);
            self.flush_control_connections();
            if self.continue_shutdown(now) {
                return Ok(());
            }
        }
    }

    /// How long to wait for socket events: until the next timer or tick, or not at all while unread data is pending.
    fn poll_timeout(&self, schedule: &Schedule) -> Duration {
        if !self.readable_upstreams.is_empty() || !self.resumable_clients.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let until_tick = schedule.until_tick(now);
        self.timers.next_deadline().map_or(until_tick, |at| until_tick.min((at - now).max(Duration::ZERO)))
    }

    /// Continues the connections that need no socket event. Each is served once in a turn, so that none delays the others.
    fn resume_connections(&mut self) {
        for upstream in std::mem::take(&mut self.readable_upstreams) {
            self.process_upstream(upstream, None);
        }
        for client in std::mem::take(&mut self.resumable_clients) {
            self.process_client(client, None);
        }
    }

    fn handle_socket_event(&mut self, event: &ReadyEvent) {
        let is_control = |connection: &ControlConnection| connection.id == event.token;
        match event.token {
            CLIENT_LISTENER | READINESS_LISTENER => self.accept(event.token),
            _ if self.control_connection.as_ref().is_some_and(is_control) => {
                self.process_control_connection(event)
            }
            _ if self.candidate_connection.as_ref().is_some_and(is_control) => self.process_candidate(event),
            id if self.clients.contains_key(&ClientId(id)) => self.process_client(ClientId(id), Some(event)),
            id => self.process_upstream(UpstreamId(id), Some(event)),
        }
    }

    fn handle_timer(&mut self, now: Timestamp, timer: Timer) {
        match timer {
            Timer::Deadline(request) => self.deadline_expired(now, request),
            Timer::Connect(upstream) => self.connect_timed_out(now, upstream),
            Timer::Overdue(request, upstream) => self.attempt_overdue(now, request, upstream),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.tick_control_session(now);
        self.quota.tick(now);
        self.close_idle_clients(now);
        self.close_idle_upstreams(now);
    }

    fn reload_settings(&mut self) {
        match self.settings_watcher.poll() {
            Some(Ok(settings)) if settings == self.settings => {}
            Some(Ok(settings)) => {
                info!("event=settings");
                self.control_session.set_bootstrap_addresses(bootstrap_addresses(&settings));
                self.retry_budget.set_limits(retry_limits(&settings));
                self.quota.set_tolerance(quota_tolerance(&settings));
                self.settings = settings;
            }
            Some(Err(error)) => error!("event=settings-rejected why={:?}", error.to_string()),
            None => {}
        }
    }

    /// Activates the configuration received by the control session, if it has changed and contains no partial changes.
    /// It applies to requests that arrive from now on.
    fn apply_configuration(&mut self, now: Timestamp) {
        let Some(routing_table) = self.configuration.refresh(&self.control_session) else { return };
        self.load_balancer.set_evacuated_zones(now, &routing_table.evacuated_zones);
        let services = routing_table.services.values();
        let rates = services.map(|service| (service.name.clone(), service.slow_start_rate));
        self.load_balancer.set_slow_start_rates(rates);
    }

    /// Allocates an id for a connection or a request.
    fn allocate_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}
