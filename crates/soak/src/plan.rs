//! The steps of a soak test and their times, generated from a seed before anything is started.

use crate::topology::{Role, Topology};
use oorandom::Rand64;

/// No step is taken in the first milliseconds after the system is ready.
const WARM_UP_MS: u64 = 3_000;
/// Minimum interval between two disk losses, so that the first disk's data has been copied to its replacement.
const MIN_DISK_LOSS_INTERVAL_MS: u64 = 40_000;
/// Mean interval between two drawn faults or changes; one of them may take several steps.
const MEAN_STEP_INTERVAL_MS: u64 = 1_200;

/// An action on processes, backends or the configuration. Processes and backends are given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends SIGTERM; the process is restarted once it has exited.
    Terminate(usize),
    /// Sends SIGKILL; the process is restarted.
    Kill(usize),
    /// Sends SIGKILL to a control-plane process, which is restarted with an empty data directory.
    LoseDisk(usize),
    /// Changes the settings file and sends SIGHUP.
    Reload(usize),
    /// Sends SIGSTOP.
    Freeze(usize),
    /// Sends SIGCONT.
    Continue(usize),
    /// Sends SIGKILL to all of these processes at once.
    KillAll(Vec<usize>),
    /// Sends a change and kills all of these processes as soon as it is acknowledged.
    KillAllAfterChange(Vec<usize>),
    /// Crashes a backend, which restarts with another id and address after this many milliseconds.
    CrashBackend(usize, u64),
    /// Slows down a backend's responses for this many milliseconds.
    SlowBackend(usize, u64),
    /// Makes a backend respond to every third request with status 500, for this many milliseconds.
    FailBackend(usize, u64),
    /// Makes a backend close idle connections early, for this many milliseconds.
    CloseIdleBackend(usize, u64),
    /// Changes the version route to forward to the next service.
    ChangeVersion,
    /// Sends two such changes concurrently.
    ChangeVersionTwice,
    /// Sends one change that sets several hundred routes.
    ChangeManyRoutes,
    /// Evacuates a zone, given by index, and ends the evacuation after this many milliseconds.
    Evacuate(usize, u64),
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds after the system is ready.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
}

/// The steps of a soak test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The steps in order of time.
    pub steps: Vec<Step>,
}

struct Planner<'a> {
    rng: Rand64,
    control_planes: Vec<usize>,
    gateways: Vec<usize>,
    topology: &'a Topology,
    backend_count: usize,
    last_disk_loss_ms: Option<u64>,
    steps: Vec<Step>,
}

impl Plan {
    /// Generates the steps of a soak test of `duration_ms` milliseconds.
    pub fn generate(seed: u64, topology: &Topology, backend_count: usize, duration_ms: u64) -> Plan {
        let mut planner = Planner {
            rng: Rand64::new(u128::from(seed)),
            control_planes: topology.indexes_with_role(Role::ControlPlane),
            gateways: topology.indexes_with_role(Role::DataPlane),
            topology,
            backend_count,
            last_disk_loss_ms: None,
            steps: Vec::new(),
        };
        let mut at_ms = WARM_UP_MS;
        while at_ms < duration_ms {
            planner.add_random_action(at_ms, duration_ms);
            at_ms += 1 + planner.random_below(2 * MEAN_STEP_INTERVAL_MS);
        }
        let mut steps = planner.steps;
        steps.retain(|step| step.at_ms < duration_ms);
        steps.sort_by_key(|step| step.at_ms);
        Plan { steps }
    }
}

