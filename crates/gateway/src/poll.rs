//! Epoll: what waits for which socket, and reading and writing without blocking.

use kitepass::{Moment, Span};
use rustix::event::epoll;
use rustix::event::epoll::{EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use slotmap::{Key, KeyData};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

slotmap::new_key_type! {
    /// A client's connection.
    pub struct ClientKey;
    /// A connection to a backend.
    pub struct LineKey;
}

/// What a socket belongs to. A closed one's late events are told from its successor's by key or number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Listener,
    Control,
    Counter(u32),
    Watch(u32),
    Client(ClientKey),
    Line(LineKey),
}

/// Keys have their place in the low half of 64 bits; the kind goes above any place that is ever used.
const KIND_AT: u32 = 28;

impl Source {
    fn pack(self) -> u64 {
        let (kind, key) = match self {
            Source::Listener => (0, 0),
            Source::Control => (1, 0),
            Source::Counter(number) => (2, u64::from(number) << 32),
            Source::Watch(number) => (3, u64::from(number) << 32),
            Source::Client(key) => (4, key.data().as_ffi()),
            Source::Line(key) => (5, key.data().as_ffi()),
        };
        key | kind << KIND_AT
    }

    fn unpack(data: u64) -> Option<Source> {
        let key = || KeyData::from_ffi(data & !(15 << KIND_AT));
        let number = (data >> 32) as u32;
        Some(match (data & u64::from(u32::MAX)) >> KIND_AT {
            0 => Source::Listener,
            1 => Source::Control,
            2 => Source::Counter(number),
            3 => Source::Watch(number),
            4 => Source::Client(key().into()),
            5 => Source::Line(key().into()),
            _ => return None,
        })
    }
}

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub source: Source,
    pub read: bool,
    pub write: bool,
    /// The other side has ended its sending: whatever is read, the end is still to be read behind it, and no
    /// further edge will tell of it.
    pub ended: bool,
}

pub struct Poll {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

/// Events taken in one turn; more stay for the next.
const TURN: usize = 256;

impl Poll {
    pub fn new() -> Result<Poll> {
        Ok(Poll { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?, events: Vec::with_capacity(TURN) })
    }

    /// Watches a socket, once and for all: it tells each time that it has become ready again.
    pub fn add(&self, socket: impl AsFd, source: Source) -> Result<()> {
        let interest = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, socket, EventData::new_u64(source.pack()), interest)
    }

    /// Begins a connection and watches it; it becomes ready to write once it is made or has failed.
    pub fn connect(&self, address: &SocketAddr, source: Source) -> Result<OwnedFd> {
        let socket = begin(address)?;
        self.add(&socket, source)?;
        Ok(socket)
    }

    /// Waits until a socket is ready or the time is over, and leaves what is ready in `ready`.
    pub fn wait(&mut self, time: Option<Span>, ready: &mut Vec<Ready>) -> Result<()> {
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
        ready.extend(self.events.iter().filter_map(|event| {
            let flags = event.flags;
            let read = flags.intersects(EventFlags::IN | EventFlags::RDHUP | ended);
            let write = flags.intersects(EventFlags::OUT | ended);
            let ended = flags.intersects(EventFlags::RDHUP | ended);
            Some(Ready { source: Source::unpack(event.data.u64())?, read, write, ended })
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

impl Clock {
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as i64);
        Clock { begun: Instant::now(), wall }
    }

    pub fn now(&self) -> Moment {
        Moment::from_micros(self.wall + self.begun.elapsed().as_micros() as i64)
    }
}

/// What came of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Bytes,
    /// Nothing more for now.
    Nothing,
    /// The other side has ended its sending.
    End,
}

/// Reads what is there, a piece at a time: `Bytes` if more may follow at once, `ended` or not as it was told.
pub fn read(socket: impl AsFd, piece: &mut [u8], into: &mut Vec<u8>, ended: bool) -> Result<Came> {
    loop {
        return match net::recv(&socket, &mut *piece, RecvFlags::empty()) {
            Ok((0, _)) => Ok(Came::End),
            Ok((length, _)) => {
                into.extend_from_slice(&piece[..length]);
                // A piece that is not full has emptied the socket; the next edge tells of more.
                Ok(if length < piece.len() && !ended { Came::Nothing } else { Came::Bytes })
            }
            Err(Errno::AGAIN) => Ok(Came::Nothing),
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

/// Writes as much as the socket takes, and says whether all is written.
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

pub fn listen(address: &SocketAddr) -> Result<OwnedFd> {
    let socket = open(address)?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, address)?;
    net::listen(&socket, 1024)?;
    Ok(socket)
}

/// A client that waits, if one does.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_source_comes_back_from_its_number() {
        let mut lines = slotmap::SlotMap::<LineKey, ()>::with_key();
        let gone = lines.insert(());
        lines.remove(gone);
        let (old, new) = (Source::Line(gone), Source::Line(lines.insert(())));
        assert_ne!(old, new);
        for source in [Source::Listener, Source::Control, Source::Counter(7), Source::Watch(9), old, new] {
            assert_eq!(Source::unpack(source.pack()), Some(source));
        }
        assert_eq!(Source::unpack(u64::MAX), None);
    }
}
