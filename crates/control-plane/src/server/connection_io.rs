//! Accepts connections, reads and writes them when they are ready, and closes them.

use super::connections::{CloseReason, ConnectionId, Role, ServerConnection, UNACKNOWLEDGED_TIMEOUT};
use super::{Listener, Server};
use crate::state_machine::SESSION_TIMEOUT;
use kitepass_coordination::protocol::framing::MAX_FRAME_BYTES;
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::poller::{self, ReadyEvent};
use kitepass_net::OwnedFd;
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};

/// Maximum size of a connection's unprocessed input; more input is left in the socket.
const MAX_INPUT_BYTES: usize = MAX_FRAME_BYTES + 4;
/// Maximum number of reads from one connection before the others are served.
const MAX_READS_PER_TURN: usize = 16;
/// Maximum number of unsent bytes for a peer or gateway; if it reads too slowly, its connection is closed.
const MAX_UNSENT_BYTES: usize = 64 * 1024 * 1024;
/// A gateway that is catching up is sent its next chunk once it has no more unsent bytes than this.
const DRAINED_THRESHOLD_BYTES: usize = 64 * 1024;
/// A client that sends nothing for this long is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_micros(30_000_000);
/// Maximum time for which the input of a rejected client is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_micros(10_000_000);

impl Server {
    /// Accepts all pending connections of a listener.
    pub(super) fn accept_connections(&mut self, listener: Listener) {
        loop {
            let Some(socket) = self.listeners.get(&listener) else { return };
            match poller::accept(socket) {
                Ok(Some(socket)) => self.add_accepted(listener, socket),
                Ok(None) => return,
                Err(error) => return warn!("event=accept-failed why={}", error_label(error)),
            }
        }
    }

    fn add_accepted(&mut self, listener: Listener, socket: OwnedFd) {
        let id = self.connections.allocate_id();
        let is_peer_listener = listener == Listener::Peers;
        let configured =
            if is_peer_listener { poller::set_user_timeout(&socket, UNACKNOWLEDGED_TIMEOUT) } else { Ok(()) };
        if configured.and_then(|()| self.poller.add(&socket, id.0)).is_err() {
            return;
        }
        let role = if is_peer_listener { Role::Unidentified } else { Role::ApiClient(Box::default()) };
        let transport = Connection::from_accepted(socket);
        self.connections.insert(id, ServerConnection::new(transport, role, self.clock.now()));
        self.serve_connection(id, None);
    }

    /// Reads input, handles it, and writes output, as far as the connection is ready.
    pub(super) fn serve_connection(&mut self, id: ConnectionId, ready: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(id) else { return };
        if let Some(ready) = ready {
            if let Err(error) = connection.transport.handle_event(ready) {
                return self.close(id, CloseReason::Socket(error));
            }
        }
        match self.read_and_handle(now, id) {
            Ok(is_eof) => {
                self.flush(id);
                if is_eof {
                    self.handle_end_of_input(now, id);
                }
            }
            Err(reason) => self.close(id, reason),
        }
    }

    /// Reads and handles input until the socket has no more, or the connection's share of the turn is used up. Returns
    /// whether the end of the input has been reached.
    ///
    /// The poller is edge-triggered, so input that stays in the socket while the input buffer is full has to be read
    /// here, as long as the buffer is being consumed.
    fn read_and_handle(&mut self, now: Timestamp, id: ConnectionId) -> Result<bool, CloseReason> {
        for _ in 0..MAX_READS_PER_TURN {
            let is_eof = self.read_input(now, id)?;
            self.handle_input(now, id, is_eof)?;
            if is_eof || !self.can_read_more(id) {
                return Ok(is_eof);
            }
        }
        // Invariant: a peer that sends continuously must not starve the other connections.
        self.resume_reading.push(id);
        Ok(false)
    }

    /// Reads a connection's input, as far as its buffer has space. Returns whether the end of the input has been reached.
    fn read_input(&mut self, now: Timestamp, id: ConnectionId) -> Result<bool, CloseReason> {
        let Some(connection) = self.connections.get_mut(id) else { return Ok(false) };
        let ServerConnection { transport, role, .. } = connection;
        let previous_length = transport.input.len();
        let result = match role {
            // Invariant: a request is executed only after it is known whether its client has left.
            Role::ApiClient(_) => transport.read_to_end(&mut self.read_buffer, MAX_INPUT_BYTES),
            _ => transport.read_available(&mut self.read_buffer, MAX_INPUT_BYTES),
        };
        let is_eof = result.map_err(CloseReason::Socket)?;
        if !transport.input.is_empty() {
            connection.last_active = now;
        }
        if let Role::ApiClient(client) = role {
            if transport.input.len() > previous_length {
                client.waits_since = client.waits_since.max(self.turn_monitor.input_arrived_after());
            }
        }
        connection.has_input_ended |= is_eof;
        Ok(is_eof)
    }

