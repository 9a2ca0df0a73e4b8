//! The program's subcommands, and mock servers in place of the control processes that they call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread::JoinHandle;

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_kitepass-control-plane");

/// The program with these arguments, and none of its variables set.
pub(crate) fn command(args: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("KITEPASS_AT").env_remove("KITEPASS_NODE_FILE").env_remove("KITEPASS_LOG");
    command
}

/// Runs the program to its end.
pub(crate) fn run(args: &[&str]) -> Output {
    command(args).output().expect("the program starts")
}

/// The exit code, and what was printed to standard output and error.
pub(crate) fn outcome(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("it ended by itself"), text(&output.stdout), text(&output.stderr))
}

/// A file for the time of a test.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("kitepass-control-plane-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        TempFile(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A server in place of a control process. It sends these responses, one a connection, and returns the requests that it
/// received, each as its request line and its body.
pub(crate) fn mock_server(responses: Vec<String>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("its address");
    let thread = std::thread::spawn(move || {
        responses.into_iter().map(|response| exchange(&listener, &response)).collect()
    });
    (address, thread)
}

fn exchange(listener: &TcpListener, response: &str) -> String {
    let (stream, _) = listener.accept().expect("a client");
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line");
        if let Some(number) = line.strip_prefix("Content-Length: ") {
            length = number.trim().parse().expect("a length");
        }
        if line.trim().is_empty() {
            break;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    reader.get_mut().write_all(response.as_bytes()).expect("it reads");
    let request_line = head.lines().next().unwrap_or_default();
    format!("{request_line} {}", String::from_utf8_lossy(&body))
}

/// An HTTP response with this status line, these header lines and this body.
pub(crate) fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Addresses at which nobody listens: the system gives this port to no mock server.
pub(crate) fn closed_address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}
