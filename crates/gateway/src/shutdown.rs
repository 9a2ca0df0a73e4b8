//! Graceful shutdown: a gateway that is told to end serves for a moment longer, as clients may still connect,
//! then accepts no more, answers the requests that it has accepted, and closes idle connections.

use crate::runtime::{Phase, Runtime, Timer};
use kitepass_time::Duration;
use log::info;

/// How long clients are still accepted: they may connect for 0.4 s after the signal, and the last of them
/// then send their first request.
const DRAIN_DURATION: Duration = Duration::from_micros(450_000);

impl Runtime {
    /// Begins the shutdown, unless it has begun already.
    pub(crate) fn start_shutdown(&mut self) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!("told to end");
            self.phase = Phase::ShuttingDown;
            self.schedule_timer(self.now() + DRAIN_DURATION, Timer::StopAccepting);
        }
    }

    /// Accepts no more clients, and closes each connection once no request is in progress on it.
    pub(crate) fn stop_accepting(&mut self) {
        self.close_listener();
        self.phase = Phase::Closing;
        self.close_idle_clients();
    }
}
