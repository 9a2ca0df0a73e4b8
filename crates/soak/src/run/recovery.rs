//! The end of a soak test: faults are ended, the system recovers and is checked a last time, and the processes are stopped.

use super::faults::Repair;
use super::{is_ready, Soak, FINAL_TRAFFIC_DURATION, LOOP_INTERVAL, READY_TIMEOUT};
use crate::error::Error;
use crate::history::{Event, Record, SignalKind};
use crate::processes::Processes;
use crate::stand_ins::operator::ControlEndpoint;
use crate::topology::{Role, SHUTDOWN_GRACE_S, ZONES};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

impl Soak {
    /// Ends all faults, gives the system time to recover, and records each process's final state.
    pub(super) fn recover(&mut self) -> Result<(), Error> {
        self.recorder.record(Event::Calm);
        (0..self.nodes()).try_for_each(|index| self.processes.signal(index, SignalKind::Continue))?;
        (0..ZONES.len()).for_each(|zone| self.schedule_repair(0, Repair::EndEvacuation(zone)));
        // A timeout is no error here: a process that has not recovered shows up in the checks below.
        match self.wait_until("all gateways are ready again", Soak::are_gateways_ready) {
            Ok(()) | Err(Error::WaitTimeout { .. }) => {}
            Err(error) => return Err(error),
        }
        let (began, calls) = (Instant::now(), self.operator_calls.clone());
        while began.elapsed() < FINAL_TRAFFIC_DURATION
            || (calls.load(Ordering::Relaxed) > 0 && began.elapsed() < READY_TIMEOUT)
        {
            self.tick()?;
        }
        for endpoint in self.operator.endpoints().to_vec() {
            self.read_final_configuration(&endpoint)?;
        }
        for index in self.processes.topology().indexes_with_role(Role::DataPlane) {
            let node = &self.processes.topology().nodes[index];
            let (node, is_ready) = (node.name.clone(), is_ready(node.readiness_address()));
            self.recorder.record(Event::FinalReadiness { node, is_ready });
        }
        Ok(())
    }

    fn read_final_configuration(&mut self, endpoint: &ControlEndpoint) -> Result<(), Error> {
        let began = Instant::now();
        // A failed read is recorded only if it is the final one.
        while !self.operator.read(endpoint, false) && began.elapsed() < READY_TIMEOUT / 3 {
            self.tick()?;
        }
        self.operator.read(endpoint, true);
        Ok(())
    }

    /// Stops the clients, then the processes with SIGTERM, and returns the history.
    pub(super) fn end(mut self) -> Result<Vec<Record>, Error> {
        self.stop.stop();
        self.clients.drain(..).for_each(|client| _ = client.join());
        (0..self.nodes()).try_for_each(|index| self.processes.signal(index, SignalKind::Terminate))?;
        let began = Instant::now();
        let is_any_running = |processes: &Processes| {
            (0..processes.topology().nodes.len()).any(|index| processes.is_running(index))
        };
        while is_any_running(&self.processes) && began.elapsed() < Duration::from_secs(SHUTDOWN_GRACE_S * 4) {
            std::thread::sleep(LOOP_INTERVAL);
            self.processes.reap();
        }
        self.recorder.flush(&self.history_path)?;
        Ok(self.recorder.records())
    }
}
