//! Socket readiness notification with epoll.

use crate::socket;
use kitepass_time::Duration;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use std::net::SocketAddr;

// Re-exports for crates that import these items from this module.
pub use crate::buffer::clear_and_shrink;
pub use crate::clock::Clock;
pub use crate::socket::{
    accept, connect_result, is_closed_by_peer, is_idle, listen, read, set_user_timeout, write, ReadOutcome,
};

/// The maximum number of events returned by one wait. Further events are returned by the next wait.
const MAX_EVENTS: usize = 256;

/// A readiness event of a socket.
#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    /// The token that the socket was registered with.
    pub token: u64,
    /// A read will return bytes, the end of the stream, or an error.
    pub is_readable: bool,
    /// A write will accept bytes or fail.
    pub is_writable: bool,
    /// The peer has closed its write side. After reading the remaining bytes the caller must also read the end of the
    /// stream, because no further edge reports it.
    pub is_read_closed: bool,
}

/// Watches sockets with edge-triggered epoll. Closing a socket removes it. Events that were already returned for a
/// closed socket may still be pending, so its token should not be reused immediately.
pub struct Poller {
    epoll: OwnedFd,
    /// The buffer that the operating system writes events to.
    events: Vec<epoll::Event>,
}

impl Poller {
    /// Creates a poller without sockets.
    ///
    /// # Errors
    ///
    /// The operating system's error, if it is out of file descriptors or memory.
    pub fn new() -> Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll, events: Vec::with_capacity(MAX_EVENTS) })
    }

    /// Watches a socket for reading and writing until it is closed. An event is reported each time it becomes ready
    /// again.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn add(&self, socket: impl AsFd, token: u64) -> Result<()> {
        let interest = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, socket, EventData::new_u64(token), interest)
    }

    /// Starts a non-blocking connect and watches the socket. The socket becomes writable once the connection is
    /// established or has failed; [`socket::connect_result`] distinguishes the two.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if no file descriptor, local port or route is available.
    pub fn connect(&self, address: &SocketAddr, token: u64) -> Result<OwnedFd> {
        let socket = socket::connect(address)?;
        self.add(&socket, token)?;
        Ok(socket)
    }

    /// Waits until a socket is ready or `timeout` has passed, and appends the events to `ready`. Without a timeout it
    /// waits indefinitely. A signal ends the wait early. Returns whether every socket that was ready is reported; otherwise
    /// the next wait reports the others.
    ///
    /// # Errors
    ///
    /// The operating system's error; none is expected.
    pub fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<ReadyEvent>) -> Result<bool> {
        let timeout = timeout.map(to_timespec);
        self.events.clear();
        let spare_capacity = rustix::buffer::spare_capacity(&mut self.events);
        let was_interrupted = match epoll::wait(&self.epoll, spare_capacity, timeout.as_ref()) {
            Ok(_) => false,
            Err(Errno::INTR) => true,
            Err(error) => return Err(error),
        };
        ready.extend(self.events.iter().map(to_ready_event));
        Ok(!was_interrupted && self.events.len() < MAX_EVENTS)
    }
}

fn to_timespec(duration: Duration) -> Timespec {
    let micros = duration.as_micros().max(0);
    Timespec { tv_sec: micros / 1_000_000, tv_nsec: micros % 1_000_000 * 1_000 }
}

fn to_ready_event(event: &epoll::Event) -> ReadyEvent {
    let flags = event.flags;
    let error_flags = EventFlags::HUP | EventFlags::ERR;
    ReadyEvent {
        token: event.data.u64(),
        is_readable: flags.intersects(EventFlags::IN | EventFlags::RDHUP | error_flags),
        is_writable: flags.intersects(EventFlags::OUT | error_flags),
        is_read_closed: flags.intersects(EventFlags::RDHUP | error_flags),
    }
}
