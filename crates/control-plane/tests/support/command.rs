//! Runs subcommands of the program, with mock servers in place of the control processes that they call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread::JoinHandle;

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_kitepass-control-plane");

/// A command that runs the program with these arguments and without its environment variables.
pub(crate) fn command(args: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("KITEPASS_AT").env_remove("KITEPASS_NODE_FILE").env_remove("KITEPASS_LOG");
    command
}

/// Runs the program until it exits.
pub(crate) fn run(args: &[&str]) -> Output {
    command(args).output().expect("start the program")
}

/// The exit code, standard output and standard error of a finished run.
pub(crate) fn exit_code_and_output(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("an exit code, not a signal"), text(&output.stdout), text(&output.stderr))
}

/// A temporary file that is removed when it is dropped.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("kitepass-control-plane-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("write the temporary file");
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

/// Starts a mock server that sends these responses, one per connection. Its thread returns the requests that it
/// received, each as the request line followed by the body.
pub(crate) fn mock_server(responses: Vec<String>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback address");
    let address = listener.local_addr().expect("the local address");
    let thread = std::thread::spawn(move || {
        responses.into_iter().map(|response| exchange(&listener, &response)).collect()
    });
    (address, thread)
}

fn exchange(listener: &TcpListener, response: &str) -> String {
    let (stream, _) = listener.accept().expect("accept a connection");
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("read a header line");
        if let Some(number) = line.strip_prefix("Content-Length: ") {
            length = number.trim().parse().expect("a numeric Content-Length");
        }
        if line.trim().is_empty() {
            break;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("read the body");
    reader.get_mut().write_all(response.as_bytes()).expect("send the response");
    let request_line = head.lines().next().unwrap_or_default();
    format!("{request_line} {}", String::from_utf8_lossy(&body))
}

/// An HTTP response with this status line, these header lines and this body.
pub(crate) fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An address on which no process listens: the system never assigns port 1 to a mock server.
pub(crate) fn closed_address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}
