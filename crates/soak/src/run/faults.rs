//! Does the steps of a plan, and ends what they began.

use super::Soak;
use crate::error::Error;
use crate::history::SignalKind;
use crate::plan::Action;
use crate::stand_ins::operator::Operator;
use crate::topology::Role;
use std::time::{Duration, Instant};

/// What ends a fault of a backend.
pub(super) enum BackendRepair {
    Restart(usize),
    Speed(usize),
    Succeed(usize),
    KeepIdle(usize),
    EndEvacuation(usize),
}

impl Soak {
    pub(super) fn act(&mut self, action: Action) -> Result<(), Error> {
        log::info!("event=step action={action:?}");
        match action {
            Action::Terminate(index) => self.processes.signal(index, SignalKind::Terminate)?,
            Action::Kill(index) => self.processes.signal(index, SignalKind::Kill)?,
            Action::Reload(index) => self.processes.signal(index, SignalKind::Reload)?,
            Action::Freeze(index) => self.processes.signal(index, SignalKind::Freeze)?,
            Action::Continue(index) => self.processes.signal(index, SignalKind::Continue)?,
            Action::KillAll(nodes) => {
                nodes.into_iter().try_for_each(|index| self.processes.signal(index, SignalKind::Kill))?;
            }
            Action::KillAllAfterChange(nodes) => {
                self.kills_after_change = Some((self.operator.acknowledged(), nodes));
                self.call_operator(Operator::change_version);
            }
            Action::LoseDisk(index) => self.lose_disk(index)?,
            Action::CrashBackend(index, millis) => {
                self.backends.crash(index);
                self.repair_after(millis, BackendRepair::Restart(index));
            }
            Action::SlowBackend(index, millis) => {
                self.backends.set_slow(index, true);
                self.repair_after(millis, BackendRepair::Speed(index));
            }
            Action::FailBackend(index, millis) => {
                self.backends.set_failing(index, true);
                self.repair_after(millis, BackendRepair::Succeed(index));
            }
            Action::CloseIdleBackend(index, millis) => {
                self.backends.set_closes_idle(index, true);
                self.repair_after(millis, BackendRepair::KeepIdle(index));
            }
            Action::ChangeVersion => self.call_operator(Operator::change_version),
            Action::ChangeVersionTwice => {
                self.call_operator(Operator::change_version);
                self.call_operator(Operator::change_version);
            }
            Action::ChangeManyRoutes => self.call_operator(Operator::change_many_routes),
            Action::Evacuate(zone, millis) => {
                self.call_operator(move |operator| operator.evacuate(zone, true));
                self.repair_after(millis, BackendRepair::EndEvacuation(zone));
            }
        }
        Ok(())
    }

    /// A disk is lost only while all others hold everything; otherwise its process is killed alone.
    fn lose_disk(&mut self, index: usize) -> Result<(), Error> {
        let controls = self.processes.topology().of_role(Role::ControlPlane);
        let all_run = controls.iter().all(|control| self.processes.is_running(*control));
        let completed: usize = controls.iter().map(|control| self.completed_disks(*control)).sum();
        if all_run && self.processes.is_running(index) && completed >= controls.len() + self.disks_lost {
            self.disks_lost += 1;
            self.loses_disk[index] = true;
        }
        self.processes.signal(index, SignalKind::Kill)
    }

    /// How often a control process has told that its disk has become complete.
    fn completed_disks(&self, index: usize) -> usize {
        let log = std::fs::read_to_string(self.processes.topology().log_path(index)).unwrap_or_default();
        log.matches("event=disk-complete").count()
    }

    pub(super) fn repair_after(&mut self, millis: u64, repair: BackendRepair) {
        self.repairs.push((Instant::now() + Duration::from_millis(millis), repair));
    }

    pub(super) fn repair_backends(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        let due = self.repairs.extract_if(.., |(at, _)| *at <= now).map(|(_, repair)| repair);
        for repair in due.collect::<Vec<_>>() {
            match repair {
                BackendRepair::Restart(index) => self.backends.begin_incarnation(index)?,
                BackendRepair::Speed(index) => self.backends.set_slow(index, false),
                BackendRepair::Succeed(index) => self.backends.set_failing(index, false),
                BackendRepair::KeepIdle(index) => self.backends.set_closes_idle(index, false),
                BackendRepair::EndEvacuation(zone) => {
                    self.call_operator(move |operator| operator.evacuate(zone, false));
                }
            }
        }
        Ok(())
    }

    pub(super) fn kill_after_change(&mut self) -> Result<(), Error> {
        let acknowledged = self.operator.acknowledged();
        let due = self.kills_after_change.take_if(|(before, _)| *before < acknowledged);
        let nodes = due.map(|(_, nodes)| nodes).unwrap_or_default();
        nodes.into_iter().try_for_each(|index| self.processes.signal(index, SignalKind::Kill))
    }
}
