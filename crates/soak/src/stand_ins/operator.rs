//! The operator. It sends changes to any control-plane process, follows redirects, and retries a change unmodified until it
//! is acknowledged or rejected.

use super::clients::{HOST, LIMITED_KEY, LIMITED_TENANT, UNLIMITED_KEY};
use super::StopFlag;
use crate::history::{ChangeRecord, Event, ReadRecord, Recorder};
use crate::http_stream::{HttpStream, RESPONSE_KIND};
use crate::topology::ZONES;
use oorandom::Rand64;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of services that the version route forwards to in turn.
pub const VERSION_SERVICES: u64 = 8;
/// Quota of the limited tenant, in requests per second.
pub const LIMITED_RATE: u32 = 20;
/// Burst that the limited tenant may send in addition, in requests.
pub const LIMITED_BURST: u32 = 20;
/// The name of the route whose version clients can observe.
pub const VERSION_ROUTE: &str = "version";
/// Number of routes in a large change.
const LARGE_CHANGE_ROUTES: usize = 400;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a response; without one, the change is sent again, to a control-plane process chosen at random.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_REDIRECTS: usize = 2;
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// A change is abandoned after this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// One in this many requests loses its response: the operator closes the connection before it arrives.
const REQUESTS_PER_DROPPED_RESPONSE: u64 = 8;

/// The operator API of a control-plane process.
#[derive(Clone, Debug)]
pub struct ControlEndpoint {
    /// Its node id.
    pub node: String,
    /// Its listen address for operators.
    pub address: SocketAddr,
}

/// The operator. May be used by several threads at once.
pub struct Operator {
    endpoints: Vec<ControlEndpoint>,
    next_version: AtomicU64,
    rng: Mutex<Rand64>,
    acknowledged: AtomicU64,
    recorder: Arc<Recorder>,
    stop: StopFlag,
}

/// A request, and the record of the change that it makes.
struct ChangeRequest {
    path: String,
    body: String,
    change: ChangeRecord,
}

/// The response of a control-plane process.
struct Response {
    status: u16,
    location: Option<SocketAddr>,
    body: Vec<u8>,
}

/// The service that this version of the version route forwards to.
fn version_service(version: u64) -> String {
    format!("version-{}", version % VERSION_SERVICES)
}

/// The names of all services that routes forward to.
pub fn services() -> Vec<String> {
    let versions = (0..VERSION_SERVICES).map(version_service);
    ["books".to_owned(), "loans".to_owned()].into_iter().chain(versions).collect()
}

impl Operator {
    /// Creates an operator that uses these control-plane processes.
    pub fn new(
        endpoints: Vec<ControlEndpoint>,
        seed: u64,
        recorder: Arc<Recorder>,
        stop: StopFlag,
    ) -> Operator {
        let rng = Mutex::new(Rand64::new(u128::from(seed) ^ 0x0b5e));
        Operator {
            endpoints,
            next_version: AtomicU64::new(2),
            rng,
            acknowledged: AtomicU64::new(0),
            recorder,
            stop,
        }
    }

    fn random_below(&self, bound: u64) -> u64 {
        self.rng.lock().expect("no thread panics while holding the lock").rand_range(0..bound)
    }

    /// Sends the initial configuration; returns whether it was acknowledged.
    pub fn send_initial_configuration(&self) -> bool {
        let route = |name: &str, safety: &str, service: &str| {
            json!([name, HOST, format!("/{name}/"), safety, 8000, 1000, service, 2, "r1"])
        };
        let service = |name: &String| json!([name, "/checkpoint", 200, 0.5, 200.0, "r1"]);
        let body = json!({"deliver": {
            "itineraries": {
                "headings": ["name", "depot", "lane-prefix", "mail-kind", "deadline-ms", "target-ms", "line", "tries", "edition"],
                "entries": [route("safe", "safe", "books"), route("once", "unsafe", "loans"),
                    route(VERSION_ROUTE, "safe", &version_service(1))],
            },
            "customers": {
                "headings": ["name", "permits", "rate-per-s", "surge", "edition"],
                "entries": [["town", [UNLIMITED_KEY], 0, 0, "r1"],
                    [LIMITED_TENANT, [LIMITED_KEY], LIMITED_RATE, LIMITED_BURST, "r1"]],
            },
            "carrier-lines": {
                "headings": ["name", "checkpoint", "berth-cap", "cold-s", "cold-rate-s", "edition"],
                "entries": services().iter().map(service).collect::<Vec<Value>>(),
            },
            "weight-limits": {"envelope-bytes": 16384, "body-bytes": 1_048_576, "envelope-ms": 5000, "idle-ms": 15000, "edition": "r1"},
        }});
        self.apply(self.request(body, VERSION_ROUTE, 1, Some(version_service(1))))
    }

    fn request(&self, body: Value, item: &str, version: u64, service: Option<String>) -> ChangeRequest {
        let change = ChangeRecord {
            item: item.to_owned(),
            version,
            service,
            sent_at: self.recorder.now(),
            acknowledged_at: None,
            refused: None,
        };
        ChangeRequest { path: "/v1/Timetable.Patch".to_owned(), body: body.to_string(), change }
    }

