//! Clients. Each keeps one connection and uses it until it is closed, whatever happens to the gateway in the meantime, and
//! then connects to a gateway again.

use super::{response_body, response_marker, StopFlag};
use crate::history::{Event, Micros, Recorder, RequestOutcome, RequestRecord, RouteKind};
use crate::http_stream::{HttpStream, ReadError, RESPONSE_KIND};
use kitepass_net::http::Head;
use oorandom::Rand64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The host of all routes.
pub const HOST: &str = "soak.example";
/// The API key of the tenant without a quota.
pub const UNLIMITED_KEY: &str = "key-of-town";
/// The API key of the tenant with a quota.
pub const LIMITED_KEY: &str = "key-of-school";
/// The name of the tenant with a quota, as passed to backends.
pub const LIMITED_TENANT: &str = "school";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit that a client sends in the `X-Time-Left-Ms` field.
const CLIENT_DEADLINE_MS: u64 = 8_000;
/// A request whose response makes no progress for this long counts as timed out.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// Length of a large request body.
const UPLOAD_BYTES: usize = 300_000;
/// Number of writes in which a large request body is sent.
const UPLOAD_WRITES: usize = 4;
/// More than a gateway buffers, so that it sends the start of a response before it has the end.
const STREAM_BYTES: usize = 600_000;
/// Delay before the next connection attempt after one that failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// The same, for eager clients.
const EAGER_RECONNECT_DELAY: Duration = Duration::from_millis(2);

/// An eager client retries without delay until this many requests in a row were rejected.
const MAX_IMMEDIATE_RETRIES: u32 = 500;
/// Delay of an eager client's retries from then on.
const EAGER_RETRY_DELAY_MS: u64 = 3;

/// A gateway that clients can connect to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its node id.
    pub node: String,
    /// Its listen address for requests.
    pub address: SocketAddr,
}

/// The kind of requests that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Requests of all kinds, each connection to a random gateway.
    Mixed,
    /// Requests of the tenant with a quota, at a rate well above it.
    BeyondQuota,
    /// Requests that show which version of a route is in force, always to the same gateway.
    Version,
    /// Requests to the same gateway, retried at once while it is unreachable or not ready, so that some are already queued
    /// in its sockets when it becomes ready.
    Eager,
}

/// How a request is split into writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendMode {
    SingleWrite,
    /// The head in two writes with a delay between them, the body with the second.
    SplitHead,
    /// The head first, then the body in several writes with delays between them.
    SplitBody,
}

struct RequestPlan {
    route: RouteKind,
    send_mode: SendMode,
    request_bytes: usize,
    response_bytes: usize,
    is_streamed: bool,
}

struct Client {
    number: usize,
    workload: Workload,
    targets: Vec<Target>,
    rng: Rand64,
    sent_requests: u64,
    /// Number of consecutive requests that a gateway rejected with status 503.
    consecutive_rejections: u32,
    recorder: Arc<Recorder>,
    stop: StopFlag,
}

/// Starts a client thread, which ends after its current request once `stop` is set.
pub fn start(
    number: usize,
    workload: Workload,
    targets: Vec<Target>,
    seed: u64,
    recorder: Arc<Recorder>,
    stop: StopFlag,
) -> JoinHandle<()> {
    let rng = Rand64::new(u128::from(seed) << 32 | number as u128);
    let mut client = Client {
        number,
        workload,
        targets,
        rng,
        sent_requests: 0,
        consecutive_rejections: 0,
        recorder,
        stop,
    };
    std::thread::spawn(move || client.run())
}

