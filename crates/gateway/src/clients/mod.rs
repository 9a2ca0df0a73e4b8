//! Client connections: reads requests, one at a time on each connection, and writes the responses.
//!
//! [`accept`] accepts connections and closes those that are idle or have timed out, [`receive`] reads requests,
//! and [`response`] writes responses and then closes connections where necessary.

mod accept;
mod receive;
mod response;

use crate::http::MessageReader;
use crate::poll::ClientKey;
use crate::request::RequestKey;
use kitepass_time::{Duration, Timestamp};
use rustix::fd::OwnedFd;
use slotmap::SlotMap;

/// How long the transfer of a message may take: the first request counted from the accept, a later request from
/// its first byte, a response from when it was queued. A slower client loses its connection.
const TRANSFER_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// How long a connection without a request is kept. Some clients send one request or none, and never disconnect.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's connection.
pub(crate) struct ClientConnection {
    socket: OwnedFd,
    /// Bytes that were read but not parsed yet.
    input: Vec<u8>,
    reader: MessageReader,
    /// When the bytes in the input were received.
    input_received_at: Timestamp,
    /// When the last response was queued; before the first one, when the connection was accepted.
    last_response_at: Timestamp,
    /// When the first byte of an incomplete message was received; `None` if there is none.
    message_started_at: Option<Timestamp>,
    /// Whether the connection has had a response.
    has_responded: bool,
    /// How many bytes were read and discarded during the lingering close.
    lingered_bytes: usize,
    /// Whether reading stopped because the input was full, so that the socket may hold more bytes.
    has_unread_input: bool,
    /// The request in progress.
    request: Option<RequestKey>,
    /// The response; its first `written` bytes have been written to the socket.
    output: Vec<u8>,
    written: usize,
    close_state: CloseState,
    /// Whether `100 Continue` was sent for the request that is being read.
    continue_sent: bool,
}

/// The stages of closing a connection, in order. Only `Runtime::close` changes the stage, and only to a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseState {
    /// The connection is not being closed.
    Open,
    /// The connection closes once its output is written.
    AfterOutput,
    /// Nothing more is written, and what is read is discarded.
    Lingering,
}

/// All client connections, and the listener that accepts them.
pub(crate) struct Clients {
    connections: SlotMap<ClientKey, ClientConnection>,
    /// `None` once no more clients are accepted.
    listener: Option<OwnedFd>,
    /// Above this number of connections, requests are rejected and their connections closed.
    max_served: usize,
    /// Above this number of connections, no further client is accepted.
    max_accepted: usize,
    /// Whether the accept queue may hold a connection.
    has_pending_accept: bool,
}

impl Clients {
    /// Starts without clients. Requests are rejected above `max_served` connections, and no client is accepted
    /// above `max_accepted`.
    pub(crate) fn new(listener: OwnedFd, max_served: usize, max_accepted: usize) -> Clients {
        Clients {
            connections: SlotMap::with_key(),
            listener: Some(listener),
            max_served,
            max_accepted,
            has_pending_accept: false,
        }
    }

    /// Whether no client is connected.
    pub(crate) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

impl ClientConnection {
    /// Whether the connection is open, has no request in progress and nothing left to write.
    fn is_between_requests(&self) -> bool {
        self.request.is_none() && self.output.is_empty() && self.close_state == CloseState::Open
    }

    /// Whether it is between requests and has no incomplete message in its input.
    fn is_idle(&self) -> bool {
        self.is_between_requests() && !self.reader.has_partial_message(&self.input)
    }

    /// Whether it has exceeded a time-out: for sending a request, for reading a response, or for being idle.
    fn is_overdue(&self, now: Timestamp) -> bool {
        if self.request.is_some() || self.close_state == CloseState::Lingering {
            return false;
        }
        let (since, timeout) = match self.message_started_at {
            _ if !self.output.is_empty() => (self.last_response_at, TRANSFER_TIMEOUT),
            Some(started_at) => {
                (if self.has_responded { started_at } else { self.last_response_at }, TRANSFER_TIMEOUT)
            }
            None => (self.last_response_at, IDLE_TIMEOUT),
        };
        now - since > timeout
    }
}
