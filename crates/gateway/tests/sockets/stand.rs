//! Stand-ins for what a gateway talks to, all of them led by the test step by step: a connection that comes in
//! is handed over, and each side says only what the test has it say. Nothing waits for longer than `PATIENCE`.

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(10);

/// An address that nobody else uses: of this process, and of one test in it.
fn own_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

/// A message as it came, the head with its empty line.
#[derive(Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let field = |line: &str| line.split_once(": ").is_some_and(|(n, _)| n.eq_ignore_ascii_case(name));
        self.head.lines().find(|line| field(line)).and_then(|line| line.split_once(": ")).map(|(_, v)| v)
    }
}

/// One side of a connection.
pub struct Line {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Line {
    fn new(stream: TcpStream) -> Line {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Line { stream, input: Vec::new() }
    }

    pub fn to(address: SocketAddr) -> Line {
        Line::new(TcpStream::connect_timeout(&address, PATIENCE).expect("a connection"))
    }

    pub fn say(&mut self, text: impl AsRef<[u8]>) -> &mut Line {
        self.stream.write_all(text.as_ref()).expect("written");
        self
    }

    /// Says it, unless the other side has ended the connection.
    pub fn try_say(&mut self, text: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(text.as_ref()).is_ok()
    }

    /// The next whole message.
    pub fn hear(&mut self) -> Message {
        self.hear_or_end().expect("a message")
    }

    /// The next whole message, or nothing if the other side has ended the connection without one.
    pub fn hear_or_end(&mut self) -> Option<Message> {
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
            if !self.more() {
                return None;
            }
        }
    }

    fn more(&mut self) -> bool {
        let mut piece = [0; 4096];
        loop {
            return match self.stream.read(&mut piece) {
                Ok(length) => {
                    self.input.extend_from_slice(&piece[..length]);
                    length > 0
                }
                // A machine or program that is stopped and goes on cuts a read short that has a time.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
                Err(error) => panic!("nothing came: {error}"),
            };
        }
    }

    /// Whether the other side ends the connection, saying nothing more.
    pub fn ends(&mut self) -> bool {
        !self.more() && self.input.is_empty()
    }

    pub fn end_sending(&mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// Takes connections in and hands each to the test.
pub struct Stand {
    pub address: SocketAddr,
    lines: Receiver<Line>,
}

impl Stand {
    pub fn open() -> Stand {
        let listener = TcpListener::bind((own_address(), 0)).unwrap();
        let (address, (taken, lines)) = (listener.local_addr().unwrap(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if taken.send(Line::new(stream)).is_err() {
                    return;
                }
            }
        });
        Stand { address, lines }
    }

    pub fn line(&self) -> Line {
        self.lines.recv_timeout(PATIENCE).expect("a connection")
    }

    /// Whether nobody has connected so far.
    pub fn is_untouched(&self) -> bool {
        self.lines.try_recv().is_err()
    }
}

/// A backend that is full of connections: further ones do not come up until it takes one in.
pub struct Crowded {
    pub address: SocketAddr,
    listener: TcpListener,
    _first: TcpStream,
}

impl Crowded {
    pub fn open() -> Crowded {
        let listener = TcpListener::bind((own_address(), 0)).unwrap();
        net::listen(&listener, 0).unwrap(); // one may wait
        let address = listener.local_addr().unwrap();
        Crowded { address, listener, _first: TcpStream::connect(address).unwrap() }
    }

    /// Takes the one that waits in, and the next one that comes up.
    pub fn second(self) -> Line {
        self.listener.accept().unwrap();
        Line::new(self.listener.accept().unwrap().0)
    }
}

/// An address where connections are refused, and where a gateway can listen.
pub fn nobody() -> SocketAddr {
    // It never listens. Danger: a program that another test starts just now holds a copy of every descriptor until
    // it runs; a listener would go on in it, take connections in and keep the address from the gateway.
    let socket =
        net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None).unwrap();
    net::sockopt::set_socket_reuseaddr(&socket, true).unwrap();
    net::bind(&socket, &SocketAddr::new(own_address(), 0)).unwrap();
    net::getsockname(&socket).unwrap().try_into().unwrap()
}

pub fn backend(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// The watch of a gateway on discovery.
pub struct Watch(Line);

impl Watch {
    /// Takes the gateway's next watch up; the request that it came with is in the second place.
    pub fn begin(discovery: &Stand) -> (Watch, Message) {
        let mut line = discovery.line();
        let request = line.hear();
        line.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        (Watch(line), request)
    }

    pub fn tell(&mut self, generation: u64, reset: bool, entries: &[String]) {
        let entries = entries.join(",");
        self.tell_line(&format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{entries}]}}"#));
    }

    pub fn ends(mut self) -> bool {
        self.0.ends()
    }

    pub fn tell_line(&mut self, line: &str) {
        self.0.say(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }
}

