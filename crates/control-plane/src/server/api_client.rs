//! Reads the requests of one client of the operators' or directory API, within bounds of size.

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
/// Bytes of a request's body.
pub(super) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of all bodies that are being read or parsed.
const MAX_BUFFERED_BODY_BYTES: usize = 3 * MAX_BODY_BYTES;
/// A body of no more bytes than this is read in any case.
const MIN_BUFFERED_BODY_BYTES: usize = 256 * 1024;
/// Bytes of a change as items. Short entries grow, as each item names its fields; all of them must fit into one message.
pub(super) const MAX_ITEM_BYTES: usize = 20 * 1024 * 1024;
/// Bytes of responses that may wait for a client before its next request is read.
const MAX_UNSENT_RESPONSE_BYTES: usize = 256 * 1024;

/// A client of an API, with the request that is being read or executed.
#[derive(Default)]
pub(super) struct ApiClient {
    head_reader: HeadReader,
    /// The request whose body is being read.
    pending: Option<PendingBody>,
    /// Path and query of the last request, as they were sent.
    pub(super) target: Vec<u8>,
    /// The connection ends with the next response.
    pub(super) closes_after_response: bool,
    /// A request is being executed; the next one is read after its response.
    pub(super) awaits_response: bool,
    /// A request was rejected before all of it had come, and its rest is read and dropped: a socket that is closed with
    /// unread bytes is reset, and the response is lost with it.
    pub(super) discards_input: bool,
    pub(super) rejected_at: Timestamp,
}

struct PendingBody {
    call: ApiCall,
    body: Body,
    bytes: Vec<u8>,
}

/// A request all of which has come.
struct CompleteRequest {
    call: ApiCall,
    body: Vec<u8>,
}

/// Why a client's input is no request that is executed.
#[derive(Debug, Snafu)]
enum RequestError {
    #[snafu(display("the head is not an HTTP request's"))]
    InvalidHead { status: u16 },
    #[snafu(display("the body is malformed"))]
    MalformedBody,
    #[snafu(display("more than {MAX_BODY_BYTES} bytes"))]
    TooLong,
    #[snafu(display("more than {MAX_BUFFERED_BODY_BYTES} bytes of requests are being read"))]
    TooManyLong,
    #[snafu(display("{source}"))]
    Socket { source: Errno },
}

impl ApiClient {
    /// Bytes of the body that is being read.
    fn buffered_bytes(&self) -> usize {
        self.pending.as_ref().map_or(0, |pending| pending.bytes.len())
    }

    /// Reads the next request's head if none is read yet; false if more has to come for that.
    fn read_head(&mut self, transport: &mut Connection) -> Result<bool, RequestError> {
        if self.pending.is_some() {
            return Ok(true);
        }
        let read = self.head_reader.next(MessageKind::Request, &mut transport.input, MAX_HEAD_BYTES);
        let (head, framing) = match read {
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

    /// Reads on in the body; the request once all of it has come.
    fn read_body(&mut self, transport: &mut Connection) -> Result<Option<CompleteRequest>, RequestError> {
        let Some(pending) = &mut self.pending else { return Ok(None) };
        // One byte more than allowed distinguishes a body that goes on from one that ends at the limit.
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

    /// Drops the request that is being read and whatever still comes of it.
    fn discard_input(&mut self, now: Timestamp) {
        self.closes_after_response = true;
        self.discards_input = true;
        if let Some(pending) = &mut self.pending {
            pending.bytes = Vec::new();
        }
        self.rejected_at = now;
    }
}

/// Whether the next request may be read: none is being executed, and the client takes its responses.
///
/// # Errors
///
/// The socket's, when responses that wait are written.
fn may_read_request(connection: &mut ServerConnection) -> Result<bool, Errno> {
    let is_busy = connection.api_client().is_none_or(|client| client.awaits_response);
    if is_busy || connection.closes_after_flush {
        return Ok(false);
    }
    // Invariant: a client that sends requests and reads no responses must not have them pile up here. Once it reads
    // them, this connection is served again.
    let transport = &mut connection.transport;
    if transport.unsent_bytes() > MAX_UNSENT_RESPONSE_BYTES {
        transport.flush()?;
    }
    Ok(transport.unsent_bytes() <= MAX_UNSENT_RESPONSE_BYTES)
}

impl Server {
    /// Reads and executes a client's requests, one after the other, as far as they have come.
    pub(super) fn read_api_requests(&mut self, now: Timestamp, id: ConnectionId) -> Result<(), CloseReason> {
        loop {
            match self.next_request(id) {
                Ok(Some(request)) => self.run_call(now, id, request.call, request.body),
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
        // Invariant: eight long requests at once would need more memory than a small machine has.
        if request.is_none()
            && client.buffered_bytes() > MIN_BUFFERED_BODY_BYTES
            && self.buffered_body_bytes() > MAX_BUFFERED_BODY_BYTES
        {
            return TooManyLongSnafu.fail();
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
            RequestError::TooManyLong => {
                self.discard_input(id);
                self.respond(id, &HttpResponse::text(503, "too many long calls at once").retry_after(1));
            }
        }
        Ok(())
    }

    /// Rejects a request beyond the limits before anything is made of it.
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
