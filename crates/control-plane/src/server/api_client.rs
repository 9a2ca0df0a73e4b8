//! Reads requests from clients of the operators' API and the directory API, and limits their size.

use super::connections::{CloseReason, ConnectionId, Role, ServerConnection};
use super::http_response::HttpResponse;
use super::Server;
use crate::request::ApiCall;
use kitepass_net::connection::Connection;
use kitepass_net::http::body::{Body, Framing, HeadReader};
use kitepass_net::http::MessageKind;
use kitepass_net::Errno;
use kitepass_time::Timestamp;
use log::info;
use snafu::Snafu;

const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request body.
pub(super) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum total size of the request bodies that are being read or parsed.
const MAX_BUFFERED_BODY_BYTES: usize = 3 * MAX_BODY_BYTES;
/// Bodies up to this size are read regardless of the total.
const MIN_BUFFERED_BODY_BYTES: usize = 256 * 1024;
/// Maximum size of a change as items, which must all fit into one message. Short entries become longer as items,
/// because each item repeats its field names.
pub(super) const MAX_ITEM_BYTES: usize = 20 * 1024 * 1024;
/// A client's next request is read only while no more than this many bytes of responses are unsent.
const MAX_UNSENT_RESPONSE_BYTES: usize = 256 * 1024;

/// A client of an API, and its current request.
#[derive(Default)]
pub(super) struct ApiClient {
    head_reader: HeadReader,
    /// The request whose body is being read.
    pending: Option<PendingBody>,
    /// Path and query of the last request, as sent by the client.
    pub(super) target: Vec<u8>,
    /// Whether the connection is closed after the next response.
    pub(super) closes_after_response: bool,
    /// When the newest input arrived, or the last response was sent, whichever is later. Input may have arrived after this.
    /// A client that sends requests ahead waits for each of them since the response before it.
    pub(super) waits_since: Timestamp,
    /// Whether a request is being executed. The next one is read after its response.
    pub(super) awaits_response: bool,
    /// Whether further input is read and dropped because a request was rejected before it was complete. Closing a
    /// socket with unread input resets the connection, and the client could lose the response.
    pub(super) discards_input: bool,
    pub(super) rejected_at: Timestamp,
}

struct PendingBody {
    call: ApiCall,
    body: Body,
    bytes: Vec<u8>,
}

/// A complete request.
struct CompleteRequest {
    call: ApiCall,
    body: Vec<u8>,
}

/// Why a client's input is not executed as a request.
#[derive(Debug, Snafu)]
enum RequestError {
    #[snafu(display("malformed request head"))]
    InvalidHead { status: u16 },
    #[snafu(display("malformed request body"))]
    MalformedBody,
    #[snafu(display("request exceeds {MAX_BODY_BYTES} bytes"))]
    TooLong,
    #[snafu(display("requests that are being read exceed {MAX_BUFFERED_BODY_BYTES} bytes in total"))]
    TooManyBuffered,
    #[snafu(display("{source}"))]
    Socket { source: Errno },
}

impl ApiClient {
    /// Returns how many bytes of the current request's body have been read.
    fn buffered_bytes(&self) -> usize {
        self.pending.as_ref().map_or(0, |pending| pending.bytes.len())
    }

    /// Returns whether the head of a request has been read, and its body only in part.
    pub(super) fn has_partial_request(&self) -> bool {
        self.pending.is_some()
    }

