//! Backends: one record each, connections kept for reuse, and the attempts on them. A connection carries one attempt
//! at a time, and an attempt is written at most once.

use crate::http::{Message, MessageKind, MessageReader, ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::poll::{self, clear_and_shrink, ConnectionKey, ReadOutcome, ReadyEvent, Source};
use crate::request::{RequestKey, State};
use crate::runtime::{AttemptEnded, Event, Runtime, Timer};
use crate::timer_wheel::TimerKey;
use kitepass_gateway_policy::{AttemptOutcome, BackendStatus};
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use slotmap::SlotMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    NotConnected,
    PartlyWritten,
    FullyWritten,
    PartlyAnswered,
}

/// Why it came no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureCause {
    /// Refused or reset.
    ConnectionError(Errno),
    Closed,
    TimedOut,
    ParseError(ParseError),
    /// Nothing is to be sent any more: the backend drains or is gone, the request needs no answer, or there is
    /// no descriptor to send it by.
    NotSendable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failure {
    progress: Progress,
    cause: FailureCause,
}

impl Failure {
    /// What a failure means for the decisions: a backend begins a request with its last byte, so whatever
    /// stopped an attempt before that proves that it never ran.
    fn outcome(self) -> AttemptOutcome {
        match (self.progress, self.cause) {
            (Progress::NotConnected, FailureCause::NotSendable) => AttemptOutcome::NotSent, // no blame for the backend
            (Progress::NotConnected | Progress::PartlyWritten, _) => AttemptOutcome::Unreachable,
            (_, FailureCause::TimedOut) => AttemptOutcome::TimedOut,
            (_, FailureCause::ParseError(_)) => AttemptOutcome::Failed,
            (..) => AttemptOutcome::ConnectionLost,
        }
    }
}

