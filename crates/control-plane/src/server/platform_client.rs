//! Client of the platform: the active coordinator reads its list of backends, page by page, over one kept connection.

use super::connections::{CloseReason, ConnectionId, Role, ServerConnection};
use super::Server;
use crate::endpoints::{self, Endpoint};
use kitepass_net::connection::error_label;
use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, ParseError};
use kitepass_time::{Duration, Timestamp};
use log::warn;

/// Time between the starts of two readings of the list.
const READING_INTERVAL: Duration = Duration::from_micros(700_000);
/// The longest that one page may take.
pub(super) const PAGE_TIMEOUT: Duration = Duration::from_micros(1_000_000);
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes of one page.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// A reading of the list under way.
struct ListReading {
    endpoints: Vec<Endpoint>,
    started: Timestamp,
}

/// Where this process stands with the platform's list.
#[derive(Default)]
pub(super) struct PlatformClient {
    connection: Option<ConnectionId>,
    reading: Option<ListReading>,
    last_started: Timestamp,
}

impl PlatformClient {
    /// The connection is closed, and with it ends the reading.
    pub(super) fn forget_connection(&mut self) {
        self.connection = None;
        self.reading = None;
    }

    /// When the reading that is under way was started.
    pub(super) fn reading_started(&self) -> Option<Timestamp> {
        self.reading.as_ref().map(|reading| reading.started)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.reading.is_none() && now - self.last_started >= READING_INTERVAL
    }
}

/// Reads the platform's responses off a connection, one after the other.
#[derive(Default)]
pub(super) struct ResponseReader {
    head_reader: HeadReader,
    /// The body that is being read, and the status of its response.
    begun: Option<(Body, u16)>,
    bytes: Vec<u8>,
}

struct PlatformResponse {
    status: u16,
    body: Vec<u8>,
}

impl ResponseReader {
    /// The next response, once all of it has come. `has_ended` tells that nothing follows what is in `input`.
    ///
    /// # Errors
    ///
    /// What came is not HTTP, or the body is longer than [`MAX_PAGE_BYTES`].
    fn next(&mut self, input: &mut Vec<u8>, has_ended: bool) -> Result<Option<PlatformResponse>, ParseError> {
        if self.begun.is_none() {
            let kind = MessageKind::Response { to_head: false };
            let Some((head, framing)) = self.head_reader.next(kind, input, MAX_HEAD_BYTES)? else {
                return Ok(None);
            };
            self.begun = Some((Body::new(framing), head.status()));
            self.bytes.clear();
        }
        let Some((body, status)) = &mut self.begun else { return Ok(None) };
        let capacity = MAX_PAGE_BYTES - self.bytes.len().min(MAX_PAGE_BYTES);
        let is_complete =
            body.read(input, &mut self.bytes, capacity)? || has_ended && body.finish_at_eof().is_ok();
        if !is_complete {
            return Ok(None);
        }
        let response = PlatformResponse { status: *status, body: std::mem::take(&mut self.bytes) };
        self.begun = None;
        Ok(Some(response))
    }
}

impl Server {
    /// Starts a reading of the list, if this process is the active coordinator and one is due.
    pub(super) fn poll_platform(&mut self, now: Timestamp) {
        if self.state_machine.active_term(now).is_none() || !self.platform.is_due(now) {
            return;
        }
        let Some(address) = self.settings.platform.as_ref().map(|platform| platform.address) else { return };
        self.platform.last_started = now;
        self.platform.reading = Some(ListReading { endpoints: Vec::new(), started: now });
        if self.platform.connection.is_none() {
            let role = Role::Platform(ResponseReader::default());
            match self.connections.open(&self.poller, &address, role, now) {
                Ok(id) => self.platform.connection = Some(id),
                Err(error) => {
                    self.platform.reading = None;
                    return warn!("event=platform-connect-failed why={}", error_label(error));
                }
            }
        }
        self.request_page(None);
    }

    /// Requests the first page, or the one that a page token names.
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

    /// Takes a page off the platform's connection, once all of it has come.
    pub(super) fn read_platform_response(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        has_ended: bool,
    ) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        let ServerConnection { transport, role: Role::Platform(reader), .. } = connection else {
            return Ok(());
        };
        if self.platform.reading.is_none() && !transport.input.is_empty() {
            // Invariant: what comes unrequested must not be taken for the next reading's first page.
            return Err(CloseReason::Unrequested);
        }
        let response = reader.next(&mut transport.input, has_ended).map_err(|_| CloseReason::Malformed)?;
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
            self.platform.reading = None; // nothing follows from a part of the list
            return;
        };
        let Some(mut reading) = self.platform.reading.take() else { return };
        reading.endpoints.extend(page.endpoints);
        match page.next_token {
            Some(token) => {
                self.platform.reading = Some(reading);
                self.request_page(Some(&token));
            }
            None => self.state_machine.endpoints_listed(now, reading.endpoints),
        }
    }
}
