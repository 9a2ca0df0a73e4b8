//! A request, from its intake to its final answer.

use kitepass::Moment;
use kitepass_strand::flow::Head;
use kitepass_tenet::{Mail, Route, Tenant, View};
use smallvec::SmallVec;
use std::sync::Arc;

/// So much of a body is kept for a further leg. A longer one passes through as it comes, and has one leg.
pub const WINDOW: usize = 256 * 1024;

/// A request's states. [`Job::shift`] alone changes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its body is on the way, or it waits for a leg.
    Held,
    /// A leg is out.
    Out,
    /// The head of its answer has gone to the client; the rest follows as it comes.
    Answering,
}

#[derive(Debug)]
pub struct Job {
    pub client: u64,
    pub head: Head,
    pub route: Arc<Route>,
    pub line: Arc<str>,
    pub tenant: Option<Arc<Tenant>>,
    /// The view under which it came: it holds for the request from start to end.
    pub view: Arc<View>,
    /// What has come of the body and may still be needed, from byte `base` on.
    pub body: Vec<u8>,
    pub base: u64,
    pub whole: bool,
    pub length: Option<u64>,
    pub came: Moment,
    pub until: Moment,
    /// Backends that had a leg.
    pub had: SmallVec<[Arc<str>; 2]>,
    /// The connection that its leg is on.
    pub leg: Option<u64>,
    /// Legs whose first byte may have reached a backend.
    pub sent: u32,
    /// A leg ended that may have run.
    pub ran: bool,
    /// It waits for a grant of its tenant's quota.
    pub waits: bool,
    state: State,
}

impl Job {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        client: u64,
        head: Head,
        route: Arc<Route>,
        line: Arc<str>,
        tenant: Option<Arc<Tenant>>,
        view: Arc<View>,
        came: Moment,
        until: Moment,
        length: Option<u64>,
    ) -> Job {
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
            sent: 0,
            ran: false,
            waits: false,
            state: State::Held,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn shift(&mut self, to: State) {
        debug_assert!(self.state != State::Answering, "an answer has begun: nothing else may follow");
        self.state = to;
    }

    pub fn id(&self) -> &[u8] {
        self.head.field("x-try-id").unwrap_or_default()
    }

    /// Whether another leg may go as far as running twice is concerned.
    pub fn may_go(&self) -> bool {
        !self.ran || self.route.mail == Mail::Safe
    }

    /// Whether all of the body is still here.
    pub fn is_kept(&self) -> bool {
        self.base == 0
    }

    /// Whether a leg may begin: it is in its quota, and the body is whole, or too long to be kept.
    pub fn is_due(&self) -> bool {
        !self.waits && (self.whole || self.body.len() >= WINDOW)
    }

    /// What a leg begins with.
    pub fn leg_head(&self, call_sign: &str, left_ms: i64) -> Vec<u8> {
        const LESS: [&str; 4] = ["authorization", "x-sender", "x-deliver-to", "x-time-left-ms"];
        let mut bytes = Vec::with_capacity(self.head.len() + 128);
        for part in [self.head.start(0), b" ", self.head.start(1), b" HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part);
        }
        self.head.pass_on(&LESS, &mut bytes);
        let framing = match self.length {
            Some(0) if !matches!(self.head.start(0), b"POST" | b"PUT" | b"PATCH") => String::new(),
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if self.whole => format!("Content-Length: {}\r\n", self.body.len()),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        let sender = self.tenant.as_ref().map(|t| format!("X-Sender: {}\r\n", t.name)).unwrap_or_default();
        let rest = format!("{framing}{sender}X-Time-Left-Ms: {left_ms}\r\nX-Deliver-To: {call_sign}\r\n\r\n");
        bytes.extend_from_slice(rest.as_bytes());
        bytes
    }

    /// Whether a leg sends its body in chunks.
    pub fn is_chunked(&self) -> bool {
        self.length.is_none() && !self.whole
    }
}
