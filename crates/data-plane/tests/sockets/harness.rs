//! The gateway under test and what it talks to. A test drives clients and backends step by step: each sends only what
//! the test has it send. The control process responds by itself. Nothing waits for longer than [`TIMEOUT`].

use kitepass_config::{parse_change_request, Item, ItemStore, Kind, SchemaValidator};
use kitepass_coordination::protocol::framing::MessageDecoder;
use kitepass_coordination::protocol::{
    encode_items, encode_message, BucketDigests, Extent, Heartbeat, Hello, ItemMessage, Items,
    MembershipUpdate, Message, TenantTotal, TenantUsage, UsageReport, UsageTotals,
};
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest wait for anything that is to come.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that takes no more bytes for so long is full.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// An address that nothing else uses, in this process or another.
fn unique_address() -> IpAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)).into()
}

/// The address of all listeners that take any free port.
fn shared_address() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, 1).into()
}

/// Addresses where connections are refused, and where a gateway can listen.
pub(crate) fn refusing_addresses<const N: usize>() -> [SocketAddr; N] {
    let address = unique_address();
    // Invariant: they never listen. A program that another test starts just now holds a copy of every descriptor until
    // it runs; a listener would go on in it, accept connections and keep the address from the gateway.
    let sockets: [OwnedFd; N] = std::array::from_fn(|_| {
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None);
        let socket = socket.expect("a socket");
        net::sockopt::set_socket_reuseaddr(&socket, true).expect("an option");
        net::bind(&socket, &SocketAddr::new(address, 0)).expect("an address");
        socket
    });
    sockets.each_ref().map(|socket| net::getsockname(socket).expect("bound").try_into().expect("IPv4"))
}

/// A message as it was received: the head with its empty line, the body without its framing.
#[derive(Debug)]
pub(crate) struct HttpMessage {
    /// The start line and the fields, with the empty line behind them.
    pub(crate) head: String,
    /// The body, decoded.
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// The status of a response.
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }

    /// A field's value; the field may be there once at most.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|field| field.split_once(": "));
        let mut values = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value);
        let value = values.next();
        assert_eq!(values.next(), None, "{name} is there twice: {}", self.head);
        value
    }

    /// Takes a complete message off the input's front, if it is there.
    fn take(input: &mut Vec<u8>) -> Option<HttpMessage> {
        let end = 4 + input.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
        let head = String::from_utf8(input[..end].to_vec()).expect("a head that is text");
        let mut message = HttpMessage { head, body: Vec::new() };
        let mut at = end;
        if message.field("transfer-encoding").is_some() {
            loop {
                let line = input[at..].windows(2).position(|bytes| bytes == b"\r\n")?;
                let size = std::str::from_utf8(&input[at..at + line]).expect("a chunk's size");
                let size = usize::from_str_radix(size, 16).expect("a chunk's size");
                at += line + 2;
                message.body.extend_from_slice(input.get(at..at + size)?);
                assert_eq!(input.get(at + size..at + size + 2)?, b"\r\n");
                at += size + 2;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length =
                message.field("content-length").map_or(0, |length| length.parse().expect("a length"));
            message.body.extend_from_slice(input.get(at..at + length)?);
            at += length;
        }
        input.drain(..at);
        Some(message)
    }
}

/// One side of a connection.
pub(crate) struct Peer {
    stream: TcpStream,
    input: Vec<u8>,
    /// The number of the backend whose side it is.
    pub(crate) number: usize,
}