    /// Changes the version route to forward to the next service.
    pub fn change_version(&self) {
        let version = self.next_version.fetch_add(1, Ordering::Relaxed);
        let service = version_service(version);
        let body = json!({"deliver": {"itineraries": {
            "headings": ["name", "depot", "lane-prefix", "mail-kind", "deadline-ms", "target-ms", "line", "tries", "edition"],
            "entries": [[VERSION_ROUTE, HOST, "/version/", "safe", 8000, 1000, service, 2, format!("r{version}")]],
        }}});
        self.apply(self.request(body, VERSION_ROUTE, version, Some(service)));
    }

    /// Sets several hundred routes that no client uses, in one change.
    pub fn change_many_routes(&self) {
        let version = self.next_version.fetch_add(1, Ordering::Relaxed);
        let edition = format!("r{version}");
        let padding = "p".repeat(600);
        let route = |number: usize| {
            let prefix = format!("/many-{number}/{padding}/");
            json!([format!("many-{number}"), HOST, prefix, "safe", 5000, 1000, "books", 2, edition])
        };
        let body = json!({"deliver": {"itineraries": {
            "headings": ["name", "depot", "lane-prefix", "mail-kind", "deadline-ms", "target-ms", "line", "tries", "edition"],
            "entries": (0..LARGE_CHANGE_ROUTES).map(route).collect::<Vec<Value>>(),
        }}});
        self.apply(self.request(body, "many-0", version, None));
    }

    /// Starts or ends the evacuation of a zone, given by index.
    pub fn evacuate(&self, zone: usize, is_start: bool) {
        let (zone, step) = (ZONES[zone], if is_start { "Start" } else { "End" });
        let mut request = self.request(Value::Null, zone, 0, None);
        request.path = format!("/v1/Evacuate.{step}/{zone}");
        request.body = String::new();
        self.apply(request);
    }

    /// Sends a change until it is acknowledged, rejected or abandoned, and records it; returns whether it was acknowledged.
    fn apply(&self, mut request: ChangeRequest) -> bool {
        let began = Instant::now();
        while !self.stop.is_stopped() && began.elapsed() < CHANGE_TIMEOUT {
            let drops_response = self.random_below(REQUESTS_PER_DROPPED_RESPONSE) == 0;
            match self.send_following_redirects(&request, drops_response) {
                Some(response) if response.status == 200 => {
                    request.change.acknowledged_at = Some(self.recorder.now());
                    self.acknowledged.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Some(response)
                    if (400..500).contains(&response.status) && ![408, 429].contains(&response.status) =>
                {
                    request.change.refused = Some(response.status);
                    break;
                }
                _ => std::thread::sleep(RETRY_DELAY),
            }
        }
        let is_acknowledged = request.change.acknowledged_at.is_some();
        self.recorder.record(Event::Change(request.change));
        is_acknowledged
    }

    /// Sends a request to a control-plane process chosen at random, and follows its redirects.
    fn send_following_redirects(&self, request: &ChangeRequest, drops_response: bool) -> Option<Response> {
        let mut address = self.endpoints[self.random_below(self.endpoints.len() as u64) as usize].address;
        for _ in 0..=MAX_REDIRECTS {
            let response = send_request(address, "POST", &request.path, &request.body, drops_response)?;
            match response.location {
                Some(location) if response.status == 307 => address = location,
                _ => return Some(response),
            }
        }
        None
    }

    /// Reads the configuration from a control-plane process; returns whether that succeeded. Records the result, a failure
    /// only if the read is final.
    pub fn read(&self, endpoint: &ControlEndpoint, is_final: bool) -> bool {
        let sent_at = self.recorder.now();
        let response = send_request(endpoint.address, "GET", "/v1/Timetable.Get", "", false);
        let versions = response
            .filter(|response| response.status == 200)
            .and_then(|response| route_versions(&response.body));
        let is_read = versions.is_some();
        if is_read || is_final {
            self.recorder.record(Event::Read(ReadRecord {
                node: endpoint.node.clone(),
                sent_at,
                versions,
                is_final,
            }));
        }
        is_read
    }

    /// The number of acknowledged changes.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    /// The control-plane processes that the operator uses.
    pub fn endpoints(&self) -> &[ControlEndpoint] {
        &self.endpoints
    }
}

/// Sends one request over a new connection. With `drops_response` the connection is closed without reading the response.
fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    drops_response: bool,
) -> Option<Response> {
    let mut stream = HttpStream::connect(address, CONNECT_TIMEOUT).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.send([head.as_bytes(), body.as_bytes()].concat().as_slice()).ok()?;
    if drops_response {
        return None;
    }
    let (head, body) = stream.read_message(RESPONSE_KIND, RESPONSE_TIMEOUT).ok()?;
    let location = head.field("location").and_then(|location| {
        let location = std::str::from_utf8(location).ok()?.strip_prefix("http://")?;
        location.split('/').next()?.parse().ok()
    });
    Some(Response { status: head.status(), location, body })
}

/// The route versions in a configuration, by route name.
fn route_versions(body: &[u8]) -> Option<BTreeMap<String, u64>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    // The tables are either members of `deliver`, as in a change, or at the top level.
    let tables = value.get("deliver").unwrap_or(&value);
    let table = tables.get("itineraries")?;
    let headings = table.get("headings")?.as_array()?;
    let column = |wanted: &str| headings.iter().position(|heading| heading == wanted);
    let (name, edition) = (column("name")?, column("edition")?);
    let version = |entry: &Value| {
        let text = entry.get(edition)?.as_str()?.strip_prefix('r')?;
        Some((entry.get(name)?.as_str()?.to_owned(), text.parse().ok()?))
    };
    table.get("entries")?.as_array()?.iter().map(version).collect()
}
