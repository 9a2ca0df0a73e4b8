//! The state machine of one request over all its attempts.

use super::ResponseClass;

/// Statuses of this gateway's own that promise the client that its request was not and will not be executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The state of a request. `RequestLifecycle::transition` alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// Its body is still arriving, or it waits for an attempt.
    Pending,
    /// An attempt's connection is being established: no byte of the request has left.
    Connecting,
    /// The connection is established, and no byte of the request has been written to it.
    Connected,
    /// Bytes of the request were written: from here on the backend may execute it.
    Sent,
    /// The head of its response has gone to the client; the rest is streamed.
    Responding,
    /// It has its final response, or its client's connection is gone.
    Completed,
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Nothing: the request goes on.
    Wait,
    /// The request is pending again: another attempt is made if [`RequestLifecycle::may_attempt`] and a backend can
    /// take it, else the request is rejected.
    Retry,
    /// Like [`NextStep::Retry`], but where no attempt is made the client gets the backend's error response.
    RetryOrDeliver,
    /// The complete response goes to the client.
    Deliver,
    /// The head and the first bytes of a long response go to the client.
    StreamFirst,
    /// More of a long response goes to the client.
    StreamMore,
    /// The last bytes of a long response go to the client, and its end marker.
    StreamLast,
    /// The client gets a response of this gateway's own, with this status.
    Reject(u16),
    /// The client's connection is closed without (the rest of) a response.
    Abort,
}

/// A request over all its attempts, of which at most one is in flight at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestLifecycle {
    state: RequestState,
    is_idempotent: bool,
    max_attempts: u32,
    /// Attempts whose connection was established.
    attempts_sent: u32,
    /// An attempt has ended that the backend may have executed.
    had_ambiguous_attempt: bool,
    /// Every byte of the body that has arrived is still buffered.
    is_body_buffered: bool,
}

impl RequestLifecycle {
    /// A request that has just arrived, with its route's rules: whether it may be executed more than once, and how
    /// many attempts may be made.
    pub fn new(is_idempotent: bool, max_attempts: u32) -> RequestLifecycle {
        RequestLifecycle {
            state: RequestState::Pending,
            is_idempotent,
            max_attempts,
            attempts_sent: 0,
            had_ambiguous_attempt: false,
            is_body_buffered: true,
        }
    }

