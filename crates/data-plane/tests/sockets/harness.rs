//! Test harness: runs the gateway with test clients, test backends and a test control process. Clients and backends are
//! controlled step by step by the test, while the control process responds automatically. No wait exceeds [`TIMEOUT`].

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

/// Maximum time to wait for an expected event.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that accepts no more bytes for this long is considered full.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack of the gateway, in KiB. It may not grow with what clients and backends send.
const STACK_KIB: usize = 256;

/// A loopback address that is used nowhere else, in this process or another test process.
fn unique_address() -> IpAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)).into()
}

/// The loopback address shared by all listeners with a system-assigned port.
fn shared_address() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, 1).into()
}

/// Addresses that refuse connections and that a gateway can listen on.
pub(crate) fn unused_addresses<const N: usize>() -> [SocketAddr; N] {
    let address = unique_address();
    // Invariant: these sockets never listen. A child process that another test is starting holds copies of all descriptors
    // until exec; a copied listener would accept connections and prevent the gateway from using the address.
    let sockets: [OwnedFd; N] = std::array::from_fn(|_| {
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None);
        let socket = socket.expect("socket is created");
        net::sockopt::set_socket_reuseaddr(&socket, true).expect("socket option is set");
        net::bind(&socket, &SocketAddr::new(address, 0)).expect("address can be bound");
        socket
    });
    sockets.each_ref().map(|socket| net::getsockname(socket).expect("bound").try_into().expect("IPv4"))
}

/// A received HTTP message.
#[derive(Debug)]
pub(crate) struct HttpMessage {
    /// The start line and header fields, including the terminating empty line.
    pub(crate) head: String,
    /// The body with its transfer encoding removed.
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// The status code of a response.
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("response has a status")
    }

    /// The value of a header field. Panics if the field occurs more than once.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|field| field.split_once(": "));
        let mut values = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value);
        let value = values.next();
        assert_eq!(values.next(), None, "duplicate field {name}: {}", self.head);
        value
    }

    /// Removes a complete message from the front of the input, if there is one.
    fn take(input: &mut Vec<u8>) -> Option<HttpMessage> {
        let end = 4 + input.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
        let head = String::from_utf8(input[..end].to_vec()).expect("head is valid UTF-8");
        let mut message = HttpMessage { head, body: Vec::new() };
        let mut position = end;
        if message.field("transfer-encoding").is_some() {
            loop {
                let line_length = input[position..].windows(2).position(|bytes| bytes == b"\r\n")?;
                let size = std::str::from_utf8(&input[position..position + line_length])
                    .expect("chunk size is valid");
                let size = usize::from_str_radix(size, 16).expect("chunk size is valid");
                position += line_length + 2;
                message.body.extend_from_slice(input.get(position..position + size)?);
                assert_eq!(input.get(position + size..position + size + 2)?, b"\r\n");
                position += size + 2;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message
                .field("content-length")
                .map_or(0, |length| length.parse().expect("Content-Length is a number"));
            message.body.extend_from_slice(input.get(position..position + length)?);
            position += length;
        }
        input.drain(..position);
        Some(message)
    }
}

/// The test's end of a connection.
pub(crate) struct Peer {
    stream: TcpStream,
    input: Vec<u8>,
    /// The index of the backend that accepted the connection. 0 for a client.
    pub(crate) backend_index: usize,
}

