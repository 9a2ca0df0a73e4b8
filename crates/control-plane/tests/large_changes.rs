//! Changes of many MiB in a cluster of three control processes on loopback addresses. Changes within the size limit are
//! committed and read back; larger ones are rejected before any part of them is stored.

mod support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::long_change::change;

const MIB: usize = 1024 * 1024;
/// Maximum duration of an event loop turn, in debug builds too: half of the time after which quorum contact is lost.
const MAX_TURN_MS: u64 = 1_000;
/// Timeout of a response, long enough for the largest change in a debug build on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Cluster {
    dir: PathBuf,
    children: Vec<Child>,
    operator_apis: Vec<SocketAddr>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.children {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Cluster {
    /// Starts three processes, and waits until all of them are serving.
    fn start() -> Cluster {
        let [.., high, low] = std::process::id().to_be_bytes();
        let addresses = [1, 2, 3].map(|n| Ipv4Addr::new(127, high | 64, low, n));
        let dir = std::env::temp_dir().join(format!("kitepass-large-changes-{}", std::process::id()));
        let bootstrap: Vec<String> = addresses.iter().map(|address| format!("\"{address}:7101\"")).collect();
        let mut cluster = Cluster { dir: dir.clone(), children: Vec::new(), operator_apis: Vec::new() };
        for (n, address) in addresses.into_iter().enumerate() {
            let data_dir = dir.join(format!("s{n}"));
            std::fs::create_dir_all(&data_dir).expect("create the data directory");
            let file = dir.join(format!("s{n}.toml"));
            let text = format!(
                "station = \"s{n}\"\nip = \"{address}\"\ndistrict = \"d{n}\"\nprovince = \"p{n}\"\nsidings = [7100, 7110]\n\
                 first-stops = [{}]\nmaiden-run = true\non-roll = true\narchive-dir = {data_dir:?}\n\
                 [counters]\ncontrol-desk = \"{address}:7101\"\n",
                bootstrap.join(", ")
            );
            std::fs::write(&file, text).expect("write the settings file");
            let mut command = Command::new(env!("CARGO_BIN_EXE_kitepass-control-plane"));
            let command = command.arg("serve").arg("--settings").arg(&file).stderr(Stdio::null());
            cluster.children.push(command.spawn().expect("start the program"));
            cluster.operator_apis.push(SocketAddr::new(address.into(), 7101));
        }
        let started_at = Instant::now();
        while !cluster.operator_apis.iter().all(|address| {
            TcpStream::connect(address).is_ok()
                && call(*address, "GET", "/v1/Timetable.Get", Body::Sized(&[])).0 == 200
        }) {
            assert!(started_at.elapsed() < TIMEOUT, "the control plane does not form in time");
            std::thread::yield_now();
        }
        cluster
    }
}

enum Body<'a> {
    Sized(&'a [u8]),
    /// Declares this length and sends no body.
    DeclaredOnly(usize),
    Chunked(&'a [u8]),
}

/// Sends a request; returns the status and the body of the response. Write errors are ignored, as the server may
/// respond and close the connection before it has read the whole request.
fn call(address: SocketAddr, method: &str, path: &str, body: Body) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("connect to the process");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set the socket option");
    let framing = match &body {
        Body::Sized(bytes) => format!("Content-Length: {}", bytes.len()),
        Body::DeclaredOnly(length) => format!("Content-Length: {length}"),
        Body::Chunked(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    let header = format!("{method} {path} HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n{framing}\r\n\r\n");
    let _ = stream.write_all(header.as_bytes());
    match body {
        Body::Sized(bytes) => _ = stream.write_all(bytes),
        Body::DeclaredOnly(_) => {}
        Body::Chunked(bytes) => {
            for chunk in bytes.chunks(100_000) {
                let framed = [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat();
                if stream.write_all(&framed).is_err() {
                    break;
                }
            }
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("read the whole response");
    let response = String::from_utf8_lossy(&response);
    let status =
        response.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a numeric status code");
    (status, response.split_once("\r\n\r\n").expect("the end of the header section").1.to_owned())
}

/// A numeric field of the `/v1/members` response that describes the process itself.
fn process_metric(address: SocketAddr, name: &str) -> u64 {
    let (status, members) = call(address, "GET", "/v1/members", Body::Sized(&[]));
    assert_eq!(status, 200);
    let members: serde_json::Value = serde_json::from_str(&members).expect("JSON");
    members[name].as_u64().expect("a numeric field")
}

#[test]
fn changes_within_the_limit_are_committed_and_those_beyond_it_rejected_at_once() {
    let cluster = Cluster::start();
    let patch = |process: usize, body: Body| {
        call(cluster.operator_apis[process], "POST", "/v1/Timetable.Patch", body)
    };
    let (nine_mib, fourteen_mib) = (change("nine", 1, 9 * MIB), change("fourteen", 1, 14 * MIB));
    assert_eq!(patch(0, Body::Sized(&nine_mib)).0, 200, "9 MiB");
    assert_eq!(patch(1, Body::Chunked(&fourteen_mib)).0, 200, "14 MiB");
    // A declared length over the limit is rejected before the body is sent; a chunked body, once it exceeds the limit.
    let over_limit = change("beyond", 1, 17 * MIB);
    assert_eq!(patch(2, Body::DeclaredOnly(16 * MIB + 1)).0, 413);
    assert_eq!(patch(2, Body::Sized(&over_limit)).0, 413, "17 MiB with Content-Length");
    assert_eq!(patch(2, Body::Chunked(&over_limit)).0, 413, "17 MiB chunked");
    let (status, configuration) =
        call(cluster.operator_apis[2], "GET", "/v1/Timetable.Get", Body::Sized(&[]));
    let has = |name: &str| configuration.contains(&format!("\"{name}-0\""));
    assert_eq!((status, has("nine"), has("fourteen"), has("beyond")), (200, true, true, false));
    for address in &cluster.operator_apis {
        let longest_turn_ms = process_metric(*address, "longest-turn-ms");
        println!("longest turn: {longest_turn_ms} ms");
        assert!(longest_turn_ms < MAX_TURN_MS, "an event loop turn took {longest_turn_ms} ms");
    }
}
