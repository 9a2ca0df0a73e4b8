//! HTTP/1.1 messages over a blocking stream, for the stand-ins.

use kitepass_net::http::body::Body;
use kitepass_net::http::{Head, HeadReader, MessageKind};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest head that a stand-in reads, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The longest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The kind of message that a client reads; none asks with `HEAD`.
pub const RESPONSE_KIND: MessageKind = MessageKind::Response { to_head: false };

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended.
    Closed,
    /// Nothing came in time.
    TimedOut,
    /// What came is no message.
    Malformed,
}

/// A connection, and what was read ahead of it.
pub struct HttpStream {
    stream: TcpStream,
    buffered: Vec<u8>,
    head_reader: HeadReader,
}

impl HttpStream {
    /// Over a stream that is established.
    pub fn new(stream: TcpStream) -> HttpStream {
        let _ = stream.set_nodelay(true); // without it everything is only slower
        HttpStream { stream, buffered: Vec::new(), head_reader: HeadReader::default() }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<HttpStream> {
        TcpStream::connect_timeout(&address, timeout).map(HttpStream::new)
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next message and its body, if both come within `timeout` of silence.
    ///
    /// # Errors
    ///
    /// The connection has ended, is silent, or what comes is no message.
    pub fn read_message(
        &mut self,
        kind: MessageKind,
        timeout: Duration,
    ) -> Result<(Head, Vec<u8>), ReadError> {
        let _ = self.stream.set_read_timeout(Some(timeout)); // fails only for a time-out of zero
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
