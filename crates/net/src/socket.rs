//! Calls on TCP sockets that never block. Errors are the operating system's own.

use kitepass_time::Duration;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::net::SocketAddr;

/// How many connections may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes; more may follow at once.
    Bytes,
    /// Bytes or none; no more for now.
    WouldBlock,
    /// The peer has ended its sending, and all has been read.
    EndOfStream,
}

/// Opens a socket that listens.
///
/// # Errors
///
/// The system's, if the address is in use or not this machine's.
pub fn listen(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, address)?;
    net::listen(&socket, LISTEN_BACKLOG)?;
    Ok(socket)
}

/// Accepts a client that waits; `None` if there is none.
///
/// # Errors
///
/// The system's, for want of descriptors or memory: the client waits on, and no further edge tells of it.
pub fn accept(listener: impl AsFd) -> Result<Option<OwnedFd>> {
    loop {
        match net::accept_with(&listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => {
                net::sockopt::set_tcp_nodelay(&socket, true)?;
                return Ok(Some(socket));
            }
            Err(Errno::AGAIN) => return Ok(None),
            // With ECONNABORTED the client has gone while it waited; the next one may be there.
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Starts to connect. Once the socket is ready to write, [`connect_result`] tells how it went.
///
/// # Errors
///
/// The system's, for want of descriptors or ports, or of a route.
pub(crate) fn connect(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_tcp_nodelay(&socket, true)?;
    match net::connect(&socket, address) {
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Ok(socket),
        Err(error) => Err(error),
    }
}

/// Whether a started connection that has become ready to write is established.
///
/// # Errors
///
/// Why it is not.
pub fn connect_result(socket: impl AsFd) -> Result<()> {
    net::sockopt::socket_error(socket)?
}

/// A new socket, neither connected nor bound.
fn open(address: &SocketAddr) -> Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    net::socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)
}

/// Reads once, at most as many bytes as `scratch` has, and appends them to `into`.
///
/// `is_read_closed` says that the poller has told of the end of the peer's sending. Then `Bytes` is returned until
/// the end itself has been read, because no further edge will tell of it.
///
/// # Errors
///
/// The system's: the connection is lost.
pub fn read(
    socket: impl AsFd,
    scratch: &mut [u8],
    into: &mut Vec<u8>,
    is_read_closed: bool,
) -> Result<ReadOutcome> {
    loop {
        match net::recv(&socket, &mut *scratch, RecvFlags::empty()) {
            Ok((0, _)) => return Ok(ReadOutcome::EndOfStream),
            Ok((length, _)) => {
                into.extend_from_slice(&scratch[..length]);
                // A short read has emptied the socket; the next edge tells of more.
                let is_drained = length < scratch.len() && !is_read_closed;
                return Ok(if is_drained { ReadOutcome::WouldBlock } else { ReadOutcome::Bytes });
            }
            Err(Errno::AGAIN) => return Ok(ReadOutcome::WouldBlock),
            Err(Errno::INTR) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes as much of `bytes` from `written` on as the socket takes, advances `written`, and says whether all is
/// written.
///
/// # Errors
///
/// The system's: the connection is lost.
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

/// Whether the peer has neither sent anything unread nor ended its sending.
pub fn is_idle(socket: impl AsFd) -> bool {
    peek(socket) == Err(Errno::AGAIN)
}

/// Whether the peer has ended its sending, or the connection is lost, with nothing unread before that.
pub fn is_closed_by_peer(socket: impl AsFd) -> bool {
    !matches!(peek(socket), Ok(1) | Err(Errno::AGAIN))
}

/// The number of unread bytes, at most 1; 0 at the end of the peer's sending.
fn peek(socket: impl AsFd) -> Result<usize> {
    net::recv(socket, &mut [0; 1], RecvFlags::PEEK).map(|(length, _)| length)
}

/// Ends a connection, with an error on its next event, once bytes sent on it have been unacknowledged for `timeout`
/// (`TCP_USER_TIMEOUT`). The time runs only while bytes are unacknowledged; waiting for a response needs a timer of
/// its own. A duration of less than a millisecond counts as one, since 0 stands for the system's default.
///
/// Without this a machine that loses its power, and so says nothing, would keep what is sent to it pending for a
/// quarter of an hour.
///
/// # Errors
///
/// The system's.
pub fn set_user_timeout(socket: impl AsFd, timeout: Duration) -> Result<()> {
    let millis = (timeout.as_micros() / 1_000).clamp(1, i64::from(i32::MAX));
    net::sockopt::set_tcp_user_timeout(socket, millis as u32)
}

/// A connection error in a word, for log lines.
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
