//! Clusters of control processes, and client connections to them. Each process has its own loopback address.

use super::command::PROGRAM;
use kitepass_coordination::protocol::framing::encode_message;
use kitepass_coordination::protocol::Message;
use rustix::net::sockopt;
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Maximum time that a test waits for a condition or for input.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
/// Number of processes in a cluster.
const PROCESS_COUNT: u8 = 3;
/// Port on which a process accepts other control processes and gateways.
const PEER_PORT: u16 = 7100;
const OPERATOR_API_PORT: u16 = 7101;
const DIRECTORY_API_PORT: u16 = 7102;

/// A cluster of three control processes, of which all or only the first are started. Requests go to the first one. The
/// processes are killed when the cluster is dropped.
pub(crate) struct Cluster {
    /// Appended to the settings of each process.
    settings: String,
    /// The processes that were started.
    pub(crate) children: Vec<Child>,
    /// Directory of the settings files and of the processes' data.
    dir: PathBuf,
    /// Addresses of all processes.
    pub(crate) addresses: [Ipv4Addr; PROCESS_COUNT as usize],
    /// Address of the first process's operator API.
    pub(crate) operator_api: SocketAddr,
    /// Address of the first process's directory API, where clients look up gateways.
    pub(crate) directory_api: SocketAddr,
    /// Address on which the first process accepts other control processes and gateways.
    pub(crate) peer_listener: SocketAddr,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Cluster {
    fn new(settings: &str) -> Cluster {
        // The addresses are derived from the id of this test process and a counter, so that tests that run at the same
        // time do not share any.
        static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = std::process::id().to_be_bytes();
        let first_host = NEXT_HOST.fetch_add(PROCESS_COUNT, Ordering::Relaxed);
        let addresses = [0, 1, 2].map(|n| Ipv4Addr::new(127, high | 32, low, first_host + n));
        let listener = |port| SocketAddr::new(addresses[0].into(), port);
        Cluster {
            settings: settings.to_owned(),
            children: Vec::new(),
            dir: std::env::temp_dir().join(format!("kitepass-control-plane-{}", addresses[0])),
            addresses,
            operator_api: listener(OPERATOR_API_PORT),
            directory_api: listener(DIRECTORY_API_PORT),
            peer_listener: listener(PEER_PORT),
        }
    }

    /// Starts all processes, and waits until the first one returns its configuration.
    pub(crate) fn start() -> Cluster {
        Cluster::start_with_settings("")
    }

    /// Does the same, with additional settings.
    pub(crate) fn start_with_settings(settings: &str) -> Cluster {
        let mut cluster = Cluster::new(settings);
        let addresses = cluster.addresses;
        (0..addresses.len()).for_each(|n| cluster.spawn(n, &addresses));
        let started_at = Instant::now();
        while TcpStream::connect(cluster.operator_api).is_err()
            || cluster.connect().call("GET", "Timetable.Get", "").0 != 200
        {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "the first process does not return its configuration in time"
            );
            std::thread::yield_now();
        }
        cluster
    }

    /// Starts only the first process. It has no configuration, and the peers that it tries to reach are not running.
    pub(crate) fn start_alone() -> Cluster {
        let mut cluster = Cluster::new("");
        let others = [cluster.addresses[1], cluster.addresses[2]];
        cluster.spawn(0, &others);
        let started_at = Instant::now();
        // The process opens its listeners one after another, so this waits for each of them.
        for address in [cluster.operator_api, cluster.directory_api, cluster.peer_listener] {
            while TcpStream::connect(address).is_err() {
                assert!(started_at.elapsed() < TIMEOUT, "the process does not listen in time");
                std::thread::yield_now();
            }
        }
        cluster
    }

