//! An HTTP request and its response on a connection of their own, with a deadline.

use kitepass_net::http::body::{Body, HeadReader};
use kitepass_net::http::{MessageKind, ParseError};
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time limit of connecting, and of an exchange that transfers less than 1 MiB.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Extension of the time limit for each MiB transferred.
const EXCHANGE_TIMEOUT_PER_MIB: Duration = Duration::from_secs(1);
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a response body. Without it, a server could send an endless body.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of bytes per read or write call.
const BUFFER_BYTES: usize = 64 * 1024;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub(super) enum TransportError {
    #[snafu(display("{source}"))]
    Socket { source: std::io::Error },
    #[snafu(display("request timed out"))]
    TimedOut,
    #[snafu(display("an answer that is none, {source}"))]
    Malformed { source: ParseError },
    #[snafu(display("closed without a whole answer"))]
    Incomplete,
    #[snafu(display("response body exceeds {MAX_BODY_BYTES} bytes"))]
    TooLong,
}

/// A complete response.
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) location: Option<String>,
    pub(super) body: Vec<u8>,
}

/// The deadline of an exchange, which is extended as bytes are transferred.
struct Deadline {
    started: Instant,
    transferred_bytes: usize,
}

impl Deadline {
    fn remaining(&self) -> Result<Duration, TransportError> {
        let total = EXCHANGE_TIMEOUT + EXCHANGE_TIMEOUT_PER_MIB * (self.transferred_bytes >> 20) as u32;
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

/// Sends a request to `address` and returns the response.
///
/// # Errors
///
/// Fails if the connection fails, or the response is malformed, too long, incomplete, or late.
pub(super) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<HttpResponse, TransportError> {
    let mut deadline = Deadline { started: Instant::now(), transferred_bytes: 0 };
    let mut stream = TcpStream::connect_timeout(&address, EXCHANGE_TIMEOUT).map_err(socket_error)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    let sent = send(&mut stream, head.as_bytes(), &mut deadline)
        .and_then(|()| send(&mut stream, body, &mut deadline));
    // A server may reject a request after reading only its head, and close the connection before the body is sent.
    // Its response still counts.
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
        deadline.transferred_bytes += length;
        bytes = &bytes[length..];
    }
    Ok(())
}

/// Assembles a response from the bytes received.
#[derive(Default)]
struct ResponseReader {
    head_reader: HeadReader,
    input: Vec<u8>,
    in_progress: Option<(HttpResponse, Body)>,
}

impl ResponseReader {
    /// Processes the buffered input. Returns whether the response is complete.
    fn read_input(&mut self) -> Result<bool, TransportError> {
        if self.in_progress.is_none() {
            let kind = MessageKind::Response { to_head: false };
            let head =
                self.head_reader.next(kind, &mut self.input, MAX_HEAD_BYTES).context(MalformedSnafu)?;
            let Some((head, framing)) = head else { return Ok(false) };
            let location =
                head.field("location").map(|location| String::from_utf8_lossy(location).into_owned());
            let response = HttpResponse { status: head.status(), location, body: Vec::new() };
            self.in_progress = Some((response, Body::new(framing)));
        }
        let Some((response, body)) = &mut self.in_progress else { return Ok(false) };
        let capacity = MAX_BODY_BYTES - response.body.len().min(MAX_BODY_BYTES);
        if body.read(&mut self.input, &mut response.body, capacity).context(MalformedSnafu)? {
            return Ok(true);
        }
        if response.body.len() >= MAX_BODY_BYTES {
            return TooLongSnafu.fail();
        }
        Ok(false)
    }

    /// Returns whether the end of the connection completes the response.
    fn completes_at_eof(&mut self) -> bool {
        self.in_progress.as_mut().is_some_and(|(_, body)| body.finish_at_eof().is_ok())
    }

    fn into_response(self) -> Option<HttpResponse> {
        self.in_progress.map(|(response, _)| response)
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
            if !reader.completes_at_eof() {
                return IncompleteSnafu.fail();
            }
            break;
        }
        deadline.transferred_bytes += length;
        reader.input.extend_from_slice(&buffer[..length]);
    }
    reader.into_response().context(IncompleteSnafu)
}
