//! The end: told to, a gateway serves on for those who have not heard of it, answers what it has taken, closes
//! what is idle, and is done.

use crate::runtime::{Phase, Runtime, Timer};
use kitepass_time::Duration;
use log::info;

/// Clients may go on connecting for 0.4 s after the signal; the last of them have their first request to send.
const DRAIN_DURATION: Duration = Duration::from_micros(450_000);

impl Runtime {
    pub(crate) fn begin_shutdown(&mut self) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!("told to end");
            self.phase = Phase::ShuttingDown;
            self.wake_at(self.now() + DRAIN_DURATION, Timer::StopAccepting);
        }
    }

    /// Lets nobody in any more; each connection ends once nothing is under way on it.
    pub(crate) fn stop_accepting(&mut self) {
        self.close_listener();
        self.phase = Phase::Closing;
        self.close_idle_clients();
    }
}
