//! Connections to control processes: the one that carries the control session, and the candidate that is being opened to
//! replace it.

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

/// A connection fails when sent data stays unacknowledged for this long. The session detects an unresponsive control
/// process earlier; the longer timeout lets a connection over a congested link recover without data loss.
const TCP_USER_TIMEOUT: Duration = Duration::from_micros(10_000_000);
/// Size of the length field that precedes each frame.
const FRAME_LENGTH_BYTES: usize = 4;
/// Maximum number of received bytes that are buffered before they are parsed.
const MAX_UNPARSED_BYTES: usize = MAX_FRAME_BYTES + FRAME_LENGTH_BYTES;

/// A connection to a control process.
pub(super) struct ControlConnection {
    /// The poll token.
    pub(super) id: u64,
    connection: Connection,
    decoder: MessageDecoder,
    /// Number of input bytes that have been parsed. They are removed together before the next read.
    parsed_bytes: usize,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The control process closed the connection.
    Closed,
    /// The received data is not a valid message.
    Malformed,
    /// The connection failed.
    Failed(Errno),
}

impl CloseReason {
    /// The reason as written to the log.
    fn as_str(self) -> &'static str {
        match self {
            CloseReason::Closed => "closed",
            CloseReason::Malformed => "malformed",
            CloseReason::Failed(error) => error_label(error),
        }
    }
}

/// The result of reading from a connection.
struct ReadStatus {
    /// Whether there is unparsed input.
    has_input: bool,
    /// Whether the control process has closed its sending side.
    has_reached_eof: bool,
}

impl ControlConnection {
    fn handle_event(&mut self, event: &ReadyEvent) -> Result<(), CloseReason> {
        self.connection.handle_event(event).map_err(CloseReason::Failed)
    }

    /// Reads available data until the input buffer is full.
    fn read(&mut self, read_buffer: &mut [u8]) -> Result<ReadStatus, CloseReason> {
        self.connection.input.drain(..std::mem::take(&mut self.parsed_bytes));
        let has_reached_eof =
            self.connection.read_available(read_buffer, MAX_UNPARSED_BYTES).map_err(CloseReason::Failed)?;
        Ok(ReadStatus { has_input: !self.connection.input.is_empty(), has_reached_eof })
    }

    /// Decodes the next complete message from the input, if any.
    fn next_message(&mut self) -> Result<Option<Message>, CloseReason> {
        let message = self.decoder.next(&self.connection.input, &mut self.parsed_bytes);
        message.map_err(|_| CloseReason::Malformed)
    }

    fn send(&mut self, messages: &mut Vec<Message>) -> Result<(), CloseReason> {
        for message in messages.drain(..) {
            protocol::encode_message(message, &mut self.connection.output);
        }
        self.connection.flush().map(drop).map_err(CloseReason::Failed)
    }
}

impl Server {
    /// Runs the periodic work of the control session, and opens a candidate connection if needed.
    pub(super) fn tick_control_session(&mut self, now: Timestamp) {
        let outcome = self.control_session.tick(now);
        if outcome.should_close_candidate {
            self.close_candidate("timed-out");
        }
        if outcome.should_close_session {
            self.close_control_connection("timed-out");
        }
        let random = self.rng.rand_u64();
        if let Some(address) = self.control_session.next_control_process(now, random) {
            self.open_candidate(&address);
        }
    }

    fn open_candidate(&mut self, address: &str) {
        let port = self.settings.peer_ports.0;
        let address = address.parse::<IpAddr>().ok().map(|ip| SocketAddr::new(ip, port));
        let id = self.allocate_id();
        let opened = address
            .and_then(|address| Connection::connect(&self.poller, &address, id, TCP_USER_TIMEOUT).ok());
        match opened {
            Some(connection) => {
                let decoder = MessageDecoder::default();
                self.candidate_connection =
                    Some(ControlConnection { id, connection, decoder, parsed_bytes: 0 });
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

    /// Sends the pending messages on the session's connection and on the candidate connection.
    pub(super) fn flush_control_connections(&mut self) {
        if let Some(candidate) = &mut self.candidate_connection {
            if let Err(reason) = candidate.send(&mut self.control_session.candidate_outgoing) {
                self.close_candidate(reason.as_str());
            }
        }
        let Some(control) = &mut self.control_connection else { return };
        let items = std::mem::take(&mut self.control_session.outgoing_items);
        protocol::encode_items(items.iter(), &mut control.connection.output);
        if let Err(reason) = control.send(&mut self.control_session.outgoing) {
            self.close_control_connection(reason.as_str());
        }
    }

    /// Reads the hello on the candidate connection. If it is accepted, this connection becomes the session's connection.
    pub(super) fn process_candidate(&mut self, event: &ReadyEvent) {
        let now = self.clock.now();
        let hello = self.read_hello(event);
        match hello {
            Ok(None) => {}
            Ok(Some(hello)) => match self.control_session.candidate_hello(now, &hello) {
                CandidateOutcome::Promoted => {
                    self.control_connection = self.candidate_connection.take();
                    self.process_session_messages(now);
                }
                CandidateOutcome::Rejected => self.candidate_connection = None,
            },
            Err(reason) => self.close_candidate(reason.as_str()),
        }
    }

    fn read_hello(&mut self, event: &ReadyEvent) -> Result<Option<Hello>, CloseReason> {
        let Some(candidate) = &mut self.candidate_connection else { return Ok(None) };
        candidate.handle_event(event)?;
        let status = candidate.read(&mut self.read_buffer)?;
        match candidate.next_message()? {
            Some(Message::Hello(hello)) => Ok(Some(hello)),
            Some(_) => Err(CloseReason::Malformed),
            None if status.has_reached_eof => Err(CloseReason::Closed),
            None => Ok(None),
        }
    }

    /// Handles a socket event on the session's connection and processes the received messages.
    pub(super) fn process_control_connection(&mut self, event: &ReadyEvent) {
        let Some(control) = &mut self.control_connection else { return };
        match control.handle_event(event) {
            Ok(()) => self.process_session_messages(self.clock.now()),
            Err(reason) => self.close_control_connection(reason.as_str()),
        }
    }

    fn process_session_messages(&mut self, now: Timestamp) {
        let mut updates = SessionUpdates::default();
        let result = self.read_messages(now, &mut updates);
        let should_close = updates.should_close;
        self.apply_session_updates(now, updates);
        match result {
            Err(reason) => self.close_control_connection(reason.as_str()),
            Ok(()) if should_close => self.close_control_connection("not-current"),
            Ok(()) => {}
        }
    }

    /// Reads and processes messages until the socket has no more data.
    fn read_messages(&mut self, now: Timestamp, updates: &mut SessionUpdates) -> Result<(), CloseReason> {
        let Some(control) = &mut self.control_connection else { return Ok(()) };
        // The poller reports no further event for data left in the socket when a read stopped at the buffer limit.
        loop {
            let status = control.read(&mut self.read_buffer)?;
            if status.has_input {
                self.control_session.bytes_received(now);
            }
            while let Some(message) = control.next_message()? {
                self.control_session.receive(now, message, updates);
            }
            if status.has_reached_eof {
                return Err(CloseReason::Closed);
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
                Kind::ReplicaSet | Kind::Reservation => {}
                _ => self.configuration.mark_stale(),
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
