//! Epoll: what waits for which socket, and reading and writing without blocking.

use kitepass_time::{Duration, Timestamp};
use rustix::event::epoll;
use rustix::event::epoll::{EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    /// What the socket was added under.
    pub token: u64,
    pub read: bool,
    pub write: bool,
    /// The other side has ended its sending: whatever is read, the end is still to be read behind it, and no
    /// further edge will tell of it.
    pub ended: bool,
}

/// The sockets that are watched. One that is closed is watched no longer; events of it that were taken before may
/// still be to come, so that a token had better not be used again at once.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

/// Events taken in one turn; more stay for the next.
const TURN: usize = 256;

impl Poller {
    /// # Errors
    ///
    /// The system's, for want of descriptors or memory.
    pub fn new() -> Result<Poller> {
        Ok(Poller { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?, events: Vec::with_capacity(TURN) })
    }

    /// Watches a socket, once and for all: it tells each time that it has become ready again.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn add(&self, socket: impl AsFd, token: u64) -> Result<()> {
        let interest = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, socket, EventData::new_u64(token), interest)
    }

    /// Begins a connection and watches it; it becomes ready to write once it is made or has failed:
    /// [`made`] tells which.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or ports, or of a way there.
    pub fn connect(&self, address: &SocketAddr, token: u64) -> Result<OwnedFd> {
        let socket = begin(address)?;
        self.add(&socket, token)?;
        Ok(socket)
    }

    /// Waits until a socket is ready or the time is over, and appends what is ready to `ready`. Without a time it
    /// waits for ever; a signal ends the wait early.
    ///
    /// # Errors
    ///
    /// The system's; none is to be expected.
    pub fn wait(&mut self, time: Option<Duration>, ready: &mut Vec<ReadyEvent>) -> Result<()> {
        let time = time.map(|time| {
            let micros = time.micros().max(0);
            Timespec { tv_sec: micros / 1_000_000, tv_nsec: micros % 1_000_000 * 1_000 }
        });
        self.events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), time.as_ref()) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error),
        }
        let ended = EventFlags::HUP | EventFlags::ERR;
        ready.extend(self.events.iter().map(|event| {
            let flags = event.flags;
            let read = flags.intersects(EventFlags::IN | EventFlags::RDHUP | ended);
            let write = flags.intersects(EventFlags::OUT | ended);
            let ended = flags.intersects(EventFlags::RDHUP | ended);
            ReadyEvent { token: event.data.u64(), read, write, ended }
        }));
        Ok(())
    }
}

/// The wall clock at the start, and steady time from there: gateways number periods alike, and a clock that
/// is set while they run moves no timer.
#[derive(Clone, Copy)]
pub struct Clock {
    begun: Instant,
    wall: i64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// A clock that is set to the wall clock as it is now.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as i64);
        Clock { begun: Instant::now(), wall }
    }

    /// The time, in steps of a microsecond; it never goes back.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.wall + self.begun.elapsed().as_micros() as i64)
    }
}

/// What came of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Bytes,
    /// Nothing more for now.
    Nothing,
    /// The other side has ended its sending.
    End,
}

/// Reads what is there, a piece at a time: `Bytes` if more may follow at once, `ended` or not as it was told.
///
/// # Errors
///
/// The system's: the connection is lost.
pub fn read(socket: impl AsFd, piece: &mut [u8], into: &mut Vec<u8>, ended: bool) -> Result<ReadOutcome> {
    loop {
        return match net::recv(&socket, &mut *piece, RecvFlags::empty()) {
            Ok((0, _)) => Ok(ReadOutcome::End),
            Ok((length, _)) => {
                into.extend_from_slice(&piece[..length]);
                // A piece that is not full has emptied the socket; the next edge tells of more.
                Ok(if length < piece.len() && !ended { ReadOutcome::Nothing } else { ReadOutcome::Bytes })
            }
            Err(Errno::AGAIN) => Ok(ReadOutcome::Nothing),
            Err(Errno::INTR) => continue,
            Err(error) => Err(error),
        };
    }
}

/// Whether the other side has neither sent anything nor ended its sending since the last read.
pub fn is_quiet(socket: impl AsFd) -> bool {
    peek(socket) == Err(Errno::AGAIN)
}

/// Whether the other side has ended its sending, or the connection, with nothing unread before that.
pub fn has_ended(socket: impl AsFd) -> bool {
    !matches!(peek(socket), Ok(1) | Err(Errno::AGAIN))
}

fn peek(socket: impl AsFd) -> Result<usize> {
    net::recv(socket, &mut [0; 1], RecvFlags::PEEK).map(|(length, _)| length)
}

/// Writes as much of `bytes` from `written` on as the socket takes, and says whether all is written.
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

/// Empties a buffer for its next use. One that has grown large is not kept: a connection may be idle for long.
pub fn empty(buffer: &mut Vec<u8>) {
    const KEPT: usize = 16 * 1024;
    if buffer.capacity() > KEPT {
        *buffer = Vec::new();
    }
    buffer.clear();
}

/// A socket of our own, not yet connected or bound.
fn open(address: &SocketAddr) -> Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    net::socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)
}

/// Whether a connection that was begun, and has become ready to write, is made.
///
/// # Errors
///
/// Why it is not.
pub fn made(socket: impl AsFd) -> Result<()> {
    net::sockopt::socket_error(socket)?
}

fn begin(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_tcp_nodelay(&socket, true)?;
    match net::connect(&socket, address) {
        Ok(()) | Err(Errno::INPROGRESS) | Err(Errno::INTR) => Ok(socket),
        Err(error) => Err(error),
    }
}

/// A socket that listens.
///
/// # Errors
///
/// The system's, if the address is in use or not this machine's.
pub fn listen(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, address)?;
    net::listen(&socket, 1024)?;
    Ok(socket)
}

/// A client that waits, if one does.
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
            // It has gone while it waited.
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Breaks a connection off, with an error on its next event, once bytes sent on it have not been acknowledged for
/// so long. Danger: a machine that loses its power says nothing, and what is sent to it would hang for a quarter
/// of an hour. The time runs only while bytes are on their way; waiting for an answer needs a timer of its own.
///
/// A span of less than a millisecond counts as one: to the system 0 means its own default.
///
/// # Errors
///
/// The system's.
pub fn tune(socket: impl AsFd, unacked: Duration) -> Result<()> {
    let millis = (unacked.micros() / 1_000).clamp(1, i64::from(i32::MAX));
    net::sockopt::set_tcp_user_timeout(socket, millis as u32)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_span_asks_for_the_systems_default() {
        let socket = listen(&SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        for (micros, millis) in [(1_500_000, 1_500), (999, 1), (-1, 1)] {
            tune(&socket, Duration::from_micros(micros)).unwrap();
            assert_eq!(net::sockopt::tcp_user_timeout(&socket), Ok(millis));
        }
    }
}
