//! Graceful shutdown, after SIGTERM.
//!
//! | phase | ends |
//! | --- | --- |
//! | the state machine gives up its lease and its membership; requests in progress continue, new ones are redirected | once it has, or after [`MEMBERSHIP_TIMEOUT`] |
//! | no connection is accepted, unused ones are closed, and clients that wait get their responses | once no client waits |
//! | requests that are still in progress are redirected | at the end of the grace period |

use super::connections::{CloseReason, ServerConnection};
use super::{Listener, Server};
use crate::state_machine::ReplicaState;
use kitepass_time::{Duration, Timestamp};
use log::info;

/// Time after SIGTERM for the membership change that removes this replica.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_micros(2_000_000);
/// How long before the end of the grace period requests in progress are redirected.
const REDIRECT_MARGIN: Duration = Duration::from_micros(500_000);
/// How long before the end of the grace period the process ends, even if clients have not read their responses.
const END_MARGIN: Duration = Duration::from_micros(200_000);

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    started_at: Timestamp,
    /// Whether no further connection is accepted.
    is_draining: bool,
}

impl Server {
    /// Whether the process is shutting down, so that its clients should turn to another one.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.state_machine.replica_state() == ReplicaState::ShuttingDown
    }

    /// Starts the shutdown on SIGTERM and advances it. Must be called before the state machine's actions are performed.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp, shutdown: &mut Option<Shutdown>) {
        if shutdown.is_none() && self.signals.is_shutdown_requested() {
            info!("event=leaving");
            self.state_machine.shut_down(now);
            *shutdown = Some(Shutdown { started_at: now, is_draining: false });
        }
        let Some(shutdown) = shutdown else { return };
        let elapsed = now - shutdown.started_at;
        let has_left = elapsed > MEMBERSHIP_TIMEOUT || self.state_machine.is_shut_down();
        if has_left && !shutdown.is_draining {
            shutdown.is_draining = true;
            self.stop_accepting();
        }
        if elapsed > self.grace_period() - REDIRECT_MARGIN {
            self.state_machine.redirect_callers(now);
        }
    }

    /// Returns whether the process may end: its clients have their responses, or the grace period is over.
    pub(super) fn has_shut_down(&self, now: Timestamp, shutdown: Option<Shutdown>) -> bool {
        shutdown.is_some_and(|shutdown| {
            let has_served_clients = shutdown.is_draining && self.connections.waiting_clients() == 0;
            has_served_clients || now - shutdown.started_at > self.grace_period() - END_MARGIN
        })
    }

    fn grace_period(&self) -> Duration {
        Duration::from(self.settings.bounds.shutdown_grace)
    }

    /// Closes the listeners of both APIs and the connections of clients that wait for nothing.
    fn stop_accepting(&mut self) {
        // Invariant: closing a listener resets the connections in its backlog, whose requests may have arrived.
        for listener in [Listener::OperatorApi, Listener::DirectoryApi] {
            self.accept_connections(listener);
        }
        self.listeners.retain(|listener, _| *listener == Listener::Peers);
        let is_unused = |connection: &ServerConnection| {
            connection.api_client().is_some() && !connection.is_client_waiting()
        };
        let unused = self.connections.ids_where(is_unused);
        unused.into_iter().for_each(|id| self.close(id, CloseReason::ShutDown));
    }
}
