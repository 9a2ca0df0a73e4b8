//! I/O on the connections to backends.

use super::failure::FailureCause;
use crate::http::{MessageKind, ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::poll::{self, ConnectionKey, ReadOutcome, ReadyEvent};
use crate::request::State;
use crate::runtime::{Runtime, Timer};
use log::warn;

impl Runtime {
    /// Handles the event of a ready socket.
    pub(crate) fn backend_ready(&mut self, ready: ReadyEvent, key: ConnectionKey) {
        if ready.write && !self.finish_connecting(key) {
            return;
        }
        if ready.read {
            self.read_backend(key, ready.ended);
        }
    }

    /// Checks the result of a connect, and writes the attempt if it succeeded. Returns false if the connection
    /// was dropped. A socket becomes writable once its connect has succeeded or failed.
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
            // During the connect, the backend may have started to drain, or the client may have disconnected.
            let is_awaited =
                self.requests.get(attempt.request).is_some_and(|request| request.state() == State::InFlight);
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

    /// Writes as much of the attempt as the socket accepts.
    pub(super) fn write_backend(&mut self, key: ConnectionKey) {
        let Some(connection) = self.backends.connections.get_mut(key) else { return };
        if let Err(error) = poll::write(&connection.socket, &connection.output, &mut connection.written) {
            // A backend may have sent a response before it closed the connection.
            if connection.written > 0 && connection.attempt.is_some() {
                self.read_backend(key, true);
            }
            self.fail_connection(key, FailureCause::ConnectionError(error));
        }
    }

    /// Reads available bytes, and ends the attempt once its response is complete.
    fn read_backend(&mut self, key: ConnectionKey, ended: bool) {
        let now = self.now();
        loop {
            let Some(connection) = self.backends.connections.get_mut(key) else { return };
            if !connection.is_connected {
                return;
            }
            let outcome = poll::read(&connection.socket, &mut self.read_buffer, &mut connection.input, ended);
            let Some(attempt) = &mut connection.attempt else {
                // An idle connection cannot be reused once the backend has closed it or sent bytes on it.
                if outcome != Ok(ReadOutcome::WouldBlock) || !connection.input.is_empty() {
                    self.backends.connections.remove(key);
                }
                return;
            };
            let kind = MessageKind::Response { to_head: attempt.is_head_request };
            let ended = matches!(outcome, Ok(ReadOutcome::EndOfStream));
            match connection.reader.next(kind, &mut connection.input, ended) {
                Ok(Some(response)) => return self.finish_attempt(key, response, ended),
                Ok(None)
                    if connection.reader.has_partial_message(&connection.input)
                        && !attempt.has_response_started =>
                {
                    // If the Content-Length exceeds the actual body, the gateway would wait until the deadline.
                    // So a response that has started has to be complete within the connect time-out.
                    attempt.has_response_started = true;
                    let due = attempt.deadline.min(now + self.connection_settings.connect_timeout);
                    self.timers.cancel(attempt.timer);
                    attempt.timer = self.timers.schedule(due, Timer::Attempt(key));
                }
                Ok(None) => {}
                Err(error) => {
                    warn!("{}: invalid response: {error:?}", connection.backend);
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
}
