//! Stand-ins for what a gateway talks to. Clients and backends are led by the test step by step: each says only what
//! the test has it say. The control process answers by itself. Nothing waits for longer than `PATIENCE`.

use kitepass_config::{parse_change_request, Item, ItemStore, Kind, SchemaValidator};
use kitepass_coordination::protocol::*;
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

pub const PATIENCE: Duration = Duration::from_secs(10);
/// A way on which there is no room for so long is full.
const FULL: Duration = Duration::from_millis(200);

/// An address that nobody else uses: of this process, and of one place in it.
fn own_address() -> IpAddr {
    static INCOMING: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, INCOMING.fetch_add(1, Ordering::Relaxed)).into()
}

/// The address that listeners share which take any port that is free.
fn shared_address() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, 1).into()
}

/// Addresses where connections are refused, and where a gateway can listen.
pub fn nobody<const N: usize>() -> [SocketAddr; N] {
    let address = own_address();
    // They never listen. Danger: a program that another test starts just now holds a copy of every descriptor until
    // it runs; a listener would go on in it, take connections in and keep the address from the gateway.
    let sockets: [OwnedFd; N] = std::array::from_fn(|_| {
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None);
        let socket = socket.expect("a socket");
        net::sockopt::set_socket_reuseaddr(&socket, true).expect("an option");
        net::bind(&socket, &SocketAddr::new(address, 0)).expect("an address");
        socket
    });
    sockets.each_ref().map(|socket| net::getsockname(socket).expect("bound").try_into().expect("IPv4"))
}

/// A message as it came, the head with its empty line, the body without its framing.
#[derive(Debug)]
pub struct HttpMessage {
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }

    /// The field's value; it may be there once at most.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value);
        let value = values.next();
        assert_eq!(values.next(), None, "{name} is there twice: {}", self.head);
        value
    }

    /// Takes a whole message off the input's front, if it is there.
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
pub struct Service {
    stream: TcpStream,
    input: Vec<u8>,
    /// The number of the backend at this side.
    pub backend: usize,
}

impl Service {
    fn new(stream: TcpStream, backend: usize) -> Service {
        stream.set_read_timeout(Some(PATIENCE)).expect("an option");
        stream.set_write_timeout(Some(PATIENCE)).expect("an option");
        stream.set_nodelay(true).expect("an option");
        Service { stream, input: Vec::new(), backend }
    }

    pub fn to(address: SocketAddr) -> Service {
        Service::new(TcpStream::connect_timeout(&address, PATIENCE).expect("a connection"), 0)
    }

    pub fn say(&mut self, text: impl AsRef<[u8]>) -> &mut Service {
        self.stream.write_all(text.as_ref()).expect("written");
        self
    }

    /// Says it, unless the other side has left.
    pub fn try_say(&mut self, text: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(text.as_ref());
    }

    /// Says as much as there is room for on the way, with nothing read at its end; how much that was.
    pub fn say_until_full(&mut self, bytes: &[u8]) -> usize {
        self.stream.set_write_timeout(Some(FULL)).expect("an option");
        let mut said = 0;
        while said < bytes.len() {
            match self.stream.write(&bytes[said..]) {
                Ok(length) => said += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("not written: {error}"),
            }
        }
        self.stream.set_write_timeout(Some(PATIENCE)).expect("an option");
        said
    }

    /// Another hand on the same connection, to say something while this one hears.
    pub fn hand(&self) -> Service {
        Service::new(self.stream.try_clone().expect("a descriptor"), self.backend)
    }

    /// Danger: a program that another test starts just now holds a copy of every descriptor until it runs; with
    /// a drop alone the connection would end only then.
    pub fn end(self) {
        let _ = self.stream.shutdown(Shutdown::Both); // the other side may have left
    }

    pub fn reset(self) {
        net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("an option");
    }

    /// The next whole message.
    pub fn hear(&mut self) -> HttpMessage {
        self.hear_or_end().expect("a message")
    }

