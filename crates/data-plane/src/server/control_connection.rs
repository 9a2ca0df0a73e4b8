//! The connections to control processes, under the control session: its own, and the candidate that is being opened.

use super::Server;
use crate::control_session::{CandidateOutcome, SessionUpdates};
use kitepass_config::Kind;
use kitepass_coordination::protocol::framing::{MessageDecoder, MAX_FRAME_BYTES};
use kitepass_coordination::protocol::{self, Hello, Message};
use kitepass_net::connection::{error_label, Connection};
use kitepass_net::poller::ReadyEvent;
use kitepass_net::Errno;
use kitepass_time::{Duration, Timestamp};
use std::net::{IpAddr, SocketAddr};

/// Bytes that are not acknowledged for so long end a connection. The session judges sooner whether another is needed; on a
/// congested link the connection, which loses nothing and keeps the order, is worth waiting for.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_micros(10_000_000);
/// Bytes of a frame's length, in front of it.
const FRAME_LENGTH_BYTES: usize = 4;
/// Bytes that have come and are not used, at most.
const MAX_UNUSED_BYTES: usize = MAX_FRAME_BYTES + FRAME_LENGTH_BYTES;

/// A connection to a control process.
pub(super) struct ControlConnection {
    /// The token under which it is polled.
    pub(super) id: u64,
    connection: Connection,
    decoder: MessageDecoder,
    /// Bytes of the input that messages were taken of. They go before the next read, all at once.
    used_bytes: usize,
}

/// Why a connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The control process closed it.
    Closed,
    /// What came is no frame.
    Malformed,
    /// It broke.
    Failed(Errno),
}

impl ConnectionEnd {
    /// The reason's name in log lines.
    fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Malformed => "malformed",
            ConnectionEnd::Failed(error) => error_label(error),
        }
    }
}

/// What reading a connection has come to.
struct ReadStatus {
    /// There are bytes that no message was taken of yet.
    has_input: bool,
    /// The control process has ended its sending.
    has_ended: bool,
}

impl ControlConnection {
    fn handle_event(&mut self, event: &ReadyEvent) -> Result<(), ConnectionEnd> {
        self.connection.handle_event(event).map_err(ConnectionEnd::Failed)
    }

    /// Reads what has come, as far as there is room.
    fn read(&mut self, scratch: &mut [u8]) -> Result<ReadStatus, ConnectionEnd> {
        self.connection.input.drain(..std::mem::take(&mut self.used_bytes));
        let has_ended =
            self.connection.read_available(scratch, MAX_UNUSED_BYTES).map_err(ConnectionEnd::Failed)?;
        Ok(ReadStatus { has_input: !self.connection.input.is_empty(), has_ended })
    }

    /// The next message of what has been read, if all of one is there.
    fn next_message(&mut self) -> Result<Option<Message>, ConnectionEnd> {
        let message = self.decoder.next(&self.connection.input, &mut self.used_bytes);
        message.map_err(|_| ConnectionEnd::Malformed)
    }

    fn send(&mut self, messages: &mut Vec<Message>) -> Result<(), ConnectionEnd> {
        for message in messages.drain(..) {
            protocol::encode_message(message, &mut self.connection.output);
        }
        self.connection.flush().map(drop).map_err(ConnectionEnd::Failed)
    }
}

impl Server {
    /// Lets time pass for the session, and opens a connection where one is wanted.
    pub(super) fn tick_control_session(&mut self, now: Timestamp) {
        let outcome = self.control_session.tick(now);
        if outcome.should_close_candidate {
            self.close_candidate("timed-out");
        }
        if outcome.should_close_session {
            self.close_control_connection("timed-out");
        }
        let draw = self.rng.rand_u64();
        if let Some(address) = self.control_session.next_control_process(now, draw) {
            self.open_candidate(&address);
        }
    }

    fn open_candidate(&mut self, address: &str) {
        let port = self.settings.peer_ports.0;
        let address = address.parse::<IpAddr>().ok().map(|ip| SocketAddr::new(ip, port));
        let id = self.allocate_id();
        let opened = address
            .and_then(|address| Connection::connect(&self.poller, &address, id, UNACKNOWLEDGED_TIMEOUT).ok());
        match opened {
            Some(connection) => {
                let decoder = MessageDecoder::default();
                self.candidate_connection =
                    Some(ControlConnection { id, connection, decoder, used_bytes: 0 });
            }
            None => self.control_session.candidate_lost("not-opened"),
        }
    }

