//! Client of the platform: the active coordinator polls its list of backends, page by page, on a persistent connection.

use super::connections::{CloseReason, ConnectionId, Role, ServerConnection};
use super::Server;
use crate::endpoints::{self, Endpoint};
use kitepass_net::connection::error_label;
use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, ParseError};
use kitepass_time::{Duration, Timestamp};
use log::warn;

/// Minimum interval between the starts of two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_micros(700_000);
/// Time allowed for one page.
pub(super) const PAGE_TIMEOUT: Duration = Duration::from_micros(1_000_000);
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of one page.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// A poll of the list in progress, with the endpoints read so far.
struct ListPoll {
    endpoints: Vec<Endpoint>,
    started: Timestamp,
}

/// State of polling the platform's list.
#[derive(Default)]
pub(super) struct PlatformClient {
    connection: Option<ConnectionId>,
    poll: Option<ListPoll>,
    last_poll_started: Timestamp,
}

impl PlatformClient {
    /// Handles the loss of the connection, which aborts the current poll.
    pub(super) fn forget_connection(&mut self) {
        self.connection = None;
        self.poll = None;
    }

    /// Returns when the current poll was started.
    pub(super) fn poll_started(&self) -> Option<Timestamp> {
        self.poll.as_ref().map(|poll| poll.started)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.poll.is_none() && now - self.last_poll_started >= POLL_INTERVAL
    }
}

/// Reads the platform's responses from a connection, in order.
#[derive(Default)]
pub(super) struct ResponseReader {
    head_reader: HeadReader,
    /// The body being read, and the status of its response.
    in_progress: Option<(Body, u16)>,
    bytes: Vec<u8>,
}

struct PlatformResponse {
    status: u16,
    body: Vec<u8>,
}

impl ResponseReader {
    /// Returns the next response once it is complete. `is_eof` means that no input follows `input`.
    ///
    /// # Errors
    ///
    /// Fails if the input is not HTTP. A body longer than [`MAX_PAGE_BYTES`] is never completed, so its poll times out.
    fn next(&mut self, input: &mut Vec<u8>, is_eof: bool) -> Result<Option<PlatformResponse>, ParseError> {
        if self.in_progress.is_none() {
            let kind = MessageKind::Response { to_head: false };
            let Some((head, framing)) = self.head_reader.next(kind, input, MAX_HEAD_BYTES)? else {
                return Ok(None);
            };
            self.in_progress = Some((Body::new(framing), head.status()));
            self.bytes.clear();
        }
        let Some((body, status)) = &mut self.in_progress else { return Ok(None) };
        let capacity = MAX_PAGE_BYTES - self.bytes.len().min(MAX_PAGE_BYTES);
        let is_complete =
            body.read(input, &mut self.bytes, capacity)? || is_eof && body.finish_at_eof().is_ok();
        if !is_complete {
            return Ok(None);
        }
        let response = PlatformResponse { status: *status, body: std::mem::take(&mut self.bytes) };
        self.in_progress = None;
        Ok(Some(response))
    }
}

impl Server {
    /// Starts a poll of the list if this process is the active coordinator and a poll is due.
    pub(super) fn poll_platform(&mut self, now: Timestamp) {
        if self.state_machine.active_term(now).is_none() || !self.platform.is_due(now) {
            return;
        }
        let Some(address) = self.settings.platform.as_ref().map(|platform| platform.address) else { return };
        self.platform.last_poll_started = now;
        self.platform.poll = Some(ListPoll { endpoints: Vec::new(), started: now });
        if self.platform.connection.is_none() {
            let role = Role::Platform(ResponseReader::default());
            match self.connections.open(&self.poller, &address, role, now) {
                Ok(id) => self.platform.connection = Some(id),
                Err(error) => {
                    self.platform.poll = None;
                    return warn!("event=platform-connect-failed why={}", error_label(error));
                }
            }
        }
        self.request_page(None);
    }

    /// Requests the first page, or the page identified by `page_token`.
    fn request_page(&mut self, page_token: Option<&str>) {
        let Some((id, platform)) = self.platform.connection.zip(self.settings.platform.as_ref()) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(id) else { return };
        let query = page_token.map(|token| format!("?page-token={token}")).unwrap_or_default();
        let request = format!("GET /backends{query} HTTP/1.1\r\nHost: {}\r\n\r\n", platform.address);
        connection.transport.output.extend_from_slice(request.as_bytes());
        self.flush(id);
    }

    /// Reads a page from the platform's connection, and handles it once it is complete.
    pub(super) fn read_platform_response(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        is_eof: bool,
    ) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        let ServerConnection { transport, role: Role::Platform(reader), .. } = connection else {
            return Ok(());
        };
        if self.platform.poll.is_none() && !transport.input.is_empty() {
            // Invariant: an unrequested response must not be taken for the first page of the next poll.
            return Err(CloseReason::Unrequested);
        }
        let response = reader.next(&mut transport.input, is_eof).map_err(|_| CloseReason::Malformed)?;
        if let Some(response) = response {
            self.handle_page(now, &response);
        }
        Ok(())
    }

    fn handle_page(&mut self, now: Timestamp, response: &PlatformResponse) {
        let page = endpoints::parse_page(&response.body).filter(|_| response.status == 200);
        let Some(page) = page else {
            let PlatformResponse { status, body } = response;
            warn!("event=endpoint-list-rejected status={status} bytes={}", body.len());
            self.platform.poll = None; // an incomplete list must not be used
            return;
        };
        let Some(mut poll) = self.platform.poll.take() else { return };
        poll.endpoints.extend(page.endpoints);
        match page.next_token {
            Some(token) => {
                self.platform.poll = Some(poll);
                self.request_page(Some(&token));
            }
            None => self.state_machine.endpoints_listed(now, poll.endpoints),
        }
    }
}
