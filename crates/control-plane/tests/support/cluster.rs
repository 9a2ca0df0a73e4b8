//! Control processes on addresses of this machine's own, and connections to them.

use super::command::PROGRAM;
use kitepass_coordination::protocol::framing::pack;
use kitepass_coordination::protocol::Message;
use rustix::net::sockopt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);
/// Addresses that a cluster has to itself.
const NODES: u8 = 3;
const SIDING_PORT: u16 = 7100;
const DESK_PORT: u16 = 7101;
const DIRECTORY_PORT: u16 = 7102;

/// Up to three control processes, of which the first is spoken to.
pub struct Cluster {
    pub children: Vec<Child>,
    folder: PathBuf,
    pub ips: [Ipv4Addr; NODES as usize],
    /// Of the first: for operators, for clients' look-ups, and for other processes.
    pub desk: SocketAddr,
    pub directory: SocketAddr,
    pub siding: SocketAddr,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    fn new() -> Cluster {
        static INCOMING: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = std::process::id().to_be_bytes();
        let first = INCOMING.fetch_add(NODES, Ordering::Relaxed);
        let ips = [0, 1, 2].map(|n| Ipv4Addr::new(127, high | 32, low, first + n));
        let folder = std::env::temp_dir().join(format!("accord-desk-{}", ips[0]));
        let address = |port| SocketAddr::new(ips[0].into(), port);
        let (desk, directory, siding) = (address(DESK_PORT), address(DIRECTORY_PORT), address(SIDING_PORT));
        Cluster { children: Vec::new(), folder, ips, desk, directory, siding }
    }

    /// Starts all three, and waits until the first has caught up.
    pub fn start() -> Cluster {
        let mut cluster = Cluster::new();
        let ips = cluster.ips;
        (0..ips.len()).for_each(|n| cluster.spawn(n, &ips));
        let since = Instant::now();
        while TcpStream::connect(cluster.desk).is_err()
            || cluster.connect().call("GET", "Timetable.Get", "").0 != 200
        {
            assert!(since.elapsed() < PATIENCE, "no core is founded");
            std::thread::yield_now();
        }
        cluster
    }

    /// Starts the first alone: it knows of no configuration, and finds nobody who does.
    pub fn start_alone() -> Cluster {
        let mut cluster = Cluster::new();
        let others = [cluster.ips[1], cluster.ips[2]];
        cluster.spawn(0, &others);
        let since = Instant::now();
        while TcpStream::connect(cluster.desk).is_err() {
            assert!(since.elapsed() < PATIENCE, "it does not listen");
            std::thread::yield_now();
        }
        cluster
    }

    fn spawn(&mut self, n: usize, first_stops: &[Ipv4Addr]) {
        let (address, own) = (self.ips[n], self.folder.join(format!("s{n}")));
        std::fs::create_dir_all(&own).expect("a folder");
        let file = self.folder.join(format!("s{n}.toml"));
        let first_stops: Vec<String> =
            first_stops.iter().map(|address| format!("\"{address}:{DESK_PORT}\"")).collect();
        let text = format!(
            "station = \"s{n}\"\nip = \"{address}\"\ndistrict = \"d{n}\"\nprovince = \"p\"\nsidings = [{SIDING_PORT}, 7110]\n\
             first-stops = [{}]\nmaiden-run = true\non-roll = true\narchive-dir = {own:?}\n\
             [districts]\nd0 = \"p\"\nd1 = \"p\"\nd2 = \"p\"\n\
             [counters]\ncontrol-desk = \"{address}:{DESK_PORT}\"\ndirectory-desk = \"{address}:{DIRECTORY_PORT}\"\n",
            first_stops.join(", ")
        );
        std::fs::write(&file, text).expect("a file");
        let mut command = Command::new(PROGRAM);
        let command = command.arg("serve").arg("--settings").arg(&file).stderr(Stdio::null());
        self.children.push(command.spawn().expect("the program starts"));
    }

    /// A connection to the first one's control desk.
    pub fn connect(&self) -> Connection {
        Connection::to(self.desk)
    }
}

/// A connection, and what has come on it and is not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Connection {
    pub fn to(address: SocketAddr) -> Connection {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("an option");
        Connection { stream, input: Vec::new() }
    }

    pub fn send(&mut self, text: &str) -> &mut Connection {
        self.stream.write_all(text.as_bytes()).expect("written");
        self
    }

    /// Sends what other processes of the system send.
    pub fn send_word(&mut self, message: Message) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        pack(message, &mut bytes);
        self.stream.write_all(&bytes)
    }

    /// Waits for more input; false once the connection has ended.
    pub fn fill(&mut self) -> bool {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(length) => {
                self.input.extend_from_slice(&piece[..length]);
                length > 0
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("nothing came: {error}"),
        }
    }

    /// The next answer as it came: its head, and its body.
    pub fn receive_raw(&mut self) -> (String, String) {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
                let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
                if rest.len() >= length {
                    self.input.drain(..head.len() + 4 + length);
                    return (format!("{head}\r\n\r\n"), rest[..length].to_owned());
                }
            }
            assert!(self.fill(), "it ended after {text:?}");
        }
    }

    /// The next answer's status and body.
    pub fn receive(&mut self) -> (u16, String) {
        let (head, body) = self.receive_raw();
        (head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status"), body)
    }

    pub fn call(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.send(&request(method, path, body)).receive()
    }

    /// Whether the other side ends the connection, sending nothing more.
    pub fn ends(&mut self) -> bool {
        !self.fill() && self.input.is_empty()
    }

    pub fn reset(self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("an option");
    }
}

pub fn request(method: &str, path: &str, body: &str) -> String {
    format!("{method} /v1/{path} HTTP/1.1\r\nHost: desk\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
