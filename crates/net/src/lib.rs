//! Sockets, timers and HTTP/1.1 for the project's programs. Each program runs its own single-threaded event loop.
//!
//! - [`poller`] watches sockets with edge-triggered epoll. Each socket has a token chosen by the program.
//! - [`socket`] has non-blocking socket calls; [`connection`] combines a socket with its buffers. Their errors are
//!   those of the operating system ([`Errno`]).
//! - [`event_fd`] wakes the event loop from another thread.
//! - [`clock`] is the time source for timers, and [`timer_wheel`] holds the timers:
//!   [`timer_wheel::TimerWheel::next_deadline`] tells how long the event loop may wait, and
//!   [`timer_wheel::TimerWheel::take_due`] returns the expired timers.
//! - [`http`] reads complete messages (head and body) of bounded size ([`http::MessageReader`]).
//! - [`http::body`] reads a head ([`http::HeadReader`]) and then streams a body of any length ([`http::body::Body`]).
//!   Both readers parse heads by the same strict rules; a violation is an [`http::ParseError`].
//!
//! After a parse error the rest of the connection's input must be discarded, because the start of the next message is
//! unknown.

pub mod buffer;
pub mod clock;
pub mod connection;
pub mod event_fd;
pub mod http;
pub mod poller;
pub mod socket;
pub mod timer_wheel;

pub use rustix::fd::OwnedFd;
pub use rustix::io::Errno;
