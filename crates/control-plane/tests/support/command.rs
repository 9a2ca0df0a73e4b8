//! The program's subcommands, and stand-ins for the control processes that they call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread::JoinHandle;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_kitepass-control-plane");

/// The program with these arguments, and none of its variables set.
pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("KITEPASS_AT").env_remove("KITEPASS_NODE_FILE").env_remove("KITEPASS_LOG");
    command
}

pub fn run(args: &[&str]) -> Output {
    command(args).output().expect("the program starts")
}

/// The exit code, and what was printed to standard output and error.
pub fn outcome(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("it ended by itself"), text(&output.stdout), text(&output.stderr))
}

/// A file for the time of a test.
pub struct TempFile(pub PathBuf);

impl TempFile {
    pub fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("accord-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        TempFile(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A control process that gives these answers, one a connection; it returns the requests that it received.
pub fn stand_in(answers: Vec<String>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("its address");
    let thread = std::thread::spawn(move || {
        let serve = |answer: String| {
            let (stream, _) = listener.accept().expect("a caller");
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
            reader.get_mut().write_all(answer.as_bytes()).expect("it reads");
            let first = head.lines().next().unwrap_or_default().to_owned();
            format!("{first} {}", String::from_utf8_lossy(&body))
        };
        answers.into_iter().map(serve).collect()
    });
    (address, thread)
}

pub fn answer(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Addresses at which nobody listens: such a port is given to no stand-in.
pub fn nobody(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}
