//! The start and the end of attempts.

use super::failure::{response_outcome, Failure, FailureCause, Progress};
use super::{Attempt, BackendConnection, IdleConnection};
use crate::http::{Message, ParseError};
use crate::poll::{clear_and_shrink, ConnectionKey};
use crate::request::{RequestKey, State};
use crate::runtime::{AttemptEnded, Event, Runtime, Timer};
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::{Duration, Timestamp};
use log::debug;
use rustix::io::Errno;
use std::net::SocketAddr;
use std::rc::Rc;

impl Runtime {
    /// Starts an attempt of a queued request on a backend. It times out after `timeout` or at the request's
    /// deadline, whichever is earlier, and ends at once if it cannot be sent.
    pub(crate) fn start_attempt(&mut self, request: RequestKey, backend: &str, timeout: Duration) {
        let now = self.now();
        let Some(queued) = self.requests.get_mut(request).filter(|request| request.state() == State::Queued)
        else {
            return;
        };
        queued.attempts += 1;
        let (parsed, deadline) = (queued.parsed.clone(), queued.deadline.min(now + timeout));
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
        let key = match self.connection_for_attempt(&backend_id, &address, now) {
            Ok(key) => key,
            Err(failure) => return self.end_unsent_attempt(request, backend_id, failure.outcome()),
        };
        let is_connected = self.backends.connections[key].is_connected;
        let due = if is_connected {
            deadline
        } else {
            deadline.min(now + self.connection_settings.connect_timeout)
        };
        let timer = self.timers.schedule(due, Timer::Attempt(key));
        let connection = &mut self.backends.connections[key];
        parsed.append_attempt(deadline - now, &mut connection.output);
        connection.attempt = Some(Attempt {
            request,
            timer,
            started_at: now,
            deadline,
            is_head_request: parsed.is_head_request(),
            has_response_started: false,
        });
        if is_connected {
            self.write_backend(key);
        }
    }

    /// Takes an idle connection to a backend, or opens a new one.
    fn connection_for_attempt(
        &mut self,
        backend: &Rc<str>,
        address: &SocketAddr,
        now: Timestamp,
    ) -> Result<ConnectionKey, Failure> {
        if let Some(key) = self.reuse_connection(backend, now) {
            return Ok(key);
        }
        self.open_connection(backend, address).map_err(|error| {
            debug!("{backend}: connect failed: {error}");
            let is_out_of_descriptors = matches!(error, Errno::MFILE | Errno::NFILE);
            let cause = if is_out_of_descriptors {
                FailureCause::NotSendable
            } else {
                FailureCause::ConnectionError(error)
            };
            Failure { progress: Progress::NotConnected, cause }
        })
    }

    /// Ends an attempt that has not been sent.
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

    /// Ends an attempt with a complete response, and keeps its connection if it can be reused.
    pub(super) fn finish_attempt(&mut self, key: ConnectionKey, response: Message, ended: bool) {
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
                    && response.is_persistent()
                    && connection.input.is_empty() =>
            {
                record.idle.push_back(IdleConnection { idle_since: now, key });
            }
            _ => drop(self.backends.connections.remove(key)),
        }
        let outcome = response_outcome(&response);
        let units =
            response.field("x-true-cost").and_then(|units| std::str::from_utf8(units).ok()?.parse().ok());
        let actual_units = units.filter(|units: &f64| *units > 0.0 && *units < 1e6);
        let elapsed = now - attempt.started_at;
        let ended = AttemptEnded {
            request: attempt.request,
            backend,
            outcome,
            is_final: false,
            elapsed,
            actual_units,
        };
        self.end_attempt(ended, Some(&response));
    }

    /// Ends an attempt after a time-out of the connect, of a response that has started, or of the whole attempt.
    pub(crate) fn attempt_timed_out(&mut self, key: ConnectionKey) {
        let has_response_started = self
            .backends
            .connections
            .get(key)
            .and_then(|connection| connection.attempt.as_ref())
            .is_some_and(|attempt| attempt.has_response_started);
        let stalled = FailureCause::ParseError(ParseError::Malformed("response stalled"));
        self.fail_connection(key, if has_response_started { stalled } else { FailureCause::TimedOut });
    }

    /// Closes a connection and ends its attempt with a failure.
    pub(super) fn fail_connection(&mut self, key: ConnectionKey, cause: FailureCause) {
        let now = self.now();
        let Some(mut connection) = self.backends.connections.remove(key) else { return };
        let Some(attempt) = connection.attempt.take() else { return };
        self.timers.cancel(attempt.timer);
        let progress = progress(&connection);
        let failure = Failure { progress, cause };
        // A host that has disappeared leaves its connections open and silent. An attempt on such a connection
        // times out, and the gateway cannot tell whether it ran. If instead a new connection cannot be
        // established, the attempt surely did not run. So the idle connections are closed.
        let last_heard =
            self.backends.records.get(&connection.backend).map_or(now, |record| record.last_heard);
        if cause == FailureCause::TimedOut && last_heard < attempt.started_at {
            self.close_idle_connections(&connection.backend);
        }
        debug!("{}: {failure:?}", connection.backend);
        let (request, backend, elapsed) = (attempt.request, connection.backend, now - attempt.started_at);
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

    /// Updates the request's state after an attempt, and reports the end of the attempt to the policy.
    fn end_attempt(&mut self, mut ended: AttemptEnded, response: Option<&Message>) {
        let Some(request) = self.requests.get_mut(ended.request) else { return };
        request.last_outcome = Some(ended.outcome);
        let is_abandoned = request.state() == State::Abandoned;
        if let Some(response) =
            response.filter(|_| ended.outcome == AttemptOutcome::Completed && !is_abandoned)
        {
            self.forward_response(ended.request, response);
            ended.is_final = true;
        }
        ended.is_final |= is_abandoned;
        let next_state = if ended.is_final { State::Finished } else { State::Queued };
        self.requests.set_state(ended.request, next_state);
        self.events.push_back(Event::AttemptEnded(ended));
    }
}

/// How far the attempt on a connection has progressed.
fn progress(connection: &BackendConnection) -> Progress {
    if !connection.is_connected {
        Progress::NotConnected
    } else if connection.written < connection.output.len() {
        Progress::PartlyWritten
    } else if connection.reader.has_partial_message(&connection.input) {
        Progress::PartlyAnswered
    } else {
        Progress::FullyWritten
    }
}
