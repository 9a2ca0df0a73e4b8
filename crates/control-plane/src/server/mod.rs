//! Connects the [`StateMachine`] to sockets, disk and clock, with an event loop on a single thread.
//!
//! Each module handles one kind of event: `connection_io` the sockets, `api_client`, `operator_api` and `directory_api`
//! the clients of the APIs, `peer_connections` control processes and gateways, `platform_client` the platform's list of
//! backends, `persistence` the disk, and `worker` a thread for long computations. `actions` performs the state
//! machine's actions. `shutdown` ends the process after SIGTERM. `turn_monitor` detects long turns of the loop, and
//! postpones liveness checks until the input that arrived during a long turn has been read.

mod actions;
mod api_client;
mod connection_io;
mod connections;
mod directory_api;
mod encoded_messages;
mod http_response;
mod operator_api;
mod peer_connections;
mod persistence;
mod platform_client;
mod shutdown;
mod turn_monitor;
mod worker;

use crate::state_machine::{StartParameters, StateMachine};
use connections::{ConnectionId, ConnectionTable};
use http_response::HttpResponse;
use kitepass_config::SchemaValidator;
use kitepass_coordination::membership::Replica;
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_net::poller::{self, Clock, Poller, ReadyEvent};
use kitepass_net::{Errno, OwnedFd};
use kitepass_node::process::{new_incarnation, Signals};
use kitepass_node::{Settings, SettingsWatcher};
use kitepass_storage::Store;
use kitepass_time::{Duration, Timestamp};
use log::{error, info, warn};
use peer_connections::PeerRegistry;
use persistence::Record;
use platform_client::PlatformClient;
use shutdown::Shutdown;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use turn_monitor::TurnMonitor;
use worker::{FinishedJob, Worker};

/// Maximum number of bytes per read call.
const READ_BUFFER_BYTES: usize = 64 * 1024;
const TICK_INTERVAL: Duration = Duration::from_micros(100_000);
/// Interval between checks for a changed settings file.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_micros(1_000_000);

/// Why the server cannot start or continue.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be read, or is invalid.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// The error of the settings file.
        source: kitepass_node::Error,
    },
    /// A setting that control processes require is missing.
    #[snafu(display("the settings lack {field}, which a control process requires"))]
    Missing {
        /// The setting's key.
        field: &'static str,
    },
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The system's error.
        source: Errno,
    },
    /// The store cannot be opened, or a write to it failed.
    #[snafu(display("cannot access the store: {source}"))]
    Disk {
        /// The store's error.
        source: kitepass_storage::Error,
    },
    /// A system call failed that the event loop requires.
    #[snafu(display("{what}: {source}"))]
    System {
        /// The operation that failed.
        what: &'static str,
        /// The system's error.
        source: Errno,
    },
    /// The worker thread cannot be started.
    #[snafu(display("cannot start the worker thread: {source}"))]
    Worker {
        /// The system's error.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install the signal handlers: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
}

/// The sockets on which the server accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Listener {
    OperatorApi,
    DirectoryApi,
    /// For other control processes and gateway sessions.
    Peers,
}

/// The source of a poller event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventSource {
    Listener(Listener),
    /// Records have been written to disk.
    Store,
    /// The worker has finished a job.
    Worker,
    Connection(ConnectionId),
}

impl EventSource {
    /// The lowest token of a connection. Lower tokens belong to the other sources.
    const FIRST_CONNECTION: u64 = 16;

    /// Returns the source's token at the poller.
    fn token(self) -> u64 {
        match self {
            EventSource::Listener(Listener::OperatorApi) => 1,
            EventSource::Listener(Listener::DirectoryApi) => 2,
            EventSource::Listener(Listener::Peers) => 3,
            EventSource::Store => 4,
            EventSource::Worker => 5,
            EventSource::Connection(id) => id.0,
        }
    }

    fn from_token(token: u64) -> EventSource {
        match token {
            1 => EventSource::Listener(Listener::OperatorApi),
            2 => EventSource::Listener(Listener::DirectoryApi),
            3 => EventSource::Listener(Listener::Peers),
            4 => EventSource::Store,
            5 => EventSource::Worker,
            id => EventSource::Connection(ConnectionId(id)),
        }
    }
}

