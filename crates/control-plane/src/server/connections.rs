//! The server's connections: their roles, their buffers, and the table of all connections.

use super::api_client::ApiClient;
use super::platform_client::ResponseReader;
use kitepass_coordination::protocol::framing::{EncodedMessage, MessageDecoder, SendQueue};
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::poller::Poller;
use kitepass_net::Errno;
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A connection between processes of the system is closed if sent bytes stay unacknowledged for this long, because a
/// machine that loses power does not close its connections.
pub(super) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_micros(1_500_000);

/// Identifies a connection for the lifetime of the server. It is also the socket's token at the poller, and the id by
/// which the state machine knows a gateway's session or an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

/// The purpose of a connection.
pub(super) enum Role {
    /// From a client of the operators' API or the directory API.
    ApiClient(Box<ApiClient>),
    /// To another control process. Only this process sends messages on it.
    OutgoingPeer { address: String },
    /// Accepted on the peer port. The other side has not identified itself yet.
    Unidentified,
    /// From another control process. Only that process sends messages on it.
    IncomingPeer { node_id: String, incarnation: u64 },
    /// A gateway's session. Both sides send messages.
    GatewaySession,
    /// To the platform, to poll its list of backends.
    Platform(ResponseReader),
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The other side closed it.
    Closed,
    /// All output was sent, and the connection was to be closed afterwards.
    Completed,
    /// The input was malformed.
    Malformed,
    /// The platform sent a response without a request.
    Unrequested,
    /// No input arrived for too long.
    Unresponsive,
    /// The other side does not read, or reads too slowly.
    SlowReader,
    /// The process shuts down.
    ShutDown,
    /// The socket failed.
    Socket(Errno),
}

impl CloseReason {
    /// Returns the reason's name for log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::Closed => "closed",
            CloseReason::Completed => "completed",
            CloseReason::Malformed => "malformed",
            CloseReason::Unrequested => "unrequested",
            CloseReason::Unresponsive => "unresponsive",
            CloseReason::SlowReader => "slow-reader",
            CloseReason::ShutDown => "shutdown",
            CloseReason::Socket(error) => error_label(error),
        }
    }
}

/// A connection with its buffers.
pub(super) struct ServerConnection {
    pub(super) transport: Connection,
    /// Reassembles the messages of a peer or gateway.
    pub(super) decoder: MessageDecoder,
    /// Messages waiting for space in the transport's output.
    pub(super) send_queue: SendQueue,
    pub(super) role: Role,
    /// When the connection was opened, last received input, or last got a response queued for its client.
    pub(super) last_active: Timestamp,
    /// Whether the other side has closed its sending side.
    pub(super) has_input_ended: bool,
    /// Whether the connection is closed once all its output has been sent.
    pub(super) closes_after_flush: bool,
}

impl ServerConnection {
    pub(super) fn new(transport: Connection, role: Role, now: Timestamp) -> ServerConnection {
        ServerConnection {
            transport,
            decoder: MessageDecoder::default(),
            send_queue: SendQueue::default(),
            role,
            last_active: now,
            has_input_ended: false,
            closes_after_flush: false,
        }
    }

    /// Returns the API client of this connection, if it has that role.
    pub(super) fn api_client(&self) -> Option<&ApiClient> {
        match &self.role {
            Role::ApiClient(client) => Some(client),
            _ => None,
        }
    }

    /// Returns whether this is an API client whose request has arrived, completely or in part, and whose response has
    /// not been sent completely.
    pub(super) fn is_client_waiting(&self) -> bool {
        let has_request = |client: &ApiClient| {
            client.awaits_response || client.has_partial_request() || !self.transport.is_idle()
        };
        self.api_client()
            .is_some_and(|client| !client.discards_input && has_request(client) || self.unsent_bytes() > 0)
    }

    /// Returns whether the client of this connection has probably left: it can send nothing more. A client that has only
    /// closed its sending side cannot be told from one that has left.
    pub(super) fn has_client_left(&self) -> bool {
        self.has_input_ended || self.transport.is_read_closed()
    }

    /// Returns the number of bytes that are still to be sent.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.transport.unsent_bytes() + self.send_queue.queued_bytes()
    }

    /// Queues a message. An urgent message overtakes messages that are sent in fragments.
    pub(super) fn queue(&mut self, message: EncodedMessage, is_urgent: bool) {
        self.send_queue.push(message, is_urgent, &mut self.transport.output);
    }

    /// Writes as much of the queued output as the socket accepts. Returns whether all of it was sent.
    ///
    /// # Errors
    ///
    /// The socket's error, if the connection is lost.
    pub(super) fn write_queued(&mut self) -> Result<bool, Errno> {
        loop {
            let unsent = self.transport.unsent_bytes();
            self.send_queue.append_frames(&mut self.transport.output, unsent);
            let is_all_written = self.transport.flush()?;
            if !is_all_written || self.send_queue.queued_bytes() == 0 {
                return Ok(is_all_written);
            }
        }
    }
}

/// All connections of the server, in the order of their creation.
pub(super) struct ConnectionTable {
    connections: BTreeMap<ConnectionId, ServerConnection>,
    next_id: u64,
}

impl ConnectionTable {
    /// Returns an empty table that assigns ids from `first_id` on.
    pub(super) fn new(first_id: u64) -> ConnectionTable {
        ConnectionTable { connections: BTreeMap::new(), next_id: first_id }
    }

    /// Returns an id that no connection has had.
    pub(super) fn allocate_id(&mut self) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Opens a connection to `address`. Output written before the connection is established is sent afterwards.
    ///
    /// # Errors
    ///
    /// The system's error, if no socket could be opened.
    pub(super) fn open(
        &mut self,
        poller: &Poller,
        address: &SocketAddr,
        role: Role,
        now: Timestamp,
    ) -> Result<ConnectionId, Errno> {
        let id = self.allocate_id();
        let transport = Connection::connect(poller, address, id.0, UNACKNOWLEDGED_TIMEOUT)?;
        self.insert(id, ServerConnection::new(transport, role, now));
        Ok(id)
    }

    pub(super) fn insert(&mut self, id: ConnectionId, connection: ServerConnection) {
        self.connections.insert(id, connection);
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ServerConnection> {
        self.connections.remove(&id)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&ServerConnection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut ServerConnection> {
        self.connections.get_mut(&id)
    }

    /// Returns the number of API clients that wait for a response; see [`ServerConnection::is_client_waiting`].
    pub(super) fn waiting_clients(&self) -> usize {
        self.connections.values().filter(|connection| connection.is_client_waiting()).count()
    }

    /// Returns the ids of the connections that the predicate holds for.
    pub(super) fn ids_where(&self, predicate: impl Fn(&ServerConnection) -> bool) -> Vec<ConnectionId> {
        self.iter().filter(|(_, connection)| predicate(connection)).map(|(id, _)| id).collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &ServerConnection)> {
        self.connections.iter().map(|(id, connection)| (*id, connection))
    }
}
