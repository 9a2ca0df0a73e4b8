//! A file descriptor by which another thread wakes an event loop (Linux `eventfd`).

use rustix::event::{eventfd, EventfdFlags};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{self, Errno};

/// Readable from [`EventFd::notify`] to [`EventFd::reset`].
#[derive(Debug)]
pub struct EventFd(OwnedFd);

impl EventFd {
    /// One that is not readable.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or memory.
    pub fn new() -> Result<EventFd, Errno> {
        Ok(EventFd(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Makes it readable. This fails only where the counter is at its maximum, and then it is readable already.
    pub fn notify(&self) {
        let _ = io::write(&self.0, &1u64.to_ne_bytes());
    }

    /// Makes it not readable. This fails only where it was not readable.
    pub fn reset(&self) {
        let _ = io::read(&self.0, &mut [0; 8]);
    }
}

impl AsFd for EventFd {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
