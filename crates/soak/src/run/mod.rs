//! Executes a plan: starts the system and the stand-ins, takes each step when it is due, lets the system recover, and
//! checks the history.

mod faults;
mod recovery;

use crate::checker;
use crate::error::{Error, ExitedDuringStartupSnafu, FileSnafu, SignalsSnafu, WaitTimeoutSnafu};
use crate::history::{Event, Recorder};
use crate::http_stream::{HttpStream, RESPONSE_KIND};
use crate::plan::{Plan, Step};
use crate::processes::Processes;
use crate::report::Report;
use crate::resources;
use crate::stand_ins::backends::Backends;
use crate::stand_ins::clients::{self, Target, Workload};
use crate::stand_ins::operator::{self, ControlEndpoint, Operator};
use crate::stand_ins::{platform, StopFlag};
use crate::topology::{Role, Topology};
use faults::Repair;
use kitepass_node::process::Signals;
use snafu::ResultExt;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const LOOP_INTERVAL: Duration = Duration::from_millis(5);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(2);
const READ_INTERVAL: Duration = Duration::from_secs(3);
/// A process that has exited is restarted after this delay plus up to [`RESTART_SPREAD_MS`], depending on its index.
const RESTART_DELAY_MS: u64 = 100;
const RESTART_SPREAD_MS: u64 = 600;
/// Time limit for startup, and for recovery at the end.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
/// Clients keep sending requests for this long once all gateways are ready again.
const FINAL_TRAFFIC_DURATION: Duration = Duration::from_secs(8);
/// Maximum number of concurrent operator calls, each in a thread of its own.
const MAX_CONCURRENT_OPERATOR_CALLS: usize = 8;
/// Clients per gateway that send requests of all kinds.
const MIXED_CLIENTS_PER_GATEWAY: usize = 2;
const BEYOND_QUOTA_CLIENTS: usize = 3;
const READINESS_TIMEOUT: Duration = Duration::from_millis(800);
/// Name of the history file in the soak test's folder.
pub const HISTORY_FILE: &str = "history.jsonl";

/// The options of a soak test.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the plan, the clients and the operator.
    pub seed: u64,
    /// Duration of fault injection.
    pub duration: Duration,
    /// Number of processes in the system under test.
    pub processes: usize,
    /// The folder that contains both programs.
    pub programs: PathBuf,
    /// The folder for settings, logs, data directories and the history.
    pub folder: PathBuf,
}

/// The service and the zone index of each backend.
pub fn placements() -> Vec<(String, usize)> {
    let mut placements = Vec::new();
    for (number, service) in operator::services().into_iter().enumerate() {
        let is_version = service.starts_with("version");
        let zones = if is_version { vec![number % 3, (number + 1) % 3] } else { vec![0, 1, 2, 0, 1, 2] };
        placements.extend(zones.into_iter().map(|zone| (service.clone(), zone)));
    }
    placements
}

/// Generates the plan for these options.
pub fn plan(options: &Options) -> Plan {
    let topology = Topology::new(options.processes, options.folder.clone());
    Plan::generate(options.seed, &topology, placements().len(), options.duration.as_millis() as u64)
}

/// A running soak test.
struct Soak {
    processes: Processes,
    backends: Arc<Backends>,
    operator: Arc<Operator>,
    operator_calls: Arc<AtomicUsize>,
    recorder: Arc<Recorder>,
    signals: Signals,
    stop: StopFlag,
    clients: Vec<JoinHandle<()>>,
    /// By process: when it is to be restarted; none if it is running, or if no time has been set since it exited.
    restarts: Vec<Option<Instant>>,
    /// By process: whether its next start is with an empty data directory.
    loses_disk: Vec<bool>,
    /// Number of data directories that were discarded so far.
    disks_lost: usize,
    repairs: Vec<(Instant, Repair)>,
    /// The processes to kill as soon as the number of acknowledged changes exceeds this number.
    pending_kill: Option<(u64, Vec<usize>)>,
    history_path: PathBuf,
    last_sample: Instant,
    last_configuration_read: Instant,
    configuration_reads: usize,
}

