//! The server's connections: what each one is for, its bytes both ways, and the table of all of them.

use super::api_client::ApiClient;
use super::platform_client::ResponseReader;
use kitepass_coordination::protocol::framing::{EncodedMessage, MessageDecoder, SendQueue};
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::poller::Poller;
use kitepass_net::Errno;
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A connection between processes of the system ends if bytes that were sent stay unacknowledged for this time: a machine
/// that lost its power closes nothing.
pub(super) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_micros(1_500_000);

/// Identifies a connection for as long as the server runs. It is also the poller's token of the socket, and the number
/// by which the state machine knows a gateway's session or an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

/// What a connection is for.
pub(super) enum Role {
    /// A client of the operators' API or of the directory API.
    ApiClient(Box<ApiClient>),
    /// To another control process: only this process sends on it.
    OutgoingPeer { address: String },
    /// Accepted on the peers' port; the other side has not said who it is.
    Unidentified,
    /// From another control process: only that process sends on it.
    IncomingPeer { node_id: String, incarnation: u64 },
    /// A gateway's session, in both directions.
    GatewaySession,
    /// To the platform, for its list of backends.
    Platform(ResponseReader),
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The other side ended it.
    Closed,
    /// All that was to be sent has been sent.
    Completed,
    /// What came was malformed.
    Malformed,
    /// The platform sent what nobody had requested.
    Unrequested,
    /// Nothing came for too long.
    Unresponsive,
    /// The other side does not read what it is sent.
    SlowReader,
    /// The socket failed.
    Socket(Errno),
}

impl CloseReason {
    /// The reason's name in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::Closed => "closed",
            CloseReason::Completed => "completed",
            CloseReason::Malformed => "malformed",
            CloseReason::Unrequested => "unrequested",
            CloseReason::Unresponsive => "unresponsive",
            CloseReason::SlowReader => "slow-reader",
            CloseReason::Socket(error) => error_label(error),
        }
    }
}

/// A connection with its buffers.
pub(super) struct ServerConnection {
    pub(super) transport: Connection,
    /// Reassembles the messages of a peer or gateway.
    pub(super) decoder: MessageDecoder,
    /// Messages that wait for space in the transport's output.
    pub(super) send_queue: SendQueue,
    pub(super) role: Role,
    /// When it was opened, or bytes came on it last, or its client was answered last.
    pub(super) last_active: Timestamp,
    /// It is closed as soon as all its output has been sent.
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
            closes_after_flush: false,
        }
    }

    /// The client of an API that uses this connection.
    pub(super) fn api_client(&self) -> Option<&ApiClient> {
        match &self.role {
            Role::ApiClient(client) => Some(client),
            _ => None,
        }
    }

    /// Bytes that are still to be sent.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.transport.unsent_bytes() + self.send_queue.queued_bytes()
    }

    /// Queues a message; an urgent one passes those that are sent in pieces.
    pub(super) fn queue(&mut self, message: EncodedMessage, is_urgent: bool) {
        self.send_queue.push(message, is_urgent, &mut self.transport.output);
    }

    /// Writes as much of the queued output as the socket takes; true if all of it is sent.
    ///
    /// # Errors
    ///
    /// The socket's: the connection is lost.
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

/// All connections of the server, in the order in which they were made.
pub(super) struct ConnectionTable {
    connections: BTreeMap<ConnectionId, ServerConnection>,
    next_id: u64,
}

impl ConnectionTable {
    /// An empty table that gives ids from `first_id` on.
    pub(super) fn new(first_id: u64) -> ConnectionTable {
        ConnectionTable { connections: BTreeMap::new(), next_id: first_id }
    }

    /// An id that no connection has had.
    pub(super) fn allocate_id(&mut self) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Starts a connection to `address`; what is written before it is established is sent then.
    ///
    /// # Errors
    ///
    /// The system's: no socket could be opened.
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

    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &ServerConnection)> {
        self.connections.iter().map(|(id, connection)| (*id, connection))
    }
}
