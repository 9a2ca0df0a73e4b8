//! The pool of idle connections to backends.

use super::{BackendConnection, IdleConnection};
use crate::http::MessageReader;
use crate::poll::{self, ConnectionKey, Source};
use crate::runtime::{Runtime, Timer};
use kitepass_time::{Duration, Timestamp};
use rustix::io::Errno;
use std::net::SocketAddr;
use std::rc::Rc;

impl Runtime {
    /// Takes the most recently used idle connection that the backend has not closed.
    pub(super) fn reuse_connection(&mut self, backend: &str, now: Timestamp) -> Option<ConnectionKey> {
        let earliest_allowed = now - self.idle_timeout();
        let record = self.backends.records.get_mut(backend)?;
        while let Some(IdleConnection { idle_since, key }) = record.idle.pop_back() {
            let Some(connection) = self.backends.connections.get(key) else { continue };
            // Invariant: no request is written to a connection that the backend has closed. It would be lost,
            // and the policy would have to assume that it may have run.
            if idle_since > earliest_allowed && poll::is_idle(&connection.socket) {
                return Some(key);
            }
            self.backends.connections.remove(key);
        }
        None
    }

    /// How long a connection may be idle: slightly less than the time after which backends close it.
    fn idle_timeout(&self) -> Duration {
        self.connection_settings.idle_timeout / 8 * 7
    }

    /// Opens a connection to a backend. At the limit, idle connections are closed to make room.
    ///
    /// # Errors
    /// `MFILE` if all connections up to the limit carry attempts; otherwise the system's error.
    pub(super) fn open_connection(
        &mut self,
        backend: &Rc<str>,
        address: &SocketAddr,
    ) -> rustix::io::Result<ConnectionKey> {
        if self.backends.connections.len() >= self.backends.max_connections {
            self.evict_longest_idle();
        }
        if self.backends.connections.len() >= self.backends.max_connections {
            return Err(Errno::MFILE);
        }
        let connect = |key| {
            Ok(BackendConnection {
                socket: self.poller.connect(address, Source::BackendConnection(key))?,
                backend: backend.clone(),
                is_connected: false,
                attempt: None,
                reader: MessageReader::default(),
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
            })
        };
        self.backends.connections.try_insert_with_key(connect)
    }

    /// Closes the longest idle connections until there is room for another connection.
    fn evict_longest_idle(&mut self) {
        while self.backends.connections.len() >= self.backends.max_connections {
            let idle = self.backends.records.values_mut().filter(|record| !record.idle.is_empty());
            let Some(record) = idle.min_by_key(|record| record.idle[0].idle_since) else { return };
            if let Some(IdleConnection { key, .. }) = record.idle.pop_front() {
                self.backends.connections.remove(key);
            }
        }
    }

    /// Closes connections that have been idle for too long, and schedules the next check.
    pub(crate) fn drop_idle_connections(&mut self) {
        let now = self.now();
        let earliest_allowed = now - self.idle_timeout();
        for record in self.backends.records.values_mut() {
            while record.idle.front().is_some_and(|idle| idle.idle_since <= earliest_allowed) {
                if let Some(IdleConnection { key, .. }) = record.idle.pop_front() {
                    self.backends.connections.remove(key);
                }
            }
        }
        self.schedule_timer(now + self.connection_settings.idle_timeout / 16, Timer::DropIdleConnections);
    }
}
