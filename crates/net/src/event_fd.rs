//! A file descriptor with which another thread wakes an event loop (Linux `eventfd`).

use rustix::event::{eventfd, EventfdFlags};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{self, Errno};

/// An eventfd that is readable after [`EventFd::notify`] until [`EventFd::reset`].
#[derive(Debug)]
pub struct EventFd(OwnedFd);

impl EventFd {
    /// Creates an eventfd that is not readable.
    ///
    /// # Errors
    ///
    /// The operating system's error, if it is out of file descriptors or memory.
    pub fn new() -> Result<EventFd, Errno> {
        Ok(EventFd(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Makes the descriptor readable. The write can fail only if the counter is at its maximum, in which case the
    /// descriptor is already readable.
    pub fn notify(&self) {
        let _ = io::write(&self.0, &1u64.to_ne_bytes());
    }

    /// Makes the descriptor not readable. The read can fail only if the descriptor was not readable.
    pub fn reset(&self) {
        let _ = io::read(&self.0, &mut [0; 8]);
    }
}

impl AsFd for EventFd {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
