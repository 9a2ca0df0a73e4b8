//! Stubs of clients, backends, discovery and the counter service, which send only what the test tells them to. Nothing
//! waits for longer than [`TEST_TIMEOUT`].

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A loopback address of this process that no other test uses.
fn next_loopback_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

/// A received message. The head includes the empty line at its end.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a valid status")
    }

    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let field = |line: &str| line.split_once(": ").is_some_and(|(n, _)| n.eq_ignore_ascii_case(name));
        self.head.lines().find(|line| field(line)).and_then(|line| line.split_once(": ")).map(|(_, v)| v)
    }
}

/// One side of a connection.
pub(crate) struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection { stream, input: Vec::new() }
    }

    pub(crate) fn connect(address: SocketAddr) -> Connection {
        Connection::new(
            TcpStream::connect_timeout(&address, TEST_TIMEOUT).expect("an established connection"),
        )
    }

    pub(crate) fn send(&mut self, text: impl AsRef<[u8]>) -> &mut Connection {
        self.stream.write_all(text.as_ref()).expect("written");
        self
    }

    /// Sends the bytes; false if the peer has closed the connection.
    pub(crate) fn try_send(&mut self, text: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(text.as_ref()).is_ok()
    }

    /// The next complete message.
    pub(crate) fn receive(&mut self) -> Message {
        self.receive_or_end().expect("complete message")
    }

    /// The next complete message; `None` if the peer has closed the connection before it.
    pub(crate) fn receive_or_end(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8(self.input[..end + 4].to_vec()).unwrap();
                let message = Message { head, body: Vec::new() };
                let length = message.field("content-length").map_or(0, |length| length.parse().unwrap());
                if self.input.len() >= end + 4 + length {
                    let body = self.input[end + 4..end + 4 + length].to_vec();
                    self.input.drain(..end + 4 + length);
                    return Some(Message { body, ..message });
                }
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        loop {
            return match self.stream.read(&mut buffer) {
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    length > 0
                }
                // A read with a time-out is interrupted when the process is stopped and resumed.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
                Err(error) => panic!("read failed: {error}"),
            };
        }
    }

    /// Whether the peer closes the connection without sending anything more.
    pub(crate) fn ends_without_data(&mut self) -> bool {
        !self.read_more() && self.input.is_empty()
    }

    pub(crate) fn shutdown_write(&mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// A server that accepts connections and passes them to the test.
pub(crate) struct StubServer {
    pub(crate) address: SocketAddr,
    connections: Receiver<Connection>,
}

impl StubServer {
    pub(crate) fn open() -> StubServer {
        let listener = TcpListener::bind((next_loopback_address(), 0)).unwrap();
        let (address, (accepted, connections)) = (listener.local_addr().unwrap(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepted.send(Connection::new(stream)).is_err() {
                    return;
                }
            }
        });
        StubServer { address, connections }
    }

    pub(crate) fn accept(&self) -> Connection {
        self.connections.recv_timeout(TEST_TIMEOUT).expect("an established connection")
    }

    /// Whether no connection is waiting to be accepted by the test.
    pub(crate) fn has_no_connection(&self) -> bool {
        self.connections.try_recv().is_err()
    }
}

/// A backend whose accept queue is full: further connects stay pending until it accepts a connection.
pub(crate) struct FullListener {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    _first: TcpStream,
}

impl FullListener {
    pub(crate) fn open() -> FullListener {
        let listener = TcpListener::bind((next_loopback_address(), 0)).unwrap();
        net::listen(&listener, 0).unwrap(); // an accept queue of one
        let address = listener.local_addr().unwrap();
        FullListener { address, listener, _first: TcpStream::connect(address).unwrap() }
    }

    /// Accepts the connection in the queue, and then the next one.
    pub(crate) fn accept_second(self) -> Connection {
        self.listener.accept().unwrap();
        Connection::new(self.listener.accept().unwrap().0)
    }
}

