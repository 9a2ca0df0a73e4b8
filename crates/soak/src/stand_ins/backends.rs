//! Backends, each with a listener of its own and one thread per connection. A backend that crashed restarts with another id
//! and address.

use super::{response_body, response_marker, StopFlag};
use crate::error::{Error, ListenSnafu};
use crate::history::{Event, Recorder, RunRecord};
use crate::http_stream::{HttpStream, ReadError};
use kitepass_net::http::{Head, MessageKind};
use snafu::ResultExt;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of requests that a backend processes concurrently; it rejects others.
pub const MAX_CONCURRENT_REQUESTS: usize = 16;
/// How often a listener polls for new connections and for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A connection on which nothing arrives for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// The same, while the backend closes idle connections early.
const FAULTY_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Processing time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(8);
/// Processing time of a request while the backend is slow.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(400);
/// Number of chunks of a streamed response.
const STREAM_CHUNKS: usize = 8;
/// Delay before each chunk of a streamed response.
const STREAM_CHUNK_DELAY: Duration = Duration::from_millis(60);
/// A crashed backend stays on the platform's list for this long.
const DELISTING_DELAY: Duration = Duration::from_secs(2);
/// Every n-th request gets status 500 while the backend is failing.
const FAIL_EVERY_NTH_REQUEST: u64 = 3;

/// The faults that a backend currently has.
#[derive(Debug, Default)]
struct Faults {
    is_slow: AtomicBool,
    is_failing: AtomicBool,
    closes_idle: AtomicBool,
}

/// A backend from a start to the next crash.
struct Incarnation {
    id: String,
    address: SocketAddr,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

struct Backend {
    service: String,
    zone: usize,
    faults: Faults,
    incarnation: Mutex<Option<Arc<Incarnation>>>,
    /// The last incarnation that crashed, and when.
    previous: Mutex<Option<(Arc<Incarnation>, Instant)>>,
    requests: AtomicU64,
    active_requests: AtomicUsize,
}

/// A backend as listed by the platform API.
#[derive(Clone, Debug)]
pub struct ListedBackend {
    /// Its id, which differs for each incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its listen address.
    pub address: SocketAddr,
    /// Its zone, as an index.
    pub zone: usize,
}

/// All backends.
pub struct Backends {
    all: Vec<Arc<Backend>>,
    ip: IpAddr,
    next_incarnation: AtomicU64,
    recorder: Arc<Recorder>,
    stop: StopFlag,
}

impl Backends {
    /// Starts one backend for each placement, a service and a zone index.
    ///
    /// # Errors
    ///
    /// A listener cannot be opened.
    pub fn start(
        ip: IpAddr,
        placements: Vec<(String, usize)>,
        recorder: Arc<Recorder>,
        stop: StopFlag,
    ) -> Result<Backends, Error> {
        let backend = |(service, zone)| {
            Arc::new(Backend {
                service,
                zone,
                faults: Faults::default(),
                incarnation: Mutex::new(None),
                previous: Mutex::new(None),
                requests: AtomicU64::new(0),
                active_requests: AtomicUsize::new(0),
            })
        };
        let all = placements.into_iter().map(backend).collect();
        let backends = Backends { all, ip, next_incarnation: AtomicU64::new(1), recorder, stop };
        (0..backends.all.len()).try_for_each(|index| backends.start_incarnation(index))?;
        Ok(backends)
    }

    /// The number of backends.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no backends.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Starts a backend with a new id and address, unless it is running.
    ///
    /// # Errors
    ///
    /// A listener cannot be opened.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn start_incarnation(&self, index: usize) -> Result<(), Error> {
        let backend = &self.all[index];
        let mut current = backend.incarnation.lock().expect("no thread panics while holding the lock");
        if current.is_some() {
            return Ok(());
        }
        let requested = SocketAddr::new(self.ip, 0);
        let listener = TcpListener::bind(requested).context(ListenSnafu { address: requested })?;
        listener.set_nonblocking(true).context(ListenSnafu { address: requested })?;
        let address = listener.local_addr().context(ListenSnafu { address: requested })?;
        let number = self.next_incarnation.fetch_add(1, Ordering::Relaxed);
        let incarnation = Arc::new(Incarnation {
            id: format!("b{index}-{number}"),
            address,
            has_ended: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
        });
        *current = Some(incarnation.clone());
        let (backend, recorder, stop) = (backend.clone(), self.recorder.clone(), self.stop.clone());
        std::thread::spawn(move || accept(&listener, &backend, &incarnation, &recorder, &stop));
        Ok(())
    }

