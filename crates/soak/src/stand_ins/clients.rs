//! Clients: each keeps one connection and uses it until the gateway closes it, whatever happens to the gateway meanwhile; then it
//! goes to another gateway.

use super::{response_body, response_marker, StopFlag};
use crate::history::{Event, Micros, Recorder, RequestOutcome, RequestRecord, RouteKind};
use crate::http_stream::{HttpStream, ReadError, RESPONSE_KIND};
use kitepass_net::http::Head;
use oorandom::Rand64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The host of all routes that clients use.
pub const HOST: &str = "soak.example";
/// The key of the tenant without a quota.
pub const UNLIMITED_KEY: &str = "key-of-town";
/// The key of the tenant with a quota.
pub const LIMITED_KEY: &str = "key-of-school";
/// The tenant with a quota, as backends are told of it.
pub const LIMITED_TENANT: &str = "school";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits, as it tells the gateway.
const CLIENT_DEADLINE_MS: u64 = 8_000;
/// A response that is silent for so long does not come any more.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// Bytes of a large body, which is sent in so many pieces.
const UPLOAD_BYTES: usize = 300_000;
const UPLOAD_WRITES: usize = 4;
const STREAM_BYTES: usize = 40_000;
/// After a gateway that cannot be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// The same, for eager clients.
const EAGER_RECONNECT_DELAY: Duration = Duration::from_millis(2);

/// Eager clients come again at once so many times, and then after so many milliseconds.
const MAX_IMMEDIATE_RETRIES: u32 = 500;
const EAGER_RETRY_DELAY_MS: u64 = 3;

/// A gateway that clients may go to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its node id.
    pub node: String,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// What a client is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Requests of all kinds.
    Mixed,
    /// Requests of the tenant with a quota, well above it.
    BeyondQuota,
    /// Requests that show which version of a route is in force, always to the same gateway.
    Version,
    /// Requests to the same gateway that come again at once where the gateway is not there or not ready, so that some wait in its
    /// sockets whenever it becomes ready.
    Eager,
}

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendMode {
    SingleWrite,
    /// The head in two parts, with a pause between them.
    SplitHead,
    /// The body in several pieces, with pauses between them.
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
    /// So many requests in a row were rejected by a gateway that may take them later.
    consecutive_rejections: u32,
    recorder: Arc<Recorder>,
    stop: StopFlag,
}

/// Starts a client; it ends with its present request once it is stopped.
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

    /// Sends a request and reads its response; true if the connection may be used again.
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
        // A response may have come before the request was complete.
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
        // A success that no backend has marked is not the gateway's to give.
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
