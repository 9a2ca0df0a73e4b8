//! The state of a client request, from the receipt of its head to its final response.

use crate::attempt::RequestLifecycle;
use crate::ids::{ClientId, UpstreamId};
use kitepass_config::{RequestSafety, Route, RoutingTable, Tenant};
use kitepass_net::http::body::Head;
use kitepass_time::Timestamp;
use smallvec::SmallVec;
use std::sync::Arc;

/// Maximum bytes of a request body that are buffered for a retry. A longer body is streamed, so its request cannot be
/// retried.
pub const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;

/// Header fields of a client request that are not forwarded to a backend. The gateway replaces or consumes them.
const FIELDS_NOT_FORWARDED: [&str; 4] = ["authorization", "x-sender", "x-deliver-to", "x-time-left-ms"];

/// Properties of a request that are known once its head has been read.
#[derive(Debug)]
pub struct RequestInfo {
    /// The connection that the request arrived on.
    pub client: ClientId,
    /// The request's head.
    pub head: Head,
    /// The route that the request matches.
    pub route: Arc<Route>,
    /// The service that receives all attempts, chosen among those of the route.
    pub service: Arc<str>,
    /// The tenant whose quota applies. `None` if no API key is required.
    pub tenant: Option<Arc<Tenant>>,
    /// The routing table that was active when the request arrived. It applies until the request is finished.
    pub routing_table: Arc<RoutingTable>,
    /// When the complete head had been received.
    pub arrived_at: Timestamp,
    /// When the request times out.
    pub deadline: Timestamp,
    /// The length of the body. `None` if the body is chunked.
    pub content_length: Option<u64>,
}

/// A request in progress.
#[derive(Debug)]
pub struct Request {
    /// Properties taken from the head, and the routing table that applies.
    pub info: RequestInfo,
    /// The buffered part of the body, which starts at byte `body_offset` of the whole body.
    pub body: Vec<u8>,
    /// Number of body bytes that have been discarded from the front of the buffer.
    pub body_offset: u64,
    /// Whether the whole body has been received.
    pub is_body_complete: bool,
    /// Backends that were already tried, including those that could not be reached.
    pub tried_backends: SmallVec<[Arc<str>; 2]>,
    /// The connection that carries the current attempt.
    pub upstream: Option<UpstreamId>,
    /// The connections that carry overdue attempts.
    pub overdue_upstreams: SmallVec<[UpstreamId; 1]>,
    /// The state machine of the request.
    pub lifecycle: RequestLifecycle,
    /// Whether the request waits for its tenant's quota to be granted.
    pub awaits_quota: bool,
}

impl Request {
    /// Creates a request of which only the head has been read.
    pub fn new(info: RequestInfo) -> Request {
        let is_idempotent = info.route.safety == RequestSafety::Safe;
        Request {
            lifecycle: RequestLifecycle::new(is_idempotent, info.route.max_attempts),
            info,
            body: Vec::new(),
            body_offset: 0,
            is_body_complete: false,
            tried_backends: SmallVec::new(),
            upstream: None,
            overdue_upstreams: SmallVec::new(),
            awaits_quota: false,
        }
    }

    /// Whether the attempt on a connection is overdue and another one may be made.
    pub fn is_overdue(&self, upstream: UpstreamId) -> bool {
        self.overdue_upstreams.contains(&upstream)
    }

    /// Removes an ended attempt from the attempts in flight.
    pub fn remove_attempt(&mut self, upstream: UpstreamId) {
        if self.upstream == Some(upstream) {
            self.upstream = None;
        }
        self.overdue_upstreams.retain(|overdue| *overdue != upstream);
    }

    /// The id assigned by the client, which the backend must return in its response.
    pub fn id(&self) -> &[u8] {
        self.info.head.field("x-try-id").unwrap_or_default()
    }

    /// Whether an attempt may start: quota has been granted, and the body is either complete or too long to be buffered
    /// in full.
    pub fn is_ready_to_send(&self) -> bool {
        !self.awaits_quota && (self.is_body_complete || self.body.len() >= MAX_BUFFERED_BODY_BYTES)
    }

    /// Appends the request head that is sent to a backend.
    pub fn write_attempt_head(&self, backend_id: &str, time_left_ms: i64, output: &mut Vec<u8>) {
        let head = &self.info.head;
        output.reserve(head.len() + 128);
        for part in [head.start_line_part(0), b" ", head.start_line_part(1), b" HTTP/1.1\r\n"] {
            output.extend_from_slice(part);
        }
        head.append_forwarded_fields(&FIELDS_NOT_FORWARDED, output);
        let framing = self.framing_field();
        let sender = match &self.info.tenant {
            Some(tenant) => format!("X-Sender: {}\r\n", tenant.name),
            None => String::new(),
        };
        let gateway_fields =
            format!("{framing}{sender}X-Time-Left-Ms: {time_left_ms}\r\nX-Deliver-To: {backend_id}\r\n\r\n");
        output.extend_from_slice(gateway_fields.as_bytes());
    }

    /// The header field that frames the body of an attempt. Empty if there is no body.
    fn framing_field(&self) -> String {
        let method = self.info.head.start_line_part(0);
        match self.info.content_length {
            Some(0) if !matches!(method, b"POST" | b"PUT" | b"PATCH") => String::new(),
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if self.is_body_complete => format!("Content-Length: {}\r\n", self.body.len()),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        }
    }

    /// Whether this is a HEAD request, whose response has no body.
    pub fn is_head_request(&self) -> bool {
        self.info.head.start_line_part(0) == b"HEAD"
    }

    /// Whether attempts use chunked transfer encoding for the body.
    pub fn is_sent_chunked(&self) -> bool {
        self.info.content_length.is_none() && !self.is_body_complete
    }
}