    /// The next whole message, or nothing if the other side has ended the connection without one.
    pub fn hear_or_end(&mut self) -> Option<HttpMessage> {
        loop {
            if let Some(message) = HttpMessage::take(&mut self.input) {
                return Some(message);
            }
            if !self.more() {
                return None;
            }
        }
    }

    /// Waits until so many bytes have come that are not used yet.
    pub fn until(&mut self, bytes: usize) {
        while self.input.len() < bytes {
            assert!(self.more(), "it ended after {} bytes", self.input.len());
        }
    }

    /// What has come and is no whole message.
    pub fn rest(&self) -> &[u8] {
        &self.input
    }

    fn more(&mut self) -> bool {
        let mut piece = [0; 64 * 1024];
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
}

/// Backends: each connection that comes in to any of them is handed to the test.
pub struct Stand {
    pub addresses: Vec<SocketAddr>,
    lines: Receiver<Service>,
}

impl Stand {
    fn open(backends: usize) -> Stand {
        let (taken, lines) = channel();
        let open = |backend| {
            let listener = TcpListener::bind((shared_address(), 0)).expect("an address");
            let (address, taken) = (listener.local_addr().expect("bound"), taken.clone());
            std::thread::spawn(move || {
                let mut streams = listener.incoming().flatten();
                streams.try_for_each(|stream| taken.send(Service::new(stream, backend)))
            });
            address
        };
        Stand { addresses: (0..backends).map(open).collect(), lines }
    }

    pub fn line(&self) -> Service {
        self.lines.recv_timeout(PATIENCE).expect("a connection")
    }

    /// Whether nobody has connected beside those whose connection was taken.
    pub fn is_untouched(&self) -> bool {
        self.lines.try_recv().is_err()
    }
}

/// What a control process holds.
struct Desk {
    address: SocketAddr,
    item_store: ItemStore,
    /// It tells what it holds.
    open: bool,
    session: Option<TcpStream>,
    /// Requests that it still grants to tenants with a limit.
    grants: u32,
    /// Periods that it has answered.
    counted: u32,
    /// Where answers between two periods go, while they are held back.
    held: Option<Sender<Message>>,
}

impl Desk {
    fn say(&mut self, messages: impl IntoIterator<Item = Message>) {
        let mut bytes = Vec::new();
        messages.into_iter().for_each(|message| pack(message, &mut bytes));
        self.say_bytes(&bytes);
    }

    fn say_bytes(&mut self, bytes: &[u8]) {
        if let Some(session) = &mut self.session {
            let _ = session.write_all(bytes); // a session that is lost comes again
        }
    }

    fn say_all(&mut self) {
        let mut bytes = Vec::new();
        pack_items(self.item_store.items(), &mut bytes);
        self.say_bytes(&bytes);
        let hashes = self.item_store.buckets().to_vec();
        let live = MembershipUpdate {
            gateway_count: 1,
            node_ids: vec!["gateway".into()],
            control_addresses: vec![self.address.ip().to_string()],
            control_districts: vec!["near".into()],
        };
        self.say([
            Message::BucketDigests(BucketDigests { digests: hashes, wants_reply: true }),
            Message::MembershipUpdate(live),
        ]);
    }

    fn hear(&mut self, message: Message) {
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
                self.say([Message::Hello(hello)]);
            }
            Message::BucketDigests(_) if self.open => self.say_all(),
            Message::Heartbeat(_) => {
                let beat = Heartbeat {
                    digest: self.item_store.digest(),
                    is_serving: true,
                    is_complete: true,
                    ..Heartbeat::default()
                };
                self.say([Message::Heartbeat(beat)]);
            }
            Message::UsageReport(UsageReport {
                request_id,
                node_id,
                tenants: adds,
                incarnation,
                is_mid_period: asks,
            }) => {
                self.counted += u32::from(!asks);
                let mut grant = |add: TenantUsage| {
                    let granted = add.requested.min(self.grants);
                    self.grants -= granted;
                    TenantTotal { tenant: add.tenant, granted, ..TenantTotal::default() }
                };
                let totals = adds.into_iter().map(&mut grant).collect();
                let message = Message::UsageTotals(UsageTotals {
                    request_id,
                    node_id,
                    tenants: totals,
                    incarnation,
                    is_mid_period: asks,
                });
                match &self.held {
                    Some(held) if asks => held.send(message).expect("the test goes on"),
                    _ => self.say([message]),
                }
            }
            _ => {}
        }
    }
}

