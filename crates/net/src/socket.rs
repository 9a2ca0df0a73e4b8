//! Non-blocking operations on TCP sockets. Errors are those of the operating system.

use kitepass_time::Duration;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::net::SocketAddr;

/// The maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes were read, and more may be available immediately.
    Bytes,
    /// No more data is available now; some bytes may have been read.
    WouldBlock,
    /// The peer has closed its write side, and everything has been read.
    EndOfStream,
}

/// Opens a listening socket.
///
/// # Errors
///
/// The operating system's error, for example if the address is in use or is not a local address.
pub fn listen(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, address)?;
    net::listen(&socket, LISTEN_BACKLOG)?;
    Ok(socket)
}

/// Accepts a pending connection; `None` if there is none.
///
/// # Errors
///
/// The operating system's error, for example if it is out of file descriptors or memory. In that case the connection
/// stays in the backlog, and no further edge reports it.
pub fn accept(listener: impl AsFd) -> Result<Option<OwnedFd>> {
    loop {
        match net::accept_with(&listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => {
                net::sockopt::set_tcp_nodelay(&socket, true)?;
                return Ok(Some(socket));
            }
            Err(Errno::AGAIN) => return Ok(None),
            // ECONNABORTED: the client disconnected before it was accepted. Try the next one.
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Starts a non-blocking connect. Once the socket is writable, [`connect_result`] returns the outcome.
///
/// # Errors
///
/// The operating system's error, for example if no file descriptor, local port or route is available.
pub(crate) fn connect(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_tcp_nodelay(&socket, true)?;
    match net::connect(&socket, address) {
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Ok(socket),
        Err(error) => Err(error),
    }
}

/// Returns the outcome of a non-blocking connect once the socket is writable.
///
/// # Errors
///
/// The reason why the connection could not be established.
pub fn connect_result(socket: impl AsFd) -> Result<()> {
    net::sockopt::socket_error(socket)?
}

/// Creates a socket that is neither bound nor connected.
fn open(address: &SocketAddr) -> Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    net::socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)
}

/// Performs one read of at most `scratch.len()` bytes and appends them to `buffer`.
///
/// `is_read_closed` says that the poller has reported that the peer closed its write side. In this case the outcome is
/// `Bytes` until the end of the stream has been read, because no further edge reports it.
///
/// # Errors
///
/// The operating system's error; the connection is lost.
pub fn read(
    socket: impl AsFd,
    scratch: &mut [u8],
    buffer: &mut Vec<u8>,
    is_read_closed: bool,
) -> Result<ReadOutcome> {
    loop {
        match net::recv(&socket, &mut *scratch, RecvFlags::empty()) {
            Ok((0, _)) => return Ok(ReadOutcome::EndOfStream),
            Ok((length, _)) => {
                buffer.extend_from_slice(&scratch[..length]);
                // A short read has drained the socket; a new edge reports more data.
                let is_drained = length < scratch.len() && !is_read_closed;
                return Ok(if is_drained { ReadOutcome::WouldBlock } else { ReadOutcome::Bytes });
            }
            Err(Errno::AGAIN) => return Ok(ReadOutcome::WouldBlock),
            Err(Errno::INTR) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes as much of `bytes[written..]` as the socket accepts and advances `written`. Returns true if everything has
/// been written.
///
/// # Errors
///
/// The operating system's error; the connection is lost.
pub fn write(socket: impl AsFd, bytes: &[u8], written: &mut usize) -> Result<bool> {
    while *written < bytes.len() {
        match net::send(&socket, &bytes[*written..], SendFlags::NOSIGNAL) {
            Ok(length) => *written += length,
            Err(Errno::AGAIN) => return Ok(false),
            Err(Errno::INTR) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

/// Whether the connection is open and has no unread data.
pub fn is_idle(socket: impl AsFd) -> bool {
    peek(socket) == Err(Errno::AGAIN)
}

/// Whether the peer has closed its write side or the connection is lost, with no unread data before that.
pub fn is_closed_by_peer(socket: impl AsFd) -> bool {
    !matches!(peek(socket), Ok(1) | Err(Errno::AGAIN))
}

/// Peeks at the input: returns 1 if there is unread data, and 0 at the end of the stream.
fn peek(socket: impl AsFd) -> Result<usize> {
    net::recv(socket, &mut [0; 1], RecvFlags::PEEK).map(|(length, _)| length)
}

/// Sets `TCP_USER_TIMEOUT`: the connection fails, and its next event reports an error, once sent data has been
/// unacknowledged for `timeout`. The timeout runs only while data is unacknowledged; waiting for a response needs a
/// separate timer. A duration below one millisecond is rounded up to one, because 0 selects the system default.
///
/// Without this option data sent to a machine that has lost power would stay pending for about 15 minutes.
///
/// # Errors
///
/// The operating system's error.
pub fn set_user_timeout(socket: impl AsFd, timeout: Duration) -> Result<()> {
    let millis = (timeout.as_micros() / 1_000).clamp(1, i64::from(i32::MAX));
    net::sockopt::set_tcp_user_timeout(socket, millis as u32)
}

/// A short label of a connection error, for log lines.
pub fn error_label(error: Errno) -> &'static str {
    match error {
        Errno::CONNRESET => "reset",
        Errno::CONNREFUSED => "refused",
        Errno::TIMEDOUT => "timed-out",
        Errno::PIPE => "closed",
        Errno::HOSTUNREACH | Errno::NETUNREACH => "unreachable",
        Errno::MFILE | Errno::NFILE => "no-descriptors",
        _ => "error",
    }
}
