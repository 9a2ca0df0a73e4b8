//! Takes the steps of a plan, and ends the faults that are limited in time.

use super::Soak;
use crate::error::Error;
use crate::history::SignalKind;
use crate::plan::Action;
use crate::stand_ins::operator::Operator;
use crate::topology::Role;
use std::time::{Duration, Instant};

/// The end of a fault or an evacuation that is limited in time. Backends and zones are given by index.
pub(super) enum Repair {
    Restart(usize),
    ClearSlow(usize),
    ClearFailing(usize),
    ClearClosesIdle(usize),
    EndEvacuation(usize),
}

impl Soak {
    pub(super) fn apply_action(&mut self, action: Action) -> Result<(), Error> {
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
                self.pending_kill = Some((self.operator.acknowledged(), nodes));
                self.spawn_operator_call(Operator::change_version);
            }
            Action::LoseDisk(index) => self.lose_disk(index)?,
            Action::CrashBackend(index, duration_ms) => {
                self.backends.crash(index);
                self.schedule_repair(duration_ms, Repair::Restart(index));
            }
            Action::SlowBackend(index, duration_ms) => {
                self.backends.set_slow(index, true);
                self.schedule_repair(duration_ms, Repair::ClearSlow(index));
            }
            Action::FailBackend(index, duration_ms) => {
                self.backends.set_failing(index, true);
                self.schedule_repair(duration_ms, Repair::ClearFailing(index));
            }
            Action::CloseIdleBackend(index, duration_ms) => {
                self.backends.set_closes_idle(index, true);
                self.schedule_repair(duration_ms, Repair::ClearClosesIdle(index));
            }
            Action::ChangeVersion => self.spawn_operator_call(Operator::change_version),
            Action::ChangeVersionTwice => {
                self.spawn_operator_call(Operator::change_version);
                self.spawn_operator_call(Operator::change_version);
            }
            Action::ChangeManyRoutes => self.spawn_operator_call(Operator::change_many_routes),
            Action::Evacuate(zone, duration_ms) => {
                self.spawn_operator_call(move |operator| operator.evacuate(zone, true));
                self.schedule_repair(duration_ms, Repair::EndEvacuation(zone));
            }
        }
        Ok(())
    }

    /// Kills a control-plane process, and discards its data directory if all control-plane processes are running and every
    /// disk, including each replacement, has reported itself complete. Otherwise the only complete copy could be lost.
    fn lose_disk(&mut self, index: usize) -> Result<(), Error> {
        let controls = self.processes.topology().indexes_with_role(Role::ControlPlane);
        let all_run = controls.iter().all(|control| self.processes.is_running(*control));
        let completed: usize = controls.iter().map(|control| self.disk_complete_events(*control)).sum();
        if all_run && self.processes.is_running(index) && completed >= controls.len() + self.disks_lost {
            self.disks_lost += 1;
            self.loses_disk[index] = true;
        }
        self.processes.signal(index, SignalKind::Kill)
    }

    /// How often a control-plane process has logged that its disk is complete.
    fn disk_complete_events(&self, index: usize) -> usize {
        let log = std::fs::read_to_string(self.processes.topology().log_path(index)).unwrap_or_default();
        log.matches("event=disk-complete").count()
    }

    pub(super) fn schedule_repair(&mut self, duration_ms: u64, repair: Repair) {
        self.repairs.push((Instant::now() + Duration::from_millis(duration_ms), repair));
    }

    pub(super) fn run_due_repairs(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        let due = self.repairs.extract_if(.., |(at, _)| *at <= now).map(|(_, repair)| repair);
        for repair in due.collect::<Vec<_>>() {
            match repair {
                Repair::Restart(index) => self.backends.start_incarnation(index)?,
                Repair::ClearSlow(index) => self.backends.set_slow(index, false),
                Repair::ClearFailing(index) => self.backends.set_failing(index, false),
                Repair::ClearClosesIdle(index) => self.backends.set_closes_idle(index, false),
                Repair::EndEvacuation(zone) => {
                    self.spawn_operator_call(move |operator| operator.evacuate(zone, false));
                }
            }
        }
        Ok(())
    }

    pub(super) fn kill_after_acknowledged_change(&mut self) -> Result<(), Error> {
        let acknowledged = self.operator.acknowledged();
        let due = self.pending_kill.take_if(|(before, _)| *before < acknowledged);
        let nodes = due.map(|(_, nodes)| nodes).unwrap_or_default();
        nodes.into_iter().try_for_each(|index| self.processes.signal(index, SignalKind::Kill))
    }
}