impl Peer {
    fn new(stream: TcpStream, backend_index: usize) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).expect("socket option is set");
        stream.set_write_timeout(Some(TIMEOUT)).expect("socket option is set");
        stream.set_nodelay(true).expect("socket option is set");
        Peer { stream, input: Vec::new(), backend_index }
    }

    /// Connects to an address.
    pub(crate) fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect_timeout(&address, TIMEOUT).expect("connection is accepted"), 0)
    }

    /// Sends all bytes.
    pub(crate) fn send(&mut self, text: impl AsRef<[u8]>) -> &mut Peer {
        self.stream.write_all(text.as_ref()).expect("written");
        self
    }

    /// Sends bytes, ignoring errors such as a connection closed by the gateway.
    pub(crate) fn try_send(&mut self, text: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(text.as_ref());
    }

    /// Sends bytes until the connection accepts no more. Returns the number of bytes sent.
    pub(crate) fn send_until_full(&mut self, bytes: &[u8]) -> usize {
        self.stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("socket option is set");
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]) {
                Ok(length) => sent += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("cannot write: {error}"),
            }
        }
        self.stream.set_write_timeout(Some(TIMEOUT)).expect("socket option is set");
        sent
    }

    /// Another handle to the same connection, to send from another thread while this one receives.
    pub(crate) fn duplicate(&self) -> Peer {
        Peer::new(self.stream.try_clone().expect("socket can be duplicated"), self.backend_index)
    }

    /// Limits how much data the system receives ahead of the test.
    pub(crate) fn limit_receive_buffer(&self, bytes: usize) {
        net::sockopt::set_socket_recv_buffer_size(&self.stream, bytes).expect("socket option is set");
    }

    /// Closes the connection.
    ///
    /// Invariant: the socket is shut down explicitly. A child process that another test is starting holds a copy of the
    /// descriptor until exec, so dropping the socket alone might not close the connection yet.
    pub(crate) fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both); // the gateway may have closed it already
    }

    /// Closes the connection with a TCP reset.
    pub(crate) fn reset(self) {
        net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("socket option is set");
    }

    /// Receives the next complete message.
    pub(crate) fn receive(&mut self) -> HttpMessage {
        self.receive_or_end().expect("a message arrives before the connection closes")
    }

    /// Receives the next complete message, or returns `None` if the connection is closed first.
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

    /// Receives this many bytes and discards them.
    pub(crate) fn discard(&mut self, bytes: u64) {
        let stream = Read::by_ref(&mut self.stream);
        let discarded = std::io::copy(&mut stream.take(bytes), &mut std::io::sink());
        assert_eq!(discarded.expect("can be read"), bytes);
    }

    /// Waits until at least this many unparsed bytes have been received.
    pub(crate) fn wait_for_bytes(&mut self, bytes: usize) {
        while self.input.len() < bytes {
            assert!(self.read_more(), "connection closed after {} bytes", self.input.len());
        }
    }

    /// Received bytes that do not yet form a complete message.
    pub(crate) fn unparsed_input(&self) -> &[u8] {
        &self.input
    }

    /// Whether neither data nor the end of the connection is waiting to be read.
    pub(crate) fn is_open(&self) -> bool {
        self.stream.set_nonblocking(true).expect("socket option is set");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("socket option is set");
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 64 * 1024];
        loop {
            return match self.stream.read(&mut buffer) {
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    length > 0
                }
                // A read with a timeout can be interrupted when the system or the process is suspended and resumed.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
                Err(error) => panic!("cannot read: {error}"),
            };
        }
    }

    /// Waits for the next input. Returns true if the connection is closed and no bytes are left unparsed.
    pub(crate) fn closes_without_data(&mut self) -> bool {
        !self.read_more() && self.input.is_empty()
    }
}

/// Test backends. Each connection to any of them is passed to the test.
pub(crate) struct TestBackends {
    /// The listening addresses, by backend index.
    pub(crate) addresses: Vec<SocketAddr>,
    connections: Receiver<Peer>,
}

impl TestBackends {
    fn listen(backend_count: usize) -> TestBackends {
        let (sender, connections) = channel();
        let listen = |backend_index| {
            let listener = TcpListener::bind((shared_address(), 0)).expect("address can be bound");
            let (address, sender) = (listener.local_addr().expect("bound"), sender.clone());
            std::thread::spawn(move || {
                let mut streams = listener.incoming().flatten();
                streams.try_for_each(|stream| sender.send(Peer::new(stream, backend_index)))
            });
            address
        };
        TestBackends { addresses: (0..backend_count).map(listen).collect(), connections }
    }

    /// Waits for the next connection to any backend.
    pub(crate) fn accept(&self) -> Peer {
        self.connections.recv_timeout(TIMEOUT).expect("backend receives a connection")
    }

    /// Whether all connections to the backends have been accepted by the test.
    pub(crate) fn has_no_pending_connection(&self) -> bool {
        self.connections.try_recv().is_err()
    }
}

/// The state of the test control process.
struct ControlPlaneState {
    address: SocketAddr,
    item_store: ItemStore,
    /// Whether it sends its items to the gateway.
    is_sync_enabled: bool,
    session: Option<TcpStream>,
    /// Number of requests that it can still grant to tenants with a quota.
    grants: u32,
    /// Number of end-of-period usage reports it has answered.
    answered_periods: u32,
    /// Receives mid-period grants instead of the gateway, while they are intercepted.
    intercepted_grants: Option<Sender<Message>>,
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
            let _ = session.write_all(bytes); // the gateway reopens a lost session
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
            Message::BucketDigests(_) if self.is_sync_enabled => self.send_all(),
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
                match &self.intercepted_grants {
                    Some(sender) if is_mid_period => sender.send(message).expect("test is still running"),
                    _ => self.send_messages([message]),
                }
            }
            _ => {}
        }
    }
}

/// The test control process, and the heartbeats that it receives from the gateway.
pub(crate) struct TestControlPlane {
    state: Arc<Mutex<ControlPlaneState>>,
    heartbeats: Receiver<Heartbeat>,
}