impl Peer {
    fn new(stream: TcpStream, number: usize) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).expect("an option");
        stream.set_write_timeout(Some(TIMEOUT)).expect("an option");
        stream.set_nodelay(true).expect("an option");
        Peer { stream, input: Vec::new(), number }
    }

    /// Connects to an address.
    pub(crate) fn to(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect_timeout(&address, TIMEOUT).expect("a connection"), 0)
    }

    /// Sends bytes.
    pub(crate) fn send(&mut self, text: impl AsRef<[u8]>) -> &mut Peer {
        self.stream.write_all(text.as_ref()).expect("written");
        self
    }

    /// Sends bytes, unless the other side has closed the connection.
    pub(crate) fn try_send(&mut self, text: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(text.as_ref());
    }

    /// Sends as many bytes as the connection takes with nothing read at its end; how many that was.
    pub(crate) fn send_until_full(&mut self, bytes: &[u8]) -> usize {
        self.stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("an option");
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]) {
                Ok(length) => sent += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("not written: {error}"),
            }
        }
        self.stream.set_write_timeout(Some(TIMEOUT)).expect("an option");
        sent
    }

    /// Another handle to the same connection, to send while this one receives.
    pub(crate) fn handle(&self) -> Peer {
        Peer::new(self.stream.try_clone().expect("a descriptor"), self.number)
    }

    /// Closes the connection.
    ///
    /// Invariant: it is shut down, not only dropped. A program that another test starts just now holds a copy of every
    /// descriptor until it runs, and the connection would end only then.
    pub(crate) fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both); // the other side may have closed it
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("an option");
    }

    /// The next complete message.
    pub(crate) fn receive(&mut self) -> HttpMessage {
        self.receive_or_end().expect("a message")
    }

    /// The next complete message, or none if the other side has closed the connection without one.
    pub(crate) fn receive_or_end(&mut self) -> Option<HttpMessage> {
        loop {
            if let Some(message) = HttpMessage::take(&mut self.input) {
                return Some(message);
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    /// Waits until so many bytes were received that are not parsed yet.
    pub(crate) fn wait_for_bytes(&mut self, bytes: usize) {
        while self.input.len() < bytes {
            assert!(self.read_more(), "it ended after {} bytes", self.input.len());
        }
    }

    /// What was received and is no complete message.
    pub(crate) fn unparsed(&self) -> &[u8] {
        &self.input
    }

    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 64 * 1024];
        loop {
            return match self.stream.read(&mut buffer) {
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    length > 0
                }
                // A read with a time-out is interrupted where the machine or the program is stopped and continued.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
                Err(error) => panic!("nothing received: {error}"),
            };
        }
    }

    /// Waits for the end of the connection; whether it comes with nothing before it.
    pub(crate) fn is_closed(&mut self) -> bool {
        !self.read_more() && self.input.is_empty()
    }
}

/// Backends: each connection to any of them is handed to the test.
pub(crate) struct TestBackends {
    /// Where they listen, by number.
    pub(crate) addresses: Vec<SocketAddr>,
    connections: Receiver<Peer>,
}

impl TestBackends {
    fn open(backend_count: usize) -> TestBackends {
        let (sender, connections) = channel();
        let open = |number| {
            let listener = TcpListener::bind((shared_address(), 0)).expect("an address");
            let (address, sender) = (listener.local_addr().expect("bound"), sender.clone());
            std::thread::spawn(move || {
                let mut streams = listener.incoming().flatten();
                streams.try_for_each(|stream| sender.send(Peer::new(stream, number)))
            });
            address
        };
        TestBackends { addresses: (0..backend_count).map(open).collect(), connections }
    }

    /// The next connection to any of them.
    pub(crate) fn accept(&self) -> Peer {
        self.connections.recv_timeout(TIMEOUT).expect("a connection")
    }

    /// Whether there is no connection that was not accepted.
    pub(crate) fn is_untouched(&self) -> bool {
        self.connections.try_recv().is_err()
    }
}

/// The state of a control process.
struct ControlPlaneState {
    address: SocketAddr,
    item_store: ItemStore,
    /// Whether it sends what it holds.
    is_open: bool,
    session: Option<TcpStream>,
    /// Requests that it still grants to tenants with a quota.
    grants: u32,
    /// Periods whose usage report it has answered.
    answered_periods: u32,
    /// Where grants between two periods go, while they are held back.
    held_back: Option<Sender<Message>>,
}

impl ControlPlaneState {
    fn send_items(&mut self, items: &[Item], extent: Extent) {
        let items = items.iter().map(ItemMessage::from).collect();
        self.send_messages([Message::Items(Items { items, extent: extent.into() })]);
    }

    fn send_messages(&mut self, messages: impl IntoIterator<Item = Message>) {
        let mut bytes = Vec::new();
        messages.into_iter().for_each(|message| encode_message(message, &mut bytes));
        self.send_bytes(&bytes);
    }

    fn send_bytes(&mut self, bytes: &[u8]) {
        if let Some(session) = &mut self.session {
            let _ = session.write_all(bytes); // a session that is lost is opened again
        }
    }