/// An address on which connections are refused and a gateway can listen.
pub(crate) fn unused_address() -> SocketAddr {
    // Invariant: this socket never listens. A process that another test is forking just now holds a copy of every
    // descriptor until its exec; a listener would stay open in it, accept connections and keep the address in use.
    let socket =
        net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None).unwrap();
    net::sockopt::set_socket_reuseaddr(&socket, true).unwrap();
    net::bind(&socket, &SocketAddr::new(next_loopback_address(), 0)).unwrap();
    net::getsockname(&socket).unwrap().try_into().unwrap()
}

pub(crate) fn backend_entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// The discovery side of a gateway's watch.
pub(crate) struct Watch(Connection);

impl Watch {
    /// Accepts the gateway's next watch. Returns it with the gateway's request.
    pub(crate) fn accept(discovery: &StubServer) -> (Watch, Message) {
        let mut connection = discovery.accept();
        let request = connection.receive();
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        (Watch(connection), request)
    }

    pub(crate) fn send_list(&mut self, generation: u64, reset: bool, entries: &[String]) {
        let entries = entries.join(",");
        self.send_line(&format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{entries}]}}"#));
    }

    pub(crate) fn ends_without_data(mut self) -> bool {
        self.0.ends_without_data()
    }

    pub(crate) fn send_line(&mut self, line: &str) {
        self.0.send(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }
}

/// Settings of a single gateway without a counter, or of one of two gateways with one.
pub(crate) fn settings(has_counter: bool) -> String {
    let (counter, gateways) = if has_counter { ("true", "2") } else { ("false", "1") };
    SETTINGS.replace("COUNTED", counter).replace("GATEWAYS", gateways)
}

const SETTINGS: &str = r#"{"ReplicasOfMe":GATEWAYS,"Me":0,
 "Caps":{"TryLimit":3,"RetryAfter":true,"MaxRetryAfter":2.0,"ConnIdle":15.0,"ConnectTimeout":0.25},
 "Classes":[{"Name":"look","Effect":"retryable","Objective":2.0,"LateWorth":0.2},
  {"Name":"door","Effect":"dedup","Group":"zone","Window":8.0,"Objective":2.0,"LateWorth":0.2},
  {"Name":"once","Effect":"fragile","Objective":2.0,"LateWorth":0.2}],
 "FamilyInfo":{"SharedCounter":COUNTED,"CounterTimeout":0.5,"MaxUnits":6},
 "Plans":[{"Name":"team","Refill":1000.0,"StoreSize":1000.0},{"Name":"tiny","Refill":0.001,"StoreSize":1.0},
  {"Name":"pooled","Refill":0.000001,"StoreSize":2.8}],
 "Safety":{"AnswerSlack":0.016,"DrainGrace":0.5,"Fall":1.0,"FallMultiple":3.0,"WarmWithin":10.0,"ColdFrom":0.3}}"#;

/// Start-up options of a gateway under test.
pub(crate) struct Options<'a> {
    pub(crate) max_descriptors: u32,
    pub(crate) counter: Option<SocketAddr>,
    pub(crate) initial_backends: &'a [String],
    pub(crate) connect_timeout: f64,
    /// The time-out of a call to the counter, in seconds.
    pub(crate) counter_timeout: f64,
}

impl Default for Options<'_> {
    fn default() -> Self {
        Options {
            max_descriptors: 256,
            counter: None,
            initial_backends: &[],
            connect_timeout: 0.25,
            counter_timeout: 0.5,
        }
    }
}

/// A running gateway with its discovery stub.
pub(crate) struct Gateway {
    pub(crate) address: SocketAddr,
    pub(crate) discovery: StubServer,
    child: Child,
    config_path: PathBuf,
    config_text: String,
    log_lines: Receiver<String>,
}