/// Runs a soak test and checks its history.
///
/// # Errors
///
/// The soak test cannot start or continue: an address is in use, a program is missing, the disk is full, the system does
/// not start, or the soak test is interrupted.
pub fn run(options: &Options) -> Result<Report, Error> {
    let signals = Signals::default();
    signals.install_handlers().context(SignalsSnafu)?;
    let topology = Topology::new(options.processes, options.folder.clone());
    topology.check_addresses()?;
    topology.create_folders()?;
    let plan = plan(options);
    let steps = plan.steps.len();
    let mut soak = Soak::open(options, topology, signals)?;
    soak.start_system()?;
    soak.start_clients(options.seed);
    let is_system_intact = soak.execute_steps(plan.steps, options.duration)?;
    if is_system_intact {
        soak.recover()?;
    }
    let records = soak.end()?;
    let findings = checker::check(&records);
    Ok(Report::new(options.seed, options.processes, steps, &records, findings))
}

impl Soak {
    fn open(options: &Options, topology: Topology, signals: Signals) -> Result<Soak, Error> {
        let history_path = topology.folder.join(HISTORY_FILE);
        let recorder = Arc::new(Recorder::create(&history_path)?);
        let stop = StopFlag::default();
        let backends = Backends::start(topology.stand_in_ip(), placements(), recorder.clone(), stop.clone())?;
        let backends = Arc::new(backends);
        platform::serve(topology.platform_address(), backends.clone(), stop.clone())?;
        let endpoint = |index: usize| {
            let node = &topology.nodes[index];
            ControlEndpoint { node: node.name.clone(), address: node.operator_address() }
        };
        let endpoints = topology.indexes_with_role(Role::ControlPlane).into_iter().map(endpoint).collect();
        let operator = Operator::new(endpoints, options.seed, recorder.clone(), stop.clone());
        let count = topology.nodes.len();
        let now = Instant::now();
        Ok(Soak {
            processes: Processes::new(topology, options.programs.clone(), recorder.clone()),
            backends,
            operator: Arc::new(operator),
            operator_calls: Arc::default(),
            recorder,
            signals,
            stop,
            clients: Vec::new(),
            restarts: vec![None; count],
            loses_disk: vec![false; count],
            disks_lost: 0,
            repairs: Vec::new(),
            pending_kill: None,
            history_path,
            last_sample: now,
            last_configuration_read: now,
            configuration_reads: 0,
        })
    }

    fn nodes(&self) -> usize {
        self.processes.topology().nodes.len()
    }

    fn start_system(&mut self) -> Result<(), Error> {
        (0..self.nodes()).try_for_each(|index| self.processes.start(index, false))?;
        log::info!("event=started processes={}", self.nodes());
        let operator = self.operator.clone();
        let configuration = std::thread::spawn(move || operator.send_initial_configuration());
        self.wait_until("the initial configuration is acknowledged", |soak| {
            configuration.is_finished() || soak.has_unexpected_exit()
        })?;
        self.wait_until("all gateways are ready", |soak| {
            soak.are_gateways_ready() || soak.has_unexpected_exit()
        })?;
        let folder = self.processes.topology().folder.clone();
        snafu::ensure!(!self.has_unexpected_exit(), ExitedDuringStartupSnafu { folder });
        Ok(())
    }

    /// Runs the main loop until `is_met` holds; `condition` describes it in the error.
    fn wait_until(&mut self, condition: &'static str, is_met: impl Fn(&Soak) -> bool) -> Result<(), Error> {
        let began = Instant::now();
        while !is_met(self) {
            if began.elapsed() > READY_TIMEOUT {
                let folder = self.processes.topology().folder.clone();
                return WaitTimeoutSnafu { condition, seconds: READY_TIMEOUT.as_secs(), folder }.fail();
            }
            self.tick()?;
        }
        Ok(())
    }

    fn are_gateways_ready(&self) -> bool {
        let topology = self.processes.topology();
        let gateways = topology.indexes_with_role(Role::DataPlane);
        gateways.into_iter().all(|index| is_ready(topology.nodes[index].readiness_address()))
    }

    fn start_clients(&mut self, seed: u64) {
        let topology = self.processes.topology();
        let target = |index: usize| {
            let node = &topology.nodes[index];
            Target { node: node.name.clone(), address: node.client_address() }
        };
        let targets: Vec<Target> =
            topology.indexes_with_role(Role::DataPlane).into_iter().map(target).collect();
        let mixed_clients = std::iter::repeat_n(Workload::Mixed, MIXED_CLIENTS_PER_GATEWAY * targets.len());
        let version_clients = std::iter::repeat_n(Workload::Version, targets.len());
        let beyond_quota = std::iter::repeat_n(Workload::BeyondQuota, BEYOND_QUOTA_CLIENTS);
        let eager_clients = std::iter::repeat_n(Workload::Eager, targets.len());
        let workloads =
            mixed_clients.chain(version_clients).chain(eager_clients).chain(beyond_quota).enumerate();
        let (recorder, stop) = (&self.recorder, &self.stop);
        let start = |(number, workload)| {
            clients::start(number, workload, targets.clone(), seed, recorder.clone(), stop.clone())
        };
        self.clients = workloads.map(start).collect();
    }