    fn send_all(&mut self) {
        let mut bytes = Vec::new();
        encode_items(self.item_store.items(), &mut bytes);
        self.send_bytes(&bytes);
        let digests = self.item_store.bucket_hashes().to_vec();
        let live = MembershipUpdate {
            gateway_count: 1,
            node_ids: vec!["gateway".into()],
            control_addresses: vec![self.address.ip().to_string()],
            control_zones: vec!["near".into()],
        };
        self.send_messages([
            Message::BucketDigests(BucketDigests { digests, ends_transfer: true }),
            Message::MembershipUpdate(live),
        ]);
    }

    fn receive_message(&mut self, message: Message) {
        match message {
            Message::Hello(_) => {
                let hello = Hello {
                    node_id: "control".into(),
                    address: self.address.ip().to_string(),
                    zone: "near".into(),
                    region: "home".into(),
                    incarnation: 1,
                    is_control_plane: true,
                    is_serving: true,
                    is_complete: true,
                    ..Hello::default()
                };
                self.send_messages([Message::Hello(hello)]);
            }
            Message::BucketDigests(_) if self.is_open => self.send_all(),
            Message::Heartbeat(_) => {
                let heartbeat = Heartbeat {
                    digest: self.item_store.digest(),
                    is_serving: true,
                    is_complete: true,
                    ..Heartbeat::default()
                };
                self.send_messages([Message::Heartbeat(heartbeat)]);
            }
            Message::UsageReport(UsageReport {
                request_id,
                node_id,
                tenants: usage,
                incarnation,
                is_mid_period,
            }) => {
                self.answered_periods += u32::from(!is_mid_period);
                let mut grant = |usage: TenantUsage| {
                    let granted = usage.requested.min(self.grants);
                    self.grants -= granted;
                    TenantTotal { tenant: usage.tenant, granted, ..TenantTotal::default() }
                };
                let totals = usage.into_iter().map(&mut grant).collect();
                let message = Message::UsageTotals(UsageTotals {
                    request_id,
                    node_id,
                    tenants: totals,
                    incarnation,
                    is_mid_period,
                });
                match &self.held_back {
                    Some(held) if is_mid_period => held.send(message).expect("the test goes on"),
                    _ => self.send_messages([message]),
                }
            }
            _ => {}
        }
    }
}

/// A control process, with the heartbeats that a gateway sends it.
pub(crate) struct TestControlPlane {
    state: Arc<Mutex<ControlPlaneState>>,
    heartbeats: Receiver<Heartbeat>,
}

