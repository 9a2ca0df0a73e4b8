//! The state of the model: requests, the gateway's connections, and how the gateway handles what it reads.
//!
//! The model uses the real lifecycle and reader. What the server does with its sockets is reduced to a few lines.

use crate::backend_responses::{body, Piece, ResponseKind};
use kitepass_data_plane::attempt::{
    may_reuse_connection, ConnectionState, InputState, NextStep, ReadProgress, RequestLifecycle,
    RequestState, ResponseClass, ResponseContext, ResponseReader,
};

/// Longer bodies are streamed.
const MAX_BUFFERED_BYTES: usize = 3;
/// More than the length of any response.
const UNLIMITED_BYTES: usize = 1 << 20;
/// The number of parts in which a request is written.
pub(crate) const REQUEST_PARTS: u8 = 2;

/// The state of a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Client {
    /// Its request has not arrived yet.
    NotArrived,
    /// It waits for a response, and has received this much of a long one.
    Waiting(Option<String>),
    /// It has received a complete response with this status.
    Responded(u16),
    /// The gateway has closed its connection.
    Aborted,
    /// The client has closed its connection.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Request {
    pub(crate) lifecycle: RequestLifecycle,
    pub(crate) client: Client,
    /// Whether the client has sent its whole body.
    pub(crate) is_body_complete: bool,
    /// Whether a backend's error response is available for delivery.
    pub(crate) has_error_response: bool,
    /// How often a backend has executed it.
    pub(crate) executions: u8,
    /// Attempts on closed connections that a backend may still execute.
    pub(crate) orphaned_attempts: u8,
    /// Whether the response of an overdue attempt was used.
    pub(crate) is_answered_by_overdue: bool,
}

impl Request {
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.client, Client::Waiting(_))
    }
}

/// A request that a backend has received and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Work {
    pub(crate) request: u8,
    pub(crate) is_executed: bool,
}

/// A connection between the gateway and a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Connection {
    pub(crate) is_established: bool,
    /// The request whose attempt uses the connection.
    pub(crate) attempt: Option<u8>,
    /// Whether the attempt is overdue and another one may be made.
    pub(crate) is_overdue: bool,
    /// How many of the [`REQUEST_PARTS`] parts of the request were written.
    pub(crate) parts_written: u8,
    /// Pieces that were read for the attempt.
    pub(crate) read_pieces: Vec<Piece>,
    /// Bytes of the response's body that were streamed.
    pub(crate) streamed_bytes: usize,
    pub(crate) work: Option<Work>,
    /// Requests that the backend has responded to on this connection.
    pub(crate) responded_to: Vec<u8>,
    /// What is in transit to the gateway, and how the input ends.
    pub(crate) in_transit: Vec<Piece>,
    pub(crate) input_state: InputState,
}

impl Connection {
    /// Creates a connection that is being opened for a request.
    pub(crate) fn opening(request: u8) -> Connection {
        Connection {
            is_established: false,
            attempt: Some(request),
            is_overdue: false,
            parts_written: 0,
            read_pieces: Vec::new(),
            streamed_bytes: 0,
            work: None,
            responded_to: Vec::new(),
            in_transit: Vec::new(),
            input_state: InputState::Open,
        }
    }

