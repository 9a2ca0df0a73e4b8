//! Accepting connections, reading and writing what they are ready for, and closing them.

use super::connections::{CloseReason, ConnectionId, Role, ServerConnection, UNACKNOWLEDGED_TIMEOUT};
use super::platform_client::PAGE_TIMEOUT;
use super::{Listener, Server};
use crate::state_machine::SESSION_TIMEOUT;
use kitepass_coordination::protocol::framing::MAX_FRAME_BYTES;
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::poller::{self, ReadyEvent};
use kitepass_net::OwnedFd;
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};

/// Unused bytes that one connection's input may hold; the rest waits in the socket.
const MAX_INPUT_BYTES: usize = MAX_FRAME_BYTES + 4;
/// Reads of one connection before the others have their turn.
const MAX_READS_PER_TURN: usize = 16;
/// Bytes that may wait for a peer or gateway that does not read; beyond that its connection is closed.
const MAX_UNSENT_BYTES: usize = 64 * 1024 * 1024;
/// With no more than this still to be sent, a gateway that catches up is sent its next chunk.
const DRAINED_BYTES: usize = 64 * 1024;
/// A client that sends nothing for this time is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_micros(30_000_000);
/// What a client that was rejected still sends is read and dropped for this time at most.
const DISCARD_TIMEOUT: Duration = Duration::from_micros(10_000_000);