/// What a complete response means.
fn answered(answer: &Message) -> AttemptOutcome {
    match answer.status() {
        200 => AttemptOutcome::Completed,
        503 | 504 if answer.field("x-never-ran") == Some(b"1") => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

#[derive(Default)]
struct BackendRecord {
    address: Option<SocketAddr>,
    is_live: bool,
    /// When something last came from it.
    last_heard: Timestamp,
    /// Connections that carry nothing, and since when, oldest first. Some may have been closed.
    idle: VecDeque<(Timestamp, ConnectionKey)>,
}

/// A connection to a backend.
struct BackendConnection {
    socket: OwnedFd,
    backend: Rc<str>,
    is_connected: bool,
    attempt: Option<Attempt>,
    reader: MessageReader,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

struct Attempt {
    request: RequestKey,
    timer: TimerKey,
    sent: Timestamp,
    deadline: Timestamp,
    is_head_request: bool,
    /// Its answer has begun.
    has_response_begun: bool,
}

pub(crate) struct Backends {
    records: BTreeMap<Rc<str>, BackendRecord>,
    connections: SlotMap<ConnectionKey, BackendConnection>,
    /// Connections held at most.
    max_connections: usize,
}

impl Backends {
    pub(crate) fn new(max_connections: usize) -> Backends {
        Backends { records: BTreeMap::new(), connections: SlotMap::with_key(), max_connections }
    }

    pub(crate) fn any_listed(&self) -> bool {
        self.records.values().any(|record| record.is_live)
    }
}

impl Runtime {
    /// What the list says of a backend; `None` for an address that cannot be read.
    pub(crate) fn list_backend(&mut self, id: &str, address: Option<SocketAddr>, status: BackendStatus) {
        if status == BackendStatus::Removed {
            self.close_idle_connections(id);
            self.backends.records.remove(id);
            return;
        }
        let record = self.backends.records.entry(id.into()).or_default();
        let has_moved = address.is_some() && record.address != address;
        record.address = address.or(record.address);
        record.is_live = status == BackendStatus::Live;
        if has_moved || !record.is_live {
            self.close_idle_connections(id);
        }
    }

    /// Forgets all backends that a complete list leaves out.
    pub(crate) fn retain_backends(&mut self, listed: impl Fn(&str) -> bool) {
        let removed: Vec<_> = self.backends.records.keys().filter(|id| !listed(id)).cloned().collect();
        for id in removed {
            self.list_backend(&id, None, BackendStatus::Removed);
        }
    }

    fn close_idle_connections(&mut self, id: &str) {
        let Some(record) = self.backends.records.get_mut(id) else { return };
        for (_, key) in record.idle.drain(..) {
            self.backends.connections.remove(key);
        }
    }

    pub(crate) fn begin_attempt(&mut self, request: RequestKey, backend: &str, timeout: Duration) {
        let now = self.now();
        let Some(queued) = self.requests.get_mut(request).filter(|c| c.state() == State::Queued) else {
            return;
        };
        queued.attempts += 1;
        let (head, deadline) = (queued.head.clone(), queued.deadline.min(now + timeout));
        self.requests.set_state(request, State::InFlight);
        let Some((backend_id, record)) = self.backends.records.get_key_value(backend) else {
            return self.end_unsent_attempt(request, backend.into(), AttemptOutcome::NotSent);
        };
        let backend_id = backend_id.clone();
        let Some(address) = record.address else {
            return self.end_unsent_attempt(request, backend_id, AttemptOutcome::NotSent);
        };
        if deadline <= now || !record.is_live {
            return self.end_unsent_attempt(request, backend_id, AttemptOutcome::NotSent);
        }
        let key = match self.reuse_connection(backend, now) {
            Some(key) => key,
            None => match self.open_connection(&backend_id, &address) {
                Ok(key) => key,
                Err(error) => {
                    debug!("{backend_id}: no connection: {error}");
                    let is_out_of_descriptors = matches!(error, Errno::MFILE | Errno::NFILE);
                    let cause = if is_out_of_descriptors {
                        FailureCause::NotSendable
                    } else {
                        FailureCause::ConnectionError(error)
                    };
                    let failure = Failure { progress: Progress::NotConnected, cause };
                    return self.end_unsent_attempt(request, backend_id, failure.outcome());
                }
            },
        };
        let is_connected = self.backends.connections[key].is_connected;
        let due = if is_connected { deadline } else { deadline.min(now + self.carriage.connect_within) };
        let timer = self.timers.schedule(due, Timer::Attempt(key));
        let connection = &mut self.backends.connections[key];
        head.append_attempt(deadline - now, &mut connection.output);
        connection.attempt = Some(Attempt {
            request,
            timer,
            sent: now,
            deadline,
            is_head_request: head.is_head(),
            has_response_begun: false,
        });
        if is_connected {
            self.write_backend(key);
        }
    }

    /// An attempt of which nothing has been written.
    fn end_unsent_attempt(&mut self, request: RequestKey, backend: Rc<str>, outcome: AttemptOutcome) {
        let ended = AttemptEnded {
            request,
            backend,
            outcome,
            is_final: false,
            elapsed: Duration::ZERO,
            actual_units: None,
        };
        self.end_attempt(ended, None);
    }

    /// A kept connection that the backend has not closed.
    fn reuse_connection(&mut self, backend: &str, now: Timestamp) -> Option<ConnectionKey> {
        let oldest = now - self.idle_timeout();
        let record = self.backends.records.get_mut(backend)?;
        while let Some((since, key)) = record.idle.pop_back() {
            let Some(connection) = self.backends.connections.get(key) else { continue };
            // What the backend has closed by now would swallow a request, which may have run for all we know.
            if since > oldest && poll::is_quiet(&connection.socket) {
                return Some(key);
            }
            self.backends.connections.remove(key);
        }
        None
    }

    /// Backends close connections that have been idle for some time; ours are closed before that.
    fn idle_timeout(&self) -> Duration {
        self.carriage.idle / 8 * 7
    }

    fn open_connection(
        &mut self,
        backend: &Rc<str>,
        address: &SocketAddr,
    ) -> rustix::io::Result<ConnectionKey> {
        if self.backends.connections.len() >= self.backends.max_connections {
            self.close_longest_idle();
        }
        if self.backends.connections.len() >= self.backends.max_connections {
            return Err(Errno::MFILE);
        }
        let connection = |key| {
            Ok(BackendConnection {
                socket: self.poll.connect(address, Source::BackendConnection(key))?,
                backend: backend.clone(),
                is_connected: false,
                attempt: None,
                reader: MessageReader::default(),
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
            })
        };
        self.backends.connections.try_insert_with_key(connection)
    }

    fn close_longest_idle(&mut self) {
        while self.backends.connections.len() >= self.backends.max_connections {
            let idle = self.backends.records.values_mut().filter(|record| !record.idle.is_empty());
            let Some(record) = idle.min_by_key(|record| record.idle[0].0) else { return };
            if let Some((_, key)) = record.idle.pop_front() {
                self.backends.connections.remove(key);
            }
        }
    }

    /// Closes what has been idle for long, and does so again.
    pub(crate) fn drop_idle_connections(&mut self) {
        let now = self.now();
        let oldest = now - self.idle_timeout();
        for record in self.backends.records.values_mut() {
            while record.idle.front().is_some_and(|(since, _)| *since <= oldest) {
                if let Some((_, key)) = record.idle.pop_front() {
                    self.backends.connections.remove(key);
                }
            }
        }
        self.wake_at(now + self.carriage.idle / 16, Timer::DropIdleConnections);
    }

    pub(crate) fn backend_ready(&mut self, ready: ReadyEvent, key: ConnectionKey) {
        if ready.write && !self.finish_connecting(key) {
            return;
        }
        if ready.read {
            self.read_backend(key, ready.ended);
        }
    }

    /// A socket that is ready to write is connected, or has failed to.
    fn finish_connecting(&mut self, key: ConnectionKey) -> bool {
        let now = self.now();
        let Some(connection) = self.backends.connections.get_mut(key) else { return false };
        if !connection.is_connected {
            if let Err(error) = poll::connect_result(&connection.socket) {
                self.fail_connection(key, FailureCause::ConnectionError(error));
                return false;
            }
            let Some(attempt) = &mut connection.attempt else { return true };
            let deadline = attempt.deadline;
            self.timers.cancel(attempt.timer);
            attempt.timer = self.timers.schedule(deadline, Timer::Attempt(key));
            // While the connection came up the backend may have been told to drain, or the client have left.
            let is_awaited = self.requests.get(attempt.request).is_some_and(|c| c.state() == State::InFlight);
            let is_live = self.backends.records.get(&connection.backend).is_some_and(|record| record.is_live);
            if !is_live || !is_awaited {
                self.fail_connection(key, FailureCause::NotSendable);
                return false;
            }
            if deadline <= now {
                self.fail_connection(key, FailureCause::TimedOut);
                return false;
            }
            if let Some(connection) = self.backends.connections.get_mut(key) {
                connection.is_connected = true;
            }
        }
        self.write_backend(key);
        true
    }

    fn write_backend(&mut self, key: ConnectionKey) {
        let Some(connection) = self.backends.connections.get_mut(key) else { return };
        if let Err(error) = poll::write(&connection.socket, &connection.output, &mut connection.written) {
            // An answer may have come before the connection broke.
            if connection.written > 0 && connection.attempt.is_some() {
                self.read_backend(key, true);
            }
            self.fail_connection(key, FailureCause::ConnectionError(error));
        }
    }

    fn read_backend(&mut self, key: ConnectionKey, ended: bool) {
        let now = self.now();
        loop {
            let Some(connection) = self.backends.connections.get_mut(key) else { return };
            if !connection.is_connected {
                return;
            }
            let outcome = poll::read(&connection.socket, &mut self.scratch, &mut connection.input, ended);
            let Some(attempt) = &mut connection.attempt else {
                // Closed by the backend, or saying something that nobody asked for: no use any more.
                if outcome != Ok(ReadOutcome::WouldBlock) || !connection.input.is_empty() {
                    self.backends.connections.remove(key);
                }
                return;
            };
            let kind = MessageKind::Response { to_head: attempt.is_head_request };
            let ended = matches!(outcome, Ok(ReadOutcome::EndOfStream));
            match connection.reader.next(kind, &mut connection.input, ended) {
                Ok(Some(answer)) => return self.answered(key, answer, ended),
                Ok(None)
                    if connection.reader.has_partial_message(&connection.input)
                        && !attempt.has_response_begun =>
                {
                    // A length that does not fit keeps the rest of an answer waited for: an answer that has begun
                    // takes no longer than a connection does to come up.
                    attempt.has_response_begun = true;
                    let due = attempt.deadline.min(now + self.carriage.connect_within);
                    self.timers.cancel(attempt.timer);
                    attempt.timer = self.timers.schedule(due, Timer::Attempt(key));
                }
                Ok(None) => {}
                Err(error) => {
                    warn!("{}: an answer that is none: {error:?}", connection.backend);
                    return self.fail_connection(key, FailureCause::ParseError(error));
                }
            }
            if connection.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
                return self.fail_connection(key, FailureCause::ParseError(ParseError::BodyTooLarge));
            }
            match outcome {
                Ok(ReadOutcome::Bytes) => {}
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::EndOfStream) => return self.fail_connection(key, FailureCause::Closed),
                Err(error) => return self.fail_connection(key, FailureCause::ConnectionError(error)),
            }
        }
    }

    /// A complete answer has come.
    fn answered(&mut self, key: ConnectionKey, answer: Message, ended: bool) {
        let now = self.now();
        let Some(connection) = self.backends.connections.get_mut(key) else { return };
        let Some(attempt) = connection.attempt.take() else { return };
        self.timers.cancel(attempt.timer);
        let backend = connection.backend.clone();
        let is_request_written = connection.written == connection.output.len();
        clear_and_shrink(&mut connection.output);
        connection.written = 0;
        let mut record = self.backends.records.get_mut(&backend);
        if let Some(record) = &mut record {
            record.last_heard = now;
        }
        match record {
            Some(record)
                if record.is_live
                    && is_request_written
                    && !ended
                    && answer.is_persistent()
                    && connection.input.is_empty() =>
            {
                record.idle.push_back((now, key));
            }
            _ => drop(self.backends.connections.remove(key)),
        }
        let outcome = answered(&answer);
        let units =
            answer.field("x-true-cost").and_then(|units| std::str::from_utf8(units).ok()?.parse().ok());
        let true_units = units.filter(|units: &f64| *units > 0.0 && *units < 1e6);
        let elapsed = now - attempt.sent;
        let ended = AttemptEnded {
            request: attempt.request,
            backend,
            outcome,
            is_final: false,
            elapsed,
            actual_units: true_units,
        };
        self.end_attempt(ended, Some(&answer));
    }

    /// An attempt's time is up, or its connection's to be made.
    pub(crate) fn attempt_timed_out(&mut self, key: ConnectionKey) {
        let has_response_begun = self
            .backends
            .connections
            .get(key)
            .and_then(|connection| connection.attempt.as_ref())
            .is_some_and(|attempt| attempt.has_response_begun);
        let stalled = FailureCause::ParseError(ParseError::Malformed("an answer that does not go on"));
        self.fail_connection(key, if has_response_begun { stalled } else { FailureCause::TimedOut });
    }

    /// Ends a connection and the attempt on it.
    fn fail_connection(&mut self, key: ConnectionKey, cause: FailureCause) {
        let now = self.now();
        let Some(connection) = self.backends.connections.remove(key) else { return };
        let Some(attempt) = connection.attempt else { return };
        self.timers.cancel(attempt.timer);
        let progress = match () {
            () if !connection.is_connected => Progress::NotConnected,
            () if connection.written < connection.output.len() => Progress::PartlyWritten,
            () if connection.reader.has_partial_message(&connection.input) => Progress::PartlyAnswered,
            () => Progress::FullyWritten,
        };
        let failure = Failure { progress, cause };
        // A machine that has vanished leaves its connections open and silent: an attempt over one of them may have
        // run for all we know, while a new connection that does not come up proves that nothing ran.
        let last_heard =
            self.backends.records.get(&connection.backend).map_or(now, |record| record.last_heard);
        if cause == FailureCause::TimedOut && last_heard < attempt.sent {
            self.close_idle_connections(&connection.backend);
        }
        debug!("{}: {failure:?}", connection.backend);
        let (request, backend, elapsed) = (attempt.request, connection.backend, now - attempt.sent);
        let ended = AttemptEnded {
            request,
            backend,
            outcome: failure.outcome(),
            is_final: false,
            elapsed,
            actual_units: None,
        };
        self.end_attempt(ended, None);
    }

    fn end_attempt(&mut self, mut ended: AttemptEnded, answer: Option<&Message>) {
        let Some(request) = self.requests.get_mut(ended.request) else { return };
        request.last_outcome = Some(ended.outcome);
        let is_abandoned = request.state() == State::Abandoned;
        if let Some(answer) = answer.filter(|_| ended.outcome == AttemptOutcome::Completed && !is_abandoned) {
            self.complete(ended.request, answer);
            ended.is_final = true;
        }
        ended.is_final |= is_abandoned;
        let to = if ended.is_final { State::Finished } else { State::Queued };
        self.requests.set_state(ended.request, to);
        self.events.push_back(Event::AttemptEnded(ended));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Progress::*;

    #[test]
    fn only_what_cannot_have_run_is_said_never_to_have_run() {
        let refused = FailureCause::ConnectionError(Errno::CONNREFUSED);
        let reset = FailureCause::ConnectionError(Errno::CONNRESET);
        let nonsense = FailureCause::ParseError(ParseError::Malformed("nonsense"));
        for (progress, cause, outcome) in [
            (NotConnected, refused, AttemptOutcome::Unreachable),
            (NotConnected, FailureCause::TimedOut, AttemptOutcome::Unreachable),
            (NotConnected, FailureCause::NotSendable, AttemptOutcome::NotSent),
            (PartlyWritten, reset, AttemptOutcome::Unreachable),
            (PartlyWritten, FailureCause::TimedOut, AttemptOutcome::Unreachable),
            (FullyWritten, reset, AttemptOutcome::ConnectionLost),
            (FullyWritten, FailureCause::Closed, AttemptOutcome::ConnectionLost),
            (FullyWritten, FailureCause::TimedOut, AttemptOutcome::TimedOut),
            (PartlyAnswered, FailureCause::TimedOut, AttemptOutcome::TimedOut),
            (PartlyAnswered, FailureCause::Closed, AttemptOutcome::ConnectionLost),
            (PartlyAnswered, nonsense, AttemptOutcome::Failed),
        ] {
            assert_eq!(Failure { progress, cause }.outcome(), outcome, "{progress:?} {cause:?}");
        }
    }

    #[test]
    fn an_answer_means_what_the_protocol_says() {
        for (text, outcome) in [
            ("200 OK", AttemptOutcome::Completed),
            ("500 No", AttemptOutcome::Failed),
            ("503 No", AttemptOutcome::Failed),
            ("503 No\r\nX-Never-Ran: 0", AttemptOutcome::Failed),
            ("503 No\r\nX-Never-Ran: 1", AttemptOutcome::Rejected),
            ("504 No\r\nx-never-ran: 1", AttemptOutcome::Rejected),
            ("500 No\r\nX-Never-Ran: 1", AttemptOutcome::Failed),
            ("204 None", AttemptOutcome::Failed),
        ] {
            let mut input = format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n").into_bytes();
            let answer =
                MessageReader::default().next(MessageKind::Response { to_head: false }, &mut input, false);
            assert_eq!(answered(&answer.unwrap().unwrap()), outcome, "{text}");
        }
    }
}