/// A control process, with what a gateway beats to it.
pub struct Control {
    desk: Arc<Mutex<Desk>>,
    beats: Receiver<Heartbeat>,
}

impl Control {
    fn start() -> Control {
        let listener = TcpListener::bind((shared_address(), 0)).expect("an address");
        let address = listener.local_addr().expect("bound");
        let desk = Desk {
            address,
            item_store: ItemStore::new(),
            open: false,
            session: None,
            grants: 0,
            counted: 0,
            held: None,
        };
        let (desk, (say, beats)) = (Arc::new(Mutex::new(desk)), channel());
        let shared = desk.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().expect("whole").session = stream.try_clone().ok();
                serve(stream, &shared, &say);
            }
        });
        Control { desk, beats }
    }

    fn address(&self) -> SocketAddr {
        self.desk.lock().expect("whole").address
    }

    /// From now on it tells all that it holds.
    pub fn open(&self) {
        let mut desk = self.desk.lock().expect("whole");
        desk.open = true;
        desk.say_all();
    }

    /// From now on it holds back what is granted between two periods.
    pub fn hold(&self) -> Receiver<Message> {
        let (held, messages) = channel();
        self.desk.lock().expect("whole").held = Some(held);
        messages
    }

    pub fn say(&self, message: Message) {
        self.desk.lock().expect("whole").say([message]);
    }

    pub fn grant(&self, requests: u32) {
        self.desk.lock().expect("whole").grants = requests;
    }

    /// Tells these items, the newest version or not.
    pub fn tell(&self, items: &[Item]) {
        let mut desk = self.desk.lock().expect("whole");
        for item in items {
            desk.item_store.merge(item.clone());
        }
        let items = items.iter().map(ItemMessage::from).collect();
        if desk.open {
            desk.say([Message::Items(Items { items })]);
        }
    }

    /// Waits until the gateway goes by the count: it has had the answer to its second period a short time ago.
    pub fn counts(&self) {
        while self.desk.lock().expect("whole").counted < 2 {
            self.beats.recv_timeout(PATIENCE).expect("a beat");
        }
        while self.beats.try_recv().is_ok() {}
        self.beats.recv_timeout(PATIENCE).expect("a beat");
    }

    /// Waits until the gateway is ready and holds what is held here.
    pub fn agrees(&self) {
        loop {
            let beat = self.beats.recv_timeout(PATIENCE).expect("a beat");
            if beat.is_ready && beat.digest == self.desk.lock().expect("whole").item_store.digest() {
                return;
            }
        }
    }
}

fn serve(mut stream: TcpStream, desk: &Mutex<Desk>, beats: &Sender<Heartbeat>) {
    let (mut input, mut piece, mut assembler) = (Vec::new(), [0; 16 * 1024], Assembler::default());
    while let Ok(length @ 1..) = stream.read(&mut piece) {
        input.extend_from_slice(&piece[..length]);
        let mut at = 0;
        while let Some(message) = assembler.next(&input, &mut at).expect("a gateway's words") {
            if let Message::Heartbeat(beat) = &message {
                let _ = beats.send(beat.clone());
            }
            desk.lock().expect("whole").hear(message);
        }
        input.drain(..at);
    }
}

/// A call of the operator's, as items.
pub fn call(text: &str) -> Vec<Item> {
    parse_change_request(&SchemaValidator::new(), text.as_bytes()).expect("a call")
}

pub fn backend(name: &str, service: &str, address: SocketAddr, zone: &str) -> Item {
    let value = format!(
        r#"{{"line":"{service}","address":"{address}","district":"{zone}","berths":4,"closing":false,"cold-ms":0}}"#
    );
    Item { kind: Kind::Backend, name: name.into(), version: 1, value: Some(value.into_bytes().into()) }
}