/// When the loop last did its periodic work, and the shutdown, once it has started.
struct LoopTimestamps {
    last_tick: Timestamp,
    last_settings_check: Timestamp,
    shutdown: Option<Shutdown>,
}

/// A control process: the state machine with its sockets, its store and its clock.
pub struct Server {
    settings: Settings,
    settings_watcher: SettingsWatcher,
    signals: Signals,
    clock: Clock,
    poller: Poller,
    listeners: BTreeMap<Listener, OwnedFd>,
    connections: ConnectionTable,
    read_buffer: Vec<u8>,
    /// Connections with more input than was read in one turn.
    resume_reading: Vec<ConnectionId>,
    /// Sessions whose previous chunk has been sent.
    drained_sessions: Vec<ConnectionId>,
    peers: PeerRegistry,
    platform: PlatformClient,
    store: Store,
    /// Validates operators' changes.
    schema: Arc<SchemaValidator>,
    worker: Worker,
    turn_monitor: TurnMonitor,
    state_machine: StateMachine,
}

impl Server {
    /// Installs the signal handlers, reads the settings file at `path`, opens the listeners and the store, and restores
    /// the state from the stored records.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed, the settings are missing or invalid, an address or the data
    /// directory cannot be used, the worker thread cannot be started, or the system is out of descriptors.
    pub fn open(path: PathBuf) -> Result<Server, Error> {
        // Invariant: this is done before anything that takes time. Until then any signal terminates the process, even
        // SIGHUP, which only announces new settings.
        let signals = Signals::default();
        signals.install_handlers().context(SignalsSnafu)?;
        let settings = Settings::load(&path).context(SettingsSnafu)?;
        let poller = Poller::new().context(SystemSnafu { what: "epoll" })?;
        let clock = Clock::new();
        let listeners = open_listeners(&settings, &poller)?;
        let (store, records) = persistence::open(&settings, &poller)?;
        let start = start_parameters(&settings, records);
        let schema = Arc::new(SchemaValidator::new());
        let worker = Worker::start(schema.clone()).context(WorkerSnafu)?;
        poller.add(worker.event_fd(), EventSource::Worker.token()).context(SystemSnafu { what: "epoll" })?;
        Ok(Server {
            state_machine: StateMachine::new(clock.now(), start),
            settings,
            settings_watcher: SettingsWatcher::new(path),
            signals,
            clock,
            poller,
            listeners,
            connections: ConnectionTable::new(EventSource::FIRST_CONNECTION),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            resume_reading: Vec::new(),
            drained_sessions: Vec::new(),
            peers: PeerRegistry::default(),
            platform: PlatformClient::default(),
            store,
            schema,
            worker,
            turn_monitor: TurnMonitor::default(),
        })
    }

    /// Runs the event loop until the shutdown after SIGTERM is complete.
    ///
    /// # Errors
    ///
    /// Fails if the store or the poller fails, because the process cannot continue then.
    pub fn run(mut self) -> Result<(), Error> {
        info!("event=serving node-id={} address={}", self.settings.node_id, self.settings.address);
        let mut ready = Vec::new();
        let mut times = LoopTimestamps {
            last_tick: Timestamp::default(),
            last_settings_check: self.clock.now(),
            shutdown: None,
        };
        loop {
            let timeout = self.poll_timeout(times.last_tick);
            let is_all_reported =
                self.poller.wait(Some(timeout), &mut ready).context(SystemSnafu { what: "waiting" })?;
            self.turn_monitor.turn_started(self.clock.now(), is_all_reported);
            for event in ready.drain(..) {
                self.handle_event(&event)?;
            }
            self.resume_reading();
            let now = self.clock.now();
            self.report_drained_sessions(now);
            self.run_periodic_work(now, &mut times);
            self.advance_shutdown(now, &mut times.shutdown);
            self.perform_actions();
            self.turn_monitor.turn_ended(self.clock.now());
            if self.has_shut_down(now, times.shutdown) {
                info!("event=end clients={}", self.connections.waiting_clients());
                return Ok(());
            }
        }
    }

    /// Returns how long the poller may wait: until the next tick, or not at all if work is pending.
    fn poll_timeout(&self, last_tick: Timestamp) -> Duration {
        if !self.resume_reading.is_empty() || !self.drained_sessions.is_empty() {
            return Duration::ZERO;
        }
        TICK_INTERVAL - (self.clock.now() - last_tick).min(TICK_INTERVAL)
    }

