//! Accepts clients, and closes connections that are idle or have timed out.

use super::{ClientConnection, CloseState};
use crate::http::MessageReader;
use crate::poll::{self, ClientKey, ReadyEvent, Source};
use crate::runtime::{Runtime, Timer};
use kitepass_time::Duration;
use log::warn;
use rustix::fd::OwnedFd;

/// How often connections are checked for time-outs.
const SWEEP_INTERVAL: Duration = Duration::from_micros(250_000);
/// How long to wait before accepting again after an error.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_micros(10_000);

impl Runtime {
    /// Accepts pending clients up to the limit.
    pub(crate) fn accept_clients(&mut self) {
        while let Some(listener) = &self.clients.listener {
            self.clients.has_pending_accept = true;
            if self.clients.connections.len() > self.clients.max_accepted {
                return; // the next connection that closes calls this again
            }
            match poll::accept(listener) {
                Ok(Some(socket)) => {
                    let key = self.add_client(socket);
                    if self.clients.connections.len() > self.clients.max_accepted {
                        self.evict_idle_client(key);
                    }
                }
                Ok(None) => {
                    self.clients.has_pending_accept = false;
                    return;
                }
                Err(error) => {
                    // Without a pause, the loop would spin until a descriptor is free.
                    warn!("accepting a client failed: {error}");
                    self.evict_idle_client(ClientKey::default());
                    return self.schedule_timer(self.now() + ACCEPT_RETRY_INTERVAL, Timer::AcceptClients);
                }
            }
        }
    }

    /// Adds an accepted connection and registers its socket with the poller.
    fn add_client(&mut self, socket: OwnedFd) -> ClientKey {
        let now = self.now();
        let key = self.clients.connections.insert(ClientConnection {
            socket,
            input: Vec::new(),
            reader: MessageReader::default(),
            input_received_at: now,
            last_response_at: now,
            message_started_at: None,
            has_responded: false,
            lingered_bytes: 0,
            has_unread_input: false,
            request: None,
            output: Vec::new(),
            written: 0,
            close_state: CloseState::Open,
            continue_sent: false,
        });
        if let Err(error) = self.poller.add(&self.clients.connections[key].socket, Source::Client(key)) {
            warn!("registering a client socket failed: {error}");
            self.clients.connections.remove(key);
        }
        key
    }

    /// Closes an idle or timed-out connection to make room for `new_client`; false if there is none. It scans all
    /// connections, and is called only when a limit is reached.
    pub(super) fn evict_idle_client(&mut self, new_client: ClientKey) -> bool {
        let now = self.now();
        // The longest idle connection is closed, but never the one just accepted, whose request may be in
        // transit. Invariant: a connection whose socket holds an unread request is not closed; the request
        // would be lost.
        for _ in 0..4 {
            let is_evictable = |client: &ClientConnection| client.is_idle() || client.is_overdue(now);
            let candidates =
                self.clients.connections.iter_mut().filter(|(key, c)| *key != new_client && is_evictable(c));
            let Some((key, client)) = candidates.min_by_key(|(_, client)| client.input_received_at) else {
                return false;
            };
            if poll::is_idle(&client.socket) {
                return self.clients.connections.remove(key).is_some();
            }
            client.input_received_at = now;
        }
        false
    }

    /// Accepts the clients in the accept queue, then closes the listener.
    pub(crate) fn close_listener(&mut self) {
        self.accept_clients();
        self.clients.listener = None;
    }

    /// Closes connections without a request in progress; the others close after their next response.
    pub(crate) fn close_idle_clients(&mut self) {
        let keys: Vec<_> = self.clients.connections.keys().collect();
        for key in keys {
            self.client_ready(
                ReadyEvent { source: Source::Client(key), read: true, write: false, ended: true },
                key,
            );
            if self.clients.connections.get(key).is_some_and(ClientConnection::is_idle) {
                self.close(key, CloseState::Lingering);
            }
        }
    }

    /// Closes connections that have timed out, and schedules the next check.
    pub(crate) fn sweep_clients(&mut self) {
        let now = self.now();
        self.schedule_timer(now + SWEEP_INTERVAL, Timer::SweepClients);
        let overdue: Vec<_> =
            self.clients.connections.iter().filter(|(_, c)| c.is_overdue(now)).map(|(key, _)| key).collect();
        for key in overdue {
            let Some(client) = self.clients.connections.get(key) else { continue };
            if client.message_started_at.is_some() && client.output.is_empty() {
                self.close(key, CloseState::AfterOutput);
                self.respond(key, 408, None, "");
            } else if !client.output.is_empty() || poll::is_idle(&client.socket) {
                self.client_disconnected(key);
            }
        }
    }
}