    fn handle_input(&mut self, now: Timestamp, id: ConnectionId, is_eof: bool) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get(id) else { return Ok(()) };
        match connection.role {
            Role::ApiClient(_) => self.read_api_requests(now, id),
            Role::Platform(_) => self.read_platform_response(now, id, is_eof),
            _ => self.read_messages(now, id),
        }
    }

    fn can_read_more(&self, id: ConnectionId) -> bool {
        let Some(ServerConnection { transport, .. }) = self.connections.get(id) else { return false };
        transport.is_readable() && transport.input.len() < MAX_INPUT_BYTES
    }

    /// Handles the end of a connection's input. A client may still be waiting for a response.
    fn handle_end_of_input(&mut self, now: Timestamp, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match connection.api_client() {
            Some(client) if client.awaits_response => self.state_machine.caller_left(now, id.0),
            Some(_) if connection.transport.unsent_bytes() > 0 => connection.closes_after_flush = true,
            _ => self.close(id, CloseReason::Closed),
        }
    }

    /// Writes as much output as the socket accepts. Depending on what is left unsent, the connection may then be shut
    /// down for writing or closed, or its session may be recorded as ready for the next chunk.
    pub(super) fn flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_all_written = match connection.write_queued() {
            Ok(is_all_written) => is_all_written,
            Err(error) => return self.close(id, CloseReason::Socket(error)),
        };
        let api_client = connection.api_client();
        if is_all_written && api_client.is_some_and(|client| client.discards_input) {
            // No further response follows, so the client need not wait for one. An error will show up at the next read.
            let _ = connection.transport.shutdown_write();
        } else if is_all_written && connection.closes_after_flush {
            self.close(id, CloseReason::Completed);
        } else if connection.unsent_bytes() <= DRAINED_THRESHOLD_BYTES
            && self.state_machine.is_session_catching_up(id.0)
        {
            self.drained_sessions.push(id);
        } else if api_client.is_none() && connection.unsent_bytes() > MAX_UNSENT_BYTES {
            // API clients are exempt: each has one response at a time, which may be as long as the configuration.
            self.close(id, CloseReason::SlowReader);
        }
    }

    /// Closes a connection and informs the component that used it.
    pub(super) fn close(&mut self, id: ConnectionId, reason: CloseReason) {
        let Some(connection) = self.connections.remove(id) else { return };
        let now = self.clock.now();
        match connection.role {
            Role::GatewaySession => self.state_machine.session_closed(now, id.0, reason.name()),
            Role::OutgoingPeer { address } => {
                debug!("event=peer-connection-lost address={address} why={}", reason.name());
                self.peers.forget_connection(&address);
            }
            Role::Platform(_) => self.platform_connection_lost(now, id, reason),
            Role::ApiClient(_) => self.state_machine.caller_left(now, id.0),
            Role::IncomingPeer { .. } | Role::Unidentified => {}
        }
    }

    /// Closes the connections that have been inactive for too long.
    pub(super) fn close_unresponsive(&mut self, now: Timestamp) {
        let unresponsive = self.connections.ids_where(|connection| self.is_unresponsive(now, connection));
        unresponsive.into_iter().for_each(|id| self.close(id, CloseReason::Unresponsive));
    }

    fn is_unresponsive(&self, now: Timestamp, connection: &ServerConnection) -> bool {
        let idle_time = now - connection.last_active;
        match &connection.role {
            Role::ApiClient(client) if client.discards_input => {
                idle_time > UNACKNOWLEDGED_TIMEOUT || now - client.rejected_at > DISCARD_TIMEOUT
            }
            Role::ApiClient(client) => !client.awaits_response && idle_time > IDLE_TIMEOUT,
            Role::Unidentified => idle_time > UNACKNOWLEDGED_TIMEOUT * 2,
            // Invariant: a connection attempt that never completes, because the machine has lost power, must not
            // prevent the next attempt.
            Role::OutgoingPeer { .. } => {
                !connection.transport.is_established() && idle_time > UNACKNOWLEDGED_TIMEOUT
            }
            Role::IncomingPeer { .. } => idle_time > UNACKNOWLEDGED_TIMEOUT * 4,
            // The state machine closes unresponsive sessions after flushing their output; this closes those whose
            // output cannot be flushed.
            Role::GatewaySession => idle_time > SESSION_TIMEOUT + UNACKNOWLEDGED_TIMEOUT,
            Role::Platform(_) => self.platform.has_poll_timed_out(now),
        }
    }
}
