//! Three control processes on this machine's own addresses, and calls of many MiB to their desks: what is within the
//! stated limit is confirmed and read back, what is beyond it is refused before anything of it is kept.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const MIB: usize = 1024 * 1024;
/// Longer than any answer here may take, the longest call in a debug build on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

struct StateMachine {
    folder: PathBuf,
    processes: Vec<Child>,
    desks: Vec<SocketAddr>,
}

impl Drop for StateMachine {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl StateMachine {
    /// Starts three, and waits until all of them have caught up.
    fn start() -> StateMachine {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ips = [1, 2, 3].map(|n| Ipv4Addr::new(127, high | 64, low, n));
        let folder = std::env::temp_dir().join(format!("accord-large-{}", std::process::id()));
        let first: Vec<String> = ips.iter().map(|address| format!("\"{address}:7101\"")).collect();
        let mut core = StateMachine { folder: folder.clone(), processes: Vec::new(), desks: Vec::new() };
        for (n, address) in ips.into_iter().enumerate() {
            let own = folder.join(format!("s{n}"));
            std::fs::create_dir_all(&own).expect("a folder");
            let file = folder.join(format!("s{n}.toml"));
            let text = format!(
                "station = \"s{n}\"\nip = \"{address}\"\ndistrict = \"d{n}\"\nprovince = \"p{n}\"\nsidings = [7100, 7110]\n\
                 first-stops = [{}]\nmaiden-run = true\non-roll = true\narchive-dir = {own:?}\n\
                 [counters]\ncontrol-desk = \"{address}:7101\"\n",
                first.join(", ")
            );
            std::fs::write(&file, text).expect("a file");
            let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-control-plane"));
            let command = command.arg("serve").arg("--settings").arg(&file).stderr(Stdio::null());
            core.processes.push(command.spawn().expect("the program starts"));
            core.desks.push(SocketAddr::new(address.into(), 7101));
        }
        let since = Instant::now();
        while !core.desks.iter().all(|desk| {
            TcpStream::connect(desk).is_ok()
                && ask(*desk, "GET", "/v1/Timetable.Get", Body::Sized(&[])).0 == 200
        }) {
            assert!(since.elapsed() < PATIENCE, "no core is founded");
            std::thread::yield_now();
        }
        core
    }
}

enum Body<'a> {
    Sized(&'a [u8]),
    /// A length is claimed, and nothing sent.
    Claimed(usize),
    Chunked(&'a [u8]),
}

/// A call's status and the answer's body. What cannot be written any more once the answer is there is let go.
fn ask(desk: SocketAddr, method: &str, path: &str, body: Body) -> (u16, String) {
    let mut stream = TcpStream::connect(desk).expect("a desk");
    stream.set_read_timeout(Some(PATIENCE)).expect("an option");
    let framing = match &body {
        Body::Sized(bytes) => format!("Content-Length: {}", bytes.len()),
        Body::Claimed(length) => format!("Content-Length: {length}"),
        Body::Chunked(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!("{method} {path} HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n{framing}\r\n\r\n");
    let _ = stream.write_all(head.as_bytes());
    match body {
        Body::Sized(bytes) => _ = stream.write_all(bytes),
        Body::Claimed(_) => {}
        Body::Chunked(bytes) => {
            for piece in bytes.chunks(100_000) {
                let framed = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
                if stream.write_all(&framed).is_err() {
                    break;
                }
            }
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer, whole");
    let answer = String::from_utf8_lossy(&answer);
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    (status, answer.split_once("\r\n\r\n").expect("a head").1.to_owned())
}

/// A change of about so many bytes: customers with many long keys.
fn change(name: &str, version: u64, bytes: usize) -> Vec<u8> {
    let key = |customer: usize, n: usize| format!("\"{name}-{customer}-{n}-{}\"", "k".repeat(200));
    let mut entries = Vec::new();
    let mut size = 0;
    while size + 22_000 < bytes {
        let keys: Vec<String> = (0..100).map(|n| key(entries.len(), n)).collect();
        let entry = format!("[\"{name}-{}\",[{}],1,0,0,\"r{version}\"]", entries.len(), keys.join(","));
        size += entry.len() + 1;
        entries.push(entry);
    }
    let headings = r#"["name","permits","class-of-mail","rate-per-s","surge","edition"]"#;
    let call = format!(
        r#"{{"deliver":{{"customers":{{"headings":{headings},"entries":[{}]}}}}}}"#,
        entries.join(",")
    );
    assert!(call.len() <= bytes && call.len() + 30_000 > bytes);
    call.into_bytes()
}

#[test]
fn calls_within_the_limit_are_confirmed_and_those_beyond_it_refused_at_once() {
    let core = StateMachine::start();
    let patch = |desk: usize, body: Body| ask(core.desks[desk], "POST", "/v1/Timetable.Patch", body);
    let (nine, fourteen) = (change("nine", 1, 9 * MIB), change("fourteen", 1, 14 * MIB));
    assert_eq!(patch(0, Body::Sized(&nine)).0, 200, "9 MiB");
    assert_eq!(patch(1, Body::Chunked(&fourteen)).0, 200, "14 MiB");
    // By its length alone, before any byte of the body; without one once it has passed the limit.
    let beyond = change("beyond", 1, 17 * MIB);
    assert_eq!(patch(2, Body::Claimed(16 * MIB + 1)).0, 413);
    assert_eq!(patch(2, Body::Sized(&beyond)).0, 413, "17 MiB, told");
    assert_eq!(patch(2, Body::Chunked(&beyond)).0, 413, "17 MiB, in chunks");
    let (status, standing) = ask(core.desks[2], "GET", "/v1/Timetable.Get", Body::Sized(&[]));
    let has = |name: &str| standing.contains(&format!("\"{name}-0\""));
    assert_eq!((status, has("nine"), has("fourteen"), has("beyond")), (200, true, true, false));
}
