//! A descriptor that wakes an event loop.

use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

use rustix::event::{eventfd, EventfdFlags};

#[derive(Debug)]
pub(crate) struct Wake(OwnedFd);

impl Wake {
    pub(crate) fn new() -> io::Result<Wake> {
        Ok(Wake(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Makes it readable. It fails only where the count is full, and then it is readable already.
    pub(crate) fn set(&self) {
        let _ = rustix::io::write(&self.0, &1u64.to_ne_bytes());
    }

    /// Makes it not readable. It fails only where it was not.
    pub(crate) fn clear(&self) {
        let _ = rustix::io::read(&self.0, &mut [0; 8]);
    }

    pub(crate) fn fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