    /// Starts a process. `bootstrap` holds the addresses that it tries first to find its peers.
    fn spawn(&mut self, n: usize, bootstrap: &[Ipv4Addr]) {
        let address = self.addresses[n];
        let data_dir = self.dir.join(format!("s{n}"));
        std::fs::create_dir_all(&data_dir).expect("create the data directory");
        let file = self.dir.join(format!("s{n}.toml"));
        let bootstrap: Vec<String> =
            bootstrap.iter().map(|address| format!("\"{address}:{OPERATOR_API_PORT}\"")).collect();
        let text = format!(
            "station = \"s{n}\"\nip = \"{address}\"\ndistrict = \"d{n}\"\nprovince = \"p\"\nsidings = [{PEER_PORT}, 7110]\n\
             first-stops = [{}]\nmaiden-run = true\non-roll = true\narchive-dir = {data_dir:?}\n\
             [districts]\nd0 = \"p\"\nd1 = \"p\"\nd2 = \"p\"\n\
             [counters]\ncontrol-desk = \"{address}:{OPERATOR_API_PORT}\"\ndirectory-desk = \"{address}:{DIRECTORY_API_PORT}\"\n{}",
            bootstrap.join(", "),
            self.settings
        );
        std::fs::write(&file, text).expect("write the settings file");
        let mut command = Command::new(PROGRAM);
        let command = command.arg("serve").arg("--settings").arg(&file).stderr(Stdio::null());
        self.children.push(command.spawn().expect("start the program"));
    }

    /// Opens a connection to the first process's operator API.
    pub(crate) fn connect(&self) -> Connection {
        Connection::open(self.operator_api)
    }

    /// Opens a connection to a process's operator API.
    pub(crate) fn connect_to(&self, n: usize) -> Connection {
        Connection::open(SocketAddr::new(self.addresses[n].into(), OPERATOR_API_PORT))
    }

    /// Sends a signal to the first process. Returns after the process has stopped, if the signal stops it.
    pub(crate) fn signal_first_process(&self, signal: Signal) {
        let pid = Pid::from_child(&self.children[0]);
        kill_process(pid, signal).expect("signal the process");
        if signal == Signal::STOP {
            let stopped = waitpid(Some(pid), WaitOptions::UNTRACED).expect("a child process");
            assert!(stopped.is_some_and(|(_, status)| status.stopped()), "{stopped:?}");
        }
    }
}

/// A client connection to a control process.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Bytes that were received but not consumed yet.
    pub(crate) input: Vec<u8>,
}

impl Connection {
    /// Connects to a process.
    pub(crate) fn open(address: SocketAddr) -> Connection {
        let stream = TcpStream::connect(address).expect("connect to the process");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set the socket option");
        Connection { stream, input: Vec::new() }
    }

    pub(crate) fn send(&mut self, text: &str) -> &mut Connection {
        self.stream.write_all(text.as_bytes()).expect("write to the process");
        self
    }

    /// Sends a message of the binary protocol that control processes and gateways use among themselves.
    pub(crate) fn send_message(&mut self, message: Message) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        encode_message(message, &mut bytes);
        self.stream.write_all(&bytes)
    }

    /// Waits for more input. Returns false if the process has closed the connection.
    pub(crate) fn read_more(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(length) => {
                self.input.extend_from_slice(&buffer[..length]);
                length > 0
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("cannot read from the process: {error}"),
        }
    }

    /// Receives a response. Returns its head, up to and including the empty line, and its body.
    pub(crate) fn receive_raw(&mut self) -> (String, String) {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
                let length: usize =
                    length.map_or(0, |length| length.parse().expect("a numeric Content-Length"));
                if rest.len() >= length {
                    self.input.drain(..head.len() + 4 + length);
                    return (format!("{head}\r\n\r\n"), rest[..length].to_owned());
                }
            }
            assert!(self.read_more(), "the connection was closed after {text:?}");
        }
    }

    /// Receives a response. Returns its status code and its body.
    pub(crate) fn receive(&mut self) -> (u16, String) {
        let (head, body) = self.receive_raw();
        (head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a numeric status code"), body)
    }

    /// Sends a request, and returns the status code and the body of the response.
    pub(crate) fn call(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.send(&request(method, path, body)).receive()
    }

    /// Waits for input. Returns whether the process closes the connection without having sent anything that was not
    /// consumed yet.
    pub(crate) fn is_closed_by_peer(&mut self) -> bool {
        !self.read_more() && self.input.is_empty()
    }

    /// Waits for a response for this long. Returns whether nothing arrived.
    pub(crate) fn has_no_response_within(&self, patience: Duration) -> bool {
        self.stream.set_read_timeout(Some(patience)).expect("set the socket option");
        let result = self.stream.peek(&mut [0]);
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("set the socket option");
        result.is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }

    /// Closes the connection with a TCP reset, which a linger time of zero causes.
    pub(crate) fn reset(self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("set the socket option");
    }
}

/// Formats a request of the operator or directory API. `path` is relative to `/v1/`.
pub(crate) fn request(method: &str, path: &str, body: &str) -> String {
    format!("{method} /v1/{path} HTTP/1.1\r\nHost: desk\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