    /// Stops a backend at once and closes its connections, also during requests.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn crash(&self, index: usize) {
        let backend = &self.all[index];
        let Some(incarnation) =
            backend.incarnation.lock().expect("no thread panics while holding the lock").take()
        else {
            return;
        };
        incarnation.has_ended.store(true, Ordering::Relaxed);
        for connection in
            incarnation.connections.lock().expect("no thread panics while holding the lock").drain(..)
        {
            let _ = connection.shutdown(Shutdown::Both); // fails if the peer has closed it
        }
        *backend.previous.lock().expect("no thread panics while holding the lock") =
            Some((incarnation, Instant::now()));
    }

    /// Sets whether a backend is slow.
    pub fn set_slow(&self, index: usize, is_slow: bool) {
        self.all[index].faults.is_slow.store(is_slow, Ordering::Relaxed);
    }

    /// Sets whether a backend fails some requests.
    pub fn set_failing(&self, index: usize, is_failing: bool) {
        self.all[index].faults.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Sets whether a backend closes idle connections early.
    pub fn set_closes_idle(&self, index: usize, closes_idle: bool) {
        self.all[index].faults.closes_idle.store(closes_idle, Ordering::Relaxed);
    }

    /// The backends on the platform's list, which still contains a crashed one for a while.
    ///
    /// # Panics
    ///
    /// If another thread panicked while holding the lock.
    pub fn listed(&self) -> Vec<ListedBackend> {
        let mut listed = Vec::new();
        for backend in &self.all {
            let listing = |incarnation: &Incarnation| ListedBackend {
                id: incarnation.id.clone(),
                service: backend.service.clone(),
                address: incarnation.address,
                zone: backend.zone,
            };
            let incarnation = backend.incarnation.lock().expect("no thread panics while holding the lock");
            listed.extend(incarnation.as_deref().map(listing));
            let previous = backend.previous.lock().expect("no thread panics while holding the lock");
            let still_listed = previous.as_ref().filter(|(_, ended_at)| ended_at.elapsed() < DELISTING_DELAY);
            listed.extend(still_listed.map(|(incarnation, _)| listing(incarnation)));
        }
        listed
    }
}

fn accept(
    listener: &TcpListener,
    backend: &Arc<Backend>,
    incarnation: &Arc<Incarnation>,
    recorder: &Arc<Recorder>,
    stop: &StopFlag,
) {
    while !incarnation.has_ended.load(Ordering::Relaxed) && !stop.is_stopped() {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let mut connections =
            incarnation.connections.lock().expect("no thread panics while holding the lock");
        connections.retain(|connection| connection.peer_addr().is_ok());
        connections.extend(stream.try_clone());
        let (backend, incarnation, recorder) = (backend.clone(), incarnation.clone(), recorder.clone());
        std::thread::spawn(move || {
            let mut connection =
                BackendConnection { stream: HttpStream::new(stream), backend, incarnation, recorder };
            connection.serve();
        });
    }
}

/// A gateway's connection to a backend.
struct BackendConnection {
    stream: HttpStream,
    backend: Arc<Backend>,
    incarnation: Arc<Incarnation>,
    recorder: Arc<Recorder>,
}

