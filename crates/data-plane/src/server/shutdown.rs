//! Graceful shutdown, after SIGTERM.

use super::Server;
use crate::attempt::NextStep;
use crate::ids::{ClientId, RequestId};
use kitepass_time::{Duration, Timestamp};
use log::info;

/// For so long after SIGTERM new connections are accepted, and told that they close; at most for half of the grace
/// period.
const MAX_ACCEPT_TIME: Duration = Duration::from_micros(3_000_000);
/// What is still running so long before the end of the grace period is aborted.
const ABORT_MARGIN: Duration = Duration::from_micros(300_000);

impl Server {
    /// Begins the shutdown on SIGTERM and carries it on: clients are told to close their connections, attempts in
    /// flight go on to their end. True once it is over.
    pub(super) fn continue_shutdown(&mut self, now: Timestamp) -> bool {
        if self.shutdown_began.is_none() && self.signals.is_shutdown_requested() {
            self.begin_shutdown(now);
        }
        let Some(began) = self.shutdown_began else { return false };
        let elapsed = now - began;
        let grace_period = Duration::from_micros(self.settings.bounds.shutdown_grace.as_micros() as i64);
        if elapsed > MAX_ACCEPT_TIME.min(grace_period / 2) && !self.listeners.is_empty() {
            self.listeners.clear();
            self.close_unused_clients();
        }
        let is_flushed = self.clients.values().all(|client| client.connection.unsent_bytes() == 0);
        let is_finished = self.listeners.is_empty() && self.requests.is_empty() && is_flushed;
        let is_late = elapsed > grace_period - ABORT_MARGIN;
        if is_late {
            self.abort_requests(now);
        }
        let is_over = is_finished || is_late;
        if is_over {
            info!("event=end requests={}", self.requests.len());
        }
        is_over
    }

    fn begin_shutdown(&mut self, now: Timestamp) {
        info!("event=leaving requests={}", self.requests.len());
        self.shutdown_began = Some(now);
        self.control_session.is_ready = false;
        self.tick(now);
        self.flush_control_connections();
    }

    /// Closes the connections of clients that have sent nothing.
    fn close_unused_clients(&mut self) {
        let is_unused =
            |client: &super::Client| client.request.is_none() && client.connection.input.is_empty();
        let unused: Vec<ClientId> =
            self.clients.iter().filter(|(_, client)| is_unused(client)).map(|(id, _)| *id).collect();
        for client in unused {
            self.close_client(client, "shutdown");
        }
    }

    fn abort_requests(&mut self, now: Timestamp) {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in requests {
            let next = self.requests.get_mut(&id).map_or(NextStep::Wait, |r| r.lifecycle.shut_down());
            self.finish_without_response(now, id, next);
        }
    }
}