    /// Reads the next request's head, unless it has been read already. Returns false if the head is still incomplete.
    fn read_head(&mut self, transport: &mut Connection) -> Result<bool, RequestError> {
        if self.pending.is_some() {
            return Ok(true);
        }
        let result = self.head_reader.next(MessageKind::Request, &mut transport.input, MAX_HEAD_BYTES);
        let (head, framing) = match result {
            Ok(Some(head_and_framing)) => head_and_framing,
            Ok(None) => return Ok(false),
            Err(error) => {
                self.closes_after_response = true;
                return InvalidHeadSnafu { status: error.status() }.fail();
            }
        };
        self.closes_after_response = !head.is_persistent();
        if matches!(framing, Framing::ContentLength(length) if length > MAX_BODY_BYTES as u64) {
            return TooLongSnafu.fail();
        }
        if head.expects_continue() {
            transport.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let call = ApiCall::decode(head.start_line_part(0), head.start_line_part(1));
        self.target = head.start_line_part(1).to_vec();
        self.pending = Some(PendingBody { call, body: Body::new(framing), bytes: Vec::new() });
        Ok(true)
    }

    /// Continues reading the body. Returns the request once it is complete.
    fn read_body(&mut self, transport: &mut Connection) -> Result<Option<CompleteRequest>, RequestError> {
        let Some(pending) = &mut self.pending else { return Ok(None) };
        // Reading one byte more than allowed distinguishes a body that is too long from one that ends at the limit.
        let capacity = (MAX_BODY_BYTES + 1).saturating_sub(pending.bytes.len());
        let is_complete = pending
            .body
            .read(&mut transport.input, &mut pending.bytes, capacity)
            .map_err(|_| RequestError::MalformedBody)?;
        if pending.bytes.len() > MAX_BODY_BYTES {
            return TooLongSnafu.fail();
        }
        if !is_complete {
            return Ok(None);
        }
        Ok(self.pending.take().map(|PendingBody { call, bytes, .. }| CompleteRequest { call, body: bytes }))
    }

    /// Drops the current request and all further input.
    fn discard_input(&mut self, now: Timestamp) {
        self.closes_after_response = true;
        self.discards_input = true;
        if let Some(pending) = &mut self.pending {
            pending.bytes = Vec::new();
        }
        self.rejected_at = now;
    }
}

/// Returns whether the next request may be read: none is being executed, and the client reads its responses.
///
/// # Errors
///
/// The socket's error, if writing the unsent responses fails.
fn may_read_request(connection: &mut ServerConnection) -> Result<bool, Errno> {
    let is_busy = connection.api_client().is_none_or(|client| client.awaits_response);
    if is_busy || connection.closes_after_flush {
        return Ok(false);
    }
    // Invariant: responses must not accumulate for a client that sends requests but does not read the responses. Once
    // the client reads them, the connection is served again.
    let transport = &mut connection.transport;
    if transport.unsent_bytes() > MAX_UNSENT_RESPONSE_BYTES {
        transport.flush()?;
    }
    Ok(transport.unsent_bytes() <= MAX_UNSENT_RESPONSE_BYTES)
}

impl Server {
    /// Reads and executes a client's requests in order, as far as they have arrived.
    pub(super) fn read_api_requests(&mut self, now: Timestamp, id: ConnectionId) -> Result<(), CloseReason> {
        loop {
            match self.next_request(id) {
                Ok(Some(request)) => self.handle_call(now, id, request.call, request.body),
                Ok(None) => return Ok(()),
                Err(error) => return self.reject_request(id, &error),
            }
        }
    }

    fn next_request(&mut self, id: ConnectionId) -> Result<Option<CompleteRequest>, RequestError> {
        let Some(connection) = self.connections.get_mut(id) else { return Ok(None) };
        if connection.api_client().is_some_and(|client| client.discards_input) {
            connection.transport.input.clear();
        }
        if !may_read_request(connection).map_err(|source| RequestError::Socket { source })? {
            return Ok(None);
        }
        let ServerConnection { transport, role: Role::ApiClient(client), .. } = connection else {
            return Ok(None);
        };
        if !client.read_head(transport)? {
            return Ok(None);
        }
        let request = client.read_body(transport)?;
        // Invariant: the total is limited, because eight long requests at once would exhaust a small machine's memory.
        if request.is_none()
            && client.buffered_bytes() > MIN_BUFFERED_BODY_BYTES
            && self.buffered_body_bytes() > MAX_BUFFERED_BODY_BYTES
        {
            return TooManyBufferedSnafu.fail();
        }
        Ok(request)
    }

    fn buffered_body_bytes(&self) -> usize {
        let clients = self.connections.iter().filter_map(|(_, connection)| connection.api_client());
        clients.map(ApiClient::buffered_bytes).sum::<usize>() + self.worker.queued_bytes()
    }

    fn reject_request(&mut self, id: ConnectionId, error: &RequestError) -> Result<(), CloseReason> {
        match error {
            RequestError::Socket { source } => return Err(CloseReason::Socket(*source)),
            RequestError::MalformedBody => return Err(CloseReason::Malformed),
            RequestError::InvalidHead { status } => {
                self.respond(id, &HttpResponse::text(*status, "not a request"));
            }
            RequestError::TooLong => self.reject_too_long(id),
            RequestError::TooManyBuffered => {
                self.discard_input(id);
                self.respond(id, &HttpResponse::text(503, "too many long calls at once").retry_after(1));
            }
        }
        Ok(())
    }

    /// Rejects a request that exceeds the size limits, before any of it is executed.
    pub(super) fn reject_too_long(&mut self, id: ConnectionId) {
        self.discard_input(id);
        info!("event=request-too-long max-bytes={MAX_BODY_BYTES} max-item-bytes={MAX_ITEM_BYTES}");
        self.respond(id, &HttpResponse::text(413, "a call of more than 16 MiB, or 20 MiB as items"));
    }

    fn discard_input(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        if let Some(ServerConnection { role: Role::ApiClient(client), .. }) = self.connections.get_mut(id) {
            client.discard_input(now);
        }
    }
}