impl BackendConnection {
    fn serve(&mut self) {
        loop {
            let closes_idle = self.backend.faults.closes_idle.load(Ordering::Relaxed);
            let timeout = if closes_idle { FAULTY_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
            let (head, body) = match self.stream.read_message(MessageKind::Request, timeout) {
                Ok(message) => message,
                Err(ReadError::Closed | ReadError::TimedOut | ReadError::Malformed) => return,
            };
            if !self.handle_request(&head, &body) {
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection can be used further.
    fn handle_request(&mut self, head: &Head, body: &[u8]) -> bool {
        let field = |name| head.field(name).map(|value| String::from_utf8_lossy(value).into_owned());
        let path = String::from_utf8_lossy(head.start_line_part(1)).into_owned();
        if path == "/checkpoint" {
            let id = format!("X-Delivered-By: {}\r\n", self.incarnation.id);
            return self.respond("200 OK", &id, b"");
        }
        let Some(id) = field("x-try-id") else { return self.reject("400 Bad Request", "") };
        let echo = format!("X-Try-Id: {id}\r\n");
        if field("x-deliver-to").is_some_and(|requested| requested != self.incarnation.id) {
            return self.reject("421 Misdirected Request", &echo);
        }
        if self.backend.active_requests.fetch_add(1, Ordering::Relaxed) >= MAX_CONCURRENT_REQUESTS {
            self.backend.active_requests.fetch_sub(1, Ordering::Relaxed);
            return self.reject("503 Service Unavailable", &echo);
        }
        let began_at = self.recorder.now();
        let request_path = RequestPath::parse(&path);
        let is_answered = self.run(&id, &echo, &request_path);
        self.backend.active_requests.fetch_sub(1, Ordering::Relaxed);
        self.recorder.record(Event::Run(RunRecord {
            id,
            backend: self.incarnation.id.clone(),
            service: self.backend.service.clone(),
            tenant: field("x-sender"),
            began_at,
            is_garbled: body.len() != request_path.request_bytes || body.iter().any(|byte| *byte != b'u'),
            is_answered,
        }));
        is_answered
    }

    /// Processes a request and writes its response; returns whether all of it was written.
    fn run(&mut self, id: &str, echo: &str, request_path: &RequestPath) -> bool {
        let faults = &self.backend.faults;
        let is_slow = faults.is_slow.load(Ordering::Relaxed);
        let is_failing = faults.is_failing.load(Ordering::Relaxed);
        std::thread::sleep(if is_slow { SLOW_SERVICE_TIME } else { SERVICE_TIME });
        if self.incarnation.has_ended.load(Ordering::Relaxed) {
            return false;
        }
        let number = self.backend.requests.fetch_add(1, Ordering::Relaxed);
        let fields = format!("{echo}X-Postmark: {}\r\n", response_marker(id));
        if is_failing && number.is_multiple_of(FAIL_EVERY_NTH_REQUEST) {
            return self.respond("500 Internal Server Error", &fields, b"");
        }
        let body = response_body(&self.backend.service, id, request_path.response_bytes);
        if request_path.is_streamed {
            self.stream_response(&fields, &body)
        } else {
            self.respond("200 OK", &fields, &body)
        }
    }

    fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> bool {
        let mut bytes =
            format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.send(&bytes).is_ok()
    }

    fn reject(&mut self, status: &str, fields: &str) -> bool {
        self.respond(status, &format!("{fields}X-Not-Delivered: 1\r\n"), b"")
    }

    fn stream_response(&mut self, fields: &str, body: &[u8]) -> bool {
        let head = format!("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");
        if self.stream.send(head.as_bytes()).is_err() {
            return false;
        }
        for piece in body.chunks(body.len().div_ceil(STREAM_CHUNKS)) {
            std::thread::sleep(STREAM_CHUNK_DELAY);
            let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
            if self.incarnation.has_ended.load(Ordering::Relaxed) || self.stream.send(&chunk).is_err() {
                return false;
            }
        }
        self.stream.send(b"0\r\n\r\n").is_ok()
    }
}

/// The parameters in a request's path, `/PREFIX/REQUEST-BYTES/RESPONSE-BYTES`, followed by `/streamed` to request a
/// chunked response.
struct RequestPath {
    request_bytes: usize,
    response_bytes: usize,
    is_streamed: bool,
}

impl RequestPath {
    fn parse(path: &str) -> RequestPath {
        let mut parts = path.split('/').skip(2);
        let mut number = || parts.next().and_then(|part| part.parse().ok()).unwrap_or(0);
        let (request_bytes, response_bytes) = (number(), number());
        RequestPath { request_bytes, response_bytes, is_streamed: path.ends_with("/streamed") }
    }
}