impl Client {
    fn run(&mut self) {
        while !self.stop.is_stopped() {
            let index = match self.workload {
                Workload::Version | Workload::Eager => self.number % self.targets.len(),
                Workload::Mixed | Workload::BeyondQuota => {
                    self.random_below(self.targets.len() as u64) as usize
                }
            };
            let target = self.targets[index].clone();
            match HttpStream::connect(target.address, CONNECT_TIMEOUT) {
                Ok(mut stream) => self.use_connection(&target, &mut stream),
                Err(_) if self.workload == Workload::Eager => std::thread::sleep(EAGER_RECONNECT_DELAY),
                Err(_) => std::thread::sleep(RECONNECT_DELAY),
            }
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    /// Sends one request after the other until the connection is closed.
    fn use_connection(&mut self, target: &Target, stream: &mut HttpStream) {
        let connected_at = self.recorder.now();
        while !self.stop.is_stopped() {
            self.wait_before_request();
            let plan = self.plan_request();
            if !self.request(target, stream, connected_at, &plan) {
                return;
            }
        }
    }

    fn wait_before_request(&mut self) {
        let millis = match (self.workload, self.random_below(12)) {
            (Workload::Eager, _) if (1..MAX_IMMEDIATE_RETRIES).contains(&self.consecutive_rejections) => {
                return
            }
            (Workload::Eager, _) if self.consecutive_rejections > 0 => EAGER_RETRY_DELAY_MS,
            (Workload::BeyondQuota, _) => self.random_below(30),
            (Workload::Mixed, 0) => 500 + self.random_below(2_500),
            _ => self.random_below(120),
        };
        std::thread::sleep(Duration::from_millis(millis));
    }

    fn plan_request(&mut self) -> RequestPlan {
        let base = |route| RequestPlan {
            route,
            send_mode: SendMode::SingleWrite,
            request_bytes: 0,
            response_bytes: 500,
            is_streamed: false,
        };
        match self.workload {
            Workload::BeyondQuota => return base(RouteKind::Limited),
            Workload::Version => return base(RouteKind::Version),
            Workload::Eager => return base(RouteKind::Safe),
            Workload::Mixed => {}
        }
        match self.random_below(10) {
            0 => RequestPlan { send_mode: SendMode::SplitHead, ..base(RouteKind::Safe) },
            1 => RequestPlan {
                send_mode: SendMode::SplitBody,
                request_bytes: UPLOAD_BYTES,
                ..base(RouteKind::Once)
            },
            2 => RequestPlan { response_bytes: STREAM_BYTES, is_streamed: true, ..base(RouteKind::Safe) },
            3..=5 => RequestPlan { request_bytes: 300, ..base(RouteKind::Once) },
            _ => base(RouteKind::Safe),
        }
    }

    /// Sends a request and reads its response; returns whether the connection can be used again.
    fn request(
        &mut self,
        target: &Target,
        stream: &mut HttpStream,
        connected_at: Micros,
        plan: &RequestPlan,
    ) -> bool {
        self.sent_requests += 1;
        let id = format!("c{}-{}", self.number, self.sent_requests);
        let head = head(&id, plan);
        let sent_at = self.recorder.now();
        let complete_at = self.send(stream, head.as_bytes(), plan).ok().map(|()| self.recorder.now());
        // Reads also after a failed write: the gateway may have responded before the request was complete.
        let read = stream.read_message(RESPONSE_KIND, RESPONSE_TIMEOUT);
        let is_reusable = complete_at.is_some() && read.as_ref().is_ok_and(|(head, _)| head.is_persistent());
        let outcome = match read {
            Ok((head, body)) => classify_response(&id, plan, &head, &body),
            Err(ReadError::Closed) => RequestOutcome::Broken,
            Err(ReadError::Malformed) => RequestOutcome::Malformed,
            Err(ReadError::TimedOut) => RequestOutcome::TimedOut,
        };
        let is_rejected =
            matches!(outcome, RequestOutcome::Response { status: 503, is_gateways_own: true, .. });
        self.consecutive_rejections = if is_rejected { self.consecutive_rejections + 1 } else { 0 };
        let node = target.node.clone();
        let record =
            RequestRecord { id, node, route: plan.route, connected_at, sent_at, complete_at, outcome };
        self.recorder.record(Event::Request(record));
        is_reusable
    }

    fn send(&mut self, stream: &mut HttpStream, head: &[u8], plan: &RequestPlan) -> std::io::Result<()> {
        let body = vec![b'u'; plan.request_bytes];
        match plan.send_mode {
            SendMode::SingleWrite => stream.send(&[head, &body].concat()),
            SendMode::SplitHead => {
                let middle = head.len() / 2;
                stream.send(&head[..middle])?;
                std::thread::sleep(Duration::from_millis(100 + self.random_below(600)));
                stream.send(&[&head[middle..], &body].concat())
            }
            SendMode::SplitBody => {
                stream.send(head)?;
                for piece in body.chunks(body.len().div_ceil(UPLOAD_WRITES)) {
                    std::thread::sleep(Duration::from_millis(self.random_below(150)));
                    stream.send(piece)?;
                }
                Ok(())
            }
        }
    }
}

fn head(id: &str, plan: &RequestPlan) -> String {
    let (method, prefix, key) = match plan.route {
        RouteKind::Safe => ("GET", "safe", UNLIMITED_KEY),
        RouteKind::Once => ("POST", "once", UNLIMITED_KEY),
        RouteKind::Version => ("GET", "version", UNLIMITED_KEY),
        RouteKind::Limited => ("GET", "safe", LIMITED_KEY),
    };
    let streamed = if plan.is_streamed { "/streamed" } else { "" };
    let length = match plan.request_bytes {
        0 => String::new(),
        bytes => format!("Content-Length: {bytes}\r\n"),
    };
    format!(
        "{method} /{prefix}/{}/{}{streamed} HTTP/1.1\r\nHost: {HOST}\r\nX-Try-Id: {id}\r\n\
         X-Time-Left-Ms: {CLIENT_DEADLINE_MS}\r\nAuthorization: Bearer {key}\r\n{length}\r\n",
        plan.request_bytes, plan.response_bytes
    )
}

fn classify_response(id: &str, plan: &RequestPlan, head: &Head, body: &[u8]) -> RequestOutcome {
    let status = head.status();
    let Some(marker) = head.field("x-postmark") else {
        // A gateway never generates a success itself, so one without a backend's marker is not intact.
        let is_intact = !(200..300).contains(&status);
        return RequestOutcome::Response { status, is_gateways_own: true, is_intact, service: None };
    };
    let end = body.iter().position(|byte| *byte == b':');
    let service = end.map(|end| String::from_utf8_lossy(&body[..end]).into_owned());
    let expected = service.as_deref().map(|service| response_body(service, id, plan.response_bytes));
    let is_body_intact = status != 200 || expected.as_deref() == Some(body);
    let is_matching_id =
        marker == response_marker(id).as_bytes() && head.field("x-try-id") == Some(id.as_bytes());
    RequestOutcome::Response {
        status,
        is_gateways_own: false,
        is_intact: is_body_intact && is_matching_id,
        service,
    }
}