    fn close_candidate(&mut self, why: &str) {
        self.candidate_connection = None;
        self.control_session.candidate_lost(why);
    }

    fn close_control_connection(&mut self, why: &str) {
        self.control_connection = None;
        self.control_session.connection_lost(why);
    }

    /// Sends what the session has to say, on its connection and on the candidate's.
    pub(super) fn flush_control_connections(&mut self) {
        if let Some(candidate) = &mut self.candidate_connection {
            if let Err(end) = candidate.send(&mut self.control_session.candidate_outgoing) {
                self.close_candidate(end.name());
            }
        }
        let Some(control) = &mut self.control_connection else { return };
        let items = std::mem::take(&mut self.control_session.outgoing_items);
        protocol::encode_items(items.iter(), &mut control.connection.output);
        if let Err(end) = control.send(&mut self.control_session.outgoing) {
            self.close_control_connection(end.name());
        }
    }

    /// Reads the hello that a control process sends on the candidate connection, with which that becomes the session's.
    pub(super) fn serve_candidate(&mut self, event: &ReadyEvent) {
        let now = self.clock.now();
        let hello = self.read_hello(event);
        match hello {
            Ok(None) => {}
            Ok(Some(hello)) => match self.control_session.candidate_hello(now, &hello) {
                CandidateOutcome::Promoted => {
                    self.control_connection = self.candidate_connection.take();
                    self.read_session(now);
                }
                CandidateOutcome::Rejected => self.candidate_connection = None,
            },
            Err(end) => self.close_candidate(end.name()),
        }
    }

    fn read_hello(&mut self, event: &ReadyEvent) -> Result<Option<Hello>, ConnectionEnd> {
        let Some(candidate) = &mut self.candidate_connection else { return Ok(None) };
        candidate.handle_event(event)?;
        let status = candidate.read(&mut self.read_buffer)?;
        match candidate.next_message()? {
            Some(Message::Hello(hello)) => Ok(Some(hello)),
            Some(_) => Err(ConnectionEnd::Malformed),
            None if status.has_ended => Err(ConnectionEnd::Closed),
            None => Ok(None),
        }
    }

    /// Reads what the session's control process sends, and takes it up.
    pub(super) fn serve_control_connection(&mut self, event: &ReadyEvent) {
        let Some(control) = &mut self.control_connection else { return };
        match control.handle_event(event) {
            Ok(()) => self.read_session(self.clock.now()),
            Err(end) => self.close_control_connection(end.name()),
        }
    }

    fn read_session(&mut self, now: Timestamp) {
        let mut updates = SessionUpdates::default();
        let end = self.read_messages(now, &mut updates);
        let should_close = updates.should_close;
        self.apply_session_updates(now, updates);
        match end {
            Err(end) => self.close_control_connection(end.name()),
            Ok(()) if should_close => self.close_control_connection("not-current"),
            Ok(()) => {}
        }
    }

    /// Reads until the socket holds no more.
    fn read_messages(&mut self, now: Timestamp, updates: &mut SessionUpdates) -> Result<(), ConnectionEnd> {
        let Some(control) = &mut self.control_connection else { return Ok(()) };
        // No further event tells of what is left in the socket by a read that stopped at its bound.
        loop {
            let status = control.read(&mut self.read_buffer)?;
            if status.has_input {
                self.control_session.bytes_received(now);
            }
            while let Some(message) = control.next_message()? {
                self.control_session.receive(now, message, updates);
            }
            if status.has_ended {
                return Err(ConnectionEnd::Closed);
            }
            if !control.connection.is_readable() {
                return Ok(());
            }
        }
    }

    fn apply_session_updates(&mut self, now: Timestamp, updates: SessionUpdates) {
        for item in &updates.items {
            match item.kind {
                Kind::Backend => self.load_balancer.update_backend(now, item),
                Kind::ReplicaSet => {}
                _ => self.configuration.items_changed(),
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
