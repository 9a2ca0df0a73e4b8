//! Client of the platform: the active coordinator polls its list of backends, page by page. The connection is kept if the
//! platform keeps it; otherwise the poll continues on another one, at the page that it has reached.

use super::connections::{CloseReason, ConnectionId, Role, ServerConnection};
use super::Server;
use crate::endpoints::{self, Endpoint};
use kitepass_net::connection::error_label;
use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, ParseError};
use kitepass_net::Errno;
use kitepass_time::{Duration, Timestamp};
use log::warn;

/// Minimum interval between the starts of two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_micros(700_000);
/// Time allowed for a poll.
const POLL_TIMEOUT: Duration = Duration::from_micros(3_000_000);
/// How often a page is requested if its connection is lost before the page is complete.
const MAX_PAGE_REQUESTS: u32 = 3;
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of one page.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// A poll of the list in progress, with the endpoints read so far.
struct ListPoll {
    endpoints: Vec<Endpoint>,
    started: Timestamp,
    /// Identifies the page that is being read. `None` for the first one.
    page_token: Option<String>,
    /// How often this page has been requested.
    page_requests: u32,
}

impl ListPoll {
    fn new(started: Timestamp) -> ListPoll {
        ListPoll { endpoints: Vec::new(), started, page_token: None, page_requests: 0 }
    }

    /// Returns whether the current page may be requested again after the loss of its connection for this reason.
    fn may_request_again(&self, now: Timestamp, reason: CloseReason) -> bool {
        matches!(reason, CloseReason::Closed | CloseReason::Socket(_))
            && self.page_requests < MAX_PAGE_REQUESTS
            && now - self.started <= POLL_TIMEOUT
    }
}

/// State of polling the platform's list.
#[derive(Default)]
pub(super) struct PlatformClient {
    connection: Option<ConnectionId>,
    poll: Option<ListPoll>,
    last_poll_started: Timestamp,
}

impl PlatformClient {
    /// Returns whether the current poll takes too long.
    pub(super) fn has_poll_timed_out(&self, now: Timestamp) -> bool {
        self.poll.as_ref().is_some_and(|poll| now - poll.started > POLL_TIMEOUT)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.poll.is_none() && now - self.last_poll_started >= POLL_INTERVAL
    }
}

/// Reads the platform's responses from a connection, in order.
#[derive(Default)]
pub(super) struct ResponseReader {
    head_reader: HeadReader,
    /// The head of the response whose body is being read.
    in_progress: Option<(Body, ResponseHead)>,
    bytes: Vec<u8>,
}

#[derive(Clone, Copy)]
struct ResponseHead {
    status: u16,
    /// Whether another request may follow on the connection.
    is_persistent: bool,
}

struct PlatformResponse {
    head: ResponseHead,
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
            let head = ResponseHead { status: head.status(), is_persistent: head.is_persistent() };
            self.in_progress = Some((Body::new(framing), head));
            self.bytes.clear();
        }
        let Some((body, head)) = &mut self.in_progress else { return Ok(None) };
        let capacity = MAX_PAGE_BYTES - self.bytes.len().min(MAX_PAGE_BYTES);
        let is_complete =
            body.read(input, &mut self.bytes, capacity)? || is_eof && body.finish_at_eof().is_ok();
        if !is_complete {
            return Ok(None);
        }
        let head = ResponseHead { is_persistent: head.is_persistent && !is_eof, ..*head };
        let response = PlatformResponse { head, body: std::mem::take(&mut self.bytes) };
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
        if self.settings.platform.is_none() {
            return;
        }
        self.platform.last_poll_started = now;
        self.platform.poll = Some(ListPoll::new(now));
        self.request_page(now);
    }

    /// Requests the current page of the poll. Without a connection the poll is aborted.
    fn request_page(&mut self, now: Timestamp) {
        let Some(mut poll) = self.platform.poll.take() else { return };
        let Some(id) = self.connect_to_platform(now) else { return };
        let Some((connection, platform)) = self.connections.get_mut(id).zip(self.settings.platform.as_ref())
        else {
            return;
        };
        let query = poll.page_token.as_ref().map(|token| format!("?page-token={token}")).unwrap_or_default();
        let request = format!("GET /backends{query} HTTP/1.1\r\nHost: {}\r\n\r\n", platform.address);
        connection.transport.output.extend_from_slice(request.as_bytes());
        poll.page_requests += 1;
        self.platform.poll = Some(poll);
        self.flush(id);
    }

    /// Returns the connection to the platform, which is opened if there is none.
    fn connect_to_platform(&mut self, now: Timestamp) -> Option<ConnectionId> {
        if self.platform.connection.is_none() {
            let address = self.settings.platform.as_ref()?.address;
            let role = Role::Platform(ResponseReader::default());
            let opened = self.connections.open(&self.poller, &address, role, now);
            let failed = |error: &Errno| warn!("event=platform-connect-failed why={}", error_label(*error));
            self.platform.connection = opened.inspect_err(failed).ok();
        }
        self.platform.connection
    }

    /// Continues the poll on another connection after the loss of this one, or aborts the poll.
    pub(super) fn platform_connection_lost(&mut self, now: Timestamp, id: ConnectionId, reason: CloseReason) {
        if self.platform.connection != Some(id) {
            return; // it was closed after its last response
        }
        self.platform.connection = None;
        let Some(poll) = &self.platform.poll else { return };
        if poll.may_request_again(now, reason) {
            return self.request_page(now);
        }
        warn!("event=endpoint-list-interrupted why={} page-requests={}", reason.name(), poll.page_requests);
        self.platform.poll = None; // an incomplete list must not be used
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
        if !response.head.is_persistent {
            let connection = self.platform.connection.take();
            connection.into_iter().for_each(|id| self.close(id, CloseReason::Completed));
        }
        let page = endpoints::parse_page(&response.body).filter(|_| response.head.status == 200);
        let Some(page) = page else {
            let PlatformResponse { head, body } = response;
            warn!("event=endpoint-list-rejected status={} bytes={}", head.status, body.len());
            self.platform.poll = None; // an incomplete list must not be used
            return;
        };
        let Some(mut poll) = self.platform.poll.take() else { return };
        poll.endpoints.extend(page.endpoints);
        if page.next_token.is_none() {
            return self.state_machine.endpoints_listed(now, poll.endpoints);
        }
        self.platform.poll = Some(ListPoll { page_token: page.next_token, page_requests: 0, ..poll });
        self.request_page(now);
    }
}