impl Gateway {
    pub(crate) fn start(options: &Options) -> Gateway {
        let (address, discovery) = (unused_address(), StubServer::open());
        let counter = options.counter.map_or("null".to_owned(), |counter| format!("\"{counter}\""));
        let connect_timeout = format!("\"ConnectTimeout\":{}", options.connect_timeout);
        let counter_timeout = format!("\"CounterTimeout\":{}", options.counter_timeout);
        let settings = settings(options.counter.is_some())
            .replace("\"ConnectTimeout\":0.25", &connect_timeout)
            .replace("\"CounterTimeout\":0.5", &counter_timeout);
        let config_text = format!(
            r#"{{"name":"g0","listen":"{address}","discovery":"{}","counter":{counter},"seed":"8c1f30d27a5be964",
             "limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"settings":{settings},
             "known":{{"generation":7,"reset":true,"instances":[{}]}}}}"#,
            discovery.address,
            options.max_descriptors,
            options.initial_backends.join(",")
        );
        let config_path = write_config(&config_text);
        let mut child =
            gateway_command(&config_path).stderr(Stdio::piped()).spawn().expect("gateway started");
        let (lines, (sender, log_lines)) = (BufReader::new(child.stderr.take().unwrap()).lines(), channel());
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        Gateway { address, discovery, child, config_path, config_text, log_lines }
    }

    /// Changes the configuration file and signals the gateway to reload it.
    pub(crate) fn reload(&mut self, changes: &[(&str, &str)]) {
        for (from, to) in changes {
            assert!(self.config_text.contains(from), "{from}");
            self.config_text = self.config_text.replace(from, to);
        }
        // Replaced atomically, as the gateway may be reading the file because of an earlier signal.
        let complete = write_config(&self.config_text);
        std::fs::rename(complete, &self.config_path).unwrap();
        self.signal(rustix::process::Signal::HUP);
    }

    /// The next line of the gateway's log.
    pub(crate) fn next_log_line(&self) -> String {
        self.log_lines.recv_timeout(TEST_TIMEOUT).expect("log line")
    }

    pub(crate) fn remove_config(&self) {
        std::fs::remove_file(&self.config_path).unwrap();
    }

    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    pub(crate) fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    pub(crate) fn has_logged_nothing(&self) -> bool {
        self.log_lines.try_recv().is_err()
    }

    /// Starts a gateway with these backends and waits until it is ready.
    pub(crate) fn start_ready(options: &Options, backends: &[String]) -> (Gateway, Watch) {
        let gateway = Gateway::start(options);
        let (mut watch, _) = Watch::accept(&gateway.discovery);
        watch.send_list(8, true, backends);
        gateway.wait_until(200);
        (gateway, watch)
    }

    pub(crate) fn connect(&self) -> Connection {
        Connection::connect(self.address)
    }

    /// Polls the readiness check until it returns this status.
    pub(crate) fn wait_until(&self, status: u16) {
        let (mut connection, started) = (self.connect(), Instant::now());
        while connection.send("GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n").receive().status() != status {
            assert!(started.elapsed() < TEST_TIMEOUT, "no status {status} within the time-out");
        }
    }

    pub(crate) fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).expect("signalled");
    }

    /// Waits for the program to exit. Returns whether it succeeded.
    pub(crate) fn exits_successfully(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            std::thread::yield_now();
        }
        false
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

pub(crate) fn write_config(text: &str) -> PathBuf {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("kitepass-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

pub(crate) fn gateway_command(config: &std::path::Path) -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_kitepass"));
    program.env("BALANCER_CONFIG", config).env_remove("RUST_LOG").stdin(Stdio::null());
    program
}

/// A request's head without the empty line at its end. Only an attempt of class `once` has the client's full time: an
/// attempt of another class is cancelled and retried if it takes too long.
pub(crate) fn request_head(class: &str, trace: &str) -> String {
    let method = if class == "door" { "POST" } else { "GET" };
    format!(
        "{method} /{class}/00000000b4d65521?page=2 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace}\r\n\
         X-Tariff: team\r\nX-Expires-In-Ms: 20000\r\nX-Weight: units=1,spread=1,first=0\r\n"
    )
}

pub(crate) fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
