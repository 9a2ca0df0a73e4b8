//! The end: told to, a gateway serves on for those who have not heard of it, answers what it has taken, closes
//! what is idle, and is done.

use crate::runtime::{Phase, Runtime, Timer};
use kitepass_time::Duration;
use log::info;

/// Clients may go on connecting for 0.4 s after the signal; the last of them have their first request to send.
const SERVES_ON: Duration = Duration::from_micros(450_000);

impl Runtime {
    pub fn told_to_end(&mut self) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!("told to end");
            self.phase = Phase::Leaving;
            self.wake_at(self.now() + SERVES_ON, Timer::StopAccepting);
        }
    }

    /// Lets nobody in any more; each connection ends once nothing is under way on it.
    pub fn close_down(&mut self) {
        self.stop_letting_in();
        self.phase = Phase::Closing;
        self.close_idle_clients();
    }
}