    /// Returns the reader with what was read before, without what was streamed.
    fn reader(&self, context: ResponseContext) -> (ResponseReader, Vec<u8>) {
        let (mut reader, mut input) = (ResponseReader::default(), Vec::new());
        for piece in &self.read_pieces {
            input.extend(piece.bytes());
        }
        let context = ResponseContext { max_buffered_bytes: UNLIMITED_BYTES, ..context };
        reader.read(context, &mut input, InputState::Open);
        reader.body.drain(..self.streamed_bytes);
        (reader, input)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ModelState {
    pub(crate) requests: Vec<Request>,
    pub(crate) connections: Vec<Connection>,
    pub(crate) has_shut_down: bool,
    /// The first violation that was found.
    pub(crate) violation: Option<&'static str>,
}

impl ModelState {
    /// The connection of a request's current attempt.
    pub(crate) fn connection_of(&self, request: usize) -> Option<usize> {
        let is_current =
            |connection: &Connection| connection.attempt == Some(request as u8) && !connection.is_overdue;
        self.connections.iter().position(is_current)
    }

    /// Whether a request has an overdue attempt in flight.
    pub(crate) fn has_overdue_attempt(&self, request: usize) -> bool {
        let is_overdue =
            |connection: &Connection| connection.attempt == Some(request as u8) && connection.is_overdue;
        self.connections.iter().any(is_overdue)
    }

    pub(crate) fn close_connection(&mut self, index: usize) {
        let connection = self.connections.remove(index);
        if let Some(Work { request, is_executed: false }) = connection.work {
            self.requests[usize::from(request)].orphaned_attempts += 1; // the backend may still execute it
        }
    }

    pub(crate) fn close_attempt(&mut self, request: usize) {
        if let Some(index) = self.connection_of(request) {
            self.close_connection(index);
        }
    }

    pub(crate) fn expect(&mut self, holds: bool, what: &'static str) {
        if !holds {
            self.violation = Some(what);
        }
    }

    /// Ends a client's request.
    pub(crate) fn finish(&mut self, request: usize, client: Client) {
        self.expect(self.requests[request].is_waiting(), "a request gets a second response");
        self.requests[request].client = client;
        let is_completed = self.requests[request].lifecycle.state() == RequestState::Completed;
        self.expect(is_completed, "a request is finished and its lifecycle is not completed");
        self.close_attempt(request);
        while let Some(overdue) =
            self.connections.iter().position(|connection| connection.attempt == Some(request as u8))
        {
            self.close_connection(overdue);
        }
    }

    /// Performs a step that does not send a backend's response to the client.
    pub(crate) fn apply_next_step(&mut self, request: usize, next: NextStep) {
        match next {
            NextStep::Reject(status) => {
                let has_begun = matches!(self.requests[request].client, Client::Waiting(Some(_)));
                self.expect(!has_begun, "the gateway's response follows the start of another one");
                self.finish(request, Client::Responded(status));
            }
            NextStep::Abort => self.finish(request, Client::Aborted),
            _ => {}
        }
    }

    /// Handles the loss of a connection and of the attempt on it.
    pub(crate) fn lose_connection(&mut self, index: usize) {
        let Connection { attempt, is_overdue, .. } = self.connections[index];
        self.close_connection(index);
        if let Some(request) = attempt.map(usize::from) {
            let lifecycle = &mut self.requests[request].lifecycle;
            let next =
                if is_overdue { lifecycle.overdue_attempt_failed(true) } else { lifecycle.attempt_failed() };
            self.apply_next_step(request, next);
        }
    }

    /// Makes an overdue attempt with a response the current one, or ends it. Returns the index of its connection.
    fn resume_if_overdue(&mut self, index: usize, request: usize, reader: &ResponseReader) -> Option<usize> {
        if !self.connections[index].is_overdue {
            return Some(index);
        }
        let lifecycle = &mut self.requests[request].lifecycle;
        let head = reader.head.as_ref().expect("the head precedes the body");
        let class = ResponseClass::of(head, lifecycle.is_idempotent());
        if !lifecycle.resume_overdue_attempt(class) {
            let may_have_executed = !matches!(class, ResponseClass::NotExecuted(_));
            let next = lifecycle.overdue_attempt_failed(may_have_executed);
            self.close_connection(index);
            self.apply_next_step(request, next);
            return None;
        }
        let replaced = self.connection_of(request);
        self.connections[index].is_overdue = false;
        self.requests[request].is_answered_by_overdue = true;
        let Some(replaced) = replaced else { return Some(index) };
        self.close_connection(replaced);
        Some(index - usize::from(replaced < index))
    }

    /// Reads this many pieces, and the end of the input after them if `with_end`.
    pub(crate) fn read(&mut self, index: usize, pieces: usize, with_end: bool) {
        let connection = &mut self.connections[index];
        let input_state = if with_end { connection.input_state } else { InputState::Open };
        let new: Vec<Piece> = connection.in_transit.drain(..pieces).collect();
        let Some(request) = connection.attempt.map(usize::from) else {
            if pieces > 0 || with_end {
                self.close_connection(index);
            }
            return;
        };
        let id = request.to_string();
        let context = ResponseContext {
            request_id: id.as_bytes(),
            is_head_request: false,
            had_head_request: false,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
        };
        let (mut reader, mut input) = connection.reader(context);
        for piece in &new {
            input.extend(piece.bytes());
        }
        connection.read_pieces.extend(new);
        match reader.read(context, &mut input, input_state) {
            ReadProgress::Partial => {}
            ReadProgress::Failed(_) => self.lose_connection(index),
            ReadProgress::BufferFull => {
                if let Some(index) = self.resume_if_overdue(index, request, &reader) {
                    self.stream(index, request, &reader);
                }
            }
            ReadProgress::Complete => {
                if let Some(index) = self.resume_if_overdue(index, request, &reader) {
                    self.response_complete(index, request, reader, input.len(), input_state);
                }
            }
        }
    }

    fn stream(&mut self, index: usize, request: usize, reader: &ResponseReader) {
        let lifecycle = &mut self.requests[request].lifecycle;
        let head = reader.head.as_ref().expect("the head precedes the body");
        let next = lifecycle.response_exceeds_buffer(ResponseClass::of(head, lifecycle.is_idempotent()));
        match (next, &mut self.requests[request].client) {
            (NextStep::StreamFirst | NextStep::StreamMore, Client::Waiting(received)) => {
                self.connections[index].streamed_bytes += reader.body.len();
                let text = std::str::from_utf8(&reader.body).expect("bodies are text");
                received.get_or_insert_default().push_str(text);
            }
            (next, _) => {
                self.close_connection(index);
                self.apply_next_step(request, next);
            }
        }
    }

    fn response_complete(
        &mut self,
        index: usize,
        request: usize,
        reader: ResponseReader,
        unread_bytes: usize,
        input_state: InputState,
    ) {
        let head = reader.head.expect("complete");
        let lifecycle = &mut self.requests[request].lifecycle;
        let was_sent = matches!(lifecycle.state(), RequestState::Sent | RequestState::Responding);
        let class = if was_sent {
            ResponseClass::of(&head, lifecycle.is_idempotent())
        } else {
            ResponseClass::Invalid
        };
        let next = lifecycle.response_complete(class);
        let connection = &mut self.connections[index];
        connection.attempt = None;
        connection.streamed_bytes = 0;
        connection.read_pieces.clear();
        let connection_state = ConnectionState {
            input_state,
            unread_bytes,
            // If the request has not been answered, the backend may still execute it with what it receives later.
            unsent_bytes: usize::from(REQUEST_PARTS - connection.parts_written),
            is_request_finished: self.requests[request].is_body_complete,
        };
        if !may_reuse_connection(class, connection_state) {
            self.close_connection(index);
        }
        let body = String::from_utf8(reader.body).expect("bodies are text");
        match next {
            NextStep::Deliver => self.deliver(request, &head, &body),
            NextStep::StreamLast => {
                let Client::Waiting(Some(received)) = &self.requests[request].client else {
                    return self.violation = Some("the end of a response is streamed without its start");
                };
                let body = received.clone() + &body;
                self.deliver(request, &head, &body);
            }
            NextStep::RetryOrDeliver => self.requests[request].has_error_response = true,
            next => self.apply_next_step(request, next),
        }
    }

    /// Checks and delivers a complete response to a client.
    fn deliver(&mut self, request: usize, head: &kitepass_net::http::body::Head, received: &str) {
        let is_own = head.field("x-try-id") == Some(request.to_string().as_bytes());
        self.expect(is_own, "a client gets the response to another request");
        let status = head.status();
        if status < 300 {
            let kinds = [ResponseKind::Short, ResponseKind::Long];
            let is_complete = kinds.iter().any(|kind| body(request as u8, *kind) == received);
            self.expect(is_complete, "a client gets an incomplete body or that of another request");
            self.expect(
                self.requests[request].executions > 0,
                "a client gets a success response although no backend executed its request",
            );
        }
        self.finish(request, Client::Responded(status));
    }
}