pub const CONFIGURATION: &str = r#"{"deliver":{
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

/// A gateway that runs.
pub struct Gateway {
    front: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    path: PathBuf,
    text: String,
    log: Receiver<String>,
}

impl Gateway {
    pub fn start(control: &Control) -> Gateway {
        let [front, readiness] = nobody();
        let (stop, address) = (control.address(), front.ip());
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
front-counter = "{front}"
readiness = "{readiness}"
[schedule-bounds]
retry-margin = 60
quota-margin = 0
quota-excess = 0
courtesy-s = 4
"#,
            stop.ip()
        );
        let path = std::env::temp_dir().join(format!("course-{address}.toml"));
        std::fs::write(&path, &text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-data-plane"));
        command.arg("--settings").arg(&path).env("KITEPASS_LOG", "info").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let (lines, (say, log)) = (BufReader::new(child.stderr.take().expect("piped")).lines(), channel());
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| say.send(line)));
        let gateway = Gateway { front, readiness, child, path, text, log };
        gateway.logs("event=serving");
        gateway
    }

    /// Changes its settings, put in place whole.
    pub fn change(&self, from: &str, to: &str) {
        assert!(self.text.contains(from), "{from}");
        let next = self.path.with_extension("next");
        std::fs::write(&next, self.text.replace(from, to)).expect("a file");
        std::fs::rename(next, &self.path).expect("a file");
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// It stands still from here on, until it is told to go on.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(Pid::from_child(&self.child)), WaitOptions::UNTRACED).expect("a child");
        assert!(stopped.is_some_and(|(_, status)| status.stopped()), "{stopped:?}");
    }

    /// Waits for a line of its log that holds this.
    pub fn logs(&self, text: &str) {
        while !self.log.recv_timeout(PATIENCE).expect("a line").contains(text) {}
    }

    /// Waits until it ends by itself; its exit code.
    pub fn end(&mut self) -> Option<i32> {
        while self.log.recv_timeout(PATIENCE) != Err(std::sync::mpsc::RecvTimeoutError::Disconnected) {}
        self.child.wait().expect("ended").code()
    }

    pub fn line(&self) -> Service {
        Service::to(self.front)
    }

    /// A connection to the address where its readiness is asked for.
    pub fn readiness_line(&self) -> Service {
        Service::to(self.readiness)
    }

    /// What the readiness check says.
    pub fn readiness(&self) -> u16 {
        self.readiness_line().say("GET /v1/ready HTTP/1.1\r\nHost: g\r\n\r\n").hear().status()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A gateway that is ready. Its first backend is near, each other one far: the first leg goes to the near one.
pub fn serving(backends: usize) -> (Gateway, Control, Stand) {
    let (control, stand) = (Control::start(), Stand::open(backends));
    let addresses = stand.addresses.clone();
    let gateway = Gateway::start(&control);
    tell_all(&control, &addresses);
    control.agrees();
    (gateway, control, stand)
}

/// A gateway whose control process keeps silent so far.
pub fn waiting() -> (Gateway, Control, Stand) {
    let (control, stand) = (Control::start(), Stand::open(1));
    (Gateway::start(&control), control, stand)
}

/// Tells the configuration and these backends, the first one near.
pub fn tell_all(control: &Control, addresses: &[SocketAddr]) {
    control.tell(&call(CONFIGURATION));
    for (n, address) in addresses.iter().enumerate() {
        control.tell(&[backend(&format!("b{n}"), "books", *address, if n == 0 { "near" } else { "far" })]);
    }
    control.open();
}

/// A request's head without its empty line, of a tenant without a limit.
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Authorization: Bearer key-of-town\r\n"
    )
}

pub fn get(path: &str, id: &str) -> String {
    request("GET", path, id) + "\r\n"
}

/// A backend's answer.
pub fn answer(status: &str, id: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Try-Id: {id}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn ok(id: &str, body: &str) -> String {
    answer("200 OK", id, &format!("X-Postmark: stamp.{id}\r\n"), body)
}
