//! Readiness of sockets, by epoll.

use crate::socket;
use kitepass_time::Duration;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use std::net::SocketAddr;

// The paths by which other crates know what stands in modules of its own.
pub use crate::buffer::clear_and_shrink;
pub use crate::clock::Clock;
pub use crate::socket::{
    accept, connect_result, is_closed_by_peer, is_idle, listen, read, set_user_timeout, write, ReadOutcome,
};

/// How many events one wait returns at most; more stay for the next.
const MAX_EVENTS: usize = 256;

/// What a socket has become ready for.
#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    /// What the socket was registered under.
    pub token: u64,
    /// Reading brings bytes, the end of the peer's sending, or an error.
    pub is_readable: bool,
    /// Writing takes bytes, or fails.
    pub is_writable: bool,
    /// The peer has ended its sending. After whatever is read the end is still to be read, and no further edge will
    /// tell of it.
    pub is_read_closed: bool,
}

/// Watches sockets, edge-triggered. A closed socket is watched no longer. Events of it that were taken before may
/// still be pending, so its token should not be reused at once.
pub struct Poller {
    epoll: OwnedFd,
    /// Where the system writes events.
    events: Vec<epoll::Event>,
}

impl Poller {
    /// A poller that watches no socket.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or memory.
    pub fn new() -> Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll, events: Vec::with_capacity(MAX_EVENTS) })
    }

    /// Watches a socket until it is closed, for reading and writing. Each time that it becomes ready again there is
    /// an event.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn add(&self, socket: impl AsFd, token: u64) -> Result<()> {
        let interest = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, socket, EventData::new_u64(token), interest)
    }

    /// Starts to connect and watches the socket. It becomes ready to write once it is established or has failed;
    /// [`socket::connect_result`] tells which.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or ports, or of a route.
    pub fn connect(&self, address: &SocketAddr, token: u64) -> Result<OwnedFd> {
        let socket = socket::connect(address)?;
        self.add(&socket, token)?;
        Ok(socket)
    }

    /// Waits until a socket is ready or `timeout` has passed, and appends the events to `ready`. Without a time-out
    /// it waits without end; a signal ends the wait early.
    ///
    /// # Errors
    ///
    /// The system's; none is expected.
    pub fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<ReadyEvent>) -> Result<()> {
        let timeout = timeout.map(to_timespec);
        self.events.clear();
        let free = rustix::buffer::spare_capacity(&mut self.events);
        match epoll::wait(&self.epoll, free, timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error),
        }
        ready.extend(self.events.iter().map(to_ready_event));
        Ok(())
    }
}

fn to_timespec(duration: Duration) -> Timespec {
    let micros = duration.as_micros().max(0);
    Timespec { tv_sec: micros / 1_000_000, tv_nsec: micros % 1_000_000 * 1_000 }
}

fn to_ready_event(event: &epoll::Event) -> ReadyEvent {
    let flags = event.flags;
    let lost = EventFlags::HUP | EventFlags::ERR;
    ReadyEvent {
        token: event.data.u64(),
        is_readable: flags.intersects(EventFlags::IN | EventFlags::RDHUP | lost),
        is_writable: flags.intersects(EventFlags::OUT | lost),
        is_read_closed: flags.intersects(EventFlags::RDHUP | lost),
    }
}
