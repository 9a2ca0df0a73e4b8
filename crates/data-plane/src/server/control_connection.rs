//! The connection to the control process, under the control session.

use super::Server;
use crate::control_session::SessionUpdates;
use kitepass_config::Kind;
use kitepass_coordination::protocol;
use kitepass_coordination::protocol::framing::{Assembler, MAX_FRAME_BYTES};
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::poller::ReadyEvent;
use kitepass_net::Errno;
use kitepass_time::{Duration, Timestamp};
use std::net::{IpAddr, SocketAddr};

/// Bytes that are not acknowledged for so long end the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_micros(1_500_000);
/// Bytes of a frame's length, in front of it.
const FRAME_LENGTH_BYTES: usize = 4;

/// A connection to the control process.
pub(super) struct ControlConnection {
    /// The token under which it is polled.
    pub(super) id: u64,
    connection: Connection,
    assembler: Assembler,
}

/// How a turn of reading ended.
enum ReadEnd {
    /// There is no more to read for now.
    Drained,
    /// The control process closed the connection.
    Closed,
    /// What came is no frame.
    Malformed,
    /// The connection broke.
    Failed(Errno),
}

impl Server {
    /// Lets time pass for the session, and opens a connection where there is none.
    pub(super) fn tick_control_session(&mut self, now: Timestamp) {
        if self.control_session.tick(now) {
            self.close_control_connection("left");
        }
        let draw = self.rng.rand_u64();
        if let Some(address) = self.control_session.next_control_process(now, draw) {
            self.open_control_connection(&address);
        }
    }

    fn open_control_connection(&mut self, address: &str) {
        let port = self.settings.peer_ports.0;
        let address = address.parse::<IpAddr>().ok().map(|ip| SocketAddr::new(ip, port));
        let id = self.allocate_id();
        let opened = address
            .and_then(|address| Connection::connect(&self.poller, &address, id, UNACKNOWLEDGED_TIMEOUT).ok());
        match opened {
            Some(connection) => {
                self.control_connection =
                    Some(ControlConnection { id, connection, assembler: Assembler::default() });
            }
            None => self.control_session.connection_lost("not-opened"),
        }
    }

    fn close_control_connection(&mut self, why: &str) {
        self.control_connection = None;
        self.control_session.connection_lost(why);
    }

    /// Sends what the session has to say.
    pub(super) fn flush_control_connection(&mut self) {
        let Some(control) = &mut self.control_connection else { return };
        for message in self.control_session.outgoing.drain(..) {
            protocol::pack(message, &mut control.connection.output);
        }
        let items = std::mem::take(&mut self.control_session.outgoing_items);
        protocol::pack_items(items.iter(), &mut control.connection.output);
        if let Err(error) = control.connection.flush() {
            self.close_control_connection(error_label(error));
        }
    }

    /// Reads what the control process sends, and takes it up.
    pub(super) fn serve_control_connection(&mut self, event: &ReadyEvent) {
        let now = self.clock.now();
        let mut updates = SessionUpdates::default();
        let end = self.read_control_connection(now, event, &mut updates);
        let should_close = updates.should_close;
        self.apply_session_updates(now, updates);
        match end {
            ReadEnd::Closed => self.close_control_connection("closed"),
            ReadEnd::Failed(error) => self.close_control_connection(error_label(error)),
            ReadEnd::Malformed => self.close_control_connection("malformed"),
            ReadEnd::Drained if should_close => self.close_control_connection("not-current"),
            ReadEnd::Drained => {}
        }
    }

    fn read_control_connection(
        &mut self,
        now: Timestamp,
        event: &ReadyEvent,
        updates: &mut SessionUpdates,
    ) -> ReadEnd {
        let Some(control) = &mut self.control_connection else { return ReadEnd::Drained };
        if let Err(error) = control.connection.handle_event(event) {
            return ReadEnd::Failed(error);
        }
        // No further event tells of what is left in the socket by a read that stopped at its bound.
        loop {
            let max_unused_bytes = MAX_FRAME_BYTES + FRAME_LENGTH_BYTES;
            let filled = control.connection.read_available(&mut self.read_buffer, max_unused_bytes);
            if !control.connection.input.is_empty() {
                self.control_session.bytes_received(now);
            }
            let mut offset = 0;
            let is_malformed = loop {
                match control.assembler.next(&control.connection.input, &mut offset) {
                    Ok(None) => break false,
                    Err(_) => break true,
                    Ok(Some(message)) => self.control_session.receive(now, message, updates),
                }
            };
            control.connection.input.drain(..offset);
            match filled {
                Ok(true) => return ReadEnd::Closed,
                Err(error) => return ReadEnd::Failed(error),
                Ok(false) if is_malformed => return ReadEnd::Malformed,
                Ok(false) if !control.connection.is_readable() => return ReadEnd::Drained,
                Ok(false) => {}
            }
        }
    }

    fn apply_session_updates(&mut self, now: Timestamp, updates: SessionUpdates) {
        for item in &updates.items {
            match item.kind {
                Kind::Backend => self.load_balancer.update_backend(now, item),
                Kind::ReplicaSet => {}
                _ => self.is_routing_table_stale = true,
            }
        }
        if let Some(live) = updates.live_gateways {
            self.live_gateways = live.count.max(1);
            self.quota.set_live_gateways(live.count);
            self.load_balancer.set_live_gateways(live.node_ids);
        }
        for totals in &updates.totals {
            self.receive_totals(now, totals);
        }
    }
}