impl Server {
    /// Accepts all connections that wait at a listener.
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
        let is_internal = listener == Listener::Peers;
        let tuned =
            if is_internal { poller::set_user_timeout(&socket, UNACKNOWLEDGED_TIMEOUT) } else { Ok(()) };
        if tuned.and_then(|()| self.poller.add(&socket, id.0)).is_err() {
            return;
        }
        let role = if is_internal { Role::Unidentified } else { Role::ApiClient(Box::default()) };
        let transport = Connection::from_accepted(socket);
        self.connections.insert(id, ServerConnection::new(transport, role, self.clock.now()));
        self.serve_connection(id, None);
    }

    /// Reads, handles and writes what a connection is ready for.
    pub(super) fn serve_connection(&mut self, id: ConnectionId, ready: Option<&ReadyEvent>) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(id) else { return };
        if let Some(ready) = ready {
            if let Err(error) = connection.transport.handle_event(ready) {
                return self.close(id, CloseReason::Socket(error));
            }
        }
        match self.read_and_handle(now, id) {
            Ok(has_ended) => {
                self.flush(id);
                if has_ended {
                    self.handle_end_of_input(id);
                }
            }
            Err(reason) => self.close(id, reason),
        }
    }

    /// Reads and handles input until the socket has no more, or the connection has had its turn; true if the other side
    /// has ended its sending.
    ///
    /// The poller reports changes alone, so what is left in the socket when the input buffer is full is read here for as
    /// long as some of it is consumed.
    fn read_and_handle(&mut self, now: Timestamp, id: ConnectionId) -> Result<bool, CloseReason> {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.connections.get_mut(id) else { return Ok(false) };
            let has_ended = connection
                .transport
                .read_available(&mut self.read_buffer, MAX_INPUT_BYTES)
                .map_err(CloseReason::Socket)?;
            if !connection.transport.input.is_empty() {
                connection.last_active = now;
            }
            self.handle_input(now, id, has_ended)?;
            if has_ended || !self.can_read_more(id) {
                return Ok(has_ended);
            }
        }
        // Invariant: a sender without end must not keep the loop from all other connections.
        self.resume_reading.push(id);
        Ok(false)
    }

    fn handle_input(&mut self, now: Timestamp, id: ConnectionId, has_ended: bool) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get(id) else { return Ok(()) };
        match connection.role {
            Role::ApiClient(_) => self.read_api_requests(now, id),
            Role::Platform(_) => self.read_platform_response(now, id, has_ended),
            _ => self.read_messages(now, id),
        }
    }

    fn can_read_more(&self, id: ConnectionId) -> bool {
        let Some(ServerConnection { transport, .. }) = self.connections.get(id) else { return false };
        transport.is_readable() && transport.input.len() < MAX_INPUT_BYTES
    }

    /// The other side sends no more. A client may still read its response.
    fn handle_end_of_input(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match connection.api_client() {
            Some(client) if client.awaits_response => {}
            Some(_) if connection.transport.unsent_bytes() > 0 => connection.closes_after_flush = true,
            _ => self.close(id, CloseReason::Closed),
        }
    }

    /// Writes what a connection takes. Depending on what is left unsent, the connection is then shut down or closed, or its
    /// session is noted as ready for the next chunk.
    pub(super) fn flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_all_written = match connection.write_queued() {
            Ok(is_all_written) => is_all_written,
            Err(error) => return self.close(id, CloseReason::Socket(error)),
        };
        let api_client = connection.api_client();
        if is_all_written && api_client.is_some_and(|client| client.discards_input) {
            // The response is complete: its reader need not wait for more. A failure shows at the next read.
            let _ = connection.transport.shutdown_write();
        } else if is_all_written && connection.closes_after_flush {
            self.close(id, CloseReason::Completed);
        } else if connection.unsent_bytes() <= DRAINED_BYTES
            && self.state_machine.is_session_catching_up(id.0)
        {
            self.drained_sessions.push(id);
        } else if api_client.is_none() && connection.unsent_bytes() > MAX_UNSENT_BYTES {
            // A client has one response at a time, which may be as long as the configuration.
            self.close(id, CloseReason::SlowReader);
        }
    }

    /// Closes a connection and tells whoever used it.
    pub(super) fn close(&mut self, id: ConnectionId, reason: CloseReason) {
        let Some(connection) = self.connections.remove(id) else { return };
        let now = self.clock.now();
        match connection.role {
            Role::GatewaySession => self.state_machine.session_closed(now, id.0, reason.name()),
            Role::OutgoingPeer { address } => {
                debug!("event=peer-connection-lost address={address} why={}", reason.name());
                self.peers.forget_connection(&address);
            }
            Role::Platform(_) => self.platform.forget_connection(),
            Role::IncomingPeer { .. } | Role::Unidentified | Role::ApiClient(_) => {}
        }
    }

    /// Closes the connections on which nothing has come for too long.
    pub(super) fn close_unresponsive(&mut self, now: Timestamp) {
        let unresponsive: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| self.is_unresponsive(now, connection))
            .map(|(id, _)| id)
            .collect();
        unresponsive.into_iter().for_each(|id| self.close(id, CloseReason::Unresponsive));
    }

    fn is_unresponsive(&self, now: Timestamp, connection: &ServerConnection) -> bool {
        let silence = now - connection.last_active;
        match &connection.role {
            Role::ApiClient(client) if client.discards_input => {
                silence > UNACKNOWLEDGED_TIMEOUT || now - client.rejected_at > DISCARD_TIMEOUT
            }
            Role::ApiClient(client) => !client.awaits_response && silence > IDLE_TIMEOUT,
            Role::Unidentified => silence > UNACKNOWLEDGED_TIMEOUT * 2,
            // Invariant: a connection that is never established, to a machine that lost its power, must not prevent
            // the next attempt.
            Role::OutgoingPeer { .. } => {
                !connection.transport.is_established() && silence > UNACKNOWLEDGED_TIMEOUT
            }
            Role::IncomingPeer { .. } => silence > UNACKNOWLEDGED_TIMEOUT * 4,
            // The state machine gives it up; this is for one that does not take what ends it.
            Role::GatewaySession => silence > SESSION_TIMEOUT + UNACKNOWLEDGED_TIMEOUT,
            Role::Platform(_) => {
                self.platform.reading_started().is_some_and(|started| now - started > PAGE_TIMEOUT * 3)
            }
        }
    }
}