    fn handle_event(&mut self, event: &ReadyEvent) -> Result<(), Error> {
        match EventSource::from_token(event.token) {
            EventSource::Listener(listener) => self.accept_connections(listener),
            EventSource::Store => self.report_persisted_records()?,
            EventSource::Worker => self.handle_finished_jobs(),
            EventSource::Connection(id) => self.serve_connection(id, Some(event)),
        }
        Ok(())
    }

    /// Continues the requests whose worker jobs have finished.
    fn handle_finished_jobs(&mut self) {
        while let Some(job) = self.worker.take_finished() {
            let client = job.client();
            // A disconnected client got no response, so its change may be dropped as if it had not arrived.
            if self.connections.get(client).is_none() {
                continue;
            }
            match job {
                FinishedJob::ChangeParsed { change, .. } => {
                    self.submit_change(self.clock.now(), client, change)
                }
                FinishedJob::ConfigurationEncoded { json, .. } => {
                    self.respond(client, &HttpResponse::json(json));
                }
            }
            self.serve_connection(client, None);
        }
    }

    /// Continues reading the connections that had more input than was read in one turn.
    fn resume_reading(&mut self) {
        for id in std::mem::take(&mut self.resume_reading) {
            self.serve_connection(id, None);
        }
    }

    /// Informs the state machine of the sessions that can be sent their next chunk.
    fn report_drained_sessions(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.drained_sessions) {
            self.state_machine.session_output_drained(now, id.0);
        }
    }

    fn run_periodic_work(&mut self, now: Timestamp, times: &mut LoopTimestamps) {
        let is_tick_due = now - times.last_tick >= TICK_INTERVAL;
        if is_tick_due && self.turn_monitor.may_check_liveness(now, !self.resume_reading.is_empty()) {
            times.last_tick = now;
            self.tick(now);
        }
        if self.signals.take_reload_request() || now - times.last_settings_check >= SETTINGS_CHECK_INTERVAL {
            times.last_settings_check = now;
            self.reload_settings();
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.state_machine.tick(now);
        self.connect_to_peers(now);
        self.poll_platform(now);
        self.close_unresponsive(now);
        self.peers.expire_addresses(now);
    }

    fn reload_settings(&mut self) {
        match self.settings_watcher.poll() {
            Some(Ok(settings)) if settings == self.settings => {}
            Some(Ok(settings)) => {
                info!("event=settings");
                self.settings = settings;
            }
            Some(Err(error)) => error!("event=settings-rejected why={:?}", error.to_string()),
            None => {}
        }
    }
}

fn open_listeners(settings: &Settings, poller: &Poller) -> Result<BTreeMap<Listener, OwnedFd>, Error> {
    if settings.listeners.operator_api.is_none() {
        warn!("event=no-operator-listener"); // operators cannot reach this process
    }
    let peers = SocketAddr::new(IpAddr::V4(settings.address), settings.peer_ports.0);
    let addresses = [
        (Listener::OperatorApi, settings.listeners.operator_api),
        (Listener::DirectoryApi, settings.listeners.directory_api),
        (Listener::Peers, Some(peers)),
    ];
    let mut listeners = BTreeMap::new();
    for (listener, address) in addresses {
        let Some(address) = address else { continue };
        let socket = poller::listen(&address).context(ListenSnafu { address })?;
        let token = EventSource::Listener(listener).token();
        poller.add(&socket, token).context(SystemSnafu { what: "epoll" })?;
        listeners.insert(listener, socket);
    }
    Ok(listeners)
}

/// Returns the parameters for starting the state machine.
fn start_parameters(settings: &Settings, records: Vec<Record>) -> StartParameters {
    let bounds = &settings.bounds;
    let first_bootstrap = settings.bootstrap_addresses.first();
    StartParameters {
        replica: Replica {
            node_id: settings.node_id.clone(),
            address: settings.address.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            replica_id: 0,
        },
        incarnation: new_incarnation(&settings.node_id),
        is_first_start: settings.is_first_start,
        is_bootstrap_node: first_bootstrap
            .is_some_and(|address| address.ip() == IpAddr::V4(settings.address)),
        records,
        tolerance: QuotaTolerance {
            window: bounds.quota_window.as_secs_f64(),
            excess: bounds.quota_excess,
            margin: bounds.quota_margin,
        },
    }
}
