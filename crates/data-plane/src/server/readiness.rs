//! Readiness of the gateway for requests, as reported by its readiness check and its heartbeats.

use super::Server;
use log::info;

impl Server {
    /// Updates the readiness: the gateway is ready if a configuration is active, a backend is known and no shutdown is in
    /// progress.
    pub(super) fn update_readiness(&mut self) {
        let is_ready = self.shutdown_started_at.is_none()
            && self.configuration.is_loaded()
            && self.control_session.has_backends();
        if is_ready != self.control_session.is_ready {
            info!("event=ready ready={is_ready} backends={}", self.load_balancer.len());
            self.control_session.is_ready = is_ready;
        }
    }

    /// The HTTP status returned to a readiness check.
    pub(super) fn readiness_status(&self) -> u16 {
        if self.control_session.is_ready {
            200
        } else {
            503
        }
    }
}
