//! Sockets, timers and HTTP/1.1 that the programs share. Each program runs its own loop on one thread:
//!
//! - [`poll`] watches sockets with epoll, edge by edge, under tokens of the program's own, and reads and writes
//!   without blocking. Its errors are the system's own ([`Errno`]).
//! - [`timers`] is a wheel of milliseconds: [`timers::Timers::next`] says how long to wait,
//!   [`timers::Timers::due`] what to do then.
//! - [`http`] reads whole messages, head and body, of bounded size ([`http::Reader`]).
//! - [`flow`] reads a head ([`flow::HeadReader`]) and then its body piece by piece ([`flow::Body`]), however long
//!   it is. Both read heads by the same rules, and strictly: what two readers could understand in two ways is a
//!   [`http::Fault`].
//!
//! A connection whose input had a fault is of no more use: where its next message would begin is not known.

pub mod flow;
pub mod http;
pub mod poll;
pub mod process;
pub mod timers;
pub mod wire;

pub use rustix::fd::OwnedFd;
pub use rustix::io::Errno;