/// One gateway without a counter, or one of two with it.
pub fn settings(counted: bool) -> String {
    let (counter, gateways) = if counted { ("true", "2") } else { ("false", "1") };
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

/// What a gateway is started with, beside the settings.
pub struct Plan<'a> {
    pub sockets: u32,
    pub counter: Option<SocketAddr>,
    pub known: &'a [String],
    pub connect_within: f64,
    /// The time of a call to the counter.
    pub patience: f64,
}

impl Default for Plan<'_> {
    fn default() -> Self {
        Plan { sockets: 256, counter: None, known: &[], connect_within: 0.25, patience: 0.5 }
    }
}

/// A gateway that runs, and its discovery.
pub struct Gateway {
    pub address: SocketAddr,
    pub discovery: Stand,
    child: Child,
    config: PathBuf,
    text: String,
    log: Receiver<String>,
}

impl Gateway {
    pub fn start(plan: &Plan) -> Gateway {
        let (address, discovery) = (nobody(), Stand::open());
        let counter = plan.counter.map_or("null".to_owned(), |counter| format!("\"{counter}\""));
        let within = format!("\"ConnectTimeout\":{}", plan.connect_within);
        let patience = format!("\"CounterTimeout\":{}", plan.patience);
        let settings = settings(plan.counter.is_some())
            .replace("\"ConnectTimeout\":0.25", &within)
            .replace("\"CounterTimeout\":0.5", &patience);
        let text = format!(
            r#"{{"name":"g0","listen":"{address}","discovery":"{}","counter":{counter},"seed":"8c1f30d27a5be964",
             "limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"settings":{settings},
             "known":{{"generation":7,"reset":true,"instances":[{}]}}}}"#,
            discovery.address,
            plan.sockets,
            plan.known.join(",")
        );
        let config = write_config(&text);
        let mut child = start(&config).stderr(Stdio::piped()).spawn().expect("the program starts");
        let (lines, (say, log)) = (BufReader::new(child.stderr.take().unwrap()).lines(), channel());
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| say.send(line)));
        Gateway { address, discovery, child, config, text, log }
    }

    /// Changes its configuration and has it read that again.
    pub fn reload(&mut self, changes: &[(&str, &str)]) {
        for (from, to) in changes {
            assert!(self.text.contains(from), "{from}");
            self.text = self.text.replace(from, to);
        }
        // Put in place whole: an earlier signal may have it read just now.
        let whole = write_config(&self.text);
        std::fs::rename(whole, &self.config).unwrap();
        self.signal(rustix::process::Signal::HUP);
    }

    /// The next line of its log.
    pub fn said(&self) -> String {
        self.log.recv_timeout(PATIENCE).expect("a line")
    }

    pub fn remove_config(&self) {
        std::fs::remove_file(&self.config).unwrap();
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    pub fn has_said_nothing(&self) -> bool {
        self.log.try_recv().is_err()
    }

    /// Starts one with these backends and waits until it is ready.
    pub fn ready(plan: &Plan, backends: &[String]) -> (Gateway, Watch) {
        let gateway = Gateway::start(plan);
        let (mut watch, _) = Watch::begin(&gateway.discovery);
        watch.tell(8, true, backends);
        gateway.wait_until(200);
        (gateway, watch)
    }

    pub fn line(&self) -> Line {
        Line::to(self.address)
    }

    /// Asks until it answers so whether it is ready.
    pub fn wait_until(&self, status: u16) {
        let (mut line, begun) = (self.line(), Instant::now());
        while line.say("GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n").hear().status() != status {
            assert!(begun.elapsed() < PATIENCE, "not {status} in time");
        }
    }

    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).expect("signalled");
    }

    /// Waits for its end and says whether that was a good one.
    pub fn ends_well(&mut self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            std::thread::yield_now();
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn write_config(text: &str) -> PathBuf {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("kitepass-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

pub fn start(config: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass"));
    command.env("BALANCER_CONFIG", config).env_remove("RUST_LOG").stdin(Stdio::null());
    command
}

/// A command's head, as clients send it, up to its last field. Only a `once` command's leg has all the time that
/// the client gives it: others are cut, and go again, once they are overdue.
pub fn command(class: &str, trace: &str) -> String {
    let method = if class == "door" { "POST" } else { "GET" };
    format!(
        "{method} /{class}/00000000b4d65521?page=2 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace}\r\n\
         X-Tariff: team\r\nX-Expires-In-Ms: 20000\r\nX-Weight: units=1,spread=1,first=0\r\n"
    )
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
