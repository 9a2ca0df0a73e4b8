//! Graceful shutdown: the gateway accepts clients for a moment longer, as some do not know of the shutdown yet.
//! Then it stops accepting, closes idle connections and answers the requests that it has accepted.

use crate::runtime::{Phase, Runtime, Timer};
use kitepass_time::Duration;
use log::info;

/// How long clients are still accepted. They may connect for up to 0.4 s after the signal; the rest is for the
/// first requests of the last of them.
const DRAIN_DURATION: Duration = Duration::from_micros(450_000);

impl Runtime {
    /// Starts the shutdown, unless it has started already.
    pub(crate) fn start_shutdown(&mut self) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!("shutting down");
            self.phase = Phase::ShuttingDown;
            self.schedule_timer(self.now() + DRAIN_DURATION, Timer::StopAccepting);
        }
    }

    /// Stops accepting clients, and closes each connection once it has no request in progress.
    pub(crate) fn stop_accepting(&mut self) {
        self.close_listener();
        self.phase = Phase::Closing;
        self.close_idle_clients();
    }
}
