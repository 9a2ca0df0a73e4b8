//! Reads and writes HTTP/1.1 messages on a blocking TCP stream, for the stand-ins.

use kitepass_net::http::body::Body;
use kitepass_net::http::{Head, HeadReader, MessageKind};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest message head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest message body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The kind of message that clients read. No client sends `HEAD` requests.
pub const RESPONSE_KIND: MessageKind = MessageKind::Response { to_head: false };

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was closed or failed.
    Closed,
    /// Nothing arrived within the timeout.
    TimedOut,
    /// The bytes received are not an HTTP message, or one that exceeds a limit.
    Malformed,
}

/// A connection with the bytes that were received but not consumed yet.
pub struct HttpStream {
    stream: TcpStream,
    buffered: Vec<u8>,
    head_reader: HeadReader,
}

impl HttpStream {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> HttpStream {
        let _ = stream.set_nodelay(true); // a failure only adds latency
        HttpStream { stream, buffered: Vec::new(), head_reader: HeadReader::default() }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<HttpStream> {
        TcpStream::connect_timeout(&address, timeout).map(HttpStream::new)
    }

    /// Sends all of the bytes.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the next message with its body. `timeout` limits each wait for further bytes, not the whole message.
    ///
    /// # Errors
    ///
    /// See [`ReadError`].
    pub fn read_message(
        &mut self,
        kind: MessageKind,
        timeout: Duration,
    ) -> Result<(Head, Vec<u8>), ReadError> {
        let _ = self.stream.set_read_timeout(Some(timeout)); // fails only for a timeout of zero
        let (head, framing) = loop {
            match self.head_reader.next(kind, &mut self.buffered, MAX_HEAD_BYTES) {
                Ok(Some(read)) => break read,
                Ok(None) => self.read_more()?,
                Err(_) => return Err(ReadError::Malformed),
            }
        };
        let (mut body_reader, mut body) = (Body::new(framing), Vec::new());
        loop {
            match body_reader.read(&mut self.buffered, &mut body, MAX_BODY_BYTES) {
                Ok(true) => return Ok((head, body)),
                Ok(false) => {}
                Err(_) => return Err(ReadError::Malformed),
            }
            match self.read_more() {
                Err(ReadError::Closed) if body_reader.finish_at_eof().is_ok() => return Ok((head, body)),
                read => read?,
            }
        }
    }

    fn read_more(&mut self) -> Result<(), ReadError> {
        let mut buffer = [0; 32 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ReadError::Closed),
                Ok(length) => {
                    self.buffered.extend_from_slice(&buffer[..length]);
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ReadError::TimedOut);
                }
                Err(_) => return Err(ReadError::Closed),
            }
        }
    }
}
