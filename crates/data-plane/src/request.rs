//! A client's request, from the arrival of its head to its final response.

use crate::attempt::RequestLifecycle;
use crate::ids::{ClientId, UpstreamId};
use kitepass_config::{RequestSafety, Route, RoutingTable, Tenant};
use kitepass_net::http::body::Head;
use kitepass_time::Timestamp;
use smallvec::SmallVec;
use std::sync::Arc;

/// Bytes of a body that are buffered for a retry. A longer body is streamed, and its request has one attempt.
pub const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;

/// Header fields of a client that are not forwarded to a backend: the gateway writes its own, or keeps them.
const FIELDS_NOT_FORWARDED: [&str; 4] = ["authorization", "x-sender", "x-deliver-to", "x-time-left-ms"];

/// What is known of a request when its head has been read.
#[derive(Debug)]
pub struct RequestInfo {
    /// The connection of the client.
    pub client: ClientId,
    /// The request's head.
    pub head: Head,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service, one of the route's, that its attempts go to.
    pub service: Arc<str>,
    /// Whose quota it counts against, if the route asks for a key.
    pub tenant: Option<Arc<Tenant>>,
    /// The configuration under which it came; it holds for the request from start to end.
    pub routing_table: Arc<RoutingTable>,
    /// When its head was complete.
    pub arrived_at: Timestamp,
    /// When it is given up.
    pub deadline: Timestamp,
    /// The length of its body, unless it comes in chunks.
    pub content_length: Option<u64>,
}

/// A request.
#[derive(Debug)]
pub struct Request {
    /// What its head says, and the configuration that it came under.
    pub info: RequestInfo,
    /// Bytes of the body that were received and may still be needed, from byte `body_offset` on.
    pub body: Vec<u8>,
    /// Bytes of the body that have been dropped from the buffer.
    pub body_offset: u64,
    /// Whether all of the body has been received.
    pub is_body_complete: bool,
    /// Backends that had an attempt.
    pub tried_backends: SmallVec<[Arc<str>; 2]>,
    /// The connection that its attempt is on.
    pub upstream: Option<UpstreamId>,
    /// Its state, and what may follow.
    pub lifecycle: RequestLifecycle,
    /// Whether it waits for a grant of its tenant's quota.
    pub awaits_quota: bool,
}

impl Request {
    /// A request of which nothing but the head has been read.
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
            awaits_quota: false,
        }
    }

    /// The id that the client gave it, which a backend repeats in its response.
    pub fn id(&self) -> &[u8] {
        self.info.head.field("x-try-id").unwrap_or_default()
    }

    /// Whether an attempt may begin: the request is within its quota, and its body is complete, or too long to be
    /// buffered.
    pub fn is_ready_to_send(&self) -> bool {
        !self.awaits_quota && (self.is_body_complete || self.body.len() >= MAX_BUFFERED_BODY_BYTES)
    }

    /// Appends the head that an attempt at a backend begins with.
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
        let own_fields =
            format!("{framing}{sender}X-Time-Left-Ms: {time_left_ms}\r\nX-Deliver-To: {backend_id}\r\n\r\n");
        output.extend_from_slice(own_fields.as_bytes());
    }

    /// The field that says where an attempt's body ends; empty where there is no body.
    fn framing_field(&self) -> String {
        let method = self.info.head.start_line_part(0);
        match self.info.content_length {
            Some(0) if !matches!(method, b"POST" | b"PUT" | b"PATCH") => String::new(),
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if self.is_body_complete => format!("Content-Length: {}\r\n", self.body.len()),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        }
    }

    /// Whether it is a HEAD request, whose response has no body.
    pub fn is_head_request(&self) -> bool {
        self.info.head.start_line_part(0) == b"HEAD"
    }

    /// Whether an attempt sends its body in chunks.
    pub fn is_sent_chunked(&self) -> bool {
        self.info.content_length.is_none() && !self.is_body_complete
    }
}
