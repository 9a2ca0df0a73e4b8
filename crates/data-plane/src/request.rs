//! A request, from its intake to its final answer.

use crate::attempt::Way;
use kitepass_config::{RequestSafety, Route, RoutingTable, Tenant};
use kitepass_net::http::body::Head;
use kitepass_time::Timestamp;
use smallvec::SmallVec;
use std::sync::Arc;

/// So much of a body is kept for a further leg. A longer one passes through as it comes, and has one leg.
pub const WINDOW: usize = 256 * 1024;

#[derive(Debug)]
pub struct Job {
    pub client: u64,
    pub head: Head,
    pub route: Arc<Route>,
    pub line: Arc<str>,
    pub tenant: Option<Arc<Tenant>>,
    /// The view under which it came: it holds for the request from start to end.
    pub view: Arc<RoutingTable>,
    /// What has come of the body and may still be needed, from byte `base` on.
    pub body: Vec<u8>,
    pub base: u64,
    pub whole: bool,
    pub length: Option<u64>,
    pub came: Timestamp,
    pub until: Timestamp,
    /// Backends that had a leg.
    pub had: SmallVec<[Arc<str>; 2]>,
    /// The connection that its leg is on.
    pub leg: Option<u64>,
    /// Where it stands, and what may follow.
    pub way: Way,
    /// It waits for a grant of its tenant's quota.
    pub waits: bool,
}

impl Job {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        client: u64,
        head: Head,
        route: Arc<Route>,
        line: Arc<str>,
        tenant: Option<Arc<Tenant>>,
        view: Arc<RoutingTable>,
        came: Timestamp,
        until: Timestamp,
        length: Option<u64>,
    ) -> Job {
        let way = Way::new(route.safety == RequestSafety::Safe, route.max_attempts);
        Job {
            client,
            head,
            route,
            line,
            tenant,
            view,
            body: Vec::new(),
            base: 0,
            whole: false,
            length,
            came,
            until,
            had: SmallVec::new(),
            leg: None,
            way,
            waits: false,
        }
    }

    pub fn id(&self) -> &[u8] {
        self.head.field("x-try-id").unwrap_or_default()
    }

    /// Whether a leg may begin: it is in its quota, and the body is whole, or too long to be kept.
    pub fn is_due(&self) -> bool {
        !self.waits && (self.whole || self.body.len() >= WINDOW)
    }

    /// What a leg begins with.
    pub fn leg_head(&self, call_sign: &str, left_ms: i64, bytes: &mut Vec<u8>) {
        const LESS: [&str; 4] = ["authorization", "x-sender", "x-deliver-to", "x-time-left-ms"];
        bytes.reserve(self.head.len() + 128);
        for part in [self.head.start(0), b" ", self.head.start(1), b" HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part);
        }
        self.head.pass_on(&LESS, bytes);
        let framing = match self.length {
            Some(0) if !matches!(self.head.start(0), b"POST" | b"PUT" | b"PATCH") => String::new(),
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if self.whole => format!("Content-Length: {}\r\n", self.body.len()),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        let sender = self.tenant.as_ref().map(|t| format!("X-Sender: {}\r\n", t.name)).unwrap_or_default();
        let rest = format!("{framing}{sender}X-Time-Left-Ms: {left_ms}\r\nX-Deliver-To: {call_sign}\r\n\r\n");
        bytes.extend_from_slice(rest.as_bytes());
    }

    pub fn is_to_head(&self) -> bool {
        self.head.start(0) == b"HEAD"
    }

    pub fn is_safe(&self) -> bool {
        self.route.safety == RequestSafety::Safe
    }

    /// Whether a leg sends its body in chunks.
    pub fn is_chunked(&self) -> bool {
        self.length.is_none() && !self.whole
    }
}
