//! Client connections: reads requests, one at a time on each connection, and writes the answers.
//!
//! [`accept`] lets connections in and closes those that are idle or overdue, [`receive`] reads requests, and
//! [`response`] writes answers and closes connections behind them.

mod accept;
mod receive;
mod response;

use crate::http::MessageReader;
use crate::poll::ClientKey;
use crate::request::RequestKey;
use kitepass_time::{Duration, Timestamp};
use rustix::fd::OwnedFd;
use slotmap::SlotMap;

/// How long a connection's first message may take from its acceptance, a later one from its first byte, and
/// an answer until the client has taken it: a client that is slower, or silent, loses its connection.
const TRANSFER_TIMEOUT: Duration = Duration::from_micros(2_500_000);
/// How long a connection without any request is kept: some clients send one request, or none, and never
/// disconnect.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's connection.
pub(crate) struct Client {
    socket: OwnedFd,
    /// Bytes that have been read and not parsed yet.
    input: Vec<u8>,
    reader: MessageReader,
    /// When the bytes in the input arrived.
    input_received_at: Timestamp,
    /// When it was accepted or, later, had its last answer.
    last_response_at: Timestamp,
    /// When the message that is not complete yet began.
    message_started_at: Option<Timestamp>,
    /// Whether it has had an answer.
    has_responded: bool,
    /// How many bytes were read since its last response was written.
    lingered_bytes: usize,
    /// Whether the socket may hold more bytes than the input has room for.
    has_unread_input: bool,
    /// The request that is being served.
    request: Option<RequestKey>,
    /// The answer, of which the first `written` bytes have gone to the socket.
    output: Vec<u8>,
    written: usize,
    close_state: CloseState,
    /// Whether the request that is being read has had its interim response.
    continue_sent: bool,
}

/// How far the closing of a connection has come. Only `Runtime::close` changes it, and only forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseState {
    /// The connection stays open.
    Open,
    /// It closes once its output is written.
    AfterOutput,
    /// Nothing more is written, and what is read is dropped.
    Lingering,
}

/// All client connections, and the listener that accepts them.
pub(crate) struct Clients {
    all: SlotMap<ClientKey, Client>,
    /// `None` once no further clients are accepted.
    listener: Option<OwnedFd>,
    /// Above so many connections, requests are rejected and their connections closed.
    max_served: usize,
    /// Above so many connections, no further client is accepted.
    max_accepted: usize,
    /// Whether a client may be waiting to be accepted.
    has_pending_accept: bool,
}

impl Clients {
    /// No clients yet. Requests are rejected above `max_served` connections, and no client is accepted above
    /// `max_accepted`.
    pub(crate) fn new(listener: OwnedFd, max_served: usize, max_accepted: usize) -> Clients {
        Clients {
            all: SlotMap::with_key(),
            listener: Some(listener),
            max_served,
            max_accepted,
            has_pending_accept: false,
        }
    }

    /// Whether no client is connected.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl Client {
    /// Whether no request is in progress and nothing is left to write.
    fn is_between_requests(&self) -> bool {
        self.request.is_none() && self.output.is_empty() && self.close_state == CloseState::Open
    }

    /// Whether nothing is in progress, not even a message that is being read.
    fn is_idle(&self) -> bool {
        self.is_between_requests() && !self.reader.has_partial_message(&self.input)
    }

    /// Whether it has exceeded a time-out: for its message, for taking an answer, or for a next request.
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
