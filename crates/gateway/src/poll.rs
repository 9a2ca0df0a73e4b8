//! What waits for which socket: the shared epoll, with a source in each token.

pub(crate) use kitepass_net::poller::{
    accept, clear_and_shrink, connect_result, has_ended, is_quiet, listen, read, write, Clock, ReadOutcome,
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

/// What a socket belongs to. A closed one's late events are told from its successor's by key or number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Listener,
    Control,
    Counter(u32),
    Watch(u32),
    Client(ClientKey),
    BackendConnection(ConnectionKey),
}

/// Keys have their place in the low half of 64 bits; the kind goes above any place that is ever used.
const KIND_SHIFT: u32 = 28;

impl Source {
    fn pack(self) -> u64 {
        let (kind, key) = match self {
            Source::Listener => (0, 0),
            Source::Control => (1, 0),
            Source::Counter(number) => (2, u64::from(number) << 32),
            Source::Watch(number) => (3, u64::from(number) << 32),
            Source::Client(key) => (4, key.data().as_ffi()),
            Source::BackendConnection(key) => (5, key.data().as_ffi()),
        };
        key | kind << KIND_SHIFT
    }

    fn unpack(data: u64) -> Option<Source> {
        let key = || KeyData::from_ffi(data & !(15 << KIND_SHIFT));
        let number = (data >> 32) as u32;
        Some(match (data & u64::from(u32::MAX)) >> KIND_SHIFT {
            0 => Source::Listener,
            1 => Source::Control,
            2 => Source::Counter(number),
            3 => Source::Watch(number),
            4 => Source::Client(key().into()),
            5 => Source::BackendConnection(key().into()),
            _ => return None,
        })
    }
}

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyEvent {
    pub(crate) source: Source,
    pub(crate) read: bool,
    pub(crate) write: bool,
    /// The other side has ended its sending: whatever is read, the end is still to be read behind it, and no
    /// further edge will tell of it.
    pub(crate) ended: bool,
}

pub(crate) struct Poller {
    poll: poller::Poller,
    /// What was ready last, with its tokens.
    raw: Vec<poller::ReadyEvent>,
}

impl Poller {
    pub(crate) fn new() -> Result<Poller> {
        Ok(Poller { poll: poller::Poller::new()?, raw: Vec::new() })
    }

    /// Watches a socket, once and for all: it tells each time that it has become ready again.
    pub(crate) fn add(&self, socket: impl AsFd, source: Source) -> Result<()> {
        self.poll.add(socket, source.pack())
    }

    /// Begins a connection and watches it; it becomes ready to write once it is made or has failed.
    pub(crate) fn connect(&self, address: &SocketAddr, source: Source) -> Result<OwnedFd> {
        self.poll.connect(address, source.pack())
    }

    /// Waits until a socket is ready or the time is over, and leaves what is ready in `ready`.
    pub(crate) fn wait(&mut self, time: Option<Duration>, ready: &mut Vec<ReadyEvent>) -> Result<()> {
        self.poll.wait(time, &mut self.raw)?;
        ready.extend(self.raw.drain(..).filter_map(
            |poller::ReadyEvent { token, is_readable: read, is_writable: write, has_peer_ended: ended }| {
                Some(ReadyEvent { source: Source::unpack(token)?, read, write, ended })
            },
        ));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_source_comes_back_from_its_number() {
        let mut lines = slotmap::SlotMap::<ConnectionKey, ()>::with_key();
        let gone = lines.insert(());
        lines.remove(gone);
        let (old, new) = (Source::BackendConnection(gone), Source::BackendConnection(lines.insert(())));
        assert_ne!(old, new);
        for source in [Source::Listener, Source::Control, Source::Counter(7), Source::Watch(9), old, new] {
            assert_eq!(Source::unpack(source.pack()), Some(source));
        }
        assert_eq!(Source::unpack(u64::MAX), None);
    }
}
