//! Sockets, timers and HTTP/1.1 that the programs share. Each program runs its own event loop on one thread:
//!
//! - [`poller`] watches sockets with epoll, edge-triggered, under tokens of the program's choice.
//! - [`socket`] has the calls on sockets, none of which blocks; [`connection`] is a socket with its buffers. Their
//!   errors are the operating system's own ([`Errno`]).
//! - [`event_fd`] wakes the event loop from another thread.
//! - [`clock`] is the time that timers follow. [`timer_wheel`] holds the timers:
//!   [`timer_wheel::TimerWheel::next_deadline`] says how long to wait, [`timer_wheel::TimerWheel::take_due`] what to do then.
//! - [`http`] reads complete messages, head and body, of bounded size ([`http::MessageReader`]).
//! - [`http::body`] reads a head ([`http::HeadReader`]) and then its body as it comes ([`http::body::Body`]),
//!   however long it is. Both parse heads by the same strict rules; a violation is an [`http::ParseError`].
//!
//! After an error a connection's input is of no more use: where its next message would begin is not known.

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
