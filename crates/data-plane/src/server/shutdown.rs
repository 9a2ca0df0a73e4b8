//! Graceful shutdown, after SIGTERM.

use super::downstream::CloseReason;
use super::Server;
use crate::attempt::NextStep;
use crate::ids::{ClientId, RequestId};
use kitepass_time::{Duration, Timestamp};
use log::info;

/// How long after SIGTERM new connections are accepted, at most half of the grace period. Their responses announce that
/// the connection closes.
const MAX_ACCEPT_DURATION: Duration = Duration::from_micros(3_000_000);
/// How much earlier accepting ends, as a busy process notices the signal late. A request accepted in the second half of the
/// grace period may not have enough time left.
const LATE_NOTICE_MARGIN: Duration = Duration::from_micros(500_000);
/// How long before the end of the grace period the remaining requests are aborted.
const ABORT_MARGIN: Duration = Duration::from_micros(300_000);

impl Server {
    /// Starts the shutdown on SIGTERM and advances it: responses ask clients to close their connections, and attempts in
    /// flight are completed. Returns true once the shutdown is complete.
    pub(super) fn continue_shutdown(&mut self, now: Timestamp) -> bool {
        if self.shutdown_started_at.is_none() && self.signals.is_shutdown_requested() {
            self.start_shutdown(now);
        }
        let Some(began) = self.shutdown_started_at else { return false };
        let elapsed = now - began;
        let grace_period = Duration::from(self.settings.bounds.shutdown_grace);
        let accept_duration = MAX_ACCEPT_DURATION.min(grace_period / 2) - LATE_NOTICE_MARGIN;
        if elapsed > accept_duration && !self.listeners.is_empty() {
            self.stop_accepting();
        }
        let is_finished = self.listeners.is_empty()
            && self.requests.is_empty()
            && self.resumable_clients.is_empty()
            && self.clients.values().all(|client| client.is_flushed() && !client.has_unread_input());
        let must_abort = elapsed > grace_period - ABORT_MARGIN;
        if must_abort {
            self.abort_requests(now);
        }
        let is_complete = is_finished || must_abort;
        if is_complete {
            let requests = self.requests.len();
            self.close_all_clients();
            self.outcome_log.log_period();
            info!("event=end requests={requests}");
        }
        is_complete
    }

    fn start_shutdown(&mut self, now: Timestamp) {
        info!("event=leaving requests={}", self.requests.len());
        self.shutdown_started_at = Some(now);
        self.control_session.is_ready = false;
        self.tick(now);
        self.flush_control_connections();
    }

    /// Closes the listeners and the connections of clients without requests.
    fn stop_accepting(&mut self) {
        // Invariant: closing a listener resets the connections in its backlog, whose requests may have arrived.
        let tokens: Vec<u64> = self.listeners.iter().map(|listener| listener.token).collect();
        for token in tokens {
            self.accept(token);
        }
        self.listeners.clear();
        self.close_clients_without_requests();
    }

    /// Closes client connections without a current request or unread input, once their last response is sent.
    fn close_clients_without_requests(&mut self) {
        let has_no_request = |client: &super::Client| {
            client.request.is_none() && client.connection.input.is_empty() && !client.has_unread_input()
        };
        let unused: Vec<ClientId> =
            self.clients.iter().filter(|(_, client)| has_no_request(client)).map(|(id, _)| *id).collect();
        for client in unused {
            self.close_client_after_flush(client, CloseReason::ShutDown);
        }
    }

    fn close_all_clients(&mut self) {
        let clients: Vec<ClientId> = self.clients.keys().copied().collect();
        for client in clients {
            self.close_client(client, CloseReason::ShutDown);
        }
    }

    fn abort_requests(&mut self, now: Timestamp) {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in requests {
            let next = self.requests.get_mut(&id).map_or(NextStep::Wait, |r| r.lifecycle.shut_down());
            self.finish_with_local_response(now, id, next);
        }
    }
}
