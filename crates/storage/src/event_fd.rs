//! A file descriptor that wakes an event loop (Linux `eventfd`).

use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

use rustix::event::{eventfd, EventfdFlags};

#[derive(Debug)]
pub(crate) struct EventFd(OwnedFd);

impl EventFd {
    pub(crate) fn new() -> io::Result<EventFd> {
        Ok(EventFd(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Makes it readable. This fails only where the counter is at its maximum, and then it is readable already.
    pub(crate) fn notify(&self) {
        let _ = rustix::io::write(&self.0, &1u64.to_ne_bytes());
    }

    /// Makes it not readable. This fails only where it was not readable.
    pub(crate) fn reset(&self) {
        let _ = rustix::io::read(&self.0, &mut [0; 8]);
    }

    pub(crate) fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
