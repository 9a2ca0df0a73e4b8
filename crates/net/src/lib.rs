//! Sockets, timers and HTTP/1.1 that the programs share. Each program runs its own loop on one thread:
//!
//! - [`poller`] watches sockets with epoll, edge by edge, under tokens of the program's own, and reads and writes
//!   without blocking. Its errors are the system's own ([`Errno`]).
//! - [`timer_wheel`] is a wheel of milliseconds: [`timer_wheel::TimerWheel::next`] says how long to wait,
//!   [`timer_wheel::TimerWheel::due`] what to do then.
//! - [`http`] reads whole messages, head and body, of bounded size ([`http::MessageReader`]).
//! - [`http::body`] reads a head ([`body::HeadReader`]) and then its body piece by piece ([`body::Body`]), however long
//!   it is. Both read heads by the same rules, and strictly: what two readers could understand in two ways is a
//!   [`http::ParseError`].
//!
//! A connection whose input had a fault is of no more use: where its next message would begin is not known.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

pub mod connection;
pub mod http;
pub mod poller;
pub mod timer_wheel;

pub use rustix::fd::OwnedFd;
pub use rustix::io::Errno;
