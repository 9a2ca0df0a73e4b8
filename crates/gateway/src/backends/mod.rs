//! Backends: a record of each, the connections to them, and the attempts on these connections.
//!
//! A connection carries one attempt at a time, and an attempt is sent at most once. [`attempt`] starts and ends
//! attempts, [`connection`] does their I/O, [`pool`] keeps connections for reuse, and [`failure`] maps the end of
//! an attempt to an outcome for the policy.

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

/// What the gateway knows about one backend on discovery's list.
#[derive(Default)]
struct BackendRecord {
    /// The address on which it listens; `None` until discovery has sent a valid one.
    address: Option<SocketAddr>,
    /// Whether it accepts new attempts: it is listed and not draining.
    is_live: bool,
    /// When the last complete response was received from it.
    last_heard: Timestamp,
    /// Connections that carry no attempt, the longest idle first. Some of them may be closed already.
    idle: VecDeque<IdleConnection>,
}

/// An idle connection that is kept for reuse.
struct IdleConnection {
    /// When its last attempt was completed.
    idle_since: Timestamp,
    key: ConnectionKey,
}

/// A connection to a backend.
struct BackendConnection {
    socket: OwnedFd,
    /// The backend's id.
    backend: Rc<str>,
    is_connected: bool,
    /// The attempt in flight; `None` while the connection is idle.
    attempt: Option<Attempt>,
    reader: MessageReader,
    /// Bytes that were read but not parsed yet.
    input: Vec<u8>,
    /// The attempt's message; its first `written` bytes have been written to the socket.
    output: Vec<u8>,
    written: usize,
}

/// One try to get a response to a request from a backend.
struct Attempt {
    request: RequestKey,
    /// The time-out of the connect, of a response that has started, or of the whole attempt.
    timer: TimerKey,
    /// When the attempt was started.
    started_at: Timestamp,
    deadline: Timestamp,
    /// Whether the request's method is HEAD, whose response has no body.
    is_head_request: bool,
    /// Whether the first bytes of the response have been received.
    has_response_started: bool,
}

/// All backends that discovery lists, and the connections to them.
pub(crate) struct Backends {
    /// Records by the backend's id.
    records: BTreeMap<Rc<str>, BackendRecord>,
    connections: SlotMap<ConnectionKey, BackendConnection>,
    /// How many connections may be open at once.
    max_connections: usize,
}

impl Backends {
    /// Starts without backends, with room for `max_connections` connections.
    pub(crate) fn new(max_connections: usize) -> Backends {
        Backends { records: BTreeMap::new(), connections: SlotMap::with_key(), max_connections }
    }

    /// Whether any backend accepts attempts.
    pub(crate) fn has_live_backend(&self) -> bool {
        self.records.values().any(|record| record.is_live)
    }
}

impl Runtime {
    /// Applies an entry of discovery's list; `address` is `None` if the entry has no valid one.
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

    /// Removes all backends for which `is_listed` is false: those that are not on a complete list.
    pub(crate) fn retain_backends(&mut self, is_listed: impl Fn(&str) -> bool) {
        let removed: Vec<_> = self.backends.records.keys().filter(|id| !is_listed(id)).cloned().collect();
        for id in removed {
            self.update_backend(&id, None, BackendStatus::Removed);
        }
    }

    /// Closes the idle connections to a backend.
    fn close_idle_connections(&mut self, id: &str) {
        let Some(record) = self.backends.records.get_mut(id) else { return };
        for idle in record.idle.drain(..) {
            self.backends.connections.remove(idle.key);
        }
    }
}
