//! Control processes on addresses of this machine's own: starting, watching and calling them.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// This program's first argument where it is to be a control process.
pub(crate) const NODE_ARGUMENT: &str = "node";
const PROCESSES: u8 = 6;
/// Regions: two processes stand in each.
const REGIONS: u8 = 3;
/// Processes whose addresses all others start with.
const BOOTSTRAP_PROCESSES: u8 = 3;
const PEER_PORT: u16 = 7200;
const OPERATOR_API_PORT: u16 = 7201;
/// What takes longer has failed.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A control process with its files.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
    pub(crate) data_dir: PathBuf,
    pub(crate) operator_api: SocketAddr,
}

/// Resident memory, MB.
pub(crate) struct Memory {
    pub(crate) resident_mb: f64,
    pub(crate) peak_mb: f64,
}

/// A response to a call.
#[derive(Default)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    fn spawn(settings: &Path) -> Child {
        let program = std::env::current_exe().expect("this program");
        let log = std::fs::File::create(settings.with_extension("log")).expect("a file");
        let mut command = Command::new(program);
        command
            .arg(NODE_ARGUMENT)
            .arg(settings)
            .env("KITEPASS_LOG", "info")
            .stderr(log)
            .stdout(Stdio::null());
        command.spawn().expect("it starts")
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills it and starts it again, with or without what it has on disk.
    pub(crate) fn restart(&mut self, is_wiped: bool) {
        self.kill();
        if is_wiped {
            std::fs::remove_dir_all(&self.data_dir).expect("its directory");
            std::fs::create_dir_all(&self.data_dir).expect("a directory");
        }
        // Only the very first start of all processes is marked as the first.
        let text = std::fs::read_to_string(&self.settings).expect("its settings");
        let text = text.replace("maiden-run = true", "maiden-run = false");
        std::fs::write(&self.settings, text).expect("a file");
        self.child = Process::spawn(&self.settings);
    }

    /// Waits until it has caught up and serves, as it answers to operators.
    pub(crate) fn wait_until_serving(&self) -> Duration {
        let since = Instant::now();
        loop {
            let members = call(self.operator_api, "GET", "/v1/members", &[]).unwrap_or_default();
            if String::from_utf8_lossy(&members.body).contains(r#""standing":"current""#) {
                return since.elapsed();
            }
            assert!(since.elapsed() < TIMEOUT, "not caught up");
            std::thread::yield_now();
        }
    }

    pub(crate) fn memory(&self) -> Memory {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mb_of = |name: &str| {
            let value = text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
            value.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or_default() / 1e3
        };
        Memory { resident_mb: mb_of("VmRSS:"), peak_mb: mb_of("VmHWM:") }
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        let files = std::fs::read_dir(&self.data_dir).expect("its directory").flatten();
        files.filter_map(|file| Some(file.metadata().ok()?.len())).sum()
    }
}

/// Starts all processes for the first time, with their files below `root`.
pub(crate) fn start_all(root: &Path) -> Vec<Process> {
    (0..PROCESSES).map(|n| start(root, n)).collect()
}

/// A loopback address that no other run of this program uses at the time.
fn address(n: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 32, low, n + 1)
}

fn start(root: &Path, n: u8) -> Process {
    let settings = root.join(format!("s{n}.toml"));
    let data_dir = root.join(format!("s{n}"));
    std::fs::create_dir_all(&data_dir).expect("a directory");
    let bootstrap: Vec<String> =
        (0..BOOTSTRAP_PROCESSES).map(|n| format!("\"{}:{OPERATOR_API_PORT}\"", address(n))).collect();
    let (address, region) = (address(n), n % REGIONS);
    let text = format!(
        "station = \"s{n}\"\nip = \"{address}\"\ndistrict = \"d{n}\"\nprovince = \"p{region}\"\n\
         sidings = [{PEER_PORT}, 7210]\nfirst-stops = [{}]\nmaiden-run = true\non-roll = true\n\
         archive-dir = {data_dir:?}\n[counters]\ncontrol-desk = \"{address}:{OPERATOR_API_PORT}\"\n",
        bootstrap.join(", "),
    );
    std::fs::write(&settings, text).expect("a file");
    let operator_api = SocketAddr::new(address.into(), OPERATOR_API_PORT);
    Process { child: Process::spawn(&settings), settings, data_dir, operator_api }
}

/// Makes a call of the operators' API; none if there is no complete response.
pub(crate) fn call(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    let status = std::str::from_utf8(response.get(9..12)?).ok()?.parse().ok()?;
    let head_length = response.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    Some(Response { status, body: response.split_off(head_length) })
}