    /// Takes the steps at their times. Returns false if a process exited unexpectedly, which ends the soak test early.
    fn execute_steps(&mut self, steps: Vec<Step>, duration: Duration) -> Result<bool, Error> {
        let began = Instant::now();
        let mut steps = VecDeque::from(steps);
        while began.elapsed() < duration {
            let elapsed_ms = began.elapsed().as_millis() as u64;
            while let Some(step) = steps.pop_front_if(|step| step.at_ms <= elapsed_ms) {
                self.apply_action(step.action)?;
            }
            self.tick()?;
            if self.has_unexpected_exit() {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Whether a process exited without having been sent a signal that ends it.
    fn has_unexpected_exit(&self) -> bool {
        self.processes.unexpected_exits() > 0
    }

    /// One iteration of the main loop.
    fn tick(&mut self) -> Result<(), Error> {
        if self.signals.is_shutdown_requested() {
            return Err(Error::Interrupted);
        }
        std::thread::sleep(LOOP_INTERVAL);
        self.processes.reap();
        self.kill_after_acknowledged_change()?;
        self.restart_ended()?;
        self.run_due_repairs()?;
        if self.last_sample.elapsed() >= SAMPLE_INTERVAL {
            self.last_sample = Instant::now();
            self.sample();
            self.recorder.flush(&self.history_path)?;
        }
        if self.last_configuration_read.elapsed() >= READ_INTERVAL && !self.clients.is_empty() {
            self.last_configuration_read = Instant::now();
            self.configuration_reads += 1;
            let endpoints = self.operator.endpoints();
            let endpoint = endpoints[self.configuration_reads % endpoints.len()].clone();
            self.spawn_operator_call(move |operator| _ = operator.read(&endpoint, false));
        }
        Ok(())
    }

    fn restart_ended(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        for index in 0..self.nodes() {
            if self.processes.is_running(index) {
                continue;
            }
            let delay = RESTART_DELAY_MS + index as u64 * 137 % RESTART_SPREAD_MS;
            let due = *self.restarts[index].get_or_insert(now + Duration::from_millis(delay));
            if now >= due {
                self.restarts[index] = None;
                let loses_disk = std::mem::take(&mut self.loses_disk[index]);
                self.processes.start(index, loses_disk)?;
            }
        }
        Ok(())
    }

    fn sample(&self) {
        for index in 0..self.nodes() {
            let Some(pid) = self.processes.pid(index) else { continue };
            let sample = resources::sample(self.processes.topology(), index, pid);
            sample.into_iter().for_each(|sample| self.recorder.record(Event::Sample(sample)));
        }
    }

    /// Runs an operator call in a thread of its own; skips it if too many are running.
    fn spawn_operator_call(&self, call: impl FnOnce(&Operator) + Send + 'static) {
        if self.operator_calls.load(Ordering::Relaxed) >= MAX_CONCURRENT_OPERATOR_CALLS {
            return;
        }
        self.operator_calls.fetch_add(1, Ordering::Relaxed);
        let (operator, calls) = (self.operator.clone(), self.operator_calls.clone());
        std::thread::spawn(move || {
            call(&operator);
            calls.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Whether the gateway's readiness check responds with status 200.
fn is_ready(address: SocketAddr) -> bool {
    let ask = || {
        let mut stream = HttpStream::connect(address, READINESS_TIMEOUT).ok()?;
        stream.send(b"GET /v1/ready HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n").ok()?;
        let (head, _) = stream.read_message(RESPONSE_KIND, READINESS_TIMEOUT).ok()?;
        Some(head.status())
    };
    ask() == Some(200)
}

/// The folder to use if none is given.
pub fn default_folder(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("kitepass-soak-{seed}-{}", std::process::id()))
}

/// Removes the soak test's folder.
///
/// # Errors
///
/// It cannot be removed.
pub fn remove_folder(folder: &Path) -> Result<(), Error> {
    std::fs::remove_dir_all(folder).context(FileSnafu { path: folder })
}
