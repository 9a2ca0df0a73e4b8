//! Backends: one record each, the connections to them, and the attempts that these carry.
//!
//! A connection carries one attempt at a time, and an attempt is written at most once. [`attempt`] begins and
//! ends attempts, [`connection`] does their input and output, [`pool`] keeps connections for reuse, and
//! [`failure`] says what the end of an attempt means for the policy.

mod attempt;
mod connection;
mod failure;
mod pool;
#[cfg(test)]
mod tests;

use crate::http::MessageReader;
use crate::poll::ConnectionKey;
use crate::request::RequestKey;
use crate::runtime::Runtime;
use crate::timer_wheel::TimerKey;
use kitepass_gateway_policy::BackendStatus;
use kitepass_time::Timestamp;
use rustix::fd::OwnedFd;
use slotmap::SlotMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// What the gateway knows of one backend on discovery's list.
#[derive(Default)]
struct BackendRecord {
    /// Where it listens; `None` until discovery has given an address that can be read.
    address: Option<SocketAddr>,
    /// Whether it takes new attempts: listed, and not draining.
    is_live: bool,
    /// When a complete answer last came from it.
    last_heard: Timestamp,
    /// Connections that carry no attempt, the longest idle first. Some of them may have been closed since.
    idle: VecDeque<IdleConnection>,
}

/// A connection that is kept for a later attempt.
struct IdleConnection {
    /// When it completed its last attempt.
    idle_since: Timestamp,
    key: ConnectionKey,
}

/// A connection to a backend.
struct BackendConnection {
    socket: OwnedFd,
    /// The backend's id.
    backend: Rc<str>,
    is_connected: bool,
    /// The attempt that it carries; `None` while it is idle.
    attempt: Option<Attempt>,
    reader: MessageReader,
    /// Bytes that have been read and not parsed yet.
    input: Vec<u8>,
    /// The attempt's message, of which the first `written` bytes have gone to the socket.
    output: Vec<u8>,
    written: usize,
}

/// One try to have a request answered by a backend.
struct Attempt {
    request: RequestKey,
    /// Fires when the connection, the begun answer or the whole attempt takes too long.
    timer: TimerKey,
    /// When it was begun.
    started_at: Timestamp,
    deadline: Timestamp,
    /// Whether the request's method is HEAD, whose answer has no body.
    is_head_request: bool,
    /// Whether the first bytes of its answer have come.
    has_response_started: bool,
}

/// All backends that discovery lists, and the connections to them.
pub(crate) struct Backends {
    /// By the backend's id.
    records: BTreeMap<Rc<str>, BackendRecord>,
    connections: SlotMap<ConnectionKey, BackendConnection>,
    /// The most connections that may be open at once.
    max_connections: usize,
}

impl Backends {
    /// No backends yet, and room for `max_connections` connections.
    pub(crate) fn new(max_connections: usize) -> Backends {
        Backends { records: BTreeMap::new(), connections: SlotMap::with_key(), max_connections }
    }

    /// Whether any backend takes attempts.
    pub(crate) fn has_live_backend(&self) -> bool {
        self.records.values().any(|record| record.is_live)
    }
}

impl Runtime {
    /// Takes over what discovery says of a backend; `address` is `None` where it cannot be read.
    pub(crate) fn update_backend(&mut self, id: &str, address: Option<SocketAddr>, status: BackendStatus) {
        if status == BackendStatus::Removed {
            self.close_idle_connections(id);
            self.backends.records.remove(id);
            return;
        }
        let record = self.backends.records.entry(id.into()).or_default();
        let address_changed = address.is_some() && record.address != address;
        record.address = address.or(record.address);
        record.is_live = status == BackendStatus::Live;
        if address_changed || !record.is_live {
            self.close_idle_connections(id);
        }
    }

    /// Removes all backends for which `listed` is false: those that a complete list leaves out.
    pub(crate) fn retain_backends(&mut self, is_listed: impl Fn(&str) -> bool) {
        let removed: Vec<_> = self.backends.records.keys().filter(|id| !is_listed(id)).cloned().collect();
        for id in removed {
            self.update_backend(&id, None, BackendStatus::Removed);
        }
    }

    /// Closes the connections to a backend that carry no attempt.
    fn close_idle_connections(&mut self, id: &str) {
        let Some(record) = self.backends.records.get_mut(id) else { return };
        for idle in record.idle.drain(..) {
            self.backends.connections.remove(idle.key);
        }
    }
}
