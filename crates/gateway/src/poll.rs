//! Socket readiness: a poller whose tokens encode a [`Source`].

pub(crate) use kitepass_net::poller::{
    accept, clear_and_shrink, connect_result, is_closed_by_peer, is_idle, listen, read, write, Clock,
    ReadOutcome,
};
use kitepass_net::{poller, Errno};
use kitepass_time::Duration;
use rustix::fd::{AsFd, OwnedFd};
use slotmap::{Key, KeyData};
use std::net::SocketAddr;

type Result<T> = std::result::Result<T, Errno>;

slotmap::new_key_type! {
    /// A client's connection.
    pub(crate) struct ClientKey;
    /// A connection to a backend.
    pub(crate) struct ConnectionKey;
}

/// What a socket belongs to. The key or id distinguishes late events of a closed socket from those of the
/// socket that replaced it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The listening socket for clients.
    Listener,
    /// The socket by which signals and other threads wake the event loop.
    Control,
    /// A connection to the counter service, by its id.
    Counter(u32),
    /// A connection to discovery, by its id.
    Watch(u32),
    /// A client's connection.
    Client(ClientKey),
    /// A connection to a backend.
    BackendConnection(ConnectionKey),
}

/// Position of the source's kind in a token. A slot index takes the low 32 bits and never reaches this bit, as
/// a gateway has at most 2^16 sockets.
const KIND_SHIFT: u32 = 28;

impl Source {
    /// The token under which the source is registered.
    fn to_token(self) -> u64 {
        let (kind, key) = match self {
            Source::Listener => (0, 0),
            Source::Control => (1, 0),
            Source::Counter(id) => (2, u64::from(id) << 32),
            Source::Watch(id) => (3, u64::from(id) << 32),
            Source::Client(key) => (4, key.data().as_ffi()),
            Source::BackendConnection(key) => (5, key.data().as_ffi()),
        };
        key | kind << KIND_SHIFT
    }

    /// The source of a token; `None` for a token that `to_token` never returns.
    fn from_token(token: u64) -> Option<Source> {
        let key = || KeyData::from_ffi(token & !(15 << KIND_SHIFT));
        let id = (token >> 32) as u32;
        Some(match (token & u64::from(u32::MAX)) >> KIND_SHIFT {
            0 => Source::Listener,
            1 => Source::Control,
            2 => Source::Counter(id),
            3 => Source::Watch(id),
            4 => Source::Client(key().into()),
            5 => Source::BackendConnection(key().into()),
            _ => return None,
        })
    }
}

/// A readiness event of a socket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyEvent {
    pub(crate) source: Source,
    /// Whether it can be read.
    pub(crate) read: bool,
    /// Whether it can be written.
    pub(crate) write: bool,
    /// Whether the peer has shut down its sending side. The reader must then read on to the end of the stream,
    /// as no further event will report it.
    pub(crate) ended: bool,
}

/// The poller for all sockets of a gateway.
pub(crate) struct Poller {
    inner: poller::Poller,
    /// Buffer for the events of one wait.
    events: Vec<poller::ReadyEvent>,
}

impl Poller {
    /// Opens the poller.
    pub(crate) fn new() -> Result<Poller> {
        Ok(Poller { inner: poller::Poller::new()?, events: Vec::new() })
    }

    /// Registers a socket until it is closed. Edge-triggered: each change to readable or writable is one event.
    pub(crate) fn add(&self, socket: impl AsFd, source: Source) -> Result<()> {
        self.inner.add(socket, source.to_token())
    }

    /// Starts a non-blocking connect and registers the socket; it becomes writable once the connect has
    /// succeeded or failed.
    pub(crate) fn connect(&self, address: &SocketAddr, source: Source) -> Result<OwnedFd> {
        self.inner.connect(address, source.to_token())
    }

    /// Waits until a socket is ready or `timeout` has passed, and appends the events to `ready`.
    pub(crate) fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<ReadyEvent>) -> Result<()> {
        self.inner.wait(timeout, &mut self.events)?;
        ready.extend(self.events.drain(..).filter_map(
            |poller::ReadyEvent { token, is_readable: read, is_writable: write, is_read_closed: ended }| {
                Some(ReadyEvent { source: Source::from_token(token)?, read, write, ended })
            },
        ));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_source_is_unpacked_from_its_token() {
        let mut connections = slotmap::SlotMap::<ConnectionKey, ()>::with_key();
        let gone = connections.insert(());
        connections.remove(gone);
        let (old, new) = (Source::BackendConnection(gone), Source::BackendConnection(connections.insert(())));
        assert_ne!(old, new);
        for source in [Source::Listener, Source::Control, Source::Counter(7), Source::Watch(9), old, new] {
            assert_eq!(Source::from_token(source.to_token()), Some(source));
        }
        assert_eq!(Source::from_token(u64::MAX), None);
    }
}