impl Planner<'_> {
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    fn choose(&mut self, from: &[usize]) -> usize {
        from[self.random_below(from.len() as u64) as usize]
    }

    fn random_node(&mut self) -> usize {
        self.random_below(self.topology.nodes.len() as u64) as usize
    }

    fn add_step(&mut self, at_ms: u64, action: Action) {
        self.steps.push(Step { at_ms, action });
    }

    fn add_random_action(&mut self, at_ms: u64, duration_ms: u64) {
        match self.random_below(24) {
            0 | 1 => self.add_freeze(at_ms),
            2 => self.add_rolling_restart(at_ms, Role::DataPlane, 400),
            3 => self.add_rolling_restart(at_ms, Role::ControlPlane, 2_500),
            4 => self.add_simultaneous_kill(at_ms),
            5 => self.add_disk_loss(at_ms),
            6 => self.add_signal_burst(at_ms),
            7 => {
                let node = self.random_node();
                self.add_step(at_ms, Action::Reload(node));
            }
            8 | 9 => {
                let node = self.random_node();
                self.add_step(at_ms, Action::Kill(node));
            }
            10 | 11 => {
                let node = self.random_node();
                self.add_step(at_ms, Action::Terminate(node));
            }
            12..=15 => self.add_backend_fault(at_ms, duration_ms),
            16 => self.add_step(at_ms, Action::ChangeManyRoutes),
            17 => self.add_step(at_ms, Action::ChangeVersionTwice),
            18 => {
                let (zone, fault_ms) = (self.random_below(3) as usize, 1_000 + self.random_below(6_000));
                self.add_step(at_ms, Action::Evacuate(zone, fault_ms));
            }
            _ => self.add_step(at_ms, Action::ChangeVersion),
        }
    }

    fn add_freeze(&mut self, at_ms: u64) {
        let (node, fault_ms) = (self.random_node(), 200 + self.random_below(3_500));
        self.add_step(at_ms, Action::Freeze(node));
        self.add_step(at_ms + fault_ms, Action::Continue(node));
    }

    /// Sends SIGTERM to one process of this role after the other, without waiting for the previous one to restart.
    fn add_rolling_restart(&mut self, at_ms: u64, role: Role, min_interval_ms: u64) {
        let nodes =
            if role == Role::ControlPlane { self.control_planes.clone() } else { self.gateways.clone() };
        let interval_ms = min_interval_ms + self.random_below(1_500);
        for (position, node) in nodes.into_iter().enumerate() {
            self.add_step(at_ms + position as u64 * interval_ms, Action::Terminate(node));
        }
    }

    fn add_simultaneous_kill(&mut self, at_ms: u64) {
        let nodes = match self.random_below(3) {
            0 => self.gateways.clone(),
            1 => self.control_planes.clone(),
            _ => (0..self.topology.nodes.len()).collect(),
        };
        if self.random_below(2) == 0 {
            return self.add_step(at_ms, Action::KillAllAfterChange(nodes));
        }
        self.add_step(at_ms, Action::KillAll(nodes.clone()));
        if self.random_below(3) == 0 {
            let second_kill_ms = at_ms + 300 + self.random_below(1_500);
            self.add_step(second_kill_ms, Action::KillAll(nodes)); // while they are starting
        }
    }

    fn add_disk_loss(&mut self, at_ms: u64) {
        let is_too_soon = self.last_disk_loss_ms.is_some_and(|last| at_ms < last + MIN_DISK_LOSS_INTERVAL_MS);
        let node = self.choose(&self.control_planes.clone());
        if is_too_soon {
            return self.add_step(at_ms, Action::Kill(node));
        }
        self.last_disk_loss_ms = Some(at_ms);
        self.add_step(at_ms, Action::LoseDisk(node));
    }

    /// Sends several signals in quick succession to one process, which may still be starting or already exiting.
    fn add_signal_burst(&mut self, at_ms: u64) {
        let (node, mut at_ms) = (self.random_node(), at_ms);
        for _ in 0..3 + self.random_below(3) {
            let action = match self.random_below(5) {
                0 => Action::Kill(node),
                1 | 2 => Action::Terminate(node),
                _ => Action::Reload(node),
            };
            self.add_step(at_ms, action);
            at_ms += self.random_below(700);
        }
    }

    fn add_backend_fault(&mut self, at_ms: u64, duration_ms: u64) {
        let backend = self.random_below(self.backend_count as u64) as usize;
        let fault_ms = (500 + self.random_below(5_000)).min(duration_ms.saturating_sub(at_ms).max(1));
        let action = match self.random_below(4) {
            0 => Action::CrashBackend(backend, fault_ms),
            1 => Action::SlowBackend(backend, fault_ms),
            2 => Action::FailBackend(backend, fault_ms),
            _ => Action::CloseIdleBackend(backend, fault_ms),
        };
        self.add_step(at_ms, action);
    }
}