impl TestControlPlane {
    fn start() -> TestControlPlane {
        let listener = TcpListener::bind((shared_address(), 0)).expect("an address");
        let address = listener.local_addr().expect("bound");
        let state = ControlPlaneState {
            address,
            item_store: ItemStore::new(),
            is_open: false,
            session: None,
            grants: 0,
            answered_periods: 0,
            held_back: None,
        };
        let (state, (sender, heartbeats)) = (Arc::new(Mutex::new(state)), channel());
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().expect("not poisoned").session = stream.try_clone().ok();
                serve(stream, &shared, &sender);
            }
        });
        TestControlPlane { state, heartbeats }
    }

    fn address(&self) -> SocketAddr {
        self.state.lock().expect("not poisoned").address
    }

    /// From now on it sends all that it holds.
    pub(crate) fn open(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.is_open = true;
        state.send_all();
    }

    /// From now on it holds back what it grants between two periods, and hands it to the test.
    pub(crate) fn hold_back_grants(&self) -> Receiver<Message> {
        let (held, messages) = channel();
        self.state.lock().expect("not poisoned").held_back = Some(held);
        messages
    }

    pub(crate) fn send(&self, message: Message) {
        self.state.lock().expect("not poisoned").send_messages([message]);
    }

    pub(crate) fn grant(&self, requests: u32) {
        self.state.lock().expect("not poisoned").grants = requests;
    }

    /// Sends these items, whether or not they are the newest version.
    pub(crate) fn publish(&self, items: &[Item]) {
        let mut state = self.state.lock().expect("not poisoned");
        for item in items {
            state.item_store.merge(item.clone());
        }
        if state.is_open {
            state.send_items(items, Extent::Complete);
        }
    }

    /// Sends the beginning of a change, which it holds itself only with the rest, and waits until the gateway has it.
    pub(crate) fn publish_beginning(&self, items: &[Item]) {
        self.state.lock().expect("not poisoned").send_items(items, Extent::Continued);
        self.wait_until_different();
    }

    /// Sends part of what it is reading itself, which it does not hold as a whole.
    pub(crate) fn send_transfer(&self, items: &[Item]) {
        self.state.lock().expect("not poisoned").send_items(items, Extent::Transfer);
    }

    /// Waits until the gateway holds something else.
    pub(crate) fn wait_until_different(&self) {
        while self.is_same_as(&self.next_heartbeat()) {}
    }

    /// Waits until the gateway has a session.
    pub(crate) fn wait_for_session(&self) {
        self.next_heartbeat();
    }

    /// Waits until the gateway goes by the shared count: its second report was answered a short time ago.
    pub(crate) fn wait_until_counted(&self) {
        while self.state.lock().expect("not poisoned").answered_periods < 2 {
            self.heartbeats.recv_timeout(TIMEOUT).expect("a heartbeat");
        }
        while self.heartbeats.try_recv().is_ok() {}
        self.heartbeats.recv_timeout(TIMEOUT).expect("a heartbeat");
    }

    /// Waits until the gateway is ready and holds the same items.
    pub(crate) fn wait_until_synced(&self) {
        loop {
            let heartbeat = self.next_heartbeat();
            if heartbeat.is_ready && self.is_same_as(&heartbeat) {
                return;
            }
        }
    }

    fn next_heartbeat(&self) -> Heartbeat {
        self.heartbeats.recv_timeout(TIMEOUT).expect("a heartbeat")
    }

    /// Whether the gateway that sent this holds the same items.
    fn is_same_as(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.digest == self.state.lock().expect("not poisoned").item_store.digest()
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<ControlPlaneState>, heartbeats: &Sender<Heartbeat>) {
    let (mut input, mut buffer, mut decoder) = (Vec::new(), [0; 16 * 1024], MessageDecoder::default());
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        input.extend_from_slice(&buffer[..length]);
        let mut at = 0;
        while let Some(message) = decoder.next(&input, &mut at).expect("a gateway's messages") {
            if let Message::Heartbeat(heartbeat) = &message {
                let _ = heartbeats.send(heartbeat.clone());
            }
            state.lock().expect("not poisoned").receive_message(message);
        }
        input.drain(..at);
    }
}

/// An operator's change request, as items.
pub(crate) fn change_request(text: &str) -> Vec<Item> {
    parse_change_request(&SchemaValidator::new(), text.as_bytes()).expect("a call")
}

pub(crate) fn backend_item(name: &str, service: &str, address: SocketAddr, zone: &str) -> Item {
    let value = format!(
        r#"{{"line":"{service}","address":"{address}","district":"{zone}","berths":4,"closing":false,"cold-ms":0}}"#
    );
    Item { kind: Kind::Backend, name: name.into(), version: 1, value: Some(value.into_bytes().into()) }
}

pub(crate) const CONFIGURATION: &str = r#"{"deliver":{
 "itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","line","tries","unstamped","edition"],
  "entries":[["safe","h.example","/safe/","safe",60000,"books",2,false,"r5"],
   ["once","h.example","/once/","unsafe",60000,"books",2,false,"r5"],
   ["free","h.example","/free/","unsafe",60000,"books",2,true,"r5"],
   ["void","h.example","/void/","safe",60000,"empty",2,false,"r5"]]},
 "customers":{"headings":["name","permits","rate-per-s","surge","edition"],
  "entries":[["town",["key-of-town"],0,0,"r5"],["tiny",["key-of-tiny"],0.001,0,"r5"]]},
 "carrier-lines":{"headings":["name","checkpoint","berth-cap","edition"],
  "entries":[["books","/well",100,"r5"],["loans","/well",100,"r5"],["empty","/well",100,"r5"]]},
 "weight-limits":{"envelope-bytes":4096,"body-bytes":67108864,"envelope-ms":20000,"idle-ms":20000,"edition":"r5"}}}"#;

/// A gateway's process.
pub(crate) struct Gateway {
    client_address: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    path: PathBuf,
    text: String,
    log: Receiver<String>,
}