    /// The present state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    fn transition(&mut self, to: RequestState) {
        debug_assert!(self.state != RequestState::Completed, "nothing may follow a final response");
        debug_assert!(
            self.state != RequestState::Responding || to == RequestState::Completed,
            "a response that has begun may only be completed"
        );
        self.state = to;
    }

    /// Whether the route allows it to be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Attempts whose connection was established.
    pub fn attempts_sent(&self) -> u32 {
        self.attempts_sent
    }

    /// Whether an attempt is in flight whose response has not begun to go to the client.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.state, RequestState::Connecting | RequestState::Connected | RequestState::Sent)
    }

    /// Whether a backend has executed it, is executing it, or may yet do so by what was sent.
    pub fn may_have_executed(&self) -> bool {
        self.had_ambiguous_attempt || matches!(self.state, RequestState::Sent | RequestState::Responding)
    }

    /// Whether an attempt may be made, after the one that is in flight if one is.
    ///
    /// Invariant: a non-idempotent request that may have been executed is never sent again, for it would be executed
    /// twice; nor is one whose body is no longer buffered in full, for its rest would pass for the whole.
    pub fn may_attempt(&self) -> bool {
        let is_open = !matches!(self.state, RequestState::Responding | RequestState::Completed);
        let is_safe = self.is_idempotent || !self.may_have_executed();
        is_open && self.is_body_buffered && self.attempts_sent < self.max_attempts && is_safe
    }

    /// The status that the client gets where no further attempt is made.
    ///
    /// Invariant: 503 promises that the request was not executed, so it is never given to one that may have been.
    pub fn rejection_status(&self) -> u16 {
        if self.may_have_executed() {
            502
        } else {
            503
        }
    }

    /// Begins an attempt, on an established connection or on one that is being opened. False if none may begin, as
    /// while another is in flight.
    pub fn begin_attempt(&mut self, is_connected: bool) -> bool {
        if self.state != RequestState::Pending || !self.may_attempt() {
            return false;
        }
        self.transition(RequestState::Connecting);
        if is_connected {
            self.connected();
        }
        true
    }

    /// The attempt's connection is established.
    pub fn connected(&mut self) {
        if self.state == RequestState::Connecting {
            self.attempts_sent += 1;
            self.transition(RequestState::Connected);
        }
    }

    /// Bytes of the request were written to the connection.
    pub fn bytes_written(&mut self) {
        if self.state == RequestState::Connected {
            self.transition(RequestState::Sent);
        }
    }

    /// A part of the body was dropped from the buffer.
    pub fn body_dropped(&mut self) {
        self.is_body_buffered = false;
    }

    /// The attempt ended without a response: its connection was not established, was closed or broke, or brought
    /// what is no response.
    pub fn attempt_failed(&mut self) -> NextStep {
        match self.state {
            // Invariant: a truncated response never looks complete; the client's connection is aborted with it.
            RequestState::Responding => {
                self.transition(RequestState::Completed);
                NextStep::Abort
            }
            RequestState::Connecting | RequestState::Connected | RequestState::Sent => {
                self.return_to_pending(true);
                NextStep::Retry
            }
            RequestState::Pending | RequestState::Completed => NextStep::Wait,
        }
    }

    /// Back from an attempt, which may have been executed if any byte was written and the backend does not say
    /// otherwise.
    fn return_to_pending(&mut self, may_have_executed: bool) {
        self.had_ambiguous_attempt |= may_have_executed && self.state == RequestState::Sent;
        self.transition(RequestState::Pending);
    }

    /// A complete response has been read.
    pub fn response_complete(&mut self, class: ResponseClass) -> NextStep {
        match (self.state, class) {
            (RequestState::Responding, _) => {
                self.transition(RequestState::Completed);
                NextStep::StreamLast
            }
            (RequestState::Sent, ResponseClass::Success | ResponseClass::Other) => {
                self.transition(RequestState::Completed);
                NextStep::Deliver
            }
            (RequestState::Sent, ResponseClass::ServerError) => {
                self.return_to_pending(true);
                NextStep::RetryOrDeliver
            }
            (RequestState::Sent, ResponseClass::NotExecuted(_)) => {
                self.return_to_pending(false);
                NextStep::Retry
            }
            // Invariant: a response to a request of which nothing was sent belongs to another request.
            _ => self.attempt_failed(),
        }
    }

    /// More of a response has been read than is buffered before it is streamed.
    pub fn response_exceeds_buffer(&mut self, class: ResponseClass) -> NextStep {
        match (self.state, class) {
            (RequestState::Responding, _) => NextStep::StreamMore,
            (RequestState::Sent, ResponseClass::Success | ResponseClass::Other) => {
                self.transition(RequestState::Responding);
                NextStep::StreamFirst
            }
            // No response for the client, however long it is.
            _ => self.attempt_failed(),
        }
    }

    /// Whether the client gets the backend's error response, as no further attempt is made.
    pub fn deliver_error_response(&mut self) -> bool {
        let may_deliver = self.state == RequestState::Pending;
        if may_deliver {
            self.transition(RequestState::Completed);
        }
        may_deliver
    }

    /// The attempt in flight takes too long. Whether it is abandoned in favour of another one, for which the caller
    /// has found a backend.
    pub fn abandon_overdue_attempt(&mut self) -> bool {
        let may_abandon = self.is_in_flight() && self.is_idempotent && self.may_attempt();
        if may_abandon {
            self.return_to_pending(true);
        }
        may_abandon
    }

    /// The request's deadline has passed.
    pub fn deadline_expired(&mut self) -> NextStep {
        if self.state == RequestState::Responding {
            return self.attempt_failed();
        }
        self.reject(if self.attempts_sent == 0 { 503 } else { 504 })
    }

    /// The request gets a response of this gateway's own.
    ///
    /// Invariant: a status that promises that the request was not executed is never given to what may have been executed.
    pub fn reject(&mut self, status: u16) -> NextStep {
        match self.state {
            RequestState::Completed => NextStep::Wait,
            RequestState::Responding => self.attempt_failed(),
            _ => {
                let means_not_executed = NOT_EXECUTED_STATUSES.contains(&status);
                let status = if means_not_executed && self.may_have_executed() { 502 } else { status };
                self.transition(RequestState::Completed);
                NextStep::Reject(status)
            }
        }
    }

    /// The process ends. What was never sent is rejected, so that the client sends it again; what a backend may be
    /// executing is aborted.
    pub fn shut_down(&mut self) -> NextStep {
        if self.state == RequestState::Completed {
            return NextStep::Wait;
        }
        if !self.may_have_executed() {
            return self.reject(503);
        }
        self.transition(RequestState::Completed);
        NextStep::Abort
    }

    /// The client's connection is gone: nobody waits for a response.
    pub fn client_disconnected(&mut self) {
        if self.state != RequestState::Completed {
            self.transition(RequestState::Completed);
        }
    }
}
