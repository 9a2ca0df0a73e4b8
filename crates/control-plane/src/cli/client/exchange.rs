//! One HTTP exchange over a connection of its own, in bounded time.

use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, ParseError};
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time of an exchange, and what each MiB that is transferred adds to it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
const EXCHANGE_TIMEOUT_PER_MIB: Duration = Duration::from_secs(1);
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes of a response's body: it may be one without end.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that one system call moves at most.
const BUFFER_BYTES: usize = 64 * 1024;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub(super) enum TransportError {
    #[snafu(display("{source}"))]
    Socket { source: std::io::Error },
    #[snafu(display("no answer in time"))]
    TimedOut,
    #[snafu(display("an answer that is none, {source}"))]
    Malformed { source: ParseError },
    #[snafu(display("closed without a whole answer"))]
    Incomplete,
    #[snafu(display("an answer of too many bytes"))]
    TooLong,
}

/// A response, all of which has come.
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) location: Option<String>,
    pub(super) body: Vec<u8>,
}

/// The time of an exchange, which grows with what is transferred.
struct Deadline {
    started: Instant,
    transferred: usize,
}

impl Deadline {
    fn remaining(&self) -> Result<Duration, TransportError> {
        let total = EXCHANGE_TIMEOUT + EXCHANGE_TIMEOUT_PER_MIB * (self.transferred >> 20) as u32;
        let remaining = total.checked_sub(self.started.elapsed());
        remaining.filter(|remaining| !remaining.is_zero()).ok_or(TransportError::TimedOut)
    }
}

fn socket_error(error: std::io::Error) -> TransportError {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => TransportError::TimedOut,
        _ => TransportError::Socket { source: error },
    }
}

/// Sends a request to `address` and receives its response.
///
/// # Errors
///
/// No complete response came in time.
pub(super) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<HttpResponse, TransportError> {
    let mut deadline = Deadline { started: Instant::now(), transferred: 0 };
    let mut stream = TcpStream::connect_timeout(&address, EXCHANGE_TIMEOUT).map_err(socket_error)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    let sent = send(&mut stream, head.as_bytes(), &mut deadline)
        .and_then(|()| send(&mut stream, body, &mut deadline));
    // A server that rejects a request by its head alone may close before the body is sent: its response counts.
    match (receive(&mut stream, &mut deadline), sent) {
        (Ok(response), _) => Ok(response),
        (Err(_), Err(error)) | (Err(error), Ok(())) => Err(error),
    }
}

fn send(stream: &mut TcpStream, mut bytes: &[u8], deadline: &mut Deadline) -> Result<(), TransportError> {
    while !bytes.is_empty() {
        stream.set_write_timeout(Some(deadline.remaining()?)).map_err(socket_error)?;
        let chunk = &bytes[..bytes.len().min(BUFFER_BYTES)];
        let length = match stream.write(chunk) {
            Err(error) if error.kind() == ErrorKind::Interrupted => 0,
            result => result.map_err(socket_error)?,
        };
        deadline.transferred += length;
        bytes = &bytes[length..];
    }
    Ok(())
}

/// Puts a response together from what comes.
#[derive(Default)]
struct ResponseReader {
    head_reader: HeadReader,
    input: Vec<u8>,
    begun: Option<(HttpResponse, Body)>,
}

impl ResponseReader {
    /// Whether the response is complete with what has come.
    fn read_input(&mut self) -> Result<bool, TransportError> {
        if self.begun.is_none() {
            let kind = MessageKind::Response { to_head: false };
            let head =
                self.head_reader.next(kind, &mut self.input, MAX_HEAD_BYTES).context(MalformedSnafu)?;
            let Some((head, framing)) = head else { return Ok(false) };
            let location =
                head.field("location").map(|location| String::from_utf8_lossy(location).into_owned());
            let response = HttpResponse { status: head.status(), location, body: Vec::new() };
            self.begun = Some((response, Body::new(framing)));
        }
        let Some((response, body)) = &mut self.begun else { return Ok(false) };
        let capacity = MAX_BODY_BYTES - response.body.len().min(MAX_BODY_BYTES);
        if body.read(&mut self.input, &mut response.body, capacity).context(MalformedSnafu)? {
            return Ok(true);
        }
        if response.body.len() >= MAX_BODY_BYTES {
            return TooLongSnafu.fail();
        }
        Ok(false)
    }

    /// Whether the end of the connection completes the response.
    fn ends_here(&mut self) -> bool {
        self.begun.as_mut().is_some_and(|(_, body)| body.finish_at_eof().is_ok())
    }

    fn into_response(self) -> Option<HttpResponse> {
        self.begun.map(|(response, _)| response)
    }
}

fn receive(stream: &mut TcpStream, deadline: &mut Deadline) -> Result<HttpResponse, TransportError> {
    let mut reader = ResponseReader::default();
    let mut buffer = vec![0; BUFFER_BYTES];
    while !reader.read_input()? {
        stream.set_read_timeout(Some(deadline.remaining()?)).map_err(socket_error)?;
        let length = match stream.read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result.map_err(socket_error)?,
        };
        if length == 0 {
            if !reader.ends_here() {
                return IncompleteSnafu.fail();
            }
            break;
        }
        deadline.transferred += length;
        reader.input.extend_from_slice(&buffer[..length]);
    }
    reader.into_response().context(IncompleteSnafu)
}