impl TestControlPlane {
    fn start() -> TestControlPlane {
        let listener = TcpListener::bind((shared_address(), 0)).expect("address can be bound");
        let address = listener.local_addr().expect("bound");
        let state = ControlPlaneState {
            address,
            item_store: ItemStore::new(),
            is_sync_enabled: false,
            session: None,
            grants: 0,
            answered_periods: 0,
            intercepted_grants: None,
        };
        let (state, (sender, heartbeats)) = (Arc::new(Mutex::new(state)), channel());
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().expect("mutex is not poisoned").session = stream.try_clone().ok();
                run_control_process(stream, &shared, &sender);
            }
        });
        TestControlPlane { state, heartbeats }
    }

    fn address(&self) -> SocketAddr {
        self.state.lock().expect("mutex is not poisoned").address
    }

    /// Sends all items to the gateway, and continues to send changes from now on.
    pub(crate) fn start_sync(&self) {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        state.is_sync_enabled = true;
        state.send_all();
    }

    /// Passes mid-period grants to the test instead of sending them to the gateway.
    pub(crate) fn intercept_grants(&self) -> Receiver<Message> {
        let (sender, grants) = channel();
        self.state.lock().expect("mutex is not poisoned").intercepted_grants = Some(sender);
        grants
    }

    pub(crate) fn send(&self, message: Message) {
        self.state.lock().expect("mutex is not poisoned").send_messages([message]);
    }

    pub(crate) fn grant(&self, requests: u32) {
        self.state.lock().expect("mutex is not poisoned").grants = requests;
    }

    /// Stores and sends items. Sends them even if newer versions are stored.
    pub(crate) fn publish(&self, items: &[Item]) {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        for item in items {
            state.item_store.merge(item.clone());
        }
        if state.is_sync_enabled {
            state.send_items(items, Extent::Complete);
        }
    }

    /// Sends the first part of a change without storing it, and waits until the gateway has received it.
    pub(crate) fn publish_first_part(&self, items: &[Item]) {
        self.state.lock().expect("mutex is not poisoned").send_items(items, Extent::Continued);
        self.wait_until_digest_differs();
    }

    /// Sends items as part of a transfer, without storing them.
    pub(crate) fn send_transfer(&self, items: &[Item]) {
        self.state.lock().expect("mutex is not poisoned").send_items(items, Extent::Transfer);
    }

    /// Waits until the gateway's items differ from those of the control process.
    pub(crate) fn wait_until_digest_differs(&self) {
        while self.has_same_digest(&self.next_heartbeat()) {}
    }

    /// Waits until the gateway has a session.
    pub(crate) fn wait_for_session(&self) {
        self.next_heartbeat();
    }

    /// Waits until the gateway's quota is based on the shared counter: two usage reports have been answered, and a further
    /// heartbeat has arrived.
    pub(crate) fn wait_for_usage_totals(&self) {
        while self.state.lock().expect("mutex is not poisoned").answered_periods < 2 {
            self.heartbeats.recv_timeout(TIMEOUT).expect("gateway sends a heartbeat");
        }
        while self.heartbeats.try_recv().is_ok() {}
        self.heartbeats.recv_timeout(TIMEOUT).expect("gateway sends a heartbeat");
    }

    /// Waits until the gateway is ready and has the same items as the control process.
    pub(crate) fn wait_until_synced(&self) {
        loop {
            let heartbeat = self.next_heartbeat();
            if heartbeat.is_ready && self.has_same_digest(&heartbeat) {
                return;
            }
        }
    }

    fn next_heartbeat(&self) -> Heartbeat {
        self.heartbeats.recv_timeout(TIMEOUT).expect("gateway sends a heartbeat")
    }

    /// Whether the gateway that sent this heartbeat has the same items.
    fn has_same_digest(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.digest == self.state.lock().expect("mutex is not poisoned").item_store.digest()
    }
}

fn run_control_process(
    mut stream: TcpStream,
    state: &Mutex<ControlPlaneState>,
    heartbeats: &Sender<Heartbeat>,
) {
    let (mut input, mut buffer, mut decoder) = (Vec::new(), [0; 16 * 1024], MessageDecoder::default());
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        input.extend_from_slice(&buffer[..length]);
        let mut at = 0;
        while let Some(message) = decoder.next(&input, &mut at).expect("gateway sends valid messages") {
            if let Message::Heartbeat(heartbeat) = &message {
                let _ = heartbeats.send(heartbeat.clone());
            }
            state.lock().expect("mutex is not poisoned").receive_message(message);
        }
        input.drain(..at);
    }
}

