//! What is done to the system, and when: drawn from a seed before anything is started.

use crate::topology::{Role, Topology};
use oorandom::Rand64;

/// Everything is left alone at the beginning for so long, in milliseconds after the system is up.
const WARM_UP_MS: u64 = 3_000;
/// A disk is lost no sooner than this after another, in milliseconds: what was on it must have been copied.
const MIN_BETWEEN_LOST_DISKS_MS: u64 = 40_000;
/// Between two steps there are so many milliseconds on average.
const MEAN_GAP_MS: u64 = 1_200;

/// Something that is done to processes, backends or the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// SIGTERM; it is started again once it has ended.
    Terminate(usize),
    /// SIGKILL; it is started again.
    Kill(usize),
    /// SIGKILL of a control process, which is started again with an empty data directory.
    LoseDisk(usize),
    /// SIGHUP, with changed settings.
    Reload(usize),
    /// SIGSTOP.
    Freeze(usize),
    /// SIGCONT.
    Continue(usize),
    /// SIGKILL of all these at once.
    KillAll(Vec<usize>),
    /// A change is sent, and once it is acknowledged these are killed at once.
    KillAllAfterChange(Vec<usize>),
    /// A backend ends, and comes back with another id and address after so many milliseconds.
    CrashBackend(usize, u64),
    /// A backend takes longer for everything, for so many milliseconds.
    SlowBackend(usize, u64),
    /// A backend answers a third of its requests with 500, for so many milliseconds.
    FailBackend(usize, u64),
    /// A backend closes its idle connections, for so many milliseconds.
    CloseIdleBackend(usize, u64),
    /// The version route leads to the next service.
    ChangeVersion,
    /// The same, sent to two control processes at once.
    ChangeVersionTwice,
    /// A change of some hundred routes.
    ChangeManyRoutes,
    /// The backends of a zone are evacuated, and taken back after so many milliseconds.
    Evacuate(usize, u64),
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds after the system is up.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
}

/// What a soak plays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// In the order of their times.
    pub steps: Vec<Step>,
}

struct Planner<'a> {
    rng: Rand64,
    controls: Vec<usize>,
    gateways: Vec<usize>,
    topology: &'a Topology,
    backends: usize,
    last_lost_disk_ms: Option<u64>,
    steps: Vec<Step>,
}

impl Plan {
    /// Draws the steps of `length_ms` milliseconds.
    pub fn draw(seed: u64, topology: &Topology, backends: usize, length_ms: u64) -> Plan {
        let mut planner = Planner {
            rng: Rand64::new(u128::from(seed)),
            controls: topology.of_role(Role::ControlPlane),
            gateways: topology.of_role(Role::DataPlane),
            topology,
            backends,
            last_lost_disk_ms: None,
            steps: Vec::new(),
        };
        let mut at_ms = WARM_UP_MS;
        while at_ms < length_ms {
            planner.draw_step(at_ms, length_ms);
            at_ms += 1 + planner.below(2 * MEAN_GAP_MS);
        }
        let mut steps = planner.steps;
        steps.retain(|step| step.at_ms < length_ms);
        steps.sort_by_key(|step| step.at_ms);
        Plan { steps }
    }
}

impl Planner<'_> {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    fn pick(&mut self, from: &[usize]) -> usize {
        from[self.below(from.len() as u64) as usize]
    }

    fn any_node(&mut self) -> usize {
        self.below(self.topology.nodes.len() as u64) as usize
    }

    fn add(&mut self, at_ms: u64, action: Action) {
        self.steps.push(Step { at_ms, action });
    }

    fn draw_step(&mut self, at_ms: u64, length_ms: u64) {
        match self.below(24) {
            0 | 1 => self.freeze(at_ms),
            2 => self.roll(at_ms, Role::DataPlane, 400),
            3 => self.roll(at_ms, Role::ControlPlane, 2_500),
            4 => self.kill_many(at_ms),
            5 => self.lose_disk(at_ms),
            6 => self.series(at_ms),
            7 => {
                let node = self.any_node();
                self.add(at_ms, Action::Reload(node));
            }
            8 | 9 => {
                let node = self.any_node();
                self.add(at_ms, Action::Kill(node));
            }
            10 | 11 => {
                let node = self.any_node();
                self.add(at_ms, Action::Terminate(node));
            }
            12..=15 => self.disturb_backend(at_ms, length_ms),
            16 => self.add(at_ms, Action::ChangeManyRoutes),
            17 => self.add(at_ms, Action::ChangeVersionTwice),
            18 => {
                let (zone, length) = (self.below(3) as usize, 1_000 + self.below(6_000));
                self.add(at_ms, Action::Evacuate(zone, length));
            }
            _ => self.add(at_ms, Action::ChangeVersion),
        }
    }

    fn freeze(&mut self, at_ms: u64) {
        let (node, length) = (self.any_node(), 200 + self.below(3_500));
        self.add(at_ms, Action::Freeze(node));
        self.add(at_ms + length, Action::Continue(node));
    }

    /// One after the other is told to end, without waiting for the one before.
    fn roll(&mut self, at_ms: u64, role: Role, min_gap_ms: u64) {
        let nodes = if role == Role::ControlPlane { self.controls.clone() } else { self.gateways.clone() };
        let gap = min_gap_ms + self.below(1_500);
        for (position, node) in nodes.into_iter().enumerate() {
            self.add(at_ms + position as u64 * gap, Action::Terminate(node));
        }
    }

    fn kill_many(&mut self, at_ms: u64) {
        let nodes = match self.below(3) {
            0 => self.gateways.clone(),
            1 => self.controls.clone(),
            _ => (0..self.topology.nodes.len()).collect(),
        };
        if self.below(2) == 0 {
            return self.add(at_ms, Action::KillAllAfterChange(nodes));
        }
        self.add(at_ms, Action::KillAll(nodes.clone()));
        if self.below(3) == 0 {
            let again = at_ms + 300 + self.below(1_500);
            self.add(again, Action::KillAll(nodes)); // while they start
        }
    }

    fn lose_disk(&mut self, at_ms: u64) {
        let is_too_soon = self.last_lost_disk_ms.is_some_and(|last| at_ms < last + MIN_BETWEEN_LOST_DISKS_MS);
        let node = self.pick(&self.controls.clone());
        if is_too_soon {
            return self.add(at_ms, Action::Kill(node));
        }
        self.last_lost_disk_ms = Some(at_ms);
        self.add(at_ms, Action::LoseDisk(node));
    }

    /// Several signals to one process, each soon after the one before: it may still start, or be ending.
    fn series(&mut self, at_ms: u64) {
        let (node, mut at_ms) = (self.any_node(), at_ms);
        for _ in 0..3 + self.below(3) {
            let action = match self.below(5) {
                0 => Action::Kill(node),
                1 | 2 => Action::Terminate(node),
                _ => Action::Reload(node),
            };
            self.add(at_ms, action);
            at_ms += self.below(700);
        }
    }

    fn disturb_backend(&mut self, at_ms: u64, length_ms: u64) {
        let backend = self.below(self.backends as u64) as usize;
        let length = (500 + self.below(5_000)).min(length_ms.saturating_sub(at_ms).max(1));
        let action = match self.below(4) {
            0 => Action::CrashBackend(backend, length),
            1 => Action::SlowBackend(backend, length),
            2 => Action::FailBackend(backend, length),
            _ => Action::CloseIdleBackend(backend, length),
        };
        self.add(at_ms, action);
    }
}