impl Gateway {
    pub(crate) fn start(control: &TestControlPlane) -> Gateway {
        let [client_address, readiness] = refusing_addresses();
        let (stop, address) = (control.address(), client_address.ip());
        let port = stop.port();
        let text = format!(
            r#"station = "gateway"
ip = "{address}"
district = "near"
province = "home"
sidings = [{port},{port}]
first-stops = ["{}:1"]
[districts]
near = "home"
far = "abroad"
[counters]
front-counter = "{client_address}"
readiness = "{readiness}"
[schedule-bounds]
retry-margin = 60
quota-margin = 0
quota-excess = 0
courtesy-s = 4
"#,
            stop.ip()
        );
        let path = std::env::temp_dir().join(format!("data-plane-{address}.toml"));
        std::fs::write(&path, &text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-data-plane"));
        command.arg("--settings").arg(&path).env("KITEPASS_LOG", "info").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let (log_lines, (sender, log)) =
            (BufReader::new(child.stderr.take().expect("piped")).lines(), channel());
        std::thread::spawn(move || log_lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let gateway = Gateway { client_address, readiness, child, path, text, log };
        gateway.wait_for_log("event=serving");
        gateway
    }

    /// Replaces a text in its settings file, which is replaced as a whole.
    pub(crate) fn change(&self, from: &str, to: &str) {
        assert!(self.text.contains(from), "{from}");
        let next = self.path.with_extension("next");
        std::fs::write(&next, self.text.replace(from, to)).expect("a file");
        std::fs::rename(next, &self.path).expect("a file");
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// Stops it until it gets SIGCONT.
    pub(crate) fn stop(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(Pid::from_child(&self.child)), WaitOptions::UNTRACED).expect("a child");
        assert!(stopped.is_some_and(|(_, status)| status.stopped()), "{stopped:?}");
    }

    /// Waits for a line of its log that contains a text.
    pub(crate) fn wait_for_log(&self, text: &str) {
        while !self.log.recv_timeout(TIMEOUT).expect("a line").contains(text) {}
    }

    /// Waits until it exits by itself; its exit code.
    pub(crate) fn wait_for_exit(&mut self) -> Option<i32> {
        while self.log.recv_timeout(TIMEOUT) != Err(std::sync::mpsc::RecvTimeoutError::Disconnected) {}
        self.child.wait().expect("ended").code()
    }

    /// A connection of a client.
    pub(crate) fn connect(&self) -> Peer {
        Peer::to(self.client_address)
    }

    /// A connection to the address of its readiness check.
    pub(crate) fn connect_readiness(&self) -> Peer {
        Peer::to(self.readiness)
    }

    /// The status of its readiness check.
    pub(crate) fn readiness(&self) -> u16 {
        self.connect_readiness().send("GET /v1/ready HTTP/1.1\r\nHost: g\r\n\r\n").receive().status()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A gateway that is ready. Its first backend is in its own region, the others are not: the first attempt goes to the
/// first one.
pub(crate) fn serving(backend_count: usize) -> (Gateway, TestControlPlane, TestBackends) {
    let (control, backends) = (TestControlPlane::start(), TestBackends::open(backend_count));
    let addresses = backends.addresses.clone();
    let gateway = Gateway::start(&control);
    publish_all(&control, &addresses);
    control.wait_until_synced();
    (gateway, control, backends)
}

/// A gateway whose control process does not send what it holds yet.
pub(crate) fn waiting() -> (Gateway, TestControlPlane, TestBackends) {
    let (control, backends) = (TestControlPlane::start(), TestBackends::open(1));
    (Gateway::start(&control), control, backends)
}

/// Publishes the configuration and these backends, the first one in the gateway's own zone.
pub(crate) fn publish_all(control: &TestControlPlane, addresses: &[SocketAddr]) {
    control.publish(&change_request(CONFIGURATION));
    for (n, address) in addresses.iter().enumerate() {
        control.publish(&[backend_item(
            &format!("b{n}"),
            "books",
            *address,
            if n == 0 { "near" } else { "far" },
        )]);
    }
    control.open();
}

/// A request's head without its empty line, of a tenant without a quota.
pub(crate) fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Authorization: Bearer key-of-town\r\n"
    )
}

pub(crate) fn get(path: &str, id: &str) -> String {
    request("GET", path, id) + "\r\n"
}

/// A backend's response.
pub(crate) fn answer(status: &str, id: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Try-Id: {id}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub(crate) fn ok(id: &str, body: &str) -> String {
    answer("200 OK", id, &format!("X-Postmark: stamp.{id}\r\n"), body)
}