/// Parses an operator's change request into items.
pub(crate) fn change_request(text: &str) -> Vec<Item> {
    parse_change_request(&SchemaValidator::new(), text.as_bytes()).expect("change request is valid")
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

/// A running gateway process.
pub(crate) struct Gateway {
    client_address: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    settings_path: PathBuf,
    settings_text: String,
    log_lines: Receiver<String>,
}

impl Gateway {
    pub(crate) fn start(control: &TestControlPlane) -> Gateway {
        let [client_address, readiness] = unused_addresses();
        let (control_address, address) = (control.address(), client_address.ip());
        let port = control_address.port();
        let settings_text = format!(
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
            control_address.ip()
        );
        let settings_path = std::env::temp_dir().join(format!("data-plane-{address}.toml"));
        std::fs::write(&settings_path, &settings_text).expect("file can be written");
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -s {STACK_KIB} && exec \"$@\""), "sh"]);
        command
            .arg(env!("CARGO_BIN_EXE_kitepass-data-plane"))
            .arg("--settings")
            .arg(&settings_path)
            .env("KITEPASS_LOG", "info")
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("gateway starts");
        let (lines, (sender, log_lines)) =
            (BufReader::new(child.stderr.take().expect("piped")).lines(), channel());
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let gateway = Gateway { client_address, readiness, child, settings_path, settings_text, log_lines };
        gateway.wait_for_log("event=serving");
        gateway
    }

    /// Replaces text in the settings file, and replaces the file atomically.
    pub(crate) fn replace_in_settings(&self, from: &str, to: &str) {
        assert!(self.settings_text.contains(from), "{from}");
        let replacement = self.settings_path.with_extension("next");
        std::fs::write(&replacement, self.settings_text.replace(from, to)).expect("file can be written");
        std::fs::rename(replacement, &self.settings_path).expect("file can be written");
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("gateway is running");
    }

    /// Suspends the process until it receives SIGCONT.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(Pid::from_child(&self.child)), WaitOptions::UNTRACED)
            .expect("gateway is a child process");
        assert!(stopped.is_some_and(|(_, status)| status.stopped()), "{stopped:?}");
    }

    /// Waits for a log line that contains the text.
    pub(crate) fn wait_for_log(&self, text: &str) {
        while !self.log_lines.recv_timeout(TIMEOUT).expect("gateway writes a log line").contains(text) {}
    }

    /// Waits for the process to exit and returns its exit code.
    pub(crate) fn wait_for_exit(&mut self) -> Option<i32> {
        while self.log_lines.recv_timeout(TIMEOUT) != Err(std::sync::mpsc::RecvTimeoutError::Disconnected) {}
        self.child.wait().expect("ended").code()
    }

    /// Opens a client connection.
    pub(crate) fn connect(&self) -> Peer {
        Peer::connect(self.client_address)
    }

    /// Opens a connection to the readiness check.
    pub(crate) fn connect_readiness(&self) -> Peer {
        Peer::connect(self.readiness)
    }

    /// Requests the readiness check and returns its status.
    pub(crate) fn readiness(&self) -> u16 {
        self.connect_readiness().send("GET /v1/ready HTTP/1.1\r\nHost: g\r\n\r\n").receive().status()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

/// Starts a gateway and waits until it is ready. The first backend is in the gateway's region and the others are not, so
/// the first attempt goes to the first backend.
pub(crate) fn start_ready_gateway(backend_count: usize) -> (Gateway, TestControlPlane, TestBackends) {
    let (control, backends) = (TestControlPlane::start(), TestBackends::listen(backend_count));
    let addresses = backends.addresses.clone();
    let gateway = Gateway::start(&control);
    publish_configuration(&control, &addresses);
    control.wait_until_synced();
    (gateway, control, backends)
}

/// Starts a gateway whose control process does not send any items yet.
pub(crate) fn start_unconfigured_gateway() -> (Gateway, TestControlPlane, TestBackends) {
    let (control, backends) = (TestControlPlane::start(), TestBackends::listen(1));
    (Gateway::start(&control), control, backends)
}

/// Publishes the configuration and the given backends, the first of them in the gateway's zone.
pub(crate) fn publish_configuration(control: &TestControlPlane, addresses: &[SocketAddr]) {
    control.publish(&change_request(CONFIGURATION));
    for (n, address) in addresses.iter().enumerate() {
        control.publish(&[backend_item(
            &format!("b{n}"),
            "books",
            *address,
            if n == 0 { "near" } else { "far" },
        )]);
    }
    control.start_sync();
}

/// A request head without the terminating empty line, sent by a tenant without a quota.
pub(crate) fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Authorization: Bearer key-of-town\r\n"
    )
}

pub(crate) fn get(path: &str, id: &str) -> String {
    request("GET", path, id) + "\r\n"
}

/// A backend response.
pub(crate) fn response(status: &str, id: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Try-Id: {id}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub(crate) fn ok(id: &str, body: &str) -> String {
    response("200 OK", id, &format!("X-Postmark: stamp.{id}\r\n"), body)
}
