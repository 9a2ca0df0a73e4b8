//! The end of a soak: faults end, everything recovers and is asked for the last time, the processes end.

use super::faults::BackendRepair;
use super::{is_ready, Soak, CALM_TIME, COMES_UP, LOOP_INTERVAL};
use crate::error::Error;
use crate::history::{Event, Record, SignalKind};
use crate::processes::Processes;
use crate::stand_ins::operator::Desk;
use crate::topology::{Role, GRACE_S, ZONES};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

impl Soak {
    /// Ends all faults, waits until everything is well, and asks everybody for the last time.
    pub(super) fn recover(&mut self) -> Result<(), Error> {
        self.recorder.record(Event::Calm);
        (0..self.nodes()).try_for_each(|index| self.processes.signal(index, SignalKind::Continue))?;
        (0..ZONES.len()).for_each(|zone| self.repair_after(0, BackendRepair::EndEvacuation(zone)));
        // Whoever does not recover is found by what is asked below.
        match self.wait_until("all gateways are ready again", Soak::are_gateways_ready) {
            Ok(()) | Err(Error::NotUp { .. }) => {}
            Err(error) => return Err(error),
        }
        let (began, calls) = (Instant::now(), self.operator_calls.clone());
        while began.elapsed() < CALM_TIME || (calls.load(Ordering::Relaxed) > 0 && began.elapsed() < COMES_UP)
        {
            self.turn()?;
        }
        for desk in self.operator.desks().to_vec() {
            self.read_finally(&desk)?;
        }
        for index in self.processes.topology().of_role(Role::DataPlane) {
            let node = &self.processes.topology().nodes[index];
            let (node, is_ready) = (node.name.clone(), is_ready(node.readiness_address()));
            self.recorder.record(Event::FinalReadiness { node, is_ready });
        }
        Ok(())
    }

    fn read_finally(&mut self, desk: &Desk) -> Result<(), Error> {
        let began = Instant::now();
        // A read that fails is recorded only as the last one.
        while !self.operator.read(desk, false) && began.elapsed() < COMES_UP / 3 {
            self.turn()?;
        }
        self.operator.read(desk, true);
        Ok(())
    }

    /// Ends clients, then processes in order, and gives the history.
    pub(super) fn end(mut self) -> Result<Vec<Record>, Error> {
        self.stop.stop();
        self.clients.drain(..).for_each(|client| _ = client.join());
        (0..self.nodes()).try_for_each(|index| self.processes.signal(index, SignalKind::Terminate))?;
        let began = Instant::now();
        let is_any_running = |processes: &Processes| {
            (0..processes.topology().nodes.len()).any(|index| processes.is_running(index))
        };
        while is_any_running(&self.processes) && began.elapsed() < Duration::from_secs(GRACE_S * 4) {
            std::thread::sleep(LOOP_INTERVAL);
            self.processes.reap();
        }
        self.recorder.flush(&self.history_path)?;
        Ok(self.recorder.records())
    }
}
