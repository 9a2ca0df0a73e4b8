//! Readiness: whether this gateway takes requests, as its readiness check and its heartbeats tell.

use super::Server;
use log::info;

impl Server {
    /// Updates whether the gateway is ready: a configuration is in force, it knows some backend, and is not shutting down.
    pub(super) fn update_readiness(&mut self) {
        let is_ready = self.shutdown_began.is_none()
            && self.configuration.is_known()
            && self.control_session.has_backends();
        if is_ready != self.control_session.is_ready {
            info!("event=ready ready={is_ready} backends={}", self.load_balancer.len());
            self.control_session.is_ready = is_ready;
        }
    }

    /// The status that a readiness check gets.
    pub(super) fn readiness_status(&self) -> u16 {
        if self.control_session.is_ready {
            200
        } else {
            503
        }
    }
}
